"""Comparison of a new version with the old one by the answers of all nodes.

The new version is compared with the answers of the old one during the rollout.
If there are too few, because the old version can't be reached, those from
before the rollout count as well.
"""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable, Sequence

from tanagerport.gateway.untrusted_data import Integer

# Answers required of the new version before it counts as good.
MIN_GOOD_SAMPLES = 20
# Bad answers required of the new version before it counts as bad, on all routes
# and on a single one. Of several routes, one or another has some by chance.
_MIN_BAD_SAMPLES = 4
_MIN_BAD_ROUTE_SAMPLES = 6
# A version is bad if its share of bad answers exceeds that of the old version
# by this much, and by this many standard deviations of the difference. Since
# the test is repeated after each answer, 3.0 deviations gave false positives
# for 4 of 100 good versions, and 4.0 for less than 1.
_MIN_EXCESS = 0.1
_MIN_STANDARD_DEVIATIONS = 4.0
# Minimum excess over answers that the old version gave at another time. Trouble
# of both versions may have come since; only answers of the same time show it.
_MIN_EXCESS_OVER_EARLIER = 0.3
# A version counts as good only if no share of bad answers is higher than that
# of the old version by this many standard deviations. In between it is
# undecided.
_MAX_GOOD_STANDARD_DEVIATIONS = 2.0
# The same for single routes. There are several of them, so that one share or
# another is often two deviations higher by chance.
_MAX_GOOD_ROUTE_STANDARD_DEVIATIONS = 3.0
# Answers of the old version during a rollout below which those from before the
# rollout are added.
_MIN_REFERENCE_ANSWERS = 20
# The answers since the oldest of these snapshots are also tested alone.
# Otherwise a version that turns bad after many good answers would be detected
# only after about as many bad ones.
_MAX_SNAPSHOTS = 5


