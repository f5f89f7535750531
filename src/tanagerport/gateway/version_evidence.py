"""Evidence about a new version, pooled over nodes, and its judgement."""

import collections
import dataclasses
import enum
import math
from collections.abc import Iterable

# Answers of the new version that are needed before it counts as good.
_MIN_GOOD_SAMPLES = 20
# Bad answers that are needed before it counts as bad.
_MIN_BAD_SAMPLES = 4
# The share of bad answers must exceed that of the old version by this much,
# and by this many standard deviations of the difference. The test is made
# after each answer; 3.0 convicted 4 in 100 good versions, 4.0 less than 1.
_MIN_EXCESS = 0.1
_DEVIATIONS = 4.0
# Marks that the newest answers are counted from. A version that turns bad after
# many good answers would have to give as many bad ones otherwise.
_MAX_SNAPSHOTS = 5


class Verdict(enum.Enum):
    """What the evidence says of a version."""

    UNDECIDED = enum.auto()
    GOOD = enum.auto()
    BAD = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """Answers of one version on one route.

    Attributes:
        route: Name of the route.
        is_new: Whether it is the new version.
        total: Answers.
        failed: Answers that failed.
        slow: Answers that missed their target, or took several times as long
            as those of the old version.
    """

    route: str
    is_new: bool
    total: int = 0
    failed: int = 0
    slow: int = 0

    def __add__(self, other: "Tally") -> "Tally":
        return dataclasses.replace(
            self,
            total=self.total + other.total,
            failed=self.failed + other.failed,
            slow=self.slow + other.slow,
        )

    def __sub__(self, other: "Tally") -> "Tally":
        return dataclasses.replace(
            self,
            total=max(self.total - other.total, 0),
            failed=max(self.failed - other.failed, 0),
            slow=max(self.slow - other.slow, 0),
        )


class Evidence:
    """Tallies of one rollout by node."""

    def __init__(self) -> None:
        self._own: dict[tuple[str, bool], Tally] = {}
        self._by_node: dict[str, list[Tally]] = {}
        self._snapshots: collections.deque[list[Tally]] = collections.deque(
            maxlen=_MAX_SNAPSHOTS
        )

    def add_snapshot(self) -> None:
        """Marks a moment; called about once a second."""
        self._snapshots.append(self._pool())

    def record(
        self, route: str, is_new: bool, has_failed: bool, is_slow: bool
    ) -> None:
        """Counts an answer of this node."""
        tally = self._own.get((route, is_new), Tally(route, is_new))
        self._own[route, is_new] = tally + Tally(
            route, is_new, 1, int(has_failed), int(is_slow)
        )

    def report(self) -> list[Tally]:
        """Returns the tallies of this node."""
        return list(self._own.values())

    def apply_report(self, node: str, tallies: list[Tally]) -> None:
        """Replaces the tallies of another node.

        Args:
            node: Name and start of the node, so that a restart counts anew.
            tallies: Its tallies since its start.
        """
        self._by_node[node] = tallies

    def evaluate(self) -> Verdict:
        """Judges the new version on each route and on all together.

        A version may fail on one route only, so each route is compared with
        the old version on the same route.
        """
        pooled = self._pool()
        if _is_bad(pooled):
            return Verdict.BAD
        if self._snapshots and _is_bad(_subtract(pooled, self._snapshots[0])):
            return Verdict.BAD
        if _sum(pooled, True).total >= _MIN_GOOD_SAMPLES:
            return Verdict.GOOD
        return Verdict.UNDECIDED

    def _pool(self) -> list[Tally]:
        """Returns the sum over all nodes for each route and version."""
        pooled: dict[tuple[str, bool], Tally] = {}
        for tallies in (self._own.values(), *self._by_node.values()):
            for tally in tallies:
                key = (tally.route, tally.is_new)
                known = pooled.get(key)
                pooled[key] = tally if known is None else known + tally
        return list(pooled.values())


def _subtract(pooled: list[Tally], marked: list[Tally]) -> list[Tally]:
    """Returns the answers since a mark."""
    before = {(tally.route, tally.is_new): tally for tally in marked}
    return [
        tally
        - before.get((tally.route, tally.is_new), Tally(tally.route, True))
        for tally in pooled
    ]


def _is_bad(pooled: list[Tally]) -> bool:
    pairs = [
        (_sum(pooled, True, route), _sum(pooled, False, route))
        for route in {tally.route for tally in pooled}
    ]
    pairs.append((_sum(pooled, True), _sum(pooled, False)))
    return any(_is_worse(*pair) for pair in pairs)


def _sum(
    tallies: Iterable[Tally], is_new: bool, route: str | None = None
) -> Tally:
    total = Tally(route or "", is_new)
    for tally in tallies:
        if tally.is_new is is_new and route in (None, tally.route):
            total += tally
    return total


def _is_worse(new: Tally, old: Tally) -> bool:
    return _is_above(new.failed, new.total, old.failed, old.total) or _is_above(
        new.slow, new.total, old.slow, old.total
    )


def _is_above(
    new_bad: int, new_total: int, old_bad: int, old_total: int
) -> bool:
    """Whether the new share of bad answers is significantly higher.

    The test compares two proportions with their pooled variance; one bad and
    one good answer are added, so that few samples prove nothing.
    """
    if new_bad < _MIN_BAD_SAMPLES:
        return False
    new_share = new_bad / new_total
    old_share = old_bad / old_total if old_total else 0.0
    excess = new_share - old_share
    if excess <= _MIN_EXCESS:
        return False
    pooled = (new_bad + old_bad + 1) / (new_total + old_total + 2)
    variance = pooled * (1 - pooled) * (1 / new_total + 1 / max(old_total, 1))
    return excess > _DEVIATIONS * math.sqrt(variance)
