"""Tests of the judges of rollouts and configuration changes."""

import dataclasses
from typing import Any

from tanagerport import bench_change_judge as judge
from tanagerport.bench_history import (
    ClassChange,
    EngineOrder,
    Execution,
    History,
    MoveHistory,
    MoveWrite,
    Probe,
)

_MOVE = MoveHistory(
    model="tutor",
    version="v2",
    accepted_at=100.0,
    deadline_at=110.0,
    bad_from=0.0,
    bad_at_first=True,
    state="taken back",
    ended_at=106.0,
    convicted_at=105.0,
)


def _execution(started: float, version: str = "v1") -> Execution:
    return Execution(
        upstream="engine-1",
        zone="z1",
        is_engine=True,
        request_id="",
        key="",
        marker="",
        model="tutor",
        version=version,
        started=started,
        ended=started + 0.1,
        complete=True,
    )


def _history(
    executions: list[Execution] | None = None, **fields: Any
) -> History:
    return History([], executions or [], {"n1": "z1", "n2": "z2"}, **fields)


class TestBadVersionShare:
    """Guards against bad versions whose share goes unseen."""

    def _count(self, new: list[float], **fields: Any) -> int:
        old = [_execution(100.0 + 0.01 * i) for i in range(200)]
        history = _history(
            old + [_execution(at, "v2") for at in new],
            move=dataclasses.replace(_MOVE, **fields),
        )
        return judge.bad_version_share(history)

    def test_accepts_a_share_of_5_percent(self) -> None:
        assert self._count([104.0 + 0.01 * i for i in range(10)]) == 0

    def test_counts_requests_above_5_percent(self) -> None:
        assert self._count([104.0 + 0.01 * i for i in range(13)]) == 3

    def test_counts_work_2_s_after_the_verdict(self) -> None:
        assert self._count([106.9]) == 0
        assert self._count([107.1]) == 1

    def test_share_of_a_late_bad_version_is_not_bounded(self) -> None:
        new = [104.0 + 0.01 * i for i in range(60)]
        assert self._count(new, bad_at_first=False) == 0
        assert self._count([*new, 108.0], bad_at_first=False) == 1

    def test_good_version_has_no_violation(self) -> None:
        new = [104.0 + 0.01 * i for i in range(60)]
        assert self._count(new, bad_from=None) == 0


class TestStaleChanges:
    """Guards against a paused lease holder whose changes go unseen."""

    def _count(self, *orders: tuple[int, bool], tokens: Any = ()) -> int:
        received = [
            EngineOrder("engine-1", float(index), token, applied)
            for index, (token, applied) in enumerate(orders)
        ]
        writes = tuple(
            MoveWrite(float(index), "ramp", 0.5, token)
            for index, token in enumerate(tokens)
        )
        move = dataclasses.replace(_MOVE, writes=writes)
        return judge.stale_changes(_history(orders=received, move=move))

    def test_counts_an_applied_order_with_an_old_token(self) -> None:
        assert self._count((1, True), (2, True), (1, True)) == 1

    def test_accepts_a_refused_order(self) -> None:
        assert self._count((1, True), (2, True), (1, False)) == 0

    def test_counts_a_write_with_an_old_token(self) -> None:
        assert self._count(tokens=(0, 1, 2, 1, 2)) == 1
        assert self._count(tokens=(0, 1, 2, 2)) == 0


class TestConfigReverted:
    """Guards against accepted changes that are late, lost or undone."""

    def _probes(
        self, node_id: str, *known: bool | None, start: float = 10.0
    ) -> list[Probe]:
        return [
            Probe(node_id, "a", start + index, item)
            for index, item in enumerate(known)
        ]

    def _count(self, probes: list[Probe], **fields: Any) -> int:
        change = ClassChange("a", 9.9, 10.0, accepted=True)
        fields = {"changes": [change], **fields}
        return judge.config_reverted(_history(probes=probes, **fields))

    def test_accepts_a_change_that_stays(self) -> None:
        probes = self._probes("n1", False, True, None, True)
        assert self._count(probes) == 0
        history = _history(
            probes=probes,
            changes=[ClassChange("a", 9.9, 10.0, accepted=True)],
        )
        summary = judge.summarize_config(history)
        assert summary["in_force_seconds_max"] == 1.0

    def test_counts_a_class_that_is_forgotten(self) -> None:
        assert self._count(self._probes("n1", True, False, True)) == 1

    def test_counts_a_node_that_is_late(self) -> None:
        late = [False] * 6 + [True]
        assert self._count(self._probes("n1", *late)) == 1
        assert self._count(self._probes("n1", *[False] * 7)) == 1

    def test_time_counts_from_the_end_of_a_partition(self) -> None:
        probes = self._probes("n1", *[False] * 7, True)
        assert self._count(probes, cut_off={"n1": (9.0, 16.0)}) == 0

    def test_time_counts_from_the_first_answer_of_a_restart(self) -> None:
        probes = self._probes("n1", *[None] * 7, False, True)
        assert self._count(probes) == 0

    def test_counts_a_lost_update(self) -> None:
        both = [ClassChange("a", 9.9, 10.0, accepted=True)] * 2
        assert self._count([], changes=both) == 1
        told = ClassChange("a", 9.9, 10.0, accepted=False, conflict=True)
        assert self._count([], changes=[both[0], told]) == 0
