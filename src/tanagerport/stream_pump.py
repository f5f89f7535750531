"""Relays the bytes of many streams in one thread.

With a thread for each stream, most of the cost of a token is the passing of
the interpreter lock between threads. The thread of a request stays
responsible for it: it hands its two sockets to the pump and waits.
"""

import contextlib
import select
import socket
import threading
import time
from collections.abc import Callable

import structlog

from tanagerport.exceptions import (
    AnswerTruncatedError,
    CallerGoneError,
    UpstreamError,
)
from tanagerport.upstream_client import UpstreamAnswer

_CHECK_INTERVAL_S = 0.1
# A caller that is this far behind slows its stream down.
_MAX_BACKLOG_BYTES = 256 * 1024
# A caller that takes nothing for this long is gone.
_CALLER_TIMEOUT_S = 10.0
_CALLER_CLOSED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

_log = structlog.get_logger(__name__)


class PumpedStream:
    """One stream in the pump.

    Args:
        upstream: Answer that is read.
        caller: Socket that gets the body in the chunked transfer coding.
        transform: Returns what of the bytes read is passed on.
    """

    def __init__(
        self,
        upstream: UpstreamAnswer,
        caller: socket.socket,
        transform: Callable[[bytes], bytes],
    ) -> None:
        self.upstream = upstream
        self.caller = caller
        self.error: UpstreamError | None = None
        self.done = threading.Event()
        self.upstream_fd = upstream.fileno()
        self.caller_fd = caller.fileno()
        self.is_reading = True
        self._transform = transform
        self._backlog = bytearray()
        self._stalled_since: float | None = None

    @property
    def backlog(self) -> bytes:
        """Bytes that the caller has not taken."""
        return bytes(self._backlog)

    @property
    def has_room(self) -> bool:
        """Whether more may be read for the caller."""
        return len(self._backlog) < _MAX_BACKLOG_BYTES

    def read(self) -> bool:
        """Passes on what arrived; returns whether the stream has ended.

        Raises:
            UpstreamError: The stream broke.
        """
        body = self.upstream.read_available()
        if body is None:
            return False
        if body:
            events = self._transform(body)
            if events:
                self._send(b"%x\r\n%b\r\n" % (len(events), events))
        return self.upstream.is_read

    def flush(self) -> None:
        """Sends more of the backlog.

        Raises:
            CallerGoneError: The caller closed its connection.
        """
        backlog, self._backlog = self._backlog, bytearray()
        self._send(backlog)

    def check(self) -> None:
        """Checks the bounds of a stream.

        Raises:
            UpstreamError: The stream must end.
        """
        if not self._backlog:
            self.upstream.check_silence()
            return
        # The upstream is not to blame while its bytes wait here.
        self.upstream.check_held()
        if self._stalled_since is None:
            self._stalled_since = time.monotonic()
        elif time.monotonic() - self._stalled_since > _CALLER_TIMEOUT_S:
            raise CallerGoneError("the caller stopped reading")

    def _send(self, data: bytes | bytearray) -> None:
        sent = 0
        if not self._backlog:
            try:
                sent = self.caller.send(data)
            except BlockingIOError:
                sent = 0
            except OSError as error:
                raise CallerGoneError(
                    "the caller closed its connection"
                ) from error
            if sent:
                self._stalled_since = None
        if sent < len(data):
            self._backlog += data[sent:]


class StreamPump:
    """Thread that relays the streams of a node."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._streams: dict[int, PumpedStream] = {}
        self._added: list[PumpedStream] = []
        self._thread: threading.Thread | None = None
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._epoll.register(self._wake_reader, select.EPOLLIN)

    @property
    def streams(self) -> int:
        """Number of streams in the pump."""
        return len(self._streams) // 2

    def relay(self, stream: PumpedStream) -> None:
        """Relays a stream to its end; the calling thread waits.

        Raises:
            UpstreamError: The stream broke; the backlog is unsent.
        """
        with self._lock:
            self._added.append(stream)
            if self._thread is None:
                self._thread = threading.Thread(
                    target=self._run, name="stream-pump", daemon=True
                )
                self._thread.start()
        self._wake_writer.send(b"x")
        stream.done.wait()
        if stream.error is not None:
            raise stream.error

    def _run(self) -> None:
        next_check_at = 0.0
        while True:
            events = self._epoll.poll(_CHECK_INTERVAL_S)
            for fd, event in events:
                if fd == self._wake_reader.fileno():
                    self._add_new()
                    continue
                stream = self._streams.get(fd)
                if stream is not None:
                    self._attempt(stream, self._handle, fd, event)
            now = time.monotonic()
            if now >= next_check_at:
                next_check_at = now + _CHECK_INTERVAL_S
                for stream in set(self._streams.values()):
                    self._attempt(stream, self._check)

    def _add_new(self) -> None:
        self._wake_reader.recv(4096)
        with self._lock:
            added, self._added = self._added, []
        for stream in added:
            self._attempt(stream, self._add)

    def _attempt(
        self,
        stream: PumpedStream,
        action: Callable[..., None],
        *arguments: int,
    ) -> None:
        """Runs an action; its failure ends only its own stream."""
        if stream.done.is_set():
            return
        try:
            action(stream, *arguments)
        except UpstreamError as error:
            self._end(stream, error)
        except Exception as error:
            _log.exception("stream_pump_failed")
            self._end(stream, AnswerTruncatedError(f"relay failed: {error}"))

    def _add(self, stream: PumpedStream) -> None:
        stream.upstream.set_nonblocking()
        stream.caller.setblocking(False)
        self._streams[stream.upstream_fd] = stream
        self._streams[stream.caller_fd] = stream
        self._epoll.register(stream.upstream_fd, select.EPOLLIN)
        self._epoll.register(stream.caller_fd, _CALLER_CLOSED)
        # Bytes that were read before may hold the end.
        self._read(stream)

    def _handle(self, stream: PumpedStream, fd: int, event: int) -> None:
        if fd == stream.upstream_fd:
            self._read(stream)
            return
        if event & _CALLER_CLOSED:
            raise CallerGoneError("the caller closed its connection")
        stream.flush()
        self._set_interest(stream)
        if stream.upstream.is_read and not stream.backlog:
            self._end(stream, None)

    def _read(self, stream: PumpedStream) -> None:
        has_ended = stream.read()
        if has_ended and not stream.backlog:
            self._end(stream, None)
        elif stream.backlog:
            self._set_interest(stream)

    def _set_interest(self, stream: PumpedStream) -> None:
        writing = select.EPOLLOUT if stream.backlog else 0
        self._epoll.modify(stream.caller_fd, _CALLER_CLOSED | writing)
        wants_more = stream.has_room and not stream.upstream.is_read
        if wants_more != stream.is_reading:
            stream.is_reading = wants_more
            self._epoll.modify(
                stream.upstream_fd, select.EPOLLIN if wants_more else 0
            )

    def _check(self, stream: PumpedStream) -> None:
        stream.check()

    def _end(self, stream: PumpedStream, error: UpstreamError | None) -> None:
        for fd in (stream.upstream_fd, stream.caller_fd):
            if self._streams.pop(fd, None) is not None:
                # A socket that was closed meanwhile is gone already.
                with contextlib.suppress(OSError, ValueError):
                    self._epoll.unregister(fd)
        stream.error = error
        stream.done.set()
