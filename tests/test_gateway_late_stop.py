"""Tests of a planned stop that a node notices late, beside its supervisor."""

import asyncio
import contextlib
import json
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

import platform_standin as standin
from platform_standin import GatewayProcess, LocalCluster, configuration, route
from tanagerport.clock import FakeClock
from tanagerport.gateway.attended_clock import AttendedClock
from tanagerport.gateway.planned_stop import StopSignal
from tanagerport.gateway.stop_schedule import make_schedule

_GRACE_S = 6.0
_ROUTES = [
    route(
        name, kind, timeout_ms=20_000, target_itl_ms=250, max_attempts=attempts
    )
    for name, kind, attempts in (
        ("read", "idempotent", 1),
        ("pay", "non_idempotent", 2),
    )
]


def make_stream_route(attempts: int) -> dict[str, Any]:
    """Returns the route of streams, which are resumed with two attempts."""
    return route(
        "call",
        "streaming",
        timeout_ms=20_000,
        target_itl_ms=250,
        max_attempts=attempts,
        stream_resume=attempts > 1,
    )


def run_scenario(
    directory: pathlib.Path,
    scenario: Callable[[LocalCluster], Awaitable[None]],
    attempts: int = 1,
) -> None:
    """Runs a scenario on a cluster with one gateway.

    Args:
        directory: Directory for settings and logs.
        scenario: What happens once the gateway is ready.
        attempts: Maximum number of upstreams of a stream.
    """
    routes = [*_ROUTES, make_stream_route(attempts)]

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, routes)
        ) as cluster:
            await cluster.add_gateway(drain_grace_s=_GRACE_S)
            await cluster.gateway.wait_ready()
            await scenario(cluster)

    asyncio.run(run_cluster())


async def stand_still(gateway: GatewayProcess, duration_s: float) -> None:
    """Stops the process for some time, in seconds."""
    gateway.signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    gateway.signal(signal.SIGCONT)


async def supervise(gateway: GatewayProcess, signaled_at: float) -> int:
    """Kills the process at the end of its grace; returns its status."""
    kill = asyncio.get_running_loop().call_later(
        signaled_at + _GRACE_S - time.monotonic(),
        gateway.signal,
        signal.SIGKILL,
    )
    try:
        return await gateway.wait()
    finally:
        kill.cancel()


async def send(
    cluster: LocalCluster, attempt: str, target: str, ends_at: float
) -> standin.ClientResponse | None:
    """Sends a request whose last byte leaves at a monotonic time.

    Returns:
        The response; None if there was none, or no connection.
    """
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(
            standin.HOST, cluster.gateway.port
        )
        fields = {"Attempt-Id": attempt, "Deadline-Ms": "20000"}
        data = standin.request_bytes("POST", target, b"body", fields)
        try:
            writer.write(data[:-1])
            await asyncio.sleep(max(ends_at - time.monotonic(), 0))
            writer.write(data[-1:])
            return await standin.read_response(reader)
        finally:
            writer.close()
    return None


