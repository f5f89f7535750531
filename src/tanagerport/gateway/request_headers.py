"""Parsing and rewriting of header fields between clients and upstreams."""

from collections.abc import Iterable

from tanagerport.gateway.client_messages import ClientRequest
from tanagerport.gateway.domain import (
    Customer,
    PromptPart,
    UpstreamRecord,
    WorkEstimate,
)
from tanagerport.gateway.http_call import Headers, ResponseHead
from tanagerport.gateway.http_names import HttpNames

# Larger counts are taken as this. No engine holds as many tokens, and sums over
# all requests fit into the messages between nodes.
_MAX_TOKENS = 10**9
# Header fields that a proxy must not forward (RFC 9110, section 7.6.1).
_HOP_BY_HOP_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def parse_number(value: bytes | None) -> int | None:
    """Parses a non-negative integer; None if it is invalid or too long."""
    if value is None:
        return None
    text = value.strip()
    return int(text) if text.isdigit() and len(text) < 16 else None


def parse_work_estimate(
    http_names: HttpNames, header_values: dict[bytes, bytes]
) -> WorkEstimate:
    """Parses the work estimate of a request; invalid counts become 0."""
    prompt, _, output = header_values.get(
        http_names.token_counts, b""
    ).partition(b",")
    prompt_tokens = min(parse_number(prompt) or 0, _MAX_TOKENS)
    max_output = min(parse_number(output) or 0, _MAX_TOKENS)
    expected = parse_output_estimate(http_names, header_values)
    return WorkEstimate(
        prompt_tokens,
        max_output,
        max_output if expected is None else min(expected, max_output),
        _parse_prompt_parts(header_values.get(http_names.prompt_parts, b"")),
    )


def parse_output_estimate(
    http_names: HttpNames, header_values: dict[bytes, bytes]
) -> int | None:
    """Parses the client's estimate of the output tokens; None without one."""
    return parse_number(header_values.get(http_names.output_estimate))


def _parse_prompt_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for entry in value.split(b","):
        part_id, _, tokens = entry.strip().partition(b":")
        count = parse_number(tokens)
        if not part_id or count is None:
            break
        parts.append(
            PromptPart(part_id.decode("latin-1"), min(count, _MAX_TOKENS))
        )
    return tuple(parts)


def parse_api_key(
    http_names: HttpNames, header_values: dict[bytes, bytes]
) -> str:
    """Returns the API key of a request; empty if there is none."""
    scheme, _, key = header_values.get(b"authorization", b"").partition(b" ")
    if scheme.lower() != http_names.authorization_scheme:
        return ""
    return key.strip().decode("latin-1")


def build_upstream_headers(
    http_names: HttpNames,
    request: ClientRequest,
    upstream: UpstreamRecord,
    customer: Customer | None,
    deadline_s: float,
    last_event_id: int | None,
) -> Headers:
    """Returns the header fields of a request to an upstream.

    Args:
        http_names: Names of the header fields.
        request: Request of the client.
        upstream: Upstream that will run the request.
        customer: Customer that owns the API key; None without one.
        deadline_s: Remaining time for the upstream, in seconds.
        last_event_id: Event after which a stream resumes; None forwards the
            client's own field.
    """
    replaced = {b"content-length", b"authorization", http_names.deadline_ms}
    if last_event_id is not None:
        replaced.add(http_names.last_event_id)
    headers = [
        (name, value)
        for name, value in _end_to_end_headers(
            request.headers, request.header_values
        )
        if not _is_reserved(http_names, name.lower())
        and name.lower() not in replaced
    ]
    deadline_ms = max(int(deadline_s * 1000), 1)
    headers.append((http_names.deadline_ms, b"%d" % deadline_ms))
    headers.append(
        (http_names.target_upstream, upstream.upstream_id.encode("latin-1"))
    )
    if customer is not None:
        headers.append((http_names.customer, _encode_name(customer.name)))
    if last_event_id is not None:
        headers.append((http_names.last_event_id, b"%d" % last_event_id))
    if request.body or request.method in {b"POST", b"PUT", b"PATCH"}:
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return headers


def _encode_name(name: str) -> bytes:
    """Encodes a name as Latin-1, or as UTF-8 if it has other characters."""
    try:
        return name.encode("latin-1")
    except UnicodeEncodeError:
        return name.encode()


def _is_reserved(http_names: HttpNames, name: bytes) -> bool:
    return name in http_names.reserved or name.startswith(
        http_names.reserved_prefixes
    )


def build_client_headers(
    head: ResponseHead, body_length: int | None
) -> Headers:
    """Returns the header fields of the response to the client.

    Args:
        head: Response of the upstream.
        body_length: Length of the body in bytes; None for a stream.
    """
    headers = [
        (name, value)
        for name, value in _end_to_end_headers(head.headers, head.header_values)
        if name.lower() != b"content-length"
    ]
    if body_length is not None:
        headers.append((b"Content-Length", b"%d" % body_length))
    return headers


def parse_keep_alive_timeout_s(head: ResponseHead) -> float | None:
    """Parses the timeout of the `Keep-Alive` field, in seconds, if any."""
    for field in head.header_values.get(b"keep-alive", b"").split(b","):
        name, _, value = field.strip().partition(b"=")
        if name.lower() == b"timeout":
            number = parse_number(value)
            return None if number is None else float(number)
    return None


def closes_connection(head: ResponseHead) -> bool:
    """Returns whether the upstream closes the connection after its response."""
    return b"close" in head.header_values.get(b"connection", b"").lower()


def _end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], header_values: dict[bytes, bytes]
) -> Headers:
    """Returns the end-to-end header fields, which a proxy forwards.

    Leaves out hop-by-hop fields and those that `Connection` lists.

    Args:
        headers: Header fields with names in their original case.
        header_values: Values by lowercase field name.
    """
    connection_options = {
        name.strip().lower()
        for name in header_values.get(b"connection", b"").split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP_FIELDS
        and name.lower() not in connection_options
    ]
