"""Tests of answers that a faulty upstream repeats, breaks off or mixes up."""

import asyncio
import pathlib

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, route
from test_gateway_process import run_scenario

_THREE_ATTEMPTS_ROUTE = route(
    "talk",
    "streaming",
    stream_resume=True,
    target_itl_ms=250,
    timeout_ms=4000,
    max_attempts=3,
)


def _refusal(**headers: str) -> bytes:
    return standin.response_bytes(
        503, b"busy", {"Not-Executed": "1", **headers}
    )


async def _repeat_refusal(
    writer: asyncio.StreamWriter, request: standin.HttpRequest, refusal: bytes
) -> None:
    """Sends an earlier refusal, and the answer of the request after it."""
    writer.write(refusal)
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.write(
        standin.response_bytes(
            200, b"ran:" + request.body, standin.seal_headers(request)
        )
    )


class TestRepeatedRefusal:
    """A refusal that belongs to an earlier request says nothing of this one."""

    @pytest.mark.parametrize(
        "headers", [{}, {"Attempt-Id": "a0"}], ids=["without id", "with id"]
    )
    @pytest.mark.parametrize("path", ["/pay/x", "/read/x"])
    def test_request_that_runs_is_not_reported_as_not_run(
        self, headers: dict[str, str], path: str, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a second run, or 503 for a request that ran."""

        async def scenario(cluster: LocalCluster) -> None:
            async def handle(
                upstream: standin.UpstreamStandin,
                request: standin.HttpRequest,
                writer: asyncio.StreamWriter,
            ) -> None:
                attempt = request.headers["attempt-id"]
                upstream.started_attempts.append(attempt)
                if attempt == "a1":
                    refusal = _refusal(**headers)
                    await _repeat_refusal(writer, request, refusal)
                    return
                writer.write(
                    standin.response_bytes(
                        200, b"first", standin.seal_headers(request)
                    )
                )

            first = await cluster.add_upstream("u-1", handle)
            await cluster.gateway.wait_ready()
            assert (await cluster.call("a0", path, b"one")).status == 200
            response = await cluster.call("a1", path, b"two")
            assert response.status in {200, 502}
            if response.status == 200:
                assert response.body == b"ran:two"
            if path == "/pay/x":
                assert first.started_attempts.count("a1") == 1

        run_scenario(tmp_path, scenario)


class TestRejectedRequest:
    """The connection of a refusal is not used again."""

    def test_second_dispatch_takes_a_new_connection(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a repeated refusal with the id of the same request."""
        connections: list[object] = []

        async def handle(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            connections.append(writer.get_extra_info("peername"))
            handler = standin.echo if len(connections) > 1 else standin.reject
            await handler(upstream, request, writer)

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", handle)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/read/x", b"x")
            assert response.body == b"ran:x"
            assert len(set(connections)) == len(connections) == 2

        run_scenario(tmp_path, scenario)
