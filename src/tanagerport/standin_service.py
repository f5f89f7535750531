"""Simulated plain service that counts executions for each key."""

import collections
import threading
import time
from collections.abc import Iterable, Mapping

from tanagerport.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    json_response,
    read_body,
)


class StandinService:
    """Plain service, such as a booking system.

    Args:
        address: `ip:port` to listen on.
        service_time_s: Seconds that a call takes.
    """

    def __init__(
        self, address: str = "127.0.0.1:0", service_time_s: float = 0.01
    ) -> None:
        self._service_time_s = service_time_s
        self._server = HttpServer(address, self._application, threads=32)
        self._lock = threading.Lock()
        self._executions: collections.Counter[str] = collections.Counter()

    @property
    def address(self) -> str:
        """Bound `ip:port`."""
        return self._server.address

    @property
    def executions(self) -> Mapping[str, int]:
        """Number of executions by idempotency key."""
        with self._lock:
            return dict(self._executions)

    def start(self) -> None:
        """Serves in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stops the service."""
        self._server.stop()

    def _application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = read_body(environ)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._lock:
            self._executions[key] += 1
        time.sleep(self._service_time_s)
        return json_response(
            start_response,
            200,
            {
                "path": environ["PATH_INFO"],
                "key": key,
                "received_bytes": len(body),
            },
        )
