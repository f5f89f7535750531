"""Nodes that keep a table of the store up to date, over simulated links."""

import asyncio
import json
import random
import time
from collections.abc import Callable

from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.restored_rows import RestoredRows
from tanagerport.gateway.store_watch import TableWatch
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_exchange import RelayedChanges, TableServer
from tanagerport.gateway.table_readers import (
    MAX_READER_WAIT_S,
    ReaderRank,
    follower_age_s,
)
from tanagerport.gateway.table_relays import TableRelays
from tanagerport.gateway.table_store import (
    Receiving,
    Row,
    StoreVersion,
    TableRows,
)

# Time of a fetch between nodes without simulated links, in seconds.
_FETCH_S = 0.1
_REPORT_INTERVAL_S = 0.3
# Interval of reports to another region with that of the relay, in seconds.
_REMOTE_REPORT_S = 1.6
# Prefix of the hosts of another region.
_REMOTE = "remote-"
_MAX_BYTES = 32 * 1024 * 1024


def make_document(routes_count: int) -> bytes:
    """Returns routes with names as different as those of operators."""
    names = random.Random(1)
    routes = []
    for _ in range(routes_count):
        name = f"{names.getrandbits(40):x}"
        route = json.dumps(
            {
                "name": name,
                "hostname": f"{name[:6]}.example",
                "prefix": f"/{name[6:]}/",
                "route_type": "streaming",
                "timeout_ms": 12000.0,
                "target_latency_ms": 800.0,
                "priority_class": 1,
                "service": "tutor-models",
                "max_attempts": 2,
            }
        )
        routes.append(route)
    return "".join(routes).encode()


