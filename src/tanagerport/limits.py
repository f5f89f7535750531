"""Learned limit of concurrent requests at an upstream."""

import dataclasses
import enum

from tanagerport.interfaces import LoadReport

# Queueing in the node also counts against the target, so the upstream alone
# must stay this far below it.
_MISS_FRACTION = 0.8
# Above this part of the target the limit no longer grows.
_NEAR_FRACTION = 0.6
# The wait in the node does not count against the token interval. Intervals of
# single answers vary: with 0.95 the burst bench lost 3 to 6% of the top tier.
_INTERVAL_MISS_FRACTION = 0.85
_INTERVAL_NEAR_FRACTION = 0.72
# A decrease by 0.8 brings a miss below this many targets back into the
# target. An overshoot by one request is such a miss; halving the limit for it
# left the top tier waiting in the burst bench.
_SLIGHT_MISS = 1 / 0.8
_MISSED_SHARE = 0.05
_DECREASE = 0.8
# Applied when half the samples miss by more, as after a sudden slowdown; 0.8
# takes ten rounds from 16 to 2, 0.5 takes three.
_FAST_DECREASE = 0.5
_FAST_MISSED_SHARE = 0.5
_FAST_MIN_SAMPLES = 3
_MIN_ROUND_SAMPLES = 4
_ROUND_S = 0.25
# Requests that were dispatched before a decrease still miss their targets
# for a while; their samples must not cause a second decrease.
_COOLDOWN_S = 0.4
_MAX_LIMIT = 512
_LOAD_HALF_LIFE_S = 2.0
_MIN_LOAD_WEIGHT = 0.25
_BRAKE_S = 1.0


class SampleKind(enum.Enum):
    """How an observation compares with its target."""

    MET = "met"
    NEAR = "near"
    SLIGHTLY_MISSED = "slightly_missed"
    MISSED = "missed"

    @property
    def is_miss(self) -> bool:
        """Whether it shows that the limit is too high."""
        return self in (SampleKind.SLIGHTLY_MISSED, SampleKind.MISSED)


def classify_seconds(seconds: float, target_s: float) -> SampleKind:
    """Returns how a time to the first token compares with its target."""
    if seconds > target_s * _MISS_FRACTION:
        return SampleKind.MISSED
    if seconds > target_s * _NEAR_FRACTION:
        return SampleKind.NEAR
    return SampleKind.MET


def classify_interval(seconds: float, target_s: float) -> SampleKind:
    """Returns how an observed token interval compares with its target."""
    if seconds > target_s * _SLIGHT_MISS:
        return SampleKind.MISSED
    if seconds > target_s * _INTERVAL_MISS_FRACTION:
        return SampleKind.SLIGHTLY_MISSED
    if seconds > target_s * _INTERVAL_NEAR_FRACTION:
        return SampleKind.NEAR
    return SampleKind.MET


def load_weight(report: LoadReport, now: float) -> float:
    """Returns the weight of a load report, which halves with its age."""
    age_s = now - report.received_at + report.reported_age_s
    return 0.5 ** (max(age_s, 0.0) / _LOAD_HALF_LIFE_S)


@dataclasses.dataclass
class SampleCounts:
    """Samples of an upstream since this node started.

    Totals, in place of differences, make a lost report harmless.

    Attributes:
        total: All samples.
        missed: Samples beyond their target.
        near: Samples within the target, but too close to it to grow.
        limited: Samples taken while all slots were in use.
        slight: Missed samples that an ordinary decrease would mend.
    """

    total: int = 0
    missed: int = 0
    near: int = 0
    limited: int = 0
    slight: int = 0

    @property
    def far_missed(self) -> int:
        """Samples far beyond their target."""
        return self.missed - self.slight

    def add(self, kind: SampleKind, limited: bool) -> None:
        """Counts a sample."""
        self.total += 1
        self.missed += kind.is_miss
        self.slight += kind is SampleKind.SLIGHTLY_MISSED
        self.near += kind is SampleKind.NEAR
        self.limited += limited

    def minus(self, other: "SampleCounts") -> "SampleCounts":
        """Returns the samples added since `other`."""
        return SampleCounts(
            self.total - other.total,
            self.missed - other.missed,
            self.near - other.near,
            self.limited - other.limited,
            self.slight - other.slight,
        )


