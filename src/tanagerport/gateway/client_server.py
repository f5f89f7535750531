"""Server for clients: reads requests and writes answers, one task each."""

import asyncio
import dataclasses
import time
from collections.abc import Callable, Iterable
from typing import Protocol

import h11
import msgspec

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits
from tanagerport.gateway.http_call import Headers
from tanagerport.refusals import Refusal, RefusalReason

# Fields that concern one connection and are never passed on (RFC 9110, 7.6.1).
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
# Colon, space and line end of a field.
_FIELD_OVERHEAD_BYTES = 4
# Time to send an answer to a client that broke the protocol, in seconds.
_CLOSE_TIMEOUT_S = 1.0
# A body must arrive at least within this long, in seconds.
_BODY_TIMEOUT_S = 30.0

_encode = msgspec.json.Encoder().encode


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A whole request of a client.

    Attributes:
        method: HTTP method.
        target: Path and query as received.
        headers: Fields as received, names in their original case.
        header_values: Fields by lowercase name; the last one of a name.
        body: Whole body.
        received_at: Monotonic seconds at which its first byte arrived.
    """

    method: bytes
    target: bytes
    headers: Headers
    header_values: dict[bytes, bytes]
    body: bytes
    received_at: float


class BadRequestError(Exception):
    """A request that is answered with a refusal before it is handled.

    Attributes:
        refusal: Reason of the refusal.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class ClientResponse:
    """The answer to one request on a client's connection.

    Args:
        channel: Connection of the client.
        codec: HTTP state of the connection.
        must_close: Returns whether the connection ends after the answer.
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
        """Whether the connection was cut within the answer."""
        return self._aborted

    def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends the status line and the fields."""
        if self._must_close():
            headers = [*headers, (b"Connection", b"close")]
        self._started = True
        self._send(
            h11.Response(status_code=status, reason=reason, headers=headers)
        )

    def send(self, data: bytes) -> None:
        """Sends bytes of the body."""
        self._send(h11.Data(data))

    async def drain(self) -> None:
        """Waits while the client reads more slowly than bytes are sent."""
        await self._channel.drain()

    def finish(self) -> None:
        """Ends the answer as complete."""
        self._send(h11.EndOfMessage())

    def abort(self) -> None:
        """Cuts the connection, so that the answer can't look complete."""
        self._aborted = True
        self._channel.abort()

    def refuse(self, refusal: Refusal) -> None:
        """Sends a refusal as the whole answer."""
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
    """Answers requests."""

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        """Answers a request; cancelled when its client is gone."""


class ClientServer:
    """Accepts connections of clients.

    Args:
        handler: Answers the requests.
        get_limits: Returns the limits in force.
        log: Log of decisions.
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        log: DecisionLog,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._log = log
        self._server: asyncio.Server | None = None
        self._connections: dict[asyncio.Task[None], _ClientConnection] = {}
        self._draining = False

    @property
    def open_connections(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    @property
    def requests_in_progress(self) -> int:
        """Requests that were received and have no whole answer."""
        return sum(
            1 for entry in self._connections.values() if not entry.is_idle
        )

    async def start(self, host: str, port: int) -> None:
        """Listens for connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Channel(self._accept), host, port, backlog=1024
        )

    def start_draining(self) -> None:
        """Ends connections after their next answer."""
        self._draining = True

    def close_idle(self) -> None:
        """Closes the listener and connections without a request."""
        if self._server is not None:
            self._server.close()
        for task, connection in list(self._connections.items()):
            if connection.is_idle:
                task.cancel()

    async def close(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_CLOSE_TIMEOUT_S)

    def _accept(self, channel: Channel) -> None:
        connection = _ClientConnection(
            channel,
            self._handler,
            self._get_limits(),
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
    """One connection of a client."""

    def __init__(
        self,
        channel: Channel,
        handler: RequestHandler,
        limits: ClientLimits,
        log: DecisionLog,
        is_draining: Callable[[], bool],
    ) -> None:
        self._channel = channel
        self._handler = handler
        self._limits = limits
        self._log = log
        self._is_draining = is_draining
        self._is_idle = True
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is being handled."""
        return self._is_idle

    async def run(self) -> None:
        """Handles the requests of the connection, one after another."""
        try:
            while await self._handle_request():
                self._codec.start_next_cycle()
        except asyncio.CancelledError:
            # The client is gone, or the server closes its connections.
            self._channel.abort()
        except (ConnectionError, h11.LocalProtocolError) as error:
            self._log.debug("client_connection_broke", error=str(error))
            self._channel.abort()
        finally:
            self._channel.close()

    async def _handle_request(self) -> bool:
        """Handles one request; returns whether another one may follow."""
        response = ClientResponse(self._channel, self._codec, self._must_close)
        try:
            request = await self._read_request()
            if request is None:
                return False
        except BadRequestError as error:
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
            # Two framings are how a request is hidden in another one.
            raise _bad_request("both Content-Length and Transfer-Encoding")
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_S):
                body = await self._read_body()
        except TimeoutError:
            raise BadRequestError(
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
        """Waits for a request; None if the client sends none."""
        event = self._next_event()
        if event is h11.NEED_DATA:
            if not await self._wait_for_first_bytes():
                return None
            event = self._next_event()
        self._is_idle = False
        try:
            async with asyncio.timeout(self._limits.header_timeout_s):
                while event is h11.NEED_DATA:
                    data = await self._channel.read()
                    if not data:
                        return None
                    self._codec.receive_data(data)
                    event = self._next_event()
        except TimeoutError:
            raise BadRequestError(
                Refusal(
                    RefusalReason.REQUEST_TIMEOUT,
                    "the header fields did not arrive within"
                    f" {self._limits.header_timeout_s:g} s",
                )
            ) from None
        return event if isinstance(event, h11.Request) else None

    async def _wait_for_first_bytes(self) -> bool:
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                data = await self._channel.read()
        except TimeoutError:
            return False
        self._codec.receive_data(data)
        return bool(data)

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        size = 0
        if self._codec.they_are_waiting_for_100_continue:
            self._channel.write(
                self._codec.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
                or b""
            )
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise BadRequestError(
                        Refusal(
                            RefusalReason.BODY_TOO_LARGE,
                            "the body is above"
                            f" {self._limits.body_bytes} bytes",
                        )
                    )
                chunks.append(bytes(event.data))
                continue
            data = await self._channel.read()
            if not data:
                raise ConnectionResetError("closed within the body")
            self._codec.receive_data(data)

    def _headers_too_large(self) -> BadRequestError:
        return BadRequestError(
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


def _bad_request(message: str) -> BadRequestError:
    return BadRequestError(Refusal(RefusalReason.BAD_REQUEST, message))


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], header_values: dict[bytes, bytes]
) -> Headers:
    """Returns the fields that do not concern one connection only.

    Args:
        headers: Fields with names in their original case.
        header_values: Fields by lowercase name.
    """
    listed = {
        name.strip().lower()
        for name in header_values.get(b"connection", b"").split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_FIELDS and name.lower() not in listed
    ]
