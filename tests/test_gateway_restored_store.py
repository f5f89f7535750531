"""Tests of nodes whose store was restored from a copy some seconds old."""

import asyncio
import contextlib
import json
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

import platform_standin as standin
from gateway_doubles import NoRelays
from platform_standin import LocalCluster, StoreStandin, configuration, route
from tanagerport.clock import FakeClock
from tanagerport.exceptions import (
    OutcomeUnknownError,
    PlatformError,
    StoreConflictError,
    StoreUnavailableError,
)
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.node_directory import NodeDirectory
from tanagerport.gateway.restored_rows import RestoredRows, RowAge
from tanagerport.gateway.settings import Address
from tanagerport.gateway.store_watch import TableWatch
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_exchange import TableServer
from tanagerport.gateway.table_store import (
    NO_VERSION,
    HistoryLostError,
    Row,
    RowWrite,
    StoreVersion,
    TableRows,
)
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport_platform.documents import StoreCodec
from tanagerport_platform.store import PlatformStore


def _run_with_store(
    scenario: Callable[[StoreStandin, PlatformStore], Awaitable[None]],
) -> None:
    async def run() -> None:
        server = StoreStandin()
        await server.start()
        client = PlatformStore(Address(standin.HOST, server.port), Counters())
        try:
            await scenario(server, client)
        finally:
            client.drop_connections()
            await server.stop()

    asyncio.run(run())


class TestStoreClient:
    """Guards against versions of two histories that are taken for one."""

    def test_rows_carry_the_era_of_their_response(self) -> None:
        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await server.put("op", "config", b"1")
            copy = server.snapshot()
            rows = await client.read("op")
            assert rows.store_version == StoreVersion(1, 1)
            await server.restore(copy)
            with pytest.raises(PlatformError):
                # The connection was cut by the restart.
                await client.read("op")
            rows = await client.read("op")
            assert rows.store_version == StoreVersion(2, 1)
            assert rows.rows[0].store_version == StoreVersion(2, 1)

        _run_with_store(scenario)

    def test_version_that_the_store_lacks_is_reported_as_lost_history(
        self,
    ) -> None:
        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            copy = server.snapshot()
            await server.put("op", "config", b"1")
            await server.restore(copy)
            with pytest.raises(HistoryLostError):
                await client.watch("op", 1, 0.1)

        _run_with_store(scenario)

    def test_callback_runs_once_for_each_new_era(self) -> None:
        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            eras: list[int] = []
            client.add_era_callback(lambda: eras.append(client.era))
            for era in (3, 3, 4, 6):
                server.era = era
                await client.read("op")
            assert eras == [4, 6]

        _run_with_store(scenario)

    def test_refused_call_shows_the_new_era_too(self) -> None:
        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await client.read("op")
            server.era = 2
            server.mode = "busy"
            with pytest.raises(StoreUnavailableError):
                await client.read("op")
            assert client.era == 2

        _run_with_store(scenario)

    def test_late_response_of_an_earlier_era_is_discarded(self) -> None:
        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            server.era = 2
            await client.read("op")
            server.era = 1
            with pytest.raises(StoreUnavailableError):
                await client.read("op")
            with pytest.raises(OutcomeUnknownError):
                await client.transact([RowWrite("own", "a", b"1")])
            assert client.era == 2

        _run_with_store(scenario)

    @pytest.mark.parametrize("era", [None, "", "x", "-1", "9" * 400])
    def test_missing_or_malformed_era_keeps_the_last_known(
        self, era: str | None
    ) -> None:
        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            server.era = era
            assert (await client.read("op")).era == 0
            server.era = 5
            await client.read("op")
            server.era = era
            assert (await client.read("op")).era == 5

        _run_with_store(scenario)

    def test_read_starts_again_if_the_era_changes_between_pages(self) -> None:
        """Guards against a table whose first page is from a lost history."""

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await server.put("op", "a", b"lost")
            await server.put("op", "b", b"old")
            server.max_rows_per_page = 1
            pages = 0
            read_page = server._read_page

            async def read_and_restore(query: dict[str, str]) -> Any:
                nonlocal pages
                pages += 1
                if pages == 2:
                    server._rows["op", "a"] = (1, b"restored")
                    server.era = 2
                return await read_page(query)

            server._read_page = read_and_restore  # type: ignore[method-assign]
            rows = await client.read("op")
            assert [row.value for row in rows.rows] == [b"restored", b"old"]
            assert rows.era == 2

        _run_with_store(scenario)

    def test_condition_read_in_another_era_is_a_conflict(self) -> None:
        """Guards against a lease that is taken over by a reused number."""

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await client.transact([RowWrite("own", "a", b"1")])
            row = (await client.read("own")).rows[0]
            server.era = 2
            write = RowWrite("own", "a", b"2", row.version, row.era)
            with pytest.raises(StoreConflictError):
                await client.transact([write])
            assert client.era == 2
            with pytest.raises(StoreConflictError):
                await client.transact([write])

        _run_with_store(scenario)


