"""Times of the steps of a planned stop."""

import dataclasses

# The load balancer removes a node after two failed health checks, one second
# apart; until then it still sends new connections.
_DEREGISTRATION_S = 2.5
# Requests not yet sent to an upstream are refused this long before the process
# is killed, because they would probably not complete in time.
_REFUSE_UNSENT_MARGIN_S = 4.5
# Requests whose answers have not begun are ended this long before the process
# is killed. A standstill of this length, less the time of the last steps, takes
# no answer away.
_END_UNANSWERED_MARGIN_S = 0.8
# The process closes its connections this long before it would be killed, and
# then exits.
_CLOSE_MARGIN_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Monotonic times of the steps of a stop, in seconds.

    Attributes:
        signaled_at: Earliest time of the signal.
        rerouted_at: The load balancer sends new connections to other nodes.
        closes_idle_at: Idle connections and the listening socket are closed.
        refuses_unsent_at: What has not been sent to an upstream is refused.
        ends_unanswered_at: Requests whose answers have not begun are ended.
        closes_at: All connections are closed.
    """

    signaled_at: float
    rerouted_at: float
    closes_idle_at: float
    refuses_unsent_at: float
    ends_unanswered_at: float
    closes_at: float


def make_schedule(
    signaled_at: float, noticed_at: float, grace_s: float
) -> StopSchedule:
    """Returns the times of the steps of a stop.

    Args:
        signaled_at: Earliest monotonic time of the signal, in seconds.
        noticed_at: Monotonic time from which the health checks fail.
        grace_s: Seconds between the signal and the kill.
    """
    killed_at = signaled_at + grace_s
    deregistration_s = min(_DEREGISTRATION_S, grace_s / 2)
    ends_unanswered_at = killed_at - _END_UNANSWERED_MARGIN_S
    return StopSchedule(
        signaled_at=signaled_at,
        # Health checks fail while a process stands still, too.
        rerouted_at=signaled_at + deregistration_s,
        closes_idle_at=min(noticed_at + deregistration_s, ends_unanswered_at),
        refuses_unsent_at=killed_at - _REFUSE_UNSENT_MARGIN_S,
        ends_unanswered_at=ends_unanswered_at,
        closes_at=killed_at - _CLOSE_MARGIN_S,
    )
