"""Timeouts of a process that may stand still.

After a standstill (a frozen or starved VM, a long computation), the timers that
became due meanwhile and the data that arrived in time are noticed in the same
turn of the event loop. `asyncio.timeout` cancels its task then, although the
peer was not late.
"""

import asyncio
import types
from typing import Self

# A timer that runs this much late, in seconds, shows that the event loop stood
# still.
MAX_TIMER_DELAY_S = 0.05


def expire(limit: asyncio.Timeout) -> None:
    """Ends the time of a timeout now; does nothing if it is over already."""
    if not limit.expired():
        limit.reschedule(asyncio.get_running_loop().time())


class IoTimeout:
    """Cancels what is awaited inside when a peer has been silent for too long.

    Use it as an asynchronous context manager. When the time is over, data that
    has arrived is processed first. After standstills, the time is extended by
    their length, at most to twice the time. Deadlines that count from the
    request of a client don't extend and need `asyncio.timeout`.

    Args:
        delay_s: Seconds until the timeout.

    Raises:
        TimeoutError: The time was over, on leaving the context.
    """

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._extension_left_s = 0.0
        self._limit = asyncio.timeout(None)
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.Handle | None = None

    async def __aenter__(self) -> Self:
        await self._limit.__aenter__()
        self.restart(self._delay_s)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self._cancel_timer()
        await self._limit.__aexit__(exc_type, exc_value, traceback)

    def restart(self, delay_s: float) -> None:
        """Sets the time from now until the timeout, in seconds."""
        if not self._limit.expired():
            self._limit.reschedule(None)
        self._extension_left_s = delay_s
        self._start_timer(delay_s)

    def _start_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        due_at = self._loop.time() + delay_s
        self._timer = self._loop.call_at(due_at, self._handle_due, due_at)

    def _handle_due(self, due_at: float) -> None:
        timer_delay_s = self._loop.time() - due_at
        if timer_delay_s > MAX_TIMER_DELAY_S and self._extension_left_s > 0:
            extension_s = min(timer_delay_s, self._extension_left_s)
            self._extension_left_s -= extension_s
            self._start_timer(extension_s)
            return
        # The sockets are polled in the next turn, and the task runs in the one
        # after it if there was data.
        self._timer = self._loop.call_soon(self._poll_sockets)

    def _poll_sockets(self) -> None:
        self._timer = self._loop.call_soon(self._expire)

    def _expire(self) -> None:
        self._timer = None
        expire(self._limit)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