class _Store:
    """Store whose content and era a test sets; watch calls hang."""

    def __init__(self, rows: TableRows) -> None:
        self.rows = rows
        self.reads = 0
        self.watched: list[int] = []
        self.changed = asyncio.Event()

    async def read(self, table: str) -> TableRows:
        del table
        self.reads += 1
        return self.rows

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, wait_s
        self.watched.append(after)
        await self.changed.wait()
        self.changed.clear()
        return TableRows((), self.rows.version, self.rows.era)


class _CopyFetcher(NoRelays):
    """Fetcher that serves all requests from one table copy."""

    def __init__(self, copy: TableCopy) -> None:
        self.copy = copy
        self.requests: list[StoreVersion] = []

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        del table
        self.requests.append(after)
        if self.copy.version <= after:
            raise StoreUnavailableError(f"{host} responded with status 409")
        return decode_changes(self.copy.encode_changes(after), 10**6)


def _config(version: int) -> bytes:
    return json.dumps(configuration(version, [])).encode()


def _config_rows(config: int, number: int, era: int) -> TableRows:
    row = Row("config", _config(config), number, era)
    return TableRows((row,), number, era)


class _World:
    """One watch of the configuration table, its store and a peer."""

    def __init__(self, rows: TableRows, is_follower: bool = False) -> None:
        self.store = _Store(rows)
        self.peer = TableCopy()
        self.fetcher = _CopyFetcher(self.peer)
        self.copy = TableCopy()
        self.clock = FakeClock(100.0)
        self.changes: list[TableRows] = []
        codec = StoreCodec()
        self.watch = TableWatch(
            self.store,  # type: ignore[arg-type]
            "op",
            self.copy,
            self.fetcher,
            lambda: 0.5 if is_follower else None,
            lambda: 3.0,
            RestoredRows(codec.configuration_age, True, self.clock.monotonic),
            self.changes.append,
            self.changes.append,
            lambda is_reachable: None,
            DecisionLog("n"),
            self.clock.monotonic,
        )

    def config(self) -> int:
        """Returns the operator's number of the configuration in the copy."""
        changes = decode_changes(self.copy.encode_changes(NO_VERSION), 10**6)
        (value,) = [value for key, value, _ in changes.rows if key == "config"]
        return int(json.loads(value or b"")["version"])

    def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def run() -> None:
            self.store.changed = asyncio.Event()
            task = asyncio.create_task(self.watch.run())
            await asyncio.sleep(0.02)
            await scenario()
            task.cancel()

        asyncio.run(run())


