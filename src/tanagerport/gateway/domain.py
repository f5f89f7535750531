"""Domain model of the gateway: routes, customers, upstreams and requests."""

import dataclasses
import enum
from collections.abc import Mapping

# Clients abort a stream that sends no event for the longest of 2 s, four times
# the target time to the first event and eight times the target event interval.
_MIN_STREAM_TIMEOUT_S = 2.0
_TIMEOUT_TARGET_FACTOR = 4.0
_TIMEOUT_INTERVAL_FACTOR = 8.0


class RequestKind(enum.StrEnum):
    """Kind of the requests of a route; determines which retries are safe."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route of the configuration.

    Attributes:
        name: Name of the route.
        host: Host name that it serves, in lowercase.
        prefix: Path prefix, with a slash at both ends.
        kind: Kind of the requests.
        services: Services and their weights; each request is served by one.
        timeout_s: Maximum time to the complete answer, in seconds.
        target_s: Target time to the answer or the first event, in seconds.
        tier: Priority; 0 is the highest.
        max_dispatches: Maximum number of dispatches per request.
        is_public: Whether requests are accepted without an API key.
        is_resumable: Whether another upstream can resume a stream.
        event_interval_target_s: Target for the longest interval between events,
            in seconds; None without a target.
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
    def first_event_timeout_s(self) -> float:
        """Seconds after which clients abort if no data has arrived."""
        if self.kind is not RequestKind.STREAM:
            return self.timeout_s
        interval_s = self.event_interval_target_s or 0.0
        return max(
            _MIN_STREAM_TIMEOUT_S,
            _TIMEOUT_TARGET_FACTOR * self.target_s,
            _TIMEOUT_INTERVAL_FACTOR * interval_s,
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
        max_connections: Maximum number of connections to one upstream, over
            all nodes.
        is_engine: Whether the upstreams are language model engines.
        batch_size: Maximum number of concurrent requests of an engine; 0 if
            unknown.
        tokens_per_event: Output tokens in one event of a stream.
    """

    name: str
    max_connections: int = 100
    is_engine: bool = False
    batch_size: int = 0
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer with API keys and a quota.

    Attributes:
        name: Name of the customer.
        keys: API keys.
        tier: Tier of all requests of the customer; None to use the tier of the
            route.
        rate_per_s: Quota in units per second, over all nodes; 0 for no limit.
        burst: Maximum number of units that may be used at once.
        counts_tokens: Whether a unit is a token rather than a request.
        default_tokens: Tokens charged for a request that states no number of
            tokens.
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
    """Limits on client connections.

    Attributes:
        header_bytes: Maximum size of the request line and headers, in bytes.
        body_bytes: Maximum size of a request body, in bytes.
        header_timeout_s: Time limit for sending the headers, in seconds.
        idle_timeout_s: Time limit for idle connections, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A complete configuration; replaced atomically.

    Attributes:
        version: Increases with every configuration.
        routes: All routes.
        services: Services by name.
        customers: All customers.
        limits: Limits on client connections.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    customers: tuple[Customer, ...] = ()
    limits: ClientLimits = ClientLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to roll out a version of a service.

    Attributes:
        service: Service to upgrade.
        version: Target version.
        duration_s: Time allowed for the rollout, in seconds.
        row_version: Number of the order's row in the store; a later order of
            the same era has a higher one.
        era: Era of the store in which the row was read.
        is_lost: Whether the restored store lacks the row. Its number is then
            not that under which other nodes know the order.
    """

    service: str
    version: str
    duration_s: float
    row_version: int
    era: int = 0
    is_lost: bool = False

    def is_newer_than(self, other: "RolloutOrder") -> bool:
        """Returns whether the order was written after another one."""
        return (self.era, self.row_version) > (other.era, other.row_version)


class UpstreamState(enum.StrEnum):
    """State that an upstream reports."""

    AVAILABLE = "available"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """Registration of an upstream.

    Attributes:
        upstream_id: Id under which this run of the upstream registered.
        service: Service of the upstream.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        version: Software version.
        slots: Maximum number of concurrent requests.
        state: Whether the upstream accepts new requests.
        started_ms: Start time in Unix milliseconds; 0 if unknown.
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

    @property
    def start(self) -> tuple[str, int]:
        """Identity of this start of the upstream: id and start time."""
        return self.upstream_id, self.started_ms


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    Attributes:
        part_id: Content hash.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkEstimate:
    """Estimated work of a request at an engine.

    Attributes:
        prompt_tokens: Length of the prompt, in tokens.
        max_output_tokens: Maximum length of the answer, in tokens.
        expected_output_tokens: The client's estimate of the answer's length,
            in tokens; half of the answers are longer.
        parts: Parts of the prompt, in prompt order.
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
