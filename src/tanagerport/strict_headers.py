"""Strict reading of HTTP request headers.

cheroot keeps the last of repeated headers and joins folded lines. Where
another program in the path does otherwise, the two disagree on where a
request ends, so that such requests are refused.
"""

import re
from collections.abc import MutableMapping
from typing import Protocol

_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e]*")
_DIGITS = re.compile(rb"[0-9]{1,15}")
_MAX_HEADERS = 100
# A second one of these would be dropped or joined to another meaning.
_SINGLE = frozenset(
    {
        b"Authorization",
        b"Content-Length",
        b"Content-Type",
        b"Expect",
        b"Host",
        b"Idempotency-Attempt",
        b"Idempotency-Key",
        b"Transfer-Encoding",
        b"X-Class",
        b"X-Customer",
        b"X-Deadline-Ms",
    }
)


class _Lines(Protocol):
    def readline(self, size: int | None = None) -> bytes:
        """Reads one line."""


def read_headers(
    lines: _Lines, headers: MutableMapping[bytes, bytes]
) -> MutableMapping[bytes, bytes]:
    """Reads headers up to the blank line.

    Args:
        lines: Bytes of the request after its first line.
        headers: Takes the headers, with names in title case.

    Raises:
        ValueError: A header is malformed or may be understood in two ways.
    """
    for _ in range(_MAX_HEADERS + 1):
        line = lines.readline()
        if not line.endswith(b"\r\n"):
            raise ValueError("header lines must end in CRLF")
        if line == b"\r\n":
            _check_length(headers)
            return headers
        name, value = _split(line[:-2])
        if b"_" in name:
            # WSGI would take it for the name with a hyphen.
            continue
        if name not in headers:
            headers[name] = value
        elif name in _SINGLE:
            raise ValueError(f"header {name.decode()} is repeated")
        else:
            headers[name] += b", " + value
    raise ValueError(f"more than {_MAX_HEADERS} headers")


def _split(line: bytes) -> tuple[bytes, bytes]:
    if line[:1] in (b" ", b"\t"):
        raise ValueError("folded header lines are not accepted")
    name, separator, value = line.partition(b":")
    if not separator or not _NAME.fullmatch(name):
        raise ValueError("malformed header name")
    value = value.strip(b" \t")
    if not _VALUE.fullmatch(value):
        raise ValueError(f"header {name.decode()} must be printable ASCII text")
    return name.title(), value


def _check_length(headers: MutableMapping[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    coding = headers.get(b"Transfer-Encoding")
    if length is not None and not _DIGITS.fullmatch(length):
        raise ValueError("Content-Length must be a decimal number")
    if coding is None:
        return
    if length is not None:
        raise ValueError(
            "Content-Length and Transfer-Encoding exclude each other"
        )
    if coding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding must be chunked")
