"""Slot reports and grants in heartbeats."""

import dataclasses
import random
from collections.abc import Sequence
from typing import Protocol

from tanagerport.clock import Clock
from tanagerport.interfaces import NodeView
from tanagerport.limits import SampleCounts
from tanagerport.peer_pb2 import Heartbeat, SlotGrant, SlotReport
from tanagerport.slot_coordinator import Demand, SlotCoordinator
from tanagerport.slots import (
    TIERS,
    GrantEntry,
    Lease,
    ServingMap,
    SlotHolder,
    upstream_hash,
)

# A holder stops using a grant this long before its end: it looks at the clock
# once a tick, and clocks of different machines run at different rates.
GRANT_MARGIN_S = 0.12
_MICROSECONDS = 1_000_000
_EPOCHS_KEPT = 8


class UseReporter(Protocol):
    """This node's use of upstreams."""

    def demand(self, vm_id: str) -> Demand | None:
        """Returns the use of an upstream; None when it has no use."""

    def take_samples(self, vm_id: str) -> SampleCounts:
        """Returns the samples since the last call."""

    @property
    def lower_tier_running(self) -> int:
        """Lower-tier generations in progress on this node."""


@dataclasses.dataclass
class _Peer:
    """What was received from a peer."""

    epoch: int = 0
    former_epochs: list[int] = dataclasses.field(default_factory=list)
    stamp: int = 0
    received_at: float = 0.0
    lower_tier_running: int = 0


