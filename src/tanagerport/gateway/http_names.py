"""Names of header fields that the gateway reads and sets.

The gateway knows what each field means; the adapter says how it is spelled.
All names are lowercase bytes, as `h11` gives them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HttpNames:
    """Spelling of the header fields between clients, gateway and upstreams.

    Attributes:
        request_id: Id of one client attempt, echoed by upstreams.
        deadline_ms: Milliseconds that the client, or an upstream, may take.
        last_event_id: Last event that the client has of a stream.
        token_counts: Prompt tokens and most output tokens of a request.
        output_estimate: The client's estimate of the output tokens.
        prompt_parts: Parts of the prompt in order, with their tokens.
        response_seal: Proof that an answer is the upstream's own.
        target_upstream: Id of the only upstream that may run the request.
        customer: Name of the customer, set by the gateway alone.
        not_run: Marks an answer to a request that the upstream did not run.
        authorization_scheme: Scheme before the API key, in lowercase.
        reserved: Fields that are the gateway's to set and are never passed
            on from a client.
        reserved_prefixes: Starts of further names of that kind.
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
    authorization_scheme: bytes
    reserved: frozenset[bytes]
    reserved_prefixes: tuple[bytes, ...]
    ready_path: bytes
