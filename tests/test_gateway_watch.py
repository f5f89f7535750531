"""Tests of keeping a node's copy of a store table up to date."""

import asyncio
import dataclasses
import random
from collections.abc import Awaitable, Callable

import hypothesis.stateful
import pytest
from hypothesis import strategies as st

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.restored_rows import RestoredRows, RowAge
from tanagerport.gateway.store_watch import TableWatch
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_exchange import TableFetcher, TableServer
from tanagerport.gateway.table_readers import (
    READERS_PER_REGION,
    follower_age_s,
    reader_rank,
)
from tanagerport.gateway.table_store import (
    NO_VERSION,
    Receiving,
    Row,
    StoreVersion,
    TableRows,
)


class _HangingStore:
    """Store whose reads succeed and whose first watch call hangs."""

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
    """Store whose watch calls are delayed, as over a saturated link."""

    def __init__(self, clock: FakeClock, delay_s: float) -> None:
        self._clock = clock
        self._delay_s = delay_s
        self.responses = 0

    async def read(self, table: str) -> TableRows:
        del table
        return TableRows((Row("a", b"1", 7),), 7)

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        del table, wait_s
        response_at = self._clock.monotonic() + self._delay_s
        while self._clock.monotonic() < response_at:
            await asyncio.sleep(0)
        self.responses += 1
        return TableRows((Row("a", b"2", after + 2),), after + 2)


class _FailingFetcher(gateway_doubles.NoRelays):
    """Fetcher whose calls to other nodes all fail."""

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        raise StoreUnavailableError(f"{host} serves no {table} after {after}")


class _CopyFetcher(gateway_doubles.NoRelays):
    """Fetcher that serves all requests from one table copy."""

    def __init__(self, copy: TableCopy) -> None:
        self.copy = copy
        self.requests: list[tuple[str, StoreVersion]] = []

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        del table
        self.requests.append((host, after))
        return decode_changes(self.copy.encode_changes(after), 10**6)


async def _yield_once(seconds: float) -> None:
    """Replaces a sleep by a single switch to other tasks."""
    del seconds
    await asyncio.sleep(0)


def _create_watch(
    store: object,
    clock: FakeClock,
    on_changes: Callable[[TableRows], None] = lambda rows: None,
    fetcher: TableFetcher | None = None,
    get_follower_age_s: Callable[[], float | None] = lambda: None,
    on_reachability: Callable[[bool], None] = lambda is_reachable: None,
    sleep: Callable[[float], Awaitable[None]] = _yield_once,
    get_age: Callable[[Row], RowAge | None] = lambda row: None,
    get_receiving: Callable[[], Receiving | None] = lambda: None,
) -> TableWatch:
    return TableWatch(
        store,  # type: ignore[arg-type]
        "config",
        TableCopy(),
        fetcher or _FailingFetcher(),
        get_follower_age_s,
        lambda: 3.0,
        RestoredRows(get_age, keeps_missing=True, now=clock.monotonic),
        lambda rows: None,
        on_changes,
        on_reachability,
        DecisionLog("n"),
        clock.monotonic,
        sleep,
        get_receiving,
    )


async def _report_version_for(
    watch: TableWatch, clock: FakeClock, version: int, seconds: float
) -> None:
    """Reports a peer's version to the watch every 0.1 s for some seconds."""
    for _ in range(round(seconds * 10)):
        watch.handle_peer_version(StoreVersion(0, version), "10.0.0.2")
        clock.advance(0.1)
        await gateway_doubles.run_pending_tasks()


