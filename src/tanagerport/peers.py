"""Calls and heartbeats between nodes."""

import asyncio
import contextlib
import dataclasses
import functools
import ipaddress
import queue
import random
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from typing import Any, Protocol

import structlog

from tanagerport.clock import Clock
from tanagerport.exceptions import PeerError
from tanagerport.interfaces import HeartbeatPart, NodeView
from tanagerport.peer_connection import PeerConnection
from tanagerport.peer_pb2 import Frame, Heartbeat
from tanagerport.peer_server import HandlerRegistry, PeerServer
from tanagerport.settings import Settings, split_address
from tanagerport.supervisor import LoopThread, Supervisor

_log = structlog.get_logger(__name__)

# One exchange carries both nodes' heartbeats, so the node with the lower name
# starts it. The other starts one only this often, to keep its own connection
# tested, or when it has not heard from the peer.
_PASSIVE_INTERVALS = 4
_UNHEARD_INTERVALS = 1.5
# Heartbeats keep the connections to neighbours in use. Others serve a claim or
# a forwarded request now and then, and there may be one for each node.
IDLE_CLOSE_S = 30.0
# Spread of intervals, so that heartbeats of many nodes do not align.
_MIN_INTERVAL_SHARE = 0.8
_MANAGE_INTERVAL_S = 0.1
_STREAM_QUEUE_FRAMES = 64
_QUEUE_FULL_PAUSE_S = 0.005
_STOP_TIMEOUT_S = 2.0


class PeerDirectory(Protocol):
    """Where peers are and how often to exchange heartbeats with them."""

    def node(self, node_id: str) -> NodeView | None:
        """Returns what is known of a node."""

    def heartbeat_intervals(self) -> Mapping[str, float]:
        """Returns seconds between heartbeats by node id."""


@dataclasses.dataclass
class _Peer:
    """State of the heartbeats with one node."""

    wake: asyncio.Event
    introduced_to_boot: str = ""
    received_at: float = float("-inf")
    exchanged_at: float = float("-inf")


