"""Decoding of data that other programs write."""

import ipaddress
from typing import Annotated, Protocol, TypeVar

import msgspec

# Maximum length of a quotation of untrusted data in errors and log lines. It
# leaves room for a name and the reason.
_MAX_QUOTATION_CHARS = 200


# Maximum of counts and versions. Floats are exact up to it, and a thousand of
# them can be summed and still be encoded in 64 bits.
MAX_INTEGER = 2**53
# Types of numbers in messages between nodes. Times can't be NaN or infinite.
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Seconds = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]

_T = TypeVar("_T")
_T_co = TypeVar("_T_co", covariant=True)


class _Decoder(Protocol[_T_co]):
    def decode(self, data: bytes, /) -> _T_co:
        """Decodes a document."""


def decode(decoder: _Decoder[_T], data: bytes) -> _T:
    """Decodes untrusted data with a decoder of `msgspec`.

    Args:
        decoder: JSON or MessagePack decoder.
        data: The document.

    Raises:
        msgspec.DecodeError: The data is malformed, nested too deeply or not of
            the expected type. The message is of limited length.
    """
    try:
        return decoder.decode(data)
    except RecursionError:
        # Nested values are also parsed within fields that are then ignored.
        raise msgspec.DecodeError("nested too deeply") from None
    except msgspec.DecodeError as error:
        raise msgspec.DecodeError(shorten(str(error))) from error


def shorten(text: str) -> str:
    """Returns a text of limited length for errors and log lines."""
    if len(text) <= _MAX_QUOTATION_CHARS:
        return text
    return f"{text[:_MAX_QUOTATION_CHARS]}... ({len(text)} characters)"


def is_host_address(text: str) -> bool:
    """Returns whether a text is the IPv4 address of a single host.

    Connections to the unspecified address would reach this node itself, and
    other texts would be resolved as names, which blocks the event loop.
    """
    try:
        address = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (
        address.is_unspecified or address.is_multicast or address.is_reserved
    )
