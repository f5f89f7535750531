"""Tests of `tanagerport.leases`."""

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from faulty_table import FaultyTable
from tanagerport.clock import FakeClock
from tanagerport.exceptions import (
    LeaseLostError,
    OutcomeUnknownError,
    PlatformError,
    StoreUnavailableError,
)
from tanagerport.leases import Lease, LeaseManager, takeover_wait_s

_LEASE_S = 10.0
_ORDER_S = 2.0
_NAME = "move/tutor"


class _Setup:
    def __init__(self) -> None:
        self.clock = FakeClock()
        self.table = FaultyTable()
        self.first, self.second = (
            LeaseManager(self.table, self.clock, _ORDER_S, name)
            for name in ("first", "second")
        )

    def acquire_first(self) -> Lease:
        lease = self.first.acquire(_NAME, "node-1", _LEASE_S)
        assert lease is not None
        return lease

    def take_over(self) -> Lease | None:
        return self.second.acquire(_NAME, "node-2", _LEASE_S)


@pytest.fixture(name="setup")
def _setup() -> _Setup:
    return _Setup()


class TestLeaseManager:
    """Guards against two holders that may act at the same time."""

    def test_new_holder_waits_out_lease_drift_and_order(
        self, setup: _Setup
    ) -> None:
        """Guards against an order of the old holder that still runs."""
        lease = setup.acquire_first()
        assert setup.take_over() is None
        setup.clock.advance(_LEASE_S + _ORDER_S)
        assert not lease.is_safe(0.0)
        assert setup.take_over() is None
        setup.clock.advance(0.2)
        taken = setup.take_over()
        assert taken is not None
        assert taken.token == lease.token + 1

    def test_paused_holder_learns_that_it_lost(self, setup: _Setup) -> None:
        """Guards against a holder that resumes late and goes on."""
        lease = setup.acquire_first()
        setup.take_over()
        setup.clock.advance(takeover_wait_s(_LEASE_S, _ORDER_S) + 0.001)
        assert setup.take_over() is not None
        with pytest.raises(LeaseLostError):
            setup.first.renew(lease)
        assert not lease.is_safe(2.0)

    def test_renewal_keeps_token_and_restarts_the_wait(
        self, setup: _Setup
    ) -> None:
        lease = setup.acquire_first()
        for _ in range(5):
            setup.clock.advance(_LEASE_S * 0.9)
            assert setup.take_over() is None
            lease = setup.first.renew(lease)
        assert lease.token == 1
        assert lease.is_safe(2.0)

    def test_release_lets_the_next_holder_start_at_once(
        self, setup: _Setup
    ) -> None:
        lease = setup.acquire_first()
        setup.first.release(lease)
        taken = setup.take_over()
        assert taken is not None
        assert taken.token == 2

    @pytest.mark.parametrize("renews", [False, True])
    def test_lost_answer_is_settled_by_reading_back(
        self, setup: _Setup, renews: bool
    ) -> None:
        """Guards against a holder that gives up a lease that it has."""
        lease = setup.acquire_first() if renews else None
        setup.table.lose_next(applied=True)
        lease = setup.first.renew(lease) if lease else setup.acquire_first()
        assert lease.token == 1
        assert setup.first.renew(lease).token == 1

    def test_lost_write_counts_from_before_it_was_sent(
        self, setup: _Setup
    ) -> None:
        """Guards against an end that lies after others' wait."""
        sent_at = setup.clock.monotonic()
        setup.table.on_write = lambda: setup.clock.advance(3.0)
        lease = setup.acquire_first()
        assert lease.expires_at == sent_at + _LEASE_S

    def test_write_that_may_still_arrive_is_unknown(
        self, setup: _Setup
    ) -> None:
        """Guards against a second renewal that meets the late first one."""
        lease = setup.acquire_first()
        setup.table.lose_next(applied=False)
        with pytest.raises(OutcomeUnknownError):
            setup.first.renew(lease)
        setup.table.deliver_late()
        assert setup.first.renew(lease).token == lease.token

    def test_restarted_process_of_the_same_name_waits(
        self, setup: _Setup
    ) -> None:
        """Guards against a restart that shares its predecessor's token."""
        setup.acquire_first()
        restarted = LeaseManager(setup.table, setup.clock, _ORDER_S)
        assert restarted.acquire(_NAME, "node-1", _LEASE_S) is None

    def test_store_outage_keeps_the_old_end(self, setup: _Setup) -> None:
        lease = setup.acquire_first()
        setup.table.down = True
        with pytest.raises(StoreUnavailableError):
            setup.first.renew(lease)
        assert lease.remaining_s == _LEASE_S


