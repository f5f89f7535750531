"""What a node reads from the store: the configuration and the upstreams."""

from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from tanagerport.exceptions import DocumentError
from tanagerport.findings import Finding
from tanagerport.gateway.configuration_loader import ConfigurationLoader
from tanagerport.gateway.configuration_spread import ConfigurationSpread
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import (
    ClientLimits,
    Configuration,
    RolloutOrder,
    Service,
    UpstreamRecord,
)
from tanagerport.gateway.peer_exchange import (
    MAX_TABLE_AGE_MS,
    NodeReport,
    PeerExchange,
)
from tanagerport.gateway.platform_codec import PlatformCodec
from tanagerport.gateway.restored_rows import RestoredRows
from tanagerport.gateway.route_table import RouteTable
from tanagerport.gateway.settings import (
    Address,
    GatewaySettings,
    parse_address,
)
from tanagerport.gateway.store_watch import TableWatch
from tanagerport.gateway.table_copy import TableCopy
from tanagerport.gateway.table_exchange import TableClient
from tanagerport.gateway.table_readers import (
    MAX_READER_WAIT_S,
    READERS_PER_REGION,
    ReaderRank,
    follower_age_s,
    reader_rank,
)
from tanagerport.gateway.table_relays import TableRelays
from tanagerport.gateway.table_store import (
    RestorableTableStore,
    Row,
    StoreVersion,
    TableRows,
)
from tanagerport.gateway.upstream_registry import UpstreamRegistry

# A call for changes ends this long before the time limit for regaining contact
# with the store (setting `contact_ms`), so that a stalled connection is
# detected in time. If the connection of only one node stalls, the node detects
# it earlier from the reports of the others.
_WATCH_MARGIN_S = 1.0
_MIN_WATCH_WAIT_S = 0.5
_UNKNOWN_SERVICE = Service("")


