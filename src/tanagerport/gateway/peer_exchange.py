"""Exchanges state reports between nodes over UDP.

Links between regions are slow and billed by volume, so a node sends each
report to only one relay node per remote region, a different one each time. The
relay forwards it within its own reports.

Reports share the links of the nodes with requests, so their bandwidth has a
fixed budget, regardless of the number of nodes, upstreams and placements. If
they fill the queue of a link, they delay requests and the cancellation of
requests whose clients have disconnected.

A report contains all the state that other nodes need, so a lost or late report
is superseded by the next one and nothing is retransmitted. Over TCP, a lost
packet would delay newer reports, and one exchange of the gRPC
heartbeat in `peer.proto` costs 0.97 ms of CPU time (docs/CAPACITY.md), which
exceeds the control budget at ten reports per second to each peer.
"""

import asyncio
import collections
import contextlib
import dataclasses
import heapq
import time
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, cast

import msgspec

from tanagerport.gateway import untrusted_data
from tanagerport.gateway.crash_evidence import CrashEvidence
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.quotas import CustomerUsage
from tanagerport.gateway.report_traffic import ReportTraffic
from tanagerport.gateway.rollout_report import RolloutReport
from tanagerport.gateway.table_readers import (
    MAX_READER_AGE_S,
    READERS_PER_REGION,
    ReaderRank,
    reader_rank,
)
from tanagerport.gateway.table_relays import is_nearer
from tanagerport.gateway.untrusted_data import Integer, Seconds
from tanagerport.gateway.upstream_latency import Sample
from tanagerport.gateway.upstream_limits import ReportedLimit

# Minimum and maximum interval between reports to the local region. Two reports
# are due before a node times out.
_LOCAL_INTERVAL_BOUNDS_S = (0.1, 0.7)
# Minimum and maximum interval between reports to remote regions, which receive
# few requests, and the target rate of reports that a node receives from remote
# regions, including relayed ones.
_REMOTE_INTERVAL_BOUNDS_S = (0.3, 1.2)
_REMOTE_REPORTS_PER_S = 40
# Number of nodes that are sent each report in a remote region in which all
# nodes have timed out.
_UNREACHABLE_REGION_PROBES = 4
# Bandwidth budget of a node for reports to its region: 5% of the slowest link
# of a VM, 5 Mbit/s. The maximum interval takes precedence: 69 busy nodes with
# reports of 0.8 KB used 60 KB/s.
_REPORT_BYTES_PER_S = 32_000
# Share of the budget for periodic reports; the rest is for early reports after
# changes.
_PERIODIC_BUDGET_SHARE = 0.7
# Maximum time for which early reports are suspended after the budget was
# exceeded.
_MAX_BUDGET_DEBT_S = 1.0
# Maximum size of the relayed reports in one report. It is small because every
# node of the region receives them.
_MAX_RELAYED_BYTES = 2000
# Copies of a report are sent in bursts of limited size. Sent all at once, they
# overflowed the queue of a slow link and delayed requests.
_BURST_BYTES = 4000
_BURST_INTERVAL_S = 0.02
_IP_UDP_HEADER_BYTES = 28
# Reports per second that a node sends to its region in total. Within the
# bounds above, the interval grows with the number of nodes so that the CPU time
# per node does not; each report of 200 bytes costs about 30 us.
_LOCAL_REPORTS_PER_S = 100
# A full report makes up for lost incremental ones. It lists all customers, so
# its interval grows with the number of nodes as well. A node that is new, or
# reports again after it timed out, is sent a full report individually: when
# many nodes joined, full reports to all nodes saturated the links.
_FULL_REPORT_INTERVAL_BOUNDS_S = (1.0, 10.0)
_FULL_REPORTS_PER_S = 20
# Number of hosts that a full report lists, in rotation. With all of 50 hosts it
# was three times the size of other reports.
_MAX_KNOWN_HOSTS = 12
# Minimum time between a report and the next early one, as a share of the
# interval between periodic reports.
_MIN_INTERVAL_SHARE = 0.3
# A node that has sent no report for this long is removed and no longer counts
# when budgets are divided among the nodes.
_PEER_EXPIRY_S = 30.0
# A node of the local or a remote region times out, and is presumed down, after
# this time without a report, in which at least two reports were due.
_LOCAL_PEER_TIMEOUT_S = 1.5
_REMOTE_PEER_TIMEOUT_S = 3.0
_MAX_DATAGRAM_BYTES = 60_000
# Maximum table age in reports, also used before the first store response.
MAX_TABLE_AGE_MS = 60_000


