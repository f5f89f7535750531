"""Tests of `tanagerport.spread` and of nodes that spread configuration."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence

import pytest

from cluster import HINT, Cluster, make_settings, wait_until
from faulty_table import FaultyTable
from tanagerport.clock import FakeClock
from tanagerport.configuration import ConfigChange, ConfigurationStore
from tanagerport.fault_proxy import FaultProxy, LinkFaults
from tanagerport.interfaces import NodeLiveness, NodeView
from tanagerport.model import VM, VMRole
from tanagerport.peer_pb2 import (
    FetchRecordsReply,
    FetchRecordsRequest,
    Heartbeat,
    NodeState,
)
from tanagerport.settings import PlatformSettings
from tanagerport.spread import Spread
from tanagerport.supervisor import LoopThread

_LIVE, _JOINING = NodeState.NODE_STATE_LIVE, NodeState.NODE_STATE_JOINING
_NEW_HINT = dataclasses.replace(HINT, tier=2)
_ENGINE = VM("engine-1", VMRole.ENGINE, "za", "r", "127.0.0.1:9")


class _Peers:
    def __init__(self) -> None:
        self.wakes = 0

    async def call_in_loop(self, *_: object) -> FetchRecordsReply:
        raise NotImplementedError

    def wake(self) -> None:
        self.wakes += 1


class _Directory:
    def __init__(self, *node_ids: str) -> None:
        self.liveness = dict.fromkeys(node_ids, NodeLiveness.LIVE)
        self.listed_vms: Sequence[VM] = ()

    def heartbeat_intervals(self) -> Mapping[str, float]:
        return dict.fromkeys(self.liveness, 1.0)

    def node(self, node_id: str) -> NodeView:
        return NodeView(node_id, "za", "r", "", liveness=self.liveness[node_id])

    def take_peer_list(self, vms: Sequence[VM]) -> None:
        self.listed_vms = vms


class _Node:
    def __init__(
        self, name: str, *others: str, table: FaultyTable | None = None
    ) -> None:
        self.directory = _Directory(*others)
        self.table = table or FaultyTable()
        self.table.down = table is None
        self.peers = _Peers()
        self.store = ConfigurationStore(self.table, FakeClock(), name)
        settings = dataclasses.replace(
            make_settings(name),
            platform=PlatformSettings(vm_list_url="http://127.0.0.1:9/vms"),
        )
        self.directory.listed_vms = [_ENGINE]
        self.spread = Spread(
            settings, self.store, self.peers, self.directory, FakeClock()
        )

    def hear(self, node_id: str, state: NodeState, version: int) -> None:
        self.spread.receive(
            Heartbeat(node_id=node_id, state=state, config_version=version)
        )

    def fetch(self, source: "_Node") -> None:
        snapshot = self.store.state.snapshot
        request = FetchRecordsRequest(
            since_version=snapshot.version,
            records_digest=snapshot.convictions_digest,
            want_vms=True,
        )
        self.spread.take_reply(source.spread.answer_fetch(request))


def _source(versions: int = 1) -> _Node:
    node = _Node("n9", table=FaultyTable())
    for number in range(versions):
        node.store.apply(
            ConfigChange(classes=(HINT,)), "ann", f"operation-{number}"
        )
    return node


class TestReadiness:
    """Guards against a fresh node that serves an old configuration."""

    def test_store_makes_ready(self) -> None:
        node = _Node("n1", "n2", table=FaultyTable())
        node.store.sync()
        assert not node.spread.is_ready
        node.spread.read_store()
        assert node.spread.is_ready
        assert node.store.classes == {HINT.name: HINT}

    def test_without_store_and_ready_peer_is_not_ready(self) -> None:
        node = _Node("n1", "n2")
        node.hear("n2", _JOINING, 0)
        assert not node.spread.is_ready

    def test_without_store_all_answering_peers_are_asked(self) -> None:
        """Guards against trusting the first of several peers."""
        node = _Node("n1", "n2", "n3", "n4")
        node.hear("n2", _LIVE, 0)
        node.directory.liveness["n4"] = NodeLiveness.UNREACHABLE
        assert not node.spread.is_ready
        node.hear("n3", _LIVE, 2)
        assert not node.spread.is_ready
        node.fetch(_source(versions=2))
        assert node.spread.is_ready

    def test_node_without_vm_list_takes_a_peers(self) -> None:
        """Guards against a node that is ready but knows no upstream."""
        node = _Node("n1", "n2")
        node.directory.listed_vms = ()
        node.hear("n2", _LIVE, 0)
        assert not node.spread.is_ready
        node.fetch(_source())
        assert node.directory.listed_vms == [_ENGINE]
        assert node.spread.is_ready


class TestHeartbeats:
    """Guards against convictions that travel late or cost bytes forever."""

    def test_conviction_wakes_peers_and_travels_until_it_is_known(self) -> None:
        node, other = _Node("n1", "n2"), _Node("n2", "n1")
        node.store.add_conviction("tutor", "v2", "errors")
        assert node.peers.wakes == 1
        view = node.directory.node("n2")
        heartbeat = Heartbeat(node_id="n1")
        node.spread.fill(heartbeat, view)
        other.spread.receive(heartbeat)
        assert other.store.convictions == {("tutor", "v2"): "errors"}
        reply = Heartbeat(node_id="n2")
        other.spread.fill(reply, other.directory.node("n1"))
        assert not reply.convictions
        node.spread.receive(reply)
        later = Heartbeat(node_id="n1")
        node.spread.fill(later, view)
        assert not later.convictions

    def test_accepted_change_wakes_peers(self) -> None:
        """Guards against a change that waits for each hop's heartbeat."""
        assert _source(versions=2).peers.wakes == 2

    def test_old_conviction_is_fetched_by_digest(self) -> None:
        node, other = _Node("n1"), _Node("n2")
        node.store.add_conviction("tutor", "v2", "errors")
        other.fetch(node)
        assert other.store.convictions == node.store.convictions


