"""What a node knows of other entry nodes, and what it concludes from it."""

import collections
import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from tanagerport.interfaces import NodeLiveness, NodeView
from tanagerport.model import VM, VMState
from tanagerport.peer_pb2 import Heartbeat, NodeState
from tanagerport.rendezvous import rendezvous_rank
from tanagerport.settings import Settings

# Nodes of the own zone with which heartbeats are exchanged; the others are
# judged by what these report. All nodes of today's zones fit.
_MAX_NEIGHBOURS = 32
_REMOTE_NEIGHBOURS = 2
# Peers that must report a silent node before it counts as dead.
_AGREEING_PEERS = 2
_NEVER = float("-inf")


@dataclasses.dataclass
class EntryNode:
    """What is known of one entry node; times are monotonic seconds."""

    node_id: str
    zone: str
    region: str
    address: str
    first_seen_at: float
    listed: bool = False
    listed_leaving: bool = False
    monitored_since: float | None = None
    heard_at: float = _NEVER
    boot_id: str = ""
    past_boots: set[str] = dataclasses.field(default_factory=set)
    state: int = NodeState.NODE_STATE_UNSPECIFIED
    introduced_address: str = ""
    young_until: float = float("inf")
    suspects: frozenset[str] = frozenset()
    loss_recorded: bool = False


@dataclasses.dataclass(frozen=True)
class Loss:
    """A death or restart of a node, by which its claims were lost."""

    node_id: str
    boot_id: str
    zone: str
    at: float


