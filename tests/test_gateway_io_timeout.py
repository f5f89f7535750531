"""Tests of timeouts in a process that stands still."""

import asyncio
import time
from collections.abc import Callable

import pytest

from tanagerport.gateway.io_timeout import IoTimeout, expire


async def wait_past_standstill(
    event: asyncio.Event, delay_s: float, standstill_s: float
) -> float:
    """Returns the time until an event or a timeout, in seconds."""
    started_at = time.monotonic()
    asyncio.get_running_loop().call_later(0.05, time.sleep, standstill_s)
    try:
        async with IoTimeout(delay_s):
            await event.wait()
    except TimeoutError:
        return time.monotonic() - started_at
    return 0.0


class TestIoTimeout:
    """Guards against peers that count as silent for the node's own pause."""

    def test_silent_peer_times_out_in_time(self) -> None:
        waited_s = asyncio.run(wait_past_standstill(asyncio.Event(), 0.3, 0.0))
        assert 0.3 <= waited_s < 0.4

    def test_standstill_extends_the_time_once(self) -> None:
        waited_s = asyncio.run(wait_past_standstill(asyncio.Event(), 0.2, 0.4))
        assert 0.4 < waited_s < 0.9

    @pytest.mark.parametrize("delay_s", [0.01, 0.1])
    def test_event_noticed_after_the_standstill_is_in_time(
        self, delay_s: float
    ) -> None:
        async def scenario() -> float:
            event = asyncio.Event()
            # The event is set in a later turn than that of the due timer.
            asyncio.get_running_loop().call_later(0.46, event.set)
            return await wait_past_standstill(event, 0.4 + delay_s, 0.42)

        assert asyncio.run(scenario()) == 0.0

    def test_endless_standstills_do_not_extend_the_time_without_end(
        self,
    ) -> None:
        async def scenario() -> float:
            async def stand_still_often() -> None:
                while True:
                    time.sleep(0.15)  # noqa: ASYNC251
                    await asyncio.sleep(0)

            task = asyncio.create_task(stand_still_often())
            async with asyncio.timeout(10.0):
                waited_s = await wait_past_standstill(asyncio.Event(), 0.2, 0.0)
            task.cancel()
            return waited_s

        assert asyncio.run(scenario()) > 0.2

    def test_progress_withdraws_an_expiry_that_was_planned(self) -> None:
        async def scenario() -> bool:
            event = asyncio.Event()
            async with IoTimeout(0.05) as timeout:

                def progress() -> None:
                    timeout.restart(5.0)
                    asyncio.get_running_loop().call_later(0.05, event.set)

                # The third turn after the one in which the time was over.
                call_after_turns(0.05, 2, progress)
                return await event.wait()

        assert asyncio.run(scenario())


def call_after_turns(
    delay_s: float, turns: int, callback: Callable[[], object]
) -> None:
    """Calls back some turns of the event loop after a delay, in seconds."""
    loop = asyncio.get_running_loop()
    if delay_s:
        loop.call_later(delay_s, call_after_turns, 0.0, turns, callback)
    elif turns:
        loop.call_soon(call_after_turns, 0.0, turns - 1, callback)
    else:
        callback()


class TestExpire:
    """Guards against an error of whoever ends a request that is ending."""

    def test_timeout_whose_time_is_over_is_left_alone(self) -> None:
        async def scenario() -> list[str]:
            events = []

            def end() -> None:
                expire(limit)
                events.append("expired")

            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(0.05) as limit:
                    loop.call_later(0.06, end)
                    # Both timers are due in one turn.
                    loop.call_later(0.01, time.sleep, 0.1)
                    await asyncio.Event().wait()
            except TimeoutError:
                events.append("timeout")
            return events

        assert asyncio.run(scenario()) == ["expired", "timeout"]
