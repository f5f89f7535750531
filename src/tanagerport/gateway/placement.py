"""Selection of the upstream for a request."""

import dataclasses
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from tanagerport.gateway.domain import RequestKind, Service, UpstreamRecord
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.rate_gates import OpenGate, RateGate
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_load import UpstreamLoad
from tanagerport.gateway.work_item import Placement, WorkItem

# Cost of sending a request to another zone or region, in seconds of latency.
# Traffic between regions is billed by volume and shares a link of low
# bandwidth.
_OTHER_ZONE_COST_S = 0.01
_OTHER_REGION_COST_S = 0.06
# Cost of a full batch relative to an empty one, in seconds: each request in a
# batch slows token generation for all others.
_FULL_BATCH_COST_S = 0.05
# Cost of an upstream whose requests all fail, in seconds.
_FAILURE_COST_S = 1.0
# Safety factor for the estimated output length. 95% of answers are at most
# twice as long as estimated, but a factor of 2 would leave slow upstreams idle.
_OUTPUT_LENGTH_FACTOR = 1.3
# The same where an answer that takes longer is cut.
LONG_OUTPUT_FACTOR = 2.0
# Growth of the event interval, or of the time to a plain answer, for which an
# answer surely ends in time: the slowest healthy upstreams take twice the mean
# of their service.
_SLOWDOWN_FACTOR = 2.0
# Prompt tokens that an engine prefills in one step alongside running streams.
_PREFILL_CHUNK_TOKENS = 1024
# An upstream with pending requests is silent if it sends nothing for the
# minimum plus this multiple of the expected time. It gets no further requests
# until it sends data again.
_MIN_SILENCE_S = 0.4
_SILENCE_FACTOR = 2.0
# Concurrent requests that this node allows at an upstream on probation.
_PROBATION_SLOTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """Predicted latency and cost of a request at an upstream.

    Attributes:
        upstream: The upstream.
        prompt_tokens: Prompt tokens to prefill; excludes cached tokens.
        queued_prompt_tokens: `prompt_tokens` plus the pending prompt tokens of
            earlier requests at the upstream.
        first_byte_s: Time to first byte, in seconds.
        unloaded_first_byte_s: Time to first byte without pending prefill of
            other requests, in seconds.
        completion_s: Time to the end of the answer, in seconds.
        meets_deadline: Whether the answer ends before the deadline.
        meets_targets: Whether the time to first byte and the event intervals
            meet the targets.
        cost_s: Cost of the placement, in seconds of latency.
    """

    upstream: UpstreamRecord
    prompt_tokens: int
    queued_prompt_tokens: int
    first_byte_s: float
    unloaded_first_byte_s: float
    completion_s: float
    meets_deadline: bool
    meets_targets: bool
    cost_s: float