class NodeStates:
    """Entry nodes other than this one. Not safe for concurrent use.

    Args:
        settings: Settings of this node.
        started_at: Monotonic seconds of this node's start.
    """

    def __init__(self, settings: Settings, started_at: float) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._started_at = started_at
        self._nodes: dict[str, EntryNode] = {}
        self._losses: dict[tuple[str, str], Loss] = {}
        self._targets: dict[str, float] = {}
        # Kept up to date so that judging 600 nodes takes no pass over all
        # nodes for each of them.
        self._zone_heard_at: dict[str, float] = {}
        self._zone_young: dict[str, frozenset[str]] = {}
        self._suspicions: collections.Counter[str] = collections.Counter()
        self._ranks: dict[str, tuple[list[str], list[str]]] = {}

    def __iter__(self) -> Iterator[EntryNode]:
        return iter(self._nodes.values())

    @property
    def targets(self) -> Mapping[str, float]:
        """Seconds between heartbeats by node id."""
        return self._targets

    @property
    def losses(self) -> Iterable[Loss]:
        """Recorded losses."""
        return self._losses.values()

    def get(self, node_id: str) -> EntryNode | None:
        """Returns a node."""
        return self._nodes.get(node_id)

    def take_list(self, vms: Iterable[VM], now: float) -> None:
        """Merges the entry nodes of the VM list.

        A node that the list no longer holds stays while it is heard: the
        list lags, heartbeats do not.
        """
        listed = {
            vm.vm_id: vm for vm in vms if vm.vm_id != self._settings.node_id
        }
        for vm in listed.values():
            node = self._nodes.get(vm.vm_id)
            if node is None:
                node = EntryNode(vm.vm_id, vm.zone, vm.region, "", now)
                self._nodes[vm.vm_id] = node
            node.address = vm.address
            node.listed = True
            node.listed_leaving = vm.state is VMState.LEAVING
        for node in self._nodes.values():
            node.listed = node.node_id in listed

    def take_heartbeat(
        self, heartbeat: Heartbeat, now: float, epoch: float
    ) -> bool:
        """Records a heartbeat.

        Returns:
            Whether it came from the node's present process.
        """
        node = self._nodes.get(heartbeat.node_id)
        if node is None:
            node = EntryNode(
                heartbeat.node_id, heartbeat.zone, heartbeat.region, "", now
            )
            self._nodes[heartbeat.node_id] = node
        if heartbeat.boot_id in node.past_boots:
            return False
        if node.boot_id and node.boot_id != heartbeat.boot_id:
            self._record_loss(node, epoch)
            node.past_boots.add(node.boot_id)
        elif node.loss_recorded:
            # The same process came back, so its claims were not lost.
            self._losses.pop((node.node_id, node.boot_id), None)
        node.loss_recorded = False
        node.boot_id = heartbeat.boot_id
        node.heard_at = now
        self._zone_heard_at[node.zone] = now
        if node.zone != self._settings.zone:
            self._zone_young[node.zone] = frozenset(heartbeat.young_nodes)
        node.state = heartbeat.state
        node.suspects = frozenset(heartbeat.suspected_nodes)
        node.young_until = (
            now + self._timing.claim_window_s - heartbeat.uptime_ms / 1000
        )
        if heartbeat.address:
            node.introduced_address = heartbeat.address
        return True

    def address(self, node: EntryNode) -> str:
        """Returns where to reach a node.

        The node's own word is newer than the list's; the settings' override
        stands for a proxy and goes first.
        """
        return (
            self._settings.peer_addresses.get(node.node_id)
            or node.introduced_address
            or node.address
        )

    def liveness(self, node: EntryNode, now: float) -> NodeLiveness:
        """Concludes whether a node lives."""
        extra_s = self._interval_s(node.zone) - self._timing.heartbeat_s
        silence_s = now - self._heard_or_monitored(node)
        if silence_s < self._timing.suspect_after_s + extra_s:
            return NodeLiveness.LIVE
        if node.node_id not in self._targets and node.listed:
            return self._indirect_liveness(node, now)
        if silence_s < self._timing.dead_after_s + extra_s:
            return NodeLiveness.SUSPECT
        if not node.listed or self._agreed_dead(node):
            return NodeLiveness.DEAD
        return NodeLiveness.UNREACHABLE

    def view(
        self, node: EntryNode, now: float, old: NodeView | None
    ) -> NodeView:
        """Returns a node as other parts see it; `old` if nothing changed."""
        address = self.address(node)
        liveness = self.liveness(node, now)
        draining = (
            node.listed_leaving or node.state == NodeState.NODE_STATE_DRAINING
        )
        young = self._is_young(node, now)
        if (
            old is not None
            and old.liveness is liveness
            and old.young == young
            and old.draining == draining
            and old.boot_id == node.boot_id
            and old.address == address
            and old.listed == node.listed
        ):
            return old
        return NodeView(
            node.node_id,
            node.zone,
            node.region,
            address,
            node.boot_id,
            liveness,
            draining,
            young,
            node.listed,
        )

    def is_zone_heard(self, zone: str, now: float) -> bool:
        """Returns whether a node of the zone was heard lately."""
        bound_s = (
            self._timing.dead_after_s
            + self._timing.remote_heartbeat_s
            - self._timing.heartbeat_s
        )
        return now - self._zone_heard_at.get(zone, _NEVER) < bound_s

    def count_suspicions(self, now: float) -> None:
        """Counts which nodes are suspected by peers that are heard."""
        self._suspicions.clear()
        for peer in self._nodes.values():
            if (
                peer.suspects
                and now - peer.heard_at < self._timing.dead_after_s
            ):
                self._suspicions.update(peer.suspects)

    def suspected(self, now: float) -> list[str]:
        """Returns monitored nodes that are silent."""
        return [
            node_id
            for node_id in self._targets
            if self.liveness(self._nodes[node_id], now) is not NodeLiveness.LIVE
        ]

    def choose_targets(self, now: float) -> None:
        """Chooses with which nodes to exchange heartbeats."""
        by_zone: dict[str, list[str]] = {}
        for node in self._nodes.values():
            by_zone.setdefault(node.zone, []).append(node.node_id)
        targets: dict[str, float] = {}
        for zone, node_ids in by_zone.items():
            is_own = zone == self._settings.zone
            wanted = _MAX_NEIGHBOURS if is_own else _REMOTE_NEIGHBOURS
            for node_id in self._reachable_prefix(zone, node_ids, wanted, now):
                targets[node_id] = self._interval_s(zone)
        for node_id, node in self._nodes.items():
            if node_id not in targets:
                node.monitored_since = None
            elif node.monitored_since is None:
                node.monitored_since = now
        self._targets = targets

    def forget_gone(self, now: float, epoch: float) -> None:
        """Records losses, and forgets nodes that are gone for long."""
        for node in list(self._nodes.values()):
            gone = self.liveness(node, now) in (
                NodeLiveness.DEAD,
                NodeLiveness.UNREACHABLE,
            )
            if gone and node.boot_id and not node.loss_recorded:
                self._record_loss(node, epoch)
                node.loss_recorded = True
            silence_s = now - max(node.heard_at, node.first_seen_at)
            if not node.listed and silence_s > self._timing.claim_window_s:
                del self._nodes[node.node_id]
        oldest = epoch - 2 * self._timing.claim_window_s
        self._losses = {
            key: loss for key, loss in self._losses.items() if loss.at > oldest
        }

    def _reachable_prefix(
        self, zone: str, node_ids: list[str], wanted: int, now: float
    ) -> list[str]:
        """Returns nodes in rank order until enough of them are reachable.

        Unreachable ones before the last stay included, so that they are
        tried until they answer.
        """
        prefix = []
        for node_id in self._rank(zone, node_ids):
            if wanted == 0:
                break
            node = self._nodes[node_id]
            liveness = self.liveness(node, now)
            if not node.listed and liveness is NodeLiveness.DEAD:
                continue
            prefix.append(node_id)
            if liveness in (NodeLiveness.LIVE, NodeLiveness.SUSPECT):
                wanted -= 1
        return prefix

    def _is_young(self, node: EntryNode, now: float) -> bool:
        """Returns whether a node may lack claims.

        The word of its zone stands for a node that is not heard itself;
        without any word the node counts as young.
        """
        bound_s = self._timing.dead_after_s + self._timing.remote_heartbeat_s
        if now - node.heard_at < bound_s or node.zone == self._settings.zone:
            return now < node.young_until
        reported = self._zone_young.get(node.zone)
        return reported is None or node.node_id in reported

    def _rank(self, zone: str, node_ids: list[str]) -> list[str]:
        known, ranked = self._ranks.get(zone, ([], []))
        if known != node_ids:
            ranked = rendezvous_rank(self._settings.node_id, node_ids)
            self._ranks[zone] = (node_ids, ranked)
        return ranked

    def _interval_s(self, zone: str) -> float:
        if zone == self._settings.zone:
            return self._timing.heartbeat_s
        return self._timing.remote_heartbeat_s

    def _heard_or_monitored(self, node: EntryNode) -> float:
        """Returns when silence began; a node gets time to answer at first."""
        return max(node.heard_at, node.monitored_since or _NEVER)

    def _indirect_liveness(self, node: EntryNode, now: float) -> NodeLiveness:
        if self._agreed_dead(node):
            return NodeLiveness.DEAD
        settling = now - self._started_at < self._timing.dead_after_s
        if settling or self.is_zone_heard(node.zone, now):
            return NodeLiveness.LIVE
        return NodeLiveness.UNREACHABLE

    def _agreed_dead(self, node: EntryNode) -> bool:
        return self._suspicions[node.node_id] >= _AGREEING_PEERS

    def _record_loss(self, node: EntryNode, epoch: float) -> None:
        key = (node.node_id, node.boot_id)
        self._losses[key] = Loss(*key, node.zone, epoch)
