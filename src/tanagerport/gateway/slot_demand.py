"""A request for a slot as its coordinator sees it."""

import dataclasses

from tanagerport.gateway.lease_table import LeaseKey
from tanagerport.gateway.work_item import WorkItem


@dataclasses.dataclass(slots=True, kw_only=True)
class SlotDemand(WorkItem):
    """A request of some node for a slot.

    Attributes:
        lease: Identity of the lease.
        versions: Versions that may serve the request; empty for any.
        may_redirect: Whether another region may serve the request.
    """

    lease: LeaseKey
    versions: frozenset[str] = frozenset()
    may_redirect: bool = False


def as_demand(item: WorkItem) -> SlotDemand:
    """Returns an item of a coordinator's queue as what it was created as.

    Raises:
        TypeError: The item was not created by a coordinator.
    """
    if not isinstance(item, SlotDemand):
        raise TypeError(f"{item!r} is no request for a slot")
    return item