class LimitEstimator:
    """Additive increase and multiplicative decrease of one limit.

    Not safe for concurrent use.

    Args:
        safe_limit: Requests that are safe without observation.
        start: First limit, for example that of an earlier coordinator.
    """

    def __init__(self, safe_limit: int, start: int | None = None) -> None:
        self._safe_limit = max(1, safe_limit)
        self._limit = float(max(1, start or self._safe_limit))
        self._ceiling = _MAX_LIMIT
        self._overloaded = False
        self._has_missed = False
        self._round = SampleCounts()
        self._round_started_at = float("-inf")
        self._ignore_until = 0.0
        self._total_samples = 0

    @property
    def limit(self) -> int:
        """Concurrent requests allowed now."""
        return max(1, min(int(self._limit), self._ceiling))

    @property
    def samples(self) -> int:
        """Samples taken so far."""
        return self._total_samples

    def record(self, counts: SampleCounts, now: float) -> None:
        """Takes samples and adjusts the limit at the end of a round.

        Args:
            counts: New samples.
            now: Monotonic seconds.
        """
        self._total_samples += counts.total
        if now < self._ignore_until or counts.total <= 0:
            return
        current = self._round
        current.total += counts.total
        current.missed += counts.missed
        current.near += counts.near
        current.limited += counts.limited
        current.slight += counts.slight
        self._end_round(now)

    def apply_load(self, report: LoadReport | None, now: float) -> None:
        """Takes the engine's own load report as a hint.

        A batch that the engine never exceeds bounds the limit; requests
        that wait in the engine stop the growth while the report is fresh.
        """
        if report is None:
            self._overloaded = False
            return
        if report.max_batch > 0:
            self._ceiling = max(1, report.max_batch)
        weight = load_weight(report, now)
        self._overloaded = report.waiting > 0 and weight >= _MIN_LOAD_WEIGHT

    def _end_round(self, now: float) -> None:
        current = self._round
        if (
            current.total >= _FAST_MIN_SAMPLES
            and current.far_missed >= _FAST_MISSED_SHARE * current.total
        ):
            self._decrease(_FAST_DECREASE, now)
            return
        if (
            current.total < max(_MIN_ROUND_SAMPLES, int(self._limit))
            or now - self._round_started_at < _ROUND_S
        ):
            return
        allowed = _MISSED_SHARE * current.total
        # One miss in a short round exceeds the share by chance alone.
        if current.missed > max(1.0, allowed):
            self._decrease(_DECREASE, now)
            return
        if (
            current.missed <= allowed
            and current.near <= current.total / 2
            and current.limited * 2 >= current.total
            and not self._overloaded
        ):
            self._increase(is_close=current.near > 0)
        self._round, self._round_started_at = SampleCounts(), now

    def _increase(self, is_close: bool) -> None:
        # Before the first miss the limit may be far below what the upstream
        # can do, so it grows by an eighth. A quarter overshot by three
        # requests in the burst bench, and all answers of the engine missed.
        careful = self._has_missed or is_close
        step = 1.0 if careful else max(1.0, self._limit / 8)
        self._limit = min(self._limit + step, float(self._ceiling))

    def _decrease(self, factor: float, now: float) -> None:
        self._has_missed = True
        self._limit = max(1.0, min(self._limit, self._ceiling) * factor)
        self._ignore_until = now + _COOLDOWN_S
        self._round = SampleCounts()


class Brake:
    """Lowers a node's own use of an upstream between two grants.

    The coordinator learns of a slowdown with the next heartbeat, and its
    answer takes another. Until then the node halves what it uses itself.

    Not safe for concurrent use.
    """

    def __init__(self) -> None:
        self._until = 0.0
        self._slots = _MAX_LIMIT
        self._recent = SampleCounts()
        self._recent_since = 0.0

    def record(self, kind: SampleKind, in_use: int, now: float) -> None:
        """Takes a sample.

        Args:
            kind: How the sample compares with its target.
            in_use: Slots that this node uses at the upstream.
            now: Monotonic seconds.
        """
        if now - self._recent_since > _ROUND_S:
            self._recent = SampleCounts()
            self._recent_since = now
        recent = self._recent
        recent.add(kind, limited=False)
        if (
            recent.total >= _FAST_MIN_SAMPLES
            and recent.far_missed >= _FAST_MISSED_SHARE * recent.total
        ):
            if now >= self._until - _BRAKE_S + _COOLDOWN_S:
                base = in_use if now >= self._until else self._slots
                self._slots = max(1, int(base * _FAST_DECREASE))
                self._until = now + _BRAKE_S
            self._recent = SampleCounts()

    def bound(self, slots: int, now: float) -> int:
        """Returns the slots that may be used of those granted."""
        if now >= self._until:
            return slots
        return min(slots, self._slots)
