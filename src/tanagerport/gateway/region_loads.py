"""Loads of the upstreams of all regions, as one coordinator knows them."""

import dataclasses
import time
from collections.abc import Callable

from tanagerport.gateway.lease_table import LeaseTable
from tanagerport.gateway.slot_messages import RegionSummary
from tanagerport.gateway.upstream_load import UpstreamLoad

# A summary is not used for longer, as slots are taken and freed within tenths
# of a second. Summaries are sent every 0.1 s.
_SUMMARY_LIFETIME_S = 0.6


@dataclasses.dataclass(slots=True)
class _Region:
    start: int
    sequence: int
    expires_at: float
    loads: dict[str, UpstreamLoad]
    is_saturated: bool


class RegionLoads:
    """Own leases, and the summaries of the other regions' coordinators.

    Implements `LoadSource`.

    Args:
        leases: Slots in use at the upstreams of the own region.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self, leases: LeaseTable, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._leases = leases
        self._now = now
        self._regions: dict[tuple[str, str], _Region] = {}

    def apply_summary(self, summary: RegionSummary) -> bool:
        """Applies a summary; returns whether it is new."""
        key = (summary.service, summary.region)
        known = self._regions.get(key)
        if (
            known is not None
            and known.start == summary.start
            and known.sequence >= summary.sequence
        ):
            return False
        self._regions[key] = _Region(
            summary.start,
            summary.sequence,
            self._now() + _SUMMARY_LIFETIME_S,
            {
                upstream.upstream_id: UpstreamLoad(
                    upstream.requests, upstream.pending_prompt_tokens
                )
                for upstream in summary.upstreams
            },
            summary.is_saturated,
        )
        return True

    def is_usable(self, service: str, region: str, upstream_id: str) -> bool:
        """Returns whether an upstream of another region may have a slot."""
        known = self._regions.get((service, region))
        return (
            known is not None
            and not known.is_saturated
            and known.expires_at > self._now()
            and upstream_id in known.loads
        )

    def record_redirect(
        self, service: str, region: str, upstream_id: str, prompt_tokens: int
    ) -> None:
        """Counts a request that was sent to another region.

        It is not yet part of that region's last summary.
        """
        known = self._regions.get((service, region))
        if known is not None and upstream_id in known.loads:
            known.loads[upstream_id].requests += 1
            known.loads[upstream_id].pending_prompt_tokens += prompt_tokens

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Implements `LoadSource`."""
        for region in self._regions.values():
            load = region.loads.get(upstream_id)
            if load is not None:
                return load
        return self._leases.load(upstream_id)

    def may_claim_slot(self, upstream_id: str, free_slots: int) -> bool:
        """Implements `LoadSource`."""
        del upstream_id
        return free_slots > 0

    def silence_s(self, upstream_id: str) -> float:
        """Implements `LoadSource`; the holders report silent upstreams."""
        del upstream_id
        return 0.0

    def mark_silent(self, upstream_id: str) -> None:
        """Implements `LoadSource`."""
        del upstream_id
