"""Tests of what upstreams announce in the headers of their answers."""

import asyncio
import dataclasses
import pathlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import platform_standin as standin
from gateway_doubles import make_item, make_upstream
from platform_standin import LocalCluster, configuration, route
from simulated_slots import (
    SimulatedEngines,
    SimulatedNetwork,
    SimulatedNode,
    create_scheduler,
)
from tanagerport.clock import FakeClock
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.http_call import Headers, ResponseHead
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_limits import UpstreamLimits
from tanagerport.gateway.upstream_notices import UpstreamNotices
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport_platform.headers import HTTP_NAMES

_ROUTES = [
    route("read"),
    route("pay", "non_idempotent", max_attempts=1),
    route(
        "talk",
        "streaming",
        stream_resume=True,
        target_itl_ms=250,
        timeout_ms=4000,
    ),
]
_DRAIN_TIMEOUT_MS = 1000


def _run_scenario(
    directory: pathlib.Path,
    scenario: Callable[[LocalCluster], Awaitable[None]],
) -> None:
    """Runs a scenario on a cluster with one gateway."""

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, _ROUTES)
        ) as cluster:
            await cluster.add_gateway(drain_timeout_ms=_DRAIN_TIMEOUT_MS)
            await scenario(cluster)

    asyncio.run(run_cluster())


