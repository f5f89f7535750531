"""Routes, customers, upstreams and requests as the gateway sees them."""

import dataclasses
import enum
from collections.abc import Mapping

# Clients leave a stream after a gap of 2 s, four times the target or eight
# times the longest pause that is on time, whichever is longest.
_MIN_PATIENCE_S = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_PAUSES = 8.0


class RequestKind(enum.StrEnum):
    """What a route carries and what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    Attributes:
        name: Name of the route.
        host: Host name that it serves, in lowercase.
        prefix: Start of the path, with a slash at both ends.
        kind: What may be repeated.
        services: Services and their weights; one of them serves a request.
        timeout_s: Longest time until the final answer, in seconds.
        target_s: Time to the answer or the first event, in seconds.
        tier: 0 is the most important tier.
        max_dispatches: Upstreams that one request may be sent to.
        is_public: Whether requests need no key.
        is_resumable: Whether a stream may go on at another upstream.
        event_interval_target_s: Longest pause between events that is on
            time, in seconds; None without a target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[tuple[str, float], ...]
    timeout_s: float
    target_s: float
    tier: int = 0
    max_dispatches: int = 1
    is_public: bool = False
    is_resumable: bool = False
    event_interval_target_s: float | None = None

    @property
    def first_event_patience_s(self) -> float:
        """Seconds after which clients leave if nothing has arrived."""
        if self.kind is not RequestKind.STREAM:
            return self.timeout_s
        pause_s = self.event_interval_target_s or 0.0
        return max(
            _MIN_PATIENCE_S,
            _PATIENCE_TARGETS * self.target_s,
            _PATIENCE_PAUSES * pause_s,
        )

    @property
    def can_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the configuration.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream accepts from all nodes.
        is_engine: Whether its upstreams are language model engines.
        batch_size: Requests that an engine runs at once; 0 if unknown.
        tokens_per_event: Output tokens in one event of a stream.
    """

    name: str
    max_connections: int = 100
    is_engine: bool = False
    batch_size: int = 0
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer with its keys and quota.

    Attributes:
        name: Name of the customer.
        keys: API keys.
        tier: Tier of all its requests; None leaves the route's tier.
        rate_per_s: Units a second over all nodes; 0 is no limit.
        burst: Units that may be used at once.
        counts_tokens: Whether a unit is a token instead of a request.
        default_tokens: Tokens of a request that states none.
    """

    name: str
    keys: tuple[str, ...] = ()
    tier: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send and how long it may take.

    Attributes:
        header_bytes: Size of the request line and the header fields.
        body_bytes: Size of a body.
        header_timeout_s: Time to send the header fields, in seconds.
        idle_timeout_s: Time that a connection may stay idle, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration; replaced as one.

    Attributes:
        version: Grows with every configuration.
        routes: All routes.
        services: Services by name.
        customers: All customers.
        limits: Limits of client connections.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: tuple[Customer, ...] = ()
    limits: ClientLimits = ClientLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        service: Service that moves.
        version: Version of the software to move to.
        duration_s: Time for the move, in seconds.
        order: Store version of the order; a later order has a higher one.
    """

    service: str
    version: str
    duration_s: float
    order: int


class UpstreamState(enum.StrEnum):
    """What an upstream says of itself."""

    AVAILABLE = "available"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """An upstream as it registered itself.

    Attributes:
        upstream_id: Name of this start of the upstream.
        service: Service that it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        version: Version of its software.
        slots: Requests that it works on at once.
        state: Whether it takes new work.
        started_ms: Unix milliseconds of its start; 0 if unknown.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    zone: str
    version: str = ""
    slots: int = 1
    state: UpstreamState = UpstreamState.AVAILABLE
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share.

    Attributes:
        part_id: Content hash.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """How much work a request asks of an engine.

    Attributes:
        prompt_tokens: Tokens to read.
        max_output_tokens: Bound of the tokens to generate.
        expected_output_tokens: The client's estimate, right at the median.
        parts: Parts of the prompt, in order.
    """

    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def total_tokens(self) -> int:
        """Tokens that count towards a quota."""
        return self.prompt_tokens + self.max_output_tokens


NO_WORK = WorkEstimate()
