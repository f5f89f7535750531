"""Bounds and interruptions of one call to an upstream."""

import select
import socket
import threading

from tanagerport.clock import Clock
from tanagerport.exceptions import AnswerInterruptedError, CallerGoneError
from tanagerport.model import RefusalReason

# Without a wakeup, a resumed call would not regain its progress bound.
_PAUSE_CHECK_S = 0.5
# Linux reports a peer's close only where it is asked for.
_CALLER_CLOSED = select.POLLRDHUP


class SilentConnectionError(Exception):
    """No byte arrived within the bound."""


class CallWatch:
    """Waits for bytes of one call within its bounds.

    The calling thread waits; any thread may pause, resume and cancel.

    Args:
        clock: Source of time.
        deadline_at: Monotonic seconds at which the call is ended.
        caller: Socket of the caller; its close ends the call.
    """

    def __init__(
        self,
        clock: Clock,
        deadline_at: float,
        caller: socket.socket | None = None,
    ) -> None:
        self._clock = clock
        self._deadline_at = deadline_at
        self._caller_fd = caller.fileno() if caller is not None else -1
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._upstream_fd = -1
        self._poller = select.poll()
        if self._caller_fd >= 0:
            self._poller.register(self._caller_fd, _CALLER_CLOSED)
        self._paused = False
        self._progress_at = clock.monotonic()
        self._cancelled: RefusalReason | None = None

    @property
    def deadline_at(self) -> float:
        """Monotonic seconds at which the call is ended."""
        return self._deadline_at

    @property
    def progress_at(self) -> float:
        """Monotonic seconds of the last progress."""
        return self._progress_at

    @property
    def is_paused(self) -> bool:
        """Whether the upstream paused the call."""
        return self._paused

    def attach(self, sock: socket.socket) -> None:
        """Sets the connection that carries the call."""
        with self._lock:
            self._socket = sock
            self._upstream_fd = sock.fileno()
            self._poller.register(self._upstream_fd, select.POLLIN)
        self.note_progress()

    def detach(self) -> None:
        """Releases the connection, which may carry another call next."""
        with self._lock:
            if self._socket is not None:
                self._poller.unregister(self._upstream_fd)
                self._socket = None

    def pause(self) -> None:
        """Suspends the progress bound."""
        self._paused = True

    def resume(self) -> None:
        """Restores the progress bound."""
        self.note_progress()
        self._paused = False

    def cancel(self, reason: RefusalReason) -> None:
        """Ends the call; its thread gets `AnswerInterruptedError`."""
        with self._lock:
            if self._cancelled is None:
                self._cancelled = reason
            if self._socket is not None:
                try:
                    self._socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    return  # It is already closed.

    def note_progress(self) -> None:
        """Restarts the progress bound."""
        self._progress_at = self._clock.monotonic()

    def check(self) -> None:
        """Raises if the call was cancelled or its deadline has passed.

        Raises:
            AnswerInterruptedError: The call must end.
        """
        if self._cancelled is not None:
            raise AnswerInterruptedError(
                "the request was cancelled by the node", self._cancelled
            )
        if self._clock.monotonic() >= self._deadline_at:
            raise AnswerInterruptedError(
                "the deadline passed before the answer ended",
                RefusalReason.DEADLINE_PASSED,
            )

    def check_caller(self) -> None:
        """Raises if the caller closed its connection.

        Raises:
            CallerGoneError: The caller is gone.
        """
        if self._caller_fd < 0:
            return
        poller = select.poll()
        poller.register(self._caller_fd, _CALLER_CLOSED)
        if poller.poll(0):
            raise CallerGoneError("the caller closed its connection")

    def after_read(self) -> float:
        """Notes that bytes arrived and checks the call.

        Returns:
            Monotonic seconds.

        Raises:
            AnswerInterruptedError: The call must end.
        """
        now = self._clock.monotonic()
        self._progress_at = now
        if self._cancelled is not None or now >= self._deadline_at:
            self.check()
        return now

    def after_silence(self, silence_s: float) -> float:
        """Checks a call for which no bytes arrived.

        Args:
            silence_s: Longest time without bytes, in seconds.

        Returns:
            Seconds until the deadline.

        Raises:
            AnswerInterruptedError: The call must end.
            SilentConnectionError: No byte arrived within the bound.
        """
        self.check()
        now = self._clock.monotonic()
        if self._paused:
            self._progress_at = now
        elif now - self._progress_at >= silence_s:
            raise SilentConnectionError
        return self._deadline_at - now

    def wait_readable(self, silence_s: float) -> None:
        """Waits until the connection has bytes or has ended.

        Args:
            silence_s: Longest time without bytes, in seconds.

        Raises:
            AnswerInterruptedError: The call must end.
            CallerGoneError: The caller closed its connection.
            SilentConnectionError: No byte arrived within the bound.
        """
        while True:
            self.check()
            now = self._clock.monotonic()
            wait_s = self._deadline_at - now
            if self._paused:
                wait_s = min(wait_s, _PAUSE_CHECK_S)
                self._progress_at = now
            else:
                left_s = self._progress_at + silence_s - now
                if left_s <= 0:
                    raise SilentConnectionError
                wait_s = min(wait_s, left_s)
            events = self._poller.poll(wait_s * 1000 + 1)
            for fd, _ in events:
                if fd == self._caller_fd:
                    raise CallerGoneError("the caller closed its connection")
            if events:
                self.check()
                return
