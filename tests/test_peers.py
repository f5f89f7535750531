"""Tests of `tanagerport.peers` over loopback connections."""

import asyncio
import dataclasses
import socket
import threading
from collections.abc import Iterator, Mapping

import pytest

from cluster import FAST, make_settings, wait_until
from tanagerport.clock import SystemClock
from tanagerport.exceptions import PeerError
from tanagerport.fault_proxy import FaultProxy
from tanagerport.interfaces import NodeView
from tanagerport.peer_pb2 import (
    ClaimReply,
    ClaimRequest,
    ForwardRequest,
    Frame,
    Heartbeat,
    ReclaimReply,
    ReclaimRequest,
)
from tanagerport.peer_server import HandlerRegistry, PeerServer
from tanagerport.peers import Peers
from tanagerport.supervisor import LoopThread, Supervisor


class _Directory:
    """Addresses of peers, set by the test."""

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.heartbeats = True

    def node(self, node_id: str) -> NodeView | None:
        address = self.addresses.get(node_id)
        return NodeView(node_id, "za", "r", address) if address else None

    def heartbeat_intervals(self) -> Mapping[str, float]:
        if not self.heartbeats:
            return {}
        return dict.fromkeys(self.addresses, FAST.heartbeat_s)


class _Recorder:
    """Heartbeat part that counts what arrives."""

    def __init__(self) -> None:
        self.heard: list[Heartbeat] = []

    def fill(self, heartbeat: Heartbeat, peer: NodeView) -> None:
        del peer
        heartbeat.zone = "za"

    def receive(self, heartbeat: Heartbeat) -> None:
        self.heard.append(heartbeat)


class _Node:
    def __init__(self, name: str, token: str = "peer-token") -> None:
        self.directory = _Directory()
        self.recorder = _Recorder()
        self.loop = LoopThread(name)
        self.supervisor = Supervisor(name)
        settings = dataclasses.replace(make_settings(name), peer_token=token)
        self.peers = Peers(
            settings,
            self.directory,
            self.loop,
            self.supervisor,
            SystemClock(),
            idle_close_s=0.3,
        )
        self.peers.add_heartbeat_part(self.recorder)
        self.peers.bind()
        self.loop.start()
        self.loop.run(self.peers.start(), 5.0)

    def stop(self) -> None:
        self.loop.run(self._stop(), 5.0)
        self.loop.stop()

    async def _stop(self) -> None:
        await self.supervisor.close()
        await self.peers.stop()


@pytest.fixture(name="nodes")
def _nodes() -> Iterator[tuple[_Node, _Node]]:
    first, second = _Node("n1"), _Node("n2")
    first.directory.addresses["n2"] = second.peers.address
    second.directory.addresses["n1"] = first.peers.address
    yield first, second
    first.stop()
    second.stop()


_Nodes = tuple[_Node, _Node]


class TestHeartbeats:
    """Guards against heartbeats that stop or go one way only."""

    def test_one_exchange_carries_both_heartbeats(self, nodes: _Nodes) -> None:
        first, second = nodes
        second.directory.heartbeats = False
        wait_until(lambda: len(second.recorder.heard) >= 2)
        wait_until(lambda: len(first.recorder.heard) >= 2)
        introduction = second.recorder.heard[0]
        assert introduction.node_id == "n1"
        assert introduction.address == first.peers.address

    def test_higher_name_takes_over_if_it_hears_nothing(
        self, nodes: _Nodes
    ) -> None:
        """Guards against silence when the lower name can't connect."""
        first, second = nodes
        first.directory.heartbeats = False
        wait_until(lambda: len(first.recorder.heard) >= 5)
        assert len(second.recorder.heard) >= 4

    def test_silent_connection_is_replaced(self, nodes: _Nodes) -> None:
        """Guards against a connection that hangs while new ones work."""
        first, second = nodes
        second.directory.heartbeats = False
        proxy = FaultProxy(second.peers.address)
        second.loop.run(proxy.start(), 5.0)
        first.directory.addresses["n2"] = proxy.address
        wait_until(lambda: len(first.recorder.heard) >= 2)
        wait_until(lambda: proxy.silence_open() > 0)
        wait_until(lambda: first.peers.replacements == 1)
        heard = len(first.recorder.heard)
        wait_until(lambda: len(first.recorder.heard) > heard + 2)

    def test_failing_part_does_not_silence_the_others(
        self, nodes: _Nodes
    ) -> None:
        first, _ = nodes

        class _Broken(_Recorder):
            def receive(self, heartbeat: Heartbeat) -> None:
                raise ValueError

        after = _Recorder()
        first.peers.add_heartbeat_part(_Broken())
        first.peers.add_heartbeat_part(after)
        wait_until(lambda: bool(after.heard))


