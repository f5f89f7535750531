"""Tests of the detection of peers whose host is gone."""

import asyncio
import dataclasses
import socket
import struct

import pytest

import platform_standin as standin
from tanagerport.gateway import channel as channel_module
from tanagerport.gateway import peer_watch
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.tcp_state import TcpState, read_tcp_state

_ALIVE = TcpState(unanswered_probes=0, silent_s=0.1, acknowledged_bytes=0)
_GONE = dataclasses.replace(_ALIVE, unanswered_probes=3, silent_s=4.5)


async def open_pair() -> tuple[Channel, socket.socket, asyncio.Server]:
    """Returns an accepted channel and the socket at its other end."""
    loop = asyncio.get_running_loop()
    accepted: asyncio.Future[Channel] = loop.create_future()
    server = await loop.create_server(
        lambda: Channel(accepted.set_result), standin.HOST, 0
    )
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, server.sockets[0].getsockname())
    return await accepted, client, server


@pytest.fixture(name="check_interval_s", autouse=True)
def fixture_check_interval_s(monkeypatch: pytest.MonkeyPatch) -> float:
    interval_s = 0.05
    monkeypatch.setattr(peer_watch, "_CHECK_INTERVAL_S", interval_s)
    return interval_s


def play(
    monkeypatch: pytest.MonkeyPatch, state: TcpState, writes: bool = True
) -> bool:
    """Returns whether a channel in a state is open after some checks."""

    async def run() -> bool:
        channel, client, server = await open_pair()
        monkeypatch.setattr(
            channel_module, "read_tcp_state", lambda transport: state
        )
        if writes:
            channel.write(b"x")
        await asyncio.sleep(0.3)
        is_open = channel.is_open
        if not is_open:
            with pytest.raises(ConnectionError, match="does not answer"):
                await channel.read()
        channel.abort()
        client.close()
        server.close()
        return is_open

    return asyncio.run(run())


class TestGonePeer:
    """Guards against waiting for a peer whose host is gone."""

    def test_unanswered_probes_end_the_connection(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        assert not play(monkeypatch, _GONE)

    def test_kernel_that_leaves_fields_empty(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against waiting where the kernel tells no times."""
        monkeypatch.setattr(peer_watch, "PEER_TIMEOUT_S", 0.15)
        assert not play(monkeypatch, TcpState(0, 0.0, 0))


class TestLivePeer:
    """Guards against ending a connection whose peer is alive."""

    @pytest.mark.parametrize(
        "state",
        [
            _ALIVE,
            dataclasses.replace(_GONE, unanswered_probes=1),
            dataclasses.replace(_GONE, silent_s=1.5),
            # The kernel tells no times, and the peer has just begun to stall.
            TcpState(0, 0.0, 0),
            # A window that has been closed for long is probed rarely.
            dataclasses.replace(_ALIVE, silent_s=50.0),
        ],
    )
    def test_answered_probes_keep_the_connection(
        self, monkeypatch: pytest.MonkeyPatch, state: TcpState
    ) -> None:
        assert play(monkeypatch, state)

    def test_quiet_connection_is_not_checked(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a system call per second and idle connection."""
        assert play(monkeypatch, _GONE, writes=False)


class TestTcpState:
    """Guards against reading another field of the kernel's answer."""

    def test_state_of_a_peer_that_does_not_read(self) -> None:
        async def run() -> None:
            channel, client, server = await open_pair()
            channel.write(b"x" * 16_000_000)
            await asyncio.sleep(1.0)
            transport = channel._transport
            state = read_tcp_state(transport)
            assert state is not None
            assert 0 < state.acknowledged_bytes < 16_000_000
            assert state.silent_s < peer_watch.PEER_TIMEOUT_S
            unacknowledged_bytes = channel.unacknowledged_bytes
            assert unacknowledged_bytes is not None
            assert unacknowledged_bytes + state.acknowledged_bytes == (
                16_000_000
            )
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            client.close()
            server.close()
            await channel.flush()
            assert channel.unacknowledged_bytes == unacknowledged_bytes
            assert read_tcp_state(transport) is None

        asyncio.run(run())
