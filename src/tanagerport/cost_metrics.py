"""Metrics of what the node itself costs."""

import pathlib
import resource
import time
from collections.abc import Iterator

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from tanagerport.control_plane import ControlPlane

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


def _resident_bytes() -> int:
    pages = int(_STATM.read_text().split()[1])
    return pages * resource.getpagesize()