class SlotExchange:
    """Fills heartbeats with leases and takes leases from them.

    Every message carries a stamp of the sender's clock and the highest stamp
    received from the other side. Lifetimes count from stamps of the node
    that has to stop, so a delayed message can only shorten a grant. Not safe
    for concurrent use.

    Args:
        serving: Who serves and coordinates each upstream.
        holder: Slots of this node.
        coordinator: Slots of upstreams that this node coordinates.
        use: This node's use of upstreams.
        lifetime_s: Lifetime of a grant.
        clock: Source of time.
        epoch: Random number of this process; chosen here when absent.
    """

    def __init__(
        self,
        serving: ServingMap,
        holder: SlotHolder,
        coordinator: SlotCoordinator,
        use: UseReporter,
        lifetime_s: float,
        clock: Clock,
        epoch: int | None = None,
    ) -> None:
        self._serving = serving
        self._holder = holder
        self._coordinator = coordinator
        self._use = use
        self._lifetime_s = lifetime_s
        self._clock = clock
        self._epoch = epoch or random.SystemRandom().randrange(1, 2**32)
        self._started_at = clock.monotonic()
        self._last_stamp = 0
        self._peers: dict[str, _Peer] = {}

    def lower_tier_running(self, node_id: str) -> int:
        """Returns the lower-tier generations that a peer last stated."""
        peer = self._peers.get(node_id)
        return peer.lower_tier_running if peer else 0

    def grant_locally(self) -> None:
        """Renews this node's grants from its own coordinator."""
        now = self._clock.monotonic()
        own_id = self._serving.self_id
        for vm_id in self._serving.shared(own_id, own_id):
            self._coordinator.report(
                own_id,
                vm_id,
                self._use.demand(vm_id) or Demand(),
                self._use.take_samples(vm_id),
                now,
            )
        stamp = self._next_stamp(now)
        grants = self._coordinator.grants(own_id, stamp, now)
        lease = Lease(grants.entries, grants.expires_at, now + self._lifetime_s)
        self._holder.take_lease(own_id, lease, now)
        self._coordinator.acknowledge(own_id, stamp)

    def fill(self, heartbeat: Heartbeat, peer: NodeView) -> None:
        """Adds reports and grants for a peer of the zone."""
        now = self._clock.monotonic()
        peer_id = peer.node_id
        state = self._peers.get(peer_id) or _Peer()
        stamp = self._next_stamp(now)
        part = heartbeat.slots
        part.stamp, part.epoch = stamp, self._epoch
        part.echo, part.echo_epoch = state.stamp, state.epoch
        part.support = self._serving.digest(peer_id, self._serving.self_id)
        part.lower_tier_running = self._use.lower_tier_running
        self._add_reports(heartbeat, peer_id, now)
        if state.stamp:
            self._add_grants(heartbeat, peer_id, state, now)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Takes reports and grants of a peer of the zone."""
        if not heartbeat.HasField("slots"):
            return
        now = self._clock.monotonic()
        part = heartbeat.slots
        peer = self._peers.setdefault(heartbeat.node_id, _Peer())
        former_epoch = peer.epoch
        if not _accept(peer, part.epoch, part.stamp, now):
            return
        if former_epoch not in (0, part.epoch):
            self._coordinator.forget_support(heartbeat.node_id)
        peer.lower_tier_running = part.lower_tier_running
        self._take_reports(heartbeat, now)
        echoed_at = self._echo_time(part.echo_epoch, part.echo, now)
        if echoed_at is not None:
            if part.stamp < self._lifetime_s * _MICROSECONDS:
                # A process this young has divided no share but its own.
                self._holder.note_fresh(heartbeat.node_id)
            self._confirm(heartbeat, echoed_at, now)
            self._take_grants(heartbeat, echoed_at, now)

    def _next_stamp(self, now: float) -> int:
        stamp = int((now - self._started_at) * _MICROSECONDS) + 1
        self._last_stamp = max(self._last_stamp + 1, stamp)
        return self._last_stamp

    def _echo_time(self, epoch: int, stamp: int, now: float) -> float | None:
        if epoch != self._epoch or not 0 < stamp <= self._last_stamp:
            return None
        return min(now, self._started_at + (stamp - 1) / _MICROSECONDS)

    def _add_reports(
        self, heartbeat: Heartbeat, peer_id: str, now: float
    ) -> None:
        part = heartbeat.slots
        young_s = 2 * self._lifetime_s
        for vm_id in self._serving.shared(peer_id, self._serving.self_id):
            age_s = now - self._serving.followed_since(vm_id)
            if age_s < young_s:
                part.young_hashes.append(upstream_hash(vm_id))
                part.young_ages_ms.append(int(age_s * 1000))
            demand = self._use.demand(vm_id)
            counts = self._use.take_samples(vm_id)
            if demand is not None or counts.total:
                _write_report(heartbeat.reports.add(), vm_id, demand, counts)

    def _add_grants(
        self, heartbeat: Heartbeat, peer_id: str, peer: _Peer, now: float
    ) -> None:
        part = heartbeat.slots
        grants = self._coordinator.grants(peer_id, part.stamp, now)
        # The peer counts from when it sent `echo`, which was before it was
        # received here.
        lifetime_s = max(0.0, grants.expires_at - peer.received_at)
        part.lifetime_ms = int(lifetime_s * 1000)
        for vm_id, entry in grants.entries.items():
            _write_grant(heartbeat.grants.add(), vm_id, entry)

    def _take_reports(self, heartbeat: Heartbeat, now: float) -> None:
        peer_id = heartbeat.node_id
        reports = {item.upstream_hash: item for item in heartbeat.reports}
        for vm_id in self._serving.shared(self._serving.self_id, peer_id):
            report = reports.get(upstream_hash(vm_id))
            demand, counts = _read_report(report)
            self._coordinator.report(peer_id, vm_id, demand, counts, now)

    def _confirm(
        self, heartbeat: Heartbeat, echoed_at: float, now: float
    ) -> None:
        part = heartbeat.slots
        peer_id, own_id = heartbeat.node_id, self._serving.self_id
        if part.support != self._serving.digest(own_id, peer_id):
            # The peer follows another coordinator for some upstream, so it
            # need not have applied the grants that it received.
            return
        self._coordinator.acknowledge(peer_id, part.echo)
        ages = dict(zip(part.young_hashes, part.young_ages_ms, strict=False))
        for vm_id in self._serving.shared(own_id, peer_id):
            age_ms = ages.get(upstream_hash(vm_id))
            since = float("-inf") if age_ms is None else now - age_ms / 1000
            self._coordinator.confirm(
                peer_id, vm_id, since, echoed_at + self._lifetime_s, now
            )

    def _take_grants(
        self, heartbeat: Heartbeat, echoed_at: float, now: float
    ) -> None:
        entries = {}
        for grant in heartbeat.grants:
            vm_id = self._serving.find(grant.upstream_hash)
            if vm_id is not None:
                entries[vm_id] = GrantEntry(
                    grant.slots, grant.limit, grant.safe_limit
                )
        lifetime_s = heartbeat.slots.lifetime_ms / 1000
        lease = Lease(
            entries,
            echoed_at + lifetime_s - GRANT_MARGIN_S,
            now + self._lifetime_s,
        )
        self._holder.take_lease(heartbeat.node_id, lease, now)


def _accept(peer: _Peer, epoch: int, stamp: int, now: float) -> bool:
    """Returns whether a message is newer than all before it."""
    if epoch != peer.epoch:
        if epoch in peer.former_epochs:
            return False
        peer.former_epochs.append(peer.epoch)
        del peer.former_epochs[:-_EPOCHS_KEPT]
        peer.epoch, peer.stamp = epoch, 0
    if stamp <= peer.stamp:
        return False
    peer.stamp, peer.received_at = stamp, now
    return True


def _write_report(
    report: SlotReport,
    vm_id: str,
    demand: Demand | None,
    counts: SampleCounts,
) -> None:
    report.upstream_hash = upstream_hash(vm_id)
    if demand is not None:
        report.in_use.extend(_trimmed(demand.in_use))
        report.waiting.extend(_trimmed(demand.waiting))
        report.customers.extend(_trimmed(demand.customers))
    report.samples = counts.total
    report.samples_missed = counts.missed
    report.samples_near = counts.near
    report.samples_limited = counts.limited
    report.samples_slight = counts.slight


def _read_report(report: SlotReport | None) -> tuple[Demand, SampleCounts]:
    if report is None:
        return Demand(), SampleCounts()
    demand = Demand(
        _padded(report.in_use),
        _padded(report.waiting),
        _padded(report.customers),
    )
    counts = SampleCounts(
        report.samples,
        report.samples_missed,
        report.samples_near,
        report.samples_limited,
        report.samples_slight,
    )
    return demand, counts


def _write_grant(grant: SlotGrant, vm_id: str, entry: GrantEntry) -> None:
    grant.upstream_hash = upstream_hash(vm_id)
    grant.slots = entry.slots
    grant.limit = entry.limit
    grant.safe_limit = entry.safe_limit


def _trimmed(counts: Sequence[int]) -> list[int]:
    """Returns counts without the zeros at their end."""
    trimmed = list(counts)
    while trimmed and trimmed[-1] == 0:
        trimmed.pop()
    return trimmed


def _padded(counts: Sequence[int]) -> tuple[int, ...]:
    padded = [*counts, *([0] * TIERS)]
    return tuple(padded[:TIERS])
