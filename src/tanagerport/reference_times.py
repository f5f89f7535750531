"""Timings of a model's old version, against which a new one is compared."""

import collections
import dataclasses
import math
import statistics
from collections.abc import Iterable

from tanagerport.interfaces import VersionSample

_HISTORY_SAMPLES = 200
_MIN_HISTORY = 8
_REFRESH_EVERY = 8
# For values whose logarithm is normal, the 95th percentile over the median is
# this power of the upper quartile over the median (1.645 / 0.674).
_QUARTILE_EXPONENT = 2.44
_MIN_SPREAD = 1.15
_MIN_SPREAD_SAMPLES = 20
_MIN_TIME_S = 1e-6  # guards divisions
# Control samples taken on each side of a sample's time. A burst that begins or
# ends at the sample shows on one side only.
_CONTROL_SAMPLES = 5
_MIN_CONTROL = 2
_WAITED_CONTROL = 2
CONTROL_WINDOW_S = 3.0
# Error of a median of n samples is about 0.3 / sqrt(n) of the median for
# times whose logarithm varies by 0.25; the limit leaves room for twice that.
_CONTROL_ERROR = 0.6
# Full batches slow an engine by up to 2.7 times (16 requests in place of 1 at
# the simulated engine). Without control samples that can't be told from a slow
# version, so the limit then includes it.
UNCONTROLLED_TOLERANCE = 2.7

RouteKey = tuple[str, str]
MEASURES = ("first_token_s", "token_interval_s")


class _Series:
    """Recent values of one measure on one route."""

    def __init__(self) -> None:
        self._values: collections.deque[float] = collections.deque(
            maxlen=_HISTORY_SAMPLES
        )
        self._since_refresh = 0
        self._median = 0.0
        self._upper = 0.0

    def __len__(self) -> int:
        return len(self._values)

    @property
    def median(self) -> float:
        return self._median

    @property
    def upper(self) -> float:
        """The 95th percentile."""
        return self._upper

    def add(self, value: float) -> None:
        self._values.append(value)
        self._since_refresh += 1
        # Sorting at each sample would cost more than it adds in precision.
        if len(self._values) <= 32 or self._since_refresh >= _REFRESH_EVERY:
            self._since_refresh = 0
            self._median = statistics.median(self._values)
            self._upper = robust_upper(self._values, self._median)


class _MeasureTimes:
    """Old version's values of one measure, by route and over time."""

    def __init__(self) -> None:
        self._routes: dict[RouteKey, _Series] = {}
        self._classes: dict[str, _Series] = {}
        # Speed of an upstream relative to the median of the class.
        self._factors: dict[str, _Series] = {}
        # Ratios to the usual time; a route alone has too few values for a
        # stable quantile.
        self._spreads: dict[str, _Series] = {}
        self._control: collections.deque[tuple[float, str, float]] = (
            collections.deque(maxlen=4 * _HISTORY_SAMPLES)
        )

    def add(self, route: RouteKey, at: float, value: float) -> None:
        class_name, upstream_id = route
        base = self._base(route)
        if base is not None:
            ratio = value / base.median
            self._control.append((at, upstream_id, ratio))
            self._spreads.setdefault(class_name, _Series()).add(ratio)
        by_class = self._classes.setdefault(class_name, _Series())
        if len(by_class) >= _MIN_HISTORY:
            factors = self._factors.setdefault(upstream_id, _Series())
            factors.add(value / max(by_class.median, _MIN_TIME_S))
        by_class.add(value)
        self._routes.setdefault(route, _Series()).add(value)

    def excess(
        self, route: RouteKey, at: float, value: float, target_s: float
    ) -> float | None:
        """Returns the ratio of a time to the longest that counts as fine."""
        base = self._base(route)
        if base is not None:
            usual_s = base.median * self._upper_ratio(route[0], base)
        elif target_s > 0:
            usual_s = self._slowest_known(route[0], target_s)
        else:
            return None
        usual_s = max(usual_s, _MIN_TIME_S)
        if value <= usual_s:
            # Control samples can only raise the limit, and looking for them
            # costs ten times as much as the rest.
            return value / usual_s
        slowdown = self._control_slowdown(route[1], at)
        return value / (usual_s * (slowdown or UNCONTROLLED_TOLERANCE))

    def _upper_ratio(self, class_name: str, base: "_Base") -> float:
        spread = self._spreads.get(class_name)
        if spread is None or len(spread) < _MIN_SPREAD_SAMPLES:
            return base.upper_ratio
        return spread.upper / max(spread.median, _MIN_TIME_S)

    def has_control_after(self, at: float) -> bool:
        """Returns whether enough control samples followed a time."""
        return (
            len(self._control) >= _WAITED_CONTROL
            and self._control[-_WAITED_CONTROL][0] >= at
        )

    def _base(self, route: RouteKey) -> "_Base | None":
        series = self._routes.get(route)
        if series is not None and len(series) >= _MIN_HISTORY:
            return _Base(series.median, series.upper)
        by_class = self._classes.get(route[0])
        factors = self._factors.get(route[1])
        if (
            by_class is None
            or factors is None
            or len(factors) < _CONTROL_SAMPLES
        ):
            return None
        # Routes with little traffic borrow the class's median and the
        # upstream's relative speed.
        median = by_class.median * factors.median
        spread = factors.upper / max(factors.median, _MIN_TIME_S)
        return _Base(median, median * spread)

    def _slowest_known(self, class_name: str, target_s: float) -> float:
        # A new engine may be slower than every engine of the old version, so
        # only a time beyond the class's target as well counts as slow.
        known = [
            series.upper
            for (name, _), series in self._routes.items()
            if name == class_name and len(series) >= _MIN_HISTORY
        ]
        return max([*known, target_s])

    def _control_slowdown(self, upstream_id: str, at: float) -> float | None:
        """Returns how much slower the old version is around a time."""
        before: list[tuple[str, float]] = []
        after: list[tuple[str, float]] = []
        for time, upstream, ratio in reversed(self._control):
            if time < at - CONTROL_WINDOW_S:
                break
            if time <= at + CONTROL_WINDOW_S:
                (before if time < at else after).append((upstream, ratio))
        after.reverse()
        sides = [_nearest(side, upstream_id) for side in (before, after)]
        if min(len(side) for side in sides) < _MIN_CONTROL:
            return None
        return max(
            max(statistics.median(side), 1.0)
            * (1 + _CONTROL_ERROR / math.sqrt(len(side)))
            for side in sides
        )


