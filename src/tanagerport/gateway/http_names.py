"""Names of the header fields that the gateway reads and sets.

The gateway defines what each field means; the platform adapter supplies its
name. All names are lowercase bytes, as in `h11`.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HttpNames:
    """Names used in HTTP between clients, the gateway and upstreams.

    Attributes:
        request_id: Id of one client attempt, echoed by upstreams.
        deadline_ms: Remaining time for the response, in milliseconds.
        last_event_id: Id of the last stream event that the client received.
        token_counts: Prompt tokens and maximum output tokens of a request.
        output_estimate: The client's estimate of the output tokens.
        prompt_parts: Parts of the prompt in order, with their token counts.
        response_seal: Marks a response as produced by the upstream itself.
        target_upstream: Id of the only upstream that may run the request.
        customer: Name of the customer, set only by the gateway.
        not_run: Marks a response to a request that the upstream did not run.
        answering_upstream: Id of the upstream that answers, where it is not
            the target.
        leaving: `1` in any answer of an upstream that is leaving.
        request_limit: Requests a second that an upstream takes from all nodes
            together, a decimal number, in any of its answers.
        authorization_scheme: Scheme before the API key, in lowercase.
        reserved: Fields that only the gateway sets; they are removed from
            client requests.
        reserved_prefixes: Name prefixes of further reserved fields.
        ready_path: Path of the readiness check.
    """

    request_id: bytes
    deadline_ms: bytes
    last_event_id: bytes
    token_counts: bytes
    output_estimate: bytes
    prompt_parts: bytes
    response_seal: bytes
    target_upstream: bytes
    customer: bytes
    not_run: bytes
    answering_upstream: bytes
    leaving: bytes
    request_limit: bytes
    authorization_scheme: bytes
    reserved: frozenset[bytes]
    reserved_prefixes: tuple[bytes, ...]
    ready_path: bytes
