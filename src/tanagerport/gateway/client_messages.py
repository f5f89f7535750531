"""Requests of clients, and the responses to them."""

import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

import h11
import msgspec

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.http_call import Headers
from tanagerport.refusals import Refusal

# Time in which a client may read the answer to a request without a known
# deadline, in seconds.
_DEFAULT_DELIVERY_S = 30.0

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
        read_at: Monotonic seconds at which it was read to its end.
    """

    method: bytes
    target: bytes
    headers: Headers
    header_values: dict[bytes, bytes]
    body: bytes
    received_at: float
    read_at: float


class ClientResponse:
    """Writes the response to one request on a client connection.

    Args:
        channel: Connection to the client.
        codec: HTTP protocol state of the connection.
        must_close: Returns whether the connection closes after the response.
        announce_idle_timeout_s: Returns the idle timeout to announce, in
            seconds.

    Attributes:
        request_id: Id of the client attempt; empty if it is unknown.
        upstream_id: Upstream to which the request was last sent; empty if it
            was not sent.
        received_at: Monotonic seconds at which the request came.
        earlier_requests: Number of requests that its connection carried before.
        status: HTTP status that was sent; 0 before.
        is_closed_by_node: Whether the node closes the connection.
        deliver_until: Monotonic seconds until which its client may read it.
    """

    def __init__(
        self,
        channel: Channel,
        codec: h11.Connection,
        must_close: Callable[[], bool],
        announce_idle_timeout_s: Callable[[], int],
    ) -> None:
        self._channel = channel
        self._codec = codec
        self._must_close = must_close
        self._announce_idle_timeout_s = announce_idle_timeout_s
        self._started = False
        self._finished = False
        self._aborted = False
        # Set by the handler, as it learns of them.
        self.request_id = ""
        self.upstream_id = ""
        self.received_at = time.monotonic()
        self.earlier_requests = 0
        self.status = 0
        self.is_closed_by_node = False
        self.deliver_until = self.received_at + _DEFAULT_DELIVERY_S

    @property
    def is_started(self) -> bool:
        """Whether the status line was sent."""
        return self._started

    @property
    def is_finished(self) -> bool:
        """Whether the whole response was sent."""
        return self._finished

    @property
    def is_aborted(self) -> bool:
        """Whether the response was aborted."""
        return self._aborted

    def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends the status line and the header fields."""
        if self._must_close():
            headers = [*headers, (b"Connection", b"close")]
        elif timeout_s := self._announce_idle_timeout_s():
            headers = [*headers, (b"Keep-Alive", b"timeout=%d" % timeout_s)]
        self._started = True
        self.status = status
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
        self._finished = True

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
