"""Data of the domain: classes of work, upstreams, requests and refusals."""

import dataclasses
import enum
from typing import Annotated

import annotated_types
import pydantic

from tanagerport.refusals import (
    HTTP_STATUS_BY_REASON,
    Ran,
    Refusal,
    RefusalReason,
    RetryReason,
)

__all__ = [
    "FINAL_MOVE_STATES",
    "FORBID_EXTRA",
    "HTTP_STATUS_BY_REASON",
    "MoveState",
    "Ran",
    "Refusal",
    "RefusalReason",
    "Request",
    "RetryReason",
    "UpstreamKind",
    "VM",
    "VMRole",
    "VMState",
    "VersionMove",
    "WorkClass",
]

_Name = Annotated[
    str,
    annotated_types.MinLen(1),
    annotated_types.MaxLen(64),
]


# Documents with unknown fields are refused, so that a misspelt field is found.
FORBID_EXTRA = pydantic.ConfigDict(extra="forbid")


class UpstreamKind(enum.StrEnum):
    """What an upstream runs."""

    ENGINE = "engine"
    SERVICE = "service"


class VMState(enum.StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VMRole(enum.StrEnum):
    """What a VM is for."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True)
class WorkClass:
    """A class of work with its targets, as operators state it.

    Attributes:
        name: Name of the class.
        tier: 0 is the most important tier.
        kind: What kind of upstream serves it.
        model: Model for engines, service name for plain services.
        first_token_target_s: Target for the first token (or for the whole
            answer of a plain service), in seconds.
        token_interval_target_s: Target between tokens, in seconds.
        deadline_s: The whole answer is useless after this many seconds.
        success_target: Share of requests that must meet the targets.
        typical_output_tokens: First estimate of the output's length.
        idempotent: Whether a call may be repeated.
    """

    __pydantic_config__ = FORBID_EXTRA

    name: _Name
    tier: Annotated[int, annotated_types.Ge(0), annotated_types.Le(3)]
    kind: UpstreamKind
    model: _Name
    first_token_target_s: Annotated[
        float, annotated_types.Gt(0), annotated_types.Le(3600)
    ] = 0.51
    token_interval_target_s: Annotated[
        float, annotated_types.Gt(0), annotated_types.Le(60)
    ] = 0.039
    deadline_s: Annotated[
        float, annotated_types.Gt(0), annotated_types.Le(86400)
    ] = 30.0
    success_target: Annotated[
        float, annotated_types.Gt(0), annotated_types.Le(1)
    ] = 0.95
    typical_output_tokens: Annotated[
        int, annotated_types.Ge(1), annotated_types.Le(1_000_000)
    ] = 64
    idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class VM:
    """An entry of the platform's VM list.

    Attributes:
        vm_id: Name of the VM; a VM that comes back may reuse an address
            but not a name.
        role: Entry node, engine or plain service.
        zone: Availability zone.
        region: Region of the availability zone.
        address: `ip:port` of callers' traffic for engines and services, of
            the peer listener for entry nodes.
        state: Live or leaving.
        serves: Models of an engine, service names of a plain service.
        checks_fencing: Whether the engine refuses orders with an old
            fencing token.
        can_resume: Whether the engine can pause and resume streams.
        slots: Concurrent requests that are safe without observation.
    """

    __pydantic_config__ = FORBID_EXTRA

    vm_id: _Name
    role: VMRole
    zone: _Name
    region: _Name
    address: str
    state: VMState = VMState.LIVE
    serves: tuple[str, ...] = ()
    checks_fencing: bool = False
    can_resume: bool = True
    slots: Annotated[int, annotated_types.Ge(1)] = 4


@dataclasses.dataclass(frozen=True)
class Request:
    """A checked request of a caller.

    Attributes:
        request_id: Made by the node, unique.
        work_class: Class of the request.
        customer: Name of the customer.
        body: Body as received.
        received_at: Monotonic seconds of arrival.
        deadline_at: Monotonic seconds after which the answer is useless.
        stream: Whether the caller asked for server-sent events.
        key: Idempotency key, None when the caller gave none.
        attempt: Attempt number that the caller states; 0 when not stated.
        max_output_tokens: Bound stated by the caller, None if absent.
        prompt: Prompt text of engines' requests, for prefix routing.
        service_path: Path and query passed to a plain service.
        method: HTTP method for a plain service.
        content_type: Content type of the body.
        headers: Further headers passed to a plain service.
    """

    request_id: str
    work_class: WorkClass
    customer: str
    body: bytes
    received_at: float
    deadline_at: float
    stream: bool = False
    key: str | None = None
    attempt: int = 0
    max_output_tokens: int | None = None
    prompt: str = ""
    service_path: str = "/"
    method: str = "POST"
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


class MoveState(enum.StrEnum):
    """State of a version move."""

    LOADING = "loading"
    CANARY = "canary"
    RAMP = "ramp"
    FULL = "full"
    MET = "met"
    MISSED = "missed"
    TAKEN_BACK = "taken back"


FINAL_MOVE_STATES = frozenset(
    {MoveState.MET, MoveState.MISSED, MoveState.TAKEN_BACK}
)


@dataclasses.dataclass(frozen=True)
class VersionMove:
    """A move of a model's traffic from one version to another.

    Attributes:
        model: Model that moves.
        old_version: Version that serves now.
        new_version: Version to move to.
        deadline: Seconds since the epoch by which the move must be done.
        started: Seconds since the epoch when operators asked for it.
        state: Where the move stands.
        share: Share of requests that go to the new version, 0 to 1.
        reason: Why the move ended as it did.
        ended: Seconds since the epoch of the end; None while it runs.
        fencing_token: Token of the lease under which it was last changed.
    """

    __pydantic_config__ = FORBID_EXTRA

    model: _Name
    old_version: str
    new_version: _Name
    deadline: float
    started: float
    state: MoveState = MoveState.LOADING
    share: Annotated[float, annotated_types.Ge(0), annotated_types.Le(1)] = 0.0
    reason: str = ""
    ended: float | None = None
    fencing_token: int = 0
