"""Tests of upstream selection and of sharing upstreams between nodes."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from gateway_doubles import (
    ENGINE_SERVICE,
    NodeHarness,
    make_item,
    make_route,
    make_upstream,
)
from tanagerport.clock import FakeClock
from tanagerport.gateway.domain import PromptPart, WorkEstimate
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_load import LoadTracker

FAST = make_upstream("fast")
SLOW = make_upstream("slow")


def _harness_with_latencies() -> NodeHarness:
    harness = NodeHarness()
    harness.train_latencies("fast", 0.000016, 0.015)
    harness.train_latencies("slow", 0.00007, 0.085)
    return harness


def _start_requests(
    harness: NodeHarness, name: str, requests: int, prompt_tokens: int = 0
) -> None:
    for _ in range(requests):
        harness.load_tracker.record_start(name, prompt_tokens)
    harness.clock.advance(0.3)
    harness.load_tracker.record_received(name)


class TestLatency:
    """Upstreams that differ in speed by a factor of four."""

    def test_long_answer_waits_if_a_slow_upstream_would_miss_the_deadline(
        self,
    ) -> None:
        """Guards against slots occupied by requests that miss their deadline.

        1,200 tokens are 200 events. At 0.085 s each, they take 17 s; the
        deadline is 12 s.
        """
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        item = make_item(harness.clock.monotonic(), output_tokens=1200)
        assert harness.place(item, [FAST, SLOW]) is None

    def test_short_answer_uses_the_slow_upstream(self) -> None:
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        item = make_item(harness.clock.monotonic(), output_tokens=30)
        placement = harness.place(item, [FAST, SLOW])
        assert placement is not None
        assert placement.upstream is SLOW

    def test_long_prompt_does_not_delay_streams_of_a_slow_upstream(
        self,
    ) -> None:
        """Guards against event intervals above the target during a prefill.

        6,000 tokens at 0.07 ms each delay an event by 0.42 s; the target is
        0.25 s.
        """
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        route = make_route(target_s=0.8)
        item = make_item(harness.clock.monotonic(), route, prompt_tokens=6000)
        assert harness.place(item, [FAST, SLOW]) is None

    def test_late_request_uses_any_upstream_that_meets_the_deadline(
        self,
    ) -> None:
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        route = make_route(target_s=0.8)
        item = make_item(harness.clock.monotonic(), route, prompt_tokens=6000)
        harness.clock.advance(1.0)
        harness.load_tracker.record_received("fast")
        placement = harness.place(item, [FAST, SLOW])
        assert placement is not None
        assert placement.upstream is SLOW

    def test_pending_prompts_of_other_requests_count(self) -> None:
        harness = NodeHarness()
        harness.train_latencies("a", 0.00002, 0.015)
        harness.train_latencies("b", 0.00002, 0.015)
        _start_requests(harness, "a", 1, prompt_tokens=20_000)
        item = make_item(harness.clock.monotonic())
        upstreams = [make_upstream("a"), make_upstream("b")]
        placement = harness.place(item, upstreams)
        assert placement is not None
        assert placement.upstream.upstream_id == "b"

    def test_upstream_with_cached_prompt_is_preferred(self) -> None:
        harness = NodeHarness()
        prompt_parts = (PromptPart("p1", 5_000),)
        harness.cache.record("b", prompt_parts)
        item = make_item(harness.clock.monotonic(), make_route(target_s=0.8))
        item.work = WorkEstimate(5_000, 100, 50, prompt_parts)
        upstreams = [make_upstream("a"), make_upstream("b")]
        placement = harness.place(item, upstreams)
        assert placement is not None
        assert placement.upstream.upstream_id == "b"

    def test_short_prompts_do_not_affect_the_time_per_token(self) -> None:
        """Guards against estimates from answers dominated by base latency."""
        estimator = LatencyEstimator()
        for _ in range(10):
            estimator.record_first_byte("a", "models", 0.03, 10)
            estimator.record_first_byte("a", "models", 0.03 + 5000 * 2e-5, 5000)
        assert estimator.prompt_token_s("a", "models") == pytest.approx(
            2e-5, rel=0.2
        )

    def test_shared_samples_exclude_network_latency(self) -> None:
        sender, receiver = LatencyEstimator(), LatencyEstimator()
        for _ in range(10):
            sender.record_first_byte("a", "models", 0.005, 10)
            sender.record_first_byte("a", "models", 0.355, 5000)
            sender.record_event_interval("a", "models", 0.09)
        receiver.apply_samples(sender.take_samples())
        assert receiver.prompt_token_s("a", "models") == pytest.approx(
            7e-5, rel=0.1
        )
        assert receiver.event_interval_s("a", "models") == pytest.approx(0.09)
        assert receiver.first_event_s("a", "models", 0) == pytest.approx(0.01)
        assert sender.take_samples() == []


class TestLocality:
    """Preference for the node's own zone and region."""

    def test_own_zone_is_preferred_until_it_is_full(self) -> None:
        harness = NodeHarness()
        upstreams = [make_upstream("far", "zone-c"), make_upstream("near")]
        placements = [
            harness.place(
                make_item(harness.clock.monotonic(), prompt_tokens=1), upstreams
            )
            for _ in range(1)
        ]
        assert placements[0] is not None
        assert placements[0].upstream.upstream_id == "near"
        _start_requests(harness, "near", 3)
        placement = harness.place(
            make_item(harness.clock.monotonic(), prompt_tokens=1), upstreams
        )
        assert placement is not None
        assert placement.upstream.upstream_id == "far"


