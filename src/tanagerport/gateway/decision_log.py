"""Structured log of a gateway process, rate limited and non-blocking."""

import collections
import contextlib
import fcntl
import os
import select
import time
from collections.abc import Callable, MutableMapping
from typing import Any

import msgspec
import structlog

from tanagerport.refusals import Refusal

# Lines that may wait to be written; further lines are dropped. Those of
# decisions leave room for the warnings that explain a failed request.
_MAX_QUEUED_LINES = 2000
_MAX_QUEUED_DECISIONS = 1500
# Urgent lines that may wait; some three for each client connection of a node.
_MAX_QUEUED_URGENT = 8000
# Size of the pipe while urgent lines wait for its reader, in bytes: the most
# that Linux grants to an unprivileged process by default.
_LARGE_PIPE_BYTES = 1 << 20
# Limits for each event name, so that frequent events don't displace others.
# Warnings and errors explain failures and have a higher limit.
_INFO_LINES_PER_S = 20
_WARNING_LINES_PER_S = 60
_DROP_REPORT_INTERVAL_S = 5.0
# Lines are joined into blocks of about this size for one write.
_BLOCK_BYTES = 32768

_encode = msgspec.json.Encoder().encode


class _RateLimit:
    """Limits the number of lines of an event in each second."""

    def __init__(self, per_s: int) -> None:
        self._per_s = per_s
        self._second = -1
        self._count = 0

    def allow(self, now: float) -> bool:
        """Counts a line and returns whether it may be written."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._per_s


class _LineQueue:
    """Logger for `structlog` that queues the rendered lines."""

    def __init__(self) -> None:
        self.lines: collections.deque[bytes] = collections.deque()

    def msg(self, line: bytes) -> None:
        """Queues a line."""
        self.lines.append(line)

    debug = info = warning = error = msg


class DecisionLog:
    """Writes JSON lines to a file descriptor.

    Lines are queued, and `flush` writes them without blocking. If the reader
    of the log stops reading, lines are dropped and requests are not delayed.

    Args:
        node: Name of the node, which is written in each line.
        descriptor: File descriptor, set to non-blocking mode by the caller.
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
        self._urgent: collections.deque[bytes] = collections.deque()
        self._has_large_pipe = False
        self._unwritten = b""
        self._rate_limits: dict[str, _RateLimit] = {}
        self._dropped: collections.Counter[str] = collections.Counter()
        self._reported_at = 0.0
        self._logger = structlog.wrap_logger(
            self._queue,
            processors=[
                structlog.processors.add_log_level,
                self._drop_excess,
                self._render,
            ],
            wrapper_class=structlog.BoundLogger,
        )

    @property
    def dropped(self) -> dict[str, int]:
        """Number of dropped lines by event since the last report of drops."""
        return dict(self._dropped)

    def info(self, event: str, **fields: Any) -> None:
        """Logs a decision or a change of the state of the process."""
        self._logger.info(event, **fields)

    def debug(self, event: str, **fields: Any) -> None:
        """Logs a detail that is not needed to explain a failed request."""
        self._logger.debug(event, **fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Logs an event that explains the failure of a request."""
        self._logger.warning(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        """Logs an error of this process."""
        self._logger.error(event, **fields)

    def urgent(self, event: str, **fields: Any) -> None:
        """Logs an event before all others that wait, whatever their number."""
        if len(self._urgent) >= _MAX_QUEUED_URGENT:
            self._dropped[event] += 1
            return
        self._urgent.append(
            self._render(
                None, "", {**fields, "event": event, "level": "warning"}
            )
        )

    def refused(self, request_id: str, refusal: Refusal, **fields: Any) -> None:
        """Logs the refusal of a request."""
        self.warning(
            "refused",
            request=request_id,
            reason=refusal.reason.value,
            message=refusal.message,
            ran=refusal.ran.value,
            retry_after_s=refusal.retry_after_s,
            **fields,
        )

    def close(self, timeout_s: float) -> None:
        """Writes what is queued, also if its reader is slow.

        Args:
            timeout_s: Seconds after which the rest is given up.
        """
        self._reported_at = float("-inf")
        ends_at = time.monotonic() + timeout_s
        self.flush()
        while self._has_lines:
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                return
            select.select([], [self._descriptor], [], left_s)
            self.flush()

    def flush(self) -> None:
        """Writes queued lines until none is left or a write would block."""
        self._report_dropped()
        while self._has_lines:
            if not self._unwritten:
                self._unwritten = self._take_block()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                if not self._urgent or not self._enlarge_pipe():
                    return
                continue
            except OSError:
                # The reader has closed the log, so there is nowhere to log the
                # error.
                self._queue.lines.clear()
                self._urgent.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    @property
    def _has_lines(self) -> bool:
        return bool(self._urgent or self._queue.lines or self._unwritten)

    def _enlarge_pipe(self) -> bool:
        """Makes room in the pipe of a reader that is behind.

        What is in the pipe outlives the process.

        Returns:
            Whether there is more room.
        """
        if self._has_large_pipe:
            return False
        self._has_large_pipe = True
        with contextlib.suppress(OSError):
            # It may be a file or a socket, or the system grants less.
            fcntl.fcntl(self._descriptor, fcntl.F_SETPIPE_SZ, _LARGE_PIPE_BYTES)
            return True
        return False

    def _take_block(self) -> bytes:
        block = []
        size = 0
        while size < _BLOCK_BYTES:
            lines = self._urgent or self._queue.lines
            if not lines:
                break
            line = lines.popleft()
            size += len(line)
            block.append(line)
        return b"".join(block)

    def _drop_excess(
        self, logger: Any, method: str, fields: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Drops a line that exceeds the rate limit of its event."""
        del logger
        event = fields["event"]
        is_failure = method in {"warning", "error"}
        limit = self._rate_limits.get(event)
        if limit is None:
            limit = self._rate_limits[event] = _RateLimit(
                _WARNING_LINES_PER_S if is_failure else _INFO_LINES_PER_S
            )
        if not limit.allow(self._now()) or len(self._queue.lines) >= (
            _MAX_QUEUED_LINES if is_failure else _MAX_QUEUED_DECISIONS
        ):
            self._dropped[event] += 1
            raise structlog.DropEvent
        return fields

    def _render(
        self, logger: Any, method: str, fields: MutableMapping[str, Any]
    ) -> bytes:
        """Renders a line as JSON.

        `at` is monotonic and orders the lines of a node; `time` is the time of
        day and may jump.
        """
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
