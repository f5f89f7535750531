"""Reports between nodes, as datagrams.

Links between regions are narrow and paid by volume, so a node sends its
reports to two nodes of each other region only. These pass them on in their
own reports.

A report holds the whole state that other nodes need, so a lost or late one
is replaced by the next and nothing is sent again. A stream between two nodes
would hold fresh reports up behind a lost packet, and one exchange of the
product's gRPC heartbeat costs 0.97 ms of processor time (docs/CAPACITY.md),
which at ten reports a second to each peer is above the control budget.
"""

import asyncio
import dataclasses
import heapq
import time
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, cast

import msgspec

from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.quotas import CustomerUse
from tanagerport.gateway.report_traffic import ReportTraffic
from tanagerport.gateway.rollout import RolloutReport
from tanagerport.gateway.upstream_speed import Sample

# Shortest and longest time between reports to the own region, in seconds.
# Places at an upstream change hands within tens of milliseconds under load.
_NEAR_INTERVALS_S = (0.1, 0.5)
# Seconds between reports to other regions; few requests go there.
_FAR_INTERVAL_S = 0.3
# Nodes of each other region that get a report, so that the loss of one of
# them does not cut its region off.
_RELAYS = 2
# Reports a second that a node sends to all nodes of its region. Between the
# bounds above the interval grows with the nodes, so that the cost of a node
# does not; each report of 200 bytes costs some 30 us.
_NEAR_REPORTS_PER_S = 100
# Every whole report replaces what was lost of the others. It names all nodes,
# so the time between two grows with them as well.
_WHOLE_INTERVALS_S = (1.0, 10.0)
_WHOLE_REPORTS_PER_S = 20
# The least part of an interval between two reports where a change calls for
# one at once.
_MIN_INTERVAL_SHARE = 0.3
# A node that was not heard for this long does not share budgets any more.
_PEER_LIFETIME_S = 30.0
# A node that was not heard for this long is probably gone.
_PEER_SILENT_S = 1.5
_MAX_DATAGRAM_BYTES = 60_000


class NodeReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node tells the others.

    Attributes:
        node: Name of the node.
        start: Random number of this start of the node.
        sequence: Grows with every report of this start.
        host: IP address of the node.
        zone: Availability zone of the node.
        table_versions: Store version of the newest known row, for the tables
            of the configuration and of the upstreams.
        loads: Upstream, requests in progress, unread prompt tokens and
            whether it is silent.
        speeds: Samples of the speed of upstreams since the last report.
        uptime_s: Seconds since the start.
        is_whole: Whether the report names all customers and hosts.
        uses: Use of quotas; of all customers or of those that changed.
        rollouts: Evidence about new versions.
        known: Hosts of other nodes that it hears; empty unless it is whole.
        relayed: Encoded reports of other regions that are passed on.
        sent_at: Seconds of the sender's monotonic clock.
    """

    node: str
    start: int
    sequence: int
    host: str
    zone: str
    table_versions: tuple[int, int]
    loads: list[tuple[str, int, int, bool]]
    speeds: list[Sample]
    uptime_s: float
    is_whole: bool
    uses: list[CustomerUse]
    rollouts: list[RolloutReport]
    known: list[str]
    relayed: list[bytes] = []
    sent_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Peer:
    """Another node.

    Attributes:
        host: IP address.
        node: Name; empty until it was heard.
        start: Random number of its start.
        sequence: Newest report.
        zone: Availability zone; empty until it was heard.
        heard_at: Monotonic seconds of its newest report.
        added_at: Monotonic seconds at which its address was learned.
    """

    host: str
    added_at: float
    node: str = ""
    start: int = 0
    sequence: int = -1
    zone: str = ""
    heard_at: float = float("-inf")


def report_interval_s(
    peers: int, reports_per_s: float, bounds_s: tuple[float, float]
) -> float:
    """Returns the seconds between reports to a number of nodes.

    Args:
        peers: Nodes that get each report.
        reports_per_s: Reports to all of them together.
        bounds_s: Shortest and longest time.
    """
    return min(max(peers / reports_per_s, bounds_s[0]), bounds_s[1])


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this node's reports and receives those of others.

    Args:
        host: IP address of this node.
        zone: Availability zone of this node.
        regions: Region of each availability zone.
        port: UDP port, the same on all nodes.
        make_report: Makes the report of a sequence number, whole with these
            hosts or without them.
        on_report: Called with each new report.
        on_lost: Called with the name of a node that stopped reporting.
        log: Log of decisions.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        regions: Mapping[str, str],
        port: int,
        make_report: Callable[[int, list[str] | None], NodeReport],
        on_report: Callable[[NodeReport], None],
        on_lost: Callable[[str], None],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._regions = regions
        self._region = regions.get(zone, "")
        self._port = port
        self._make_report = make_report
        self._on_report = on_report
        self._on_lost = on_lost
        self._log = log
        self._now = now
        self._peers: dict[str, Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(NodeReport)
        self._traffic = ReportTraffic()
        self._sequence = 0
        self._sent_at = float("-inf")
        self._interval_s = _NEAR_INTERVALS_S[0]
        self._far_due_at = float("-inf")
        self._whole_due_at = float("-inf")
        # Reports of other regions that the own region has not got yet, and
        # nodes that were just met, by host.
        self._unrelayed: dict[str, bytes] = {}
        self._just_met: set[str] = set()

    @property
    def interval_s(self) -> float:
        """Seconds between reports to the own region."""
        return self._interval_s

    @property
    def traffic(self) -> ReportTraffic:
        """Bytes and delays of reports."""
        return self._traffic

    def count_nodes(self) -> int:
        """Returns the nodes that share budgets, this one included."""
        return 1 + sum(1 for peer in self._peers.values() if peer.node)

    def count_heard_nodes(self) -> int:
        """Returns the nodes that report at present, this one included."""
        return 1 + len(self.heard())

    def heard(self) -> list[Peer]:
        """Returns the other nodes that report at present."""
        oldest = self._now() - _PEER_SILENT_S
        return [
            peer for peer in self._peers.values() if peer.heard_at >= oldest
        ]

    async def start(self) -> None:
        """Opens the port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    def close(self) -> None:
        """Closes the port."""
        if self._transport is not None:
            self._transport.close()

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Adds addresses of nodes."""
        for host in hosts:
            if host != self._host and host not in self._peers:
                self._peers[host] = Peer(host, self._now())

    async def run(self) -> None:
        """Sends reports until it is cancelled."""
        while True:
            self.send_due()
            await asyncio.sleep(self._interval_s)

    def send_due(self) -> None:
        """Sends the report that is due and adapts the intervals."""
        self._drop_silent()
        close = sum(1 for peer in self._peers.values() if self._is_close(peer))
        self._interval_s = report_interval_s(
            close, _NEAR_REPORTS_PER_S, _NEAR_INTERVALS_S
        )
        self.send_report(is_near_only=self._now() < self._far_due_at)

    def send_soon(self) -> None:
        """Reports to the region at once, unless the last one is recent."""
        least_s = _MIN_INTERVAL_SHARE * self._interval_s
        if self._now() - self._sent_at >= least_s:
            self.send_report(is_near_only=True)

    def send_report(self, is_near_only: bool = False) -> None:
        """Sends a report to the region, and to relays of the others."""
        if self._transport is None or not self._peers:
            return
        now = self._now()
        is_whole = not is_near_only and now >= self._whole_due_at
        if is_whole:
            self._whole_due_at = now + report_interval_s(
                len(self._peers), _WHOLE_REPORTS_PER_S, _WHOLE_INTERVALS_S
            )
        self._sequence += 1
        self._sent_at = now
        known = [peer.host for peer in self.heard()] if is_whole else None
        report = msgspec.structs.replace(
            self._make_report(self._sequence, known), sent_at=now
        )
        if not is_near_only:
            self._far_due_at = now + _FAR_INTERVAL_S
            self._send(report, sorted({*self._relays(), *self._just_met}))
            self._just_met.clear()
        if self._unrelayed:
            report = msgspec.structs.replace(
                report, relayed=list(self._unrelayed.values())
            )
            self._unrelayed.clear()
        self._send(
            report,
            [
                peer.host
                for peer in self._peers.values()
                if self._is_close(peer)
            ],
        )

    def _send(self, report: NodeReport, hosts: Sequence[str]) -> None:
        assert self._transport is not None
        data = self._encoder.encode(report)
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._log.error("report_too_large", size=len(data))
            return
        self._traffic.record_sent(len(data), len(hosts), report.is_whole)
        for host in hosts:
            self._transport.sendto(data, (host, self._port))

    def _relays(self) -> list[str]:
        """Returns the nodes that pass reports on in the other regions.

        Each node has others, by a hash, so that the work is spread. Of a
        region that is silent all nodes get reports: it may have been cut off,
        and neither side would hear of the other again.
        """
        far: dict[str, list[str]] = {}
        heard: dict[str, list[str]] = {}
        oldest = self._now() - _PEER_SILENT_S
        for peer in self._peers.values():
            if self._is_close(peer):
                continue
            region = self._regions.get(peer.zone, "")
            far.setdefault(region, []).append(peer.host)
            if peer.heard_at >= oldest:
                heard.setdefault(region, []).append(peer.host)
        return [
            host
            for region, hosts in far.items()
            for host in (
                heapq.nlargest(_RELAYS, heard[region], self._relay_rank)
                if region in heard
                else hosts
            )
        ]

    def _relay_rank(self, host: str) -> int:
        return zlib.crc32(f"{self._host}>{host}".encode())

    def _is_close(self, peer: Peer) -> bool:
        """Returns whether a peer is in the own region, or not known yet."""
        return not peer.zone or self._is_near(peer.zone)

    def _is_near(self, zone: str) -> bool:
        return self._regions.get(zone) == self._region

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        self._log.debug("report_not_sent", error=str(exc))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        report = self._decode(data, addr[0])
        if report is None:
            return
        self._traffic.record_received(
            f"{report.node}/{report.start}",
            len(data),
            report.sent_at,
            self._now(),
        )
        if not self._take(report):
            return
        if not self._is_near(report.zone):
            self._unrelayed[report.host] = data
        for relayed in report.relayed:
            other = self._decode(relayed, addr[0])
            if other is not None:
                self._take(other)

    def _decode(self, data: bytes, sender: str) -> NodeReport | None:
        try:
            return self._decoder.decode(data)
        except msgspec.DecodeError as error:
            self._log.warning(
                "report_unreadable", sender=sender, error=str(error)
            )
            return None

    def _take(self, report: NodeReport) -> bool:
        """Applies a report; returns whether it is a new one."""
        if report.host == self._host:
            return False
        peer = self._peers.get(report.host)
        if peer is None:
            peer = self._peers[report.host] = Peer(report.host, self._now())
        if peer.start == report.start and peer.sequence >= report.sequence:
            return False
        if peer.node and peer.start != report.start:
            self._traffic.forget(f"{peer.node}/{peer.start}")
            self._on_lost(peer.node)
        if not peer.node:
            self._log.info("peer_found", peer=report.node, host=report.host)
        is_new = peer.start != report.start
        if is_new or self._now() - peer.heard_at > _PEER_SILENT_S:
            # It knows nothing of this node, or missed some of it.
            self._far_due_at = self._whole_due_at = self._now()
        if is_new and not self._is_near(report.zone):
            self._just_met.add(report.host)
        peer.node = report.node
        peer.zone = report.zone
        peer.start = report.start
        peer.sequence = report.sequence
        peer.heard_at = self._now()
        self.add_hosts(report.known)
        self._on_report(report)
        return True

    def _drop_silent(self) -> None:
        now = self._now()
        for host, peer in list(self._peers.items()):
            last = max(peer.heard_at, peer.added_at)
            if now - last > _PEER_LIFETIME_S:
                del self._peers[host]
                if peer.node:
                    self._traffic.forget(f"{peer.node}/{peer.start}")
                    self._log.info("peer_lost", peer=peer.node, host=host)
                    self._on_lost(peer.node)