class TestFailures:
    """Upstreams that fail, reject requests or stop responding."""

    def test_silent_upstream_gets_no_requests_until_it_sends_data(
        self,
    ) -> None:
        """Guards against dozens of requests to an unresponsive upstream."""
        harness = NodeHarness()
        upstream = make_upstream("u", slots=50)
        assert harness.place(make_item(100.0), [upstream]) is not None
        harness.clock.advance(1.0)
        item = make_item(harness.clock.monotonic())
        assert harness.place(item, [upstream]) is None
        assert harness.load_tracker.local_loads()[0][3] is True
        harness.load_tracker.record_received("u")
        assert harness.place(item, [upstream]) is not None

    def test_reported_silence_counts_until_the_upstream_sends_data(
        self,
    ) -> None:
        harness = NodeHarness()
        upstream = make_upstream("u")
        harness.load_tracker.apply_report("node-2", [("u", 1, 0, True)])
        item = make_item(harness.clock.monotonic())
        assert harness.place(item, [upstream]) is None
        harness.load_tracker.record_received("u")
        assert harness.place(item, [upstream]) is not None

    def test_unreachable_upstream_is_ejected_and_then_on_probation(
        self,
    ) -> None:
        clock = FakeClock(100.0)
        health = UpstreamHealth(clock.monotonic)
        health.record_connect_failure("u")
        assert health.is_ejected("u")
        clock.advance(0.6)
        assert not health.is_ejected("u")
        assert health.is_on_probation("u")
        health.record_success("u")
        assert not health.is_on_probation("u")

    def test_ejection_time_is_bounded(self) -> None:
        clock = FakeClock(100.0)
        health = UpstreamHealth(clock.monotonic)
        for _ in range(30):
            health.record_failure("u")
        clock.advance(8.1)
        assert not health.is_ejected("u")


class TestSharing:
    """Slots of an upstream that several nodes use."""

    @pytest.mark.parametrize("record", ["record_failure", "record_rejection"])
    def test_endless_failures_raise_no_error(self, record: str) -> None:
        """Guards against an overflow after a thousand failures in a row."""
        clock = FakeClock(100.0)
        health = UpstreamHealth(clock.monotonic)
        for _ in range(3000):
            getattr(health, record)("u")
        assert health.is_ejected("u")
        clock.advance(8.1)
        assert not health.is_ejected("u")

    def test_slots_freed_at_once_are_not_claimed_by_every_node(self) -> None:
        """Guards against 80 requests for ten slots.

        Eight nodes with waiting requests see ten free slots at the same time.
        """
        clock = FakeClock(100.0)
        upstream = make_upstream("u", slots=10)
        nodes = [NodeHarness(clock, nodes=8) for _ in range(8)]
        sent = 0
        for harness in nodes:
            while harness.place(make_item(clock.monotonic()), [upstream]):
                sent += 1
        assert sent <= 10

    def test_node_may_claim_the_slots_that_it_freed(self) -> None:
        """Guards against slots that stay free while requests wait."""
        clock = FakeClock(100.0)
        harness = NodeHarness(clock, nodes=8)
        upstream = make_upstream("u", slots=10)
        for _ in range(6):
            clock.advance(1.0)
            harness.load_tracker.record_received("u")
            assert harness.place(make_item(clock.monotonic()), [upstream])
        clock.advance(0.3)
        harness.load_tracker.record_received("u")
        harness.load_tracker.record_end("u")
        harness.load_tracker.record_end("u")
        assert harness.place(make_item(clock.monotonic()), [upstream])
        assert harness.place(make_item(clock.monotonic()), [upstream])

    def test_report_of_a_lost_node_expires(self) -> None:
        clock = FakeClock(100.0)
        load_tracker = LoadTracker(lambda: 2, lambda: 0.1, clock.monotonic)
        load_tracker.apply_report("node-2", [("u", 4, 0, False)])
        assert load_tracker.load("u").requests == 4
        clock.advance(2.0)
        assert load_tracker.load("u").requests == 0


