"""Clocks. Tests use a clock that moves only when told."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds."""

    def monotonic(self) -> float:
        """Returns seconds on a clock that never goes back."""

    def time(self) -> float:
        """Returns seconds since the epoch."""

    def sleep(self, seconds: float) -> None:
        """Blocks the calling thread."""


class SystemClock:
    """Clock of the operating system."""

    def monotonic(self) -> float:
        """Returns seconds of the monotonic clock."""
        return time.monotonic()

    def time(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Blocks the calling thread."""
        time.sleep(seconds)


class FakeClock:
    """Clock that moves only by `advance` and `sleep`."""

    def __init__(self, start: float = 1_000_000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Returns the fake time."""
        return self._now

    def time(self) -> float:
        """Returns the fake time."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Moves the clock in place of blocking."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by `seconds`."""
        self._now += seconds
