"""Decoders of HTTP message bodies that arrive in pieces.

`http.client` returns at most one chunk a call, which costs a call for each
token. These decoders return all that one read of the socket brought.
"""

import enum
import http.client
import re
from typing import Protocol

from tanagerport.exceptions import AnswerTruncatedError

_MAX_SIZE_LINE = 256
_MAX_TRAILER_BYTES = 8192
_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")


class BodyDecoder(Protocol):
    """Takes bytes of a connection and returns bytes of the body."""

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was decoded."""

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another call."""

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes and returns what they add to the body.

        Raises:
            AnswerTruncatedError: The bytes are not a valid body.
        """

    def end(self) -> None:
        """Takes the end of the connection.

        Raises:
            AnswerTruncatedError: The body was not complete.
        """


class LengthDecoder:
    """Body of a stated length.

    Args:
        length: Number of bytes.
    """

    def __init__(self, length: int) -> None:
        self._length = length
        self._left = length
        self._has_excess = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was decoded."""
        return self._left == 0

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another call."""
        return self.is_complete and not self._has_excess

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes and returns what they add to the body."""
        self._has_excess |= len(data) > self._left
        body = data[: self._left]
        self._left -= len(body)
        return body

    def end(self) -> None:
        """Takes the end of the connection."""
        if self._left:
            received = self._length - self._left
            raise AnswerTruncatedError(
                f"answer has {received} of {self._length} announced bytes"
            )


class UnboundedDecoder:
    """Body that ends with the connection."""

    def __init__(self) -> None:
        self._ended = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was decoded."""
        return self._ended

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another call."""
        return False

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes and returns what they add to the body."""
        return data

    def end(self) -> None:
        """Takes the end of the connection."""
        self._ended = True


class _State(enum.Enum):
    SIZE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()
    DONE = enum.auto()


class ChunkedDecoder:
    """Body in the chunked transfer coding."""

    def __init__(self) -> None:
        self._state = _State.SIZE
        self._pending = b""
        self._left = 0
        self._trailer_bytes = 0

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was decoded."""
        return self._state is _State.DONE

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another call."""
        return self.is_complete and not self._pending

    def feed(self, data: bytes) -> bytes:
        """Takes the next bytes and returns what they add to the body."""
        if self._pending:
            data = self._pending + data
        elif self._state is _State.SIZE:
            # Most reads bring one token, which engines send as one chunk.
            line_end = data.find(b"\r\n")
            if line_end > 0 and data.endswith(b"\r\n"):
                size = _parse_size(data[:line_end])
                if size and line_end + size + 4 == len(data):
                    return data[line_end + 2 : -2]
        parts = []
        position, end = 0, len(data)
        while position < end and self._state is not _State.DONE:
            if self._state is _State.DATA:
                taken = min(self._left, end - position)
                parts.append(data[position : position + taken])
                position += taken
                self._left -= taken
                if self._left == 0:
                    self._state = _State.DATA_END
                continue
            line_end = data.find(b"\r\n", position)
            if line_end < 0:
                if end - position > _MAX_SIZE_LINE:
                    raise _malformed(data[position:])
                break
            self._take_line(data[position:line_end])
            position = line_end + 2
        self._pending = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def end(self) -> None:
        """Takes the end of the connection."""
        if not self.is_complete:
            raise AnswerTruncatedError(
                "connection closed within a chunked answer"
            )

    def _take_line(self, line: bytes) -> None:
        if self._state is _State.SIZE:
            self._left = _parse_size(line)
            self._state = _State.DATA if self._left else _State.TRAILER
        elif self._state is _State.DATA_END:
            if line:
                raise _malformed(line)
            self._state = _State.SIZE
        elif line:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > _MAX_TRAILER_BYTES:
                raise _malformed(line)
        else:
            self._state = _State.DONE


def _parse_size(line: bytes) -> int:
    digits = line.split(b";", 1)[0].strip()
    # int() also takes signs, underscores and a 0x prefix.
    if not _SIZE.fullmatch(digits):
        raise _malformed(line)
    return int(digits, 16)


def _malformed(line: bytes) -> AnswerTruncatedError:
    return AnswerTruncatedError(f"malformed chunk of the answer: {line[:40]!r}")


def choose_decoder(response: http.client.HTTPResponse) -> BodyDecoder:
    """Returns the decoder of the body that follows a head."""
    if response.fp is None:
        return LengthDecoder(0)
    if response.chunked:
        return ChunkedDecoder()
    if response.length is not None:
        return LengthDecoder(response.length)
    return UnboundedDecoder()
