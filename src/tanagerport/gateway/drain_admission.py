"""Admission while a process stops: which requests are still passed on."""

import time
from collections.abc import Callable
from typing import Protocol

from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.request_context import RequestContext
from tanagerport.gateway.stop_schedule import StopSchedule
from tanagerport.gateway.work_item import Placement

# While the process stops, a request is passed on only if this much time is
# left, in seconds: a sound upstream may be silent for a second or two.
_MIN_ANSWER_TIME_S = 2.0
# Time for a silence of the upstream beside that for the answer, in seconds.
_SILENCE_MARGIN_S = 1.0


class CompletionPredictor(Protocol):
    """Predicts when the answer at a place is complete."""

    def completion_s(self, placement: Placement) -> float:
        """Returns the predicted time to the end of the answer, in seconds."""

    def long_completion_s(self, placement: Placement) -> float:
        """Returns the time in which nearly all such answers end, in seconds."""

    def longest_completion_s(self, placement: Placement) -> float:
        """Returns the time in which every such answer ends, in seconds."""


class DrainAdmission:
    """Decides whether an answer ends before the process stops.

    Another node serves a request that is refused, but not an answer that is
    cut. A request that came while the load balancer still selected this node is
    passed on if its answer most likely ends. One that came later reaches
    another node within one round trip, so its answer has to end whatever its
    length.

    Args:
        predictor: Predicts the duration of answers.
        log: Structured decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        predictor: CompletionPredictor,
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._predictor = predictor
        self._log = log
        self._now = now
        self._schedule: StopSchedule | None = None

    def start(self, schedule: StopSchedule) -> None:
        """Begins to limit the requests that are passed on."""
        self._schedule = schedule

    def admits(self, context: RequestContext, placement: Placement) -> bool:
        """Returns whether a request may be passed on to its place."""
        if self._schedule is None:
            return True
        left_s = self._schedule.ends_unanswered_at - self._now()
        needed_s = self._needed_s(self._schedule, context, placement)
        is_admitted = left_s >= needed_s
        read_at = context.request.read_at
        if not is_admitted or read_at >= self._schedule.rerouted_at:
            # Few do; those that end badly are explained by these lines.
            self._log.urgent(
                "passed_on_in_drain" if is_admitted else "refused_in_drain",
                request=context.item.request_id,
                arrived_after_s=round(read_at - self._schedule.signaled_at, 3),
                waited_s=round(self._now() - read_at, 3),
                earlier_requests=context.response.earlier_requests,
                dispatches=context.dispatches,
                left_s=round(left_s, 3),
                needed_s=round(needed_s, 3),
            )
        return is_admitted

    def may_move(self, context: RequestContext, placement: Placement) -> bool:
        """Returns whether a request may leave a silent upstream for a place."""
        if self._schedule is None:
            return True
        left_s = self._schedule.ends_unanswered_at - self._now()
        if context.response.is_started:
            # Where it is, it would be cut as well.
            needed_s = self._predictor.completion_s(placement)
            return left_s >= max(needed_s, _MIN_ANSWER_TIME_S)
        return left_s >= self._needed_s(self._schedule, context, placement)

    def _needed_s(
        self,
        schedule: StopSchedule,
        context: RequestContext,
        placement: Placement,
    ) -> float:
        """Returns the time that a request needs to be passed on, in seconds."""
        if context.item.deadline_at <= schedule.ends_unanswered_at:
            # Its client leaves before the process stops.
            return _MIN_ANSWER_TIME_S
        if context.request.read_at < schedule.rerouted_at:
            answer_s = self._predictor.long_completion_s(placement)
        else:
            answer_s = self._predictor.longest_completion_s(placement)
        return max(answer_s + _SILENCE_MARGIN_S, _MIN_ANSWER_TIME_S)
