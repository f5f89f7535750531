"""Tests of upstreams that ask a node to send them nothing for some time."""

import asyncio
import dataclasses
import math
import pathlib
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import platform_standin as standin
from gateway_doubles import (
    NodeHarness,
    make_item,
    make_route,
    make_switch,
    make_upstream,
)
from platform_standin import LocalCluster, configuration, route
from simulated_slots import (
    SERVICE,
    SimulatedEngines,
    SimulatedNetwork,
    SimulatedNode,
    create_scheduler,
)
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.rollout import RolloutController
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.upstream_backoff import (
    MAX_BACKOFF_S,
    UpstreamBackoff,
    parse_backoff_s,
)
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.refusals import Ran, Refusal, RefusalReason

_ROUTES = [
    route("read"),
    route("pay", "non_idempotent", max_attempts=1),
]


def _run_scenario(
    directory: pathlib.Path,
    scenario: Callable[[LocalCluster], Awaitable[None]],
) -> None:
    """Runs a scenario on a cluster with one gateway."""

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, _ROUTES)
        ) as cluster:
            await cluster.add_gateway()
            await scenario(cluster)

    asyncio.run(run_cluster())


def _run_limited(scenario: Callable[[], Awaitable[Any]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(limited())


def _reject_once(
    retry_after: str, is_not_run: bool = True
) -> standin.RequestHandler:
    """Returns a handler that turns the first request away and runs others."""

    async def handler(
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if len(upstream.received_requests) > 1:
            await standin.echo(upstream, request, writer)
            return
        fields = {"Retry-After": retry_after}
        if is_not_run:
            fields["Not-Executed"] = "1"
        writer.write(
            standin.response_bytes(
                503, b"", standin.seal_headers(request, **fields)
            )
        )

    return handler


async def _fail_once(
    upstream: standin.UpstreamStandin,
    request: standin.HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers 500 to the first request and runs the others."""
    if len(upstream.received_requests) > 1:
        await standin.echo(upstream, request, writer)
        return
    writer.write(
        standin.response_bytes(500, b"", standin.seal_headers(request))
    )


class TestRejectingUpstream:
    """Guards against requests to an upstream that asked for none."""

    @pytest.mark.parametrize("is_not_run", [True, False])
    def test_upstream_gets_nothing_until_the_time_has_passed(
        self, tmp_path: pathlib.Path, is_not_run: bool
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            rejecting = await cluster.add_upstream(
                "u-1", _reject_once("1.5", is_not_run)
            )
            await cluster.gateway.wait_ready()
            await cluster.call("a0", "/pay/x")
            blocked_until = time.monotonic() + 1.5
            await cluster.add_upstream("u-2", standin.echo, zone="zone-b")
            await asyncio.sleep(0.3)
            while time.monotonic() < blocked_until - 0.1:
                response = await cluster.call("a1", "/read/x")
                assert response.status == 200
                await asyncio.sleep(0.05)
            assert len(rejecting.received_requests) == 1
            await asyncio.sleep(0.2)
            for number in range(2, 22):
                await cluster.call(f"a{number}", "/read/x")
            assert len(rejecting.received_requests) > 1
            metrics = await standin.fetch(
                cluster.gateway.metrics_port, "GET", "/metrics"
            )
            assert (
                b"tanagerport_gateway_upstream_notices_total"
                b'{kind="retry_after"} 1.0' in metrics.body
            )
            events = [line["event"] for line in cluster.gateway.log_lines()]
            assert events.count("upstream_backoff") == 1

        _run_scenario(tmp_path, scenario)

    def test_request_waits_for_the_only_upstream(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a repeat before the time has passed."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", _reject_once("0.8"))
            await cluster.gateway.wait_ready()
            response = await cluster.call("a0", "/read/x")
            assert response.status == 200
            first, second = upstream.received_requests
            assert 0.8 <= second.received_at - first.received_at < 1.2

        _run_scenario(tmp_path, scenario)

    def test_request_that_can_not_wait_is_refused_at_once(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a send to an upstream because all others are out."""

        async def scenario(cluster: LocalCluster) -> None:
            upstreams = [
                await cluster.add_upstream(f"u-{number}", _reject_once("30"))
                for number in range(2)
            ]
            await cluster.gateway.wait_ready()
            for number in range(8):
                for target in ("/read/x", "/pay/x"):
                    response = await cluster.call(f"a{number}", target)
                    assert response.status == 503
                    assert response.duration_s < 0.5
            assert float(response.headers["retry-after"]) == pytest.approx(
                30, abs=2
            )
            assert [len(entry.received_requests) for entry in upstreams] == [
                1,
                1,
            ]

        _run_scenario(tmp_path, scenario)

    def test_retry_goes_to_an_upstream_that_takes_requests(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a wait for it while another one could be tried again.

        The other upstream has failed the request once.
        """

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", _reject_once("30"))
            await cluster.gateway.wait_ready()
            assert (await cluster.call("a0", "/pay/x")).status == 503
            failing = await cluster.add_upstream("u-2", _fail_once)
            await asyncio.sleep(0.4)
            response = await cluster.call("a1", "/read/x")
            assert response.status == 200
            assert len(failing.received_requests) == 2

        _run_scenario(tmp_path, scenario)

    def test_restarted_upstream_is_used(self, tmp_path: pathlib.Path) -> None:
        """Guards against an upstream that stays out after its restart."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", _reject_once("30"))
            await cluster.gateway.wait_ready()
            assert (await cluster.call("a0", "/pay/x")).status == 503
            await cluster.store.put(
                "servers", "u-1", upstream.registration("svc", born=2)
            )
            await asyncio.sleep(0.4)
            assert (await cluster.call("a1", "/pay/x")).status == 200

        _run_scenario(tmp_path, scenario)


class TestBackoffHeader:
    """Guards against odd values that block an upstream for good."""

    @pytest.mark.parametrize(
        ("values", "backoff_s"),
        [
            ([b"2"], 2.0),
            ([b"0.25"], 0.25),
            ([b".5"], 0.5),
            ([b"1", b"3", b"2"], 3.0),
            ([b"x", b"1"], 1.0),
            ([b"0"], 0.0),
            ([b"-1"], 0.0),
            ([b""], 0.0),
            ([], 0.0),
            ([b"nan"], 0.0),
            ([b"inf"], 0.0),
            ([b"1e3"], 0.0),
            ([b"Wed", b"21 Oct 2026 07:28:00 GMT"], 0.0),
            ([b"\xd9\xa3"], 0.0),
            ([b"86400"], MAX_BACKOFF_S),
            ([b"9" * 400], MAX_BACKOFF_S),
        ],
    )
    def test_value_is_read_as_seconds(
        self, values: list[bytes], backoff_s: float
    ) -> None:
        assert parse_backoff_s(values) == backoff_s

    @settings(derandomize=True)
    @given(st.lists(st.binary(max_size=8), max_size=4))
    def test_any_values_give_a_time_within_the_bounds(
        self, values: list[bytes]
    ) -> None:
        assert 0 <= parse_backoff_s(values) <= MAX_BACKOFF_S

    @settings(derandomize=True)
    @given(
        st.floats(0.01, MAX_BACKOFF_S),
        st.lists(st.sampled_from([b"", b"-3", b"nan", b"soon"])),
    )
    def test_time_is_read_among_odd_values(
        self, seconds: float, odd: list[bytes]
    ) -> None:
        value = f"{seconds:.3f}"
        assert parse_backoff_s([*odd, value.encode()]) == float(value)


class TestBackoff:
    """Guards against a time that ends early, or holds for another start."""

    def test_shorter_time_does_not_end_a_longer_one(self) -> None:
        clock, backoff, upstream = self._make_backoff()
        assert backoff.record(upstream, 2.0)
        assert not backoff.record(upstream, 0.5)
        clock.advance(1.9)
        assert backoff.is_blocked(upstream)
        assert backoff.remaining_s([upstream]) == pytest.approx(0.1)
        clock.advance(0.2)
        assert not backoff.is_blocked(upstream)
        assert backoff.size == 0

    def test_another_start_may_be_used(self) -> None:
        _, backoff, upstream = self._make_backoff()
        backoff.record(upstream, 2.0)
        assert not backoff.is_blocked(
            dataclasses.replace(upstream, started_ms=6)
        )

    def test_first_end_of_several_counts(self) -> None:
        _, backoff, upstream = self._make_backoff()
        other = make_upstream("other")
        backoff.record(upstream, 2.0)
        assert backoff.remaining_s([upstream, other]) == 0
        assert backoff.usable([upstream, other]) == [other]
        backoff.record(other, 1.0)
        assert backoff.remaining_s([upstream, other]) == 1.0
        assert backoff.remaining_s([]) == 0

    def _make_backoff(
        self,
    ) -> tuple[FakeClock, UpstreamBackoff, UpstreamRecord]:
        clock = FakeClock(100.0)
        upstream = dataclasses.replace(make_upstream("u"), started_ms=5)
        return clock, UpstreamBackoff(clock.monotonic), upstream


class TestBackoffUnderACoordinator:
    """Guards against grants of an upstream that wants nothing from a node."""

    def test_node_gets_another_upstream_without_a_rejected_grant(self) -> None:
        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            for upstream in engines.records[:4]:
                node.backoff.record(upstream, 5.0)
            placement = await create_scheduler(node).acquire(
                make_item(time.monotonic())
            )
            assert placement.upstream == engines.records[4]
            assert placement.lease is not None
            assert network.sent["SlotRelease"] == 0

        _run_limited(scenario)

    def test_other_nodes_still_get_the_upstream(self) -> None:
        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            coordinator = network.nodes["zone-a.0"]
            for upstream in engines.records:
                coordinator.backoff.record(upstream, 5.0)
            placement = await node.acquire(make_item(time.monotonic()))
            assert placement is not None

        _run_limited(scenario)

    def test_granted_upstream_is_not_used_if_it_asked_meanwhile(self) -> None:
        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            for upstream in engines.records:
                node.backoff.record(upstream, 5.0)
            assert await node.acquire(make_item(time.monotonic())) is None
            # Unused grants are freed.
            await asyncio.sleep(0.05)
            coordinator = network.nodes["zone-a.0"]
            granted = [
                await coordinator.acquire(make_item(time.monotonic()))
                for _ in engines.records
            ]
            assert None not in granted

        _run_limited(scenario)

    def test_request_waits_for_the_first_upstream_without_asking(self) -> None:
        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            first = engines.records[3]
            for upstream in engines.records:
                node.backoff.record(upstream, 0.4 if upstream == first else 5.0)
            started_at = time.monotonic()
            placement = await create_scheduler(node).acquire(
                make_item(started_at)
            )
            assert placement.upstream == first
            assert 0.4 <= time.monotonic() - started_at < 1.0
            assert network.sent["SlotRequest"] == 1

        _run_limited(scenario)

    def test_ejected_upstreams_are_tried_before_one_that_wants_nothing(
        self,
    ) -> None:
        """The node tries ejected upstreams if it has no others."""

        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            harness = NodeHarness()
            scheduler = _make_scheduler(
                harness, node.registry, node.backoff, node=node
            )
            node.backoff.record(engines.records[0], 5.0)
            for upstream in engines.records[1:]:
                harness.health.record_connect_failure(upstream.upstream_id)
            placement = await scheduler.acquire(make_item(time.monotonic()))
            assert placement.upstream != engines.records[0]
            assert network.sent["SlotRelease"] == 0
            assert node.client.own_decisions == 0

        _run_limited(scenario)


class TestWaitingForBackoff:
    """Guards against requests that are held or refused without need."""

    def test_request_that_can_not_wait_is_told_when_to_return(self) -> None:
        async def scenario() -> None:
            scheduler, upstreams, backoff = self._make_scheduler()
            backoff.record(upstreams[0], 8.0)
            backoff.record(upstreams[1], 4.0)
            route = make_route(timeout_s=3.0)
            with pytest.raises(RefusedError) as caught:
                await scheduler.acquire(make_item(time.monotonic(), route))
            refusal = caught.value.refusal
            assert refusal.reason is RefusalReason.UPSTREAM_REJECTED
            assert refusal.ran is Ran.NO
            assert refusal.retry_after_s == pytest.approx(4.0, abs=0.2)

        _run_limited(scenario)

    def test_waiting_request_takes_an_upstream_that_comes(self) -> None:
        async def scenario() -> None:
            registry = UpstreamRegistry()
            upstream = make_upstream("u")
            registry.put(upstream)
            backoff = UpstreamBackoff()
            backoff.record(upstream, 1.5)
            scheduler = _make_scheduler(NodeHarness(), registry, backoff)
            waiting = asyncio.ensure_future(
                scheduler.acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.1)
            registry.put(make_upstream("new"))
            placement = await asyncio.wait_for(waiting, 0.5)
            assert placement.upstream.upstream_id == "new"

        _run_limited(scenario)

    def test_request_does_not_leave_a_silent_upstream_for_a_blocked_one(
        self,
    ) -> None:
        async def scenario() -> None:
            scheduler, upstreams, backoff = self._make_scheduler()
            backoff.record(upstreams[1], 5.0)
            placement = await scheduler.acquire(make_item(time.monotonic()))
            assert placement.upstream == upstreams[0]
            switch = make_switch(scheduler, backoff)
            assert not switch.has_alternative(placement)

        _run_limited(scenario)

    def test_stopping_process_refuses_waiting_requests(self) -> None:
        async def scenario() -> None:
            scheduler, upstreams, backoff = self._make_scheduler()
            for upstream in upstreams:
                backoff.record(upstream, 1.5)
            waiting = asyncio.ensure_future(
                scheduler.acquire(make_item(time.monotonic()))
            )
            await asyncio.sleep(0.1)
            refusal = Refusal(RefusalReason.DRAINING, "the node is stopping")
            scheduler.refuse_unserved(refusal)
            with pytest.raises(RefusedError) as caught:
                await asyncio.wait_for(waiting, 0.5)
            assert caught.value.refusal is refusal

        _run_limited(scenario)

    def test_unproved_version_does_not_get_what_the_old_one_turned_away(
        self,
    ) -> None:
        """Guards against a rollout that exceeds its share in an overload."""

        async def scenario() -> None:
            scheduler, upstreams, backoff = self._make_scheduler(
                _FakeRollouts(selected="v1")
            )
            backoff.record(upstreams[0], math.inf)
            with pytest.raises(RefusedError):
                await scheduler.acquire(make_item(time.monotonic()))

        _run_limited(scenario)

    def test_old_version_gets_what_the_unproved_one_turned_away(self) -> None:
        async def scenario() -> None:
            scheduler, upstreams, backoff = self._make_scheduler(
                _FakeRollouts(selected="v2")
            )
            backoff.record(upstreams[1], math.inf)
            placement = await scheduler.acquire(make_item(time.monotonic()))
            assert placement.upstream.version == "v1"

        _run_limited(scenario)

    def _make_scheduler(
        self, rollouts: "_FakeRollouts | None" = None
    ) -> tuple[Scheduler, list[UpstreamRecord], UpstreamBackoff]:
        registry = UpstreamRegistry()
        upstreams = [
            make_upstream("u-1", version="v1"),
            make_upstream("u-2", version="v2"),
        ]
        for upstream in upstreams:
            registry.put(upstream)
        backoff = UpstreamBackoff()
        return (
            _make_scheduler(NodeHarness(), registry, backoff, rollouts),
            upstreams,
            backoff,
        )


class _FakeRollouts:
    """Selects the upstreams of one version; all without one."""

    def __init__(self, selected: str = "") -> None:
        self._selected = selected

    def select_upstreams(
        self,
        service: str,
        request_id: str,
        upstreams: Sequence[UpstreamRecord],
    ) -> Sequence[UpstreamRecord]:
        del service, request_id
        return [
            upstream
            for upstream in upstreams
            if self._selected in ("", upstream.version)
        ]

    def old_version_upstreams(
        self, service: str, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        del service
        return [
            upstream
            for upstream in upstreams
            if self._selected and upstream.version == "v1"
        ]

    def record_dispatch(self, upstream: UpstreamRecord) -> None:
        del upstream


def _make_scheduler(
    harness: NodeHarness,
    registry: UpstreamRegistry,
    backoff: UpstreamBackoff,
    rollouts: _FakeRollouts | None = None,
    node: SimulatedNode | None = None,
) -> Scheduler:
    harness.clock.advance(time.monotonic() - harness.clock.monotonic())
    return Scheduler(
        registry,
        harness.selector,
        harness.load_tracker,
        harness.health,
        backoff,
        harness.latencies,
        harness.cache,
        cast(RolloutController, rollouts or _FakeRollouts()),
        lambda name: SERVICE,
        lambda: None,
        None if node is None else node.client,
    )


def _make_two_nodes() -> tuple[
    SimulatedNetwork, SimulatedNode, SimulatedEngines
]:
    """Returns a network, the node that does not coordinate, and 5 engines."""
    network = SimulatedNetwork()
    engines = SimulatedEngines(5, 1)
    nodes = [
        SimulatedNode(network, f"zone-a.{number}", "zone-a", engines.records)
        for number in range(2)
    ]
    return network, nodes[1], engines
