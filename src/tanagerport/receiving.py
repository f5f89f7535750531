"""Bound of the threads that wait for the rest of a request."""

import collections
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

# A request must be whole within this time, however slowly it is sent.
_RECEIVE_TIMEOUT_S = 10.0
# Under pressure, a request that is still not whole after this time gives
# its thread to others.
_PRESSURE_TIMEOUT_S = 0.5
_SWEEP_INTERVAL_S = 0.1


class ReceivingConnections:
    """Connections whose request has not arrived whole.

    Callers that stop in the middle of a request would otherwise hold all
    threads of the server.

    Args:
        limit: Connections above which the oldest are closed.
        on_evicted: Called for each connection that is closed.
    """

    def __init__(
        self, limit: int, on_evicted: Callable[[], None] | None = None
    ) -> None:
        self._limit = limit
        self._on_evicted = on_evicted
        self._lock = threading.Lock()
        self._since: collections.OrderedDict[Any, float] = (
            collections.OrderedDict()
        )
        self._stopping = threading.Event()

    def enter(self, connection: Any) -> None:
        """Notes that a request began to arrive."""
        with self._lock:
            self._since[connection] = time.monotonic()
            self._since.move_to_end(connection)

    def leave(self, connection: Any) -> None:
        """Notes that a request arrived whole, or that it ended."""
        with self._lock:
            self._since.pop(connection, None)

    def start(self) -> None:
        """Closes connections in the background."""
        thread = threading.Thread(
            target=self._run, name="receiving", daemon=True
        )
        thread.start()

    def stop(self) -> None:
        """Ends the background thread."""
        self._stopping.set()

    def sweep(self) -> int:
        """Closes what is over the bounds and returns their number."""
        now = time.monotonic()
        evicted = []
        with self._lock:
            while self._since:
                connection, since = next(iter(self._since.items()))
                is_over = len(self._since) > self._limit
                bound_s = _PRESSURE_TIMEOUT_S if is_over else _RECEIVE_TIMEOUT_S
                if now - since < bound_s:
                    break
                del self._since[connection]
                evicted.append(connection)
        for connection in evicted:
            _stop_reading(connection.socket)
            if self._on_evicted is not None:
                self._on_evicted()
        return len(evicted)

    def _run(self) -> None:
        while not self._stopping.wait(_SWEEP_INTERVAL_S):
            self.sweep()


def _stop_reading(sock: socket.socket) -> None:
    """Lets the thread that reads see the end, so that it can answer."""
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        return  # The connection ended meanwhile.
