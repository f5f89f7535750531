"""Failures of upstreams, from a node's own requests."""

import dataclasses
import time
from collections.abc import Callable

# An upstream without an answer for this many failures in a row gets no work
# for a while; each further failure doubles that time.
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 8.0
# Rejections mean that the upstream is full, or leaving without saying so.
_REJECTION_PAUSE_S = 0.15
_MAX_REJECTION_PAUSE_S = 2.0
# Weight of a new sample in the share of failed requests.
_FAILURE_WEIGHT = 0.15


@dataclasses.dataclass(slots=True)
class _Record:
    failures_in_row: int = 0
    rejections_in_row: int = 0
    failure_share: float = 0.0
    ejected_until: float = 0.0


class UpstreamHealth:
    """Failures by upstream.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._records: dict[str, _Record] = {}

    def is_ejected(self, upstream_id: str) -> bool:
        """Whether an upstream gets no work at present."""
        record = self._records.get(upstream_id)
        return record is not None and record.ejected_until > self._now()

    def is_probation(self, upstream_id: str) -> bool:
        """Whether an upstream failed last and has to prove itself."""
        record = self._records.get(upstream_id)
        return record is not None and (
            record.failures_in_row >= _FAILURES_TO_EJECT
        )

    def failure_share(self, upstream_id: str) -> float:
        """Returns the recent share of failed requests, 0 to 1."""
        record = self._records.get(upstream_id)
        return 0.0 if record is None else record.failure_share

    def record_success(self, upstream_id: str) -> None:
        """Records an answer."""
        record = self._record(upstream_id)
        record.failures_in_row = 0
        record.rejections_in_row = 0
        record.failure_share *= 1 - _FAILURE_WEIGHT
        record.ejected_until = 0.0

    def record_failure(self, upstream_id: str) -> None:
        """Records a request that got no valid answer."""
        record = self._record(upstream_id)
        record.failures_in_row += 1
        record.failure_share += _FAILURE_WEIGHT * (1 - record.failure_share)
        excess = record.failures_in_row - _FAILURES_TO_EJECT
        if excess >= 0:
            pause_s = min(_FIRST_EJECTION_S * 2**excess, _MAX_EJECTION_S)
            record.ejected_until = self._now() + pause_s

    def record_failed_answer(self, upstream_id: str) -> None:
        """Records a whole answer that states a failure."""
        record = self._record(upstream_id)
        record.failures_in_row = 0
        record.failure_share += _FAILURE_WEIGHT * (1 - record.failure_share)

    def record_unreachable(self, upstream_id: str) -> None:
        """Records a connection that could not be opened."""
        record = self._record(upstream_id)
        record.failures_in_row = max(
            record.failures_in_row + 1, _FAILURES_TO_EJECT
        )
        excess = min(record.failures_in_row - _FAILURES_TO_EJECT, 4)
        pause_s = min(_FIRST_EJECTION_S * 2**excess, _MAX_EJECTION_S)
        record.ejected_until = self._now() + pause_s

    def record_rejection(self, upstream_id: str) -> None:
        """Records a request that the upstream did not run."""
        record = self._record(upstream_id)
        record.rejections_in_row += 1
        record.failure_share += _FAILURE_WEIGHT * (1 - record.failure_share)
        pause_s = min(
            _REJECTION_PAUSE_S * 2 ** (record.rejections_in_row - 1),
            _MAX_REJECTION_PAUSE_S,
        )
        record.ejected_until = max(record.ejected_until, self._now() + pause_s)

    def forget(self, upstream_id: str) -> None:
        """Drops what is known of an upstream that is gone."""
        self._records.pop(upstream_id, None)

    def _record(self, upstream_id: str) -> _Record:
        return self._records.setdefault(upstream_id, _Record())
