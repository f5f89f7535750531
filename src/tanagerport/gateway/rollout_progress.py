"""Progress of a rollout: which version a request goes to, and how it ends."""

import dataclasses
from collections.abc import Sequence

import xxhash

from tanagerport.gateway.canary_budget import SAFE_FRACTION, CanaryBudget
from tanagerport.gateway.domain import RolloutOrder
from tanagerport.gateway.rollout_lease import RolloutLease, RolloutState
from tanagerport.gateway.version_evidence import (
    MIN_GOOD_SAMPLES,
    Evidence,
    Verdict,
)

# Phases, as fractions of the time until the deadline. The new version gets at
# most the canary budget until _CANARY_END. If it is good then, it gets all
# traffic from _FULL_TRAFFIC_START on, so that long streams of the old version
# have time to end. The rollout is completed as soon as they have ended, and no
# later than _LATEST_COMPLETION. One without a verdict by _LATEST_DECISION is
# reverted.
_CANARY_END = 0.5
_FULL_TRAFFIC_START = 0.65
_LATEST_COMPLETION = 0.88
_LATEST_DECISION = 0.92
# Minimum duration of a rollout for these fractions, in seconds.
_MIN_DURATION_S = 1.0
# Time for which a version has to be good, in seconds, before it may exceed its
# budget: its first answers are the fast ones.
_MIN_SOAK_S = 2.0
# Time for which a version has to be good, in seconds, before it takes the place
# of an old version that is gone. The slow answers of a bad version arrive after
# its good ones; the longest target of a route is a few seconds.
_MIN_STAND_IN_SOAK_S = 5.0


