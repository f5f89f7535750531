"""Tests of the choice of a version."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from rollout_world import MODEL, World
from tanagerport.canaries import CANARY_SHARE, CanaryChooser, PooledView
from tanagerport.detection import Scope
from tanagerport.interfaces import LoadReport
from tanagerport.model import MoveState, Request, UpstreamKind, WorkClass
from tanagerport.version_policy import MoveVersionPolicy

_CLASS = WorkClass("hint", 0, UpstreamKind.ENGINE, MODEL)


def request(number: int, key: str | None = None) -> Request:
    return Request(f"r{number}", _CLASS, "c", b"", 0.0, 9.0, key=key)


class TestCanaryChooser:
    """Bound of the canary share."""

    @given(st.lists(st.sampled_from(["ask", "end"]), max_size=400))
    def test_share_holds_at_every_count(self, steps: list[str]) -> None:
        """Guards against a share above 5% while few requests have ended."""
        chooser = CanaryChooser("v2")
        ended = chosen = 0
        for number, step in enumerate(steps):
            if step == "end":
                ended += 1
                chooser.record(Scope("hint", "e0"), is_new=False)
            else:
                chosen += chooser.choose(request(number), CANARY_SHARE, 0.0)
            assert chosen <= CANARY_SHARE * ended

    @given(st.integers(1, 16), st.integers(0, 2000))
    def test_nodes_allowances_add_up(self, nodes: int, requests: int) -> None:
        """Guards against allowances of many nodes that exceed the share."""
        allowed = [
            PooledView(0, index, nodes, requests, 0, 0, {}).allowed_here(0.05)
            for index in range(nodes)
        ]
        assert sum(allowed) == int(0.05 * requests)

    def test_node_that_joins_does_not_add_an_allowance(self) -> None:
        """Guards against a turn that is given twice when nodes change."""
        chooser = CanaryChooser("v2")
        chooser.take_pooled(PooledView(0, 0, 1, 100, 5, 0, {}))
        assert not any(
            chooser.choose(request(number), CANARY_SHARE, 0.0)
            for number in range(100)
        )

    def test_asking_again_uses_up_no_allowance(self) -> None:
        """Guards against a queue that asks for each free slot."""
        chooser = CanaryChooser("v2")
        for _ in range(20):
            chooser.record(Scope("hint", "e0"), is_new=False)
        number = next(
            number
            for number in range(100)
            if chooser.choose(request(number), CANARY_SHARE, 0.0)
        )
        assert chooser.choose(request(number), CANARY_SHARE, 0.0)
        assert chooser.chosen == 1

    def test_key_decides_on_every_node(self) -> None:
        """Guards against a resend that gets another version."""
        first, second = CanaryChooser("v2"), CanaryChooser("v2")
        answers = [
            (
                first.choose(request(number, f"k{number}"), 0.5, 0.0),
                second.choose(request(-number, f"k{number}"), 0.5, 0.0),
            )
            for number in range(1, 200)
        ]
        assert all(one == other for one, other in answers)
        assert 60 < sum(one for one, _ in answers) < 140


class TestMoveVersionPolicy:
    """Choice and conviction on one node."""

    def test_record_that_states_too_much(self) -> None:
        """Guards against a canary record with a larger share."""
        world = World(nodes=1)
        world.start_move()
        node = world.nodes[0]
        for engine in world.engines.values():
            engine.versions.add("v2")
        state = node.configuration.state.snapshot.moves
        moves = {
            MODEL: dataclasses.replace(
                state[MODEL], state=MoveState.CANARY, share=0.9
            )
        }
        object.__setattr__(node.configuration.state.snapshot, "moves", moves)
        for _ in range(200):
            world.serve(node)
        assert world.max_share <= CANARY_SHARE

    def test_conviction_stops_new_work_at_once(self) -> None:
        """Guards against new work while the store is down."""
        world = World()
        world.run(8)
        world.start_move()
        world.run(8, lambda: world.move.share > 0.3)
        world.table.down = True
        world.is_bad = lambda sample: sample.version == "v2"
        node = world.nodes[0]
        while not node.policy.is_convicted(MODEL, "v2"):
            world.clock.advance(0.2)
            world.serve(node)
        world.served.clear()
        for _ in range(100):
            world.serve(node)
        assert world.served == {"v1": 100}

    def test_version_that_no_engine_of_the_zone_has(self) -> None:
        """Guards against requests that no engine can serve."""
        world = World(nodes=1)
        world.start_move()
        node = world.nodes[0]
        policy = MoveVersionPolicy(
            node.configuration, world.clock, world.membership
        )
        world.run(30, lambda: world.move.share > 0.8)
        answers = {policy.choose_version(request(item)) for item in range(50)}
        assert answers == {"v1"}
        world.membership.loads["e1"] = LoadReport(versions={MODEL: ["v2"]})
        world.clock.advance(1.0)
        answers = {
            policy.choose_version(request(item)) for item in range(50, 99)
        }
        assert answers == {"v1", "v2"}
