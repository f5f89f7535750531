"""Messages between nodes and the coordinators of upstream slots.

They travel in UDP datagrams. Any of them may be lost, repeated or reordered: a
node repeats its request until it is answered, and its periodic lease report
makes up for a lost release.
"""

import enum

import msgspec

from tanagerport.gateway import untrusted_data
from tanagerport.gateway.untrusted_data import Integer, Seconds

# Slots are requested within the region, mostly, where a datagram of this size
# is never fragmented. Excluded upstreams and prompt parts are cut to fit.
_MAX_PROMPT_PARTS = 16
_MAX_EXCLUDED = 32


class DenialReason(enum.IntEnum):
    """Reason for which a coordinator grants no slot."""

    # The node does not coordinate now: it is starting or stopping.
    NOT_COORDINATING = 0
    # The region of the coordinator has no usable upstream of the service.
    NO_UPSTREAM = 1
    # No slot is free, and the request was not to be queued.
    NO_FREE_SLOT = 2
    # The request can't be answered before its deadline.
    DEADLINE_UNREACHABLE = 3


class SlotOutcome(enum.IntEnum):
    """What became of a lease."""

    UNUSED = 0
    SUCCEEDED = 1
    # The upstream answered with an error status.
    ERROR_RESPONSE = 2
    # The upstream rejected the request and did not run it.
    REJECTED = 3
    # The connection failed, or the answer was broken or did not come.
    FAILED = 4
    # The client left, or the deadline passed; says nothing of the upstream.
    CANCELLED = 5


class SlotRequest(
    msgspec.Struct, array_like=True, frozen=True, tag=1, kw_only=True
):
    """Asks a coordinator for a slot. Times are in seconds.

    Attributes:
        lease: Id of the lease, unique for the requesting process.
        start: Random id of the run of the requesting process.
        zone: Availability zone of the requesting node.
        service: Service of the request.
        may_wait: Whether the request is queued if no slot is free.
        may_redirect: Whether it may be sent to another region.
        is_stream: Whether the answer is a stream.
        tier: Tier of the customer, or else of the route.
        route_tier: Tier of the route.
        timeout_s: Timeout of the route.
        target_s: Latency target of the route.
        interval_target_s: Target for the interval between events; None without
            one.
        age_s: Time from the client's first attempt to the arrival, or to the
            last data that the client got.
        waited_s: Time since then.
        remaining_s: Time until the deadline.
        prompt_tokens: Length of the prompt, in tokens.
        output_tokens: Expected length of the answer, in tokens.
        parts: Id and tokens of each part of the prompt.
        excluded: Upstreams that must not be granted.
        versions: Versions that may serve the request; empty for any.
    """

    lease: Integer
    start: Integer
    zone: str
    service: str
    may_wait: bool
    may_redirect: bool
    is_stream: bool
    tier: Integer
    route_tier: Integer
    timeout_s: Seconds
    target_s: Seconds
    interval_target_s: Seconds | None
    age_s: Seconds
    waited_s: Seconds
    remaining_s: Seconds
    prompt_tokens: Integer
    output_tokens: Integer
    parts: list[tuple[str, Integer]]
    excluded: list[str]
    versions: list[str]


class SlotGrant(
    msgspec.Struct, array_like=True, frozen=True, tag=2, kw_only=True
):
    """Grants a slot of an upstream.

    Attributes:
        lease: Id of the lease.
        start: Random id of the run of the coordinator's process.
        upstream_id: Upstream whose slot is granted.
        prompt_tokens: Prompt tokens to prefill; excludes cached ones.
        queued_prompt_tokens: `prompt_tokens` plus the pending prompt tokens of
            earlier requests.
        first_byte_s: Predicted time to the first byte, in seconds.
    """

    lease: Integer
    start: Integer
    upstream_id: str
    prompt_tokens: Integer
    queued_prompt_tokens: Integer
    first_byte_s: Seconds


class SlotQueued(
    msgspec.Struct, array_like=True, frozen=True, tag=3, kw_only=True
):
    """Says that a request waits for a slot at the coordinator.

    Attributes:
        lease: Id of the lease.
        start: Random id of the run of the coordinator's process.
        expected_wait_s: Expected time until its grant, in seconds.
    """

    lease: Integer
    start: Integer
    expected_wait_s: Seconds = 0.0


