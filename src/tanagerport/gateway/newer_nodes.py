"""Nodes that have newer rows of a table, and when to fetch from them."""

import random
import time
from collections.abc import Callable

# If other nodes have had newer rows for this long, the connection to the store
# is presumed stalled and the call is cancelled. The timeout is randomized so
# that nodes that fall behind at the same time do not retry at the same time. It
# doubles with each cancelled call, as a call over a saturated link takes longer
# and would never complete with a constant timeout.
_BEHIND_TIMEOUT_BOUNDS_S = (0.3, 0.6)
_MAX_BEHIND_TIMEOUT_S = 3.0
# Time after which a follower fetches rows from another region, in seconds; by
# then a node of its own region has them, unless the region has no reader.
_REMOTE_FETCH_BOUNDS_S = (0.7, 1.2)


class NewerNodes:
    """Tracks the nodes that report newer rows than this node has.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._random = random.Random()
        # Hosts, and whether they are in another region.
        self._hosts: dict[str, bool] = {}
        self._remote_fetch_at: float | None = None
        self._behind_since: float | None = None
        self._behind_timeout_s = 0.0
        self._timeout_exponent = 0

    @property
    def is_empty(self) -> bool:
        """Whether no node is known to have newer rows."""
        return not self._hosts

    def add(self, host: str, is_remote: bool) -> None:
        """Adds a node.

        Args:
            host: Its IP address.
            is_remote: Whether it is in another region.
        """
        self._hosts[host] = is_remote

    def remove(self, host: str) -> None:
        """Removes a node that has no newer rows, or did not return them.

        Others may still have some, so the time for which this node has been
        behind goes on.
        """
        self._hosts.pop(host, None)
        if not self._hosts:
            self._behind_since = None

    def record_rows(self) -> None:
        """Records that this node got rows; newer ones are reported again."""
        self._hosts.clear()
        self._behind_since = None
        self._remote_fetch_at = None
        self._timeout_exponent = max(self._timeout_exponent - 1, 0)

    def select(self) -> str:
        """Returns a node to fetch from, of the own region if there is one."""
        local_hosts = [
            host for host, is_remote in self._hosts.items() if not is_remote
        ]
        return self._random.choice(local_hosts or list(self._hosts))

    def is_fetch_due(self, is_remote: bool) -> bool:
        """Returns whether a follower fetches from a node that it heard of.

        Args:
            is_remote: Whether the node is in another region.
        """
        if not is_remote:
            return True
        now = self._now()
        if self._remote_fetch_at is None:
            self._remote_fetch_at = now + self._random.uniform(
                *_REMOTE_FETCH_BOUNDS_S
            )
        return now >= self._remote_fetch_at

    def is_call_overdue(self) -> bool:
        """Returns whether a reader's call to the store is presumed stalled.

        The next call then gets more time.
        """
        now = self._now()
        if self._behind_since is None:
            self._behind_since = now
            self._behind_timeout_s = min(
                self._random.uniform(*_BEHIND_TIMEOUT_BOUNDS_S)
                * 2**self._timeout_exponent,
                _MAX_BEHIND_TIMEOUT_S,
            )
        elif now - self._behind_since > self._behind_timeout_s:
            self._behind_since = None
            self._timeout_exponent += 1
            return True
        return False
