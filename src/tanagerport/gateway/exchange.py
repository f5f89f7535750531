"""State of one exchange with an upstream."""

import dataclasses

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.http_call import HttpCall
from tanagerport.gateway.response_buffers import ResponseBuffer


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