class _LeaseMachine(RuleBasedStateMachine):
    """Two holders with pauses, outages and lost answers.

    Each holder's clock runs at its own rate, within the stated drift. An
    order takes effect up to the order timeout after it was sent.
    """

    manager_type: type[LeaseManager] = LeaseManager
    rates = (0.9995, 1.009)

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table = FaultyTable()
        self.clocks = [FakeClock() for _ in self.rates]
        self.managers = [
            self.manager_type(self.table, clock, _ORDER_S, f"instance-{index}")
            for index, clock in enumerate(self.clocks)
        ]
        self.held: dict[int, Lease] = {}
        # Latest real time at which an order of a token may take effect.
        self.effective_until: dict[int, float] = {}
        self.holder_of: dict[int, int] = {}
        self.overlaps: list[tuple[int, int]] = []

    @rule(seconds=st.sampled_from([0.5, 9.0, 12.01, 13.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for clock, rate in zip(self.clocks, self.rates, strict=True):
            clock.advance(seconds * rate)
        self._send_orders()

    @rule(index=st.integers(0, 1))
    def acquire(self, index: int) -> None:
        try:
            lease = self.managers[index].acquire(
                _NAME, f"node-{index}", _LEASE_S
            )
        except PlatformError:
            return
        if lease is not None:
            self.held[index] = lease
            self._send_orders()

    @rule(index=st.integers(0, 1), seconds=st.sampled_from([9.0, 12.2]))
    def wait_for_takeover(self, index: int, seconds: float) -> None:
        """Polls twice, as a node does that wants the lease."""
        self.acquire(index)
        self.pass_time(seconds)
        self.acquire(index)

    @rule(index=st.integers(0, 1))
    def renew(self, index: int) -> None:
        if index not in self.held:
            return
        try:
            self.held[index] = self.managers[index].renew(self.held[index])
        except LeaseLostError:
            del self.held[index]
        except PlatformError:
            pass

    def _send_orders(self) -> None:
        for index, lease in self.held.items():
            if lease.is_safe(0.0):
                self._send_order(index, lease)

    def _send_order(self, index: int, lease: Lease) -> None:
        """Sends an order that may take effect for the order timeout."""
        for token, until in self.effective_until.items():
            if token > lease.token or (
                token < lease.token and until > self.now
            ):
                self.overlaps.append((token, lease.token))
        self.effective_until[lease.token] = self.now + _ORDER_S
        assert self.holder_of.setdefault(lease.token, index) == index

    @rule(applied=st.booleans())
    def lose_next_answer(self, applied: bool) -> None:
        self.table.lose_next(applied)

    @rule()
    def deliver_late_write(self) -> None:
        self.table.deliver_late()

    @rule(index=st.integers(0, 1))
    def try_during_outage(self, index: int) -> None:
        self.table.down = True
        self.renew(index)
        self.acquire(index)
        self.table.down = False

    @invariant()
    def tokens_never_overlap(self) -> None:
        assert not self.overlaps


class _ImpatientManager(LeaseManager):
    """Planted bug: takes a lease over without waiting for it to end."""

    def _waited_out(self, *_: object) -> bool:
        return True


class _LateCountingManager(LeaseManager):
    """Planted bug: a settled renewal counts from when it was settled."""

    def renew(self, lease: Lease) -> Lease:
        renewed = super().renew(lease)
        late_s = 0.5 * _LEASE_S
        object.__setattr__(renewed, "expires_at", renewed.expires_at + late_s)
        return renewed


_MACHINE_SETTINGS = settings(max_examples=150, stateful_step_count=40)
# Shrinking would only make the expected failure shorter.
_PLANTED_SETTINGS = settings(
    _MACHINE_SETTINGS, max_examples=600, phases=[Phase.generate]
)


class TestLeaseStateMachine:
    """Guards against overlap of holders in any order of events."""

    def test_orders_of_two_tokens_never_overlap(self) -> None:
        run_state_machine_as_test(_LeaseMachine, settings=_MACHINE_SETTINGS)

    @pytest.mark.parametrize(
        "manager", [_ImpatientManager, _LateCountingManager]
    )
    def test_machine_finds_a_planted_bug(
        self, manager: type[LeaseManager]
    ) -> None:
        """Guards against a machine that can't fail."""

        class Planted(_LeaseMachine):
            manager_type = manager

        with pytest.raises(AssertionError):
            run_state_machine_as_test(Planted, settings=_PLANTED_SETTINGS)
