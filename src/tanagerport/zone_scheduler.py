"""Scheduler that shares the slots of upstreams with the zone's nodes."""

import itertools
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from tanagerport.admission import (
    AdmissionLimits,
    ModelQueue,
    QueueEntry,
    is_deadline_unreachable,
    retry_after_s,
)
from tanagerport.clock import Clock
from tanagerport.estimates import LengthEstimator, prompt_tokens
from tanagerport.exceptions import RefusedError
from tanagerport.explain import ExplanationLog
from tanagerport.interfaces import (
    MembershipView,
    NodeView,
    PeerNetwork,
    VersionPolicy,
)
from tanagerport.link_budget import LinkBudget
from tanagerport.metrics import Metrics
from tanagerport.model import Refusal, RefusalReason, Request, UpstreamKind
from tanagerport.peer_pb2 import Heartbeat
from tanagerport.preemption import Preemptor, ResumeOrder
from tanagerport.prefix_cache import CacheEvent, PrefixIndex
from tanagerport.routing import (
    Router,
    RoutingDecision,
    SpillChooser,
    VersionMatcher,
)
from tanagerport.sampling import Sampler
from tanagerport.scheduler import (
    DispatchControl,
    DispatchProgress,
    Outcome,
    Placement,
)
from tanagerport.scheduler_threads import SchedulerThreads
from tanagerport.settings import Settings
from tanagerport.slot_coordinator import SlotCoordinator
from tanagerport.slot_exchange import SlotExchange
from tanagerport.slot_pool import ServeKey, SlotPool, key_of, keys_of
from tanagerport.slots import TIERS, ServingMap, SlotHolder
from tanagerport.upstream_use import Dispatch, UpstreamUse, describe_use

_TICK_INTERVAL_S = 0.1
_HOUSEKEEPING_INTERVAL_S = 10.0
# Requests that are skipped in one pass because they can't use a free upstream.
_MAX_SKIPPED_REQUESTS = 4
# Time after which a waiting top-tier request tries again to preempt if a slot
# was or may soon be freed; _RECLAIM_RETRY_S applies if nothing can be stopped.
_PREEMPT_RETRY_S = 0.02
# Wait before the first preemption. Short top-tier answers end often, so a slot
# is usually freed within this time without pausing a generation.
_PREEMPT_DELAY_S = 0.08
_RECLAIM_RETRY_S = 0.1
_NO_VICTIMS_MAX_AGE_S = 0.3
_WAIT_INTERVAL_S = 1.0
# Leaves enough time for the first token, which is due after 0.51 s and takes
# about 0.1 s on a free engine.
_MAX_FASTER_UPSTREAM_WAIT_S = 0.25
_DEFAULT_TOKEN_INTERVAL_S = 0.02
_DURATION_EWMA_WEIGHT = 0.1
# Relative to decoding: prefill of a token costs an engine about a tenth.
_PREFILL_COST_PER_TOKEN = 0.1
_BYTES_PER_TOKEN = 4
_MODELS_PER_HEARTBEAT = 8
_SPILL_REASONS = frozenset(
    {
        RefusalReason.NO_UPSTREAM,
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_UNREACHABLE,
    }
)


