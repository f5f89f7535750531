"""Nodes of several zones with their claims, and faults between them."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from tanagerport.claims import ClaimTable, key_time
from tanagerport.clock import FakeClock
from tanagerport.exceptions import PeerError
from tanagerport.interfaces import NodeLiveness, NodeView
from tanagerport.key_claims import KeyClaims
from tanagerport.key_homes import KeyHomes
from tanagerport.model import Request, UpstreamKind, WorkClass
from tanagerport.platform_memory import MemoryTableStore
from tanagerport.settlements import Settlements
from tanagerport.zone_start import ZoneStart

WINDOW_S = 100.0
_CLASS = WorkClass("caption-hint", 0, UpstreamKind.ENGINE, "tutor")


class SimulatedNode:
    """Claims of one process; both views of the network are its own."""

    def __init__(self, zones: "SimulatedZones", node_id: str) -> None:
        self.zones, self.node_id = zones, node_id
        self.zone = node_id.partition("-")[0]
        self.started_at = zones.clock.monotonic()
        self.losses_seen: list[tuple[str, float]] = []
        membership: Any = _Membership(self)
        homes = KeyHomes(membership, zones.clock, WINDOW_S)
        self.homes = homes
        zone_start = ZoneStart(
            zones.store, self.zone, node_id, zones.next_boot_id(), zones.clock
        )
        zone_start.check()
        self.table = zones.table_type(
            homes, membership, zones.clock, WINDOW_S, zone_start
        )
        self.settlements = _Settlements(self)  # type: ignore[arg-type]
        self.claims = KeyClaims(
            homes,
            membership,
            self,  # type: ignore[arg-type]
            self.settlements,
            zones.clock,
            WINDOW_S,
            key_time,
        )

    def call(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Any:
        """Calls another node."""
        del timeout_s
        return self.zones.deliver(self.node_id, node_id, method, message)


class _Settlements(Settlements):
    """Has no thread; `flush` sends again what was not delivered."""

    def _enqueue(self, node_id: str, message: Any) -> None:
        self._pending.append((node_id, message, 1))


class _Membership:
    def __init__(self, node: SimulatedNode) -> None:
        self._node = node

    @property
    def self_view(self) -> NodeView:
        return self._view(self._node.node_id)

    def nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        return [
            self._view(node_id)
            for node_id in self._node.zones.listed
            if zone in (None, node_id.partition("-")[0])
        ]

    def zones(self) -> Sequence[str]:
        return self._node.zones.zone_names

    def is_zone_reachable(self, zone: str) -> bool:
        return any(
            view.liveness is NodeLiveness.LIVE for view in self.nodes(zone)
        )

    def zone_cut_off_within(self, zone: str, window_s: float) -> bool:
        del window_s
        return zone != self._node.zone and not self.is_zone_reachable(zone)

    def lost_nodes(self, zone: str, window_s: float) -> Sequence[str]:
        earliest = self._node.zones.clock.monotonic() - window_s
        return [
            node_id
            for node_id, at in self._node.losses_seen
            if node_id.startswith(zone) and at > earliest
        ]

    def _view(self, node_id: str) -> NodeView:
        zones = self._node.zones
        heard = zones.connected(self._node.node_id, node_id)
        node = zones.running.get(node_id)
        age_s = zones.clock.monotonic() - (node.started_at if node else 0.0)
        return NodeView(
            node_id,
            node_id.partition("-")[0],
            "region",
            "127.0.0.1:1",
            liveness=NodeLiveness.LIVE if heard else NodeLiveness.UNREACHABLE,
            boot_id=str(node.started_at) if node and heard else "",
            young=not heard or age_s < WINDOW_S,
        )


class SimulatedZones:
    """All nodes of a deployment."""

    def __init__(
        self,
        sizes: dict[str, int],
        table_type: Callable[..., ClaimTable] = ClaimTable,
        age_s: float = 3 * WINDOW_S,
    ) -> None:
        self.clock = FakeClock()
        self.store = MemoryTableStore()
        self.table_type = table_type
        self.zone_names = sorted(sizes)
        self.listed: list[str] = [
            f"{zone}-{number}"
            for zone, size in sizes.items()
            for number in range(size)
        ]
        self.running: dict[str, SimulatedNode] = {}
        self.cut: set[frozenset[str]] = set()
        self.lost_replies: dict[str, int] = {}
        self.delayed: list[tuple[str, str, Any]] = []
        self.delay_next_to: str = ""
        self.lose_settle_replies = False
        self.before_call: Callable[[], None] | None = None
        self._request_ids = 0
        self._boot_ids = 0
        for node_id in self.listed:
            self.running[node_id] = SimulatedNode(self, node_id)
        self.clock.advance(age_s)

    def next_boot_id(self) -> str:
        """Returns an identity for a new process."""
        self._boot_ids += 1
        return f"boot-{self._boot_ids}"

    def connected(self, one: str, other: str) -> bool:
        """Returns whether two nodes run and reach each other."""
        return (
            one in self.running
            and other in self.running
            and frozenset((one, other)) not in self.cut
        )

    def deliver(
        self, sender: str, receiver: str, method: str, message: Any
    ) -> Any:
        """Delivers a message as the faults allow."""
        if method == "Claim" and self.before_call is not None:
            action, self.before_call = self.before_call, None
            action()
        if not self.connected(sender, receiver):
            raise PeerError("not reached")
        if method == "Claim" and self.delay_next_to == receiver:
            self.delay_next_to = ""
            self.delayed.append((receiver, method, message))
            raise PeerError("no answer in time")
        reply = self._handle(receiver, method, message)
        if method == "Settle" and self.lose_settle_replies:
            raise PeerError("answer lost, so it is sent again")
        if method == "Claim" and self.lost_replies.get(receiver):
            self.lost_replies[receiver] -= 1
            raise PeerError("answer lost")
        return reply

    def deliver_delayed(self) -> None:
        """Delivers the messages that were held back."""
        delayed, self.delayed = self.delayed, []
        for receiver, method, message in delayed:
            if receiver in self.running:
                self._handle(receiver, method, message)

    def restart(self, node_id: str) -> None:
        """Starts a node's process anew; connected nodes see it."""
        if node_id in self.listed:
            self._note_loss(node_id)
            self.running[node_id] = SimulatedNode(self, node_id)

    def kill(self, node_id: str) -> None:
        """Ends a node's process."""
        self._note_loss(node_id)
        self.running.pop(node_id, None)

    def replace(self, node_id: str) -> str:
        """Takes a dead node off the list and adds a new one."""
        self.kill(node_id)
        self.listed.remove(node_id)
        new_id = f"{node_id}x"
        self.listed.append(new_id)
        self.running[new_id] = SimulatedNode(self, new_id)
        return new_id

    def add_zone(self, zone: str, size: int) -> None:
        """Adds a zone with new nodes."""
        self.zone_names = sorted([*self.zone_names, zone])
        self.listed += [f"{zone}-{number}" for number in range(size)]
        for node_id in self.listed[-size:]:
            self.running[node_id] = SimulatedNode(self, node_id)

    def request(self, key: str, attempt: int = 0, body: bytes = b"") -> Request:
        """Returns a new request with a key."""
        self._request_ids += 1
        now = self.clock.monotonic()
        return Request(
            f"request-{self._request_ids}",
            _CLASS,
            "customer",
            body,
            now,
            now + 10,
            key=key,
            attempt=attempt,
        )

    def _handle(self, receiver: str, method: str, message: Any) -> Any:
        table = self.running[receiver].table
        if method == "Claim":
            return table.claim(message)
        return table.settle(message)

    def _note_loss(self, node_id: str) -> None:
        now = self.clock.monotonic()
        for other_id, other in self.running.items():
            if other_id != node_id and self.connected(node_id, other_id):
                other.losses_seen.append((node_id, now))


@dataclasses.dataclass
class Sends:
    """What a caller sent under one key."""

    first_at: float
    count: int = 0
    dispatches: int = 0