class LoadTotals(stateful.RuleBasedStateMachine):
    """Compares the totals with the sum of all unexpired reports."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock(100.0)
        self.load_tracker = LoadTracker(
            lambda: 3, lambda: 0.1, self.clock.monotonic
        )
        self.reports: dict[str, tuple[float, dict[str, int]]] = {}

    @stateful.rule(
        node=st.sampled_from(["n1", "n2", "n3"]),
        loads=st.dictionaries(
            st.sampled_from(["u1", "u2"]), st.integers(1, 5), max_size=2
        ),
    )
    def report(self, node: str, loads: dict[str, int]) -> None:
        self.reports[node] = (self.clock.monotonic(), loads)
        self.load_tracker.apply_report(
            node,
            [(name, count, count * 10, False) for name, count in loads.items()],
        )

    @stateful.rule(node=st.sampled_from(["n1", "n2", "n3"]))
    def remove_report(self, node: str) -> None:
        self.reports.pop(node, None)
        self.load_tracker.remove_report(node)

    @stateful.rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 2.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @stateful.invariant()
    def totals_equal_unexpired_reports(self) -> None:
        oldest_at = self.clock.monotonic() - 1.5
        for upstream in ("u1", "u2"):
            expected = sum(
                loads.get(upstream, 0)
                for received_at, loads in self.reports.values()
                if received_at >= oldest_at
            )
            load = self.load_tracker.load(upstream)
            assert load.requests == expected
            assert load.pending_prompt_tokens == 10 * expected


class TestLoadTotals:
    """Guards against totals that drift from the reports."""

    def test_totals_equal_the_reports(self) -> None:
        stateful.run_state_machine_as_test(LoadTotals)

    def test_silence_counts_while_any_node_reports_it(self) -> None:
        load_tracker = LoadTracker(
            lambda: 3, lambda: 0.1, FakeClock(100.0).monotonic
        )
        load_tracker.apply_report("n1", [("u", 1, 0, True)])
        load_tracker.apply_report("n2", [("u", 1, 0, False)])
        assert load_tracker.load("u").is_silent
        load_tracker.apply_report("n1", [("u", 1, 0, False)])
        assert not load_tracker.load("u").is_silent


class SharedUpstream(stateful.RuleBasedStateMachine):
    """Nodes that share one upstream and receive reports with a delay.

    At no time may the nodes overcommit the upstream by more than one slot per
    node: a node may claim that much before it learns of the claims of others.
    """

    nodes = 4
    slots = 8
    has_injected_fault = False

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock(100.0)
        self.upstream = make_upstream("u", slots=self.slots)
        self.harnesses = [
            NodeHarness(
                self.clock, nodes=1 if self.has_injected_fault else self.nodes
            )
            for _ in range(self.nodes)
        ]
        self.held_slots = [0] * self.nodes

    @stateful.rule(node=st.integers(0, 3), count=st.integers(1, 8))
    def send(self, node: int, count: int) -> None:
        harness = self.harnesses[node]
        harness.load_tracker.record_received("u")
        for _ in range(count):
            item = make_item(self.clock.monotonic())
            if harness.place(item, [self.upstream], ENGINE_SERVICE) is not None:
                self.held_slots[node] += 1

    @stateful.rule(node=st.integers(0, 3))
    def finish(self, node: int) -> None:
        if self.held_slots[node]:
            self.held_slots[node] -= 1
            self.harnesses[node].load_tracker.record_end("u")

    @stateful.rule()
    def report_all(self) -> None:
        self.clock.advance(0.16)
        for node, harness in enumerate(self.harnesses):
            for other, receiver in enumerate(self.harnesses):
                if other != node:
                    receiver.load_tracker.apply_report(
                        f"node-{node}", harness.load_tracker.local_loads()
                    )

    @stateful.invariant()
    def slots_are_not_overcommitted(self) -> None:
        # A node may reclaim a slot that it freed while another node, which
        # has learned of it, claims it too: at most once per slot.
        assert sum(self.held_slots) <= 2 * self.slots


class TestSharedUpstream:
    """Runs the state machine without and with an injected fault."""

    def test_slots_are_not_overcommitted(self) -> None:
        stateful.run_state_machine_as_test(
            SharedUpstream,
            settings=hypothesis.settings(
                max_examples=60, stateful_step_count=60
            ),
        )

    def test_finds_nodes_that_do_not_share_slots(self) -> None:
        class WithoutSharing(SharedUpstream):
            has_injected_fault = True

        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                WithoutSharing,
                settings=hypothesis.settings(
                    max_examples=200,
                    stateful_step_count=80,
                    report_multiple_bugs=False,
                    suppress_health_check=list(hypothesis.HealthCheck),
                ),
            )
