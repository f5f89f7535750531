"""Tests of slots that a coordinator grants to all nodes of a region."""

import asyncio
import os
import random
import time
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway_doubles import make_item, make_route
from simulated_slots import (
    SimulatedEngines,
    SimulatedNetwork,
    SimulatedNode,
    create_scheduler,
)
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.coordination import CoordinationTransport
from tanagerport.gateway.coordinator_ranking import rank_coordinators
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.lease_table import Lease, LeaseKey, LeaseTable
from tanagerport.gateway.slot_messages import (
    HeldLease,
    SlotOutcome,
    SlotRelease,
    SlotRequest,
    decode_message,
    encode_message,
)
from tanagerport.gateway.table_readers import reader_rank
from tanagerport.gateway.work_item import Placement
from tanagerport.refusals import Refusal, RefusalReason


def _run(scenario: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(20):
            await scenario

    asyncio.run(limited())


def _create_nodes(
    network: SimulatedNetwork,
    engines: SimulatedEngines,
    count: int,
    zone: str = "zone-a",
) -> list[SimulatedNode]:
    return [
        SimulatedNode(network, f"{zone}.{number}", zone, engines.records)
        for number in range(count)
    ]


class TestSharedSlots:
    """Slots of engines that many nodes use at once."""

    @pytest.mark.parametrize("loss", [0.0, 0.05])
    def test_burst_on_all_nodes_never_takes_one_slot_twice(
        self, loss: float
    ) -> None:
        """Guards against two requests in one slot during a sudden burst.

        With reports of 0.6 s alone, twice as many requests as slots were at
        each engine, and those in its queue came late.
        """

        async def scenario() -> None:
            network = SimulatedNetwork(loss)
            engines = SimulatedEngines(3, 4)
            nodes = _create_nodes(network, engines, 12)
            housekeeping = [
                asyncio.create_task(node.run_housekeeping()) for node in nodes
            ]
            rng = random.Random(3)
            served = 0

            async def request(node: SimulatedNode, number: int) -> None:
                nonlocal served
                await asyncio.sleep(rng.uniform(0, 0.5))
                placement = None
                while placement is None:
                    placement = await node.acquire(
                        make_item(time.monotonic(), request_id=str(number))
                    )
                await engines.run(placement.upstream.upstream_id, 0.05)
                served += 1
                node.release(placement)

            await asyncio.gather(
                *(request(nodes[i % 12], i) for i in range(120))
            )
            assert served == 120
            assert max(engines.most_running.values()) <= 4
            for task in housekeeping:
                task.cancel()

        _run(scenario())

    def test_freed_slot_is_used_by_a_waiting_request_of_another_node(
        self,
    ) -> None:
        """Guards against a slot that is free while another node waits."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 3)
            first = await nodes[1].acquire(make_item(time.monotonic()))
            assert first is not None
            waiting = asyncio.create_task(
                nodes[2].acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.03)
            nodes[1].release(first)
            freed_at = time.monotonic()
            assert await waiting is not None
            assert time.monotonic() - freed_at < 0.05

        _run(scenario())

    def test_higher_tier_of_another_node_goes_first(self) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 3)
            placement = await nodes[0].acquire(make_item(time.monotonic()))
            order: list[str] = []

            async def request(node: SimulatedNode, tier: int) -> None:
                route = make_route(target_s=2.0)
                found = await node.acquire(
                    make_item(time.monotonic(), route, tier)
                )
                assert found is not None
                order.append(node.host)
                node.release(found)

            low = asyncio.create_task(request(nodes[1], 2))
            await asyncio.sleep(0.01)
            high = asyncio.create_task(request(nodes[2], 0))
            await asyncio.sleep(0.01)
            assert placement is not None
            nodes[0].release(placement)
            await asyncio.gather(low, high)
            assert order == [nodes[2].host, nodes[1].host]

        _run(scenario())

    def test_abandoned_request_does_not_keep_its_slot(self) -> None:
        """Guards against slots lost to clients that leave while waiting."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 3)
            placement = await nodes[1].acquire(make_item(time.monotonic()))
            assert placement is not None
            leaving = asyncio.create_task(
                nodes[2].acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.02)
            leaving.cancel()
            nodes[1].release(placement)
            await asyncio.sleep(0.02)
            assert nodes[0].coordinator.waiting == {}
            assert await nodes[1].acquire(make_item(time.monotonic()))

        _run(scenario())

    def test_slot_of_another_region_is_used_while_the_own_one_is_full(
        self,
    ) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            near = SimulatedEngines(1, 1, "zone-a")
            far = SimulatedEngines(1, 1, "zone-c")
            nodes = [
                SimulatedNode(
                    network, f"{zone}.1", zone, near.records + far.records
                )
                for zone in ("zone-a", "zone-c")
            ]
            first = await nodes[0].acquire(make_item(time.monotonic()))
            second = await nodes[0].acquire(make_item(time.monotonic()))
            assert first is not None
            assert second is not None
            assert first.upstream.zone == "zone-a"
            assert second.upstream.zone == "zone-c"

        _run(scenario())

    def test_faster_upstream_of_another_region_is_used_at_once(self) -> None:
        """Guards against waiting at full upstreams beside free ones.

        Coordinators tell each other of their loads, so the first of them
        sends the request on without waiting.
        """

        async def scenario() -> None:
            network = SimulatedNetwork()
            near = SimulatedEngines(1, 1, "zone-a")
            far = SimulatedEngines(1, 2, "zone-c")
            nodes = [
                SimulatedNode(
                    network, f"{zone}.1", zone, near.records + far.records
                )
                for zone in ("zone-a", "zone-c")
            ]
            # Each coordinator grants a slot, so both are active.
            assert await nodes[0].acquire(make_item(time.monotonic()))
            assert await nodes[1].acquire(make_item(time.monotonic()))
            for node in nodes:
                node.coordinator.update()
            await asyncio.sleep(0.01)
            started_at = time.monotonic()
            placement = await nodes[0].acquire(make_item(time.monotonic()))
            assert placement is not None
            assert placement.upstream.zone == "zone-c"
            assert time.monotonic() - started_at < 0.03

        _run(scenario())

    def test_slots_of_a_region_whose_waiting_requests_take_none_are_used(
        self,
    ) -> None:
        """Guards against free slots behind a request that can't use them.

        One request too long for its deadline made a region look full, while
        40 requests of the other region waited beside 25 free slots.
        """

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 4)
            nodes = _create_nodes(network, engines, 2)
            endless = make_item(
                time.monotonic(), make_route(timeout_s=3.0), output_tokens=5000
            )
            waiting = asyncio.create_task(nodes[0].acquire(endless))
            await asyncio.sleep(0.02)
            nodes[0].coordinator.update()
            assert nodes[0].coordinator.waiting == {"models": 1}
            started_at = time.monotonic()
            route = make_route(tier=5)
            item = make_item(time.monotonic(), route, tier=5)
            assert await nodes[1].acquire(item)
            assert time.monotonic() - started_at < 0.02
            waiting.cancel()

        _run(scenario())

    def test_request_that_can_not_be_served_in_time_is_refused(self) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 2)
            assert await nodes[0].acquire(make_item(time.monotonic()))
            route = make_route(timeout_s=0.4)
            with pytest.raises(RefusedError) as caught:
                await nodes[1].acquire(make_item(time.monotonic(), route))
            assert caught.value.refusal.retry_after_s is not None

        _run(scenario())

    def test_grant_of_an_upstream_that_the_node_knows_to_drain_is_not_used(
        self,
    ) -> None:
        """Guards against work for a draining upstream.

        The coordinator may hear of it later than the node.
        """

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(2, 1)
            nodes = _create_nodes(network, engines, 2)
            nodes[1].registry.remove("zone-a-0")
            placements = [
                await nodes[1].acquire(make_item(time.monotonic()))
                for _ in range(1)
            ]
            assert placements[0] is not None
            assert placements[0].upstream.upstream_id == "zone-a-1"

        _run(scenario())


