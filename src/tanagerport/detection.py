"""Sequential test of a new version against the old one."""

import collections
import dataclasses
import enum
import math
from collections.abc import Mapping

from tanagerport.interfaces import VersionSample
from tanagerport.reference_times import CONTROL_WINDOW_S, ReferenceTimes

# Success decreases the score only a little: 10% errors must raise it.
_FAILURE_RATE_GOOD = 0.01
_FAILURE_RATE_BAD = 0.10
_SLOW_RATE_GOOD = 0.08
_SLOW_RATE_BAD = 0.30
_VERY_SLOW_WEIGHT = 1.6
_VERY_SLOW_RATIO = 2.0
# The failure rate of the old version at the same time raises the rate that a
# good version may have, up to a rate at which failures say nothing any more.
_FAILURE_RATE_MARGIN = 2.0
_MIN_FAILURE_SCORE = 0.1
MAX_FAILURE_SCORE = math.log(_FAILURE_RATE_BAD / _FAILURE_RATE_GOOD)
# Streams that break at once with their engine are one event, not many.
_SAME_EVENT_S = 0.1
_FAILURE_WINDOW_S = 10.0

CONVICTION_SCORE = 9.2  # docs/decisions/detection.md
# One slow sample needs one that is fine, one very slow sample four of them.
PASS_SCORE = 1.2

ALL = ""


class Grade(enum.StrEnum):
    """How one sample of the new version compares."""

    FINE = "fine"
    SLOW = "slow"
    VERY_SLOW = "very slow"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, order=True)
class Scope:
    """The samples that one test covers.

    Attributes:
        class_name: Class; empty covers all.
        upstream_id: Upstream; empty covers all.
    """

    class_name: str = ALL
    upstream_id: str = ALL

    @property
    def is_route(self) -> bool:
        """Whether the scope is one class on one upstream."""
        return bool(self.class_name and self.upstream_id)

    def __str__(self) -> str:
        parts = []
        if self.class_name:
            parts.append(f"class {self.class_name}")
        if self.upstream_id:
            parts.append(f"upstream {self.upstream_id}")
        return " on ".join(parts) or "all routes"


WHOLE_VERSION = Scope()


@dataclasses.dataclass
class ScopeEvidence:
    """Sums of log-likelihood ratios of one scope.

    The sums of several nodes may be added, because their samples differ.

    Attributes:
        samples: Samples of the new version.
        bad: Samples that failed or were slow.
        failure_sum: Sum of the failure test over failures, above 0.
        success_sum: Sum of the failure test over the others, below 0.
        slow_sum: Sum of the slowness test.
    """

    samples: int = 0
    bad: int = 0
    failure_sum: float = 0.0
    success_sum: float = 0.0
    slow_sum: float = 0.0

    def minus(self, other: "ScopeEvidence") -> "ScopeEvidence":
        """Returns the evidence since an earlier state."""
        return ScopeEvidence(
            self.samples - other.samples,
            self.bad - other.bad,
            self.failure_sum - other.failure_sum,
            self.success_sum - other.success_sum,
            self.slow_sum - other.slow_sum,
        )

    def add(self, other: "ScopeEvidence") -> None:
        """Adds evidence of other samples."""
        self.samples += other.samples
        self.bad += other.bad
        self.failure_sum += other.failure_sum
        self.success_sum += other.success_sum
        self.slow_sum += other.slow_sum


@dataclasses.dataclass(frozen=True)
class Verdict:
    """A version that is bad.

    Attributes:
        scope: Samples that showed it.
        reason: Explanation with figures.
        samples: Samples of the scope so far.
    """

    scope: Scope
    reason: str
    samples: int


class ScoreChart:
    """Cumulative sum test of one scope (Page's CUSUM).

    A score never falls below 0, so that a version that turns bad late is
    found as fast as one that is bad from the start.
    """

    def __init__(self) -> None:
        self.failure_score = 0.0
        self.slow_score = 0.0

    @property
    def worst(self) -> float:
        """Higher of the two scores."""
        return max(self.failure_score, self.slow_score)

    @property
    def is_convicted(self) -> bool:
        """Whether a score reached the conviction score."""
        return self.worst >= CONVICTION_SCORE

    @property
    def cause(self) -> str:
        """Which test has the higher score."""
        return "slow" if self.slow_score > self.failure_score else "failing"

    def add(self, failure: float, slow: float) -> None:
        """Adds log-likelihood ratios."""
        self.failure_score = max(0.0, self.failure_score + failure)
        self.slow_score = max(0.0, self.slow_score + slow)


class _FailureHistory:
    """Recent failure rate of the old version on each upstream."""

    def __init__(self) -> None:
        self._recent: dict[str, collections.deque[tuple[float, bool]]] = {}

    def add(self, sample: VersionSample) -> None:
        recent = self._recent.setdefault(
            sample.upstream_id, collections.deque(maxlen=200)
        )
        recent.append((sample.at, sample.failed))

    def rate(self, upstream_id: str, at: float) -> float:
        recent = [
            failed
            for time, failed in self._recent.get(upstream_id, ())
            if time >= at - _FAILURE_WINDOW_S
        ]
        # One pseudo-sample without failure, so that a single failed sample
        # does not excuse the new version entirely.
        return sum(recent) / (len(recent) + 1)


