"""Tests of the interruption of tasks."""

import asyncio
import time

import pytest

import gateway_doubles
from tanagerport.gateway.interruption import (
    InterruptedTaskError,
    Interruption,
)


class TestInterruption:
    """Guards against an interruption that others overtake, or that goes on."""

    def test_result_of_the_same_turn_is_not_processed(self) -> None:
        async def run() -> bool:
            interruption = Interruption()
            result = asyncio.get_running_loop().create_future()
            processed = False

            async def work() -> None:
                nonlocal processed
                async with interruption:
                    await result
                    processed = True

            task = asyncio.create_task(work())
            await gateway_doubles.run_pending_tasks()
            result.set_result(None)
            interruption.interrupt()
            with pytest.raises(InterruptedTaskError):
                await task
            return processed

        assert not asyncio.run(run())

    @pytest.mark.parametrize("fails", [False, True])
    def test_task_that_interrupts_itself_goes_on_outside(
        self, fails: bool
    ) -> None:
        async def run() -> None:
            error = ValueError if fails else InterruptedTaskError
            with pytest.raises(error):
                async with Interruption() as interruption:
                    interruption.interrupt()
                    if fails:
                        raise ValueError
            await asyncio.sleep(0.01)

        asyncio.run(run())

    def test_cancellation_from_outside_is_kept(self) -> None:
        async def run() -> None:
            async def work() -> None:
                async with Interruption():
                    await asyncio.sleep(3600)

            task = asyncio.create_task(work())
            await gateway_doubles.run_pending_tasks()
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        asyncio.run(run())

    def test_deadline_inside_that_passes_in_the_same_turn(self) -> None:
        async def run() -> None:
            interruption = Interruption()

            async def work() -> None:
                async with interruption, asyncio.timeout(0.01):
                    await asyncio.sleep(3600)

            task = asyncio.create_task(work())
            await gateway_doubles.run_pending_tasks()
            loop = asyncio.get_running_loop()
            # The timers of both are due in the same turn.
            loop.call_later(0.011, interruption.interrupt)
            time.sleep(0.02)
            with pytest.raises((InterruptedTaskError, TimeoutError)):
                await task

        asyncio.run(run())
