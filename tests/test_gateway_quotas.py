"""Quotas that nodes share."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from tanagerport.clock import FakeClock
from tanagerport.gateway.domain import Customer, WorkEstimate
from tanagerport.gateway.quotas import QuotaLimiter, QuotaRules

CUSTOMER = Customer("acme", (), None, 100.0, 200.0, True, 50)
# 100 a second for 8 s and 200 at once, with half of the tolerance of 200.
ALLOWED = 1100
RULES = QuotaRules(8.0, 200.0)


def _limiter(clock: FakeClock) -> QuotaLimiter:
    limiter = QuotaLimiter(RULES, clock.monotonic)
    limiter.mark_history_known()
    return limiter


def _exchange(clock: FakeClock, limiters: dict[str, QuotaLimiter]) -> None:
    for name, sender in limiters.items():
        report = sender.report()
        for other, receiver in limiters.items():
            if other != name:
                receiver.apply_report(name, sender.uptime_s, report)


class TestUnits:
    """What a request costs."""

    def test_tokens_are_prompt_and_most_output(self) -> None:
        limiter = _limiter(FakeClock())
        assert limiter.request_units(CUSTOMER, WorkEstimate(30, 70, 10)) == 100
        assert limiter.request_units(CUSTOMER, WorkEstimate()) == 50

    def test_requests_count_one(self) -> None:
        limiter = _limiter(FakeClock())
        customer = Customer("acme", (), None, 1.0, 1.0)
        assert limiter.request_units(customer, WorkEstimate(30, 70, 10)) == 1


class TestWindow:
    """Use within any window."""

    def test_refusal_says_when_units_are_back(self) -> None:
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        assert limiter.consume(CUSTOMER, ALLOWED) is None
        clock.advance(3.0)
        assert limiter.consume(CUSTOMER, 100) == pytest.approx(5.0)
        clock.advance(5.1)
        assert limiter.consume(CUSTOMER, 100) is None

    def test_units_of_requests_that_did_not_run_come_back(self) -> None:
        limiter = _limiter(FakeClock(100.0))
        limiter.consume(CUSTOMER, ALLOWED)
        limiter.refund(CUSTOMER, ALLOWED)
        assert limiter.consume(CUSTOMER, ALLOWED) is None

    def test_request_above_the_whole_quota_passes_alone(self) -> None:
        """Guards against requests that could never be served."""
        limiter = _limiter(FakeClock(100.0))
        assert limiter.consume(CUSTOMER, 5 * ALLOWED) is None
        assert limiter.consume(CUSTOMER, 1) is not None

    @hypothesis.given(st.integers(0, 10_000), st.integers(2, 8))
    @hypothesis.settings(max_examples=25)
    def test_no_window_is_overrun_by_all_nodes_together(
        self, seed: int, nodes: int
    ) -> None:
        """A customer sends four times its quota to all nodes at once."""
        rng = random.Random(seed)
        clock = FakeClock(100.0)
        limiters = {f"n{index}": _limiter(clock) for index in range(nodes)}
        _exchange(clock, limiters)
        taken: list[tuple[float, int]] = []
        for _ in range(200):
            clock.advance(0.1)
            for limiter in limiters.values():
                units = rng.randrange(5, 80)
                if (
                    rng.random() < 0.5
                    and limiter.consume(CUSTOMER, units) is None
                ):
                    taken.append((clock.monotonic(), units))
            _exchange(clock, limiters)
        # Reports are 0.1 s old, so each node may give out one request more.
        slack = 80 * nodes
        for start, _ in taken:
            used = sum(
                units for at, units in taken if start <= at < start + 8.0
            )
            assert used <= ALLOWED + slack


class TestRestart:
    """Nodes that start while customers use their quota."""

    def test_starting_node_takes_the_use_from_the_others(self) -> None:
        clock = FakeClock(100.0)
        old = _limiter(clock)
        clock.advance(20.0)
        old.consume(CUSTOMER, ALLOWED)
        new = QuotaLimiter(RULES, clock.monotonic)
        new.apply_report("old", old.uptime_s, old.report())
        assert new.consume(CUSTOMER, 100) is not None

    def test_nothing_is_given_out_before_the_past_is_known(self) -> None:
        """Guards against a quota that is used twice over a kill of all."""
        limiter = QuotaLimiter(RULES, FakeClock(100.0).monotonic)
        limiter.import_usage([])
        other = QuotaLimiter(RULES, FakeClock(100.0).monotonic)
        assert limiter.consume(CUSTOMER, 10) is None
        other.consume(CUSTOMER, 10)
        assert other.consume(CUSTOMER, 10) is not None

    def test_checkpoint_carries_use_over_a_kill_of_all_nodes(self) -> None:
        clock = FakeClock(100.0)
        old = _limiter(clock)
        old.consume(CUSTOMER, ALLOWED)
        clock.advance(2.0)
        checkpoint = old.usage_near_quota()
        assert [use.customer for use in checkpoint] == ["acme"]
        new = QuotaLimiter(RULES, clock.monotonic)
        new.import_usage(checkpoint)
        assert new.consume(CUSTOMER, 100) is not None
        clock.advance(8.0)
        assert new.consume(CUSTOMER, 100) is None

    def test_adopted_use_leaves_the_window_evenly(self) -> None:
        """Guards against a step of free quota that all nodes take at once.

        A quarter of a window that left at once let a customer use 1.17 times
        the bound 2.5 s after a kill of all nodes.
        """
        clock = FakeClock(100.0)
        old = _limiter(clock)
        for _ in range(80):
            clock.advance(0.1)
            old.consume(CUSTOMER, ALLOWED / 81)
        new = QuotaLimiter(RULES, clock.monotonic)
        new.import_usage(old.report())
        free = 0.0
        for _ in range(80):
            clock.advance(0.1)
            use = new.report()[0]
            now_free = ALLOWED - sum(use.recent)
            assert now_free - free <= ALLOWED / 40
            free = now_free

    def test_reserve_for_other_nodes_leaves_the_quota_itself(self) -> None:
        """Guards against refusals within the quota."""
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        for number in range(7):
            limiter.apply_report(f"n{number}", 100.0, [])
        taken = 0
        while limiter.consume(CUSTOMER, 50) is None:
            taken += 50
        # 100 a second for 8 s and 200 at once, without the tolerance.
        assert 1000 <= taken <= ALLOWED

    def test_customers_below_their_quota_are_not_written(self) -> None:
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        limiter.consume(CUSTOMER, ALLOWED // 2)
        assert limiter.usage_near_quota() == []


class TestChanges:
    """Reports that name only the customers whose use changed."""

    def test_idle_customers_are_not_named(self) -> None:
        """Guards against reports that grow with all customers ever seen."""
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        for number in range(50):
            limiter.consume(Customer(f"c{number}", (), None, 9.0, 9.0), 1)
        clock.advance(2.0)
        assert limiter.changes() == []
        limiter.consume(CUSTOMER, 10)
        assert [use.customer for use in limiter.changes()] == ["acme"]
        assert len(limiter.report()) == 51

    def test_change_is_repeated_for_lost_reports(self) -> None:
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        limiter.consume(CUSTOMER, 10)
        clock.advance(0.3)
        assert [use.total for use in limiter.changes()] == [10]

    def test_use_is_counted_once_over_changes_and_whole_reports(self) -> None:
        clock = FakeClock(100.0)
        old, receiver = _limiter(clock), _limiter(clock)
        receiver.apply_report("old", 1.0, old.report())
        other = Customer("other", (), None, 100.0, 200.0)
        old.consume(other, 10)
        receiver.apply_changes("old", 1.0, old.changes())
        clock.advance(2.0)
        old.consume(CUSTOMER, 500)
        receiver.apply_changes("old", 1.0, old.changes())
        # A report that names one customer forgets no total of the others.
        receiver.apply_report("old", 1.0, old.report())
        totals = {use.customer: sum(use.recent) for use in receiver.report()}
        assert totals == {"acme": 500, "other": 10}

    def test_changes_of_an_unknown_node_wait_for_its_whole_report(self) -> None:
        """Guards against use of a whole life that counts as of now.

        Totals grow from the start of a node, so without its whole report a
        node that was just met would seem to have used all of it now.
        """
        clock = FakeClock(100.0)
        old = _limiter(clock)
        old.consume(CUSTOMER, ALLOWED)
        clock.advance(60.0)
        old.consume(CUSTOMER, 100)
        new = _limiter(clock)
        new.apply_changes("old", old.uptime_s, old.changes())
        assert new.report() == []
        new.apply_report("old", old.uptime_s, old.report())
        assert [sum(use.recent) for use in new.report()] == [100]


class TestSilentNodes:
    """Nodes that are cut off."""

    def test_even_share_is_kept_back_for_a_silent_node(self) -> None:
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        limiter.apply_report("other", 1.0, [])
        clock.advance(2.0)
        assert limiter.consume(CUSTOMER, ALLOWED / 2) is None
        assert limiter.consume(CUSTOMER, 100) is not None

    def test_node_that_stays_silent_is_forgotten(self) -> None:
        clock = FakeClock(100.0)
        limiter = _limiter(clock)
        limiter.apply_report("other", 1.0, [])
        clock.advance(9.0)
        assert limiter.consume(CUSTOMER, ALLOWED) is None
