"""Tests of requests on kept connections of clients."""

import asyncio
import concurrent.futures
import contextlib
import json
import socket
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

import platform_standin as standin
from tanagerport.gateway.client_messages import ClientRequest, ClientResponse
from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits

_T = TypeVar("_T")
_CLIENTS = 20
# Clients reuse connections that have been idle for up to four fifths of the
# idle timeout in force.
_REUSE_SHARE = 0.8
_HEADER_TIMEOUT_S = 0.5
_REQUEST = standin.request_bytes("GET", "/x", b"", {"Attempt-Id": "a"})


def make_limits(
    idle_timeout_s: float, header_bytes: int = 8192, body_bytes: int = 8192
) -> ClientLimits:
    return ClientLimits(
        header_bytes, body_bytes, _HEADER_TIMEOUT_S, idle_timeout_s
    )


class _EmptyHandler:
    """Answers each request at once."""

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        del request
        response.start(200, b"", [(b"Content-Length", b"0")])
        response.finish()


class Clients:
    """Clients in threads of their own, which a standstill does not stop.

    Args:
        port: Port of the server.
        count: Number of connections.
    """

    def __init__(self, port: int, count: int = _CLIENTS) -> None:
        self._port = port
        self._count = count
        self._sockets: list[socket.socket] = []
        self._pool = concurrent.futures.ThreadPoolExecutor(2)

    def close(self) -> None:
        """Closes all connections."""
        for sock in self._sockets:
            sock.close()
        self._pool.shutdown()

    def send(self, data: bytes) -> int:
        """Sends bytes on each connection; does not give the loop a turn.

        Returns:
            How many connections took all of them.
        """
        count = 0
        for sock in self._sockets:
            # A connection that was closed gets no response either.
            with contextlib.suppress(OSError):
                sock.sendall(data)
                count += 1
        return count

    async def start(self) -> None:
        """Connects and gets one response on each connection."""
        await self._in_thread(self._connect)
        assert await self.request() == self._count

    async def send_in_thread(self, data: bytes) -> int:
        """Sends while the server runs; returns how many sends were whole."""
        return await self._in_thread(lambda: self.send(data))

    async def request(self, data: bytes = _REQUEST) -> int:
        """Sends a request on each connection; returns how many succeeded."""
        await self.send_in_thread(data)
        return await self.receive()

    async def receive(self) -> int:
        """Returns how many connections get a success."""
        return await self._in_thread(self._receive)

    async def receive_one(self) -> bytes:
        """Returns what the first connection receives."""
        return await self._in_thread(lambda: self._sockets[0].recv(4096))

    async def send_during_standstill(
        self, at_s: float, standstill_s: float, data: bytes = _REQUEST
    ) -> None:
        """Stops the event loop while a request is sent on each connection.

        Args:
            at_s: Time from now after which the requests are sent, in seconds.
            standstill_s: Length of the standstill, in seconds.
            data: Bytes that are sent.
        """

        def send_later() -> None:
            time.sleep(at_s)
            self.send(data)

        sent = self._in_thread(send_later)
        # The standstill begins after the tasks of the server have blocked.
        await asyncio.sleep(0.05)
        time.sleep(standstill_s)
        await sent

    def _in_thread(self, call: Callable[[], _T]) -> "asyncio.Future[_T]":
        return asyncio.get_running_loop().run_in_executor(self._pool, call)

    def _connect(self) -> None:
        for _ in range(self._count):
            sock = socket.create_connection((standin.HOST, self._port), 5)
            self._sockets.append(sock)

    def _receive(self) -> int:
        count = 0
        for sock in self._sockets:
            try:
                count += sock.recv(4096).startswith(b"HTTP/1.1 200")
            except OSError:
                continue
        return count


def run_server(
    scenario: Callable[[Clients], Awaitable[None]],
    get_limits: Callable[[], ClientLimits],
) -> None:
    """Runs a scenario with clients that have had one response each."""
    run_with_server(lambda _, clients: scenario(clients), get_limits)


