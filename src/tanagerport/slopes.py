"""Measured cost of one more peer, upstream, class, change, stream or token.

The slopes feed docs/CAPACITY.md. Processor time is of the whole process,
from `time.process_time`; memory is what `tracemalloc` counts, or resident
memory where threads are involved.
"""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Callable, Iterator

from tanagerport.clock import SystemClock
from tanagerport.config_records import (
    ConfigEntry,
    RecordBody,
    class_key,
    encode,
)
from tanagerport.config_state import ConfigurationState
from tanagerport.configuration import ConfigurationStore
from tanagerport.data_path_slopes import data_path_slopes
from tanagerport.fault_proxy import FaultProxy
from tanagerport.interfaces import NodeView
from tanagerport.membership import Membership
from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.peer_connection import PeerConnection
from tanagerport.peer_pb2 import (
    FetchRecordsReply,
    FetchRecordsRequest,
    Heartbeat,
)
from tanagerport.peer_server import HandlerRegistry, PeerServer
from tanagerport.platform_memory import MemoryTableStore, MemoryVMList
from tanagerport.settings import PlatformSettings, Settings
from tanagerport.slope_fit import Slope, fit_slope, memory_of
from tanagerport.spread import Spread

_LOOPBACK = "127.0.0.1:0"
_TOKEN = "slopes-token"
_ZONE, _REGION = "zone-a", "region-a"
_TIMEOUT_S = 5.0
_PEER_SIZES = (4, 16, 40)
_STATE_SIZES = (120, 360, 1200)
_CHANGE_SIZES = (100, 400, 1200)
_EXCHANGES = 40


def measure_slopes() -> dict[str, object]:
    """Measures all slopes.

    Returns:
        Document of each slope by name.
    """
    slopes = itertools.chain(
        _control_slopes(), data_path_slopes(slope_settings())
    )
    return {slope.name: slope.to_document() for slope in slopes}


def _control_slopes() -> Iterator[Slope]:
    yield fit_slope(
        "heartbeat_exchange_cpu",
        "s of processor for one exchange with one peer, both sides",
        _PEER_SIZES,
        _exchange_cpu_s,
    )
    yield fit_slope(
        "heartbeat_exchange_bytes",
        "bytes on the connection for one exchange, both ways",
        (20, 40, 80),
        _exchange_bytes,
    )
    yield fit_slope(
        "membership_node_memory",
        "bytes for each entry node known",
        _STATE_SIZES,
        lambda size: memory_of(lambda: _membership(nodes=size)),
    )
    yield fit_slope(
        "membership_upstream_memory",
        "bytes for each upstream known",
        _STATE_SIZES,
        lambda size: memory_of(lambda: _membership(upstreams=size)),
    )
    yield fit_slope(
        "vm_list_read_cpu",
        "s of processor for each VM of one read of the VM list",
        _STATE_SIZES,
        _vm_list_cpu_s,
    )
    yield fit_slope(
        "class_memory",
        "bytes for each class in force",
        _CHANGE_SIZES,
        lambda size: memory_of(lambda: _state_with_classes(size)),
    )
    yield fit_slope(
        "change_apply_cpu",
        "s of processor for each change applied one by one, 300 classes",
        _CHANGE_SIZES,
        _change_cpu_s,
    )
    yield fit_slope(
        "change_bytes",
        "bytes for each changed record sent to a peer",
        _CHANGE_SIZES,
        _change_bytes,
    )


def slope_settings(**changes: object) -> Settings:
    """Returns settings of a node for measurements."""
    settings = Settings(
        node_id="node-0",
        zone=_ZONE,
        region=_REGION,
        listen=_LOOPBACK,
        operator_listen=_LOOPBACK,
        peer_listen=_LOOPBACK,
        operator_token=_TOKEN,
        peer_token=_TOKEN,
        platform=PlatformSettings(),
    )
    return dataclasses.replace(settings, **changes)  # type: ignore[arg-type]


def _exchange_cpu_s(peers: int) -> float:
    """Returns processor seconds of one exchange with each of the peers."""
    return asyncio.run(_run_exchanges(peers)) / _EXCHANGES


async def _run_exchanges(peers: int) -> float:
    async with asyncio.timeout(60):
        servers = [_responder() for _ in range(peers)]
        for server in servers:
            server.bind()
            await server.start()
        connections = [
            PeerConnection(server.address, _TOKEN, _TIMEOUT_S)
            for server in servers
        ]
        parts = _Parts()
        for connection in connections:
            await connection.exchange(parts.make_heartbeat)
        started = time.process_time()
        for _ in range(_EXCHANGES):
            replies = await asyncio.gather(
                *(item.exchange(parts.make_heartbeat) for item in connections)
            )
            for reply in replies:
                parts.receive(reply)
        elapsed_s = time.process_time() - started
        for connection in connections:
            connection.close()
        for server in servers:
            await server.stop()
    return elapsed_s


