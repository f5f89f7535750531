"""One entry node: builds and holds all parts."""

import dataclasses
import threading
from collections.abc import Mapping, Sequence
from typing import Any

import structlog

from tanagerport.cache_events import CacheEventReader
from tanagerport.class_status import ClassStatusTracker
from tanagerport.clock import Clock, SystemClock
from tanagerport.configuration import ConfigurationStore
from tanagerport.control_metrics import ControlCollector
from tanagerport.control_plane import ControlPlane
from tanagerport.cost_metrics import CostCollector
from tanagerport.explain import ExplanationLog
from tanagerport.frontend import CallerApplication
from tanagerport.http_server import HttpServer
from tanagerport.leases import LeaseManager
from tanagerport.membership import Membership
from tanagerport.metrics import Metrics
from tanagerport.model import RefusalReason, WorkClass
from tanagerport.operator_api import OperatorBackend, create_operator_api
from tanagerport.peers import Peers
from tanagerport.pipeline import RequestPipeline, create_pipeline
from tanagerport.platform import Platform, create_platform
from tanagerport.rollout import MoverSettings, MoverTask, create_version_mover
from tanagerport.rollout_metrics import RolloutCollector
from tanagerport.settings import Settings
from tanagerport.status_report import StatusSources
from tanagerport.upstream_client import UpstreamClient
from tanagerport.version_policy import (
    MoveVersionPolicy,
    create_version_policy,
)
from tanagerport.zone_scheduler import ZoneScheduler, create_zone_scheduler

_log = structlog.get_logger(__name__)
_DRAIN_POLL_S = 0.02
# A node with a store or a ready peer at hand is ready well within this time.
# Without them it starts all the same and reports that it is not ready.
_START_WAIT_S = 2.0
_OPERATOR_THREADS = 8


@dataclasses.dataclass(frozen=True)
class NodeParts:
    """Parts that a node is built from.

    Attributes:
        platform: Clients of the platform's services.
        control: Parts that run in the event loop.
        scheduler: Gives slots to requests.
        pipeline: Carries requests.
        policy: Chooses versions.
        mover: Runs rollouts.
        explanations: Decisions taken for requests.
        class_status: Outcomes by class.
        metrics: Metrics.
    """

    platform: Platform
    control: ControlPlane
    scheduler: ZoneScheduler
    pipeline: RequestPipeline
    policy: MoveVersionPolicy
    mover: MoverTask
    explanations: ExplanationLog
    class_status: ClassStatusTracker
    metrics: Metrics


