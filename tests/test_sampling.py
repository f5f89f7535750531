"""Tests of what the limits learn from dispatches."""

import dataclasses

import pytest

import scheduler_doubles
from tanagerport.estimates import LengthEstimator
from tanagerport.limits import LimitEstimator, SampleCounts, SlowdownLimiter
from tanagerport.sampling import Sampler
from tanagerport.scheduler import Outcome, Placement
from tanagerport.upstream_use import Dispatch, UpstreamUse

_INTERVAL_TARGET_S = 0.039
# Of a batch of 12 in the bench's engine profile: within the target, with no
# room for another request.
_NEAR_INTERVAL_S = 0.036
_TOKENS = 8


class _Brakes:
    """Brakes without slots."""

    def brake(self, upstream_id: str) -> SlowdownLimiter:
        del upstream_id
        return SlowdownLimiter()


@dataclasses.dataclass
class _Progress:
    first_token_s: float | None = None
    output_tokens: int = 0


class _Engine:
    """Serves short answers one after another at a constant interval."""

    def __init__(self, interval_s: float) -> None:
        self.use = UpstreamUse(scheduler_doubles.make_vm("engine-1"))
        self._interval_s = interval_s
        self._sampler = Sampler(_Brakes(), LengthEstimator())
        self._work_class = scheduler_doubles.make_class("caption", 0)
        assert self._work_class.token_interval_target_s == _INTERVAL_TARGET_S
        self.use.record_class("caption", _INTERVAL_TARGET_S, 0.0)

    def answer(
        self, number: int, now: float, sample_running: bool = True
    ) -> float:
        """Plays one answer and returns when it ended."""
        request = scheduler_doubles.make_request(
            f"request-{number}", work_class=self._work_class
        )
        placement = Placement(number, request, self.use.vm, "")
        dispatch = Dispatch(placement, 10.0, 0.0, (), 1.0, 1.0, now)
        dispatch.progress = progress = _Progress()
        self.use.full_at = now
        first_s = 2 * self._interval_s
        progress.first_token_s, progress.output_tokens = first_s, 1
        if sample_running:
            self._sampler.sample_running(self.use, dispatch, now + first_s)
        progress.output_tokens = _TOKENS
        duration_s = first_s + (_TOKENS - 1) * self._interval_s
        outcome = Outcome(
            True,
            first_token_s=first_s,
            duration_s=duration_s,
            output_tokens=_TOKENS,
        )
        ended = now + duration_s
        self._sampler.sample_ended(self.use, dispatch, outcome, ended)
        return ended


def _limit_after_answers(interval_s: float, answers: int = 200) -> int:
    engine = _Engine(interval_s)
    estimator = LimitEstimator(4)
    now, taken = 0.0, SampleCounts()
    for number in range(answers):
        now = engine.answer(number, now)
        estimator.record(engine.use.samples.minus(taken), now)
        taken = dataclasses.replace(engine.use.samples)
    return estimator.limit


class TestShortAnswers:
    """Guards against limits that see only first tokens of short answers.

    Answers shorter than the window of an interval gave one sample each, of
    the first token. The limit of an engine that serves many of them grew
    until the tokens of its answers came too late.
    """

    def test_interval_near_its_target_stops_the_growth(self) -> None:
        assert _limit_after_answers(_NEAR_INTERVAL_S) <= 8

    def test_answer_that_ended_between_two_ticks_has_its_own_speed(
        self,
    ) -> None:
        """Guards against an interval that counts from the node's start.

        Its engine seemed slow and got no more work.
        """
        engine = _Engine(_NEAR_INTERVAL_S)
        now = 1000.0
        for number in range(10):
            now = engine.answer(number, now, sample_running=False)
        assert engine.use.speed.interval_s == pytest.approx(_NEAR_INTERVAL_S)

    def test_limit_grows_while_intervals_are_short(self) -> None:
        assert _limit_after_answers(_INTERVAL_TARGET_S / 4) >= 16
