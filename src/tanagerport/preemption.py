"""Preemption of lower-tier generations, on this node and on its peers."""

import threading
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import structlog

from tanagerport.admission import QueueEntry
from tanagerport.clock import Clock
from tanagerport.exceptions import PeerError
from tanagerport.interfaces import PeerNetwork
from tanagerport.model import RefusalReason
from tanagerport.peer_pb2 import ReclaimReply, ReclaimRequest
from tanagerport.upstream_use import Dispatch, UpstreamUse

_log = structlog.get_logger(__name__)

# Covers one pause call of the peer to an engine.
_RECLAIM_TIMEOUT_S = 0.3
# A peer that had no slot to lend is not asked again for this time. It blocks
# dispatches of lower tiers for longer, so that its reply stays valid.
_NO_SLOT_CACHE_S = 0.25
LOWER_TIER_BLOCK_S = 0.5
# A slot is not lent if the loan would end sooner.
_MIN_LOAN_S = 0.2
# A younger dispatch may not have reached its engine, which then can't pause
# it.
_MIN_PAUSE_AGE_S = 0.1
_MAX_FAILED_PAUSES = 2
_MAX_UPSTREAMS_PER_RECLAIM = 64
_MAX_CONCURRENT_RECLAIMS = 16


class PreemptionHost(Protocol):
    """What preemption needs of the scheduler; callers hold its lock."""

    def suitable_upstreams(self, entry: QueueEntry) -> Sequence[UpstreamUse]:
        """Returns the upstreams that can serve a request."""

    def find_use(self, vm_id: str) -> UpstreamUse | None:
        """Returns the use of an upstream, or None if it is not known."""

    def top_tier_waiting(self, use: UpstreamUse) -> int:
        """Returns how many top-tier requests wait for an upstream's models."""

    def on_preempted(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        paused: bool,
        lent_until: float | None,
    ) -> None:
        """Reassigns the slot of a paused or cancelled dispatch.

        Args:
            use: Use of the upstream.
            dispatch: Dispatch that was preempted.
            paused: Whether it was paused; otherwise it was cancelled.
            lent_until: End of the loan if the slot is lent to a peer.
        """

    def lend(self, use: UpstreamUse, until: float) -> None:
        """Lends a free slot to a peer."""

    def lease_end(self, use: UpstreamUse, now: float) -> float:
        """Returns the latest time until which a slot may be lent."""

    def block_lower_tiers(self, use: UpstreamUse, until: float) -> None:
        """Blocks dispatches of lower tiers to an upstream until a time."""

    def add_borrowed_slot(self, vm_id: str, until: float) -> None:
        """Adds a slot that a peer lent."""

    def peers_serving(self, vm_ids: Iterable[str]) -> Sequence[str]:
        """Returns live peers that serve any of the upstreams.

        Peers that reported more lower-tier generations come first.
        """


def choose_victim(
    uses: Iterable[UpstreamUse], now: float
) -> tuple[UpstreamUse, Dispatch] | None:
    """Returns the generation whose preemption costs the least.

    The lowest tier comes first. Within a tier the order is: generations that
    can be paused, those with fewer failed pauses, those old enough to have
    reached their engine, and those with the latest deadline.
    """
    best: tuple[UpstreamUse, Dispatch] | None = None
    best_rank: tuple[int, bool, int, bool, float] | None = None
    for use in uses:
        for dispatch in use.victims():
            control = dispatch.control
            if control is None or dispatch.is_changing:
                continue
            rank = (
                dispatch.tier,
                control.can_pause,
                -dispatch.failed_pauses,
                now - dispatch.started_at >= _MIN_PAUSE_AGE_S,
                dispatch.placement.request.deadline_at,
            )
            if best_rank is None or rank > best_rank:
                best_rank, best = rank, (use, dispatch)
    return best


