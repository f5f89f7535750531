"""Units used within a sliding window."""

import math
from collections.abc import Sequence

# Units are counted in buckets of this length, in seconds.
_BUCKET_S = 0.1
# Number of slots in which the content of a window is reported.
_SLOTS = 8
# Times are rounded up to the next bucket, except for rounding errors.
_ROUNDING_BUCKETS = 1e-6
# Shortest wait that a window reports, in seconds.
_MIN_WAIT_S = 0.1


class SlidingWindow:
    """Units used within the last window, in buckets by time.

    Args:
        window_s: Length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._units_by_bucket: dict[int, float] = {}
        self._oldest_bucket: float = math.inf
        self._total = 0.0

    def add(self, at: float, units: float) -> None:
        """Adds units that were used at a time; a negative number removes them.

        Args:
            at: Monotonic time, in seconds.
            units: Number of units.
        """
        self._add_to_bucket(_bucket(at), units)

    def total(self, now: float) -> float:
        """Returns the units in the window that ends now."""
        self._expire(now)
        return self._total

    def by_slot(self, now: float) -> tuple[int, ...]:
        """Returns the units in each eighth of the window, latest first.

        Empty if there are none.
        """
        self._expire(now)
        slots = [0.0] * _SLOTS
        slot_buckets = self._slot_buckets
        latest = _bucket(now)
        for bucket, units in self._units_by_bucket.items():
            slot = max(latest - bucket, 0) // slot_buckets
            slots[min(slot, _SLOTS - 1)] += units
        recent = tuple(round(units) for units in slots)
        return recent if any(recent) else ()

    def rate_per_s(self, now: float, length_s: float) -> float:
        """Returns the units used in a second of the last `length_s` seconds."""
        oldest = _bucket(now - length_s)
        units = sum(
            units
            for bucket, units in self._units_by_bucket.items()
            if bucket > oldest
        )
        return max(units, 0.0) / length_s

    def merge(self, ended_at: float, recent: Sequence[int]) -> None:
        """Raises the units of each slot to at least the given number.

        Args:
            ended_at: Monotonic time at which the reported window ended, in
                seconds.
            recent: Units by slot, latest first.
        """
        known = self.by_slot(ended_at) or (0,) * _SLOTS
        for slot, units in enumerate(recent[:_SLOTS]):
            missing = units - known[slot]
            if missing > 0:
                self._add_evenly(ended_at, slot, missing)

    def _add_evenly(self, ended_at: float, slot: int, units: float) -> None:
        """Adds units, spread evenly over the later two thirds of a slot.

        If they all left the window at the same moment, every node would grant
        them before it received the reports of the others. In the first third,
        they might leave the window long before their time.
        """
        latest = _bucket(ended_at) - slot * self._slot_buckets
        count = max(2 * self._slot_buckets // 3, 1)
        for bucket in range(latest - count + 1, latest + 1):
            self._add_to_bucket(bucket, units / count)

    def time_until_expired_s(self, now: float, units: float) -> float:
        """Returns the seconds until that many units have left the window."""
        remaining = units
        for bucket in sorted(self._units_by_bucket):
            remaining -= self._units_by_bucket[bucket]
            if remaining <= 0:
                wait_s = bucket * _BUCKET_S + self._window_s - now
                return max(wait_s, _MIN_WAIT_S)
        return self._window_s

    @property
    def _slot_buckets(self) -> int:
        return max(round(self._window_s / _SLOTS / _BUCKET_S), 1)

    def _add_to_bucket(self, bucket: int, units: float) -> None:
        self._units_by_bucket[bucket] = (
            self._units_by_bucket.get(bucket, 0.0) + units
        )
        self._oldest_bucket = min(self._oldest_bucket, bucket)
        self._total += units

    def _expire(self, now: float) -> None:
        oldest = _bucket(now - self._window_s)
        if oldest < self._oldest_bucket:
            return
        for bucket in [
            entry for entry in self._units_by_bucket if entry <= oldest
        ]:
            self._total -= self._units_by_bucket.pop(bucket)
        if not self._units_by_bucket:
            self._total = 0.0
        self._oldest_bucket = min(self._units_by_bucket, default=math.inf)


def _bucket(at: float) -> int:
    return math.ceil(at / _BUCKET_S - _ROUNDING_BUCKETS)
