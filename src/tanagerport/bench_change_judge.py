"""Judges of version rollouts and of configuration changes."""

import collections
from collections.abc import Iterator, Sequence
from typing import Any

from tanagerport.bench_history import (
    ClassChange,
    EngineOrder,
    Execution,
    History,
    MoveHistory,
    Probe,
)

IN_FORCE_BOUND_S = 5.0
NEW_WORK_GRACE_S = 2.0
MAX_BAD_SHARE = 0.05
# A share of fewer requests says nothing: one of 19 is more than 5%.
_MIN_REQUESTS = 40
_SILENCE_S = 1.0


def bad_version_share(history: History) -> int:
    """Counts requests that a bad version should not have received.

    For a version that is bad from its first request on: requests that it
    started before the verdict while its share of all requests of the model
    since the rollout was accepted, this one counted, was above 5%; the first
    40 requests are not judged. For every bad version: requests that it
    started 2 s or later after the verdict was in the store.
    """
    move = history.move
    if move is None or move.bad_from is None:
        return 0
    excess = 0
    if move.bad_at_first:
        excess = sum(
            is_new and share > MAX_BAD_SHARE
            for is_new, share in _shares(history.executions, move)
        )
    return excess + new_work_after_conviction(history)


def new_work_after_conviction(history: History) -> int:
    """Counts requests that started 2 s or later after the verdict."""
    move = history.move
    if move is None or move.convicted_at is None:
        return 0
    return sum(
        item.started >= move.convicted_at + NEW_WORK_GRACE_S
        for item in _of_model(history.executions, move)
        if item.version == move.version
    )


def stale_changes(history: History) -> int:
    """Counts changes under a fencing token that was no longer the latest.

    Counted are orders that an engine applied after any engine had received
    an order with a higher token, and writes of the rollout's record with a
    lower token than an earlier write.
    """
    writes = history.move.writes if history.move else ()
    tokens = [write.fencing_token for write in writes]
    return _stale_orders(history.orders) + sum(
        token < max(tokens[:index], default=0)
        for index, token in enumerate(tokens)
    )


def config_reverted(history: History) -> int:
    """Counts accepted changes that were late, lost or undone.

    Counted is each node and class that the node knew and later did not know;
    each accepted change that a node which answers did not know 5 s after it
    was accepted, or after the node could reach the store again; each change
    of a class that was accepted although a concurrent one of the same class
    was accepted too; and each change under an old fencing token.
    """
    late = sum(
        seconds is None or seconds > IN_FORCE_BOUND_S
        for _, _, seconds in _in_force(history)
    )
    return (
        _reverts(history.probes)
        + late
        + _lost_updates(history.changes)
        + stale_changes(history)
    )


def summarize_move(history: History) -> dict[str, Any]:
    """Returns the `version_move` part of a result."""
    move = history.move
    assert move is not None
    shares = [share for _, share in _shares(history.executions, move)]
    met = move.state == "met" and move.ended_at is not None
    return {
        "state": move.state,
        "deadline_met": bool(
            met and move.ended_at and move.ended_at <= move.deadline_at
        ),
        "bad_share_max": round(max(shares, default=0.0), 4)
        if move.bad_from is not None
        else 0.0,
        "new_work_after_conviction": new_work_after_conviction(history),
        "convicted_after_s": _since(move.convicted_at, move),
        "ended_after_s": _since(move.ended_at, move),
        "stale_changes": stale_changes(history),
        "steps": [
            [
                _since(write.at, move),
                write.state,
                write.share,
                write.fencing_token,
            ]
            for write in move.writes
        ],
    }


def summarize_config(history: History) -> dict[str, Any]:
    """Returns the `config` part of a result."""
    seconds = [item for _, _, item in _in_force(history) if item is not None]
    return {
        "accepted": sum(item.accepted for item in history.changes),
        "conflicts": sum(item.conflict for item in history.changes),
        "failed": sum(
            not item.accepted and not item.conflict for item in history.changes
        ),
        "in_force_seconds_max": round(max(seconds), 3) if seconds else None,
        "reverts": _reverts(history.probes),
        "lost_updates": _lost_updates(history.changes),
    }


def _of_model(
    executions: Sequence[Execution], move: MoveHistory
) -> Iterator[Execution]:
    for item in sorted(executions, key=lambda entry: entry.started):
        if item.model == move.model and item.started >= move.accepted_at:
            yield item


def _shares(
    executions: Sequence[Execution], move: MoveHistory
) -> Iterator[tuple[bool, float]]:
    """Yields for each request before the verdict the share at its start."""
    new = 0
    for total, item in enumerate(_of_model(executions, move), 1):
        if move.convicted_at is not None and item.started > move.convicted_at:
            return
        is_new = item.version == move.version
        new += is_new
        if total > _MIN_REQUESTS:
            yield is_new, new / total


def _since(at: float | None, move: MoveHistory) -> float | None:
    return None if at is None else round(at - move.accepted_at, 2)


def _stale_orders(orders: Sequence[EngineOrder]) -> int:
    highest = stale = 0
    for order in sorted(orders, key=lambda item: item.at):
        stale += order.applied and order.fencing_token < highest
        highest = max(highest, order.fencing_token)
    return stale


def _reverts(probes: Sequence[Probe]) -> int:
    reverts = 0
    known: set[tuple[str, str]] = set()
    for probe in sorted(probes, key=lambda item: item.at):
        pair = probe.node_id, probe.class_name
        if probe.known:
            known.add(pair)
        elif probe.known is False and pair in known:
            known.discard(pair)
            reverts += 1
    return reverts


def _lost_updates(changes: Sequence[ClassChange]) -> int:
    accepted = collections.Counter(
        item.name for item in changes if item.accepted
    )
    return sum(count - 1 for count in accepted.values())


def _in_force(
    history: History,
) -> Iterator[tuple[str, str, float | None]]:
    """Yields node, class and seconds until the class was known.

    None stands for a class that stayed unknown for longer than the bound.
    For a node that gave no answer for over 1 s, as one that restarts, the
    time counts from its first answer. A node that never knew the class is
    left out if the run ended before the bound.
    """
    accepted = {
        item.name: item.answered_at for item in history.changes if item.accepted
    }
    answered = [probe for probe in history.probes if probe.known is not None]
    for node_id in history.zone_of_node:
        cut_from, cut_until = history.cut_off.get(node_id, (0.0, 0.0))
        for name, accepted_at in accepted.items():
            start = accepted_at
            if cut_from <= accepted_at <= cut_until:
                start = cut_until
            seen = [
                probe
                for probe in answered
                if (probe.node_id, probe.class_name) == (node_id, name)
                and probe.at >= start
            ]
            if seen and seen[0].at - start > _SILENCE_S:
                start = seen[0].at
            known = [probe.at for probe in seen if probe.known]
            if known:
                yield node_id, name, max(0.0, min(known) - start)
            elif seen and seen[-1].at - start > IN_FORCE_BOUND_S:
                yield node_id, name, None
