"""Tests of the gates that keep requests within named limits."""

import asyncio
import dataclasses
import time
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway_doubles import NodeHarness, make_item, make_upstream
from simulated_slots import (
    SimulatedEngines,
    SimulatedNetwork,
    SimulatedNode,
    create_scheduler,
)
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.rate_gates import (
    MIN_PER_S,
    GrantGate,
    ShareGate,
    join_limits,
)
from tanagerport.gateway.slot_messages import SlotOutcome
from tanagerport.gateway.upstream_limits import UpstreamLimits
from tanagerport.gateway.work_item import Placement

_UPSTREAM = dataclasses.replace(make_upstream("u"), started_ms=1)
_WINDOW_S = 4.0


def allowed(limit: float) -> float:
    """Returns the number of requests that a window of 4 s may have."""
    return 1.5 * limit * _WINDOW_S + 5


def most_in_window(times: list[float]) -> int:
    """Returns the most requests in any window of 4 s."""
    return max(
        (sum(at <= other < at + _WINDOW_S for other in times) for at in times),
        default=0,
    )


class _GateHarness:
    """A grant gate and its limits, with a fake clock."""

    def __init__(self, limit: float | None) -> None:
        self.clock = FakeClock(100.0)
        self.limits = UpstreamLimits("n", self.clock.monotonic)
        self.gate = GrantGate(self.limits, self.clock.monotonic)
        if limit is not None:
            self.name(limit)

    def name(self, limit: float | None) -> None:
        self.clock.advance(0.001)
        self.limits.record(_UPSTREAM, limit)

    def send_for(self, duration_s: float, step_s: float = 0.02) -> list[float]:
        """Sends whenever it may; returns the times."""
        times: list[float] = []
        for _ in range(round(duration_s / step_s)):
            while self.gate.wait_s(_UPSTREAM) == 0 and len(times) < 10_000:
                self.gate.take(_UPSTREAM)
                times.append(self.clock.monotonic())
                if self.limits.per_s(_UPSTREAM) is None:
                    break
            self.clock.advance(step_s)
        return times


class TestGrantGate:
    """Guards against grants above a limit, and against less than it allows."""

    @pytest.mark.parametrize("limit", [0.5, 2.3, 3.0, 8.0, 40.0])
    def test_sends_what_the_limit_allows(self, limit: float) -> None:
        times = _GateHarness(limit).send_for(40.0)
        assert limit * 40.0 - 2 <= len(times) <= limit * 40.25 + 2
        assert most_in_window(times) <= allowed(limit)

    def test_pause_saves_up_a_quarter_of_a_second(self) -> None:
        harness = _GateHarness(8.0)
        harness.send_for(2.0)
        harness.clock.advance(60.0)
        assert len(harness.send_for(0.02)) == 3

    @pytest.mark.parametrize("limit", [0.0, 0.01])
    def test_very_low_limit_lets_a_request_through_now_and_then(
        self, limit: float
    ) -> None:
        """Guards against an upstream that can't tell the end of its limit."""
        times = _GateHarness(limit).send_for(60.0)
        assert 60 * MIN_PER_S - 1 <= len(times) <= 60 * MIN_PER_S + 2
        assert most_in_window(times) <= 5

    def test_begins_empty_when_the_limit_is_named(self) -> None:
        """Guards against a burst on top of what came without a limit."""
        assert _GateHarness(4.0).gate.wait_s(_UPSTREAM) == pytest.approx(0.25)

    def test_successor_begins_empty(self) -> None:
        """Guards against a successor that grants what was granted before."""
        harness = _GateHarness(4.0)
        harness.clock.advance(10.0)
        harness.gate.empty(_UPSTREAM)
        assert harness.gate.wait_s(_UPSTREAM) == pytest.approx(0.25)

    def test_limit_that_changes_holds_at_once(self) -> None:
        harness = _GateHarness(2.0)
        harness.send_for(4.0)
        harness.name(10.0)
        assert 36 <= len(harness.send_for(4.0)) <= 46
        harness.name(1.0)
        assert len(harness.send_for(4.0)) <= 6
        harness.name(None)
        assert len(harness.send_for(4.0)) == 200

    def test_unused_grant_is_given_back(self) -> None:
        harness = _GateHarness(1.0)
        harness.clock.advance(1.0)
        harness.gate.take(_UPSTREAM)
        assert harness.gate.wait_s(_UPSTREAM) > 0
        assert harness.gate.count_granted(_UPSTREAM) == 1
        harness.gate.give_back(_UPSTREAM)
        assert harness.gate.wait_s(_UPSTREAM) == 0
        assert harness.gate.count_granted(_UPSTREAM) == 0

    def test_restarted_upstream_begins_without_a_limit(self) -> None:
        harness = _GateHarness(1.0)
        restarted = dataclasses.replace(_UPSTREAM, started_ms=2)
        assert harness.gate.wait_s(restarted) == 0
        harness.gate.wait_s(_UPSTREAM)
        harness.gate.keep_only([restarted])
        assert not harness.gate._buckets

    @settings(max_examples=50, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.floats(0.5, 30.0), st.floats(0.05, 3.0), st.booleans()
            ),
            max_size=12,
        )
    )
    def test_windows_hold_while_the_limit_changes(
        self, changes: list[tuple[float, float, bool]]
    ) -> None:
        """Guards against a window above the highest limit in it."""
        harness = _GateHarness(1.0)
        times: list[float] = []
        highest = 1.0
        for limit, duration_s, pauses in changes:
            harness.name(limit)
            highest = max(highest, limit)
            if pauses:
                harness.clock.advance(duration_s)
            times += harness.send_for(duration_s)
        assert most_in_window(times) <= allowed(highest)


