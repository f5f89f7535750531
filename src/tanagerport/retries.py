"""Retry budget: retries are a bounded share of the requests."""

import threading

from tanagerport.clock import Clock

_SHARE = 0.1
# A node with little traffic may still retry after a single dead upstream.
_MINIMUM_PER_S = 0.5
# About ten seconds of retries at 100 requests/s.
_MAX_SAVED = 100.0
_INITIAL = 5.0


class RetryBudget:
    """Token bucket that requests fill and retries empty.

    Without a bound, retries multiply the load of a failing system.

    Args:
        clock: Source of time.
        share: Retries for each request.
        minimum_per_s: Retries a second that are always allowed.
    """

    def __init__(
        self,
        clock: Clock,
        share: float = _SHARE,
        minimum_per_s: float = _MINIMUM_PER_S,
    ) -> None:
        self._clock = clock
        self._share = share
        self._minimum_per_s = minimum_per_s
        self._saved = _INITIAL
        self._updated_at = clock.monotonic()
        self._lock = threading.Lock()

    def record_request(self) -> None:
        """Counts a request, not its retries."""
        with self._lock:
            self._saved = min(_MAX_SAVED, self._saved + self._share)

    def take(self) -> bool:
        """Returns whether a retry may be made, and counts it."""
        with self._lock:
            now = self._clock.monotonic()
            # Only up to the start value: the minimum is not saved up.
            refilled = (now - self._updated_at) * self._minimum_per_s
            self._updated_at = now
            if self._saved < _INITIAL:
                self._saved = min(_INITIAL, self._saved + refilled)
            if self._saved < 1:
                return False
            self._saved -= 1
            return True
