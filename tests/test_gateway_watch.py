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