class Peers:
    """Implements `PeerNetwork` with gRPC.

    Args:
        settings: Settings of the node.
        directory: Where peers are.
        loop: Event loop of the control plane.
        supervisor: Runs one task for each peer.
        clock: Source of time.
        idle_close_s: Idle time after which a connection is closed.
    """

    def __init__(
        self,
        settings: Settings,
        directory: PeerDirectory,
        loop: LoopThread,
        supervisor: Supervisor,
        clock: Clock,
        idle_close_s: float = IDLE_CLOSE_S,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._loop = loop
        self._supervisor = supervisor
        self._tasks = supervisor.child("peers")
        self._clock = clock
        self._idle_close_s = idle_close_s
        self._registry = HandlerRegistry()
        self._server = PeerServer(
            settings.peer_listen,
            settings.peer_token,
            self._registry,
            self._answer_exchange,
        )
        self._parts: list[HeartbeatPart] = []
        self._connections: dict[str, PeerConnection] = {}
        self._peers: dict[str, _Peer] = {}
        self._sequence = 0
        self._bytes_sent = 0
        self._bytes_received = 0
        self._random = random.Random(settings.node_id)
        # An unspecified address names no host that a peer could reach.
        self._listens_everywhere = ipaddress.ip_address(
            split_address(settings.peer_listen)[0]
        ).is_unspecified

    @property
    def address(self) -> str:
        """Bound `ip:port` of the peer listener."""
        return self._server.address

    @property
    def open_connections(self) -> int:
        """Connections that this node opened to peers."""
        return len(self._connections)

    @property
    def replacements(self) -> int:
        """Silent connections that were replaced."""
        return sum(
            item.replacements for item in list(self._connections.values())
        )

    @property
    def heartbeat_bytes(self) -> tuple[int, int]:
        """Bytes of encoded heartbeats sent and received."""
        return self._bytes_sent, self._bytes_received

    def register(self, method: str, handler: Callable[[Any], Any]) -> None:
        """Sets the handler of a method; it runs in a thread of a pool."""
        self._registry.register(method, handler)

    def add_heartbeat_part(self, part: HeartbeatPart) -> None:
        """Lets a part put its data into heartbeats."""
        self._parts.append(part)

    def bind(self) -> None:
        """Binds the peer listener.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.bind()

    async def start(self) -> None:
        """Serves peers and starts heartbeats; runs in the event loop."""
        await self._server.start()
        self._supervisor.add("peer_manager", self._manage_peers)

    async def stop(self) -> None:
        """Closes all connections; runs in the event loop."""
        await self._server.stop()
        for connection in self._connections.values():
            connection.close()
        self._registry.close()

    def wake(self) -> None:
        """Starts an exchange with every peer now; from any thread."""
        with contextlib.suppress(RuntimeError):  # The loop has ended.
            self._loop.loop.call_soon_threadsafe(self._wake_all)

    def call(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Any:
        """Calls a unary method of a node and returns its reply.

        Raises:
            PeerError: The node was not reached or did not answer in time.
        """
        if node_id == self._settings.node_id:
            return self._registry.find(method)(message)
        try:
            return self._loop.run(
                self.call_in_loop(node_id, method, message, timeout_s),
                timeout_s + _STOP_TIMEOUT_S,
            )
        except TimeoutError as error:
            raise PeerError(f"{method} at {node_id} timed out") from error

    async def call_in_loop(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Any:
        """Calls a unary method of another node from the event loop.

        Raises:
            PeerError: The node was not reached or did not answer in time.
        """
        connection = self._connection(node_id)
        return await connection.call(method, message, timeout_s)

    def stream(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Iterator[Frame]:
        """Calls a streaming method and yields frames as they arrive.

        Args:
            node_id: Node to call.
            method: Method name.
            message: Request message.
            timeout_s: Longest time without a frame, in seconds.

        Raises:
            PeerError: The stream broke or made no progress in time.
        """
        if node_id == self._settings.node_id:
            yield from self._registry.find(method)(message)
            return
        frames: queue.Queue[Frame | PeerError | None] = queue.Queue(
            _STREAM_QUEUE_FRAMES
        )
        pump = self._loop.submit(self._pump(node_id, method, message, frames))
        try:
            while (item := _next_item(frames, timeout_s)) is not None:
                if isinstance(item, PeerError):
                    raise item
                yield item
        finally:
            pump.cancel()

    async def _pump(
        self,
        node_id: str,
        method: str,
        message: Any,
        frames: "queue.Queue[Frame | PeerError | None]",
    ) -> None:
        try:
            source: AsyncIterator[Frame] = self._connection(node_id).stream(
                method, message
            )
            async with contextlib.aclosing(source):  # type: ignore[type-var]
                async for frame in source:
                    await _put(frames, frame)
        except PeerError as error:
            await _put(frames, error)
        else:
            await _put(frames, None)

    def _connection(self, node_id: str) -> PeerConnection:
        view = self._directory.node(node_id)
        if view is None or not view.address:
            raise PeerError(f"node {node_id!r} has no known address")
        connection = self._connections.get(node_id)
        if connection is not None and connection.address != view.address:
            connection.close()
            connection = None
        if connection is None:
            connection = PeerConnection(
                view.address,
                self._settings.peer_token,
                self._settings.timing.suspect_after_s,
            )
            self._connections[node_id] = connection
        return connection

    async def _manage_peers(self) -> None:
        """Keeps one heartbeat task for each peer that should have one."""
        while True:
            wanted = self._directory.heartbeat_intervals()
            running = self._tasks.task_names
            for node_id in running - wanted.keys():
                self._tasks.cancel(node_id)
                self._peers.pop(node_id, None)
            for node_id in wanted.keys() - running:
                self._peers.setdefault(node_id, _Peer(asyncio.Event()))
                self._tasks.add(
                    node_id, functools.partial(self._run_peer, node_id)
                )
            self._close_unused()
            await asyncio.sleep(_MANAGE_INTERVAL_S)

    def _close_unused(self) -> None:
        for node_id, connection in list(self._connections.items()):
            is_gone = self._directory.node(node_id) is None
            if is_gone or connection.idle_s > self._idle_close_s:
                self._connections.pop(node_id).close()

    async def _run_peer(self, node_id: str) -> None:
        peer = self._peers[node_id]
        while True:
            interval_s = self._directory.heartbeat_intervals().get(node_id)
            if interval_s is None:
                return
            if peer.wake.is_set() or self._is_due(node_id, peer, interval_s):
                peer.wake.clear()
                await self._exchange(node_id, peer)
            pause_s = interval_s * self._random.uniform(_MIN_INTERVAL_SHARE, 1)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await peer.wake.wait()

    def _is_due(self, node_id: str, peer: _Peer, interval_s: float) -> bool:
        if self._settings.node_id < node_id:
            return True
        now = self._clock.monotonic()
        return (
            now - peer.received_at > _UNHEARD_INTERVALS * interval_s
            or now - peer.exchanged_at > _PASSIVE_INTERVALS * interval_s
        )

    async def _exchange(self, node_id: str, peer: _Peer) -> None:
        view = self._directory.node(node_id)
        if view is None:
            return
        peer.exchanged_at = self._clock.monotonic()
        introduce = not view.boot_id or view.boot_id != peer.introduced_to_boot
        try:
            reply = await self._connection(node_id).exchange(
                lambda: self._fill(view, introduce)
            )
        except PeerError as error:
            _log.debug("heartbeat_failed", peer=node_id, error=str(error))
            return
        peer.introduced_to_boot = reply.boot_id
        self._receive(reply)

    def _answer_exchange(self, heartbeat: Heartbeat) -> Heartbeat:
        self._receive(heartbeat)
        peer = self._peers.get(heartbeat.node_id)
        if peer is not None:
            peer.received_at = self._clock.monotonic()
        view = self._directory.node(heartbeat.node_id) or NodeView(
            heartbeat.node_id, heartbeat.zone, heartbeat.region, ""
        )
        # A node that introduces itself may not know this one either.
        return self._fill(view, bool(heartbeat.address))

    def _fill(self, view: NodeView, introduce: bool) -> Heartbeat:
        self._sequence += 1
        heartbeat = Heartbeat(
            node_id=self._settings.node_id, sequence=self._sequence
        )
        if introduce and not self._listens_everywhere:
            heartbeat.address = self.address
            heartbeat.region = self._settings.region
        for part in self._parts:
            part.fill(heartbeat, view)
        self._bytes_sent += heartbeat.ByteSize()
        return heartbeat

    def _receive(self, heartbeat: Heartbeat) -> None:
        self._bytes_received += heartbeat.ByteSize()
        for part in self._parts:
            try:
                part.receive(heartbeat)
            except Exception:
                # A fault of one part must not silence the others, which
                # carry liveness and grants.
                _log.exception(
                    "heartbeat_part_failed", part=type(part).__name__
                )

    def _wake_all(self) -> None:
        for peer in self._peers.values():
            peer.wake.set()


def _next_item(
    frames: "queue.Queue[Frame | PeerError | None]", timeout_s: float
) -> Frame | PeerError | None:
    try:
        return frames.get(timeout=timeout_s)
    except queue.Empty:
        return PeerError(f"the stream made no progress in {timeout_s:g} s")


async def _put(
    frames: "queue.Queue[Frame | PeerError | None]",
    item: Frame | PeerError | None,
) -> None:
    while True:
        try:
            frames.put_nowait(item)
        except queue.Full:
            # The consumer is a thread, which can't be awaited.
            await asyncio.sleep(_QUEUE_FULL_PAUSE_S)
        else:
            return
