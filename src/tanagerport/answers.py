"""Whole answers that are kept for a while and replayed to resends."""

import collections
import dataclasses
import enum
import socket
import threading
from collections.abc import Iterator, Sequence
from typing import Protocol

from tanagerport.clock import Clock

_KEEP_S = 60.0
_MAX_BYTES = 16 * 1024 * 1024
# One long answer must not displace all others.
_MAX_ANSWER_BYTES = 1024 * 1024
_MAX_IN_PROGRESS = 10_000
# Ids of a claim window: 35 requests/s for 600 s at the planned size.
_MAX_FINISHED = 30_000


class Answer(Protocol):
    """Answer to a caller; the body must be iterated or closed."""

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> Sequence[tuple[str, str]]:
        """HTTP headers for the caller."""

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UpstreamError: The answer is not whole.
        """

    def relay_rest(self, caller: socket.socket) -> None:
        """Writes the rest of the body to the caller's socket, if it can.

        What it does not write, the iteration yields.

        Raises:
            UpstreamError: The answer is not whole.
        """

    def close(self) -> None:
        """Ends an answer that was not read to its end."""


class AnswerState(enum.StrEnum):
    """What a node knows of a request that it took."""

    IN_PROGRESS = "in_progress"
    KEPT = "kept"
    FINISHED = "finished"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class KeptAnswer:
    """A whole answer.

    Attributes:
        customer: Customer that may get it.
        status: HTTP status.
        content_type: Content type of the body.
        chunks: Body as it was relayed.
        kept_at: Monotonic seconds.
    """

    customer: str
    status: int
    content_type: str
    chunks: Sequence[bytes]
    kept_at: float

    @property
    def size(self) -> int:
        """Bytes of the body."""
        return sum(map(len, self.chunks))


class AnswerRecorder:
    """Collects one answer while it is relayed."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._chunks: list[bytes] | None = []
        self._size = 0

    def add(self, chunk: bytes) -> None:
        """Adds bytes; an answer over the bound is not kept."""
        if self._chunks is None:
            return
        self._size += len(chunk)
        if self._size > self._max_bytes:
            self._chunks = None
            return
        self._chunks.append(chunk)

    @property
    def chunks(self) -> Sequence[bytes] | None:
        """Collected bytes; None when there were too many."""
        return self._chunks


class AnswerKeeper:
    """Answers of requests with a key.

    Args:
        clock: Source of time.
        keep_s: How long an answer is kept, in seconds.
        max_bytes: Bound of all kept bodies; the oldest are dropped.
        max_answer_bytes: Longer answers are not kept.
    """

    def __init__(
        self,
        clock: Clock,
        keep_s: float = _KEEP_S,
        max_bytes: int = _MAX_BYTES,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
    ) -> None:
        self._clock = clock
        self._keep_s = keep_s
        self._max_bytes = max_bytes
        self._max_answer_bytes = max_answer_bytes
        self._lock = threading.Lock()
        self._in_progress: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._kept: collections.OrderedDict[str, KeptAnswer] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        self._finished: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def kept_bytes(self) -> int:
        """Bytes of all kept bodies."""
        return self._bytes

    def start(self, request_id: str) -> AnswerRecorder:
        """Notes a request in progress and returns its recorder."""
        with self._lock:
            self._in_progress[request_id] = None
            if len(self._in_progress) > _MAX_IN_PROGRESS:
                self._in_progress.popitem(last=False)
        return AnswerRecorder(self._max_answer_bytes)

    def finish(
        self,
        request_id: str,
        customer: str,
        status: int,
        content_type: str,
        recorder: AnswerRecorder,
    ) -> None:
        """Keeps a whole answer."""
        chunks = recorder.chunks
        with self._lock:
            self._in_progress.pop(request_id, None)
            self._finished[request_id] = None
            if len(self._finished) > _MAX_FINISHED:
                self._finished.popitem(last=False)
            if chunks is None:
                return
            answer = KeptAnswer(
                customer,
                status,
                content_type,
                chunks,
                self._clock.monotonic(),
            )
            self._kept[request_id] = answer
            self._bytes += answer.size
            self._drop_old()

    def abandon(self, request_id: str) -> None:
        """Notes that a request ended without a whole answer."""
        with self._lock:
            self._in_progress.pop(request_id, None)

    def state(self, request_id: str) -> AnswerState:
        """Returns what is known of a request."""
        with self._lock:
            self._drop_old()
            if request_id in self._kept:
                return AnswerState.KEPT
            if request_id in self._in_progress:
                return AnswerState.IN_PROGRESS
            if request_id in self._finished:
                return AnswerState.FINISHED
            return AnswerState.UNKNOWN

    def get(self, request_id: str) -> KeptAnswer | None:
        """Returns a kept answer."""
        with self._lock:
            self._drop_old()
            return self._kept.get(request_id)

    def _drop_old(self) -> None:
        oldest = self._clock.monotonic() - self._keep_s
        while self._kept:
            request_id = next(iter(self._kept))
            answer = self._kept[request_id]
            if self._bytes <= self._max_bytes and answer.kept_at > oldest:
                return
            del self._kept[request_id]
            self._bytes -= answer.size
