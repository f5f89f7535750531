"""Plan of a rollout's phases, made backwards from its deadline."""

import dataclasses
import math

from tanagerport.canaries import CANARY_SHARE

# Shares between the canary and the full share.
RAMP_SHARES = (0.15, 0.35, 0.65)
# Share while the version is watched. The rest stays with the old version as
# control, without which a burst looks like a slow version.
FULL_SHARE = 0.85

# Parts of the time from start to deadline. The rest is for loading and canary.
_MARGIN_PART = 0.08
_LAST_MARGIN_PART = 0.03
_WATCH_PART = 0.28
_RAMP_PART = 0.18
# Shortest parts that are still accepted when the canary took longer.
_MIN_WATCH_PART = 0.12
_MIN_RAMP_PART = 0.05
_MAX_WATCH_S = 1800.0
# Part of the canary's samples that can be expected in spite of requests that
# end after it and of tokens that find no request.
_SAMPLE_YIELD = 0.7
_MIN_SAMPLES, _MAX_SAMPLES = 6, 40
_MIN_ROUTE_SAMPLES, _MAX_ROUTE_SAMPLES = 1, 8


@dataclasses.dataclass(frozen=True)
class SamplesNeeded:
    """Samples of the new version before more than the canary share.

    Attributes:
        total: Over all routes.
        per_route: On each active route.
    """

    total: int
    per_route: int


@dataclasses.dataclass(frozen=True)
class RampPlan:
    """Phases of a rollout.

    Attributes:
        started: Epoch seconds of the start.
        deadline: Epoch seconds.
    """

    started: float
    deadline: float

    @property
    def total_s(self) -> float:
        """Seconds from start to deadline."""
        return max(self.deadline - self.started, 0.001)

    @property
    def end_by(self) -> float:
        """Latest planned end of the watch period."""
        return self.deadline - _MARGIN_PART * self.total_s

    @property
    def last_end(self) -> float:
        """Latest end of a watch period that is extended in doubt."""
        return self.deadline - _LAST_MARGIN_PART * self.total_s

    @property
    def full_by(self) -> float:
        """Planned time of the full share."""
        return self.end_by - _WATCH_PART * self.total_s

    @property
    def canary_by(self) -> float:
        """Planned end of the canary phase."""
        return self.full_by - _RAMP_PART * self.total_s

    @property
    def latest_canary_end(self) -> float:
        """End of the canary phase after which the deadline can't be met."""
        return self.latest_full - _MIN_RAMP_PART * self.total_s

    @property
    def latest_full(self) -> float:
        """Time of the full share after which the deadline can't be met."""
        return self.end_by - _MIN_WATCH_PART * self.total_s

    def stage_s(self, now: float, share: float) -> float:
        """Returns how long the current ramp share is kept, in seconds.

        Args:
            now: Epoch seconds when the share was set.
            share: Current share.
        """
        remaining = max(1, sum(1 for item in RAMP_SHARES if item >= share))
        shortest_s = _MIN_RAMP_PART * self.total_s / len(RAMP_SHARES)
        longest_s = _RAMP_PART * self.total_s / len(RAMP_SHARES)
        left_s = (self.full_by - now) / remaining
        return min(max(left_s, shortest_s), longest_s)

    def watch_s(self, full_at: float) -> float:
        """Returns the watch period for a full share at a time, in seconds.

        All the time that is left before the deadline is used, up to a bound,
        since a late fault can be taken back only while the rollout runs.
        """
        shortest_s = _MIN_WATCH_PART * self.total_s
        return max(min(self.end_by - full_at, _MAX_WATCH_S), shortest_s)

    def samples_needed(
        self, requests: int, seen_s: float, routes: int
    ) -> SamplesNeeded:
        """Returns the samples that the time until the ramp can provide.

        Args:
            requests: Requests that ended since the start.
            seen_s: Seconds in which they ended.
            routes: Active routes.
        """
        rate = requests / max(seen_s, 0.5)
        canary_s = max(self.canary_by - self.started, 0.0)
        expected = _SAMPLE_YIELD * CANARY_SHARE * rate * canary_s
        return SamplesNeeded(
            _clamp(expected, _MIN_SAMPLES, _MAX_SAMPLES),
            _clamp(
                expected / max(routes, 1),
                _MIN_ROUTE_SAMPLES,
                _MAX_ROUTE_SAMPLES,
            ),
        )


def next_share(share: float) -> float:
    """Returns the ramp share that follows a share."""
    return next((item for item in RAMP_SHARES if item > share), FULL_SHARE)


def _clamp(value: float, low: int, high: int) -> int:
    return max(low, min(math.floor(value), high))
