"""Customer quotas, enforced over all nodes together.

In any window a customer may use its rate times the window, plus its burst.
Every node counts its own usage and what the other nodes report, so all nodes
see the same usage apart from the delay of the reports. A node that stops
reporting is assumed to use an equal share of each quota until it expires. A
node that starts gets the usage of the last window from the other nodes and
from the checkpoint.
"""

import dataclasses
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

from tanagerport.gateway.domain import Customer, WorkEstimate
from tanagerport.gateway.sliding_window import SlidingWindow
from tanagerport.gateway.untrusted_data import Integer

# Fraction of the tolerance that customers may use, so that late reports do not
# cause refusals within the quota. The rest covers usage that reports miss.
_USABLE_TOLERANCE = 0.5
# Fraction of the tolerance that may be lost of each customer's usage when all
# nodes are killed.
_LOSABLE_TOLERANCE = 0.25
# Refunds are reported by intervals of this length, in seconds, in which their
# units were consumed.
_REFUND_INTERVAL_S = 0.2
# A node that was silent for this long is assumed to be gone, and its clients
# to have moved to other nodes.
_PEER_EXPIRY_S = 8.0
# A node is silent if its last report is older than this. Reports of another
# region are sent up to 1.2 s apart and wait up to 0.6 s at the node that relays
# them.
_SILENT_AFTER_S = 1.9
# After a pause of this length the other nodes count this one as down, and send
# it whole reports once they hear it again.
_PAUSE_S = 4.0
# Maximum time to wait for these reports, in seconds.
_MAX_HISTORY_WAIT_S = 1.0
# A change of usage is reported for this long. Even the farthest nodes then get
# it in two reports, so that one of them may be lost.
_CHANGE_REPORT_PERIOD_S = 1.5
# A customer's rate is that of the last quarter of a window or, if higher, that
# of this time, in seconds.
_SHORT_RATE_S = 0.3
_QUARTERS = 4
# Weight of the latest request in the exponential moving average of units per
# request.
_AVERAGE_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings that apply to the quotas of all customers.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        tolerance: Units that a customer may use beyond its quota in a window,
            over all nodes.
    """

    window_s: float = 8.0
    tolerance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CustomerUsage:
    """Usage of one customer, as a node reports it.

    Attributes:
        customer: Name of the customer.
        total: Units that the customer used at the node since the node started.
        recent: Units that the customer used at all nodes in each eighth of
            the last window, as far as the node knows, the latest one first;
            empty if there were none, and in reports of changes.
        refunds: Intervals of `_REFUND_INTERVAL_S`, counted from the start of
            the node, and the units that were consumed in each of them and
            refunded later. All of the last window, or the changed ones in
            reports of changes.
    """

    customer: str
    total: Integer
    recent: tuple[Integer, ...] = ()
    refunds: tuple[tuple[Integer, Integer], ...] = ()


@dataclasses.dataclass(slots=True)
class _Refund:
    """Units refunded for one interval, and when that changed last."""

    units: float = 0.0
    changed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class _PeerUsage:
    """What another node reported.

    Attributes:
        reported_at: Monotonic time of its latest report, in seconds.
        started_at: Monotonic time at which the node started, in seconds, by
            its report with the shortest delay.
        totals: Latest totals by customer.
        refunds: Latest refunds by customer and interval since its start.
        is_outdated: Whether this node was paused since, so that only a whole
            report tells how much was used within the window.
    """

    reported_at: float
    started_at: float
    totals: dict[str, int]
    refunds: dict[tuple[str, int], int]
    is_outdated: bool = False


class QuotaLimiter:
    """Limits each customer to its quota in a sliding window.

    Args:
        settings: Settings that apply to the quotas of all customers.
        now: Monotonic clock, in seconds.
        report_delay_s: Returns the mean time until usage at another node is
            known here, in seconds.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        now: Callable[[], float] = time.monotonic,
        report_delay_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._settings = settings
        self._report_delay_s = report_delay_s
        self._now = now
        self._windows: dict[str, SlidingWindow] = {}
        self._own_totals: dict[str, float] = {}
        # Units used at all nodes since the start, as far as they were heard of.
        self._seen_totals: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        # By customer and the interval in which the units were consumed.
        self._refunds: dict[str, dict[int, _Refund]] = {}
        # Units of refused requests, at the times at which they may return.
        self._returns: dict[str, SlidingWindow] = {}
        self._peers: dict[str, _PeerUsage] = {}
        self._mean_request_units = 0.0
        self._started_at = now()
        self._is_history_known = False
        # Monotonic time at which the history counts as known anyway.
        self._history_due_at = float("inf")
        self._observed_at: float | None = None

    @property
    def uptime_s(self) -> float:
        """Seconds since this limiter was created."""
        return self._now() - self._started_at

    @property
    def window_s(self) -> float:
        """Length of the sliding window, in seconds."""
        return self._settings.window_s

    def mark_history_known(self) -> None:
        """Marks the usage before the start as known.

        Until then a customer with any usage in the window is refused.
        """
        self._is_history_known = True

    def observe_time(self) -> None:
        """Detects pauses of the process; called every tenth of a second.

        After a long pause the usage at the other nodes is unknown, and requests
        that came meanwhile are waiting.
        """
        now = self._now()
        observed_at, self._observed_at = self._observed_at, now
        if observed_at is None or now - observed_at < _PAUSE_S:
            return
        if not self._peers:
            return
        self._is_history_known = False
        self._history_due_at = now + _MAX_HISTORY_WAIT_S
        for peer in self._peers.values():
            peer.is_outdated = True
            # It is silent, but no longer than since now.
            peer.reported_at = now - _SILENT_AFTER_S

    def expected_usage(self, horizon_s: float) -> dict[str, CustomerUsage]:
        """Returns what the customers will have used in a while, by name.

        What they use from now on, or have used at other nodes since their last
        reports, is estimated by their rates. Customers are left out if the
        tolerance covers their usage.

        Args:
            horizon_s: Seconds from now.
        """
        now = self._now()
        delay_s = self._report_delay_s()
        usages = {}
        for name, window in self._windows.items():
            if window.total(now) <= self._losable_units:
                continue
            more = self._rate_per_s(window, now) * (horizon_s + delay_s)
            recent = window.by_slot(now + horizon_s) or (0,)
            usages[name] = CustomerUsage(
                name,
                round(self._seen_totals.get(name, 0.0) + more),
                (recent[0] + round(more), *recent[1:]),
            )
        return usages

    def exceeds(self, expected: Mapping[str, CustomerUsage]) -> bool:
        """Returns whether customers used more than `expected_usage` returned.

        What the tolerance covers doesn't count.
        """
        now = self._now()
        return any(
            min(
                total - (expected[name].total if name in expected else 0),
                self._windows[name].total(now),
            )
            > self._losable_units
            for name, total in self._seen_totals.items()
        )

    def report(self) -> list[CustomerUsage]:
        """Returns the usage of all customers, for a whole report."""
        now = self._now()
        return [
            CustomerUsage(
                name,
                round(self._own_totals.get(name, 0.0)),
                window.by_slot(now),
                self._recent_refunds(name),
            )
            for name, window in self._windows.items()
        ]

    def changes(self) -> list[CustomerUsage]:
        """Returns the totals of customers whose usage here changed recently."""
        oldest = self._now() - _CHANGE_REPORT_PERIOD_S
        for name, changed_at in list(self._changed_at.items()):
            if changed_at < oldest:
                del self._changed_at[name]
        return [
            CustomerUsage(
                name,
                round(self._own_totals[name]),
                refunds=self._recent_refunds(name, oldest),
            )
            for name in self._changed_at
        ]

    def request_units(self, customer: Customer, work: WorkEstimate) -> float:
        """Returns the number of units that a request costs."""
        if not customer.counts_tokens:
            return 1.0
        return float(work.total_tokens or customer.default_tokens)

    def consume(self, customer: Customer, units: float) -> float | None:
        """Consumes the units of a request if the quota allows it.

        Returns:
            None if the units were consumed, else the seconds until they will
            be available, after those of requests that were refused before.
        """
        if customer.rate_per_s <= 0:
            return None
        if self._observed_at is not None:
            # The requests of a pause may come before the next observation.
            self.observe_time()
        now = self._now()
        used = self._window(customer.name).total(now)
        excess = used + units - self._allowance(customer)
        # A request above the whole quota is admitted while the window is empty;
        # otherwise it could never be served.
        if excess > 0 and used > 0:
            return self._schedule_return(customer.name, now, excess, units)
        self._mean_request_units += _AVERAGE_WEIGHT * (
            units - self._mean_request_units
        )
        self._add_usage(customer.name, units, now)
        return None

    def _schedule_return(
        self, name: str, now: float, excess: float, units: float
    ) -> float:
        """Returns the seconds until a refused request may return.

        Units that leave the window are promised to one request only. If all
        refused requests returned for the same units, the nodes would grant them
        before they heard of each other.

        Args:
            name: Name of the customer.
            now: Monotonic time, in seconds.
            excess: Units that have to leave the window for the request.
            units: Units of the request.
        """
        returns = self._returns.get(name)
        if returns is None:
            # A window without length holds what is still to come.
            returns = self._returns[name] = SlidingWindow(0.0)
        promised = returns.total(now) * self._usage_ratio(name)
        wait_s = self._window(name).time_until_expired_s(now, excess + promised)
        returns.add(now + wait_s, units)
        return wait_s

    def _usage_ratio(self, name: str) -> float:
        """Returns the usage of a customer at all nodes relative to this one."""
        nodes = len(self._peers) + 1
        own = self._own_totals.get(name, 0.0)
        if own <= 0:
            return nodes
        return min(max(self._seen_totals[name] / own, 1.0), nodes)

    def refund(
        self, customer: Customer, units: float, consumed_at_s: float
    ) -> None:
        """Refunds the units of a request that did not run.

        They are taken off the time at which they were consumed: a refund that
        stays in the window after them would raise the quota.

        Args:
            customer: The customer.
            units: Units that were consumed.
            consumed_at_s: `uptime_s` at that time.
        """
        if customer.rate_per_s <= 0 or (
            self.uptime_s - consumed_at_s >= self.window_s
        ):
            return
        self._add_usage(customer.name, -units, self._started_at + consumed_at_s)
        refunds = self._refunds.setdefault(customer.name, {})
        interval = int(consumed_at_s / _REFUND_INTERVAL_S)
        refund = refunds.setdefault(interval, _Refund())
        refund.units += units
        refund.changed_at = self._now()

    def _recent_refunds(
        self, name: str, changed_after: float = float("-inf")
    ) -> tuple[tuple[int, int], ...]:
        """Returns the refunds of a customer within the last window.

        Args:
            name: Name of the customer.
            changed_after: Monotonic seconds; refunds that have not changed
                since are left out.
        """
        refunds = self._refunds.get(name)
        if refunds is None:
            return ()
        # Other nodes may get the last change that long after it.
        oldest_s = self.uptime_s - self.window_s - _CHANGE_REPORT_PERIOD_S
        oldest = int(oldest_s / _REFUND_INTERVAL_S) - 1
        for interval in [entry for entry in refunds if entry < oldest]:
            del refunds[interval]
        return tuple(
            (interval, round(refund.units))
            for interval, refund in refunds.items()
            if refund.changed_at >= changed_after
        )

    def apply_report(
        self, node: str, uptime_s: float, usages: Sequence[CustomerUsage]
    ) -> None:
        """Counts the usage at another node since its last report.

        Args:
            node: Name and start id of the node, so that a restarted node is
                tracked as a new one.
            uptime_s: Seconds since the start of that node.
            usages: Usage of all its customers.
        """
        peer = self._peers.get(node)
        if (
            peer is None or peer.is_outdated
        ) and uptime_s >= self._settings.window_s:
            self.import_usage(usages)
            now = self._now()
            self._peers[node] = _PeerUsage(
                now,
                now - uptime_s,
                {usage.customer: usage.total for usage in usages},
                {
                    (usage.customer, interval): units
                    for usage in usages
                    for interval, units in usage.refunds
                },
            )
        else:
            self.apply_changes(node, uptime_s, usages)

    def apply_changes(
        self, node: str, uptime_s: float, usages: Sequence[CustomerUsage]
    ) -> None:
        """Counts the usage at another node for some of its customers.

        A node heard for the first time that has run for longer than a window
        is ignored until its whole report arrives: its totals do not tell how
        much was used within the window.

        Args:
            node: Name and start id of the node.
            uptime_s: Seconds since the start of that node.
            usages: Its totals for some customers.
        """
        now = self._now()
        peer = self._peers.get(node)
        if peer is None:
            if uptime_s >= self._settings.window_s:
                return
            peer = self._peers[node] = _PeerUsage(now, now - uptime_s, {}, {})
        if peer.is_outdated:
            if uptime_s >= self._settings.window_s:
                return
            peer.is_outdated = False
        peer.reported_at = now
        peer.started_at = min(peer.started_at, now - uptime_s)
        for usage in usages:
            refunded = self._apply_refunds(peer, usage)
            known_total = peer.totals.get(usage.customer, 0)
            consumed = usage.total - known_total + refunded
            if consumed > 0:
                self._count(usage.customer, now, consumed)
            peer.totals[usage.customer] = usage.total
        self._drop_old_refunds(peer, uptime_s)

    def _apply_refunds(self, peer: _PeerUsage, usage: CustomerUsage) -> int:
        """Takes off what another node refunded; returns its new refunds."""
        now = self._now()
        refunded = 0
        for interval, units in usage.refunds:
            key = usage.customer, interval
            new_units = units - peer.refunds.get(key, 0)
            if new_units <= 0:
                continue
            peer.refunds[key] = units
            refunded += new_units
            # Not later than the units were counted here.
            consumed_at = peer.started_at + interval * _REFUND_INTERVAL_S
            if now - self.window_s < consumed_at <= now:
                self._count(usage.customer, consumed_at, -new_units)
        return refunded

    def _drop_old_refunds(self, peer: _PeerUsage, uptime_s: float) -> None:
        oldest = (uptime_s - 2 * self.window_s) / _REFUND_INTERVAL_S
        for key in [entry for entry in peer.refunds if entry[1] < oldest]:
            del peer.refunds[key]

    def import_usage(
        self, usages: Iterable[CustomerUsage], age_s: float = 0.0
    ) -> None:
        """Merges usage of the last window from another node or a checkpoint.

        The usage before the start counts as known from then on.

        Args:
            usages: Usage by customer.
            age_s: Seconds since the end of the window that they tell of;
                negative if it has not ended.
        """
        ended_at = self._now() - age_s
        for usage in usages:
            self._window(usage.customer).merge(ended_at, usage.recent)
        self._is_history_known = True

    def _unreported_units(self) -> float:
        """Estimates the units that other nodes used but have not reported."""
        return self._mean_request_units * len(self._peers)

    def _add_usage(self, name: str, units: float, at: float) -> None:
        self._count(name, at, units)
        self._changed_at[name] = self._now()
        self._own_totals[name] = self._own_totals.get(name, 0.0) + units

    def _count(self, name: str, at: float, units: float) -> None:
        """Counts units used at this node or at another one."""
        self._window(name).add(at, units)
        self._seen_totals[name] = self._seen_totals.get(name, 0.0) + units

    def _rate_per_s(self, window: SlidingWindow, now: float) -> float:
        """Returns the recent rate of a customer, in units per second."""
        return max(
            window.rate_per_s(now, self._settings.window_s / _QUARTERS),
            window.rate_per_s(now, _SHORT_RATE_S),
        )

    @property
    def _losable_units(self) -> float:
        return _LOSABLE_TOLERANCE * self._settings.tolerance

    def _window(self, name: str) -> SlidingWindow:
        window = self._windows.get(name)
        if window is None:
            window = self._windows[name] = SlidingWindow(
                self._settings.window_s
            )
        return window

    def _allowance(self, customer: Customer) -> float:
        """Returns the units that a customer may use in a window.

        It is reduced while other nodes are silent, and 0 until the usage before
        the start is known.
        """
        settings = self._settings
        if not self._is_history_known and self._now() < self._history_due_at:
            return 0.0
        # Unreported units reduce the tolerance only, never the quota itself.
        extra = (
            _USABLE_TOLERANCE * settings.tolerance - self._unreported_units()
        )
        quota = customer.rate_per_s * settings.window_s + customer.burst
        # At a high rate, what the nodes use before they hear of each other is
        # more than the tolerance.
        unheard = self._report_delay_s() * self._rate_per_s(
            self._window(customer.name), self._now()
        )
        allowed = quota + min(max(extra, 0.0), settings.tolerance - unheard)
        return max(allowed, 0.0) * (
            1 - self._count_silent_peers() / (len(self._peers) + 1)
        )

    def _count_silent_peers(self) -> int:
        now = self._now()
        for node, peer in list(self._peers.items()):
            if now - peer.reported_at > _PEER_EXPIRY_S:
                del self._peers[node]
        return sum(
            1
            for peer in self._peers.values()
            if now - peer.reported_at > _SILENT_AFTER_S
        )
