"""Test doubles of the collaborators of the scheduler."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

from tanagerport.exceptions import PeerError
from tanagerport.interfaces import (
    HeartbeatPart,
    LoadReport,
    NodeLiveness,
    NodeView,
    VersionSample,
)
from tanagerport.model import VM, Request, UpstreamKind, VMRole, WorkClass
from tanagerport.peer_pb2 import Frame, Heartbeat
from tanagerport.settings import Settings

ZONE, REGION = "zone-a", "region-a"


def make_vm(vm_id: str, slots: int = 4, **details: Any) -> VM:
    details.setdefault("serves", ("tutor",))
    return VM(
        vm_id, VMRole.ENGINE, ZONE, REGION, "127.0.0.1:1", slots=slots,
        **details,
    )  # fmt: skip


def make_class(name: str, tier: int, **details: Any) -> WorkClass:
    return WorkClass(name, tier, UpstreamKind.ENGINE, "tutor", **details)


def make_request(
    request_id: str,
    tier: int = 0,
    customer: str = "c",
    now: float = 1_000_000.0,
    deadline_s: float = 30.0,
    prompt: str = "say",
    work_class: WorkClass | None = None,
) -> Request:
    return Request(
        request_id,
        work_class or make_class(f"class-{tier}", tier),
        customer,
        b"{}",
        now,
        now + deadline_s,
        stream=True,
        prompt=prompt,
    )


def make_settings(node_id: str = "node-1", **details: Any) -> Settings:
    return Settings(
        node_id=node_id,
        zone=ZONE,
        region=REGION,
        listen="127.0.0.1:0",
        operator_listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        operator_token="operator-token",
        peer_token="peer-token",
        **details,
    )


class FakeMembership:
    """Membership view of one node, controlled by the test."""

    def __init__(
        self,
        node_id: str,
        node_ids: Sequence[str],
        vms: Sequence[VM],
        remote: Sequence[NodeView] = (),
    ) -> None:
        self.node_id = node_id
        self.views = {
            name: NodeView(name, ZONE, REGION, "127.0.0.1:1")
            for name in node_ids
        } | {view.node_id: view for view in remote}
        self.vms = list(vms)
        self.loads: dict[str, LoadReport] = {}
        self.unreachable_zones: set[str] = set()

    @property
    def self_view(self) -> NodeView:
        return self.views[self.node_id]

    def set_liveness(self, node_id: str, liveness: NodeLiveness) -> None:
        self.views[node_id] = dataclasses.replace(
            self.views[node_id], liveness=liveness
        )

    def nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        return [
            view
            for view in self.views.values()
            if zone is None or view.zone == zone
        ]

    def live_nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        return [
            view
            for view in self.nodes(zone)
            if view.liveness is NodeLiveness.LIVE and not view.draining
        ]

    def zones(self) -> Sequence[str]:
        return sorted({view.zone for view in self.views.values()})

    def is_zone_reachable(self, zone: str) -> bool:
        return zone not in self.unreachable_zones

    def zone_cut_off_within(self, zone: str, window_s: float) -> bool:
        return False

    def losses(self, zone: str, window_s: float) -> Sequence[float]:
        return ()

    def upstreams(self, zone: str | None = None) -> Sequence[VM]:
        return [vm for vm in self.vms if zone is None or vm.zone == zone]

    def mark_leaving(self, vm_id: str) -> None:
        raise NotImplementedError

    def load(self, vm_id: str) -> LoadReport | None:
        return self.loads.get(vm_id)


class FakePeers:
    """Peer network that handles calls in the thread of the caller."""

    def __init__(self, node_id: str, network: dict[str, "FakePeers"]) -> None:
        self._network = network
        self.handlers: dict[str, Callable[[Any], Any]] = {}
        self.parts: list[HeartbeatPart] = []
        self.unreachable_nodes: set[str] = set()
        self.calls: list[tuple[str, str]] = []
        network[node_id] = self

    def call(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Any:
        self.calls.append((node_id, method))
        if node_id in self.unreachable_nodes or node_id not in self._network:
            raise PeerError(f"{node_id} was not reached")
        return self._network[node_id].handlers[method](message)

    def stream(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Iterator[Frame]:
        raise NotImplementedError

    def register(self, method: str, handler: Callable[[Any], Any]) -> None:
        self.handlers[method] = handler

    def add_heartbeat_part(self, part: HeartbeatPart) -> None:
        self.parts.append(part)

    def heartbeat(self, sender: NodeView, receiver: NodeView) -> Heartbeat:
        message = Heartbeat(node_id=sender.node_id, zone=sender.zone)
        for part in self.parts:
            part.fill(message, receiver)
        return message

    def deliver(self, message: Heartbeat) -> None:
        for part in self.parts:
            part.receive(message)


class FakeVersions:
    """Version policy controlled by the test."""

    def __init__(self) -> None:
        self.version = ""
        self.convicted: set[tuple[str, str]] = set()

    def choose_version(self, request: Request) -> str:
        return self.version

    def is_convicted(self, model: str, version: str) -> bool:
        return (model, version) in self.convicted

    def record(self, sample: VersionSample) -> None:
        raise NotImplementedError


class FakeControl:
    """Control over a dispatch that records the calls made to it."""

    def __init__(self, can_pause: bool = True, confirms: bool = True) -> None:
        self._can_pause = can_pause
        self.confirms = confirms
        self.events: list[str] = []
        self.first_token_s: float | None = None
        self.output_tokens = 0

    @property
    def can_pause(self) -> bool:
        return self._can_pause

    def pause(self) -> bool:
        self.events.append("pause")
        return self.confirms

    def resume(self) -> bool:
        self.events.append("resume")
        return self.confirms

    def cancel(self, reason: Any) -> None:
        self.events.append(f"cancel {reason}")


def exchange_heartbeats(
    peers: Mapping[str, FakePeers], views: Mapping[str, NodeView]
) -> None:
    """Delivers one heartbeat in each direction between all reachable nodes."""
    for sender in peers:
        for receiver in peers:
            if (
                receiver != sender
                and receiver not in peers[sender].unreachable_nodes
            ):
                message = peers[sender].heartbeat(
                    views[sender], views[receiver]
                )
                peers[receiver].deliver(message)
