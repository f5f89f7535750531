"""Server-sent events in a stream of bytes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event with the bytes that carried it.

    Attributes:
        raw: Bytes with the empty line that ends the event.
        event_id: Value of its `id` field; None without one.
    """

    raw: bytes
    event_id: int | None


class EventSplitter:
    """Splits bytes into whole events."""

    def __init__(self) -> None:
        self._partial = b""

    @property
    def partial(self) -> bytes:
        """Bytes of an event whose end has not arrived."""
        return self._partial

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that the bytes complete."""
        buffered = self._partial + data
        events = []
        start = 0
        while True:
            end = buffered.find(b"\n\n", start)
            if end < 0:
                break
            raw = buffered[start : end + 2]
            events.append(StreamEvent(raw, _event_id(raw)))
            start = end + 2
        self._partial = buffered[start:]
        return events


def _event_id(raw: bytes) -> int | None:
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