@dataclasses.dataclass(slots=True)
class Rollout:
    """State of one rollout as this node knows it.

    Attributes:
        order: The operator's order, as last written.
        order_id: Store version under which the order was first read. All nodes
            use the one in the lease.
        started_s: Start on the store's clock, in seconds; None until the
            store's time is known.
        evidence: Counts of the answers of both versions.
        budget: Counts of the requests to both versions.
        state: State of the rollout.
        is_confirmed: Whether the state has been read from or written to the
            store, here or by a node that reported it.
        good_since: Monotonic time since which the version is good; None while
            it isn't.
        replaced: Versions in use when the order was given, by the ends of the
            orders before; empty if they are not known.
        followed_s: Start of the rollout that this one followed at this node, on
            the store's clock, in seconds; 0 if it followed none.
        is_stand_in: Whether the new version has taken the place of an old one
            that is gone.
        has_lost_old_version: Whether no upstream of the old version is known.
        old_version: One of the versions that are replaced, once it was seen.
    """

    order: RolloutOrder
    order_id: int
    started_s: float | None
    evidence: Evidence
    budget: CanaryBudget
    state: RolloutState = RolloutState.IN_PROGRESS
    is_confirmed: bool = False
    good_since: float | None = None
    replaced: Sequence[str] = ()
    followed_s: float = 0.0
    is_stand_in: bool = False
    has_lost_old_version: bool = False
    old_version: str | None = None

    @property
    def is_return(self) -> bool:
        """Whether the order is for a version that is in use already.

        The order before, for another version, was not completed, or this one
        repeats a completed order.
        """
        return self.order.version in self.replaced

    @property
    def in_use(self) -> Sequence[str]:
        """Versions in use as far as it has come; empty if not known."""
        if self.state is RolloutState.COMPLETED:
            return (self.order.version,)
        return self.replaced

    @property
    def is_good(self) -> bool:
        """Whether the answers show that the new version is good."""
        return self.evidence.evaluate() is Verdict.GOOD

    def elapsed_fraction(self, now_s: float) -> float:
        """Returns the elapsed fraction of the time until the deadline.

        Args:
            now_s: Time on the store's clock, in seconds.
        """
        if self.started_s is None:
            return 0.0
        return (now_s - self.started_s) / max(
            self.order.duration_s, _MIN_DURATION_S
        )

    def next_phase_s(self, now_s: float) -> float:
        """Returns the seconds until the next phase; infinite after the last.

        Args:
            now_s: Time on the store's clock, in seconds.
        """
        duration_s = max(self.order.duration_s, _MIN_DURATION_S)
        for phase in (
            _FULL_TRAFFIC_START,
            _LATEST_COMPLETION,
            _LATEST_DECISION,
        ):
            wait_s = (phase - self.elapsed_fraction(now_s)) * duration_s
            if wait_s > 0:
                return wait_s
        return float("inf")

    def is_ordered_by(self, order: RolloutOrder, now_s: float) -> bool:
        """Returns whether an order is that of this rollout, written again.

        An operator that got no answer writes its order once more. The same
        version ordered after the deadline is a new rollout.

        Args:
            order: Order that was read.
            now_s: Time on the store's clock, in seconds.
        """
        return (
            order.version == self.order.version
            and order.duration_s == self.order.duration_s
            and self.elapsed_fraction(now_s) < 1
        )

    def is_leased_by(self, lease: RolloutLease, now_s: float) -> bool:
        """Returns whether a lease is that of this rollout.

        The order may have been written again since.

        Args:
            lease: Lease that was read.
            now_s: Time on the store's clock, in seconds.
        """
        if lease.order_version == self.order_id:
            # In another era of the store, another order may have this number.
            return lease.version in ("", self.order.version)
        return lease.version == self.order.version and (
            self.order.is_lost
            or lease.written_version == self.order.row_version
            or now_s < lease.deadline_s
        )

    def takes_new_version(
        self,
        request_id: str,
        has_old_version: bool,
        canary_share: float,
        now_s: float,
        now: float,
    ) -> bool:
        """Returns whether a request goes to the new version.

        Args:
            request_id: Id of the request.
            has_old_version: Whether the old version has upstreams to take it.
            canary_share: Share of the requests during the canary phase.
            now_s: Time on the store's clock, in seconds.
            now: Monotonic time, in seconds.
        """
        elapsed = self.elapsed_fraction(now_s)
        share = canary_share * SAFE_FRACTION
        is_trusted = self._is_trusted(elapsed, has_old_version, now)
        if is_trusted:
            ramp = (elapsed - _CANARY_END) / (_FULL_TRAFFIC_START - _CANARY_END)
            share = max(ramp, share)
        elif elapsed >= _FULL_TRAFFIC_START:
            share = 1.0
        if has_old_version and _draw(request_id) >= share:
            return False
        return is_trusted or self.budget.allows_request()

    def note_verdict(self, now: float) -> None:
        """Records since when the new version is good.

        Args:
            now: Monotonic time, in seconds.
        """
        if not self.is_good:
            self.good_since = None
        elif self.good_since is None:
            self.good_since = now

    def _is_trusted(
        self, elapsed: float, has_old_version: bool, now: float
    ) -> bool:
        """Returns whether the new version may exceed the canary budget."""
        if has_old_version:
            self.is_stand_in = False
        self.note_verdict(now)
        if self.good_since is None:
            # Without a bad verdict, the only version that is left goes on.
            return self.is_stand_in
        is_past_canary = elapsed >= _CANARY_END and self._has_soaked(now)
        if not has_old_version and (
            is_past_canary or now - self.good_since >= _MIN_STAND_IN_SOAK_S
        ):
            self.is_stand_in = True
        return self.is_stand_in or is_past_canary

    def _has_soaked(self, now: float) -> bool:
        """Returns whether the new version has been good for long enough."""
        return (
            self.good_since is not None and now - self.good_since >= _MIN_SOAK_S
        )

    def next_state(
        self,
        now_s: float,
        now: float,
        has_new_version: bool,
        is_old_version_idle: bool,
    ) -> RolloutState:
        """Returns the state that the holder of the lease is to write.

        Args:
            now_s: Time on the store's clock, in seconds.
            now: Monotonic time, in seconds.
            has_new_version: Whether the new version has upstreams.
            is_old_version_idle: Whether no request is in progress at the old
                version.
        """
        if self.state is not RolloutState.IN_PROGRESS:
            return self.state
        elapsed = self.elapsed_fraction(now_s)
        if elapsed < _FULL_TRAFFIC_START:
            return RolloutState.IN_PROGRESS
        self.note_verdict(now)
        if has_new_version and self._has_soaked(now):
            if is_old_version_idle or elapsed >= _LATEST_COMPLETION:
                return RolloutState.COMPLETED
            return RolloutState.IN_PROGRESS
        if elapsed < _LATEST_COMPLETION:
            return RolloutState.IN_PROGRESS
        if has_new_version and (self.is_stand_in or self._has_little_traffic()):
            # There is nothing to go back to, or there are too few answers for a
            # verdict, which is no reason against the version.
            return RolloutState.COMPLETED
        if elapsed < _LATEST_DECISION:
            return RolloutState.IN_PROGRESS
        if has_new_version and self.is_good:
            return RolloutState.COMPLETED
        return RolloutState.REVERTED

    def _has_little_traffic(self) -> bool:
        """Returns whether the service has too few requests for a verdict.

        The canary share of its requests is less than a verdict takes, and most
        answers of the new version were good. Requests that the new version got
        and hasn't answered are no lack of traffic.
        """
        answers = self.evidence.new_answers
        known = self.budget.known
        return (
            max(
                self.budget.canary_share * known.total,
                answers.total,
                known.new,
            )
            < MIN_GOOD_SAMPLES
            and 2 * (answers.failed + answers.slow) <= answers.total
        )


def _draw(request_id: str) -> float:
    """Returns a number from 0 to 1 that is the same at all nodes."""
    return xxhash.xxh32_intdigest(request_id) / 2**32
