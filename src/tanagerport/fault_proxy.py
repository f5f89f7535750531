"""TCP proxy that injects faults, set at run time."""

import asyncio
import dataclasses
import socket
import time

from tanagerport.settings import split_address

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0
_BACKLOG = 256


@dataclasses.dataclass(frozen=True)
class LinkFaults:
    """Faults of a proxied link.

    Attributes:
        delay_s: One-way delay in seconds.
        cut: New connections are refused and open ones break.
        bytes_per_s: Bandwidth of each direction, shared by all connections;
            0 is unlimited.
    """

    delay_s: float = 0.0
    cut: bool = False
    bytes_per_s: int = 0


class FaultProxy:
    """Proxy of one TCP address; use it from one event loop.

    Args:
        target: `ip:port` of the server.
        address: `ip:port` to listen on.
    """

    def __init__(self, target: str, address: str = "127.0.0.1:0") -> None:
        self._target = split_address(target)
        self._requested = split_address(address)
        self._faults = LinkFaults()
        self._server: asyncio.Server | None = None
        self._holder: socket.socket | None = None
        self._links: set[_Link] = set()
        self.address = address
        self._sent = _Direction()
        self._received = _Direction()

    async def start(self) -> None:
        """Binds the address.

        Raises:
            OSError: The address can't be bound.
        """
        # A bound socket that does not listen keeps the port while the
        # listener is closed, so that no other process can take it.
        self._holder = _bind(self._requested)
        self._requested = self._holder.getsockname()[:2]
        host, port = self._requested
        self.address = f"{host}:{port}"
        await self._listen()

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._close_listener()
        self._break_all()
        if self._holder is not None:
            self._holder.close()
            self._holder = None

    @property
    def bytes_sent(self) -> int:
        """Bytes passed on to the server."""
        return self._sent.bytes

    @property
    def bytes_received(self) -> int:
        """Bytes passed on from the server."""
        return self._received.bytes

    @property
    def faults(self) -> LinkFaults:
        """Faults in force."""
        return self._faults

    async def set_faults(self, faults: LinkFaults) -> None:
        """Replaces the faults; `cut` breaks the open connections."""
        self._faults = faults
        if faults.cut:
            self._close_listener()
            self._break_all()
        elif self._server is None:
            await self._listen()

    def silence_open(self) -> int:
        """Makes the open connections silent for good; new ones work.

        Returns:
            Number of connections that became silent.
        """
        for link in self._links:
            link.silent = True
        return len(self._links)

    async def _listen(self) -> None:
        listener = _bind(self._requested)
        self._server = await asyncio.start_server(
            self._serve, sock=listener, backlog=_BACKLOG
        )

    def _close_listener(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _break_all(self) -> None:
        for link in list(self._links):
            link.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target
        try:
            upstream_reader, upstream_writer = await asyncio.wait_for(
                asyncio.open_connection(host, port), _CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            writer.transport.abort()
            return
        link = _Link(writer, upstream_writer)
        if self._faults.cut:
            link.abort()
            return
        self._links.add(link)
        try:
            await asyncio.gather(
                self._pump(link, reader, upstream_writer, self._sent),
                self._pump(link, upstream_reader, writer, self._received),
            )
        except (OSError, asyncio.CancelledError):
            # Connections end when the proxy's loop ends; asyncio would
            # report the cancelled handler as an error of the program.
            pass
        finally:
            self._links.discard(link)
            link.abort()

    async def _pump(
        self,
        link: "_Link",
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: "_Direction",
    ) -> None:
        pending: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(64)
        sender = asyncio.create_task(
            self._send_pending(link, pending, writer, direction)
        )
        try:
            # Reading goes on while earlier data waits for its delay, so that
            # a delay does not limit the bandwidth.
            while data := await reader.read(_READ_BYTES):
                await pending.put((time.monotonic(), data))
            await pending.put((time.monotonic(), b""))
            await sender
        finally:
            sender.cancel()

    async def _send_pending(
        self,
        link: "_Link",
        pending: "asyncio.Queue[tuple[float, bytes]]",
        writer: asyncio.StreamWriter,
        direction: "_Direction",
    ) -> None:
        while True:
            arrived, data = await pending.get()
            due = arrived + self._faults.delay_s
            due = direction.reserve(len(data), due, self._faults.bytes_per_s)
            wait_s = due - time.monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if link.silent:
                await link.closed.wait()
                return
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            direction.bytes += len(data)
            writer.write(data)
            await writer.drain()


class _Direction:
    """Bytes of all connections in one direction."""

    def __init__(self) -> None:
        self.bytes = 0
        self._free_at = 0.0

    def reserve(self, size: int, due: float, bytes_per_s: int) -> float:
        """Returns when data that is due at a time has passed the link."""
        if not bytes_per_s:
            return due
        self._free_at = max(due, self._free_at) + size / bytes_per_s
        return self._free_at


class _Link:
    """A connection through the proxy."""

    def __init__(
        self, first: asyncio.StreamWriter, second: asyncio.StreamWriter
    ) -> None:
        self._writers = (first, second)
        self.silent = False
        self.closed = asyncio.Event()

    def abort(self) -> None:
        self.closed.set()
        for writer in self._writers:
            writer.transport.abort()


def _bind(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock
