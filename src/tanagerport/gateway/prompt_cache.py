"""Estimate of which prompt parts each upstream has cached."""

import collections
import time
from collections.abc import Callable, Sequence

from tanagerport.gateway.domain import PromptPart

# Maximum number of indexed parts; each takes a few hundred bytes.
_MAX_PARTS = 4096
# Time after which a part is assumed to be evicted, in seconds. Engines evict
# the least recently used parts; most are gone by then.
_ENTRY_LIFETIME_S = 30.0


class PromptCacheIndex:
    """Time at which each upstream last processed a prompt part.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._processed_at: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, upstream_id: str, parts: Sequence[PromptPart]) -> None:
        """Records that an upstream processed a prompt with these parts."""
        now = self._now()
        for part in parts:
            times_by_upstream = self._processed_at.setdefault(part.part_id, {})
            times_by_upstream[upstream_id] = now
            self._processed_at.move_to_end(part.part_id)
        while len(self._processed_at) > _MAX_PARTS:
            self._processed_at.popitem(last=False)

    def cached_tokens(
        self, upstream_id: str, parts: Sequence[PromptPart]
    ) -> int:
        """Returns the number of tokens in the cached prefix of a prompt."""
        oldest_at = self._now() - _ENTRY_LIFETIME_S
        tokens = 0
        for part in parts:
            processed_at = self._processed_at.get(part.part_id, {}).get(
                upstream_id
            )
            if processed_at is None or processed_at < oldest_at:
                break
            tokens += part.tokens
        return tokens

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes the entries of an upstream that no longer exists."""
        for times_by_upstream in self._processed_at.values():
            times_by_upstream.pop(upstream_id, None)
