"""Decision of a rollout's next phase from what is known about it."""

import dataclasses
from collections.abc import Collection, Sequence

from tanagerport.canaries import CANARY_SHARE
from tanagerport.detection import (
    CONVICTION_SCORE,
    PASS_SCORE,
    WHOLE_VERSION,
    Scope,
)
from tanagerport.evidence import EvidencePool, active_routes
from tanagerport.model import FINAL_MOVE_STATES, MoveState, VersionMove
from tanagerport.ramp import FULL_SHARE, RampPlan, SamplesNeeded, next_share

# A route with less of the traffic can't receive more than the canary share of
# all requests even if nothing is known about it.
ACTIVE_ROUTE_SHARE = 0.02
# One failure raises a score to 2.3. The slowness score of all samples of a
# good version reaches 3 now and then.
_POOLED_SLOW_PASS_SCORE = 3.0
_POOLED_FAILURE_PASS_SCORE = 2.0
# With a score or ungraded slow samples above these, the watch period goes on
# while the deadline permits.
_DOUBT_SCORE = 2.0
_UNGRADED = 2
# A ramp stops here until the score falls or the version is convicted.
_SUSPICION_SCORE = CONVICTION_SCORE / 2
_NAMED_ROUTES = 3


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the decision depends on.

    Attributes:
        now: Epoch seconds.
        conviction: Reason why the version is bad; None if it is not.
        loaded: Whether any engine has loaded the new version.
        missing: Engines that have not loaded it.
        upstream_ids: Engines that take new work.
        node_ids: Live nodes; routes that only other nodes used are not
            active, because no requests come to them.
        pool: Evidence of all nodes.
        since: Epoch seconds since when this holder saw the current share.
        samples_then: Samples of the new version at that time.
        continue_when_missed: Whether a version that passed the canary phase
            gets all traffic when the deadline passes.
    """

    now: float
    conviction: str | None
    loaded: bool
    missing: Sequence[str]
    upstream_ids: Sequence[str]
    node_ids: Collection[str]
    pool: EvidencePool
    since: float
    samples_then: int
    continue_when_missed: bool = True


def decide(move: VersionMove, situation: Situation) -> VersionMove:
    """Returns the rollout as it should be now.

    The result equals `move` if nothing changes. A final state never changes.
    """
    if move.state in FINAL_MOVE_STATES:
        return move
    if situation.conviction is not None:
        return _end(
            move, MoveState.TAKEN_BACK, 0.0, situation.conviction, situation.now
        )
    plan = RampPlan(move.started, move.deadline)
    if situation.now >= move.deadline:
        return _miss(move, situation)
    decided = _DECISIONS[move.state](move, situation, plan)
    if decided.state in FINAL_MOVE_STATES:
        return decided
    late = lateness(decided, plan, situation)
    if late and move.reason and decided.state is move.state:
        # Reported once; each new wording would cost a write.
        late = move.reason
    return dataclasses.replace(decided, reason=late)


def lateness(move: VersionMove, plan: RampPlan, situation: Situation) -> str:
    """Returns why the deadline will be missed; empty if it can be met."""
    latest = {
        MoveState.LOADING: plan.latest_canary_end,
        MoveState.CANARY: plan.latest_canary_end,
        MoveState.RAMP: plan.latest_full,
    }.get(move.state)
    if latest is None or situation.now <= latest:
        return ""
    return f"expected late: {_blocker(move, situation)}"


def unproven(move: VersionMove, situation: Situation) -> Sequence[str]:
    """Returns what keeps the share at the canary share."""
    pool = situation.pool
    if situation.missing:
        return [f"not loaded on {_names(situation.missing)}"]
    routes = active_routes(
        pool.traffic(situation.node_ids),
        situation.upstream_ids,
        ACTIVE_ROUTE_SHARE,
    )
    plan = RampPlan(move.started, move.deadline)
    needed = plan.samples_needed(
        pool.requests, situation.now - move.started, len(routes)
    )
    problems = _check_whole(pool, needed)
    lacking = [
        route
        for route in routes
        if pool.evidence(route).samples < needed.per_route
    ]
    if lacking:
        problems.append(
            f"fewer than {needed.per_route} samples on {_names(lacking)}"
        )
    suspect = [
        route for route in routes if pool.chart(route).worst >= PASS_SCORE
    ]
    if suspect:
        problems.append(f"bad samples on {_names(suspect)}")
    return problems


def _suspect_routes(situation: Situation) -> list[Scope]:
    pool = situation.pool
    routes = active_routes(
        pool.traffic(situation.node_ids),
        situation.upstream_ids,
        ACTIVE_ROUTE_SHARE,
    )
    return [route for route in routes if pool.chart(route).worst >= PASS_SCORE]


def _check_whole(pool: EvidencePool, needed: SamplesNeeded) -> list[str]:
    problems = []
    if pool.samples < needed.total:
        problems.append(f"{pool.samples} of {needed.total} samples")
    chart = pool.chart(WHOLE_VERSION)
    is_slow = chart.slow_score >= _POOLED_SLOW_PASS_SCORE
    if is_slow or chart.failure_score >= _POOLED_FAILURE_PASS_SCORE:
        problems.append("bad samples on all routes")
    return problems


def _decide_loading(
    move: VersionMove, situation: Situation, plan: RampPlan
) -> VersionMove:
    del plan
    if not situation.loaded:
        return move
    return dataclasses.replace(move, state=MoveState.CANARY, share=CANARY_SHARE)


def _decide_canary(
    move: VersionMove, situation: Situation, plan: RampPlan
) -> VersionMove:
    del plan
    if unproven(move, situation):
        return move
    return dataclasses.replace(
        move, state=MoveState.RAMP, share=next_share(move.share)
    )


def _decide_ramp(
    move: VersionMove, situation: Situation, plan: RampPlan
) -> VersionMove:
    is_suspect = situation.pool.worst_score() >= _SUSPICION_SCORE
    has_samples = situation.pool.samples > situation.samples_then
    is_due = situation.now >= situation.since + plan.stage_s(
        situation.since, move.share
    )
    if is_suspect or not has_samples or not is_due:
        return move
    share = next_share(move.share)
    if share >= FULL_SHARE:
        return dataclasses.replace(move, state=MoveState.FULL, share=FULL_SHARE)
    return dataclasses.replace(move, share=share)


def _decide_full(
    move: VersionMove, situation: Situation, plan: RampPlan
) -> VersionMove:
    watched_until = situation.since + plan.watch_s(situation.since)
    if situation.now < watched_until:
        return move
    score = situation.pool.worst_score()
    is_doubtful = score >= _DOUBT_SCORE or situation.pool.ungraded > _UNGRADED
    if score >= _SUSPICION_SCORE:
        return move
    if is_doubtful and situation.now < plan.last_end:
        return move
    samples = situation.pool.samples
    return _end(
        move,
        MoveState.MET,
        1.0,
        f"{samples} samples, {move.deadline - situation.now:.1f} s before"
        " the deadline",
        situation.now,
    )


def _miss(move: VersionMove, situation: Situation) -> VersionMove:
    has_passed = move.state in (MoveState.RAMP, MoveState.FULL)
    is_suspect = situation.pool.worst_score() >= _SUSPICION_SCORE
    goes_on = has_passed and not is_suspect and situation.continue_when_missed
    if not has_passed and _suspect_routes(situation):
        # Not enough to convict the version for good, but its samples are why
        # it goes back.
        return _end(
            move,
            MoveState.TAKEN_BACK,
            0.0,
            f"{_blocker(move, situation)} at the deadline",
            situation.now,
        )
    direction = "all traffic goes"
    return _end(
        move,
        MoveState.MISSED,
        1.0 if goes_on else 0.0,
        f"{_blocker(move, situation)} at the deadline; {direction} to"
        f" {move.new_version if goes_on else move.old_version}",
        situation.now,
    )


def _blocker(move: VersionMove, situation: Situation) -> str:
    if move.state in (MoveState.LOADING, MoveState.CANARY):
        problems = unproven(move, situation)
        return f"{move.state.value}: " + ("; ".join(problems) or "passed late")
    score = situation.pool.worst_score()
    if score >= _SUSPICION_SCORE:
        return f"{move.state.value}: bad samples, score {score:.1f}"
    return f"{move.state.value} at share {move.share:g}"


def _end(
    move: VersionMove, state: MoveState, share: float, reason: str, now: float
) -> VersionMove:
    return dataclasses.replace(
        move, state=state, share=share, reason=reason, ended=now
    )


def _names(items: Sequence[str] | Sequence[Scope]) -> str:
    names = ", ".join(str(item) for item in items[:_NAMED_ROUTES])
    more = len(items) - _NAMED_ROUTES
    return f"{names} and {more} more" if more > 0 else names


_DECISIONS = {
    MoveState.LOADING: _decide_loading,
    MoveState.CANARY: _decide_canary,
    MoveState.RAMP: _decide_ramp,
    MoveState.FULL: _decide_full,
}
