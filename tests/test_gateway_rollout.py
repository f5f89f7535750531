"""Rollouts: how much a version gets that is not known to be good.

The nodes run on a fake clock with a store in memory. Upstreams are a function
from a request to its answer.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Any

import pytest

from gateway_doubles import ENGINE_SERVICE, NodeHarness, make_item
from tanagerport.clock import FakeClock
from tanagerport.exceptions import StoreConflictError, StoreUnavailableError
from tanagerport.gateway.canary_budget import CanaryBudget, CanaryLimits
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import RolloutOrder, UpstreamRecord
from tanagerport.gateway.rollout import RolloutController
from tanagerport.gateway.rollout_lease import RolloutState
from tanagerport.gateway.rollout_progress import Rollout
from tanagerport.gateway.rollout_report import RolloutReport
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.slot_messages import SlotOutcome
from tanagerport.gateway.table_store import Row, RowWrite, TableRows
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.version_evidence import Evidence
from tanagerport.gateway.work_item import Placement, WorkItem

_SERVICE = "models"
_DURATION_S = 14.0
_REQUESTS_PER_S = 25
_REPORT_INTERVAL_S = 0.5
_LIMITS = CanaryLimits(0.1, 50.0)
OLD = [
    UpstreamRecord(f"old-{i}", _SERVICE, "127.0.0.1", i, "z", "v1")
    for i in (1, 2, 3)
]
NEW = [
    UpstreamRecord(f"new-{i}", _SERVICE, "127.0.0.1", i, "z", "v2")
    for i in (4, 5, 6)
]


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer of an upstream to one request."""

    has_failed: bool = False
    is_slow: bool = False
    has_answered: bool = True


class MemoryStore:
    """Table store in memory; `is_down` makes all calls fail."""

    def __init__(self, clock: FakeClock) -> None:
        self.is_down = False
        self.rows: dict[tuple[str, str], Row] = {}
        self._clock = clock
        self._version = 0

    async def read(self, table: str) -> TableRows:
        self._check()
        rows = [row for key, row in self.rows.items() if key[0] == table]
        return TableRows(tuple(rows), self._version)

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        raise NotImplementedError

    async def transact(self, writes: Sequence[RowWrite]) -> int:
        self._check()
        for write in writes:
            row = self.rows.get((write.table, write.key))
            version = 0 if row is None else row.version
            if write.expected_version not in (None, version):
                raise StoreConflictError([write.key])
        self._version += 1
        for write in writes:
            self.rows[write.table, write.key] = Row(
                write.key, write.value, self._version
            )
        return self._version

    def time_s(self) -> float:
        return self._clock.monotonic()

    def drop_connections(self) -> None:
        pass

    def _check(self) -> None:
        if self.is_down:
            raise StoreUnavailableError("down")


class StatusEncoder:
    """Encodes the state that an operator reads."""

    def rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RowWrite:
        return RowWrite("status", order.service, state.encode())


