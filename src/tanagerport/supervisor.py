"""Supervisor tree of asyncio tasks, in an event loop of its own thread."""

import asyncio
import concurrent.futures
import random
import threading
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import structlog

from tanagerport.clock import Clock, SystemClock

_Result = TypeVar("_Result")
TaskFactory = Callable[[], Awaitable[None]]

_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 5.0
# A task that ran this long before it failed starts again without backoff.
_HEALTHY_AFTER_S = 10.0
_STOP_TIMEOUT_S = 5.0
# Blocking platform calls of the control plane; each waits for a time limit.
_BLOCKING_THREADS = 16

_log = structlog.get_logger(__name__)


class LoopThread:
    """Event loop in a thread of its own.

    Args:
        name: Name of the thread.
    """

    def __init__(self, name: str = "control") -> None:
        self._name = name
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""
        return self._loop

    @property
    def is_running(self) -> bool:
        """Whether the thread was started and has not ended."""
        return self._thread.is_alive()

    @property
    def is_current(self) -> bool:
        """Whether the caller runs in the loop's thread."""
        return threading.current_thread() is self._thread

    @property
    def cpu_seconds(self) -> float:
        """Processor time of the loop's thread, without its helpers."""
        ident = self._thread.ident
        if ident is None or not self._thread.is_alive():
            return 0.0
        return time.clock_gettime(time.pthread_getcpuclockid(ident))

    def start(self) -> None:
        """Starts the thread."""
        self._loop.set_default_executor(
            concurrent.futures.ThreadPoolExecutor(
                _BLOCKING_THREADS, thread_name_prefix=f"{self._name}-blocking"
            )
        )
        self._thread.start()

    def submit(
        self, coroutine: Coroutine[Any, Any, _Result]
    ) -> concurrent.futures.Future[_Result]:
        """Runs a coroutine in the loop; may be called from any thread."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    def run(
        self, coroutine: Coroutine[Any, Any, _Result], timeout_s: float
    ) -> _Result:
        """Runs a coroutine in the loop and waits for its result.

        Raises:
            RuntimeError: The caller runs in the loop, which would deadlock.
            TimeoutError: There was no result in time.
        """
        if self.is_current:
            coroutine.close()
            raise RuntimeError("a blocking call was made in the event loop")
        future = self.submit(coroutine)
        try:
            return future.result(timeout_s)
        except TimeoutError:
            future.cancel()
            raise

    def stop(self) -> None:
        """Stops the loop and waits a bounded time for its thread."""
        if not self._thread.is_alive():
            return
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_STOP_TIMEOUT_S)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        remaining = asyncio.all_tasks(self._loop)
        for task in remaining:
            task.cancel()
        if remaining:
            self._loop.run_until_complete(
                asyncio.wait(remaining, timeout=_STOP_TIMEOUT_S)
            )
        self._loop.close()


class Supervisor:
    """Node of the supervisor tree: restarts its tasks when they fail.

    All methods except `restarts` must be called in the event loop.

    Args:
        name: Name in logs.
        clock: Source of time.
        seed: Seed of the backoff's jitter.
    """

    def __init__(
        self, name: str, clock: Clock | None = None, seed: int | None = None
    ) -> None:
        self._name = name
        self._clock = clock or SystemClock()
        self._random = random.Random(seed)
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._children: dict[str, Supervisor] = {}
        self._restarts = 0

    @property
    def restarts(self) -> int:
        """Restarts of tasks in this part of the tree."""
        return self._restarts + sum(
            child.restarts for child in list(self._children.values())
        )

    @property
    def task_names(self) -> frozenset[str]:
        """Names of the tasks that are supervised here."""
        return frozenset(self._tasks)

    def child(self, name: str) -> "Supervisor":
        """Returns the child supervisor of a name; makes it if needed."""
        if name not in self._children:
            self._children[name] = Supervisor(
                f"{self._name}.{name}",
                self._clock,
                self._random.getrandbits(32),
            )
        return self._children[name]

    def add(self, name: str, factory: TaskFactory) -> None:
        """Runs a task until it returns; starts it again when it fails.

        Args:
            name: Name that is unique in this supervisor.
            factory: Makes the coroutine, anew for each start.

        Raises:
            ValueError: A task of this name is running.
        """
        if name in self._tasks:
            raise ValueError(f"task {name!r} already runs in {self._name}")
        task = asyncio.get_running_loop().create_task(
            self._supervise(name, factory), name=f"{self._name}.{name}"
        )
        self._tasks[name] = task
        task.add_done_callback(lambda _: self._tasks.pop(name, None))

    def cancel(self, name: str) -> None:
        """Cancels a task if it runs."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def close(self) -> None:
        """Cancels all tasks of this part of the tree and awaits their end."""
        for child in self._children.values():
            await child.close()
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_STOP_TIMEOUT_S)

    async def _supervise(self, name: str, factory: TaskFactory) -> None:
        backoff_s = _MIN_BACKOFF_S
        while True:
            started_at = self._clock.monotonic()
            try:
                await factory()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                _log.exception("task_failed", supervisor=self._name, task=name)
            if self._clock.monotonic() - started_at >= _HEALTHY_AFTER_S:
                backoff_s = _MIN_BACKOFF_S
            self._restarts += 1
            # Jitter keeps tasks that failed together from restarting together.
            await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1.0))
            backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
