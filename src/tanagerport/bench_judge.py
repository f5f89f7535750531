"""Judges of the bench: invariants and metrics from what was observed.

A judge sees what callers, upstreams and the store saw, and nothing that a
node says of itself.
"""

import collections
import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from tanagerport.bench_caller import CallRecord
from tanagerport.bench_change_judge import bad_version_share, config_reverted
from tanagerport.bench_history import Execution, History

LEAVING_GRACE_S = 3.0
_SHED_WINDOW_S = 0.1
CAPACITY_REASONS = frozenset(
    {
        "queue_full",
        "deadline_unreachable",
        "deadline_passed",
        "preempted",
    }
)


def dispatch_once(history: History) -> int:
    """Counts requests that started at upstreams more than once.

    A request is known by its marker, which resends of its key share, or by
    its request id. One that started n times counts n - 1.
    """
    by_marker = collections.Counter(
        item.marker for item in history.executions if item.marker
    )
    by_id = collections.Counter(
        item.request_id
        for item in history.executions
        if item.request_id and by_marker[item.marker] < 2
    )
    return _repeats(by_marker) + _repeats(by_id)


def top_tier_shed(history: History) -> int:
    """Counts top-tier requests refused while lower tiers ran.

    Counted is a tier-0 call to an engine class that was refused for a reason
    of `CAPACITY_REASONS`, if in the zone of the node that refused it a
    generation of a lower tier for the same model ran, not paused, at any
    time of the 0.1 s before the refusal.
    """
    tier_of = {
        call.request.marker: call.request.work_class.tier
        for call in history.calls
    }
    lower = [
        item
        for item in history.executions
        if item.is_engine and tier_of.get(item.marker, 0) > 0
    ]
    count = 0
    for call in history.calls:
        work_class = call.request.work_class
        if (
            work_class.tier != 0
            or not call.request.is_engine
            or call.reason not in CAPACITY_REASONS
        ):
            continue
        zone = history.zone_of_node.get(call.node_id, call.request.zone)
        count += any(
            item.zone == zone
            and item.model == work_class.model
            and item.ran_within(call.ended_at - _SHED_WINDOW_S, call.ended_at)
            for item in lower
        )
    return count


def answer_integrity(history: History) -> int:
    """Counts answers that a caller could take for whole and right wrongly.

    Counted is an answer with status 200 that ended cleanly, without an error
    event, and is not the whole answer to its request; and any event stream,
    ended or not, whose bytes differ from the start of the right answer.
    """
    return sum(_is_misleading(call) for call in history.calls)


def refused_ran(history: History) -> int:
    """Counts refusals that said "not run" though the request ran.

    Counted is an answer with ran "no" if the log of an upstream has an
    execution of its request id at any time, or of its marker or key. An
    execution of the marker or key does not count if it started after the
    refusal and has the request id of another sending: a caller that is told
    "not run" may resend its key, and the resend may run.
    """
    answered_ids: dict[str, set[str]] = collections.defaultdict(set)
    for call in history.calls:
        answered_ids[call.request.marker].add(call.request_id)
    return sum(
        call.ran == "no"
        and any(
            _contradicts(call, item, answered_ids[call.request.marker])
            for item in history.executions
        )
        for call in history.calls
    )


def _contradicts(
    call: CallRecord, execution: Execution, answered_ids: set[str]
) -> bool:
    """Returns whether an execution shows that a refused request ran."""
    if call.request_id and execution.request_id == call.request_id:
        return True
    key = call.request.key
    is_same = execution.marker == call.request.marker or (
        bool(key) and execution.key == key
    )
    is_resend = (
        execution.started > call.ended_at
        and execution.request_id in answered_ids - {call.request_id, ""}
    )
    return is_same and not is_resend


def non_idempotent_once(history: History) -> int:
    """Counts repeated executions of calls that must not be repeated.

    A call is known by its marker; one that was executed n times counts
    n - 1.
    """
    markers = {
        call.request.marker
        for call in history.calls
        if call.request.work_class.name in history.non_idempotent
    }
    return _repeats(
        collections.Counter(
            item.marker for item in history.executions if item.marker in markers
        )
    )


def leaving_new_work(history: History) -> int:
    """Counts requests started at an upstream 3 s or later after it left.

    The time counts from when the VM list or the upstream itself first said
    that it is leaving, whichever was earlier.
    """
    return sum(
        item.upstream in history.leaving_since
        and item.started
        >= history.leaving_since[item.upstream] + LEAVING_GRACE_S
        for item in history.executions
    )


def stop_cut(history: History) -> int:
    """Counts calls that a planned stop interrupted.

    Counted is a call that a node took before it was told to stop, that ended
    after that without a whole answer and without a refusal or error event.
    """
    count = 0
    for call in history.calls:
        stopped = history.stopped_at.get(call.node_id)
        count += (
            stopped is not None
            and call.sent_at < stopped <= call.ended_at
            and not call.is_whole
            and not call.reason
            and call.is_broken
        )
    return count