class LoadSource(Protocol):
    """Knows the load of upstreams."""

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Returns the load of an upstream, summed over all nodes."""

    def may_claim_slot(self, upstream_id: str, free_slots: int) -> bool:
        """Returns whether a free slot of an upstream may be used."""

    def silence_s(self, upstream_id: str) -> float:
        """Returns how long an upstream has been silent, in seconds."""

    def mark_silent(self, upstream_id: str) -> None:
        """Records that an upstream is overdue to send data."""


class UpstreamSelector:
    """Selects the upstream with the lowest predicted cost for a request.

    Args:
        zone: Availability zone of the node.
        regions: Region of each availability zone.
        load_tracker: Requests in progress at each upstream.
        health: Failure statistics of upstreams.
        latencies: Latency estimates of upstreams.
        cache: Prompt parts that upstreams have probably cached.
        gate: Knows when limited upstreams take another request; None if none
            is limited.
    """

    def __init__(
        self,
        zone: str,
        regions: Mapping[str, str],
        load_tracker: LoadSource,
        health: UpstreamHealth,
        latencies: LatencyEstimator,
        cache: PromptCacheIndex,
        gate: RateGate | None = None,
    ) -> None:
        self._zone = zone
        self._regions = regions
        self._load_tracker = load_tracker
        self._health = health
        self._latencies = latencies
        self._cache = cache
        self._gate = gate or OpenGate()

    def capacity(self, upstream: UpstreamRecord, service: Service) -> int:
        """Returns the maximum number of concurrent requests of an upstream."""
        return upstream.slots or service.batch_size or 1

    def select(
        self,
        item: WorkItem,
        service: Service,
        upstreams: Sequence[UpstreamRecord],
        now: float,
    ) -> Placement | None:
        """Returns a placement for a request, or None if it should wait.

        While some upstream can meet the request's targets, the request waits
        for a free slot at such an upstream. Otherwise any upstream that meets
        the deadline is eligible.

        Args:
            item: Request to place.
            service: Service of the request.
            upstreams: Upstreams that may serve the request.
            now: Monotonic time, in seconds.
        """
        candidates = []
        any_meets_targets = False
        item.best_first_byte_s = float("inf")
        for upstream in upstreams:
            upstream_id = upstream.upstream_id
            if upstream_id in item.excluded or self._health.is_ejected(
                upstream_id
            ):
                continue
            load = self._load_tracker.load(upstream_id)
            if load.is_silent or self._is_silent(service, upstream_id, load):
                continue
            prediction = self._predict(item, service, upstream, load, now)
            item.best_first_byte_s = min(
                item.best_first_byte_s, prediction.unloaded_first_byte_s
            )
            if self._gate.wait_s(upstream) > 0:
                # No request waits for it while another upstream may serve it.
                continue
            any_meets_targets |= prediction.meets_targets
            if self._has_free_slot(service, upstream, load):
                candidates.append(prediction)
        selected = _select_best(candidates, any_meets_targets)
        if selected is None:
            return None
        return Placement(
            selected.upstream,
            item,
            selected.prompt_tokens,
            selected.queued_prompt_tokens,
            selected.first_byte_s,
            now,
        )

    def is_overdue(self, service: Service, upstream_id: str) -> bool:
        """Returns whether an upstream in use is overdue to send data."""
        load = self._load_tracker.load(upstream_id)
        return load.is_silent or self._is_silent(service, upstream_id, load)

    def completion_s(
        self,
        placement: Placement,
        service: Service,
        length_factor: float = _OUTPUT_LENGTH_FACTOR,
    ) -> float:
        """Returns the predicted time to the end of the answer, in seconds.

        Args:
            placement: Placement of the request.
            service: Service of the request.
            length_factor: Safety factor for the estimated output length.
        """
        if not service.is_engine:
            return placement.predicted_first_byte_s
        work = placement.item.work
        tokens = min(
            length_factor * work.expected_output_tokens,
            work.max_output_tokens,
        )
        event_interval_s = self._latencies.event_interval_s(
            placement.upstream.upstream_id, service.name
        )
        return (
            placement.predicted_first_byte_s
            + tokens / service.tokens_per_event * event_interval_s
        )

    def longest_completion_s(
        self, placement: Placement, service: Service
    ) -> float:
        """Returns the time in which every such answer ends, in seconds.

        The estimate of an answer's length is no bound: half of the answers are
        longer. Its maximum is one.

        Args:
            placement: Placement of the request.
            service: Service of the request.

        Returns:
            Seconds; infinite for a stream whose length nothing bounds.
        """
        max_tokens = placement.item.work.max_output_tokens
        first_byte_s = _SLOWDOWN_FACTOR * placement.predicted_first_byte_s
        if service.is_engine and max_tokens:
            event_interval_s = self._latencies.event_interval_s(
                placement.upstream.upstream_id, service.name
            )
            return (
                first_byte_s
                + max_tokens
                / service.tokens_per_event
                * _SLOWDOWN_FACTOR
                * event_interval_s
            )
        if placement.item.route.kind is RequestKind.STREAM:
            return math.inf
        return first_byte_s

    def _has_free_slot(
        self, service: Service, upstream: UpstreamRecord, load: UpstreamLoad
    ) -> bool:
        limit = self.capacity(upstream, service)
        if self._health.is_on_probation(upstream.upstream_id):
            limit = min(limit, _PROBATION_SLOTS)
        return load.requests < limit and self._load_tracker.may_claim_slot(
            upstream.upstream_id, limit - load.requests
        )

    def _is_silent(
        self, service: Service, upstream_id: str, load: UpstreamLoad
    ) -> bool:
        """Whether an upstream with pending requests is overdue to send data."""
        silent_s = self._load_tracker.silence_s(upstream_id)
        if silent_s < _MIN_SILENCE_S:
            return False
        if service.is_engine:
            expected_s = self._latencies.first_event_s(
                upstream_id, service.name, load.pending_prompt_tokens
            ) + self._latencies.event_interval_s(upstream_id, service.name)
        else:
            expected_s = self._latencies.response_s(upstream_id, service.name)
        if silent_s < _MIN_SILENCE_S + _SILENCE_FACTOR * expected_s:
            return False
        self._load_tracker.mark_silent(upstream_id)
        return True

    def _predict(
        self,
        item: WorkItem,
        service: Service,
        upstream: UpstreamRecord,
        load: UpstreamLoad,
        now: float,
    ) -> Prediction:
        upstream_id = upstream.upstream_id
        utilization = load.requests / self.capacity(upstream, service)
        work = item.work
        route = item.route
        prompt_tokens = 0
        max_event_interval_s = 0.0
        if service.is_engine:
            cached_tokens = self._cache.cached_tokens(upstream_id, work.parts)
            prompt_tokens = max(work.prompt_tokens - cached_tokens, 1)
            queued_prompt_tokens = load.pending_prompt_tokens + prompt_tokens
            prompt_token_s = self._latencies.prompt_token_s(
                upstream_id, service.name
            )
            event_interval_s = self._latencies.event_interval_s(
                upstream_id, service.name
            )
            first_byte_s = self._latencies.first_event_s(
                upstream_id, service.name, queued_prompt_tokens
            )
            unloaded_first_byte_s = (
                first_byte_s - prompt_token_s * load.pending_prompt_tokens
            )
            events = work.expected_output_tokens / service.tokens_per_event
            completion_s = (
                first_byte_s + _OUTPUT_LENGTH_FACTOR * events * event_interval_s
            )
            # Each step that contributes to an event of a running stream may
            # also prefill one chunk of a prompt, which delays the event.
            max_event_interval_s = event_interval_s + prompt_token_s * min(
                queued_prompt_tokens,
                service.tokens_per_event * _PREFILL_CHUNK_TOKENS,
            )
        else:
            queued_prompt_tokens = 0
            first_byte_s = self._latencies.response_s(upstream_id, service.name)
            unloaded_first_byte_s = first_byte_s
            first_byte_s *= 1 + utilization
            completion_s = first_byte_s
        interval_target_s = route.event_interval_target_s
        meets_interval_target = (
            interval_target_s is None
            or max_event_interval_s <= interval_target_s
        )
        return Prediction(
            upstream,
            prompt_tokens,
            queued_prompt_tokens,
            first_byte_s,
            unloaded_first_byte_s,
            completion_s,
            now + completion_s <= item.deadline_at
            and now + first_byte_s
            <= item.client_timeout_at - item.delivery_margin_s,
            meets_interval_target and now + first_byte_s <= item.target_at,
            first_byte_s
            + self._locality_cost_s(item.origin_zone or self._zone, upstream)
            + _FULL_BATCH_COST_S * utilization
            + _FAILURE_COST_S * self._health.failure_rate(upstream_id),
        )

    def _locality_cost_s(self, zone: str, upstream: UpstreamRecord) -> float:
        if upstream.zone == zone:
            return 0.0
        own_region = self._regions.get(zone)
        if self._regions.get(upstream.zone) == own_region:
            return _OTHER_ZONE_COST_S
        return _OTHER_REGION_COST_S


def _select_best(
    candidates: Sequence[Prediction], any_meets_targets: bool
) -> Prediction | None:
    """Returns the cheapest eligible candidate, or None if the request waits."""
    meeting_deadline = [entry for entry in candidates if entry.meets_deadline]
    meeting_targets = [
        entry for entry in meeting_deadline if entry.meets_targets
    ]
    if meeting_targets:
        return min(meeting_targets, key=_cost)
    if any_meets_targets:
        return None
    return min(meeting_deadline, key=_cost, default=None)


def _cost(prediction: Prediction) -> float:
    return prediction.cost_s


PlacementFinder = Callable[[WorkItem], Placement | None]
