"""Threads of a scheduler: its ticks and its calls to engines."""

import concurrent.futures
import threading
from collections.abc import Callable, Iterable

import structlog

_WORKERS = 4

_log = structlog.get_logger(__name__)


class SchedulerThreads:
    """Runs ticks in a thread and calls to engines in a small pool.

    Both start when they are first needed.

    Args:
        tick: Called at every interval.
        interval_s: Seconds between ticks.
        is_enabled: Whether there are threads; without them, nothing ticks
            and calls run where they are made, as tests need it.
    """

    def __init__(
        self, tick: Callable[[], None], interval_s: float, is_enabled: bool
    ) -> None:
        self._tick = tick
        self._interval_s = interval_s
        self._is_enabled = is_enabled
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._ticker: threading.Thread | None = None
        self._workers: concurrent.futures.ThreadPoolExecutor | None = None

    def start(self) -> None:
        """Starts the ticks if they do not run yet."""
        if not self._is_enabled or self._ticker is not None:
            return
        with self._lock:
            if self._ticker is None:
                self._ticker = threading.Thread(
                    target=self._run_ticks, name="scheduler", daemon=True
                )
                self._ticker.start()

    def run(self, actions: Iterable[Callable[[], None]]) -> None:
        """Runs actions that may block, outside of the scheduler's lock."""
        for action in actions:
            if self._is_enabled:
                self._pool().submit(action)
            else:
                action()

    def close(self) -> None:
        """Stops the ticks; actions in progress end on their own."""
        self._stopped.set()
        if self._ticker is not None:
            self._ticker.join()
        if self._workers is not None:
            self._workers.shutdown(wait=False)

    def _pool(self) -> concurrent.futures.ThreadPoolExecutor:
        with self._lock:
            if self._workers is None:
                self._workers = concurrent.futures.ThreadPoolExecutor(
                    _WORKERS, thread_name_prefix="scheduler-resume"
                )
            return self._workers

    def _run_ticks(self) -> None:
        while not self._stopped.wait(self._interval_s):
            try:
                self._tick()
            except Exception:
                # Without the ticks waiting requests would never be served.
                _log.exception("scheduler_tick_failed")
