"""Seeded measurement of false verdicts, misses and samples to a verdict.

Runs the decision code of `detection` on simulated dispatches:
`python -m tanagerport.detection_measurement --rollouts 200 --seed 1`.
"""

import argparse
import collections
import dataclasses
import json
import math
import random
import statistics
import sys
from collections.abc import Sequence

import msgspec

from tanagerport.clock import FakeClock
from tanagerport.detection import VersionMonitor
from tanagerport.evidence import (
    EVIDENCE_PREFIX,
    EvidencePool,
    make_node_evidence,
)
from tanagerport.interfaces import VersionSample
from tanagerport.model import VersionMove
from tanagerport.platform_api import Write
from tanagerport.platform_memory import MemoryTableStore

_OLD, _NEW, _MODEL = "old", "new", "model"
_NOISE_SIGMA = 0.25
_STALL_RATE = 0.01
_STALL_FACTOR = 3.0
_REPORT_S = 0.5


@dataclasses.dataclass(frozen=True)
class Fault:
    """How a new version is bad.

    Attributes:
        error_rate: Share of requests that fail.
        slowdown: Factor on all times.
        route: Class and upstream; None for all.
        from_s: Second of the rollout at which it shows.
        min_load: Load factor from which it shows.
    """

    error_rate: float = 0.0
    slowdown: float = 1.0
    route: tuple[str, str] | None = None
    from_s: float = 0.0
    min_load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Workload:
    """A simulated rollout.

    Attributes:
        requests_per_s: Rate over all nodes.
        nodes: Nodes, each with its own monitor.
        history_s: Seconds of the old version alone before the rollout.
        canary_s: Seconds at the canary share.
        full_s: Seconds at the full share.
        canary_share: Share of the new version at first.
        full_share: Share after the canary; the rest is the control.
        burst_factor: Slowdown of both versions in the burst; 1 for none.
        burst_s: Duration of the burst.
        base_error_rate: Error rate of both versions.
        speeds: Slowness of each upstream.
        separate: Whether the new version runs on upstreams of its own, at
            speeds that the old version never had there.
        crashes: Engine crashes during the rollout, each of which breaks the
            streams in progress there.
    """

    requests_per_s: float = 40.0
    nodes: int = 2
    history_s: float = 20.0
    canary_s: float = 5.0
    full_s: float = 7.0
    canary_share: float = 0.05
    full_share: float = 0.85
    burst_factor: float = 2.5
    burst_s: float = 4.0
    base_error_rate: float = 0.002
    speeds: tuple[float, ...] = (1.0, 1.0, 2.0, 0.5)
    separate: bool = False
    crashes: int = 0


@dataclasses.dataclass(frozen=True)
class RolloutResult:
    """What the monitors of one rollout decided.

    Attributes:
        convicted: Whether a node or the pooled evidence convicted it.
        samples: Samples of the new version over all nodes until then.
        at_s: Second of the rollout; None without a verdict.
        reason: Reason of the verdict.
    """

    convicted: bool
    samples: int
    at_s: float | None
    reason: str


_CLASSES = {  # first token, interval, target of each
    "short": (0.05, 0.008, 0.51, 0.039),
    "interactive": (0.10, 0.008, 0.51, 0.039),
    "long": (0.30, 0.008, 2.0, 0.039),
}


class _Simulation:
    """One rollout."""

    def __init__(self, workload: Workload, fault: Fault, seed: int) -> None:
        self._workload = workload
        self._fault = fault
        self._random = random.Random(seed)
        self._monitors = [VersionMonitor(_NEW) for _ in range(workload.nodes)]
        total_s = workload.canary_s + workload.full_s
        self._burst_at = self._random.uniform(0.0, total_s)
        self._crashes = sorted(
            (self._random.uniform(0.0, total_s), f"u{index}")
            for index in self._random.choices(
                range(len(workload.speeds)), k=workload.crashes
            )
        )
        self._new_samples = 0
        self._table = MemoryTableStore()
        self._move = VersionMove(_MODEL, _OLD, _NEW, total_s, 0.0)
        self._clock = FakeClock()
        self._pool = EvidencePool(self._table, self._move, self._clock)
        self._reported_at = 0.0

    def run(self) -> RolloutResult:
        workload = self._workload
        end = workload.canary_s + workload.full_s
        now = -workload.history_s
        while now < end:
            now += self._random.expovariate(workload.requests_per_s)
            monitor = self._random.choice(self._monitors)
            self._crash(now)
            sample = self._sample(now)
            _, _, *targets = _CLASSES[sample.class_name]
            verdict = monitor.record(sample, (targets[0], targets[1]))
            if now >= self._reported_at + _REPORT_S:
                self._reported_at = now
                self._report()
            verdict = verdict or self._pool.verdict
            if verdict is not None:
                return RolloutResult(
                    True, self._new_samples, now, verdict.reason
                )
        return RolloutResult(False, self._new_samples, None, "")

    def _report(self) -> None:
        """Pools all nodes' evidence as the rollout controller does."""
        for index, monitor in enumerate(self._monitors):
            evidence = make_node_evidence(
                self._move, "i", 0, 0, monitor.evidence, monitor.traffic
            )
            key = f"{EVIDENCE_PREFIX}{_MODEL}/n{index}"
            content = msgspec.json.encode(evidence)
            self._table.transact([], [Write(key, content)])
        self._clock.advance(_REPORT_S)
        self._pool.refresh()

    def _share(self, now: float) -> float:
        if now < 0:
            return 0.0
        if now < self._workload.canary_s:
            return self._workload.canary_share
        return self._workload.full_share

    def _load(self, now: float) -> float:
        workload = self._workload
        in_burst = self._burst_at <= now < self._burst_at + workload.burst_s
        return workload.burst_factor if in_burst else 1.0

    def _sample(self, now: float) -> VersionSample:
        is_new = self._random.random() < self._share(now)
        class_name = self._random.choice(list(_CLASSES))
        index = self._random.randrange(len(self._workload.speeds))
        speed = self._workload.speeds[index]
        upstream_id = f"u{index}"
        if is_new and self._workload.separate:
            upstream_id, speed = f"n{index}", 1.5
        load = self._load(now)
        error_rate, slowdown = self._workload.base_error_rate, 1.0
        if is_new and self._shows(class_name, upstream_id, now, load):
            error_rate = max(error_rate, self._fault.error_rate)
            slowdown = self._fault.slowdown
        self._new_samples += is_new
        first, interval, *_ = _CLASSES[class_name]
        factor = speed * load * slowdown
        return VersionSample(
            model=_MODEL,
            version=_NEW if is_new else _OLD,
            class_name=class_name,
            upstream_id=upstream_id,
            at=now,
            failed=self._random.random() < error_rate,
            first_token_s=first * factor * self._noise(),
            token_interval_s=interval * factor * self._noise(),
        )

    def _shows(
        self, class_name: str, upstream_id: str, now: float, load: float
    ) -> bool:
        fault = self._fault
        on_route = fault.route in (None, (class_name, upstream_id))
        return on_route and now >= fault.from_s and load >= fault.min_load

    def _noise(self) -> float:
        stall = _STALL_FACTOR if self._random.random() < _STALL_RATE else 1.0
        return stall * math.exp(self._random.gauss(0.0, _NOISE_SIGMA))

    def _crash(self, now: float) -> None:
        while self._crashes and self._crashes[0][0] <= now:
            at, upstream_id = self._crashes.pop(0)
            for index in range(8):
                version = (
                    _NEW if self._random.random() < self._share(at) else _OLD
                )
                self._monitors[index % len(self._monitors)].record(
                    VersionSample(
                        _MODEL, version, "long", upstream_id, at, True
                    )
                )


