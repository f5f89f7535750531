"""Adaptive limit on concurrent requests at an upstream."""

import dataclasses
import enum

from tanagerport.interfaces import LoadReport

# Fraction of the target for the first token. Queueing in the node also counts
# against that target, so the upstream alone has to stay below this part of it.
_FIRST_TOKEN_MISS_FRACTION = 0.8
# Above this fraction of the target the limit no longer grows.
_FIRST_TOKEN_NEAR_FRACTION = 0.6
# Queueing in the node doesn't count against the token interval, but intervals
# vary between answers: at 0.95 the burst benchmark lost 3 to 6% of the
# top-tier requests.
_INTERVAL_MISS_FRACTION = 0.85
_INTERVAL_NEAR_FRACTION = 0.72
# A decrease by 0.8 is enough for a miss below this multiple of the target. An
# overshoot by one request is such a miss. Halving the limit for it left
# top-tier requests waiting in the burst benchmark.
_SLIGHT_MISS_FACTOR = 1 / 0.8
_MAX_MISSED_SHARE = 0.05
_DECREASE_FACTOR = 0.8
# Applied when half of the samples miss by more, as after a sudden slowdown.
# From 16 to 2 takes ten rounds at 0.8 and three at 0.5.
_FAST_DECREASE_FACTOR = 0.5
_FAST_MISSED_SHARE = 0.5
_FAST_MIN_SAMPLES = 3
_MIN_ROUND_SAMPLES = 4
_ROUND_S = 0.25
# Requests dispatched before a decrease keep missing their targets for a while.
# Their samples must not cause a second decrease.
_COOLDOWN_S = 0.4
_MAX_LIMIT = 512
_LOAD_HALF_LIFE_S = 2.0
_MIN_LOAD_WEIGHT = 0.25
_SLOWDOWN_LIMIT_S = 1.0


class SampleKind(enum.Enum):
    """Result of comparing an observation with its target."""

    MET = "met"
    NEAR = "near"
    SLIGHTLY_MISSED = "slightly_missed"
    MISSED = "missed"

    @property
    def is_miss(self) -> bool:
        """Whether the sample indicates that the limit is too high."""
        return self in (SampleKind.SLIGHTLY_MISSED, SampleKind.MISSED)


def classify_response_time(seconds: float, target_s: float) -> SampleKind:
    """Compares a time to the first token, or of an answer, with its target."""
    if seconds > target_s * _FIRST_TOKEN_MISS_FRACTION:
        return SampleKind.MISSED
    if seconds > target_s * _FIRST_TOKEN_NEAR_FRACTION:
        return SampleKind.NEAR
    return SampleKind.MET


def classify_interval(seconds: float, target_s: float) -> SampleKind:
    """Compares an observed token interval with its target."""
    if seconds > target_s * _SLIGHT_MISS_FACTOR:
        return SampleKind.MISSED
    if seconds > target_s * _INTERVAL_MISS_FRACTION:
        return SampleKind.SLIGHTLY_MISSED
    if seconds > target_s * _INTERVAL_NEAR_FRACTION:
        return SampleKind.NEAR
    return SampleKind.MET


def load_weight(report: LoadReport, now: float) -> float:
    """Returns the weight of a load report, which decays with its age."""
    age_s = now - report.received_at + report.reported_age_s
    return 0.5 ** (max(age_s, 0.0) / _LOAD_HALF_LIFE_S)