class TestLostCoordinator:
    """Coordinators that die, freeze, restart or stop."""

    def test_next_node_takes_over(self) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 2)
            nodes = _create_nodes(network, engines, 4)
            assert await nodes[2].acquire(make_item(time.monotonic()))
            network.unreachable.add(nodes[0].host)
            network.timed_out.add(nodes[0].host)
            started_at = time.monotonic()
            placement = await nodes[2].acquire(make_item(time.monotonic()))
            assert placement is not None
            assert placement.lease is not None
            assert placement.lease.coordinator == nodes[1].host
            assert time.monotonic() - started_at < 0.3

        _run(scenario())

    def test_node_that_misses_the_coordinator_gets_no_second_one(self) -> None:
        """Guards against two coordinators that grant the same slots.

        One node that loses datagrams must not make another node coordinate.
        """

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 3)
            network.cut_pairs.add((nodes[2].host, nodes[0].host))
            started_at = time.monotonic()
            assert await nodes[2].acquire(make_item(time.monotonic())) is None
            assert time.monotonic() - started_at < 0.3

        _run(scenario())

    def test_waiting_request_is_not_held_by_a_lost_coordinator(self) -> None:
        """Guards against requests that wait for a coordinator that died."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 4)
            assert await nodes[2].acquire(make_item(time.monotonic()))
            route = make_route(target_s=2.0)
            waiting = asyncio.create_task(
                nodes[3].acquire(make_item(time.monotonic(), route))
            )
            await asyncio.sleep(0.02)
            network.unreachable.add(nodes[0].host)
            started_at = time.monotonic()
            assert await waiting is None
            assert time.monotonic() - started_at < 1.0

        _run(scenario())

    def test_successor_learns_the_leases_of_the_lost_coordinator(self) -> None:
        """Guards against granting slots twice after a takeover."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 3)
            held = await nodes[2].acquire(make_item(time.monotonic()))
            assert held is not None
            nodes[2].client.update()
            network.unreachable.add(nodes[0].host)
            network.timed_out.add(nodes[0].host)
            await asyncio.sleep(0.3)
            nodes[2].client.update()
            await asyncio.sleep(0.05)
            waiting = asyncio.create_task(
                nodes[1].acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.1)
            assert not waiting.done()
            waiting.cancel()

        _run(scenario())

    def test_node_decides_on_its_own_if_no_coordinator_answers(self) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 4)
            network.unreachable.update(node.host for node in nodes[:3])
            started_at = time.monotonic()
            assert await nodes[3].acquire(make_item(time.monotonic())) is None
            assert time.monotonic() - started_at < 0.5

        _run(scenario())

    def test_stopping_coordinator_sends_waiting_requests_on(self) -> None:
        """Guards against requests that are lost in a planned stop."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 3)
            assert await nodes[1].acquire(make_item(time.monotonic()))
            waiting = asyncio.create_task(
                nodes[2].acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.02)
            nodes[0].coordinator.stop()
            started_at = time.monotonic()
            assert await waiting is None
            assert time.monotonic() - started_at < 0.1
            # The others know by now that it no longer coordinates.
            await asyncio.sleep(0.6)
            placement = await nodes[2].acquire(make_item(time.monotonic()))
            assert placement is not None
            assert placement.lease is not None
            assert placement.lease.coordinator == nodes[1].host

        _run(scenario())

    def test_starting_node_does_not_coordinate(self) -> None:
        """Guards against grants before the leases of others are known."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            SimulatedNode(network, "zone-a.0", "zone-a", engines.records, 60.0)
            second = SimulatedNode(
                network, "zone-a.1", "zone-a", engines.records
            )
            placement = await second.acquire(make_item(time.monotonic()))
            assert placement is not None
            assert placement.lease is not None
            assert placement.lease.coordinator == second.host

        _run(scenario())

    def test_leases_of_a_lost_node_end(self) -> None:
        clock = FakeClock(100.0)
        table = LeaseTable(clock.monotonic)
        table.start(LeaseKey("n1", 1, 1), Lease("u", "models", 500, 500, 100.0))
        assert table.load("u").requests == 1
        clock.advance(4.0)
        assert table.remove_expired()
        assert table.load("u").requests == 0


