"""Transport of the messages between nodes and slot coordinators."""

import asyncio
from typing import Any, cast

import msgspec

from tanagerport.gateway.coordinator import SlotCoordinator
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.slot_client import SlotClient
from tanagerport.gateway.slot_messages import (
    LeaseReport,
    RegionSummary,
    SlotDenial,
    SlotGrant,
    SlotMessage,
    SlotProgress,
    SlotQueued,
    SlotRedirect,
    SlotRelease,
    SlotRequest,
    decode_message,
    encode_message,
)


class CoordinationTransport(asyncio.DatagramProtocol):
    """Sends and receives the messages over UDP.

    Args:
        host: IP address of this node.
        port: UDP port, the same on all nodes.
        log: Decision log.
    """

    def __init__(self, host: str, port: int, log: DecisionLog) -> None:
        self._host = host
        self._port = port
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._coordinator: SlotCoordinator | None = None
        self._client: SlotClient | None = None
        self._sent_messages = 0
        self._sent_bytes = 0

    @property
    def sent_messages(self) -> int:
        """Number of messages sent to other nodes."""
        return self._sent_messages

    @property
    def sent_bytes(self) -> int:
        """Payload of the messages sent to other nodes, in bytes."""
        return self._sent_bytes

    def connect(self, coordinator: SlotCoordinator, client: SlotClient) -> None:
        """Sets the receivers of messages."""
        self._coordinator = coordinator
        self._client = client

    async def start(self) -> None:
        """Opens the UDP socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    def close(self) -> None:
        """Closes the UDP socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, host: str, message: SlotMessage) -> None:
        """Sends a message; one to this node is delivered without a socket."""
        if host == self._host:
            asyncio.get_running_loop().call_soon(self._deliver, host, message)
            return
        if self._transport is None:
            return
        data = encode_message(message)
        self._sent_messages += 1
        self._sent_bytes += len(data)
        self._transport.sendto(data, (host, self._port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        self._log.debug("slot_message_not_sent", error=str(exc))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        try:
            message = decode_message(data)
        except msgspec.DecodeError as error:
            self._log.warning(
                "slot_message_unreadable", sender=addr[0], error=str(error)
            )
            return
        self._deliver(addr[0], message)

    def _deliver(self, host: str, message: SlotMessage) -> None:
        if self._coordinator is None or self._client is None:
            return
        if isinstance(message, SlotRequest):
            self._coordinator.handle_request(host, message)
        elif isinstance(message, SlotProgress):
            self._coordinator.handle_progress(host, message)
        elif isinstance(message, SlotRelease):
            self._coordinator.handle_release(host, message)
        elif isinstance(message, LeaseReport):
            self._coordinator.handle_report(host, message)
        elif isinstance(message, RegionSummary):
            self._coordinator.handle_summary(message)
        elif isinstance(
            message, SlotGrant | SlotQueued | SlotDenial | SlotRedirect
        ):
            self._client.handle_answer(host, message)
