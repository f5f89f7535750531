"""Following a table of the store."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import hypothesis.stateful
import pytest
from hypothesis import strategies as st

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.store_watch import TableFetcher, TableWatch
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_exchange import TableServer
from tanagerport.gateway.table_readers import (
    READERS,
    followed_age_s,
    reader_rank,
)
from tanagerport.gateway.table_store import Row, TableRows


class _Store:
    """Answers reads; the first call that waits for changes hangs."""

    def __init__(self) -> None:
        self.reads = 0
        self.watched: list[int] = []

    async def read(self, table: str) -> TableRows:
        del table
        self.reads += 1
        return TableRows((Row("a", b"1", 7),), 7)

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, wait_s
        self.watched.append(after)
        if len(self.watched) == 1:
            await asyncio.Event().wait()
        elif after < 9:
            return TableRows((Row("a", b"2", 9),), 9)
        await asyncio.Event().wait()
        raise AssertionError


class _SlowStore:
    """Answers each call only after a delay, as over a full link."""

    def __init__(self, clock: FakeClock, delay_s: float) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self.answers = 0

    async def read(self, table: str) -> TableRows:
        del table
        return TableRows((Row("a", b"1", 7),), 7)

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, wait_s
        answered_at = self._clock.monotonic() + self._delay_s
        while self._clock.monotonic() < answered_at:
            await asyncio.sleep(0)
        self.answers += 1
        return TableRows((Row("a", b"2", after + 2),), after + 2)


class _NoPeers:
    """Other nodes that serve nothing."""

    async def fetch(self, host: str, table: str, after: int) -> TableChanges:
        raise StoreUnavailableError(f"{host} serves no {table} after {after}")


class _Peers:
    """Other nodes that serve from a copy."""

    def __init__(self, copy: TableCopy) -> None:
        self.copy = copy
        self.asked: list[tuple[str, int]] = []

    async def fetch(self, host: str, table: str, after: int) -> TableChanges:
        del table
        self.asked.append((host, after))
        return decode_changes(self.copy.encode_changes(after), 10**6)


async def _yield(seconds: float) -> None:
    """Passes over a pause."""
    del seconds
    await asyncio.sleep(0)


def _watch(
    store: object,
    clock: FakeClock,
    on_change: Callable[[TableRows], None] = lambda rows: None,
    peers: TableFetcher | None = None,
    followed_age_s: Callable[[], float | None] = lambda: None,
    on_state: Callable[[bool], None] = lambda is_reached: None,
    sleep: Callable[[float], Awaitable[None]] = _yield,
) -> TableWatch:
    return TableWatch(
        store,  # type: ignore[arg-type]
        "config",
        TableCopy(),
        peers or _NoPeers(),
        followed_age_s,
        lambda: 3.0,
        lambda rows: None,
        on_change,
        on_state,
        DecisionLog("n"),
        clock.monotonic,
        sleep,
    )


async def _expect_for(
    watch: TableWatch, clock: FakeClock, version: int, seconds: float
) -> None:
    """Hears a version from peers every 0.1 s."""
    for _ in range(round(seconds * 10)):
        watch.expect(version, "10.0.0.2")
        clock.advance(0.1)
        await gateway_doubles.run_pending_tasks()


class TestBehind:
    """Guards against a node that re-reads whole tables at every change.

    Peers that know a newer row show that the connection of a watch fell
    silent. With a hundred nodes many are behind for a moment after each
    change, and whole reads by all of them at once held the next ones up.
    """

    def test_node_that_is_behind_asks_for_the_changes_only(self) -> None:
        store = _Store()
        changed: list[TableRows] = []

        async def play() -> None:
            clock = FakeClock(100.0)
            watch = _watch(store, clock, changed.append)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            watch.expect(9, "10.0.0.2")
            clock.advance(0.9)
            watch.expect(9, "10.0.0.2")
            for _ in range(4):
                await gateway_doubles.run_pending_tasks()
            task.cancel()

        asyncio.run(play())
        assert store.reads == 1
        assert store.watched == [7, 7, 9]
        assert [rows.version for rows in changed] == [9]

    def test_slow_answer_is_not_given_up_for_ever(self) -> None:
        """Guards against a node that asks anew before any answer can come.

        At 69 nodes with full links the call was ended every 0.3 s to 0.6 s, as
        peers knew newer rows, and one node had no answer for 34 s.
        """
        clock = FakeClock(100.0)
        store = _SlowStore(clock, 1.5)

        async def play() -> None:
            watch = _watch(store, clock)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await _expect_for(watch, clock, 10_000, 12.0)
            task.cancel()

        asyncio.run(play())
        assert store.answers >= 2

    def test_deleted_row_of_others_is_no_reason_to_ask_again(self) -> None:
        """Guards against a node that asks for ever for a row that is gone.

        After a whole read a node knows no versions of deleted rows, which
        others know from their watches.
        """
        clock = FakeClock(100.0)

        class _Compacted(_Store):
            async def read(self, table: str) -> TableRows:
                del table
                self.reads += 1
                return TableRows((Row("a", b"1", 7),), 12)

        store = _Compacted()

        async def play() -> None:
            watch = _watch(store, clock)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await _expect_for(watch, clock, 11, 5.0)
            task.cancel()

        asyncio.run(play())
        assert store.watched == [12]


class _BusyStore:
    """Has a change at every moment, of rows of a given size."""

    def __init__(self, size: int) -> None:
        self._rows = TableRows((Row("a", b"x" * size, 7),), 7)
        self.calls = 0

    async def read(self, table: str) -> TableRows:
        del table
        self.calls += 1
        return self._rows

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, after, wait_s
        self.calls += 1
        return self._rows


class TestSeriesOfChanges:
    """Guards against a node that reads after every change of a series.

    25 configurations in 1.5 s cost each of 69 nodes 240 KB/s, and the link
    between the regions was full for 4 s.
    """

    @pytest.mark.parametrize(("size", "most_calls"), [(100, 5), (400_000, 2)])
    def test_changes_are_read_together(
        self, size: int, most_calls: int
    ) -> None:
        store = _BusyStore(size)

        async def play() -> None:
            task = asyncio.create_task(
                _watch(store, FakeClock(), sleep=asyncio.sleep).run()
            )
            await asyncio.sleep(0.7)
            task.cancel()

        asyncio.run(play())
        # The first one is at once.
        assert 1 <= store.calls <= most_calls


class _ReadOnce:
    """Answers whole reads; counts calls that wait for changes."""

    def __init__(self) -> None:
        self.watched = 0
        self.fails = False

    async def read(self, table: str) -> TableRows:
        del table
        return TableRows((Row("a", b"1", 7),), 7)

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, after, wait_s
        self.watched += 1
        if self.fails:
            raise StoreUnavailableError("turned away")
        await asyncio.Event().wait()
        raise AssertionError


def _newer_copy() -> TableCopy:
    copy = TableCopy()
    copy.replace(TableRows((Row("a", b"1", 7),), 7))
    copy.change(TableRows((Row("a", b"2", 9),), 9))
    return copy


class TestFollowing:
    """Guards against a configuration that every node reads from the store.

    With 1,400 routes one version took 5 s of the link between two regions;
    no call ended in time, and nodes served an older version for 18 s.
    """

    def test_follower_gets_rows_from_a_node_that_knows_them(self) -> None:
        store = _ReadOnce()
        peers = _Peers(_newer_copy())
        changed: list[TableRows] = []

        async def play() -> None:
            watch = _watch(
                store, FakeClock(), changed.append, peers, lambda: 0.5
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            watch.expect(9, "10.0.0.2")
            await asyncio.sleep(0.05)
            watch.expect(9, "10.0.0.3")
            await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(play())
        assert store.watched == 0
        assert peers.asked == [("10.0.0.2", 7)]
        assert changed == [TableRows((Row("a", b"2", 9),), 9)]

    def test_follower_rests_when_a_newer_version_is_known_meanwhile(
        self,
    ) -> None:
        """Guards against a task that spins and holds the process up."""
        turns = 0

        async def play() -> None:
            nonlocal turns
            ages = iter(range(10**9))

            def followed_age_s() -> float:
                nonlocal turns
                turns = next(ages)
                assert turns < 1000, "the task spins"
                return 0.5

            watch = _watch(
                _ReadOnce(), FakeClock(), followed_age_s=followed_age_s
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            watch.expect(9, "10.0.0.2")
            watch.expect(7, "10.0.0.2")
            await asyncio.sleep(0.1)
            task.cancel()

        asyncio.run(play())
        assert turns < 20

    def test_follower_reads_itself_when_others_serve_nothing(self) -> None:
        store = _ReadOnce()

        async def play() -> None:
            watch = _watch(store, FakeClock(), followed_age_s=lambda: 0.5)
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            for number in range(3):
                watch.expect(9, f"10.0.0.{number}")
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            task.cancel()

        asyncio.run(play())
        assert store.watched == 1

    def test_reader_gets_rows_from_others_when_its_call_is_silent(
        self,
    ) -> None:
        """Guards against a version that is late where one feed is silent."""
        clock = FakeClock(100.0)
        store = _ReadOnce()
        peers = _Peers(_newer_copy())
        changed: list[TableRows] = []

        async def play() -> None:
            watch = _watch(store, clock, changed.append, peers)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await _expect_for(watch, clock, 9, 0.9)
            task.cancel()

        asyncio.run(play())
        assert [rows.version for rows in changed] == [9]

    def test_node_that_was_turned_away_trusts_its_readers(self) -> None:
        """Guards against dead upstreams that are kept for ever.

        Rows that go while the store is away may come back, so a node that
        takes the store for lost keeps them.
        """
        states: list[bool] = []
        store = _ReadOnce()
        store.fails = True
        ages: list[float | None] = [None]

        async def play() -> None:
            watch = _watch(
                store,
                FakeClock(),
                followed_age_s=lambda: ages[0],
                on_state=states.append,
                sleep=asyncio.sleep,
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            assert states[-1] is False
            ages[0] = 0.4
            await asyncio.sleep(0.3)
            task.cancel()

        asyncio.run(play())
        assert states[-1] is True


class TestReaders:
    """Guards against regions in which no node, or every node, reads."""

    def _age(self, own: str, ages: dict[str, float]) -> float | None:
        return followed_age_s(
            reader_rank(own, 5.0),
            [
                (reader_rank(host, 5.0), age_s)
                for host, age_s in ages.items()
                if host != own
            ],
        )

    def test_some_nodes_read_and_the_others_follow(self) -> None:
        hosts = {f"10.0.0.{number}": 0.5 for number in range(35)}
        following = [self._age(host, hosts) is not None for host in hosts]
        assert following.count(False) == READERS

    def test_small_region_reads_itself(self) -> None:
        hosts = {f"10.0.0.{number}": 0.5 for number in range(READERS)}
        assert all(self._age(host, hosts) is None for host in hosts)

    def test_readers_without_the_store_are_replaced(self) -> None:
        hosts = {f"10.0.0.{number}": 0.5 for number in range(35)}
        readers = [host for host in hosts if self._age(host, hosts) is None]
        for host in readers[:3]:
            hosts[host] = 2.6
        following = [self._age(host, hosts) is not None for host in hosts]
        # Those that lost the store keep trying.
        assert following.count(False) == READERS + 3

    def test_node_that_hears_nobody_reads(self) -> None:
        assert self._age("10.0.0.1", {}) is None

    def test_wide_links_come_first(self) -> None:
        narrow = reader_rank("10.0.0.1", 5.0)
        assert all(
            reader_rank(f"10.0.0.{number}", 100.0) < narrow
            for number in range(2, 30)
        )


class CopyMachine(hypothesis.stateful.RuleBasedStateMachine):
    """A copy that gets changes from another copy holds the same table.

    Guards against rows that are lost, or come back, on the way from node to
    node.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.rows: dict[str, Row] = {}
        self.log: list[Row] = []
        self.reader = TableCopy()
        self.follower = TableCopy()
        self.held: dict[str, bytes] = {}
        self.reader.replace(TableRows((), 1))

    @hypothesis.stateful.rule(
        key=st.sampled_from("abcd"), value=st.none() | st.binary(max_size=3)
    )
    def write(self, key: str, value: bytes | None) -> None:
        if value is None and key not in self.rows:
            return
        self.version += 1
        row = Row(key, value, self.version)
        if value is None:
            del self.rows[key]
        else:
            self.rows[key] = row
        self.log.append(row)

    @hypothesis.stateful.rule()
    def advance_other_tables(self) -> None:
        self.version += 1

    @hypothesis.stateful.rule()
    def change_reader(self) -> None:
        known = self.reader.version
        newest = {row.key: row for row in self.log if row.version > known}
        self.reader.change(TableRows(tuple(newest.values()), self.version))

    @hypothesis.stateful.rule()
    def reread_reader(self) -> None:
        self.reader.replace(TableRows(tuple(self.rows.values()), self.version))

    @hypothesis.stateful.rule()
    def fetch(self) -> None:
        if self.reader.version <= self.follower.version:
            return
        changes = decode_changes(
            self.reader.encode_changes(self.follower.version), 10**6
        )
        if changes.is_whole:
            self.follower.replace(changes.table_rows)
            self.held.clear()
        else:
            self.follower.change(changes.table_rows)
        for key, value, _ in changes.rows:
            if value is None:
                self.held.pop(key, None)
            else:
                self.held[key] = value
        expected: dict[str, bytes] = {}
        for row in self.log:
            if row.version <= self.reader.version:
                if row.value is None:
                    expected.pop(row.key, None)
                else:
                    expected[row.key] = row.value
        assert self.held == expected
        assert self.follower.version == self.reader.version


