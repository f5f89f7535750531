"""Tests of the adaptive limit of an upstream."""

from tanagerport.interfaces import LoadReport
from tanagerport.limits import (
    LimitEstimator,
    SampleCounts,
    SampleKind,
    SlowdownLimiter,
    classify_interval,
    classify_response_time,
)


def _simulate(
    estimator: LimitEstimator,
    capacity: int,
    seconds: float,
    start: float,
) -> list[int]:
    """Simulates an upstream that misses its target above `capacity`.

    Returns the limit after each step of 0.1 s.
    """
    history = []
    for step in range(int(seconds / 0.1)):
        limit = estimator.limit
        missed = limit if limit > capacity else 0
        estimator.record(
            SampleCounts(limit, missed, 0, limit), start + step * 0.1
        )
        history.append(estimator.limit)
    return history


class TestLimitEstimator:
    """Guards against limits that do not follow the capacity of the upstream."""

    def test_starts_at_the_safe_limit(self) -> None:
        assert LimitEstimator(4).limit == 4

    def test_approaches_the_capacity_from_below(self) -> None:
        history = _simulate(LimitEstimator(4), capacity=16, seconds=20, start=0)
        settled = history[len(history) // 2 :]
        assert min(settled) >= 8
        assert max(settled) <= 17

    def test_tenfold_slowdown_is_followed_within_two_seconds(self) -> None:
        """Guards against rounds that react too late to a slow engine."""
        estimator = LimitEstimator(4, start=20)
        history = _simulate(estimator, capacity=2, seconds=2, start=100)
        assert history[-1] <= 2

    def test_late_samples_cause_no_second_decrease(self) -> None:
        estimator = LimitEstimator(4, start=16)
        estimator.record(SampleCounts(4, 4, 0, 4), 0.0)
        estimator.record(SampleCounts(16, 16, 0, 16), 0.2)
        assert estimator.limit == 8

    def test_unused_limit_does_not_grow(self) -> None:
        estimator = LimitEstimator(4)
        for step in range(100):
            estimator.record(SampleCounts(4, 0, 0, 0), step * 0.3)
        assert estimator.limit == 4

    def test_samples_near_the_target_stop_the_growth(self) -> None:
        estimator = LimitEstimator(4)
        for step in range(100):
            estimator.record(SampleCounts(4, 0, 4, 4), step * 0.3)
        assert estimator.limit == 4

    def test_one_miss_by_chance_does_not_decrease(self) -> None:
        estimator = LimitEstimator(8)
        estimator.record(SampleCounts(4, 0, 0, 4), 0.0)
        estimator.record(SampleCounts(4, 1, 0, 4), 0.3)
        assert estimator.limit == 8

    def test_grows_by_one_when_samples_come_near(self) -> None:
        """Guards against an increase that overshoots the target."""
        estimator = LimitEstimator(4, start=32)
        estimator.record(SampleCounts(32, 0, 1, 32), 0.3)
        assert estimator.limit == 33

    def test_slight_misses_do_not_halve(self) -> None:
        """Guards against halving the limit for an overshoot by one request."""
        estimator = LimitEstimator(4, start=12)
        estimator.record(SampleCounts(12, 12, 0, 12, slight=12), 0.3)
        assert estimator.limit == 9

    def test_never_below_one(self) -> None:
        estimator = LimitEstimator(4)
        for step in range(20):
            estimator.record(SampleCounts(4, 4, 0, 0), step * 0.5)
        assert estimator.limit == 1

    def test_stale_load_report_loses_its_weight(self) -> None:
        """Guards against an outdated report that keeps the limit low."""
        report = LoadReport(waiting=5, max_batch=16, received_at=0.0)
        estimator = LimitEstimator(4)
        estimator.apply_load(report, 1.0)
        for step in range(4):
            estimator.record(SampleCounts(4, 0, 0, 4), 1.0 + step * 0.3)
        assert estimator.limit == 4
        estimator.apply_load(report, 10.0)
        for step in range(4):
            estimator.record(SampleCounts(4, 0, 0, 4), 10.0 + step * 0.3)
        assert estimator.limit > 4

    def test_reported_batch_bounds_the_limit(self) -> None:
        estimator = LimitEstimator(4)
        estimator.apply_load(LoadReport(max_batch=6), 0.0)
        _simulate(estimator, capacity=100, seconds=10, start=0)
        assert estimator.limit == 6


class TestSlowdownLimiter:
    """Guards against overload of a slow engine until the next heartbeat."""

    def test_halves_at_once_and_releases_later(self) -> None:
        limiter = SlowdownLimiter()
        for _ in range(3):
            limiter.record(SampleKind.MISSED, 8, 10.0)
        assert limiter.bound(8, 10.0) == 4
        assert limiter.bound(8, 11.5) == 8

    def test_slight_misses_do_not_limit(self) -> None:
        limiter = SlowdownLimiter()
        for _ in range(8):
            limiter.record(SampleKind.SLIGHTLY_MISSED, 8, 10.0)
        assert limiter.bound(8, 10.0) == 8

    def test_few_misses_do_not_limit(self) -> None:
        limiter = SlowdownLimiter()
        for kind in [SampleKind.MET] * 4 + [SampleKind.MISSED] * 3:
            limiter.record(kind, 8, 10.0)
        assert limiter.bound(8, 10.0) == 8


def test_classify_leaves_room_for_queueing() -> None:
    assert classify_response_time(0.25, 0.5) is SampleKind.MET
    assert classify_response_time(0.35, 0.5) is SampleKind.NEAR
    assert classify_response_time(0.45, 0.5) is SampleKind.MISSED


def test_interval_may_come_close_to_its_target() -> None:
    """Guards against limits that keep engines far below their capacity."""
    assert classify_interval(0.027, 0.039) is SampleKind.MET
    assert classify_interval(0.030, 0.039) is SampleKind.NEAR
    assert classify_interval(0.034, 0.039) is SampleKind.SLIGHTLY_MISSED
    assert classify_interval(0.050, 0.039) is SampleKind.MISSED
