"""Answer of an upstream, on its way to the caller."""

import dataclasses
import socket
from collections.abc import Callable, Iterator, Sequence

from tanagerport.answer_headers import service_answer_headers
from tanagerport.answers import AnswerRecorder
from tanagerport.clock import Clock
from tanagerport.dispatch_control import UpstreamDispatchControl
from tanagerport.exceptions import (
    AnswerInterruptedError,
    AnswerTruncatedError,
    CallerGoneError,
    UpstreamError,
)
from tanagerport.model import RefusalReason, Request, UpstreamKind
from tanagerport.relay import (
    EventCheck,
    Usage,
    document_usage,
    relay_events,
)
from tanagerport.scheduler import Outcome
from tanagerport.stream_pump import PumpedStream, StreamPump
from tanagerport.upstream_client import (
    REQUEST_ID_HEADER,
    VERSION_HEADER,
    UpstreamAnswer,
)

# Documents up to this size are read whole before the status line is sent.
MAX_WHOLE_BYTES = 1024 * 1024
_EVENT_STREAM = "text/event-stream"


@dataclasses.dataclass(frozen=True)
class DispatchEnd:
    """How a dispatch ended.

    Attributes:
        outcome: What the scheduler learns.
        status: HTTP status of the upstream; 0 when none arrived.
        version: Version that the upstream stated.
        reason: Why the node or the caller ended it; None when neither did.
        caller_gone: Whether the caller closed its connection.
    """

    outcome: Outcome
    status: int = 0
    version: str = ""
    reason: RefusalReason | None = None
    caller_gone: bool = False


