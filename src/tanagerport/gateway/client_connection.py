"""A connection of a client: reads its requests and has them handled."""

import asyncio
import contextlib
import enum
import time
from collections.abc import Callable

import h11

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.client_messages import (
    ClientRequest,
    ClientResponse,
    RequestHandler,
)
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits
from tanagerport.gateway.drain_record import DrainRecord, describe_response
from tanagerport.gateway.half_close import HalfCloseWatch
from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.request_errors import end_failed_request
from tanagerport.gateway.time_slices import TimeSlice
from tanagerport.refusals import Refusal, RefusalReason

# Colon, space and CRLF of a header field.
_FIELD_OVERHEAD_BYTES = 4
# Timeout for receiving a whole request body, in seconds.
_BODY_TIMEOUT_S = 30.0

# Maximum time for which the rest of a refused request is read, in seconds.
_DISCARD_TIMEOUT_S = 1.0

# Minimum time for which a client may read a response, in seconds: one that is
# given at the deadline.
_MIN_DELIVERY_S = 1.0

# Longest tick of the kernel's clock, in seconds: times that it tells may be too
# long by so much, and no deadline may pass early.
_KERNEL_TICK_S = 0.01

# Time in which a new connection counts as about to send its first request, in
# seconds: a few round trips between regions.
_FIRST_REQUEST_S = 0.3


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


