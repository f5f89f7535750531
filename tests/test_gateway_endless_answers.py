"""Upstreams whose bytes never end."""

import asyncio
import pathlib
import time
from collections.abc import Iterator

import pytest

import platform_standin as standin
from test_gateway_process import ROUTES

# The time limit of the routes is 3 s and more.
_ANSWERED_WITHIN_S = 1.0
# Far above what a node may hold of one answer, far below what loopback takes
# within the time limit of a route.
_MAX_TAKEN_BYTES = 16 * 1024 * 1024
_BLOCK = 64 * 1024


def _head(request: standin.HttpRequest, *fields: str) -> bytes:
    names = [
        f"{name}: {text}"
        for name, text in standin.seal_headers(request).items()
    ]
    lines = ["HTTP/1.1 200 OK", *names, *fields, "", ""]
    return "\r\n".join(lines).encode()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _stray_head() -> bytes:
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nResponse-Seal: seal-other\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
    )


def _flood(kind: str, request: standin.HttpRequest) -> Iterator[bytes]:
    """Yields the bytes of an answer without end."""
    chunked = "Transfer-Encoding: chunked"
    first, block = {
        "no line": (b"", b"x" * _BLOCK),
        "status lines": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
        "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: 1\r\n" * 4096),
        "one field": (b"HTTP/1.1 200 OK\r\nX-Field: ", b"x" * _BLOCK),
        "body without length": (_head(request), b"x" * _BLOCK),
        "chunks": (_head(request, chunked), _chunk(b"x" * _BLOCK)),
        "chunk size": (_head(request, chunked), b"0" * _BLOCK),
        "chunk extension": (_head(request, chunked) + b"5;", b"x" * _BLOCK),
        "trailer": (_head(request, chunked) + b"0\r\n", b"X-T: 1\r\n" * 4096),
        "answer of another request": (_stray_head(), _chunk(b"x" * _BLOCK)),
        "event": (
            _head(request, chunked, "Content-Type: text/event-stream"),
            _chunk(b"data: " + b"x" * _BLOCK),
        ),
    }[kind]
    yield first
    while True:
        yield block


class _Flooding:
    """Behaviour of an upstream; counts what was taken from it."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self.taken = 0
        self.is_cut = False

    async def __call__(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream.started_attempts.append(request.headers["attempt-id"])
        try:
            for block in _flood(self._kind, request):
                writer.write(block)
                await writer.drain()
                self.taken += len(block)
                await asyncio.sleep(0)
        except (ConnectionError, asyncio.CancelledError):
            self.is_cut = True
            writer.transport.abort()


class TestEndlessAnswer:
    """Guards against calls that hold a client, memory or a link for ever.

    An upstream in trouble may send bytes that are no answer until its peer
    closes the connection.
    """

    @pytest.mark.parametrize(
        "kind",
        [
            "no line",
            "status lines",
            "fields",
            "one field",
            "body without length",
            "chunks",
            "chunk size",
            "chunk extension",
            "trailer",
            "answer of another request",
        ],
    )
    def test_client_gets_an_error_soon(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        _play(kind, "/pay/x", tmp_path)

    def test_stream_is_cut_soon(self, tmp_path: pathlib.Path) -> None:
        _play("event", "/call/x", tmp_path)


def _play(kind: str, path: str, directory: pathlib.Path) -> None:
    flooding = _Flooding(kind)

    async def play() -> None:
        async with standin.local_cluster(
            directory, standin.configuration(1, ROUTES)
        ) as world:
            await world.add_gateway()
            upstream = await world.add_upstream("u-1", flooding)
            await world.gateway.wait_ready()
            started_at = time.monotonic()
            answer = await world.call("a1", path, b"x")
            assert answer.status == 502
            assert time.monotonic() - started_at < _ANSWERED_WITHIN_S
            # The connection is closed, so the upstream can stop.
            async with asyncio.timeout(_ANSWERED_WITHIN_S):
                while not flooding.is_cut:
                    await asyncio.sleep(0.01)
            assert flooding.taken < _MAX_TAKEN_BYTES
            upstream.handler = standin.echo
            second = await world.call("a2", path, b"y")
            assert second.status == 200

    asyncio.run(play())