TestCopy = CopyMachine.TestCase


class TestTableServer:
    """Guards against a narrow link that all other nodes share."""

    def test_link_is_not_shared_by_many(self) -> None:
        clock = FakeClock(100.0)
        copy = TableCopy()
        copy.replace(
            TableRows((Row("a", random.Random(1).randbytes(45_000), 7),), 7)
        )
        server = TableServer({"config": copy}, 5.0, clock.monotonic)
        target = "/tables?table=config&after=-1"
        statuses = [server.answer(target)[0] for _ in range(10)]
        # 45 KB take 0.14 s of half of the link.
        assert statuses == [200, 200, 200] + [503] * 7
        clock.advance(0.5)
        assert server.answer(target)[0] == 200

    @pytest.mark.parametrize(
        ("target", "status"),
        [
            ("/tables?table=config&after=7", 409),
            ("/tables?table=config&after=x", 404),
            ("/tables?table=config", 404),
            ("/tables?table=other&after=1", 404),
            ("/tables", 404),
        ],
    )
    def test_bad_requests_get_no_rows(self, target: str, status: int) -> None:
        copy = TableCopy()
        copy.replace(TableRows((), 7))
        server = TableServer({"config": copy}, 5.0, FakeClock().monotonic)
        assert server.answer(target) == (status, b"")

    @pytest.mark.parametrize("data", [b"", b"x", b"\x78\x9c"])
    def test_bytes_that_are_no_rows_are_refused(self, data: bytes) -> None:
        with pytest.raises(ValueError):
            decode_changes(data, 1000)

    def test_rows_above_the_bound_are_refused(self) -> None:
        copy = TableCopy()
        copy.replace(TableRows((Row("a", bytes(10_000), 7),), 7))
        with pytest.raises(ValueError, match="above 5000 bytes"):
            decode_changes(copy.encode_changes(-1), 5000)