class SlotDenial(
    msgspec.Struct, array_like=True, frozen=True, tag=4, kw_only=True
):
    """Denies a slot.

    Attributes:
        lease: Id of the lease.
        reason: `DenialReason`.
        message: Reason for the client; empty unless the request is refused.
        retry_after_s: Time after which the client may retry, in seconds.
    """

    lease: Integer
    reason: Integer
    message: str = ""
    retry_after_s: Seconds | None = None


class SlotProgress(
    msgspec.Struct, array_like=True, frozen=True, tag=5, kw_only=True
):
    """Reports the first event of an answer.

    Attributes:
        lease: Id of the lease.
        start: Random id of the run of the requesting process.
        first_byte_s: Seconds from dispatch to the first byte.
    """

    lease: Integer
    start: Integer
    first_byte_s: Seconds


class SlotRelease(
    msgspec.Struct, array_like=True, frozen=True, tag=6, kw_only=True
):
    """Ends a lease, or cancels a request for one.

    Attributes:
        lease: Id of the lease.
        start: Random id of the run of the requesting process.
        outcome: `SlotOutcome`.
        first_byte_s: Seconds from dispatch to the first byte; None if there was
            none.
        event_interval_s: Mean interval between events, in seconds; None if
            there were fewer than two.
    """

    lease: Integer
    start: Integer
    outcome: Integer
    first_byte_s: Seconds | None = None
    event_interval_s: Seconds | None = None


class HeldLease(msgspec.Struct, array_like=True, frozen=True):
    """A lease that a node holds.

    Attributes:
        lease: Id of the lease.
        upstream_id: Upstream whose slot is in use.
        pending_prompt_tokens: Prompt tokens not yet prefilled.
    """

    lease: Integer
    upstream_id: str
    pending_prompt_tokens: Integer


class LeaseReport(
    msgspec.Struct, array_like=True, frozen=True, tag=7, kw_only=True
):
    """All leases that a node holds at the upstreams of a coordinator.

    Attributes:
        start: Random id of the run of the requesting process.
        sequence: Increases with every report of the process.
        service: Service of the upstreams.
        leases: The leases.
        silent: Upstreams whose answers are overdue.
    """

    start: Integer
    sequence: Integer
    service: str
    leases: list[HeldLease]
    silent: list[str]


class SlotRedirect(
    msgspec.Struct, array_like=True, frozen=True, tag=8, kw_only=True
):
    """Sends a request to the coordinator of another region.

    Attributes:
        lease: Id of the lease.
        start: Random id of the run of the coordinator's process.
        region: The other region.
    """

    lease: Integer
    start: Integer
    region: str


class UpstreamSummary(msgspec.Struct, array_like=True, frozen=True):
    """Load and speed of an upstream that may be used.

    Attributes:
        upstream_id: The upstream.
        requests: Number of requests in progress.
        pending_prompt_tokens: Prompt tokens not yet prefilled.
        prompt_token_s: Time to prefill a token, in seconds.
        event_interval_s: Interval between events, in seconds.
        response_s: Response time of a plain service, in seconds.
    """

    upstream_id: str
    requests: Integer
    pending_prompt_tokens: Integer
    prompt_token_s: Seconds
    event_interval_s: Seconds
    response_s: Seconds


class RegionSummary(
    msgspec.Struct, array_like=True, frozen=True, tag=9, kw_only=True
):
    """What a coordinator tells those of the other regions.

    Attributes:
        sequence: Increases with every summary of the process.
        start: Random id of the run of the coordinator's process.
        service: Service of the upstreams.
        region: Region of the coordinator.
        is_saturated: Whether waiting requests of the region take each slot that
            gets free.
        upstreams: Usable upstreams of the region.
    """

    sequence: Integer
    start: Integer
    service: str
    region: str
    is_saturated: bool
    upstreams: list[UpstreamSummary]


SlotMessage = (
    SlotRequest
    | SlotGrant
    | SlotQueued
    | SlotDenial
    | SlotProgress
    | SlotRelease
    | LeaseReport
    | SlotRedirect
    | RegionSummary
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SlotMessage)


def encode_message(message: SlotMessage) -> bytes:
    """Returns the datagram of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> SlotMessage:
    """Decodes a datagram.

    Raises:
        msgspec.DecodeError: The datagram is not a valid message.
    """
    return untrusted_data.decode(_decoder, data)


def limit_parts(parts: list[tuple[str, int]]) -> list[tuple[str, int]]:
    """Returns the leading prompt parts that fit into a request."""
    return parts[:_MAX_PROMPT_PARTS]


def limit_excluded(excluded: list[str]) -> list[str]:
    """Returns the excluded upstreams that fit into a request."""
    return excluded[:_MAX_EXCLUDED]
