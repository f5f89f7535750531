"""One entry node: builds and holds all parts."""

from collections.abc import Mapping, Sequence

import structlog

from tanagerport.clock import Clock, SystemClock
from tanagerport.frontend import CallerApplication
from tanagerport.http_server import HttpServer
from tanagerport.metrics import Metrics
from tanagerport.model import VM, RefusalReason, WorkClass
from tanagerport.pipeline import RequestPipeline
from tanagerport.scheduler import Scheduler, StaticScheduler
from tanagerport.settings import Settings
from tanagerport.upstream_client import UpstreamClient

_log = structlog.get_logger(__name__)
_DRAIN_POLL_S = 0.02


class Node:
    """An entry node.

    Use `create_node` to build one.
    """

    def __init__(
        self,
        settings: Settings,
        scheduler: Scheduler,
        client: UpstreamClient,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._metrics = metrics
        self._clock = clock
        self._classes = {item.name: item for item in settings.classes}
        self._draining = False
        self._pipeline = RequestPipeline(scheduler, client, metrics, clock)
        self._caller_server = HttpServer(
            settings.listen,
            CallerApplication(self, self._pipeline, metrics, clock),
            threads=settings.caller_threads,
            max_body_bytes=settings.max_body_bytes,
        )

    @property
    def caller_address(self) -> str:
        """Bound `ip:port` of callers' traffic."""
        return self._caller_server.address

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Classes in force, by name."""
        return self._classes

    @property
    def metrics(self) -> Metrics:
        """Metrics of the node."""
        return self._metrics

    @property
    def not_ready_reason(self) -> str:
        """Why the node takes no traffic; empty when it does."""
        return RefusalReason.DRAINING.value if self._draining else ""

    def start(self) -> None:
        """Starts to serve.

        Raises:
            OSError: An address can't be bound.
        """
        self._caller_server.start()
        _log.info("node_started", address=self.caller_address)

    def drain(self) -> None:
        """Takes no new request and waits for those in progress."""
        self._draining = True
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
        _log.info("node_stopped")


def create_node(settings: Settings, clock: Clock | None = None) -> Node:
    """Builds a node from its settings.

    Args:
        settings: Checked settings.
        clock: Source of time; the system's by default.
    """
    clock = clock or SystemClock()

    def upstreams() -> Sequence[VM]:
        return settings.platform.vms

    scheduler = StaticScheduler(upstreams, clock, settings.queue_limit)
    return Node(
        settings,
        scheduler,
        UpstreamClient(settings.timing),
        Metrics(),
        clock,
    )
