"""The log of changes in the table service, and what a node read of it."""

import threading
from collections.abc import Iterable, Sequence

import structlog

from tanagerport.config_records import (
    HEAD_KEY,
    LOG_PREFIX,
    RECORD_PREFIXES,
    Acceptance,
    ConfigEntry,
    LogEntry,
    decode_body,
    decode_head,
    decode_log,
    log_key,
)
from tanagerport.config_state import ConfigurationState
from tanagerport.platform_api import Record, TableStore

# The most records that a scan returns.
_SCAN_LIMIT = 1_000

_log = structlog.get_logger(__name__)


class ConfigLog:
    """Reads changes from the store and remembers operations.

    Args:
        table: Table service.
        state: Where changes are applied.
        length: Log entries that the store keeps.
    """

    def __init__(
        self, table: TableStore, state: ConfigurationState, length: int
    ) -> None:
        self._table = table
        self._state = state
        self._length = length
        self._lock = threading.Lock()
        self._operations: dict[str, Acceptance] = {}
        # Entries from this version to the one in force were read here.
        self._read_from: int | None = None
        self._read_to = 0

    def pull(self) -> int:
        """Applies all changes up to head and returns head's version.

        Raises:
            StoreUnavailableError: The store can't be reached.
        """
        record = self._table.get(HEAD_KEY)
        if record is None:
            return 0
        version = decode_head(record.value).version
        have = self._state.snapshot.version
        if version > have:
            entries = self._read_entries(have) if have else []
            if entries and entries[0].version == have + 1:
                self.take(entries)
            if self._state.snapshot.version < version:
                self._read_all(version)
        return version

    def take(self, entries: Sequence[LogEntry]) -> None:
        """Applies consecutive entries that follow the version in force."""
        if not entries:
            return
        self._remember(entries)
        records = [item for entry in entries for item in entry.records]
        self._state.merge(records, entries[-1].version)

    def find(self, operation_id: str, version: int) -> Acceptance | None:
        """Returns the acceptance of an operation within the kept log.

        Args:
            operation_id: Id of the operation.
            version: Entries up to this version are searched.

        Raises:
            StoreUnavailableError: The store can't be reached.
        """
        with self._lock:
            oldest = max(1, version - self._length + 1)
            is_complete = (
                self._read_from is not None
                and self._read_from <= oldest
                and self._read_to >= version
            )
        if not is_complete and version > 0:
            self._remember(self._read_entries(oldest - 1))
        return self._operations.get(operation_id)

    def _read_entries(self, after: int) -> list[LogEntry]:
        """Reads consecutive entries that follow a version."""
        entries: list[LogEntry] = []
        while True:
            records = self._table.scan(
                LOG_PREFIX, log_key(after + len(entries))
            )
            for record in records:
                entry = decode_log(record.value)
                if entries and entry.version != entries[-1].version + 1:
                    return entries
                entries.append(entry)
            if len(records) < _SCAN_LIMIT:
                return entries

    def _read_all(self, version: int) -> None:
        """Applies all records; used when the log no longer reaches back.

        Head was read before the records, so they contain every change up to
        `version` and perhaps later ones, which is no harm: each record moves
        upward only.
        """
        entries: list[ConfigEntry] = []
        for prefix in RECORD_PREFIXES:
            start_after = ""
            while True:
                records = self._table.scan(prefix, start_after)
                entries.extend(_entry(record) for record in records)
                if len(records) < _SCAN_LIMIT:
                    break
                start_after = records[-1].key
        _log.info("configuration_read_whole", records=len(entries))
        self._state.merge(entries, version)

    def _remember(self, entries: Iterable[LogEntry]) -> None:
        with self._lock:
            for entry in entries:
                if self._read_from is None or entry.version != (
                    self._read_to + 1
                ):
                    if not (
                        self._read_from is not None
                        and self._read_from <= entry.version <= self._read_to
                    ):
                        self._read_from = entry.version
                        self._read_to = entry.version
                else:
                    self._read_to = entry.version
                self._operations[entry.operation_id] = Acceptance(
                    entry.operation_id, entry.version, entry.at
                )
            self._forget_old()

    def _forget_old(self) -> None:
        # Twice the length, so that most calls need not walk the operations.
        if len(self._operations) <= 2 * self._length:
            return
        oldest = self._read_to - self._length
        self._operations = {
            key: item
            for key, item in self._operations.items()
            if item.version > oldest
        }


def _entry(record: Record) -> ConfigEntry:
    return ConfigEntry(record.key, record.revision, decode_body(record.value))
