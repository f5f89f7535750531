"""Tests of calls to others while the process stands still."""

import asyncio
import socket
import threading
import time
from collections.abc import Iterator

import pytest

import platform_standin as standin
from tanagerport.gateway import channel as channel_module
from tanagerport.gateway import table_exchange
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.settings import Address
from tanagerport.gateway.silence import silence_timeout
from tanagerport.gateway.table_copy import TableCopy
from tanagerport.gateway.table_exchange import TableClient
from tanagerport.gateway.table_store import Row, StoreVersion, TableRows
from tanagerport_platform import store as store_module
from tanagerport_platform.store import PlatformStore

_TIMEOUT_S = 0.3
_STANDSTILL_S = 0.5
_ANSWER_DELAY_S = 0.1


class ThreadServer:
    """Answers one request after a delay, in a thread that goes on.

    Args:
        body: Body of the answer.
    """

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._listener = socket.create_server((standin.HOST, 0))
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def port(self) -> int:
        """TCP port."""
        return int(self._listener.getsockname()[1])

    def close(self) -> None:
        """Closes the listening socket."""
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65536)
            time.sleep(_ANSWER_DELAY_S)
            connection.sendall(standin.response_bytes(200, self._body))
            connection.recv(1)


async def stand_still() -> None:
    """Stops the event loop after the tasks that are ready have blocked."""
    await asyncio.sleep(_ANSWER_DELAY_S / 2)
    time.sleep(_STANDSTILL_S)  # noqa: ASYNC251


class TestCallsToOthers:
    """Guards against answers that are lost when a late timer is due.

    The caller took its own standstill for the silence of the store, of another
    node or of an upstream.
    """

    @pytest.fixture
    def server(self, request: pytest.FixtureRequest) -> Iterator[ThreadServer]:
        server = ThreadServer(request.param)
        yield server
        server.close()

    @pytest.mark.parametrize(
        "server", [b'{"rows":[],"schema_version":3}'], indirect=True
    )
    def test_answer_of_the_store_is_read(self, server: ThreadServer) -> None:
        margin_s = store_module._WATCH_TIMEOUT_MARGIN_S

        async def scenario() -> TableRows:
            store = PlatformStore(
                Address(standin.HOST, server.port), Counters()
            )
            reading = asyncio.ensure_future(
                store.watch("t", 2, _TIMEOUT_S - margin_s)
            )
            await stand_still()
            return await reading

        assert asyncio.run(scenario()).version == 3

    @pytest.mark.parametrize("server", [b""], indirect=True)
    def test_table_of_another_node_is_read(
        self, server: ThreadServer, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(table_exchange, "_FETCH_TIMEOUT_S", _TIMEOUT_S)
        copy = TableCopy()
        copy.replace(TableRows((Row("k", b"v", 3, 0),), 3, 0))
        server._body = copy.encode_changes(StoreVersion(0, 0))

        async def scenario() -> int:
            fetching = asyncio.ensure_future(
                TableClient(server.port).fetch(
                    standin.HOST, "t", StoreVersion(0, 0)
                )
            )
            await stand_still()
            return (await fetching).version

        assert asyncio.run(scenario()) == 3

    @pytest.mark.parametrize("server", [b""], indirect=True)
    @pytest.mark.parametrize("turns", range(4))
    def test_connection_is_established(
        self, server: ThreadServer, turns: int
    ) -> None:
        async def scenario() -> bool:
            opening = asyncio.ensure_future(
                channel_module.open_channel(
                    standin.HOST, server.port, _TIMEOUT_S
                )
            )
            for _ in range(turns):
                await asyncio.sleep(0)
            time.sleep(_STANDSTILL_S)  # noqa: ASYNC251
            channel = await opening
            is_open = channel.is_open
            channel.abort()
            return is_open

        assert asyncio.run(scenario())


class TestSilentUpstream:
    """Guards against leaving a sound upstream for the node's own standstill."""

    def test_data_that_came_meanwhile_ends_the_silence(self) -> None:
        async def scenario() -> int:
            searches = 0

            async def find_place() -> bool:
                nonlocal searches
                searches += 1
                return True

            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            loop = asyncio.get_running_loop()
            with ours, theirs:
                loop.call_later(_TIMEOUT_S / 3, time.sleep, _STANDSTILL_S)
                sender = threading.Timer(_TIMEOUT_S, theirs.send, (b"ab",))
                sender.start()
                async with silence_timeout(_TIMEOUT_S, find_place):
                    # The answer takes more than one read.
                    await loop.sock_recv(ours, 1)
                    await asyncio.sleep(0.05)
                    await loop.sock_recv(ours, 1)
                sender.join()
            return searches

        assert asyncio.run(scenario()) == 0

    def test_silence_is_noticed_after_a_standstill(self) -> None:
        async def scenario() -> None:
            async def find_place() -> bool:
                return True

            asyncio.get_running_loop().call_later(0.1, time.sleep, 0.5)
            async with silence_timeout(_TIMEOUT_S, find_place):
                await asyncio.sleep(5.0)

        with pytest.raises(TimeoutError):
            asyncio.run(scenario())
