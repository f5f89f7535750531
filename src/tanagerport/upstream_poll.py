"""Reads load reports of engines in the own zone."""

import asyncio
import concurrent.futures
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
import structlog
import urllib3

from tanagerport.clock import Clock
from tanagerport.interfaces import LoadReport
from tanagerport.model import VM, VMRole
from tanagerport.rendezvous import rendezvous_rank
from tanagerport.settings import Settings

_LOAD_PATH = "/load"
# A zone of today holds few engines; with more of them each is read less often.
_MAX_POLLS_PER_S = 20.0
_MAX_TIMEOUT_S = 1.0
_THREADS = 8
_IDLE_PAUSE_S = 0.25

_log = structlog.get_logger(__name__)


class _LoadMessage(msgspec.Struct):
    """Answer to `GET /load`; unknown fields are ignored."""

    running: int = 0
    waiting: int = 0
    max_batch: int = 0
    versions: dict[str, list[str]] = {}
    default_versions: dict[str, str] = {}
    age_s: float = 0.0
    leaving: bool = False


_decoder = msgspec.json.Decoder(_LoadMessage)


class LoadSink(Protocol):
    """What the poller needs of the membership."""

    def upstreams(self, zone: str | None = None) -> Sequence[VM]:
        """Returns upstreams of a zone."""

    def serving_nodes(self, zone: str) -> Sequence[str]:
        """Returns ids of nodes among which upstreams are divided."""

    def set_load(self, vm_id: str, report: LoadReport) -> None:
        """Records a load report."""


class UpstreamPoller:
    """Polls the engines that this node serves, evenly over the interval.

    Args:
        settings: Settings of the node.
        sink: Where upstreams come from and reports go to.
        clock: Source of time.
    """

    def __init__(
        self, settings: Settings, sink: LoadSink, clock: Clock
    ) -> None:
        self._settings = settings
        self._sink = sink
        self._clock = clock
        self._pool = urllib3.PoolManager(num_pools=256, retries=False)
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="load-poll"
        )
        self._in_progress: dict[str, asyncio.Task[None]] = {}
        self._failures = 0
        self._after_poll: list[Callable[[VM], None]] = []
        self._ranked_nodes: Sequence[str] = ()
        self._served: dict[str, bool] = {}

    @property
    def failures(self) -> int:
        """Reads that failed."""
        return self._failures

    def add_reader(self, read: Callable[[VM], None]) -> None:
        """Calls `read` with an engine after each poll of it, in a thread."""
        self._after_poll.append(read)

    async def run(self) -> None:
        """Task that polls until it is cancelled."""
        while True:
            engines = self.engines()
            if not engines:
                await asyncio.sleep(_IDLE_PAUSE_S)
                continue
            round_s = max(
                self._settings.timing.load_poll_s,
                len(engines) / _MAX_POLLS_PER_S,
            )
            for vm in engines:
                self._start(vm)
                await asyncio.sleep(round_s / len(engines))

    def engines(self) -> Sequence[VM]:
        """Returns engines of the own zone that this node serves."""
        zone = self._settings.zone
        engines = [
            vm for vm in self._sink.upstreams(zone) if vm.role is VMRole.ENGINE
        ]
        nodes = self._sink.serving_nodes(zone)
        wanted = self._settings.upstream_nodes
        if len(nodes) <= wanted:
            return engines
        self._forget_ranks(nodes)
        return [vm for vm in engines if self._serves(vm, nodes, wanted)]

    def poll(self, vm: VM) -> None:
        """Reads the report of one engine."""
        timeout_s = min(self._settings.timing.load_poll_s, _MAX_TIMEOUT_S)
        try:
            response = self._pool.request(
                "GET",
                f"http://{vm.address}{_LOAD_PATH}",
                timeout=urllib3.Timeout(total=timeout_s),
            )
            message = _decoder.decode(response.data)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            self._failures += 1
            _log.debug("load_unread", upstream=vm.vm_id, error=str(error))
            return
        if response.status == 200:
            self._sink.set_load(
                vm.vm_id, _to_report(message, self._clock.monotonic())
            )

    def close(self) -> None:
        """Ends the threads without waiting for them."""
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    def _forget_ranks(self, nodes: Sequence[str]) -> None:
        if self._ranked_nodes != nodes:
            self._ranked_nodes = list(nodes)
            self._served.clear()

    def _serves(self, vm: VM, nodes: Sequence[str], wanted: int) -> bool:
        """Returns whether this node serves an engine.

        Remembered while the nodes stay the same: at the planned size a zone
        has 1,200 engines and 60 nodes.
        """
        served = self._served.get(vm.vm_id)
        if served is None:
            ranked = rendezvous_rank(vm.vm_id, nodes)
            served = self._settings.node_id in ranked[:wanted]
            self._served[vm.vm_id] = served
        return served

    def _start(self, vm: VM) -> None:
        # An engine that hangs must not collect threads.
        if vm.vm_id in self._in_progress:
            return
        task = asyncio.create_task(self._poll_in_thread(vm))
        self._in_progress[vm.vm_id] = task
        task.add_done_callback(lambda _: self._in_progress.pop(vm.vm_id, None))

    async def _poll_in_thread(self, vm: VM) -> None:
        loop = asyncio.get_running_loop()
        for read in (self.poll, *self._after_poll):
            await loop.run_in_executor(self._threads, read, vm)


def _to_report(message: _LoadMessage, now: float) -> LoadReport:
    return LoadReport(
        message.running,
        message.waiting,
        message.max_batch,
        message.versions,
        message.default_versions,
        now,
        message.age_s,
        message.leaving,
    )