class NodeReport(msgspec.Struct, array_like=True, frozen=True):
    """State of a node that is sent to the other nodes.

    Attributes:
        node: Name of the node.
        start: Random ID of this run of the node's process.
        sequence: Sequence number of the report within this run.
        host: IP address of the node.
        zone: Availability zone of the node.
        table_versions: Number of the store version of the newest known row,
            for the configuration table and the upstream table.
        loads: Upstream ID, requests in progress, unread prompt tokens and
            whether the upstream is silent, for each upstream.
        speeds: Speed samples of upstreams since the last report.
        uptime_s: Seconds since the process started.
        is_whole: Whether this is a full report, with the usage of all
            customers.
        uses: Quota usage of all customers, or of those whose usage changed.
        rollouts: Rollout states and evidence about new versions.
        known_hosts: Hosts of some live nodes; only in periodic full reports.
        relayed: Encoded reports from remote regions that this node relays.
        sent_at: Send time on the sender's monotonic clock, in seconds.
        must_relay: Whether a receiver in another region has to relay the
            report to its own region.
        table_ages_ms: Milliseconds since the store last responded to this
            node, for the same tables as `table_versions`.
        link_mbps: Bandwidth of the node's link, in Mbit/s.
        is_draining: Whether the node is stopping.
        crash_evidence: Evidence on prompt parts that crash upstreams, if any.
        table_eras: Era of the store for each of `table_versions`.
        has_lost_rows: Whether the node keeps rows that the restored store
            lacks, for the same tables.
        configuration_version: The operator's number of the configuration that
            the node applies; 0 before the first.
        limits: Limits of requests that upstreams named to the node.
        store_round_trip_us: Round trip from the node to the store in
            microseconds; 0 if unknown.
        can_write_store: False if the store has not taken the node's last
            checkpoint.
    """

    node: str
    start: Integer
    sequence: Integer
    host: str
    zone: str
    table_versions: tuple[Integer, Integer]
    loads: list[tuple[str, Integer, Integer, bool]]
    speeds: list[Sample]
    uptime_s: Seconds
    is_whole: bool
    uses: list[CustomerUsage]
    rollouts: list[RolloutReport]
    known_hosts: list[str]
    relayed: list[bytes] = []
    sent_at: Seconds = 0.0
    must_relay: bool = False
    table_ages_ms: tuple[Integer, Integer] = (
        MAX_TABLE_AGE_MS,
        MAX_TABLE_AGE_MS,
    )
    link_mbps: Integer = 0
    is_draining: bool = False
    crash_evidence: CrashEvidence | None = None
    table_eras: tuple[int, int] = (0, 0)
    has_lost_rows: tuple[bool, bool] = (False, False)
    configuration_version: int = 0
    limits: list[ReportedLimit] = []
    store_round_trip_us: Integer = 0
    can_write_store: bool = True


@dataclasses.dataclass(slots=True)
class Peer:
    """Known state of another node.

    Attributes:
        host: IP address.
        added_at: Monotonic time at which the address was added, in seconds.
        node: Name; empty before the first report.
        start: Random ID of the run of its process.
        sequence: Sequence number of its newest report.
        zone: Availability zone; empty before the first report.
        last_report_at: Monotonic time of its newest report, in seconds.
        heard_at: The same on the clock that tells how long it is silent.
        table_ages_ms: Milliseconds since the store last responded to it, as of
            its newest report.
        rank: Rank in the selection of readers; None before the first report.
        started_at: Monotonic time at which its process started, in seconds.
        is_draining: Whether it is stopping.
        store_round_trip_s: Its round trip to the store, in seconds; 0 if
            unknown.
        configuration_version: The operator's number of the configuration that
            it applies; 0 before the first.
        can_write_store: False if the store has not taken its last checkpoint.
    """

    host: str
    added_at: float
    node: str = ""
    start: int = 0
    sequence: int = -1
    zone: str = ""
    last_report_at: float = float("-inf")
    heard_at: float = float("-inf")
    table_ages_ms: tuple[int, int] = (MAX_TABLE_AGE_MS, MAX_TABLE_AGE_MS)
    rank: ReaderRank | None = None
    started_at: float = float("inf")
    is_draining: bool = False
    store_round_trip_s: float = 0.0
    configuration_version: int = 0
    can_write_store: bool = True


