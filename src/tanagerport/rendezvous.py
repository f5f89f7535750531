"""Rendezvous hashing: choices that all nodes make alike without messages."""

from collections.abc import Iterable

import xxhash


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in the order of their weight for a key.

    A name that joins or leaves does not change the order of the others.
    """
    return sorted(
        names,
        key=lambda name: (xxhash.xxh64_intdigest(f"{key}\0{name}"), name),
        reverse=True,
    )
