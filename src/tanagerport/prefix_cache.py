"""Estimate of which upstream holds which prompt prefix."""

import collections
import dataclasses
import threading
from collections.abc import Iterable, Mapping, Sequence

import xxhash

from tanagerport.clock import Clock

BLOCK_BYTES = 256
# Longer prompts are matched by their first 16 KiB.
MAX_BLOCKS = 64
_HALF_LIFE_S = 60.0
_MAX_BLOCKS_KEPT = 16_384
# A prefix that every upstream holds says nothing for routing, and each holder
# costs time in every look-up.
_MAX_HOLDERS = 8
# Guesses older than about four half-lives are ignored.
_MIN_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A change of an engine's prefix cache, as the engine published it.

    Attributes:
        stored: Whether the block was stored; otherwise it was evicted.
        model: Model of the block.
        prefix_hash: Hash of the block, as `block_hashes` computes it.
    """

    stored: bool
    model: str
    prefix_hash: int


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Returns chained 64-bit hashes of the whole blocks of a prompt.

    Args:
        prompt: Prompt text; its UTF-8 bytes are hashed.

    Returns:
        One hash for each whole block of 256 bytes. Each covers all bytes
        before the end of its block.
    """
    data = prompt[: MAX_BLOCKS * BLOCK_BYTES].encode()
    hashes = []
    previous = 0
    count = min(len(data) // BLOCK_BYTES, MAX_BLOCKS)
    for start in range(0, count * BLOCK_BYTES, BLOCK_BYTES):
        block = data[start : start + BLOCK_BYTES]
        previous = xxhash.xxh64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


class PrefixIndex:
    """Maps prompt blocks to the upstreams that probably hold them.

    Args:
        clock: Source of time.
        max_blocks: Blocks kept; the least recently used are dropped.
    """

    def __init__(
        self, clock: Clock, max_blocks: int = _MAX_BLOCKS_KEPT
    ) -> None:
        self._clock = clock
        self._max_blocks = max_blocks
        self._lock = threading.Lock()
        self._blocks: collections.OrderedDict[
            tuple[str, int], dict[str, float]
        ] = collections.OrderedDict()
        # Blocks seen at an upstream before this moment are forgotten.
        self._valid_from: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def add(self, upstream_id: str, model: str, hashes: Sequence[int]) -> None:
        """Records that an upstream was sent a prompt."""
        now = self._clock.monotonic()
        with self._lock:
            for block in hashes:
                self._put(upstream_id, (model, block), now)
            while len(self._blocks) > self._max_blocks:
                self._blocks.popitem(last=False)

    def cached_bytes(
        self, model: str, hashes: Sequence[int]
    ) -> Mapping[str, float]:
        """Returns the expected bytes of the prompt's cached prefix.

        Args:
            model: Model of the prompt.
            hashes: Blocks of the prompt.

        Returns:
            Bytes by upstream, weighted by the age of the guess. Upstreams
            that hold nothing are left out.
        """
        if not hashes:
            return {}
        now = self._clock.monotonic()
        expected: dict[str, float] = {}
        with self._lock:
            for block in hashes:
                holders = self._blocks.get((model, block))
                if not holders:
                    break
                self._blocks.move_to_end((model, block))
                for upstream_id, seen_at in holders.items():
                    weight = self._weight(upstream_id, seen_at, now)
                    if weight > _MIN_WEIGHT:
                        expected[upstream_id] = (
                            expected.get(upstream_id, 0.0)
                            + weight * BLOCK_BYTES
                        )
        return expected

    def correct(
        self,
        upstream_id: str,
        model: str,
        hashes: Sequence[int],
        cached_bytes: float,
    ) -> None:
        """Drops blocks that the engine turned out not to hold.

        Args:
            upstream_id: Upstream that served the prompt.
            model: Model of the prompt.
            hashes: Blocks of the prompt that were expected in its cache.
            cached_bytes: Bytes that the engine reported as cached.
        """
        first_missing = int(cached_bytes // BLOCK_BYTES)
        with self._lock:
            for block in hashes[first_missing:]:
                self._drop(upstream_id, (model, block))

    def apply_events(
        self, upstream_id: str, events: Iterable[CacheEvent], gap: bool
    ) -> None:
        """Takes published cache events.

        Args:
            upstream_id: Upstream that published them.
            events: Events in order.
            gap: Whether events before these were lost. Evictions may be
                among them, so all that is known of the upstream is dropped.
        """
        now = self._clock.monotonic()
        with self._lock:
            if gap:
                self._valid_from[upstream_id] = now
            for event in events:
                key = (event.model, event.prefix_hash)
                if event.stored:
                    self._put(upstream_id, key, now)
                else:
                    self._drop(upstream_id, key)
            while len(self._blocks) > self._max_blocks:
                self._blocks.popitem(last=False)

    def forget(self, upstream_id: str) -> None:
        """Drops all that is known of an upstream, for example when gone."""
        with self._lock:
            self._valid_from.pop(upstream_id, None)
            for holders in self._blocks.values():
                holders.pop(upstream_id, None)

    def _weight(self, upstream_id: str, seen_at: float, now: float) -> float:
        if seen_at < self._valid_from.get(upstream_id, 0.0):
            return 0.0
        return 0.5 ** ((now - seen_at) / _HALF_LIFE_S)

    def _put(self, upstream_id: str, key: tuple[str, int], now: float) -> None:
        holders = self._blocks.get(key)
        if holders is None:
            holders = self._blocks[key] = {}
        else:
            self._blocks.move_to_end(key)
        holders.pop(upstream_id, None)
        holders[upstream_id] = now
        if len(holders) > _MAX_HOLDERS:
            del holders[next(iter(holders))]

    def _drop(self, upstream_id: str, key: tuple[str, int]) -> None:
        holders = self._blocks.get(key)
        if holders is None:
            return
        holders.pop(upstream_id, None)
        if not holders:
            del self._blocks[key]
