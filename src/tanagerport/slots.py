"""Which nodes serve an upstream, and the slots that this node may use.

The slots of an upstream are shared among the nodes of its zone by leases.
`docs/decisions/slots.md` derives the rules and their bounds.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

import xxhash

from tanagerport.interfaces import MembershipView, NodeLiveness
from tanagerport.limits import SlowdownLimiter
from tanagerport.model import VM, VMRole
from tanagerport.rendezvous import rendezvous_rank

TIERS = 4
# A holder without a coordinator trusts the last safe limit for this long;
# after it the VM list's value bounds it.
FALLBACK_TRUST_S = 10.0


def static_share(limit: int, rank: int, count: int) -> int:
    """Returns the part of a limit that one of `count` nodes may use.

    The parts of all ranks add up to the limit.

    Args:
        limit: Concurrent requests of the upstream.
        rank: Position of the node in the rendezvous order.
        count: Nodes that serve the upstream.
    """
    share, remainder = divmod(limit, count)
    return share + (1 if rank < remainder else 0)


def upstream_hash(upstream_id: str) -> int:
    """Returns the number that stands for an upstream in heartbeats."""
    return xxhash.xxh32_intdigest(upstream_id)


class ServingMap:
    """Which nodes of the zone serve each upstream, and who coordinates it.

    Not safe for concurrent use.

    Args:
        membership: Nodes and upstreams.
        upstream_nodes: Nodes that serve one upstream, at most.
        hold_s: A node that is gone keeps its share for this long, so that
            its grants have expired before others use it.
    """

    def __init__(
        self, membership: MembershipView, upstream_nodes: int, hold_s: float
    ) -> None:
        self._membership = membership
        self._upstream_nodes = upstream_nodes
        self._hold_s = hold_s
        self._gone_at: dict[str, float] = {}
        self._base: tuple[str, ...] = ()
        self._live: frozenset[str] = frozenset()
        self._vms: dict[str, VM] = {}
        self._listed: Sequence[VM] = ()
        self._serving: dict[str, tuple[str, ...]] = {}
        self._coordinators: dict[str, str | None] = {}
        self._served: dict[str, VM] = {}
        self._by_hash: dict[int, str | None] = {}
        self._digests: dict[tuple[str, str], int] = {}
        self._shared: dict[tuple[str, str], tuple[str, ...]] = {}
        self._followed_since: dict[str, float] = {}

    @property
    def self_id(self) -> str:
        """Name of this node."""
        return self._membership.self_view.node_id

    @property
    def served(self) -> Mapping[str, VM]:
        """Upstreams of the zone that this node serves."""
        return self._served

    def refresh(self, now: float) -> bool:
        """Reads the membership; returns whether anything changed."""
        membership = self._membership
        zone = membership.self_view.zone
        base = self._held_nodes(zone, now)
        live = frozenset(node.node_id for node in membership.live_nodes(zone))
        listed = [
            vm
            for vm in membership.upstreams(zone)
            if vm.role is not VMRole.ENTRY
        ]
        if base == self._base and live == self._live and listed == self._listed:
            return False
        if base != self._base:
            self._serving = {}
        self._base, self._live, self._listed = base, live, listed
        before = self._coordinators
        self._rebuild()
        self._followed_since = {
            vm_id: self._followed_since[vm_id]
            if vm_id in before and before[vm_id] == coordinator
            else now
            for vm_id, coordinator in self._coordinators.items()
        }
        return True

    def serving(self, upstream_id: str) -> tuple[str, ...]:
        """Returns the nodes that serve an upstream, in rendezvous order."""
        return self._serving.get(upstream_id, ())

    def coordinator(self, upstream_id: str) -> str | None:
        """Returns the node that coordinates an upstream's slots."""
        return self._coordinators.get(upstream_id)

    def followed_since(self, upstream_id: str) -> float:
        """Returns since when this node follows the present coordinator."""
        return self._followed_since.get(upstream_id, float("inf"))

    def share(self, upstream_id: str, node_id: str, limit: int) -> int:
        """Returns a node's static share of a limit."""
        serving = self.serving(upstream_id)
        if node_id not in serving:
            return 0
        return static_share(limit, serving.index(node_id), len(serving))

    def shared(self, coordinator: str, holder: str) -> tuple[str, ...]:
        """Returns upstreams that one node coordinates for another."""
        return self._shared.get((coordinator, holder), ())

    def digest(self, coordinator: str, holder: str) -> int:
        """Returns a digest of `shared` and of who serves each upstream.

        Two nodes with equal digests agree on the shares of all upstreams
        that one coordinates for the other.
        """
        key = (coordinator, holder)
        digest = self._digests.get(key)
        if digest is None:
            text = ";".join(
                f"{upstream_id}:{','.join(self.serving(upstream_id))}"
                for upstream_id in self.shared(coordinator, holder)
            )
            digest = self._digests[key] = xxhash.xxh64_intdigest(text)
        return digest

    def find(self, hashed: int) -> str | None:
        """Returns the upstream with a hash; None when unknown or shared."""
        return self._by_hash.get(hashed)

    def _held_nodes(self, zone: str, now: float) -> tuple[str, ...]:
        present = {
            node.node_id
            for node in self._membership.nodes(zone)
            if node.liveness is not NodeLiveness.DEAD
        }
        present.add(self.self_id)
        for node_id in present:
            self._gone_at.pop(node_id, None)
        for node_id in set(self._base) - present:
            if now < self._gone_at.setdefault(node_id, now) + self._hold_s:
                present.add(node_id)
            else:
                del self._gone_at[node_id]
        return tuple(sorted(present))

    def _rebuild(self) -> None:
        self._digests, self._by_hash = {}, {}
        self._vms = {vm.vm_id: vm for vm in self._listed}
        self._serving = {
            vm_id: self._serving.get(vm_id)
            or tuple(rendezvous_rank(vm_id, self._base)[: self._upstream_nodes])
            for vm_id in self._vms
        }
        self._coordinators = {
            vm_id: next((node for node in nodes if node in self._live), None)
            for vm_id, nodes in self._serving.items()
        }
        self._served = {
            vm_id: vm
            for vm_id, vm in self._vms.items()
            if self.self_id in self._serving[vm_id]
        }
        shared: dict[tuple[str, str], list[str]] = {}
        for vm_id in sorted(self._vms):
            hashed = upstream_hash(vm_id)
            # Two ids with one hash are both left out of heartbeats; their
            # slots are then shared statically.
            self._by_hash[hashed] = None if hashed in self._by_hash else vm_id
            coordinator = self._coordinators[vm_id]
            for holder in self._serving[vm_id]:
                if coordinator is not None:
                    shared.setdefault((coordinator, holder), []).append(vm_id)
        self._shared = {key: tuple(ids) for key, ids in shared.items()}


