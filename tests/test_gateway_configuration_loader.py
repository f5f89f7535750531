"""Tests of reading configurations beside requests."""

import asyncio
import gc
import json
import time

import hypothesis
from hypothesis import strategies as st

from platform_standin import configuration, route
from tanagerport.clock import FakeClock
from tanagerport.gateway.configuration_loader import ConfigurationLoader
from tanagerport.gateway.configuration_spread import ConfigurationSpread
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import Configuration
from tanagerport.gateway.table_store import Row
from tanagerport_platform.configurations import ConfigurationReader
from tanagerport_platform.documents import StoreCodec

# Longest time in which a configuration of 9,000 routes may hold up other tasks
# of a small node, which has a quarter of the speed of a core or less.
_MAX_DELAY_S = 0.05
_ROUTES = 4 * 9000


def _row(version: int, names: list[str]) -> Row:
    document = configuration(version, [route(name) for name in names])
    return Row("config", json.dumps(document).encode(), version)


def _names(count: int) -> list[str]:
    return [f"route-{number}" for number in range(count)]


class TestLoader:
    """Guards against configurations that hold up requests, or get lost."""

    def _load(self, *rows: Row) -> tuple[list[Configuration], float]:
        """Returns the applied configurations and the longest turn.

        Turns count in processor time, as other programs use the machine, too.

        Args:
            rows: Rows that are submitted, the first one alone.
        """
        applied: list[Configuration] = []

        async def run() -> float:
            loader = ConfigurationLoader(
                ConfigurationReader(), applied.append, DecisionLog("n")
            )
            task = asyncio.create_task(loader.run())
            delays_s = [0.0]

            async def give_turn() -> None:
                before = time.process_time()
                await asyncio.sleep(0)
                delays_s.append(time.process_time() - before)

            for number, row in enumerate(rows):
                loader.submit(row)
                if number == 0:
                    await give_turn()
            last = rows[-1].version
            while not applied or applied[-1].version != last:
                await give_turn()
            task.cancel()
            return max(delays_s)

        # The garbage collector is to visit the loader's objects, not those of
        # all tests of this process.
        gc.collect()
        gc.freeze()
        try:
            return applied, asyncio.run(run())
        finally:
            gc.unfreeze()

    def test_large_configuration_gives_other_tasks_turns(self) -> None:
        """Guards against many routes that are decoded in one turn."""
        applied, longest_s = self._load(_row(1, _names(_ROUTES)))
        assert len(applied[0].routes) == _ROUTES
        assert longest_s <= _MAX_DELAY_S

    def test_newest_of_a_series_is_applied(self) -> None:
        rows = [_row(version, _names(500)) for version in range(1, 5)]
        applied, _ = self._load(*rows)
        assert [entry.version for entry in applied] == [1, 4]

    def test_invalid_configuration_does_not_end_the_loader(self) -> None:
        applied, _ = self._load(Row("config", b"{", 1), _row(2, ["a"]))
        assert [entry.version for entry in applied] == [2]


class TestReader:
    """Guards against routes of an earlier configuration."""

    @hypothesis.given(
        st.lists(
            st.lists(
                st.tuples(st.sampled_from("abcd"), st.integers(1, 3)),
                max_size=5,
            ),
            max_size=5,
        )
    )
    def test_kept_routes_equal_those_that_are_read_anew(
        self, series: list[list[tuple[str, int]]]
    ) -> None:
        reader = ConfigurationReader()
        for version, routes in enumerate(series, 1):
            document = configuration(
                version,
                [route(name, max_attempts=count) for name, count in routes],
            )
            row = Row("config", json.dumps(document).encode(), version)
            steps = reader.read(row)
            while True:
                try:
                    next(steps)
                except StopIteration as end:
                    read = end.value
                    break
            assert read == StoreCodec().decode_configuration(row)
            assert [entry.name for entry in read.routes] == [
                name for name, _ in routes
            ]
            assert [entry.max_dispatches for entry in read.routes] == [
                count for _, count in routes
            ]


class TestSpread:
    """Guards against a metric that hides nodes with an older configuration."""

    def test_time_until_the_last_node_has_it(self) -> None:
        clock = FakeClock(100.0)
        spread = ConfigurationSpread(clock.monotonic)
        assert spread.update([0, 3, 3])
        clock.advance(1.0)
        assert not spread.update([3, 4, 3])
        clock.advance(2.0)
        assert (spread.spread_s, spread.nodes_behind) == (2.0, 2)
        # A newer change counts from its own time.
        assert not spread.update([4, 5, 4])
        clock.advance(0.5)
        assert spread.update([5, 5, 5])
        clock.advance(9.0)
        assert (spread.spread_s, spread.nodes_behind) == (0.5, 0)

    def test_node_that_returns_with_an_older_one_is_behind(self) -> None:
        clock = FakeClock(100.0)
        spread = ConfigurationSpread(clock.monotonic)
        spread.update([5, 5])
        clock.advance(60.0)
        assert not spread.update([5, 5, 3])
        assert (spread.spread_s, spread.nodes_behind) == (60.0, 1)
