"""Planned stop of a gateway process: its signal, its steps and their times.

The supervisor counts the grace from the signal that it sent. A process that
stands still then, or later, must not count it from the moment at which it
notices the signal: it would be killed before its last steps.
"""

import asyncio
import itertools
import signal
import time
from collections.abc import Callable

from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.stop_schedule import StopSchedule, make_schedule

_STEP_INTERVAL_S = 0.05
# Steps in which requests that were ended, or came late, are answered. They are
# given after a standstill, too, however late it is: an exit in haste would take
# the answers away that a kill might take.
_LAST_STEPS = 10
_LAST_STEP_INTERVAL_S = 0.01
# Turns of the event loop until a connection that it has accepted is known.
_TURNS_TO_ACCEPT = 4


class StopSignal:
    """SIGTERM or SIGINT, and the earliest time at which it can have come.

    Args:
        seen_at: Returns the monotonic time at which the process was last seen
            running, in seconds.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        seen_at: Callable[[], float],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._seen_at = seen_at
        self._now = now
        self._installed_at = float("-inf")
        self._earliest_at: float | None = None
        self._noticed = asyncio.Event()

    def install(self) -> None:
        """Handles the signals; they ended the process before."""
        self._installed_at = self._now()
        loop = asyncio.get_running_loop()

        def notice(number: int, frame: object) -> None:
            del number, frame
            # Runs before the turn of the event loop that follows a standstill.
            if self.record():
                loop.call_soon_threadsafe(self._noticed.set)

        signal.signal(signal.SIGTERM, notice)
        signal.signal(signal.SIGINT, notice)

    def record(self) -> bool:
        """Records a signal; returns whether it is the first one."""
        if self._earliest_at is not None:
            return False
        seen_at = max(self._seen_at(), self._installed_at)
        self._earliest_at = min(seen_at, self._now())
        return True

    async def wait(self) -> float:
        """Waits for the signal; returns the earliest time of it.

        Returns:
            Monotonic seconds.
        """
        await self._noticed.wait()
        assert self._earliest_at is not None
        return self._earliest_at


class Drain:
    """Waits for the requests in progress as long as the grace allows.

    Args:
        client_server: Connections of clients.
        forwarder: Handles their requests.
        log: Structured decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        client_server: ClientServer,
        forwarder: RequestForwarder,
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._client_server = client_server
        self._forwarder = forwarder
        self._log = log
        self._now = now

    def start(self, signaled_at: float, grace_s: float) -> StopSchedule:
        """Begins the stop; returns its schedule.

        Args:
            signaled_at: Earliest monotonic time of the signal, in seconds.
            grace_s: Seconds between the signal and the kill.
        """
        noticed_at = self._now()
        schedule = make_schedule(signaled_at, noticed_at, grace_s)
        self._log.urgent(
            "stopping",
            requests=self._client_server.requests_in_progress,
            noticed_after_s=round(noticed_at - signaled_at, 3),
            grace_s=grace_s,
        )
        self._client_server.start_draining()
        self._log.flush()
        self._forwarder.start_draining(schedule)
        return schedule

    async def run(self, schedule: StopSchedule) -> None:
        """Carries out the steps until no request is in progress."""
        await asyncio.sleep(max(schedule.closes_idle_at - self._now(), 0))
        while self._now() < schedule.ends_unanswered_at:
            if await self._close_idle_connections():
                return
            if self._now() >= schedule.refuses_unsent_at:
                self._forwarder.refuse_undispatched()
            left_s = schedule.ends_unanswered_at - self._now()
            await asyncio.sleep(min(_STEP_INTERVAL_S, max(left_s, 0)))
        self._forwarder.end_unanswered()
        self._client_server.record_progress()
        self._log.flush()
        for step in itertools.count():
            await asyncio.sleep(_LAST_STEP_INTERVAL_S)
            if await self._close_idle_connections():
                return
            self._log.flush()
            if step >= _LAST_STEPS and self._now() >= schedule.closes_at:
                return

    async def _close_idle_connections(self) -> bool:
        """Returns whether no request is in progress, or expected."""
        # Connections that the event loop accepts in these turns become known in
        # later ones, so none may come any more.
        self._client_server.close_listener()
        # After a standstill, requests that came meanwhile are noticed first.
        for _ in range(_TURNS_TO_ACCEPT):
            await asyncio.sleep(0)
        self._client_server.close_idle()
        return not self._client_server.requests_in_progress
