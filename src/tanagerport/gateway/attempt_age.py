"""Age of a client's request that comes back after a refusal.

A client that was refused sends a new attempt with a new id, and its target
counts from the first one. Clients of a route mostly start with the same
deadline, so a shorter one tells how much of it has passed.
"""

import collections

# Deadlines of a route that are remembered.
_MAX_RECENT_DEADLINES = 200
# A deadline counts as the usual one if so many of the remembered have it.
_MIN_COMMON_SHARE = 0.25
_MIN_SAMPLES = 10


class _RecentDeadlines:
    """Recent deadlines of one route."""

    def __init__(self) -> None:
        self._recent: collections.deque[int] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, deadline_ms: int) -> None:
        """Remembers a deadline."""
        self._recent.append(deadline_ms)
        self._counts[deadline_ms] += 1
        if len(self._recent) > _MAX_RECENT_DEADLINES:
            oldest = self._recent.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def most_common_ms(self) -> int | None:
        """Returns the deadline that clients start with; None if unknown."""
        if len(self._recent) < _MIN_SAMPLES:
            return None
        deadline_ms, count = max(
            self._counts.items(), key=lambda entry: entry[1]
        )
        if count < _MIN_COMMON_SHARE * len(self._recent):
            return None
        return deadline_ms


class AttemptAgeEstimator:
    """Deadlines by route."""

    def __init__(self) -> None:
        self._deadlines: dict[str, _RecentDeadlines] = {}

    def estimate_age_s(self, route: str, deadline_ms: int) -> float:
        """Returns the seconds since the first attempt of a request.

        Args:
            route: Name of the route.
            deadline_ms: Milliseconds that the client still waits.

        Returns:
            0 for a first attempt and where it can't be told.
        """
        deadlines = self._deadlines.get(route)
        if deadlines is None:
            deadlines = self._deadlines[route] = _RecentDeadlines()
        most_common_ms = deadlines.most_common_ms()
        deadlines.add(deadline_ms)
        if most_common_ms is None or deadline_ms >= most_common_ms:
            return 0.0
        return (most_common_ms - deadline_ms) / 1000