class TestWatch:
    """Guards against a node that goes on from a number of a lost history."""

    def test_answer_of_a_new_era_leads_to_a_full_read(self) -> None:
        world = _World(_config_rows(11, 109, 1))

        async def scenario() -> None:
            # The number 109 was given out again to another row.
            world.store.rows = _config_rows(14, 109, 2)
            world.store.changed.set()
            await asyncio.sleep(0.3)

        world.run(scenario)
        assert world.config() == 14
        assert world.copy.version == StoreVersion(2, 109)
        assert world.store.reads == 2

    def test_new_era_ends_a_call_in_progress(self) -> None:
        world = _World(_config_rows(11, 109, 1))

        async def scenario() -> None:
            world.store.rows = _config_rows(14, 109, 2)
            world.watch.handle_new_era()
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.config() == 14

    def test_late_full_read_of_an_earlier_era_is_discarded(self) -> None:
        world = _World(_config_rows(14, 109, 2))

        async def scenario() -> None:
            world.store.rows = _config_rows(15, 200, 1)
            world.watch.handle_new_era()
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.config() == 14
        assert world.copy.version == StoreVersion(2, 109)

    def test_two_restorings_before_the_next_call_lead_to_one_read(self) -> None:
        world = _World(_config_rows(11, 109, 1))

        async def scenario() -> None:
            world.store.rows = _config_rows(14, 50, 3)
            world.store.changed.set()
            await asyncio.sleep(0.3)

        world.run(scenario)
        assert world.copy.version == StoreVersion(3, 50)
        assert world.store.reads == 2

    def test_follower_takes_a_lower_number_of_a_higher_era(self) -> None:
        """Guards against configurations that never reach the followers.

        After the store came back, readers had the new configuration under a
        number that followers knew from the lost history, and 57 of 69 nodes
        kept the former one.
        """
        world = _World(_config_rows(11, 109, 1), is_follower=True)
        world.peer.replace(_config_rows(14, 109, 2))

        async def scenario() -> None:
            world.watch.handle_peer_version(StoreVersion(2, 109), "10.0.0.2")
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.config() == 14
        assert world.store.reads == 1

    def test_follower_does_not_read_the_store_in_a_new_era(self) -> None:
        """Guards against all nodes of a large site reading full tables."""
        world = _World(_config_rows(11, 109, 1), is_follower=True)

        async def scenario() -> None:
            world.store.rows = _config_rows(14, 109, 2)
            world.watch.handle_new_era()
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.store.reads == 1

    def test_peer_of_an_earlier_era_with_a_higher_number_is_not_newer(
        self,
    ) -> None:
        world = _World(_config_rows(14, 108, 2), is_follower=True)
        world.peer.replace(_config_rows(11, 109, 1))

        async def scenario() -> None:
            world.watch.handle_peer_version(StoreVersion(1, 109), "10.0.0.2")
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.fetcher.requests == []
        assert world.config() == 14

    def test_older_configuration_of_the_copy_is_not_passed_on(self) -> None:
        """Guards against a node that learns a lost configuration's past."""
        world = _World(_config_rows(11, 109, 1))

        async def scenario() -> None:
            world.store.rows = _config_rows(8, 100, 2)
            world.watch.handle_new_era()
            await asyncio.sleep(0.05)
            # A second full read in the same era must not lose it either.
            world.watch.handle_new_era()
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.config() == 11
        assert world.copy.version == StoreVersion(2, 100)
        assert world.copy.has_lost_rows

    def test_started_node_gets_a_lost_configuration_from_its_peers(
        self,
    ) -> None:
        world = _World(_config_rows(8, 100, 2))
        kept = RestoredRows(StoreCodec().configuration_age, True)
        kept.reconcile(_config_rows(11, 109, 1), True)
        order = Row("rollout/svc", b"{}", 90, 1)
        kept.reconcile(TableRows((order,), 109, 1), False)
        world.peer.replace(kept.reconcile(_config_rows(8, 100, 2), True))

        async def scenario() -> None:
            world.watch.handle_lost_rows("10.0.0.2")
            await asyncio.sleep(0.05)
            # A later full read of the store must not drop them.
            world.watch.handle_new_era()
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.config() == 11
        rows = decode_changes(world.copy.encode_changes(NO_VERSION), 10**6).rows
        assert "rollout/svc" in [key for key, _, _ in rows]

    def test_newer_configuration_of_a_node_of_an_earlier_era_is_taken(
        self,
    ) -> None:
        """Guards against a node that is right by the operator's number only.

        A node that is cut off from the store has the configuration that the
        store lost, under a version of an earlier era.
        """
        world = _World(_config_rows(8, 100, 2))
        world.peer.replace(_config_rows(11, 109, 1))

        async def scenario() -> None:
            world.watch.handle_newer_contents(StoreVersion(1, 109), "10.0.0.2")
            await asyncio.sleep(0.05)

        world.run(scenario)
        assert world.config() == 11
        assert world.copy.version == StoreVersion(2, 100)


class TestExchange:
    """Guards against changes that are computed across two eras."""

    def test_requester_of_another_era_gets_the_full_table(self) -> None:
        copy = TableCopy()
        copy.replace(_config_rows(14, 109, 2))
        server = TableServer({"op": copy}, 5.0, FakeClock().monotonic)
        status, body = server.handle_request("/tables?table=op&after=200&era=1")
        assert status == 200
        changes = decode_changes(body, 10**6)
        assert changes.is_whole
        assert changes.table_rows.store_version == StoreVersion(2, 109)

    def test_requester_of_a_later_era_gets_nothing(self) -> None:
        copy = TableCopy()
        copy.replace(_config_rows(14, 109, 2))
        server = TableServer({"op": copy}, 5.0, FakeClock().monotonic)
        target = "/tables?table=op&after=7&era=3"
        assert server.handle_request(target)[0] == 409