def _exchange_bytes(exchanges: int) -> float:
    return asyncio.run(_run_counted_exchanges(exchanges))


async def _run_counted_exchanges(exchanges: int) -> float:
    async with asyncio.timeout(60):
        server = _responder()
        server.bind()
        await server.start()
        proxy = FaultProxy(server.address)
        await proxy.start()
        connection = PeerConnection(proxy.address, _TOKEN, _TIMEOUT_S)
        parts = _Parts()
        for _ in range(exchanges):
            await connection.exchange(parts.make_heartbeat)
        total = proxy.bytes_sent + proxy.bytes_received
        connection.close()
        proxy.stop()
        await server.stop()
    return float(total)


def _responder() -> PeerServer:
    parts = _Parts()

    def answer(heartbeat: Heartbeat) -> Heartbeat:
        parts.receive(heartbeat)
        return parts.make_heartbeat()

    return PeerServer(_LOOPBACK, _TOKEN, HandlerRegistry(), answer)


class _Parts:
    """Heartbeat parts of a node in a zone of today's size."""

    def __init__(self) -> None:
        clock = SystemClock()
        self._membership = _membership(nodes=3, upstreams=4)
        store = ConfigurationStore(MemoryTableStore(), clock, "node-0", seed=1)
        self._spread = Spread(
            slope_settings(), store, _NoPeers(), self._membership, clock
        )
        self._peer = NodeView("node-1", _ZONE, _REGION, "")
        self._sequence = 0

    def make_heartbeat(self) -> Heartbeat:
        self._sequence += 1
        heartbeat = Heartbeat(node_id="node-1", sequence=self._sequence)
        self._membership.fill(heartbeat, self._peer)
        self._spread.fill(heartbeat, self._peer)
        return heartbeat

    def receive(self, heartbeat: Heartbeat) -> None:
        self._membership.receive(heartbeat)
        self._spread.receive(heartbeat)


class _NoPeers:
    """Peer network without peers."""

    async def call_in_loop(
        self,
        node_id: str,
        method: str,
        message: FetchRecordsRequest,
        timeout_s: float,
    ) -> FetchRecordsReply:
        raise NotImplementedError(method)

    def wake(self) -> None:
        pass


def _membership(nodes: int = 1, upstreams: int = 0) -> Membership:
    membership = Membership(slope_settings(), MemoryVMList(), SystemClock())
    membership.take_list(_vms(nodes, upstreams))
    return membership


def _vms(nodes: int, upstreams: int) -> list[VM]:
    entries = [
        VM(f"node-{number}", VMRole.ENTRY, _ZONE, _REGION, f"10.0.0.1:{number}")
        for number in range(nodes)
    ]
    engines = [
        VM(
            f"engine-{number}",
            VMRole.ENGINE,
            _ZONE,
            _REGION,
            f"10.0.0.2:{number}",
            serves=("model-1",),
        )
        for number in range(upstreams)
    ]
    return entries + engines


def _vm_list_cpu_s(upstreams: int) -> float:
    membership = _membership(upstreams=upstreams)
    vms = _vms(1, upstreams)
    return _cpu_s(lambda: membership.take_list(vms), repeats=5)


def _state_with_classes(classes: int) -> ConfigurationState:
    state = ConfigurationState(SystemClock())
    state.merge([_entry(number, 1) for number in range(classes)], classes)
    return state


def _entry(number: int, revision: int) -> ConfigEntry:
    work_class = WorkClass(f"class-{number}", 1, UpstreamKind.ENGINE, "model-1")
    value = dataclasses.asdict(work_class)
    body = RecordBody(revision, "operator", f"operation-{number}", 0.0, value)
    return ConfigEntry(class_key(work_class.name), revision, body)


def _change_cpu_s(changes: int) -> float:
    state = _state_with_classes(300)
    entries = [_entry(number % 300, 2 + number) for number in range(changes)]

    def apply_all() -> None:
        for version, entry in enumerate(entries, 1000):
            state.merge([entry], version)

    return _cpu_s(apply_all, repeats=1)


def _change_bytes(changes: int) -> float:
    return float(
        sum(
            len(encode(_entry(number, 1).body)) + 24
            for number in range(changes)
        )
    )


def _cpu_s(action: Callable[[], None], repeats: int) -> float:
    """Returns processor seconds of one run of the action."""
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats
