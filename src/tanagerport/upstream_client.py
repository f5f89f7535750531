"""Calls to upstreams, with proof of whether a failed call started."""

import dataclasses
import http.client
import json
import socket
import struct
import threading
from collections.abc import Callable, Iterator, Mapping

import structlog
import urllib3

from tanagerport.body_decoders import choose_decoder
from tanagerport.call_watch import CallWatch, SilentConnectionError
from tanagerport.clock import Clock, SystemClock
from tanagerport.connection_pool import ConnectionPool, PooledConnection
from tanagerport.exceptions import (
    AnswerTruncatedError,
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamOutcomeUnknownError,
)
from tanagerport.model import RetryReason
from tanagerport.send_queue import has_unacknowledged
from tanagerport.settings import TimingSettings

_READ_BYTES = 16384
# Bounds of one read. Between reads without bytes, the caller, the deadline
# and the progress are checked.
_MAX_SLICE_S = 0.5
_MIN_SLICE_S = 0.001
# A head that began to arrive must be whole within this time.
_HEAD_TIMEOUT_S = 2.0
_PROBE_TIMEOUT_S = 1.0
_CLOSE_OLD_INTERVAL_S = 5.0
# Bounds of silence that an engine gets for a request that it has.
_MAX_SILENCES = 3
NOT_STARTED_HEADER = "X-Not-Started"
LEAVING_HEADER = "X-Leaving"
REQUEST_ID_HEADER = "X-Request-Id"
VERSION_HEADER = "X-Model-Version"

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class UpstreamCall:
    """One call to an upstream.

    Attributes:
        address: `ip:port` of the upstream.
        method: HTTP method.
        path: Path and query.
        headers: Headers to send.
        body: Body to send.
        silent_after_s: Silence before the answer's headers after which the
            connection is suspected, in seconds.
        progress_timeout_s: Longest silence within the answer, in seconds.
        probe_path: Path to post to on a new connection, to learn whether an
            engine has the request; empty where there is none.
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    silent_after_s: float = 2.0
    progress_timeout_s: float = 2.0
    probe_path: str = ""


class UpstreamAnswer:
    """An answer whose headers have arrived."""

    def __init__(
        self,
        pool: ConnectionPool,
        connection: PooledConnection,
        sock: socket.socket,
        response: http.client.HTTPResponse,
        watch: CallWatch,
        progress_timeout_s: float,
    ) -> None:
        self._pool = pool
        self._connection = connection
        self._socket = sock
        self._response = response
        self._watch = watch
        self._progress_timeout_s = progress_timeout_s
        self._decoder = choose_decoder(response)
        self._ended = False
        # What arrived together with the headers.
        sock.settimeout(0)
        self._pending = response.fp.read1(_READ_BYTES) if response.fp else b""
        sock.settimeout(None)
        self._slice_s = 0.0
        self._set_slice(min(_MAX_SLICE_S, progress_timeout_s / 2))

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """HTTP headers; names compare without case."""
        return self._response.headers  # type: ignore[return-value]

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream said that it is leaving."""
        return self.headers.get(LEAVING_HEADER) == "true"

    def read(self) -> bytes:
        """Returns the next bytes of the body, none at its end.

        Raises:
            AnswerTruncatedError: The body ended early or made no progress.
            AnswerInterruptedError: The node ended the call.
            CallerGoneError: The caller closed its connection.
        """
        decoder = self._decoder
        while not decoder.is_complete:
            data = self._pending or self._receive()
            self._pending = b""
            if not data:
                self._end()
                break
            body = decoder.feed(data)
            if body:
                return body
        return b""

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives; raises as `read` does."""
        while chunk := self.read():
            yield chunk

    @property
    def is_read(self) -> bool:
        """Whether the whole body was read."""
        return self._decoder.is_complete

    def fileno(self) -> int:
        """Returns the descriptor of the connection."""
        return self._socket.fileno()

    def set_nonblocking(self) -> None:
        """Prepares for `read_available`; `read` can't be used after it."""
        self._socket.setblocking(False)

    def read_available(self) -> bytes | None:
        """Returns what arrived of the body; None if nothing arrived.

        Raises:
            AnswerTruncatedError: The body ended early.
            AnswerInterruptedError: The node ended the call.
        """
        decoder = self._decoder
        if decoder.is_complete:
            return b""
        data, self._pending = self._pending, b""
        if not data:
            try:
                data = self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                return None
            except OSError as error:
                raise self._broken(error) from error
            self._pool.progress_at = self._watch.after_read()
        if not data:
            self._end()
            return b""
        return decoder.feed(data)

    def check_silence(self) -> float:
        """Checks a call for which no bytes arrived.

        Returns:
            Seconds until the deadline.

        Raises:
            AnswerTruncatedError: The body made no progress.
            AnswerInterruptedError: The node ended the call.
        """
        try:
            return self._watch.after_silence(self._progress_timeout_s)
        except SilentConnectionError as error:
            raise AnswerTruncatedError(
                f"no byte arrived for {self._progress_timeout_s:.1f} s"
            ) from error

    def check_held(self) -> None:
        """Checks a call whose bytes are not read for now.

        Raises:
            AnswerInterruptedError: The node ended the call.
        """
        self._watch.check()
        self._watch.note_progress()

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished answer."""
        if self._ended:
            return
        self._ended = True
        self._watch.detach()
        self._response.close()
        self._connection.close()
        self._socket.close()

    def release(self) -> None:
        """Returns the connection of a whole answer to the pool."""
        if self._response.will_close or not self._decoder.is_reusable:
            self.close()
        if self._ended:
            return
        self._ended = True
        self._watch.detach()
        self._response.close()
        self._pool.put(self._connection)

    def _end(self) -> None:
        """Takes the end of the connection.

        Raises:
            AnswerTruncatedError: The body was not complete, or may not be.
        """
        self._decoder.end()
        if has_unacknowledged(self._socket):
            # Without a length, an end in order looks like one within the
            # request, but it follows the whole request.
            raise AnswerTruncatedError(
                "the connection ended within the request, so that the answer"
                " may lack its end"
            )

    def _receive(self) -> bytes:
        """Reads from the socket.

        The kernel bounds the read: a wait for readiness before each one
        would cost another system call and another turn of the interpreter
        lock for each token.
        """
        while True:
            try:
                data = self._socket.recv(_READ_BYTES)
            except BlockingIOError:
                self._watch.check_caller()
                left_s = self.check_silence()
                if left_s < self._slice_s:
                    self._set_slice(left_s)
                continue
            except OSError as error:
                raise self._broken(error) from error
            self._pool.progress_at = self._watch.after_read()
            return data

    def _broken(self, error: OSError) -> AnswerTruncatedError:
        self._watch.check()
        return AnswerTruncatedError(f"answer ended early: {error}")

    def _set_slice(self, seconds: float) -> None:
        """Sets how long one read waits before the call is checked."""
        self._slice_s = max(seconds, _MIN_SLICE_S)
        whole_s, rest_s = divmod(self._slice_s, 1)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVTIMEO,
            struct.pack("ll", int(whole_s), int(rest_s * 1e6)),
        )


class UpstreamClient:
    """Connection pools to upstreams.

    Args:
        timing: Connection and progress bounds.
        clock: Source of time.
        on_silent: Called with the address of each silent connection.
    """

    def __init__(
        self,
        timing: TimingSettings,
        clock: Clock | None = None,
        on_silent: Callable[[str], None] | None = None,
    ) -> None:
        self._timing = timing
        self._clock = clock or SystemClock()
        self._on_silent = on_silent
        self._closed_old_at = self._clock.monotonic()
        self._lock = threading.Lock()
        self._pools: dict[str, ConnectionPool] = {}

    def open(self, call: UpstreamCall, watch: CallWatch) -> UpstreamAnswer:
        """Sends a call and waits for the answer's headers.

        Args:
            call: What to send.
            watch: Bounds of the call.

        Returns:
            The answer, whose body has not been read.

        Raises:
            UpstreamNotStartedError: The call provably did not start.
            UpstreamOutcomeUnknownError: The call failed after bytes of it
                may have been written.
            AnswerInterruptedError: The node ended the call.
            CallerGoneError: The caller closed its connection.
        """
        pool = self._pool(call.address)
        self._close_old_at_times()
        connection = pool.take()
        sent_at = self._clock.monotonic()
        try:
            answer = self._exchange(pool, connection, call, watch, sent_at)
        except BaseException:
            watch.detach()
            connection.close()
            raise
        if (
            answer.status == 503
            and answer.headers.get(NOT_STARTED_HEADER) == "true"
        ):
            answer.close()
            raise UpstreamNotStartedError(
                f"{call.address} answered that the request did not start",
                RetryReason.NOT_STARTED,
                answer.is_leaving,
            )
        return answer

    def control(self, address: str, path: str) -> str:
        """Posts a command about a request to an engine.

        Args:
            address: `ip:port` of the engine.
            path: Path of the command, such as `/requests/ID/cancel`.

        Returns:
            State that the engine answered; empty if it did not answer.
        """
        document = self._ask(address, "POST", path)
        return str(document.get("state", "")) if document else ""

    def idle_connections(self, address: str) -> int:
        """Returns the number of idle connections to an upstream."""
        return self._pool(address).idle

    def _close_old_at_times(self) -> None:
        now = self._clock.monotonic()
        if now - self._closed_old_at > _CLOSE_OLD_INTERVAL_S:
            self._closed_old_at = now
            self.close_old()

    def close_old(self) -> None:
        """Closes idle connections that are too old."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close_old()

    def forget(self, address: str) -> None:
        """Closes the pooled connections of an upstream that is gone."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close_idle()

    def _exchange(
        self,
        pool: ConnectionPool,
        connection: PooledConnection,
        call: UpstreamCall,
        watch: CallWatch,
        sent_at: float,
    ) -> UpstreamAnswer:
        sock = connection.sock
        try:
            self._send(connection, call)
            watch.attach(sock)
            self._wait_for_head(pool, call, watch, sent_at)
            sock.settimeout(_HEAD_TIMEOUT_S)
            response = connection.read_head()
            watch.note_progress()
            pool.progress_at = watch.progress_at
            return UpstreamAnswer(
                pool, connection, sock, response, watch, call.progress_timeout_s
            )
        except (
            OSError,
            http.client.HTTPException,
            urllib3.exceptions.HTTPError,
        ) as error:
            watch.check()
            raise UpstreamOutcomeUnknownError(
                f"{call.address} failed after the request was sent: {error}"
            ) from error

    def _send(self, connection: PooledConnection, call: UpstreamCall) -> None:
        connection.written = 0
        connection.sock.settimeout(call.progress_timeout_s)
        try:
            connection.request(
                call.method,
                call.path,
                body=call.body,
                headers=call.headers,
                preload_content=False,
            )
        except OSError as error:
            if connection.written:
                raise
            raise UpstreamNotStartedError(
                f"{call.address} closed an idle connection",
                RetryReason.POOLED_CONNECTION_CLOSED,
            ) from error

    def _wait_for_head(
        self,
        pool: ConnectionPool,
        call: UpstreamCall,
        watch: CallWatch,
        sent_at: float,
    ) -> None:
        """Waits for the first byte of the answer.

        The deadline bounds the wait. A connection that is found to be
        silent is given up before.
        """
        silences = 0
        while True:
            try:
                watch.wait_readable(call.silent_after_s)
                return
            except SilentConnectionError:
                silences += 1
            if self._is_silent(pool, call, sent_at, silences):
                break
            watch.note_progress()
        pool.close_idle()
        if self._on_silent is not None:
            self._on_silent(call.address)
        raise UpstreamOutcomeUnknownError(
            f"connection to {call.address} was silent for "
            f"{silences * call.silent_after_s:.1f} s"
        )

    def _is_silent(
        self,
        pool: ConnectionPool,
        call: UpstreamCall,
        sent_at: float,
        silences: int,
    ) -> bool:
        """Returns whether the connection hangs while others work.

        An engine that knows the request may only be slow, and gets more
        time than one that never saw it.
        """
        if not call.probe_path:
            return pool.progress_at > sent_at
        document = self._ask(call.address, "POST", call.probe_path, True)
        if document is None:
            return False
        return document.get("state") == "unknown" or silences >= _MAX_SILENCES

    def _ask(
        self, address: str, method: str, path: str, new: bool = False
    ) -> dict[str, object] | None:
        """Makes a short call and returns its JSON document, if any."""
        pool = self._pool(address)
        deadline_at = self._clock.monotonic() + _PROBE_TIMEOUT_S
        try:
            connection = pool.connect() if new else pool.take()
        except UpstreamNotStartedError:
            return None
        watch = CallWatch(self._clock, deadline_at)
        call = UpstreamCall(
            address,
            method,
            path,
            {},
            b"",
            silent_after_s=_PROBE_TIMEOUT_S,
            progress_timeout_s=_PROBE_TIMEOUT_S,
        )
        try:
            answer = self._exchange(pool, connection, call, watch, deadline_at)
            document = json.loads(b"".join(answer.chunks()) or b"{}")
            answer.release()
        except (UpstreamError, ValueError) as error:
            watch.detach()
            connection.close()
            _log.debug("short_call_failed", path=path, error=str(error))
            return None
        return document if isinstance(document, dict) else None

    def _pool(self, address: str) -> ConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = ConnectionPool(
                    address,
                    self._timing.connect_timeout_s,
                    self._timing.connection_max_age_s,
                    self._timing.connection_max_idle_s,
                    self._clock,
                )
                self._pools[address] = pool
            return pool
