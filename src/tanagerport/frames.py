"""Answers as frames between nodes, checked for order and completeness."""

from collections.abc import Callable, Iterable, Iterator

import xxhash

from tanagerport.exceptions import AnswerTruncatedError, RefusedError
from tanagerport.model import Ran, Refusal, RefusalReason
from tanagerport.peer_pb2 import Frame, Header

_MAX_FRAME_BYTES = 65536
# Frames held back until the missing ones arrive.
_MAX_REORDERED = 64


class FrameWriter:
    """Numbers the frames of one answer.

    Args:
        request_id: Id that all frames carry.
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._sequence = 0
        self._digest = xxhash.xxh3_64()

    def head(
        self,
        status: int,
        content_type: str,
        headers: Iterable[tuple[str, str]] = (),
    ) -> Frame:
        """Returns the first frame, without data."""
        frame = self._next(b"")
        frame.status = status
        frame.content_type = content_type
        frame.headers.extend(
            Header(name=name, value=value) for name, value in headers
        )
        return frame

    def data(self, chunk: bytes) -> Iterator[Frame]:
        """Yields frames with the bytes of a chunk."""
        for start in range(0, len(chunk), _MAX_FRAME_BYTES):
            yield self._next(chunk[start : start + _MAX_FRAME_BYTES])

    def end(self) -> Frame:
        """Returns the last frame of a whole answer."""
        frame = self._next(b"")
        frame.last = True
        frame.frame_count = self._sequence
        frame.checksum = self._digest.intdigest()
        return frame

    def refusal(self, refusal: Refusal) -> Frame:
        """Returns the last frame of an answer that ends in a refusal."""
        frame = self.end()
        frame.reason = refusal.reason.value
        frame.message = refusal.message
        frame.ran = refusal.ran.value
        return frame

    def _next(self, data: bytes) -> Frame:
        self._digest.update(data)
        frame = Frame(
            request_id=self._request_id, sequence=self._sequence, data=data
        )
        self._sequence += 1
        return frame


class FrameReader:
    """Yields the frames of one answer in order.

    Args:
        request_id: Frames of other requests are dropped.
        on_late: Called for each dropped frame.
    """

    def __init__(
        self, request_id: str, on_late: Callable[[], None] | None = None
    ) -> None:
        self._request_id = request_id
        self._on_late = on_late
        self._next = 0
        self._held: dict[int, Frame] = {}
        self._digest = xxhash.xxh3_64()
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the last frame was read and all others before it."""
        return self._is_complete

    def feed(self, frame: Frame) -> Iterator[Frame]:
        """Takes a frame and yields those that are now in order.

        Raises:
            AnswerTruncatedError: Frames are missing or damaged.
            RefusedError: The answer ends in a refusal.
        """
        if (
            frame.request_id != self._request_id
            or frame.sequence < self._next
            or frame.sequence in self._held
            or self._is_complete
        ):
            if self._on_late is not None:
                self._on_late()
            return
        self._held[frame.sequence] = frame
        while self._next in self._held:
            ready = self._held.pop(self._next)
            self._next += 1
            self._digest.update(ready.data)
            if ready.last:
                self._check_end(ready)
            yield ready
        if len(self._held) > _MAX_REORDERED:
            raise AnswerTruncatedError(
                f"frame {self._next} did not arrive before "
                f"{_MAX_REORDERED} later ones"
            )

    def end(self) -> None:
        """Takes the end of the stream.

        Raises:
            AnswerTruncatedError: Frames are missing.
        """
        if not self._is_complete:
            raise AnswerTruncatedError(
                f"stream of frames ended before frame {self._next}"
            )

    def _check_end(self, frame: Frame) -> None:
        if (
            frame.frame_count != self._next
            or frame.checksum != self._digest.intdigest()
        ):
            raise AnswerTruncatedError("frames are missing or damaged")
        self._is_complete = True
        if frame.reason:
            raise RefusedError(_refusal_of(frame))


def read_frames(
    frames: Iterable[Frame], reader: FrameReader
) -> Iterator[Frame]:
    """Yields frames in order and checks that all arrived.

    Raises:
        AnswerTruncatedError: Frames are missing or damaged.
        RefusedError: The answer ends in a refusal.
    """
    for frame in frames:
        yield from reader.feed(frame)
        if reader.is_complete:
            return
    reader.end()


def _refusal_of(frame: Frame) -> Refusal:
    try:
        reason = RefusalReason(frame.reason)
    except ValueError:
        reason = RefusalReason.INTERNAL
    # Anything but a clear "no" proves nothing.
    ran = Ran.NO if frame.ran == Ran.NO.value else Ran.UNKNOWN
    return Refusal(reason, frame.message, ran)
