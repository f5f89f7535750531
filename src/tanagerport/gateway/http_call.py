"""HTTP/1.1 client calls over a `Channel`, parsed with `h11`."""

import dataclasses
from collections.abc import Callable

import h11

from tanagerport.exceptions import TanagerportError
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.time_slices import TimeSlice
from tanagerport.http_status import is_status

# Limit of interim (1xx) responses before the final one; a faulty upstream may
# send an endless sequence of them.
_MAX_INTERIM_RESPONSES = 8
# Chunks of a body that are returned as one part if they were received together.
_MAX_JOINED_CHUNKS = 64

Headers = list[tuple[bytes, bytes]]
_CodecEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class CallError(TanagerportError):
    """The connection was lost or the peer sent an invalid response."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status line and header fields of a response.

    Attributes:
        status: HTTP status code.
        reason: Reason phrase.
        headers: Header fields as received, with names in their original case.
        header_values: Values by lowercase field name; for a repeated field,
            the last one.
    """

    status: int
    reason: bytes
    headers: Headers
    header_values: dict[bytes, bytes]

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body shows without that of its connection."""
        return (
            b"content-length" in self.header_values
            or b"transfer-encoding" in self.header_values
        )


class HttpCall:
    """One request and its response on a connection.

    Args:
        channel: Connection without another call in progress.
        request: Request line and header fields.
        body: Body of the request.
        received: Bytes already received after an earlier response.
    """

    def __init__(
        self,
        channel: Channel,
        request: h11.Request,
        body: bytes = b"",
        received: bytes = b"",
    ) -> None:
        self._channel = channel
        self._request = request
        self._body = body
        self._codec = h11.Connection(h11.CLIENT)
        self._request_bytes = self._codec.send(request) or b""
        if body:
            self._request_bytes += self._codec.send(h11.Data(body)) or b""
        self._request_bytes += self._codec.send(h11.EndOfMessage()) or b""
        if received:
            self._codec.receive_data(received)
        self._complete = False
        self._is_framed = True
        self._time_slice = TimeSlice()
        # Event that was parsed after the last part of the body.
        self._parsed_event: _CodecEvent | None = None

    @property
    def trailing_bytes(self) -> bytes:
        """Bytes received after the end of the response."""
        return bytes(self._codec.trailing_data[0])

    @property
    def can_reuse(self) -> bool:
        """Whether the connection may carry another call."""
        return (
            self._complete
            and self._codec.their_state is h11.DONE
            and not self._codec.trailing_data[0]
            and self._channel.is_open
            and not self._channel.has_unread
            and not self._channel.has_unsent
        )

    def send(self) -> None:
        """Sends the request."""
        self._channel.write(self._request_bytes)
        self._request_bytes = b""

    def for_next_response(self) -> "HttpCall":
        """Returns a call that reads the next response on the connection.

        The request is not sent again; its body is passed on because the codec
        expects the whole request before the response.
        """
        return HttpCall(
            self._channel, self._request, self._body, self.trailing_bytes
        )

    async def read_head(self) -> ResponseHead:
        """Waits for the status line and the header fields.

        Raises:
            CallError: There is no valid response.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not is_status(event.status_code):
                    raise CallError(
                        f"invalid answer: {event.status_code} is no status"
                    )
                head = ResponseHead(
                    event.status_code,
                    bytes(event.reason),
                    event.headers.raw_items(),
                    {name: bytes(value) for name, value in event.headers},
                )
                self._is_framed = head.is_framed
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise CallError("the connection ended before the answer")
        raise CallError(f"above {_MAX_INTERIM_RESPONSES} interim answers")

    async def read_body_part(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
            CallError: The body is incomplete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return self._join_chunks(event)
        if isinstance(event, h11.EndOfMessage):
            if (
                not self._is_framed
                and not self._channel.is_open
                and self._channel.has_untaken
            ):
                # Most likely it broke off: an end in order follows the whole
                # request, which the peer's host has taken by then.
                raise CallError(
                    "the connection ended within the request, so that the"
                    " answer may lack its end"
                )
            self._complete = True
            return b""
        raise CallError("the connection ended within the answer")

    async def read_whole_body(
        self, max_bytes: int, on_progress: Callable[[int], object] | None = None
    ) -> bytes:
        """Returns the whole body.

        Args:
            max_bytes: Maximum size of the body.
            on_progress: Called after each received part with the size so far.

        Raises:
            CallError: The body is incomplete or above `max_bytes`.
        """
        # A list of the parts would take many times the memory of the body if
        # they are a few bytes each.
        body = bytearray()
        while data := await self.read_body_part():
            body += data
            if len(body) > max_bytes:
                raise CallError(f"the answer is above {max_bytes} bytes")
            if on_progress is not None:
                on_progress(len(body))
        return bytes(body)

    def _join_chunks(self, first: h11.Data) -> bytes:
        """Returns the data of a chunk and of those received with it."""
        data = bytearray(first.data)
        for _ in range(_MAX_JOINED_CHUNKS):
            try:
                event = self._codec.next_event()
            except h11.RemoteProtocolError:
                # The codec raises it again when the next part is read.
                break
            if event is h11.NEED_DATA:
                break
            if not isinstance(event, h11.Data):
                self._parsed_event = event
                break
            data += event.data
        return bytes(data)

    async def _next_event(self) -> _CodecEvent:
        if self._parsed_event is not None:
            event, self._parsed_event = self._parsed_event, None
            return event
        await self._time_slice.pause_if_over()
        try:
            while True:
                event = self._codec.next_event()
                if event is not h11.NEED_DATA:
                    return event
                has_to_wait = not self._channel.has_unread
                data = await self._channel.read()
                if has_to_wait:
                    self._time_slice.restart()
                self._codec.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise CallError(f"invalid answer: {error}") from error
        except ConnectionError as error:
            raise CallError(f"the connection broke: {error}") from error
