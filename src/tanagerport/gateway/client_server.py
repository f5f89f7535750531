"""HTTP/1.1 server for clients, with one task per connection."""

import asyncio
import socket
import time
from collections.abc import Callable, Iterator

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.client_connection import ClientConnection, CloseCause
from tanagerport.gateway.client_messages import (
    ClientResponse,
    RequestHandler,
)
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits
from tanagerport.gateway.drain_record import DrainPhase, DrainRecord

_BACKLOG = 1024
# Time for cancelled connections to finish when the server closes, in seconds:
# a part of what a stop leaves before the kill.
_CLOSE_TIMEOUT_S = 0.05


class ClientServer:
    """Accepts client connections.

    Args:
        handler: Handles the requests.
        get_limits: Returns the current limits.
        counters: Metrics of the process.
        log: Structured decision log.
        earliest_arrival: Returns the monotonic time since which a request that
            is read now can have waited, in seconds.
    """

    def __init__(
        self,
        handler: RequestHandler,
        get_limits: Callable[[], ClientLimits],
        counters: Counters,
        log: DecisionLog,
        earliest_arrival: Callable[[], float] = time.monotonic,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._counters = counters
        self._log = log
        self._earliest_arrival = earliest_arrival
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        # Connections that were accepted as the listener closed.
        self._accepting: set[asyncio.Task[object]] = set()
        self._connections: dict[asyncio.Task[None], ClientConnection] = {}
        self._draining = False
        # Whether a connection closes as soon as it is idle.
        self._closes_idle = False
        self._drain_record = DrainRecord(log)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def requests_in_progress(self) -> int:
        """Number of requests whose response is not complete, or expected."""
        return len(self._accepting) + sum(
            1
            for connection in self._connections.values()
            if not connection.is_idle
        )

    async def start(self, host: str, port: int) -> None:
        """Listens for connections."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server(
            (host, port), family=family, backlog=_BACKLOG
        )
        self._server = await loop.create_server(
            self._make_channel, sock=self._listener, backlog=_BACKLOG
        )

    def start_draining(self) -> None:
        """Closes each connection after its next response."""
        self._draining = True
        self._drain_record.start(self._responses_in_progress())

    def record_progress(self) -> None:
        """Logs the requests that are in progress late in a stop."""
        self._drain_record.record_progress(
            DrainPhase.LAST_SECOND, self._responses_in_progress()
        )

    def close_listener(self) -> None:
        """Closes the listening socket; connections that wait are accepted.

        The kernel would reset them, though it has accepted them itself and
        their requests may have been sent.
        """
        if self._server is None or self._listener is None:
            return
        loop = asyncio.get_running_loop()
        for waiting in _accept_waiting(self._listener):
            task: asyncio.Task[object] = loop.create_task(
                loop.connect_accepted_socket(self._make_channel, waiting)
            )
            self._accepting.add(task)
            task.add_done_callback(self._remove_accepting)
        self._server.close()
        self._server = self._listener = None

    def close_idle(self) -> None:
        """Closes the listening socket and each connection once it is idle."""
        self.close_listener()
        self._closes_idle = True
        for task, connection in list(self._connections.items()):
            if connection.is_idle:
                connection.close_idle(CloseCause.DRAINING)
                task.cancel()

    async def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.close_listener()
        for accepting in self._accepting:
            accepting.cancel()
        tasks = list(self._connections)
        for task, connection in self._connections.items():
            connection.record_close(CloseCause.STOPPING)
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_CLOSE_TIMEOUT_S)

    def _responses_in_progress(self) -> list[ClientResponse]:
        return [
            response
            for connection in self._connections.values()
            if (response := connection.response_in_progress) is not None
        ]

    def _make_channel(self) -> Channel:
        return Channel(self._accept)

    def _remove_accepting(self, task: "asyncio.Task[object]") -> None:
        self._accepting.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self._log.debug("client_connection_error", error=repr(error))

    def _accept(self, channel: Channel) -> None:
        connection = ClientConnection(
            channel,
            self._handler,
            self._get_limits,
            self._counters,
            self._log,
            lambda: self._draining,
            lambda: self._closes_idle,
            self._drain_record,
            self._earliest_arrival,
        )
        task = asyncio.get_running_loop().create_task(connection.run())
        self._connections[task] = connection
        task.add_done_callback(self._remove_connection)

    def _remove_connection(self, task: "asyncio.Task[None]") -> None:
        del self._connections[task]
        if not task.cancelled() and task.exception() is not None:
            self._log.error("connection_failed", error=repr(task.exception()))


def _accept_waiting(listener: socket.socket) -> Iterator[socket.socket]:
    """Accepts the connections that wait at a non-blocking socket."""
    while True:
        try:
            connection, _ = listener.accept()
        except ConnectionAbortedError:
            # Its client has reset it.
            continue
        except OSError:
            return
        connection.setblocking(False)
        yield connection
