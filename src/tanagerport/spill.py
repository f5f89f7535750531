"""Choice of nodes in other zones for requests that this zone can't serve."""

from typing import Protocol

from tanagerport.interfaces import MembershipView
from tanagerport.link_budget import LinkBudget
from tanagerport.model import Refusal, RefusalReason, Request
from tanagerport.rendezvous import rendezvous_rank

# Refusals that another zone may not share.
_ZONE_REASONS = frozenset(
    {
        RefusalReason.QUEUE_FULL,
        RefusalReason.DEADLINE_UNREACHABLE,
        RefusalReason.NO_UPSTREAM,
    }
)


class ZoneChooser(Protocol):
    """Part of the scheduler that knows free slots of other zones."""

    def should_spill(self, request: Request) -> str | None:
        """Returns a zone that should serve the request, or None."""


class ZoneSpill:
    """Implements `SpillPolicy` from free slots and the link's budget.

    Args:
        scheduler: Chooses the zone.
        membership: Nodes of the zones.
        budget: Bytes to other regions.
    """

    def __init__(
        self,
        scheduler: ZoneChooser,
        membership: MembershipView,
        budget: LinkBudget,
    ) -> None:
        self._scheduler = scheduler
        self._membership = membership
        self._budget = budget

    def choose_node(
        self, request: Request, refusal: Refusal | None
    ) -> str | None:
        """Returns the node to forward to; None serves or refuses here.

        Args:
            request: Request that has not been dispatched.
            refusal: Why this node refused it; None before it was tried.
        """
        if refusal is not None and refusal.reason not in _ZONE_REASONS:
            return None
        zone = self._scheduler.should_spill(request)
        if zone is None:
            return None
        nodes = [node.node_id for node in self._membership.live_nodes(zone)]
        if not nodes:
            return None
        return rendezvous_rank(request.request_id, nodes)[0]

    def record(self, node_id: str, sent_bytes: int) -> None:
        """Counts the bytes of a forwarded request and its answer."""
        for node in self._membership.nodes():
            if node.node_id == node_id:
                self._budget.record(node.region, sent_bytes, sent_bytes)