class TestCalls:
    """Guards against calls without an answer, an error or a bound."""

    def test_calls_the_handler_in_a_thread(self, nodes: _Nodes) -> None:
        """Guards against a handler that blocks the event loop."""
        first, second = nodes
        threads: list[str] = []

        def handle(request: ReclaimRequest) -> ReclaimReply:
            threads.append(threading.current_thread().name)
            return ReclaimReply(upstream_id=request.model)

        second.peers.register("Reclaim", handle)
        request = ReclaimRequest(model="k")
        reply = first.peers.call("n2", "Reclaim", request, 5.0)
        assert reply.upstream_id == "k"
        assert threads[0].startswith("peer-call")
        second.peers.call("n2", "Reclaim", request, 5.0)
        assert threads[1] == threading.current_thread().name

    def test_claims_are_answered_without_a_thread(self, nodes: _Nodes) -> None:
        """Guards against a thread switch in the first token of each key."""
        first, second = nodes
        threads: list[str] = []

        def handle(request: ClaimRequest) -> ClaimReply:
            threads.append(threading.current_thread().name)
            return ClaimReply(owner_request_id=request.key)

        second.peers.register("Claim", handle)
        reply = first.peers.call("n2", "Claim", ClaimRequest(key="k"), 5.0)
        assert reply.owner_request_id == "k"
        assert not threads[0].startswith("peer-call")

    def test_handler_error_and_missing_handler_are_peer_errors(
        self, nodes: _Nodes
    ) -> None:
        first, second = nodes
        with pytest.raises(PeerError, match="no handler"):
            first.peers.call("n2", "Claim", ClaimRequest(), 5.0)
        second.peers.register("Claim", lambda _: 1 / 0)
        with pytest.raises(PeerError, match="handler failed"):
            first.peers.call("n2", "Claim", ClaimRequest(), 5.0)
        with pytest.raises(PeerError, match="no known address"):
            first.peers.call("n9", "Claim", ClaimRequest(), 5.0)

    def test_slow_handler_times_out(self, nodes: _Nodes) -> None:
        first, second = nodes
        release = threading.Event()
        second.peers.register("Claim", lambda _: release.wait(10))
        with pytest.raises(PeerError):
            first.peers.call("n2", "Claim", ClaimRequest(), 0.05)
        release.set()

    def test_replies_are_not_delayed_by_the_kernel(self) -> None:
        """Guards against 40 ms a reply for a delayed acknowledgement.

        asyncio turns the delay off only for sockets that state the protocol.
        """
        server = PeerServer(
            "127.0.0.1:0", "token", HandlerRegistry(), lambda item: item
        )
        server.bind()
        assert server._socket is not None
        assert server._socket.proto == socket.IPPROTO_TCP
        asyncio.run(server.stop())

    def test_idle_connection_is_closed_and_opened_again(
        self, nodes: _Nodes
    ) -> None:
        """Guards against one open connection for each node of the system."""
        first, second = nodes
        second.peers.register("Claim", lambda _: ClaimReply())
        for node in nodes:
            node.directory.heartbeats = False
        first.peers.call("n2", "Claim", ClaimRequest(), 5.0)
        wait_until(lambda: first.peers.open_connections == 0)
        first.peers.call("n2", "Claim", ClaimRequest(), 5.0)

    def test_wrong_token_is_refused(self, nodes: _Nodes) -> None:
        """Guards against callers that reach the peer listener."""
        first, _ = nodes
        first.peers.register("Claim", lambda _: ClaimReply())
        stranger = _Node("n0", token="another-token")
        stranger.directory.addresses["n1"] = first.peers.address
        with pytest.raises(PeerError, match="token"):
            stranger.peers.call("n1", "Claim", ClaimRequest(), 5.0)
        assert all(item.node_id != "n0" for item in first.recorder.heard)
        stranger.stop()

    def test_blocking_call_in_the_loop_is_an_error(self, nodes: _Nodes) -> None:
        """Guards against a deadlock of the event loop."""
        first, _ = nodes

        async def block() -> None:
            first.peers.call("n2", "Claim", ClaimRequest(), 5.0)

        with pytest.raises(RuntimeError):
            first.loop.run(block(), 5.0)


class TestStreams:
    """Guards against frames that are lost, reordered or awaited forever."""

    def test_all_frames_arrive_in_order(self, nodes: _Nodes) -> None:
        first, second = nodes
        second.peers.register(
            "Forward",
            lambda _: (Frame(sequence=number) for number in range(500)),
        )
        frames = first.peers.stream("n2", "Forward", ForwardRequest(), 5.0)
        assert [item.sequence for item in frames] == list(range(500))

    def test_stream_without_progress_ends_in_an_error(
        self, nodes: _Nodes
    ) -> None:
        first, second = nodes
        release = threading.Event()

        def frames(_: ForwardRequest) -> Iterator[Frame]:
            yield Frame(sequence=0)
            release.wait(10)

        second.peers.register("Forward", frames)
        stream = first.peers.stream("n2", "Forward", ForwardRequest(), 0.1)
        assert next(stream).sequence == 0
        with pytest.raises(PeerError, match="no progress"):
            next(stream)
        release.set()

    def test_closing_the_stream_closes_the_handler(self, nodes: _Nodes) -> None:
        """Guards against a generation that goes on without a reader."""
        first, second = nodes
        closed = threading.Event()

        def frames(_: ForwardRequest) -> Iterator[Frame]:
            try:
                while True:
                    yield Frame(data=b"x" * 1000)
            finally:
                closed.set()

        second.peers.register("Forward", frames)
        stream = first.peers.stream("n2", "Forward", ForwardRequest(), 5.0)
        next(stream)
        stream.close()  # type: ignore[attr-defined]
        assert closed.wait(10)


class TestSupervisor:
    """Guards against tasks that stay dead after a failure."""

    def test_failed_task_starts_again_and_close_ends_the_tree(self) -> None:
        starts: list[int] = []

        async def fail_once() -> None:
            starts.append(1)
            if len(starts) == 1:
                raise ValueError("planted")
            await asyncio.Event().wait()

        async def run() -> int:
            supervisor = Supervisor("test", seed=1)
            supervisor.child("part").add("task", fail_once)
            while len(starts) < 2:
                await asyncio.sleep(0.01)
            await supervisor.close()
            assert not supervisor.child("part").task_names
            return supervisor.restarts

        assert asyncio.run(run()) == 1