class TestShareGate:
    """Guards against nodes that each use the whole limit, or save it up."""

    @pytest.mark.parametrize(
        ("nodes", "limit"),
        [(1, 3.0), (3, 3.0), (6, 2.0), (69, 3.0), (69, 60.0), (8, 30.0)],
    )
    def test_sum_over_all_nodes(self, nodes: int, limit: float) -> None:
        clock = FakeClock(100.0)
        limits = UpstreamLimits("n", clock.monotonic)
        limits.record(_UPSTREAM, limit)
        gates = [
            ShareGate(limits, lambda: nodes, clock.monotonic)
            for _ in range(nodes)
        ]
        # The nodes were idle for long when the coordinator is lost.
        clock.advance(1000.0)
        times: list[float] = []
        for _ in range(2000):
            clock.advance(0.02)
            for gate in gates:
                if gate.wait_s(_UPSTREAM) == 0:
                    gate.take(_UPSTREAM)
                    times.append(clock.monotonic())
        assert most_in_window(times) <= allowed(limit)
        assert len(times) >= 0.8 * limit * 40.0

    def test_unlimited_upstream_gets_all(self) -> None:
        clock = FakeClock(100.0)
        limits = UpstreamLimits("n", clock.monotonic)
        gate = ShareGate(limits, lambda: 3, clock.monotonic)
        assert gate.wait_s(_UPSTREAM) == 0
        assert join_limits(gate, [_UPSTREAM]) is None


class TestSelection:
    """Guards against waiting for a limited upstream while others are free."""

    def test_slower_upstream_is_used_meanwhile(self) -> None:
        harness = NodeHarness()
        harness.train_latencies("a", 0.00002, 0.02)
        # It is late, but in time for the deadline.
        harness.train_latencies("b", 0.0012, 0.02)
        limits = UpstreamLimits("n", harness.clock.monotonic)
        gate = GrantGate(limits, harness.clock.monotonic)
        harness.selector._gate = gate
        upstreams = [make_upstream("a"), make_upstream("b")]
        limits.record(upstreams[0], 1.0)
        harness.clock.advance(1.0)
        now = harness.clock.monotonic()
        placement = harness.place(make_item(now), upstreams)
        assert placement is not None
        assert placement.upstream.upstream_id == "a"
        gate.take(upstreams[0])
        placement = harness.place(make_item(now), upstreams)
        assert placement is not None
        assert placement.upstream.upstream_id == "b"