@dataclasses.dataclass
class SampleCounts:
    """Counts of an upstream's samples.

    Nodes report totals since their start rather than differences, so that a
    lost report does no harm.

    Attributes:
        total: All samples.
        missed: Samples that missed the target.
        near: Samples within the target but too close to it for the limit to
            grow.
        limited: Samples taken while all slots were in use.
        slight: Missed samples for which the ordinary decrease is enough.
    """

    total: int = 0
    missed: int = 0
    near: int = 0
    limited: int = 0
    slight: int = 0

    @property
    def far_missed(self) -> int:
        """Number of samples far beyond their target."""
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
    """Adapts a limit by additive increase and multiplicative decrease.

    Not safe for concurrent use.

    Args:
        safe_limit: Number of concurrent requests that is safe without any
            observation.
        start: Initial limit, for example that of the previous coordinator.
    """

    def __init__(self, safe_limit: int, start: int | None = None) -> None:
        self._safe_limit = max(1, safe_limit)
        self._limit = float(max(1, start or self._safe_limit))
        self._ceiling = _MAX_LIMIT
        self._overloaded = False
        self._has_missed = False
        self._round = SampleCounts()
        self._round_started_at = float("-inf")
        self._cooldown_until = 0.0
        self._total_samples = 0

    @property
    def limit(self) -> int:
        """Number of concurrent requests currently allowed."""
        return max(1, min(int(self._limit), self._ceiling))

    @property
    def samples(self) -> int:
        """Number of samples recorded so far."""
        return self._total_samples

    def record(self, counts: SampleCounts, now: float) -> None:
        """Records samples and adjusts the limit at the end of a round.

        Args:
            counts: New samples.
            now: Monotonic time in seconds.
        """
        self._total_samples += counts.total
        if now < self._cooldown_until or counts.total <= 0:
            return
        current = self._round
        current.total += counts.total
        current.missed += counts.missed
        current.near += counts.near
        current.limited += counts.limited
        current.slight += counts.slight
        self._end_round(now)

    def apply_load(self, report: LoadReport | None, now: float) -> None:
        """Applies the load report of the engine as a hint.

        The maximum batch size of the engine is an upper bound of the limit.
        Requests that wait in the engine stop the growth while the report is
        recent.
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
            self._decrease(_FAST_DECREASE_FACTOR, now)
            return
        if (
            current.total < max(_MIN_ROUND_SAMPLES, int(self._limit))
            or now - self._round_started_at < _ROUND_S
        ):
            return
        allowed = _MAX_MISSED_SHARE * current.total
        # In a short round a single miss may exceed the share by chance.
        if current.missed > max(1.0, allowed):
            self._decrease(_DECREASE_FACTOR, now)
            return
        if (
            current.missed <= allowed
            and current.near <= current.total / 2
            and current.limited * 2 >= current.total
            and not self._overloaded
        ):
            self._increase(is_near_target=current.near > 0)
        self._round, self._round_started_at = SampleCounts(), now

    def _increase(self, is_near_target: bool) -> None:
        # Before the first miss the limit may be far below the capacity of the
        # upstream, so it grows by an eighth. Growth by a quarter overshot by
        # three requests in the burst benchmark, and every answer of the engine
        # missed its target.
        is_cautious = self._has_missed or is_near_target
        step = 1.0 if is_cautious else max(1.0, self._limit / 8)
        self._limit = min(self._limit + step, float(self._ceiling))

    def _decrease(self, factor: float, now: float) -> None:
        self._has_missed = True
        self._limit = max(1.0, min(self._limit, self._ceiling) * factor)
        self._cooldown_until = now + _COOLDOWN_S
        self._round = SampleCounts()


class SlowdownLimiter:
    """Reduces a node's use of a slow upstream between two grants.

    The coordinator learns of a slowdown from the next heartbeat, and its new
    grant takes another one. Until then the node halves its own use.

    Not safe for concurrent use.
    """

    def __init__(self) -> None:
        self._limited_until = 0.0
        self._max_slots = _MAX_LIMIT
        self._window = SampleCounts()
        self._window_started_at = 0.0

    def record(self, kind: SampleKind, in_use: int, now: float) -> None:
        """Records a sample and halves the slots after too many misses.

        Args:
            kind: How the sample compares with its target.
            in_use: Number of slots that this node uses at the upstream.
            now: Monotonic time in seconds.
        """
        if now - self._window_started_at > _ROUND_S:
            self._window = SampleCounts()
            self._window_started_at = now
        window = self._window
        window.add(kind, limited=False)
        if (
            window.total >= _FAST_MIN_SAMPLES
            and window.far_missed >= _FAST_MISSED_SHARE * window.total
        ):
            if now >= self._limited_until - _SLOWDOWN_LIMIT_S + _COOLDOWN_S:
                base = in_use if now >= self._limited_until else self._max_slots
                self._max_slots = max(1, int(base * _FAST_DECREASE_FACTOR))
                self._limited_until = now + _SLOWDOWN_LIMIT_S
            self._window = SampleCounts()

    def bound(self, slots: int, now: float) -> int:
        """Returns how many of the granted slots may be used."""
        if now >= self._limited_until:
            return slots
        return min(slots, self._max_slots)
