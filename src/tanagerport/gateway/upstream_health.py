"""Passive health checks of upstreams, based on this node's requests."""

import dataclasses
import time
from collections.abc import Callable

# Consecutive failures after which an upstream is ejected from selection. Each
# further failure doubles the ejection time.
_EJECTION_FAILURES = 2
_MIN_EJECTION_S = 0.5
_MAX_EJECTION_S = 8.0
# An upstream that rejects requests is full, or is draining and has not reported
# it yet. Each further rejection doubles the ejection time.
_MIN_REJECTION_EJECTION_S = 0.15
_MAX_REJECTION_EJECTION_S = 2.0
# Number of doublings after which every ejection time has reached its maximum. A
# power of two of an unbounded count does not fit into a float.
_MAX_DOUBLINGS = 4
# Weight of a new sample in the moving average of the failure rate.
_FAILURE_SAMPLE_WEIGHT = 0.15


@dataclasses.dataclass(slots=True)
class _HealthRecord:
    consecutive_failures: int = 0
    consecutive_rejections: int = 0
    failure_rate: float = 0.0
    ejected_until: float = 0.0


class UpstreamHealth:
    """Tracks failures by upstream and ejects upstreams that keep failing.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._records: dict[str, _HealthRecord] = {}

    def is_ejected(self, upstream_id: str) -> bool:
        """Whether an upstream is currently excluded from selection."""
        record = self._records.get(upstream_id)
        return record is not None and record.ejected_until > self._now()

    def is_on_probation(self, upstream_id: str) -> bool:
        """Whether an upstream has not answered since its last ejection."""
        record = self._records.get(upstream_id)
        return record is not None and (
            record.consecutive_failures >= _EJECTION_FAILURES
        )

    def failure_rate(self, upstream_id: str) -> float:
        """Returns the recent share of failed requests, 0 to 1."""
        record = self._records.get(upstream_id)
        return 0.0 if record is None else record.failure_rate

    def record_success(self, upstream_id: str) -> None:
        """Records a successful answer."""
        record = self._get_or_create(upstream_id)
        record.consecutive_failures = 0
        record.consecutive_rejections = 0
        record.failure_rate *= 1 - _FAILURE_SAMPLE_WEIGHT
        record.ejected_until = 0.0

    def record_failure(self, upstream_id: str) -> None:
        """Records a request without a valid answer."""
        record = self._get_or_create(upstream_id)
        record.consecutive_failures += 1
        record.failure_rate += _FAILURE_SAMPLE_WEIGHT * (
            1 - record.failure_rate
        )
        doublings = record.consecutive_failures - _EJECTION_FAILURES
        if doublings >= 0:
            ejection_s = min(
                _MIN_EJECTION_S * 2 ** min(doublings, _MAX_DOUBLINGS),
                _MAX_EJECTION_S,
            )
            record.ejected_until = self._now() + ejection_s

    def record_error_response(self, upstream_id: str) -> None:
        """Records a complete answer with an error status."""
        record = self._get_or_create(upstream_id)
        record.consecutive_failures = 0
        record.failure_rate += _FAILURE_SAMPLE_WEIGHT * (
            1 - record.failure_rate
        )

    def record_connect_failure(self, upstream_id: str) -> None:
        """Records a failed connection attempt; ejects the upstream at once."""
        record = self._get_or_create(upstream_id)
        record.consecutive_failures = max(
            record.consecutive_failures + 1, _EJECTION_FAILURES
        )
        doublings = min(
            record.consecutive_failures - _EJECTION_FAILURES, _MAX_DOUBLINGS
        )
        ejection_s = min(_MIN_EJECTION_S * 2**doublings, _MAX_EJECTION_S)
        record.ejected_until = self._now() + ejection_s

    def record_rejection(self, upstream_id: str) -> None:
        """Records a request that the upstream rejected without running it."""
        record = self._get_or_create(upstream_id)
        record.consecutive_rejections += 1
        record.failure_rate += _FAILURE_SAMPLE_WEIGHT * (
            1 - record.failure_rate
        )
        ejection_s = min(
            _MIN_REJECTION_EJECTION_S
            * 2 ** min(record.consecutive_rejections - 1, _MAX_DOUBLINGS),
            _MAX_REJECTION_EJECTION_S,
        )
        record.ejected_until = max(
            record.ejected_until, self._now() + ejection_s
        )

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes the state of an upstream that no longer exists."""
        self._records.pop(upstream_id, None)

    def _get_or_create(self, upstream_id: str) -> _HealthRecord:
        return self._records.setdefault(upstream_id, _HealthRecord())
