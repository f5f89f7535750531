"""Tests of the decision of a rollout's next phase."""

import dataclasses

import msgspec
import pytest

from rollout_world import MODEL, FakeEngine, World
from tanagerport.canaries import CANARY_SHARE
from tanagerport.clock import FakeClock
from tanagerport.detection import Scope, ScopeEvidence
from tanagerport.engine_versions import EngineState, ModelVersions
from tanagerport.evidence import (
    EVIDENCE_PREFIX,
    EvidencePool,
    make_node_evidence,
)
from tanagerport.model import FINAL_MOVE_STATES, MoveState, VersionMove
from tanagerport.orders import OrderSender
from tanagerport.platform_api import Write
from tanagerport.platform_memory import MemoryTableStore
from tanagerport.rollout_phases import Situation, decide

_MOVE = VersionMove(
    MODEL, "v1", "v2", 112.0, 100.0, MoveState.CANARY, CANARY_SHARE
)
_ROUTES = (Scope("drill", "e0"), Scope("drill", "e1"))
_GOOD = ScopeEvidence(10, 0, 0.0, -1.0, -2.7)
_FAILED = ScopeEvidence(10, 1, 2.3, -0.9, -2.5)
_SUSPECT = ScopeEvidence(10, 5, 0.0, -1.0, 5.2)
_FEW = ScopeEvidence(2, 0, 0.0, -0.2, -0.5)


def situation(
    first: ScopeEvidence = _GOOD,
    second: ScopeEvidence | None = _GOOD,
    **changes: object,
) -> Situation:
    evidence = {_ROUTES[0]: first}
    if second is not None:
        evidence[_ROUTES[1]] = second
    traffic = dict.fromkeys(_ROUTES, 100)
    table = MemoryTableStore()
    item = make_node_evidence(_MOVE, "i", 10, 0, evidence, traffic)
    key = f"{EVIDENCE_PREFIX}{MODEL}/n0"
    table.transact([], [Write(key, msgspec.json.encode(item))])
    pool = EvidencePool(table, _MOVE, FakeClock())
    pool.refresh()
    result = Situation(
        now=105.0,
        conviction=None,
        loaded=True,
        missing=[],
        upstream_ids=["e0", "e1"],
        node_ids=["n0"],
        pool=pool,
        since=101.0,
        samples_then=0,
    )
    return dataclasses.replace(result, **changes)  # type: ignore[arg-type]


class TestDecide:
    """One decision at a time."""

    def test_proven_version_is_ramped(self) -> None:
        """Guards against a canary phase that never ends."""
        assert decide(_MOVE, situation()).state is MoveState.RAMP

    @pytest.mark.parametrize(
        "changed",
        [
            {"second": None},
            {"second": _FAILED},
            {"first": _FEW, "second": _FEW},
            {"first": _SUSPECT},
            {"missing": ["e1"]},
        ],
    )
    def test_unproven_version_stays_at_the_canary_share(
        self, changed: dict[str, object]
    ) -> None:
        """Guards against a ramp before all active routes have passed."""
        decided = decide(_MOVE, situation(**changed))  # type: ignore[arg-type]
        assert (decided.state, decided.share) == (
            MoveState.CANARY,
            CANARY_SHARE,
        )

    def test_engine_death_seen_by_many_nodes_is_one_failure(self) -> None:
        """Guards against a conviction because all nodes lost streams."""
        table = MemoryTableStore()
        for number in range(8):
            route = Scope(("hint", "drill")[number % 2], "e0")
            lost = ScopeEvidence(1, 1, 2.3, 0.0, 0.0)
            item = make_node_evidence(_MOVE, "i", 0, 0, {route: lost}, {})
            key = f"{EVIDENCE_PREFIX}{MODEL}/n{number}"
            table.transact([], [Write(key, msgspec.json.encode(item))])
        pool = EvidencePool(table, _MOVE, FakeClock())
        pool.refresh()
        assert (pool.samples, pool.verdict) == (8, None)

    def test_routes_of_dead_nodes_need_no_samples(self) -> None:
        """Guards against a rollout that waits for a zone without nodes."""
        assert decide(_MOVE, situation(second=None, node_ids=[])).state is (
            MoveState.RAMP
        )

    def test_upstream_that_left_needs_no_samples(self) -> None:
        """Guards against waiting for a route that takes no more work."""
        decided = decide(_MOVE, situation(second=None, upstream_ids=["e0"]))
        assert decided.state is MoveState.RAMP

    @pytest.mark.parametrize("state", [MoveState.RAMP, MoveState.FULL])
    def test_suspect_version_goes_no_further(self, state: MoveState) -> None:
        """Guards against a ramp or an end while a conviction is near."""
        move = dataclasses.replace(_MOVE, state=state, share=0.35)
        bad = situation(first=_SUSPECT, now=111.0)
        decided = decide(move, bad)
        assert (decided.state, decided.share) == (state, 0.35)
        late = dataclasses.replace(bad, now=112.0)
        missed = decide(move, late)
        assert (missed.state, missed.share) == (MoveState.MISSED, 0.0)

    def test_doubt_extends_the_watch_period(self) -> None:
        """Guards against an end just before the verdict on a late fault."""
        move = dataclasses.replace(_MOVE, state=MoveState.FULL, share=0.85)
        doubt = ScopeEvidence(10, 4, 0.0, -1.0, 3.0)
        doubtful = situation(first=doubt, now=111.2)
        assert decide(move, situation(now=111.2)).state is MoveState.MET
        assert decide(move, doubtful).state is MoveState.FULL
        late = dataclasses.replace(doubtful, now=111.7)
        assert decide(move, late).state is MoveState.MET

    def test_suspect_canary_is_taken_back_at_the_deadline(self) -> None:
        """Guards against a bad version that is reported as merely late."""
        decided = decide(_MOVE, situation(first=_FAILED, now=112.0))
        assert decided.state is MoveState.TAKEN_BACK
        assert "bad samples" in decided.reason

    @pytest.mark.parametrize("goes_on", [False, True])
    def test_missed_ramp_follows_the_setting(self, goes_on: bool) -> None:
        """Guards against a setting without effect."""
        move = dataclasses.replace(_MOVE, state=MoveState.RAMP, share=0.35)
        decided = decide(
            move, situation(now=112.0, continue_when_missed=goes_on)
        )
        assert decided.state is MoveState.MISSED
        assert decided.share == (1.0 if goes_on else 0.0)

    @pytest.mark.parametrize("state", sorted(FINAL_MOVE_STATES))
    def test_final_states_never_change(self, state: MoveState) -> None:
        """Guards against an end that is decided twice."""
        move = dataclasses.replace(_MOVE, state=state, ended=104.0)
        assert decide(move, situation(conviction="bad", now=200.0)) == move


class TestModelVersions:
    """Orders from reports that are old."""

    def test_old_report_after_a_rollback(self) -> None:
        """Guards against a default that an old report shows as set back."""
        world = World(nodes=1, engines=1)
        engine = FakeEngine("e0", checks_fencing=True)
        stale = EngineState(frozenset({"v1", "v2"}), "v1", 0.0)
        engine.versions.add("v2")
        world.engines["e0"] = engine
        versions = ModelVersions(
            MODEL,
            world.membership,
            lambda vms, model: {"e0": stale},
            world.weights,
            OrderSender(world.connect),
            world.clock,
        )
        versions.refresh()
        lease = world.nodes[0].mover._leases.acquire("l", "n0", 10.0)
        assert lease is not None
        versions.set_default("v2", lease)
        world.clock.advance(1.0)
        versions.refresh()
        versions.set_default("v1", lease)
        assert engine.default == "v1"
