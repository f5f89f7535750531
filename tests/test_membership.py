"""Tests of `tanagerport.membership`."""

import dataclasses
from typing import Any

import pytest

from cluster import FAST, make_settings
from tanagerport.clock import FakeClock
from tanagerport.interfaces import LoadReport, NodeLiveness
from tanagerport.membership import Membership
from tanagerport.model import VM, VMRole, VMState
from tanagerport.peer_pb2 import Heartbeat, NodeState
from tanagerport.platform_memory import MemoryVMList

_HOME, _OTHER = "lm-burnaby", "lm-surrey"
_DEAD_S = FAST.dead_after_s + 0.01


def _entry(name: str, zone: str = _HOME, address: str = "127.0.0.1:1") -> VM:
    return VM(name, VMRole.ENTRY, zone, "lower-mainland", address)


_ENGINE = VM("engine-1", VMRole.ENGINE, _HOME, "lower-mainland", "127.0.0.1:9")
_VMS = (
    _entry("n1"),
    _entry("n2"),
    _entry("n3"),
    _entry("n4", _OTHER),
    _entry("n5", _OTHER),
    _ENGINE,
)


class _Setup:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.vm_list = MemoryVMList(_VMS, clock=self.clock)
        self.membership = Membership(
            make_settings("n1"), self.vm_list, self.clock
        )
        self.membership.read_list()
        self.sequence = 0

    def hear(self, *names: str, boot: str = "a", **fields: Any) -> None:
        for name in names:
            self.sequence += 1
            zone = _OTHER if name in {"n4", "n5"} else _HOME
            heartbeat = Heartbeat(
                node_id=name,
                zone=zone,
                boot_id=boot,
                state=NodeState.NODE_STATE_LIVE,
                sequence=self.sequence,
                **fields,
            )
            self.membership.receive(heartbeat)

    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        self.membership.observe()

    def live(self, seconds: float) -> None:
        """Lets time pass while all nodes are heard."""
        for _ in range(int(seconds / 0.25) + 1):
            self.hear("n2", "n3", "n4")
            self.advance(0.25)

    def liveness(self, name: str) -> NodeLiveness:
        view = self.membership.node(name)
        assert view is not None
        return view.liveness

    def losses(self) -> int:
        return len(self.membership.losses(_HOME, 60.0))


@pytest.fixture(name="setup")
def _setup() -> _Setup:
    return _Setup()


class TestLiveness:
    """Guards against taking an unreachable node for a dead one."""

    def test_silent_node_is_suspect_then_unreachable(
        self, setup: _Setup
    ) -> None:
        setup.hear("n2", "n3")
        setup.advance(FAST.suspect_after_s + 0.01)
        setup.hear("n3")
        assert setup.liveness("n2") is NodeLiveness.SUSPECT
        assert len(setup.membership.live_nodes(_HOME)) == 3
        setup.advance(_DEAD_S)
        setup.hear("n3")
        assert setup.liveness("n2") is NodeLiveness.UNREACHABLE

    def test_node_is_dead_if_two_peers_agree(self, setup: _Setup) -> None:
        setup.hear("n2", "n3", "n4")
        setup.advance(_DEAD_S)
        setup.hear("n3", suspected_nodes=["n2"])
        setup.advance(0.0)
        assert setup.liveness("n2") is NodeLiveness.UNREACHABLE
        setup.hear("n4", suspected_nodes=["n2"])
        setup.advance(0.0)
        assert setup.liveness("n2") is NodeLiveness.DEAD

    def test_node_is_dead_if_the_list_agrees(self, setup: _Setup) -> None:
        setup.hear("n2", "n3")
        setup.advance(_DEAD_S)
        setup.membership.take_list([vm for vm in _VMS if vm.vm_id != "n2"])
        assert setup.liveness("n2") is NodeLiveness.DEAD

    def test_heard_node_outlives_the_lagging_list(self, setup: _Setup) -> None:
        """Guards against a stale list that removes a live node."""
        setup.hear("n2", "n3")
        setup.membership.take_list([vm for vm in _VMS if vm.vm_id != "n2"])
        assert setup.liveness("n2") is NodeLiveness.LIVE

    def test_node_that_the_list_lacks_introduces_itself(
        self, setup: _Setup
    ) -> None:
        """Guards against ignoring a node until the list shows it."""
        setup.hear("n9", address="127.0.0.1:77", region="lower-mainland")
        view = setup.membership.node("n9")
        assert view is not None
        assert view.address == "127.0.0.1:77"
        assert "n9" in setup.membership.heartbeat_intervals()

    def test_zone_is_cut_off_only_after_it_was_silent(
        self, setup: _Setup
    ) -> None:
        """Guards against a fresh node that reports partitions."""
        assert not setup.membership.zone_cut_off_within(_OTHER, 60.0)
        setup.hear("n4")
        assert setup.membership.is_zone_reachable(_OTHER)
        setup.advance(2 * _DEAD_S)
        assert not setup.membership.is_zone_reachable(_OTHER)
        assert setup.membership.zone_cut_off_within(_OTHER, 60.0)
        assert setup.liveness("n4") is NodeLiveness.UNREACHABLE
        setup.hear("n4")
        assert setup.membership.is_zone_reachable(_OTHER)
        assert setup.membership.zone_cut_off_within(_OTHER, 60.0)
        setup.live(61.0)
        assert not setup.membership.zone_cut_off_within(_OTHER, 60.0)

    def test_empty_list_is_ignored(self, setup: _Setup) -> None:
        """Guards against a platform that lost its list."""
        setup.membership.take_list([])
        assert setup.membership.upstreams()


