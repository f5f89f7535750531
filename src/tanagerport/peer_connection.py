"""One connection to another node, replaced when it falls silent."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

import grpclib.client
import structlog
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from tanagerport.exceptions import PeerError
from tanagerport.peer_grpc import PeerStub
from tanagerport.peer_pb2 import Frame, Heartbeat
from tanagerport.settings import split_address

TOKEN_METADATA = "authorization"

_log = structlog.get_logger(__name__)
_CALL_FAILURES = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
)


class _Channel:
    """A gRPC channel with its stub; connects at the first call."""

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self._channel = grpclib.client.Channel(host, port)
        self.stub = PeerStub(self._channel)

    def close(self) -> None:
        self._channel.close()


class PeerConnection:
    """Connection to one node; used in the event loop only.

    Args:
        address: `ip:port` of the node's peer listener.
        token: Token that nodes show each other.
        silence_s: Silence after which another connection is tried.
    """

    def __init__(self, address: str, token: str, silence_s: float) -> None:
        self._address = address
        self._metadata = {TOKEN_METADATA: f"Bearer {token}"}
        self._silence_s = silence_s
        self._channel = _Channel(address)
        self._replacements = 0
        self._in_progress = 0
        self._used_at = time.monotonic()

    @property
    def idle_s(self) -> float:
        """Seconds since the last call ended; 0 while one is in progress."""
        return 0.0 if self._in_progress else time.monotonic() - self._used_at

    @property
    def address(self) -> str:
        """Address of the node."""
        return self._address

    @property
    def replacements(self) -> int:
        """How often a silent connection was replaced."""
        return self._replacements

    async def exchange(self, make: Callable[[], Heartbeat]) -> Heartbeat:
        """Exchanges heartbeats; replaces a silent connection.

        The old connection is closed only once a new one works: closing it
        breaks the streams on it, which is of no use while the node itself
        does not answer.

        Args:
            make: Makes a heartbeat, anew for each attempt.

        Raises:
            PeerError: Neither the connection nor a new one answered.
        """
        try:
            return await self._call(
                self._channel, "Exchange", make(), self._silence_s
            )
        except PeerError:
            fresh = _Channel(self._address)
        try:
            reply = await self._call(fresh, "Exchange", make(), self._silence_s)
        except BaseException:
            fresh.close()
            raise
        self._replace(fresh)
        return reply

    async def call(self, method: str, message: Any, timeout_s: float) -> Any:
        """Calls a unary method.

        Raises:
            PeerError: The call failed or got no answer in time.
        """
        return await self._call(self._channel, method, message, timeout_s)

    async def stream(self, method: str, message: Any) -> AsyncIterator[Frame]:
        """Calls a streaming method and yields its frames.

        Raises:
            PeerError: The stream broke.
        """
        rpc = getattr(self._channel.stub, method)
        try:
            with self._use():
                async with rpc.open(metadata=self._metadata) as stream:
                    await stream.send_message(message, end=True)
                    async for frame in stream:
                        yield frame
        except _CALL_FAILURES as error:
            raise self._failure(method, error) from error

    def close(self) -> None:
        """Closes the connection; calls in progress fail."""
        self._channel.close()

    async def _call(
        self, channel: _Channel, method: str, message: Any, timeout_s: float
    ) -> Any:
        rpc = getattr(channel.stub, method)
        try:
            # The deadline stays local: grpclib would send it as a header with
            # a new value in every call, which defeats header compression.
            with self._use():
                async with asyncio.timeout(timeout_s):
                    return await rpc(message, metadata=self._metadata)
        except _CALL_FAILURES as error:
            raise self._failure(method, error) from error

    @contextlib.contextmanager
    def _use(self) -> Iterator[None]:
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1
            self._used_at = time.monotonic()

    def _replace(self, fresh: _Channel) -> None:
        old, self._channel = self._channel, fresh
        self._replacements += 1
        old.close()
        _log.info("peer_connection_replaced", address=self._address)

    def _failure(self, method: str, error: BaseException) -> PeerError:
        cause = str(error) or type(error).__name__
        return PeerError(f"{method} at {self._address} failed: {cause}")