def run_with_server(
    scenario: Callable[[ClientServer, Clients], Awaitable[None]],
    get_limits: Callable[[], ClientLimits],
    count: int = _CLIENTS,
) -> None:
    """Runs a scenario that also gets the server."""

    async def run() -> None:
        server = ClientServer(
            _EmptyHandler(), get_limits, Counters(), DecisionLog("n")
        )
        port = standin.free_port()
        await server.start(standin.HOST, port)
        clients = Clients(port, count)
        try:
            await clients.start()
            await scenario(server, clients)
        finally:
            clients.close()
            await server.close()

    asyncio.run(run())


class TestStandstill:
    """Guards against requests that are lost when a late timer is due.

    After a standstill of the process, the timeout of a connection was due in
    the same turn of the event loop as the request that had come in time, and
    the connection was closed with the request unread.
    """

    @pytest.mark.parametrize("idle_timeout_s", [1.0, 2.0])
    def test_request_sent_within_the_idle_timeout_is_answered(
        self, idle_timeout_s: float
    ) -> None:
        async def scenario(clients: Clients) -> None:
            await clients.send_during_standstill(
                _REUSE_SHARE * idle_timeout_s, idle_timeout_s + 0.1
            )
            assert await clients.receive() == _CLIENTS

        run_server(scenario, lambda: make_limits(idle_timeout_s))

    def test_header_fields_sent_within_the_header_timeout_are_read(
        self,
    ) -> None:
        async def scenario(clients: Clients) -> None:
            await clients.send_during_standstill(0.0, 0.1, _REQUEST[:20])
            await clients.send_during_standstill(
                0.2, _HEADER_TIMEOUT_S, _REQUEST[20:]
            )
            assert await clients.receive() == _CLIENTS

        run_server(scenario, lambda: make_limits(5.0))


class TestChangedLimits:
    """Guards against connections that keep the limits of their first request.

    Clients go by the limits in force, also on connections that are older.
    """

    def test_longer_idle_timeout_holds_for_an_open_connection(self) -> None:
        limits = make_limits(1.0)

        async def scenario(clients: Clients) -> None:
            nonlocal limits
            limits = make_limits(2.0)
            await asyncio.sleep(_REUSE_SHARE * limits.idle_timeout_s)
            assert await clients.request() == _CLIENTS

        run_server(scenario, lambda: limits)

    def test_shorter_idle_timeout_holds_from_the_next_request_on(self) -> None:
        limits = make_limits(2.0)

        async def scenario(clients: Clients) -> None:
            nonlocal limits
            limits = make_limits(1.0)
            # A client may not know the new limit yet.
            await asyncio.sleep(1.6)
            assert await clients.request() == _CLIENTS
            await asyncio.sleep(1.2)
            assert await clients.request() == 0

        run_server(scenario, lambda: limits)

    def test_larger_header_fields_are_read_on_an_open_connection(self) -> None:
        limits = make_limits(5.0, header_bytes=1024)
        request = standin.request_bytes("GET", "/x", b"", {"Long": "x" * 4096})

        async def scenario(clients: Clients) -> None:
            nonlocal limits
            limits = make_limits(5.0, header_bytes=8192)
            assert await clients.request(request) == _CLIENTS

        run_server(scenario, lambda: limits)

    def test_larger_body_is_read_on_an_open_connection(self) -> None:
        limits = make_limits(5.0, body_bytes=1024)
        request = standin.request_bytes("POST", "/x", b"x" * 4096)

        async def scenario(clients: Clients) -> None:
            nonlocal limits
            limits = make_limits(5.0, body_bytes=8192)
            assert await clients.request(request) == _CLIENTS

        run_server(scenario, lambda: limits)


