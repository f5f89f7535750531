"""Measures how long a configuration takes to be in force at all nodes."""

import time
from collections.abc import Callable, Iterable


class ConfigurationSpread:
    """Time from the first to the last node that applies a configuration.

    The store does not say when it acknowledged a change; the first node hears
    of it one way over the network later. What other nodes apply is known with
    their reports.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._newest = 0
        self._first_at = 0.0
        self._spread_s = 0.0
        self._behind = 0

    @property
    def spread_s(self) -> float:
        """Seconds until the last node applied the newest configuration.

        While nodes have an older one, the time so far.
        """
        if self._behind:
            return self._now() - self._first_at
        return self._spread_s

    @property
    def nodes_behind(self) -> int:
        """Number of live nodes with an older configuration."""
        return self._behind

    @property
    def newest(self) -> int:
        """The operator's number of the newest configuration."""
        return self._newest

    def update(self, versions: Iterable[int]) -> bool:
        """Records what the live nodes apply.

        Args:
            versions: The operator's number of the configuration of each node,
                0 before the first. A node that has started has none, and is
                not counted until it has.

        Returns:
            Whether the last node now applies the newest configuration.
        """
        applied = [version for version in versions if version]
        newest = max(applied, default=0)
        if newest > self._newest:
            self._newest = newest
            self._first_at = self._now()
            self._behind = len(applied)
        behind = sum(version < self._newest for version in applied)
        has_spread = bool(self._behind) and behind == 0
        if has_spread:
            self._spread_s = self._now() - self._first_at
        self._behind = behind
        return has_spread
