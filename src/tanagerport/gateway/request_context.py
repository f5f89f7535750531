"""State of a client request, and errors of its dispatches."""

import dataclasses

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.client_server import ClientRequest, ClientResponse
from tanagerport.gateway.domain import Customer
from tanagerport.gateway.work import WorkItem
from tanagerport.refusals import Ran, Refusal, RefusalReason, RetryReason


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request with what was done for it.

    Attributes:
        request: Request of the client.
        response: Response to the client.
        item: The request as admission and placement see it.
        customer: Customer that the key belongs to.
        units: Units of quota that were taken.
        dispatches: Upstreams that it was sent to.
        connect_failures: Connections that could not be opened for it.
        has_open_dispatch: Whether it was sent and the outcome is open.
        may_have_run_before: Whether an earlier dispatch may have run.
        last_event_id: Last event that was passed on.
    """

    request: ClientRequest
    response: ClientResponse
    item: WorkItem
    customer: Customer | None
    units: float
    dispatches: int = 0
    connect_failures: int = 0
    has_open_dispatch: bool = False
    may_have_run_before: bool = False
    last_event_id: int | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.has_open_dispatch or self.may_have_run_before


class DispatchError(Exception):
    """A dispatch failed without a response that can be relayed.

    Attributes:
        reason: Reason of the failure, as counted for retries.
        may_have_run: Whether the upstream may have run the request.
    """

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