class ZoneScheduler:
    """Implements `Scheduler`; use `create_zone_scheduler` to build one.

    Args:
        settings: Settings of the node.
        membership: View of the nodes and upstreams.
        peers: Calls to and heartbeats with other nodes.
        versions: Policy that chooses model versions.
        metrics: Metrics of the node.
        clock: Source of time.
        explanations: Log of the decisions on recent requests.
        run_background: Whether a thread renews grants and limits. Without
            it, callers must call `tick`.
    """

    def __init__(
        self,
        settings: Settings,
        membership: MembershipView,
        peers: PeerNetwork,
        versions: VersionPolicy,
        metrics: Metrics,
        clock: Clock,
        explanations: ExplanationLog,
        run_background: bool = True,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._versions = versions
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._threads = SchedulerThreads(
            self.tick, _TICK_INTERVAL_S, run_background
        )
        self._draining = False
        self._placement_ids = itertools.count(1)
        self._next_tick = self._next_housekeeping = 0.0
        self._queues: dict[ServeKey, ModelQueue] = {}
        self._durations: dict[str, float] = {}
        self._engine_calls: list[Callable[[], None]] = []
        self._exported_slots: dict[str, int] = {}
        self._explanations = explanations
        self._admission_limits = AdmissionLimits(
            settings.queue_limit, settings.caller_threads
        )
        lifetime_s = settings.timing.grant_lifetime_s
        now = clock.monotonic()
        self._serving = ServingMap(
            membership, settings.upstream_nodes, lifetime_s
        )
        self._holder = SlotHolder(self._serving, lifetime_s, now)
        self._coordinator = SlotCoordinator(self._serving, lifetime_s)
        self._pool = SlotPool(
            membership,
            self._serving,
            self._holder,
            self._coordinator,
            self._waiting_by_tier,
            clock,
        )
        self._exchange = SlotExchange(
            self._serving,
            self._holder,
            self._coordinator,
            self._pool,
            lifetime_s,
            clock,
        )
        self._lengths = LengthEstimator()
        self._sampler = Sampler(self._holder, self._lengths)
        self._prefixes = PrefixIndex(clock)
        self._matcher = VersionMatcher(versions)
        self._router = Router(self._prefixes, self._lengths, self._matcher)
        self._resume_order = ResumeOrder(self._remaining_generation_s)
        self._budget = LinkBudget(
            settings.link_bytes_per_s, settings.region, clock
        )
        self._spill = SpillChooser(membership, self._budget, clock)
        self._preemptor = Preemptor(
            self, self._lock, peers, settings.node_id, clock
        )

    @property
    def link_budget(self) -> LinkBudget:
        """Budget of bytes sent to other regions."""
        return self._budget

    # Interface to the pipeline.

    def acquire(
        self, request: Request, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Waits for a slot.

        Args:
            request: Request to dispatch.
            excluded: Upstreams on which this request already failed.

        Returns:
            The slot, which the caller must `release`.

        Raises:
            RefusedError: The request can't be served in time.
        """
        version = self._versions.choose_version(request)
        with self._lock:
            now = self._tick_if_due()
            entry = self._submit(request, excluded, version, now)
            if not entry.is_decided:
                entry.event = threading.Event()
        self._run_engine_calls()
        if not entry.is_decided:
            self._threads.start()
            self._wait(entry)
        if entry.refusal is not None:
            raise RefusedError(entry.refusal)
        assert entry.placement is not None
        return entry.placement

    def attach(self, placement: Placement, control: DispatchControl) -> None:
        """Registers the control over a dispatch that has started."""
        with self._lock:
            dispatch = self._find_dispatch(placement)
            if dispatch is not None:
                dispatch.control = control
                if isinstance(control, DispatchProgress):
                    dispatch.progress = control

    def release(self, placement: Placement, outcome: Outcome) -> None:
        """Releases a slot and records the outcome of its dispatch."""
        with self._lock:
            now = self._tick_if_due()
            use = self._pool.uses.get(placement.vm.vm_id)
            dispatch = (
                use.dispatches.pop(placement.placement_id, None)
                if use
                else None
            )
            if use is None or dispatch is None:
                return
            if dispatch.is_paused:
                use.paused.remove(dispatch)
            self._pool.give(use, dispatch, now)
            self._admission_limits.release_thread(dispatch.tier)
            self._record(use, dispatch, outcome, now)
            self._serve_upstream(use, now)
        self._run_engine_calls()

    def stop_admitting(self) -> None:
        """Refuses waiting and new requests with `draining`."""
        with self._lock:
            self._draining = True
            now = self._clock.monotonic()
            for queue in self._queues.values():
                for tier in range(TIERS):
                    while (entry := queue.take(tier, now)) is not None:
                        self._refuse(
                            entry, RefusalReason.DRAINING,
                            "the node is draining", now,
                        )  # fmt: skip

    # Interface to the node and to operators.

    def close(self) -> None:
        """Stops the threads."""
        self._threads.close()

    def tick(self) -> None:
        """Renews grants and limits and serves waiting requests."""
        with self._lock:
            self._tick(self._clock.monotonic())
        self._run_engine_calls()

    def choose_node(
        self, request: Request, refusal: Refusal | None
    ) -> str | None:
        """Returns a node of another zone that should serve a request.

        Reserves the free slot of that node and the bytes on the link.

        Args:
            request: Request that has not been dispatched.
            refusal: Why this node refused it; None before it was tried.

        Returns:
            None if this zone serves the request or no other zone can.
        """
        if refusal is not None and refusal.reason not in _SPILL_REASONS:
            return None
        with self._lock:
            now = self._tick_if_due()
            if refusal is None and not self._needs_spill(request, now):
                return None
            target = self._choose_spill(request, now)
            return target[1] if target else None

    def record(self, node_id: str, sent_bytes: int) -> None:
        """Counts the bytes of a forwarded request and its answer."""
        for node in self._membership.nodes():
            if node.node_id == node_id:
                self._budget.record(node.region, sent_bytes, sent_bytes)

    def _choose_spill(
        self, request: Request, now: float
    ) -> tuple[str, str] | None:
        """Returns the zone and the node to forward to."""
        target = self._spill.choose(request, self._lengths.mean(request))
        if target is not None:
            self._explanations.note(
                request,
                "spilled",
                zone=target[0],
                node=target[1],
            )
        return target

    def apply_cache_events(
        self, upstream_id: str, events: Iterable[CacheEvent], gap: bool
    ) -> None:
        """Applies cache events that an engine published."""
        self._prefixes.apply_events(upstream_id, events, gap)

    def explain(self, request_id: str) -> Mapping[str, Any] | None:
        """Returns the recorded decisions on a request, or None."""
        return self._explanations.explain(request_id)

    def snapshot(self) -> Mapping[str, Any]:
        """Returns limits, slots and queues for the status command."""
        with self._lock:
            now = self._tick_if_due()
            return {
                "upstreams": {
                    vm_id: self._describe_upstream(use, now)
                    for vm_id, use in sorted(self._pool.uses.items())
                },
                "waiting": {
                    name: list(queue.waiting)
                    for (_, name), queue in sorted(self._queues.items())
                },
                "threads_held": self._admission_limits.held_threads,
                "preempted": {
                    "paused": self._preemptor.paused,
                    "cancelled": self._preemptor.cancelled,
                    "reclaimed": self._preemptor.reclaimed,
                },
            }

    def fill(self, heartbeat: Heartbeat, peer: NodeView) -> None:
        """Adds slot reports and grants, or free slots for other zones."""
        with self._lock:
            now = self._tick_if_due()
            if peer.zone == self._settings.zone:
                self._exchange.fill(heartbeat, peer)
            else:
                self._add_free_slots(heartbeat, now)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Applies slot reports and grants, or free slots of other zones."""
        with self._lock:
            now = self._tick_if_due()
            if heartbeat.zone == self._settings.zone:
                self._exchange.receive(heartbeat)
                self._pool.update_all(now)
                self._serve_all(now)
            else:
                self._spill.take_free_slots(
                    heartbeat.zone,
                    heartbeat.node_id,
                    heartbeat.free_slots_by_model,
                    heartbeat.reclaimable_slots_by_model,
                )
        self._run_engine_calls()

    @property
    def handle_reclaim(self) -> Callable[[Any], Any]:
        """Handler of `Reclaim`."""
        return self._preemptor.handle_reclaim

    # Implementation of `PreemptionHost`; callers hold the lock.

    def suitable_upstreams(self, entry: QueueEntry) -> Sequence[UpstreamUse]:
        """Returns the upstreams that can serve a request."""
        model = entry.request.work_class.model
        return [
            use
            for use in self._pool.serving_uses(key_of(entry.request.work_class))
            if self._is_allowed(use, entry)
            and self._matcher.version_at(use, model, entry.version) is not None
        ]

    def find_use(self, vm_id: str) -> UpstreamUse | None:
        """Returns the use of an upstream, or None if it is not known."""
        return self._pool.uses.get(vm_id)

    def top_tier_waiting(self, use: UpstreamUse) -> int:
        """Returns how many top-tier requests wait for an upstream's models."""
        return sum(
            self._queues[key].waiting[0]
            for key in keys_of(use)
            if key in self._queues
        )

    def on_preempted(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        paused: bool,
        lent_until: float | None,
    ) -> None:
        """Reassigns the slot of a paused or cancelled dispatch."""
        now = self._clock.monotonic()
        use.record_preemption(now)
        if lent_until is not None:
            self._holder.lend(use.vm.vm_id, lent_until)
        if dispatch.placement.placement_id in use.dispatches:
            # A cancelled dispatch keeps its slot until the pipeline has
            # cancelled it at the engine and calls `release`.
            if paused:
                dispatch.is_changing = False
                dispatch.is_paused, dispatch.paused_at = True, now
                use.paused.append(dispatch)
                self._pool.give(use, dispatch, now)
            self._explanations.note(
                dispatch.placement.request,
                "paused" if paused else "cancelled",
                upstream=use.vm.vm_id,
                lent=lent_until is not None,
            )
        self._pool.update(use, now)
        self._serve_upstream(use, now)

    def lend(self, use: UpstreamUse, until: float) -> None:
        """Lends a free slot to a peer."""
        self._holder.lend(use.vm.vm_id, until)
        self._pool.update(use, self._clock.monotonic())

    def lease_end(self, use: UpstreamUse, now: float) -> float:
        """Returns the latest time until which a slot may be lent."""
        return self._holder.lease_end(use.vm, now)

    def block_lower_tiers(self, use: UpstreamUse, until: float) -> None:
        """Blocks dispatches of lower tiers to an upstream until a time."""
        use.lower_tiers_blocked_until = until
        self._pool.update(use, self._clock.monotonic())

    def add_borrowed_slot(self, vm_id: str, until: float) -> None:
        """Adds a slot that a peer lent."""
        now = self._clock.monotonic()
        use = self._pool.uses.get(vm_id)
        if use is not None:
            self._holder.borrow(vm_id, until)
            self._pool.update(use, now)
            self._serve_upstream(use, now)

    def peers_serving(self, vm_ids: Iterable[str]) -> Sequence[str]:
        """Returns live peers that serve any of the upstreams.

        Peers that reported more lower-tier generations come first.
        """
        serving = {
            node for vm_id in vm_ids for node in self._serving.serving(vm_id)
        }
        live = [
            view.node_id
            for view in self._membership.live_nodes(self._settings.zone)
            if view.node_id in serving
            and view.node_id != self._settings.node_id
        ]
        running = self._exchange.lower_tier_running
        return sorted(live, key=lambda node_id: (-running(node_id), node_id))

    # Admission.

    def _submit(
        self,
        request: Request,
        excluded: frozenset[str],
        version: str,
        now: float,
    ) -> QueueEntry:
        key = key_of(request.work_class)
        entry = self._make_entry(request, excluded, now)
        entry.version = self._match_version(key, version)
        refusal = self._check_admission(entry, key, now)
        if refusal is not None:
            self._refuse(entry, *refusal, now)
            return entry
        self._admission_limits.take_thread(entry.tier)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = ModelQueue()
        queue.push(entry)
        self._serve_key(key, now)
        if not entry.is_decided:
            self._refuse_if_wait_too_long(entry, key, queue, now)
        return entry

    def _make_entry(
        self, request: Request, excluded: frozenset[str], now: float
    ) -> QueueEntry:
        work_class = request.work_class
        is_engine = work_class.kind is UpstreamKind.ENGINE
        output = self._lengths.mean(request) if is_engine else 1.0
        cost = output + prompt_tokens(request) * _PREFILL_COST_PER_TOKEN
        duration_s = self._durations.get(work_class.name)
        if duration_s is None:
            duration_s = output * _DEFAULT_TOKEN_INTERVAL_S
        return QueueEntry(
            request,
            excluded,
            cost,
            duration_s,
            request.received_at + work_class.first_token_target_s,
            now,
        )

    def _check_admission(
        self, entry: QueueEntry, key: ServeKey, now: float
    ) -> tuple[RefusalReason, str] | None:
        if self._draining:
            return RefusalReason.DRAINING, "the node is draining"
        if entry.request.deadline_at <= now:
            return RefusalReason.DEADLINE_PASSED, "the deadline has passed"
        if not any(
            self._matcher.version_at(use, key[1], entry.version) is not None
            for use in self._pool.serving_uses(key)
            if self._is_allowed(use, entry)
        ):
            return (
                RefusalReason.NO_UPSTREAM,
                f"no upstream serves {key[1]!r} to this request",
            )
        queue = self._queues.get(key)
        waiting = queue.waiting[entry.tier] if queue else 0
        # Top-tier requests are limited by the threads that they hold.
        if entry.tier > 0 and self._admission_limits.is_full(
            entry.tier, waiting
        ):
            return (
                RefusalReason.QUEUE_FULL,
                f"the queue of tier {entry.tier} is full",
            )
        return None

    def _refuse_if_wait_too_long(
        self, entry: QueueEntry, key: ServeKey, queue: ModelQueue, now: float
    ) -> None:
        """Refuses a request that can't meet its deadline.

        Top-tier requests stay queued because preemption may free a slot.
        """
        wait_s = self._expected_wait_s(entry, key, queue)
        self._explanations.note(
            entry.request,
            "waits",
            position=sum(queue.waiting[: entry.tier + 1]),
            expected_wait_s=round(wait_s, 3),
        )
        remaining_s = entry.request.deadline_at - now
        if entry.tier > 0 and is_deadline_unreachable(
            wait_s, entry.slot_seconds, remaining_s
        ):
            queue.remove(entry)
            self._admission_limits.release_thread(entry.tier)
            self._refuse(
                entry,
                RefusalReason.DEADLINE_UNREACHABLE,
                f"a wait of {wait_s:.1f} s is expected and the deadline is"
                f" in {remaining_s:.1f} s",
                now,
                wait_s,
            )

    def _expected_wait_s(
        self, entry: QueueEntry, key: ServeKey, queue: ModelQueue
    ) -> float:
        slots = max(1, self._pool.usable_slots(key))
        ahead = max(0.0, queue.slot_seconds_ahead(entry) - entry.slot_seconds)
        return ahead / slots

    def _wait(self, entry: QueueEntry) -> None:
        event = entry.event
        assert event is not None
        if entry.tier == 0:
            event.wait(_PREEMPT_DELAY_S)
        while not entry.is_decided:
            wait_interval_s = _WAIT_INTERVAL_S
            if entry.tier == 0:
                freed = self._preemptor.preempt_for(entry)
                self._run_engine_calls()
                wait_interval_s = (
                    _PREEMPT_RETRY_S if freed else _RECLAIM_RETRY_S
                )
            remaining_s = entry.request.deadline_at - self._clock.monotonic()
            event.wait(max(0.0, min(wait_interval_s, remaining_s)))
            with self._lock:
                now = self._tick_if_due()
                if not entry.is_decided:
                    self._recheck_deadline(entry, now)
            self._run_engine_calls()

    def _recheck_deadline(self, entry: QueueEntry, now: float) -> None:
        key = key_of(entry.request.work_class)
        remaining_s = entry.request.deadline_at - now
        reason, message, wait_s = None, "", 0.0
        if remaining_s <= 0:
            reason = RefusalReason.DEADLINE_PASSED
            message = "the deadline passed before a slot was free"
        elif (
            entry.tier == 0
            and now - entry.no_victims_at < _NO_VICTIMS_MAX_AGE_S
        ):
            wait_s = self._expected_wait_s(entry, key, self._queues[key])
            if is_deadline_unreachable(wait_s, entry.slot_seconds, remaining_s):
                reason = RefusalReason.DEADLINE_UNREACHABLE
                message = (
                    "no lower tier runs in the zone and a wait of"
                    f" {wait_s:.1f} s is expected"
                )
        if reason is not None:
            self._queues[key].remove(entry)
            self._admission_limits.release_thread(entry.tier)
            self._refuse(entry, reason, message, now, wait_s)

    def _refuse(
        self,
        entry: QueueEntry,
        reason: RefusalReason,
        message: str,
        now: float,
        wait_s: float = 0.0,
    ) -> None:
        entry.refusal = Refusal(
            reason, message, retry_after_s=retry_after_s(wait_s)
        )
        self._explanations.note(
            entry.request,
            "refused",
            reason=reason.value,
            message=message,
        )
        entry.wake()

    # Placement.

    def _serve_all(self, now: float) -> None:
        for use in self._pool.uses.values():
            if use.paused:
                self._resume_paused(use, now)
        for key in self._sort_by_tier(list(self._queues)):
            self._serve_key(key, now)

    def _serve_upstream(self, use: UpstreamUse, now: float) -> None:
        """Assigns the free slots of an upstream to the next requests."""
        if use.paused:
            self._resume_paused(use, now)
        if use.free > 0:
            for key in self._sort_by_tier(keys_of(use)):
                self._serve_key(key, now)

    def _sort_by_tier(self, keys: Iterable[ServeKey]) -> list[ServeKey]:
        """Returns the keys with waiting requests, most important tier first."""
        queues = self._queues
        waiting = [(queues[key].top_tier, key) for key in keys if key in queues]
        return [key for tier, key in sorted(waiting) if tier < TIERS]

    def _serve_key(self, key: ServeKey, now: float) -> None:
        queue = self._queues[key]
        for tier in range(queue.top_tier, TIERS):
            if not len(self._pool.free_list(key, tier)):
                if tier > 0:
                    return
                continue
            self._serve_tier(key, queue, tier, now)

    def _serve_tier(
        self, key: ServeKey, queue: ModelQueue, tier: int, now: float
    ) -> None:
        free = self._pool.free_list(key, tier)
        skipped: list[QueueEntry] = []
        while len(free) and len(skipped) < _MAX_SKIPPED_REQUESTS:
            entry = queue.take(tier, now)
            if entry is None:
                break
            if self._refuse_if_unreachable(entry, now):
                continue
            decision = self._route(entry, key, now)
            if decision is None:
                skipped.append(entry)
            elif not self._refuse_if_too_slow(entry, decision, now):
                self._place(entry, queue, decision, now)
        for entry in skipped:
            queue.push(entry)

    def _refuse_if_too_slow(
        self, entry: QueueEntry, decision: RoutingDecision, now: float
    ) -> bool:
        """Refuses a dequeued request whose prefill would be wasted.

        Returns:
            Whether the request was refused.
        """
        remaining_s = entry.request.deadline_at - now
        speed = decision.best.use.speed
        request = entry.request
        # The estimate uses the 90th percentile of the output length, because
        # the long answers of a class are the ones that miss their deadline.
        p90_excess = self._lengths.p90(request) - self._lengths.mean(request)
        finish_s = decision.best.finish_s + p90_excess * speed.interval_s
        if entry.tier == 0 or not speed.is_known or finish_s <= remaining_s:
            return False
        self._admission_limits.release_thread(entry.tier)
        self._refuse(
            entry,
            RefusalReason.DEADLINE_UNREACHABLE,
            f"the answer takes {finish_s:.1f} s and the deadline is in"
            f" {remaining_s:.1f} s",
            now,
            finish_s,
        )
        return True

    def _refuse_if_unreachable(self, entry: QueueEntry, now: float) -> bool:
        """Refuses a dequeued request that can't be answered in time.

        Returns:
            Whether the request was refused.
        """
        remaining_s = entry.request.deadline_at - now
        if remaining_s <= 0:
            reason = RefusalReason.DEADLINE_PASSED
        elif entry.tier > 0 and is_deadline_unreachable(
            0.0, entry.slot_seconds, remaining_s
        ):
            reason = RefusalReason.DEADLINE_UNREACHABLE
        else:
            return False
        self._admission_limits.release_thread(entry.tier)
        self._refuse(
            entry, reason, "no slot was free in time", now, remaining_s
        )
        return True

    def _route(
        self, entry: QueueEntry, key: ServeKey, now: float
    ) -> RoutingDecision | None:
        if now - entry.queued_at > _TICK_INTERVAL_S:
            # The version may have been convicted while the request waited.
            wanted = self._versions.choose_version(entry.request)
            entry.version = self._match_version(key, wanted)
        decision = self._router.choose(
            entry.request,
            entry.version,
            self._pool.uses,
            self._pool.free_list(key, entry.tier),
            lambda use: self._is_allowed(use, entry),
        )
        if decision is not None and self._should_wait_for_faster_upstream(
            entry, decision, now
        ):
            return None
        return decision

    def _should_wait_for_faster_upstream(
        self, entry: QueueEntry, decision: RoutingDecision, now: float
    ) -> bool:
        """Returns whether a top-tier request waits for a faster upstream.

        If only a slow upstream is free, a short wait for a faster one still
        meets the targets, whereas an answer of the slow one would not.
        """
        if (
            entry.tier > 0
            or now - entry.queued_at >= _MAX_FASTER_UPSTREAM_WAIT_S
        ):
            return False
        target_s = entry.request.work_class.token_interval_target_s
        return not decision.best.use.meets_interval_target(target_s) and any(
            use.usable > 0 and use.meets_interval_target(target_s)
            for use in self.suitable_upstreams(entry)
        )

    def _place(
        self,
        entry: QueueEntry,
        queue: ModelQueue,
        decision: RoutingDecision,
        now: float,
    ) -> None:
        request, best = entry.request, decision.best
        use = best.use
        placement = Placement(
            next(self._placement_ids), request, use.vm, best.version
        )
        work_class = request.work_class
        dispatch = Dispatch(
            placement,
            best.uncached_tokens,
            best.cached_bytes,
            decision.hashes,
            entry.cost,
            entry.slot_seconds,
            now,
        )
        use.dispatches[placement.placement_id] = dispatch
        use.record_class(
            work_class.name, work_class.token_interval_target_s, now
        )
        self._pool.take(use, dispatch, now)
        if decision.hashes:
            self._prefixes.add(use.vm.vm_id, work_class.model, decision.hashes)
        queue.charge(entry.tier, request.customer, entry.cost)
        self._explanations.note(
            request,
            "placed",
            upstream=use.vm.vm_id,
            version=best.version,
            expected_finish_s=best.finish_s,
            alternatives=decision.alternatives,
            probe=decision.is_probe,
        )
        entry.placement = placement
        entry.wake()

    @staticmethod
    def _is_allowed(use: UpstreamUse, entry: QueueEntry) -> bool:
        return not use.is_leaving and use.vm.vm_id not in entry.excluded

    def _match_version(self, key: ServeKey, wanted: str) -> str:
        """Returns the version, or "" (default) if no upstream has it loaded."""
        if not wanted or key[0] is not UpstreamKind.ENGINE:
            return ""
        for use in self._pool.serving_uses(key):
            if self._matcher.version_at(use, key[1], wanted) is not None:
                return wanted
        return ""

    # Paused generations.

    def _resume_paused(self, use: UpstreamUse, now: float) -> None:
        while use.paused and use.free > 0:
            dispatch = self._resume_order.choose(use.paused, now)
            if dispatch is None:
                return
            tier = self._resume_order.effective_tier(dispatch, now)
            waiting = min(
                (
                    self._queues[key].top_tier
                    for key in keys_of(use)
                    if key in self._queues
                ),
                default=TIERS,
            )
            is_urgent = self._resume_order.is_urgent(dispatch, now)
            if waiting < tier or not (
                is_urgent or use.is_free_for(dispatch.tier, now)
            ):
                return
            use.paused.remove(dispatch)
            dispatch.is_paused, dispatch.is_changing = False, True
            self._pool.take(use, dispatch, now)
            self._engine_calls.append(
                lambda item=dispatch: self._confirm_resume(use, item)  # type: ignore[misc]
            )

    def _confirm_resume(self, use: UpstreamUse, dispatch: Dispatch) -> None:
        control = dispatch.control
        assert control is not None
        resumed = control.resume()
        if not resumed:
            control.cancel(RefusalReason.PREEMPTED)
        with self._lock:
            now = self._clock.monotonic()
            dispatch.is_changing = False
            self._sampler.forget_window(dispatch, now)
            if not resumed and (
                dispatch.placement.placement_id in use.dispatches
            ):
                self._pool.give(use, dispatch, now)
            self._explanations.note(
                dispatch.placement.request,
                "resumed" if resumed else "cancelled",
                upstream=use.vm.vm_id,
                paused_s=round(now - dispatch.paused_at, 3),
            )
            if not resumed:
                self._serve_upstream(use, now)
        self._run_engine_calls()

    def _remaining_generation_s(self, dispatch: Dispatch) -> float:
        request = dispatch.placement.request
        tokens = self._lengths.mean(request)
        if dispatch.progress is not None:
            tokens = max(1.0, tokens - dispatch.progress.output_tokens)
        use = self._pool.uses[dispatch.placement.vm.vm_id]
        return tokens * use.speed.interval_s

    # Recording of outcomes.

    def _record(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        outcome: Outcome,
        now: float,
    ) -> None:
        request = dispatch.placement.request
        queue = self._queues[key_of(request.work_class)]
        if not outcome.started:
            queue.charge(dispatch.tier, request.customer, -dispatch.cost)
            self._prefixes.correct(
                use.vm.vm_id, request.work_class.model, dispatch.hashes, 0
            )
        self._sampler.sample_ended(use, dispatch, outcome, now)
        if outcome.complete:
            self._record_complete(use, dispatch, outcome, queue)
        self._explanations.note(
            request,
            "ended",
            complete=outcome.complete,
            first_token_s=outcome.first_token_s,
            duration_s=outcome.duration_s,
        )

    def _record_complete(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        outcome: Outcome,
        queue: ModelQueue,
    ) -> None:
        request = dispatch.placement.request
        name = request.work_class.name
        duration_s = self._durations.get(name, outcome.duration_s)
        self._durations[name] = duration_s + _DURATION_EWMA_WEIGHT * (
            outcome.duration_s - duration_s
        )
        if dispatch.is_generation and outcome.output_tokens > 0:
            self._lengths.record(request.work_class, outcome.output_tokens)
            actual = (
                outcome.output_tokens
                + prompt_tokens(request) * _PREFILL_COST_PER_TOKEN
            )
            queue.charge(
                dispatch.tier, request.customer, actual - dispatch.cost
            )
        # Zero may mean that the upstream does not report cached tokens.
        use.reports_cache |= outcome.cached_tokens > 0
        if dispatch.hashes and use.reports_cache:
            cached_bytes = outcome.cached_tokens * _BYTES_PER_TOKEN
            if cached_bytes < dispatch.expected_cached_bytes:
                self._correct_prefix_index(use, dispatch, cached_bytes)

    def _correct_prefix_index(
        self, use: UpstreamUse, dispatch: Dispatch, cached_bytes: float
    ) -> None:
        """Removes prompt blocks that turned out not to be cached.

        Serving this prompt cached its blocks, but they are not added again.
        """
        model = dispatch.placement.request.work_class.model
        self._prefixes.correct(
            use.vm.vm_id, model, dispatch.hashes, cached_bytes
        )

    # Periodic work.

    def _tick_if_due(self) -> float:
        """Runs the periodic work if it is due; returns the current time."""
        now = self._clock.monotonic()
        if now >= self._next_tick:
            self._tick(now)
        return now

    def _tick(self, now: float) -> None:
        self._next_tick = now + _TICK_INTERVAL_S
        self._pool.refresh(now)
        self._sample_dispatches(now)
        self._exchange.grant_locally()
        self._pool.update_all(now)
        if now >= self._next_housekeeping:
            self._next_housekeeping = now + _HOUSEKEEPING_INTERVAL_S
            self._run_housekeeping()
        self._serve_all(now)

    def _sample_dispatches(self, now: float) -> None:
        for use in self._pool.uses.values():
            for dispatch in use.dispatches.values():
                self._sampler.sample_running(use, dispatch, now)

    def _run_housekeeping(self) -> None:
        for queue in self._queues.values():
            queue.drop_idle_customers()
        region = self._settings.region
        nodes = [
            view
            for view in self._membership.live_nodes()
            if view.region == region
        ]
        self._budget.set_sharers(len(nodes))
        for vm_id, use in self._pool.uses.items():
            if self._exported_slots.get(vm_id) != use.usable:
                self._exported_slots[vm_id] = use.usable
                self._metrics.slots.labels(vm_id).set(use.usable)

    def _run_engine_calls(self) -> None:
        """Runs the engine calls queued under the lock, without the lock."""
        if not self._engine_calls:
            return
        with self._lock:
            calls, self._engine_calls = self._engine_calls, []
        self._threads.run(calls)

    # Helpers.

    def _find_dispatch(self, placement: Placement) -> Dispatch | None:
        use = self._pool.uses.get(placement.vm.vm_id)
        return use.dispatches.get(placement.placement_id) if use else None

    def _waiting_by_tier(
        self, key: ServeKey
    ) -> tuple[Sequence[int], Sequence[int]]:
        queue = self._queues.get(key)
        if queue is None:
            return (0,) * TIERS, (0,) * TIERS
        return queue.waiting, [
            queue.customer_count(tier) for tier in range(TIERS)
        ]

    def _needs_spill(self, request: Request, now: float) -> bool:
        key = key_of(request.work_class)
        tier = request.work_class.tier
        entry = self._make_entry(request, frozenset(), now)
        uses = self.suitable_upstreams(entry)
        queue = self._queues.get(key)
        if not uses:
            return True
        if len(self._pool.free_list(key, tier)) and (
            queue is None or queue.top_tier > tier
        ):
            return False
        if tier == 0 and any(True for use in uses for _ in use.victims(key[1])):
            return False
        wait_s = self._expected_wait_s(entry, key, queue) if queue else 0.0
        speed = min(uses, key=lambda use: use.speed.first_token_s(0)).speed
        first_token_s = wait_s + speed.first_token_s(prompt_tokens(request))
        return now + first_token_s > entry.first_token_due

    def _add_free_slots(self, heartbeat: Heartbeat, now: float) -> None:
        offers = {}
        for key in self._served_keys():
            free, reclaimable = self._offered_slots(key)
            if free or reclaimable:
                offers[key[1]] = (free, reclaimable)
        ordered = sorted(offers)
        # With many models, each heartbeat reports the next few in rotation.
        start = int(now) * _MODELS_PER_HEARTBEAT
        for offset in range(min(len(ordered), _MODELS_PER_HEARTBEAT)):
            name = ordered[(start + offset) % len(ordered)]
            free, reclaimable = offers[name]
            if free:
                heartbeat.free_slots_by_model[name] = free
            if reclaimable:
                heartbeat.reclaimable_slots_by_model[name] = reclaimable

    def _offered_slots(self, key: ServeKey) -> tuple[int, int]:
        """Returns the slots offered to other zones.

        Returns:
            Free slots, for any tier, and slots of lower-tier generations,
            which the top tier of another zone may reclaim.
        """
        queue = self._queues.get(key)
        uses = self._pool.serving_uses(key)
        free = reclaimable = 0
        if queue is None or not len(queue):
            free = sum(max(0, use.free - use.reserve) for use in uses)
        if queue is None or not queue.waiting[0]:
            reclaimable = sum(1 for use in uses for _ in use.victims(key[1]))
        return free, reclaimable

    def _served_keys(self) -> set[ServeKey]:
        return {key for use in self._pool.uses.values() for key in keys_of(use)}

    def _describe_upstream(
        self, use: UpstreamUse, now: float
    ) -> Mapping[str, Any]:
        vm = use.vm
        coordinator = self._serving.coordinator(vm.vm_id)
        if coordinator == self._settings.node_id:
            limit = self._coordinator.limit(vm)
        else:
            limit = self._holder.last_limit(vm.vm_id) or vm.slots
        return {
            "limit": limit,
            "coordinator": coordinator,
            "granted": self._holder.granted(vm, now),
            "has_grant": self._holder.has_grant(vm, now),
            "waiting": self._waiting_for_upstream(use),
            **describe_use(use),
        }

    def _waiting_for_upstream(self, use: UpstreamUse) -> list[int]:
        waiting = [0] * TIERS
        for key in keys_of(use):
            for tier, count in enumerate(self._waiting_by_tier(key)[0]):
                waiting[tier] += count
        return waiting


def create_zone_scheduler(
    settings: Settings,
    membership: MembershipView,
    peers: PeerNetwork,
    versions: VersionPolicy,
    metrics: Metrics,
    clock: Clock,
    explanations: ExplanationLog | None = None,
    run_background: bool = True,
) -> ZoneScheduler:
    """Builds a scheduler and registers its handlers with the peer network.

    Args:
        settings: Settings of the node.
        membership: View of the nodes and upstreams.
        peers: Calls to and heartbeats with other nodes.
        versions: Policy that chooses model versions.
        metrics: Metrics of the node.
        clock: Source of time.
        explanations: Log of the decisions on recent requests.
        run_background: Whether a thread renews grants and limits; False
            for tests that call `tick`.
    """
    scheduler = ZoneScheduler(
        settings,
        membership,
        peers,
        versions,
        metrics,
        clock,
        explanations or ExplanationLog(clock),
        run_background,
    )
    peers.register("Reclaim", scheduler.handle_reclaim)
    peers.add_heartbeat_part(scheduler)
    return scheduler
