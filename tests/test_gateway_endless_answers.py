"""Tests of upstreams that send an endless response."""

import asyncio
import pathlib
import time
from collections.abc import Iterator

import pytest

import platform_standin as standin
from test_gateway_process import ROUTES

# Shorter than the timeout of the routes, which is 3 s or more.
_RESPONSE_TIMEOUT_S = 1.0
# Far above what a node may buffer of one response, and far below what loopback
# transfers within the timeout of a route.
_MAX_ACCEPTED_BYTES = 16 * 1024 * 1024
_BLOCK_BYTES = 64 * 1024


def _response_head(request: standin.HttpRequest, *fields: str) -> bytes:
    header_lines = [
        f"{name}: {text}"
        for name, text in standin.seal_headers(request).items()
    ]
    lines = ["HTTP/1.1 200 OK", *header_lines, *fields, "", ""]
    return "\r\n".join(lines).encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _other_request_head() -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: seal-other\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )


def _endless_response(
    kind: str, request: standin.HttpRequest
) -> Iterator[bytes]:
    """Yields the bytes of an endless response."""
    chunked = "Transfer-Encoding: chunked"
    first, block = {
        "unterminated status line": (b"", b"x" * _BLOCK_BYTES),
        "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
        "header fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: 1\r\n" * 4096),
        "unterminated header field": (
            b"HTTP/1.1 200 OK\r\nX-Field: ",
            b"x" * _BLOCK_BYTES,
        ),
        "body without length": (_response_head(request), b"x" * _BLOCK_BYTES),
        "chunks": (
            _response_head(request, chunked),
            _chunk(b"x" * _BLOCK_BYTES),
        ),
        "chunk size": (_response_head(request, chunked), b"0" * _BLOCK_BYTES),
        "chunk extension": (
            _response_head(request, chunked) + b"5;",
            b"x" * _BLOCK_BYTES,
        ),
        "trailer": (
            _response_head(request, chunked) + b"0\r\n",
            b"X-T: 1\r\n" * 4096,
        ),
        "response to another request": (
            _other_request_head(),
            _chunk(b"x" * _BLOCK_BYTES),
        ),
        "event": (
            _response_head(request, chunked, "Content-Type: text/event-stream"),
            _chunk(b"data: " + b"x" * _BLOCK_BYTES),
        ),
    }[kind]
    yield first
    while True:
        yield block


class _FloodingUpstream:
    """Sends an endless response and counts the bytes that were accepted."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self.accepted_bytes = 0
        self.is_aborted = False

    async def __call__(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream.started_attempts.append(request.headers["attempt-id"])
        try:
            for block in _endless_response(self._kind, request):
                writer.write(block)
                await writer.drain()
                self.accepted_bytes += len(block)
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.CancelledError):
            self.is_aborted = True
            writer.transport.abort()


class TestEndlessResponse:
    """Guards against calls that block a client or use memory without bound.

    A faulty upstream may send invalid or endless data, which also occupies the
    link, until its peer closes the connection.
    """

    @pytest.mark.parametrize(
        "kind",
        [
            "unterminated status line",
            "interim responses",
            "header fields",
            "unterminated header field",
            "body without length",
            "chunks",
            "chunk size",
            "chunk extension",
            "trailer",
            "response to another request",
        ],
    )
    def test_client_gets_502_within_the_timeout(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        _run_case(kind, "/pay/x", tmp_path)

    def test_endless_event_gets_502_within_the_timeout(
        self, tmp_path: pathlib.Path
    ) -> None:
        _run_case("event", "/call/x", tmp_path)


def _run_case(kind: str, path: str, directory: pathlib.Path) -> None:
    flood = _FloodingUpstream(kind)

    async def run_scenario() -> None:
        async with standin.local_cluster(
            directory, standin.configuration(1, ROUTES)
        ) as cluster:
            await cluster.add_gateway()
            upstream = await cluster.add_upstream("u-1", flood)
            await cluster.gateway.wait_ready()
            started_at = time.monotonic()
            response = await cluster.call("a1", path, b"x")
            assert response.status == 502
            assert time.monotonic() - started_at < _RESPONSE_TIMEOUT_S
            # The gateway must close the connection, which stops the upstream.
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                while not flood.is_aborted:
                    await asyncio.sleep(0.01)
            assert flood.accepted_bytes < _MAX_ACCEPTED_BYTES
            upstream.handler = standin.echo
            second = await cluster.call("a2", path, b"y")
            assert second.status == 200

    asyncio.run(run_scenario())
