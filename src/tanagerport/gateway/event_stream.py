"""Parsing of server-sent events."""

import dataclasses
import re

_EVENT_END = b"\n\n"
_LINE_FEEDS = re.compile(rb"\n*")
# Ids up to this length have 64 bits. `int` refuses very long numbers.
_MAX_ID_DIGITS = 18
# Stands for all longer ids; no sequence of events reaches it.
_LONG_ID = 10**_MAX_ID_DIGITS


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """A server-sent event.

    Attributes:
        raw: Bytes of the event, including the empty line at its end.
        event_id: Value of its `id` field; None if there is no numeric one.
    """

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Splits a byte stream into complete events.

    Blank lines before an event are part of it. They are no events of their own,
    so an endless sequence of them is an event that never ends.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Number of line feeds at the start of the buffer.
        self._blank_length = 0

    @property
    def partial(self) -> bytes:
        """Bytes of the last event, whose end has not been received."""
        return bytes(self._buffer)

    @property
    def partial_length(self) -> int:
        """Length of `partial`, in bytes."""
        return len(self._buffer)

    @property
    def is_within_event(self) -> bool:
        """Whether other bytes than blank lines follow the last event."""
        return len(self._buffer) > self._blank_length

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds received bytes; returns the events that are now complete."""
        buffer = self._buffer
        known_length = len(buffer)
        buffer += data
        if known_length == self._blank_length:
            self._blank_length = _skip_line_feeds(buffer, known_length)
        events = []
        start = 0
        # Bytes that were searched before aren't searched again: the time for an
        # event would grow with the square of the number of its parts.
        search_start = max(known_length - 1, self._blank_length)
        while (end := buffer.find(_EVENT_END, search_start)) >= 0:
            end += len(_EVENT_END)
            raw = bytes(buffer[start:end])
            events.append(StreamEvent(raw, _event_id(raw)))
            start = end
            search_start = _skip_line_feeds(buffer, start)
            self._blank_length = search_start - start
        del buffer[:start]
        return events


def _skip_line_feeds(buffer: bytearray, start: int) -> int:
    """Returns the index of the first other byte at or after `start`."""
    match = _LINE_FEEDS.match(buffer, start)
    return start if match is None else match.end()


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if not value.isdigit():
                return None
            return int(value) if len(value) <= _MAX_ID_DIGITS else _LONG_ID
    return None
