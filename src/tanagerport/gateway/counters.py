"""Counters, gauges and latency histograms of a gateway process."""

import bisect
import collections
from collections.abc import Callable

_LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 15,
)  # fmt: skip


class Histogram:
    """Histogram of durations with fixed buckets."""

    def __init__(self) -> None:
        self._counts = [0] * (len(_LATENCY_BUCKETS_S) + 1)
        self._sum = 0.0

    def observe(self, seconds: float) -> None:
        """Adds a sample, in seconds."""
        self._counts[bisect.bisect_left(_LATENCY_BUCKETS_S, seconds)] += 1
        self._sum += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Returns cumulative counts by upper bound, as Prometheus expects."""
        total = 0
        buckets = []
        bounds = [*(str(bound) for bound in _LATENCY_BUCKETS_S), "+Inf"]
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            buckets.append((bound, float(total)))
        return buckets

    @property
    def sum_s(self) -> float:
        """Sum of all samples, in seconds."""
        return self._sum


class Counters:
    """All metrics of a process, rendered by `metrics_rendering`.

    The only labels are reasons and outcomes, so their cardinality is bounded.
    """

    def __init__(self) -> None:
        self.refusals: collections.Counter[str] = collections.Counter()
        self.retries: collections.Counter[str] = collections.Counter()
        self.answers: collections.Counter[str] = collections.Counter()
        self.store_calls: collections.Counter[str] = collections.Counter()
        self.upstream_losses: collections.Counter[str] = collections.Counter()
        self.upstream_notices: collections.Counter[str] = collections.Counter()
        self.connections_closed: collections.Counter[str] = (
            collections.Counter()
        )
        self.connections_closed_early: collections.Counter[str] = (
            collections.Counter()
        )
        self.answers_unsent: collections.Counter[str] = collections.Counter()
        self.request_errors: collections.Counter[str] = collections.Counter()
        self.table_reads: collections.Counter[str] = collections.Counter()
        self.store_bytes_read = 0
        self.clients_gone = 0
        self.wait = Histogram()
        self.first_byte = Histogram()
        self.event_pause = Histogram()
        self.gauges: dict[str, Callable[[], float]] = {}
