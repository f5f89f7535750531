"""Times for which upstreams asked this node to send them nothing."""

import re
import time
from collections.abc import Callable, Iterable, Sequence

from tanagerport.gateway.domain import UpstreamRecord

# Longest time that is honoured, in seconds. An upstream that is to get nothing
# for longer is taken out of service by its row; a longer time is more likely a
# value in another unit, which must not cost the upstream for good.
MAX_BACKOFF_S = 600.0
_SECONDS = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")


def parse_backoff_s(values: Iterable[bytes]) -> float:
    """Returns the longest of the times, in seconds.

    Dates are not supported: the clocks of upstreams may be wrong.

    Args:
        values: Values of `Retry-After`, in seconds with an optional fraction;
            others are ignored.

    Returns:
        The time, at most `MAX_BACKOFF_S`; 0 if there is none.
    """
    return min(
        max(
            (float(value) for value in values if _SECONDS.fullmatch(value)),
            default=0.0,
        ),
        MAX_BACKOFF_S,
    )


class UpstreamBackoff:
    """Upstreams that asked this node to send them nothing for some time.

    It holds for this node only: other nodes may still send.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        # End of the time by id and start time of the upstream.
        self._until: dict[tuple[str, int], float] = {}

    @property
    def size(self) -> int:
        """Number of upstreams that get nothing now."""
        self._remove_expired()
        return len(self._until)

    def record(self, upstream: UpstreamRecord, backoff_s: float) -> bool:
        """Records that an upstream wants nothing for some time.

        Args:
            upstream: The upstream; a later start of it may be used.
            backoff_s: Seconds from now on.

        Returns:
            Whether the upstream could be used before.
        """
        was_usable = not self.is_blocked(upstream)
        self._remove_expired()
        start = upstream.start
        self._until[start] = max(
            self._until.get(start, 0.0), self._now() + backoff_s
        )
        return was_usable

    def is_blocked(self, upstream: UpstreamRecord) -> bool:
        """Whether an upstream must get nothing now."""
        return self._end_of(upstream) > self._now()

    def usable(
        self, upstreams: Sequence[UpstreamRecord]
    ) -> Sequence[UpstreamRecord]:
        """Returns the upstreams that may be used now."""
        if not self._until:
            return upstreams
        return [
            upstream for upstream in upstreams if not self.is_blocked(upstream)
        ]

    def remaining_s(self, upstreams: Sequence[UpstreamRecord]) -> float:
        """Returns the seconds until one of the upstreams may be used.

        0 if one may be used now, or if there are none.
        """
        if not self._until or not upstreams:
            return 0.0
        return max(min(map(self._end_of, upstreams)) - self._now(), 0.0)

    def _end_of(self, upstream: UpstreamRecord) -> float:
        return self._until.get(upstream.start, float("-inf"))

    def _remove_expired(self) -> None:
        now = self._now()
        self._until = {
            start: until for start, until in self._until.items() if until > now
        }
