"""Tests of what a node makes of others' silence after a standstill."""

import asyncio
from typing import Any, cast

import msgspec
import pytest

from tanagerport.clock import FakeClock
from tanagerport.gateway.attended_clock import AttendedClock
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.lease_table import Lease, LeaseKey, LeaseTable
from tanagerport.gateway.peer_exchange import NodeReport, PeerExchange
from tanagerport.gateway.slot_messages import HeldLease
from tanagerport.gateway.upstream_load import LoadTracker

_TICK_S = 0.1


class Loop:
    """Event loop that ticks the clock, or stands still."""

    def __init__(self) -> None:
        self.clock = FakeClock(100.0)
        self.attended = AttendedClock(self.clock.monotonic)
        self.attended.tick()

    def run(self, seconds: float) -> None:
        """Lets time pass while the loop runs."""
        for _ in range(round(seconds / _TICK_S)):
            self.clock.advance(_TICK_S)
            self.attended.tick()

    def stand_still(self, seconds: float) -> None:
        """Lets time pass while the loop doesn't run."""
        self.clock.advance(seconds)


class TestAttendedClock:
    """Guards against a clock that runs on, or back, in a standstill."""

    def test_attended_time_is_that_of_the_monotonic_clock(self) -> None:
        loop = Loop()
        started_at = loop.attended.monotonic()
        loop.run(30.0)
        assert loop.attended.monotonic() - started_at == pytest.approx(30.0)

    def test_standstill_counts_for_less_than_two_ticks(self) -> None:
        loop = Loop()
        loop.run(1.0)
        before = loop.attended.monotonic()
        loop.stand_still(5.0)
        assert 0 <= loop.attended.monotonic() - before <= 0.2 + 1e-6
        loop.run(1.0)
        assert loop.attended.monotonic() - before <= 1.2 + 1e-6

    def test_clock_never_goes_back(self) -> None:
        loop = Loop()
        times = []
        for seconds in (0.05, 0.3, 2.0, 0.15, 0.1, 4.0):
            loop.stand_still(seconds)
            times.append(loop.attended.monotonic())
            loop.attended.tick()
            times.append(loop.attended.monotonic())
        assert times == sorted(times)

    def test_run_ticks(self) -> None:
        async def scenario() -> float:
            clock = AttendedClock()
            task = asyncio.create_task(clock.run())
            await asyncio.sleep(0)
            started_at = clock.monotonic()
            await asyncio.sleep(0.5)
            task.cancel()
            return clock.monotonic() - started_at

        assert 0.4 < asyncio.run(scenario()) < 0.8


class TestSilenceAfterStandstill:
    """Guards against others that count as gone for the node's own standstill.

    A node then coordinated slots beside the coordinator, forgot leases that
    were in use, and told all others that sound upstreams were silent.
    """

    def test_other_nodes_are_live(self) -> None:
        loop = Loop()
        exchange = PeerExchange(
            "10.0.0.1", "zone-a", {"zone-a": "r"}, 9,
            lambda sequence, _: _report("10.0.0.1", sequence),
            lambda _: None, lambda _: None, DecisionLog("n"),
            loop.clock.monotonic, loop.attended.monotonic,
        )  # fmt: skip
        exchange.connection_made(cast(Any, _Transport()))
        exchange.datagram_received(
            msgspec.msgpack.encode(_report("10.0.0.2", 1)), ("10.0.0.2", 9)
        )
        loop.stand_still(4.0)
        assert exchange.count_live_nodes() == 2
        loop.run(2.0)
        assert exchange.count_live_nodes() == 1

    def test_leases_of_other_nodes_are_kept(self) -> None:
        loop = Loop()
        table = LeaseTable(loop.attended.monotonic)
        key = LeaseKey("10.0.0.2", 1, 1)
        lease = Lease("u", "models", 10, 10, loop.attended.monotonic())
        table.start(key, lease)
        loop.stand_still(8.0)
        table.remove_expired()
        assert table.get(key) is lease
        loop.run(1.0)
        table.apply_report("10.0.0.2", 1, 1, "models", list[HeldLease](), ())
        assert table.get(key) is None

    def test_upstream_is_not_silent(self) -> None:
        loop = Loop()
        tracker = LoadTracker(lambda: 2, lambda: 0.1, loop.attended.monotonic)
        tracker.record_start("u", 100)
        tracker.record_received("u")
        tracker.apply_report("other", [("u", 3, 0, False)])
        loop.stand_still(5.0)
        assert tracker.silence_s("u") < 0.5
        assert tracker.load("u").requests == 4
        loop.run(2.0)
        assert tracker.silence_s("u") >= 2.0
        assert tracker.load("u").requests == 1


class _Transport:
    """Datagram transport that drops everything."""

    def sendto(self, data: bytes, address: object) -> None:
        del data, address


def _report(host: str, sequence: int) -> NodeReport:
    return NodeReport(
        f"node-{host}", 1, sequence, host, "zone-a", (0, 0), [], [], 1.0, True,
        [], [], [],
    )  # fmt: skip
