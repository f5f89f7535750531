"""Metrics of the control plane, read from its parts at each scrape."""

import collections
from collections.abc import Iterator

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from tanagerport.control_plane import ControlPlane
from tanagerport.interfaces import NodeLiveness


class ControlCollector(Collector):
    """Collects the state of a control plane.

    Args:
        control: Control plane of the node.
    """

    def __init__(self, control: ControlPlane) -> None:
        self._control = control

    def collect(self) -> Iterator[Metric]:
        """Yields all metrics."""
        yield from self._collect_configuration()
        yield from self._collect_membership()
        control = self._control
        yield CounterMetricFamily(
            "tanagerport_task_restarts",
            "Restarts of control-plane tasks after a failure.",
            value=control.supervisor.restarts,
        )
        yield CounterMetricFamily(
            "tanagerport_peer_connections_replaced",
            "Silent connections to peers that were replaced.",
            value=control.peers.replacements,
        )
        yield CounterMetricFamily(
            "tanagerport_load_reads_failed",
            "Load reports of engines that could not be read.",
            value=control.poller.failures,
        )

    def _collect_configuration(self) -> Iterator[Metric]:
        configuration = self._control.configuration
        yield GaugeMetricFamily(
            "tanagerport_config_version",
            "Configuration version in force.",
            value=configuration.version,
        )
        history = configuration.history
        yield GaugeMetricFamily(
            "tanagerport_config_lag_seconds",
            "Time from acceptance to application of the version in force.",
            value=history[-1].lag_s if history else 0.0,
        )
        yield GaugeMetricFamily(
            "tanagerport_config_applied_timestamp_seconds",
            "Epoch time when the version in force was applied.",
            value=history[-1].applied_at if history else 0.0,
        )
        peers = GaugeMetricFamily(
            "tanagerport_peer_config_version",
            "Configuration version that a peer last stated.",
            labels=["node"],
        )
        for node_id, version in self._control.spread.peer_versions.items():
            peers.add_metric([node_id], version)
        yield peers

    def _collect_membership(self) -> Iterator[Metric]:
        membership = self._control.membership
        counts = collections.Counter(
            (view.zone, view.liveness) for view in membership.nodes()
        )
        nodes = GaugeMetricFamily(
            "tanagerport_nodes",
            "Entry nodes by zone and liveness.",
            labels=["zone", "liveness"],
        )
        for zone in membership.zones():
            for liveness in NodeLiveness:
                nodes.add_metric([zone, liveness.value], counts[zone, liveness])
        yield nodes
        yield GaugeMetricFamily(
            "tanagerport_vm_list_age_seconds",
            "Time since the VM list was read.",
            value=membership.list_age_s,
        )
