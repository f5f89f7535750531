"""Tests of the zone scheduler: order, refusals, preemption and slot sharing."""

import functools
import random
import threading
import time
from collections.abc import Callable
from typing import Any

import pytest

from scheduler_doubles import (
    REGION,
    FakeControl,
    FakeMembership,
    FakePeers,
    FakeVersions,
    exchange_heartbeats,
    make_request,
    make_settings,
    make_vm,
)
from tanagerport.clock import Clock, FakeClock, SystemClock
from tanagerport.exceptions import RefusedError
from tanagerport.interfaces import LoadReport, NodeView
from tanagerport.metrics import Metrics
from tanagerport.model import VM, RefusalReason, Request, VMState
from tanagerport.peer_pb2 import Heartbeat
from tanagerport.scheduler import Outcome, Placement
from tanagerport.zone_scheduler import ZoneScheduler, create_zone_scheduler

_DONE = Outcome(
    complete=True, first_token_s=0.05, duration_s=0.2, output_tokens=10
)


class Node:
    """A zone scheduler connected to test doubles."""

    def __init__(
        self,
        vms: list[VM],
        clock: Clock | None = None,
        node_id: str = "node-1",
        node_ids: tuple[str, ...] = ("node-1",),
        network: dict[str, FakePeers] | None = None,
        **settings: Any,
    ) -> None:
        self.clock = clock or FakeClock()
        remote = settings.pop("remote", ())
        self.membership = FakeMembership(node_id, node_ids, vms, remote)
        self.peers = FakePeers(node_id, {} if network is None else network)
        self.versions = FakeVersions()
        self.scheduler: ZoneScheduler = create_zone_scheduler(
            make_settings(node_id, **settings),
            self.membership,
            self.peers,
            self.versions,
            Metrics(),
            self.clock,
            run_background=not isinstance(self.clock, FakeClock),
        )
        self.placed: list[str] = []
        self.refused: dict[str, RefusedError] = {}
        self.placements: dict[str, Placement] = {}
        self.threads: list[threading.Thread] = []

    def choose_spill_node(self, request_id: str) -> str | None:
        return self.scheduler.choose_node(self.request(request_id), None)

    def request(
        self, request_id: str, tier: int = 0, **details: Any
    ) -> Request:
        return make_request(
            request_id, tier, now=self.clock.monotonic(), **details
        )

    def place(
        self, request_id: str, tier: int = 0, **details: Any
    ) -> Placement:
        placement = self.scheduler.acquire(
            self.request(request_id, tier, **details)
        )
        self.placements[request_id] = placement
        return placement

    def start_acquire(
        self, request_id: str, tier: int = 0, **details: Any
    ) -> None:
        """Starts `acquire` in a thread and waits until it takes effect."""
        request = self.request(request_id, tier, **details)

        def run() -> None:
            try:
                placement = self.scheduler.acquire(request)
            except RefusedError as error:
                self.refused[request_id] = error
            else:
                self.placed.append(request_id)
                self.placements[request_id] = placement

        before = self.waiting + len(self.placed) + len(self.refused)
        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.threads.append(thread)
        wait_for(
            lambda: self.waiting + len(self.placed) + len(self.refused) > before
        )

    @property
    def waiting(self) -> int:
        waiting = self.scheduler.snapshot()["waiting"].values()
        return sum(sum(tiers) for tiers in waiting)

    def finish(self, request_id: str, outcome: Outcome = _DONE) -> None:
        self.scheduler.release(self.placements[request_id], outcome)

    def attach_control(
        self, request_id: str, control: FakeControl | None = None
    ) -> FakeControl:
        control = control or FakeControl()
        self.scheduler.attach(self.placements[request_id], control)
        return control

    def usable(self, vm_id: str) -> int:
        return self.scheduler.snapshot()["upstreams"][vm_id]["usable"]


