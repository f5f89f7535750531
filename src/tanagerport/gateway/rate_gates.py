"""Gates that keep requests within the limits that upstreams name."""

import dataclasses
import math
import random
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.sliding_window import SlidingWindow
from tanagerport.gateway.upstream_limits import UpstreamLimits

# Requests a second for an upstream that names less, 0 included: only an answer
# tells that its limit has risen or ended.
MIN_PER_S = 0.2
# Requests that may go at once: this, and those of the given time at the limit.
# Tokens that come between two rounds of admission are not lost.
_BURST_REQUESTS = 1.0
_BURST_S = 0.25
_UNLIMITED = 1 << 30
# Window in which granted requests are counted for operators, in seconds.
_COUNTED_S = 4.0
# Shortest time in which a node may use its share of a period, in seconds:
# longer than the interval at which waiting requests are admitted.
_MIN_TURN_S = 0.15


class RateGate(Protocol):
    """Knows when an upstream takes another request."""

    def wait_s(self, upstream: UpstreamRecord) -> float:
        """Returns the seconds until an upstream takes another request."""

    def rate_per_s(self, upstream: UpstreamRecord) -> float | None:
        """Returns the requests a second that it lets through; None if all."""


class OpenGate:
    """Lets all requests through."""

    def wait_s(self, upstream: UpstreamRecord) -> float:
        """Implements `RateGate`."""
        del upstream
        return 0.0

    def rate_per_s(self, upstream: UpstreamRecord) -> float | None:
        """Implements `RateGate`."""
        del upstream
        return None


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float
    granted: SlidingWindow


