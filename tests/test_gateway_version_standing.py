"""Rollouts: which versions an order replaces, and which are unproven.

The nodes run on a fake clock with a store in memory.
"""

import random
from collections.abc import Callable

import pytest

from tanagerport.gateway.domain import RolloutOrder, UpstreamRecord
from tanagerport.gateway.rollout_lease import TABLE
from tanagerport.gateway.table_store import Row
from test_gateway_rollout import (
    _DURATION_S,
    _LIMITS,
    _SERVICE,
    NEW,
    OLD,
    Answer,
    Nodes,
)

_BAD_AFTER_S = 4.0


def _make(version: str, first: int) -> list[UpstreamRecord]:
    return [
        UpstreamRecord(f"{version}-{i}", _SERVICE, "127.0.0.1", i, "z", version)
        for i in range(first, first + 3)
    ]


_THIRD = _make("v3", 7)
_FOURTH = _make("v4", 10)
_ANEW = _make("v1", 13)


class _Rollouts:
    """A service that is rolled out several times.

    Attributes:
        nodes: The nodes.
        bad_version: Version of which half of the answers fail from a moment on.
    """

    def __init__(self) -> None:
        self._draws = random.Random(5)
        self._row_version = 10
        self._order_version = ""
        self._bad_at = float("inf")
        self.bad_version = ""
        self.nodes = Nodes(self._answer)
        self.nodes.run(20)

    def order(self, version: str, bad: bool = False) -> None:
        """Orders a version, which turns bad some seconds later."""
        self._row_version += 10
        self._order_version = version
        if bad:
            self.bad_version = version
            self._bad_at = self.nodes.clock.monotonic() + _BAD_AFTER_S
        for index in range(len(self.nodes.controllers)):
            self.read_order(index)
        self.nodes.sent.clear()
        self.nodes.refused = 0

    def read_order(self, index: int) -> None:
        """Lets one node read the newest order."""
        self.nodes.controllers[index].apply_order(
            RolloutOrder(
                _SERVICE, self._order_version, _DURATION_S, self._row_version
            )
        )

    def complete(self, version: str, upstreams: list[UpstreamRecord]) -> None:
        """Rolls a good version out; the upstreams before it end."""
        self.nodes.upstreams = [*self.nodes.upstreams, *upstreams]
        self.order(version)
        self.nodes.run(_DURATION_S)
        assert self.nodes.status == b"completed"
        self.nodes.upstreams = [*upstreams]
        self.nodes.run(5)

    def restart_all(self) -> None:
        """Restarts all nodes, which read the order again."""
        for index in range(len(self.nodes.controllers)):
            self.nodes.controllers[index] = self.nodes._create(index)
            self.read_order(index)
        self.nodes.update()

    def count(self, version: str) -> int:
        """Returns the requests to a version since the last order."""
        return sum(entry.version == version for entry in self.nodes.sent)

    @property
    def allowed(self) -> float:
        """Requests that a bad version may get."""
        return _LIMITS.share * len(self.nodes.sent) + _LIMITS.slack

    def _answer(self, upstream: UpstreamRecord) -> Answer:
        return Answer(
            has_failed=upstream.version == self.bad_version
            and self.nodes.clock.monotonic() >= self._bad_at
            and self._draws.random() < 0.5
        )


def _restart_nodes(world: _Rollouts) -> None:
    world.restart_all()


def _forget_nothing(world: _Rollouts) -> None:
    del world


def _lose_lease(world: _Rollouts) -> None:
    del world.nodes.store.rows[TABLE, _SERVICE]


