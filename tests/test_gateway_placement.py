"""Where work goes, and how nodes share upstreams."""

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


class TestSpeed:
    """Upstreams that differ in speed by a factor of four."""

    def test_long_answer_does_not_go_where_it_ends_too_late(self) -> None:
        """Guards against places that are held until the deadline for nothing.

        1,200 tokens are 200 events; at 0.085 s each they take 17 s of 12 s.
        """
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        item = make_item(harness.clock.monotonic(), output_tokens=1200)
        assert harness.place(item, [FAST, SLOW]) is None

    def test_short_answer_takes_the_slow_upstream(self) -> None:
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        item = make_item(harness.clock.monotonic(), output_tokens=30)
        placement = harness.place(item, [FAST, SLOW])
        assert placement is not None
        assert placement.upstream is SLOW

    def test_long_prompt_does_not_make_streams_of_a_slow_upstream_pause(
        self,
    ) -> None:
        """Guards against pauses above the target beside a long prompt.

        6,000 tokens at 0.07 ms make a pause of 0.42 s; 0.25 s are on time.
        """
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        route = make_route(target_s=0.8)
        item = make_item(harness.clock.monotonic(), route, prompt_tokens=6000)
        assert harness.place(item, [FAST, SLOW]) is None

    def test_late_request_takes_any_upstream_that_ends_in_time(self) -> None:
        harness = _harness_with_latencies()
        _start_requests(harness, "fast", 4)
        route = make_route(target_s=0.8)
        item = make_item(harness.clock.monotonic(), route, prompt_tokens=6000)
        harness.clock.advance(1.0)
        harness.load_tracker.record_received("fast")
        placement = harness.place(item, [FAST, SLOW])
        assert placement is not None
        assert placement.upstream is SLOW

    def test_prompts_ahead_count(self) -> None:
        harness = NodeHarness()
        harness.train_latencies("a", 0.00002, 0.015)
        harness.train_latencies("b", 0.00002, 0.015)
        _start_requests(harness, "a", 1, prompt_tokens=20_000)
        item = make_item(harness.clock.monotonic())
        upstreams = [make_upstream("a"), make_upstream("b")]
        placement = harness.place(item, upstreams)
        assert placement is not None
        assert placement.upstream.upstream_id == "b"

    def test_kept_prompt_parts_draw_work(self) -> None:
        harness = NodeHarness()
        prompt_parts = (PromptPart("p1", 5_000),)
        harness.cache.record("b", prompt_parts)
        item = make_item(harness.clock.monotonic(), make_route(target_s=0.8))
        item.work = WorkEstimate(5_000, 100, 50, prompt_parts)
        upstreams = [make_upstream("a"), make_upstream("b")]
        placement = harness.place(item, upstreams)
        assert placement is not None
        assert placement.upstream.upstream_id == "b"

    def test_short_prompts_do_not_spoil_the_time_for_a_token(self) -> None:
        """Guards against estimates from answers that are all latency."""
        speeds = LatencyEstimator()
        for _ in range(10):
            speeds.record_first_byte("a", "models", 0.03, 10)
            speeds.record_first_byte("a", "models", 0.03 + 5000 * 2e-5, 5000)
        assert speeds.prompt_token_s("a", "models") == pytest.approx(
            2e-5, rel=0.2
        )

    def test_other_nodes_learn_speeds_but_not_distances(self) -> None:
        near, far = LatencyEstimator(), LatencyEstimator()
        for _ in range(10):
            near.record_first_byte("a", "models", 0.005, 10)
            near.record_first_byte("a", "models", 0.355, 5000)
            near.record_event_interval("a", "models", 0.09)
        far.apply_samples(near.take_samples())
        assert far.prompt_token_s("a", "models") == pytest.approx(7e-5, rel=0.1)
        assert far.event_interval_s("a", "models") == pytest.approx(0.09)
        assert far.first_event_s("a", "models", 0) == pytest.approx(0.01)
        assert near.take_samples() == []


class TestDistance:
    """Zones and regions."""

    def test_own_zone_is_preferred_until_it_is_full(self) -> None:
        harness = NodeHarness()
        upstreams = [make_upstream("far", "zone-c"), make_upstream("near")]
        places = [
            harness.place(
                make_item(harness.clock.monotonic(), prompt_tokens=1), upstreams
            )
            for _ in range(1)
        ]
        assert places[0] is not None
        assert places[0].upstream.upstream_id == "near"
        _start_requests(harness, "near", 3)
        placement = harness.place(
            make_item(harness.clock.monotonic(), prompt_tokens=1), upstreams
        )
        assert placement is not None
        assert placement.upstream.upstream_id == "far"


class TestFailures:
    """Upstreams that fail, refuse or fall silent."""

    def test_silent_upstream_gets_no_further_work_until_it_is_heard(
        self,
    ) -> None:
        """Guards against dozens of requests that wait at a dark upstream."""
        harness = NodeHarness()
        upstream = make_upstream("u", slots=50)
        assert harness.place(make_item(100.0), [upstream]) is not None
        harness.clock.advance(1.0)
        item = make_item(harness.clock.monotonic())
        assert harness.place(item, [upstream]) is None
        assert harness.load_tracker.local_loads()[0][3] is True
        harness.load_tracker.record_received("u")
        assert harness.place(item, [upstream]) is not None

    def test_silence_that_another_node_reports_counts(self) -> None:
        harness = NodeHarness()
        upstream = make_upstream("u")
        harness.load_tracker.apply_report("node-2", [("u", 1, 0, True)])
        item = make_item(harness.clock.monotonic())
        assert harness.place(item, [upstream]) is None
        harness.load_tracker.record_received("u")
        assert harness.place(item, [upstream]) is not None

    def test_unreachable_upstream_rests_and_then_proves_itself(self) -> None:
        clock = FakeClock(100.0)
        health = UpstreamHealth(clock.monotonic)
        health.record_connect_failure("u")
        assert health.is_ejected("u")
        clock.advance(0.6)
        assert not health.is_ejected("u")
        assert health.is_on_probation("u")
        health.record_success("u")
        assert not health.is_on_probation("u")

    def test_rest_grows_with_failures_up_to_a_bound(self) -> None:
        clock = FakeClock(100.0)
        health = UpstreamHealth(clock.monotonic)
        for _ in range(30):
            health.record_failure("u")
        clock.advance(8.1)
        assert not health.is_ejected("u")