class GrantGate:
    """Limits what a coordinator grants, for the requests of all nodes.

    A token bucket for each limited upstream. It is empty when the limit is
    named, and while another node coordinates.

    Args:
        limits: Limits that upstreams name.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self, limits: UpstreamLimits, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._limits = limits
        self._now = now
        self._started_at = now()
        self._buckets: dict[tuple[str, int], _Bucket] = {}

    def wait_s(self, upstream: UpstreamRecord) -> float:
        """Implements `RateGate`."""
        rate = self.rate_per_s(upstream)
        if rate is None:
            return 0.0
        missing = 1.0 - self._fill(upstream, rate).tokens
        return max(missing / rate, 0.0)

    def rate_per_s(self, upstream: UpstreamRecord) -> float | None:
        """Implements `RateGate`."""
        limit = self._limits.per_s(upstream)
        return None if limit is None else max(limit, MIN_PER_S)

    def count_tokens(self, upstream: UpstreamRecord) -> int:
        """Returns how many requests an upstream takes now."""
        rate = self.rate_per_s(upstream)
        if rate is None:
            return _UNLIMITED
        return math.floor(self._fill(upstream, rate).tokens)

    def take(self, upstream: UpstreamRecord) -> None:
        """Records a request that is sent to an upstream."""
        rate = self.rate_per_s(upstream)
        if rate is not None:
            bucket = self._fill(upstream, rate)
            bucket.tokens -= 1.0
            bucket.granted.add(self._now(), 1)

    def give_back(self, upstream: UpstreamRecord) -> None:
        """Records that a request was not sent after all."""
        rate = self.rate_per_s(upstream)
        if rate is not None:
            bucket = self._fill(upstream, rate)
            bucket.tokens = min(bucket.tokens + 1.0, _capacity(rate))
            bucket.granted.add(self._now(), -1)

    def count_granted(self, upstream: UpstreamRecord) -> int:
        """Returns the requests that were granted in the last 4 s."""
        bucket = self._buckets.get(upstream.start)
        if bucket is None:
            return 0
        return round(bucket.granted.total(self._now()))

    def empty(self, upstream: UpstreamRecord) -> None:
        """Takes the saved up requests of a limited upstream away."""
        rate = self.rate_per_s(upstream)
        if rate is not None:
            bucket = self._fill(upstream, rate)
            bucket.tokens = min(bucket.tokens, 0.0)

    def keep_only(self, upstreams: Iterable[UpstreamRecord]) -> None:
        """Forgets all but the given upstreams."""
        if self._buckets:
            kept = {upstream.start for upstream in upstreams}
            for start in set(self._buckets) - kept:
                del self._buckets[start]

    def _fill(self, upstream: UpstreamRecord, rate: float) -> _Bucket:
        now = self._now()
        bucket = self._buckets.get(upstream.start)
        if bucket is None:
            named = self._limits.get(upstream)
            since = now if named is None else named.since
            bucket = self._buckets[upstream.start] = _Bucket(
                0.0, max(since, self._started_at), SlidingWindow(_COUNTED_S)
            )
        bucket.tokens = min(
            bucket.tokens + (now - bucket.filled_at) * rate, _capacity(rate)
        )
        bucket.filled_at = now
        return bucket


class ShareGate:
    """Limits what a node sends without asking a coordinator.

    Each node has one turn in each period of as many requests as there are
    nodes, at a time of its own. A turn that is not used is lost: if turns were
    saved up, all nodes would use theirs at once when the coordinator is lost.

    Args:
        limits: Limits that upstreams name.
        count_nodes: Returns the number of nodes that share a limit.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        limits: UpstreamLimits,
        count_nodes: Callable[[], int],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits
        self._count_nodes = count_nodes
        self._now = now
        # Offset of this node's turns, as a share of the period.
        self._offset = random.random()
        # Number of the last turn that was used, by upstream.
        self._used_turns: dict[tuple[str, int], int] = {}

    def wait_s(self, upstream: UpstreamRecord) -> float:
        """Implements `RateGate`."""
        rate = self.rate_per_s(upstream)
        if rate is None:
            return 0.0
        turn, elapsed_s = self._find_turn(rate)
        turn_s = max(1 / (rate * self._count_nodes()), _MIN_TURN_S)
        is_used = self._used_turns.get(upstream.start) == turn
        if elapsed_s < turn_s and not is_used:
            return 0.0
        return 1 / rate - elapsed_s

    def rate_per_s(self, upstream: UpstreamRecord) -> float | None:
        """Implements `RateGate`."""
        limit = self._limits.per_s(upstream)
        if limit is None:
            return None
        return max(limit, MIN_PER_S) / max(self._count_nodes(), 1)

    def take(self, upstream: UpstreamRecord) -> None:
        """Records a request that is sent to an upstream."""
        rate = self.rate_per_s(upstream)
        if rate is not None:
            self._used_turns[upstream.start], _ = self._find_turn(rate)

    def forget(self, start: tuple[str, int]) -> None:
        """Forgets an upstream whose limit was forgotten.

        Args:
            start: Its id and start time.
        """
        self._used_turns.pop(start, None)

    def _find_turn(self, rate: float) -> tuple[int, float]:
        """Returns the number of the present turn, and its age in seconds."""
        turns = self._now() * rate + self._offset
        turn = math.floor(turns)
        return turn, (turns - turn) / rate


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """What some upstreams take together.

    Attributes:
        per_s: Requests a second.
        next_s: Seconds until one of them takes another request.
    """

    per_s: float
    next_s: float


def join_limits(
    gate: RateGate, upstreams: Iterable[UpstreamRecord]
) -> RateLimit | None:
    """Returns what some upstreams take together.

    None if one of them takes all, or if there are none.
    """
    per_s = 0.0
    next_s = math.inf
    for upstream in upstreams:
        rate = gate.rate_per_s(upstream)
        if rate is None:
            return None
        per_s += rate
        next_s = min(next_s, gate.wait_s(upstream))
    return RateLimit(per_s, next_s) if per_s else None


def _capacity(rate: float) -> float:
    return _BURST_REQUESTS + _BURST_S * rate
