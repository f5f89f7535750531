"""Time slices for tasks that have more received data than they can process.

`await` doesn't give other tasks a turn while its result is there already. A
peer that sends faster than its data is processed would therefore keep the event
loop from timers and from all other connections.
"""

import asyncio
import collections
import time
import weakref
from collections.abc import Callable

# Time that a task may process data before others get a turn, in seconds. It is
# a fraction of a round trip between availability zones.
_SLICE_S = 0.002


class _TurnQueue:
    """Lets one task an iteration of the event loop go on.

    Any number of busy tasks together delay the others by one slice an
    iteration.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        # The loop holds the queue's callbacks, so the queue doesn't hold it.
        self._loop = weakref.ref(loop)
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def wait(self) -> None:
        """Waits for a turn, in order of arrival."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._give_turn)
        await turn

    def _give_turn(self) -> None:
        while self._waiting and self._waiting[0].done():
            self._waiting.popleft()
        if not self._waiting:
            return
        self._waiting.popleft().set_result(None)
        loop = self._loop()
        if self._waiting and loop is not None:
            loop.call_soon(self._give_turn)


_queues: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _TurnQueue] = (
    weakref.WeakKeyDictionary()
)


class TimeSlice:
    """Time that a task may work without a pause.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._ends_at = now() + _SLICE_S

    def restart(self) -> None:
        """Begins a new slice after the task has waited."""
        self._ends_at = self._now() + _SLICE_S

    async def pause_if_over(self) -> None:
        """Lets other tasks go on first once the slice is over."""
        if self._now() < self._ends_at:
            return
        loop = asyncio.get_running_loop()
        queue = _queues.get(loop)
        if queue is None:
            queue = _queues[loop] = _TurnQueue(loop)
        await queue.wait()
        self.restart()
