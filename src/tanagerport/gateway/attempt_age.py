"""Estimates the age of a request that a client retries after a refusal.

A client retries with a new request id, but its latency target counts from the
first attempt. Most first attempts on a route have the same deadline, so a
shorter deadline shows how much time has passed since then.
"""

import collections

# Number of recent deadlines kept for each route.
_MAX_RECENT_DEADLINES = 200
# Minimum share of the recent deadlines that the most common one must have.
_MIN_COMMON_SHARE = 0.25
# Minimum number of recent deadlines for an estimate.
_MIN_SAMPLES = 10


class _RecentDeadlines:
    """Counts of the recent deadlines of one route."""

    def __init__(self) -> None:
        self._recent: collections.deque[int] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, deadline_ms: int) -> None:
        """Adds a deadline and drops the oldest one beyond the limit."""
        self._recent.append(deadline_ms)
        self._counts[deadline_ms] += 1
        if len(self._recent) > _MAX_RECENT_DEADLINES:
            oldest = self._recent.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def most_common_ms(self) -> int | None:
        """Returns the deadline of first attempts, if one is common enough."""
        if len(self._recent) < _MIN_SAMPLES:
            return None
        deadline_ms, count = max(
            self._counts.items(), key=lambda entry: entry[1]
        )
        if count < _MIN_COMMON_SHARE * len(self._recent):
            return None
        return deadline_ms


class AttemptAgeEstimator:
    """Estimates request ages from the recent deadlines of each route."""

    def __init__(self) -> None:
        self._deadlines: dict[str, _RecentDeadlines] = {}

    def estimate_age_s(self, route: str, deadline_ms: int) -> float:
        """Estimates the seconds since the first attempt of a request.

        Args:
            route: Name of the route.
            deadline_ms: Remaining deadline of the request, in milliseconds.

        Returns:
            0 for a first attempt, or if no recent deadline is common enough.
        """
        deadlines = self._deadlines.get(route)
        if deadlines is None:
            deadlines = self._deadlines[route] = _RecentDeadlines()
        most_common_ms = deadlines.most_common_ms()
        deadlines.add(deadline_ms)
        if most_common_ms is None or deadline_ms >= most_common_ms:
            return 0.0
        return (most_common_ms - deadline_ms) / 1000
