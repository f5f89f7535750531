"""Core of the engine simulator: batching, prefix cache and versions."""

import asyncio
import collections
import dataclasses
import random
import time
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence

from tanagerport.prefix_cache import BLOCK_BYTES, block_hashes

_BYTES_PER_TOKEN = 4
_BLOCK_TOKENS = BLOCK_BYTES // _BYTES_PER_TOKEN
_KEPT_EVENTS = 2048
_KEPT_LOAD_REPORTS = 4096


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """Speed and limits of a simulated engine.

    Attributes:
        step_s: Seconds of one decoding step of an empty batch.
        step_per_request_s: Further seconds for each request of the batch.
        prefill_s_per_token: Seconds of prefill for each uncached token; the
            whole batch waits for it.
        prefill_chunk_tokens: Tokens that one step prefills at most.
        max_batch: Requests that decode at once; others wait in the engine.
        cache_blocks: Blocks of 256 bytes that the prefix cache holds.
        load_lag_s: Age of load reports, in seconds.
        event_lag_s: Seconds until a cache event can be read.
        event_loss: Share of cache events that are never reported.
        load_time_s: Seconds that loading a version takes.
        checks_fencing: Whether orders with an old fencing token are refused.
    """

    step_s: float = 0.004
    step_per_request_s: float = 0.0005
    prefill_s_per_token: float = 0.00005
    prefill_chunk_tokens: int = 2048
    max_batch: int = 16
    cache_blocks: int = 1024
    load_lag_s: float = 0.3
    event_lag_s: float = 0.2
    event_loss: float = 0.02
    load_time_s: float = 1.0
    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class VersionFault:
    """Fault of one version of a model.

    Attributes:
        version: Version with the fault.
        model: Only this model; empty for all.
        error_rate: Share of requests that fail.
        slow_factor: How much longer prefill and tokens take.
        from_time: Monotonic seconds when the fault begins.
        above_batch: Only while more requests than this run.
        class_name: Only requests of this class; empty for all.
    """

    version: str
    model: str = ""
    error_rate: float = 0.0
    slow_factor: float = 1.0
    from_time: float = 0.0
    above_batch: int = -1
    class_name: str = ""


@dataclasses.dataclass(frozen=True)
class EngineFaults:
    """Faults of an engine, set at run time.

    Attributes:
        slow_factor: How much longer every step takes.
        fail: Every request gets `500`.
        hang: No answer and no token, as if the process were stopped.
        truncate_after: Streams end after this many tokens without an end
            marker; 0 turns it off.
        leaving: The engine says that it is leaving.
        stale_load: Load reports stay as they were when this was set.
        not_started: Every request gets `503` with `X-Not-Started`.
        version_faults: Faults of single versions.
    """

    slow_factor: float = 1.0
    fail: bool = False
    hang: bool = False
    truncate_after: int = 0
    leaving: bool = False
    stale_load: bool = False
    not_started: bool = False
    version_faults: tuple[VersionFault, ...] = ()


@dataclasses.dataclass
class LogEntry:
    """What the engine knows of one request; times are monotonic seconds."""

    request_id: str
    key: str
    customer: str
    class_name: str
    model: str
    version: str
    marker: str
    started: float
    ended: float | None = None
    outcome: str = "running"
    first_token_at: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    prefilled_tokens: int = 0
    output_tokens: int = 0
    complete: bool = False
    pauses: list[list[float]] = dataclasses.field(default_factory=list)