class TestBehind:
    """Guards against a node that reads the full table after every change.

    A peer with a newer row indicates that the watch connection has stalled.
    With a hundred nodes, many are briefly behind after each change, and their
    simultaneous full reads delayed the following changes.
    """

    def test_node_that_is_behind_requests_only_changes(self) -> None:
        store = _HangingStore()
        changed: list[TableRows] = []

        async def run_watch() -> None:
            clock = FakeClock(100.0)
            watch = _create_watch(store, clock, changed.append)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            watch.handle_peer_version(StoreVersion(0, 9), "10.0.0.2")
            clock.advance(0.9)
            watch.handle_peer_version(StoreVersion(0, 9), "10.0.0.2")
            for _ in range(4):
                await gateway_doubles.run_pending_tasks()
            task.cancel()

        asyncio.run(run_watch())
        assert store.reads == 1
        assert store.watched == [7, 7, 9]
        assert [rows.version for rows in changed] == [9]

    def test_nodes_that_are_behind_as_well_do_not_hide_it(self) -> None:
        """Guards against a region in which all nodes keep to stalled calls.

        Each report of a node with the same old version made the others forget
        that they were behind.
        """
        store = _HangingStore()

        async def run_watch() -> None:
            clock = FakeClock(100.0)
            watch = _create_watch(store, clock)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            for _ in range(9):
                watch.handle_peer_version(StoreVersion(0, 9), "10.0.0.2")
                clock.advance(0.05)
                watch.handle_peer_version(StoreVersion(0, 7), "10.0.0.3")
                clock.advance(0.05)
                await gateway_doubles.run_pending_tasks()
            await gateway_doubles.run_pending_tasks()
            task.cancel()

        asyncio.run(run_watch())
        assert store.watched == [7, 7, 9]

    def test_slow_call_is_eventually_completed(self) -> None:
        """Guards against a call that is restarted before it can complete.

        At 69 nodes with saturated links, calls were cancelled every 0.3 s to
        0.6 s because peers had newer rows, and one node got no response for
        34 s.
        """
        clock = FakeClock(100.0)
        store = _SlowStore(clock, 1.5)

        async def run_watch() -> None:
            watch = _create_watch(store, clock)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await _report_version_for(watch, clock, 10_000, 12.0)
            task.cancel()

        asyncio.run(run_watch())
        assert store.responses >= 2

    def test_deleted_row_of_a_peer_does_not_restart_the_call(self) -> None:
        """Guards against a node that requests a deleted row forever.

        After a full read a node does not know the versions of deleted rows,
        while other nodes know them from their watches.
        """
        clock = FakeClock(100.0)

        class _Compacted(_HangingStore):
            async def read(self, table: str) -> TableRows:
                del table
                self.reads += 1
                return TableRows((Row("a", b"1", 7),), 12)

        store = _Compacted()

        async def run_watch() -> None:
            watch = _create_watch(store, clock)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await _report_version_for(watch, clock, 11, 5.0)
            task.cancel()

        asyncio.run(run_watch())
        assert store.watched == [12]


