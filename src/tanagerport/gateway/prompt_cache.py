"""Guess of which upstream still holds which part of a prompt."""

import collections
import time
from collections.abc import Callable, Sequence

from tanagerport.gateway.domain import PromptPart

# Parts that are remembered; a few hundred bytes each.
_MAX_PARTS = 4096
# Engines drop the parts that were used least recently; after this time a
# part has mostly yielded.
_LIFETIME_S = 30.0


class PromptCacheMap:
    """Parts of prompts by the upstream that read them last.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._readers: collections.OrderedDict[str, dict[str, float]] = (
            collections.OrderedDict()
        )

    def record(self, upstream_id: str, parts: Sequence[PromptPart]) -> None:
        """Records that an upstream read the parts."""
        now = self._now()
        for part in parts:
            readers = self._readers.setdefault(part.part_id, {})
            readers[upstream_id] = now
            self._readers.move_to_end(part.part_id)
        while len(self._readers) > _MAX_PARTS:
            self._readers.popitem(last=False)

    def cached_tokens(
        self, upstream_id: str, parts: Sequence[PromptPart]
    ) -> int:
        """Returns the tokens at the start of a prompt that are cached."""
        oldest = self._now() - _LIFETIME_S
        tokens = 0
        for part in parts:
            read_at = self._readers.get(part.part_id, {}).get(upstream_id)
            if read_at is None or read_at < oldest:
                break
            tokens += part.tokens
        return tokens

    def forget(self, upstream_id: str) -> None:
        """Drops the parts of an upstream that is gone."""
        for readers in self._readers.values():
            readers.pop(upstream_id, None)
