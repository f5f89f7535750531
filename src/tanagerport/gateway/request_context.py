"""State of a client request, and errors of its dispatches."""

import dataclasses

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.client_messages import ClientRequest, ClientResponse
from tanagerport.gateway.domain import Customer
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Ran, Refusal, RefusalReason, RetryReason

# Upstreams that may crash under a request before its answer begins. One crash
# may have another cause.
MAX_CRASHES = 2


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A client request and the state of its dispatches.

    Attributes:
        request: Request of the client.
        response: Response to the client.
        item: The request as seen by admission and placement.
        customer: Customer that owns the API key; None without one.
        units: Quota units charged to the customer.
        charged_at_s: Uptime of the quota limiter at that time, in seconds.
        dispatches: Number of dispatches to upstreams.
        connect_failures: Number of failed connection attempts.
        crashes: Number of upstreams that crashed before they began to answer.
        has_open_dispatch: Whether a dispatch was sent whose failure has not
            been recorded.
        may_have_run_before: Whether an upstream may have run an earlier
            dispatch.
        last_event_id: Id of the last event that was relayed.
        next_placement: Place at another upstream for which the request leaves
            a silent one.
    """

    request: ClientRequest
    response: ClientResponse
    item: WorkItem
    customer: Customer | None
    units: float
    charged_at_s: float = 0.0
    dispatches: int = 0
    connect_failures: int = 0
    crashes: int = 0
    has_open_dispatch: bool = False
    may_have_run_before: bool = False
    last_event_id: int | None = None
    next_placement: Placement | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.has_open_dispatch or self.may_have_run_before


class DispatchError(Exception):
    """A dispatch failed without a response that can be relayed.

    Attributes:
        reason: Reason of the failure, as counted for retries.
        may_have_run: Whether the upstream may have run the request.
        has_lost_connection: Whether the upstream ended the connection.
    """

    has_lost_connection = False

    def __init__(
        self, reason: RetryReason, message: str, may_have_run: bool
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.may_have_run = may_have_run


def refusal_error(
    reason: RefusalReason,
    message: str,
    ran: Ran = Ran.NO,
    retry_after_s: float | None = None,
) -> RefusedError:
    """Returns a `RefusedError` for a new refusal."""
    return RefusedError(Refusal(reason, message, ran, retry_after_s))
