"""Slots that this node uses at each upstream, and its observations of it."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from tanagerport.estimates import SpeedEstimator
from tanagerport.interfaces import LoadReport
from tanagerport.limits import SampleCounts
from tanagerport.model import VM, UpstreamKind, VMRole, VMState
from tanagerport.scheduler import DispatchControl, DispatchProgress, Placement
from tanagerport.slots import TIERS

# A class that was last dispatched longer ago doesn't contribute to the target
# token interval of an upstream.
_CLASS_MAX_AGE_S = 60.0
# A node with at least this many slots of an upstream reserves one or more of
# them for the top tier.
_MIN_SLOTS_WITH_RESERVE = 3
_SLOTS_PER_RESERVED_SLOT = 8
# Each preemption adds one slot to the reserve. The addition decays with this
# half-life.
_EXTRA_RESERVE_HALF_LIFE_S = 3.0


@dataclasses.dataclass(eq=False)
class Dispatch:
    """A dispatch in progress.

    Attributes:
        placement: Slot that the dispatch holds.
        uncached_tokens: Prompt tokens that are not expected in the cache.
        expected_cached_bytes: Prompt bytes that are expected in the cache.
        hashes: Hashes of the blocks of the prompt.
        cost: Tokens that were charged to the customer.
        slot_seconds: Expected time in seconds that the slot is held.
        started_at: Monotonic time in seconds of the dispatch.
        control: Control over the dispatch; None until the pipeline attaches
            it.
        progress: Progress of the dispatch; None if it is not available.
        holds_slot: Whether the dispatch counts as a slot in use.
        is_paused: Whether the dispatch is paused and waits to be resumed.
        is_changing: Whether a pause, resume or cancel is in progress.
        failed_pauses: Number of pauses that the upstream did not confirm.
        paused_at: Monotonic time in seconds of the last pause, or 0.
    """

    placement: Placement
    uncached_tokens: float
    expected_cached_bytes: float
    hashes: Sequence[int]
    cost: float
    slot_seconds: float
    started_at: float
    control: DispatchControl | None = None
    progress: DispatchProgress | None = None
    holds_slot: bool = True
    is_paused: bool = False
    is_changing: bool = False
    failed_pauses: int = 0
    paused_at: float = 0.0
    first_token_sampled: bool = False
    late_sampled_at: float = 0.0
    sampled_tokens: int = 0
    sampled_at: float = 0.0

    @property
    def tier(self) -> int:
        """Tier of the request."""
        return self.placement.request.work_class.tier

    @property
    def is_generation(self) -> bool:
        """Whether an engine generates the answer."""
        return self.placement.request.work_class.kind is UpstreamKind.ENGINE


class UpstreamUse:
    """Use of one upstream by this node. Not safe for concurrent use.

    Args:
        vm: VM of the upstream.
    """

    def __init__(self, vm: VM) -> None:
        self.vm = vm
        self.load: LoadReport | None = None
        self.load_weight = 0.0
        self.usable = 0
        self.in_use_by_tier = [0] * TIERS
        self.in_use = 0
        self.dispatches: dict[int, Dispatch] = {}
        self.paused: list[Dispatch] = []
        self.speed = SpeedEstimator()
        self.samples = SampleCounts()
        self.reports_cache = False
        # Until this time no lower tier is dispatched here, because a peer
        # reclaimed a slot for a top-tier request.
        self.lower_tiers_blocked_until = 0.0
        # Time at which all slots available to lower tiers were last in use.
        self.full_at = float("-inf")
        self._extra_reserve = 0.0
        self._extra_reserve_updated_at = 0.0
        # Served versions by (model, version) of the request; cleared on each
        # refresh.
        self.versions: dict[tuple[str, str], str | None] = {}
        self._interval_targets: dict[str, tuple[float, float]] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream must not get new requests."""
        return self.vm.state is VMState.LEAVING or (
            self.load is not None and self.load.leaving
        )

    @property
    def is_engine(self) -> bool:
        """Whether the upstream is an engine."""
        return self.vm.role is VMRole.ENGINE

    @property
    def free(self) -> int:
        """Number of slots free for the top tier."""
        return self.usable - self.in_use

    @property
    def reserve(self) -> int:
        """Number of slots that are reserved for the top tier."""
        if not self.is_engine or self.usable < _MIN_SLOTS_WITH_RESERVE:
            return 0
        base = max(1, self.usable // _SLOTS_PER_RESERVED_SLOT)
        return min(base + int(self._extra_reserve), self.usable // 2)

    def record_preemption(self, now: float) -> None:
        """Enlarges the reserve, because too many lower tiers were admitted.

        A paused generation may miss its deadline, and then its prefill was
        wasted.
        """
        self.decay_extra_reserve(now)
        self._extra_reserve += 1.0

    def decay_extra_reserve(self, now: float) -> None:
        """Decays the extra reserve exponentially with time."""
        if self._extra_reserve:
            age_s = now - self._extra_reserve_updated_at
            self._extra_reserve *= 0.5 ** (age_s / _EXTRA_RESERVE_HALF_LIFE_S)
        self._extra_reserve_updated_at = now

    @property
    def lower_tier_running(self) -> int:
        """Number of lower-tier requests that hold a slot."""
        return self.in_use - self.in_use_by_tier[0]

    def meets_interval_target(self, interval_target_s: float) -> bool:
        """Returns whether the observed token interval meets a target.

        Services and upstreams without observations meet any target.
        """
        return (
            not self.speed.is_known
            or not self.is_engine
            or self.speed.interval_s <= interval_target_s
        )

    def is_free_for(self, tier: int, now: float) -> bool:
        """Returns whether a request of a tier may be dispatched now."""
        if tier == 0:
            return self.free > 0
        return (
            self.free > self.reserve and now >= self.lower_tiers_blocked_until
        )

    def acquire_slot(self, dispatch: Dispatch, now: float) -> None:
        """Counts a slot as held by a dispatch."""
        dispatch.holds_slot = True
        self.in_use_by_tier[dispatch.tier] += 1
        self.in_use += 1
        if self.free <= self.reserve:
            self.full_at = now

    def release_slot(self, dispatch: Dispatch) -> None:
        """Releases the slot of a dispatch, if it holds one."""
        if dispatch.holds_slot:
            dispatch.holds_slot = False
            self.in_use_by_tier[dispatch.tier] -= 1
            self.in_use -= 1

    def victims(self, model: str | None = None) -> Iterator[Dispatch]:
        """Yields the lower-tier generations that may be preempted.

        Args:
            model: Model that needs a slot; None for any.
        """
        for dispatch in self.dispatches.values():
            if (
                dispatch.tier > 0
                and dispatch.holds_slot
                and dispatch.is_generation
                and (
                    model is None
                    or dispatch.placement.request.work_class.model == model
                    or model in self.vm.serves
                )
            ):
                yield dispatch

    def record_class(self, name: str, interval_s: float, now: float) -> None:
        """Records the target token interval of a class dispatched here."""
        self._interval_targets[name] = (interval_s, now)

    def interval_target_s(self, now: float) -> float:
        """Returns the strictest target token interval of recent classes."""
        recent = [
            target
            for target, seen_at in self._interval_targets.values()
            if now - seen_at <= _CLASS_MAX_AGE_S
        ]
        return min(recent, default=float("inf"))


def describe_use(use: UpstreamUse) -> Mapping[str, Any]:
    """Returns the use and speed of an upstream for the status."""
    base_s, prefill_s, interval_s = use.speed.parameters
    return {
        "usable": use.usable,
        "in_use": list(use.in_use_by_tier),
        "paused": len(use.paused),
        "leaving": use.is_leaving,
        "first_token_s": round(base_s, 4),
        "prefill_s_per_token": round(prefill_s, 6),
        "token_interval_s": round(interval_s, 5),
    }
