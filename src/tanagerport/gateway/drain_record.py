"""Record of the requests that a planned stop meets, and of how each ended."""

import enum
import time
from collections.abc import Iterable
from typing import Any

from tanagerport.gateway.client_messages import ClientResponse
from tanagerport.gateway.decision_log import DecisionLog


class DrainPhase(enum.StrEnum):
    """Moment at which requests in progress are recorded."""

    SIGNAL = "signal"
    LAST_SECOND = "last_second"


class DrainRecord:
    """Logs requests in progress at a stop, and the end of each.

    Requests that come later are logged if they end otherwise than whole. The
    lines are urgent, so those of other events don't displace them.

    Args:
        log: Structured decision log.
    """

    def __init__(self, log: DecisionLog) -> None:
        self._log = log
        self._is_started = False
        self._met: set[ClientResponse] = set()

    def start(self, responses: Iterable[ClientResponse]) -> None:
        """Records the requests in progress when the stop begins."""
        if not self._is_started:
            self._is_started = True
            self._met = set(responses)
            self.record_progress(DrainPhase.SIGNAL, self._met)

    def record_progress(
        self, phase: DrainPhase, responses: Iterable[ClientResponse]
    ) -> None:
        """Records requests that are in progress now."""
        for response in responses:
            self._log.urgent(
                "request_in_progress",
                phase=phase.value,
                **describe_response(response),
            )

    def record_end(
        self, response: ClientResponse, *, is_sent: bool, closed_by: str
    ) -> None:
        """Records the end of a request.

        Args:
            response: Response to it.
            is_sent: Whether all written bytes have been sent.
            closed_by: `client`, `node`, or empty if the connection is open.
        """
        if not self._is_started:
            return
        outcome = _find_outcome(response, is_sent)
        if outcome == "whole" and response not in self._met:
            return
        self._log.urgent(
            "request_ended",
            outcome=outcome,
            closed_by=closed_by,
            **describe_response(response),
        )


def describe_response(response: ClientResponse) -> dict[str, Any]:
    """Returns what the log tells of a response in progress, or the last one."""
    return {
        "request": response.request_id,
        "upstream": response.upstream_id,
        "age_s": round(time.monotonic() - response.received_at, 3),
        "status": response.status,
        "has_begun": response.is_started,
        "is_whole": response.is_finished,
    }


def _find_outcome(response: ClientResponse, is_sent: bool) -> str:
    if not response.is_started:
        return "unanswered"
    if not response.is_finished or response.is_aborted:
        return "cut"
    return "whole" if is_sent else "unsent"
