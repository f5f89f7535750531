"""What the kernel knows of a TCP connection."""

import asyncio
import dataclasses
import socket
import struct

# Fields of `struct tcp_info` in <linux/tcp.h> up to `tcpi_bytes_acked`.
_TCP_INFO = struct.Struct("=8B24I3Q")
_RETRANSMITS = 2
_PROBES = 3
_LAST_DATA_RECEIVED_MS = 19
_LAST_ACK_RECEIVED_MS = 20
_BYTES_ACKED = 34


@dataclasses.dataclass(frozen=True, slots=True)
class TcpState:
    """State of the sending side of a connection.

    Attributes:
        unanswered_probes: Retransmissions, or probes of a closed receive
            window, that the peer's host has not answered.
        silent_s: Seconds since the last acknowledgement of the peer's host.
        acknowledged_bytes: Number of acknowledged bytes.
        data_age_s: Seconds since the last data of the peer came; 0 if the
            kernel does not tell.
    """

    unanswered_probes: int
    silent_s: float
    acknowledged_bytes: int
    data_age_s: float = 0.0


def read_tcp_state(transport: asyncio.Transport | None) -> TcpState | None:
    """Returns the state of a connection.

    None if the connection is closed or the kernel doesn't tell.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        data = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        return None
    if len(data) < _TCP_INFO.size:
        return None
    fields = _TCP_INFO.unpack(data)
    return TcpState(
        unanswered_probes=max(fields[_RETRANSMITS], fields[_PROBES]),
        silent_s=fields[_LAST_ACK_RECEIVED_MS] / 1000,
        acknowledged_bytes=fields[_BYTES_ACKED],
        data_age_s=fields[_LAST_DATA_RECEIVED_MS] / 1000,
    )
