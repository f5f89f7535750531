"""Samples of upstreams' speed from dispatches in progress and ended."""

from typing import Protocol

from tanagerport.estimates import LengthEstimator
from tanagerport.limits import (
    SampleKind,
    SlowdownLimiter,
    classify_interval,
    classify_response_time,
)
from tanagerport.scheduler import Outcome
from tanagerport.upstream_use import Dispatch, UpstreamUse

# Window over which the token interval of a running answer is measured. The
# prefill of another request stops all answers of an engine for a moment, so
# with windows of 0.25 s the limit was halved for each such moment.
_WINDOW_S = 1.0
# A slowdown beyond this many targets is taken at once after a shorter time.
_SEVERE_FACTOR = 2.0
_SEVERE_WINDOW_S = 0.4
_MIN_WINDOW_TOKENS = 4
# An answer without a token for this many intervals counts as missed.
_STALLED_INTERVALS = 8
# A first token that stays out counts again after this long, so that a hung
# upstream keeps losing slots.
_LATE_REPEAT_S = 0.25


class BrakeSource(Protocol):
    """What sampling needs of the slots of this node."""

    def brake(self, upstream_id: str) -> SlowdownLimiter:
        """Returns the brake of an upstream."""


class Sampler:
    """Turns observations into samples. Not safe for concurrent use.

    Args:
        brakes: Brakes of this node.
        lengths: Expected output by class.
    """

    def __init__(self, brakes: BrakeSource, lengths: LengthEstimator) -> None:
        self._brakes = brakes
        self._lengths = lengths

    def sample_running(
        self, use: UpstreamUse, dispatch: Dispatch, now: float
    ) -> None:
        """Takes samples from a dispatch in progress."""
        progress = dispatch.progress
        if progress is None or not dispatch.holds_slot:
            return
        first_token_s = progress.first_token_s
        if first_token_s is None:
            self._sample_waiting(use, dispatch, now)
            return
        if not dispatch.first_token_sampled:
            self._sample_first_token(use, dispatch, first_token_s, now)
            dispatch.sampled_at = now
            dispatch.sampled_tokens = progress.output_tokens
        elif now - dispatch.sampled_at >= _SEVERE_WINDOW_S:
            self._sample_window(use, dispatch, progress.output_tokens, now)

    def sample_ended(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Takes samples from a dispatch that ended."""
        request = dispatch.placement.request
        if not outcome.started or outcome.first_token_s is None:
            return
        if not dispatch.is_generation:
            if outcome.complete:
                self._sample_first_token(use, dispatch, outcome.duration_s, now)
            return
        if not request.stream:
            self._sample_whole(use, dispatch, outcome, now)
            return
        if not dispatch.first_token_sampled:
            self._sample_first_token(use, dispatch, outcome.first_token_s, now)
        if dispatch.progress is not None:
            self._record_last_window(use, dispatch, outcome, now)
        elif outcome.output_tokens > 1:
            generating_s = outcome.duration_s - outcome.first_token_s
            interval_s = generating_s / (outcome.output_tokens - 1)
            # The time of a pause is not the engine's.
            if not dispatch.paused_at:
                self._sample_interval(use, dispatch, interval_s, now)

    def forget_window(self, dispatch: Dispatch, now: float) -> None:
        """Starts a new window after a pause."""
        dispatch.sampled_at = now
        if dispatch.progress is not None:
            dispatch.sampled_tokens = dispatch.progress.output_tokens

    def _sample_waiting(
        self, use: UpstreamUse, dispatch: Dispatch, now: float
    ) -> None:
        target_s = dispatch.placement.request.work_class.first_token_target_s
        waited_s = now - dispatch.started_at
        if (
            classify_response_time(waited_s, target_s) is SampleKind.MISSED
            and now - dispatch.late_sampled_at >= _LATE_REPEAT_S
        ):
            dispatch.late_sampled_at = now
            self._add(use, dispatch, SampleKind.MISSED, now)

    def _sample_first_token(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        seconds: float,
        now: float,
    ) -> None:
        dispatch.first_token_sampled = True
        use.speed.record_first_token(dispatch.uncached_tokens, seconds)
        target_s = dispatch.placement.request.work_class.first_token_target_s
        kind = classify_response_time(seconds, target_s)
        if kind is SampleKind.MET and self._is_interval_missed(use, now):
            # Answers shorter than a window give this sample only. As "met"
            # it would let the limit grow past the token interval's target.
            kind = SampleKind.NEAR
        self._add(use, dispatch, kind, now)

    def _is_interval_missed(self, use: UpstreamUse, now: float) -> bool:
        """Returns whether the mean interval leaves no room for a request."""
        target_s = use.interval_target_s(now)
        kind = classify_interval(use.speed.interval_s, target_s)
        return kind.is_miss

    def _record_last_window(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Counts tokens since the last window into the speed.

        They are no sample of their own: the prefill of one other request
        weighs too much in a short time, and the estimate is smoothed.
        """
        if dispatch.is_paused or outcome.first_token_s is None:
            return
        if dispatch.sampled_at:
            window_s = now - dispatch.sampled_at
            produced = outcome.output_tokens - dispatch.sampled_tokens
        elif dispatch.paused_at:
            return
        else:
            # The answer ended before anything of it was sampled.
            window_s = outcome.duration_s - outcome.first_token_s
            produced = outcome.output_tokens - 1
        if produced >= _MIN_WINDOW_TOKENS:
            use.speed.record_interval(window_s / produced)

    def _sample_window(
        self, use: UpstreamUse, dispatch: Dispatch, tokens: int, now: float
    ) -> None:
        window_s = now - dispatch.sampled_at
        produced = tokens - dispatch.sampled_tokens
        stalled_s = _STALLED_INTERVALS * use.interval_target_s(now)
        if produced < _MIN_WINDOW_TOKENS and window_s < stalled_s:
            return
        severe_s = _SEVERE_FACTOR * use.interval_target_s(now)
        if window_s < _WINDOW_S and window_s < severe_s * max(produced, 1):
            return
        self._sample_interval(use, dispatch, window_s / max(produced, 1), now)
        dispatch.sampled_at, dispatch.sampled_tokens = now, tokens

    def _sample_interval(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        seconds: float,
        now: float,
    ) -> None:
        use.speed.record_interval(seconds)
        kind = classify_interval(seconds, use.interval_target_s(now))
        self._add(use, dispatch, kind, now)

    def _sample_whole(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        outcome: Outcome,
        now: float,
    ) -> None:
        """Judges an answer that arrives in one piece."""
        if not outcome.complete or dispatch.paused_at:
            return
        request = dispatch.placement.request
        work_class = request.work_class
        tokens = outcome.output_tokens or self._lengths.mean(request)
        target_s = (
            work_class.first_token_target_s
            + tokens * work_class.token_interval_target_s
        )
        kind = classify_response_time(outcome.duration_s, target_s)
        self._add(use, dispatch, kind, now)
        if tokens > 1:
            use.speed.record_interval(outcome.duration_s / tokens)

    def _add(
        self,
        use: UpstreamUse,
        dispatch: Dispatch,
        kind: SampleKind,
        now: float,
    ) -> None:
        # The limit counts as used if it was reached during the dispatch.
        use.samples.add(kind, limited=use.full_at >= dispatch.started_at)
        brake = self._brakes.brake(use.vm.vm_id)
        brake.record(kind, use.in_use, now)
