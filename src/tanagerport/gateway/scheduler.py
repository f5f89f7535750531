"""Request scheduling: one admission queue per service, and load accounting."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.admission import AdmissionQueue
from tanagerport.gateway.domain import Service, UpstreamRecord
from tanagerport.gateway.io_timeout import expire
from tanagerport.gateway.placement import LONG_OUTPUT_FACTOR, UpstreamSelector
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.rate_gates import RateLimit, ShareGate, join_limits
from tanagerport.gateway.rollout import RolloutController
from tanagerport.gateway.slot_client import SlotClient
from tanagerport.gateway.slot_messages import SlotOutcome
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_load import LoadTracker
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.work_item import (
    ESTABLISHED_EVENTS,
    Placement,
    WorkItem,
)
from tanagerport.refusals import Refusal, RefusalReason

# An answer counts as slow above this multiple of the old version's mean.
# Healthy upstreams of a service differ in speed by a factor of four, so the
# slowest of them take twice the mean.
_SLOW_RATIO = 2.5
# A smaller difference may be the latency to another region or noise.
_MIN_SLOW_EXCESS_S = 0.03
# Interval at which a request that waits for the end of a backoff looks for
# other upstreams: that of the housekeeping, which admits waiting requests.
_BACKOFF_POLL_INTERVAL_S = 0.1
# Time for which a request waits for this node's share of limited upstreams
# before it asks a coordinator again, in seconds: as long as one that did not
# answer is left out.
_OWN_WAIT_S = 0.5


class Scheduler:
    """Assigns requests to upstreams and tracks them until they are released.

    Args:
        registry: Known upstreams and their states.
        selector: Selects an upstream for a request.
        load_tracker: Requests in progress at each upstream.
        health: Failure statistics of upstreams.
        backoff: Upstreams that want no requests for some time.
        latencies: Latency estimates of upstreams.
        cache: Prompt parts that upstreams have probably cached.
        rollouts: Decides which versions may serve a request.
        find_service: Returns a service of the applied configuration.
        on_placed: Called after a request was assigned to an upstream.
        slots: Gets slots from the coordinators; None to decide on the reports
            of other nodes alone.
        now: Monotonic clock, in seconds.
        gate: Limits what this node sends on its own to limited upstreams; None
            if none is limited.
        record_answer: Called with the keys of the prompt parts on which an
            answer was whole or went on well beyond its first event.
        record_whole_answer: Called with the key of a request whose stream was
            whole.
    """

    def __init__(
        self,
        registry: UpstreamRegistry,
        selector: UpstreamSelector,
        load_tracker: LoadTracker,
        health: UpstreamHealth,
        backoff: UpstreamBackoff,
        latencies: LatencyEstimator,
        cache: PromptCacheIndex,
        rollouts: RolloutController,
        find_service: Callable[[str], Service],
        on_placed: Callable[[], None],
        slots: SlotClient | None = None,
        now: Callable[[], float] = time.monotonic,
        record_answer: Callable[[tuple[int, ...]], None] | None = None,
        record_whole_answer: Callable[[int], None] | None = None,
        gate: ShareGate | None = None,
    ) -> None:
        self._registry = registry
        self._selector = selector
        self._load_tracker = load_tracker
        self._health = health
        self._backoff = backoff
        self._latencies = latencies
        self._cache = cache
        self._rollouts = rollouts
        self._find_service = find_service
        self._on_placed = on_placed
        self._slots = slots
        self._now = now
        self._record_answer = record_answer
        self._record_whole_answer = record_whole_answer
        self._gate = gate
        self._queues: dict[str, AdmissionQueue] = {}
        # Requests that wait for a coordinator or a backoff, and their refusal
        # once the process stops.
        self._interruptible_waits: dict[asyncio.Timeout, WorkItem] = {}
        self._stop_refusal: Refusal | None = None
        # Requests that wait for a coordinator, and the versions that they wait
        # for; none if any will do.
        self._version_waits: dict[
            asyncio.Timeout, tuple[WorkItem, list[str]]
        ] = {}

    @property
    def is_stopping(self) -> bool:
        """Whether waiting requests are refused, as the process stops."""
        return self._stop_refusal is not None

    @property
    def waiting(self) -> dict[str, int]:
        """Number of waiting requests by service."""
        return {
            service: queue.size
            for service, queue in self._queues.items()
            if queue.size
        }

    async def acquire(self, item: WorkItem) -> Placement:
        """Waits until an upstream of the request's service has a free slot.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        while True:
            if self._slots is not None:
                placement = await self._acquire_coordinated(self._slots, item)
                if placement is not None:
                    return placement
            await self._await_backoff(item)
            placement = await self._acquire_own(item)
            if placement is not None:
                break
            self._check_stop(item)
        if self._slots is not None:
            self._slots.adopt(placement)
        return placement

    async def _acquire_coordinated(
        self, slots: SlotClient, item: WorkItem
    ) -> Placement | None:
        """Waits for a slot that a coordinator grants, and records its use.

        Returns:
            The placement; None if this node has to decide on its own.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        await self._await_backoff(item)
        placement = await self._acquire_granted(slots, item)
        if placement is None:
            return None
        if not self._is_allowed(placement):
            # The rollout went on while the request waited for the slot.
            placement.outcome = SlotOutcome.UNUSED
            slots.release(placement)
            return None
        self._load_tracker.record_start(
            placement.upstream.upstream_id, placement.prompt_tokens
        )
        self._rollouts.record_dispatch(placement.upstream)
        return placement

    async def _acquire_own(self, item: WorkItem) -> Placement | None:
        """Waits for a slot that this node chooses on its own.

        Returns:
            The placement; None if the upstreams are limited and it is time to
            ask a coordinator again. Its grants and the shares of the nodes
            would exceed the limits together.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        service = item.service
        queue = self._queues.get(service)
        if queue is None:
            queue = AdmissionQueue(
                self._find_placement,
                self._record_placement,
                self.release,
                self._now,
                get_rate_limit=lambda: self._find_rate_limit(service),
            )
            self._queues[service] = queue
        if self._slots is None or self._find_rate_limit(service) is None:
            return await queue.acquire(item)
        try:
            async with asyncio.timeout(_OWN_WAIT_S):
                return await queue.acquire(item)
        except TimeoutError:
            return None

    async def _acquire_granted(
        self, slots: SlotClient, item: WorkItem
    ) -> Placement | None:
        """Waits for a slot that a coordinator grants.

        Returns:
            The placement; None if this node has to decide on its own.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        allowed = self._find_allowed(item)
        if not allowed:
            return None
        if self._gate is not None and join_limits(self._gate, allowed):
            old = self._rollouts.old_version_upstreams(
                item.service, self._registry.usable(item.service)
            )
            if old and not set(old) & set(allowed):
                # The old version takes what the new one has no room for.
                placement = await self._ask(slots, item, allowed, False)
                if placement is not None:
                    return placement
                allowed = old
        return await self._ask(slots, item, allowed, True)

    async def _ask(
        self,
        slots: SlotClient,
        item: WorkItem,
        allowed: Sequence[UpstreamRecord],
        may_wait: bool,
    ) -> Placement | None:
        """Asks a coordinator for a slot of some upstreams.

        Returns:
            The placement; None if this node has to decide on its own, or if the
            request may not wait for a slot.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        usable = self._registry.usable(item.service)
        versions: list[str] = []
        if len(allowed) < len(usable):
            versions = sorted({upstream.version for upstream in allowed})
        excluded = item.excluded | {
            upstream.upstream_id
            for upstream in allowed
            if self._health.is_ejected(upstream.upstream_id)
        }
        if all(
            upstream.upstream_id in excluded
            for upstream in self._backoff.usable(allowed)
        ):
            excluded = item.excluded
        # The coordinator knows neither that an upstream wants nothing from this
        # node nor, for a while, that one is leaving.
        excluded = (
            excluded
            | self._registry.leaving_ids(item.service)
            | {
                upstream.upstream_id
                for upstream in usable
                if self._backoff.is_blocked(upstream)
            }
        )
        try:
            async with asyncio.timeout(None) as wait:
                self._version_waits[wait] = item, versions
                async with self._interrupt_on_stop(item):
                    acquire = slots.acquire if may_wait else slots.try_acquire
                    return await acquire(item, versions, excluded)
        except TimeoutError:
            # None of the versions may serve the request any more.
            return None
        finally:
            self._version_waits.pop(wait, None)

    @contextlib.asynccontextmanager
    async def _interrupt_on_stop(self, item: WorkItem) -> AsyncIterator[None]:
        """Ends what is awaited inside when the process stops.

        Raises:
            RefusedError: The process stops.
        """
        try:
            async with asyncio.timeout(None) as wait:
                self._interruptible_waits[wait] = item
                yield
        except TimeoutError:
            if self._stop_refusal is None:
                raise
            raise RefusedError(self._stop_refusal) from None
        finally:
            self._interruptible_waits.pop(wait, None)

    async def _await_backoff(self, item: WorkItem) -> None:
        """Waits while every upstream of a request wants no requests.

        Raises:
            RefusedError: The first one takes requests again too late.
        """
        while True:
            wait_s = self._backoff.remaining_s(self._find_allowed(item))
            if wait_s == 0:
                return
            self._check_stop(item)
            if self._now() + wait_s >= (
                item.client_timeout_at - item.delivery_margin_s
            ):
                raise RefusedError(
                    Refusal(
                        RefusalReason.UPSTREAM_REJECTED,
                        "every upstream asked for no requests; the first takes"
                        f" them again in {wait_s:.1f} s",
                        retry_after_s=wait_s,
                    )
                )
            async with self._interrupt_on_stop(item):
                await asyncio.sleep(min(wait_s, _BACKOFF_POLL_INTERVAL_S))

    def _find_allowed(self, item: WorkItem) -> Sequence[UpstreamRecord]:
        """Returns the upstreams of the versions that may serve a request.

        A request for a new version whose upstreams want no requests goes to the
        old version, but not the other way round.
        """
        usable = self._registry.usable(item.service)
        allowed = self._rollouts.select_upstreams(
            item.service, item.request_id, usable
        )
        if self._backoff.remaining_s(allowed) > 0:
            return (
                self._rollouts.old_version_upstreams(item.service, usable)
                or allowed
            )
        return allowed

    def _is_allowed(self, placement: Placement) -> bool:
        """Returns whether a rollout lets the upstream serve the request."""
        return any(
            upstream.upstream_id == placement.upstream.upstream_id
            for upstream in self._find_servable(placement.item)
        )

    def _find_servable(self, item: WorkItem) -> list[UpstreamRecord]:
        """Returns the allowed upstreams, and those of the old version."""
        return [
            *self._find_allowed(item),
            *self._rollouts.old_version_upstreams(
                item.service, self._registry.usable(item.service)
            ),
        ]

    def find_overdue(
        self, service: str, upstream_ids: Iterable[str]
    ) -> list[str]:
        """Returns the upstreams in use that are overdue to send data."""
        limits = self._find_service(service)
        return [
            upstream_id
            for upstream_id in upstream_ids
            if self._selector.is_overdue(limits, upstream_id)
        ]

    def release_unused(self, placement: Placement) -> None:
        """Frees the slot of a placement whose upstream got no request."""
        placement.outcome = SlotOutcome.UNUSED
        self._rollouts.record_unreached(placement.upstream)
        self.release(placement)

    def completion_s(self, placement: Placement) -> float:
        """Returns the predicted time to the end of the answer, in seconds."""
        return self._selector.completion_s(
            placement, self._find_service(placement.item.service)
        )

    def long_completion_s(self, placement: Placement) -> float:
        """Returns the time in which nearly all such answers end, in seconds."""
        return self._selector.completion_s(
            placement,
            self._find_service(placement.item.service),
            LONG_OUTPUT_FACTOR,
        )

    def longest_completion_s(self, placement: Placement) -> float:
        """Returns the time in which every such answer ends, in seconds.

        Infinite if nothing bounds it but its deadline.
        """
        return self._selector.longest_completion_s(
            placement, self._find_service(placement.item.service)
        )

    def record_events(self, placement: Placement, count: int) -> None:
        """Records that a number of events of a stream arrived."""
        placement.event_count += count
        if placement.event_count >= ESTABLISHED_EVENTS:
            self.record_established(placement)

    def record_established(self, placement: Placement) -> None:
        """Records an answer that is whole or well beyond its first event."""
        if placement.is_established:
            return
        placement.is_established = True
        if self._record_answer is not None and placement.item.part_keys:
            self._record_answer(placement.item.part_keys)

    def record_whole_stream(self, placement: Placement) -> None:
        """Records a stream that is whole."""
        self.record_established(placement)
        if self._record_whole_answer is not None:
            self._record_whole_answer(placement.item.request_key)

    def record_first_event(
        self, placement: Placement, first_byte_s: float
    ) -> None:
        """Records the first event of a stream, or a whole answer."""
        if placement.has_first_event:
            return
        placement.has_first_event = True
        placement.item.has_begun = True
        placement.first_byte_s = first_byte_s
        if self._slots is not None and placement.queued_prompt_tokens:
            self._slots.record_first_event(placement, first_byte_s)
        upstream = placement.upstream
        self._load_tracker.record_first_event(
            upstream.upstream_id, placement.prompt_tokens
        )
        self._health.record_success(upstream.upstream_id)
        tokens = placement.queued_prompt_tokens
        self._detect_slow_answer(
            placement,
            first_byte_s,
            lambda upstream_id: (
                self._latencies.first_event_s(
                    upstream_id, upstream.service, tokens
                )
                if tokens
                else self._latencies.response_s(upstream_id, upstream.service)
            ),
        )
        self._latencies.record_first_byte(
            upstream.upstream_id,
            upstream.service,
            first_byte_s,
            placement.queued_prompt_tokens,
        )
        self._cache.record(upstream.upstream_id, placement.item.work.parts)

    def record_received(self, placement: Placement) -> None:
        """Records that bytes of an answer arrived."""
        self._load_tracker.record_received(placement.upstream.upstream_id)

    def record_event_interval(
        self, placement: Placement, event_interval_s: float
    ) -> None:
        """Records the mean time between events of a stream, in seconds."""
        upstream = placement.upstream
        placement.event_interval_s = event_interval_s
        self._detect_slow_answer(
            placement,
            event_interval_s,
            lambda upstream_id: self._latencies.event_interval_s(
                upstream_id, upstream.service
            ),
        )
        self._latencies.record_event_interval(
            upstream.upstream_id, upstream.service, event_interval_s
        )

    def record_outcome(
        self,
        placement: Placement,
        has_failed: bool,
        has_answered: bool = True,
    ) -> None:
        """Records the outcome of a dispatch.

        Args:
            placement: Placement of the request.
            has_failed: Whether the answer is a failure, or missing.
            has_answered: Whether the upstream gave a whole answer.
        """
        placement.outcome = (
            SlotOutcome.ERROR_RESPONSE if has_failed else SlotOutcome.SUCCEEDED
        )
        item = placement.item
        is_slow = placement.is_slow or (
            placement.first_byte_s is not None
            and placement.first_byte_s > item.route.target_s
        )
        self._rollouts.record_answer(
            placement.upstream,
            item.route.name,
            has_failed,
            is_slow,
            has_answered,
            is_repeat=bool(item.excluded),
        )

    def record_unreached(self, placement: Placement) -> None:
        """Records that a request did not reach its upstream."""
        self._rollouts.record_unreached(placement.upstream)

    def find_candidates(self, item: WorkItem) -> Sequence[UpstreamRecord]:
        """Returns the upstreams that may serve a request."""
        return self._find_allowed(item)

    def _detect_slow_answer(
        self,
        placement: Placement,
        measured_s: float,
        expected_s: Callable[[str], float],
    ) -> None:
        """Marks an answer as slow if the old version is much faster.

        The latency targets alone are not enough: under low load, a version
        that is several times slower may still meet them.

        Args:
            placement: Placement of the answer.
            measured_s: Time to the first byte, or mean time between events, in
                seconds.
            expected_s: Returns the estimate of that time for an upstream.
        """
        service = placement.item.service
        reference_ids = self._reference_ids(service)
        if not reference_ids:
            return
        mean_s = sum(map(expected_s, reference_ids)) / len(reference_ids)
        placement.is_slow |= measured_s > max(
            _SLOW_RATIO * mean_s, mean_s + _MIN_SLOW_EXCESS_S
        )

    def _reference_ids(self, service: str) -> list[str]:
        """Returns the ids whose latencies are those of the old version."""
        old = self._rollouts.old_version_upstreams(
            service, self._registry.usable(service)
        )
        if old:
            return [upstream.upstream_id for upstream in old]
        version = self._rollouts.lost_version(service)
        if version is None:
            return []
        retained_id = _retained_id(service, version)
        return (
            [retained_id] if self._latencies.has_estimates(retained_id) else []
        )

    def remove_upstream(self, upstream: UpstreamRecord) -> None:
        """Removes the state of an upstream that is gone.

        Its latencies are kept for its version, which a rollout may have to
        compare with when all upstreams of the version are gone.
        """
        self._latencies.retain_upstream(
            upstream.upstream_id,
            _retained_id(upstream.service, upstream.version),
        )
        self._latencies.remove_upstream(upstream.upstream_id)
        self._rollouts.remove_upstream(upstream.upstream_id)

    def release(self, placement: Placement) -> None:
        """Frees the slot of a placement; idempotent."""
        if placement.is_released:
            return
        placement.is_released = True
        upstream_id = placement.upstream.upstream_id
        if not placement.has_first_event:
            self._load_tracker.record_first_event(
                upstream_id, placement.prompt_tokens
            )
        self._load_tracker.record_end(upstream_id)
        if self._slots is not None:
            self._slots.release(placement)
        queue = self._queues.get(placement.item.service)
        if queue is not None:
            queue.admit_waiting()

    def admit_waiting(self) -> None:
        """Admits waiting requests after loads or upstreams changed."""
        for queue in self._queues.values():
            queue.admit_waiting()
        for wait, (item, versions) in self._version_waits.items():
            if versions and not any(
                upstream.version in versions
                for upstream in self._find_servable(item)
            ):
                expire(wait)

    def refuse_unserved(self, refusal: Refusal) -> None:
        """Refuses the waiting requests whose clients have no data yet.

        The process stops, and another node may serve them. A stream that has
        begun would be cut, so it still waits for an upstream.
        """
        self._stop_refusal = refusal
        for wait, item in self._interruptible_waits.items():
            if not item.is_client_served:
                expire(wait)
        for queue in self._queues.values():
            queue.refuse_unserved(refusal)

    def _check_stop(self, item: WorkItem) -> None:
        if self._stop_refusal is not None and not item.is_client_served:
            raise RefusedError(self._stop_refusal)

    def _find_placement(self, item: WorkItem) -> Placement | None:
        return self._selector.select(
            item,
            self._find_service(item.service),
            self._backoff.usable(self._find_allowed(item)),
            self._now(),
        )

    def _find_rate_limit(self, service: str) -> RateLimit | None:
        if self._gate is None:
            return None
        return join_limits(self._gate, self._registry.usable(service))

    def _record_placement(self, placement: Placement) -> None:
        if self._gate is not None:
            self._gate.take(placement.upstream)
        self._load_tracker.record_start(
            placement.upstream.upstream_id, placement.prompt_tokens
        )
        self._rollouts.record_dispatch(placement.upstream)
        self._on_placed()


def _retained_id(service: str, version: str) -> str:
    return f"{service}@{version}"
