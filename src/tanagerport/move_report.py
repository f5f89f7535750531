"""State of each version rollout, for operators."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from tanagerport.detection import WHOLE_VERSION, Scope
from tanagerport.model import FINAL_MOVE_STATES, MoveState, VersionMove
from tanagerport.ramp import RampPlan


class MoveSource(Protocol):
    """Where rollouts and bad versions come from."""

    @property
    def moves(self) -> Mapping[str, VersionMove]:
        """Latest rollout of each model."""

    @property
    def convictions(self) -> Mapping[tuple[str, str], str]:
        """Reason by model and version that is known to be bad."""


SamplesByScope = Callable[[str], Mapping[Scope, int]]


def report_moves(
    source: MoveSource, now: float, samples_by_scope: SamplesByScope
) -> Sequence[dict[str, Any]]:
    """Returns a row for each rollout, by model.

    Args:
        source: Rollouts and bad versions.
        now: Epoch seconds.
        samples_by_scope: Returns this node's samples of a model's new version.
    """
    return [
        _row(move, source.convictions, now, samples_by_scope(model))
        for model, move in sorted(source.moves.items())
    ]


def report_convictions(source: MoveSource) -> Sequence[dict[str, str]]:
    """Returns a row for each version that is known to be bad."""
    return [
        {"model": model, "version": version, "reason": reason}
        for (model, version), reason in sorted(source.convictions.items())
    ]


def _row(
    move: VersionMove,
    convictions: Mapping[tuple[str, str], str],
    now: float,
    samples: Mapping[Scope, int],
) -> dict[str, Any]:
    is_final = move.state in FINAL_MOVE_STATES
    conviction = convictions.get((move.model, move.new_version))
    return {
        "model": move.model,
        "old_version": move.old_version,
        "new_version": move.new_version,
        "state": move.state.value,
        "share": move.share,
        "started": move.started,
        "deadline": move.deadline,
        "deadline_in_s": None if is_final else round(move.deadline - now, 3),
        "on_time": _is_on_time(move, now),
        "ended": move.ended,
        "reason": _reason(move, conviction),
        "samples_here": samples.get(WHOLE_VERSION, 0),
    }


def _is_on_time(move: VersionMove, now: float) -> bool:
    """Returns whether the rollout met its deadline or still can."""
    if move.state in FINAL_MOVE_STATES:
        return move.state is MoveState.MET
    plan = RampPlan(move.started, move.deadline)
    if move.state is MoveState.FULL:
        return now < move.deadline
    if move.state is MoveState.RAMP:
        return now <= plan.latest_full
    return now <= plan.latest_canary_end


def _reason(move: VersionMove, conviction: str | None) -> str:
    if conviction is None or move.state is MoveState.TAKEN_BACK:
        return move.reason
    if move.state in FINAL_MOVE_STATES:
        return f"{move.reason}; found to be bad afterwards: {conviction}"
    return f"being taken back: {conviction}"
