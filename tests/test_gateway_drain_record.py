"""Tests of what the log tells of the requests that a stop meets."""

import asyncio
import collections
import json
import os
import pathlib
import signal
from typing import Any

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.log_explanation import explain

_GRACE_S = 4.0
_ROUTES = [
    route(name, kind, timeout_ms=20_000, target_itl_ms=250, max_attempts=1)
    for name, kind in (("read", "idempotent"), ("call", "streaming"))
]


def fill(descriptor: int) -> None:
    """Writes to a pipe until it is full."""
    os.set_blocking(descriptor, False)
    try:
        while True:
            os.write(descriptor, b"x" * 4095 + b"\n")
    except BlockingIOError:
        return


def read_lines(descriptor: int) -> list[dict[str, Any]]:
    """Reads what is in a pipe whose writers are gone."""
    data = b""
    while block := os.read(descriptor, 1 << 20):
        data += block
    return [
        json.loads(line) for line in data.splitlines() if line.startswith(b"{")
    ]


class TestUrgentLines:
    """Guards against lines that are lost behind those of other events."""

    def test_they_are_written_though_the_reader_stalls(self) -> None:
        reader, writer = os.pipe()
        fill(writer)
        log = DecisionLog("n", writer)
        for number in range(3000):
            log.warning(f"routine-{number}", text="x" * 200)
        log.flush()
        for number in range(500):
            log.urgent("urgent", number=number)
        log.close(0.1)
        os.close(writer)
        lines = read_lines(reader)
        os.close(reader)
        numbers = [
            line["number"] for line in lines if line["event"] == "urgent"
        ]
        assert numbers == list(range(500))

    def test_their_number_is_bounded(self) -> None:
        reader, writer = os.pipe()
        fill(writer)
        log = DecisionLog("n", writer)
        for number in range(20_000):
            log.urgent("urgent", number=number)
        assert 0 < log.dropped["urgent"] < 20_000
        os.close(reader)
        os.close(writer)


class TestRequestsAtAStop:
    """Guards against requests whose end around a stop nobody can explain."""

    @pytest.mark.parametrize("is_read", [True, False])
    def test_log_tells_how_each_request_in_progress_ended(
        self, tmp_path: pathlib.Path, is_read: bool
    ) -> None:
        async def work(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            if request.path.startswith("/call/"):
                await standin.stream(1000, 0.05)(upstream, request, writer)
            elif request.headers["attempt-id"] == "whole":
                await asyncio.sleep(1.0)
                await standin.echo(upstream, request, writer)
            else:
                await standin.hang(upstream, request, writer)

        async def scenario(cluster: LocalCluster) -> None:
            gateway = cluster.gateway
            await gateway.wait_ready()
            calls = {
                attempt: asyncio.ensure_future(
                    cluster.call(attempt, target, b"p", Deadline_Ms="20000")
                )
                for attempt, target in (
                    ("whole", "/read/x"),
                    ("unanswered", "/read/x"),
                    ("gone", "/read/x"),
                    ("cut", "/call/x"),
                )
            }
            await asyncio.sleep(0.3)
            gateway.signal(signal.SIGTERM)
            await asyncio.sleep(0.3)
            calls["gone"].cancel()
            assert await gateway.wait() == 0
            await asyncio.wait(calls.values())

        async def run() -> None:
            async with standin.local_cluster(
                tmp_path, configuration(1, _ROUTES)
            ) as cluster:
                await cluster.add_upstream("u-1", work, slot_count=40)
                gateway = standin.GatewayProcess(
                    tmp_path, cluster.store.port, drain_grace_s=_GRACE_S
                )
                cluster.gateways.append(gateway)
                gateway.log_descriptor = writer
                await gateway.start()
                await scenario(cluster)

        reader, writer = os.pipe()
        if not is_read:
            fill(writer)
        asyncio.run(run())
        os.close(writer)
        lines = read_lines(reader)
        os.close(reader)
        phases = collections.defaultdict(list)
        ends = {}
        for line in lines:
            if line["event"] == "request_in_progress":
                phases[line["request"]].append(line["phase"])
            elif line["event"] == "request_ended":
                ends[line["request"]] = (
                    line["outcome"],
                    line["status"],
                    line["closed_by"],
                )
        assert phases == {
            "whole": ["signal"],
            "gone": ["signal"],
            "unanswered": ["signal", "last_second"],
            "cut": ["signal", "last_second"],
        }
        assert ends == {
            "whole": ("whole", 200, ""),
            "gone": ("unanswered", 0, "client"),
            "unanswered": ("whole", 504, ""),
            "cut": ("cut", 200, "node"),
        }
        text = explain("cut", [json.dumps(line) for line in lines])
        assert "it ended cut after" in text
        assert "(closed by: node)" in text
