"""Relay of an engine's event stream, checked for completeness."""

import re
from collections.abc import Callable, Iterable, Iterator

import msgspec

from tanagerport.exceptions import AnswerTruncatedError

_EVENT_END = b"\n\n"
_END_MARKER = b"data: [DONE]\n\n"
# Quotes within JSON strings are escaped, so that text of the answer can't
# look like these fields.
_POSITION = re.compile(rb'"n":\s*(\d+)')
_USAGE = re.compile(rb'"usage":\s*(\{[^{}]*\})')
_DELTA = b'"delta"'
_USAGE_FIELD = b'"usage"'
# The usage event and the end marker fit into this many bytes.
_RECENT_BYTES = 4096
_MAX_EVENT_BYTES = 1024 * 1024


class Usage(msgspec.Struct, frozen=True):
    """Token counts that an engine reports.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Of these, tokens that the engine had cached.
        completion_tokens: Tokens of the answer.
    """

    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class _Choice(msgspec.Struct):
    n: int | None = None


class _Event(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []


class _Document(msgspec.Struct):
    usage: Usage | None = None


_USAGE_DECODER = msgspec.json.Decoder(Usage)
_EVENT_DECODER = msgspec.json.Decoder(_Event)
_DOCUMENT_DECODER = msgspec.json.Decoder(_Document)


class EventCheck:
    """Passes whole events on while they are complete and in order.

    Events are relayed as they came. Only their positions and ids are
    scanned; an event is parsed only where the scan finds a foreign id.

    Args:
        request_id: Id that all events carry; empty accepts any.
        on_late: Called for each dropped event of another request.
    """

    def __init__(
        self,
        request_id: str = "",
        on_late: Callable[[], None] | None = None,
    ) -> None:
        self._request_id = request_id
        self._id_bytes = f'"{request_id}"'.encode()
        self._on_late = on_late
        self._partial = b""
        self._recent = b""
        self._tokens = 0
        self._is_complete = False

    @property
    def tokens(self) -> int:
        """Number of token events seen."""
        return self._tokens

    @property
    def is_complete(self) -> bool:
        """Whether the end marker was seen."""
        return self._is_complete

    @property
    def usage(self) -> Usage:
        """Token counts of a complete stream; zeros where absent."""
        found = _USAGE.findall(self._recent)
        if not found:
            return Usage(completion_tokens=self._tokens)
        return _parse_usage(found[-1])

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes and returns the whole events among them.

        Bytes after the end marker are dropped.

        Raises:
            AnswerTruncatedError: Events are missing, repeated or malformed.
        """
        if self._is_complete:
            return b""
        if self._partial:
            data = self._partial + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            if len(data) > _MAX_EVENT_BYTES:
                raise AnswerTruncatedError(
                    f"an event is longer than {_MAX_EVENT_BYTES} bytes"
                )
            self._partial = data
            return b""
        end += len(_EVENT_END)
        events, self._partial = data[:end], data[end:]
        return self._check(events)

    def end(self) -> None:
        """Takes the end of the stream.

        Raises:
            AnswerTruncatedError: The end marker did not come.
        """
        if not self._is_complete:
            raise AnswerTruncatedError(
                f"event stream ended without [DONE] after {self._tokens} tokens"
            )

    def _check(self, events: bytes) -> bytes:
        marker = events.find(_END_MARKER)
        # Only at the start of an event is it the marker.
        if marker == 0 or (
            marker > 0 and events[marker - 2 : marker] == _EVENT_END
        ):
            events = events[: marker + len(_END_MARKER)]
            self._is_complete = True
        if self._request_id:
            expected = events.count(_EVENT_END) - self._is_complete
            if events.count(self._id_bytes) < expected:
                events = self._drop_foreign(events)
        self._check_positions(events)
        self._recent = (self._recent + events)[-_RECENT_BYTES:]
        return events

    def _check_positions(self, events: bytes) -> None:
        positions = _POSITION.findall(events)
        if len(positions) < events.count(_DELTA):
            raise AnswerTruncatedError("a token event has no position")
        for position in positions:
            if int(position) != self._tokens:
                raise AnswerTruncatedError(
                    f"event {int(position)} arrived in place of event "
                    f"{self._tokens}"
                )
            self._tokens += 1
        if _USAGE_FIELD in events:
            self._check_usage(events)

    def _check_usage(self, events: bytes) -> None:
        """Compares the engine's count, which shows a lost last token."""
        for usage in map(_parse_usage, _USAGE.findall(events)):
            if usage.completion_tokens not in (0, self._tokens):
                raise AnswerTruncatedError(
                    f"{self._tokens} of {usage.completion_tokens} tokens "
                    "arrived"
                )

    def _drop_foreign(self, events: bytes) -> bytes:
        """Returns the events without those of other requests."""
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            if event != _END_MARKER.rstrip() and self._is_foreign(event):
                if self._on_late is not None:
                    self._on_late()
                continue
            kept.append(event + _EVENT_END)
        return b"".join(kept)

    def _is_foreign(self, event: bytes) -> bool:
        try:
            parsed = _EVENT_DECODER.decode(event.removeprefix(b"data: "))
        except msgspec.DecodeError:
            # Comments and other fields of server-sent events carry no id.
            return False
        return bool(parsed.id) and parsed.id != self._request_id


def _parse_usage(document: bytes) -> Usage:
    try:
        return _USAGE_DECODER.decode(document)
    except msgspec.DecodeError as error:
        raise AnswerTruncatedError(f"malformed usage: {error}") from error


def relay_events(chunks: Iterable[bytes], check: EventCheck) -> Iterator[bytes]:
    """Yields the whole events of a stream and checks its end.

    Args:
        chunks: Bytes of the upstream's answer.
        check: Collects what is known of the answer.

    Yields:
        Bytes of one or more whole events.

    Raises:
        AnswerTruncatedError: The stream is not whole.
    """
    for chunk in chunks:
        events = check.feed(chunk)
        if events:
            yield events
    check.end()


def document_usage(body: bytes) -> Usage:
    """Returns the token counts of a JSON answer.

    Raises:
        AnswerTruncatedError: The body is not a whole JSON answer.
    """
    try:
        return _DOCUMENT_DECODER.decode(body).usage or Usage()
    except msgspec.DecodeError as error:
        raise AnswerTruncatedError(f"answer is not JSON: {error}") from error
