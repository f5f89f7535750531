"""Selects the nodes through which a table is read from a distant store.

The readers of a region that is far from the store watch a table at readers of
the nearest region. The link between the regions then carries each change
compressed, and not once for each reader as the store encodes it.
"""

import random
import time
from collections.abc import Callable, Sequence

# A store whose round trip takes less is near, whatever that of other nodes, in
# seconds.
_MIN_FAR_ROUND_TRIP_S = 0.005
# A node is nearer to the store than another one if its round trip takes at most
# this share.
_NEARER_SHARE = 0.5
# Time for which a node reads from the store itself after a relay failed, in
# seconds; randomized, so that not all of them return at once.
_DIRECT_BOUNDS_S = (1.0, 3.0)


def is_nearer(round_trip_s: float, own_round_trip_s: float) -> bool:
    """Returns whether a node is much nearer to the store than this one.

    Args:
        round_trip_s: Its round trip to the store, in seconds; 0 if unknown.
        own_round_trip_s: That of this node.
    """
    return (
        own_round_trip_s > _MIN_FAR_ROUND_TRIP_S
        and 0 < round_trip_s <= _NEARER_SHARE * own_round_trip_s
    )


class TableRelays:
    """Selects the relay of each call.

    Args:
        find_hosts: Returns the IP addresses of the nodes that may relay.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        find_hosts: Callable[[], Sequence[str]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._find_hosts = find_hosts
        self._now = now
        self._random = random.Random()
        self._direct_until = float("-inf")

    def select(self) -> str | None:
        """Returns the node to call; None to call the store."""
        if self._now() < self._direct_until:
            return None
        hosts = self._find_hosts()
        return self._random.choice(hosts) if hosts else None

    def record_failure(self) -> None:
        """Records that a relay did not respond or had no confirmed rows."""
        self._direct_until = self._now() + self._random.uniform(
            *_DIRECT_BOUNDS_S
        )