class Verdict(enum.Enum):
    """Result of the comparison for the new version."""

    UNDECIDED = enum.auto()
    GOOD = enum.auto()
    BAD = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Counts of the answers of one version on one route.

    Attributes:
        route: Name of the route.
        is_new: Whether the answers are of the new version.
        total: Number of answers.
        failed: Number of answers that failed.
        slow: Number of answers that missed their target, or took several
            times as long as those of the old version.
    """

    route: str
    is_new: bool
    total: Integer = 0
    failed: Integer = 0
    slow: Integer = 0

    @property
    def bad(self) -> int:
        """Number of answers that failed or were slow.

        One that is both counts twice, up to the total.
        """
        return min(self.failed + self.slow, self.total)

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(
            self.route,
            self.is_new,
            self.total + other.total,
            self.failed + other.failed,
            self.slow + other.slow,
        )

    def halved(self) -> "Tally":
        """Returns half of the counts."""
        return dataclasses.replace(
            self,
            total=self.total // 2,
            failed=self.failed // 2,
            slow=self.slow // 2,
        )

    def __sub__(self, other: "Tally") -> "Tally":
        return Tally(
            self.route,
            self.is_new,
            max(self.total - other.total, 0),
            max(self.failed - other.failed, 0),
            max(self.slow - other.slow, 0),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Criteria:
    """When a share of bad answers is higher than that of the old version.

    Attributes:
        min_excess: Minimum difference of the shares.
        min_excess_over_earlier: The same if the old version gave its answers at
            another time.
        min_bad: Minimum number of bad answers.
        min_route_bad: The same for a single route.
        joins_kinds: Whether failed and slow answers are also taken together.
        min_deviations: Minimum difference, in standard deviations.
        min_route_deviations: The same for a single route.
    """

    min_excess: float
    min_excess_over_earlier: float
    min_bad: int
    min_route_bad: int
    joins_kinds: bool
    min_deviations: float
    min_route_deviations: float


_BAD_CRITERIA = _Criteria(
    _MIN_EXCESS,
    _MIN_EXCESS_OVER_EARLIER,
    _MIN_BAD_SAMPLES,
    _MIN_BAD_ROUTE_SAMPLES,
    False,
    _MIN_STANDARD_DEVIATIONS,
    _MIN_STANDARD_DEVIATIONS,
)
_SUSPECT_CRITERIA = _Criteria(
    _MIN_EXCESS,
    _MIN_EXCESS,
    _MIN_BAD_SAMPLES,
    _MIN_BAD_SAMPLES,
    True,
    _MAX_GOOD_STANDARD_DEVIATIONS,
    _MAX_GOOD_ROUTE_STANDARD_DEVIATIONS,
)


class _TallySums:
    """Sums of tallies over all nodes, by route and version.

    They are updated with each report, as summing up the tallies of hundreds of
    nodes after each answer would take milliseconds.
    """

    def __init__(self) -> None:
        self._sums: dict[tuple[str, bool], Tally] = {}
        self._by_node: dict[str, Sequence[Tally]] = {}

    @property
    def tallies(self) -> list[Tally]:
        """Sums by route and version."""
        return list(self._sums.values())

    def add(self, tally: Tally) -> None:
        """Adds a tally."""
        key = (tally.route, tally.is_new)
        known = self._sums.get(key)
        self._sums[key] = tally if known is None else known + tally

    def replace(self, node: str, tallies: Sequence[Tally]) -> bool:
        """Replaces the tallies of a node; returns whether they changed."""
        before = self._by_node.get(node, ())
        if before == tallies:
            return False
        for tally in before:
            key = (tally.route, tally.is_new)
            self._sums[key] -= tally
        for tally in tallies:
            self.add(tally)
        self._by_node[node] = tallies
        return True


# Added to the answers from before a rollout: few of them, or none after a
# restart, must not let single bad answers look significant.
_ASSUMED_REFERENCE = Tally("", False, 100, 5, 5)


class Evidence:
    """Counts of the answers of both versions in one rollout, by node.

    Args:
        history: Answers of the old version that this node received before the
            rollout.
    """

    def __init__(self, history: Iterable[Tally] = ()) -> None:
        self._history = list(history)
        self._history_sums = _TallySums()
        self._own: dict[tuple[str, bool], Tally] = {}
        self._sums = _TallySums()
        self._snapshots: collections.deque[list[Tally]] = collections.deque(
            maxlen=_MAX_SNAPSHOTS
        )
        self._verdict: Verdict | None = None
        for tally in self._history:
            self._history_sums.add(tally)

    @property
    def history(self) -> list[Tally]:
        """Answers of the old version to this node before the rollout."""
        return self._history

    @property
    def new_answers(self) -> Tally:
        """Answers of the new version on all routes, over all nodes."""
        return _sum_tallies(self._sums.tallies, True)

    def add_snapshot(self) -> None:
        """Stores the current pooled tallies; called about once a second."""
        self._snapshots.append(self._sums.tallies)
        self._verdict = None

    def record(
        self, route: str, is_new: bool, has_failed: bool, is_slow: bool
    ) -> None:
        """Counts an answer of this node."""
        answer = Tally(route, is_new, 1, int(has_failed), int(is_slow))
        known = self._own.get((route, is_new))
        self._own[route, is_new] = answer if known is None else known + answer
        self._sums.add(answer)
        self._verdict = None

    def report(self) -> list[Tally]:
        """Returns the tallies of this node."""
        return list(self._own.values())

    def apply_report(
        self,
        node: str,
        tallies: list[Tally],
        history: Sequence[Tally] = (),
    ) -> None:
        """Replaces the tallies of another node.

        Args:
            node: Name and start id of the node, so that a restarted node is
                tracked as a new one.
            tallies: Tallies of the node since its start.
            history: Its tallies of the old version before the rollout.
        """
        has_changed = self._sums.replace(node, tallies)
        has_changed |= self._history_sums.replace(node, history)
        if has_changed:
            self._verdict = None

    def evaluate(self) -> Verdict:
        """Compares the versions on each route and on all routes together.

        A version that is bad on only one route may not stand out in the sum of
        all routes.
        """
        if self._verdict is None:
            self._verdict = self._compare()
        return self._verdict

    def _compare(self) -> Verdict:
        pooled = self._sums.tallies
        history = self._history_sums.tallies
        samples = [(pooled, [history])]
        if self._snapshots:
            recent = _subtract_snapshot(pooled, self._snapshots[0])
            samples.append((recent, [pooled, history]))
        if any(
            _is_bad(sample, earlier, _BAD_CRITERIA)
            for sample, earlier in samples
        ):
            return Verdict.BAD
        if _sum_tallies(pooled, True).total < MIN_GOOD_SAMPLES or any(
            _is_bad(sample, earlier, _SUSPECT_CRITERIA)
            for sample, earlier in samples
        ):
            return Verdict.UNDECIDED
        return Verdict.GOOD


def _subtract_snapshot(
    pooled: list[Tally], snapshot: list[Tally]
) -> list[Tally]:
    """Returns the tallies of the answers since a snapshot."""
    before = {(tally.route, tally.is_new): tally for tally in snapshot}
    return [
        tally
        - before.get((tally.route, tally.is_new), Tally(tally.route, True))
        for tally in pooled
    ]


def _is_bad(
    sample: list[Tally], earlier: list[list[Tally]], criteria: _Criteria
) -> bool:
    """Tests whether the new version does worse on some route or on all.

    Args:
        sample: Answers of both versions at one time.
        earlier: Answers from before, the latest first, that are added if the
            old version has too few in the sample.
        criteria: When a share of bad answers is higher.
    """
    routes: set[str | None] = {tally.route for tally in sample}
    return any(
        _is_worse(
            _sum_tallies(sample, True, route),
            _sum_tallies(sample, False, route),
            [_sum_tallies(tallies, False, route) for tallies in earlier],
            criteria,
            is_one_route=route is not None,
        )
        for route in (*routes, None)
    )


def _sum_tallies(
    tallies: Iterable[Tally], is_new: bool, route: str | None = None
) -> Tally:
    total = Tally(route or "", is_new)
    for tally in tallies:
        if tally.is_new is is_new and route in (None, tally.route):
            total += tally
    return total


def _is_worse(
    new: Tally,
    old: Tally,
    earlier: list[Tally],
    criteria: _Criteria,
    is_one_route: bool,
) -> bool:
    min_excess = criteria.min_excess
    for tally in (*earlier, _ASSUMED_REFERENCE):
        if old.total >= _MIN_REFERENCE_ANSWERS:
            break
        min_excess = criteria.min_excess_over_earlier
        old += tally
    min_bad = criteria.min_route_bad if is_one_route else criteria.min_bad
    min_deviations = (
        criteria.min_route_deviations
        if is_one_route
        else criteria.min_deviations
    )
    shares = [(new.failed, old.failed), (new.slow, old.slow)]
    if criteria.joins_kinds:
        shares.append((new.bad, old.bad))
    return any(
        new_bad >= min_bad
        and _is_share_higher(
            new_bad, new.total, old_bad, old.total, min_excess, min_deviations
        )
        for new_bad, old_bad in shares
    )


def _is_share_higher(
    new_bad: int,
    new_total: int,
    old_bad: int,
    old_total: int,
    min_excess: float,
    min_deviations: float,
) -> bool:
    """Tests whether the new version has a higher share of bad answers.

    This is a two-proportion z-test with the pooled variance. One bad and one
    good answer are added to the pool, so that few samples are not significant.
    """
    excess = new_bad / new_total - old_bad / old_total
    if excess <= min_excess:
        return False
    pooled = (new_bad + old_bad + 1) / (new_total + old_total + 2)
    variance = pooled * (1 - pooled) * (1 / new_total + 1 / old_total)
    return excess > min_deviations * math.sqrt(variance)
