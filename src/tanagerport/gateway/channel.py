"""TCP connection with back-pressure and a callback when the peer closes it."""

import array
import asyncio
import collections
import contextlib
import fcntl
import socket
import termios
import threading
from collections.abc import Callable
from typing import cast

from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.peer_watch import PeerWatch
from tanagerport.gateway.tcp_state import TcpState, read_tcp_state
from tanagerport.send_queue import has_unacknowledged

# Reading from the socket pauses above this many unread bytes, to bound the
# memory used for a peer that sends faster than its data is consumed.
_READ_BUFFER_LIMIT_BYTES = 64 * 1024
# Maximum number of bytes that are taken from the socket, or read, at once. It
# bounds the work of a parser before it gives other tasks a turn.
_MAX_READ_BYTES = 16 * 1024
# TCP keep-alive detects connections whose state a device on the path dropped
# while nothing is sent on them.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
# Time after `close` in which a peer that is alive may read what is unsent, in
# seconds.
_CLOSE_TIMEOUT_S = 30.0


class _ReceiveBuffer(threading.local):
    """Receives the bytes of all connections of a thread.

    They are copied from it at once. A buffer of its own for each connection
    would take more memory than all that is in progress.
    """

    def __init__(self) -> None:
        self.data = bytearray(_MAX_READ_BYTES)


_receive_buffer = _ReceiveBuffer()


