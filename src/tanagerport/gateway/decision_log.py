"""Structured log of decisions, bounded in volume and never blocking."""

import collections
import os
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog

from tanagerport.refusals import Refusal

# Lines that wait for a reader of the log; beyond it lines are dropped.
_MAX_QUEUED = 2000
# Lines of one kind in each second; those that explain failures have a bound
# of their own, so that successes can't push them out.
_SUCCESS_LINES_PER_S = 20
_FAILURE_LINES_PER_S = 60
_DROP_REPORT_INTERVAL_S = 5.0
# Bytes that are written in one go.
_WRITE_BYTES = 32768

_encode = msgspec.json.Encoder().encode


class _RateLimit:
    """Bound of lines in each second."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = -1
        self._count = 0

    def take(self, now: float) -> bool:
        """Returns whether another line may be written."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._per_s


class _LineQueue:
    """Logger of `structlog` that queues rendered lines."""

    def __init__(self) -> None:
        self.lines: collections.deque[bytes] = collections.deque()

    def msg(self, line: bytes) -> None:
        """Queues a line."""
        self.lines.append(line)

    debug = info = warning = error = msg


class DecisionLog:
    """Writes JSON lines to a file descriptor.

    Lines are queued and written by `flush`, which never blocks: a reader that
    stopped reading costs lines, not requests.

    Args:
        node: Name of the node, in each line.
        descriptor: File descriptor; set to non-blocking by the caller.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        node: str,
        descriptor: int = 1,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._descriptor = descriptor
        self._now = now
        self._queue = _LineQueue()
        self._unwritten = b""
        self._limits: dict[str, _RateLimit] = {}
        self._dropped: collections.Counter[str] = collections.Counter()
        self._reported_at = 0.0
        self._logger = structlog.wrap_logger(
            self._queue,
            processors=[
                structlog.processors.add_log_level,
                self._limit,
                self._render,
            ],
            wrapper_class=structlog.BoundLogger,
        )

    @property
    def dropped(self) -> dict[str, int]:
        """Dropped lines by kind that were not reported yet."""
        return dict(self._dropped)

    def info(self, event: str, **fields: Any) -> None:
        """Logs a decision or a change of what the process believes."""
        self._logger.info(event, **fields)

    def debug(self, event: str, **fields: Any) -> None:
        """Logs a line that explains no failure of a request."""
        self._logger.debug(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs what explains a failure of a request."""
        self._logger.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs a fault of this process."""
        self._logger.error(event, **fields)

    def refused(self, request_id: str, refusal: Refusal, **fields: Any) -> None:
        """Logs a refusal."""
        self.warning(
            "refused",
            request=request_id,
            reason=refusal.reason.value,
            message=refusal.message,
            ran=refusal.ran.value,
            retry_after_s=refusal.retry_after_s,
            **fields,
        )

    def flush(self) -> None:
        """Writes queued lines as far as the reader takes them."""
        self._report_dropped()
        while self._queue.lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._take_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good, and there is nowhere to say so.
                self._queue.lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _take_block(self) -> bytes:
        lines = self._queue.lines
        block = []
        size = 0
        while lines and size < _WRITE_BYTES:
            line = lines.popleft()
            size += len(line)
            block.append(line)
        return b"".join(block)

    def _limit(
        self, logger: Any, method: str, fields: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Drops a line above the bound of its kind."""
        del logger
        event = fields["event"]
        limit = self._limits.get(event)
        if limit is None:
            is_failure = method in {"warning", "error"}
            limit = self._limits[event] = _RateLimit(
                _FAILURE_LINES_PER_S if is_failure else _SUCCESS_LINES_PER_S
            )
        if not limit.take(self._now()) or len(self._queue.lines) >= _MAX_QUEUED:
            self._dropped[event] += 1
            raise structlog.DropEvent
        return fields

    def _render(
        self, logger: Any, method: str, fields: MutableMapping[str, Any]
    ) -> bytes:
        """Renders a line; `at` orders the lines of a node, `time` may jump."""
        del logger, method
        line = {
            "at": round(self._now(), 4),
            "time": round(time.time(), 3),
            "node": self._node,
            **fields,
        }
        return _encode(line) + b"\n"

    def _report_dropped(self) -> None:
        now = self._now()
        if not self._dropped or (
            now - self._reported_at < _DROP_REPORT_INTERVAL_S
        ):
            return
        self._reported_at = now
        dropped, self._dropped = self._dropped, collections.Counter()
        self.warning("lines_dropped", by_event=dict(dropped))
