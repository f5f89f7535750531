"""Selects the node that coordinates the upstreams of a service in a region."""

import functools
import heapq
from collections.abc import Iterable

import xxhash

from tanagerport.gateway.table_readers import ReaderRank

# Nodes that are ranked. The first one that is live coordinates; the others are
# asked while the first one does not answer.
_MAX_RANKED = 4
# A region has hundreds of nodes, and a node some services.
_MAX_CACHED_HASHES = 4096


def rank_coordinators(
    service: str, candidates: Iterable[tuple[str, ReaderRank]]
) -> list[str]:
    """Returns the first hosts in the order in which they coordinate.

    Nodes with fast links come first, as all requests of the region for the
    service ask the first one. Among nodes of equal bandwidth, rendezvous
    hashing gives each service another coordinator, and moves few of them when
    a node leaves.

    Args:
        service: Service to coordinate.
        candidates: Host and rank of each live node of the region.
    """
    return [
        host
        for _, _, host in heapq.nsmallest(
            _MAX_RANKED,
            (
                (rank.link_rank, _hash(service, host), host)
                for host, rank in candidates
            ),
        )
    ]


@functools.lru_cache(_MAX_CACHED_HASHES)
def _hash(service: str, host: str) -> int:
    return xxhash.xxh32_intdigest(f"{service} {host}")