@dataclasses.dataclass(frozen=True)
class GrantEntry:
    """Slots of one upstream granted to one holder.

    Attributes:
        slots: Concurrent requests that the holder may have.
        limit: Learned limit of the upstream.
        safe_limit: Limit whose static shares may be used without a
            coordinator.
    """

    slots: int
    limit: int
    safe_limit: int


@dataclasses.dataclass(frozen=True)
class Lease:
    """Grants of one coordinator to this node.

    Attributes:
        entries: Grants by upstream.
        valid_until: Monotonic seconds of expiry.
        fallback_at: Monotonic seconds after which the static share may be
            used: all grants that the coordinator gave to others out of this
            node's share have expired by then.
    """

    entries: Mapping[str, GrantEntry]
    valid_until: float
    fallback_at: float


@dataclasses.dataclass(frozen=True)
class _Bound:
    """Most slots until the grants of a former coordinator have expired."""

    slots: int
    until: float


@dataclasses.dataclass
class _Loans:
    """Slots that changed hands by `Reclaim`, by time of expiry."""

    borrowed: list[float] = dataclasses.field(default_factory=list)
    lent: list[float] = dataclasses.field(default_factory=list)


class SlotHolder:
    """Slots that this node may use at each upstream.

    Not safe for concurrent use.

    Args:
        serving: Who serves and coordinates each upstream.
        lifetime_s: Lifetime of a grant.
        started_at: Monotonic seconds when this process started. Until a
            grant lifetime later its static share may still be granted to
            others, because of reports of an earlier process of this node.
    """

    def __init__(
        self, serving: ServingMap, lifetime_s: float, started_at: float
    ) -> None:
        self._serving = serving
        self._lifetime_s = lifetime_s
        self._starting_until = started_at + lifetime_s
        self._fresh_peers: set[str] = set()
        self._bounds: dict[str, _Bound] = {}
        self._leases: dict[str, Lease] = {}
        self._last_heard: dict[str, tuple[GrantEntry, float]] = {}
        self._loans: dict[str, _Loans] = {}
        self._brakes: dict[str, SlowdownLimiter] = {}

    def take_lease(self, coordinator: str, lease: Lease, now: float) -> None:
        """Replaces the grants of a coordinator.

        Args:
            coordinator: Node that granted them; may be this node.
            lease: New grants; those not listed are void.
            now: Monotonic seconds.
        """
        former = self._leases.get(coordinator)
        if former is not None and now < former.fallback_at:
            self._bound_unlisted(former, lease, now)
        self._leases[coordinator] = lease
        for upstream_id, entry in lease.entries.items():
            self._last_heard[upstream_id] = (entry, now)

    def _bound_unlisted(self, former: Lease, lease: Lease, now: float) -> None:
        """Keeps to former grants that the coordinator stopped to renew.

        It stops when it has heard nothing from this node, whose static share
        it may have granted to others before.
        """
        until = now + self._lifetime_s
        for upstream_id, entry in former.entries.items():
            if upstream_id not in lease.entries:
                slots = entry.slots
                bound = self._bounds.get(upstream_id)
                if bound is not None and now < bound.until:
                    slots = min(slots, bound.slots)
                self._bounds[upstream_id] = _Bound(slots, until)

    def last_limit(self, upstream_id: str) -> int | None:
        """Returns the limit that a coordinator last stated."""
        heard = self._last_heard.get(upstream_id)
        return heard[0].limit if heard else None

    def brake(self, upstream_id: str) -> SlowdownLimiter:
        """Returns the brake of an upstream."""
        brake = self._brakes.get(upstream_id)
        if brake is None:
            brake = self._brakes[upstream_id] = SlowdownLimiter()
        return brake

    def usable(self, vm: VM, now: float) -> int:
        """Returns the concurrent requests that this node may have."""
        slots = self.granted(vm, now)
        loans = self._loans.get(vm.vm_id)
        if loans is not None:
            slots += len(_unexpired(loans.borrowed, now))
            slots -= len(_unexpired(loans.lent, now))
        brake = self._brakes.get(vm.vm_id)
        if brake is not None:
            slots = brake.bound(slots, now)
        return max(slots, 0)

    def refresh_serving(self, now: float) -> bool:
        """Reads the membership; returns whether anything changed.

        Where the coordinator of an upstream changes, this node keeps to
        what it had until the former coordinator's grants to others have
        expired: they may contain this node's static share.
        """
        serving = self._serving
        before = {
            vm_id: (serving.coordinator(vm_id), self.granted(vm, now))
            for vm_id, vm in serving.served.items()
        }
        if not serving.refresh(now):
            return False
        for vm_id, (coordinator, slots) in before.items():
            if serving.coordinator(vm_id) != coordinator:
                self._bounds[vm_id] = _Bound(slots, now + self._lifetime_s)
        self._forget_gone()
        return True

    def granted(self, vm: VM, now: float) -> int:
        """Returns the granted slots, or the static share without a grant."""
        slots = self._leased(vm, now)
        bound = self._bounds.get(vm.vm_id)
        if bound is not None:
            if now < bound.until:
                return min(slots, bound.slots)
            del self._bounds[vm.vm_id]
        return slots

    def _leased(self, vm: VM, now: float) -> int:
        coordinator = self._serving.coordinator(vm.vm_id)
        lease = self._leases.get(coordinator) if coordinator else None
        entry = lease.entries.get(vm.vm_id) if lease else None
        if (
            lease is None
            or entry is None
            or (
                # Its own coordinator does not know what was granted before.
                coordinator == self._serving.self_id
                and self._is_starting(vm.vm_id, now)
            )
        ):
            return self.fallback_share(vm, now)
        if now < lease.valid_until:
            return entry.slots
        share = self.fallback_share(vm, now)
        return min(entry.slots, share) if now < lease.fallback_at else share

    def has_grant(self, vm: VM, now: float) -> bool:
        """Returns whether a coordinator's grant is in force."""
        coordinator = self._serving.coordinator(vm.vm_id)
        lease = self._leases.get(coordinator) if coordinator else None
        return (
            lease is not None
            and now < lease.valid_until
            and vm.vm_id in lease.entries
        )

    def fallback_share(self, vm: VM, now: float) -> int:
        """Returns the static share of the last safe limit."""
        if self._is_starting(vm.vm_id, now):
            return 0
        limit = vm.slots
        heard = self._last_heard.get(vm.vm_id)
        if heard is not None:
            entry, heard_at = heard
            limit = entry.safe_limit
            if now - heard_at > FALLBACK_TRUST_S:
                limit = min(limit, vm.slots)
        return self._serving.share(vm.vm_id, self._serving.self_id, limit)

    def note_fresh(self, node_id: str) -> None:
        """Records that a peer has not granted this node's share away."""
        self._fresh_peers.add(node_id)

    def _is_starting(self, upstream_id: str, now: float) -> bool:
        if now >= self._starting_until:
            return False
        own_id = self._serving.self_id
        return not all(
            node_id == own_id or node_id in self._fresh_peers
            for node_id in self._serving.serving(upstream_id)
        )

    def borrow(self, upstream_id: str, until: float) -> None:
        """Adds a slot that a peer gave up for this node."""
        self._loans_of(upstream_id).borrowed.append(until)

    def lend(self, upstream_id: str, until: float) -> None:
        """Takes away a slot that a peer may use until the loan ends."""
        self._loans_of(upstream_id).lent.append(until)

    def lent(self, upstream_id: str, now: float) -> int:
        """Returns the slots that peers may still use."""
        loans = self._loans.get(upstream_id)
        return len(_unexpired(loans.lent, now)) if loans else 0

    def lease_end(self, vm: VM, now: float) -> float:
        """Returns until when a slot of this node may be lent."""
        end = now + self._lifetime_s
        coordinator = self._serving.coordinator(vm.vm_id)
        lease = self._leases.get(coordinator) if coordinator else None
        if lease is None or vm.vm_id not in lease.entries:
            return end
        return min(max(lease.valid_until, now), end)

    def _forget_gone(self) -> None:
        served = self._serving.served
        tables: list[dict[str, Any]] = [
            self._last_heard,
            self._loans,
            self._brakes,
            self._bounds,
        ]
        for table in tables:
            for upstream_id in [key for key in table if key not in served]:
                del table[upstream_id]

    def _loans_of(self, upstream_id: str) -> _Loans:
        return self._loans.setdefault(upstream_id, _Loans())


def _unexpired(ends: list[float], now: float) -> list[float]:
    if ends and min(ends) <= now:
        ends[:] = [end for end in ends if end > now]
    return ends
