"""Tests of clients that end their sending before they have their answer."""

import asyncio
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route

_ROUTES = [
    route("read", "idempotent", timeout_ms=20_000),
    route("pay", "non_idempotent", timeout_ms=20_000),
    route("call", "streaming", timeout_ms=20_000, target_itl_ms=250),
]
_EVENTS = 10


async def work(
    upstream: standin.UpstreamStandin,
    request: standin.HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Works for 2 s on a request; events of a stream come all the while."""
    if request.path.startswith("/call/"):
        await standin.stream(_EVENTS, 0.2)(upstream, request, writer)
        return
    upstream.started_attempts.append(request.headers["attempt-id"])
    await asyncio.sleep(2.0)
    writer.write(
        standin.response_bytes(200, b"done", standin.seal_headers(request))
    )


def run_scenario(
    directory: pathlib.Path,
    scenario: Callable[
        [LocalCluster, standin.UpstreamStandin], Awaitable[None]
    ],
) -> None:
    """Runs a scenario on a cluster with one gateway and one upstream."""

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, _ROUTES)
        ) as cluster:
            upstream = await cluster.add_upstream("u-1", work, slot_count=40)
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            await scenario(cluster, upstream)

    asyncio.run(run_cluster())


async def open_request(
    cluster: LocalCluster, kind: str, version: str = "1.1"
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request on a new connection."""
    reader, writer = await asyncio.open_connection(
        standin.HOST, cluster.gateway.port
    )
    fields = {"Attempt-Id": kind, "Deadline-Ms": "20000"}
    data = standin.request_bytes("POST", f"/{kind}/x", b"body", fields)
    writer.write(data.replace(b"HTTP/1.1", b"HTTP/" + version.encode(), 1))
    return reader, writer


async def read_final(reader: asyncio.StreamReader) -> standin.ClientResponse:
    """Reads a response after its interim ones."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 102"):
            continue
        rest = asyncio.StreamReader()
        rest.feed_data(head + await reader.read())
        rest.feed_eof()
        return await standin.read_response(rest)


async def wait_cancelled(
    upstream: standin.UpstreamStandin, since: float
) -> float:
    """Returns after how many seconds the work of the upstream ended."""
    async with asyncio.timeout(1.5):
        while not upstream.cancelled_attempts:
            await asyncio.sleep(0.01)
    return time.monotonic() - since


class TestHalfClosedClients:
    """Guards against requests that are dropped as their clients still read."""

    @pytest.mark.parametrize("kind", ["read", "pay", "call"])
    @pytest.mark.parametrize("delay_s", [0.0, 0.5])
    @pytest.mark.parametrize("stops", [False, True])
    def test_answer_is_whole(
        self, tmp_path: pathlib.Path, kind: str, delay_s: float, stops: bool
    ) -> None:
        async def scenario(
            cluster: LocalCluster, upstream: standin.UpstreamStandin
        ) -> None:
            reader, writer = await open_request(cluster, kind)
            await asyncio.sleep(delay_s)
            writer.write_eof()
            if stops:
                await asyncio.sleep(0.1)
                cluster.gateway.signal(signal.SIGTERM)
            response = await read_final(reader)
            writer.close()
            assert response.status == 200
            assert response.is_complete
            if kind == "call":
                assert response.body.count(b"data:") == _EVENTS
            assert upstream.started_attempts == [kind]
            if stops:
                assert await cluster.gateway.wait() == 0

        run_scenario(tmp_path, scenario)


class TestClientsThatLeave:
    """Guards against work that goes on for clients that are gone."""

    @pytest.mark.parametrize("kind", ["read", "pay", "call"])
    @pytest.mark.parametrize("delay_s", [0.1, 0.5])
    def test_close_ends_the_work(
        self, tmp_path: pathlib.Path, kind: str, delay_s: float
    ) -> None:
        async def scenario(
            cluster: LocalCluster, upstream: standin.UpstreamStandin
        ) -> None:
            _, writer = await open_request(cluster, kind)
            await asyncio.sleep(delay_s)
            assert upstream.started_attempts == [kind]
            closed_at = time.monotonic()
            writer.close()
            assert await wait_cancelled(upstream, closed_at) < 0.4

        run_scenario(tmp_path, scenario)

    def test_close_after_a_half_close_ends_the_work(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(
            cluster: LocalCluster, upstream: standin.UpstreamStandin
        ) -> None:
            _, writer = await open_request(cluster, "read")
            await asyncio.sleep(0.1)
            writer.write_eof()
            await asyncio.sleep(0.4)
            closed_at = time.monotonic()
            writer.close()
            assert await wait_cancelled(upstream, closed_at) < 0.7

        run_scenario(tmp_path, scenario)

    def test_client_that_can_not_be_asked_counts_as_gone(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(
            cluster: LocalCluster, upstream: standin.UpstreamStandin
        ) -> None:
            _, writer = await open_request(cluster, "read", version="1.0")
            await asyncio.sleep(0.1)
            closed_at = time.monotonic()
            writer.write_eof()
            assert await wait_cancelled(upstream, closed_at) < 0.4
            writer.close()

        run_scenario(tmp_path, scenario)
