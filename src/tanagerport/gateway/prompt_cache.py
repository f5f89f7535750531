"""Estimate of which prompt parts each upstream has cached."""

import collections
import time
from collections.abc import Callable, Sequence

from tanagerport.gateway.domain import PromptPart

# Number of indexed parts; an entry takes a few hundred bytes.
_MAX_PARTS = 4096
# Engines evict the least recently used parts. After this time, most parts have
# been evicted.
_LIFETIME_S = 30.0


class PromptCacheIndex:
    """Time at which each upstream last processed a prompt part.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._read_times: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, upstream_id: str, parts: Sequence[PromptPart]) -> None:
        """Records that an upstream processed a prompt with these parts."""
        now = self._now()
        for part in parts:
            read_times = self._read_times.setdefault(part.part_id, {})
            read_times[upstream_id] = now
            self._read_times.move_to_end(part.part_id)
        while len(self._read_times) > _MAX_PARTS:
            self._read_times.popitem(last=False)

    def cached_tokens(
        self, upstream_id: str, parts: Sequence[PromptPart]
    ) -> int:
        """Returns the number of tokens in the cached prefix of a prompt."""
        oldest = self._now() - _LIFETIME_S
        tokens = 0
        for part in parts:
            read_at = self._read_times.get(part.part_id, {}).get(upstream_id)
            if read_at is None or read_at < oldest:
                break
            tokens += part.tokens
        return tokens

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes the entries of an upstream that no longer exists."""
        for read_times in self._read_times.values():
            read_times.pop(upstream_id, None)
