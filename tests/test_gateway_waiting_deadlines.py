"""Tests of the time limits of requests that a node reads late."""

import asyncio
import pathlib
import signal
import time

import pytest

import platform_standin as standin
from platform_standin import configuration, route
from tanagerport.clock import FakeClock
from tanagerport.gateway.attended_clock import AttendedClock

_STANDSTILL_S = 1.2
_DEADLINE_S = 2.0


class TestRequestsInAStandstill:
    """Guards against deadlines that count from a late read.

    The request waits in the kernel meanwhile: its client is gone when the
    answer comes, and its upstream was given more time than was left.
    """

    @pytest.mark.parametrize("is_kept", [False, True])
    def test_deadline_counts_from_the_arrival(
        self, tmp_path: pathlib.Path, is_kept: bool
    ) -> None:
        async def run() -> tuple[standin.ClientResponse, float, float]:
            loop = asyncio.get_running_loop()
            async with standin.local_cluster(
                tmp_path, configuration(1, [route("read", timeout_ms=20_000)])
            ) as cluster:
                upstream = await cluster.add_upstream("u-1", standin.hang)
                gateway = await cluster.add_gateway()
                await gateway.wait_ready()
                if is_kept:
                    reader, writer = await asyncio.open_connection(
                        standin.HOST, gateway.port
                    )
                    await asyncio.sleep(0.1)
                gateway.signal(signal.SIGSTOP)
                loop.call_later(_STANDSTILL_S, gateway.signal, signal.SIGCONT)
                await asyncio.sleep(0.1)
                if not is_kept:
                    reader, writer = await asyncio.open_connection(
                        standin.HOST, gateway.port
                    )
                sent_at = loop.time()
                fields = {
                    "Attempt-Id": "a1",
                    "Deadline-Ms": str(int(_DEADLINE_S * 1000)),
                }
                writer.write(
                    standin.request_bytes("GET", "/read/x", b"", fields)
                )
                response = await standin.read_response(reader)
                writer.close()
                given_s = (
                    int(upstream.received_requests[0].headers["deadline-ms"])
                    / 1000
                )
                return response, loop.time() - sent_at, given_s

        response, took_s, given_s = asyncio.run(run())
        assert response.status == 504
        assert _DEADLINE_S - 0.2 < took_s < _DEADLINE_S + 0.5
        assert given_s < _DEADLINE_S - _STANDSTILL_S + 0.3


class TestEarliestArrival:
    """Guards against ages that no standstill explains."""

    def test_time_that_the_loop_ran_is_no_wait(self) -> None:
        clock = FakeClock(100.0)
        attended = AttendedClock(clock.monotonic)
        attended.tick()
        clock.advance(0.1)
        attended.tick()
        clock.advance(0.05)
        assert attended.earliest_arrival() == pytest.approx(100.1)

    def test_standstill_counts_until_what_came_is_noticed(self) -> None:
        clock = FakeClock(100.0)
        attended = AttendedClock(clock.monotonic)
        attended.tick()
        clock.advance(2.0)
        assert attended.earliest_arrival() == 100.0
        attended.tick()
        clock.advance(0.05)
        assert attended.earliest_arrival() == 100.0
        clock.advance(0.1)
        attended.tick()
        assert attended.earliest_arrival() == pytest.approx(102.15)


class TestKernelClock:
    """Guards against deadlines that pass early by a tick of the kernel."""

    def test_no_deadline_passes_before_its_time(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def run() -> list[float]:
            async with standin.local_cluster(
                tmp_path, configuration(1, [route("read", timeout_ms=20_000)])
            ) as cluster:
                await cluster.add_upstream("u-1", standin.hang, slot_count=100)
                await cluster.add_gateway()
                await cluster.gateway.wait_ready()

                async def call(number: int) -> float:
                    # Spread over the ticks.
                    await asyncio.sleep(number * 0.0073)
                    sent_at = time.monotonic()
                    await cluster.call(
                        f"a{number}", "/read/x", Deadline_Ms="500"
                    )
                    return time.monotonic() - sent_at

                return await asyncio.gather(*map(call, range(60)))

        assert min(asyncio.run(run())) >= 0.5
