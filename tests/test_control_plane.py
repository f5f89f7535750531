"""Tests of a control plane as a whole, over the simulated platform."""

import dataclasses
from collections.abc import Iterator, Sequence

import prometheus_client
import pytest

from cluster import FAST, HINT, make_settings, wait_until
from tanagerport.clock import FakeClock, SystemClock
from tanagerport.configuration import ConfigChange
from tanagerport.control_metrics import ControlCollector
from tanagerport.control_plane import ControlPlane
from tanagerport.http_server import HttpServer, json_response
from tanagerport.interfaces import LoadReport
from tanagerport.model import VM, VMRole
from tanagerport.platform import create_platform
from tanagerport.settings import PlatformSettings, Settings
from tanagerport.standin_faults import ServiceFaults
from tanagerport.standin_platform import StandinPlatform
from tanagerport.upstream_poll import UpstreamPoller

_SLOW_HINT = dataclasses.replace(HINT, tier=3)


@pytest.fixture(name="platform")
def _platform() -> Iterator[StandinPlatform]:
    platform = StandinPlatform()
    platform.start()
    yield platform
    platform.stop()


def _settings(node_id: str, platform: StandinPlatform) -> Settings:
    url = platform.url
    return dataclasses.replace(
        make_settings(node_id),
        platform=PlatformSettings(
            f"{url}/table",
            f"{url}/objects",
            f"{url}/vms",
            f"{url}/weights",
            timeout_s=1.0,
        ),
        timing=FAST,
    )


def _start(settings: Settings) -> ControlPlane:
    clock = SystemClock()
    control = ControlPlane(
        settings, create_platform(settings.platform, clock), clock
    )
    control.start()
    return control


def _vm(name: str, role: VMRole, address: str) -> VM:
    return VM(name, role, "lm-burnaby", "lower-mainland", address)


class TestControlPlane:
    """Guards against parts that work alone but not together."""

    def test_restart_during_an_outage_of_the_whole_platform(
        self, platform: StandinPlatform
    ) -> None:
        """Guards against a fresh node that serves nothing or old records.

        The restarted node can read neither table nor VM list; its peer
        finds it at its old address and tells it both.
        """
        first = _start(_settings("n1", platform))
        second = _start(_settings("n2", platform))
        address = second.peers.address
        engine = _vm("engine-1", VMRole.ENGINE, "127.0.0.1:9")
        platform.set_vms(
            [
                _vm("n1", VMRole.ENTRY, first.peers.address),
                _vm("n2", VMRole.ENTRY, address),
                engine,
            ]
        )
        wait_until(lambda: first.is_ready and second.is_ready)
        first.configuration.apply(
            ConfigChange(classes=(_SLOW_HINT,)), "ann", "op-1"
        )
        for service in ("table", "vms"):
            platform.faults.set(service, ServiceFaults(down=True))
        second.stop()
        settings = dataclasses.replace(
            _settings("n2", platform), peer_listen=address
        )
        restarted = _start(settings)
        assert not restarted.is_ready
        wait_until(lambda: restarted.is_ready)
        assert restarted.configuration.classes == {HINT.name: _SLOW_HINT}
        assert list(restarted.membership.upstreams()) == [engine]
        restarted.stop()
        first.stop()

    def test_metrics_show_version_lag_and_nodes(
        self, platform: StandinPlatform
    ) -> None:
        platform.set_vms([_vm("n1", VMRole.ENTRY, "127.0.0.1:1")])
        control = _start(_settings("n1", platform))
        wait_until(lambda: control.is_ready)
        registry = prometheus_client.CollectorRegistry()
        registry.register(ControlCollector(control))
        text = prometheus_client.generate_latest(registry).decode()
        control.stop()
        assert "tanagerport_config_version 1.0" in text
        assert "tanagerport_config_lag_seconds" in text
        assert (
            'tanagerport_nodes{liveness="live",zone="lm-burnaby"} 1.0' in text
        )


class _Sink:
    def __init__(self, vms: Sequence[VM], nodes: Sequence[str]) -> None:
        self._vms = vms
        self._nodes = nodes
        self.reports: dict[str, LoadReport] = {}

    def upstreams(self, zone: str | None = None) -> Sequence[VM]:
        del zone
        return self._vms

    def serving_nodes(self, zone: str) -> Sequence[str]:
        del zone
        return self._nodes

    def set_load(self, vm_id: str, report: LoadReport) -> None:
        self.reports[vm_id] = report


class TestUpstreamPoller:
    """Guards against load reports that are missed or break the poller."""

    def test_reads_a_report_and_counts_failures(self) -> None:
        load = {
            "running": 3,
            "versions": {"tutor": ["v1"]},
            "age_s": 0.5,
            "leaving": True,
            "later_field": 1,
        }
        server = HttpServer(
            "127.0.0.1:0", lambda _, start: json_response(start, 200, load), 2
        )
        server.start()
        engine = _vm("engine-1", VMRole.ENGINE, server.address)
        closed = _vm("engine-2", VMRole.ENGINE, "127.0.0.1:9")
        sink = _Sink([engine, closed], ["n1"])
        poller = UpstreamPoller(make_settings("n1"), sink, FakeClock())
        poller.poll(engine)
        poller.poll(closed)
        poller.close()
        server.stop()
        report = sink.reports["engine-1"]
        assert (report.running, report.leaving) == (3, True)
        assert report.reported_age_s == 0.5
        assert poller.failures == 1

    def test_each_engine_is_polled_by_a_few_nodes(self) -> None:
        """Guards against every node polling every engine at planned size."""
        engines = [
            _vm(f"engine-{index}", VMRole.ENGINE, "127.0.0.1:9")
            for index in range(40)
        ]
        nodes = [f"n{index}" for index in range(12)]
        pollers = [
            UpstreamPoller(
                make_settings(node), _Sink(engines, nodes), FakeClock()
            )
            for node in nodes
        ]
        polled = [vm.vm_id for item in pollers for vm in item.engines()]
        for poller in pollers:
            poller.close()
        assert all(polled.count(vm.vm_id) == 6 for vm in engines)