class DispatchedAnswer:
    """Answer of an upstream; the body must be iterated or closed.

    Args:
        request: Request that is answered.
        upstream: Answer whose headers have arrived.
        control: Control over the dispatch.
        clock: Source of time.
        dispatched_at: Monotonic seconds of the dispatch.
        on_end: Called once with the end of the dispatch.
        on_late: Called for each dropped event of another request.
        recorder: Collects the body; None when it is not kept.
        pump: Relays streams to callers' sockets; None relays them here.
    """

    def __init__(
        self,
        request: Request,
        upstream: UpstreamAnswer,
        control: UpstreamDispatchControl,
        clock: Clock,
        dispatched_at: float,
        on_end: Callable[[DispatchEnd], None],
        on_late: Callable[[], None],
        recorder: AnswerRecorder | None = None,
        pump: StreamPump | None = None,
    ) -> None:
        self._request = request
        self._pump = pump
        self._upstream = upstream
        self._control = control
        self._clock = clock
        self._dispatched_at = dispatched_at
        self._on_end = on_end
        self._recorder = recorder
        self._is_engine = request.work_class.kind is UpstreamKind.ENGINE
        self._content_type = (
            upstream.headers.get("Content-Type") or "application/octet-stream"
        )
        self._check: EventCheck | None = None
        if self.is_event_stream:
            self._check = EventCheck(request.request_id, on_late)
        self._whole: bytes | None = None
        self._prefix: list[bytes] = []
        self._usage = Usage()
        # A document's first byte comes with its headers.
        self._first_byte_at = (
            None if self.is_event_stream else clock.monotonic()
        )
        self._finished = False
        control.follow(self)

    @property
    def first_token_s(self) -> float | None:
        """Seconds from dispatch to the first byte; None before it."""
        if self._first_byte_at is None:
            return None
        return self._first_byte_at - self._dispatched_at

    @property
    def output_tokens(self) -> int:
        """Tokens received so far."""
        if self._check is None:
            return self._usage.completion_tokens
        return self._usage.completion_tokens or self._check.tokens

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._upstream.status

    @property
    def is_event_stream(self) -> bool:
        """Whether this is a stream of tokens from an engine."""
        return (
            self._is_engine
            and self.status == 200
            and self._content_type.startswith(_EVENT_STREAM)
        )

    @property
    def content_type(self) -> str:
        """Content type of the body."""
        return self._content_type

    @property
    def headers(self) -> Sequence[tuple[str, str]]:
        """HTTP headers for the caller."""
        upstream = self._upstream.headers
        if self._is_engine:
            headers = [("Content-Type", self._content_type)]
            version = upstream.get(VERSION_HEADER)
            if version:
                headers.append((VERSION_HEADER, version))
        else:
            headers = list(service_answer_headers(upstream))
        headers.append((REQUEST_ID_HEADER, self._request.request_id))
        length = upstream.get("Content-Length")
        if self._whole and self._request.method != "HEAD":
            length = str(len(self._whole))
        if length is not None and self.status not in (204, 304):
            headers.append(("Content-Length", length))
        return headers

    def prepare(self) -> None:
        """Checks what can be checked before the status line is sent.

        Raises:
            UpstreamError: The answer is not whole or not of this request.
        """
        try:
            self._prepare()
        except UpstreamError as error:
            self._fail(error)
            raise

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AnswerTruncatedError: The upstream's answer is not whole.
            AnswerInterruptedError: The node ended the answer.
            CallerGoneError: The caller closed its connection.
        """
        if self._whole is not None:
            if self._whole:
                yield self._whole
            self._succeed()
            return
        try:
            yield from self._relay()
        except UpstreamError as error:
            self._fail(error)
            raise
        self._succeed()

    def relay_rest(self, caller: socket.socket) -> None:
        """Writes the rest of a stream to the caller's socket.

        The iteration then ends without further bytes.

        Args:
            caller: Socket on which the head and the bytes so far were sent,
                in the chunked transfer coding.

        Raises:
            UpstreamError: As the iteration does.
        """
        if self._pump is None or self._check is None:
            return
        stream = PumpedStream(self._upstream, caller, self._take)
        try:
            self._pump.relay(stream)
        except UpstreamError as error:
            self._fail(error)
            caller.settimeout(None)
            if not isinstance(error, CallerGoneError):
                caller.sendall(stream.backlog)
            raise
        caller.settimeout(None)

    def _take(self, body: bytes) -> bytes:
        if self._check is None:
            return body
        events = self._check.feed(body)
        self._record(events)
        return events

    def abort(self, error: UpstreamError) -> None:
        """Ends an answer that is of no use to the caller."""
        self._fail(error)

    def close(self) -> None:
        """Ends an answer that was not read to its end."""
        if not self._finished:
            self._fail(CallerGoneError("the caller stopped reading"))

    def _prepare(self) -> None:
        if self._is_engine and self.status == 200:
            echoed = self._upstream.headers.get(REQUEST_ID_HEADER)
            if echoed != self._request.request_id:
                raise AnswerTruncatedError(
                    f"the upstream answered request {echoed!r}"
                )
        is_stream = self._content_type.startswith(_EVENT_STREAM)
        if is_stream or self._is_long():
            return
        size = 0
        while chunk := self._upstream.read():
            self._prefix.append(chunk)
            size += len(chunk)
            if size > MAX_WHOLE_BYTES:
                return
        self._whole = b"".join(self._prefix)
        self._record(self._whole)
        if self._is_engine and self.status == 200:
            self._usage = document_usage(self._whole)

    def _is_long(self) -> bool:
        length = self._upstream.headers.get("Content-Length", "0")
        return length.isdigit() and int(length) > MAX_WHOLE_BYTES

    def _relay(self) -> Iterator[bytes]:
        chunks = self._upstream.chunks()
        if self._check is not None:
            chunks = relay_events(chunks, self._check)
        for chunk in self._prefix:
            self._record(chunk)
            yield chunk
        for chunk in chunks:
            if self._first_byte_at is None:
                self._first_byte_at = self._clock.monotonic()
            if self._recorder is not None:
                self._recorder.add(chunk)
            yield chunk
        if self._check is not None:
            self._usage = self._check.usage

    def _record(self, chunk: bytes) -> None:
        if self._recorder is not None and chunk:
            self._recorder.add(chunk)

    def _succeed(self) -> None:
        if self._finished:
            return
        self._upstream.release()
        self._finish(DispatchEnd(self._outcome(complete=True)))

    def _fail(self, error: UpstreamError) -> None:
        if self._finished:
            return
        self._upstream.close()
        # The engine may go on generating for a connection it can't see.
        self._control.cancel_at_upstream()
        reason = None
        if isinstance(error, AnswerInterruptedError):
            reason = RefusalReason(error.reason)
        self._finish(
            DispatchEnd(
                self._outcome(complete=False),
                reason=reason,
                caller_gone=isinstance(error, CallerGoneError),
            )
        )

    def _finish(self, end: DispatchEnd) -> None:
        self._finished = True
        self._on_end(
            dataclasses.replace(
                end,
                status=self.status,
                version=self._upstream.headers.get(VERSION_HEADER, ""),
            )
        )

    def _outcome(self, complete: bool) -> Outcome:
        return Outcome(
            complete=complete,
            first_token_s=self.first_token_s,
            duration_s=self._clock.monotonic() - self._dispatched_at,
            output_tokens=self.output_tokens,
            cached_tokens=self._usage.cached_tokens,
        )
