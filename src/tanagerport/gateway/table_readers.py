"""Which nodes of a region follow a table of the store themselves."""

import zlib
from collections.abc import Iterable

import msgspec

# Nodes of a region that follow the store. With fewer all of them would have to
# fall silent within one wait before the others are late.
READERS = 6
# A reader whose last answer is older than this may have lost the store. Its
# call waits up to `FOLLOWED_WAIT_S`, and its report is up to 0.6 s old.
_FRESH_S = 2.5
# Longest wait of a reader's call while other nodes rely on it, in seconds, so
# that they notice a connection that fell silent before a change is late.
FOLLOWED_WAIT_S = 1.5


class ReaderRank(msgspec.Struct, frozen=True, order=True):
    """Order in which the nodes of a region become readers.

    Attributes:
        link_rank: Smaller with a wider link, as readers serve the others.
        hash: Spreads nodes with links of one width.
    """

    link_rank: float
    hash: int


def reader_rank(host: str, link_mbps: float) -> ReaderRank:
    """Returns the rank of a node by its address and its link in Mbit/s."""
    return ReaderRank(-link_mbps, zlib.crc32(host.encode()))


def followed_age_s(
    own: ReaderRank, others: Iterable[tuple[ReaderRank, float]]
) -> float | None:
    """Returns how old the table is at the readers that a node may rely on.

    Every node decides for itself from the reports that it hears. One that
    hears of too few readers before it in the order is a reader, so a node
    that is cut off from the others follows the store.

    Args:
        own: Rank of this node.
        others: Rank of each other node of the region that reports, and the
            seconds since the store last answered it.

    Returns:
        The age in seconds; None if this node has to be a reader.
    """
    ages = [age_s for rank, age_s in others if rank < own and age_s <= _FRESH_S]
    return min(ages) if len(ages) >= READERS else None
