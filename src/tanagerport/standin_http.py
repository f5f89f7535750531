"""Small HTTP/1.1 server on asyncio for the simulators.

A thread for each stream would cost a wake-up for each token of each stream;
one event loop writes the tokens of a whole batch without switching threads.
"""

import asyncio
import concurrent.futures
import dataclasses
import http
import json
import threading
import urllib.parse
from collections.abc import Callable, Coroutine, Iterable, Mapping
from typing import Any, TypeVar

from tanagerport.settings import split_address

_HEAD_END = b"\r\n\r\n"
_BACKLOG = 512
_CALL_TIMEOUT_S = 5.0

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A request whose body has arrived.

    Attributes:
        method: HTTP method.
        path: Path without query.
        query: First value of each query parameter.
        headers: Headers by name in lower case.
        body: Body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body or b"{}")


class Responder:
    """Writes the response of one request."""

    def __init__(
        self, transport: asyncio.Transport, on_done: Callable[[], None]
    ) -> None:
        self._transport = transport
        self._on_done = on_done
        self.on_disconnect: Callable[[], None] | None = None

    def send_json(
        self,
        status: int,
        document: object,
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Sends a whole JSON response."""
        body = json.dumps(document).encode()
        fields = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            *headers,
        ]
        self._transport.write(_head(status, fields) + body)
        self._done()

    def start(self, status: int, headers: Iterable[tuple[str, str]]) -> None:
        """Sends the head of a chunked response."""
        fields = [*headers, ("Transfer-Encoding", "chunked")]
        self._transport.write(_head(status, fields))

    def write(self, data: bytes) -> None:
        """Sends one chunk."""
        self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Ends a chunked response cleanly."""
        self._transport.write(b"0\r\n\r\n")
        self._done()

    def abort(self) -> None:
        """Closes the connection without an end of the response."""
        self.on_disconnect = None
        self._transport.abort()

    def _done(self) -> None:
        self.on_disconnect = None
        self._on_done()


Handler = Callable[[HttpRequest, Responder], None]


class SimulatorServer:
    """HTTP server that calls a handler in its event loop.

    Args:
        address: `ip:port`; port 0 takes a free one.
        handler: Called with each request; it must not block.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self._requested = split_address(address)
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self.address = address

    async def start(self) -> None:
        """Binds the address.

        Raises:
            OSError: The address can't be bound.
        """
        loop = asyncio.get_running_loop()
        host, port = self._requested
        self._server = await loop.create_server(
            lambda: _Connection(self._handler, self._connections),
            host,
            port,
            backlog=_BACKLOG,
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        # A restart after `stop` must take the same port again.
        self._requested = host, port
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """Serves the requests of one connection, one after another."""

    def __init__(self, handler: Handler, registry: "set[_Connection]") -> None:
        self._handler = handler
        self._registry = registry
        self._buffer = b""
        self._responder: Responder | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._registry.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._registry.discard(self)
        responder, self._responder = self._responder, None
        if responder is not None and responder.on_disconnect is not None:
            responder.on_disconnect()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._serve_next()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _serve_next(self) -> None:
        if self._responder is not None or self._transport is None:
            return
        request = self._take_request()
        if request is None:
            return
        self._responder = Responder(self._transport, self._finish)
        self._handler(request, self._responder)

    def _take_request(self) -> HttpRequest | None:
        head, separator, rest = self._buffer.partition(_HEAD_END)
        if not separator:
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length") or 0)
        if len(rest) < length:
            return None
        self._buffer = rest[length:]
        method, target, _ = lines[0].split(" ", 2)
        path, _, query = target.partition("?")
        return HttpRequest(
            method,
            urllib.parse.unquote(path),
            dict(urllib.parse.parse_qsl(query)),
            headers,
            rest[:length],
        )

    def _finish(self) -> None:
        self._responder = None
        if self._buffer:
            asyncio.get_running_loop().call_soon(self._serve_next)


class LoopThread:
    """Event loop in a thread of its own, shared by simulators."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="simulators", daemon=True
        )
        self._thread.start()

    def run(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        """Runs a coroutine in the loop and returns its result."""
        future: concurrent.futures.Future[_T] = (
            asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        )
        return future.result(_CALL_TIMEOUT_S)

    def call(self, function: Callable[[], _T]) -> _T:
        """Runs a function in the loop and returns its result."""

        async def run() -> _T:
            return function()

        return self.run(run())


_shared_lock = threading.Lock()
_shared: list[LoopThread] = []


def shared_loop_thread() -> LoopThread:
    """Returns the loop thread that simulators of this process share."""
    with _shared_lock:
        if not _shared:
            _shared.append(LoopThread())
        return _shared[0]


def _head(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    return "\r\n".join(lines).encode("latin-1") + _HEAD_END
