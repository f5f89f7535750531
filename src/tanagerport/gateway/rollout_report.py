"""What nodes report to each other about a rollout."""

import dataclasses

from tanagerport.gateway.rollout_lease import RolloutState
from tanagerport.gateway.rollout_progress import Rollout
from tanagerport.gateway.untrusted_data import Integer
from tanagerport.gateway.version_evidence import Tally


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """State and evidence of a rollout, as a node reports them.

    Attributes:
        service: Service that is rolled out.
        order: Identity of the order; see `Rollout.order_id`.
        state: State of the rollout as the node knows it.
        tallies: Counts of the answers that the node received.
        history: Counts of its answers of the old version before the rollout.
        dispatches: Requests that it sent to the service.
        new_dispatches: Requests among these to the new version.
        is_confirmed: Whether the node knows the state from the store.
        version: Target version; empty in reports of an earlier release. Orders
            of different eras may have the same identity.
        replaced: Versions in use when the order was given; empty if the node
            doesn't know them.
    """

    service: str
    order: Integer
    state: str
    tallies: list[Tally]
    history: list[Tally] = dataclasses.field(default_factory=list)
    dispatches: Integer = 0
    new_dispatches: Integer = 0
    is_confirmed: bool = False
    version: str = ""
    replaced: list[str] = dataclasses.field(default_factory=list)


def make_report(service: str, rollout: Rollout) -> RolloutReport:
    """Returns the report on a rollout; without evidence once it has ended."""
    is_in_progress = rollout.state is RolloutState.IN_PROGRESS
    own = rollout.budget.own
    return RolloutReport(
        service,
        rollout.order_id,
        rollout.state.value,
        rollout.evidence.report() if is_in_progress else [],
        rollout.evidence.history if is_in_progress else [],
        own.total if is_in_progress else 0,
        own.new if is_in_progress else 0,
        rollout.is_confirmed,
        rollout.order.version,
        list(rollout.replaced),
    )