class Link:
    """A link whose transfers share it evenly.

    Args:
        bytes_per_s: Bandwidth.

    Attributes:
        bytes_per_s: Bandwidth.
        sent_bytes: Bytes that went over the link.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.sent_bytes = 0.0
        self.bytes_per_s = bytes_per_s
        self._transfers = 0

    async def transfer(
        self, size: float, on_progress: Callable[[], None]
    ) -> None:
        """Sends an answer."""
        self._transfers += 1
        try:
            while size > 0:
                started_at = time.monotonic()
                share = self.bytes_per_s / self._transfers
                await asyncio.sleep(0.02)
                part = min(share * (time.monotonic() - started_at), size)
                size -= part
                self.sent_bytes += part
                on_progress()
        finally:
            self._transfers -= 1


class Store:
    """The store.

    Args:
        routes_count: Number of routes of the configuration.

    Attributes:
        version: Its newest version.
        document: The configuration.
        calls: Number of calls that were answered.
    """

    def __init__(self, routes_count: int) -> None:
        self.version = 1
        self.document = make_document(routes_count)
        self.calls = 0
        self.changed = asyncio.Condition()

    async def change(self) -> None:
        async with self.changed:
            self.version += 1
            self.changed.notify_all()


class StoreClient:
    """The store as one node of a region reaches it.

    Attributes:
        receiving: Progress of the answer that is being received.
    """

    def __init__(self, store: Store, link: Link) -> None:
        self.receiving: Receiving | None = None
        self._store = store
        self._link = link

    async def read(self, table: str) -> TableRows:
        del table
        return await self._receive()

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table
        try:
            async with asyncio.timeout(wait_s), self._store.changed:
                await self._store.changed.wait_for(
                    lambda: self._store.version > after
                )
        except TimeoutError:
            self._store.calls += 1
            return TableRows((), self._store.version)
        return await self._receive()

    async def _receive(self) -> TableRows:
        began_at = time.monotonic()

        def record_progress() -> None:
            self.receiving = Receiving(began_at, time.monotonic())

        try:
            # The store encodes rows in base64.
            size = len(self._store.document) * 4 / 3
            await self._link.transfer(size, record_progress)
        finally:
            self.receiving = None
        self._store.calls += 1
        version = self._store.version
        row = Row("config", self._store.document, version)
        return TableRows((row,), version)


class SimulatedNode:
    """A node of the region; rank 0 is selected first as a reader.

    Attributes:
        applied_at: Monotonic time at which it applied each version.
        relay_link: Link to its relays in another region.
        relays: Nodes of another region through which it watches the store.
        remote_nodes: Nodes of another region that hear of its version.
        link: Its own link; None if fetches take a fixed time.
        report_interval_s: Mean interval of its reports, in seconds.
    """

    def __init__(
        self, rank: int, store: StoreClient, nodes: "list[SimulatedNode]"
    ) -> None:
        self.host = str(rank)
        self.rank = ReaderRank(-1.0, rank)
        self.copy = TableCopy()
        self.applied_at: dict[int, float] = {}
        self.relay_link: Link | None = None
        self.link: Link | None = None
        self.report_interval_s = _REPORT_INTERVAL_S
        self.relays: list[SimulatedNode] = []
        self.remote_nodes: list[SimulatedNode] = []
        self.reported_age_s = float("inf")
        self.reported_at = time.monotonic()
        self._nodes = nodes
        # Reports of different nodes do not come together.
        self._offset = random.Random(rank).random()
        self.watch = TableWatch(
            store,  # type: ignore[arg-type]
            "op",
            self.copy,
            self,
            self._follower_age_s,
            lambda: MAX_READER_WAIT_S,
            RestoredRows(lambda row: None, keeps_missing=True),
            self._apply,
            self._apply,
            lambda is_reachable: None,
            DecisionLog("n"),
            get_receiving=lambda: store.receiving,
            relays=TableRelays(lambda: [node.host for node in self.relays]),
        )

    async def await_changes(
        self, host: str, table: str, after: StoreVersion, wait_s: float
    ) -> RelayedChanges:
        """Implements `TableFetcher` over the link between the regions."""
        (relay,) = (node for node in self.relays if node.host == host)
        server = TableServer({table: relay.copy}, 100.0)
        response = await server.respond(
            f"/tables?table={table}&after={after.number}"
            f"&wait_ms={wait_s * 1000:.0f}"
        )
        assert response.age_s is not None and self.relay_link is not None
        if response.status == 204:
            return RelayedChanges(None, response.age_s)
        if response.status != 200:
            raise StoreUnavailableError(f"{host}: {response.status}")
        await self.relay_link.transfer(len(response.body), lambda: None)
        changes = decode_changes(response.body, _MAX_BYTES)
        return RelayedChanges(changes, response.age_s)

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        """Implements `TableFetcher` within the region."""
        del table
        if host.startswith(_REMOTE):
            return await self._fetch_remote(host.removeprefix(_REMOTE), after)
        other = self._nodes[int(host)]
        if other.copy.version <= after:
            raise StoreUnavailableError("no newer rows")
        if other.link is None or self.link is None:
            await asyncio.sleep(_FETCH_S)
        else:
            size = len(other.copy.encode_changes(after))
            # Each of the two links carries it.
            await other.link.transfer(size, lambda: None)
            await self.link.transfer(size, lambda: None)
        return other.copy._collect_changes(after)

    async def _fetch_remote(
        self, host: str, after: StoreVersion
    ) -> TableChanges:
        other = self.remote_nodes[int(host)].copy
        if other.version <= after or self.relay_link is None:
            raise StoreUnavailableError("no newer rows")
        await self.relay_link.transfer(
            len(other.encode_changes(after)), lambda: None
        )
        return other._collect_changes(after)

    async def report_to_remote(self) -> None:
        """Tells the nodes of another region its version, through a relay."""
        while True:
            await asyncio.sleep(_REMOTE_REPORT_S * (0.8 + 0.4 * self._offset))
            for node in self.remote_nodes:
                node.watch.handle_peer_version(
                    self.copy.version, _REMOTE + self.host, is_remote=True
                )

    async def report(self) -> None:
        """Tells the other nodes its version, as the reports do."""
        while True:
            await asyncio.sleep(
                self.report_interval_s * (0.8 + 0.4 * self._offset)
            )
            self.reported_age_s = self.watch.own_response_age_s
            self.reported_at = time.monotonic()
            for node in self._nodes:
                if node is not self:
                    node.watch.handle_peer_version(self.copy.version, self.host)

    def _follower_age_s(self) -> float | None:
        now = time.monotonic()
        return follower_age_s(
            self.rank,
            [
                (node.rank, node.reported_age_s + now - node.reported_at)
                for node in self._nodes
                if node is not self
            ],
        )

    def _apply(self, rows: TableRows) -> None:
        for row in rows.rows:
            self.applied_at.setdefault(row.version, time.monotonic())