class TestPlannedStop:
    """A node that stops while its requests wait at a coordinator."""

    def test_requests_that_wait_for_a_slot_get_an_answer(self) -> None:
        """Guards against accepted requests that a planned stop cuts off."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 2)
            assert await nodes[0].acquire(make_item(time.monotonic()))
            scheduler = create_scheduler(nodes[1])
            waiting = asyncio.create_task(
                scheduler.acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.02)
            scheduler.refuse_unserved(
                Refusal(RefusalReason.DRAINING, "stopping", retry_after_s=0.3)
            )
            with pytest.raises(RefusedError) as caught:
                async with asyncio.timeout(0.1):
                    await waiting
            assert caught.value.refusal.reason is RefusalReason.DRAINING
            await asyncio.sleep(0.01)
            assert nodes[0].coordinator.waiting == {}

        _run(scenario())


class TestLeaseTable:
    """Leases after lost, repeated and reordered messages."""

    def test_lost_release_is_made_up_for_by_the_next_report(self) -> None:
        clock = FakeClock(100.0)
        table = LeaseTable(clock.monotonic)
        for lease in (1, 2):
            table.start(
                LeaseKey("n1", 1, lease),
                Lease("u", "models", 500, 500, clock.monotonic()),
            )
        clock.advance(1.0)
        assert table.apply_report(
            "n1", 1, 1, "models", [HeldLease(2, "u", 500)], []
        )
        assert table.load("u").requests == 1
        assert table.load("u").pending_prompt_tokens == 500

    def test_new_lease_is_kept_though_an_older_report_lacks_it(self) -> None:
        clock = FakeClock(100.0)
        table = LeaseTable(clock.monotonic)
        table.start(LeaseKey("n1", 1, 1), Lease("u", "models", 500, 500, 100.0))
        clock.advance(0.01)
        assert not table.apply_report("n1", 1, 1, "models", [], [])
        assert table.load("u").requests == 1

    def test_reordered_report_is_ignored(self) -> None:
        clock = FakeClock(100.0)
        table = LeaseTable(clock.monotonic)
        table.apply_report("n1", 1, 2, "models", [HeldLease(7, "u", 0)], [])
        clock.advance(1.0)
        assert not table.apply_report("n1", 1, 1, "models", [], [])
        assert table.load("u").requests == 1

    def test_loads_equal_the_leases_after_any_sequence(self) -> None:
        """Guards against slots that leak, or are freed twice."""
        rng = random.Random(5)
        clock = FakeClock(100.0)
        table = LeaseTable(clock.monotonic)
        alive: dict[LeaseKey, str] = {}
        for number in range(3000):
            clock.advance(0.01)
            key = LeaseKey(f"n{rng.randrange(4)}", 1, number)
            action = rng.randrange(4)
            if action < 2:
                upstream_id = f"u{rng.randrange(3)}"
                table.start(
                    key,
                    Lease(upstream_id, "models", 10, 10, clock.monotonic()),
                )
                alive[key] = upstream_id
            elif alive:
                key = rng.choice(list(alive))
                if action == 2:
                    table.record_first_event(key)
                else:
                    table.end(key)
                    # A repeated release has no effect.
                    assert table.end(key) is None
                    del alive[key]
            for upstream_id in ("u0", "u1", "u2"):
                assert table.load(upstream_id).requests == sum(
                    other == upstream_id for other in alive.values()
                )


class TestPooledHealth:
    """Failures that nodes report to the coordinator."""

    def test_one_node_that_is_cut_off_does_not_eject_an_upstream(self) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 4)
            nodes = _create_nodes(network, engines, 2)
            for _ in range(5):
                placement = await nodes[1].acquire(make_item(time.monotonic()))
                assert placement is not None
                nodes[1].release(placement, SlotOutcome.FAILED)
                await asyncio.sleep(0.01)
            assert not nodes[0].health.is_ejected("zone-a-0")

        _run(scenario())

    def test_upstream_that_fails_for_two_nodes_is_ejected_for_all(self) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 4)
            nodes = _create_nodes(network, engines, 3)
            for node in nodes[1:]:
                placement = await node.acquire(make_item(time.monotonic()))
                assert isinstance(placement, Placement)
                node.release(placement, SlotOutcome.FAILED)
                await asyncio.sleep(0.01)
            assert nodes[0].health.is_ejected("zone-a-0")

        _run(scenario())

    def test_restarted_upstream_is_not_ejected_for_what_it_did_before(
        self,
    ) -> None:
        """Guards against an upstream that restarts under the id it had."""

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 4)
            nodes = _create_nodes(network, engines, 3)
            for node in nodes[1:]:
                placement = await node.acquire(make_item(time.monotonic()))
                assert placement is not None
                node.release(placement, SlotOutcome.FAILED)
                await asyncio.sleep(0.01)
            assert nodes[0].health.is_ejected("zone-a-0")
            nodes[0].coordinator.remove_upstream("zone-a-0")
            assert await nodes[1].acquire(make_item(time.monotonic()))

        _run(scenario())


class TestMalformedMessages:
    """Datagrams that are no message of this build."""

    @settings(max_examples=200)
    @given(data=st.binary(max_size=400))
    def test_bytes_raise_a_decode_error_or_are_a_message(
        self, data: bytes
    ) -> None:
        try:
            message = decode_message(data)
        except msgspec.DecodeError:
            return
        assert decode_message(encode_message(message)) == message

    @settings(max_examples=300)
    @given(
        tag=st.integers(0, 12),
        fields=st.lists(
            st.none()
            | st.booleans()
            | st.integers(-(2**63), 2**63 - 1)
            | st.floats(allow_nan=True, allow_infinity=True)
            | st.text(max_size=5)
            | st.lists(st.text(max_size=3), max_size=2),
            max_size=20,
        ),
    )
    def test_message_with_senseless_values_does_not_end_the_process(
        self, tag: int, fields: list[object]
    ) -> None:
        """Guards against one malformed message that takes a node down."""
        data = msgspec.msgpack.encode([tag, *fields])

        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            node = _create_nodes(network, engines, 1)[0]
            reader, writer = os.pipe()
            os.set_blocking(writer, False)
            transport = CoordinationTransport(
                node.host, 1, DecisionLog("n", writer)
            )
            transport.connect(node.coordinator, node.client)
            transport.datagram_received(data, ("10.0.0.9", 1))
            await asyncio.sleep(0)
            assert await node.acquire(make_item(time.monotonic()))
            os.close(reader)
            os.close(writer)

        _run(scenario())

    @pytest.mark.parametrize("value", [float("nan"), float("inf"), -1e308])
    def test_request_with_senseless_times_does_not_end_the_process(
        self, value: float
    ) -> None:
        async def scenario() -> None:
            network = SimulatedNetwork()
            engines = SimulatedEngines(1, 1)
            nodes = _create_nodes(network, engines, 2)
            held = await nodes[1].acquire(make_item(time.monotonic()))
            assert held is not None
            request = SlotRequest(
                lease=1, start=1, zone="", service="models", may_wait=True,
                may_redirect=True, is_stream=True, tier=-1, route_tier=0,
                timeout_s=value, target_s=value, interval_target_s=value,
                age_s=value, waited_s=value, remaining_s=value,
                prompt_tokens=-5, output_tokens=-5, parts=[], excluded=[],
                versions=[],
            )  # fmt: skip
            nodes[0].receive("10.0.0.9", request)
            await asyncio.sleep(0.05)
            nodes[1].release(held)
            await asyncio.sleep(0.05)
            nodes[0].receive(
                "10.0.0.9", SlotRelease(lease=1, start=1, outcome=99)
            )
            assert await nodes[1].acquire(make_item(time.monotonic()))

        _run(scenario())


class TestRanking:
    """Choice of the node that coordinates a service."""

    def test_fast_links_come_first_and_services_are_spread(self) -> None:
        candidates = [
            (f"10.0.0.{number}", reader_rank(f"10.0.0.{number}", 100.0))
            for number in range(10)
        ]
        slow = ("10.0.1.1", reader_rank("10.0.1.1", 10.0))
        first = {
            rank_coordinators(f"service-{number}", [slow, *candidates])[0]
            for number in range(20)
        }
        assert slow[0] not in first
        assert len(first) > 3
