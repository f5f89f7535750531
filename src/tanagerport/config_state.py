"""Configuration in force on this node: only ever moves upward."""

import collections
import dataclasses
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec
import structlog
import xxhash

from tanagerport.clock import Clock
from tanagerport.config_records import (
    CLASS_PREFIX,
    CONVICTION_PREFIX,
    MOVE_PREFIX,
    ConfigEntry,
    Conviction,
    conviction_key,
    decode_value,
)
from tanagerport.model import VersionMove, WorkClass

_HISTORY_LENGTH = 64

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class AppliedVersion:
    """When a configuration version came into force on this node.

    Attributes:
        version: Configuration version.
        accepted_at: Epoch seconds when it was accepted.
        applied_at: Epoch seconds when this node applied it.
    """

    version: int
    accepted_at: float
    applied_at: float

    @property
    def lag_s(self) -> float:
        """Seconds from acceptance to application."""
        return max(0.0, self.applied_at - self.accepted_at)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """Configuration at one moment; never changes."""

    version: int
    records: Mapping[str, ConfigEntry]
    classes: Mapping[str, WorkClass]
    moves: Mapping[str, VersionMove]
    convictions: Mapping[tuple[str, str], str]
    convictions_digest: int

    def revision(self, key: str) -> int:
        """Returns the revision of a record; 0 if there is none."""
        entry = self.records.get(key)
        return entry.revision if entry else 0


class ConfigurationState:
    """Holds the snapshot in force. Safe for concurrent use.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._snapshot = Snapshot(0, {}, {}, {}, {}, 0)
        self._learned_at: dict[tuple[str, str], float] = {}
        self._history: collections.deque[AppliedVersion] = collections.deque(
            maxlen=_HISTORY_LENGTH
        )
        self._listeners: list[Callable[[], None]] = []

    @property
    def snapshot(self) -> Snapshot:
        """Configuration in force."""
        return self._snapshot

    @property
    def history(self) -> Sequence[AppliedVersion]:
        """Latest applied versions, oldest first."""
        with self._lock:
            return tuple(self._history)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change, in the changing thread."""
        self._listeners.append(listener)

    def merge(self, entries: Iterable[ConfigEntry], version: int) -> bool:
        """Applies records that are newer than those in force.

        Args:
            entries: Records, in any order.
            version: All changes up to this version are in `entries` or in
                force already.

        Returns:
            Whether anything changed.
        """
        with self._lock:
            newer = self._newer(entries)
            old = self._snapshot
            if not newer and version <= old.version:
                return False
            self._snapshot = _apply(old, newer, max(version, old.version))
            self._note_applied(old.version, newer)
        self._notify()
        return True

    def add_convictions(self, items: Iterable[Conviction]) -> bool:
        """Adds convictions; returns whether any is new."""
        with self._lock:
            old = self._snapshot
            known = dict(old.convictions)
            for item in items:
                pair = (item.model, item.version)
                if pair not in known:
                    known[pair] = item.reason
                    self._learned_at[pair] = self._clock.monotonic()
            if len(known) == len(old.convictions):
                return False
            self._snapshot = dataclasses.replace(
                old, convictions=known, convictions_digest=_digest(known)
            )
        self._notify()
        return True

    def unsaved_convictions(self) -> Sequence[Conviction]:
        """Returns convictions that no known record holds."""
        snapshot = self._snapshot
        return [
            Conviction(model, version, reason)
            for (model, version), reason in snapshot.convictions.items()
            if conviction_key(model, version) not in snapshot.records
        ]

    def recent_convictions(self, within_s: float) -> Sequence[Conviction]:
        """Returns convictions that were learned lately."""
        oldest = self._clock.monotonic() - within_s
        with self._lock:
            return [
                Conviction(*pair, self._snapshot.convictions[pair])
                for pair, at in self._learned_at.items()
                if at >= oldest
            ]

    def _newer(self, entries: Iterable[ConfigEntry]) -> dict[str, ConfigEntry]:
        newer: dict[str, ConfigEntry] = {}
        for entry in entries:
            known = newer.get(entry.key) or self._snapshot.records.get(
                entry.key
            )
            if known is None or entry.revision > known.revision:
                newer[entry.key] = entry
        return newer

    def _note_applied(
        self, old_version: int, newer: Mapping[str, ConfigEntry]
    ) -> None:
        version = self._snapshot.version
        if version == old_version:
            return
        accepted_at = max(
            (entry.body.at for entry in newer.values()),
            default=self._clock.time(),
        )
        self._history.append(
            AppliedVersion(version, accepted_at, self._clock.time())
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _apply(
    old: Snapshot, newer: Mapping[str, ConfigEntry], version: int
) -> Snapshot:
    classes = dict(old.classes)
    moves = dict(old.moves)
    convictions = dict(old.convictions)
    for key, entry in newer.items():
        try:
            _apply_entry(entry, classes, moves, convictions)
        except msgspec.ValidationError as error:
            # Written by a later release. The record is kept and passed on;
            # its last known content stays in force here.
            _log.error("config_record_unreadable", key=key, error=str(error))
    return Snapshot(
        version,
        {**old.records, **newer},
        classes,
        moves,
        convictions,
        _digest(convictions),
    )


def _apply_entry(
    entry: ConfigEntry,
    classes: dict[str, WorkClass],
    moves: dict[str, VersionMove],
    convictions: dict[tuple[str, str], str],
) -> None:
    value = entry.body.value
    if entry.key.startswith(CLASS_PREFIX):
        if value is None:
            classes.pop(entry.key.removeprefix(CLASS_PREFIX), None)
        else:
            work_class = decode_value(value, WorkClass)
            classes[work_class.name] = work_class
    elif entry.key.startswith(MOVE_PREFIX) and value is not None:
        move = decode_value(value, VersionMove)
        moves[move.model] = move
    elif entry.key.startswith(CONVICTION_PREFIX) and value is not None:
        item = decode_value(value, Conviction)
        convictions.setdefault((item.model, item.version), item.reason)


def _digest(convictions: Iterable[tuple[str, str]]) -> int:
    """Returns a digest that does not depend on order or reasons."""
    digest = 0
    for model, version in convictions:
        digest ^= xxhash.xxh64_intdigest(f"{model}\0{version}")
    return digest