def wait_for(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; fails after about 10 s."""
    for _ in range(5000):
        if condition():
            return
        time.sleep(0.002)
    raise AssertionError("the condition did not come to hold")


def make_zone(
    count: int, vms: list[VM], clock: FakeClock, **settings: Any
) -> dict[str, Node]:
    names = tuple(f"node-{number}" for number in range(1, count + 1))
    network: dict[str, FakePeers] = {}
    return {
        name: Node(vms, clock, name, names, network, **settings)
        for name in names
    }


def run_zone(zone: dict[str, Node], clock: FakeClock, seconds: float) -> None:
    views = zone["node-1"].membership.views
    for _ in range(int(seconds / 0.25)):
        exchange_heartbeats(
            {name: node.peers for name, node in zone.items()}, views
        )
        clock.advance(0.25)
        for node in zone.values():
            node.scheduler.tick()


class TestOrder:
    """Guards against an order other than by tier, fair share and deadline."""

    def _make_full_node(self, slots: int = 1) -> Node:
        node = Node([make_vm("e1", slots=slots)])
        for number in range(slots):
            node.place(f"first-{number}")
        return node

    @staticmethod
    def _has_placed_count(node: Node, count: int) -> bool:
        return len(node.placed) == count

    def _finish_all(self, node: Node, first: list[str]) -> list[str]:
        done = list(first)
        while node.waiting:
            count = len(node.placed)
            node.finish(done[-1])
            wait_for(functools.partial(self._has_placed_count, node, count + 1))
            done.append(node.placed[-1])
        return done[len(first) :]

    def test_tier_goes_before_deadline(self) -> None:
        node = self._make_full_node()
        node.start_acquire("low", tier=2, deadline_s=10)
        node.start_acquire("top", tier=0, deadline_s=30)
        node.start_acquire("middle", tier=1, deadline_s=20)
        order = self._finish_all(node, ["first-0"])
        assert order == ["top", "middle", "low"]

    def test_deadline_orders_requests_of_one_customer(self) -> None:
        node = self._make_full_node()
        for name, deadline_s in (("b", 20), ("c", 25), ("a", 15)):
            node.start_acquire(name, tier=1, deadline_s=deadline_s)
        assert self._finish_all(node, ["first-0"]) == ["a", "b", "c"]

    def test_large_customer_does_not_starve_a_small_one(self) -> None:
        node = self._make_full_node()
        for number in range(6):
            node.start_acquire(f"large-{number}", tier=1, customer="large")
        node.start_acquire("small-0", tier=1, customer="small")
        node.start_acquire("small-1", tier=1, customer="small")
        order = self._finish_all(node, ["first-0"])
        assert max(order.index("small-0"), order.index("small-1")) <= 4

    def test_late_requests_go_after_those_in_time(self) -> None:
        """Guards against an overload that makes every request late."""
        clock = FakeClock()
        node = Node([make_vm("e1", slots=1)], clock)
        node.place("first")
        node.start_acquire("late", tier=1, deadline_s=10)
        clock.advance(1)
        node.start_acquire("in-time", tier=1, deadline_s=20)
        assert self._finish_all(node, ["first"]) == ["in-time", "late"]


class TestRefusal:
    """Guards against wrongly refused and wrongly admitted requests."""

    def _reason(self, node: Node, *args: Any, **details: Any) -> RefusalReason:
        with pytest.raises(RefusedError) as caught:
            node.place(*args, **details)
        return caught.value.refusal.reason

    def test_unknown_model_is_refused_at_once(self) -> None:
        node = Node([make_vm("e1", serves=("other",))])
        assert self._reason(node, "r") is RefusalReason.NO_UPSTREAM

    def test_deadline_that_cannot_be_met_is_refused_with_a_time(self) -> None:
        node = Node([make_vm("e1", slots=2)])
        node.place("running", tier=1)
        slow = Outcome(True, True, 0.1, 10.0, 100)
        node.finish("running", slow)
        node.place("running", tier=1)
        node.place("other", tier=0)
        for number in range(4):
            node.start_acquire(f"w{number}", tier=1, deadline_s=100)
        with pytest.raises(RefusedError) as caught:
            node.place("r", tier=1, deadline_s=8)
        refusal = caught.value.refusal
        assert refusal.reason is RefusalReason.DEADLINE_UNREACHABLE
        assert refusal.retry_after_s is not None
        assert refusal.retry_after_s >= 10
        node.start_acquire("patient", tier=1, deadline_s=100)
        assert node.waiting == 5

    def test_lower_tiers_leave_threads_to_the_top_tier(self) -> None:
        node = Node([make_vm("e1", slots=1)], caller_threads=8)
        node.place("running")
        for number in range(6):
            node.start_acquire(f"w{number}", tier=1, deadline_s=1000)
        reason = self._reason(node, "r", tier=1, deadline_s=1000)
        assert reason is RefusalReason.QUEUE_FULL
        node.start_acquire("top")
        assert node.waiting == 7

    def test_draining_refuses_waiting_and_new_requests(self) -> None:
        node = Node([make_vm("e1", slots=1)])
        node.place("running")
        node.start_acquire("waiting", tier=1)
        node.scheduler.stop_admitting()
        wait_for(lambda: "waiting" in node.refused)
        assert self._reason(node, "new") is RefusalReason.DRAINING
        node.finish("running")

    def test_passed_deadline_is_refused(self) -> None:
        node = Node([make_vm("e1", slots=1)], SystemClock())
        node.place("running")
        node.start_acquire("short", tier=1, deadline_s=1.5)
        wait_for(lambda: "short" in node.refused)
        refusal = node.refused["short"].refusal
        assert refusal.reason is RefusalReason.DEADLINE_PASSED
        node.scheduler.close()


class TestPreemption:
    """Guards against top-tier requests refused while lower tiers are served."""

    def test_lowest_tier_is_paused_and_resumed(self) -> None:
        node = Node([make_vm("e1", slots=2)])
        node.place("low", tier=2)
        node.place("middle", tier=1)
        middle, low = node.attach_control("middle"), node.attach_control("low")
        node.start_acquire("top")
        wait_for(lambda: "top" in node.placed)
        assert (middle.events, low.events) == ([], ["pause"])
        node.finish("top")
        wait_for(lambda: low.events == ["pause", "resume"])
        node.finish("low")
        node.finish("middle")
        assert node.scheduler.snapshot()["threads_held"] == [0, 0, 0, 0]

    @pytest.mark.parametrize(
        "control",
        [FakeControl(can_pause=False), FakeControl(confirms=False)],
    )
    def test_generation_that_does_not_pause_is_cancelled(
        self, control: FakeControl
    ) -> None:
        node = Node([make_vm("e1", slots=1)])
        node.place("low", tier=2)
        node.attach_control("low", control)
        node.start_acquire("top")
        wait_for(lambda: "cancel preempted" in control.events)
        assert node.placed == []
        node.finish("low", Outcome(complete=False))
        wait_for(lambda: "top" in node.placed)
        assert node.scheduler.snapshot()["upstreams"]["e1"]["in_use"][0] == 1

    def test_each_waiting_request_stops_one_generation(self) -> None:
        node = Node([make_vm("e1", slots=2)])
        node.place("low-0", tier=2)
        node.place("low-1", tier=2)
        controls = [node.attach_control("low-0"), node.attach_control("low-1")]
        node.start_acquire("top")
        wait_for(lambda: "top" in node.placed)
        paused = [item for item in controls if item.events == ["pause"]]
        assert len(paused) == 1

    def test_ended_while_it_was_paused(self) -> None:
        """Guards against a slot that is released twice."""
        node = Node([make_vm("e1", slots=1)])
        node.place("low", tier=2)
        node.attach_control("low")
        node.start_acquire("top")
        wait_for(lambda: "top" in node.placed)
        node.finish("low", Outcome(complete=False))
        state = node.scheduler.snapshot()["upstreams"]["e1"]
        assert (sum(state["in_use"]), state["paused"]) == (1, 0)

    def test_paused_generation_waits_for_more_important_requests(self) -> None:
        node = Node([make_vm("e1", slots=1)])
        node.place("low", tier=2)
        low = node.attach_control("low")
        node.start_acquire("top")
        wait_for(lambda: "top" in node.placed)
        node.start_acquire("middle", tier=1)
        node.finish("top")
        wait_for(lambda: "middle" in node.placed)
        assert low.events == ["pause"]
        node.finish("middle")
        wait_for(lambda: low.events == ["pause", "resume"])

    def test_paused_generation_near_its_deadline_goes_first(self) -> None:
        """Guards against paused generations that always miss their deadline."""
        clock = FakeClock()
        node = Node([make_vm("e1", slots=1)], clock)
        node.place("low", tier=2, deadline_s=20)
        low = node.attach_control("low")
        node.start_acquire("top")
        wait_for(lambda: "top" in node.placed)
        node.start_acquire("middle", tier=1, deadline_s=60)
        clock.advance(17)
        node.finish("top")
        wait_for(lambda: low.events == ["pause", "resume"])
        assert "middle" not in node.placed

    def test_failed_resume_ends_the_generation(self) -> None:
        node = Node([make_vm("e1", slots=1)])
        node.place("low", tier=2)
        control = node.attach_control("low")
        node.start_acquire("top")
        wait_for(lambda: "top" in node.placed)
        control.confirms = False
        node.finish("top")
        wait_for(lambda: "cancel preempted" in control.events)
        assert node.place("next").vm.vm_id == "e1"

    def test_slot_is_reclaimed_from_a_peer(self) -> None:
        clock = FakeClock()
        zone = make_zone(2, [make_vm("e1", slots=4)], clock)
        run_zone(zone, clock, 3)
        first, second = zone.values()
        for number in range(2):
            second.place(f"low-{number}", tier=2)
            second.attach_control(f"low-{number}")
            first.place(f"top-{number}")
        assert first.usable("e1") == 2
        first.start_acquire("top-2")
        wait_for(lambda: "top-2" in first.placed)
        assert second.usable("e1") == 1
        total = sum(
            sum(node.scheduler.snapshot()["upstreams"]["e1"]["in_use"])
            for node in zone.values()
        )
        assert total <= 4

    def test_cut_off_peer_does_not_block_the_request(self) -> None:
        clock = FakeClock()
        zone = make_zone(2, [make_vm("e1", slots=2)], clock)
        run_zone(zone, clock, 3)
        first = zone["node-1"]
        first.place("top-0")
        first.peers.unreachable_nodes.add("node-2")
        first.start_acquire("top-1")
        wait_for(lambda: ("node-2", "Reclaim") in first.peers.calls)
        first.finish("top-0")
        wait_for(lambda: "top-1" in first.placed)


class TestRouting:
    """Guards against requests that are routed to the wrong upstream."""

    def test_faster_upstream_is_preferred(self) -> None:
        node = Node([make_vm("fast"), make_vm("slow")])
        for number in range(12):
            placement = node.place(f"r{number}", tier=1)
            first_s = 0.05 if placement.vm.vm_id == "fast" else 0.5
            outcome = Outcome(True, True, first_s, first_s + 0.5, 20)
            node.finish(f"r{number}", outcome)
        chosen = [node.place(f"s{n}").vm.vm_id for n in range(3)]
        assert chosen == ["fast"] * 3

    def test_top_tier_waits_for_an_engine_that_is_quick_enough(self) -> None:
        """Guards against top-tier requests placed on a slow upstream."""
        clock = FakeClock()
        node = Node([make_vm("fast", slots=1), make_vm("slow")], clock)
        for name in ("a", "b"):
            vm_id = node.place(name).vm.vm_id
            node.finish(
                name, Outcome(True, True, 0.05, 1 + 9 * (vm_id == "slow"), 50)
            )
        assert node.place("busy").vm.vm_id == "fast"
        node.start_acquire("top")
        assert node.waiting == 1
        clock.advance(0.3)
        node.scheduler.tick()
        wait_for(lambda: "top" in node.placed)
        assert node.placements["top"].vm.vm_id == "slow"

    def test_cached_prefix_is_preferred(self) -> None:
        node = Node([make_vm(f"e{number}") for number in range(4)])
        rng = random.Random(3)
        for number in range(40):
            length = rng.randint(400, 8000)
            node.place(f"r{number}", prompt=f"{number:04}" + "x" * length)
            outcome = Outcome(True, True, 0.05 + length / 4e4, 1.0, 20)
            node.finish(f"r{number}", outcome)
        shared_prefix = "lesson " * 1000
        home = node.place("a", prompt=shared_prefix).vm.vm_id
        node.finish("a", Outcome(True, True, 0.225, 1.0, 20))
        again = [
            node.place(f"b{n}", prompt=shared_prefix + str(n)).vm.vm_id
            for n in range(2)
        ]
        assert again == [home, home]

    def test_version_must_be_loaded_and_not_convicted(self) -> None:
        clock = FakeClock()
        node = Node([make_vm("old"), make_vm("new")], clock)
        node.membership.loads = {
            "old": LoadReport(
                versions={"tutor": ["1"]}, default_versions={"tutor": "1"}
            ),
            "new": LoadReport(
                versions={"tutor": ["1", "2"]},
                default_versions={"tutor": "2"},
            ),
        }
        clock.advance(1)
        node.versions.version = "2"
        placement = node.place("a")
        assert (placement.vm.vm_id, placement.version) == ("new", "2")
        node.versions.version = ""
        node.versions.convicted.add(("tutor", "2"))
        clock.advance(1)
        versions = {
            (item.vm.vm_id, item.version)
            for item in (node.place(f"b{n}") for n in range(6))
        }
        assert versions == {("old", ""), ("new", "1")}

    def test_no_load_report_still_serves(self) -> None:
        node = Node([make_vm("e1")])
        node.versions.version = "2"
        assert node.place("a").version == ""

    def test_leaving_upstream_gets_no_new_work(self) -> None:
        clock = FakeClock()
        node = Node([make_vm("e1"), make_vm("e2")], clock)
        node.membership.vms[0] = make_vm("e1", state=VMState.LEAVING)
        clock.advance(0.1)
        chosen = {node.place(f"r{n}").vm.vm_id for n in range(4)}
        assert chosen == {"e2"}

    def test_failed_upstream_is_excluded(self) -> None:
        node = Node([make_vm("e1"), make_vm("e2")])
        request = node.request("r")
        placement = node.scheduler.acquire(request, frozenset({"e1"}))
        assert placement.vm.vm_id == "e2"

    def test_unobserved_upstream_is_probed_by_one_request(self) -> None:
        clock = FakeClock()
        node = Node([make_vm("known", slots=8)], clock)
        for number in range(3):
            node.place(f"r{number}")
            node.finish(f"r{number}")
        node.membership.vms.append(make_vm("fresh", slots=8))
        clock.advance(0.1)
        chosen = [
            node.place(f"s{number}", tier=1).vm.vm_id for number in range(4)
        ]
        assert chosen.count("fresh") == 1

    def test_explain_tells_the_decision(self) -> None:
        node = Node([make_vm("e1", slots=1)])
        node.place("a")
        record = node.scheduler.explain("a")
        assert record is not None
        placed = record["events"][-1]
        assert (placed["event"], placed["upstream"]) == ("placed", "e1")
        assert node.scheduler.explain("unknown") is None


class TestReaction:
    """Guards against an engine that is overloaded after it slows down."""

    def test_slow_engine_loses_slots_before_its_answers_end(self) -> None:
        clock = FakeClock()
        node = Node([make_vm("e1", slots=8)], clock)
        for number in range(8):
            node.place(f"r{number}")
            node.attach_control(f"r{number}")
        for _ in range(20):
            clock.advance(0.1)
            node.scheduler.tick()
        assert node.scheduler.snapshot()["upstreams"]["e1"]["limit"] <= 2

    @pytest.mark.parametrize(
        ("interval_s", "stall_s", "lowest"), [(0.02, 0.15, 8), (0.2, 0.0, 2)]
    )
    def test_running_answers_show_a_slowdown_but_not_a_stall(
        self, interval_s: float, stall_s: float, lowest: int
    ) -> None:
        """Guards against a limit halved by the prefill of one request."""
        clock = FakeClock()
        node = Node([make_vm("e1", slots=8)], clock)
        controls, limits = [], []
        for number in range(8):
            node.place(f"r{number}")
            controls.append(node.attach_control(f"r{number}"))
        for step in range(1, 25):
            clock.advance(0.1)
            for control in controls:
                control.first_token_s = 0.05
                generating_s = step * 0.1 - stall_s * (step >= 8)
                control.output_tokens = int(generating_s / interval_s)
            state = node.scheduler.snapshot()["upstreams"]["e1"]
            limits.append(state["limit"])
        if stall_s:
            assert min(limits) >= lowest
        else:
            assert limits[-1] <= lowest

    def test_limit_grows_with_good_samples(self) -> None:
        clock = FakeClock()
        node = Node([make_vm("e1", slots=4)], clock)
        for batch in range(12):
            count = node.usable("e1")
            for number in range(count):
                node.place(f"r{batch}-{number}")
            clock.advance(0.3)
            for number in range(count):
                node.finish(f"r{batch}-{number}")
            clock.advance(0.1)
            node.scheduler.tick()
        assert node.usable("e1") >= 8


class TestSpill:
    """Guards against spills that are unneeded or exceed the link budget."""

    def _make_node_with_remote(self, **settings: Any) -> Node:
        remote = [NodeView("far-1", "zone-b", "region-b", "127.0.0.1:2")]
        node = Node([make_vm("e1", slots=1)], remote=remote, **settings)
        message = Heartbeat(node_id="far-1", zone="zone-b")
        message.free_slots_by_model["tutor"] = 1
        node.peers.deliver(message)
        return node

    def test_only_when_the_zone_cannot_meet_the_target(self) -> None:
        node = self._make_node_with_remote()
        assert node.choose_spill_node("a") is None
        node.place("running")
        for number in range(3):
            node.start_acquire(f"w{number}")
        assert node.choose_spill_node("b") == "far-1"
        # The only free slot of the other zone is reserved already.
        assert node.choose_spill_node("c") is None

    def test_not_without_budget_or_to_a_cut_off_zone(self) -> None:
        node = self._make_node_with_remote(link_bytes_per_s=10)
        node.place("running")
        for number in range(3):
            node.start_acquire(f"w{number}")
        assert node.choose_spill_node("a") is None
        node = self._make_node_with_remote()
        node.membership.vms.clear()
        node.membership.unreachable_zones.add("zone-b")
        assert node.choose_spill_node("a") is None

    def test_top_tier_may_take_slots_of_lower_tiers_elsewhere(self) -> None:
        """Guards against a top tier that waits while others serve lower tiers.

        In a burst no zone has a free slot. If only free slots counted, nothing
        would be forwarded, and top-tier requests would wait in one zone for
        more than a second while other zones generate for lower tiers.
        """
        node = self._make_node_with_remote()
        message = Heartbeat(node_id="far-1", zone="zone-b")
        message.reclaimable_slots_by_model["tutor"] = 1
        node.peers.deliver(message)
        node.place("running")
        for number in range(3):
            node.start_acquire(f"w{number}")
        lower = node.request("lower", tier=1, deadline_s=0.1)
        assert node.scheduler.choose_node(lower, None) is None
        assert node.choose_spill_node("b") == "far-1"
        assert node.choose_spill_node("c") is None

    def test_slots_of_lower_tiers_are_told_to_other_zones(self) -> None:
        node = self._make_node_with_remote()
        node.place("batch", tier=2)
        own = node.membership.self_view
        message = node.peers.heartbeat(own, node.membership.views["far-1"])
        assert dict(message.reclaimable_slots_by_model) == {"tutor": 1}
        assert not message.free_slots_by_model

    def test_free_slots_are_told_to_other_zones_only(self) -> None:
        node = self._make_node_with_remote()
        own = node.membership.self_view
        far = node.membership.views["far-1"]
        message = node.peers.heartbeat(own, far)
        assert dict(message.free_slots_by_model) == {"tutor": 1}
        assert not message.HasField("slots")
        assert far.region != REGION


class TestHeartbeatSize:
    """Guards against heartbeats that exceed their size budget."""

    def test_bytes_per_used_upstream(self) -> None:
        clock = FakeClock()
        vms = [make_vm(f"engine-{n:04}", slots=24) for n in range(24)]
        zone = make_zone(6, vms, clock)
        run_zone(zone, clock, 3)
        first = zone["node-1"]
        for number in range(48):
            first.place(f"r{number}", tier=number % 2)
        views = first.membership.views
        sizes = []
        for name in list(zone)[1:]:
            message = first.peers.heartbeat(views["node-1"], views[name])
            message.ClearField("node_id")
            message.ClearField("zone")
            entries = len(message.reports) + len(message.grants)
            sizes.append((message.ByteSize() - 48) / max(1, entries))
        assert max(sizes) <= 18


class TestStress:
    """Guards against lost wake-ups and leaked slots under concurrency."""

    def test_all_requests_end_and_all_slots_return(self) -> None:
        vms = [make_vm(f"e{number}", slots=3) for number in range(3)]
        node = Node(vms, SystemClock(), caller_threads=400)
        engine = _FakeEngine(limit=9)
        rng = random.Random(11)
        threads = []
        for number in range(240):
            request = node.request(
                f"r{number}",
                tier=rng.choice([0, 0, 1, 2]),
                customer=rng.choice("abc"),
                work_class=None,
            )
            seconds = rng.uniform(0.001, 0.01)
            threads.append(
                threading.Thread(
                    target=engine.serve, args=(node, request, seconds)
                )
            )
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        state = node.scheduler.snapshot()
        assert engine.errors == []
        assert engine.served == 240
        assert state["threads_held"] == [0, 0, 0, 0]
        for use in state["upstreams"].values():
            assert (sum(use["in_use"]), use["paused"]) == (0, 0)
        node.scheduler.close()


class _FakeEngine:
    """Serves dispatches by sleeping; a paused dispatch blocks."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self.served = 0
        self.errors: list[str] = []

    def serve(self, node: Node, request: Request, seconds: float) -> None:
        try:
            placement = node.scheduler.acquire(request)
        except RefusedError as error:
            self.errors.append(str(error))
            return
        control = _BlockingControl()
        node.scheduler.attach(placement, control)
        started = time.monotonic()
        for _ in range(3):
            time.sleep(seconds / 3)
            control.running.wait()
        duration_s = time.monotonic() - started
        node.scheduler.release(
            placement, Outcome(True, True, seconds / 3, duration_s, 3)
        )
        with self._lock:
            self.served += 1


class _BlockingControl(FakeControl):
    def __init__(self) -> None:
        super().__init__()
        self.running = threading.Event()
        self.running.set()

    def pause(self) -> bool:
        self.running.clear()
        return True

    def resume(self) -> bool:
        self.running.set()
        return True
