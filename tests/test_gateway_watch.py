"""Following a table of the store."""

import asyncio

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.store_watch import TableWatch
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


def _watch(store: object, clock: FakeClock) -> TableWatch:
    return TableWatch(
        store,  # type: ignore[arg-type]
        "config",
        3.0,
        lambda rows: None,
        lambda rows: None,
        lambda is_reachable: None,
        DecisionLog("n"),
        clock.monotonic,
    )


async def _expect_for(
    watch: TableWatch, clock: FakeClock, version: int, seconds: float
) -> None:
    """Hears a version from peers every 0.1 s."""
    for _ in range(round(seconds * 10)):
        watch.expect(version)
        clock.advance(0.1)
        await gateway_doubles.settle()


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
            watch = TableWatch(
                store,  # type: ignore[arg-type]
                "config",
                3.0,
                lambda rows: None,
                changed.append,
                lambda is_reachable: None,
                DecisionLog("n"),
                clock.monotonic,
            )
            task = asyncio.create_task(watch.run())
            await gateway_doubles.settle()
            watch.expect(9)
            clock.advance(0.9)
            watch.expect(9)
            for _ in range(4):
                await gateway_doubles.settle()
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
            await gateway_doubles.settle()
            await _expect_for(watch, clock, 10_000, 8.0)
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
            await gateway_doubles.settle()
            await _expect_for(watch, clock, 11, 5.0)
            task.cancel()

        asyncio.run(play())
        assert store.watched == [12]