@pytest.fixture(name="cluster")
def _cluster() -> Iterator[Cluster]:
    cluster = Cluster({"n1": "za", "n2": "za", "n3": "zb"}, FaultyTable())
    yield cluster
    cluster.stop()


class TestCluster:
    """Guards against nodes that disagree, over real connections."""

    def test_change_reaches_all_nodes_without_their_store(
        self, cluster: Cluster
    ) -> None:
        """Guards against spread that works by the store only."""
        nodes = list(cluster.nodes.values())
        wait_until(lambda: all(node.is_ready for node in nodes))
        wait_until(
            lambda: (
                all(
                    view.boot_id
                    for node in nodes
                    for view in node.membership.nodes()
                )
                and all(len(node.membership.nodes()) == 3 for node in nodes)
            )
        )
        table = cluster.platform.table
        assert isinstance(table, FaultyTable)
        nodes[0].configuration.apply(
            ConfigChange(classes=(_NEW_HINT,)), "ann", "op-1"
        )
        table.down = True
        nodes[2].configuration.add_conviction("tutor", "v2", "errors")
        for node in nodes:
            wait_until(
                lambda node=node: (  # type: ignore[misc]
                    node.configuration.classes[HINT.name] == _NEW_HINT
                    and ("tutor", "v2") in node.configuration.convictions
                )
            )

    def test_node_restarted_with_the_store_down_learns_from_peers(
        self, cluster: Cluster
    ) -> None:
        """Guards against a restart that falls back to the settings."""
        nodes = cluster.nodes
        wait_until(lambda: all(node.is_ready for node in nodes.values()))
        nodes["n1"].configuration.apply(
            ConfigChange(classes=(_NEW_HINT,)), "ann", "op-1"
        )
        down = FaultyTable()
        down.down = True
        nodes.pop("n2").stop()
        restarted = cluster.start("n2", "za", down)
        assert not restarted.is_ready
        wait_until(lambda: restarted.is_ready)
        assert restarted.configuration.classes[HINT.name] == _NEW_HINT


class TestPartition:
    """Guards against convictions that a partition keeps apart for good."""

    def test_convictions_of_both_sides_merge(self) -> None:
        table = FaultyTable()
        cluster = Cluster({}, table)
        loop = LoopThread("proxies")
        loop.start()
        proxies, vms = [], []
        for name, zone in (("n1", "za"), ("n2", "zb")):
            # A node that listens everywhere states no address of its own, so
            # that its peers use the proxy's from the list.
            node = cluster.start(name, zone, listen="0.0.0.0:0")
            port = node.peers.address.rpartition(":")[2]
            proxy = FaultProxy(f"127.0.0.1:{port}")
            loop.run(proxy.start(), 5.0)
            proxies.append(proxy)
            vms.append(VM(name, VMRole.ENTRY, zone, "r", proxy.address))
        cluster.vm_list.set_vms(vms)
        first, second = cluster.nodes.values()
        pair = (first.membership, second.membership)
        wait_until(lambda: first.is_ready and second.is_ready)
        wait_until(lambda: pair[0].is_zone_reachable("zb"))
        wait_until(lambda: pair[1].is_zone_reachable("za"))
        table.down = True
        for proxy in proxies:
            loop.run(proxy.set_faults(LinkFaults(cut=True)), 5.0)
        wait_until(lambda: pair[0].zone_cut_off_within("zb", 60.0))
        wait_until(lambda: pair[1].zone_cut_off_within("za", 60.0))
        first.configuration.add_conviction("tutor", "v1", "errors")
        second.configuration.add_conviction("tutor", "v2", "slow")
        for proxy in proxies:
            loop.run(proxy.set_faults(LinkFaults()), 5.0)
        expected = {("tutor", "v1"): "errors", ("tutor", "v2"): "slow"}
        wait_until(lambda: first.configuration.convictions == expected)
        wait_until(lambda: second.configuration.convictions == expected)
        cluster.stop()
        loop.stop()
