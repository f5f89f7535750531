"""Home zone and home nodes of an idempotency key."""

import threading
from collections.abc import Sequence
from typing import Protocol

from tanagerport.clock import Clock
from tanagerport.interfaces import MembershipView, NodeLiveness
from tanagerport.rendezvous import rendezvous_rank

# Two of three homes are a majority, so any two sets of grants share a node.
HOME_NODES = 3


class ClaimMembership(MembershipView, Protocol):
    """Nodes and upstreams, and which nodes lost their claims."""

    def lost_nodes(self, zone: str, window_s: float) -> Sequence[str]:
        """Returns nodes of the zone that died or restarted lately."""


class KeyHomes:
    """Computes where the claims of a key are kept.

    A node that left the zone stays in the order until its claims are out of
    date. Otherwise the next node would take its place with no knowledge of
    earlier claims and two disjoint majorities could grant one key.

    Args:
        membership: Nodes and zones.
        clock: Source of time.
        window_s: How long a key is remembered, in seconds.
    """

    def __init__(
        self, membership: ClaimMembership, clock: Clock, window_s: float
    ) -> None:
        self._membership = membership
        self._clock = clock
        # The only home left of two may hold single copies for a window
        # after the loss, and each copy is valid for a window.
        self._remember_s = 2 * window_s
        self._lock = threading.Lock()
        self._listed: dict[str, set[str]] = {}
        self._removed: dict[str, dict[str, float]] = {}

    def home_zone(self, customer: str, key: str) -> str:
        """Returns the zone that keeps the claims of a key.

        A key that begins with the name of a zone and a colon belongs to
        that zone.
        """
        zones = self._membership.zones()
        prefix, separator, _ = key.partition(":")
        if separator and prefix in zones:
            return prefix
        return rendezvous_rank(_rank_key(customer, key), zones)[0]

    def members(self, zone: str, customer: str, key: str) -> tuple[str, ...]:
        """Returns the home nodes of a key in a zone, the first one first."""
        listed = {node.node_id for node in self._membership.nodes(zone)}
        names = listed | self._update_removed(zone, listed)
        ranked = rendezvous_rank(_rank_key(customer, key), names)
        return tuple(ranked[:HOME_NODES])

    def fallback_zones(self, own: str, customer: str, key: str) -> list[str]:
        """Returns where a first attempt is claimed without its home zone.

        The zone of this node comes first, then the others in an order that
        depends on the key.
        """
        zones = rendezvous_rank(
            _rank_key(customer, key), self._membership.zones()
        )
        home = self.home_zone(customer, key)
        zones.sort(key=lambda zone: zone != own)
        return [zone for zone in zones if zone != home]

    def removed(self, zone: str, members: Sequence[str]) -> frozenset[str]:
        """Returns the silent members that the VM list no longer holds.

        Listed nodes that peers believe to be dead are not among them: each
        side of a partition may believe that of the other.
        """
        present = {
            node.node_id
            for node in self._membership.nodes(zone)
            if node.listed or node.liveness is not NodeLiveness.DEAD
        }
        return frozenset(members) - present

    def _update_removed(self, zone: str, listed: set[str]) -> set[str]:
        now = self._clock.monotonic()
        with self._lock:
            removed = self._removed.setdefault(zone, {})
            for name in self._listed.get(zone, set()) - listed:
                removed.setdefault(name, now)
            self._listed[zone] = listed
            for name, since in list(removed.items()):
                if name in listed or now - since > self._remember_s:
                    del removed[name]
            return set(removed)


def _rank_key(customer: str, key: str) -> str:
    return f"claim\0{customer}\0{key}"
