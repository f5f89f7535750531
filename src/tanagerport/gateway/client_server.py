"""HTTP/1.1 server for clients, with one task per connection."""

import asyncio
import dataclasses
import enum
import time
from collections.abc import Callable, Iterable
from typing import Protocol

import h11
import msgspec

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits
from tanagerport.gateway.http_call import Headers
from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.time_slices import TimeSlice
from tanagerport.refusals import Refusal, RefusalReason

# Header fields that a proxy must not forward (RFC 9110, section 7.6.1).
HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Colon, space and CRLF of a header field.
_FIELD_OVERHEAD_BYTES = 4
# Time for cancelled connections to finish when the server closes, in seconds.
_CLOSE_TIMEOUT_S = 1.0
# Timeout for receiving a whole request body, in seconds.
_BODY_TIMEOUT_S = 30.0

# Time in which a new connection counts as about to send its first request, in
# seconds: a few round trips between regions.
_FIRST_REQUEST_S = 0.3

_encode = msgspec.json.Encoder().encode


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A completely received client request.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Header fields as received, with names in their original case.
        header_values: Values by lowercase field name; for a repeated field,
            the last one.
        body: Complete body.
        received_at: Monotonic seconds at which its header was complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    header_values: dict[bytes, bytes]
    body: bytes
    received_at: float


class CloseCause(enum.StrEnum):
    """Why the server closed a connection on which it had sent no response."""

    IDLE_TIMEOUT = "idle_timeout"
    DRAINING = "draining"
    STOPPING = "stopping"


class RequestReadError(Exception):
    """A request that could not be read and is refused without a handler.

    Attributes:
        refusal: Refusal to send.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class ClientResponse:
    """Writes the response to one request on a client connection.

    Args:
        channel: Connection to the client.
        codec: HTTP protocol state of the connection.
        must_close: Returns whether the connection closes after the response.
    """

    def __init__(
        self,
        channel: Channel,
        codec: h11.Connection,
        must_close: Callable[[], bool],
    ) -> None:
        self._channel = channel
        self._codec = codec
        self._must_close = must_close
        self._started = False
        self._aborted = False

    @property
    def is_started(self) -> bool:
        """Whether the status line was sent."""
        return self._started

    @property
    def is_aborted(self) -> bool:
        """Whether the response was aborted."""
        return self._aborted

    def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends the status line and the header fields."""
        if self._must_close():
            headers = [*headers, (b"Connection", b"close")]
        self._started = True
        self._send(
            h11.Response(status_code=status, reason=reason, headers=headers)
        )

    def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._send(h11.Data(data))

    async def drain(self) -> None:
        """Waits until the write buffer is below its high-water mark."""
        await self._channel.drain()

    def finish(self) -> None:
        """Completes the response."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Aborts the connection, so that the response can't look complete."""
        self._aborted = True
        self._channel.abort()

    def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal as the complete response."""
        body = _encode(
            {
                "error": {
                    "reason": refusal.reason.value,
                    "message": refusal.message,
                    "ran": refusal.ran.value,
                }
            }
        )
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
        ]
        if refusal.retry_after_s is not None:
            headers.append(
                (b"Retry-After", b"%.2f" % max(refusal.retry_after_s, 0))
            )
        self.start(refusal.http_status, b"", headers)
        self.send(body)
        self.finish()

    def _send(self, event: h11.Event) -> None:
        data = self._codec.send(event)
        if data:
            self._channel.write(data)


class RequestHandler(Protocol):
    """Handles client requests."""

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        """Handles a request; cancelled when its client disconnects."""


class ClientServer:
    """Accepts client connections.

    Args:
        handler: Handles the requests.
        get_limits: Returns the current limits.
        counters: Metrics of the process.
        log: Structured decision log.
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        counters: Counters,
        log: DecisionLog,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._counters = counters
        self._log = log
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _ClientConnection] = {}
        self._draining = False

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def requests_in_progress(self) -> int:
        """Number of requests whose response is not complete, or expected."""
        return sum(
            1
            for connection in self._connections.values()
            if not connection.is_idle
        )

    async def start(self, host: str, port: int) -> None:
        """Listens for connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Channel(self._accept), host, port, backlog=1024
        )

    def start_draining(self) -> None:
        """Closes each connection after its next response."""
        self._draining = True

    def close_idle(self) -> None:
        """Closes the listening socket and the idle connections."""
        if self._server is not None:
            self._server.close()
        for task, connection in list(self._connections.items()):
            if connection.is_idle:
                connection.close_cause = CloseCause.DRAINING
                task.cancel()

    async def close(self) -> None:
        """Closes the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._connections)
        for task, connection in self._connections.items():
            connection.close_cause = CloseCause.STOPPING
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_CLOSE_TIMEOUT_S)

    def _accept(self, channel: Channel) -> None:
        connection = _ClientConnection(
            channel,
            self._handler,
            self._get_limits,
            self._counters,
            self._log,
            lambda: self._draining,
        )
        task = asyncio.get_running_loop().create_task(connection.run())
        self._connections[task] = connection
        task.add_done_callback(self._remove_connection)

    def _remove_connection(self, task: "asyncio.Task[None]") -> None:
        del self._connections[task]
        if not task.cancelled() and task.exception() is not None:
            self._log.error("connection_failed", error=repr(task.exception()))


