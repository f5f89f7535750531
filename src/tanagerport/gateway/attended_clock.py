"""Clock that tells how long others have been silent.

While the event loop of this process stands still, nothing of what others send
is read, so the time doesn't count as their silence.
"""

import asyncio
import time
from collections.abc import Callable

_TICK_INTERVAL_S = 0.1
# A tick that is later than this, in seconds, shows a standstill.
_MAX_TICK_DELAY_S = 0.1
# Time after a standstill in which what came meanwhile is noticed, in seconds.
_NOTICE_S = 0.1


class AttendedClock:
    """Monotonic clock that stops while the event loop stands still.

    It counts every second until it is started.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        # The next tick is late after this monotonic time.
        self._tick_due_at = float("inf")
        self._missed_s = 0.0
        self._ticked_at = float("-inf")
        # Beginning and end of the last standstill, in monotonic seconds.
        self._standstill = (float("-inf"), float("-inf"))

    @property
    def ticked_at(self) -> float:
        """Monotonic seconds at which the event loop was last seen running."""
        return self._ticked_at

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back."""
        return min(self._now(), self._tick_due_at) - self._missed_s

    def earliest_arrival(self) -> float:
        """Returns the time since which what is noticed now can have waited.

        Returns:
            Monotonic seconds.
        """
        began_at, ended_at = self._standstill
        if self._now() < ended_at + _NOTICE_S:
            return began_at
        return self._ticked_at

    def tick(self) -> None:
        """Shows that the event loop runs; called every tenth of a second."""
        now = self._now()
        if now > self._tick_due_at:
            self._standstill = (self._ticked_at, now)
        self._ticked_at = now
        self._missed_s += max(now - self._tick_due_at, 0.0)
        self._tick_due_at = now + _TICK_INTERVAL_S + _MAX_TICK_DELAY_S

    async def run(self) -> None:
        """Ticks until the task is cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_INTERVAL_S)
