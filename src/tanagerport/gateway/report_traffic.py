"""Bytes and delays of the reports between nodes."""

import statistics

# Delays are kept for the newest reports only.
_MAX_DELAYS = 256


class ReportTraffic:
    """Figures that tell whether reports fill the links of nodes.

    The clocks of nodes have no common start. The delay of a report is
    therefore the time beyond the least one that was seen from its sender,
    which is what it waited in queues on the way.
    """

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent = 0
        self.sent_whole = 0
        self.received_bytes = 0
        self.received = 0
        self._least_offset_s: dict[str, float] = {}
        self._delays_s: list[float] = []

    def record_sent(self, size: int, copies: int, is_whole: bool) -> None:
        """Counts a report of that many bytes to a number of nodes."""
        self.sent_bytes += size * copies
        self.sent += copies
        self.sent_whole += copies * is_whole

    def record_received(
        self, sender: str, size: int, sent_at: float, received_at: float
    ) -> None:
        """Counts a report that came from its sender itself.

        Args:
            sender: Name and start of the node.
            size: Bytes of the datagram.
            sent_at: Seconds of the sender's monotonic clock.
            received_at: Seconds of this node's monotonic clock.
        """
        self.received_bytes += size
        self.received += 1
        offset_s = received_at - sent_at
        least_s = min(self._least_offset_s.get(sender, offset_s), offset_s)
        self._least_offset_s[sender] = least_s
        if len(self._delays_s) < _MAX_DELAYS:
            self._delays_s.append(offset_s - least_s)

    def forget(self, sender: str) -> None:
        """Drops what is known of a node that is gone."""
        self._least_offset_s.pop(sender, None)

    def take_delays_s(self) -> tuple[float, float]:
        """Returns the median and the longest delay since the last call."""
        delays_s, self._delays_s = self._delays_s, []
        if not delays_s:
            return 0.0, 0.0
        return statistics.median(delays_s), max(delays_s)