def report_interval_s(
    peers: int, reports_per_s: float, bounds_s: tuple[float, float]
) -> float:
    """Returns the interval between reports, in seconds.

    Args:
        peers: Number of recipients of each report.
        reports_per_s: Target rate of reports to all recipients in total.
        bounds_s: Minimum and maximum interval in seconds.
    """
    return min(max(peers / reports_per_s, bounds_s[0]), bounds_s[1])


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this node's reports and receives those of other nodes.

    Args:
        host: IP address of this node.
        zone: Availability zone of this node.
        regions: Region of each availability zone.
        port: UDP port, the same on all nodes.
        make_report: Creates the report with a sequence number: a full one if
            it is given a list of known hosts, an incremental one for None.
        on_report: Called with each new report.
        on_peer_lost: Called with the name of a node that restarted or was
            removed because it stopped reporting.
        log: Decision log.
        now: Monotonic clock, in seconds.
        attended_now: Clock that tells how long other nodes are silent, in
            seconds; None for `now`.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        regions: Mapping[str, str],
        port: int,
        make_report: Callable[[int, list[str] | None], NodeReport],
        on_report: Callable[[NodeReport], None],
        on_peer_lost: Callable[[str], None],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
        attended_now: Callable[[], float] | None = None,
    ) -> None:
        self._host = host
        self._regions = regions
        self._region = regions.get(zone, "")
        self._port = port
        self._make_report = make_report
        self._on_report = on_report
        self._on_peer_lost = on_peer_lost
        self._log = log
        self._now = now
        self._attended_now = attended_now or now
        self._peers: dict[str, Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(NodeReport)
        self._traffic = ReportTraffic()
        self._sequence = 0
        # Nodes start at different offsets, so they select different relays.
        self._rotation_offset = zlib.crc32(host.encode())
        self._relay_rotation = 0
        self._known_hosts_rotation = 0
        self._last_sent_at = float("-inf")
        # Monotonic time at which the budget covers all bytes sent so far.
        self._budget_spent_until = float("-inf")
        self._interval_s = _LOCAL_INTERVAL_BOUNDS_S[0]
        self._remote_due_at = float("-inf")
        self._full_report_due_at = float("-inf")
        # Reports from remote regions still to be relayed, by sender's host.
        self._pending_relays: dict[str, bytes] = {}
        # Encoded reports to send, with the host of the recipient.
        self._send_queue: collections.deque[tuple[bytes, str]] = (
            collections.deque()
        )
        self._reports_queued = asyncio.Event()
        # Hosts of nodes that are new or had timed out and are still to be sent
        # a full report, in order of arrival; used as an ordered set.
        self._pending_full_reports: dict[str, None] = {}

    @property
    def interval_s(self) -> float:
        """Interval between reports to the local region, in seconds."""
        return self._interval_s

    @property
    def mean_delay_s(self) -> float:
        """Mean time until what another node reports is known here, in seconds.

        Half an interval within the region; from another region, half of its
        interval and half of that of the relay.
        """
        if all(
            self._is_local_or_unknown(peer) for peer in self._peers.values()
        ):
            return self._interval_s / 2
        remote_interval_s = report_interval_s(
            len(self._peers), _REMOTE_REPORTS_PER_S, _REMOTE_INTERVAL_BOUNDS_S
        )
        return (self._interval_s + remote_interval_s) / 2

    @property
    def traffic(self) -> ReportTraffic:
        """Traffic and delay statistics of reports."""
        return self._traffic

    def count_nodes(self) -> int:
        """Returns the number of nodes that share budgets, including this one.

        Nodes count until they are removed, even after they time out.
        """
        return 1 + sum(1 for peer in self._peers.values() if peer.node)

    def count_live_nodes(self) -> int:
        """Returns the number of live nodes, including this one."""
        return 1 + len(self.live_peers())

    def live_peers(self) -> list[Peer]:
        """Returns the other nodes whose last report has not timed out."""
        return [
            peer
            for peer in self._peers.values()
            if self._attended_now() - peer.heard_at
            <= self.peer_timeout_s(peer.zone)
        ]

    def reader_candidates(self, table: int) -> list[tuple[ReaderRank, float]]:
        """Returns the other live nodes of the region as candidate readers.

        Args:
            table: Index of the table in `NodeReport.table_versions`.

        Returns:
            Rank of each node, and the seconds since the store last responded
            to it about the table.
        """
        now = self._now()
        return [
            (
                peer.rank,
                peer.table_ages_ms[table] / 1000 + now - peer.last_report_at,
            )
            for peer in self.live_peers()
            if peer.rank is not None and self._is_local_zone(peer.zone)
        ]

    def nearer_readers(self, table: int, own_round_trip_s: float) -> list[str]:
        """Returns the hosts of readers that are much nearer to the store.

        They are those with the fastest links in other regions; in its own, a
        node follows readers anyway.

        Args:
            table: Index of the table in `NodeReport.table_versions`.
            own_round_trip_s: Round trip from this node to the store.
        """
        candidates = [
            (peer.rank, peer.host)
            for peer in self.live_peers()
            if peer.rank is not None
            and not self._is_local_zone(peer.zone)
            and not peer.is_draining
            and peer.table_ages_ms[table] <= MAX_READER_AGE_S * 1000
            and is_nearer(peer.store_round_trip_s, own_round_trip_s)
        ]
        return [
            host for _, host in heapq.nsmallest(READERS_PER_REGION, candidates)
        ]

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

    def add_hosts(self, hosts: Iterable[str]) -> None:
        """Adds nodes with these IP addresses."""
        for host in hosts:
            if host != self._host and host not in self._peers:
                self._add_peer(host)

    def _add_peer(self, host: str) -> Peer | None:
        """Adds a node; returns None if the address is not that of a host.

        The transport resolves names, which blocks the event loop, and closes
        itself on an address that it can't use.
        """
        if not untrusted_data.is_host_address(host):
            self._log.warning(
                "peer_address_invalid", host=untrusted_data.shorten(host)
            )
            return None
        peer = self._peers[host] = Peer(host, self._now())
        return peer

    async def run(self) -> None:
        """Sends reports until the task is cancelled."""
        while True:
            self.send_periodic_report()
            due_at = self._now() + self._interval_s
            while (remaining_s := due_at - self._now()) > 0:
                await self._wait_for_burst(remaining_s)
                self.send_next_burst()

    async def _wait_for_burst(self, timeout_s: float) -> None:
        """Waits until the next burst may be sent, or for the timeout."""
        if self._send_queue:
            await asyncio.sleep(min(timeout_s, _BURST_INTERVAL_S))
            return
        self._reports_queued.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._reports_queued.wait()

    def send_periodic_report(self) -> None:
        """Sends the periodic report and adapts the interval."""
        self._remove_expired()
        sent_bytes = self.send_report(
            is_local_only=self._now()
            < min(self._remote_due_at, self._full_report_due_at)
        )
        local_peer_count = sum(
            1
            for peer in self._peers.values()
            if self._is_local_or_unknown(peer)
        )
        self._interval_s = max(
            report_interval_s(
                local_peer_count, _LOCAL_REPORTS_PER_S, _LOCAL_INTERVAL_BOUNDS_S
            ),
            min(
                sent_bytes / (_PERIODIC_BUDGET_SHARE * _REPORT_BYTES_PER_S),
                _LOCAL_INTERVAL_BOUNDS_S[1],
            ),
        )

    def send_early_report(self) -> None:
        """Sends a report to the local region now if the budget allows it."""
        now = self._now()
        min_interval_s = _MIN_INTERVAL_SHARE * self._interval_s
        if (
            now - self._last_sent_at >= min_interval_s
            and now >= self._budget_spent_until
        ):
            self.send_report(is_local_only=True)

    def send_report(self, is_local_only: bool = False) -> int:
        """Sends a report to the local region and to relays of remote regions.

        Args:
            is_local_only: Whether to send it to the local region only.

        Returns:
            Total size of the copies to the local region, in bytes.
        """
        if self._transport is None or not self._peers:
            return 0
        now = self._now()
        is_whole = (
            not is_local_only
            and now + self._interval_s / 2 >= self._full_report_due_at
        )
        if is_whole:
            self._full_report_due_at = now + report_interval_s(
                len(self._peers),
                _FULL_REPORTS_PER_S,
                _FULL_REPORT_INTERVAL_BOUNDS_S,
            )
        self._sequence += 1
        self._last_sent_at = now
        report = self._create_report(
            self._next_known_hosts() if is_whole else None
        )
        if is_whole:
            self._pending_full_reports = {
                host: None
                for host in self._pending_full_reports
                if not self._is_local_or_unknown(self._peers[host])
            }
        full_report_hosts = self._enqueue_full_reports(report)
        if not is_local_only:
            self._remote_due_at = now + report_interval_s(
                len(self._peers),
                _REMOTE_REPORTS_PER_S,
                _REMOTE_INTERVAL_BOUNDS_S,
            )
            self._enqueue(
                # Speed samples matter in the local region only, which gets
                # most of the requests.
                msgspec.structs.replace(report, speeds=[], must_relay=True),
                [
                    host
                    for host in self._select_relays()
                    if host not in full_report_hosts
                ],
            )
        if self._pending_relays:
            report = msgspec.structs.replace(
                report, relayed=self._take_pending_relays()
            )
        sent_bytes = self._enqueue(
            report,
            [
                peer.host
                for peer in self._peers.values()
                if self._is_local_or_unknown(peer)
                and peer.host not in full_report_hosts
            ],
        )
        self._charge_budget(sent_bytes)
        self.send_next_burst()
        self._reports_queued.set()
        return sent_bytes

    def _take_pending_relays(self) -> list[bytes]:
        """Removes and returns the oldest reports to relay, of limited size."""
        relayed: list[bytes] = []
        size = 0
        for host, data in list(self._pending_relays.items()):
            size += len(data)
            if relayed and size > _MAX_RELAYED_BYTES:
                break
            relayed.append(self._pending_relays.pop(host))
        return relayed

    def _next_known_hosts(self) -> list[str]:
        hosts = [peer.host for peer in self.live_peers()]
        if not hosts:
            return []
        self._known_hosts_rotation += 1
        return self._select_round_robin(
            hosts, self._known_hosts_rotation, _MAX_KNOWN_HOSTS
        )

    def _create_report(self, known_hosts: list[str] | None) -> NodeReport:
        return msgspec.structs.replace(
            self._make_report(self._sequence, known_hosts),
            sent_at=self._last_sent_at,
        )

    def _enqueue_full_reports(self, report: NodeReport) -> set[str]:
        """Queues full reports to nodes that are new or had timed out.

        Args:
            report: The report that is being sent to the other nodes.

        Returns:
            Hosts for which a full report was queued. The others get one once
            the budget allows it.
        """
        hosts: list[str] = []
        if (
            self._pending_full_reports
            and self._last_sent_at >= self._budget_spent_until
        ):
            full_report = msgspec.structs.replace(
                self._create_report([]), speeds=report.speeds
            )
            limit = 1 + int(
                _REPORT_BYTES_PER_S
                * self._interval_s
                / len(self._encoder.encode(full_report))
            )
            hosts = list(self._pending_full_reports)[:limit]
            for host in hosts:
                del self._pending_full_reports[host]
            self._charge_budget(self._enqueue(full_report, hosts))
        return set(hosts)

    def send_next_burst(self) -> None:
        """Sends the next burst of queued reports."""
        size = 0
        while self._send_queue and self._transport is not None:
            data, host = self._send_queue[0]
            size += len(data)
            if size > _BURST_BYTES and size > len(data):
                return
            self._send_queue.popleft()
            self._transport.sendto(data, (host, self._port))

    def _enqueue(self, report: NodeReport, hosts: Sequence[str]) -> int:
        """Queues copies of a report and returns their total size in bytes."""
        data = self._encoder.encode(report)
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._log.error("report_too_large", size=len(data))
            return 0
        self._traffic.record_sent(len(data), len(hosts), report.is_whole)
        self._send_queue.extend((data, host) for host in hosts)
        return (len(data) + _IP_UDP_HEADER_BYTES) * len(hosts)

    def _charge_budget(self, sent_bytes: int) -> None:
        """Charges sent bytes to the budget."""
        self._budget_spent_until = min(
            max(self._budget_spent_until, self._last_sent_at)
            + sent_bytes / _REPORT_BYTES_PER_S,
            self._last_sent_at + _MAX_BUDGET_DEBT_S,
        )

    def _select_relays(self) -> list[str]:
        """Returns the hosts that relay the next report in remote regions.

        The relay changes with each report, so that few reports are lost when a
        node fails. For a region without live nodes, several nodes are tried in
        rotation: after a network partition, neither region would otherwise
        resume reporting to the other.
        """
        remote_hosts: dict[str, list[str]] = {}
        live_hosts: dict[str, list[str]] = {}
        for peer in self._peers.values():
            if self._is_local_or_unknown(peer):
                continue
            region = self._regions.get(peer.zone, "")
            remote_hosts.setdefault(region, []).append(peer.host)
            if not self._has_timed_out(peer):
                live_hosts.setdefault(region, []).append(peer.host)
        self._relay_rotation += 1
        return [
            host
            for region, hosts in remote_hosts.items()
            for host in (
                self._select_round_robin(
                    live_hosts[region], self._relay_rotation, 1
                )
                if region in live_hosts
                else self._select_round_robin(
                    hosts, self._relay_rotation, _UNREACHABLE_REGION_PROBES
                )
            )
        ]

    def _select_round_robin(
        self, hosts: list[str], rotation: int, count: int
    ) -> list[str]:
        """Returns `count` hosts, different ones for successive rotations."""
        hosts.sort()
        first = (self._rotation_offset + rotation * count) % len(hosts)
        return (hosts[first:] + hosts[:first])[:count]

    def peer_timeout_s(self, zone: str) -> float:
        """Returns the time without a report after which a node times out.

        Args:
            zone: Availability zone of the node.
        """
        return (
            _LOCAL_PEER_TIMEOUT_S
            if self._is_local_zone(zone)
            else _REMOTE_PEER_TIMEOUT_S
        )

    def _has_timed_out(self, peer: Peer) -> bool:
        return self._now() - peer.last_report_at > self.peer_timeout_s(
            peer.zone
        )

    def _is_local_or_unknown(self, peer: Peer) -> bool:
        """Returns whether a peer is in the local or an unknown region."""
        return not peer.zone or self._is_local_zone(peer.zone)

    def _is_local_zone(self, zone: str) -> bool:
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
        if not self._apply_report(report):
            return
        if report.must_relay and not self._is_local_zone(report.zone):
            self._pending_relays[report.host] = data
        for relayed in report.relayed:
            other = self._decode(relayed, addr[0])
            if other is not None:
                self._apply_report(other)

    def _decode(self, data: bytes, sender: str) -> NodeReport | None:
        try:
            return untrusted_data.decode(self._decoder, data)
        except msgspec.DecodeError as error:
            self._log.warning(
                "report_unreadable", sender=sender, error=str(error)
            )
            return None

    def _apply_report(self, report: NodeReport) -> bool:
        """Applies a report if it is new and returns whether it was applied."""
        if report.host == self._host:
            return False
        peer = self._peers.get(report.host) or self._add_peer(report.host)
        if peer is None:
            return False
        if peer.start == report.start and peer.sequence >= report.sequence:
            return False
        if peer.node and peer.start != report.start:
            self._traffic.remove_sender(f"{peer.node}/{peer.start}")
            self._on_peer_lost(peer.node)
        if not peer.node:
            self._log.info("peer_found", peer=report.node, host=report.host)
        is_new = peer.start != report.start
        if is_new or self._has_timed_out(peer):
            # The peer has no state from this node, or may have missed updates.
            self._pending_full_reports[report.host] = None
        peer.node = report.node
        peer.zone = report.zone
        peer.start = report.start
        peer.sequence = report.sequence
        peer.last_report_at = self._now()
        peer.heard_at = self._attended_now()
        peer.table_ages_ms = report.table_ages_ms
        peer.rank = reader_rank(report.host, report.link_mbps)
        peer.started_at = self._now() - report.uptime_s
        peer.is_draining = report.is_draining
        peer.can_write_store = report.can_write_store
        peer.store_round_trip_s = report.store_round_trip_us / 1e6
        peer.configuration_version = report.configuration_version
        self.add_hosts(report.known_hosts)
        self._on_report(report)
        return True

    def _remove_expired(self) -> None:
        now = self._now()
        for host, peer in list(self._peers.items()):
            last_seen_at = max(peer.last_report_at, peer.added_at)
            if now - last_seen_at > _PEER_EXPIRY_S:
                del self._peers[host]
                self._pending_full_reports.pop(host, None)
                if peer.node:
                    self._traffic.remove_sender(f"{peer.node}/{peer.start}")
                    self._log.info("peer_lost", peer=peer.node, host=host)
                    self._on_peer_lost(peer.node)
