"""In-memory stand-ins of the platform's services."""

import threading
from collections.abc import Iterable, Sequence

from tanagerport.clock import Clock, SystemClock
from tanagerport.exceptions import StoreConflictError
from tanagerport.model import VM
from tanagerport.platform_api import Condition, Record, Write

_SCAN_LIMIT = 1_000


class MemoryTableStore:
    """Table service that keeps its records in memory."""

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        # Revisions outlive deletion, so that a condition on an old revision
        # never matches a record that was deleted and made anew.
        self._revisions: dict[str, int] = {}
        self._lock = threading.Lock()

    def get(self, key: str) -> Record | None:
        """Returns the record, None if it does not exist."""
        with self._lock:
            return self._records.get(key)

    def scan(self, prefix: str, start_after: str = "") -> Sequence[Record]:
        """Returns records in key order whose key starts with `prefix`."""
        with self._lock:
            keys = sorted(
                key
                for key in self._records
                if key.startswith(prefix) and key > start_after
            )
            return [self._records[key] for key in keys[:_SCAN_LIMIT]]

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Writes all records if all conditions hold, else none.

        Raises:
            StoreConflictError: A condition did not hold.
        """
        with self._lock:
            changed = [
                condition.key
                for condition in conditions
                if self._current_revision(condition.key) != condition.revision
            ]
            if changed:
                raise StoreConflictError(changed)
            for write in writes:
                self._apply(write)

    def _current_revision(self, key: str) -> int:
        record = self._records.get(key)
        return record.revision if record else 0

    def _apply(self, write: Write) -> None:
        revision = self._revisions.get(write.key, 0) + 1
        self._revisions[write.key] = revision
        if write.value is None:
            self._records.pop(write.key, None)
        else:
            self._records[write.key] = Record(write.key, revision, write.value)


class MemoryObjectStore:
    """Object store that keeps its objects in memory."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def get(self, name: str) -> bytes | None:
        """Returns the object, None if it does not exist."""
        return self._objects.get(name)

    def put(self, name: str, content: bytes) -> None:
        """Writes the object."""
        self._objects[name] = content


class MemoryVMList:
    """VM list that shows changes after a lag.

    Args:
        vms: VMs at the start.
        lag_s: Seconds until a change shows.
        clock: Source of time.
    """

    def __init__(
        self,
        vms: Iterable[VM] = (),
        lag_s: float = 0.0,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._history: list[tuple[float, tuple[VM, ...]]] = [
            (float("-inf"), tuple(vms))
        ]

    def list_vms(self) -> Sequence[VM]:
        """Returns the VMs as they were `lag_s` seconds ago."""
        shown_before = self._clock.monotonic() - self._lag_s
        with self._lock:
            visible = [
                vms for time, vms in self._history if time <= shown_before
            ]
            return visible[-1]

    def set_vms(self, vms: Iterable[VM], lag_s: float | None = None) -> None:
        """Replaces the VMs; readers see it after the lag.

        Args:
            vms: VMs of the platform.
            lag_s: New lag in seconds; None keeps it.
        """
        with self._lock:
            if lag_s is not None:
                self._lag_s = lag_s
            self._history.append((self._clock.monotonic(), tuple(vms)))


class MemoryWeightStore:
    """Weight store that admits a bounded number of loads a second.

    Args:
        versions: Model and version of the weights that exist.
        loads_per_s: Loads admitted a second.
        clock: Source of time.
    """

    def __init__(
        self,
        versions: Iterable[tuple[str, str]] = (),
        loads_per_s: float = 1.0,
        clock: Clock | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._versions = set(versions)
        self._interval_s = 1.0 / loads_per_s
        self._next_load_at = 0.0
        self._lock = threading.Lock()

    def has_version(self, model: str, version: str) -> bool:
        """Returns whether weights of the version exist."""
        return (model, version) in self._versions

    def request_load(self, model: str, version: str) -> float:
        """Grants a load, or returns the seconds to wait for one."""
        del model, version  # The rate is shared by all weights.
        now = self._clock.monotonic()
        with self._lock:
            if now >= self._next_load_at:
                self._next_load_at = now + self._interval_s
                return 0.0
            return self._next_load_at - now
