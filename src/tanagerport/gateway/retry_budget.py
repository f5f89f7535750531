"""Retry budget of each service, divided among the nodes."""

import collections
import time
from collections.abc import Callable

# Fraction of the limit that is used. The limit applies to arrivals at the
# upstreams, where a request may fall into a different window than here; the
# rest covers the difference.
_SAFE_FRACTION = 0.8


class RetryBudget:
    """Limits the retries to each service in a sliding window.

    Each node may retry a share of its own requests, plus an equal part of the
    slack, so the nodes together stay within the limit without coordination.

    Args:
        ratio: Retries allowed per request.
        window_s: Length of the sliding window, in seconds.
        slack: Retries allowed beyond the ratio in each window, over all nodes.
        count_nodes: Returns the number of nodes that share the slack.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        ratio: float,
        window_s: float,
        slack: float,
        count_nodes: Callable[[], int],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._count_nodes = count_nodes
        self._now = now
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Counts the first dispatch of a request."""
        self._times_in_window(self._requests, service).append(self._now())

    def can_retry(self, service: str) -> bool:
        """Returns whether the budget allows another retry."""
        requests = len(self._times_in_window(self._requests, service))
        retries = len(self._times_in_window(self._retries, service))
        slack = self._slack / max(self._count_nodes(), 1)
        return retries + 1 <= _SAFE_FRACTION * (self._ratio * requests + slack)

    def try_spend(self, service: str) -> bool:
        """Counts a retry if the budget allows it.

        Returns:
            Whether the request may be retried.
        """
        if not self.can_retry(service):
            return False
        self._times_in_window(self._retries, service).append(self._now())
        return True

    def _times_in_window(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
    ) -> collections.deque[float]:
        """Removes the times before the window and returns the rest."""
        times = times_by_service.setdefault(service, collections.deque())
        oldest = self._now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