def _answer(status: int, **fields: str) -> standin.RequestHandler:
    """Returns a handler that answers at once with the header fields."""
    names = {name.replace("_", "-"): value for name, value in fields.items()}

    async def handler(
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(
            standin.response_bytes(
                status, b"x", standin.seal_headers(request, **names)
            )
        )

    return handler


async def _announce_in_a_stream(
    upstream: standin.UpstreamStandin,
    request: standin.HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    fields = standin.seal_headers(
        request,
        **{
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "Server-Leaving": "1",
        },
    )
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    event = b"id: 1\ndata: x\n\n"
    writer.write(
        f"HTTP/1.1 200 OK\r\n{head}\r\n".encode()
        + b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event)
    )


async def _announce_in_an_answer_to_another_request(
    upstream: standin.UpstreamStandin,
    request: standin.HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    other = {"Attempt-Id": "other", "Server-Leaving": "1"}
    writer.write(
        standin.response_bytes(200, b"x", other)
        + standin.response_bytes(200, b"x", standin.seal_headers(request))
    )


def _make_head(headers: Headers, status: int = 200) -> ResponseHead:
    return ResponseHead(
        status,
        b"X",
        headers,
        {name.lower(): value for name, value in headers},
    )


def _restarted(upstream: UpstreamRecord, started_ms: int) -> UpstreamRecord:
    return dataclasses.replace(upstream, started_ms=started_ms)


class TestLeavingUpstream:
    """Guards against requests to an upstream that said it is leaving."""

    @pytest.mark.parametrize(
        ("target", "handler"),
        [
            ("/pay/x", _answer(200, Server_Leaving="1")),
            ("/pay/x", _answer(500, Server_Leaving="1")),
            ("/pay/x", _answer(503, Server_Leaving="1", Not_Executed="1")),
            ("/pay/x", _answer(503, Server_Leaving="1")),
            ("/pay/x", _answer(421, Server_Leaving="1", Not_Executed="1")),
            ("/talk/x", _announce_in_a_stream),
            ("/read/x", _announce_in_an_answer_to_another_request),
        ],
    )
    def test_upstream_gets_no_request_after_any_answer_that_says_so(
        self,
        tmp_path: pathlib.Path,
        target: str,
        handler: standin.RequestHandler,
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            leaving = await cluster.add_upstream("u-1", handler)
            await cluster.gateway.wait_ready()
            await cluster.call("a0", target)
            assert len(leaving.received_requests) == 1
            await cluster.add_upstream("u-2", standin.echo)
            await asyncio.sleep(0.4)
            for number in range(1, 9):
                response = await cluster.call(f"a{number}", "/read/x")
                assert response.status == 200
            assert len(leaving.received_requests) == 1

        _run_scenario(tmp_path, scenario)

    def test_rows_that_say_it_is_available_do_not_bring_it_back(
        self, tmp_path: pathlib.Path
    ) -> None:
        """The store is silent, forgets its history and tells of older rows."""

        async def scenario(cluster: LocalCluster) -> None:
            leaving = await cluster.add_upstream(
                "u-1", _answer(200, Server_Leaving="1")
            )
            await cluster.add_upstream("u-2", standin.echo, zone="zone-b")
            await cluster.gateway.wait_ready()
            await cluster.call("a0", "/pay/x")
            assert len(leaving.received_requests) == 1

            async def assert_unused(prefix: str) -> None:
                for number in range(6):
                    response = await cluster.call(
                        f"{prefix}{number}", "/read/x"
                    )
                    assert response.status == 200
                assert len(leaving.received_requests) == 1

            cluster.store.mode = "silent"
            await assert_unused("b")
            cluster.store.mode = "ok"
            await cluster.store.put(
                "servers", "u-1", leaving.registration("svc", slot_count=8)
            )
            cluster.store.oldest_feed_version = 10**6
            await asyncio.sleep(0.5)
            await assert_unused("c")
            cluster.store.oldest_feed_version = 0
            await cluster.store.remove("servers", "u-1")
            await asyncio.sleep(0.3)
            await cluster.store.put(
                "servers", "u-1", leaving.registration("svc")
            )
            await asyncio.sleep(0.5)
            await assert_unused("d")

        _run_scenario(tmp_path, scenario)

    def test_restarted_upstream_is_used(self, tmp_path: pathlib.Path) -> None:
        """Guards against an upstream that stays out after its restart."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream(
                "u-1", _answer(200, Server_Leaving="1")
            )
            await cluster.gateway.wait_ready()
            await cluster.call("a0", "/pay/x")
            await asyncio.sleep(_DRAIN_TIMEOUT_MS / 1000)
            upstream.handler = standin.echo
            await cluster.store.put(
                "servers", "u-1", upstream.registration("svc", born=2)
            )
            await asyncio.sleep(0.4)
            assert (await cluster.call("a1", "/pay/x")).status == 200

        _run_scenario(tmp_path, scenario)

    def test_last_upstreams_serve_until_the_drain_timeout(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against refusals while the service has no other upstream."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream(
                "u-1", _answer(200, Server_Leaving="1")
            )
            await cluster.gateway.wait_ready()
            assert (await cluster.call("a0", "/pay/x")).status == 200
            assert (await cluster.call("a1", "/pay/x")).status == 200
            await asyncio.sleep(_DRAIN_TIMEOUT_MS / 1000)
            response = await cluster.call("a2", "/pay/x", Deadline_Ms="300")
            assert response.status == 503
            assert len(upstream.received_requests) == 2
            metrics = await standin.fetch(
                cluster.gateway.metrics_port, "GET", "/metrics"
            )
            assert (
                b'tanagerport_gateway_upstream_notices_total{kind="leaving"}'
                b" 1.0" in metrics.body
            )
            events = [line["event"] for line in cluster.gateway.log_lines()]
            assert events.count("upstream_leaving") == 1

        _run_scenario(tmp_path, scenario)

    def test_request_in_progress_ends_normally(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against broken answers when another one says it is leaving."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream(
                "u-1", standin.stream(8, interval_s=0.1)
            )
            await cluster.gateway.wait_ready()
            running = asyncio.ensure_future(cluster.call("a0", "/talk/x"))
            await asyncio.sleep(0.2)
            upstream.handler = _answer(200, Server_Leaving="1")
            await cluster.call("a1", "/pay/x")
            response = await running
            assert response.is_complete
            assert response.body.count(b"data:") == 8

        _run_scenario(tmp_path, scenario)


class TestLeavingHeader:
    """Guards against odd values that take sound upstreams out of use."""

    @pytest.mark.parametrize(
        ("headers", "is_leaving"),
        [
            ([(b"Server-Leaving", b"1")], True),
            ([(b"server-leaving", b" 1 ")], True),
            ([(b"Server-Leaving", b"1, 1")], True),
            ([(b"Server-Leaving", b"1"), (b"Server-Leaving", b"0")], True),
            ([(b"Server-Leaving", b"0")], False),
            ([(b"Server-Leaving", b"")], False),
            ([(b"Server-Leaving", b"no")], False),
            ([(b"Server-Leaving", b"11")], False),
            ([(b"X-Server-Leaving", b"1")], False),
            ([], False),
        ],
    )
    def test_only_the_announced_value_counts(
        self, headers: Headers, is_leaving: bool
    ) -> None:
        assert self._is_leaving(headers) is is_leaving

    @settings(derandomize=True)
    @given(st.lists(st.binary(max_size=6), max_size=4))
    def test_any_value_is_read_without_an_error(
        self, values: list[bytes]
    ) -> None:
        members = {
            member.strip() for value in values for member in value.split(b",")
        }
        headers = [(b"Server-Leaving", value) for value in values]
        assert self._is_leaving(headers) is (b"1" in members)

    def _is_leaving(self, headers: Headers) -> bool:
        recorded: list[str] = []

        def record(upstream: UpstreamRecord, use_for_s: float) -> bool:
            assert 0 < use_for_s < 2.5
            recorded.append(upstream.upstream_id)
            return True

        UpstreamNotices(
            HTTP_NAMES,
            lambda upstream_id: None,
            record,
            UpstreamBackoff(),
            UpstreamLimits("n"),
            lambda: None,
            2.5,
            Counters(),
            DecisionLog("n"),
        ).record_answer(make_upstream("u"), _make_head(headers))
        return bool(recorded)


class TestAnsweringUpstream:
    """Guards against a notice of the upstream that uses an address later."""

    @pytest.mark.parametrize(
        ("answering", "leaving"),
        [
            ([], ["u"]),
            ([(b"Instance-Id", b"u")], ["u"]),
            ([(b"Instance-Id", b"")], ["u"]),
            ([(b"Instance-Id", b"other")], ["other"]),
            ([(b"Instance-Id", b"unknown")], []),
            ([(b"Instance-Id", b"\xff")], []),
        ],
    )
    def test_notice_concerns_the_upstream_that_answered(
        self, answering: Headers, leaving: list[str]
    ) -> None:
        registry = UpstreamRegistry()
        backoff = UpstreamBackoff()
        upstreams = [make_upstream("u"), make_upstream("other")]
        for upstream in upstreams:
            registry.put(upstream)
        notices = UpstreamNotices(
            HTTP_NAMES,
            registry.get,
            registry.record_leaving,
            backoff,
            UpstreamLimits("n"),
            lambda: None,
            2.5,
            Counters(),
            DecisionLog("n"),
        )
        headers = [(b"Server-Leaving", b"1"), (b"Retry-After", b"5")]
        notices.record_answer(
            upstreams[0], _make_head(headers + answering, 503)
        )
        used = {entry.upstream_id for entry in registry.usable("models")}
        assert {"u", "other"} - used == set(leaving)
        assert [
            upstream.upstream_id
            for upstream in upstreams
            if backoff.is_blocked(upstream)
        ] == leaving


class TestDepartures:
    """Guards against a departure that ends early, or holds for too much."""

    def test_another_start_of_the_upstream_is_used(self) -> None:
        registry, upstream = self._make_registry(started_ms=5)
        registry.record_leaving(upstream, 2.0)
        assert self._used(registry) == ["other"]
        registry.put(_restarted(upstream, 6))
        assert self._used(registry) == ["other", "u"]

    def test_return_of_the_row_of_the_leaving_start_does_not_bring_it_back(
        self,
    ) -> None:
        registry, upstream = self._make_registry(started_ms=5)
        registry.record_leaving(upstream, 2.0)
        registry.put(_restarted(upstream, 4))
        registry.put(upstream)
        assert self._used(registry) == ["other"]

    def test_answer_of_an_earlier_start_does_not_concern_the_later_one(
        self,
    ) -> None:
        registry, upstream = self._make_registry(started_ms=5)
        registry.put(_restarted(upstream, 6))
        registry.record_leaving(upstream, 2.0)
        assert self._used(registry) == ["other", "u"]

    def test_row_without_a_start_time_does_not_bring_it_back(self) -> None:
        registry, upstream = self._make_registry(started_ms=5)
        registry.record_leaving(upstream, 2.0)
        registry.put(_restarted(upstream, 0))
        assert self._used(registry) == ["other"]

    def test_removed_upstream_without_a_start_time_is_used_if_it_returns(
        self,
    ) -> None:
        registry, upstream = self._make_registry(started_ms=0)
        registry.record_leaving(upstream, 2.0)
        registry.put(dataclasses.replace(upstream, slots=9))
        assert self._used(registry) == ["other"]
        registry.remove("u")
        registry.put(upstream)
        assert self._used(registry) == ["other", "u"]

    def test_another_upstream_at_the_same_address_is_used(self) -> None:
        registry, upstream = self._make_registry(started_ms=5)
        registry.record_leaving(upstream, 2.0)
        registry.put(dataclasses.replace(upstream, upstream_id="v"))
        assert self._used(registry) == ["other", "v"]

    def test_time_of_the_last_upstreams_counts_from_the_first_answer(
        self,
    ) -> None:
        clock = FakeClock(100.0)
        registry = UpstreamRegistry(clock.monotonic)
        upstream = make_upstream("u")
        registry.put(upstream)
        assert registry.record_leaving(upstream, 2.0)
        clock.advance(1.5)
        assert not registry.record_leaving(upstream, 2.0)
        assert self._used(registry) == ["u"]
        assert registry.leaving_ids("models") == set()
        clock.advance(0.6)
        assert self._used(registry) == []
        assert registry.leaving_ids("models") == {"u"}

    def _make_registry(
        self, started_ms: int
    ) -> tuple[UpstreamRegistry, UpstreamRecord]:
        clock = FakeClock(100.0)
        registry = UpstreamRegistry(clock.monotonic)
        upstream = _restarted(make_upstream("u"), started_ms)
        registry.put(upstream)
        registry.put(make_upstream("other"))
        return registry, upstream

    def _used(self, registry: UpstreamRegistry) -> list[str]:
        return sorted(
            upstream.upstream_id for upstream in registry.usable("models")
        )


class TestNoticesUnderACoordinator:
    """Guards against grants that a node has to reject again and again."""

    def test_coordinator_is_told_which_upstreams_are_leaving(self) -> None:
        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            for upstream in engines.records[:4]:
                node.registry.record_leaving(upstream, 2.0)
            scheduler = create_scheduler(node)
            placement = await scheduler.acquire(make_item(time.monotonic()))
            assert placement.upstream == engines.records[4]
            assert placement.lease is not None
            assert network.sent["SlotRelease"] == 0

        _run_limited(scenario)

    def test_coordinator_grants_no_upstream_that_it_knows_to_leave(
        self,
    ) -> None:
        async def scenario() -> None:
            network, node, engines = _make_two_nodes()
            coordinator = network.nodes["zone-a.0"]
            for upstream in engines.records[:4]:
                coordinator.registry.record_leaving(upstream, 2.0)
            placement = await node.acquire(make_item(time.monotonic()))
            assert placement is not None
            assert placement.upstream == engines.records[4]

        _run_limited(scenario)


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


def _run_limited(scenario: Callable[[], Awaitable[Any]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(20):
            await scenario()

    asyncio.run(limited())
