"""Metrics of what the node itself costs, and of its rollouts."""

import pathlib
import resource
import time
from collections.abc import Iterator

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from tanagerport.control_plane import ControlPlane
from tanagerport.model import MoveState

_STATM = pathlib.Path("/proc/self/statm")


class CostCollector(Collector):
    """Collects processor time, memory and peer traffic of the node.

    Args:
        control: Control plane of the node.
    """

    def __init__(self, control: ControlPlane) -> None:
        self._control = control

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield CounterMetricFamily(
            "tanagerport_control_cpu_seconds",
            "Processor time of the control plane's event loop.",
            value=self._control.cpu_seconds,
        )
        yield CounterMetricFamily(
            "tanagerport_process_cpu_seconds",
            "Processor time of the whole process.",
            value=time.process_time(),
        )
        yield GaugeMetricFamily(
            "tanagerport_process_resident_bytes",
            "Resident memory of the process.",
            value=_resident_bytes(),
        )
        heartbeat_bytes = CounterMetricFamily(
            "tanagerport_heartbeat_bytes",
            "Encoded heartbeats, without transport headers.",
            labels=["direction"],
        )
        sent, received = self._control.peers.heartbeat_bytes
        heartbeat_bytes.add_metric(["sent"], sent)
        heartbeat_bytes.add_metric(["received"], received)
        yield heartbeat_bytes
        yield from self._collect_moves()

    def _collect_moves(self) -> Iterator[Metric]:
        state = GaugeMetricFamily(
            "tanagerport_version_move_state",
            "1 for the state of the latest rollout of a model.",
            labels=["model", "version", "state"],
        )
        share = GaugeMetricFamily(
            "tanagerport_version_move_share",
            "Share of requests that a rollout sends to the new version.",
            labels=["model", "version"],
        )
        for model, move in self._control.configuration.moves.items():
            for name in MoveState:
                state.add_metric(
                    [model, move.new_version, name.value],
                    float(move.state is name),
                )
            share.add_metric([model, move.new_version], move.share)
        yield state
        yield share


def _resident_bytes() -> int:
    pages = int(_STATM.read_text().split()[1])
    return pages * resource.getpagesize()
