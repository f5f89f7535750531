"""Tests of the bench's judges: each sees a violation and sees none."""

import dataclasses
from typing import Any

import pytest

from tanagerport import bench_judge
from tanagerport.bench_caller import CallRecord
from tanagerport.bench_history import Execution, History
from tanagerport.bench_trace import TracedRequest
from tanagerport.bench_workload import CLASSES, MODEL, SERVICE

_CLASS = {item.work_class.name: item.work_class for item in CLASSES}


def _call(
    marker: str = "a", class_name: str = "caption-hint", **fields: Any
) -> CallRecord:
    request = TracedRequest(
        index=0,
        at_s=0.0,
        zone="z1",
        work_class=_CLASS[class_name],
        customer="c",
        marker=marker,
        key=f"key-{marker}",
        attempt=1,
        prefix="p",
        question="q",
        max_tokens=0 if class_name == "booking" else 4,
    )
    return dataclasses.replace(
        CallRecord(request, sent_at=10.0, ended_at=10.5, node_id="n1"),
        **fields,
    )


def _whole(marker: str = "a", **fields: Any) -> CallRecord:
    call = _call(marker)
    return dataclasses.replace(
        call,
        status=200,
        text=call.expected,
        token_times=[10.1, 10.12, 10.14, 10.16],
        has_end_marker=True,
        clean_end=True,
        **fields,
    )


def _refused(marker: str = "a", ran: str = "no") -> CallRecord:
    return _call(marker, status=503, reason="queue_full", ran=ran)


def _execution(marker: str = "a", **fields: Any) -> Execution:
    return dataclasses.replace(
        Execution(
            upstream="engine-1",
            zone="z1",
            is_engine=True,
            request_id=f"id-{marker}",
            key=f"key-{marker}",
            marker=marker,
            model=MODEL,
            version="v1",
            started=10.0,
            ended=10.5,
            complete=True,
            prefilled_tokens=100,
        ),
        **fields,
    )


def _history(
    calls: list[CallRecord], executions: list[Execution], **fields: Any
) -> History:
    return History(calls, executions, {"n1": "z1"}, **fields)


class TestDispatchOnce:
    """Guards against repeated dispatches that the judge misses."""

    def test_counts_a_request_at_two_upstreams(self) -> None:
        again = _execution(upstream="engine-2", request_id="id-other")
        history = _history([_whole()], [_execution(), again])
        assert bench_judge.dispatch_once(history) == 1

    def test_counts_a_repeated_request_id_without_marker(self) -> None:
        entry = _execution(marker="", request_id="x")
        assert bench_judge.dispatch_once(_history([], [entry, entry])) == 1

    def test_accepts_different_requests(self) -> None:
        history = _history([], [_execution("a"), _execution("b")])
        assert bench_judge.dispatch_once(history) == 0


class TestTopTierShed:
    """Guards against sheds judged by paused or remote work."""

    def _count(self, **fields: Any) -> int:
        calls = [_refused("a"), _call("low", "drill-set")]
        entry = _execution("low", started=9.0, ended=11.0)
        entry = dataclasses.replace(entry, **fields)
        return bench_judge.top_tier_shed(_history(calls, [entry]))

    def test_counts_a_refusal_while_a_lower_tier_runs(self) -> None:
        assert self._count() == 1

    def test_counts_a_generation_that_ended_just_before(self) -> None:
        assert self._count(ended=10.45) == 1

    def test_accepts_a_generation_that_ended_earlier(self) -> None:
        assert self._count(ended=10.3) == 0

    def test_accepts_a_paused_generation(self) -> None:
        assert self._count(pauses=((10.2, 10.9),)) == 0

    def test_counts_a_generation_resumed_before_the_refusal(self) -> None:
        assert self._count(pauses=((10.2, 10.45),)) == 1

    def test_accepts_another_zone_and_model(self) -> None:
        assert self._count(zone="z2") == 0
        assert self._count(model="other") == 0


class TestAnswerIntegrity:
    """Guards against misleading answers taken for right ones."""

    @pytest.mark.parametrize(
        "fields",
        [
            {"text": "wrong"},
            {"has_end_marker": False},
            {"text": ""},
        ],
    )
    def test_counts_a_clean_end_of_a_wrong_answer(
        self, fields: dict[str, Any]
    ) -> None:
        call = dataclasses.replace(_whole(), **fields)
        assert bench_judge.answer_integrity(_history([call], [])) == 1

    def test_counts_wrong_bytes_of_a_broken_stream(self) -> None:
        call = dataclasses.replace(_whole(), text="wrong", clean_end=False)
        assert bench_judge.answer_integrity(_history([call], [])) == 1

    def test_accepts_whole_and_visibly_broken_answers(self) -> None:
        part = _whole().text[:10]
        broken = dataclasses.replace(_whole(), text=part, clean_end=False)
        failed = dataclasses.replace(_whole(), text=part, error_event=True)
        calls = [_whole(), broken, failed, _refused()]
        assert bench_judge.answer_integrity(_history(calls, [])) == 0


