"""Quotas of customers, shared by all nodes.

A customer may use its rate times the window, plus its burst, in any window.
Every node counts its own use and what the others report, so all nodes see the
same use but for the delay of the reports. A node that stops reporting is
assumed to use its even share until it is forgotten. A node that starts takes
the use of the last window from the others and from the checkpoint.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Sequence

from tanagerport.gateway.domain import Customer, WorkEstimate

# Part of the tolerance that is given out, so that no request within the quota
# is refused because reports are late; the rest covers what they miss.
_TOLERANCE_SHARE = 0.5
# A customer above this part of its quota is near it.
_NEAR_SHARE = 0.6
# A silent node is taken for gone after this long: its clients have moved.
_SILENT_LIFETIME_S = 8.0
# A node that reported less than this ago is not silent. Reports of another
# region come up to 1.2 s apart and wait up to 0.6 s at the node that passes
# them on.
_REPORT_INTERVAL_S = 1.9
# A change of use is reported for this long: in two reports to the farthest
# nodes, so that a lost one does not matter.
_CHANGE_LIFETIME_S = 1.5
# Use is counted in slices of this length, in seconds.
_SLICE_S = 0.1
_QUARTERS = 4
# Weight of a request in the typical number of units.
_TYPICAL_WEIGHT = 0.05
# Shortest time after which a refused customer is told to come back.
_MIN_WAIT_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaRules:
    """How quotas are counted.

    Attributes:
        window_s: Window of a quota, in seconds.
        tolerance: Units that a customer may use beyond its quota in a window,
            over all nodes.
    """

    window_s: float = 8.0
    tolerance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerUsage:
    """A node's report about one customer.

    Attributes:
        customer: Name of the customer.
        total: Units that the node has used since its start.
        recent: Units that all nodes used in each quarter of the last window,
            as it knows, the latest quarter first; empty if none were used,
            and in reports of changes.
    """

    customer: str
    total: int
    recent: tuple[int, ...] = ()


class _Window:
    """Units that were used within the last window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._slices: collections.deque[list[float]] = collections.deque()
        self._total = 0.0

    def add(self, now: float, units: float) -> None:
        """Adds units; negative ones take back what was added."""
        self._total += units
        if self._slices and now - self._slices[-1][0] < _SLICE_S:
            self._slices[-1][1] += units
        else:
            self._slices.append([now, units])

    def total(self, now: float) -> float:
        """Returns the units of the window that ends now."""
        while self._slices and self._slices[0][0] <= now - self._window_s:
            self._total -= self._slices.popleft()[1]
        return self._total

    def by_age(self, now: float) -> tuple[int, ...]:
        """Returns the units of each quarter of the window, latest first."""
        quarters = [0.0] * _QUARTERS
        self.total(now)
        for added_at, units in self._slices:
            age = (now - added_at) / self._window_s
            quarters[min(int(age * _QUARTERS), _QUARTERS - 1)] += units
        recent = tuple(round(units) for units in quarters)
        return recent if any(recent) else ()

    def raise_to(self, now: float, recent: Sequence[int]) -> None:
        """Adds what is missing to the units of each quarter."""
        known = self.by_age(now) or (0,) * _QUARTERS
        for quarter, units in enumerate(recent[:_QUARTERS]):
            missing = units - known[quarter]
            if missing > 0:
                self._spread(now, quarter, missing)
        self._slices = collections.deque(sorted(self._slices))

    def _spread(self, now: float, quarter: int, units: float) -> None:
        """Adds units evenly over a quarter.

        Units that leave the window all at once would be taken by all nodes at
        once, before any hears of the others.
        """
        length_s = self._window_s / _QUARTERS
        count = max(round(length_s / _SLICE_S), 1)
        latest = now - quarter * length_s
        for index in range(count):
            added_at = latest - index * length_s / count
            self._slices.append([added_at, units / count])
        self._total += units

    def wait_s(self, now: float, units: float) -> float:
        """Returns the seconds until that many units leave the window."""
        missing = units
        for added_at, added in self._slices:
            missing -= added
            if missing <= 0:
                return max(added_at + self._window_s - now, _MIN_WAIT_S)
        return self._window_s


@dataclasses.dataclass(slots=True)
class _PeerUsage:
    reported_at: float
    totals: dict[str, int]


