"""Quotas of customers, shared by all nodes.

Every node debits its own use and what the others report, so the buckets of
all nodes hold the same amount but for the delay of the reports. A node that
stops reporting is assumed to use its even share until it is forgotten.
"""

import dataclasses
import time
from collections.abc import Callable, Mapping

from tanagerport.gateway.domain import Customer, WorkEstimate

# A silent node is taken for gone after this long: its clients have moved.
_SILENT_LIFETIME_S = 8.0
# A node that reported less than this ago is not silent.
_REPORT_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    updated_at: float


@dataclasses.dataclass(slots=True)
class _PeerUse:
    reported_at: float
    used: dict[str, float]


class QuotaLedger:
    """Token buckets by customer.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._buckets: dict[str, _Bucket] = {}
        self._customers: dict[str, Customer] = {}
        self._own_use: dict[str, float] = {}
        self._peers: dict[str, _PeerUse] = {}

    @property
    def own_use(self) -> dict[str, float]:
        """Units that this node has used since its start, by customer."""
        return self._own_use

    def configure(self, customers: Mapping[str, Customer]) -> None:
        """Applies the customers of a new configuration."""
        for name, customer in customers.items():
            previous = self._customers.get(name)
            bucket = self._buckets.get(name)
            if bucket is None or previous is None:
                self._buckets[name] = _Bucket(customer.burst, self._now())
                continue
            self._refill(previous, bucket)
            bucket.level = min(bucket.level, customer.burst)
        self._customers = dict(customers)

    def units(self, customer: Customer, work: WorkEstimate) -> float:
        """Returns the units that a request costs."""
        if not customer.counts_tokens:
            return 1.0
        return float(work.total_tokens or customer.default_tokens)

    def take(self, customer: Customer, units: float) -> float | None:
        """Takes units for a request.

        Returns:
            None if they were taken, else the seconds until they will be
            there.
        """
        if customer.rate_per_s <= 0:
            return None
        bucket = self._buckets.setdefault(
            customer.name, _Bucket(customer.burst, self._now())
        )
        self._refill(customer, bucket)
        # A request above the burst size could never pass; it may once the
        # bucket is full.
        needed = min(units, customer.burst)
        if bucket.level < needed:
            return (needed - bucket.level) / customer.rate_per_s
        bucket.level -= units
        self._own_use[customer.name] = (
            self._own_use.get(customer.name, 0.0) + units
        )
        return None

    def give_back(self, customer: Customer, units: float) -> None:
        """Returns the units of a request that did not run."""
        bucket = self._buckets.get(customer.name)
        if customer.rate_per_s <= 0 or bucket is None:
            return
        bucket.level = min(bucket.level + units, customer.burst)
        self._own_use[customer.name] = (
            self._own_use.get(customer.name, 0.0) - units
        )

    def apply_report(self, node: str, used: Mapping[str, float]) -> None:
        """Debits what another node has used since its last report.

        Args:
            node: Name and start of the node, so that a restart counts anew.
            used: Units since the start of that node, by customer.
        """
        previous = self._peers.get(node)
        for name, total in used.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                continue
            known = 0.0 if previous is None else previous.used.get(name, 0.0)
            bucket.level -= total - known
        self._peers[node] = _PeerUse(self._now(), dict(used))

    def _refill(self, customer: Customer, bucket: _Bucket) -> None:
        now = self._now()
        elapsed_s = now - bucket.updated_at
        bucket.updated_at = now
        silent = self._count_silent()
        share = 1.0 - silent / (len(self._peers) + 1)
        bucket.level = min(
            bucket.level + elapsed_s * customer.rate_per_s * share,
            customer.burst,
        )

    def _count_silent(self) -> int:
        now = self._now()
        for node, peer in list(self._peers.items()):
            if now - peer.reported_at > _SILENT_LIFETIME_S:
                del self._peers[node]
        return sum(
            1
            for peer in self._peers.values()
            if now - peer.reported_at > _REPORT_INTERVAL_S
        )