class TestLaterRollouts:
    """Guards against a later rollout that is taken for a return.

    The version of a second order got all requests at once, without a canary
    phase, if its upstreams were known when it was ordered.
    """

    @pytest.mark.parametrize(
        "happens", [_forget_nothing, _restart_nodes, _lose_lease]
    )
    def test_upstreams_are_known_before_the_order(
        self, happens: Callable[[_Rollouts], None]
    ) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.nodes.run(0.5)
        happens(world)
        world.order("v3", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v3") <= world.allowed
        assert world.nodes.status == b"reverted"

    def test_upstreams_are_known_after_the_order(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.order("v3", bad=True)
        world.nodes.run(0.05)
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.nodes.run(_DURATION_S)
        assert world.count("v3") <= world.allowed

    def test_version_before_is_ordered_whose_upstreams_start_anew(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.nodes.upstreams = [*NEW, *_ANEW]
        world.nodes.run(0.5)
        world.order("v1", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v1") <= world.allowed

    def test_third_rollout(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.complete("v3", _THIRD)
        world.nodes.upstreams = [*_THIRD, *_FOURTH]
        world.nodes.run(0.5)
        world.order("v4", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v4") <= world.allowed

    def test_upstreams_are_known_before_the_first_order(self) -> None:
        world = _Rollouts()
        world.nodes.upstreams = [*OLD, *_THIRD]
        world.nodes.run(2)
        world.nodes.upstreams = [*OLD, *NEW, *_THIRD]
        world.order("v2")
        world.nodes.run(_DURATION_S)
        assert world.nodes.status == b"completed"
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.nodes.run(5)
        world.order("v3", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v3") <= world.allowed

    def test_reverted_version_is_ordered_again(self) -> None:
        world = _Rollouts()
        world.nodes.upstreams = [*OLD, *NEW]
        world.order("v2", bad=True)
        world.nodes.run(_DURATION_S + 2)
        assert world.nodes.status == b"reverted"
        world.order("v2", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v2") <= world.allowed
        assert world.nodes.status == b"reverted"

    def test_good_version_is_completed_in_time(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.nodes.run(0.5)
        world.order("v3")
        world.nodes.run(0.98 * _DURATION_S)
        assert world.nodes.status == b"completed"
        assert world.nodes.refused == 0


class TestMissedEnd:
    """Guards against what one node, or the store, does not know any more."""

    def test_node_that_missed_a_completion_learns_of_it(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.restart_all()
        stale = world.nodes._create(3)
        stale.apply_order(RolloutOrder(_SERVICE, "v2", _DURATION_S, 20))
        world.nodes.controllers[3] = stale
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.order("v3", bad=True)
        world.nodes.update()
        world.nodes.run(_DURATION_S)
        assert world.count("v3") <= world.allowed
        # Not one waits for a version that is gone.
        assert world.nodes.refused == 0

    def test_store_goes_back_to_a_copy_from_before_the_completion(self) -> None:
        world = _Rollouts()
        world.nodes.upstreams = [*OLD, *NEW]
        world.order("v2")
        world.nodes.run(_DURATION_S / 2)
        copy = world.nodes.store.rows[TABLE, _SERVICE]
        world.nodes.run(_DURATION_S / 2)
        assert world.nodes.status == b"completed"
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.nodes.run(0.5)
        world.nodes.store.rows[TABLE, _SERVICE] = Row(
            _SERVICE, copy.value, copy.version
        )
        world.order("v3", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v3") <= world.allowed
        assert world.nodes.refused == 0

    def test_order_that_is_completed_is_written_again(self) -> None:
        """Guards against a version in use that has to prove itself again."""
        world = _Rollouts()
        world.complete("v2", NEW)
        world.order("v2")
        world.nodes.run(2 * _DURATION_S)
        assert world.nodes.refused == 0
        assert world.nodes.status == b"completed"


class TestReturn:
    """Guards against a return that is as slow as a rollout."""

    @pytest.mark.parametrize("runs_s", [2.0, _DURATION_S])
    def test_version_in_use_gets_all_requests_at_once(
        self, runs_s: float
    ) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.order("v3", bad=True)
        world.nodes.run(runs_s)
        world.order("v2")
        world.nodes.run(5)
        assert world.count("v2") == len(world.nodes.sent) > 0
        assert world.nodes.refused == 0

    def test_order_after_a_return_replaces_the_same_version(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.nodes.upstreams = [*NEW, *_THIRD, *_FOURTH]
        world.order("v3")
        world.nodes.run(1)
        world.order("v2")
        world.nodes.run(1)
        world.order("v4", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v4") <= world.allowed
        assert world.count("v3") == 0
        assert world.nodes.refused == 0


class TestOtherVersions:
    """Guards against requests at a version that nobody has ordered."""

    def test_third_version_gets_nothing_during_a_rollout(self) -> None:
        world = _Rollouts()
        world.nodes.upstreams = [*OLD, *NEW]
        world.order("v2")
        world.nodes.run(2)
        world.nodes.upstreams = [*OLD, *NEW, *_THIRD]
        world.nodes.run(_DURATION_S)
        assert world.nodes.status == b"completed"
        assert world.count("v3") == 0

    def test_it_serves_if_no_other_is_left(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        world.nodes.upstreams = [*_THIRD]
        world.nodes.sent.clear()
        world.nodes.refused = 0
        world.nodes.run(2)
        assert world.count("v3") == len(world.nodes.sent) > 0
        assert world.nodes.refused == 0

    def test_rollout_of_another_service_changes_nothing(self) -> None:
        world = _Rollouts()
        world.complete("v2", NEW)
        for controller in world.nodes.controllers:
            controller.apply_order(
                RolloutOrder("bookings", "v3", _DURATION_S, 500)
            )
        world.nodes.upstreams = [*NEW, *_THIRD]
        world.nodes.run(0.5)
        world.order("v3", bad=True)
        world.nodes.run(_DURATION_S)
        assert world.count("v3") <= world.allowed