class Nodes:
    """Nodes that roll out `v2`, and the requests that arrive at them."""

    def __init__(
        self, answer: Callable[[UpstreamRecord], Answer], count: int = 6
    ) -> None:
        self.clock = FakeClock(100.0)
        self.store = MemoryStore(self.clock)
        self.answer = answer
        self.upstreams: list[UpstreamRecord] = [*OLD]
        self.sent: list[UpstreamRecord] = []
        self.refused = 0
        self._count = count
        self._random = random.Random(1)
        self._starts = 0
        self._ticks = 0
        self.controllers = [self._create(i) for i in range(count)]

    def _create(self, index: int) -> RolloutController:
        return RolloutController(
            f"node-{index}",
            self.store,
            StatusEncoder(),
            _LIMITS,
            lambda: self._count,
            lambda upstream_id: False,
            lambda service: self.upstreams,
            DecisionLog("node", -1),
            self.clock.monotonic,
        )

    @property
    def to_new(self) -> int:
        return sum(upstream.version == "v2" for upstream in self.sent)

    @property
    def allowed(self) -> float:
        return _LIMITS.share * len(self.sent) + _LIMITS.slack

    @property
    def status(self) -> bytes | None:
        row = self.store.rows.get(("status", _SERVICE))
        return None if row is None else row.value

    def order(self, row_version: int = 7) -> None:
        order = RolloutOrder(_SERVICE, "v2", _DURATION_S, row_version)
        for controller in self.controllers:
            controller.apply_order(order)

    def restart(self, index: int, row_version: int = 7) -> None:
        self.controllers[index] = self._create(index)
        self._starts += 1
        self.controllers[index].apply_order(
            RolloutOrder(_SERVICE, "v2", _DURATION_S, row_version)
        )
        asyncio.run(self.controllers[index].update(may_write=False))

    def run(self, seconds: float) -> None:
        """Lets requests arrive, and nodes report and update their leases."""
        for _ in range(round(seconds * _REQUESTS_PER_S)):
            self._ticks += 1
            self.clock.advance(1 / _REQUESTS_PER_S)
            self._send(self._random.randrange(self._count))
            if self._ticks % round(_REPORT_INTERVAL_S * _REQUESTS_PER_S) == 0:
                self.exchange_reports()
            if self._ticks % _REQUESTS_PER_S == 0:
                self.update()

    def exchange_reports(self) -> None:
        reports = [controller.report() for controller in self.controllers]
        for sender, report in enumerate(reports):
            for receiver, controller in enumerate(self.controllers):
                if receiver != sender:
                    controller.apply_report(f"{sender}/{self._starts}", report)

    def update(self) -> None:
        for controller in self.controllers:
            asyncio.run(controller.update())

    def _send(self, index: int) -> None:
        controller = self.controllers[index]
        allowed = controller.select_upstreams(
            _SERVICE, f"r-{self._ticks}", self.upstreams
        )
        if not allowed:
            self.refused += 1
            return
        upstream = self._random.choice(list(allowed))
        controller.record_dispatch(upstream)
        self.sent.append(upstream)
        answer = self.answer(upstream)
        controller.record_answer(
            upstream,
            "route",
            answer.has_failed,
            answer.is_slow,
            answer.has_answered,
        )


def _half_bad(**fault: bool) -> Callable[[UpstreamRecord], Answer]:
    """Returns upstreams of which the new ones do badly half of the time."""
    draws = random.Random(5)

    def answer(upstream: UpstreamRecord) -> Answer:
        if upstream.version == "v2" and draws.random() < 0.5:
            return Answer(**fault)
        return Answer()

    return answer


def _roll_out(nodes: Nodes) -> None:
    """Orders the rollout after a minute of traffic and lets it begin."""
    nodes.run(60)
    nodes.sent.clear()
    nodes.order()
    nodes.update()
    nodes.upstreams = [*OLD, *NEW]


# Guards against a bad version that gets all requests of the service when no
# upstream of the old version is left to take the others.
class TestOldVersionGone:
    """All upstreams of the old version vanish from the list."""

    @pytest.mark.parametrize("count", [1, 6, 60])
    @pytest.mark.parametrize("fault", ["is_slow", "has_failed"])
    def test_bad_version_stays_within_its_share(
        self, count: int, fault: str
    ) -> None:
        nodes = Nodes(_half_bad(**{fault: True}), count)
        _roll_out(nodes)
        nodes.run(0.5)
        nodes.upstreams = [*NEW]
        nodes.run(_DURATION_S)
        assert nodes.to_new <= nodes.allowed
        assert nodes.status == b"reverted"

    def test_hundreds_of_nodes_share_the_budget(self) -> None:
        nodes = Nodes(_half_bad(is_slow=True), 195)
        nodes.order()
        nodes.upstreams = [*NEW]
        nodes.run(_DURATION_S / 2)
        assert nodes.to_new <= nodes.allowed

    def test_bad_version_gets_nothing_after_it_was_found(self) -> None:
        nodes = Nodes(_half_bad(is_slow=True))
        _roll_out(nodes)
        nodes.upstreams = [*NEW]
        nodes.run(5)
        before = nodes.to_new
        nodes.run(20)
        assert nodes.to_new == before

    def test_bad_version_is_found_without_answers_from_before(self) -> None:
        nodes = Nodes(_half_bad(has_failed=True))
        nodes.order()
        nodes.upstreams = [*NEW]
        nodes.run(_DURATION_S)
        assert nodes.to_new <= nodes.allowed
        assert nodes.status == b"reverted"

    def test_good_version_takes_the_place_of_the_old_one(self) -> None:
        nodes = Nodes(lambda upstream: Answer())
        _roll_out(nodes)
        nodes.upstreams = [*NEW]
        nodes.run(6.5)
        refused = nodes.refused
        nodes.run(2 * _DURATION_S)
        assert nodes.refused == refused
        assert nodes.status == b"completed"

    def test_version_whose_slow_answers_come_late_stays_within_its_share(
        self,
    ) -> None:
        """Its first answers are good; the old one goes in the second half."""
        nodes = Nodes(lambda upstream: Answer())
        _roll_out(nodes)
        nodes.run(0.55 * _DURATION_S)
        nodes.upstreams = [*NEW]
        nodes.run(2.4)
        assert nodes.to_new <= nodes.allowed

    def test_requests_go_to_the_old_version_once_it_is_back(self) -> None:
        nodes = Nodes(_half_bad(is_slow=True))
        _roll_out(nodes)
        nodes.upstreams = [*NEW]
        nodes.run(5)
        nodes.upstreams = [*OLD, *NEW]
        refused = nodes.refused
        nodes.run(_DURATION_S)
        assert nodes.refused == refused


