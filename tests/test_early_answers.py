"""Answers that break off within the request, or bear no valid status.

The upstreams answer before they have read the request, on both edges.
"""

import asyncio
import contextlib
import pathlib
import socket
import struct
import threading
from collections.abc import Iterator

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration
from tanagerport.call_watch import CallWatch
from tanagerport.clock import SystemClock
from tanagerport.exceptions import (
    AnswerTruncatedError,
    UpstreamError,
    UpstreamOutcomeUnknownError,
)
from tanagerport.settings import TimingSettings
from tanagerport.upstream_client import UpstreamCall, UpstreamClient
from test_gateway_process import ROUTES, run_scenario

_UPLOAD = b"u" * 3_900_000
_PART = b"half of the ans"
# Time from the end of the answer to the reset of its connection.
_RESET_AFTER_S = 0.02
_NO_CONTENT = "204"
_LIMITS = {
    "max_header_bytes": 8192,
    "max_body_bytes": 2 * len(_UPLOAD),
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 5000,
}
_STATUS_LINES = (
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
)


def _reset(sock: socket.socket) -> None:
    # Without lingering, closing a socket resets its connection.
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


class _EarlyAnswerer(standin.UpstreamStandin):
    """Answers each request once its head has come.

    Args:
        status_line: First line of the answer.
        has_read: Whether it reads the whole request first.
        is_stream: Whether the answer is a stream of events.
    """

    def __init__(
        self, status_line: str, has_read: bool, is_stream: bool
    ) -> None:
        super().__init__("u-1", standin.echo)
        self._status_line = status_line
        self._has_read = has_read
        self._is_stream = is_stream

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
        )
        if self._has_read:
            await reader.readexactly(int(fields["content-length"]))
        lines = [
            self._status_line,
            f"Attempt-Id: {fields['attempt-id']}",
            f"Response-Seal: seal-{fields['attempt-id']}",
        ]
        body = _PART
        if self._is_stream:
            lines.append("Content-Type: text/event-stream")
            body = b"id: 1\ndata: a\n\n"
        if _NO_CONTENT in self._status_line:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            await reader.read()
            return
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        writer.write_eof()
        await asyncio.sleep(_RESET_AFTER_S)
        writer.transport.abort()


class TestGateway:
    """Guards against broken answers that reach clients as whole ones."""

    @pytest.mark.parametrize("path", ["/pay/x", "/read/x", "/call/x"])
    @pytest.mark.parametrize("has_read", [False, True])
    def test_answer_that_ends_within_the_request(
        self, path: str, has_read: bool, tmp_path: pathlib.Path
    ) -> None:
        """The upload had not been taken, and the part was a whole answer."""

        async def scenario(cluster: LocalCluster) -> None:
            await self._add(
                cluster, "HTTP/1.1 200 OK", has_read, path == "/call/x"
            )
            response = await cluster.call("a1", path, _UPLOAD)
            is_whole = response.status == 200 and response.is_complete
            assert is_whole is has_read

        run_scenario(
            tmp_path, scenario, configuration(1, ROUTES, limits=_LIMITS)
        )

    def test_answer_without_content_within_the_request(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a whole answer that is taken for a broken one."""

        async def scenario(cluster: LocalCluster) -> None:
            await self._add(cluster, f"HTTP/1.1 {_NO_CONTENT} X", False, False)
            response = await cluster.call("a1", "/pay/x", _UPLOAD)
            assert response.status == int(_NO_CONTENT)

        run_scenario(
            tmp_path, scenario, configuration(1, ROUTES, limits=_LIMITS)
        )

    @pytest.mark.parametrize("status_line", _STATUS_LINES)
    def test_status_that_is_none(
        self, status_line: str, tmp_path: pathlib.Path
    ) -> None:
        """A status above 599 was passed on."""

        async def scenario(cluster: LocalCluster) -> None:
            await self._add(cluster, status_line, True, False)
            response = await cluster.call("a1", "/pay/x", b"small")
            assert response.status == 502

        run_scenario(
            tmp_path, scenario, configuration(1, ROUTES, limits=_LIMITS)
        )

    async def _add(
        self,
        cluster: LocalCluster,
        status_line: str,
        has_read: bool,
        is_stream: bool,
    ) -> None:
        upstream = _EarlyAnswerer(status_line, has_read, is_stream)
        await upstream.start()
        cluster.upstreams.append(upstream)
        await cluster.store.put(
            "servers", "u-1", upstream.registration("svc", slot_count=4)
        )
        await cluster.gateway.wait_ready()


class _RawUpstream:
    """Reads some bytes of a request, answers and ends the connection.

    Args:
        answer: Bytes to send.
        reads: Number of bytes to read before.
        is_reset_at_once: Whether the connection is reset without its end.
    """

    def __init__(
        self, answer: bytes, reads: int, is_reset_at_once: bool = False
    ) -> None:
        self._answer = answer
        self._reads = reads
        self._is_reset_at_once = is_reset_at_once
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def stop(self) -> None:
        self._thread.join(5.0)
        self._listener.close()

    def _serve(self) -> None:
        sock, _ = self._listener.accept()
        received = 0
        while received < self._reads:
            received += len(sock.recv(65536))
        with contextlib.suppress(OSError):
            sock.sendall(self._answer)
            if not self._is_reset_at_once:
                sock.shutdown(socket.SHUT_WR)
                threading.Event().wait(_RESET_AFTER_S)
        _reset(sock)


class TestChatEdge:
    """Guards against the same on the edge for chat completions."""

    @contextlib.contextmanager
    def _upstream(
        self, answer: bytes, reads: int, is_reset_at_once: bool = False
    ) -> Iterator[str]:
        upstream = _RawUpstream(answer, reads, is_reset_at_once)
        try:
            yield upstream.address
        finally:
            upstream.stop()

    def _call(self, address: str, body: bytes) -> bytes:
        clock = SystemClock()
        client = UpstreamClient(TimingSettings(), clock)
        call = UpstreamCall(address, "POST", "/x", {}, body)
        watch = CallWatch(clock, clock.monotonic() + 5.0)
        answer = client.open(call, watch)
        try:
            return b"".join(answer.chunks())
        finally:
            answer.close()

    def test_answer_that_ends_within_the_request(self) -> None:
        """The upload had not been taken, and the part was a whole answer."""
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + _PART
        with (
            self._upstream(answer, 100) as address,
            pytest.raises((AnswerTruncatedError, UpstreamOutcomeUnknownError)),
        ):
            self._call(address, _UPLOAD)

    def test_answer_that_follows_the_request(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\n\r\n" + _PART
        with self._upstream(answer, len(_UPLOAD)) as address:
            assert self._call(address, _UPLOAD) == _PART

    @pytest.mark.parametrize("status_line", _STATUS_LINES)
    def test_status_that_is_none(self, status_line: str) -> None:
        """A status above 599, or with a sign, was taken for an answer."""
        answer = status_line.encode() + b"\r\nContent-Length: 0\r\n\r\n"
        with (
            self._upstream(answer, 100) as address,
            pytest.raises(UpstreamOutcomeUnknownError),
        ):
            self._call(address, b"small")

    def test_reset_after_the_head(self) -> None:
        """A bare error of the socket left `open`, unlike it says."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        for _ in range(10):
            with (
                self._upstream(answer, 100, True) as address,
                pytest.raises(UpstreamError),
            ):
                self._call(address, b"small")
