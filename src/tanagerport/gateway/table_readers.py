"""Selects the nodes of a region that read tables from the store.

The selected nodes are readers. The other nodes, the followers, fetch rows
from them.
"""

import zlib
from collections.abc import Iterable

import msgspec

# Followers get changes late only if all readers lose their connections to the
# store within one wait for changes.
READERS_PER_REGION = 6
# A reader whose last response is older may have lost the store. Its call waits
# up to `MAX_READER_WAIT_S`, and its report is up to 0.6 s old.
_MAX_READER_AGE_S = 2.5
# Longest wait of a reader's call for changes while it has followers, so that
# they detect a stalled connection before a change is late.
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

    Every node decides on its own from the reports that it receives. A node
    that knows too few readers of lower rank is a reader itself, so a node
    that is partitioned from the others reads from the store.

    Args:
        own_rank: Rank of this node.
        candidates: Rank of each live node of the region, and the seconds since
            the store last responded to it.

    Returns:
        Age of the most recent data in seconds; None if this node is a reader.
    """
    ages = [
        age_s
        for rank, age_s in candidates
        if rank < own_rank and age_s <= _MAX_READER_AGE_S
    ]
    return min(ages) if len(ages) >= READERS_PER_REGION else None
