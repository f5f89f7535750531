"""One entry node: builds and holds all parts."""

from collections.abc import Mapping, Sequence

import structlog

from tanagerport.clock import Clock, SystemClock
from tanagerport.configuration import ConfigurationStore
from tanagerport.control_metrics import ControlCollector
from tanagerport.control_plane import ControlPlane
from tanagerport.frontend import CallerApplication
from tanagerport.http_server import HttpServer
from tanagerport.membership import Membership
from tanagerport.metrics import Metrics
from tanagerport.model import VM, RefusalReason, WorkClass
from tanagerport.peers import Peers
from tanagerport.pipeline import create_pipeline
from tanagerport.platform import Platform, create_platform
from tanagerport.scheduler import Scheduler, StaticScheduler
from tanagerport.settings import Settings
from tanagerport.upstream_client import UpstreamClient

_log = structlog.get_logger(__name__)
_DRAIN_POLL_S = 0.02
# A node with a store or a ready peer at hand is ready well within this time.
# Without them it starts all the same and reports that it is not ready.
_START_WAIT_S = 2.0


class Node:
    """An entry node.

    Use `create_node` to build one.
    """

    def __init__(
        self,
        settings: Settings,
        platform: Platform,
        control: ControlPlane,
        scheduler: Scheduler,
        client: UpstreamClient,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._control = control
        self._scheduler = scheduler
        self._metrics = metrics
        self._clock = clock
        self._draining = False
        self._pipeline = create_pipeline(
            scheduler,
            client,
            metrics,
            clock,
            settings,
            membership=control.membership,
            peers=control.peers,
            classes=lambda: control.configuration.classes,
            table=platform.table,
        )
        self._caller_server = HttpServer(
            settings.listen,
            CallerApplication(
                self, self._pipeline, metrics, clock, settings.customers
            ),
            threads=settings.caller_threads,
            max_body_bytes=settings.max_body_bytes,
            on_evicted=metrics.evicted_callers.inc,
        )

    @property
    def caller_address(self) -> str:
        """Bound `ip:port` of callers' traffic."""
        return self._caller_server.address

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Classes in force, by name."""
        return self._control.configuration.classes

    @property
    def settings(self) -> Settings:
        """Settings of the node."""
        return self._settings

    @property
    def platform(self) -> Platform:
        """Clients of the platform's services."""
        return self._platform

    @property
    def control(self) -> ControlPlane:
        """Parts that run in the event loop."""
        return self._control

    @property
    def configuration(self) -> ConfigurationStore:
        """Configuration in force."""
        return self._control.configuration

    @property
    def membership(self) -> Membership:
        """Nodes and upstreams."""
        return self._control.membership

    @property
    def peers(self) -> Peers:
        """Calls to other nodes."""
        return self._control.peers

    @property
    def peer_address(self) -> str:
        """Bound `ip:port` of the peer listener."""
        return self._control.peers.address

    @property
    def metrics(self) -> Metrics:
        """Metrics of the node."""
        return self._metrics

    @property
    def not_ready_reason(self) -> str:
        """Why the node takes no traffic; empty when it does."""
        if self._draining:
            return RefusalReason.DRAINING.value
        return "" if self._control.is_ready else RefusalReason.NOT_READY.value

    def start(self) -> None:
        """Starts to serve.

        Raises:
            OSError: An address can't be bound.
        """
        self._control.start()
        self._control.wait_ready(_START_WAIT_S)
        self._caller_server.start()
        _log.info("node_started", address=self.caller_address)

    def drain(self) -> None:
        """Takes no new request and waits for those in progress."""
        self._draining = True
        self._control.membership.set_draining()
        self._scheduler.stop_admitting()
        give_up_at = (
            self._clock.monotonic() + self._settings.timing.drain_timeout_s
        )
        while (
            self._pipeline.in_progress and self._clock.monotonic() < give_up_at
        ):
            self._clock.sleep(_DRAIN_POLL_S)

    def stop(self) -> None:
        """Drains the node and closes its listeners."""
        self.drain()
        self._caller_server.stop()
        self._control.stop()
        _log.info("node_stopped")


def create_node(
    settings: Settings,
    clock: Clock | None = None,
    platform: Platform | None = None,
) -> Node:
    """Builds a node from its settings.

    Args:
        settings: Checked settings.
        clock: Source of time; the system's by default.
        platform: Platform services; by default as the settings state.
    """
    clock = clock or SystemClock()
    platform = platform or create_platform(settings.platform, clock)
    control = ControlPlane(settings, platform, clock)

    def upstreams() -> Sequence[VM]:
        return control.membership.upstreams(settings.zone)

    metrics = Metrics()
    metrics.registry.register(ControlCollector(control))
    scheduler = StaticScheduler(upstreams, clock, settings.queue_limit)
    return Node(
        settings,
        platform,
        control,
        scheduler,
        UpstreamClient(
            settings.timing,
            clock,
            lambda address: metrics.silent_connections.inc(),
        ),
        metrics,
        clock,
    )
