"""Reports between gateway nodes."""

import itertools
from typing import Any, cast

import msgspec
import pytest

from tanagerport.clock import FakeClock
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.peer_exchange import NodeReport, PeerExchange
from tanagerport.gateway.quotas import CustomerUsage
from tanagerport.gateway.report_traffic import ReportTraffic

_NEAR, _FAR = "near-1", "far-1"


class _Transport:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, str]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address[0]))


def _report(
    host: str, zone: str, start: int = 1, sequence: int = 1
) -> NodeReport:
    return NodeReport(
        f"node-{host}", start, sequence, host, zone, (0, 0), [], [], 100.0,
        False, [], [], [], must_relay=zone == _FAR,
    )  # fmt: skip


class _Node:
    """An exchange with a fake transport and clock."""

    def __init__(self, near: int = 0, far: int = 0) -> None:
        self.clock = FakeClock(100.0)
        self.transport = _Transport()
        self.lost: list[str] = []
        self.loads: list[tuple[str, int, int, bool]] = []
        self.uses: list[CustomerUsage] = []
        self._sequence = 1
        self.exchange = PeerExchange(
            "10.0.0.1",
            _NEAR,
            {_NEAR: "r1", _FAR: "r2"},
            7000,
            self._make_report,
            lambda report: None,
            self.lost.append,
            DecisionLog("node"),
            self.clock.monotonic,
        )
        self.exchange.connection_made(cast(Any, self.transport))
        for number in range(near):
            self.receive(_report(f"10.1.0.{number}", _NEAR))
        for number in range(far):
            self.receive(_report(f"10.2.0.{number}", _FAR))
        self.peers = (near, far)

    def receive(self, report: NodeReport) -> None:
        data = msgspec.msgpack.encode(report)
        self.exchange.datagram_received(data, (report.host, 7000))

    def run(self, seconds: float, placements_per_s: int = 0) -> None:
        """Sends what is due; the peers keep reporting."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.exchange.send_due()
            due_at = self.clock.monotonic() + self.exchange.interval_s
            while placements_per_s and self.clock.monotonic() < due_at:
                self.exchange.send_soon()
                self.exchange.send_queued()
                self.clock.advance(1 / placements_per_s)
            self.send_queued()
            self.clock.advance(max(due_at - self.clock.monotonic(), 0))
            self._sequence += 1
            for zone, prefix, count in (
                (_NEAR, "10.1.0", self.peers[0]),
                (_FAR, "10.2.0", self.peers[1]),
            ):
                for number in range(count):
                    host = f"{prefix}.{number}"
                    self.receive(_report(host, zone, sequence=self._sequence))

    def send_queued(self) -> None:
        """Lets all copies leave that wait for their burst."""
        sent = -1
        while sent < len(self.transport.sent):
            sent = len(self.transport.sent)
            self.exchange.send_queued()

    def sent_to(self, prefix: str) -> list[NodeReport]:
        return [
            msgspec.msgpack.decode(data, type=NodeReport)
            for data, host in self.transport.sent
            if host.startswith(prefix)
        ]

    def _make_report(
        self, sequence: int, known: list[str] | None
    ) -> NodeReport:
        return msgspec.structs.replace(
            _report("10.0.0.1", _NEAR, sequence=sequence),
            is_whole=known is not None,
            known=known or [],
            loads=self.loads,
            uses=self.uses if known is not None else [],
        )


class TestPace:
    """Guards against a cost of reports that grows with the nodes squared.

    At 30 nodes a node sent 408 KB/s, and what crossed regions cost a fifth
    of what the service was worth.
    """

    @pytest.mark.parametrize("nodes", [4, 15, 35, 50])
    def test_reports_a_second_are_bounded(self, nodes: int) -> None:
        node = _Node(near=nodes, far=nodes)
        node.run(10.0)
        assert len(node.sent_to("10.1.")) <= 10 * 115
        # Two nodes of the other region, whatever its size.
        assert len(node.sent_to("10.2.")) <= 2 * (10 / 0.3 + 1) + nodes

    def test_few_nodes_report_every_tenth_of_a_second(self) -> None:
        node = _Node(near=4)
        node.run(10.0)
        assert len(node.sent_to("10.1.0.0")) >= 95

    def test_urgent_reports_keep_to_the_pace(self) -> None:
        node = _Node(near=50)
        node.run(1.0)
        node.transport.sent.clear()
        for _ in range(1000):
            node.exchange.send_soon()
            node.clock.advance(0.001)
        assert len(node.sent_to("10.1.0.0")) <= 7


class TestBytes:
    """Guards against reports that fill the links of nodes under load.

    At 69 nodes each placement called for a report. A node sent 380 KB/s, at
    most 866 KB/s, over a link of 625 KB/s; nodes seemed lost, and each that
    was heard again called for whole reports of all others. Requests reached
    upstreams after their clients had left.
    """

    _BYTES_PER_S = 32_000

    @pytest.mark.parametrize("nodes", [8, 35, 50])
    def test_placements_do_not_raise_the_bytes(self, nodes: int) -> None:
        # Of the reports of as many far nodes, one node's come here first.
        node = _Node(near=nodes, far=1)
        node.loads = [(f"i-{i:010x}", 9, 50_000, False) for i in range(12)]
        node.run(10.0)
        node.transport.sent.clear()
        node.run(10.0, placements_per_s=50)
        sent = sum(len(data) + 28 for data, _ in node.transport.sent)
        assert sent <= 10 * self._BYTES_PER_S * 1.2

    def test_nodes_that_are_heard_again_do_not_raise_the_bytes(self) -> None:
        node = _Node(near=34, far=1)
        node.run(10.0)
        node.uses = [
            CustomerUsage(f"c-{i}", 10**6, (9**5,) * 4) for i in range(16)
        ]
        node.transport.sent.clear()
        for _ in range(5):
            node.clock.advance(1.6)
            node.run(0.4)
        sent = sum(len(data) + 28 for data, _ in node.transport.sent)
        assert sent <= 10 * self._BYTES_PER_S * 1.2

    def test_copies_leave_in_small_bursts(self) -> None:
        """Guards against a burst that overflows the queue of a link.

        34 copies of 970 bytes at once lost a quarter of the datagrams.
        """
        node = _Node(near=34)
        node.loads = [(f"i-{i:010x}", 9, 50_000, False) for i in range(12)]
        node.run(3.0)
        node.transport.sent.clear()
        sizes = []
        node.exchange.send_due()
        while node.transport.sent:
            sizes.append(sum(len(data) for data, _ in node.transport.sent))
            node.transport.sent.clear()
            node.exchange.send_queued()
        assert max(sizes) <= 4000
        assert sum(sizes) > 2 * 4000


class TestWholeReports:
    """Guards against nodes that miss what earlier reports told."""

    def test_other_reports_are_short(self) -> None:
        node = _Node(near=30)
        node.run(10.0)
        reports = node.sent_to("10.1.0.0")
        whole = [report for report in reports if report.is_whole]
        # 30 nodes at 20 whole reports a second.
        assert 6 <= len(whole) <= 8
        # They name all nodes in turn.
        assert all(len(report.known) == 12 for report in whole)
        for first in range(len(whole) - 2):
            named = {
                host
                for report in whole[first : first + 3]
                for host in report.known
            }
            assert named == {f"10.1.0.{number}" for number in range(30)}
        assert not any(
            report.known for report in reports if report not in whole
        )

    def test_node_that_was_just_met_gets_a_whole_report(self) -> None:
        node = _Node(near=4, far=1)
        node.run(5.0)
        node.transport.sent.clear()
        node.receive(_report("10.2.0.0", _FAR, start=2))
        node.exchange.send_due()
        assert [report.is_whole for report in node.sent_to("10.2.0.0")] == [
            True
        ]
        assert node.lost == ["node-10.2.0.0"]

    def test_node_that_was_silent_gets_a_whole_report(self) -> None:
        """Guards against use of quotas that a node missed while cut off.

        With many nodes the next whole report may be 10 s away.
        """
        node = _Node(near=200)
        node.run(5.0)
        node.transport.sent.clear()
        node.clock.advance(2.0)
        node.receive(_report("10.1.0.199", _NEAR, sequence=9000))
        node.exchange.send_due()
        assert [report.is_whole for report in node.sent_to("10.1.0.199")] == [
            True
        ]


class TestTraffic:
    """Guards against full links that neither logs nor metrics show."""

    def test_bytes_of_all_copies_are_counted(self) -> None:
        node = _Node(near=4)
        node.run(1.0)
        traffic = node.exchange.traffic
        assert traffic.sent == len(node.transport.sent)
        assert traffic.sent_bytes == sum(
            len(data) for data, _ in node.transport.sent
        )
        assert 0 < traffic.sent_whole < traffic.sent

    def test_delay_is_the_time_beyond_the_least_one(self) -> None:
        traffic = ReportTraffic()
        for sent_at, received_at in ((5.0, 105.01), (6.0, 106.0), (7.0, 107.4)):
            traffic.record_received("node/1", 200, sent_at, received_at)
        median_s, longest_s = traffic.take_delays_s()
        assert median_s == 0.0
        assert longest_s == pytest.approx(0.4)
        assert traffic.take_delays_s() == (0.0, 0.0)


class TestSequence:
    """Guards against late reports that replace newer ones."""

    def test_late_report_is_dropped(self) -> None:
        node = _Node(near=1)
        node.receive(_report("10.1.0.0", _NEAR, sequence=9))
        node.clock.advance(2.0)
        node.receive(_report("10.1.0.0", _NEAR, sequence=8))
        assert node.exchange.count_heard_nodes() == 1
        node.receive(_report("10.1.0.0", _NEAR, sequence=10))
        assert node.exchange.count_heard_nodes() == 2


class TestRelays:
    """Guards against traffic between regions that grows with both of them.

    At 100 nodes the reports filled the link, so that nodes of the other
    region learned of a configuration after 9 s.
    """

    def test_report_of_another_region_is_passed_on_once(self) -> None:
        node = _Node(near=3, far=1)
        node.run(1.0)
        node.transport.sent.clear()
        report = _report("10.2.0.0", _FAR, sequence=1000)
        node.receive(report)
        node.exchange.send_due()
        node.clock.advance(0.1)
        node.exchange.send_due()
        passed_on = [
            msgspec.msgpack.decode(data, type=NodeReport)
            for sent in node.sent_to("10.1.0.1")
            for data in sent.relayed
        ]
        assert passed_on == [report]
        assert not any(sent.relayed for sent in node.sent_to("10.2."))

    def test_relayed_report_counts_as_heard(self) -> None:
        node = _Node(near=1)
        inner = msgspec.msgpack.encode(_report("10.2.0.9", _FAR))
        outer = msgspec.structs.replace(
            _report("10.1.0.0", _NEAR, sequence=2), relayed=[inner, inner]
        )
        node.receive(outer)
        assert node.exchange.count_heard_nodes() == 3
        # Only what came from the other region itself is passed on.
        node.exchange.send_due()
        assert not any(sent.relayed for sent in node.sent_to("10.1."))

    def test_report_for_one_node_is_not_passed_on(self) -> None:
        """Guards against reports that multiply where many nodes meet.

        A restart of 12 of 69 nodes made each of 34 nodes pass each report
        for a new node on to 34 others; one node sent 600 KB/s.
        """
        node = _Node(near=3)
        node.run(1.0)
        node.transport.sent.clear()
        node.receive(
            msgspec.structs.replace(
                _report("10.2.0.0", _FAR, sequence=1000), must_relay=False
            )
        )
        node.exchange.send_due()
        assert not any(sent.relayed for sent in node.sent_to("10.1."))

    def test_bytes_that_are_passed_on_are_bounded(self) -> None:
        """Guards against one node that passes on for all the others."""
        node = _Node(near=3)
        node.run(1.0)
        hosts = [f"10.2.0.{number}" for number in range(40)]
        for host in hosts:
            node.receive(_report(host, _FAR, sequence=1000))
        node.transport.sent.clear()
        node.run(3.0)
        reports = node.sent_to("10.1.0.1")
        assert max(sum(map(len, sent.relayed)) for sent in reports) <= 2000
        passed_on = [
            msgspec.msgpack.decode(data, type=NodeReport).host
            for sent in reports
            for data in sent.relayed
        ]
        assert passed_on == hosts

    def test_relays_take_turns(self) -> None:
        """Guards against a region that hears nothing when one relay is lost."""
        node = _Node(far=4)
        node.run(6.0)
        targets = [host for _, host in node.transport.sent[-8:]]
        assert sorted(targets) == sorted(
            [f"10.2.0.{number}" for number in range(4)] * 2
        )
        assert all(a != b for a, b in itertools.pairwise(targets))

    def test_lost_relay_is_replaced(self) -> None:
        node = _Node(far=4)
        node.run(1.0)
        lost = "10.2.0.3"
        node.clock.advance(3.1)
        node.transport.sent.clear()
        for sequence in range(5000, 5020):
            for number in range(3):
                node.receive(
                    _report(f"10.2.0.{number}", _FAR, sequence=sequence)
                )
            node.exchange.send_due()
            node.clock.advance(0.3)
        targets = [host for _, host in node.transport.sent]
        assert len(targets) >= 9
        assert set(targets) == {f"10.2.0.{number}" for number in range(3)}
        assert lost not in targets

    def test_region_that_was_cut_off_is_asked_again(self) -> None:
        """Guards against regions that stay apart after their link is back.

        With relays among the heard nodes only, neither side of a link that
        was cut for longer than 1.5 s would report to the other again.
        """
        node = _Node(near=1, far=3)
        node.run(1.0)
        node.clock.advance(5.0)
        node.transport.sent.clear()
        node.exchange.send_due()
        assert len(node.sent_to("10.2.")) == 3
