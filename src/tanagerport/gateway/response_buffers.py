"""Memory of responses that are buffered until they are complete.

A response, and an event of a stream, may be up to a limit in size. Hundreds of
faulty ones at the same time would still use up the memory of a node, and end
the requests of all its clients with it.
"""

import contextlib
from collections.abc import Callable, Iterator

# Memory for the incomplete responses of a process, in bytes. Sound responses
# are some kilobytes each.
_MAX_TOTAL_BYTES = 32 * 1024 * 1024


class ResponseBuffer:
    """Part of the memory that one response takes.

    Args:
        on_eviction: Called when the response has to give up its memory.
    """

    def __init__(self, on_eviction: Callable[[], object]) -> None:
        self._on_eviction = on_eviction
        self.size = 0
        self._is_evicted = False

    @property
    def is_evicted(self) -> bool:
        """Whether the response had to give up its memory."""
        return self._is_evicted

    def evict(self) -> None:
        """Takes the memory away."""
        self._is_evicted = True
        self.size = 0
        self._on_eviction()


class ResponseBuffers:
    """Limits the memory of all incomplete responses of a process.

    The largest one is evicted if they exceed the limit together, as it is the
    least likely to be sound.

    Args:
        max_total_bytes: Limit, in bytes.
    """

    def __init__(self, max_total_bytes: int = _MAX_TOTAL_BYTES) -> None:
        self._max_total_bytes = max_total_bytes
        self._buffers: set[ResponseBuffer] = set()
        self._total_bytes = 0
        self._evictions = 0

    @property
    def total_bytes(self) -> int:
        """Bytes that are buffered."""
        return self._total_bytes

    @property
    def evictions(self) -> int:
        """Number of responses that had to give up their memory."""
        return self._evictions

    @contextlib.contextmanager
    def open(
        self, on_eviction: Callable[[], object]
    ) -> Iterator[ResponseBuffer]:
        """Opens the buffer of a response, and frees its memory at the end.

        Args:
            on_eviction: Called when the response has to give up its memory.
        """
        buffer = ResponseBuffer(on_eviction)
        self._buffers.add(buffer)
        try:
            yield buffer
        finally:
            self._buffers.discard(buffer)
            self._total_bytes -= buffer.size

    def resize(self, buffer: ResponseBuffer, size: int) -> None:
        """Sets the size of a buffer, in bytes; may evict any of them."""
        if buffer.is_evicted:
            return
        self._total_bytes += size - buffer.size
        buffer.size = size
        while self._total_bytes > self._max_total_bytes:
            largest = max(self._buffers, key=lambda entry: entry.size)
            self._total_bytes -= largest.size
            self._evictions += 1
            largest.evict()