# Guards against a bad version that passes for good because the old version,
# cut off but still listed, fails as often.
class TestOldVersionCutOff:
    """The upstreams of the old version are listed and give no answers."""

    @pytest.mark.parametrize("fault", ["is_slow", "has_failed"])
    def test_bad_version_is_found(self, fault: str) -> None:
        half_bad = _half_bad(**{fault: True})

        def answer(upstream: UpstreamRecord) -> Answer:
            if upstream.version == "v1" and nodes.clock.monotonic() > 160.5:
                return Answer(has_failed=True, has_answered=False)
            return half_bad(upstream)

        nodes = Nodes(answer)
        _roll_out(nodes)
        nodes.run(_DURATION_S)
        assert nodes.to_new <= nodes.allowed
        assert nodes.status == b"reverted"

    def test_failures_of_an_upstream_that_answers_again_count(self) -> None:
        """Trouble that meets both versions must not take back a good one."""
        draws = random.Random(3)
        nodes = Nodes(
            lambda upstream: (
                Answer(has_failed=True, has_answered=False)
                if draws.random() < 0.3
                else Answer()
            )
        )
        _roll_out(nodes)
        nodes.run(2 * _DURATION_S)
        assert nodes.status == b"completed"


# Guards against a canary budget that starts anew with each process.
class TestRestarts:
    """Nodes are restarted during the rollout."""

    def test_bad_version_stays_within_its_share(self) -> None:
        # Bad answers are not seen, so that only the budget is left.
        nodes = Nodes(lambda upstream: Answer())
        _roll_out(nodes)
        nodes.upstreams = [*NEW]
        for index in range(6):
            nodes.run(0.5)
            nodes.restart(index)
        assert nodes.to_new <= nodes.allowed

    def test_all_nodes_together(self) -> None:
        nodes = Nodes(lambda upstream: Answer())
        _roll_out(nodes)
        nodes.upstreams = [*NEW]
        for _ in range(2):
            nodes.run(1.5)
            for index in range(6):
                nodes.restart(index)
            nodes.update()
        nodes.run(1.0)
        assert nodes.to_new <= nodes.allowed

    def test_restarted_nodes_serve_a_completed_version_at_once(self) -> None:
        nodes = Nodes(lambda upstream: Answer())
        _roll_out(nodes)
        nodes.run(_DURATION_S + 2)
        assert nodes.status == b"completed"
        nodes.upstreams = [*NEW]
        for index in range(6):
            nodes.restart(index)
        refused = nodes.refused
        nodes.run(5)
        assert nodes.refused == refused


# Guards against a reverted version that gets requests again because the
# operator, left without an answer, wrote its order once more.
class TestRepeatedOrder:
    """The same order is written twice."""

    def test_reverted_version_stays_reverted(self) -> None:
        nodes = Nodes(_half_bad(has_failed=True))
        _roll_out(nodes)
        nodes.run(8)
        assert nodes.status == b"reverted"
        before = nodes.to_new
        nodes.order(row_version=9)
        nodes.run(10)
        assert nodes.to_new == before
        assert nodes.status == b"reverted"

    def test_node_that_has_read_only_the_second_order_agrees(self) -> None:
        nodes = Nodes(_half_bad(has_failed=True))
        _roll_out(nodes)
        nodes.run(8)
        before = nodes.to_new
        nodes.restart(3, row_version=9)
        nodes.run(10)
        assert nodes.to_new == before
        assert nodes.status == b"reverted"

    def test_order_after_the_deadline_starts_a_new_rollout(self) -> None:
        nodes = Nodes(_half_bad(has_failed=True))
        _roll_out(nodes)
        nodes.run(_DURATION_S + 5)
        assert nodes.status == b"reverted"
        nodes.answer = lambda upstream: Answer()
        nodes.order(row_version=9)
        nodes.run(2 * _DURATION_S)
        assert nodes.status == b"completed"