class TestSharing:
    """Places of an upstream that several nodes see."""

    def test_places_that_fall_free_at_once_are_not_taken_by_all(self) -> None:
        """Guards against 80 requests on ten places: every node saw ten free.

        Eight nodes with waiting requests see an upstream of ten places.
        """
        clock = FakeClock(100.0)
        upstream = make_upstream("u", slots=10)
        nodes = [NodeHarness(clock, nodes=8) for _ in range(8)]
        sent = 0
        for harness in nodes:
            while harness.place(make_item(clock.monotonic()), [upstream]):
                sent += 1
        assert sent <= 10

    def test_node_takes_back_the_places_that_it_gave_up(self) -> None:
        """Guards against places that stay empty although requests wait."""
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

    def test_reports_of_a_lost_node_stop_counting(self) -> None:
        clock = FakeClock(100.0)
        load_tracker = LoadTracker(lambda: 2, lambda: 0.1, clock.monotonic)
        load_tracker.apply_report("node-2", [("u", 4, 0, False)])
        assert load_tracker.load("u").requests == 4
        clock.advance(2.0)
        assert load_tracker.load("u").requests == 0


class LoadSums(stateful.RuleBasedStateMachine):
    """Sums of reports, against adding up all reports that are fresh."""

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
    def forget(self, node: str) -> None:
        self.reports.pop(node, None)
        self.load_tracker.forget_node(node)

    @stateful.rule(seconds=st.sampled_from([0.25, 0.5, 1.0, 2.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @stateful.invariant()
    def sums_are_those_of_fresh_reports(self) -> None:
        oldest = self.clock.monotonic() - 1.5
        for upstream in ("u1", "u2"):
            expected = sum(
                loads.get(upstream, 0)
                for received_at, loads in self.reports.values()
                if received_at >= oldest
            )
            load = self.load_tracker.load(upstream)
            assert load.requests == expected
            assert load.pending_prompt_tokens == 10 * expected


class TestLoadSums:
    """Guards against sums that drift from the reports."""

    def test_sums_follow_the_reports(self) -> None:
        stateful.run_state_machine_as_test(LoadSums)

    def test_silence_of_one_node_counts_until_it_is_taken_back(self) -> None:
        load_tracker = LoadTracker(
            lambda: 3, lambda: 0.1, FakeClock(100.0).monotonic
        )
        load_tracker.apply_report("n1", [("u", 1, 0, True)])
        load_tracker.apply_report("n2", [("u", 1, 0, False)])
        assert load_tracker.load("u").is_silent
        load_tracker.apply_report("n1", [("u", 1, 0, False)])
        assert not load_tracker.load("u").is_silent


class SharedUpstream(stateful.RuleBasedStateMachine):
    """Nodes that share one upstream and hear of each other with delay.

    At no time may more than one place a node be taken too much: that is what
    a node may take of places whose loss it has not heard of.
    """

    nodes = 4
    places = 8
    has_planted_bug = False

    def __init__(self) -> None:
        super().__init__()
        self.clock = FakeClock(100.0)
        self.upstream = make_upstream("u", slots=self.places)
        self.harnesses = [
            NodeHarness(
                self.clock, nodes=1 if self.has_planted_bug else self.nodes
            )
            for _ in range(self.nodes)
        ]
        self.held = [0] * self.nodes

    @stateful.rule(node=st.integers(0, 3), count=st.integers(1, 8))
    def send(self, node: int, count: int) -> None:
        harness = self.harnesses[node]
        harness.load_tracker.record_received("u")
        for _ in range(count):
            item = make_item(self.clock.monotonic())
            if harness.place(item, [self.upstream], ENGINE_SERVICE) is not None:
                self.held[node] += 1

    @stateful.rule(node=st.integers(0, 3))
    def finish(self, node: int) -> None:
        if self.held[node]:
            self.held[node] -= 1
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
    def places_are_not_overrun(self) -> None:
        # What a node gives up it may take back while another one, that has
        # heard of it already, takes it too: once for each such place.
        assert sum(self.held) <= 2 * self.places


class TestSharedUpstream:
    """State machine of shared places, and a bug that it finds."""

    def test_places_are_not_overrun(self) -> None:
        stateful.run_state_machine_as_test(
            SharedUpstream,
            settings=hypothesis.settings(
                max_examples=60, stateful_step_count=60
            ),
        )

    def test_finds_nodes_that_do_not_share(self) -> None:
        class Planted(SharedUpstream):
            has_planted_bug = True

        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                Planted,
                settings=hypothesis.settings(
                    max_examples=200,
                    stateful_step_count=80,
                    report_multiple_bugs=False,
                    suppress_health_check=list(hypothesis.HealthCheck),
                ),
            )
