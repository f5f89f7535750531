"""Final answers to requests on which the node itself failed."""

import pathlib
import random
import traceback

import h11

from tanagerport.gateway.client_messages import ClientResponse
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.refusals import Ran, Refusal, RefusalReason

# Range of the Retry-After of a request that was not sent to an upstream, in
# seconds. Most faults depend on what else happens at that moment.
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 0.6
# Innermost frames of the traceback that the log names.
_LOGGED_FRAMES = 6


def end_failed_request(
    error: Exception,
    request_id: str,
    response: ClientResponse,
    counters: Counters,
    log: DecisionLog,
    *,
    may_have_run: bool,
) -> None:
    """Ends a request on which the node failed with an unexpected error.

    A response that has begun is aborted, so that it can't look complete.
    Otherwise the refusal says whether the request may have run, which a closed
    connection would not tell.

    Args:
        error: The unexpected error.
        request_id: Id of the request; empty if it is unknown.
        response: Response to the client.
        counters: Metrics of the process.
        log: Structured decision log.
        may_have_run: Whether an upstream may have run the request.
    """
    refusal = _make_refusal(may_have_run)
    if response.is_finished:
        outcome = "complete"
    elif not response.is_started and _try_refuse(response, refusal):
        counters.refusals[refusal.reason.value] += 1
        outcome = str(refusal.http_status)
    else:
        counters.answers["cut"] += 1
        response.abort()
        outcome = "cut"
    counters.request_errors[outcome] += 1
    log.error(
        "request_error",
        request=request_id,
        error=repr(error),
        where=_describe_origin(error),
        may_have_run=may_have_run,
        outcome=outcome,
    )


def _try_refuse(response: ClientResponse, refusal: Refusal) -> bool:
    """Sends a refusal; returns False if the connection can't carry one."""
    try:
        response.refuse(refusal)
    except h11.LocalProtocolError:
        # The codec failed on an earlier response and sends nothing more.
        return False
    return True


def _make_refusal(may_have_run: bool) -> Refusal:
    if may_have_run:
        return Refusal(
            RefusalReason.INTERNAL,
            "the node failed after the request was sent to an upstream",
            Ran.UNKNOWN,
        )
    return Refusal(
        RefusalReason.INTERNAL_NOT_RUN,
        "the node failed before the request was sent to an upstream",
        retry_after_s=random.uniform(_MIN_RETRY_AFTER_S, _MAX_RETRY_AFTER_S),
    )


def _describe_origin(error: Exception) -> str:
    """Returns the innermost lines of code of an error, the last one first."""
    frames = [
        f"{pathlib.PurePath(frame.f_code.co_filename).name}:{line}"
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    return " < ".join(reversed(frames[-_LOGGED_FRAMES:]))