class _ClientConnection:
    """A client connection.

    Attributes:
        close_cause: Why the server closes the connection; None if it doesn't.
    """

    def __init__(
        self,
        channel: Channel,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        counters: Counters,
        log: DecisionLog,
        is_draining: Callable[[], bool],
    ) -> None:
        self.close_cause: CloseCause | None = None
        self._channel = channel
        self._handler = handler
        self._get_limits = get_limits
        # Limits for the request that is read, or for the wait for it.
        self._limits = get_limits()
        self._counters = counters
        self._log = log
        self._is_draining = is_draining
        self._is_idle = True
        self._idle_since = time.monotonic()
        self._time_slice = TimeSlice()
        self._request_expected_until = time.monotonic() + _FIRST_REQUEST_S
        self._codec = self._create_codec()

    @property
    def is_idle(self) -> bool:
        """Whether no request is expected and no response is unsent."""
        return (
            self._is_idle
            and time.monotonic() >= self._request_expected_until
            and not self._channel.has_unread
            and not self._channel.has_unsent
        )

    async def run(self) -> None:
        """Handles the requests of the connection in sequence."""
        try:
            while await self._handle_request():
                self._codec.start_next_cycle()
                if self._channel.has_unread or self._codec.trailing_data[0]:
                    # The client sends requests without waiting for answers.
                    await self._time_slice.pause_if_over()
            await self._channel.flush()
        except asyncio.CancelledError:
            # The client disconnected, or the server is closing.
            self._channel.abort()
        except (ConnectionError, h11.LocalProtocolError) as error:
            self._log.debug("client_connection_error", error=str(error))
            self._channel.abort()
        finally:
            self._record_close()
            self._channel.close()

    def _record_close(self) -> None:
        """Records a close by the server, and what its client had sent."""
        if self.close_cause is None:
            return
        self._counters.connections_closed[self.close_cause.value] += 1
        unread_bytes = self._channel.unread_bytes
        if not unread_bytes and self._is_idle:
            return
        self._counters.connections_closed_early[self.close_cause.value] += 1
        self._log.warning(
            "connection_closed_early",
            cause=self.close_cause.value,
            unread_bytes=unread_bytes,
            is_idle=self._is_idle,
            idle_timeout_s=self._get_limits().idle_timeout_s,
            idle_s=round(time.monotonic() - self._idle_since, 3),
        )

    async def _handle_request(self) -> bool:
        """Handles one request; returns whether the connection stays open."""
        if not await self._wait_for_request():
            return False
        response = ClientResponse(self._channel, self._codec, self._must_close)
        try:
            request = await self._read_request()
            if request is None:
                return False
        except RequestReadError as error:
            self._log.refused("", error.refusal)
            response.refuse(error.refusal)
            await response.drain()
            return False
        task = asyncio.current_task()
        if task is not None:
            self._channel.set_close_callback(task.cancel)
        if not self._channel.is_open:
            return False
        try:
            await self._handler.handle(request, response)
        finally:
            self._channel.set_close_callback(None)
        self._is_idle = True
        self._idle_since = time.monotonic()
        return (
            not response.is_aborted
            and self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
        )

    def _must_close(self) -> bool:
        return self._is_draining() or self._codec.their_state not in (
            h11.DONE,
            h11.IDLE,
        )

    async def _read_request(self) -> ClientRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        received_at = time.monotonic()
        header_values = {name: bytes(value) for name, value in head.headers}
        size = len(head.target) + sum(
            len(name) + len(value) + _FIELD_OVERHEAD_BYTES
            for name, value in head.headers
        )
        if size > self._limits.header_bytes:
            raise self._headers_too_large()
        if (
            b"content-length" in header_values
            and b"transfer-encoding" in header_values
        ):
            # Conflicting framing allows request smuggling.
            raise _bad_request("both Content-Length and Transfer-Encoding")
        try:
            async with IoTimeout(_BODY_TIMEOUT_S):
                body = await self._read_body()
        except TimeoutError:
            raise RequestReadError(
                Refusal(
                    RefusalReason.REQUEST_TIMEOUT,
                    f"the body did not arrive within {_BODY_TIMEOUT_S:g} s",
                )
            ) from None
        return ClientRequest(
            bytes(head.method),
            bytes(head.target),
            head.headers.raw_items(),
            header_values,
            body,
            received_at,
        )

    async def _read_head(self) -> h11.Request | None:
        """Reads a request header; returns None if the client closes."""
        event = self._next_event()
        try:
            async with IoTimeout(self._limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    data = await self._read_channel()
                    if not data:
                        return None
                    self._codec.receive_data(data)
                    event = self._next_event()
        except TimeoutError:
            raise RequestReadError(
                Refusal(
                    RefusalReason.REQUEST_TIMEOUT,
                    "the header fields did not arrive within"
                    f" {self._limits.header_timeout_s:g} s",
                )
            ) from None
        return event if isinstance(event, h11.Request) else None

    async def _read_channel(self) -> bytes:
        has_to_wait = not self._channel.has_unread
        data = await self._channel.read()
        if has_to_wait:
            self._time_slice.restart()
        return data

    async def _wait_for_request(self) -> bool:
        """Waits for the first bytes of a request; False if none come."""
        data = b""
        if not self._codec.trailing_data[0]:
            data = await self._read_first_bytes()
            if not data:
                return False
        self._is_idle = False
        self._request_expected_until = 0.0
        limits = self._get_limits()
        if limits.header_bytes != self._limits.header_bytes:
            data = self._codec.trailing_data[0] + data
            self._limits = limits
            self._codec = self._create_codec()
        self._limits = limits
        if data:
            self._codec.receive_data(data)
        return True

    async def _read_first_bytes(self) -> bytes:
        """Waits for bytes; returns none if the client closes or stays idle."""
        idle_timeout_s = 0.0
        while (limit_s := self._get_limits().idle_timeout_s) > idle_timeout_s:
            # A client goes by the longest limit that it may know.
            remaining_s = limit_s - idle_timeout_s
            idle_timeout_s = limit_s
            try:
                async with IoTimeout(remaining_s):
                    return await self._read_channel()
            except TimeoutError:
                if self._channel.has_unread:
                    # They came in the turn of the loop that ended the time.
                    return await self._read_channel()
        self.close_cause = CloseCause.IDLE_TIMEOUT
        return b""

    def _create_codec(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )

    async def _read_body(self) -> bytes:
        body = bytearray()
        if self._codec.they_are_waiting_for_100_continue:
            self._channel.write(
                self._codec.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
                or b""
            )
        while True:
            await self._time_slice.pause_if_over()
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes:
                    raise RequestReadError(
                        Refusal(
                            RefusalReason.BODY_TOO_LARGE,
                            "the body is above"
                            f" {self._limits.body_bytes} bytes",
                        )
                    )
                continue
            data = await self._read_channel()
            if not data:
                raise ConnectionResetError(
                    "the client closed the connection before the body ended"
                )
            self._codec.receive_data(data)

    def _headers_too_large(self) -> RequestReadError:
        return RequestReadError(
            Refusal(
                RefusalReason.HEADERS_TOO_LARGE,
                "the header fields are above"
                f" {self._limits.header_bytes} bytes",
            )
        )

    def _next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self._codec.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise self._headers_too_large() from error
            raise _bad_request(str(error)) from error


def _bad_request(message: str) -> RequestReadError:
    return RequestReadError(Refusal(RefusalReason.BAD_REQUEST, message))


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], header_values: dict[bytes, bytes]
) -> Headers:
    """Returns the end-to-end header fields, which a proxy forwards.

    Leaves out hop-by-hop fields and those that `Connection` lists.

    Args:
        headers: Header fields with names in their original case.
        header_values: Values by lowercase field name.
    """
    connection_options = {
        name.strip().lower()
        for name in header_values.get(b"connection", b"").split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_FIELDS
        and name.lower() not in connection_options
    ]