class _BusyStore:
    """Store that returns a changed row of a given size on every call."""

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

    25 configurations in 1.5 s used 240 KB/s at each of 69 nodes and saturated
    the link between the regions for 4 s.
    """

    @pytest.mark.parametrize(("size", "max_calls"), [(100, 5), (400_000, 2)])
    def test_changes_are_read_together(self, size: int, max_calls: int) -> None:
        store = _BusyStore(size)

        async def run_watch() -> None:
            task = asyncio.create_task(
                _create_watch(store, FakeClock(), sleep=asyncio.sleep).run()
            )
            await asyncio.sleep(0.7)
            task.cancel()

        asyncio.run(run_watch())
        # The first call is made without a pause.
        assert 1 <= store.calls <= max_calls

    def test_reader_that_pauses_is_not_taken_for_cut_off(self) -> None:
        """Guards against followers that read a series from the store, too.

        After a large change a reader paused for 1 s and then waited for 1.5 s;
        followers take one that has had no response for 2.5 s for cut off.
        """
        clock = FakeClock(100.0)
        waited: list[float] = []

        class Store(_FullReadStore):
            async def watch(
                self, table: str, after: int, wait_s: float
            ) -> TableRows:
                waited.append(clock.monotonic() - responded_at[-1] + wait_s)
                if len(waited) == 3:
                    await asyncio.Event().wait()
                row = Row("a", b"1" * 400_000, after + 1)
                responded_at.append(clock.monotonic())
                return TableRows((row,), after + 1)

        responded_at = [100.0]

        async def advance(seconds: float) -> None:
            clock.advance(seconds)

        async def run_watch() -> None:
            watch = _create_watch(Store(), clock, sleep=advance)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await gateway_doubles.run_pending_tasks()
            task.cancel()

        asyncio.run(run_watch())
        # The pause and the wait together are at most one wait, 3 s here.
        assert waited == pytest.approx([3.0, 3.0, 3.0])


class _FullReadStore:
    """Store that serves full reads; counted watch calls hang or fail."""

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
            raise StoreUnavailableError("store unavailable")
        await asyncio.Event().wait()
        raise AssertionError


def _newer_copy() -> TableCopy:
    copy = TableCopy()
    copy.replace(TableRows((Row("a", b"1", 7),), 7))
    copy.apply_changes(TableRows((Row("a", b"2", 9),), 9))
    return copy


class TestFollowing:
    """Guards against every node reading the configuration from the store.

    With 1,400 routes, one version took 5 s of the link between two regions.
    Calls timed out, and nodes served an older version for 18 s.
    """

    def test_follower_fetches_rows_from_a_node_that_has_them(self) -> None:
        store = _FullReadStore()
        fetcher = _CopyFetcher(_newer_copy())
        changed: list[TableRows] = []

        async def run_watch() -> None:
            watch = _create_watch(
                store, FakeClock(), changed.append, fetcher, lambda: 0.5
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            watch.handle_peer_version(StoreVersion(0, 9), "10.0.0.2")
            await asyncio.sleep(0.05)
            watch.handle_peer_version(StoreVersion(0, 9), "10.0.0.3")
            await asyncio.sleep(0.05)
            task.cancel()

        asyncio.run(run_watch())
        assert store.watched == 0
        assert fetcher.requests == [("10.0.0.2", StoreVersion(0, 7))]
        assert changed == [TableRows((Row("a", b"2", 9),), 9)]

    def test_follower_does_not_spin_without_newer_hosts(
        self,
    ) -> None:
        """Guards against a busy loop that blocks the event loop."""
        iterations = 0

        async def run_watch() -> None:
            nonlocal iterations
            ages = iter(range(10**9))

            def get_follower_age_s() -> float:
                nonlocal iterations
                iterations = next(ages)
                assert iterations < 1000, "the watch runs in a busy loop"
                return 0.5

            watch = _create_watch(
                _FullReadStore(),
                FakeClock(),
                get_follower_age_s=get_follower_age_s,
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            watch.handle_peer_version(StoreVersion(0, 9), "10.0.0.2")
            watch.handle_peer_version(StoreVersion(0, 7), "10.0.0.2")
            await asyncio.sleep(0.1)
            task.cancel()

        asyncio.run(run_watch())
        assert iterations < 20

    def test_follower_reads_the_store_when_fetches_fail(self) -> None:
        store = _FullReadStore()

        async def run_watch() -> None:
            watch = _create_watch(
                store, FakeClock(), get_follower_age_s=lambda: 0.5
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            for number in range(3):
                watch.handle_peer_version(
                    StoreVersion(0, 9), f"10.0.0.{number}"
                )
                await asyncio.sleep(0.02)
            await asyncio.sleep(0.3)
            task.cancel()

        asyncio.run(run_watch())
        assert store.watched == 1

    def test_reader_fetches_rows_when_its_connection_stalls(
        self,
    ) -> None:
        """Guards against a stalled connection that delays changes."""
        clock = FakeClock(100.0)
        store = _FullReadStore()
        fetcher = _CopyFetcher(_newer_copy())
        changed: list[TableRows] = []

        async def run_watch() -> None:
            watch = _create_watch(store, clock, changed.append, fetcher)
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            await _report_version_for(watch, clock, 9, 0.9)
            task.cancel()

        asyncio.run(run_watch())
        assert [rows.version for rows in changed] == [9]

    def test_node_cut_off_from_the_store_follows_readers(self) -> None:
        """Guards against dead upstreams that are never removed.

        The rows of upstreams expire during an outage of the store and return
        after it, so a node keeps upstreams whose rows were deleted for as long
        as it considers the store unreachable.
        """
        states: list[bool] = []
        store = _FullReadStore()
        store.fails = True
        ages: list[float | None] = [None]

        async def run_watch() -> None:
            watch = _create_watch(
                store,
                FakeClock(),
                get_follower_age_s=lambda: ages[0],
                on_reachability=states.append,
                sleep=asyncio.sleep,
            )
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(0.05)
            assert states[-1] is False
            ages[0] = 0.4
            await asyncio.sleep(0.3)
            task.cancel()

        asyncio.run(run_watch())
        assert states[-1] is True


class TestOtherRegions:
    """Guards against followers that fetch over the link between regions."""

    def _run(self, reports: list[tuple[float, str, bool]]) -> list[str]:
        """Returns the hosts that a follower fetches from.

        Args:
            reports: Pause before each report of a newer version, in seconds,
                its host, and whether that is in another region.
        """
        fetcher = _CopyFetcher(_newer_copy())

        async def run_watch() -> None:
            clock = FakeClock(100.0)
            watch = _create_watch(
                _FullReadStore(),
                clock,
                fetcher=fetcher,
                get_follower_age_s=lambda: 0.5,
            )
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            for pause_s, host, is_remote in reports:
                clock.advance(pause_s)
                watch.handle_peer_version(StoreVersion(0, 9), host, is_remote)
                if pause_s:
                    await gateway_doubles.run_pending_tasks()
            task.cancel()

        asyncio.run(run_watch())
        return [host for host, _ in fetcher.requests]

    def test_node_of_the_own_region_is_preferred(self) -> None:
        assert self._run(
            [(0.0, "10.2.0.1", True), (0.1, "10.1.0.1", False)]
        ) == ["10.1.0.1"]

    def test_other_region_is_asked_if_no_own_node_has_the_rows(self) -> None:
        reports = [(0.1, "10.2.0.1", True), (0.5, "10.2.0.1", True)]
        assert self._run(reports) == []
        assert self._run([*reports, (0.8, "10.2.0.2", True)]) != []


class TestReceiving:
    """Guards against readers that count as lost while a response comes."""

    @pytest.mark.parametrize(
        ("began_at", "last_at", "age_s"),
        [
            # Half a second ago.
            (108.0, 109.5, 0.5),
            # Bytes still come, but the followers need rows.
            (101.0, 110.0, 6.0),
        ],
    )
    def test_bytes_count_for_a_while(
        self, began_at: float, last_at: float, age_s: float
    ) -> None:
        clock = FakeClock(100.0)
        receiving: list[Receiving] = []

        async def run() -> float:
            watch = _create_watch(
                _FullReadStore(),
                clock,
                get_receiving=lambda: receiving[0] if receiving else None,
            )
            task = asyncio.create_task(watch.run())
            await gateway_doubles.run_pending_tasks()
            clock.advance(10.0)
            assert watch.own_response_age_s == 10.0
            receiving.append(Receiving(began_at, last_at))
            task.cancel()
            return watch.own_response_age_s

        assert asyncio.run(run()) == pytest.approx(age_s)


class TestReaders:
    """Guards against regions with no readers, or too many of them."""

    def _age(self, own: str, ages: dict[str, float]) -> float | None:
        return follower_age_s(
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
        assert following.count(False) == READERS_PER_REGION

    def test_small_region_has_only_readers(self) -> None:
        hosts = {
            f"10.0.0.{number}": 0.5 for number in range(READERS_PER_REGION)
        }
        assert all(self._age(host, hosts) is None for host in hosts)

    def test_readers_cut_off_from_the_store_are_replaced(self) -> None:
        hosts = {f"10.0.0.{number}": 0.5 for number in range(35)}
        readers = [host for host in hosts if self._age(host, hosts) is None]
        for host in readers[:3]:
            hosts[host] = 2.6
        following = [self._age(host, hosts) is not None for host in hosts]
        # Readers that are cut off from the store remain readers and retry.
        assert following.count(False) == READERS_PER_REGION + 3

    def test_node_without_live_peers_is_a_reader(self) -> None:
        assert self._age("10.0.0.1", {}) is None

    def test_nodes_with_fast_links_are_selected_first(self) -> None:
        slow_link = reader_rank("10.0.0.1", 5.0)
        assert all(
            reader_rank(f"10.0.0.{number}", 100.0) < slow_link
            for number in range(2, 30)
        )


class TableCopyMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Transfers rows from one copy to another and compares them.

    Guards against rows that are lost or reappear in transfers between nodes.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.era = 0
        self.rows: dict[str, Row] = {}
        self.log: list[Row] = []
        self.reader = TableCopy()
        self.follower = TableCopy()
        self.fetched_rows: dict[str, bytes] = {}
        # The log as of the reader's last change.
        self.reader_log: list[Row] = []
        self.reader.replace(TableRows((), 1))

    @hypothesis.stateful.rule(
        key=st.sampled_from("abcd"), value=st.none() | st.binary(max_size=3)
    )
    def write(self, key: str, value: bytes | None) -> None:
        if value is None and key not in self.rows:
            return
        self.version += 1
        row = Row(key, value, self.version, self.era)
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
        if known.era != self.era:
            self.reread_reader()
            return
        self.reader_log = list(self.log)
        newest = {
            row.key: row for row in self.log if row.version > known.number
        }
        self.reader.apply_changes(
            TableRows(tuple(newest.values()), self.version, self.era)
        )

    @hypothesis.stateful.rule(lost=st.integers(0, 5))
    def restore_store(self, lost: int) -> None:
        """Takes back transactions; their numbers are given out again."""
        self.era += 1
        self.version = max(self.version - lost, 1)
        self.log = [
            dataclasses.replace(row, era=self.era)
            for row in self.log
            if row.version <= self.version
        ]
        self.rows = {}
        for row in self.log:
            if row.value is None:
                self.rows.pop(row.key, None)
            else:
                self.rows[row.key] = row

    @hypothesis.stateful.rule()
    def reread_reader(self) -> None:
        self.reader.replace(
            TableRows(tuple(self.rows.values()), self.version, self.era)
        )
        self.reader_log = list(self.log)

    @hypothesis.stateful.rule()
    def fetch(self) -> None:
        if self.reader.version <= self.follower.version:
            return
        changes = decode_changes(
            self.reader.encode_changes(self.follower.version), 10**6
        )
        if changes.is_whole:
            self.follower.replace(changes.table_rows)
            self.fetched_rows.clear()
        else:
            self.follower.apply_changes(changes.table_rows)
        for key, value, _ in changes.rows:
            if value is None:
                self.fetched_rows.pop(key, None)
            else:
                self.fetched_rows[key] = value
        expected: dict[str, bytes] = {}
        for row in self.reader_log:
            if row.version <= self.reader.version.number:
                if row.value is None:
                    expected.pop(row.key, None)
                else:
                    expected[row.key] = row.value
        assert self.fetched_rows == expected
        assert self.follower.version == self.reader.version


TestCopy = TableCopyMachine.TestCase


class TestTableServer:
    """Guards against a node on a slow link that serves all other nodes."""

    def test_concurrent_responses_are_limited(self) -> None:
        clock = FakeClock(100.0)
        copy = TableCopy()
        copy.replace(
            TableRows((Row("a", random.Random(1).randbytes(45_000), 7),), 7)
        )
        server = TableServer({"config": copy}, 5.0, clock.monotonic)
        target = "/tables?table=config&after=-1"
        statuses = [server.handle_request(target)[0] for _ in range(10)]
        # 45 KB take 0.14 s at half of the bandwidth.
        assert statuses == [200, 200, 200] + [503] * 7
        clock.advance(0.5)
        assert server.handle_request(target)[0] == 200

    @pytest.mark.parametrize(
        ("target", "status"),
        [
            ("/tables?table=config&after=7", 409),
            ("/tables?table=config&after=x", 404),
            (f"/tables?table=config&after={'9' * 5000}", 404),
            ("/tables?table=config", 404),
            ("/tables?table=other&after=1", 404),
            ("/tables", 404),
        ],
    )
    def test_bad_requests_get_no_rows(self, target: str, status: int) -> None:
        copy = TableCopy()
        copy.replace(TableRows((), 7))
        server = TableServer({"config": copy}, 5.0, FakeClock().monotonic)
        assert server.handle_request(target) == (status, b"")

    @pytest.mark.parametrize("data", [b"", b"x", b"\x78\x9c"])
    def test_malformed_rows_are_rejected(self, data: bytes) -> None:
        with pytest.raises(ValueError):
            decode_changes(data, 1000)

    def test_rows_above_the_limit_are_rejected(self) -> None:
        copy = TableCopy()
        copy.replace(TableRows((Row("a", bytes(10_000), 7),), 7))
        with pytest.raises(ValueError, match="larger than 5000 bytes"):
            decode_changes(copy.encode_changes(NO_VERSION), 5000)