def _server_row(
    number: int, era: int, sequence: int, state: str, born: int = 1
) -> Row:
    value = {"state": state, "sequence": sequence, "born": born}
    return Row("u-1", json.dumps(value).encode(), number, era)


class TestLostRows:
    """Guards against what was in force going back to an older content."""

    def _create(self, clock: FakeClock | None = None) -> RestoredRows:
        return RestoredRows(
            StoreCodec().upstream_age,
            False,
            (clock or FakeClock(100.0)).monotonic,
        )

    def _states(self, rows: TableRows) -> list[str]:
        return [
            json.loads(row.value)["state"] for row in rows.rows if row.value
        ]

    def test_draining_upstream_stays_draining(self) -> None:
        restored = self._create()
        for row in (
            _server_row(5, 1, 3, "available"),
            _server_row(6, 1, 4, "draining"),
        ):
            restored.reconcile(TableRows((row,), row.version, 1), False)
        old = _server_row(5, 2, 3, "available")
        for _ in range(2):
            rows = restored.reconcile(TableRows((old,), 5, 2), True)
            assert self._states(rows) == ["draining"]
        again = _server_row(6, 2, 9, "available")
        rows = restored.reconcile(TableRows((again,), 6, 2), False)
        assert self._states(rows) == ["available"]

    def test_upstream_that_left_does_not_return(self) -> None:
        restored = self._create()
        row = _server_row(5, 1, 3, "available")
        restored.reconcile(TableRows((row,), 5, 1), True)
        restored.reconcile(TableRows((Row("u-1", None, 6, 1),), 6, 1), False)
        old = _server_row(5, 2, 3, "available")
        restored.reconcile(TableRows((old,), 5, 2), True)
        assert restored.is_held_back(old)
        alive = _server_row(6, 2, 4, "available")
        restored.reconcile(TableRows((alive,), 6, 2), False)
        assert not restored.is_held_back(alive)

    def test_row_of_a_live_upstream_is_not_held_back_forever(self) -> None:
        """Guards against an upstream that is lost until it restarts.

        Its row expired while it was cut off, before the store was restored. It
        finds the row unchanged and does not write it again.
        """
        clock = FakeClock(100.0)
        restored = self._create(clock)
        row = _server_row(5, 1, 3, "available")
        restored.reconcile(TableRows((row,), 5, 1), True)
        restored.reconcile(TableRows((), 6, 1), True)
        old = _server_row(5, 2, 3, "available")
        for _ in range(2):
            restored.reconcile(TableRows((old,), 5, 2), True)
            clock.advance(4.5)
        assert restored.take_due() == [old]
        assert not restored.is_held_back(old)
        assert restored.take_due() == []

    def test_held_back_row_that_is_deleted_again_is_dropped(self) -> None:
        clock = FakeClock(100.0)
        restored = self._create(clock)
        row = _server_row(5, 1, 3, "available")
        restored.reconcile(TableRows((row,), 5, 1), True)
        restored.reconcile(TableRows((), 6, 1), True)
        old = _server_row(5, 2, 3, "available")
        restored.reconcile(TableRows((old,), 5, 2), True)
        restored.reconcile(TableRows((Row("u-1", None, 6, 2),), 6, 2), False)
        clock.advance(9.0)
        assert restored.take_due() == []

    def test_lost_row_that_is_written_again_unchanged_counts(self) -> None:
        restored = self._create()
        row = _server_row(6, 1, 3, "available")
        restored.reconcile(TableRows((row,), 6, 1), True)
        restored.reconcile(TableRows((), 5, 2), True)
        again = _server_row(6, 2, 3, "available")
        rows = restored.reconcile(TableRows((again,), 6, 2), False)
        assert self._states(rows) == ["available"]

    def test_earlier_run_of_an_upstream_does_not_replace_the_later_one(
        self,
    ) -> None:
        restored = self._create()
        row = _server_row(6, 1, 1, "available", born=20)
        restored.reconcile(TableRows((row,), 6, 1), True)
        old = _server_row(5, 2, 90, "draining", born=10)
        rows = restored.reconcile(TableRows((old,), 5, 2), True)
        assert self._states(rows) == ["available"]

    def test_restart_with_a_clock_that_went_back_counts(self) -> None:
        restored = self._create()
        row = _server_row(6, 1, 50, "available", born=20)
        restored.reconcile(TableRows((row,), 6, 1), True)
        new = _server_row(7, 1, 1, "draining", born=10)
        rows = restored.reconcile(TableRows((new,), 7, 1), False)
        assert self._states(rows) == ["draining"]

    def test_memory_of_deleted_rows_expires(self) -> None:
        clock = FakeClock(100.0)
        restored = self._create(clock)
        row = _server_row(5, 1, 3, "available")
        restored.reconcile(TableRows((row,), 5, 1), True)
        restored.reconcile(TableRows((), 6, 1), True)
        clock.advance(61.0)
        rows = restored.reconcile(TableRows((row,), 7, 1), False)
        assert self._states(rows) == ["available"]
        assert restored._deleted == {}

    @pytest.mark.parametrize(
        "value", [b"", b"x", b'{"sequence":"a"}', b"[" * 100_000]
    )
    def test_malformed_row_has_no_age(self, value: bytes) -> None:
        codec = StoreCodec()
        assert codec.upstream_age(Row("u-1", value, 1)) is None
        assert codec.configuration_age(Row("config", value, 1)) is None

    def test_row_age_orders_configurations_by_the_operators_number(
        self,
    ) -> None:
        row = Row("config", _config(7), 1)
        assert StoreCodec().configuration_age(row) == RowAge(0, 7)


