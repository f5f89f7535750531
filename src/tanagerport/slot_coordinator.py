"""Coordinator's side of the slot leases: limits and their division."""

import collections
import dataclasses
import heapq
from collections.abc import Callable, Mapping, Sequence

from tanagerport.interfaces import LoadReport
from tanagerport.limits import LimitEstimator, SampleCounts
from tanagerport.model import VM
from tanagerport.slots import FALLBACK_TRUST_S, TIERS, GrantEntry, ServingMap

# An allocation is computed again when it is older than this, unless a new
# report or limit asks for it earlier.
_ALLOCATION_MAX_AGE_S = 0.25
_BUCKET_S = 1.0


@dataclasses.dataclass(frozen=True)
class Demand:
    """Use of one upstream by one node, indexed by tier.

    Attributes:
        in_use: Requests in progress.
        waiting: Waiting requests that the upstream could serve.
        customers: Customers with requests in progress or waiting.
    """

    in_use: Sequence[int] = (0,) * TIERS
    waiting: Sequence[int] = (0,) * TIERS
    customers: Sequence[int] = (0,) * TIERS

    @property
    def total_in_use(self) -> int:
        """Requests in progress of all tiers."""
        return sum(self.in_use)


_NO_DEMAND = Demand()


def divide_slots(slots: int, demands: Mapping[str, Demand]) -> dict[str, int]:
    """Divides slots among nodes by demand.

    Each node gets one slot if there are enough. Then tiers are served in
    order: within a tier the node with the fewest slots for each of its
    customers gets the next one, so that a customer with much demand on one
    node does not displace one with little demand on another. Slots that
    nobody asked for are spread evenly.

    Args:
        slots: Slots to divide.
        demands: Use by node.

    Returns:
        Slots by node; they add up to `slots` unless there are no nodes.
    """
    if len(demands) == 1:
        return dict.fromkeys(demands, slots)
    given = dict.fromkeys(demands, 0)
    left = slots
    if slots >= len(demands):
        given = dict.fromkeys(demands, 1)
        left -= len(demands)
    covered = dict(given)
    for tier in range(TIERS):
        left = _divide_tier(left, tier, demands, given, covered)
    _spread(left, given)
    return given


def _divide_tier(
    left: int,
    tier: int,
    demands: Mapping[str, Demand],
    given: dict[str, int],
    covered: dict[str, int],
) -> int:
    heap = []
    for order, (node_id, demand) in enumerate(demands.items()):
        wanted = demand.in_use[tier] + demand.waiting[tier]
        # Slots given before cover this node's most important requests.
        free = min(wanted, covered[node_id])
        covered[node_id] -= free
        if wanted > free:
            weight = max(1, demand.customers[tier])
            heap.append(
                ((free + 1) / weight, order, node_id, free, wanted, weight)
            )
    heapq.heapify(heap)
    while left > 0 and heap:
        _, order, node_id, got, wanted, weight = heapq.heappop(heap)
        given[node_id] += 1
        left -= 1
        got += 1
        if got < wanted:
            heapq.heappush(
                heap,
                ((got + 1) / weight, order, node_id, got, wanted, weight),
            )
    return left


def _spread(left: int, given: dict[str, int]) -> None:
    if not given:
        return
    each, rest = divmod(left, len(given))
    for index, node_id in enumerate(given):
        given[node_id] += each + (1 if index < rest else 0)


class _SafeLimit:
    """Lowest limit of the last seconds."""

    def __init__(self) -> None:
        self._buckets: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def update(self, limit: int, now: float) -> int:
        """Takes the current limit and returns the lowest one."""
        buckets = self._buckets
        if buckets and now - buckets[-1][0] < _BUCKET_S:
            buckets[-1] = (buckets[-1][0], min(buckets[-1][1], limit))
        else:
            buckets.append((now, limit))
        while buckets[0][0] < now - FALLBACK_TRUST_S:
            buckets.popleft()
        return min(item[1] for item in buckets)


@dataclasses.dataclass
class _Sent:
    """A grant that a holder may be using."""

    stamp: int
    slots: int
    expires_at: float


@dataclasses.dataclass
class _HolderState:
    """What the coordinator of an upstream knows of one holder."""

    demand: Demand = _NO_DEMAND
    sent: list[_Sent] = dataclasses.field(default_factory=list)
    target: int = 0
    support_since: float | None = None
    support_until: float = 0.0

    def outstanding(self, now: float) -> int:
        """Returns the most slots that unexpired grants allow."""
        self.sent = [item for item in self.sent if item.expires_at > now]
        return max((item.slots for item in self.sent), default=0)