class Preemptor:
    """Frees slots for top-tier requests.

    Calls to engines and peers are made without holding the lock of the
    scheduler.

    Args:
        host: Scheduler.
        lock: Lock of the scheduler.
        peers: Calls to other nodes.
        node_id: Identifier of this node.
        clock: Source of time.
    """

    def __init__(
        self,
        host: PreemptionHost,
        lock: threading.Lock,
        peers: PeerNetwork,
        node_id: str,
        clock: Clock,
    ) -> None:
        self._host = host
        self._lock = lock
        self._peers = peers
        self._node_id = node_id
        self._clock = clock
        self._reclaim_semaphore = threading.BoundedSemaphore(
            _MAX_CONCURRENT_RECLAIMS
        )
        self._no_slot_until: dict[tuple[str, str], float] = {}
        self.paused = 0
        self.cancelled = 0
        self.reclaimed = 0

    def preempt_for(self, entry: QueueEntry) -> bool:
        """Preempts a lower-tier generation, on this node or on a peer.

        Args:
            entry: Waiting top-tier request.

        Returns:
            Whether a slot was freed or may be freed soon. If not, no
            lower-tier generation runs on any reachable node, and
            `entry.no_victims_at` is set to the current time.
        """
        with self._lock:
            if entry.is_decided:
                return True
            uses = self._host.suitable_upstreams(entry)
            changing, running = _count_victims(uses)
            waiting = max(map(self._host.top_tier_waiting, uses), default=0)
            # Each waiting request needs only one slot.
            if changing and changing >= waiting:
                return True
            target_s = entry.request.work_class.token_interval_target_s
            fast = [use for use in uses if use.meets_interval_target(target_s)]
            victim = choose_victim(fast or uses, self._clock.monotonic())
            if victim is not None:
                victim[1].is_changing = True
        if victim is not None:
            self._preempt(*victim, lent_until=None)
            return True
        remains = self._reclaim(entry, uses) or running > 0
        if not remains:
            entry.no_victims_at = self._clock.monotonic()
        return remains

    def handle_reclaim(self, message: ReclaimRequest) -> ReclaimReply:
        """Lends a slot to a top-tier request of a peer."""
        victim = None
        with self._lock:
            now = self._clock.monotonic()
            known = map(self._host.find_use, message.upstream_ids)
            uses = [use for use in known if use is not None]
            for use in uses:
                self._host.block_lower_tiers(use, now + LOWER_TIER_BLOCK_S)
            reply = self._lend_free(uses, now)
            if reply is None:
                victim = choose_victim(
                    (
                        use
                        for use in uses
                        if self._host.lease_end(use, now) >= now + _MIN_LOAN_S
                    ),
                    now,
                )
                if victim is not None:
                    victim[1].is_changing = True
        if victim is not None:
            reply = self._lend_victim(*victim)
        with self._lock:
            _, running = _count_victims(uses)
        reply = reply or ReclaimReply()
        reply.lower_tier_remains = running > 0
        return reply

    def _lend_free(
        self, uses: Iterable[UpstreamUse], now: float
    ) -> ReclaimReply | None:
        for use in uses:
            if use.free <= 0 or self._host.top_tier_waiting(use):
                continue
            until = self._host.lease_end(use, now)
            if until < now + _MIN_LOAN_S:
                continue
            self._host.lend(use, until)
            return _make_grant(use, until - now)
        return None

    def _lend_victim(
        self, use: UpstreamUse, dispatch: Dispatch
    ) -> ReclaimReply | None:
        with self._lock:
            until = self._host.lease_end(use, self._clock.monotonic())
        if not self._preempt(use, dispatch, until):
            return None
        lifetime_s = until - self._clock.monotonic()
        return _make_grant(use, lifetime_s) if lifetime_s > 0 else None

    def _preempt(
        self, use: UpstreamUse, dispatch: Dispatch, lent_until: float | None
    ) -> bool:
        """Pauses or cancels a dispatch; returns whether it was stopped."""
        control = dispatch.control
        assert control is not None
        paused = control.can_pause and control.pause()
        if not paused and control.can_pause:
            dispatch.failed_pauses += 1
            if dispatch.failed_pauses < _MAX_FAILED_PAUSES:
                # The engine may not have received the request yet, or another
                # generation may be easier to pause.
                dispatch.is_changing = False
                return False
        if not paused:
            control.cancel(RefusalReason.PREEMPTED)
        with self._lock:
            self.paused += paused
            self.cancelled += not paused
            self._host.on_preempted(use, dispatch, paused, lent_until)
        _log.info(
            "generation_preempted",
            request_id=dispatch.placement.request.request_id,
            upstream=use.vm.vm_id,
            paused=paused,
        )
        return True

    def _reclaim(self, entry: QueueEntry, uses: Sequence[UpstreamUse]) -> bool:
        """Asks peers for a slot; returns whether one may be freed."""
        vm_ids = [use.vm.vm_id for use in uses][:_MAX_UPSTREAMS_PER_RECLAIM]
        model = entry.request.work_class.model
        with self._lock:
            peers = self._host.peers_serving(vm_ids)
        if not self._reclaim_semaphore.acquire(blocking=False):
            return True
        try:
            return self._reclaim_from_peers(entry, model, peers, vm_ids)
        finally:
            self._reclaim_semaphore.release()

    def _reclaim_from_peers(
        self,
        entry: QueueEntry,
        model: str,
        peers: Sequence[str],
        vm_ids: Sequence[str],
    ) -> bool:
        remains = False
        for node_id in peers:
            now = self._clock.monotonic()
            if entry.is_decided:
                return True
            if now < self._no_slot_until.get((node_id, model), 0.0):
                continue
            reply = self._send_reclaim(node_id, model, vm_ids)
            if reply is None:
                continue
            if reply.granted:
                with self._lock:
                    self.reclaimed += 1
                    self._host.add_borrowed_slot(
                        reply.upstream_id, now + reply.lifetime_ms / 1000
                    )
                return True
            if reply.lower_tier_remains:
                remains = True
            else:
                self._no_slot_until[node_id, model] = now + _NO_SLOT_CACHE_S
        return remains

    def _send_reclaim(
        self, node_id: str, model: str, vm_ids: Sequence[str]
    ) -> ReclaimReply | None:
        message = ReclaimRequest(
            node_id=self._node_id, tier=0, model=model, upstream_ids=vm_ids
        )
        try:
            return self._peers.call(
                node_id, "Reclaim", message, _RECLAIM_TIMEOUT_S
            )
        except PeerError as error:
            _log.info("reclaim_failed", node=node_id, error=str(error))
            return None