def simulate(workload: Workload, fault: Fault, seed: int) -> RolloutResult:
    """Runs one rollout with the decision code and returns the result."""
    return _Simulation(workload, fault, seed).run()


GOOD = Fault()
GOOD_WORKLOADS = {
    "burst_of_4_s": Workload(),
    "burst_of_24_s": Workload(burst_s=24.0, full_s=40.0),
    "burst_new_upstreams": Workload(separate=True),
    "burst_and_crashes": Workload(crashes=3),
    "burst_long_rollout": Workload(canary_s=60.0, full_s=120.0, burst_s=60.0),
    "burst_short_history": Workload(history_s=3.0),
    "burst_no_control": Workload(full_share=1.0),
}
FAULTS = {
    "errors_10": Fault(error_rate=0.1),
    "errors_30": Fault(error_rate=0.3),
    "errors_100": Fault(error_rate=1.0),
    "slow_1.5": Fault(slowdown=1.5),
    "slow_3": Fault(slowdown=3.0),
    "slow_10": Fault(slowdown=10.0),
    "late_errors_100": Fault(error_rate=1.0, from_s=8.0),
    "late_slow_3": Fault(slowdown=3.0, from_s=8.0),
    "route_errors_100": Fault(error_rate=1.0, route=("short", "u1")),
    "load_slow_3": Fault(slowdown=3.0, min_load=2.0),
    "load_errors_100": Fault(error_rate=1.0, min_load=2.0),
}


def measure_good(
    workload: Workload, rollouts: int, seed: int
) -> dict[str, object]:
    """Returns the share of good versions that are convicted."""
    results = [
        simulate(workload, GOOD, seed * 1_000_003 + index)
        for index in range(rollouts)
    ]
    false = [item for item in results if item.convicted]
    reasons = collections.Counter(
        item.reason.partition(":")[0] for item in false
    )
    return {
        "rollouts": rollouts,
        "false_convictions": len(false),
        "reasons": dict(reasons.most_common(3)),
    }


def measure_bad(
    workload: Workload, fault: Fault, rollouts: int, seed: int
) -> dict[str, object]:
    """Returns the miss rate and the samples until the verdict."""
    results = [
        simulate(workload, fault, seed * 1_000_003 + index)
        for index in range(rollouts)
    ]
    found = [item for item in results if item.convicted]
    document: dict[str, object] = {
        "rollouts": rollouts,
        "miss_rate": round(1 - len(found) / rollouts, 3),
    }
    if found:
        samples = sorted(item.samples for item in found)
        seconds = [item.at_s for item in found if item.at_s is not None]
        document["samples_median"] = statistics.median(samples)
        document["samples_p95"] = samples[int(0.95 * (len(samples) - 1))]
        document["at_s_median"] = round(statistics.median(seconds), 1)
    return document


def main(arguments: Sequence[str]) -> int:
    """Prints the measurement as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rollouts", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="start of the case names")
    options = parser.parse_args(arguments)
    document = {
        "seed": options.seed,
        "good": {
            name: measure_good(workload, options.rollouts, options.seed)
            for name, workload in GOOD_WORKLOADS.items()
            if name.startswith(options.only)
        },
        "bad": {
            name: measure_bad(Workload(), fault, options.rollouts, options.seed)
            for name, fault in FAULTS.items()
            if name.startswith(options.only)
        },
    }
    print(json.dumps(document, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