class TestLosses:
    """Guards against claims that are thought to exist but were lost."""

    def test_restart_at_the_same_address_is_a_loss(self, setup: _Setup) -> None:
        setup.hear("n2", boot="a")
        setup.hear("n2", boot="b")
        assert setup.losses() == 1
        setup.hear("n2", boot="a")
        view = setup.membership.node("n2")
        assert view is not None
        assert view.boot_id == "b"

    def test_death_and_restart_count_once(self, setup: _Setup) -> None:
        setup.hear("n2", "n3")
        setup.advance(_DEAD_S)
        assert setup.losses() == 2
        setup.hear("n2", boot="b")
        setup.hear("n3", boot="b")
        setup.advance(0.0)
        assert setup.losses() == 2

    def test_same_process_that_returns_lost_nothing(
        self, setup: _Setup
    ) -> None:
        setup.hear("n2")
        setup.advance(_DEAD_S)
        assert setup.losses() == 1
        setup.hear("n2")
        assert setup.losses() == 0


class TestYouth:
    """Guards against a node that answers for claims that it lacks."""

    def test_node_that_was_cut_off_is_young_again(self, setup: _Setup) -> None:
        setup.live(FAST.claim_window_s + 1)
        assert not setup.membership.self_view.young
        setup.advance(_DEAD_S)
        assert setup.membership.self_view.young
        assert setup.membership.zone_cut_off_within(_HOME, 60.0)

    def test_pause_of_the_process_is_a_cut(self, setup: _Setup) -> None:
        """Guards against a heartbeat that hides the pause before it."""
        setup.live(FAST.claim_window_s + 1)
        setup.clock.advance(_DEAD_S)
        setup.hear("n2", "n3")
        setup.advance(0.0)
        assert setup.membership.self_view.young

    def test_one_silent_neighbour_of_two_is_no_cut(self, setup: _Setup) -> None:
        setup.hear("n2", "n3")
        setup.advance(0.1)
        for _ in range(20):
            setup.hear("n3")
            setup.advance(0.1)
        assert not setup.membership.zone_cut_off_within(_HOME, 60.0)

    def test_peer_that_suspects_this_node_makes_it_young(
        self, setup: _Setup
    ) -> None:
        """Guards against a cut that only the other side notices."""
        setup.hear("n2", suspected_nodes=["n1"])
        assert setup.membership.zone_cut_off_within(_HOME, 60.0)


class TestZoneReports:
    """Guards against nodes that choose different homes for one key."""

    def test_zone_says_which_of_its_unheard_nodes_are_young(
        self, setup: _Setup
    ) -> None:
        """Guards against taking an unheard remote node for young forever."""
        vms = [*_VMS, *(_entry(f"r{index}", "far") for index in range(3))]
        setup.membership.take_list(vms)
        targets = setup.membership.heartbeat_intervals()
        far = [f"r{index}" for index in range(3)]
        heard = next(name for name in far if name in targets)
        unheard = next(name for name in far if name not in targets)

        def is_young(reported: list[str]) -> bool:
            setup.membership.receive(
                Heartbeat(
                    node_id=heard, zone="far", boot_id="a", young_nodes=reported
                )
            )
            setup.advance(0.0)
            view = setup.membership.node(unheard)
            return view is not None and view.young

        assert is_young([unheard])
        assert not is_young([])

    def test_young_neighbours_are_reported_to_other_zones_only(
        self, setup: _Setup
    ) -> None:
        setup.hear("n2", uptime_ms=1)
        setup.hear("n3", uptime_ms=10**9)
        setup.advance(0.0)
        reports = {}
        for peer in ("n3", "n4"):
            view = setup.membership.node(peer)
            assert view is not None
            heartbeat = Heartbeat()
            setup.membership.fill(heartbeat, view)
            reports[peer] = list(heartbeat.young_nodes)
        assert reports == {"n3": [], "n4": ["n2"]}

    def test_node_whose_vm_is_leaving_excludes_itself_as_others_do(
        self, setup: _Setup
    ) -> None:
        leaving = dataclasses.replace(_VMS[0], state=VMState.LEAVING)
        setup.membership.take_list([leaving, *_VMS[1:]])
        live = setup.membership.live_nodes(_HOME)
        assert [view.node_id for view in live] == ["n2", "n3"]


class TestUpstreams:
    """Guards against new work for an upstream that is leaving."""

    def _state(self, setup: _Setup) -> VMState:
        return setup.membership.upstreams(_HOME)[0].state

    def test_hint_goes_before_the_list_and_spreads(self, setup: _Setup) -> None:
        setup.membership.mark_leaving("engine-1")
        setup.membership.read_list()
        assert self._state(setup) is VMState.LEAVING
        heartbeat = Heartbeat()
        setup.membership.fill(heartbeat, setup.membership.self_view)
        assert heartbeat.leaving_upstreams == ["engine-1"]
        other = _Setup()
        other.membership.receive(
            Heartbeat(
                node_id="n1",
                zone=_HOME,
                boot_id="a",
                leaving_upstreams=heartbeat.leaving_upstreams,
            )
        )
        assert self._state(other) is VMState.LEAVING

    def test_load_report_states_leaving(self, setup: _Setup) -> None:
        setup.membership.set_load("engine-1", LoadReport(leaving=True))
        assert self._state(setup) is VMState.LEAVING

    def test_hint_ends_in_heartbeats_when_the_list_agrees(
        self, setup: _Setup
    ) -> None:
        """Guards against hints that use up bytes forever."""
        setup.membership.mark_leaving("engine-1")
        leaving = dataclasses.replace(_ENGINE, state=VMState.LEAVING)
        setup.membership.take_list([*_VMS[:-1], leaving])
        heartbeat = Heartbeat()
        setup.membership.fill(heartbeat, setup.membership.self_view)
        assert not heartbeat.leaving_upstreams