class VersionMonitor:
    """Compares samples of a new version with those of the old one.

    Not safe for use from several threads at once.

    Args:
        new_version: Version under test; every other one is the old version.
        reference: Timings of the old version before the rollout.
    """

    def __init__(
        self, new_version: str, reference: ReferenceTimes | None = None
    ) -> None:
        self._new_version = new_version
        self._times = reference or ReferenceTimes()
        self._failures = _FailureHistory()
        self._charts: dict[Scope, ScoreChart] = {}
        self._evidence: dict[Scope, ScopeEvidence] = {}
        self._pending: collections.deque[
            tuple[VersionSample, tuple[float, float]]
        ] = collections.deque()
        self._last_failure_at: dict[str, float] = {}
        self._traffic: collections.Counter[Scope] = collections.Counter()
        self._verdict: Verdict | None = None

    @property
    def verdict(self) -> Verdict | None:
        """The first verdict; it never changes."""
        return self._verdict

    @property
    def evidence(self) -> Mapping[Scope, ScopeEvidence]:
        """Sums by scope."""
        return self._evidence

    @property
    def ungraded(self) -> int:
        """Slow samples that wait for control samples."""
        return len(self._pending)

    @property
    def traffic(self) -> Mapping[Scope, int]:
        """Samples of both versions by route."""
        return self._traffic

    def record(
        self,
        sample: VersionSample,
        targets: tuple[float, float] = (0.0, 0.0),
    ) -> Verdict | None:
        """Takes a sample of either version.

        Args:
            sample: Result of a dispatch.
            targets: Class targets of first token and token interval.

        Returns:
            The verdict, if there is one.
        """
        self._traffic[Scope(sample.class_name, sample.upstream_id)] += 1
        if sample.version == self._new_version:
            self._take_new(sample, targets)
        else:
            self._times.add(sample)
            self._failures.add(sample)
        return self.advance(sample.at)

    def advance(self, now: float) -> Verdict | None:
        """Grades slow samples whose control samples have arrived."""
        while self._pending:
            sample, targets = self._pending[0]
            is_due = sample.at <= now - CONTROL_WINDOW_S
            if not is_due and not self._times.has_control_after(sample.at):
                break
            self._pending.popleft()
            self._count(sample, self._grade_time(sample, targets))
        return self._verdict

    def _take_new(
        self, sample: VersionSample, targets: tuple[float, float]
    ) -> None:
        if sample.failed:
            self._take_failure(sample)
            return
        self._last_failure_at.pop(sample.upstream_id, None)
        grade = self._grade_time(sample, targets)
        if grade is Grade.FINE:
            self._count(sample, grade)
        else:
            # When a burst begins, the first slow sample may be of the new
            # version; the old version's follow soon.
            self._pending.append((sample, targets))

    def _take_failure(self, sample: VersionSample) -> None:
        last = self._last_failure_at.get(sample.upstream_id)
        if last is None or sample.at - last >= _SAME_EVENT_S:
            self._last_failure_at[sample.upstream_id] = sample.at
            self._count(sample, Grade.FAILED)

    def _grade_time(
        self, sample: VersionSample, targets: tuple[float, float]
    ) -> Grade:
        excess = self._times.excess(sample, targets)
        if excess is None or excess <= 1.0:
            return Grade.FINE
        return Grade.VERY_SLOW if excess > _VERY_SLOW_RATIO else Grade.SLOW

    def _count(self, sample: VersionSample, grade: Grade) -> None:
        rate = self._failures.rate(sample.upstream_id, sample.at)
        failure, slow = log_likelihood_ratios(grade, rate)
        increment = ScopeEvidence(
            1,
            int(grade is not Grade.FINE),
            max(failure, 0.0),
            min(failure, 0.0),
            slow,
        )
        for scope in scopes_of(Scope(sample.class_name, sample.upstream_id)):
            evidence = self._evidence.setdefault(scope, ScopeEvidence())
            evidence.add(increment)
            chart = self._charts.setdefault(scope, ScoreChart())
            chart.add(failure, slow)
            if chart.is_convicted and self._verdict is None:
                self._verdict = make_verdict(scope, evidence, chart)


def scopes_of(route: Scope) -> tuple[Scope, ...]:
    """Returns the scopes that a sample of a route counts in."""
    return (
        route,
        Scope(route.class_name, ALL),
        Scope(ALL, route.upstream_id),
        WHOLE_VERSION,
    )


def log_likelihood_ratios(
    grade: Grade, old_failure_rate: float
) -> tuple[float, float]:
    """Returns the ratios of the failure test and of the slowness test."""
    if grade is Grade.FAILED:
        good_rate = max(
            _FAILURE_RATE_GOOD, _FAILURE_RATE_MARGIN * old_failure_rate
        )
        score = math.log(_FAILURE_RATE_BAD / good_rate)
        return max(score, _MIN_FAILURE_SCORE), 0.0
    success = math.log((1 - _FAILURE_RATE_BAD) / (1 - _FAILURE_RATE_GOOD))
    if grade is Grade.FINE:
        return success, math.log((1 - _SLOW_RATE_BAD) / (1 - _SLOW_RATE_GOOD))
    slow = math.log(_SLOW_RATE_BAD / _SLOW_RATE_GOOD)
    return success, slow * (
        _VERY_SLOW_WEIGHT if grade is Grade.VERY_SLOW else 1.0
    )


def make_verdict(
    scope: Scope, evidence: ScopeEvidence, chart: ScoreChart
) -> Verdict:
    """Returns the verdict of a chart that reached the conviction score."""
    return Verdict(
        scope,
        f"{chart.cause} on {scope}: {evidence.bad} of {evidence.samples} "
        f"samples bad, score {chart.worst:.1f} of {CONVICTION_SCORE}",
        evidence.samples,
    )
