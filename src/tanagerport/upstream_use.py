"""What this node uses and observes of each upstream."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

from tanagerport.estimates import SpeedEstimator
from tanagerport.interfaces import LoadReport
from tanagerport.limits import SampleCounts
from tanagerport.model import VM, UpstreamKind, VMRole, VMState
from tanagerport.scheduler import DispatchControl, DispatchProgress, Placement
from tanagerport.slots import TIERS

# A class that was not seen for this long no longer sets the target of an
# upstream's token interval.
_CLASS_MEMORY_S = 60.0
# Nodes with at least this many slots keep one free of lower tiers.
_MIN_SLOTS_WITH_RESERVE = 3
_SLOTS_PER_RESERVED = 8
# Each preemption reserves one more slot; the addition halves in this time.
_PRESSURE_HALF_LIFE_S = 3.0


@dataclasses.dataclass(eq=False)
class Dispatch:
    """A dispatch in progress.

    Attributes:
        placement: Slot that it holds.
        uncached_tokens: Prompt tokens that are not expected in the cache.
        expected_cached_bytes: Prompt bytes expected in the cache.
        hashes: Blocks of the prompt.
        cost: Tokens that the customer was charged.
        slot_seconds: Expected time that it holds the slot.
        started_at: Monotonic seconds of the dispatch.
        control: Control over it; None until the pipeline attached it.
        progress: What it has produced; None when it can't be told.
        holds_slot: Whether it counts against the slots.
        is_paused: Whether it was paused and waits to be resumed.
        is_changing: Whether a pause, resume or cancel is under way.
        failed_pauses: Pauses that the upstream did not confirm.
        paused_at: Monotonic seconds of the last pause; 0 before the first.
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
        vm: Upstream.
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
        # Lower tiers are held back until then, because a peer's top-tier
        # request asked for a slot.
        self.held_back_until = 0.0
        # When all slots open to lower tiers were last in use.
        self.full_at = float("-inf")
        self._pressure = 0.0
        self._pressed_at = 0.0
        # Versions by (model, version) of the request; reset by each refresh.
        self.versions: dict[tuple[str, str], str | None] = {}
        self._interval_targets: dict[str, tuple[float, float]] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether it must get no new work."""
        return self.vm.state is VMState.LEAVING or (
            self.load is not None and self.load.leaving
        )

    @property
    def is_engine(self) -> bool:
        """Whether it is an engine."""
        return self.vm.role is VMRole.ENGINE

    @property
    def free(self) -> int:
        """Slots free for the top tier."""
        return self.usable - self.in_use

    @property
    def reserve(self) -> int:
        """Slots that lower tiers leave free."""
        if not self.is_engine or self.usable < _MIN_SLOTS_WITH_RESERVE:
            return 0
        base = max(1, self.usable // _SLOTS_PER_RESERVED)
        return min(base + int(self._pressure), self.usable // 2)

    def note_preemption(self, now: float) -> None:
        """Reserves more: too many lower-tier generations were let in.

        A paused generation may not end before its deadline, and then its
        prefill was wasted.
        """
        self.decay_pressure(now)
        self._pressure += 1.0

    def decay_pressure(self, now: float) -> None:
        """Lets the additional reserve shrink with time."""
        if self._pressure:
            age_s = now - self._pressed_at
            self._pressure *= 0.5 ** (age_s / _PRESSURE_HALF_LIFE_S)
        self._pressed_at = now

    @property
    def lower_tier_running(self) -> int:
        """Lower-tier requests in progress."""
        return self.in_use - self.in_use_by_tier[0]

    def is_quick_for(self, interval_target_s: float) -> bool:
        """Returns whether its observed token interval meets a target."""
        return (
            not self.speed.is_known
            or not self.is_engine
            or self.speed.interval_s <= interval_target_s
        )

    def is_free_for(self, tier: int, now: float) -> bool:
        """Returns whether a request of a tier may be dispatched here."""
        if tier == 0:
            return self.free > 0
        return self.free > self.reserve and now >= self.held_back_until

    def take_slot(self, dispatch: Dispatch, now: float) -> None:
        """Counts a dispatch that holds a slot."""
        dispatch.holds_slot = True
        self.in_use_by_tier[dispatch.tier] += 1
        self.in_use += 1
        if self.free <= self.reserve:
            self.full_at = now

    def give_slot(self, dispatch: Dispatch) -> None:
        """Counts out a dispatch; does nothing if it holds no slot."""
        if dispatch.holds_slot:
            dispatch.holds_slot = False
            self.in_use_by_tier[dispatch.tier] -= 1
            self.in_use -= 1

    def victims(self, model: str | None = None) -> Iterator[Dispatch]:
        """Yields lower-tier generations that hold a slot."""
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

    def see_class(self, name: str, interval_s: float, now: float) -> None:
        """Notes a class that is dispatched here."""
        self._interval_targets[name] = (interval_s, now)

    def interval_target_s(self, now: float) -> float:
        """Returns the strictest token interval of recent classes."""
        recent = [
            target
            for target, seen_at in self._interval_targets.values()
            if now - seen_at <= _CLASS_MEMORY_S
        ]
        return min(recent, default=float("inf"))


def describe_use(use: UpstreamUse) -> Mapping[str, Any]:
    """Returns what the status shows of an upstream's use and speed."""
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
