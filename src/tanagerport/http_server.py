"""Threaded HTTP servers on top of cheroot."""

import contextlib
import http
import json
import logging
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any

import structlog
from cheroot import errors, server, wsgi

from tanagerport.receiving import ReceivingConnections
from tanagerport.settings import split_address
from tanagerport.strict_headers import read_headers

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_MAX_HEADER_BYTES = 32 * 1024
# A client that sends nothing for this long loses its connection.
_IDLE_TIMEOUT_S = 10
_STOP_TIMEOUT_S = 1
_ACCEPT_BACKLOG = 512
# Bounds of reading the rest of a request that was refused.
_DRAIN_SILENCE_S = 0.3
_DRAIN_S = 0.5
_DRAIN_BYTES = 65536

_TOO_LARGE = "the body exceeds the bound of the server"
# Keys of the WSGI environment.
CALLER_SOCKET = "tanagerport.caller_socket"
DIRECT_SOCKET = "tanagerport.direct_socket"
_ON_RECEIVED = "tanagerport.on_received"

_log = structlog.get_logger(__name__)


class BodyTooLargeError(ValueError):
    """A body exceeds the bound of the server."""


class _JsonErrorRequest(server.HTTPRequest):
    """Reads strictly, and reports protocol errors as JSON."""

    header_reader = staticmethod(read_headers)
    _writes_directly = False
    server: "_Server"

    def parse_request(self) -> None:
        self.server.receiving.enter(self.conn)
        super().parse_request()

    def read_request_headers(self) -> bool:
        if not super().read_request_headers():
            return False
        if self.response_protocol != "HTTP/1.1":
            if b"Transfer-Encoding" in self.inheaders:
                self.simple_response(400, "HTTP/1.0 has no Transfer-Encoding")
                return False
        elif b"Host" not in self.inheaders:
            self.simple_response(400, "Host is missing")
            return False
        if self.chunked_read:
            # The trailer is not read, and must not pass for a request.
            self.close_connection = True
        return True

    def respond(self) -> None:
        try:
            super().respond()
            if self.close_connection and self._has_unread_input:
                with contextlib.suppress(OSError):
                    _drain_input(self.conn.socket)
        except Exception:
            if self.sent_headers and not self.chunked_write:
                # Only a reset shows that a body without chunks is not whole.
                self.conn.reset_at_close()
            raise
        finally:
            self.server.receiving.leave(self.conn)
            if self._writes_directly:
                self.conn.socket.settimeout(self.server.timeout)

    @property
    def _has_unread_input(self) -> bool:
        if self.chunked_read:
            return not self.rfile.closed
        return getattr(self.rfile, "remaining", 0) > 0

    def direct_socket(self) -> socket.socket | None:
        """Returns the socket if chunks may be written to it directly."""
        return self.conn.socket if self._writes_directly else None

    def write(self, chunk: bytes) -> None:
        """Writes a chunk without the buffer of cheroot.

        Its buffer is written in Python, and a socket timeout of Python costs
        a second system call for each write; the kernel's bound does not.
        """
        if not self.chunked_write or not chunk:
            super().write(chunk)
            return
        sock = self.conn.socket
        if not self._writes_directly:
            self._writes_directly = True
            sock.settimeout(None)
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_SNDTIMEO,
                struct.pack("ll", int(self.server.timeout), 0),
            )
        sock.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))

    def simple_response(self, status: str | int, msg: str = "") -> None:
        status, reason, ran = _describe_error(str(status))
        body = json.dumps(
            {"error": {"reason": reason, "message": msg or status, "ran": ran}}
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
            _drain_input(self.conn.socket)
        except OSError:
            _log.debug("client_left_before_error_response", status=status)


class _Connection(server.HTTPConnection):
    RequestHandlerClass = _JsonErrorRequest
    server: "_Server"
    _is_reset = False

    def communicate(self) -> bool:
        try:
            return super().communicate()
        finally:
            self.server.receiving.leave(self)

    def reset_at_close(self) -> None:
        """Lets the close of the connection show as a reset."""
        self._is_reset = True
        no_linger = struct.pack("ii", 1, 0)
        with contextlib.suppress(OSError):
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, no_linger
            )

    def _close_kernel_socket(self) -> None:
        # A shutdown would end the connection in order.
        if not self._is_reset:
            super()._close_kernel_socket()  # type: ignore[misc]


class _Gateway(wsgi.Gateway_10):
    """Lets the application see the connection of its caller."""

    def get_environ(self) -> Any:
        environ = super().get_environ()
        connection = self.req.conn
        receiving = self.req.server.receiving
        environ[CALLER_SOCKET] = connection.socket
        environ[DIRECT_SOCKET] = self.req.direct_socket
        environ[_ON_RECEIVED] = lambda: receiving.leave(connection)
        return environ


class _Server(wsgi.Server):
    ConnectionClass = _Connection
    receiving: ReceivingConnections

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
        on_evicted: Called for each half-sent request that is closed.
    """

    def __init__(
        self,
        address: str,
        application: Application,
        threads: int = 32,
        max_body_bytes: int = 1024 * 1024,
        on_evicted: Callable[[], None] | None = None,
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
        self._server.gateway = _Gateway
        # The other half of the threads stays free for whole requests.
        self._receiving = ReceivingConnections(max(1, threads // 2), on_evicted)
        self._server.receiving = self._receiving
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
        self._receiving.start()
        self._thread = threading.Thread(
            target=self._server.serve, name="http-server", daemon=True
        )
        self._thread.start()

    def stop(self) -> None:
        """Closes the listener and waits a bounded time for its threads."""
        self._receiving.stop()
        # cheroot joins its workers without a bound, so a worker that waits
        # on an upstream would block the caller.
        stopper = threading.Thread(target=self._server.stop, daemon=True)
        stopper.start()
        stopper.join(2 * _STOP_TIMEOUT_S)


def read_body(environ: Environ) -> bytes:
    """Returns the request's body.

    Raises:
        BodyTooLargeError: The body exceeds the bound of the server.
        ValueError: The client sent less than it announced, or sent
            malformed chunks.
    """
    try:
        return _read_body(environ)
    except errors.MaxSizeExceeded as error:
        raise BodyTooLargeError(_TOO_LARGE) from error
    except TimeoutError:
        raise
    except OSError as error:
        # cheroot reports a chunk over the bound in this way.
        if error.errno is None and "Too Large" in str(error):
            raise BodyTooLargeError(_TOO_LARGE) from error
        raise
    finally:
        on_received = environ.get(_ON_RECEIVED)
        if on_received is not None:
            on_received()


def _read_body(environ: Environ) -> bytes:
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
    try:
        phrase = http.HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"


def _drain_input(sock: socket.socket) -> None:
    """Reads for a short time what the client still sends.

    A close with unread input resets the connection, which can destroy the
    response before the client has read it.
    """
    sock.shutdown(socket.SHUT_WR)
    sock.settimeout(_DRAIN_SILENCE_S)
    give_up_at = time.monotonic() + _DRAIN_S
    while sock.recv(_DRAIN_BYTES) and time.monotonic() < give_up_at:
        pass


def _describe_error(status: str) -> tuple[str, str, str]:
    """Returns status, reason and `ran` of an error that cheroot reports."""
    code = int(status.split(" ", 1)[0])
    if code in (501, 505):
        # Protocol features that the server lacks are the caller's error.
        return "400 Bad Request", "bad_request", "no"
    if code >= 500:
        return status, "internal", "unknown"
    if code in (413, 414):
        return status_line(413), "body_too_large", "no"
    return status_line(code), "bad_request", "no"
