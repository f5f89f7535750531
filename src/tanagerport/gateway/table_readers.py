"""Selects the nodes of a region that read tables from the store.

The selected nodes are readers. The other nodes, the followers, fetch rows
from them.
"""

import zlib
from collections.abc import Iterable

import msgspec

# With this many readers, followers get a change late only if the connections of
# all of them stall within the same wait for changes.
READERS_PER_REGION = 6
# A reader whose last response from the store is older may be cut off from it.
# The limit allows for the wait of its call, up to `MAX_READER_WAIT_S`, and the
# age of its report, up to 0.6 s.
MAX_READER_AGE_S = 2.5
# Maximum wait of a reader's call for changes in a region that has followers, so
# that a stalled connection is detected before a change is late.
MAX_READER_WAIT_S = 1.5


class ReaderRank(msgspec.Struct, frozen=True, order=True):
    """Order in which nodes of a region are selected as readers, lowest first.

    Attributes:
        link_rank: Negative link bandwidth: nodes with fast links come first,
            as readers serve the followers.
        hash: Hash of the address, which orders nodes of equal bandwidth.
    """

    link_rank: float
    hash: int


def reader_rank(host: str, link_mbps: float) -> ReaderRank:
    """Returns the rank of a node from its address and bandwidth in Mbit/s."""
    return ReaderRank(-link_mbps, zlib.crc32(host.encode()))


def follower_age_s(
    own_rank: ReaderRank, candidates: Iterable[tuple[ReaderRank, float]]
) -> float | None:
    """Returns the age of a table at the readers that this node follows.

    Every node decides on its own, from the reports that it receives. A node
    is a reader unless `READERS_PER_REGION` candidates rank before it, so a
    node that is partitioned from the others reads from the store.

    Args:
        own_rank: Rank of this node.
        candidates: Rank of each other live node of the region, and the seconds
            since the store last responded to it.

    Returns:
        Seconds since the store last responded to any of these readers; None if
        this node is a reader itself.
    """
    ages = [
        age_s
        for rank, age_s in candidates
        if rank < own_rank and age_s <= MAX_READER_AGE_S
    ]
    return min(ages) if len(ages) >= READERS_PER_REGION else None
