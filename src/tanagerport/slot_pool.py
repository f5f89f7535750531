"""Upstreams that this node serves, with their free slots."""

from collections.abc import Callable, Iterator, Mapping, Sequence

from tanagerport.clock import Clock
from tanagerport.interfaces import MembershipView
from tanagerport.limits import SampleCounts, load_weight
from tanagerport.model import UpstreamKind, VMRole, WorkClass
from tanagerport.routing import FreeList
from tanagerport.slot_coordinator import Demand, SlotCoordinator
from tanagerport.slots import TIERS, ServingMap, SlotHolder
from tanagerport.upstream_use import Dispatch, UpstreamUse

ServeKey = tuple[UpstreamKind, str]
_KIND_OF_ROLE = {
    VMRole.ENGINE: UpstreamKind.ENGINE,
    VMRole.SERVICE: UpstreamKind.SERVICE,
}


def key_of(work_class: WorkClass) -> ServeKey:
    """Returns what an upstream must serve for a class."""
    return work_class.kind, work_class.model


def keys_of(use: UpstreamUse) -> Iterator[ServeKey]:
    """Yields all that an upstream serves."""
    kind = _KIND_OF_ROLE.get(use.vm.role)
    if kind is not None:
        for name in use.vm.serves:
            yield kind, name


class SlotPool:
    """Use and free slots of all served upstreams.

    Not safe for concurrent use.

    Args:
        membership: Upstreams and their load.
        serving: Who serves and coordinates each upstream.
        holder: Slots of this node.
        coordinator: Limits of upstreams that this node coordinates.
        waiting: Returns waiting requests and customers by tier.
        clock: Source of time.
    """

    def __init__(
        self,
        membership: MembershipView,
        serving: ServingMap,
        holder: SlotHolder,
        coordinator: SlotCoordinator,
        waiting: Callable[[ServeKey], tuple[Sequence[int], Sequence[int]]],
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._serving = serving
        self._holder = holder
        self._coordinator = coordinator
        self._waiting = waiting
        self._clock = clock
        self._uses: dict[str, UpstreamUse] = {}
        self._by_key: dict[ServeKey, list[UpstreamUse]] = {}
        self._free: dict[ServeKey, tuple[FreeList, FreeList]] = {}

    @property
    def uses(self) -> Mapping[str, UpstreamUse]:
        """Uses by upstream; those that are gone stay until they are idle."""
        return self._uses

    @property
    def lower_tier_running(self) -> int:
        """Lower-tier generations in progress on this node."""
        return sum(
            use.lower_tier_running
            for use in self._uses.values()
            if use.is_engine
        )

    def serving_uses(self, key: ServeKey) -> Sequence[UpstreamUse]:
        """Returns upstreams that serve a model or service."""
        return self._by_key.get(key, ())

    def free_list(self, key: ServeKey, tier: int) -> FreeList:
        """Returns upstreams with a free slot for a tier."""
        lists = self._free.get(key)
        if lists is None:
            lists = self._free[key] = (FreeList(), FreeList())
        return lists[min(tier, 1)]

    def usable_slots(self, key: ServeKey) -> int:
        """Returns the slots that this node may use for a model."""
        return sum(use.usable for use in self.serving_uses(key))

    def refresh(self, now: float) -> None:
        """Reads the membership and the load reports."""
        if self._holder.refresh_serving(now):
            self._coordinator.follow_view(self._holder.last_limit)
            self._follow_view()
        for vm_id, use in self._uses.items():
            use.load = self._membership.load(vm_id)
            if use.load is not None:
                use.load_weight = load_weight(use.load, now)
            use.versions.clear()
            use.decay_extra_reserve(now)
            self._coordinator.apply_load(vm_id, use.load, now)

    def update_all(self, now: float) -> None:
        """Computes the free slots of all upstreams."""
        for use in self._uses.values():
            self.update(use, now)

    def update(self, use: UpstreamUse, now: float) -> None:
        """Computes the free slots of an upstream."""
        vm = use.vm
        if use.is_leaving or vm.vm_id not in self._serving.served:
            use.usable = 0
        else:
            use.usable = self._holder.usable(vm, now)
        self._list(use, now)

    def take(self, use: UpstreamUse, dispatch: Dispatch, now: float) -> None:
        """Counts a dispatch that takes a slot."""
        use.acquire_slot(dispatch, now)
        self._list(use, now)

    def give(self, use: UpstreamUse, dispatch: Dispatch, now: float) -> None:
        """Counts out a dispatch that ended, paused or was cancelled."""
        use.release_slot(dispatch)
        self._list(use, now)

    def demand(self, vm_id: str) -> Demand | None:
        """Returns the use of an upstream; None when it has no use."""
        use = self._uses.get(vm_id)
        if use is None:
            return None
        now = self._clock.monotonic()
        waiting = [0] * TIERS
        customers = [0] * TIERS
        in_use = list(use.in_use_by_tier)
        # Slots that a peer borrowed are in use by a top-tier request.
        in_use[0] += self._holder.lent(vm_id, now)
        for key in keys_of(use):
            count = len(self.serving_uses(key)) or 1
            by_tier, customers_by_tier = self._waiting(key)
            if not any(by_tier):
                continue
            for tier in range(TIERS):
                # Each waiting request needs one of the upstreams only.
                waiting[tier] += -(-by_tier[tier] // count)
                customers[tier] += customers_by_tier[tier]
        for dispatch in use.paused:
            waiting[dispatch.tier] += 1
        if not any(in_use) and not any(waiting):
            return None
        return Demand(tuple(in_use), tuple(waiting), tuple(customers))

    def take_samples(self, vm_id: str) -> SampleCounts:
        """Returns the samples since the last call."""
        use = self._uses.get(vm_id)
        if use is None or not use.samples.total:
            return SampleCounts()
        samples, use.samples = use.samples, SampleCounts()
        return samples

    def _list(self, use: UpstreamUse, now: float) -> None:
        vm_id = use.vm.vm_id
        is_free = use.is_free_for(0, now)
        is_free_lower = is_free and use.is_free_for(1, now)
        for key in keys_of(use):
            top, lower = self.free_list(key, 0), self.free_list(key, 1)
            (top.add if is_free else top.discard)(vm_id)
            (lower.add if is_free_lower else lower.discard)(vm_id)

    def _follow_view(self) -> None:
        served = self._serving.served
        for vm_id, vm in served.items():
            use = self._uses.get(vm_id)
            if use is None:
                self._uses[vm_id] = UpstreamUse(vm)
            elif use.vm is not vm:
                self._unlist(use)
                use.vm = vm
        for vm_id in [key for key in self._uses if key not in served]:
            use = self._uses[vm_id]
            self._unlist(use)
            if not use.dispatches:
                del self._uses[vm_id]
        self._by_key = {}
        for use in self._uses.values():
            if use.vm.vm_id in served:
                for key in keys_of(use):
                    self._by_key.setdefault(key, []).append(use)

    def _unlist(self, use: UpstreamUse) -> None:
        for key in keys_of(use):
            for tier in (0, 1):
                self.free_list(key, tier).discard(use.vm.vm_id)
