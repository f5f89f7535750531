"""Headers that pass between callers and upstreams."""

from collections.abc import Iterable, Mapping, Sequence

# Headers of one connection (RFC 9110, 7.6.1), and those that each side's
# HTTP library writes itself.
_NEVER_PASSED = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers of the protocol between callers, nodes and upstreams: a caller
# must not set them for an upstream, nor an upstream for a caller.
_OWN = frozenset(
    {
        "idempotency-attempt",
        "idempotency-key",
        "x-class",
        "x-deadline-ms",
        "x-leaving",
        "x-model-version",
        "x-not-started",
        "x-request-id",
    }
)


def end_to_end(
    headers: Iterable[tuple[str, str]], connection: str = ""
) -> Sequence[tuple[str, str]]:
    """Returns the headers that may pass through the node.

    Args:
        headers: Names and values as received.
        connection: Value of the `Connection` header, which names further
            headers of the connection.
    """
    dropped = _NEVER_PASSED | _OWN
    named = {name.strip().lower() for name in connection.split(",")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in dropped
        and name.lower() not in named
        and _is_safe(value)
    ]


def service_answer_headers(
    headers: Mapping[str, str],
) -> Sequence[tuple[str, str]]:
    """Returns the headers of a plain service's answer for the caller."""
    return end_to_end(headers.items(), headers.get("Connection", ""))


def _is_safe(value: str) -> bool:
    return not any(ord(char) < 0x20 and char != "\t" for char in value) and (
        "\x7f" not in value
    )
