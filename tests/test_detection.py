"""Tests of the sequential test of a version."""

import dataclasses
import random

import pytest

from tanagerport.detection import VersionMonitor
from tanagerport.detection_measurement import (
    FAULTS,
    GOOD_WORKLOADS,
    Workload,
    measure_bad,
    measure_good,
)
from tanagerport.interfaces import VersionSample


def sample(
    version: str,
    at: float,
    upstream: str = "fast",
    first_s: float = 0.1,
    failed: bool = False,
) -> VersionSample:
    return VersionSample(
        "m", version, "c", upstream, at, failed, first_s, first_s / 10
    )


def monitor_with_history() -> VersionMonitor:
    monitor = VersionMonitor("new")
    noise = random.Random(1)
    for index in range(300):
        first_s = 0.1 * noise.lognormvariate(0, 0.2)
        monitor.record(sample("old", index * 0.1, first_s=first_s))
    return monitor


class TestVersionMonitor:
    """Verdicts on single causes."""

    def test_four_failures_convict(self) -> None:
        """Guards against a wholly failing version that needs many samples."""
        monitor = monitor_with_history()
        verdicts = [
            monitor.record(sample("new", 30.0 + index, failed=True))
            for index in range(4)
        ]
        assert [item is not None for item in verdicts] == [0, 0, 0, 1]

    def test_engine_crash_is_one_event(self) -> None:
        """Guards against a conviction because one engine died."""
        monitor = monitor_with_history()
        for index in range(16):
            monitor.record(sample("new", 30.0 + index / 1e3, failed=True))
        assert monitor.verdict is None

    def test_failures_of_both_versions_do_not_convict(self) -> None:
        """Guards against blaming the version for an upstream's outage."""
        monitor = monitor_with_history()
        for index in range(40):
            at = 30.0 + index / 2
            monitor.record(sample("old", at, failed=True))
            monitor.record(sample("new", at + 0.2, failed=index % 2 == 0))
        assert monitor.verdict is None

    def test_fast_old_engine_does_not_convict_on_a_slow_engine(self) -> None:
        """Guards against comparing engines of different speed."""
        monitor = monitor_with_history()
        for index in range(60):
            at = 30.0 + index / 10
            monitor.record(sample("old", at))
            slow = sample("new", at, upstream="slow", first_s=0.4)
            monitor.record(slow, (0.51, 0.05))
        assert monitor.verdict is None

    def test_beyond_target_on_an_unknown_engine_convicts(self) -> None:
        """Guards against no verdict at all where there is no history."""
        monitor = monitor_with_history()
        for index in range(60):
            at = 30.0 + index / 10
            monitor.record(sample("old", at))
            slow = sample("new", at, upstream="slow", first_s=2.0)
            monitor.record(slow, (0.51, 0.05))
        assert monitor.verdict is not None

    def test_late_fault_is_found_as_fast_as_an_early_one(self) -> None:
        """Guards against good samples that outweigh later bad ones."""
        monitor = monitor_with_history()
        for index in range(500):
            monitor.record(sample("new", 30.0 + index / 10))
        for index in range(4):
            monitor.record(sample("new", 90.0 + index, failed=True))
        assert monitor.verdict is not None


class TestMeasurement:
    """Seeded rollouts through the decision code."""

    @pytest.mark.parametrize("name", sorted(GOOD_WORKLOADS))
    def test_good_versions_in_a_burst(self, name: str) -> None:
        """Guards against verdicts that a burst causes; few runs for CI."""
        workload = GOOD_WORKLOADS[name]
        if name == "burst_long_rollout":
            workload = dataclasses.replace(workload, full_s=60.0)
        assert measure_good(workload, 8, 5)["false_convictions"] == 0

    @pytest.mark.parametrize(
        "name", ["errors_30", "errors_100", "slow_10", "late_errors_100"]
    )
    def test_bad_versions_are_found(self, name: str) -> None:
        """Guards against a test that never convicts."""
        assert measure_bad(Workload(), FAULTS[name], 8, 5)["miss_rate"] == 0