class TestRefusedRan:
    """Guards against executed requests reported as not run."""

    def test_counts_a_started_request(self) -> None:
        history = _history([_refused()], [_execution(request_id="other")])
        assert bench_judge.refused_ran(history) == 1

    def test_accepts_a_resend_that_ran_after_the_refusal(self) -> None:
        """Guards against blaming a true refusal for a later resend."""
        refused = dataclasses.replace(_refused(), request_id="first")
        resent = dataclasses.replace(_call(), request_id="second")
        later = dataclasses.replace(
            _execution(request_id="second"), started=refused.ended_at + 1
        )
        assert (
            bench_judge.refused_ran(_history([refused, resent], [later])) == 0
        )
        for wrong in (
            dataclasses.replace(later, request_id="first"),
            dataclasses.replace(later, request_id="unseen"),
            dataclasses.replace(later, started=refused.ended_at - 0.01),
        ):
            history = _history([refused, resent], [wrong])
            assert bench_judge.refused_ran(history) == 1

    def test_accepts_ran_unknown_and_requests_that_did_not_start(self) -> None:
        calls = [_refused(ran="unknown"), _refused("b")]
        assert bench_judge.refused_ran(_history(calls, [_execution()])) == 0


class TestNonIdempotentOnce:
    """Guards against repeated bookings that go unseen."""

    def _count(self, executions: int) -> int:
        call = _call(class_name="booking")
        entries = [_execution(model=SERVICE, is_engine=False)] * executions
        history = _history(
            [call], entries, non_idempotent=frozenset({"booking"})
        )
        return bench_judge.non_idempotent_once(history)

    def test_counts_a_second_execution(self) -> None:
        assert self._count(2) == 1

    def test_accepts_one_execution(self) -> None:
        assert self._count(1) == 0


class TestLeavingNewWork:
    """Guards against a grace that is not 3 s."""

    def _count(self, started: float) -> int:
        history = _history(
            [],
            [_execution(started=started)],
            leaving_since={"engine-1": 5.0},
        )
        return bench_judge.leaving_new_work(history)

    def test_counts_work_after_the_grace(self) -> None:
        assert self._count(8.5) == 1

    def test_accepts_work_within_the_grace(self) -> None:
        assert self._count(7.5) == 0


class TestStopCut:
    """Guards against cut answers that pass as graceful."""

    def _count(self, call: CallRecord) -> int:
        history = _history([call], [], stopped_at={"n1": 10.2})
        return bench_judge.stop_cut(history)

    def test_counts_a_call_cut_after_the_stop(self) -> None:
        assert self._count(_call(failure="connection closed early")) == 1

    def test_accepts_finished_refused_and_later_calls(self) -> None:
        assert self._count(_whole()) == 0
        assert self._count(_refused()) == 0
        assert self._count(_call(sent_at=10.3, failure="closed")) == 0


class TestMetrics:
    """Guards against figures that count what callers never got."""

    def test_goodput_needs_targets(self) -> None:
        slow = dataclasses.replace(
            _whole("b"), token_times=[10.1, 10.2, 10.3, 10.4]
        )
        late = dataclasses.replace(_whole("c"), ended_at=14.0)
        result = bench_judge.goodput_by_tier([_whole(), slow, late])
        assert result == {"0": 0.3333, "all": 0.3333}

    def test_resend_is_not_offered_twice(self) -> None:
        assert bench_judge.goodput_by_tier([_whole(), _refused()]) == {
            "0": 1.0,
            "all": 1.0,
        }

    def test_added_time_leaves_out_the_engine(self) -> None:
        entry = _execution("a", first_token_at=10.09)
        history = _history([_whole("a")], [entry])
        added_s = bench_judge.median_added_first_token_s(history)
        assert added_s == pytest.approx(0.01)

    def test_prefill_is_wasted_unless_its_answer_arrived(self) -> None:
        entries = [
            _execution("a", started=1.0),
            _execution("a", started=2.0),
            _execution("b"),
        ]
        history = _history([_whole("a"), _refused("b")], entries)
        assert bench_judge.wasted_prefill_tokens(history) == 200