class TestOrders:
    """Guards against a rollout that starts again after a restoring.

    The row of an order that was reverted is read again, under the number that
    it had or under a new one, and says nothing new.
    """

    def _reconcile(
        self, restored: RestoredRows, rows: list[Row], number: int, era: int
    ) -> list[Row]:
        reconciled = restored.reconcile(
            TableRows(tuple(rows), number, era), True
        )
        return [row for row in reconciled.rows if restored.is_usable(row)]

    def _order(self, value: bytes, number: int, era: int) -> Row:
        return Row("rollout/svc", value, number, era)

    def _create(self) -> RestoredRows:
        return RestoredRows(StoreCodec().configuration_age, True)

    def test_order_that_the_copy_has_is_not_a_new_one(self) -> None:
        restored = self._create()
        self._reconcile(restored, [self._order(b"v2", 50, 1)], 60, 1)
        rows = self._reconcile(restored, [self._order(b"v2", 50, 2)], 55, 2)
        assert rows == []

    def test_lost_order_that_is_written_again_is_not_a_new_one(self) -> None:
        restored = self._create()
        self._reconcile(restored, [self._order(b"v2", 50, 1)], 60, 1)
        assert self._reconcile(restored, [], 40, 2) == []
        rows = self._reconcile(restored, [self._order(b"v2", 41, 2)], 41, 2)
        assert rows == []

    def test_order_that_the_lost_one_replaced_does_not_return(self) -> None:
        restored = self._create()
        self._reconcile(restored, [self._order(b"v1", 30, 1)], 30, 1)
        self._reconcile(restored, [self._order(b"v2", 50, 1)], 60, 1)
        rows = self._reconcile(restored, [self._order(b"v1", 30, 2)], 40, 2)
        assert rows == []

    def test_other_order_in_the_new_era_is_applied(self) -> None:
        restored = self._create()
        self._reconcile(restored, [self._order(b"v2", 50, 1)], 60, 1)
        order = self._order(b"v3", 50, 2)
        assert self._reconcile(restored, [order], 50, 2) == [order]

    def test_same_order_written_twice_in_the_new_era_is_applied(self) -> None:
        restored = self._create()
        self._reconcile(restored, [self._order(b"v2", 50, 1)], 60, 1)
        self._reconcile(restored, [self._order(b"v2", 50, 2)], 55, 2)
        order = self._order(b"v2", 56, 2)
        assert self._reconcile(restored, [order], 56, 2) == [order]


