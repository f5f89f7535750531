"""The gateway process: builds its parts, runs them and stops them."""

import asyncio
import os
import random
import secrets
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from tanagerport.exceptions import (
    DocumentError,
    PlatformError,
    SettingsError,
)
from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.dispatch import Dispatcher
from tanagerport.gateway.domain import (
    ClientLimits,
    Configuration,
    RolloutOrder,
    Service,
    UpstreamRecord,
)
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.internal_server import InternalServer
from tanagerport.gateway.load_board import LoadBoard
from tanagerport.gateway.peer_exchange import (
    MAX_AGE_MS,
    NodeReport,
    PeerExchange,
)
from tanagerport.gateway.placement import Placer
from tanagerport.gateway.prompt_cache import PromptCacheMap
from tanagerport.gateway.quota_checkpoint import QuotaCheckpoint
from tanagerport.gateway.quotas import QuotaLedger, QuotaRules
from tanagerport.gateway.repeat_budget import RepeatBudget
from tanagerport.gateway.request_validation import RequestValidator
from tanagerport.gateway.rollout import (
    CanaryLimits,
    RolloutController,
    RolloutState,
)
from tanagerport.gateway.route_table import RouteTable
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.settings import GatewaySettings, parse_address
from tanagerport.gateway.store_watch import TableWatch
from tanagerport.gateway.table_copy import TableCopy
from tanagerport.gateway.table_exchange import TableClient, TableServer
from tanagerport.gateway.table_readers import (
    FOLLOWED_WAIT_S,
    READERS,
    followed_age_s,
    reader_rank,
)
from tanagerport.gateway.table_store import (
    Row,
    RowWrite,
    TableRows,
    TableStore,
)
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.upstream_speed import UpstreamSpeeds

# The load balancer takes a node out after two failed checks, one a second;
# until then new connections still come.
_OUT_OF_ROTATION_S = 2.5
# Requests that have not been sent are refused this long before the kill, as
# they would probably be cut.
_LAST_REQUESTS_S = 4.5
# The process ends this long before the kill, so that it ends by itself.
_STOP_MARGIN_S = 0.4
_HOUSEKEEPING_INTERVAL_S = 0.1
# Time between two log lines about the load of the node and of its link.
_LOAD_LINE_INTERVAL_S = 2.0
# Requests wait this long for a node that starts.
_START_WAIT_S = 1.0
_START_POLL_S = 0.01
# A pause of the process longer than this makes its beliefs stale.
_PAUSE_S = 1.0
# A call that waits for changes ends this long before the time in which a node
# must be back in touch, so that a connection that fell silent is found by then.
# Where only one node is concerned, the reports of the others tell it sooner.
_WATCH_MARGIN_S = 1.0
_MIN_WATCH_S = 0.5
_NODE_TABLE = "tanagerport_nodes"
_UNKNOWN_SERVICE = Service("")


class PlatformCodec(Protocol):
    """Decodes what the platform keeps in its store."""

    @property
    def configuration_table(self) -> str:
        """Table that holds the configuration."""

    @property
    def upstream_table(self) -> str:
        """Table that holds the upstreams."""

    def decode_configuration(self, row: Row) -> Configuration | None:
        """Returns a configuration; None if the row holds something else.

        Raises:
            DocumentError: The configuration has findings.
        """

    def decode_rollout(self, row: Row) -> RolloutOrder | None:
        """Returns the order of a rollout; None if the row is something else.

        Raises:
            DocumentError: The order has findings.
        """

    def rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RowWrite:
        """Returns the write that tells the operator a rollout's state."""

    def decode_upstream(self, row: Row) -> UpstreamRecord:
        """Returns an upstream.

        Raises:
            DocumentError: The row was not written by an upstream.
        """


class GatewayNode:
    """One gateway process.

    Args:
        settings: Settings of the process.
        dialect: Spelling of the header fields.
        codec: Decodes rows of the store.
        store: Client of the store.
        counters: Figures of the process.
        log: Log of decisions.
        load_settings: Reads the settings again after a change.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: HttpNames,
        codec: PlatformCodec,
        store: TableStore,
        counters: Counters,
        log: DecisionLog,
        load_settings: Callable[[], GatewaySettings],
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._store = store
        self._log = log
        self._load_settings = load_settings
        self._routes: RouteTable | None = None
        self._start = secrets.randbits(48)
        self._stopping = asyncio.Event()
        self._is_leaving = False
        self._knows_upstreams = False
        self._counters = counters
        self._health = UpstreamHealth()
        self._speeds = UpstreamSpeeds()
        self._cache = PromptCacheMap()
        self._pool = UpstreamPool(self._idle_limit)
        self._registry = UpstreamRegistry()
        self._quotas = QuotaLedger(
            QuotaRules(
                settings.quota_window_s,
                settings.quota_tolerance,
            )
        )
        self._checkpoint = QuotaCheckpoint(
            store, self._quotas, settings.node, self._is_first_node, log
        )
        self._peers = PeerExchange(
            settings.peer_host,
            settings.zone,
            settings.regions,
            settings.peer_port,
            self._make_report,
            self._apply_report,
            self._forget_peer,
            log,
        )
        self._board = LoadBoard(
            self._peers.count_heard_nodes, lambda: self._peers.interval_s
        )
        self._budget = RepeatBudget(
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
            self._peers.count_nodes,
        )
        self._rollouts = RolloutController(
            settings.node,
            store,
            codec,
            CanaryLimits(settings.canary_share, settings.canary_slack),
            self._peers.count_nodes,
            lambda upstream_id: not self._board.load(upstream_id).requests,
            self._registry.usable,
            log,
        )
        self._scheduler = Scheduler(
            self._registry,
            Placer(
                settings.zone,
                settings.regions,
                self._board,
                self._health,
                self._speeds,
                self._cache,
            ),
            self._board,
            self._health,
            self._speeds,
            self._cache,
            self._rollouts,
            self._find_service,
            self._peers.send_soon,
        )
        dispatcher = Dispatcher(
            dialect,
            self._scheduler,
            self._pool,
            self._health,
            self._budget,
            self._counters,
            log,
        )
        self._forwarder = RequestForwarder(
            dialect,
            self._await_routes,
            RequestValidator(dialect, self._quotas),
            dispatcher,
            self._scheduler,
            self._registry,
            self._pool,
            self._health,
            self._budget,
            self._counters,
            log,
        )
        self._server = ClientServer(self._forwarder, self._get_limits, log)
        self._copies = {
            codec.configuration_table: TableCopy(),
            codec.upstream_table: TableCopy(),
        }
        self._ready = InternalServer(
            dialect.ready_path,
            lambda: self.is_ready,
            self._counters,
            TableServer(self._copies, settings.link_mbps),
        )
        self._registry.notify_gone(self._forget_upstream)
        self._registry.notify_change(self._scheduler.offer_places)
        self._rank = reader_rank(settings.peer_host, settings.link_mbps)
        self._watches = (
            self._create_watch(
                0,
                codec.configuration_table,
                self._apply_configuration_rows,
                self._apply_configuration_rows,
            ),
            self._create_watch(
                1,
                codec.upstream_table,
                self._read_upstreams,
                self._change_upstreams,
            ),
        )
        self._register_gauges()

    def _create_watch(
        self,
        index: int,
        table: str,
        on_read: Callable[[TableRows], None],
        on_change: Callable[[TableRows], None],
    ) -> TableWatch:
        """Creates the watch of a table; `index` is its place in reports."""
        return TableWatch(
            self._store,
            table,
            self._copies[table],
            TableClient(self._settings.metrics_port),
            lambda: followed_age_s(self._rank, self._peers.reader_ages(index)),
            self._get_watch_wait_s,
            on_read,
            on_change,
            self._note_store,
            self._log,
        )

    def _get_watch_wait_s(self) -> float:
        """Returns the longest wait of a call for changes, in seconds."""
        wait_s = max(
            self._settings.contact_ms / 1000 - _WATCH_MARGIN_S, _MIN_WATCH_S
        )
        if len(self._peers.reader_ages(0)) >= READERS:
            return min(wait_s, FOLLOWED_WAIT_S)
        return wait_s

    def _register_gauges(self) -> None:
        gauges = self._counters.gauges
        configuration, upstreams = self._watches
        gauges["configuration_answer_age_seconds"] = lambda: configuration.age_s
        gauges["upstreams_answer_age_seconds"] = lambda: upstreams.age_s
        gauges["configuration_version"] = lambda: (
            0 if self._routes is None else self._routes.configuration.version
        )
        gauges["upstreams_known"] = lambda: len(self._registry.all_records())
        gauges["nodes_heard"] = self._peers.count_heard_nodes
        traffic = self._peers.traffic
        gauges["report_bytes_sent"] = lambda: traffic.sent_bytes
        gauges["report_bytes_received"] = lambda: traffic.received_bytes
        gauges["store_bytes_read"] = lambda: self._counters.store_bytes_read
        gauges["requests_waiting"] = lambda: sum(
            self._scheduler.waiting.values()
        )
        gauges["requests_outstanding"] = lambda: sum(
            requests for _, requests, _, _ in self._board.own_loads()
        )
        gauges["client_connections"] = lambda: self._server.open_connections
        gauges["upstream_connections_opened"] = lambda: self._pool.opened
        gauges["log_lines_dropped"] = lambda: sum(self._log.dropped.values())

    @property
    def is_ready(self) -> bool:
        """Whether the node may get new connections."""
        return self._has_started and not self._is_leaving

    @property
    def _has_started(self) -> bool:
        """Whether the node knows what it needs to serve."""
        return (
            self._routes is not None
            and self._knows_upstreams
            and self._checkpoint.is_loaded
        )

    async def run(self) -> None:
        """Serves until the process is told to stop."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.info("started", zone=settings.zone, pid=os.getpid())
        self._peers.add_hosts(
            parse_address(seed).host for seed in settings.seeds
        )
        listen = parse_address(settings.listen)
        ready = parse_address(settings.ready_listen)
        await self._peers.start()
        await self._ready.start(ready.host, ready.port)
        await self._ready.start(settings.peer_host, settings.metrics_port)
        await self._server.start(listen.host, listen.port)
        tasks = [
            loop.create_task(self._supervise(name, run))
            for name, run in (
                ("configuration", self._watches[0].run),
                ("upstreams", self._watches[1].run),
                ("reports", self._peers.run),
                ("membership", self._run_membership),
                ("checkpoint", self._checkpoint.run),
                ("rollouts", self._rollouts.run),
                ("housekeeping", self._run_housekeeping),
            )
        ]
        await self._stopping.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await self._server.close()
        self._pool.close_all()
        self._peers.close()
        self._log.info("stopped")
        self._log.flush()

    async def _await_routes(self) -> RouteTable | None:
        """Returns the routes; waits for them right after the start.

        After a kill of all nodes clients come before the first answer of the
        store; a refusal would use up their retry within some 50 ms of it.
        """
        give_up_at = time.monotonic() + _START_WAIT_S
        while not self._has_started:
            if time.monotonic() > give_up_at:
                return None
            await asyncio.sleep(_START_POLL_S)
        return self._routes

    async def _drain(self) -> None:
        """Ends all requests in progress before the process is killed."""
        self._is_leaving = True
        started_at = time.monotonic()
        grace_s = self._settings.drain_grace_s
        self._log.info("stopping", requests=self._server.requests_in_progress)
        self._server.start_draining()
        self._peers.send_report()
        await asyncio.sleep(min(_OUT_OF_ROTATION_S, grace_s / 2))
        self._server.close_idle()
        while time.monotonic() - started_at < grace_s - _STOP_MARGIN_S:
            if not self._server.requests_in_progress:
                return
            if time.monotonic() - started_at > grace_s - _LAST_REQUESTS_S:
                self._forwarder.refuse_undispatched()
            await asyncio.sleep(0.05)
            self._server.close_idle()

    def _reload(self) -> None:
        try:
            settings = self._load_settings()
        except SettingsError as error:
            self._log.error("settings_refused", error=str(error))
            return
        self._settings = settings
        self._peers.add_hosts(
            parse_address(seed).host for seed in settings.seeds
        )
        self._log.info("settings_reloaded")

    async def _supervise(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:  # A part that failed starts again.
                self._log.error("task_failed", task=name, error=repr(error))
            await asyncio.sleep(0.1)

    async def _run_housekeeping(self) -> None:
        last = time.clock_gettime(time.CLOCK_BOOTTIME)
        last_monotonic = time.monotonic()
        loop_delay_s = 0.0
        next_line_at = last_monotonic + _LOAD_LINE_INTERVAL_S
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)
            boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
            monotonic = time.monotonic()
            loop_delay_s = max(
                loop_delay_s,
                monotonic - last_monotonic - _HOUSEKEEPING_INTERVAL_S,
            )
            if monotonic >= next_line_at:
                self._log_load(loop_delay_s)
                loop_delay_s = 0.0
                next_line_at = monotonic + _LOAD_LINE_INTERVAL_S
            # A pause shows on the clock that counts it, or as a long sleep.
            if max(boot_time - last, monotonic - last_monotonic) > _PAUSE_S:
                self._log.warning(
                    "resumed_after_pause", pause_s=round(boot_time - last, 3)
                )
                self._store.drop_connections()
                for watch in self._watches:
                    watch.read_again()
            last, last_monotonic = boot_time, monotonic
            self._registry.drop_expired()
            self._pool.close_expired()
            self._scheduler.offer_places()
            self._log.flush()

    def _log_load(self, loop_delay_s: float) -> None:
        """Logs what tells a full link from a busy process.

        Args:
            loop_delay_s: Longest delay of a timer since the last line.
        """
        traffic = self._peers.traffic
        median_s, longest_s = traffic.take_delays_s()
        self._log.info(
            "load",
            loop_delay_s=round(loop_delay_s, 3),
            report_delay_s=round(median_s, 3),
            longest_report_delay_s=round(longest_s, 3),
            report_bytes_sent=traffic.sent_bytes,
            report_bytes_received=traffic.received_bytes,
            reports_sent=traffic.sent,
            whole_reports_sent=traffic.sent_whole,
            reports_received=traffic.received,
            nodes_heard=self._peers.count_heard_nodes(),
            store_bytes_read=self._counters.store_bytes_read,
            configuration_answer_age_s=round(self._watches[0].age_s, 3),
            requests=self._server.requests_in_progress,
            waiting=sum(self._scheduler.waiting.values()),
        )

    async def _run_membership(self) -> None:
        """Writes this node's row and learns the addresses of others."""
        row = RowWrite(
            _NODE_TABLE, self._settings.node, self._settings.peer_host.encode()
        )
        has_written = False
        while True:
            try:
                if not has_written:
                    await self._store.transact([row])
                    has_written = True
                rows = await self._store.read(_NODE_TABLE)
            except PlatformError as error:
                self._log.debug("membership_unknown", error=str(error))
                await asyncio.sleep(random.uniform(0.5, 1.5))
                continue
            self._peers.add_hosts(
                row.value.decode("ascii", "replace")
                for row in rows.rows
                if row.value
            )
            await asyncio.sleep(random.uniform(20, 40))

    def _find_service(self, name: str) -> Service:
        if self._routes is None:
            return _UNKNOWN_SERVICE
        return self._routes.configuration.services.get(name, _UNKNOWN_SERVICE)

    def _idle_limit(self, service: str) -> int:
        """Returns the idle connections that a node may keep to an upstream.

        All nodes together keep half of what an upstream accepts, so that the
        other half is left for requests.
        """
        accepted = self._find_service(service).max_connections
        return max(accepted // (2 * self._peers.count_nodes()), 1)

    def _get_limits(self) -> ClientLimits:
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    def _note_store(self, is_reachable: bool) -> None:
        self._registry.note_store(is_reachable)

    def _apply_configuration_rows(self, rows: TableRows) -> None:
        for row in rows.rows:
            if row.value is None:
                continue
            try:
                order = self._codec.decode_rollout(row)
                if order is not None:
                    self._rollouts.apply_order(order)
                    continue
                configuration = self._codec.decode_configuration(row)
            except DocumentError as error:
                self._log.error(
                    "configuration_unreadable", key=row.key, error=str(error)
                )
                continue
            if configuration is not None:
                self._apply_configuration(configuration)

    def _apply_configuration(self, configuration: Configuration) -> None:
        current = self._routes
        if current is not None and (
            current.configuration.version >= configuration.version
        ):
            return
        self._routes = RouteTable(configuration)
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )

    def _read_upstreams(self, rows: TableRows) -> None:
        self._knows_upstreams = True
        self._registry.replace_all(
            record
            for row in rows.rows
            if (record := self._decode_upstream(row)) is not None
        )

    def _change_upstreams(self, rows: TableRows) -> None:
        for row in rows.rows:
            if row.value is None:
                self._log.info("upstream_row_gone", upstream=row.key)
                self._registry.remove(row.key)
                continue
            record = self._decode_upstream(row)
            if record is not None:
                self._registry.put(record)

    def _decode_upstream(self, row: Row) -> UpstreamRecord | None:
        try:
            record = self._codec.decode_upstream(row)
        except DocumentError as error:
            self._log.warning(
                "upstream_unreadable", key=row.key, error=str(error)
            )
            return None
        known = self._registry.get(record.upstream_id)
        if known is None or known.state is not record.state:
            self._log.info(
                "upstream_changed",
                upstream=record.upstream_id,
                service=record.service,
                zone=record.zone,
                state=record.state.value,
                version=record.version,
                slots=record.slots,
            )
        return record

    def _forget_upstream(self, record: UpstreamRecord) -> None:
        self._log.info("upstream_gone", upstream=record.upstream_id)
        self._health.forget(record.upstream_id)
        self._speeds.forget(record.upstream_id)
        self._cache.forget(record.upstream_id)
        self._board.forget(record.upstream_id)
        self._pool.close_idle(record.upstream_id)

    def _make_report(
        self, sequence: int, known: list[str] | None
    ) -> NodeReport:
        is_whole = known is not None
        return NodeReport(
            self._settings.node,
            self._start,
            sequence,
            self._settings.peer_host,
            self._settings.zone,
            (
                self._watches[0].changed_at_version,
                self._watches[1].changed_at_version,
            ),
            self._board.own_loads(),
            self._speeds.take_samples(),
            round(self._quotas.uptime_s, 1),
            is_whole,
            self._quotas.report() if is_whole else self._quotas.changes(),
            self._rollouts.report(),
            known or [],
            table_ages_ms=(
                _age_ms(self._watches[0]),
                _age_ms(self._watches[1]),
            ),
            link_mbps=round(self._settings.link_mbps),
        )

    def _apply_report(self, report: NodeReport) -> None:
        for watch, version in zip(
            self._watches, report.table_versions, strict=True
        ):
            watch.expect(version, report.host)
        self._board.apply_report(
            report.node,
            report.loads,
            self._peers.silence_bound_s(report.zone),
        )
        self._speeds.apply_samples(report.speeds)
        self._rollouts.apply_report(
            f"{report.node}/{report.start}", report.rollouts
        )
        apply_uses = (
            self._quotas.apply_report
            if report.is_whole
            else self._quotas.apply_changes
        )
        apply_uses(
            f"{report.node}/{report.start}", report.uptime_s, report.uses
        )

    def _is_first_node(self) -> bool:
        """Whether this node's name is the first of those that report."""
        return all(
            self._settings.node <= peer.node for peer in self._peers.heard()
        )

    def _forget_peer(self, node: str) -> None:
        self._board.forget_node(node)


def _age_ms(watch: TableWatch) -> int:
    return round(min(watch.own_age_s * 1000, MAX_AGE_MS))
