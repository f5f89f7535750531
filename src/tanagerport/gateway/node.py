"""The gateway process: creates, runs and stops its components."""

import asyncio
import os
import secrets
import signal
import time
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import msgspec

from tanagerport.exceptions import (
    SettingsError,
)
from tanagerport.gateway.attended_clock import AttendedClock
from tanagerport.gateway.canary_budget import CanaryLimits
from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.coordination import CoordinationTransport
from tanagerport.gateway.coordinator import START_DELAY_S, SlotCoordinator
from tanagerport.gateway.coordinator_directory import CoordinatorDirectory
from tanagerport.gateway.coordinator_ranking import rank_coordinators
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.crash_evidence import CrashLedger
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.dispatch import Dispatcher
from tanagerport.gateway.domain import (
    UpstreamRecord,
)
from tanagerport.gateway.drain_admission import DrainAdmission
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.internal_server import InternalServer
from tanagerport.gateway.node_directory import NodeDirectory
from tanagerport.gateway.node_tables import NodeTables
from tanagerport.gateway.output_estimates import OutputEstimator
from tanagerport.gateway.peer_exchange import (
    NodeReport,
    PeerExchange,
)
from tanagerport.gateway.placement import UpstreamSelector
from tanagerport.gateway.planned_stop import Drain, StopSignal
from tanagerport.gateway.platform_codec import PlatformCodec
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.quota_checkpoint import QuotaCheckpoint
from tanagerport.gateway.quotas import QuotaLimiter, QuotaSettings
from tanagerport.gateway.rate_gates import ShareGate
from tanagerport.gateway.request_validation import RequestValidator
from tanagerport.gateway.response_buffers import ResponseBuffers
from tanagerport.gateway.retry_budget import RetryBudget
from tanagerport.gateway.rollout import RolloutController
from tanagerport.gateway.route_table import RouteTable
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.settings import (
    GatewaySettings,
    parse_address,
)
from tanagerport.gateway.slot_client import SlotClient
from tanagerport.gateway.table_exchange import TableServer
from tanagerport.gateway.table_store import (
    RestorableTableStore,
)
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_limits import UpstreamLimits
from tanagerport.gateway.upstream_load import LoadTracker
from tanagerport.gateway.upstream_losses import LossDetector
from tanagerport.gateway.upstream_notices import UpstreamNotices
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.upstream_switch import UpstreamSwitch

# Time for the last lines of the log to be written, in seconds.
_LAST_LINES_S = 0.1
_HOUSEKEEPING_INTERVAL_S = 0.1
# Interval between log lines about the load of the node and its link.
_LOAD_LOG_INTERVAL_S = 2.0
# Maximum time that requests wait for a node that is starting.
_STARTUP_WAIT_S = 1.0
_STARTUP_POLL_INTERVAL_S = 0.01
# Minimum length of a pause of the process after which its connections and table
# copies are considered stale.
_MIN_PROCESS_PAUSE_S = 1.0
# Settings that apply when they are reloaded. The others belong to components
# that were created at the start.
_RELOADED_SETTINGS = ("seeds", "contact_ms", "drain_grace_s")