class TestStandstillAtTheSignal:
    """Guards against a node that is killed in its drain.

    It counted its grace from the turn of the event loop that noticed SIGTERM,
    so what was in progress had neither an answer nor a line in the log.
    """

    @pytest.mark.parametrize("standstill_s", [0.5, 1.0, 2.0])
    def test_requests_are_ended_before_the_kill(
        self, tmp_path: pathlib.Path, standstill_s: float
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream(
                "u-1", standin.hang, slot_count=40
            )
            gateway = cluster.gateway
            now = time.monotonic()
            early = [
                asyncio.ensure_future(
                    send(cluster, f"early-{kind}", f"/{kind}/x", now)
                )
                for kind in ("read", "pay", "call")
            ]
            async with asyncio.timeout(5.0):
                while len(upstream.started_attempts) < len(early):
                    await asyncio.sleep(0.01)
            signaled_at = time.monotonic()
            late = [
                asyncio.ensure_future(
                    send(
                        cluster,
                        f"late-{tenth}",
                        "/pay/x",
                        signaled_at + tenth / 10,
                    )
                )
                for tenth in range(10, 35, 2)
            ]
            await asyncio.sleep(0.2)
            gateway.signal(signal.SIGTERM)
            signaled_at = time.monotonic()
            status = asyncio.ensure_future(supervise(gateway, signaled_at))
            await stand_still(gateway, standstill_s)
            assert await status == 0
            for response in await asyncio.gather(*early, *late):
                assert response is not None
                assert response.status in {503, 504}
                assert json.loads(response.body)["error"]["ran"] in {
                    "no",
                    "unknown",
                }
            assert gateway.log_lines()[-1]["event"] == "stopped"

        run_scenario(tmp_path, scenario)


class TestStandstillAtTheEnd:
    """Guards against a standstill that takes the last steps of a drain away."""

    @pytest.mark.parametrize("standstill_s", [0.6, 0.85])
    def test_requests_are_ended_before_the_kill(
        self, tmp_path: pathlib.Path, standstill_s: float
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.hang, slot_count=40)
            gateway = cluster.gateway
            now = time.monotonic()
            calls = [
                asyncio.ensure_future(
                    send(cluster, f"{kind}-{number}", f"/{kind}/x", now)
                )
                for kind in ("read", "pay", "call")
                for number in range(10)
            ]
            await asyncio.sleep(0.5)
            gateway.signal(signal.SIGTERM)
            signaled_at = time.monotonic()
            status = asyncio.ensure_future(supervise(gateway, signaled_at))
            await asyncio.sleep(_GRACE_S - 1.1)
            await stand_still(gateway, standstill_s)
            assert await status == 0
            for response in await asyncio.gather(*calls):
                assert response is not None
                assert response.status == 504
            assert gateway.log_lines()[-1]["event"] == "stopped"

        run_scenario(tmp_path, scenario)

    def test_requests_that_came_in_a_long_standstill_are_refused(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a close in the turn that accepts a connection."""

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo, slot_count=40)
            gateway = cluster.gateway
            gateway.signal(signal.SIGTERM)
            signaled_at = time.monotonic()
            status = asyncio.ensure_future(supervise(gateway, signaled_at))
            await asyncio.sleep(1.0)
            gateway.signal(signal.SIGSTOP)
            calls = [
                asyncio.ensure_future(
                    send(cluster, f"pay-{number}", "/pay/x", signaled_at)
                )
                for number in range(60)
            ]
            await asyncio.sleep(signaled_at + _GRACE_S - 0.4 - time.monotonic())
            gateway.signal(signal.SIGCONT)
            assert await status == 0
            for response in await asyncio.gather(*calls):
                assert response is not None
                assert response.status == 503

        run_scenario(tmp_path, scenario)


class TestStreamsWithoutAnUpstream:
    """Guards against begun streams that a stop refuses, and so cuts.

    A stream whose upstream is lost in the drain waits for another one. It was
    refused with the requests that have not been sent yet.
    """

    def test_stream_that_waits_for_an_upstream_is_resumed(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def work(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            # The other stream ends 0.6 s after the first upstream is lost.
            is_other = request.headers["attempt-id"] == "other"
            await standin.stream(24 if is_other else 30, 0.16 * is_other)(
                upstream, request, writer
            )

        async def scenario(cluster: LocalCluster) -> None:
            # Ends the connection 3.2 s after the start of the stream.
            await cluster.add_upstream(
                "u-1", standin.stream(30, 0.16, reset_after=20), slot_count=1
            )
            await asyncio.sleep(0.3)
            now = time.monotonic()
            stream = asyncio.ensure_future(
                send(cluster, "stream", "/call/x", now)
            )
            await asyncio.sleep(0.2)
            second = await cluster.add_upstream("u-2", work, slot_count=1)
            await asyncio.sleep(0.2)
            other = asyncio.ensure_future(
                send(cluster, "other", "/call/x", now)
            )
            await asyncio.sleep(0.1)
            cluster.gateway.signal(signal.SIGTERM)
            response = await stream
            other_response = await other
            assert await cluster.gateway.wait() == 0
            assert second.started_attempts == ["other", "stream"]
            assert response is not None
            assert response.status == 200
            assert response.is_complete
            assert response.body.count(b"data:") == 30
            assert other_response is not None
            assert other_response.is_complete

        run_scenario(tmp_path, scenario, attempts=2)


class TestTimeOfTheSignal:
    """Guards against a grace that is counted from a late notice."""

    @pytest.fixture(autouse=True)
    def _restore_handlers(self) -> Iterator[None]:
        numbers = (signal.SIGTERM, signal.SIGINT)
        handlers = [signal.getsignal(number) for number in numbers]
        yield
        for number, handler in zip(numbers, handlers, strict=True):
            signal.signal(number, handler)

    def make_signal(self, clock: FakeClock) -> tuple[AttendedClock, StopSignal]:
        attended = AttendedClock(clock.monotonic)
        return attended, StopSignal(
            lambda: attended.ticked_at, now=clock.monotonic
        )

    def test_signal_may_have_come_when_the_standstill_began(self) -> None:
        async def run() -> float:
            clock = FakeClock(100.0)
            attended, stop_signal = self.make_signal(clock)
            stop_signal.install()
            clock.advance(5.0)
            attended.tick()
            clock.advance(2.0)
            signal.raise_signal(signal.SIGTERM)
            # The loop goes on before the stop is processed.
            attended.tick()
            return await stop_signal.wait()

        assert asyncio.run(run()) == 105.0

    def test_second_signal_changes_nothing(self) -> None:
        async def run() -> float:
            clock = FakeClock(100.0)
            attended, stop_signal = self.make_signal(clock)
            stop_signal.install()
            attended.tick()
            signal.raise_signal(signal.SIGTERM)
            clock.advance(3.0)
            attended.tick()
            signal.raise_signal(signal.SIGINT)
            signal.raise_signal(signal.SIGTERM)
            return await stop_signal.wait()

        assert asyncio.run(run()) == 100.0

    def test_signal_before_the_first_tick(self) -> None:
        async def run() -> float:
            clock = FakeClock(100.0)
            _, stop_signal = self.make_signal(clock)
            stop_signal.install()
            clock.advance(0.5)
            signal.raise_signal(signal.SIGTERM)
            return await stop_signal.wait()

        assert asyncio.run(run()) == 100.0

    def test_steps_count_from_the_signal(self) -> None:
        """Guards against steps that a late notice shifts."""
        prompt = make_schedule(100.0, 100.0, 8.0)
        late = make_schedule(100.0, 101.0, 8.0)
        assert prompt.closes_idle_at == 102.5
        # The balancer learns of the stop when the health checks fail.
        assert late.closes_idle_at == 103.5
        assert late.refuses_unsent_at == prompt.refuses_unsent_at
        assert late.ends_unanswered_at == prompt.ends_unanswered_at
        assert late.closes_at == prompt.closes_at < 108.0
        # Clients are served until then, as the signal may have come later.
        assert make_schedule(100.0, 106.0, 8.0).closes_idle_at == 107.2


class TestChangesInTheDrain:
    """Guards against begun answers that a change in the drain ends."""

    @pytest.mark.parametrize(
        "change",
        ["route removed", "service removed", "key removed", "upstream leaves"],
    )
    def test_answers_in_progress_are_whole(
        self, tmp_path: pathlib.Path, change: str
    ) -> None:
        tenant = {
            "name": "acme",
            "api_keys": ["k1"],
            "rate_per_s": 500,
            "burst_size": 100,
        }

        async def work(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            if request.path.startswith("/call/"):
                await standin.stream(40, 0.05)(upstream, request, writer)
                return
            await asyncio.sleep(2.0)
            await standin.echo(upstream, request, writer)

        all_routes = [*_ROUTES, make_stream_route(1)]

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", work, slot_count=40)
            await cluster.store.put(
                "op", "config", configuration(2, all_routes, tenants=[tenant])
            )
            await asyncio.sleep(0.5)
            fields = {"Deadline_Ms": "20000", "Authorization": "Token k1"}
            calls = [
                asyncio.ensure_future(
                    cluster.call(
                        f"{kind}-{number}", f"/{kind}/x", b"p", **fields
                    )
                )
                for kind in ("read", "pay", "call")
                for number in range(5)
            ]
            await asyncio.sleep(0.3)
            cluster.gateway.signal(signal.SIGTERM)
            routes = [] if change == "route removed" else all_routes
            services: dict[str, Any] = {}
            if change == "service removed":
                services["services"] = []
            tenants = [] if change == "key removed" else [tenant]
            if change == "upstream leaves":
                await cluster.store.put(
                    "servers", "u-1", upstream.registration("svc", "draining")
                )
            for version in range(3, 12):
                await cluster.store.put(
                    "op",
                    "config",
                    configuration(version, routes, tenants=tenants, **services),
                )
                await asyncio.sleep(0.1)
            if change == "upstream leaves":
                await cluster.store.remove("servers", "u-1")
            for response in await asyncio.gather(*calls):
                assert response.status == 200
                assert response.is_complete
            assert await cluster.gateway.wait() == 0

        run_scenario(tmp_path, scenario)