class Channel(asyncio.BufferedProtocol):
    """A TCP connection.

    Args:
        on_connect: Called with the channel when it is connected.
    """

    def __init__(
        self, on_connect: Callable[["Channel"], None] | None = None
    ) -> None:
        self._on_connect = on_connect
        self._on_close: Callable[[], object] | None = None
        self._on_end: Callable[[], object] | None = None
        self._transport: asyncio.Transport | None = None
        self._unread: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._eof = False
        self._lost = False
        self._error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._write_paused = False
        self._peer_watch = PeerWatch(
            self._read_state, self._count_written, self._handle_peer_gone
        )
        self._written_bytes = 0
        self._unacknowledged_at_loss: int | None = None

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return (
            not self._eof
            and not self._lost
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read."""
        return bool(self._unread)

    @property
    def unread_bytes(self) -> int:
        """Number of unread bytes, with those in the socket's buffer."""
        return self._unread_bytes + _kernel_bytes(self._transport)

    @property
    def has_unsent(self) -> bool:
        """Whether written bytes are still in the write buffer."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    def has_untaken(self) -> bool:
        """Whether the peer's host has yet to take some of the written bytes."""
        return self.has_unsent or has_unacknowledged(
            None
            if self._transport is None
            else self._transport.get_extra_info("socket")
        )

    @property
    def unacknowledged_bytes(self) -> int | None:
        """Number of written bytes that the peer's host has not acknowledged.

        After an error of the connection, the number at that time. None if the
        kernel can't tell.
        """
        if self._lost:
            return self._unacknowledged_at_loss
        return self._count_unacknowledged()

    @property
    def data_age_s(self) -> float:
        """Seconds since the peer's last data came; 0 if that is not known."""
        state = self._read_state()
        return 0.0 if state is None else state.data_age_s

    @property
    def is_half_closed(self) -> bool:
        """Whether the peer has ended its sending and may still read."""
        return (
            self._eof
            and not self._lost
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def is_reset(self) -> bool:
        """Returns whether the peer has reset the connection."""
        sock = (
            None
            if self._transport is None
            else self._transport.get_extra_info("socket")
        )
        if self._lost or sock is None or sock.fileno() < 0:
            return True
        return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def set_close_callbacks(
        self,
        on_end: Callable[[], object] | None,
        on_close: Callable[[], object] | None,
    ) -> None:
        """Sets callbacks that run once.

        Args:
            on_end: Called when the peer ends its sending.
            on_close: Called when the connection is lost.
        """
        self._on_end = on_end
        self._on_close = on_close

    async def read(self) -> bytes:
        """Waits for received bytes; returns some, or none at end of stream.

        Raises:
            ConnectionError: The connection was lost.
        """
        while not self._unread:
            if self._error is not None:
                raise ConnectionResetError(str(self._error))
            if self._eof or self._lost:
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = self._unread.popleft()
        self._unread_bytes -= len(data)
        if self._unread_bytes <= _READ_BUFFER_LIMIT_BYTES:
            self._resume_reading()
        return data

    def write(self, data: bytes) -> None:
        """Sends bytes; does nothing on a closed connection."""
        if self._transport is not None and not self._lost and data:
            self._written_bytes += len(data)
            self._transport.write(data)
            self._peer_watch.record_write()

    async def drain(self) -> None:
        """Waits until the write buffer is below its high-water mark."""
        while self._write_paused and not self._lost:
            self._write_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._write_waiter
            finally:
                self._write_waiter = None

    async def flush(self) -> None:
        """Waits until the write buffer is empty or the connection lost."""
        if self._transport is not None and not self._lost:
            # Any unsent byte counts as above the high-water mark.
            self._transport.set_write_buffer_limits(high=0)
            try:
                await self.drain()
            finally:
                self._transport.set_write_buffer_limits()

    def end_sending(self) -> None:
        """Sends the end of the stream, at once if nothing is unsent."""
        if self._transport is not None and not self._lost:
            with contextlib.suppress(OSError):
                # The peer may have reset the connection.
                self._transport.write_eof()

    def close(self) -> None:
        """Closes the connection after flushing the write buffer."""
        self.set_close_callbacks(None, None)
        if self._transport is not None:
            self._transport.close()
            if self.has_unsent:
                asyncio.get_running_loop().call_later(
                    _CLOSE_TIMEOUT_S, self._transport.abort
                )

    def abort(self) -> None:
        """Closes the connection immediately and discards unsent bytes."""
        self.set_close_callbacks(None, None)
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.BufferedProtocol`."""
        self._transport = cast(asyncio.Transport, transport)
        _set_socket_options(self._transport)
        if self._on_connect is not None:
            self._on_connect(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Implements `asyncio.BufferedProtocol`."""
        del sizehint
        return _receive_buffer.data

    def buffer_updated(self, nbytes: int) -> None:
        """Implements `asyncio.BufferedProtocol`."""
        self._unread.append(bytes(memoryview(_receive_buffer.data)[:nbytes]))
        self._unread_bytes += nbytes
        if self._unread_bytes > _READ_BUFFER_LIMIT_BYTES and self._transport:
            self._transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self) -> bool:
        """Implements `asyncio.BufferedProtocol`; the channel stays writable."""
        self._eof = True
        _wake(self._read_waiter)
        callback, self._on_end = self._on_end, None
        if callback is not None:
            callback()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements `asyncio.BufferedProtocol`."""
        self._error = exc or self._error
        if self._error is not None:
            self._unacknowledged_at_loss = self._count_unacknowledged()
        self._lost = True
        self._peer_watch.stop()
        _wake(self._read_waiter)
        _wake(self._write_waiter)
        self._run_close_callback()

    def pause_writing(self) -> None:
        """Implements `asyncio.BufferedProtocol`."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Implements `asyncio.BufferedProtocol`."""
        self._write_paused = False
        _wake(self._write_waiter)

    def _count_unacknowledged(self) -> int | None:
        state = self._read_state()
        if state is None:
            return None
        return max(self._written_bytes - state.acknowledged_bytes, 0)

    def _read_state(self) -> TcpState | None:
        return read_tcp_state(self._transport)

    def _count_written(self) -> int:
        return self._written_bytes

    def _handle_peer_gone(self) -> None:
        if self._transport is not None:
            self._error = ConnectionError("the peer's host does not answer")
            self._transport.abort()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._lost:
            self._transport.resume_reading()

    def _run_close_callback(self) -> None:
        callback, self._on_close = self._on_close, None
        if callback is not None:
            callback()


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def _kernel_bytes(transport: asyncio.Transport | None) -> int:
    """Returns the number of bytes in the receive buffer of a socket."""
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    size = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, size)
    except OSError:
        # Only the bytes in memory are known where the call isn't available.
        return 0
    return size[0]


def _set_socket_options(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        try:
            sock.setsockopt(level, option, value)
        except OSError:
            # The connection may already be closed; the next read reports it.
            return


async def open_channel(host: str, port: int, timeout_s: float) -> Channel:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Connect timeout, in seconds.

    Raises:
        ConnectionError: The connection failed or timed out.
    """
    loop = asyncio.get_running_loop()
    try:
        async with IoTimeout(timeout_s):
            _, channel = await loop.create_connection(Channel, host, port)
    except TimeoutError:
        raise ConnectionError(
            f"no connection to {host}:{port} within {timeout_s:g} s"
        ) from None
    except OSError as error:
        raise ConnectionError(f"{host}:{port}: {error}") from error
    return channel