class NodeTables:
    """Keeps the configuration and the known upstreams up to date.

    Args:
        get_settings: Returns the settings, of which some are reloaded.
        codec: Decoder of the rows.
        store: Client of the store.
        peer_exchange: Reports of the other nodes.
        registry: Known upstreams.
        apply_order: Called with each rollout order.
        counters: Metrics of the process.
        log: Decision log.
    """

    def __init__(
        self,
        get_settings: Callable[[], GatewaySettings],
        codec: PlatformCodec,
        store: RestorableTableStore,
        peer_exchange: PeerExchange,
        registry: UpstreamRegistry,
        apply_order: Callable[[RolloutOrder], None],
        counters: Counters,
        log: DecisionLog,
    ) -> None:
        settings = get_settings()
        self._get_settings = get_settings
        self._codec = codec
        self._store = store
        self._peer_exchange = peer_exchange
        self._registry = registry
        self._apply_order = apply_order
        self._counters = counters
        self._log = log
        self._own_addresses = {
            parse_address(settings.listen),
            parse_address(settings.ready_listen),
            Address(settings.peer_host, settings.metrics_port),
        }
        self._routes: RouteTable | None = None
        self._has_read_upstreams = False
        self._copies = {
            codec.configuration_table: TableCopy(),
            codec.upstream_table: TableCopy(),
        }
        self._spread = ConfigurationSpread()
        self._loader = ConfigurationLoader(
            codec.create_configuration_reader(), self._apply_configuration, log
        )
        self._reader_rank = reader_rank(settings.peer_host, settings.link_mbps)
        self._watches = self._create_watches()
        self._register_gauges()

    @property
    def routes(self) -> RouteTable | None:
        """Routes of the applied configuration; None before the first."""
        return self._routes

    @property
    def has_read_upstreams(self) -> bool:
        """Whether all upstreams were read once."""
        return self._has_read_upstreams

    @property
    def reader_rank(self) -> ReaderRank:
        """Rank of this node in the selection of readers."""
        return self._reader_rank

    @property
    def copies(self) -> Mapping[str, TableCopy]:
        """Copies of the tables, by name, for other nodes."""
        return self._copies

    @property
    def configuration_version(self) -> int:
        """The operator's number of the applied configuration, or 0."""
        if self._routes is None:
            return 0
        return self._routes.configuration.version

    @property
    def client_limits(self) -> ClientLimits:
        """Limits of what clients may send."""
        if self._routes is None:
            return ClientLimits()
        return self._routes.configuration.limits

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the configuration was known to be up to date."""
        return self._watches[0].age_s

    @property
    def versions(self) -> tuple[int, int]:
        """Implements `NodeReport.table_versions`."""
        configuration, upstreams = self._watches
        return (
            configuration.newest_row_version.number,
            upstreams.newest_row_version.number,
        )

    @property
    def eras(self) -> tuple[int, int]:
        """Implements `NodeReport.table_eras`."""
        configuration, upstreams = self._watches
        return (
            configuration.newest_row_version.era,
            upstreams.newest_row_version.era,
        )

    @property
    def ages_ms(self) -> tuple[int, int]:
        """Implements `NodeReport.table_ages_ms`."""
        configuration, upstreams = self._watches
        return (
            _own_response_age_ms(configuration),
            _own_response_age_ms(upstreams),
        )

    @property
    def has_lost_rows(self) -> tuple[bool, bool]:
        """Implements `NodeReport.has_lost_rows`."""
        return (
            self._copies[self._codec.configuration_table].has_lost_rows,
            self._copies[self._codec.upstream_table].has_lost_rows,
        )

    @property
    def tasks(
        self,
    ) -> list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]]:
        """Names of the tasks that run all the time, and their functions."""
        configuration, upstreams = self._watches
        return [
            ("configuration", configuration.run),
            ("configuration_loader", self._loader.run),
            ("upstreams", upstreams.run),
        ]

    def find_service(self, name: str) -> Service:
        """Returns a service of the applied configuration."""
        if self._routes is None:
            return _UNKNOWN_SERVICE
        return self._routes.configuration.services.get(name, _UNKNOWN_SERVICE)

    def handle_new_era(self) -> None:
        """Reads again what the store holds after it was restored."""
        for watch in self._watches:
            watch.handle_new_era()

    def force_full_read(self) -> None:
        """Makes the next call for each table read all of it."""
        for watch in self._watches:
            watch.force_full_read()

    def apply_report(self, report: NodeReport) -> None:
        """Applies what another node knows of the tables."""
        settings = self._get_settings()
        is_remote = settings.regions.get(report.zone) != settings.region
        for watch, era, number in zip(
            self._watches, report.table_eras, report.table_versions, strict=True
        ):
            watch.handle_peer_version(
                StoreVersion(era, number),
                report.host,
                is_remote,
            )
        for watch, has_lost_rows in zip(
            self._watches, report.has_lost_rows, strict=True
        ):
            if has_lost_rows:
                watch.handle_lost_rows(report.host)
        if report.configuration_version > self.configuration_version:
            self._watches[0].handle_newer_contents(
                StoreVersion(report.table_eras[0], report.table_versions[0]),
                report.host,
            )

    def update_spread(self, is_first_node: Callable[[], bool]) -> None:
        """Records which nodes apply the newest configuration.

        Args:
            is_first_node: Returns whether this node logs it for all of them.
        """
        spread = self._spread
        versions = [
            peer.configuration_version
            for peer in self._peer_exchange.live_peers()
        ]
        if (
            spread.update([*versions, self.configuration_version])
            and is_first_node()
        ):
            self._log.info(
                "configuration_in_force",
                version=spread.newest,
                nodes=len(versions) + 1,
                spread_s=round(spread.spread_s, 3),
            )

    def _register_gauges(self) -> None:
        gauges = self._counters.gauges
        configuration, upstreams = self._watches
        gauges["configuration_answer_age_seconds"] = lambda: configuration.age_s
        gauges["upstreams_answer_age_seconds"] = lambda: upstreams.age_s
        gauges["configuration_version"] = lambda: self.configuration_version
        spread = self._spread
        gauges["configuration_spread_seconds"] = lambda: spread.spread_s
        gauges["configuration_nodes_behind"] = lambda: spread.nodes_behind
        gauges["store_round_trip_seconds"] = lambda: self._store.round_trip_s
        gauges["store_era"] = lambda: self._store.era
        gauges["upstreams_known"] = lambda: len(self._registry.all_records())

    def _create_watches(self) -> tuple[TableWatch, TableWatch]:
        """Creates the watches in the order of `NodeReport.table_versions`."""
        codec = self._codec
        return (
            self._create_watch(
                0,
                codec.configuration_table,
                RestoredRows(codec.configuration_age, keeps_missing=True),
                self._apply_configuration_rows,
                self._apply_configuration_rows,
            ),
            self._create_watch(
                1,
                codec.upstream_table,
                RestoredRows(codec.upstream_age, keeps_missing=False),
                self._replace_upstreams,
                self._update_upstreams,
            ),
        )

    def _create_watch(
        self,
        index: int,
        table: str,
        restored: RestoredRows,
        on_full_read: Callable[[TableRows], None],
        on_changes: Callable[[TableRows], None],
    ) -> TableWatch:
        """Creates the watch of a table.

        Args:
            index: Index of the table in `NodeReport.table_versions`.
            table: Name of the table.
            restored: Keeps rows that are newer than those of a restored store.
            on_full_read: Called with all rows after a full read.
            on_changes: Called with the changed rows.
        """
        return TableWatch(
            self._store,
            table,
            self._copies[table],
            TableClient(self._get_settings().metrics_port),
            lambda: follower_age_s(
                self._reader_rank, self._peer_exchange.reader_candidates(index)
            ),
            self._get_watch_wait_s,
            restored,
            on_full_read,
            on_changes,
            self._registry.record_store_state,
            self._log,
            get_receiving=lambda: self._store.receiving(table),
            reads=self._counters.table_reads,
            relays=TableRelays(
                lambda: self._peer_exchange.nearer_readers(
                    index, self._store.round_trip_s
                )
            ),
        )

    def _get_watch_wait_s(self) -> float:
        """Returns the maximum wait of a call for changes, in seconds.

        It is shorter in a region where some nodes follow readers of the table
        (see `table_readers`).
        """
        wait_s = max(
            self._get_settings().contact_ms / 1000 - _WATCH_MARGIN_S,
            _MIN_WATCH_WAIT_S,
        )
        if len(self._peer_exchange.reader_candidates(0)) >= READERS_PER_REGION:
            return min(wait_s, MAX_READER_WAIT_S)
        return wait_s

    def _apply_configuration_rows(self, rows: TableRows) -> None:
        for row in rows.rows:
            if row.value is None:
                continue
            try:
                order = self._codec.decode_rollout(row)
            except DocumentError as error:
                self._log.error(
                    "configuration_unreadable", key=row.key, error=str(error)
                )
                continue
            if order is not None:
                self._apply_order(order)
            elif self._codec.is_configuration(row):
                self._loader.submit(row)

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

    def _replace_upstreams(self, rows: TableRows) -> None:
        self._has_read_upstreams = True
        self._registry.replace_all(
            (
                record
                for row in rows.rows
                if (record := self._decode_upstream(row)) is not None
            ),
            rows.era,
        )

    def _update_upstreams(self, rows: TableRows) -> None:
        for row in rows.rows:
            if row.value is None:
                self._log.info("upstream_row_gone", upstream=row.key)
                self._registry.remove(row.key)
                continue
            record = self._decode_upstream(row)
            if record is not None:
                self._registry.put(record)

    def _decode_upstream(self, row: Row) -> UpstreamRecord | None:
        """Decodes a row; an unreadable one takes its upstream out of use."""
        try:
            record = self._codec.decode_upstream(row)
            self._check_upstream_address(record)
        except DocumentError as error:
            self._log.warning(
                "upstream_unreadable", key=row.key, error=str(error)
            )
            self._registry.discard(row.key)
            return None
        previous = self._registry.get(record.upstream_id)
        if previous is None or previous.state is not record.state:
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

    def _check_upstream_address(self, record: UpstreamRecord) -> None:
        """Checks that an upstream isn't this node itself.

        The node would forward a request to itself again and again.

        Raises:
            DocumentError: The address is one of this node.
        """
        if Address(record.host, record.port) in self._own_addresses:
            raise DocumentError(
                f"upstream {record.upstream_id}",
                [Finding("address", "is an address of this node")],
            )


def _own_response_age_ms(watch: TableWatch) -> int:
    return round(min(watch.own_response_age_s * 1000, MAX_TABLE_AGE_MS))
