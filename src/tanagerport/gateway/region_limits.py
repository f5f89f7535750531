"""Limits of the upstreams of one region, as their coordinator keeps them."""

import time
from collections.abc import Callable

from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.rate_gates import GrantGate
from tanagerport.gateway.upstream_limits import UpstreamLimits
from tanagerport.gateway.upstream_registry import UpstreamRegistry


class RegionLimits:
    """Gate for the upstreams of a region; others have gates of their own.

    Implements `RateGate`.

    Args:
        limits: Limits that upstreams name.
        registry: Known upstreams.
        is_own: Returns whether an upstream is in the region.
        is_first: Returns whether this node coordinates a service.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        limits: UpstreamLimits,
        registry: UpstreamRegistry,
        is_own: Callable[[UpstreamRecord], bool],
        is_first: Callable[[str], bool],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits
        self._registry = registry
        self._is_own = is_own
        self._is_first = is_first
        self._now = now
        self._gate = GrantGate(limits, now)

    @property
    def has_limits(self) -> bool:
        """Whether any upstream names a limit."""
        return self._limits.size > 0

    def wait_s(self, upstream: UpstreamRecord) -> float:
        """Implements `RateGate`."""
        wait_s = self._gate.wait_s(upstream)
        return wait_s if wait_s and self._is_own(upstream) else 0.0

    def rate_per_s(self, upstream: UpstreamRecord) -> float | None:
        """Implements `RateGate`."""
        rate = self._gate.rate_per_s(upstream)
        return rate if rate and self._is_own(upstream) else None

    def take(self, upstream: UpstreamRecord) -> None:
        """Records a grant."""
        self._gate.take(upstream)

    def give_back(self, upstream: UpstreamRecord) -> None:
        """Records that a grant was not used."""
        self._gate.give_back(upstream)

    def limit_slots(self, upstream: UpstreamRecord, free_slots: int) -> int:
        """Returns how many of its free slots an upstream takes now."""
        if not self._is_own(upstream):
            return free_slots
        return min(free_slots, self._gate.count_tokens(upstream))

    def is_replaced(self, service: str) -> bool:
        """Returns whether another node grants what limited upstreams take.

        Both together would exceed the limits.
        """
        return (
            self.has_limits
            and not self._is_first(service)
            and any(
                self.rate_per_s(upstream) is not None
                for upstream in self._registry.usable(service)
            )
        )

    def update(self) -> None:
        """Forgets ended limits, and what other coordinators may have granted.

        It is called every tenth of a second.
        """
        limited = self._find_limited()
        self._gate.keep_only(limited)
        for upstream in limited:
            if self._is_own(upstream) and not self._is_first(upstream.service):
                self._gate.empty(upstream)

    def describe(self) -> list[dict[str, object]]:
        """Returns the limits in force, of all regions, for operators."""
        now = self._now()
        return [
            {
                "upstream": upstream.upstream_id,
                "service": upstream.service,
                "limit_per_s": named.per_s,
                "since_s": round(now - named.since, 1),
                "read_s_ago": round(now - named.read_at, 1),
                "read_by": named.source,
                "coordinates": self._is_own(upstream)
                and self._is_first(upstream.service),
                "granted_in_4_s": self._gate.count_granted(upstream),
            }
            for upstream in self._find_limited()
            if (named := self._limits.get(upstream)) is not None
        ]

    def _find_limited(self) -> list[UpstreamRecord]:
        return [
            upstream
            for upstream_id in self._limits.limited_ids()
            if (upstream := self._registry.get(upstream_id)) is not None
        ]
