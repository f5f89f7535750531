"""Budget of repeated dispatches to a service, divided over the nodes."""

import collections
import time
from collections.abc import Callable

# The rule counts what arrives at upstreams; a margin covers requests that
# are counted in another window there.
_SAFE_SHARE = 0.8


class RetryBudget:
    """Bound of repeated dispatches in a sliding window, by service.

    Each node may repeat a share of its own requests and an even part of the
    slack, so the sum over all nodes keeps the bound without messages.

    Args:
        ratio: Repeated dispatches for each request.
        window_s: Window in seconds.
        slack: Repeated dispatches beyond the ratio, over all nodes.
        count_nodes: Returns the nodes that share the slack.
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
        self._repeats: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str) -> None:
        """Counts the first dispatch of a request."""
        self._recent(self._requests, service).append(self._now())

    def has_room(self, service: str) -> bool:
        """Returns whether a dispatch may be repeated."""
        requests = len(self._recent(self._requests, service))
        repeats = len(self._recent(self._repeats, service))
        slack = self._slack / max(self._count_nodes(), 1)
        return repeats + 1 <= _SAFE_SHARE * (self._ratio * requests + slack)

    def take(self, service: str) -> bool:
        """Returns whether a dispatch may be repeated, and counts it."""
        if not self.has_room(service):
            return False
        self._recent(self._repeats, service).append(self._now())
        return True

    def _recent(
        self, entries: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times = entries.setdefault(service, collections.deque())
        oldest = self._now() - self._window_s
        while times and times[0] < oldest:
            times.popleft()
        return times
