"""Budget of bytes on the links between regions."""

import dataclasses
import threading

from tanagerport.clock import Clock

# The bucket holds this many seconds of the rate, so that a short burst of
# long answers passes.
_BURST_S = 2.0


@dataclasses.dataclass
class _Bucket:
    tokens: float
    updated_at: float
    sent_bytes: int = 0


class LinkBudget:
    """Token bucket for each region that this node sends to.

    Args:
        bytes_per_s: Budget of a link for all nodes of the own region.
        region: Own region; links within it are not limited.
        clock: Source of time.
    """

    def __init__(self, bytes_per_s: float, region: str, clock: Clock) -> None:
        self._bytes_per_s = bytes_per_s
        self._region = region
        self._clock = clock
        self._sharers = 1
        self._lock = threading.Lock()
        self._buckets: dict[str, _Bucket] = {}

    @property
    def rate(self) -> float:
        """Bytes per second that this node may send to a region."""
        return self._bytes_per_s / self._sharers

    def set_sharers(self, count: int) -> None:
        """Sets the number of nodes that share each link."""
        self._sharers = max(1, count)

    def available(self, region: str) -> float:
        """Returns the bytes that may be sent to a region now."""
        if region == self._region:
            return float("inf")
        with self._lock:
            return self._refill(region).tokens

    def take(self, region: str, count: float) -> bool:
        """Takes bytes from the budget if they are there.

        Args:
            region: Region to send to.
            count: Expected bytes.

        Returns:
            Whether the bytes may be sent.
        """
        if region == self._region:
            return True
        with self._lock:
            bucket = self._refill(region)
            if bucket.tokens < count:
                return False
            bucket.tokens -= count
            return True

    def record(self, region: str, count: int, expected: float = 0.0) -> None:
        """Counts bytes that were sent.

        Args:
            region: Region that they went to.
            count: Bytes sent.
            expected: Bytes that `take` already took for them. More bytes
                than expected may leave the budget below zero.
        """
        if region == self._region:
            return
        with self._lock:
            bucket = self._refill(region)
            bucket.sent_bytes += count
            bucket.tokens = min(
                bucket.tokens + expected - count, self.rate * _BURST_S
            )

    def sent_bytes(self, region: str) -> int:
        """Returns the bytes counted for a region."""
        with self._lock:
            bucket = self._buckets.get(region)
            return bucket.sent_bytes if bucket else 0

    def _refill(self, region: str) -> _Bucket:
        now = self._clock.monotonic()
        capacity = self.rate * _BURST_S
        bucket = self._buckets.get(region)
        if bucket is None:
            bucket = self._buckets[region] = _Bucket(capacity, now)
        bucket.tokens = min(
            capacity, bucket.tokens + (now - bucket.updated_at) * self.rate
        )
        bucket.updated_at = now
        return bucket