class ClientConnection:
    """A client connection.

    Args:
        channel: The connection.
        handler: Handles the requests.
        get_limits: Returns the current limits.
        counters: Metrics of the process.
        log: Structured decision log.
        is_draining: Returns whether the connection closes after a response.
        closes_idle: Returns whether the connection closes once it is idle.
        drain_record: Records how requests end during a stop.
        earliest_arrival: Returns the monotonic time since which a request that
            is read now can have waited, in seconds.
    """

    def __init__(
        self,
        channel: Channel,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        counters: Counters,
        log: DecisionLog,
        is_draining: Callable[[], bool],
        closes_idle: Callable[[], bool],
        drain_record: DrainRecord,
        earliest_arrival: Callable[[], float],
    ) -> None:
        self._channel = channel
        self._handler = handler
        self._get_limits = get_limits
        # Limits for the request that is read, or for the wait for it.
        self._limits = get_limits()
        # Idle timeout that the client was told, which it may rely on.
        self._announced_s = 0
        self._counters = counters
        self._log = log
        self._is_draining = is_draining
        self._closes_idle = closes_idle
        self._drain_record = drain_record
        self._earliest_arrival = earliest_arrival
        self._is_idle = True
        self._idle_since = time.monotonic()
        # Response in progress, or the last one.
        self._response: ClientResponse | None = None
        self._request_count = 0
        self._time_slice = TimeSlice()
        self._request_expected_until = time.monotonic() + _FIRST_REQUEST_S
        self._codec = self._create_codec()

    @property
    def is_idle(self) -> bool:
        """Whether no request is expected and no response is unsent."""
        return (
            self._is_idle
            and time.monotonic() >= self._request_expected_until
            and not self._channel.has_unsent
            and not self._codec.trailing_data[0]
            and not self._channel.unread_bytes
        )

    @property
    def response_in_progress(self) -> ClientResponse | None:
        """Response that is being made or sent; None without a request."""
        if self._is_idle and not self._channel.has_unsent:
            return None
        return self._response

    def close_idle(self, cause: CloseCause) -> None:
        """Tells the client at once that the connection closes.

        A request that was sent before would be lost, so the caller checks
        `is_idle` in the same turn of the event loop.
        """
        self._channel.end_sending()
        self.record_close(cause)

    async def run(self) -> None:
        """Handles the requests of the connection in sequence."""
        try:
            while await self._handle_request():
                self._codec.start_next_cycle()
                if self._closes_idle() and self.is_idle:
                    # Its client, which was told nothing of the close, would
                    # send its next request to a node that stops.
                    self.close_idle(CloseCause.DRAINING)
                    return
                if self._channel.has_unread or self._codec.trailing_data[0]:
                    # The client sends requests without waiting for answers.
                    await self._time_slice.pause_if_over()
            if self._response is not None:
                await self._deliver(self._response)
        except asyncio.CancelledError:
            # The client disconnected, or the server is closing.
            self._channel.abort()
        except (ConnectionError, h11.LocalProtocolError) as error:
            self._record_error(error)
            self._channel.abort()
        finally:
            self._channel.close()

    def record_close(self, cause: CloseCause) -> None:
        """Records a close by the server, and what its client had sent."""
        if self._response is not None:
            self._response.is_closed_by_node = True
        self._counters.connections_closed[cause.value] += 1
        unread_bytes = self._channel.unread_bytes
        if (
            not unread_bytes
            and self._is_idle
            # The kernel delivers what it has taken after the close, too.
            and not self._channel.has_unsent
        ):
            return
        self._counters.connections_closed_early[cause.value] += 1
        self._log.warning(
            "connection_closed_early",
            cause=cause.value,
            unread_bytes=unread_bytes,
            is_idle=self._is_idle,
            idle_timeout_s=self._idle_timeout_s(),
            idle_s=round(time.monotonic() - self._idle_since, 3),
            unsent_bytes=self._channel.unacknowledged_bytes,
            **self._describe_response(),
        )

    def _record_error(self, error: Exception) -> None:
        """Records the loss of the connection."""
        if self._response is None or not self._channel.unacknowledged_bytes:
            self._log.debug("client_connection_error", error=str(error))
            return
        self._record_unsent("connection_error", error=str(error))

    def _record_unsent(self, cause: str, **fields: object) -> None:
        self._counters.answers_unsent[cause] += 1
        self._log.warning(
            "answer_unsent",
            cause=cause,
            unsent_bytes=self._channel.unacknowledged_bytes,
            **self._describe_response(),
            **fields,
        )

    def _describe_response(self) -> dict[str, object]:
        """Returns what the log tells of the response in progress, or last."""
        if self._response is None:
            return {}
        return describe_response(self._response)

    async def _handle_request(self) -> bool:
        """Handles one request; returns whether the connection stays open."""
        if not await self._wait_for_request():
            return False
        response = ClientResponse(
            self._channel,
            self._codec,
            self._must_close,
            self._announce_idle_timeout_s,
        )
        response.earlier_requests = self._request_count
        self._request_count += 1
        self._response = response
        try:
            return await self._respond(response)
        finally:
            closed_by = "" if self._channel.is_open else "client"
            if response.is_closed_by_node or response.is_aborted:
                closed_by = "node"
            self._drain_record.record_end(
                response,
                is_sent=not self._channel.has_unsent,
                closed_by=closed_by,
            )

    async def _respond(self, response: ClientResponse) -> bool:
        """Reads a request and has it handled.

        Returns:
            Whether the connection stays open.
        """
        try:
            request = await self._read_request()
            if request is None:
                return False
        except RequestReadError as error:
            self._log.refused("", error.refusal)
            response.refuse(error.refusal)
            await self._discard_input()
            return False
        except (ConnectionError, h11.LocalProtocolError):
            raise
        except Exception as error:  # Any fault gets a final answer.
            self._end_failed(error, response, may_have_run=False)
            await response.drain()
            return False
        task = asyncio.current_task()
        assert task is not None

        def leave() -> None:
            self._channel.set_close_callbacks(None, None)
            task.cancel()

        watch = HalfCloseWatch(self._channel, self._codec, response, leave)
        self._channel.set_close_callbacks(watch.start, leave)
        if self._channel.is_half_closed:
            watch.start()
        elif not self._channel.is_open:
            return False
        try:
            await self._handler.handle(request, response)
        except Exception as error:  # Any fault gets a final answer.
            self._end_failed(error, response, may_have_run=True)
        finally:
            self._channel.set_close_callbacks(None, None)
            watch.stop()
        await self._deliver(response)
        self._is_idle = True
        self._idle_since = time.monotonic()
        return (
            not response.is_aborted
            and self._codec.our_state is h11.DONE
            and self._codec.their_state is h11.DONE
        )

    async def _deliver(self, response: ClientResponse) -> None:
        """Waits until a response is sent, as long as its client may read it."""
        if response.is_aborted or not self._channel.has_unsent:
            return
        left_s = response.deliver_until - time.monotonic()
        try:
            async with asyncio.timeout(max(left_s, _MIN_DELIVERY_S)):
                await self._channel.flush()
        except TimeoutError:
            self._record_unsent("deadline")
            response.abort()

    async def _discard_input(self) -> None:
        """Reads on after a refusal of a request that is not whole.

        A close with unread bytes would reset the connection, and its client
        might lose the refusal.
        """
        self._channel.end_sending()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                while await self._read_channel():
                    await self._time_slice.pause_if_over()

    def _end_failed(
        self, error: Exception, response: ClientResponse, may_have_run: bool
    ) -> None:
        end_failed_request(
            error,
            "",
            response,
            self._counters,
            self._log,
            may_have_run=may_have_run,
        )

    def _must_close(self) -> bool:
        if self._codec.their_state not in (h11.DONE, h11.IDLE):
            return True
        # Requests that have come are answered before the connection closes.
        return self._is_draining() and not (
            self._codec.trailing_data[0] or self._channel.unread_bytes
        )

    async def _read_request(self) -> ClientRequest | None:
        head = await self._read_head()
        if head is None:
            return None
        received_at = self._find_arrival()
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
            time.monotonic(),
        )

    def _find_arrival(self) -> float:
        """Returns the time at which the request that is read now came.

        It may have waited in the kernel while the process stood still, and the
        time that its client gives it runs from its arrival.
        """
        now = time.monotonic()
        waited_s = max(self._channel.data_age_s - _KERNEL_TICK_S, 0)
        return min(max(now - waited_s, self._earliest_arrival()), now)

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
        while (limit_s := self._idle_timeout_s()) > idle_timeout_s:
            # The limit was raised while the client was idle.
            remaining_s = limit_s - idle_timeout_s
            idle_timeout_s = limit_s
            try:
                async with IoTimeout(remaining_s):
                    return await self._read_channel()
            except TimeoutError:
                if self._channel.unread_bytes:
                    # They came in the turn of the loop that ended the time.
                    return await self._read_channel()
        self.close_idle(CloseCause.IDLE_TIMEOUT)
        return b""

    def _idle_timeout_s(self) -> float:
        return max(self._get_limits().idle_timeout_s, self._announced_s)

    def _announce_idle_timeout_s(self) -> int:
        """Returns the idle timeout that the client is told, in seconds."""
        self._announced_s = int(self._get_limits().idle_timeout_s)
        return self._announced_s

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