class Node:
    """An entry node.

    Use `create_node` to build one.

    Args:
        settings: Settings of the node.
        parts: Parts of the node.
        clock: Source of time.
    """

    def __init__(
        self, settings: Settings, parts: NodeParts, clock: Clock
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._control = parts.control
        self._clock = clock
        self._draining = False
        self._drain_requested = threading.Event()
        self._caller_server = HttpServer(
            settings.listen,
            CallerApplication(
                self,
                parts.pipeline,
                parts.metrics,
                clock,
                settings.customers,
            ),
            threads=settings.caller_threads,
            max_body_bytes=settings.max_body_bytes,
            on_evicted=parts.metrics.evicted_callers.inc,
        )
        self._operator_server = HttpServer(
            settings.operator_listen,
            create_operator_api(
                self._operator_backend(), settings.operator_token
            ),
            threads=_OPERATOR_THREADS,
            max_body_bytes=settings.max_body_bytes,
        )

    @property
    def caller_address(self) -> str:
        """Bound `ip:port` of callers' traffic."""
        return self._caller_server.address

    @property
    def operator_address(self) -> str:
        """Bound `ip:port` of the operators' interface."""
        return self._operator_server.address

    @property
    def peer_address(self) -> str:
        """Bound `ip:port` of the peer listener."""
        return self._control.peers.address

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
        return self._parts.platform

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
    def metrics(self) -> Metrics:
        """Metrics of the node."""
        return self._parts.metrics

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
        self._operator_server.start()
        self._control.wait_ready(_START_WAIT_S)
        self._caller_server.start()
        _log.info(
            "node_started",
            callers=self.caller_address,
            operators=self.operator_address,
            peers=self.peer_address,
        )

    def wait_for_drain_request(self, timeout_s: float | None = None) -> bool:
        """Waits until an operator asks this node to drain."""
        return self._drain_requested.wait(timeout_s)

    def request_drain(self) -> None:
        """Lets the owner of the node know that it should stop."""
        self._drain_requested.set()

    def drain(self) -> None:
        """Takes no new request and waits for those in progress."""
        self._draining = True
        self._control.membership.set_draining()
        self._parts.scheduler.stop_admitting()
        give_up_at = (
            self._clock.monotonic() + self._settings.timing.drain_timeout_s
        )
        while (
            self._parts.pipeline.in_progress
            and self._clock.monotonic() < give_up_at
        ):
            self._clock.sleep(_DRAIN_POLL_S)

    def stop(self) -> None:
        """Drains the node and closes its listeners."""
        self.drain()
        self._caller_server.stop()
        self._operator_server.stop()
        self._parts.scheduler.close()
        self._control.stop()
        self._parts.mover.stop()
        _log.info("node_stopped")

    def _operator_backend(self) -> OperatorBackend:
        parts = self._parts
        configuration = self._control.configuration
        status = StatusSources(
            configuration=configuration,
            membership=self._control.membership,
            classes=parts.class_status,
            samples_by_scope=parts.policy.samples_by_scope,
            slots=lambda: _slot_rows(parts.scheduler),
            not_ready_reason=lambda: self.not_ready_reason,
            store_reachable=lambda: self._control.spread.is_store_reachable,
            clock=self._clock,
        )
        return OperatorBackend(
            configuration=configuration,
            membership=self._control.membership,
            weights=parts.platform.weights,
            explanations=parts.explanations,
            metrics=parts.metrics,
            status=status,
            drain_node=self.request_drain,
            clock=self._clock,
        )


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
    metrics = Metrics()
    metrics.registry.register(ControlCollector(control))
    metrics.registry.register(CostCollector(control))
    policy = create_version_policy(
        control.configuration, clock, control.membership
    )

    explanations = ExplanationLog(clock)
    scheduler = create_zone_scheduler(
        settings,
        control.membership,
        control.peers,
        policy,
        metrics,
        clock,
        explanations,
    )
    control.poller.add_reader(
        CacheEventReader(scheduler.apply_cache_events).read
    )
    class_status = ClassStatusTracker(clock)
    metrics.registry.register(
        RolloutCollector(
            control.configuration,
            class_status,
            policy.samples_by_scope,
            clock,
        )
    )
    parts = NodeParts(
        platform=platform,
        control=control,
        scheduler=scheduler,
        pipeline=create_pipeline(
            scheduler,
            UpstreamClient(
                settings.timing,
                clock,
                lambda address: metrics.silent_connections.inc(),
            ),
            metrics,
            clock,
            settings,
            membership=control.membership,
            peers=control.peers,
            classes=lambda: control.configuration.classes,
            table=platform.table,
            version_policy=policy,
            spill=scheduler,
            explanations=explanations,
            class_status=class_status,
        ),
        policy=policy,
        mover=_create_mover(settings, platform, control, policy, clock),
        explanations=explanations,
        class_status=class_status,
        metrics=metrics,
    )
    return Node(settings, parts, clock)


def _create_mover(
    settings: Settings,
    platform: Platform,
    control: ControlPlane,
    policy: MoveVersionPolicy,
    clock: Clock,
) -> MoverTask:
    mover = create_version_mover(
        control.configuration,
        policy,
        control.membership,
        LeaseManager(platform.table, clock),
        platform.table,
        platform.weights,
        settings.node_id,
        clock,
        MoverSettings(lease_s=settings.timing.lease_s),
    )
    control.add_task("version_mover", mover.run)
    control.add_task("evidence_reporter", mover.run_reporter)
    return mover


def _slot_rows(scheduler: ZoneScheduler) -> Sequence[Mapping[str, Any]]:
    upstreams = scheduler.snapshot()["upstreams"]
    return [{"upstream": vm_id, **row} for vm_id, row in upstreams.items()]
