"""Tests of what a stopping node passes on, and what it refuses."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import time
from typing import Any, cast

import pytest

import gateway_doubles
import platform_standin as standin
from gateway_doubles import ENGINE_SERVICE, PLAIN_SERVICE, NodeHarness
from platform_standin import LocalCluster, configuration, route
from tanagerport.clock import FakeClock
from tanagerport.gateway.client_messages import ClientRequest
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import RequestKind, Service
from tanagerport.gateway.drain_admission import DrainAdmission
from tanagerport.gateway.request_context import RequestContext
from tanagerport.gateway.stop_schedule import make_schedule
from tanagerport.gateway.work_item import Placement

_GRACE_S = 8.0
_INTERVAL_S = 0.04
# Time from the first bytes of a request to its last.
_HEADER_S = 0.8


class _Predictor:
    """Predicts with the estimates of a harness."""

    def __init__(self, harness: NodeHarness, service: Service) -> None:
        self._selector = harness.selector
        self._service = service

    def completion_s(self, placement: Placement) -> float:
        return self._selector.completion_s(placement, self._service)

    def long_completion_s(self, placement: Placement) -> float:
        return self._selector.completion_s(placement, self._service, 2.0)

    def longest_completion_s(self, placement: Placement) -> float:
        return self._selector.longest_completion_s(placement, self._service)


class _Request:
    """A request that comes some seconds after the signal of a stop."""

    def __init__(
        self,
        arrives_s: float,
        hint: int = 60,
        most: int = 600,
        service: Service = ENGINE_SERVICE,
        kind: RequestKind = RequestKind.STREAM,
        timeout_s: float = 20.0,
    ) -> None:
        harness = NodeHarness(FakeClock(100.0 + arrives_s))
        harness.train_latencies("u", 0.00001, _INTERVAL_S)
        now = harness.clock.monotonic()
        item = gateway_doubles.make_item(
            now, gateway_doubles.make_route(kind=kind, timeout_s=timeout_s)
        )
        item.work = dataclasses.replace(
            item.work, max_output_tokens=most, expected_output_tokens=hint
        )
        request = ClientRequest(b"POST", b"/", [], {}, b"", now, now)
        response = cast(
            Any,
            type("_Response", (), {"is_started": False, "earlier_requests": 0}),
        )
        self.context = RequestContext(request, response, item, None, 0.0)
        placement = harness.place(
            item, [gateway_doubles.make_upstream("u")], service
        )
        assert placement is not None
        self.placement = placement
        self.admission = DrainAdmission(
            _Predictor(harness, service),
            DecisionLog("n", -1),
            harness.clock.monotonic,
        )
        self.admission.start(make_schedule(100.0, 100.0, _GRACE_S))

    @property
    def is_admitted(self) -> bool:
        return self.admission.admits(self.context, self.placement)

    @property
    def may_move(self) -> bool:
        return self.admission.may_move(self.context, self.placement)


class TestLateRequests:
    """Guards against late streams that are cut because no bound was known.

    Once the load balancer selects other nodes, a refusal costs a round trip.
    """

    def test_stream_that_may_outlast_the_grace_is_refused(self) -> None:
        assert not _Request(3.2).is_admitted

    def test_stream_that_ends_in_any_case_is_passed_on(self) -> None:
        assert _Request(3.2, hint=60, most=60).is_admitted

    def test_early_stream_is_passed_on_if_it_most_likely_ends(self) -> None:
        assert _Request(1.0).is_admitted

    def test_stream_without_a_known_length_is_refused(self) -> None:
        assert not _Request(3.2, hint=0, most=0).is_admitted
        assert not _Request(3.2, service=PLAIN_SERVICE).is_admitted

    def test_stream_whose_client_leaves_before_is_passed_on(self) -> None:
        assert _Request(3.2, timeout_s=3.0).is_admitted

    def test_short_plain_request_is_passed_on(self) -> None:
        request = _Request(
            3.2, service=PLAIN_SERVICE, kind=RequestKind.NON_IDEMPOTENT
        )
        assert request.is_admitted

    def test_plain_request_that_takes_too_long_is_refused(self) -> None:
        request = _Request(
            3.2, service=PLAIN_SERVICE, kind=RequestKind.NON_IDEMPOTENT
        )
        request.placement.predicted_first_byte_s = 3.0
        assert not request.is_admitted

    def test_request_does_not_leave_a_silent_upstream_to_be_refused(
        self,
    ) -> None:
        """Guards against a move that ends in a refusal after a run."""
        for request in (_Request(3.2), _Request(3.2, most=60)):
            assert request.may_move is request.is_admitted

    def test_answer_that_has_begun_may_move_if_it_likely_ends(self) -> None:
        request = _Request(3.2)
        cast(Any, request.context.response).is_started = True
        assert request.may_move


class _LateClients:
    """Clients whose requests end some time after the signal of a stop."""

    def __init__(self, cluster: LocalCluster) -> None:
        self._cluster = cluster

    async def send(
        self, attempt: str, most: int, delay_s: float
    ) -> standin.ClientResponse | None:
        """Sends a request that ends after a delay.

        Returns:
            Its response; None if the node took no connection any more.
        """
        try:
            reader, writer = await asyncio.open_connection(
                standin.HOST, self._cluster.gateway.port
            )
        except ConnectionRefusedError:
            return None
        fields = {
            "Attempt-Id": attempt,
            "Deadline-Ms": "20000",
            "Token-Usage": f"100,{most}",
            "Length-Hint": "10",
        }
        data = standin.request_bytes("POST", "/call/x", b"body", fields)
        try:
            # The connection is not idle from its first bytes on.
            await asyncio.sleep(max(delay_s - _HEADER_S, 0.0))
            writer.write(data[:4])
            await asyncio.sleep(min(delay_s, _HEADER_S))
            writer.write(data[4:])
            return await standin.read_response(reader)
        finally:
            writer.close()


class TestStreamsOfAnyLength:
    """Guards against streams that are passed on late in the grace and cut.

    Nothing but its maximum bounds an answer, and a maximum is often generous.
    """

    @pytest.mark.parametrize(
        ("grace_s", "delays_s"),
        [(8.0, (2.6, 2.9, 3.2)), (4.0, (2.1, 2.4)), (2.0, (1.1, 1.4))],
    )
    def test_late_stream_is_whole_or_refused(
        self,
        tmp_path: pathlib.Path,
        grace_s: float,
        delays_s: tuple[float, ...],
    ) -> None:
        async def work(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            # As long as allowed.
            _, _, most = request.headers["token-usage"].partition(",")
            with contextlib.suppress(ConnectionError):
                await standin.stream(int(most), _INTERVAL_S)(
                    upstream, request, writer
                )

        async def run() -> None:
            engine: dict[str, Any] = {"name": "svc", "max_connections": 100}
            engine["inference_engine"] = {"slot_count": 40, "step_size": 1}
            routes = [
                route("call", "streaming", timeout_ms=20_000, max_attempts=1)
            ]
            async with standin.local_cluster(
                tmp_path, configuration(1, routes, services=[engine])
            ) as cluster:
                await cluster.add_upstream("u-1", work, slot_count=40)
                await cluster.add_gateway(drain_grace_s=grace_s)
                await cluster.gateway.wait_ready()
                clients = _LateClients(cluster)
                # The node learns the interval.
                await asyncio.gather(
                    *(clients.send(f"first-{n}", 20, 0.0) for n in range(8))
                )
                cluster.gateway.signal(signal.SIGTERM)
                signaled_at = time.monotonic()
                sent = {
                    f"{kind}-{delay_s}": asyncio.ensure_future(
                        clients.send(f"{kind}-{delay_s}", most, delay_s)
                    )
                    for kind, most in (("long", 300), ("short", 10))
                    for delay_s in delays_s
                }
                assert await cluster.gateway.wait() == 0
                assert time.monotonic() - signaled_at < grace_s
                for attempt, call in sent.items():
                    response = await call
                    if response is None:
                        continue
                    assert response.is_complete, attempt
                    assert response.status in (200, 503), attempt
                    if attempt.startswith("short") and grace_s == _GRACE_S:
                        assert response.status == 200, attempt

        asyncio.run(run())
