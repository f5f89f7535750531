"""Selects the node that coordinates the upstreams of a service in a region."""

from collections.abc import Iterable

import xxhash

from tanagerport.gateway.table_readers import ReaderRank


def rank_coordinators(
    service: str, candidates: Iterable[tuple[str, ReaderRank]]
) -> list[str]:
    """Returns the hosts of a region in the order in which they coordinate.

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
        for host, _ in sorted(
            candidates,
            key=lambda candidate: (
                candidate[1].link_rank,
                xxhash.xxh32_intdigest(f"{service} {candidate[0]}"),
            ),
        )
    ]
