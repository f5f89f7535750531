"""Metrics of rollouts and class targets, read at each scrape."""

from collections.abc import Iterator

from prometheus_client import Metric
from prometheus_client.core import GaugeMetricFamily, StateSetMetricFamily
from prometheus_client.registry import Collector

from tanagerport.class_status import ClassStatusTracker
from tanagerport.clock import Clock
from tanagerport.detection import WHOLE_VERSION
from tanagerport.model import FINAL_MOVE_STATES, MoveState, VersionMove
from tanagerport.move_report import SamplesByScope
from tanagerport.status_report import StatusConfiguration


class RolloutCollector(Collector):
    """Collects the state of rollouts, bad versions and class targets.

    Args:
        configuration: Rollouts, bad versions and classes.
        classes: Outcomes by class.
        samples_by_scope: Returns this node's samples of a model's new version.
        clock: Source of time.
    """

    def __init__(
        self,
        configuration: StatusConfiguration,
        classes: ClassStatusTracker,
        samples_by_scope: SamplesByScope,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._classes = classes
        self._samples_by_scope = samples_by_scope
        self._clock = clock

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield from self._collect_rollouts()
        yield GaugeMetricFamily(
            "tanagerport_bad_versions",
            "Versions that get no new work because they were found bad.",
            value=len(self._configuration.convictions),
        )
        yield from self._collect_classes()

    def _collect_rollouts(self) -> Iterator[Metric]:
        states = StateSetMetricFamily(
            "tanagerport_rollout_state",
            "State of the latest rollout of a model.",
            labels=["model", "version"],
        )
        share = GaugeMetricFamily(
            "tanagerport_rollout_share",
            "Share of requests that go to the new version.",
            labels=["model", "version"],
        )
        remaining = GaugeMetricFamily(
            "tanagerport_rollout_deadline_seconds",
            "Time until the deadline of a running rollout.",
            labels=["model", "version"],
        )
        samples = GaugeMetricFamily(
            "tanagerport_rollout_samples",
            "Samples of the new version on this node.",
            labels=["model", "version"],
        )
        for model, move in sorted(self._configuration.moves.items()):
            labels = [model, move.new_version]
            states.add_metric(labels, _states(move))
            share.add_metric(labels, move.share)
            seen = self._samples_by_scope(model).get(WHOLE_VERSION, 0)
            samples.add_metric(labels, seen)
            if move.state not in FINAL_MOVE_STATES:
                remaining.add_metric(labels, move.deadline - self._clock.time())
        yield from (states, share, remaining, samples)

    def _collect_classes(self) -> Iterator[Metric]:
        share = GaugeMetricFamily(
            "tanagerport_class_met_share",
            "Share of the last minute's requests that met the class targets.",
            labels=["work_class"],
        )
        target = GaugeMetricFamily(
            "tanagerport_class_target_share",
            "Share of requests that must meet the class targets.",
            labels=["work_class"],
        )
        for status in self._classes.report(self._configuration.classes):
            target.add_metric([status.name], status.target)
            if status.share is not None:
                share.add_metric([status.name], status.share)
        yield from (share, target)


def _states(move: VersionMove) -> dict[str, bool]:
    return {state.value: state is move.state for state in MoveState}