def _nearest(samples: list[tuple[str, float]], upstream_id: str) -> list[float]:
    """Returns the ratios nearest in time, of the same upstream if possible."""
    same = [ratio for upstream, ratio in samples if upstream == upstream_id]
    if len(same) >= _CONTROL_SAMPLES:
        return same[:_CONTROL_SAMPLES]
    return [ratio for _, ratio in samples[: 2 * _CONTROL_SAMPLES]]


@dataclasses.dataclass(frozen=True)
class _Base:
    """Usual time of the old version on one route."""

    median_s: float
    upper_s: float

    @property
    def median(self) -> float:
        return max(self.median_s, _MIN_TIME_S)

    @property
    def upper_ratio(self) -> float:
        return max(self.upper_s / self.median, 1.0)


class ReferenceTimes:
    """History and contemporaneous samples of an old version.

    Every value is divided by the usual time of the old version on the same
    class and upstream, so that control samples of a fast engine can be
    compared with samples of a slow one.
    """

    def __init__(self) -> None:
        self._measures = {name: _MeasureTimes() for name in MEASURES}

    def has_control_after(self, at: float) -> bool:
        """Returns whether enough samples of the old version followed."""
        return any(
            times.has_control_after(at) for times in self._measures.values()
        )

    def add(self, sample: VersionSample) -> None:
        """Takes a sample of the old version."""
        route = (sample.class_name, sample.upstream_id)
        for name, times in self._measures.items():
            value = getattr(sample, name)
            if value is not None and not sample.failed:
                times.add(route, sample.at, value)

    def excess(
        self, sample: VersionSample, targets: tuple[float, float]
    ) -> float | None:
        """Returns the sample's largest ratio of a time to its limit.

        Args:
            sample: Sample of the new version.
            targets: Class targets of the first token and the token interval,
                in seconds; 0 where the class is unknown.

        Returns:
            More than 1 if the sample is slow; None if nothing is comparable.
        """
        route = (sample.class_name, sample.upstream_id)
        ratios = []
        for (name, times), target_s in zip(
            self._measures.items(), targets, strict=True
        ):
            value = getattr(sample, name)
            if value is None:
                continue
            ratio = times.excess(route, sample.at, value, target_s)
            if ratio is not None:
                ratios.append(ratio)
        return max(ratios, default=None)


def robust_upper(values: Iterable[float], median: float) -> float:
    """Returns the 95th percentile, extrapolated from the upper quartile.

    The upper quartile hardly moves when a burst slows a few of the values,
    whereas the 95th percentile itself would become the burst's.

    Args:
        values: At least one value.
        median: Median of the values.
    """
    ordered = sorted(values)
    quartile = ordered[(3 * len(ordered)) // 4]
    ratio = quartile / max(median, _MIN_TIME_S)
    return median * max(ratio**_QUARTILE_EXPONENT, _MIN_SPREAD)