async def name_limits(nodes: list[SimulatedNode], limit: float) -> None:
    """Lets all nodes know of a limit of all upstreams."""
    for node in nodes:
        for upstream in node.registry.all_records():
            node.limits.record(upstream, limit)


class _Rollout:
    """Sends every request to the new version."""

    def select_upstreams(
        self,
        service: str,
        request_id: str,
        upstreams: Sequence[UpstreamRecord],
    ) -> list[UpstreamRecord]:
        del service, request_id
        return [entry for entry in upstreams if entry.version == "v2"]

    def old_version_upstreams(
        self, service: str, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        del service
        return [entry for entry in upstreams if entry.version == "v1"]

    def record_dispatch(self, upstream: UpstreamRecord) -> None:
        del upstream


class TestRollout:
    """Guards against requests that wait for a limited new version."""

    def test_old_version_serves_what_is_above_the_limit(self) -> None:
        async def run() -> list[str]:
            network = SimulatedNetwork()
            records = [
                make_upstream("old", slots=30, version="v1"),
                make_upstream("new", slots=30, version="v2"),
            ]
            node = SimulatedNode(network, "h1", "zone-a", records)
            housekeeping = asyncio.create_task(node.run_housekeeping())
            scheduler = create_scheduler(node, _Rollout())
            node.limits.record(records[1], 1.0)
            used = []
            for _ in range(20):
                item = make_item(time.monotonic())
                async with asyncio.timeout(0.3):
                    placement = await scheduler.acquire(item)
                used.append(placement.upstream.upstream_id)
                await asyncio.sleep(0.1)
                scheduler.release(placement)
            housekeeping.cancel()
            return used

        used = asyncio.run(run())
        assert 1 <= used.count("new") <= 4


class TestCoordinators:
    """Guards against limits that hold for each node alone."""

    def test_sum_over_all_nodes_and_tiers(self) -> None:
        """Guards against low tiers that use up a limit before top tiers."""

        async def run() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(2, slots=30)
            nodes = [
                SimulatedNode(network, host, "zone-a", engines.records)
                for host in ("h1", "h2", "h3")
            ]
            tasks = [
                asyncio.create_task(node.run_housekeeping()) for node in nodes
            ]
            await name_limits(nodes, 4.0)
            granted: list[tuple[float, str, int]] = []

            async def request(node: SimulatedNode, tier: int) -> None:
                item = make_item(time.monotonic(), tier=tier)
                try:
                    placement = await node.acquire(item)
                except RefusedError as error:
                    assert error.refusal.retry_after_s is not None
                    return
                assert placement is not None
                granted.append(
                    (time.monotonic(), placement.upstream.upstream_id, tier)
                )
                await asyncio.sleep(0.05)
                node.release(placement)

            requests = []
            for number in range(120):
                await asyncio.sleep(0.05)
                requests.append(
                    asyncio.create_task(
                        request(nodes[number % 3], tier=number % 2)
                    )
                )
            await asyncio.gather(*requests)
            for task in tasks:
                task.cancel()
            for upstream in engines.records:
                times = [
                    at
                    for at, upstream_id, _ in granted
                    if upstream_id == upstream.upstream_id
                ]
                assert most_in_window(times) <= allowed(4.0)
            # 8 a second are taken; 20 a second come, half of them tier 0.
            assert len(granted) >= 40
            top = sum(tier == 0 for _, _, tier in granted)
            assert top >= 0.8 * len(granted)

        asyncio.run(run())

    def test_sum_while_the_coordinator_is_cut_off(self) -> None:
        """Guards against several coordinators that grant at once.

        The coordinator is cut off from the others, is presumed down a second
        later, and coordinates again after the cut. What it grants to itself
        meanwhile is bounded as well.
        """

        async def run() -> list[tuple[float, str]]:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, slots=30)
            hosts = ("h1", "h2", "h3")
            nodes = [
                SimulatedNode(network, host, "zone-a", engines.records)
                for host in hosts
            ]
            schedulers = [
                create_scheduler(node, node_count=len(nodes)) for node in nodes
            ]
            granted: list[tuple[float, str]] = []

            async def housekeep() -> None:
                while True:
                    await asyncio.sleep(0.1)
                    for node, scheduler in zip(nodes, schedulers, strict=True):
                        node.coordinator.update()
                        node.client.update()
                        scheduler.admit_waiting()

            async def request(index: int) -> None:
                try:
                    placement = await schedulers[index].acquire(
                        make_item(time.monotonic())
                    )
                except RefusedError:
                    return
                granted.append((time.monotonic(), hosts[index]))
                await asyncio.sleep(0.05)
                schedulers[index].release(placement)

            async def cut() -> None:
                pairs = {
                    pair
                    for other in hosts[1:]
                    for pair in ((hosts[0], other), (other, hosts[0]))
                }
                await asyncio.sleep(3.0)
                network.cut_pairs |= pairs
                await asyncio.sleep(1.0)
                network.presumed_down |= pairs
                await asyncio.sleep(3.0)
                network.cut_pairs.clear()
                await asyncio.sleep(0.5)
                network.presumed_down.clear()

            await name_limits(nodes, 4.0)
            tasks = [asyncio.create_task(task) for task in (housekeep(), cut())]
            requests = []
            for number in range(12 * 24):
                await asyncio.sleep(1 / 24)
                requests.append(asyncio.create_task(request(number % 3)))
            await asyncio.gather(*requests)
            for task in tasks:
                task.cancel()
            return granted

        granted = asyncio.run(run())
        in_touch = [at for at, host in granted if host != "h1"]
        assert most_in_window(in_touch) <= allowed(4.0)
        cut_off = [at for at, host in granted if host == "h1"]
        assert most_in_window(cut_off) <= allowed(4.0)
        # Both sides go on; 4 a second are taken.
        assert len(granted) >= 0.7 * 4.0 * 12

    def test_grant_that_is_not_used_is_given_back(self) -> None:
        async def run() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, slots=30)
            node = SimulatedNode(network, "h1", "zone-a", engines.records)
            housekeeping = asyncio.create_task(node.run_housekeeping())
            await name_limits([node], 1.0)
            await asyncio.sleep(1.2)
            for _ in range(5):
                item = make_item(time.monotonic())
                placement = await node.acquire(item)
                assert isinstance(placement, Placement)
                node.release(placement, SlotOutcome.UNUSED)
                await asyncio.sleep(0.01)
            housekeeping.cancel()

        started_at = time.monotonic()
        asyncio.run(run())
        assert time.monotonic() - started_at < 2.5

    def test_other_region_serves_what_is_above_the_limit(self) -> None:
        """Guards against a region that is asked although it takes nothing."""

        async def run() -> None:
            network = SimulatedNetwork()
            near = SimulatedEngines(1, slots=30)
            far = SimulatedEngines(1, slots=30, zone="zone-c")
            records = near.records + far.records
            nodes = [
                SimulatedNode(network, "h1", "zone-a", records),
                SimulatedNode(network, "h2", "zone-c", records),
            ]
            tasks = [
                asyncio.create_task(node.run_housekeeping()) for node in nodes
            ]
            for node in nodes:
                node.limits.record(near.records[0], 1.0)
            await asyncio.sleep(0.3)
            used = []
            for _ in range(20):
                placement = await nodes[0].acquire(make_item(time.monotonic()))
                assert placement is not None
                used.append(placement.upstream.upstream_id)
                await asyncio.sleep(0.05)
                nodes[0].release(placement)
            for task in tasks:
                task.cancel()
            assert used.count("zone-a-0") <= 4
            assert used.count("zone-c-0") >= 16

        asyncio.run(run())
