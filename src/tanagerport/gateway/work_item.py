"""State of a request during admission and placement."""

import dataclasses

from tanagerport.gateway.domain import (
    NO_WORK,
    Route,
    UpstreamRecord,
    WorkEstimate,
)
from tanagerport.gateway.slot_messages import SlotOutcome

# Time reserved for delivering an answer before the client times out: this many
# seconds, or this share of the client's timeout if that is less.
_MAX_DELIVERY_MARGIN_S = 0.15
_DELIVERY_MARGIN_SHARE = 0.07


@dataclasses.dataclass(slots=True)
class WorkItem:
    """A request to be assigned to an upstream.

    Attributes:
        request_id: Id of the client attempt.
        route: Route of the request.
        service: Service that serves the request.
        tier: Tier of the customer, or else of the route; 0 is the highest.
        arrived_at: Monotonic time of arrival.
        deadline_at: Monotonic time by which the answer must be complete.
        age_s: Seconds from the client's first attempt to the arrival.
        work: Estimated prompt and output tokens.
        best_first_byte_s: Shortest predicted time to first byte, in seconds,
            without pending prefill; updated by each upstream selection.
        excluded: Ids of upstreams to avoid in further dispatches; cleared
            when no other upstream is usable.
        part_keys: Keys of the prompt parts that other requests may share, or
            of the whole request if it has no prompt.
        request_key: Key of the whole request, which it has again if it is
            repeated; 0 if it is not known.
        has_begun: Whether the upstream of its last dispatch has begun to
            answer.
        last_data_at: Monotonic time at which data was sent to the client; None
            before the first.
        is_trial: Whether the request tries a quarantined part.
        origin_zone: Availability zone of the node that received the request;
            empty for the node that selects the upstream.
    """

    request_id: str
    route: Route
    service: str
    tier: int
    arrived_at: float
    deadline_at: float
    age_s: float = 0.0
    work: WorkEstimate = NO_WORK
    best_first_byte_s: float = 0.0
    excluded: set[str] = dataclasses.field(default_factory=set)
    part_keys: tuple[int, ...] = ()
    request_key: int = 0
    has_begun: bool = False
    last_data_at: float | None = None
    is_trial: bool = False
    origin_zone: str = ""

    @property
    def crash_keys(self) -> tuple[int, ...]:
        """Keys of all that may crash upstreams: its parts and itself."""
        return (*self.part_keys, self.request_key)

    @property
    def is_client_served(self) -> bool:
        """Whether its client has a part of the answer, so a refusal cuts it."""
        return self.last_data_at is not None

    @property
    def waiting_since(self) -> float:
        """Monotonic time since which the client has got no data."""
        return (
            self.arrived_at if self.last_data_at is None else self.last_data_at
        )

    @property
    def client_timeout_at(self) -> float:
        """Monotonic time at which the client disconnects if it gets no data."""
        return min(
            self.deadline_at,
            self.waiting_since + self.route.first_event_timeout_s,
        )

    @property
    def delivery_margin_s(self) -> float:
        """Seconds before the client timeout that are reserved for delivery."""
        return min(
            _MAX_DELIVERY_MARGIN_S,
            _DELIVERY_MARGIN_SHARE * self.route.first_event_timeout_s,
        )

    @property
    def target_at(self) -> float:
        """Monotonic time after which the answer or first event is late."""
        return self.arrived_at - self.age_s + self.route.target_s


# Number of events after which an upstream that crashes was not crashed by the
# prompt of the answer. A prompt crashes it when the answer begins.
ESTABLISHED_EVENTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SlotLease:
    """A slot that a coordinator granted.

    Attributes:
        coordinator: IP address of the coordinator.
        lease: Id of the lease.
    """

    coordinator: str
    lease: int


@dataclasses.dataclass(slots=True)
class Placement:
    """Assignment of a request to a slot of an upstream.

    Attributes:
        upstream: Upstream that serves the request.
        item: The request.
        prompt_tokens: Estimated prompt tokens to prefill; excludes cached
            tokens.
        queued_prompt_tokens: `prompt_tokens` plus the pending prompt tokens of
            earlier requests at the upstream.
        predicted_first_byte_s: Predicted time to first byte, in seconds.
        placed_at: Monotonic time of the assignment.
        has_first_event: Whether the first event or a successful whole answer
            arrived.
        is_established: Whether the answer was whole or went on well beyond its
            first event, so that its prompt crashed no upstream.
        event_count: Number of events of a stream that arrived.
        first_byte_s: Seconds from dispatch to the first byte; None until then.
        is_slow: Whether the answer was several times slower than those of the
            old version; only determined during a rollout.
        is_released: Whether the slot was freed.
        lease: Lease of the slot; None if this node chose it on its own.
        outcome: What became of the request at the upstream.
        event_interval_s: Mean interval between the events, in seconds; None
            without two events.
    """

    upstream: UpstreamRecord
    item: WorkItem
    prompt_tokens: int
    queued_prompt_tokens: int
    predicted_first_byte_s: float
    placed_at: float
    has_first_event: bool = False
    is_established: bool = False
    event_count: int = 0
    first_byte_s: float | None = None
    is_slow: bool = False
    is_released: bool = False
    lease: SlotLease | None = None
    outcome: SlotOutcome = SlotOutcome.CANCELLED
    event_interval_s: float | None = None