class TestAnnouncedIdleTimeout:
    """Guards against clients that can't know when a connection closes.

    While a change spreads, nodes close idle connections at different times.
    """

    def test_response_tells_the_idle_timeout_in_whole_seconds(self) -> None:
        async def scenario(clients: Clients) -> None:
            clients.send(_REQUEST)
            assert b"Keep-Alive: timeout=2\r\n" in await clients.receive_one()

        run_server(scenario, lambda: make_limits(2.7))

    def test_response_tells_no_timeout_below_a_second(self) -> None:
        async def scenario(clients: Clients) -> None:
            clients.send(_REQUEST)
            assert b"Keep-Alive" not in await clients.receive_one()

        run_server(scenario, lambda: make_limits(0.9))

    def test_connection_stays_open_for_the_time_that_was_told(self) -> None:
        limits = make_limits(2.0)

        async def scenario(clients: Clients) -> None:
            nonlocal limits
            limits = make_limits(0.5)
            await asyncio.sleep(_REUSE_SHARE * 2.0)
            assert await clients.request() == _CLIENTS

        run_server(scenario, lambda: limits)


class TestRefusalOfLargeRequests:
    """Guards against a refusal that is lost as the connection is reset."""

    def test_client_that_sends_a_whole_body_gets_413(self) -> None:
        async def scenario(server: ClientServer, clients: Clients) -> None:
            request = standin.request_bytes("POST", "/x", b"x" * 4_000_000)
            assert await clients.send_in_thread(request) == 1
            response = await clients.receive_one()
            assert response.startswith(b"HTTP/1.1 413")

        run_with_server(scenario, lambda: make_limits(5.0), count=1)

    def test_client_that_never_ends_is_cut_off(self) -> None:
        async def scenario(server: ClientServer, clients: Clients) -> None:
            head = standin.request_bytes("POST", "/x", b"x" * 9000)
            head = head.replace(
                b"Content-Length: 9000", b"Content-Length: 99999"
            )
            clients.send(head)
            async with asyncio.timeout(4.0):
                while server.open_connections:
                    await asyncio.sleep(0.05)
                    clients.send(b"x")

        run_with_server(scenario, lambda: make_limits(5.0), count=1)


class TestDrain:
    """Guards against requests that are lost as idle connections close.

    The request had been sent, but the event loop had not yet noticed it.
    """

    @pytest.mark.parametrize("drains_before", [False, True])
    def test_request_in_the_buffer_of_the_socket_is_answered(
        self, drains_before: bool
    ) -> None:
        async def scenario(server: ClientServer, clients: Clients) -> None:
            if drains_before:
                server.start_draining()
            # The event loop gets no turn between the send and the close.
            clients.send(_REQUEST)
            server.start_draining()
            server.close_idle()
            assert await clients.receive() == _CLIENTS

        run_with_server(scenario, lambda: make_limits(5.0))

    def test_idle_connection_closes_at_once(self) -> None:
        async def scenario(server: ClientServer, clients: Clients) -> None:
            server.close_idle()
            async with asyncio.timeout(0.5):
                assert await clients.receive_one() == b""
            assert server.open_connections == 0

        run_with_server(scenario, lambda: make_limits(5.0))


class TestCloseRecords:
    """Guards against closed connections whose cause nobody can tell."""

    def test_bytes_unread_at_the_close_are_recorded(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        async def run() -> Counters:
            counters = Counters()
            log = DecisionLog("n")
            server = ClientServer(
                _EmptyHandler(), lambda: make_limits(5.0), counters, log
            )
            port = standin.free_port()
            await server.start(standin.HOST, port)
            clients = Clients(port, 1)
            await clients.start()
            # The bytes are in the kernel when the server closes.
            clients.send(_REQUEST)
            await server.close()
            log.flush()
            clients.close()
            return counters

        counters = asyncio.run(run())
        assert counters.connections_closed == {"stopping": 1}
        assert counters.connections_closed_early == {"stopping": 1}
        line = json.loads(capfd.readouterr().out.splitlines()[-1])
        assert line["event"] == "connection_closed_early"
        assert line["unread_bytes"] == len(_REQUEST)
