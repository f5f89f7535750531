"""State of one exchange with an upstream, and its record."""

import dataclasses
from collections.abc import Callable

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.http_call import HttpCall
from tanagerport.gateway.request_context import RequestContext
from tanagerport.gateway.response_buffers import ResponseBuffer
from tanagerport.gateway.work_item import Placement

# Reason for which a response failed that had to give up its buffer.
EVICTED = "the memory of the unfinished response was needed"
# First-byte timeout, after which a retryable request moves to another upstream:
# a multiple of the predicted time or of the route's latency target, whichever
# is longer, and at least the minimum.
FIRST_BYTE_TIMEOUT_FACTOR = 4.0
_FIRST_BYTE_TARGET_FACTOR = 1.25
MIN_FIRST_BYTE_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True)
class StreamTiming:
    """Timing of the events of one stream.

    Attributes:
        first_at: Monotonic seconds at which the first event arrived.
        longest_interval_s: Longest time between two reads with events.
        event_count: Number of events received.
        unreported_count: Number of events not yet reported to the scheduler.
    """

    first_at: float = 0.0
    longest_interval_s: float = 0.0
    event_count: int = 0
    unreported_count: int = 0

    def mean_interval_s(self, last_at: float) -> float:
        """Returns the mean time between events, in seconds."""
        return (last_at - self.first_at) / max(self.event_count - 1, 1)


@dataclasses.dataclass(slots=True)
class Exchange:
    """An HTTP call in progress and its connection.

    Attributes:
        channel: Connection to the upstream.
        call: Call whose response is read.
        buffer: Memory of what is buffered of the response.
        started_at: Monotonic seconds at which the call was created.
        is_new_connection: Whether the connection carried no other request.
        is_reusable: Whether the connection returns to the pool afterwards.
        idle_timeout_s: Idle timeout that the upstream announced, in seconds.
    """

    channel: Channel
    call: HttpCall
    buffer: ResponseBuffer
    started_at: float
    is_new_connection: bool
    is_reusable: bool = False
    idle_timeout_s: float | None = None


def first_byte_timeout_s(
    context: RequestContext, placement: Placement
) -> float | None:
    """Returns the first-byte timeout; None if no retry is possible."""
    route = context.item.route
    if not route.can_repeat or context.dispatches >= route.max_dispatches:
        return None
    return max(
        FIRST_BYTE_TIMEOUT_FACTOR * placement.predicted_first_byte_s,
        _FIRST_BYTE_TARGET_FACTOR * route.target_s,
        MIN_FIRST_BYTE_TIMEOUT_S,
    )


class ResponseRecorder:
    """Counts and logs relayed responses.

    Args:
        counters: Metrics of the process.
        log: Structured decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        counters: Counters,
        log: DecisionLog,
        now: Callable[[], float],
    ) -> None:
        self._counters = counters
        self._log = log
        self._now = now

    def record(
        self,
        context: RequestContext,
        placement: Placement,
        status: int,
        **fields: float,
    ) -> None:
        """Records a response; `fields` are added to its line of the log."""
        self._counters.answers[f"{status // 100}xx"] += 1
        self._log.info(
            "answered",
            request=context.item.request_id,
            upstream=placement.upstream.upstream_id,
            status=status,
            last_event=context.last_event_id,
            dispatches=context.dispatches,
            after_s=round(self._now() - context.request.received_at, 3),
            target_s=context.item.route.target_s,
            pause_target_s=context.item.route.event_interval_target_s,
            **fields,
        )