class TestUpstreams:
    """Guards against live upstreams that are dropped after a restoring."""

    def test_upstream_missing_in_a_new_era_has_time_to_return(self) -> None:
        clock = FakeClock(100.0)
        registry = UpstreamRegistry(clock.monotonic)
        record = UpstreamRecord("u-1", "svc", "10.0.0.1", 80, "a")
        registry.replace_all([record], 1)
        registry.replace_all([], 2)
        clock.advance(1.9)
        registry.remove_expired()
        assert registry.usable("svc") == (record,)
        clock.advance(0.2)
        registry.remove_expired()
        assert registry.usable("svc") == ()

    def test_upstream_that_returns_in_a_full_read_stays(self) -> None:
        """Guards against an upstream that is removed though its row is back."""
        clock = FakeClock(100.0)
        registry = UpstreamRegistry(clock.monotonic)
        record = UpstreamRecord("u-1", "svc", "10.0.0.1", 80, "a")
        registry.replace_all([record], 1)
        registry.replace_all([], 2)
        clock.advance(0.5)
        registry.replace_all([record], 3)
        clock.advance(5.0)
        registry.remove_expired()
        assert registry.usable("svc") == (record,)

    def test_first_era_gives_no_time(self) -> None:
        registry = UpstreamRegistry(FakeClock(100.0).monotonic)
        record = UpstreamRecord("u-1", "svc", "10.0.0.1", 80, "a")
        registry.replace_all([record], 1)
        registry.replace_all([], 1)
        assert registry.usable("svc") == ()


class TestNodeDirectory:
    """Guards against a node that new nodes cannot find after a restoring."""

    def test_node_registers_again_in_a_new_era(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(
            "tanagerport.gateway.node_directory._RETRY_INTERVAL_BOUNDS_S",
            (0.01, 0.02),
        )

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            directory = NodeDirectory(
                client, "n", "10.0.0.1", lambda hosts: None, DecisionLog("n")
            )
            client.add_era_callback(directory.handle_new_era)
            copy = server.snapshot()
            task = asyncio.create_task(directory.run())
            await asyncio.sleep(0.1)
            assert server.get("tanagerport_nodes", "n") == b"10.0.0.1"
            await server.restore(copy)
            assert server.get("tanagerport_nodes", "n") is None
            async with asyncio.timeout(2.0):
                while server.get("tanagerport_nodes", "n") is None:
                    with contextlib.suppress(PlatformError):
                        await client.read("op")
                    await asyncio.sleep(0.01)
            task.cancel()

        _run_with_store(scenario)


class TestProcess:
    """Guards against a node that applies what a restored store has lost."""

    def test_configuration_stays_and_the_next_one_is_applied(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def run() -> None:
            first = configuration(1, [route("read")])
            second = configuration(2, [route("read"), route("new")])
            third = configuration(3, [route("read"), route("newer")])
            async with standin.local_cluster(tmp_path, first) as cluster:
                await cluster.add_gateway()
                await cluster.add_upstream("u-1", standin.echo)
                await cluster.gateway.wait_ready()
                copy = cluster.store.snapshot()
                await cluster.store.put("op", "config", second)
                await _call_until(cluster, "/new/x", 200)
                await cluster.store.restore(copy)
                await asyncio.sleep(1.5)
                assert (await cluster.call("a1", "/new/x")).status == 200
                # It gets the number that the lost configuration had.
                await cluster.store.put("op", "config", third)
                await _call_until(cluster, "/newer/x", 200)
                assert (await cluster.call("a2", "/new/x")).status == 404

        asyncio.run(run())

    def test_upstreams_neither_vanish_nor_return(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def run() -> None:
            config = configuration(1, [route("read")])
            async with standin.local_cluster(tmp_path, config) as cluster:
                await cluster.add_gateway()
                left = await cluster.add_upstream(
                    "u-1", standin.echo, sequence=3
                )
                await cluster.gateway.wait_ready()
                await _call_until(cluster, "/read/x", 200)
                copy = cluster.store.snapshot()
                late = await cluster.add_upstream(
                    "u-2", standin.echo, sequence=1
                )
                await cluster.store.remove("servers", "u-1")
                await asyncio.sleep(0.7)
                count = len(left.received_requests)
                await cluster.store.restore(copy)
                await asyncio.sleep(1.0)
                for number in range(5):
                    response = await cluster.call(f"a{number}", "/read/x")
                    assert response.status == 200
                assert len(left.received_requests) == count
                # Written again in time.
                await cluster.store.put(
                    "servers", "u-2", late.registration("svc", sequence=2)
                )
                await asyncio.sleep(2.5)
                response = await cluster.call("b", "/read/x")
                assert response.status == 200
                assert len(left.received_requests) == count

        asyncio.run(run())


async def _call_until(cluster: LocalCluster, target: str, status: int) -> None:
    number = 0
    async with asyncio.timeout(4.0):
        while True:
            number += 1
            response = await cluster.call(f"{target[1:4]}{number}", target)
            if response.status == status:
                return
            await asyncio.sleep(0.05)
