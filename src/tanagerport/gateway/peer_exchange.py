"""Reports between nodes, as datagrams.

Links between regions are narrow and paid by volume, so a node sends each
report to one node of each other region only, another one each time. That node
passes it on in its own reports.

Reports share the links of the nodes with requests, so their bytes have a
budget, whatever the number of nodes, of upstreams and of placements. A queue
that they fill delays requests, and the ends of requests whose clients left.

A report holds the whole state that other nodes need, so a lost or late one
is replaced by the next and nothing is sent again. A stream between two nodes
would hold fresh reports up behind a lost packet, and one exchange of the
product's gRPC heartbeat costs 0.97 ms of processor time (docs/CAPACITY.md),
which at ten reports a second to each peer is above the control budget.
"""

import asyncio
import collections
import contextlib
import dataclasses
import time
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, cast

import msgspec

from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.quotas import CustomerUse
from tanagerport.gateway.report_traffic import ReportTraffic
from tanagerport.gateway.rollout import RolloutReport
from tanagerport.gateway.table_readers import ReaderRank, reader_rank
from tanagerport.gateway.upstream_latency import Sample

# Shortest and longest time between reports to the own region, in seconds.
# Places at an upstream change hands within tens of milliseconds under load.
_NEAR_INTERVALS_S = (0.1, 0.6)
# Shortest and longest time between reports to other regions, in seconds; few
# requests go there. A node of a region gets so many of another region.
_FAR_INTERVALS_S = (0.3, 1.2)
_FAR_REPORTS_PER_S = 40
# Nodes of a silent region that get a report.
_SILENT_REGION_REPORTS = 4
# Bytes a second that a node spends on reports to its region: a twentieth of
# the narrowest link that VMs have, 5 Mbit/s. The longest interval goes first:
# 69 busy nodes, with reports of 0.8 KB, spent 60 KB/s.
_BYTES_PER_S = 32_000
# Part of it for regular reports; changes call for others with the rest.
_REGULAR_SHARE = 0.7
# Regular reports above the budget hold others up for this long at most.
_LONGEST_DEBT_S = 1.0
# Bytes of other nodes' reports in one report. Every node of the region gets
# them, so what one node passes on has to be little.
_MAX_RELAYED_BYTES = 2000
# Copies of a report leave in bursts of this many bytes, so long apart, in
# seconds. All at once they overflowed the queue of a narrow link, and requests
# waited behind them.
_BURST_BYTES = 4000
_BURST_INTERVAL_S = 0.02
# IP and UDP header of a datagram.
_HEADER_BYTES = 28
# Reports a second that a node sends to all nodes of its region. Between the
# bounds above the interval grows with the nodes, so that the cost of a node
# does not; each report of 200 bytes costs some 30 us.
_NEAR_REPORTS_PER_S = 100
# Every whole report replaces what was lost of the others. It names all
# customers, so the time between two grows with the nodes as well. A node that
# was just met, or is heard again, gets one of its own: sent to all nodes, they
# filled the links when many nodes met.
_WHOLE_INTERVALS_S = (1.0, 10.0)
_WHOLE_REPORTS_PER_S = 20
# Hosts of other nodes that a whole report names, in turn; all of 50 nodes made
# it three times as long as others.
_KNOWN_HOSTS = 12
# The least part of an interval between two reports where a change calls for
# one at once.
_MIN_INTERVAL_SHARE = 0.3
# A node that was not heard for this long does not share budgets any more.
_PEER_LIFETIME_S = 30.0
# A node of the own region, or of another one, that was not heard for this long
# is probably gone: two reports of it are missing.
_PEER_SILENT_S = 1.5
_FAR_PEER_SILENT_S = 3.0
_MAX_DATAGRAM_BYTES = 60_000
# Age of a table in reports whose node has had no answer for so long, or never.
MAX_AGE_MS = 60_000


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
        is_whole: Whether the report names all customers with use.
        uses: Use of quotas; of all customers or of those that changed.
        rollouts: Evidence about new versions.
        known: Hosts of some other nodes that it hears; in regular whole
            reports.
        relayed: Encoded reports of other regions that are passed on.
        sent_at: Seconds of the sender's monotonic clock.
        must_relay: Whether a node of another region is to pass it on in its
            own region.
        table_ages_ms: Milliseconds since the store last answered the node
            itself, for the tables of `table_versions`.
        link_mbps: Bandwidth of the link of the node, in Mbit/s.
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
    must_relay: bool = False
    table_ages_ms: tuple[int, int] = (MAX_AGE_MS, MAX_AGE_MS)
    link_mbps: int = 0


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
        table_ages_ms: Milliseconds at that time since the store last answered
            it.
        rank: Its place among the nodes that may follow the store.
        added_at: Monotonic seconds at which its address was learned.
    """

    host: str
    added_at: float
    node: str = ""
    start: int = 0
    sequence: int = -1
    zone: str = ""
    heard_at: float = float("-inf")
    table_ages_ms: tuple[int, int] = (MAX_AGE_MS, MAX_AGE_MS)
    rank: ReaderRank | None = None


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
        # Nodes begin their turns through the relays at different ones.
        self._first_turn = zlib.crc32(host.encode())
        self._relay_turn = 0
        self._known_turn = 0
        self._sent_at = float("-inf")
        # Monotonic seconds until which the sent bytes use up the budget.
        self._paid_until = float("-inf")
        self._interval_s = _NEAR_INTERVALS_S[0]
        self._far_due_at = float("-inf")
        self._whole_due_at = float("-inf")
        # Reports of other regions that the own region has not got yet, by host.
        self._unrelayed: dict[str, bytes] = {}
        # Copies that have not left yet.
        self._queue: collections.deque[tuple[bytes, str]] = collections.deque()
        self._is_queued = asyncio.Event()
        # Hosts of nodes that were just met or were silent, in their order.
        self._just_met: dict[str, None] = {}

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
        return [
            peer for peer in self._peers.values() if not self._is_silent(peer)
        ]

    def reader_ages(self, table: int) -> list[tuple[ReaderRank, float]]:
        """Returns the nodes of the region that may follow the store.

        Args:
            table: Index of a table in the reports.

        Returns:
            Rank of each node that reports at present, and the seconds since
            the store last answered it about the table.
        """
        now = self._now()
        return [
            (peer.rank, peer.table_ages_ms[table] / 1000 + now - peer.heard_at)
            for peer in self.heard()
            if peer.rank is not None and self._is_near(peer.zone)
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
            due_at = self._now() + self._interval_s
            while (left_s := due_at - self._now()) > 0:
                await self._await_queued(left_s)
                self.send_queued()

    async def _await_queued(self, timeout_s: float) -> None:
        """Waits for the time of the next burst, or for the end of the time."""
        if self._queue:
            await asyncio.sleep(min(timeout_s, _BURST_INTERVAL_S))
            return
        self._is_queued.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._is_queued.wait()

    def send_due(self) -> None:
        """Sends the report that is due and adapts the intervals."""
        self._drop_silent()
        sent_bytes = self.send_report(
            is_near_only=self._now() < min(self._far_due_at, self._whole_due_at)
        )
        close = sum(1 for peer in self._peers.values() if self._is_close(peer))
        self._interval_s = max(
            report_interval_s(close, _NEAR_REPORTS_PER_S, _NEAR_INTERVALS_S),
            min(
                sent_bytes / (_REGULAR_SHARE * _BYTES_PER_S),
                _NEAR_INTERVALS_S[1],
            ),
        )

    def send_soon(self) -> None:
        """Reports to the region at once, if the budget allows it."""
        now = self._now()
        least_s = _MIN_INTERVAL_SHARE * self._interval_s
        if now - self._sent_at >= least_s and now >= self._paid_until:
            self.send_report(is_near_only=True)

    def send_report(self, is_near_only: bool = False) -> int:
        """Sends a report to the region, and to relays of the others.

        Returns:
            Bytes of the copies for the region.
        """
        if self._transport is None or not self._peers:
            return 0
        now = self._now()
        is_whole = (
            not is_near_only
            and now + self._interval_s / 2 >= self._whole_due_at
        )
        if is_whole:
            self._whole_due_at = now + report_interval_s(
                len(self._peers), _WHOLE_REPORTS_PER_S, _WHOLE_INTERVALS_S
            )
        self._sequence += 1
        self._sent_at = now
        report = self._create_report(
            self._next_known_hosts() if is_whole else None
        )
        if is_whole:
            self._just_met = {
                host: None
                for host in self._just_met
                if not self._is_close(self._peers[host])
            }
        met = self._send_to_just_met(report)
        if not is_near_only:
            self._far_due_at = now + report_interval_s(
                len(self._peers), _FAR_REPORTS_PER_S, _FAR_INTERVALS_S
            )
            self._send(
                # Speeds are of use where most requests go, in the own region.
                msgspec.structs.replace(report, speeds=[], must_relay=True),
                [host for host in self._relays() if host not in met],
            )
        if self._unrelayed:
            report = msgspec.structs.replace(
                report, relayed=self._take_unrelayed()
            )
        sent_bytes = self._send(
            report,
            [
                peer.host
                for peer in self._peers.values()
                if self._is_close(peer) and peer.host not in met
            ],
        )
        self._pay(sent_bytes)
        self.send_queued()
        self._is_queued.set()
        return sent_bytes

    def _take_unrelayed(self) -> list[bytes]:
        """Returns the oldest reports to pass on that fit into one report."""
        relayed: list[bytes] = []
        size = 0
        for host, data in list(self._unrelayed.items()):
            size += len(data)
            if relayed and size > _MAX_RELAYED_BYTES:
                break
            relayed.append(self._unrelayed.pop(host))
        return relayed

    def _next_known_hosts(self) -> list[str]:
        hosts = [peer.host for peer in self.heard()]
        if not hosts:
            return []
        self._known_turn += 1
        return self._take_turns(hosts, self._known_turn, _KNOWN_HOSTS)

    def _create_report(self, known: list[str] | None) -> NodeReport:
        return msgspec.structs.replace(
            self._make_report(self._sequence, known), sent_at=self._sent_at
        )

    def _send_to_just_met(self, report: NodeReport) -> set[str]:
        """Sends whole reports to nodes that were just met.

        Args:
            report: The report that other nodes get now.

        Returns:
            Hosts that got one; the others wait until the budget allows it.
        """
        hosts: list[str] = []
        if self._just_met and self._sent_at >= self._paid_until:
            whole = msgspec.structs.replace(
                self._create_report([]), speeds=report.speeds
            )
            limit = 1 + int(
                _BYTES_PER_S
                * self._interval_s
                / len(self._encoder.encode(whole))
            )
            hosts = list(self._just_met)[:limit]
            for host in hosts:
                del self._just_met[host]
            self._pay(self._send(whole, hosts))
        return set(hosts)

    def send_queued(self) -> None:
        """Sends the next burst of the copies that wait."""
        size = 0
        while self._queue and self._transport is not None:
            data, host = self._queue[0]
            size += len(data)
            if size > _BURST_BYTES and size > len(data):
                return
            self._queue.popleft()
            self._transport.sendto(data, (host, self._port))

    def _send(self, report: NodeReport, hosts: Sequence[str]) -> int:
        """Queues a report; returns the bytes of all copies."""
        data = self._encoder.encode(report)
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._log.error("report_too_large", size=len(data))
            return 0
        self._traffic.record_sent(len(data), len(hosts), report.is_whole)
        self._queue.extend((data, host) for host in hosts)
        return (len(data) + _HEADER_BYTES) * len(hosts)

    def _pay(self, sent_bytes: int) -> None:
        """Takes sent bytes out of the budget."""
        self._paid_until = min(
            max(self._paid_until, self._sent_at) + sent_bytes / _BYTES_PER_S,
            self._sent_at + _LONGEST_DEBT_S,
        )

    def _relays(self) -> list[str]:
        """Returns the nodes that pass a report on in the other regions.

        Each report goes to another node, so that the loss of one costs few
        reports. Of a region that is silent some nodes get reports in turn: it
        may have been cut off, and neither side would hear of the other again.
        """
        far: dict[str, list[str]] = {}
        heard: dict[str, list[str]] = {}
        for peer in self._peers.values():
            if self._is_close(peer):
                continue
            region = self._regions.get(peer.zone, "")
            far.setdefault(region, []).append(peer.host)
            if not self._is_silent(peer):
                heard.setdefault(region, []).append(peer.host)
        self._relay_turn += 1
        return [
            host
            for region, hosts in far.items()
            for host in (
                self._take_turns(heard[region], self._relay_turn, 1)
                if region in heard
                else self._take_turns(
                    hosts, self._relay_turn, _SILENT_REGION_REPORTS
                )
            )
        ]

    def _take_turns(self, hosts: list[str], turn: int, count: int) -> list[str]:
        """Returns some of the hosts, the next ones with each turn."""
        hosts.sort()
        first = (self._first_turn + turn * count) % len(hosts)
        return (hosts[first:] + hosts[:first])[:count]

    def silence_bound_s(self, zone: str) -> float:
        """Returns after how long a node of a zone is probably gone."""
        return _PEER_SILENT_S if self._is_near(zone) else _FAR_PEER_SILENT_S

    def _is_silent(self, peer: Peer) -> bool:
        return self._now() - peer.heard_at > self.silence_bound_s(peer.zone)

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
        if report.must_relay and not self._is_near(report.zone):
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
        if is_new or self._is_silent(peer):
            # It knows nothing of this node, or missed some of it.
            self._just_met[report.host] = None
        peer.node = report.node
        peer.zone = report.zone
        peer.start = report.start
        peer.sequence = report.sequence
        peer.heard_at = self._now()
        peer.table_ages_ms = report.table_ages_ms
        peer.rank = reader_rank(report.host, report.link_mbps)
        self.add_hosts(report.known)
        self._on_report(report)
        return True

    def _drop_silent(self) -> None:
        now = self._now()
        for host, peer in list(self._peers.items()):
            last = max(peer.heard_at, peer.added_at)
            if now - last > _PEER_LIFETIME_S:
                del self._peers[host]
                self._just_met.pop(host, None)
                if peer.node:
                    self._traffic.forget(f"{peer.node}/{peer.start}")
                    self._log.info("peer_lost", peer=peer.node, host=host)
                    self._on_lost(peer.node)
