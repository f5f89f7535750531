"""Limits the requests that reach a version which is not known to be good."""

import dataclasses
import random
from collections.abc import Callable

# Fraction of the share and of the slack that is used. The rest is for requests
# that other nodes have sent and not reported yet.
SAFE_FRACTION = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class CanaryLimits:
    """Limits on the traffic of a version that is not known to be good.

    Attributes:
        share: Largest share of the service's requests, over all nodes.
        slack: Requests allowed beyond that share, over all nodes.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchCounts:
    """Requests dispatched during a rollout.

    Attributes:
        total: Requests to either version, repeats included.
        new: Requests among these to the new version.
    """

    total: int = 0
    new: int = 0

    def __add__(self, other: "DispatchCounts") -> "DispatchCounts":
        return DispatchCounts(self.total + other.total, self.new + other.new)

    def __sub__(self, other: "DispatchCounts") -> "DispatchCounts":
        return DispatchCounts(self.total - other.total, self.new - other.new)


class CanaryBudget:
    """Requests that may go to the new version while it is not known to be good.

    Each node uses its part of the limits. The sum over all nodes is checked
    too, as a node that was restarted has forgotten what it sent. A lease holder
    stores the sum, from which a restarted node goes on.

    Args:
        limits: Limits over all nodes.
        count_nodes: Returns the number of nodes that share the slack.
    """

    def __init__(
        self, limits: CanaryLimits, count_nodes: Callable[[], int]
    ) -> None:
        self._limits = limits
        self._count_nodes = count_nodes
        self._own = DispatchCounts()
        self._others = DispatchCounts()
        self._by_node: dict[str, DispatchCounts] = {}
        # Whether the sum that was stored when this node began is included.
        self._has_baseline = False
        # Rounds this node's part of the limits, which may be less than one
        # request, up or down until the next request to the new version.
        self._rounding = random.random()
        self._stored = DispatchCounts()

    @property
    def canary_share(self) -> float:
        """Largest share of the service's requests, over all nodes."""
        return self._limits.share

    @property
    def own(self) -> DispatchCounts:
        """Requests that this node dispatched."""
        return self._own

    @property
    def known(self) -> DispatchCounts:
        """Requests that all nodes are known to have dispatched."""
        counts = self._own + self._others
        return DispatchCounts(
            max(counts.total, self._stored.total),
            max(counts.new, self._stored.new),
        )

    def record_dispatch(self, is_new: bool) -> None:
        """Counts a request that this node dispatched."""
        self._own += DispatchCounts(1, int(is_new))
        if is_new:
            self._rounding = random.random()

    def forget_dispatch(self, is_new: bool) -> None:
        """Takes back a request that did not reach its upstream."""
        self._own -= DispatchCounts(1, int(is_new))

    def apply_report(self, node: str, counts: DispatchCounts) -> None:
        """Replaces the counts of another node.

        Args:
            node: Name and start id of the node.
            counts: Requests that it dispatched since its start.
        """
        before = self._by_node.get(node)
        self._by_node[node] = counts
        if before is not None:
            self._others += counts - before
        elif not self._has_baseline:
            self._others += counts

    def apply_stored(self, counts: DispatchCounts) -> None:
        """Takes over the sum that a lease holder has stored."""
        if not self._has_baseline and not self._own.total:
            # The sum includes what other nodes have reported so far.
            self._has_baseline = True
            self._others = counts
        self._stored = counts

    def allows_request(self) -> bool:
        """Returns whether one more request may go to the new version."""
        share = self._limits.share * SAFE_FRACTION
        slack = self._limits.slack * SAFE_FRACTION
        known = self.known
        if known.new >= share * known.total + slack:
            return False
        own_limit = share * self._own.total + slack / max(
            self._count_nodes(), 1
        )
        return self._own.new + self._rounding < own_limit
