"""Which numbers are statuses of HTTP (RFC 9110, section 15)."""

import re

_MIN_STATUS = 100
_MAX_STATUS = 599
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}(?: |\r?\n)")


def is_status(number: int) -> bool:
    """Returns whether a number is a status."""
    return _MIN_STATUS <= number <= _MAX_STATUS


def is_status_line(line: bytes) -> bool:
    """Returns whether a line has the form of a status line.

    Its number may still be none of a status.
    """
    return _STATUS_LINE.match(line) is not None
