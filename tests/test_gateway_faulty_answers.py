"""Tests of answers that a faulty upstream repeats, breaks off or mixes up."""

import asyncio
import pathlib
import socket
import struct

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route
from test_gateway_process import ROUTES, run_scenario

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


class TestAnswerToAResumedStream:
    """An answer that does not continue a stream is kept out of it."""

    @pytest.mark.parametrize("kind", ["error", "other content", "empty"])
    @pytest.mark.parametrize("is_third_sound", [True, False])
    def test_stream_is_continued_or_cut(
        self, kind: str, is_third_sound: bool, tmp_path: pathlib.Path
    ) -> None:
        """Guards against an error's text within a stream, or a false end."""

        async def answer_resumed(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            upstream.started_attempts.append(request.headers["attempt-id"])
            seal = standin.seal_headers(request)
            if kind == "error":
                writer.write(standin.response_bytes(500, b"engine fault", seal))
            elif kind == "other content":
                writer.write(standin.response_bytes(200, b"engine fault", seal))
            else:
                head = _unframed_head(request, is_stream=True)
                writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
                await writer.drain()
                writer.close()

        async def handle(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            resumed = sum(
                "last-event-id" in received.headers
                for other in cluster_upstreams
                for received in other.received_requests
            )
            if "last-event-id" not in request.headers:
                await standin.stream(6, 0.01, reset_after=3)(
                    upstream, request, writer
                )
            elif resumed > 1 and is_third_sound:
                await standin.stream(6, 0.01)(upstream, request, writer)
            else:
                await answer_resumed(upstream, request, writer)

        cluster_upstreams: list[standin.UpstreamStandin] = []

        async def scenario(cluster: LocalCluster) -> None:
            for number in range(3):
                cluster_upstreams.append(
                    await cluster.add_upstream(f"u-{number}", handle)
                )
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/talk/x", b"prompt")
            assert response.status == 200
            assert b"engine fault" not in response.body
            assert b"HTTP/1.1" not in response.body
            if is_third_sound:
                assert response.is_complete
                assert response.body.count(b"\n\n") == 6
            else:
                assert not response.is_complete
                assert response.body.count(b"\n\n") == 3

        run_scenario(
            tmp_path, scenario, configuration(1, [_THREE_ATTEMPTS_ROUTE])
        )


class TestUnframedAnswer:
    """Answers with neither a length nor chunks end with their connection."""

    @pytest.mark.parametrize("path", ["/pay/x", "/call/x"])
    @pytest.mark.parametrize("is_reset", [True, False])
    @pytest.mark.parametrize(
        "kept_lines", [1, 2, 3, 4], ids=lambda count: f"{count} lines"
    )
    def test_head_that_breaks_off_is_no_answer(
        self,
        path: str,
        is_reset: bool,
        kept_lines: int,
        tmp_path: pathlib.Path,
    ) -> None:
        """Guards against a broken head delivered as a whole, empty answer."""

        async def handle(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            lines = _unframed_head(request, is_stream=True)
            writer.write("\r\n".join(lines[:kept_lines]).encode() + b"\r\n")
            await _end(writer, is_reset)

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", handle)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", path, b"prompt")
            assert response.status == 502

        run_scenario(tmp_path, scenario)

    @pytest.mark.parametrize(
        ("path", "body", "is_reset", "is_whole"),
        [
            ("/pay/x", b"receipt", False, True),
            ("/pay/x", b"receipt", True, False),
            ("/call/x", b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", False, True),
            ("/call/x", b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", True, False),
            ("/call/x", b"id: 1\ndata: a\n\nid: 2\nda", False, False),
            ("/call/x", b"", False, False),
        ],
    )
    def test_answer_is_whole_if_its_connection_ended_in_order(
        self,
        path: str,
        body: bytes,
        is_reset: bool,
        is_whole: bool,
        tmp_path: pathlib.Path,
    ) -> None:
        """Guards against a cut answer that looks whole, and the reverse."""

        async def handle(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            lines = _unframed_head(request, is_stream=path == "/call/x")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _end(writer, is_reset)

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", handle)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", path, b"prompt")
            is_complete = response.status == 200 and response.is_complete
            assert is_complete == is_whole
            if is_whole:
                assert response.body == body

        run_scenario(tmp_path, scenario, configuration(1, ROUTES))


def _unframed_head(request: standin.HttpRequest, is_stream: bool) -> list[str]:
    """Returns the lines of a head with neither a length nor chunks."""
    lines = ["HTTP/1.1 200 OK"]
    if is_stream:
        lines.append("Content-Type: text/event-stream")
    seal = standin.seal_headers(request)
    return lines + [f"{name}: {value}" for name, value in seal.items()]


async def _end(writer: asyncio.StreamWriter, is_reset: bool) -> None:
    await writer.drain()
    await asyncio.sleep(0.05)
    if is_reset:
        # Without lingering, closing a socket resets its connection.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.close()
