"""Admission and placement of the requests of all services."""

import time
from collections.abc import Callable

from tanagerport.gateway.admission import AdmissionQueue
from tanagerport.gateway.domain import Service
from tanagerport.gateway.load_board import LoadBoard
from tanagerport.gateway.placement import Placer
from tanagerport.gateway.prompt_cache import PromptCacheMap
from tanagerport.gateway.rollout import RolloutController
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.upstream_speed import UpstreamSpeeds
from tanagerport.gateway.work import Placement, WorkItem
from tanagerport.refusals import Refusal

# An answer that takes so many times as long as the old version's upstreams take
# on average counts as slow. Sound upstreams of a service differ in speed by a
# factor of four, so the slowest of them take twice the average.
_SLOW_RATIO = 2.5
# Shorter excess is the distance to another region, or chance.
_SLOW_EXCESS_S = 0.03


class Scheduler:
    """Gives places at upstreams to requests.

    Args:
        registry: Upstreams that may be used.
        placer: Chooses among them.
        board: Loads of upstreams.
        health: Failures of upstreams.
        speeds: Speeds of upstreams.
        cache: Parts of prompts that upstreams hold.
        rollouts: Versions that requests may go to.
        find_service: Returns a service of the configuration in force.
        on_occupied: Called after a place was taken.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        placer: Placer,
        board: LoadBoard,
        health: UpstreamHealth,
        speeds: UpstreamSpeeds,
        cache: PromptCacheMap,
        rollouts: RolloutController,
        find_service: Callable[[str], Service],
        on_occupied: Callable[[], None],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._registry = registry
        self._placer = placer
        self._board = board
        self._health = health
        self._speeds = speeds
        self._cache = cache
        self._rollouts = rollouts
        self._find_service = find_service
        self._on_occupied = on_occupied
        self._now = now
        self._queues: dict[str, AdmissionQueue] = {}

    @property
    def waiting(self) -> dict[str, int]:
        """Waiting requests by service."""
        return {
            service: queue.size
            for service, queue in self._queues.items()
            if queue.size
        }

    async def acquire(self, item: WorkItem) -> Placement:
        """Waits for a place at an upstream of the request's service.

        Raises:
            RefusedError: The request can't be answered in time.
        """
        queue = self._queues.get(item.service)
        if queue is None:
            queue = AdmissionQueue(
                self._find_place, self._occupy, self.release, self._now
            )
            self._queues[item.service] = queue
        return await queue.acquire(item)

    def record_first_event(
        self, placement: Placement, first_byte_s: float
    ) -> None:
        """Records the first event or the head of an answer."""
        if placement.has_first_event:
            return
        placement.has_first_event = True
        placement.first_byte_s = first_byte_s
        upstream = placement.upstream
        self._board.record_first_event(
            upstream.upstream_id, placement.prompt_tokens
        )
        self._health.record_success(upstream.upstream_id)
        tokens = placement.tokens_ahead
        self._note_slow(
            placement,
            first_byte_s,
            lambda upstream_id: (
                self._speeds.first_event_s(
                    upstream_id, upstream.service, tokens
                )
                if tokens
                else self._speeds.call_s(upstream_id, upstream.service)
            ),
        )
        self._speeds.record_answer(
            upstream.upstream_id,
            upstream.service,
            first_byte_s,
            placement.tokens_ahead,
        )
        self._cache.record(upstream.upstream_id, placement.item.work.parts)

    def record_heard(self, placement: Placement) -> None:
        """Records that bytes of an answer arrived."""
        self._board.record_heard(placement.upstream.upstream_id)

    def record_pace(self, placement: Placement, event_s: float) -> None:
        """Records the mean time between events of a stream, in seconds."""
        upstream = placement.upstream
        self._note_slow(
            placement,
            event_s,
            lambda upstream_id: self._speeds.event_s(
                upstream_id, upstream.service
            ),
        )
        self._speeds.record_pace(
            upstream.upstream_id, upstream.service, event_s
        )

    def record_outcome(self, placement: Placement, has_failed: bool) -> None:
        """Records the end of a dispatch as evidence about its version."""
        item = placement.item
        is_slow = placement.is_slow or (
            placement.first_byte_s is not None
            and placement.first_byte_s > item.route.target_s
        )
        self._rollouts.record_answer(
            placement.upstream, item.route.name, has_failed, is_slow
        )

    def _note_slow(
        self,
        placement: Placement,
        seconds: float,
        expect_s: Callable[[str], float],
    ) -> None:
        """Compares a time with what the old version's upstreams take.

        A version may be several times slower and still meet its targets while
        there is little load.

        Args:
            placement: Place whose answer took the time.
            seconds: Time until the first byte, or between events.
            expect_s: Returns what an upstream takes for the same.
        """
        service = placement.item.service
        old = self._rollouts.old_version_upstreams(
            service, self._registry.usable(service)
        )
        if not old:
            return
        mean_s = sum(expect_s(entry.upstream_id) for entry in old) / len(old)
        placement.is_slow |= seconds > max(
            _SLOW_RATIO * mean_s, mean_s + _SLOW_EXCESS_S
        )

    def release(self, placement: Placement) -> None:
        """Gives a place back; a second call has no effect."""
        if placement.is_released:
            return
        placement.is_released = True
        upstream_id = placement.upstream.upstream_id
        if not placement.has_first_event:
            self._board.record_first_event(upstream_id, placement.prompt_tokens)
        self._board.end(upstream_id)
        queue = self._queues.get(placement.item.service)
        if queue is not None:
            queue.offer_places()

    def offer_places(self) -> None:
        """Looks for places after a change of loads or upstreams."""
        for queue in self._queues.values():
            queue.offer_places()

    def refuse_waiting(self, refusal: Refusal) -> None:
        """Refuses all requests that wait."""
        for queue in self._queues.values():
            queue.refuse_all(refusal)

    def _find_place(self, item: WorkItem) -> Placement | None:
        return self._placer.choose(
            item,
            self._find_service(item.service),
            self._rollouts.select_upstreams(
                item.service,
                item.request_id,
                self._registry.usable(item.service),
            ),
            self._now(),
        )

    def _occupy(self, placement: Placement) -> None:
        self._board.start(
            placement.upstream.upstream_id, placement.prompt_tokens
        )
        self._rollouts.record_dispatch(placement.upstream)
        self._on_occupied()
