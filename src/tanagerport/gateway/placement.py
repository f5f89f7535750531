"""Choice of the upstream for a request."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence

from tanagerport.gateway.domain import Service, UpstreamRecord
from tanagerport.gateway.load_board import LoadBoard, UpstreamLoad
from tanagerport.gateway.prompt_cache import PromptCacheMap
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_speed import UpstreamSpeeds
from tanagerport.gateway.work import Placement, WorkItem

# Cost of leaving the zone and the region, in seconds of waiting. Bytes between
# regions are paid by volume and share a narrow link.
_OTHER_ZONE_S = 0.01
_OTHER_REGION_S = 0.06
# Cost of a full batch against an empty one, in seconds: each further request
# slows the tokens of all.
_BATCH_S = 0.05
# Cost of an upstream that fails all its requests, in seconds.
_FAILURE_S = 1.0
# Answers are up to twice as long as their estimate in 19 of 20 cases; a margin
# for all of them would leave slow upstreams without work.
_LENGTH_MARGIN = 1.3
# Prompt tokens that an engine reads in one step beside running streams.
_CHUNK_TOKENS = 1024
# An upstream that sends nothing for this long, and for this many times what is
# expected, gets no further work until it is heard again.
_MIN_SILENCE_S = 0.4
_SILENT_PREDICTIONS = 2.0
# Requests in progress on an upstream that failed last, by this node.
_PROBATION_PLACES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Prediction:
    """What is expected of a request at an upstream.

    Attributes:
        upstream: The upstream.
        prompt_tokens: Prompt tokens that it has to read.
        tokens_ahead: The same with those of earlier requests there.
        first_s: Seconds to the first byte.
        alone_s: The same if the upstream had no other prompt to read.
        finish_s: Seconds to the end of the answer.
        is_in_time: Whether the answer ends before the deadline.
        is_on_target: Whether the first byte and all pauses meet the targets.
        cost_s: Cost of the placement, in seconds of waiting.
    """

    upstream: UpstreamRecord
    prompt_tokens: int
    tokens_ahead: int
    first_s: float
    alone_s: float
    finish_s: float
    is_in_time: bool
    is_on_target: bool
    cost_s: float


class Placer:
    """Finds the upstream that probably answers a request first.

    Args:
        zone: Availability zone of the node.
        regions: Region of each availability zone.
        board: Loads of upstreams.
        health: Failures of upstreams.
        speeds: Speeds of upstreams.
        cache: Parts of prompts that upstreams hold.
    """

    def __init__(
        self,
        zone: str,
        regions: Mapping[str, str],
        board: LoadBoard,
        health: UpstreamHealth,
        speeds: UpstreamSpeeds,
        cache: PromptCacheMap,
    ) -> None:
        self._zone = zone
        self._regions = regions
        self._board = board
        self._health = health
        self._speeds = speeds
        self._cache = cache

    def places(self, upstream: UpstreamRecord, service: Service) -> int:
        """Returns the requests that an upstream may have at once."""
        return upstream.slots or service.batch_size or 1

    def choose(
        self,
        item: WorkItem,
        service: Service,
        upstreams: Sequence[UpstreamRecord],
        now: float,
    ) -> Placement | None:
        """Returns a place for a request, None if it should wait.

        A request waits for an upstream that meets its targets as long as
        there is one; then any upstream that finishes in time will do.

        Args:
            item: Request to place.
            service: Its service.
            upstreams: Upstreams that may run it.
            now: Monotonic seconds.
        """
        free = []
        can_meet_target = False
        item.best_first_s = float("inf")
        for upstream in upstreams:
            upstream_id = upstream.upstream_id
            if upstream_id in item.excluded or self._health.is_ejected(
                upstream_id
            ):
                continue
            load = self._board.load(upstream_id)
            if load.is_silent or self._is_silent(service, upstream_id, load):
                continue
            prediction = self._predict(item, service, upstream, load, now)
            can_meet_target |= prediction.is_on_target
            item.best_first_s = min(item.best_first_s, prediction.alone_s)
            if self._has_place(service, upstream, load):
                free.append(prediction)
        best = _best(free, can_meet_target)
        if best is None:
            return None
        return Placement(
            best.upstream,
            item,
            best.prompt_tokens,
            best.tokens_ahead,
            best.first_s,
            now,
        )

    def _has_place(
        self, service: Service, upstream: UpstreamRecord, load: UpstreamLoad
    ) -> bool:
        limit = self.places(upstream, service)
        if self._health.is_probation(upstream.upstream_id):
            limit = min(limit, _PROBATION_PLACES)
        return load.requests < limit and self._board.may_start(
            upstream.upstream_id, limit - load.requests
        )

    def _is_silent(
        self, service: Service, upstream_id: str, load: UpstreamLoad
    ) -> bool:
        """Whether requests wait at an upstream that should have answered."""
        silent_s = self._board.silent_s(upstream_id)
        if silent_s < _MIN_SILENCE_S:
            return False
        if service.is_engine:
            expected_s = self._speeds.first_event_s(
                upstream_id, service.name, load.unread_tokens
            ) + self._speeds.event_s(upstream_id, service.name)
        else:
            expected_s = self._speeds.call_s(upstream_id, service.name)
        if silent_s < _MIN_SILENCE_S + _SILENT_PREDICTIONS * expected_s:
            return False
        self._board.mark_silent(upstream_id)
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
        fill = load.requests / self.places(upstream, service)
        work = item.work
        route = item.route
        prompt_tokens = 0
        longest_pause_s = 0.0
        if service.is_engine:
            cached = self._cache.cached_tokens(upstream_id, work.parts)
            prompt_tokens = max(work.prompt_tokens - cached, 1)
            tokens_ahead = load.unread_tokens + prompt_tokens
            token_s = self._speeds.token_s(upstream_id, service.name)
            event_s = self._speeds.event_s(upstream_id, service.name)
            first_s = self._speeds.first_event_s(
                upstream_id, service.name, tokens_ahead
            )
            alone_s = first_s - token_s * load.unread_tokens
            events = work.expected_output_tokens / service.tokens_per_event
            finish_s = first_s + _LENGTH_MARGIN * events * event_s
            # Running streams pause while a chunk of a prompt is read in each
            # of the steps that make up one event.
            longest_pause_s = event_s + token_s * min(
                tokens_ahead, service.tokens_per_event * _CHUNK_TOKENS
            )
        else:
            tokens_ahead = 0
            first_s = self._speeds.call_s(upstream_id, service.name)
            alone_s = first_s
            first_s *= 1 + fill
            finish_s = first_s
        pause_target_s = route.event_interval_target_s
        is_smooth = pause_target_s is None or longest_pause_s <= pause_target_s
        return Prediction(
            upstream,
            prompt_tokens,
            tokens_ahead,
            first_s,
            alone_s,
            finish_s,
            now + finish_s <= item.deadline_at
            and now + first_s <= item.patience_at - item.leave_margin_s,
            is_smooth and now + first_s <= item.target_at,
            first_s
            + self._distance_s(upstream)
            + _BATCH_S * fill
            + _FAILURE_S * self._health.failure_share(upstream_id),
        )

    def _distance_s(self, upstream: UpstreamRecord) -> float:
        if upstream.zone == self._zone:
            return 0.0
        own_region = self._regions.get(self._zone)
        if self._regions.get(upstream.zone) == own_region:
            return _OTHER_ZONE_S
        return _OTHER_REGION_S


def _best(
    free: Sequence[Prediction], can_meet_target: bool
) -> Prediction | None:
    """Returns the best free upstream; None if a better one is worth a wait."""
    in_time = [entry for entry in free if entry.is_in_time]
    on_target = [entry for entry in in_time if entry.is_on_target]
    if on_target:
        return min(on_target, key=_cost)
    if can_meet_target:
        return None
    return min(in_time, key=_cost, default=None)


def _cost(prediction: Prediction) -> float:
    return prediction.cost_s


PlaceFinder = Callable[[WorkItem], Placement | None]
