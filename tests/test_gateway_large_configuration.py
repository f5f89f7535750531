"""Tests of large configurations at many nodes behind a thin link."""

import asyncio
import json
import random
import time
from collections.abc import Callable, Sequence

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

_NODES = 23
_LINK_BYTES_PER_S = 60e6 / 8
# A configuration of 2,851 routes, and the answer that has it, in base64.
_ROW_BYTES = 600_000
_ANSWER_BYTES = 810_000
# A call that gets no bytes for so long is given up.
_IDLE_TIMEOUT_S = 1.0
_REPORT_INTERVAL_S = 0.3
_CHANGE_INTERVAL_S = 3.0
_CHANGES = 6
# `config_apply_ms` of the deployments.
_CONFIG_APPLY_S = 2.5


def _make_document() -> bytes:
    """Returns a configuration with names as different as those of operators."""
    names = random.Random(1)
    routes = []
    size = 0
    while size < _ROW_BYTES:
        name = f"{names.getrandbits(40):x}"
        route = json.dumps(
            {
                "name": name,
                "hostname": f"{name[:6]}.example",
                "prefix": f"/{name[6:]}/",
                "route_type": "streaming",
                "timeout_ms": 12000.0,
                "target_latency_ms": 800.0,
                "service": "tutor-models",
                "max_attempts": 2,
            }
        )
        routes.append(route)
        size += len(route)
    return "".join(routes).encode()


class _Link:
    """The link from the store to a region; its calls share it evenly.

    Attributes:
        sent_bytes: Bytes that went over the link.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0.0
        self._transfers = 0

    async def transfer(
        self, size: float, on_progress: Callable[[], None]
    ) -> None:
        """Sends an answer."""
        self._transfers += 1
        try:
            while size > 0:
                started_at = time.monotonic()
                share = _LINK_BYTES_PER_S / self._transfers
                await asyncio.sleep(0.02)
                part = min(share * (time.monotonic() - started_at), size)
                size -= part
                self.sent_bytes += part
                on_progress()
        finally:
            self._transfers -= 1


class _Store:
    """The store."""

    def __init__(self) -> None:
        self.version = 1
        self.document = _make_document()
        self.changed = asyncio.Condition()

    async def change(self) -> None:
        async with self.changed:
            self.version += 1
            self.changed.notify_all()


class _StoreClient:
    """The store as one node of a region reaches it.

    Attributes:
        receiving: Progress of the answer that is being received.
    """

    def __init__(self, store: _Store, link: _Link) -> None:
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
            return TableRows((), self._store.version)
        return await self._receive()

    async def _receive(self) -> TableRows:
        began_at = time.monotonic()

        def record_progress() -> None:
            self.receiving = Receiving(began_at, time.monotonic())

        try:
            await self._link.transfer(_ANSWER_BYTES, record_progress)
        finally:
            self.receiving = None
        version = self._store.version
        row = Row("config", self._store.document, version)
        return TableRows((row,), version)


class _Node:
    """A node of the region; rank 0 is selected first as a reader.

    Attributes:
        applied_at: Monotonic time at which it applied each version.
    """

    def __init__(
        self, rank: int, store: _StoreClient, nodes: "list[_Node]"
    ) -> None:
        self.host = str(rank)
        self.rank = ReaderRank(-1.0, rank)
        self.copy = TableCopy()
        self.applied_at: dict[int, float] = {}
        self.relay_link: _Link | None = None
        self.relay_hosts: Sequence[str] = ()
        self.relays: list[_Node] = []
        self.reported_age_s = float("inf")
        self.reported_at = time.monotonic()
        self._nodes = nodes
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
            relays=TableRelays(lambda: self.relay_hosts),
        )

    async def await_changes(
        self, host: str, table: str, after: StoreVersion, wait_s: float
    ) -> RelayedChanges:
        """Implements `TableFetcher` over the link between the regions."""
        server = TableServer({table: self.relays[int(host)].copy}, 100.0)
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
        changes = decode_changes(response.body, 10 * _ROW_BYTES)
        return RelayedChanges(changes, response.age_s)

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        """Implements `TableFetcher` within the region."""
        del table
        await asyncio.sleep(0.1)
        other = self._nodes[int(host)].copy
        if other.version <= after:
            raise StoreUnavailableError("no newer rows")
        return other._collect_changes(after)

    async def report(self) -> None:
        """Tells the other nodes its version, as the reports do."""
        while True:
            await asyncio.sleep(
                _REPORT_INTERVAL_S * (0.8 + int(self.host) / 60)
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


async def _measure_changes(
    store: _Store, nodes: list[_Node], link: _Link
) -> tuple[list[float], float]:
    """Makes changes in series.

    Returns:
        Seconds until each change was in force at all nodes, and the bytes that
        crossed the link, in answers of the store.
    """
    tasks = [
        asyncio.create_task(run)
        for node in nodes
        for run in (node.watch.run(), node.report())
    ]
    await asyncio.sleep(6.0)
    sent_before = link.sent_bytes
    delays_s = []
    for _ in range(_CHANGES):
        changed_at = time.monotonic()
        await store.change()
        await asyncio.sleep(_CHANGE_INTERVAL_S)
        delays_s.append(
            max(
                node.applied_at.get(store.version, float("inf"))
                for node in nodes
            )
            - changed_at
        )
    for task in tasks:
        task.cancel()
    return delays_s, (link.sent_bytes - sent_before) / _ANSWER_BYTES


class TestManyNodes:
    """Guards against nodes that all read a large change from the store."""

    def test_change_reaches_all_nodes_in_time(self) -> None:
        """Guards against readers that count as lost while they read.

        The nodes that took their place read the same change over the same
        link, and no change of a series was in force in time.
        """

        async def run() -> tuple[list[float], float]:
            link = _Link()
            store = _Store()
            nodes: list[_Node] = []
            nodes += [
                _Node(rank, _StoreClient(store, link), nodes)
                for rank in range(_NODES)
            ]
            return await _measure_changes(store, nodes, link)

        delays_s, answers = asyncio.run(run())
        assert max(delays_s) <= _CONFIG_APPLY_S
        # Six nodes of a region read from the store.
        assert answers <= 1.5 * 6 * _CHANGES


class TestDistantRegion:
    """Guards against a change that crosses a thin link again and again."""

    def test_change_crosses_the_link_compressed(self) -> None:
        """Guards against readers that each read it as the store encodes it."""

        async def run() -> tuple[list[float], float]:
            link, near_link = _Link(), _Link()
            store = _Store()
            near: list[_Node] = []
            near += [
                _Node(rank, _StoreClient(store, near_link), near)
                for rank in range(6)
            ]
            far: list[_Node] = []
            far += [
                _Node(rank, _StoreClient(store, link), far)
                for rank in range(_NODES)
            ]
            for node in far:
                node.relay_link = link
                node.relay_hosts = [other.host for other in near]
                node.relays = near
            return await _measure_changes(store, near + far, link)

        delays_s, answers = asyncio.run(run())
        assert max(delays_s) <= _CONFIG_APPLY_S
        # Compression makes a configuration five times as small, and more.
        assert answers <= 6 * _CHANGES / 5