JUDGES = {
    judge.__name__: judge
    for judge in (
        dispatch_once,
        top_tier_shed,
        answer_integrity,
        refused_ran,
        non_idempotent_once,
        bad_version_share,
        leaving_new_work,
        stop_cut,
        config_reverted,
    )
}


def count_violations(history: History) -> dict[str, int]:
    """Returns the violations by name of invariant."""
    return {name: judge(history) for name, judge in JUDGES.items()}


def is_good(call: CallRecord) -> bool:
    """Returns whether an answer was whole, right and within its targets."""
    work_class = call.request.work_class
    first_token_s = call.first_token_s
    return (
        call.is_whole
        and first_token_s is not None
        and first_token_s <= work_class.first_token_target_s
        and call.token_interval_s <= work_class.token_interval_target_s
        and call.ended_at - call.sent_at <= work_class.deadline_s
    )


def goodput_by_tier(calls: Sequence[CallRecord]) -> dict[str, float]:
    """Returns the share of offered requests that were good, by tier.

    A resend of a key is no request of its own: the request is good if any
    of its sendings was.
    """
    by_marker: dict[str, list[CallRecord]] = {}
    for call in calls:
        by_marker.setdefault(call.request.marker, []).append(call)
    offered: collections.Counter[int] = collections.Counter()
    good: collections.Counter[int] = collections.Counter()
    for sendings in by_marker.values():
        tier = sendings[0].request.work_class.tier
        offered[tier] += 1
        good[tier] += any(is_good(call) for call in sendings)
    result = {
        str(tier): round(good[tier] / offered[tier], 4)
        for tier in sorted(offered)
    }
    total = sum(offered.values())
    result["all"] = round(sum(good.values()) / total, 4) if total else 0.0
    return result


def compare_small_customers(
    calls: Sequence[CallRecord], large_customer: str
) -> dict[str, Any]:
    """Compares the other customers' goodput without and with a large one.

    Without are the calls that ended before the large customer's first call
    was sent, with are those sent between its first and last call. `ratio`
    is the goodput with over the goodput without, by tier. The large customer
    sends one tier, `tier`; those below it yield to it as to any other load
    of that tier.
    """
    large = [c.sent_at for c in calls if c.request.customer == large_customer]
    small = [c for c in calls if c.request.customer != large_customer]
    first, last = min(large), max(large)
    without = goodput_by_tier([c for c in small if c.ended_at < first])
    during = goodput_by_tier([c for c in small if first <= c.sent_at <= last])
    tiers = {
        call.request.work_class.tier
        for call in calls
        if call.request.customer == large_customer
    }
    return {
        "tier": min(tiers),
        "without": without,
        "with": during,
        "ratio": {
            tier: round(during[tier] / share, 4)
            for tier, share in without.items()
            if share and tier in during
        },
    }


def wasted_prefill_tokens(history: History) -> int:
    """Returns prompt tokens that engines prefilled for nothing.

    Wasted is the prefill of an execution whose caller did not receive the
    whole answer within its deadline, and of every execution of a request
    beyond its first complete one.
    """
    served = {
        call.request.marker
        for call in history.calls
        if call.is_whole
        and call.ended_at - call.sent_at <= call.request.work_class.deadline_s
    }
    wasted = 0
    for item in sorted(history.executions, key=lambda entry: entry.started):
        if item.marker in served and item.complete:
            served.discard(item.marker)
        else:
            wasted += item.prefilled_tokens
    return wasted


def refusals(calls: Iterable[CallRecord]) -> dict[str, int]:
    """Returns refusals and errors by reason."""
    counts = collections.Counter(
        call.reason or call.failure
        for call in calls
        if call.reason or call.failure
    )
    return dict(sorted(counts.items()))


def median_first_token_s(calls: Sequence[CallRecord]) -> float | None:
    """Returns the median time to the first token of whole answers."""
    values = [
        call.first_token_s
        for call in calls
        if call.is_whole
        and call.request.is_engine
        and call.first_token_s is not None
    ]
    return round(statistics.median(values), 4) if values else None


def median_added_first_token_s(history: History) -> float | None:
    """Returns the median time to the first token that is not the engine's.

    That is the time from sending to the first token at the caller, less the
    time from start to first token at the engine; whole answers of requests
    that were dispatched once count.
    """
    once = collections.Counter(item.marker for item in history.executions)
    engine_s = {
        item.marker: item.first_token_at - item.started
        for item in history.executions
        if item.first_token_at is not None and once[item.marker] == 1
    }
    values = [
        call.first_token_s - engine_s[call.request.marker]
        for call in history.calls
        if call.is_whole
        and call.first_token_s is not None
        and call.request.marker in engine_s
    ]
    return round(statistics.median(values), 5) if values else None


def _repeats(counts: Mapping[str, int]) -> int:
    return sum(count - 1 for count in counts.values() if count > 1)


def _is_misleading(call: CallRecord) -> bool:
    if call.status != 200:
        return False
    if call.request.is_engine and not call.expected.startswith(call.text):
        return True
    return call.clean_end and not call.error_event and not call.is_whole
