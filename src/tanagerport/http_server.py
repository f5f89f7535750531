"""Threaded HTTP servers on top of cheroot."""

import http
import json
import logging
import threading
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from cheroot import server, wsgi

from tanagerport.settings import split_address

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_MAX_HEADER_BYTES = 32 * 1024
# A client that sends nothing for this long loses its connection.
_IDLE_TIMEOUT_S = 10
_STOP_TIMEOUT_S = 1
_ACCEPT_BACKLOG = 512

_log = structlog.get_logger(__name__)


class _JsonErrorRequest(server.HTTPRequest):
    """Reports protocol errors as JSON in place of plain text."""

    def simple_response(self, status: str | int, msg: str = "") -> None:
        status = str(status)
        code = int(status.split(" ", 1)[0])
        reason = "body_too_large" if code == 413 else "bad_request"
        body = json.dumps(
            {
                "error": {
                    "reason": reason,
                    "message": msg or status,
                    "ran": "no",
                }
            }
        ).encode()
        self.close_connection = True
        head = (
            f"HTTP/1.1 {status}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("ISO-8859-1") + body)
        except OSError:
            _log.debug("client_left_before_error_response", status=status)


class _Connection(server.HTTPConnection):
    RequestHandlerClass = _JsonErrorRequest


class _Server(wsgi.Server):
    ConnectionClass = _Connection

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        del traceback
        if level >= logging.ERROR:
            _log.error("http_server_error", error=msg)
        else:
            _log.debug("http_server", message=msg)


class HttpServer:
    """HTTP server in a thread of its own.

    Args:
        address: `ip:port`; port 0 takes a free one.
        application: WSGI application.
        threads: Concurrent requests.
        max_body_bytes: Larger bodies get `413`.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        threads: int = 32,
        max_body_bytes: int = 1024 * 1024,
    ) -> None:
        host, port = split_address(address)
        self._server = _Server(
            (host, port),
            application,
            numthreads=threads,
            server_name="tanagerport",
            request_queue_size=_ACCEPT_BACKLOG,
            timeout=_IDLE_TIMEOUT_S,
            shutdown_timeout=_STOP_TIMEOUT_S,
        )
        self._server.max_request_header_size = _MAX_HEADER_BYTES
        self._server.max_request_body_size = max_body_bytes
        self._server.nodelay = True
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Bound `ip:port`."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Binds the address and serves in the background.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name="http-server", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Closes the listener and waits a bounded time for its threads."""
        # cheroot joins its workers without a bound, so a worker that waits
        # on an upstream would block the caller.
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        stopper.join(2 * _STOP_TIMEOUT_S)


def read_body(environ: Environ) -> bytes:
    """Returns the request's body.

    Raises:
        ValueError: The client sent less than it announced.
    """
    stream = environ["wsgi.input"]
    length_text = environ.get("CONTENT_LENGTH")
    if not length_text:
        if environ.get("wsgi.input_terminated"):
            return stream.read()
        return b""
    length = int(length_text)
    body = stream.read(length)
    if len(body) < length:
        raise ValueError(f"body has {len(body)} of {length} announced bytes")
    return body


def json_response(
    start_response: StartResponse,
    status: int,
    document: object,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Starts a JSON response and returns its body."""
    body = json.dumps(document).encode()
    start_response(
        status_line(status),
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def status_line(status: int) -> str:
    """Returns a status code with its phrase."""
    return f"{status} {http.HTTPStatus(status).phrase}"
