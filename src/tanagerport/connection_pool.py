"""Connections to one upstream that are kept open between calls."""

import http.client
import threading
from typing import Any, BinaryIO

import urllib3

from tanagerport.clock import Clock
from tanagerport.exceptions import UpstreamNotStartedError
from tanagerport.http_status import is_status, is_status_line
from tanagerport.model import RetryReason
from tanagerport.settings import split_address

_MAX_IDLE = 64


# Interim answers (100 to 199) before the final one; an upstream in trouble may
# send them without end, and `http.client` skips them all.
_MAX_INTERIM_ANSWERS = 8


class _StatusLineReader:
    """Reads lines that have the form of a status line.

    `http.client` takes any integer from 100 to 999 for a status, signs
    included.
    """

    def __init__(self, lines: BinaryIO) -> None:
        self._lines = lines

    def readline(self, limit: int) -> bytes:
        """Reads a line; none at the end of the connection.

        Raises:
            http.client.BadStatusLine: It is no status line.
        """
        line = self._lines.readline(limit)
        if line and not is_status_line(line):
            raise http.client.BadStatusLine(repr(line))
        return line

    def close(self) -> None:
        """Closes what the lines are read from."""
        self._lines.close()


class _StrictResponse(http.client.HTTPResponse):
    """An answer with a status, and a bound of interim answers before it."""

    _heads = 0

    def _read_status(self) -> tuple[str, int, str]:
        self._heads += 1
        if self._heads > _MAX_INTERIM_ANSWERS + 1:
            raise http.client.HTTPException(
                f"above {_MAX_INTERIM_ANSWERS} interim answers"
            )
        lines = self.fp
        self.fp = _StatusLineReader(lines)  # type: ignore[assignment]
        try:
            # `begin` calls it for each status line.
            version, status, reason = super()._read_status()  # type: ignore[misc]
        finally:
            self.fp = lines
        if not is_status(status):
            raise http.client.BadStatusLine(f"{status} is no status")
        return version, status, reason


class PooledConnection(urllib3.connection.HTTPConnection):
    """A connection whose answers are read by `body_decoders`."""

    response_class = _StrictResponse
    created_at = 0.0
    idle_since = 0.0
    written = 0

    def send(self, data: Any) -> None:
        """Sends bytes and counts those that the kernel took."""
        view = memoryview(data)
        while view:
            taken = self.sock.send(view)
            self.written += taken
            view = view[taken:]

    def read_head(self) -> http.client.HTTPResponse:
        """Reads the status line and headers of an answer.

        Raises:
            OSError: The connection broke.
            http.client.HTTPException: The answer is malformed.
        """
        # The method of urllib3 wraps the body, which is read from the
        # socket here.
        return http.client.HTTPConnection.getresponse(self)


class ConnectionPool:
    """Idle connections to one upstream.

    Args:
        address: `ip:port` of the upstream.
        connect_timeout_s: Bound of a connection attempt, in seconds.
        max_age_s: Age at which a connection is closed, in seconds.
        max_idle_s: Idle time after which a connection is not used again. A
            request that is written to a connection that went silent while it
            was idle is lost, since it can't be repeated.
        clock: Source of time.
    """

    def __init__(
        self,
        address: str,
        connect_timeout_s: float,
        max_age_s: float,
        max_idle_s: float,
        clock: Clock,
    ) -> None:
        self._address = address
        self._host, self._port = split_address(address)
        self._connect_timeout_s = connect_timeout_s
        self._max_age_s = max_age_s
        self._max_idle_s = max_idle_s
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[PooledConnection] = []
        self._closed_before = float("-inf")
        self.progress_at = float("-inf")

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def take(self) -> PooledConnection:
        """Returns a connection that is ready to send.

        A connection that the upstream closed meanwhile is not used.

        Raises:
            UpstreamNotStartedError: No connection could be made.
        """
        while True:
            with self._lock:
                if not self._idle:
                    break
                connection = self._idle.pop()
            if self._is_fresh(connection) and connection.is_connected:
                return connection
            connection.close()
        return self.connect()

    def connect(self) -> PooledConnection:
        """Returns a new connection.

        Raises:
            UpstreamNotStartedError: No connection could be made.
        """
        connection = PooledConnection(
            self._host, self._port, timeout=self._connect_timeout_s
        )
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise UpstreamNotStartedError(
                f"{self._address} did not accept a connection",
                RetryReason.CONNECT_FAILED,
            ) from error
        connection.created_at = self._clock.monotonic()
        return connection

    def put(self, connection: PooledConnection) -> None:
        """Takes back a connection whose answer was read whole."""
        with self._lock:
            if len(self._idle) < _MAX_IDLE and self._is_usable(connection):
                connection.idle_since = self._clock.monotonic()
                self._idle.append(connection)
                return
        connection.close()

    def close_idle(self) -> None:
        """Closes all connections made so far as soon as they are idle."""
        with self._lock:
            idle, self._idle = self._idle, []
            self._closed_before = self._clock.monotonic()
        for connection in idle:
            connection.close()

    def close_old(self) -> None:
        """Closes idle connections that are too old."""
        with self._lock:
            old = [item for item in self._idle if not self._is_fresh(item)]
            self._idle = [item for item in self._idle if item not in old]
        for connection in old:
            connection.close()

    def _is_usable(self, connection: PooledConnection) -> bool:
        age_s = self._clock.monotonic() - connection.created_at
        return (
            age_s < self._max_age_s
            and connection.created_at > self._closed_before
        )

    def _is_fresh(self, connection: PooledConnection) -> bool:
        idle_s = self._clock.monotonic() - connection.idle_since
        return idle_s < self._max_idle_s and self._is_usable(connection)
