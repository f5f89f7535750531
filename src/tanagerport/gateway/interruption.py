"""Interruption of a task in the turn of the event loop that decides on it."""

import asyncio
import types
from typing import Self


class InterruptedTaskError(Exception):
    """The task was interrupted."""


class Interruption:
    """Lets others interrupt what a task awaits inside.

    Use it as an asynchronous context manager. A timeout that is set to now ends
    one turn later; what the task was given in this turn would be processed
    first.

    Raises:
        InterruptedTaskError: The task was interrupted, on leaving the context.
    """

    def __init__(self) -> None:
        self._task: asyncio.Task[object] | None = None
        self._is_interrupted = False

    def interrupt(self) -> None:
        """Interrupts the task, which processes nothing more inside."""
        if self._task is not None and not self._is_interrupted:
            self._is_interrupted = True
            self._task.cancel()

    async def __aenter__(self) -> Self:
        self._task = asyncio.current_task()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        task, self._task = self._task, None
        if not self._is_interrupted or task is None:
            return
        if exc_type is None or not issubclass(exc_type, asyncio.CancelledError):
            # The task interrupted itself, and has awaited nothing since.
            try:
                await asyncio.sleep(0)
            except asyncio.CancelledError:
                task.uncancel()
            if exc_type is not None:
                return
        else:
            task.uncancel()
        raise InterruptedTaskError from exc_value