class Generation:
    """A request in the engine.

    Args:
        entry: Entry of the engine's log.
        prompt: Whole prompt.
        output_tokens: Tokens of the answer.
        on_token: Called with the position of each token.
        on_end: Called with the outcome; never after `on_disconnect`.
    """

    def __init__(
        self,
        entry: LogEntry,
        prompt: str,
        output_tokens: int,
        on_token: Callable[[int], None],
        on_end: Callable[[str], None],
    ) -> None:
        encoded = prompt.encode()
        self.entry = entry
        self.hashes = block_hashes(prompt)
        self.checksum = zlib.crc32(encoded)
        self.output_tokens = output_tokens
        self.on_token = on_token
        self.on_end = on_end
        self.prefill_left = max(1, len(encoded) // _BYTES_PER_TOKEN)
        self.admitted = False
        self.credit = 0.0
        entry.prompt_tokens = self.prefill_left

    @property
    def decoding(self) -> bool:
        """Whether the prompt is prefilled."""
        return self.prefill_left <= 0


class PrefixCache:
    """Prefix blocks in least-recently-used order, with lagging events.

    Args:
        profile: Size of the cache, lag and loss of events.
        seed: Seed of the choice of lost events.
    """

    def __init__(self, profile: EngineProfile, seed: int) -> None:
        self._profile = profile
        self._random = random.Random(seed)
        self._blocks: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[tuple[float, dict[str, object]]] = (
            collections.deque(maxlen=_KEPT_EVENTS)
        )
        self._sequence = 0

    def cached_blocks(self, hashes: Sequence[int]) -> int:
        """Returns how many leading blocks are cached, and uses them."""
        count = 0
        for item in hashes:
            if item not in self._blocks:
                break
            self._blocks.move_to_end(item)
            count += 1
        return count

    def store(self, model: str, hashes: Iterable[int]) -> None:
        """Adds blocks and evicts the least recently used ones."""
        for item in hashes:
            if item not in self._blocks:
                self._report("stored", model, item)
            self._blocks[item] = model
            self._blocks.move_to_end(item)
        while len(self._blocks) > self._profile.cache_blocks:
            evicted, owner = self._blocks.popitem(last=False)
            self._report("evicted", owner, evicted)

    def events_since(self, since: int) -> dict[str, object]:
        """Returns the document of `GET /cache-events`."""
        visible_before = time.monotonic() - self._profile.event_lag_s
        visible = [event for at, event in self._events if at <= visible_before]
        oldest = visible[0]["sequence"] if visible else 1
        newest = visible[-1]["sequence"] if visible else 0
        assert isinstance(oldest, int)
        assert isinstance(newest, int)
        fresh = [
            event
            for event in visible
            if isinstance(event["sequence"], int) and event["sequence"] > since
        ]
        return {
            "events": fresh,
            "next": max(since, newest),
            "gap": since + 1 < oldest,
        }

    def _report(self, kind: str, model: str, prefix_hash: int) -> None:
        self._sequence += 1
        if self._random.random() < self._profile.event_loss:
            return
        event: dict[str, object] = {
            "sequence": self._sequence,
            "type": kind,
            "model": model,
            "prefix_hash": prefix_hash,
        }
        self._events.append((time.monotonic(), event))


class BatchEngine:
    """Continuous batching in an event loop.

    Args:
        profile: Speed and limits.
        seed: Seed of lost cache events.
    """

    def __init__(self, profile: EngineProfile, seed: int = 0) -> None:
        self.profile = profile
        self.faults = EngineFaults()
        self.cache = PrefixCache(profile, seed)
        self.log: list[LogEntry] = []
        self._waiting: list[Generation] = []
        self._batch: list[Generation] = []
        self._paused: dict[str, Generation] = {}
        self._wake = asyncio.Event()
        self._loads: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_KEPT_LOAD_REPORTS)
        )
        self._stale_since: float | None = None

    def set_faults(self, faults: EngineFaults) -> None:
        """Replaces the faults."""
        if faults.stale_load and not self.faults.stale_load:
            self._stale_since = time.monotonic()
        elif not faults.stale_load:
            self._stale_since = None
        self.faults = faults
        self._wake.set()

    def submit(self, generation: Generation) -> None:
        """Takes a request; it waits until the batch has room."""
        self._waiting.append(generation)
        self._note_load()
        self._wake.set()

    def version_fault(self, entry: LogEntry) -> VersionFault | None:
        """Returns the fault that applies to a request now."""
        for fault in self.faults.version_faults:
            if (
                fault.version == entry.version
                and fault.model in ("", entry.model)
                and fault.class_name in ("", entry.class_name)
                and time.monotonic() >= fault.from_time
                and len(self._batch) > fault.above_batch
            ):
                return fault
        return None

    def change(self, request_id: str, action: str) -> str:
        """Cancels, pauses or resumes a request and returns its state."""
        generation = self._find(request_id)
        if generation is None:
            return "unknown"
        if action == "cancel":
            self.end(generation, "cancelled")
            generation.on_end("cancelled")
            return "cancelled"
        if action == "pause":
            self._pause(generation)
            return "paused"
        self._resume(generation)
        return "running"

    def end(self, generation: Generation, outcome: str) -> None:
        """Removes a request and records its outcome."""
        self._remove(generation)
        entry = generation.entry
        if entry.ended is None:
            entry.ended = time.monotonic()
            entry.outcome = outcome
            entry.complete = outcome == "complete"
            if entry.pauses and len(entry.pauses[-1]) == 1:
                entry.pauses[-1].append(entry.ended)
        self._note_load()

    def load(self) -> dict[str, object]:
        """Returns running and waiting requests as they were a lag ago."""
        now = time.monotonic()
        reported_at = now - self.profile.load_lag_s
        if self._stale_since is not None:
            reported_at = min(reported_at, self._stale_since)
        running = waiting = 0
        for at, run, wait in reversed(self._loads):
            if at <= reported_at:
                running, waiting = run, wait
                break
        return {
            "running": running,
            "waiting": waiting,
            "max_batch": self.profile.max_batch,
            "age_s": round(now - reported_at, 3),
        }

    async def run(self) -> None:
        """Runs decoding steps until cancelled."""
        due = time.monotonic()
        while True:
            if self.faults.hang or not (self._waiting or self._batch):
                self._wake.clear()
                await self._wake.wait()
                due = time.monotonic()
                continue
            self._admit()
            prefilled = self._plan_prefill()
            # A step is due relative to the one before, so that late timers
            # do not make the simulated engine slower than its profile.
            due += self._step_seconds(prefilled)
            due = max(due, time.monotonic() - 0.005)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not self.faults.hang:
                self._finish_step(prefilled)

    def _step_seconds(self, prefilled: Mapping[Generation, int]) -> float:
        profile = self.profile
        prefill_s = 0.0
        for generation, tokens in prefilled.items():
            fault = self.version_fault(generation.entry)
            factor = fault.slow_factor if fault else 1.0
            prefill_s += tokens * profile.prefill_s_per_token * factor
        decoding_s = profile.step_s
        decoding_s += profile.step_per_request_s * len(self._batch)
        return (decoding_s + prefill_s) * self.faults.slow_factor

    def _admit(self) -> None:
        while self._waiting and len(self._batch) < self.profile.max_batch:
            generation = self._waiting.pop(0)
            self._batch.append(generation)
            if not generation.admitted:
                generation.admitted = True
                self._use_cache(generation)
        self._note_load()

    def _use_cache(self, generation: Generation) -> None:
        entry = generation.entry
        blocks = self.cache.cached_blocks(generation.hashes)
        # The last token is always computed, as in real engines.
        entry.cached_tokens = min(
            blocks * _BLOCK_TOKENS, entry.prompt_tokens - 1
        )
        generation.prefill_left = entry.prompt_tokens - entry.cached_tokens

    def _plan_prefill(self) -> dict[Generation, int]:
        budget = self.profile.prefill_chunk_tokens
        planned: dict[Generation, int] = {}
        for generation in self._batch:
            if not generation.decoding and budget > 0:
                planned[generation] = min(budget, generation.prefill_left)
                budget -= planned[generation]
        return planned

    def _finish_step(self, prefilled: Mapping[Generation, int]) -> None:
        for generation, tokens in prefilled.items():
            generation.prefill_left -= tokens
            generation.entry.prefilled_tokens += tokens
            if generation.decoding:
                self.cache.store(generation.entry.model, generation.hashes)
        for generation in list(self._batch):
            if generation.decoding and self._produces(generation):
                self._produce(generation)

    def _produces(self, generation: Generation) -> bool:
        fault = self.version_fault(generation.entry)
        generation.credit += 1.0 / (fault.slow_factor if fault else 1.0)
        if generation.credit < 1.0:
            return False
        generation.credit -= 1.0
        return True

    def _produce(self, generation: Generation) -> None:
        entry = generation.entry
        if entry.first_token_at is None:
            entry.first_token_at = time.monotonic()
        generation.on_token(entry.output_tokens)
        entry.output_tokens += 1
        truncate_after = self.faults.truncate_after
        if entry.output_tokens >= generation.output_tokens:
            outcome = "complete"
        elif truncate_after and entry.output_tokens >= truncate_after:
            outcome = "truncated"
        else:
            return
        self.end(generation, outcome)
        generation.on_end(outcome)

    def _pause(self, generation: Generation) -> None:
        if generation.entry.request_id not in self._paused:
            self._remove(generation)
            self._paused[generation.entry.request_id] = generation
            generation.entry.pauses.append([time.monotonic()])
            self._note_load()

    def _resume(self, generation: Generation) -> None:
        if self._paused.pop(generation.entry.request_id, None) is not None:
            generation.entry.pauses[-1].append(time.monotonic())
            self._waiting.insert(0, generation)
            self._note_load()
            self._wake.set()

    def _find(self, request_id: str) -> Generation | None:
        if request_id in self._paused:
            return self._paused[request_id]
        for generation in (*self._batch, *self._waiting):
            if generation.entry.request_id == request_id:
                return generation
        return None

    def _remove(self, generation: Generation) -> None:
        for place in (self._batch, self._waiting):
            if generation in place:
                place.remove(generation)
        if self._paused.get(generation.entry.request_id) is generation:
            del self._paused[generation.entry.request_id]

    def _note_load(self) -> None:
        state = (time.monotonic(), len(self._batch), len(self._waiting))
        if not self._loads or self._loads[-1][1:] != state[1:]:
            self._loads.append(state)


def expected_token(checksum: int, index: int) -> str:
    """Returns the token that an engine produces for a prompt.

    Args:
        checksum: CRC-32 of the prompt.
        index: Position in the answer.
    """
    return f"{checksum:08x}-{index} "


def expected_text(prompt: str, output_tokens: int) -> str:
    """Returns the whole answer that an engine produces for a prompt."""
    checksum = zlib.crc32(prompt.encode())
    return "".join(
        expected_token(checksum, index) for index in range(output_tokens)
    )