# Guards against stopping the old version for one that nothing speaks for.
class TestCompletion:
    """The end of a rollout without a clear result."""

    def test_version_without_upstreams_is_not_completed(self) -> None:
        nodes = Nodes(lambda upstream: Answer())
        nodes.order()
        nodes.run(2 * _DURATION_S)
        assert nodes.status == b"reverted"

    def test_version_with_little_traffic_is_completed_in_time(self) -> None:
        nodes = Nodes(lambda upstream: Answer())
        nodes.order()
        nodes.upstreams = [*OLD, *NEW]
        nodes.clock.advance(0.95 * _DURATION_S)
        nodes.update()
        assert nodes.status == b"completed"

    def test_version_that_leaves_requests_unanswered_is_not_completed(
        self,
    ) -> None:
        """Guards against missing answers that count as missing traffic.

        The old version was gone, and a bad one had used up its budget: 34
        requests of 52, with 17 answers. It was completed and got everything.
        """
        rollout = Rollout(
            RolloutOrder(_SERVICE, "v2", _DURATION_S, 7),
            7,
            0.0,
            Evidence(),
            CanaryBudget(_LIMITS, lambda: 1),
            has_lost_old_version=True,
        )
        for number in range(52):
            rollout.budget.record_dispatch(is_new=number < 34)
        for number in range(17):
            rollout.evidence.record("r", True, False, is_slow=number < 5)
        for fraction, state in (
            (0.9, RolloutState.IN_PROGRESS),
            (0.95, RolloutState.REVERTED),
        ):
            assert state is rollout.next_state(
                fraction * _DURATION_S, 100.0, True, True
            )

    def test_good_version_is_completed_in_time(self) -> None:
        nodes = Nodes(lambda upstream: Answer())
        _roll_out(nodes)
        nodes.run(0.98 * _DURATION_S)
        assert nodes.status == b"completed"
        assert nodes.refused == 0


class GrantingSlots:
    """Coordinator that grants an upstream of the new version after a wait."""

    def __init__(self, during_wait: Callable[[], None]) -> None:
        self._during_wait = during_wait
        self.released: list[SlotOutcome] = []

    async def acquire(
        self, item: WorkItem, versions: list[str], excluded: frozenset[str]
    ) -> Placement:
        self._during_wait()
        return Placement(NEW[0], item, 0, 0, 0.1, 0.0)

    def release(self, placement: Placement) -> None:
        self.released.append(placement.outcome)

    def adopt(self, placement: Placement) -> None:
        pass


# Guards against a version that gets the requests which waited for a slot while
# it was found to be bad.
class TestGrantedSlots:
    """A slot that is granted after the rollout went on."""

    def test_slot_of_a_version_that_was_reverted_is_given_back(self) -> None:
        nodes = Nodes(_half_bad(has_failed=True), 1)
        nodes.order()
        nodes.upstreams = [*NEW]
        registry = UpstreamRegistry()
        for upstream in NEW:
            registry.put(upstream)

        def find_bad() -> None:
            nodes.controllers[0].apply_report(
                "other/1",
                [RolloutReport(_SERVICE, 7, RolloutState.REVERTED, [])],
            )
            for upstream in OLD:
                registry.put(upstream)

        slots: Any = GrantingSlots(find_bad)
        harness = NodeHarness()
        scheduler = Scheduler(
            registry,
            harness.selector,
            harness.load_tracker,
            harness.health,
            UpstreamBackoff(harness.clock.monotonic),
            harness.latencies,
            harness.cache,
            nodes.controllers[0],
            lambda name: ENGINE_SERVICE,
            lambda: None,
            slots,
            harness.clock.monotonic,
        )
        item = make_item(harness.clock.monotonic())
        placement = asyncio.run(scheduler.acquire(item))
        assert placement.upstream.version == "v1"
        assert slots.released == [SlotOutcome.UNUSED]
