"""Nodes and upstreams as this node sees them."""

import asyncio
import random
import secrets
import threading
from collections.abc import Iterable, Mapping, Sequence

import structlog

from tanagerport.clock import Clock
from tanagerport.exceptions import PlatformError
from tanagerport.interfaces import LoadReport, NodeLiveness, NodeView
from tanagerport.model import VM, VMRole, VMState
from tanagerport.node_states import NodeStates
from tanagerport.peer_pb2 import Heartbeat, NodeState
from tanagerport.platform_api import VMList
from tanagerport.settings import Settings
from tanagerport.upstream_states import UpstreamStates

_log = structlog.get_logger(__name__)

_BOOT_ID_BYTES = 4
_MAX_SPREAD_SUSPECTS = 32
# All nodes of a zone at the planned size, after a restart of the whole zone.
_MAX_SPREAD_YOUNG = 64
_JITTER = (0.8, 1.2)
_HEARD_LIVENESS = (NodeLiveness.LIVE, NodeLiveness.SUSPECT)


class Membership:
    """Implements `MembershipView` from the VM list and heartbeats.

    Args:
        settings: Settings of the node.
        vm_list: Lagging list of VMs.
        clock: Source of time.
    """

    def __init__(
        self, settings: Settings, vm_list: VMList, clock: Clock
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._vm_list = vm_list
        self._clock = clock
        self._lock = threading.Lock()
        self._started_at = clock.monotonic()
        self._whole_since = self._started_at
        self._cut_off_at = float("-inf")
        self._observed_at = self._started_at
        self._boot_id = secrets.token_hex(_BOOT_ID_BYTES)
        self._state = NodeState.NODE_STATE_JOINING
        self._address = settings.peer_listen
        self._nodes = NodeStates(settings, self._started_at)
        self._upstreams = UpstreamStates()
        self._zone_cut_at: dict[str, float] = {}
        self._unreachable_zones: tuple[str, ...] = ()
        self._suspected: tuple[str, ...] = ()
        self._young_neighbours: tuple[str, ...] = ()
        self._is_listed_leaving = False
        self._views: dict[str, NodeView] = {}
        self._listed_at = float("-inf")
        self._listed_vms: Sequence[VM] = ()
        self._random = random.Random(settings.node_id)
        self._rebuild()

    @property
    def _cut_off_bound_s(self) -> float:
        """Silence after which claims may be missing here.

        It lies before the bound at which peers remove this node, so that the
        node says so before it is asked again.
        """
        return (self._timing.suspect_after_s + self._timing.dead_after_s) / 2

    @property
    def boot_id(self) -> str:
        """Identity of this process."""
        return self._boot_id

    @property
    def self_view(self) -> NodeView:
        """This node."""
        return self._views[self._settings.node_id]

    @property
    def list_age_s(self) -> float:
        """Seconds since the VM list was read."""
        return self._clock.monotonic() - self._listed_at

    @property
    def listed_vms(self) -> Sequence[VM]:
        """VM list as last read; empty before."""
        return self._listed_vms

    def nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        """Returns known nodes of a zone, or of all zones, self included."""
        return [
            view
            for view in self._views.values()
            if zone is None or view.zone == zone
        ]

    def node(self, node_id: str) -> NodeView | None:
        """Returns what is known of a node."""
        return self._views.get(node_id)

    def live_nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        """Returns live nodes that are not draining, self included.

        A suspect node counts as live: it is removed only after the longer
        bound, so that a short silence moves no duties.
        """
        return [
            view
            for view in self.nodes(zone)
            if view.liveness in _HEARD_LIVENESS and not view.draining
        ]

    def serving_nodes(self, zone: str) -> Sequence[str]:
        """Returns ids of live nodes of a zone."""
        return [view.node_id for view in self.live_nodes(zone)]

    def zones(self) -> Sequence[str]:
        """Returns the zones that have entry nodes, in order of name."""
        return sorted({view.zone for view in self._views.values()})

    def is_zone_reachable(self, zone: str) -> bool:
        """Returns whether any node of the zone answers heartbeats."""
        if zone == self._settings.zone:
            return True
        with self._lock:
            return self._nodes.is_zone_heard(zone, self._clock.monotonic())

    def zone_cut_off_within(self, zone: str, window_s: float) -> bool:
        """Returns whether the zone was unreachable within the window.

        For the own zone: whether this node was cut off from it.
        """
        now = self._clock.monotonic()
        if zone == self._settings.zone:
            return now - self._cut_off_at <= window_s
        with self._lock:
            cut_at = self._zone_cut_at.get(zone, float("-inf"))
        return now - cut_at <= window_s

    def lost_nodes(self, zone: str, window_s: float) -> Sequence[str]:
        """Returns the nodes that `losses` counts."""
        oldest = self._clock.time() - window_s
        with self._lock:
            return sorted(
                {
                    loss.node_id
                    for loss in self._nodes.losses
                    if loss.zone == zone and loss.at >= oldest
                }
            )

    def losses(self, zone: str, window_s: float) -> Sequence[float]:
        """Returns epoch seconds of node deaths and restarts in the zone.

        An unreachable node counts until the same process is heard again.
        """
        oldest = self._clock.time() - window_s
        with self._lock:
            return sorted(
                loss.at
                for loss in self._nodes.losses
                if loss.zone == zone and loss.at >= oldest
            )

    def upstreams(self, zone: str | None = None) -> Sequence[VM]:
        """Returns upstreams that the VM list holds, state hints merged in."""
        return self._upstreams.upstreams(zone)

    def mark_leaving(self, vm_id: str) -> None:
        """Records that an upstream said that it is leaving."""
        with self._lock:
            is_new = self._upstreams.mark_leaving(
                vm_id, self._clock.monotonic()
            )
        if is_new:
            _log.info("upstream_leaving", upstream=vm_id)

    def load(self, vm_id: str) -> LoadReport | None:
        """Returns the latest load report of an engine."""
        return self._upstreams.loads.get(vm_id)

    def set_load(self, vm_id: str, report: LoadReport) -> None:
        """Records the load report of an engine."""
        with self._lock:
            self._upstreams.set_load(vm_id, report)
        if report.leaving:
            self.mark_leaving(vm_id)

    def set_address(self, address: str) -> None:
        """Sets the bound address of the own peer listener."""
        with self._lock:
            self._address = address
            self._rebuild()

    def set_ready(self) -> None:
        """Lets peers know that this node is ready."""
        self._set_state(NodeState.NODE_STATE_LIVE)

    def set_draining(self) -> None:
        """Lets peers know that this node is stopping."""
        self._set_state(NodeState.NODE_STATE_DRAINING)

    def heartbeat_intervals(self) -> Mapping[str, float]:
        """Returns seconds between heartbeats by node id."""
        return self._nodes.targets

    def fill(self, heartbeat: Heartbeat, peer: NodeView) -> None:
        """Adds liveness and hints to a heartbeat."""
        heartbeat.zone = self._settings.zone
        heartbeat.boot_id = self._boot_id
        heartbeat.state = self._state
        heartbeat.uptime_ms = int(
            (self._clock.monotonic() - self._whole_since) * 1000
        )
        heartbeat.unreachable_zones.extend(self._unreachable_zones)
        heartbeat.suspected_nodes.extend(self._suspected)
        if peer.zone != self._settings.zone:
            heartbeat.young_nodes.extend(self._young_neighbours)
        with self._lock:
            heartbeat.leaving_upstreams.extend(
                self._upstreams.hints_to_spread()
            )

    def receive(self, heartbeat: Heartbeat) -> None:
        """Takes liveness and hints from a heartbeat."""
        now = self._clock.monotonic()
        with self._lock:
            self._notice_pause(now)
            known = self._views.get(heartbeat.node_id)
            if not self._nodes.take_heartbeat(
                heartbeat, now, self._clock.time()
            ):
                return
            if heartbeat.zone == self._settings.zone:
                for zone in heartbeat.unreachable_zones:
                    self._zone_cut_at[zone] = now
                if self._settings.node_id in heartbeat.suspected_nodes:
                    self._note_cut_off(now)
            if known is None:
                self._nodes.choose_targets(now)
            self._refresh_view(heartbeat.node_id, now)
        for vm_id in heartbeat.leaving_upstreams:
            self.mark_leaving(vm_id)

    def take_list(self, vms: Iterable[VM]) -> None:
        """Takes a new VM list."""
        vms = tuple(vms)
        now = self._clock.monotonic()
        with self._lock:
            if not vms and self._upstreams.upstreams(None):
                # A platform that lost its list must not empty the system.
                _log.warning("empty_vm_list_ignored")
                return
            self._listed_at = now
            self._listed_vms = vms
            # Other nodes read the same list, and all must agree on which
            # nodes hold claims and coordinate slots.
            self._is_listed_leaving = any(
                vm.vm_id == self._settings.node_id
                and vm.state is VMState.LEAVING
                for vm in vms
            )
            self._upstreams.take_list(vms, now)
            self._nodes.take_list(
                [vm for vm in vms if vm.role is VMRole.ENTRY], now
            )
            self._rebuild()

    def take_peer_list(self, vms: Sequence[VM]) -> None:
        """Takes a peer's VM list if none was read.

        A node that starts while the platform is down learns in this way
        which upstreams and nodes exist.
        """
        if vms and not self._listed_vms:
            _log.info("vm_list_from_peer", vms=len(vms))
            self.take_list(vms)

    def observe(self) -> None:
        """Draws conclusions from silence; called at every interval."""
        now = self._clock.monotonic()
        with self._lock:
            self._notice_pause(now)
            self._observed_at = now
            self._nodes.count_suspicions(now)
            self._nodes.forget_gone(now, self._clock.time())
            self._observe_zones(now)
            self._observe_own_zone(now)
            self._suspected = tuple(
                self._nodes.suspected(now)[:_MAX_SPREAD_SUSPECTS]
            )
            self._rebuild()

    async def run_observer(self) -> None:
        """Task that observes silence."""
        while True:
            self.observe()
            await asyncio.sleep(self._timing.heartbeat_s)

    async def run_list_reader(self) -> None:
        """Task that reads the VM list."""
        while True:
            await asyncio.to_thread(self.read_list)
            await asyncio.sleep(
                self._timing.vm_poll_s * self._random.uniform(*_JITTER)
            )

    def read_list(self) -> None:
        """Reads the VM list once; keeps the last one if it can't be read."""
        try:
            vms = self._vm_list.list_vms()
        except PlatformError as error:
            _log.warning("vm_list_unavailable", error=str(error))
            return
        self.take_list(vms)

    def _set_state(self, state: NodeState) -> None:
        with self._lock:
            if self._state != NodeState.NODE_STATE_DRAINING:
                self._state = state
            self._rebuild()

    def _observe_zones(self, now: float) -> None:
        unreachable = []
        for zone in {node.zone for node in self._nodes}:
            if zone == self._settings.zone:
                continue
            # At the start no zone has been heard yet, which is no sign.
            settling = now - self._started_at < self._timing.dead_after_s
            if not settling and not self._nodes.is_zone_heard(zone, now):
                unreachable.append(zone)
                self._zone_cut_at[zone] = now
        self._unreachable_zones = tuple(unreachable)

    def _notice_pause(self, now: float) -> None:
        """Treats a pause of this process as being cut off.

        The first heartbeat after the pause would otherwise hide it.
        """
        if now - self._observed_at > self._cut_off_bound_s:
            self._observed_at = now
            self._note_cut_off(now)

    def _observe_own_zone(self, now: float) -> None:
        """Detects that this node is cut off from most of its zone."""
        others = [
            node
            for node in self._nodes
            if node.zone == self._settings.zone
            and node.node_id in self._nodes.targets
            and self._nodes.liveness(node, now) is not NodeLiveness.DEAD
        ]
        silent = sum(
            now - max(node.heard_at, node.monitored_since or now)
            > self._cut_off_bound_s
            for node in others
        )
        if silent * 2 > len(others):
            self._note_cut_off(now)

    def _note_cut_off(self, now: float) -> None:
        self._cut_off_at = now
        self._whole_since = now

    def _refresh_view(self, node_id: str, now: float) -> None:
        node = self._nodes.get(node_id)
        if node is not None:
            old = self._views.get(node_id)
            view = self._nodes.view(node, now, old)
            if view is not old:
                self._views = {**self._views, node_id: view}

    def _rebuild(self) -> None:
        now = self._clock.monotonic()
        self._nodes.choose_targets(now)
        views = {self._settings.node_id: self._view_of_self(now)}
        for node in self._nodes:
            views[node.node_id] = self._nodes.view(
                node, now, self._views.get(node.node_id)
            )
        self._views = views
        self._young_neighbours = tuple(
            view.node_id
            for view in views.values()
            if view.young
            and view.zone == self._settings.zone
            and view.node_id != self._settings.node_id
        )[:_MAX_SPREAD_YOUNG]

    def _view_of_self(self, now: float) -> NodeView:
        return NodeView(
            self._settings.node_id,
            self._settings.zone,
            self._settings.region,
            self._address,
            self._boot_id,
            NodeLiveness.LIVE,
            self._is_listed_leaving
            or self._state == NodeState.NODE_STATE_DRAINING,
            now - self._whole_since < self._timing.claim_window_s,
        )
