"""One request on its way through admission and placement."""

import dataclasses

from tanagerport.gateway.domain import (
    NO_WORK,
    Route,
    UpstreamRecord,
    WorkEstimate,
)

# Time for an answer to reach the client before it leaves; a smaller part of
# short waits.
_LEAVE_MARGIN_S = 0.15
_LEAVE_MARGIN_SHARE = 0.07


@dataclasses.dataclass(slots=True)
class WorkItem:
    """A request that needs a place at an upstream.

    Attributes:
        request_id: Id of the client attempt.
        route: Route of the request.
        service: Service that is to run it.
        tier: Tier of the customer, else of the route; 0 is the most important.
        arrived_at: Monotonic seconds of its arrival.
        deadline_at: Monotonic seconds at which it must have its final answer.
        age_s: Seconds between the client's first attempt and the arrival.
        work: Tokens to read and to generate.
        best_first_s: Seconds to the first byte at an upstream that is idle, as
            of the last look for a place.
        excluded: Upstreams that this request should not go to again.
    """

    request_id: str
    route: Route
    service: str
    tier: int
    arrived_at: float
    deadline_at: float
    age_s: float = 0.0
    work: WorkEstimate = NO_WORK
    best_first_s: float = 0.0
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def patience_at(self) -> float:
        """Monotonic seconds at which the client leaves without an answer."""
        return min(
            self.deadline_at,
            self.arrived_at + self.route.first_event_patience_s,
        )

    @property
    def leave_margin_s(self) -> float:
        """Seconds before its client leaves in which an answer may be lost."""
        return min(
            _LEAVE_MARGIN_S,
            _LEAVE_MARGIN_SHARE * self.route.first_event_patience_s,
        )

    @property
    def target_at(self) -> float:
        """Monotonic seconds at which the answer or first event is late."""
        return self.arrived_at - self.age_s + self.route.target_s


@dataclasses.dataclass(slots=True)
class Placement:
    """A place at an upstream that a request holds.

    Attributes:
        upstream: Upstream that runs the request.
        item: The request.
        prompt_tokens: Prompt tokens that the upstream probably has to read.
        tokens_ahead: The same with those of earlier requests there.
        predicted_s: Predicted seconds to the first byte.
        placed_at: Monotonic seconds at which the place was given.
        has_first_event: Whether the prompt was read.
        first_byte_s: Seconds from dispatch to the first byte; None before it.
        is_slow: Whether the answer took several times as long as upstreams of
            the old version take; only told while a new one is on trial.
        is_released: Whether the place was given back.
    """

    upstream: UpstreamRecord
    item: WorkItem
    prompt_tokens: int
    tokens_ahead: int
    predicted_s: float
    placed_at: float
    has_first_event: bool = False
    first_byte_s: float | None = None
    is_slow: bool = False
    is_released: bool = False
