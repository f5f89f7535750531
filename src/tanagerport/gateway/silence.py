"""Time limit for the silence of an upstream."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from tanagerport.gateway.io_timeout import MAX_TIMER_DELAY_S, expire

# Interval at which a request at a silent upstream looks for another place, in
# seconds.
_SEARCH_INTERVAL_S = 0.1


@contextlib.asynccontextmanager
async def silence_timeout(
    timeout_s: float | None, find_place: Callable[[], Awaitable[bool]]
) -> AsyncIterator[None]:
    """Limits the time for which a request stays at a silent upstream.

    A sound upstream may fall silent for a while and go on, so a request stays
    until it has another place.

    Args:
        timeout_s: Seconds of silence after which it looks for another place;
            None if it has to stay.
        find_place: Waits for a place elsewhere; returns whether it was taken.
            It is cancelled when the upstream sends data.

    Raises:
        TimeoutError: The request has another place.
    """
    if timeout_s is None:
        yield
        return
    loop = asyncio.get_running_loop()
    limit = asyncio.timeout(None)
    searches: list[asyncio.Task[None]] = []
    timer: asyncio.TimerHandle

    async def search() -> None:
        while not await find_place():
            await asyncio.sleep(_SEARCH_INTERVAL_S)
        expire(limit)

    def handle_due(due_at: float, may_extend: bool) -> None:
        nonlocal timer
        timer_delay_s = loop.time() - due_at
        if may_extend and timer_delay_s > MAX_TIMER_DELAY_S:
            # The event loop stood still, so the upstream may have sent data.
            due_at = loop.time() + min(timer_delay_s, timeout_s)
            timer = loop.call_at(due_at, handle_due, due_at, False)
            return
        searches.append(loop.create_task(search()))

    first_due_at = loop.time() + timeout_s
    timer = loop.call_at(first_due_at, handle_due, first_due_at, True)
    try:
        async with limit:
            yield
    finally:
        timer.cancel()
        for task in searches:
            task.cancel()