class GatewayNode:
    """One gateway process.

    Args:
        settings: Settings of the process.
        http_names: Names of header fields, authorization scheme and path of
            the readiness check.
        codec: Decoder and encoder for rows of the store.
        store: Client of the store.
        counters: Metrics of the process.
        log: Decision log.
        load_settings: Loads the settings again on SIGHUP.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        http_names: HttpNames,
        codec: PlatformCodec,
        store: RestorableTableStore,
        counters: Counters,
        log: DecisionLog,
        load_settings: Callable[[], GatewaySettings],
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._store = store
        self._log = log
        self._load_settings = load_settings
        self._start_id = secrets.randbits(48)
        self._is_draining = False
        self._counters = counters
        self._attended_clock = AttendedClock()
        self._stop_signal = StopSignal(lambda: self._attended_clock.ticked_at)
        self._health = UpstreamHealth()
        self._backoff = UpstreamBackoff()
        self._limits = UpstreamLimits(settings.node)
        self._latencies = LatencyEstimator()
        self._cache = PromptCacheIndex()
        self._crashes = CrashLedger(log)
        self._pool = UpstreamPool(self._idle_connection_limit)
        self._registry = UpstreamRegistry()
        self._quotas = QuotaLimiter(
            QuotaSettings(
                settings.quota_window_s,
                settings.quota_tolerance,
            ),
            report_delay_s=lambda: self._peer_exchange.mean_delay_s,
        )
        self._quota_checkpoint = QuotaCheckpoint(
            store, self._quotas, settings.node, self._is_quota_writer, log
        )
        self._peer_exchange = PeerExchange(
            settings.peer_host,
            settings.zone,
            settings.regions,
            settings.peer_port,
            self._make_report,
            self._apply_report,
            self._remove_peer_state,
            log,
            attended_now=self._attended_clock.monotonic,
        )
        self._directory = NodeDirectory(
            store,
            settings.node,
            settings.peer_host,
            self._peer_exchange.add_hosts,
            log,
        )
        self._quarantine = PromptQuarantine(
            self._crashes,
            settings.peer_host,
            lambda: [peer.host for peer in self._peer_exchange.live_peers()],
            self._peer_exchange.send_report,
            log,
        )
        self._load_tracker = LoadTracker(
            self._peer_exchange.count_live_nodes,
            lambda: self._peer_exchange.interval_s,
            self._attended_clock.monotonic,
        )
        self._retry_budget = RetryBudget(
            settings.retry_ratio,
            settings.retry_window_s,
            settings.retry_slack,
            self._peer_exchange.count_nodes,
        )
        self._buffers = ResponseBuffers()
        self._rollouts = RolloutController(
            settings.node,
            store,
            codec,
            CanaryLimits(settings.canary_share, settings.canary_slack),
            self._peer_exchange.count_nodes,
            lambda upstream_id: (
                not self._load_tracker.load(upstream_id).requests
            ),
            self._registry.usable,
            log,
            is_ejected=self._health.is_ejected,
        )
        self._tables = NodeTables(
            lambda: self._settings,
            codec,
            store,
            self._peer_exchange,
            self._registry,
            self._rollouts.apply_order,
            counters,
            log,
        )
        self._coordination = CoordinationTransport(
            settings.peer_host, settings.coordination_port, log
        )
        directory = CoordinatorDirectory(self._rank_coordinators)
        self._slots = SlotClient(
            self._start_id,
            settings.zone,
            settings.regions,
            directory,
            self._find_usable_upstream,
            self._coordination.send,
            self._find_overdue,
        )
        self._coordinator = SlotCoordinator(
            settings.zone,
            settings.regions,
            self._start_id,
            self._registry,
            UpstreamHealth(),
            self._latencies,
            self._cache,
            self._limits,
            self._tables.find_service,
            lambda service: directory.is_first(
                settings.peer_host, service, settings.region
            ),
            lambda service: [
                host
                for region in set(settings.regions.values())
                if region != settings.region
                for host in directory.coordinators(service, region)[:1]
            ],
            self._coordination.send,
            attended_now=self._attended_clock.monotonic,
        )
        self._coordination.connect(self._coordinator, self._slots)
        self._share_gate = ShareGate(
            self._limits, self._peer_exchange.count_live_nodes
        )
        self._scheduler = Scheduler(
            self._registry,
            UpstreamSelector(
                settings.zone,
                settings.regions,
                self._load_tracker,
                self._health,
                self._latencies,
                self._cache,
                self._share_gate,
            ),
            self._load_tracker,
            self._health,
            self._backoff,
            self._latencies,
            self._cache,
            self._rollouts,
            self._tables.find_service,
            self._peer_exchange.send_early_report,
            self._slots,
            record_answer=self._crashes.record_answer,
            record_whole_answer=self._crashes.record_whole_answer,
            gate=self._share_gate,
        )
        drain_admission = DrainAdmission(self._scheduler, log)
        switch = UpstreamSwitch(
            self._scheduler,
            self._backoff,
            self._health,
            self._load_tracker,
            self._quarantine,
            self._retry_budget,
            drain_admission,
        )
        outputs = OutputEstimator(self._tables.find_service)
        dispatcher = Dispatcher(
            http_names,
            self._scheduler,
            self._pool,
            self._health,
            UpstreamNotices(
                http_names,
                self._registry.get,
                self._registry.record_leaving,
                self._backoff,
                self._limits,
                self._peer_exchange.send_early_report,
                settings.drain_timeout_ms / 1000,
                self._counters,
                log,
            ),
            self._retry_budget,
            switch,
            self._buffers,
            outputs,
            self._counters,
            log,
        )
        self._forwarder = RequestForwarder(
            http_names,
            self._await_routes,
            RequestValidator(http_names, self._quotas, outputs),
            dispatcher,
            self._scheduler,
            self._registry,
            self._pool,
            self._health,
            self._backoff,
            LossDetector(
                self._pool, self._counters, log, self._quarantine.record_loss
            ),
            self._quarantine,
            self._retry_budget,
            switch,
            drain_admission,
            self._counters,
            log,
        )
        self._client_server = ClientServer(
            self._forwarder,
            lambda: self._tables.client_limits,
            counters,
            log,
            self._attended_clock.earliest_arrival,
        )
        self._internal_server = InternalServer(
            http_names.ready_path,
            lambda: self.is_ready,
            self._counters,
            TableServer(self._tables.copies, settings.link_mbps),
            self._quarantine,
            self._coordinator.limits.describe,
        )
        self._add_registry_callbacks()
        store.add_era_callback(self._handle_new_era)
        self._register_gauges()

    def _add_registry_callbacks(self) -> None:
        self._registry.add_removal_callback(self._remove_upstream_state)
        self._registry.add_change_callback(self._scheduler.admit_waiting)
        self._registry.add_change_callback(self._coordinator.update)

    def _handle_new_era(self) -> None:
        """Reads again what the store holds after it was restored."""
        self._log.warning("store_restored", era=self._store.era)
        self._tables.handle_new_era()
        self._directory.handle_new_era()

    def _register_gauges(self) -> None:
        gauges = self._counters.gauges
        gauges["nodes_heard"] = self._peer_exchange.count_live_nodes
        traffic = self._peer_exchange.traffic
        gauges["report_bytes_sent"] = lambda: traffic.sent_bytes
        gauges["report_bytes_received"] = lambda: traffic.received_bytes
        gauges["store_bytes_read"] = lambda: self._counters.store_bytes_read
        gauges["requests_waiting"] = lambda: sum(
            self._scheduler.waiting.values()
        )
        gauges["requests_outstanding"] = lambda: sum(
            requests for _, requests, _, _ in self._load_tracker.local_loads()
        )
        gauges["client_connections"] = lambda: (
            self._client_server.open_connections
        )
        gauges["upstream_connections_opened"] = lambda: (
            self._pool.opened_connections
        )
        gauges["slot_requests_unanswered"] = lambda: (
            self._slots.unanswered_requests
        )
        gauges["quarantined_parts"] = lambda: len(self._crashes.quarantined)
        gauges["upstreams_backing_off"] = lambda: self._backoff.size
        gauges["upstreams_limited"] = lambda: self._limits.size
        gauges["own_decisions"] = lambda: self._slots.own_decisions
        gauges["coordinated_waiting"] = lambda: sum(
            self._coordinator.waiting.values()
        )
        gauges["slot_messages_sent"] = lambda: self._coordination.sent_messages
        gauges["response_bytes_buffered"] = lambda: self._buffers.total_bytes
        gauges["responses_evicted"] = lambda: self._buffers.evictions
        gauges["log_lines_dropped"] = lambda: sum(self._log.dropped.values())

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new connections."""
        return self._is_initialized and not self._is_draining

    @property
    def _is_initialized(self) -> bool:
        """Whether the node has loaded all state required to serve requests."""
        return (
            self._tables.routes is not None
            and self._tables.has_read_upstreams
            and self._quota_checkpoint.is_loaded
        )

    async def run(self) -> None:
        """Serves requests until SIGTERM or SIGINT, then drains and stops."""
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._stop_signal.install()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # It may have been blocked, and pending, during the start.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        self._log.info("started", zone=settings.zone, pid=os.getpid())
        self._peer_exchange.add_hosts(
            parse_address(seed).host for seed in settings.seeds
        )
        listen = parse_address(settings.listen)
        ready = parse_address(settings.ready_listen)
        await self._peer_exchange.start()
        await self._coordination.start()
        await self._internal_server.start(ready.host, ready.port)
        await self._internal_server.start(
            settings.peer_host, settings.metrics_port
        )
        await self._client_server.start(listen.host, listen.port)
        tasks = [
            loop.create_task(self._run_with_restarts(name, run))
            for name, run in (
                ("clock", self._attended_clock.run),
                *self._tables.tasks,
                ("reports", self._peer_exchange.run),
                ("membership", self._directory.run),
                ("checkpoint", self._quota_checkpoint.run),
                ("rollouts", self._rollouts.run),
                ("housekeeping", self._run_housekeeping),
            )
        ]
        await self._drain(await self._stop_signal.wait())
        for task in tasks:
            task.cancel()
        await self._client_server.close()
        self._pool.close_all()
        self._peer_exchange.close()
        self._coordination.close()
        self._log.flush()
        self._log.urgent("stopped")
        self._log.close(_LAST_LINES_S)

    async def _await_routes(self) -> RouteTable | None:
        """Returns the routes; waits for them while the node is starting.

        After all nodes were killed, clients connect before the first response
        of the store, which takes some 50 ms. A refusal in that time would use
        up a client's only retry.
        """
        deadline_at = time.monotonic() + _STARTUP_WAIT_S
        while not self._is_initialized:
            if time.monotonic() > deadline_at:
                return None
            await asyncio.sleep(_STARTUP_POLL_INTERVAL_S)
        return self._tables.routes

    async def _drain(self, signaled_at: float) -> None:
        """Waits for requests in progress, at most for `drain_grace_s`.

        Args:
            signaled_at: Earliest monotonic time of the signal, in seconds.
        """
        self._is_draining = True
        drain = Drain(self._client_server, self._forwarder, self._log)
        schedule = drain.start(signaled_at, self._settings.drain_grace_s)
        self._coordinator.stop()
        self._peer_exchange.send_report()
        await drain.run(schedule)

    def _reload(self) -> None:
        """Applies on SIGHUP the settings that don't need a restart."""
        try:
            settings = self._load_settings()
        except SettingsError as error:
            self._log.error("settings_refused", error=str(error))
            return
        need_restart = [
            name
            for name in settings.__struct_fields__
            if name not in _RELOADED_SETTINGS
            and getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = msgspec.structs.replace(
            self._settings,
            **{name: getattr(settings, name) for name in _RELOADED_SETTINGS},
        )
        self._peer_exchange.add_hosts(
            parse_address(seed).host for seed in settings.seeds
        )
        self._log.info("settings_reloaded", need_restart=need_restart)

    async def _run_with_restarts(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Runs a task and restarts it whenever it fails."""
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:  # A failed task is restarted.
                self._log.error("task_failed", task=name, error=repr(error))
            await asyncio.sleep(0.1)

    async def _run_housekeeping(self) -> None:
        """Detects process pauses, logs the load and drops expired state."""
        last_boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
        last_monotonic = time.monotonic()
        loop_delay_s = 0.0
        next_log_at = last_monotonic + _LOAD_LOG_INTERVAL_S
        while True:
            await asyncio.sleep(_HOUSEKEEPING_INTERVAL_S)
            boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
            monotonic = time.monotonic()
            loop_delay_s = max(
                loop_delay_s,
                monotonic - last_monotonic - _HOUSEKEEPING_INTERVAL_S,
            )
            if monotonic >= next_log_at:
                self._log_load(loop_delay_s)
                loop_delay_s = 0.0
                next_log_at = monotonic + _LOAD_LOG_INTERVAL_S
            # Only the boot-time clock advances while the system is suspended;
            # both clocks advance while the process is stopped.
            if (
                max(boot_time - last_boot_time, monotonic - last_monotonic)
                > _MIN_PROCESS_PAUSE_S
            ):
                self._log.warning(
                    "resumed_after_pause",
                    pause_s=round(boot_time - last_boot_time, 3),
                )
                self._store.drop_connections()
                self._tables.force_full_read()
            last_boot_time, last_monotonic = boot_time, monotonic
            self._quotas.observe_time()
            self._registry.remove_expired()
            self._pool.close_expired()
            self._scheduler.admit_waiting()
            self._coordinator.update()
            self._slots.update()
            self._crashes.expire()
            for start in self._limits.remove_expired(self._registry.get):
                self._share_gate.forget(start)
            self._tables.update_spread(self._is_first_node)
            self._log.flush()

    def _log_load(self, loop_delay_s: float) -> None:
        """Logs statistics that show whether the link or the process is busy.

        Args:
            loop_delay_s: Maximum delay of the event loop since the last such
                log line, in seconds.
        """
        traffic = self._peer_exchange.traffic
        median_s, longest_s = traffic.take_delays_s()
        self._log.info(
            "load",
            loop_delay_s=round(loop_delay_s, 3),
            report_delay_s=round(median_s, 3),
            longest_report_delay_s=round(longest_s, 3),
            report_bytes_sent=traffic.sent_bytes,
            report_bytes_received=traffic.received_bytes,
            reports_sent=traffic.sent_reports,
            whole_reports_sent=traffic.sent_full_reports,
            reports_received=traffic.received_reports,
            nodes_heard=self._peer_exchange.count_live_nodes(),
            store_bytes_read=self._counters.store_bytes_read,
            configuration_answer_age_s=round(
                self._tables.configuration_age_s, 3
            ),
            requests=self._client_server.requests_in_progress,
            waiting=sum(self._scheduler.waiting.values()),
            coordinated_waiting=sum(self._coordinator.waiting.values()),
            slot_messages_sent=self._coordination.sent_messages,
            slot_bytes_sent=self._coordination.sent_bytes,
            slot_requests_unanswered=self._slots.unanswered_requests,
            own_decisions=self._slots.own_decisions,
        )

    def _rank_coordinators(self, service: str, region: str) -> list[str]:
        """Returns the hosts that may coordinate a service in a region."""
        settings = self._settings
        started_before = time.monotonic() - START_DELAY_S
        hosts = [
            (peer.host, peer.rank)
            for peer in self._peer_exchange.live_peers()
            if peer.rank is not None
            and not peer.is_draining
            and peer.started_at <= started_before
            and settings.regions.get(peer.zone) == region
        ]
        if region == settings.region and self._coordinator.is_ready:
            hosts.append((settings.peer_host, self._tables.reader_rank))
        return rank_coordinators(service, hosts)

    def _find_overdue(
        self, service: str, upstream_ids: Iterable[str]
    ) -> list[str]:
        return self._scheduler.find_overdue(service, upstream_ids)

    def _find_usable_upstream(
        self, service: str, upstream_id: str
    ) -> UpstreamRecord | None:
        upstream = self._registry.get(upstream_id)
        if (
            upstream is None
            or upstream not in self._registry.usable(service)
            or self._backoff.is_blocked(upstream)
        ):
            return None
        return upstream

    def _idle_connection_limit(self, service: str) -> int:
        """Returns the maximum number of idle connections to an upstream.

        Idle connections of all nodes together take at most half of the
        connections that an upstream accepts; the rest is left for requests.
        """
        accepted = self._tables.find_service(service).max_connections
        return max(accepted // (2 * self._peer_exchange.count_nodes()), 1)

    def _remove_upstream_state(self, record: UpstreamRecord) -> None:
        self._log.info("upstream_gone", upstream=record.upstream_id)
        self._health.remove_upstream(record.upstream_id)
        self._coordinator.remove_upstream(record.upstream_id)
        self._scheduler.remove_upstream(record)
        self._cache.remove_upstream(record.upstream_id)
        self._load_tracker.remove_upstream(record.upstream_id)
        self._pool.close_idle(record.upstream_id)

    def _make_report(
        self, sequence: int, known_hosts: list[str] | None
    ) -> NodeReport:
        is_whole = known_hosts is not None
        tables = self._tables
        return NodeReport(
            self._settings.node,
            self._start_id,
            sequence,
            self._settings.peer_host,
            self._settings.zone,
            tables.versions,
            self._load_tracker.local_loads(),
            self._latencies.take_samples(),
            round(self._quotas.uptime_s, 1),
            is_whole,
            self._quotas.report() if is_whole else self._quotas.changes(),
            self._rollouts.report(),
            known_hosts or [],
            table_ages_ms=tables.ages_ms,
            link_mbps=round(self._settings.link_mbps),
            is_draining=self._is_draining,
            crash_evidence=self._crashes.report(is_whole),
            table_eras=tables.eras,
            has_lost_rows=tables.has_lost_rows,
            configuration_version=tables.configuration_version,
            limits=self._limits.report(),
            store_round_trip_us=round(self._store.round_trip_s * 1e6),
            can_write_store=self._quota_checkpoint.can_write,
        )

    def _apply_report(self, report: NodeReport) -> None:
        self._tables.apply_report(report)
        self._load_tracker.apply_report(
            report.node,
            report.loads,
            self._peer_exchange.peer_timeout_s(report.zone),
        )
        self._latencies.apply_samples(report.speeds)
        self._limits.apply_report(report.node, report.limits)
        if report.crash_evidence is not None:
            self._crashes.apply_report(report.crash_evidence)
        self._rollouts.apply_report(
            f"{report.node}/{report.start}", report.rollouts
        )
        apply_usage = (
            self._quotas.apply_report
            if report.is_whole
            else self._quotas.apply_changes
        )
        apply_usage(
            f"{report.node}/{report.start}", report.uptime_s, report.uses
        )

    def _is_first_node(self) -> bool:
        """Returns whether this node has the lowest name of all live nodes."""
        return all(
            self._settings.node <= peer.node
            for peer in self._peer_exchange.live_peers()
        )

    def _is_quota_writer(self) -> bool:
        """Returns whether this node writes the checkpoint for all nodes.

        A node that the store turns away doesn't.
        """
        return all(
            self._settings.node <= peer.node
            for peer in self._peer_exchange.live_peers()
            if peer.can_write_store
        )

    def _remove_peer_state(self, node: str) -> None:
        self._load_tracker.remove_report(node)