class QuotaLimiter:
    """Use of all customers within the last window.

    Args:
        rules: How quotas are counted.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        rules: QuotaRules,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._rules = rules
        self._now = now
        self._windows: dict[str, _Window] = {}
        self._own_use: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._peers: dict[str, _PeerUsage] = {}
        self._typical_units = 0.0
        self._started_at = now()
        self._is_history_known = False
        self._customers: dict[str, Customer] = {}

    @property
    def uptime_s(self) -> float:
        """Seconds since the start of this limiter."""
        return self._now() - self._started_at

    @property
    def window_s(self) -> float:
        """Window of a quota, in seconds."""
        return self._rules.window_s

    def mark_history_known(self) -> None:
        """Ends the time in which use before the start is unknown."""
        self._is_history_known = True

    def usage_near_quota(self) -> list[CustomerUsage]:
        """Returns the use of customers that are near their quota."""
        now = self._now()
        return [
            use
            for use in self.report()
            if use.customer in self._customers
            and self._windows[use.customer].total(now)
            > _NEAR_SHARE * self._allowed(self._customers[use.customer])
        ]

    def report(self) -> list[CustomerUsage]:
        """Returns the use of all customers, for nodes that know none of it."""
        now = self._now()
        return [
            CustomerUsage(
                name,
                round(self._own_use.get(name, 0.0)),
                window.by_age(now),
            )
            for name, window in self._windows.items()
        ]

    def changes(self) -> list[CustomerUsage]:
        """Returns the customers that used units here lately."""
        oldest = self._now() - _CHANGE_LIFETIME_S
        for name, changed_at in list(self._changed_at.items()):
            if changed_at < oldest:
                del self._changed_at[name]
        return [
            CustomerUsage(name, round(self._own_use[name]))
            for name in self._changed_at
        ]

    def units(self, customer: Customer, work: WorkEstimate) -> float:
        """Returns the units that a request costs."""
        if not customer.counts_tokens:
            return 1.0
        return float(work.total_tokens or customer.default_tokens)

    def consume(self, customer: Customer, units: float) -> float | None:
        """Takes units for a request.

        Returns:
            None if they were taken, else the seconds until they will be
            there.
        """
        if customer.rate_per_s <= 0:
            return None
        now = self._now()
        self._customers[customer.name] = customer
        used = self._window(customer.name).total(now)
        excess = used + units - self._allowed(customer)
        # A request above the whole quota passes once nothing else is used.
        if excess > 0 and used > 0:
            return self._window(customer.name).wait_s(now, excess)
        self._typical_units += _TYPICAL_WEIGHT * (units - self._typical_units)
        self._count(customer.name, units)
        return None

    def refund(self, customer: Customer, units: float) -> None:
        """Returns the units of a request that did not run."""
        if customer.rate_per_s > 0:
            self._count(customer.name, -units)

    def apply_report(
        self, node: str, uptime_s: float, uses: Sequence[CustomerUsage]
    ) -> None:
        """Counts what another node has used since its last report.

        Args:
            node: Name and start of the node, so that a restart counts anew.
            uptime_s: Seconds since the start of that node.
            uses: Its report about each customer.
        """
        if node not in self._peers and uptime_s >= self._rules.window_s:
            self.import_usage(uses)
            self._peers[node] = _PeerUsage(
                self._now(), {use.customer: use.total for use in uses}
            )
        else:
            self.apply_changes(node, uptime_s, uses)

    def apply_changes(
        self, node: str, uptime_s: float, uses: Sequence[CustomerUsage]
    ) -> None:
        """Counts what another node has used, by the customers it names.

        A node that was just met and has run for longer than a window is left
        out until its whole report: its totals tell nothing of the window.

        Args:
            node: Name and start of the node.
            uptime_s: Seconds since the start of that node.
            uses: Its totals for some customers.
        """
        peer = self._peers.get(node)
        if peer is None:
            if uptime_s >= self._rules.window_s:
                return
            peer = self._peers[node] = _PeerUsage(self._now(), {})
        self._count_changes(peer.totals, uses)
        peer.reported_at = self._now()
        peer.totals.update((use.customer, use.total) for use in uses)

    def _count_changes(
        self, known: dict[str, int], uses: Sequence[CustomerUsage]
    ) -> None:
        now = self._now()
        for use in uses:
            change = use.total - known.get(use.customer, 0)
            if change:
                self._window(use.customer).add(now, change)

    def import_usage(self, uses: Sequence[CustomerUsage]) -> None:
        """Takes over the use of the last window from a node met anew."""
        now = self._now()
        for use in uses:
            self._window(use.customer).raise_to(now, use.recent)
        self._is_history_known = True

    def _reserve(self) -> float:
        """Returns what the other nodes may take before they report it."""
        return self._typical_units * len(self._peers)

    def _count(self, name: str, units: float) -> None:
        now = self._now()
        self._window(name).add(now, units)
        self._changed_at[name] = now
        self._own_use[name] = self._own_use.get(name, 0.0) + units

    def _window(self, name: str) -> _Window:
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = _Window(self._rules.window_s)
        return window

    def _allowed(self, customer: Customer) -> float:
        """Returns the units that this node may see used in a window."""
        rules = self._rules
        if not self._is_history_known:
            return 0.0
        # What others take unheard comes out of the tolerance, not the quota.
        extra = _TOLERANCE_SHARE * rules.tolerance - self._reserve()
        allowed = customer.rate_per_s * rules.window_s + customer.burst
        allowed += max(extra, 0.0)
        return allowed * (1 - self._count_silent() / (len(self._peers) + 1))

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
