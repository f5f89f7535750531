"""Choice of the upstream for a request."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from tanagerport.gateway.domain import Service, UpstreamRecord
from tanagerport.gateway.load_board import LoadBoard, UpstreamLoad
from tanagerport.gateway.prompt_cache import PromptCacheMap
from tanagerport.gateway.upstream_health import UpstreamHealth
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
# Requests in progress on an upstream that failed last, by this node.
_PROBATION_PLACES = 1


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    cost_s: float
    upstream: UpstreamRecord
    load: UpstreamLoad
    prompt_tokens: int
    predicted_s: float


class Placer:
    """Finds the upstream that probably answers a request first.

    Args:
        zone: Availability zone of the node.
        regions: Region of each availability zone.
        board: Loads of upstreams.
        health: Speeds and failures of upstreams.
        cache: Parts of prompts that upstreams hold.
    """

    def __init__(
        self,
        zone: str,
        regions: Mapping[str, str],
        board: LoadBoard,
        health: UpstreamHealth,
        cache: PromptCacheMap,
    ) -> None:
        self._zone = zone
        self._regions = regions
        self._board = board
        self._health = health
        self._cache = cache

    def places(self, upstream: UpstreamRecord, service: Service) -> int:
        """Returns the requests that an upstream may have at once."""
        return upstream.slots or service.batch_size or 1

    def choose(
        self,
        item: WorkItem,
        service: Service,
        upstreams: Iterable[UpstreamRecord],
        now: float,
    ) -> Placement | None:
        """Returns a place for a request, None if all are taken.

        Args:
            item: Request to place.
            service: Its service.
            upstreams: Upstreams that may run it.
            now: Monotonic seconds.
        """
        candidates = (
            self._rate(item, service, upstream, load)
            for upstream, load in self._with_place(service, upstreams, item)
        )
        best = min(candidates, key=_cost, default=None)
        if best is None:
            return None
        return Placement(
            best.upstream,
            item,
            best.prompt_tokens,
            best.load.unread_tokens + best.prompt_tokens,
            best.predicted_s,
            now,
        )

    def _with_place(
        self,
        service: Service,
        upstreams: Iterable[UpstreamRecord],
        item: WorkItem,
    ) -> Iterable[tuple[UpstreamRecord, UpstreamLoad]]:
        for upstream in upstreams:
            upstream_id = upstream.upstream_id
            if upstream_id in item.excluded:
                continue
            if self._health.is_ejected(upstream_id):
                continue
            load = self._board.load(upstream_id)
            limit = self.places(upstream, service)
            if self._health.is_probation(upstream_id):
                limit = min(limit, _PROBATION_PLACES)
            if load.requests < limit:
                yield upstream, load

    def _rate(
        self,
        item: WorkItem,
        service: Service,
        upstream: UpstreamRecord,
        load: UpstreamLoad,
    ) -> _Candidate:
        upstream_id = upstream.upstream_id
        fill = load.requests / self.places(upstream, service)
        prompt_tokens = 0
        if service.is_engine:
            cached = self._cache.cached_tokens(upstream_id, item.work.parts)
            prompt_tokens = max(item.work.prompt_tokens - cached, 1)
            token_s = self._health.token_s(upstream_id, service.name)
            predicted_s = token_s * (load.unread_tokens + prompt_tokens)
        else:
            call_s = self._health.call_s(upstream_id, service.name)
            predicted_s = call_s * (1 + fill)
        cost_s = (
            predicted_s
            + self._distance_s(upstream)
            + _BATCH_S * fill
            + _FAILURE_S * self._health.failure_share(upstream_id)
        )
        return _Candidate(cost_s, upstream, load, prompt_tokens, predicted_s)

    def _distance_s(self, upstream: UpstreamRecord) -> float:
        if upstream.zone == self._zone:
            return 0.0
        own_region = self._regions.get(self._zone)
        if self._regions.get(upstream.zone) == own_region:
            return _OTHER_ZONE_S
        return _OTHER_REGION_S


def _cost(candidate: _Candidate) -> float:
    return candidate.cost_s


PlaceFinder = Callable[[WorkItem], Placement | None]
