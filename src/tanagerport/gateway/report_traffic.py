"""Traffic and delay statistics of the reports between nodes."""

import statistics

# Maximum number of delays recorded between calls of `take_delays_s`; later ones
# are ignored.
_MAX_DELAYS = 256


class ReportTraffic:
    """Statistics that show whether reports saturate the links of nodes.

    Monotonic clocks of different nodes have unrelated origins, so the
    absolute delay of a report is unknown. Its delay is measured relative to
    the minimum difference between receive and send time seen for its sender,
    which leaves the time spent in network queues.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_reports = 0
        self.sent_full_reports = 0
        self.received_bytes = 0
        self.received_reports = 0
        self._min_offset_s: dict[str, float] = {}
        self._delays_s: list[float] = []

    def record_sent(self, size: int, copies: int, is_whole: bool) -> None:
        """Records the copies of a report sent to several nodes.

        Args:
            size: Size of the datagram in bytes.
            copies: Number of copies, one for each recipient.
            is_whole: Whether it is a full report.
        """
        self.sent_bytes += size * copies
        self.sent_reports += copies
        self.sent_full_reports += copies * is_whole

    def record_received(
        self, sender: str, size: int, sent_at: float, received_at: float
    ) -> None:
        """Records a report received directly from its sender, not relayed.

        Args:
            sender: Name and start ID of the node.
            size: Size of the datagram in bytes.
            sent_at: Send time on the sender's monotonic clock, in seconds.
            received_at: Receive time on this node's monotonic clock, in
                seconds.
        """
        self.received_bytes += size
        self.received_reports += 1
        offset_s = received_at - sent_at
        min_offset_s = min(self._min_offset_s.get(sender, offset_s), offset_s)
        self._min_offset_s[sender] = min_offset_s
        if len(self._delays_s) < _MAX_DELAYS:
            self._delays_s.append(offset_s - min_offset_s)

    def remove_sender(self, sender: str) -> None:
        """Removes the clock offset of a node that restarted or was removed."""
        self._min_offset_s.pop(sender, None)

    def take_delays_s(self) -> tuple[float, float]:
        """Returns the median and maximum delay since the last call."""
        delays_s, self._delays_s = self._delays_s, []
        if not delays_s:
            return 0.0, 0.0
        return statistics.median(delays_s), max(delays_s)
