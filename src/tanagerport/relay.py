"""Relay of an engine's answer, checked for completeness."""

from collections.abc import Iterator

from tanagerport.exceptions import AnswerTruncatedError

_END_MARKER = b"data: [DONE]"
# The marker and its line ends fit into this many trailing bytes.
_TAIL_BYTES = 32


class AnswerCheck:
    """Watches the bytes of a server-sent-event answer.

    The bytes are relayed unparsed; only the count of events and the end
    marker are read.
    """

    def __init__(self) -> None:
        self._tail = b""
        self._events = 0

    @property
    def events(self) -> int:
        """Number of events seen, with the end marker."""
        return self._events

    @property
    def is_complete(self) -> bool:
        """Whether the end marker was the last event."""
        return self._tail.rstrip().endswith(_END_MARKER)

    def update(self, chunk: bytes) -> None:
        """Takes the next bytes of the answer."""
        # An event's blank line may be split between two chunks.
        overlap = self._tail[-1:]
        self._events += (overlap + chunk).count(b"\n\n")
        self._tail = (self._tail + chunk)[-_TAIL_BYTES:]


def relay_events(
    chunks: Iterator[bytes], check: AnswerCheck
) -> Iterator[bytes]:
    """Yields the chunks of an event stream and checks its end.

    Args:
        chunks: Bytes of the upstream's answer.
        check: Collects what is known of the answer.

    Yields:
        The bytes as they came.

    Raises:
        AnswerTruncatedError: The stream ended without its end marker.
    """
    for chunk in chunks:
        check.update(chunk)
        yield chunk
    if not check.is_complete:
        raise AnswerTruncatedError("event stream ended without [DONE]")
