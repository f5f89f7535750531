"""Limits of requests that upstreams name in their answers."""

import dataclasses
import re
import time
from collections.abc import Callable, Iterable

import msgspec

from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.untrusted_data import Integer, Seconds

# A higher limit is taken as this. No upstream gets as many requests.
_MAX_PER_S = 1e6
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# Longest value that is read, in bytes.
_MAX_VALUE_BYTES = 64
# Time for which the end of a limit is reported, in seconds. By then all nodes
# have had several reports, also across regions.
_ENDED_LIFETIME_S = 10.0
# Time for which the limit of an upstream that isn't listed is kept, in seconds:
# as long as deleted rows are remembered.
_UNLISTED_LIFETIME_S = 60.0
# Limits in one report; the newest ones go first.
_MAX_REPORTED = 48
# A fleet has a few thousand upstreams.
_MAX_KNOWN = 8192


class ReportedLimit(msgspec.Struct, array_like=True, frozen=True):
    """What a node read in the last answer of an upstream.

    Attributes:
        upstream_id: The upstream.
        started_ms: Its start in Unix milliseconds; the limit is that of this
            start only.
        per_s: Requests a second; None if it named no limit any more.
        age_s: Seconds since the answer.
    """

    upstream_id: str
    started_ms: Integer
    per_s: Seconds | None
    age_s: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimit:
    """What is known of the limit of an upstream.

    Attributes:
        per_s: Requests a second; None after its end.
        since: Monotonic time since which this value holds, in seconds.
        read_at: Monotonic time of the answer that named it last, in seconds.
        source: Name of the node that read it.
    """

    per_s: float | None
    since: float
    read_at: float
    source: str


def parse_limit(values: Iterable[bytes]) -> float | None:
    """Returns the lowest of the limits, in requests a second.

    Args:
        values: Members of the header field. One that is no decimal number
            without sign and exponent, or longer than 64 bytes, is ignored.

    Returns:
        The limit; None if no value is valid.
    """
    limits = [
        float(value)
        for value in values
        if len(value) <= _MAX_VALUE_BYTES and _DECIMAL.fullmatch(value)
    ]
    return min([*limits, _MAX_PER_S]) if limits else None


class UpstreamLimits:
    """Limits that upstreams named to this node or to others.

    The last answer of an upstream counts, whichever node got it. A limit holds
    for one start of an upstream.

    Args:
        node: Name of this node.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self, node: str, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._node = node
        self._now = now
        self._limits: dict[tuple[str, int], NamedLimit] = {}
        # What this node read last, which others may have superseded.
        self._own: dict[tuple[str, int], NamedLimit] = {}
        # Monotonic time at which an upstream was last listed, in seconds.
        self._listed_at: dict[tuple[str, int], float] = {}

    @property
    def size(self) -> int:
        """Number of upstreams that name a limit."""
        return sum(named.per_s is not None for named in self._limits.values())

    def limited_ids(self) -> list[str]:
        """Returns the ids of the upstreams that name a limit."""
        return [
            upstream_id
            for (upstream_id, _), named in self._limits.items()
            if named.per_s is not None
        ]

    def per_s(self, upstream: UpstreamRecord) -> float | None:
        """Returns the limit of an upstream, in requests a second, if any."""
        if not self._limits:
            return None
        named = self._limits.get(upstream.start)
        return None if named is None else named.per_s

    def get(self, upstream: UpstreamRecord) -> NamedLimit | None:
        """Returns what is known of the limit of an upstream."""
        return self._limits.get(upstream.start)

    def record(self, upstream: UpstreamRecord, per_s: float | None) -> bool:
        """Records an answer of an upstream; returns whether its limit changed.

        Args:
            upstream: The upstream.
            per_s: Limit that it named, in requests a second; None for none.
        """
        return self._update(upstream.start, per_s, self._now(), self._node)

    def report(self) -> list[ReportedLimit]:
        """Returns what this node read last, for its report."""
        if not self._limits:
            return []
        now = self._now()
        own = sorted(self._own.items(), key=lambda entry: -entry[1].read_at)
        return [
            ReportedLimit(*start, named.per_s, round(now - named.read_at, 3))
            for start, named in own[:_MAX_REPORTED]
        ]

    def apply_report(self, node: str, limits: Iterable[ReportedLimit]) -> None:
        """Applies what another node read."""
        now = self._now()
        for limit in limits:
            per_s = limit.per_s
            if per_s is not None:
                per_s = min(max(per_s, 0.0), _MAX_PER_S)
            self._update(
                (limit.upstream_id, limit.started_ms),
                per_s,
                now - max(limit.age_s, 0.0),
                node,
            )

    def remove_expired(
        self, find_upstream: Callable[[str], UpstreamRecord | None]
    ) -> list[tuple[str, int]]:
        """Forgets limits that ended, or whose upstreams were gone, for a while.

        The row of an upstream lapses while it can't reach the store. It still
        takes no more requests when it is listed again.

        Args:
            find_upstream: Returns a listed upstream by its id.

        Returns:
            Ids and start times of the upstreams whose limits were forgotten.
        """
        now = self._now()
        forgotten = []
        for start, named in self._limits.items():
            upstream = find_upstream(start[0])
            if upstream is not None and upstream.start == start:
                self._listed_at[start] = now
            known_at = max(
                self._listed_at.setdefault(start, now), named.read_at
            )
            if (
                known_at < now - _UNLISTED_LIFETIME_S
                if named.per_s is not None
                else named.read_at < now - _ENDED_LIFETIME_S
            ):
                forgotten.append(start)
        for start in forgotten:
            del self._limits[start]
            del self._listed_at[start]
            self._own.pop(start, None)
        return forgotten

    def _update(
        self,
        start: tuple[str, int],
        per_s: float | None,
        read_at: float,
        source: str,
    ) -> bool:
        known = self._limits.get(start)
        if known is None:
            if per_s is None:
                return False
        elif known.read_at >= read_at:
            return False
        has_changed = known is None or known.per_s != per_s
        since = read_at if has_changed or known is None else known.since
        named = NamedLimit(per_s, since, read_at, source)
        self._limits[start] = named
        if source == self._node:
            self._own[start] = named
        if len(self._limits) > _MAX_KNOWN:
            oldest = next(iter(self._limits))
            del self._limits[oldest]
            self._own.pop(oldest, None)
            self._listed_at.pop(oldest, None)
        return has_changed
