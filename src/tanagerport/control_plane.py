"""Control plane of a node: everything that runs in its event loop."""

import asyncio

import structlog

from tanagerport.clock import Clock
from tanagerport.configuration import ConfigurationStore
from tanagerport.membership import Membership
from tanagerport.peers import Peers
from tanagerport.platform import Platform
from tanagerport.settings import Settings
from tanagerport.spread import Spread
from tanagerport.supervisor import LoopThread, Supervisor, TaskFactory
from tanagerport.upstream_poll import UpstreamPoller

_START_TIMEOUT_S = 5.0
_STOP_TIMEOUT_S = 5.0
_READY_POLL_S = 0.01

_log = structlog.get_logger(__name__)


class ControlPlane:
    """Membership, peers and configuration of a node.

    Args:
        settings: Settings of the node.
        platform: Platform services.
        clock: Source of time.
    """

    def __init__(
        self, settings: Settings, platform: Platform, clock: Clock
    ) -> None:
        self._clock = clock
        self._has_platform_list = settings.platform.vm_list_url is not None
        self._loop = LoopThread(f"control-{settings.node_id}")
        self.supervisor = Supervisor("node", clock)
        self.membership = Membership(settings, platform.vm_list, clock)
        self.peers = Peers(
            settings, self.membership, self._loop, self.supervisor, clock
        )
        self.configuration = ConfigurationStore(
            platform.table, clock, settings.node_id
        )
        self.spread = Spread(
            settings, self.configuration, self.peers, self.membership, clock
        )
        self.poller = UpstreamPoller(settings, self.membership, clock)
        self._tasks: dict[str, TaskFactory] = {
            "membership_observer": self.membership.run_observer,
            "vm_list_reader": self.membership.run_list_reader,
            "config_fetcher": self.spread.run_fetcher,
            "config_store_reader": self.spread.run_store_reader,
            "conviction_writer": self.spread.run_conviction_writer,
            "load_poller": self.poller.run,
            "readiness": self._run_readiness,
        }
        # Membership goes first: others ask it about the sender.
        self.peers.add_heartbeat_part(self.membership)
        self.peers.add_heartbeat_part(self.spread)
        self.peers.register("FetchRecords", self.spread.answer_fetch)

    @property
    def is_ready(self) -> bool:
        """Whether the node knows the highest configuration version."""
        return self.spread.is_ready

    @property
    def cpu_seconds(self) -> float:
        """Processor time of the event loop's thread."""
        return self._loop.cpu_seconds

    def add_task(self, name: str, factory: TaskFactory) -> None:
        """Adds a supervised task; before `start`."""
        self._tasks[name] = factory

    def start(self) -> None:
        """Binds the peer listener and starts all tasks.

        Raises:
            OSError: The peer address can't be bound.
        """
        if not self._has_platform_list:
            # A list in memory is at hand, so the node need not start empty.
            self.membership.read_list()
        self.peers.bind()
        self.membership.set_address(self.peers.address)
        self._loop.start()
        self._loop.run(self._start(), _START_TIMEOUT_S)

    def wait_ready(self, timeout_s: float) -> bool:
        """Waits until the node is ready; returns whether it is."""
        give_up_at = self._clock.monotonic() + timeout_s
        while not self.is_ready:
            if self._clock.monotonic() >= give_up_at:
                return False
            self._clock.sleep(_READY_POLL_S)
        return True

    def stop(self) -> None:
        """Stops all tasks and the event loop, if they were started."""
        if not self._loop.is_running:
            return
        try:
            self._loop.run(self._stop(), _STOP_TIMEOUT_S)
        except TimeoutError:
            _log.warning("control_plane_stopped_late")
        self._loop.stop()
        self.poller.close()

    async def _start(self) -> None:
        await self.peers.start()
        for name, factory in self._tasks.items():
            self.supervisor.add(name, factory)

    async def _stop(self) -> None:
        await self.supervisor.close()
        await self.peers.stop()

    async def _run_readiness(self) -> None:
        """Task that tells peers when this node becomes ready."""
        while not self.spread.is_ready:
            await asyncio.sleep(_READY_POLL_S)
        self.membership.set_ready()
        _log.info("node_ready", version=self.configuration.version)