class ResumeOrder:
    """Order in which paused generations are resumed.

    Args:
        remaining_s: Returns the expected seconds until a generation ends
            once it runs again.
    """

    def __init__(self, remaining_s: Callable[[Dispatch], float]) -> None:
        self._remaining_s = remaining_s

    def effective_tier(self, dispatch: Dispatch, now: float) -> int:
        """Returns the tier at which a paused generation competes for a slot.

        A generation that is close to missing its deadline moves up by one
        tier, but never into the top tier.
        """
        if self.is_urgent(dispatch, now):
            return max(1, dispatch.tier - 1)
        return dispatch.tier

    def is_urgent(self, dispatch: Dispatch, now: float) -> bool:
        """Returns whether a generation must resume soon to end in time."""
        remaining_s = self._remaining_s(dispatch)
        deadline_at = dispatch.placement.request.deadline_at
        return deadline_at - now < 3 * remaining_s

    def choose(self, paused: Iterable[Dispatch], now: float) -> Dispatch | None:
        """Returns the generation to resume first."""
        return min(
            (item for item in paused if not item.is_changing),
            key=lambda item: (
                self.effective_tier(item, now),
                item.placement.request.deadline_at,
            ),
            default=None,
        )


def _count_victims(uses: Iterable[UpstreamUse]) -> tuple[int, int]:
    changing = running = 0
    for use in uses:
        for dispatch in use.victims():
            running += 1
            changing += dispatch.is_changing
    return changing, running


def _make_grant(use: UpstreamUse, lifetime_s: float) -> ReclaimReply:
    return ReclaimReply(
        granted=True,
        upstream_id=use.vm.vm_id,
        lifetime_ms=int(lifetime_s * 1000),
    )
