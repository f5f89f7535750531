"""gRPC server for other nodes."""

import asyncio
import concurrent.futures
import hmac
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import grpclib.server
import structlog
from grpclib.const import Status
from grpclib.events import RecvRequest, listen
from grpclib.exceptions import GRPCError

from tanagerport.exceptions import PeerError
from tanagerport.peer_connection import TOKEN_METADATA
from tanagerport.peer_grpc import PeerBase
from tanagerport.peer_pb2 import Frame, Heartbeat
from tanagerport.settings import split_address

Handler = Callable[[Any], Any]

# Claims answer within milliseconds; a forwarded answer keeps its thread until
# its end. Separate pools keep long answers from delaying claims.
_CALL_THREADS = 32
_STREAM_THREADS = 128
_SEND_TIMEOUT_S = 10.0
# Their handlers only look up a table. A thread for each would add its
# switch to the first token of every request with a key.
_QUICK_METHODS = frozenset({"Claim", "Settle"})
_LISTEN_BACKLOG = 1024
_KEEPALIVE_IDLE_S = 60

_log = structlog.get_logger(__name__)


class HandlerRegistry:
    """Handlers of peer methods and the threads in which they run."""

    def __init__(self) -> None:
        self._handlers: dict[str, Handler] = {}
        self._calls = concurrent.futures.ThreadPoolExecutor(
            _CALL_THREADS, thread_name_prefix="peer-call"
        )
        self._streams = concurrent.futures.ThreadPoolExecutor(
            _STREAM_THREADS, thread_name_prefix="peer-stream"
        )
        self._free_streams = threading.Semaphore(_STREAM_THREADS)

    def register(self, method: str, handler: Handler) -> None:
        """Sets the handler of a method."""
        self._handlers[method] = handler

    def find(self, method: str) -> Handler:
        """Returns the handler of a method.

        Raises:
            PeerError: The method has no handler on this node.
        """
        handler = self._handlers.get(method)
        if handler is None:
            raise PeerError(f"method {method!r} has no handler on this node")
        return handler

    async def call(self, method: str, message: Any) -> Any:
        """Runs a unary handler, in a thread if it may block."""
        handler = self.find(method)
        if method in _QUICK_METHODS:
            return handler(message)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._calls, handler, message)

    async def stream(
        self, method: str, message: Any, send: Callable[[Frame], Any]
    ) -> None:
        """Runs a streaming handler in a thread and sends its frames.

        Raises:
            PeerError: All threads for streams are in use.
        """
        handler = self.find(method)
        if not self._free_streams.acquire(blocking=False):
            raise PeerError(f"{_STREAM_THREADS} streams are in progress")
        loop = asyncio.get_running_loop()
        cancelled = threading.Event()
        future = self._streams.submit(
            _send_all, handler, message, send, loop, cancelled
        )
        future.add_done_callback(lambda _: self._free_streams.release())
        try:
            await asyncio.wrap_future(future)
        finally:
            cancelled.set()

    def close(self) -> None:
        """Lets the threads end without waiting for them."""
        self._calls.shutdown(wait=False, cancel_futures=True)
        self._streams.shutdown(wait=False, cancel_futures=True)


def _send_all(
    handler: Handler,
    message: Any,
    send: Callable[[Frame], Any],
    loop: asyncio.AbstractEventLoop,
    cancelled: threading.Event,
) -> None:
    frames: Iterator[Frame] = iter(handler(message))
    try:
        for frame in frames:
            if cancelled.is_set():
                return
            sent = asyncio.run_coroutine_threadsafe(send(frame), loop)
            sent.result(_SEND_TIMEOUT_S)
    finally:
        close = getattr(frames, "close", None)
        if close is not None:
            close()


class _PeerService(PeerBase):
    """Maps the service's methods to handlers."""

    def __init__(
        self,
        registry: HandlerRegistry,
        exchange: Callable[[Heartbeat], Heartbeat],
    ) -> None:
        self._registry = registry
        self._exchange = exchange

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        # Heartbeats only copy small state, so they need no thread.
        await stream.send_message(self._exchange(await stream.recv_message()))

    async def FetchRecords(self, stream: Any) -> None:  # noqa: N802
        await self._call("FetchRecords", stream)

    async def Claim(self, stream: Any) -> None:  # noqa: N802
        await self._call("Claim", stream)

    async def Settle(self, stream: Any) -> None:  # noqa: N802
        await self._call("Settle", stream)

    async def Reclaim(self, stream: Any) -> None:  # noqa: N802
        await self._call("Reclaim", stream)

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        await self._stream("Forward", stream)

    async def FetchAnswer(self, stream: Any) -> None:  # noqa: N802
        await self._stream("FetchAnswer", stream)

    async def _call(self, method: str, stream: Any) -> None:
        request = await stream.recv_message()
        try:
            reply = await self._registry.call(method, request)
        except PeerError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        except Exception as error:
            _log.exception("peer_handler_failed", method=method)
            raise GRPCError(Status.INTERNAL, "handler failed") from error
        await stream.send_message(reply)

    async def _stream(self, method: str, stream: Any) -> None:
        request = await stream.recv_message()
        try:
            await self._registry.stream(method, request, stream.send_message)
        except PeerError as error:
            raise GRPCError(Status.UNAVAILABLE, str(error)) from error
        except Exception as error:
            _log.exception("peer_handler_failed", method=method)
            raise GRPCError(Status.INTERNAL, "handler failed") from error


class PeerServer:
    """Server for other nodes; used in the event loop only.

    Args:
        address: `ip:port` to listen on; port 0 takes a free one.
        token: Token that callers must show.
        registry: Handlers of methods.
        exchange: Takes a heartbeat and returns the reply.
    """

    def __init__(
        self,
        address: str,
        token: str,
        registry: HandlerRegistry,
        exchange: Callable[[Heartbeat], Heartbeat],
    ) -> None:
        self._address = address
        self._expected = f"Bearer {token}".encode()
        self._service = _PeerService(registry, exchange)
        self._socket: socket.socket | None = None
        self._server: grpclib.server.Server | None = None

    @property
    def address(self) -> str:
        """Bound `ip:port`; the configured one before `bind`."""
        if self._socket is None:
            return self._address
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def bind(self) -> None:
        """Binds the address.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = split_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets that state the protocol.
        # Without it each reply waited 40 ms for a delayed acknowledgement.
        self._socket = socket.socket(
            family, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit these. A VM that fails sends no end of
        # its connections, which would otherwise stay open for good.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S
        )
        try:
            self._socket.bind((host, port))
        except OSError:
            self._socket.close()
            self._socket = None
            raise
        self._address = self.address

    async def start(self) -> None:
        """Serves on the bound address."""
        self._server = grpclib.server.Server([self._service])
        listen(self._server, RecvRequest, self._check_token)
        await self._server.start(sock=self._socket, backlog=_LISTEN_BACKLOG)

    async def stop(self) -> None:
        """Closes the listener and its connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _check_token(self, event: RecvRequest) -> None:
        shown = str(event.metadata.get(TOKEN_METADATA, "")).encode()
        if not hmac.compare_digest(shown, self._expected):
            raise GRPCError(Status.UNAUTHENTICATED, "peer token is wrong")