@dataclasses.dataclass
class _UpstreamState:
    estimator: LimitEstimator
    safe: _SafeLimit
    holders: dict[str, _HolderState]
    members: tuple[str, ...] = ()
    allocated_at: float = float("-inf")
    dirty: bool = True
    active: bool = True

    def holder(self, node_id: str) -> _HolderState:
        """Returns the state of a holder."""
        state = self.holders.get(node_id)
        if state is None:
            state = self.holders[node_id] = _HolderState()
        return state


@dataclasses.dataclass(frozen=True)
class Grants:
    """Grants to one holder.

    Attributes:
        entries: Grants by upstream.
        expires_at: Monotonic seconds of the coordinator's clock after which
            it may give the slots to others.
    """

    entries: Mapping[str, GrantEntry]
    expires_at: float


class SlotCoordinator:
    """Learns limits and divides slots of the upstreams coordinated here.

    Only nodes that confirmed this coordinator for a whole grant lifetime
    contribute their static share to what is divided; until then they may
    use grants of an earlier coordinator. Not safe for concurrent use.

    Args:
        serving: Who serves and coordinates each upstream.
        lifetime_s: Lifetime of a grant.
    """

    def __init__(self, serving: ServingMap, lifetime_s: float) -> None:
        self._serving = serving
        self._lifetime_s = lifetime_s
        self._states: dict[str, _UpstreamState] = {}

    def limit(self, vm: VM) -> int:
        """Returns the learned limit of an upstream."""
        state = self._states.get(vm.vm_id)
        return state.estimator.limit if state else vm.slots

    def samples(self, vm_id: str) -> int:
        """Returns the samples taken for an upstream."""
        state = self._states.get(vm_id)
        return state.estimator.samples if state else 0

    def follow_view(self, last_limit: Callable[[str], int | None]) -> None:
        """Starts and ends coordination as the membership view demands.

        Args:
            last_limit: Returns the limit that another coordinator last
                stated for an upstream.
        """
        own_id = self._serving.self_id
        served = self._serving.served
        for vm_id in [key for key in self._states if key not in served]:
            del self._states[vm_id]
        for vm_id, vm in served.items():
            state = self._states.get(vm_id)
            if self._serving.coordinator(vm_id) != own_id:
                if state is not None:
                    # Grants that were sent stay known until they expire.
                    state.active = False
            elif state is None:
                estimator = LimitEstimator(vm.slots, last_limit(vm_id))
                self._states[vm_id] = _UpstreamState(
                    estimator, _SafeLimit(), {}
                )
            elif not state.active:
                start = last_limit(vm_id) or state.estimator.limit
                state.estimator = LimitEstimator(vm.slots, start)
                state.active = True
            if state is not None:
                state.dirty = True

    def confirm(
        self,
        node_id: str,
        vm_id: str,
        since: float,
        until: float,
        now: float,
    ) -> None:
        """Records that a node takes this one as coordinator.

        Args:
            node_id: Node that confirmed it.
            vm_id: Upstream.
            since: Monotonic seconds before which the node may have followed
                another coordinator.
            until: Monotonic seconds until which the node can't have used
                grants of another coordinator.
            now: Monotonic seconds.
        """
        state = self._states.get(vm_id)
        if state is None or until <= now:
            return
        holder = state.holder(node_id)
        if holder.support_since is None or holder.support_until <= now:
            holder.support_since = now
        holder.support_since = max(holder.support_since, since)
        holder.support_until = max(holder.support_until, until)

    def forget_support(self, node_id: str) -> None:
        """Drops the confirmations of a node whose process restarted."""
        for state in self._states.values():
            holder = state.holders.get(node_id)
            if holder is not None:
                holder.support_since, holder.support_until = None, 0.0
                state.dirty = True

    def acknowledge(self, node_id: str, stamp: int) -> None:
        """Records that a holder applied the grants of a message.

        Args:
            node_id: Holder.
            stamp: Stamp of the message.
        """
        for state in self._states.values():
            holder = state.holders.get(node_id)
            if holder is None or len(holder.sent) < 2:
                continue
            applied = [item for item in holder.sent if item.stamp <= stamp]
            if len(applied) > 1:
                newest = applied[-1]
                holder.sent = holder.sent[holder.sent.index(newest) :]
                state.dirty = True

    def report(
        self,
        node_id: str,
        vm_id: str,
        demand: Demand,
        counts: SampleCounts,
        now: float,
    ) -> None:
        """Takes a holder's use and samples of an upstream."""
        state = self._states.get(vm_id)
        if state is None:
            return
        holder = state.holder(node_id)
        if holder.demand != demand:
            holder.demand = demand
            state.dirty = True
        if counts.total > 0:
            before = state.estimator.limit
            state.estimator.record(counts, now)
            state.dirty |= state.estimator.limit != before

    def apply_load(
        self, vm_id: str, report: LoadReport | None, now: float
    ) -> None:
        """Takes the load report of an engine."""
        state = self._states.get(vm_id)
        if state is not None:
            before = state.estimator.limit
            state.estimator.apply_load(report, now)
            state.dirty |= state.estimator.limit != before

    def grants(self, node_id: str, stamp: int, now: float) -> Grants:
        """Returns the grants to send to a holder.

        Args:
            node_id: Holder; may be this node.
            stamp: Stamp of the message that carries them.
            now: Monotonic seconds.
        """
        own_id = self._serving.self_id
        entries: dict[str, GrantEntry] = {}
        chosen: list[_HolderState] = []
        expires_at = now + self._lifetime_s
        for vm_id in self._serving.shared(own_id, node_id):
            state = self._states.get(vm_id)
            if state is None:
                continue
            self._allocate_if_needed(vm_id, state, now)
            holder = state.holder(node_id)
            limit = state.estimator.limit
            share = self._serving.share(vm_id, node_id, limit)
            if node_id not in state.members:
                # A message without a grant lets the holder use its share.
                self._record(holder, stamp, share, float("inf"))
                continue
            holder.outstanding(now)
            if not holder.sent and node_id != own_id:
                # Until the first grant arrives the static share is in use.
                holder.sent.append(_Sent(0, share, float("inf")))
            safe = state.safe.update(limit, now)
            entries[vm_id] = GrantEntry(holder.target, limit, safe)
            chosen.append(holder)
            expires_at = min(expires_at, self._support_end(state, now))
        for vm_id, holder in zip(entries, chosen, strict=True):
            self._record(holder, stamp, entries[vm_id].slots, expires_at)
        return Grants(entries, expires_at)

    def _support_end(self, state: _UpstreamState, now: float) -> float:
        own_id = self._serving.self_id
        return min(
            (
                state.holder(member).support_until
                for member in state.members
                if member != own_id
            ),
            default=now + self._lifetime_s,
        )

    @staticmethod
    def _record(
        holder: _HolderState, stamp: int, slots: int, expires_at: float
    ) -> None:
        last = holder.sent[-1] if holder.sent else None
        if last is not None and last.stamp and last.slots == slots:
            last.expires_at = max(last.expires_at, expires_at)
        else:
            holder.sent.append(_Sent(stamp, slots, expires_at))

    def _members(
        self, vm_id: str, state: _UpstreamState, now: float
    ) -> tuple[str, ...]:
        own_id = self._serving.self_id
        members = []
        for node_id in self._serving.serving(vm_id):
            holder = state.holder(node_id)
            since = holder.support_since
            if node_id == own_id or (
                since is not None
                and now - since >= self._lifetime_s
                # A shorter rest would make grants expire between heartbeats.
                and holder.support_until - now >= self._lifetime_s / 2
            ):
                members.append(node_id)
        return tuple(members)

    def _allocate_if_needed(
        self, vm_id: str, state: _UpstreamState, now: float
    ) -> None:
        age_s = now - state.allocated_at
        if not state.dirty and age_s < _ALLOCATION_MAX_AGE_S:
            return
        state.members = self._members(vm_id, state, now)
        self._allocate(vm_id, state, now)
        state.allocated_at = now
        state.dirty = False

    def _allocate(self, vm_id: str, state: _UpstreamState, now: float) -> None:
        limit = state.estimator.limit
        share = self._serving.share
        pool = sum(share(vm_id, node, limit) for node in state.members)
        targets = divide_slots(
            pool,
            {node: state.holder(node).demand for node in state.members},
        )
        committed = {
            node: self._committed(vm_id, node, state, limit, now)
            for node in self._serving.serving(vm_id)
        }
        members = state.members
        free = min(
            pool - sum(committed[node] for node in members),
            limit - sum(committed.values()),
        )
        for node_id in self._by_importance(state):
            wanted = targets[node_id]
            held = committed[node_id]
            if wanted > held:
                raised = max(0, min(wanted - held, free))
                wanted = held + raised
                free -= raised
            state.holder(node_id).target = wanted

    def _committed(
        self,
        vm_id: str,
        node_id: str,
        state: _UpstreamState,
        limit: int,
        now: float,
    ) -> int:
        """Returns the slots that a node may be using."""
        holder = state.holder(node_id)
        outstanding = holder.outstanding(now)
        in_use = holder.demand.total_in_use
        if node_id in state.members:
            if holder.sent or node_id == self._serving.self_id:
                return max(outstanding, in_use)
            # The node uses its static share until it gets the first grant.
            fallback = self._serving.share(vm_id, node_id, limit)
            return max(fallback, in_use)
        return max(outstanding, self._serving.share(vm_id, node_id, limit))

    def _by_importance(self, state: _UpstreamState) -> list[str]:
        def lacking(node_id: str) -> tuple[int, ...]:
            waiting = state.holder(node_id).demand.waiting
            return tuple(-count for count in waiting)

        return sorted(state.members, key=lacking)
