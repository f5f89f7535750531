"""Keeps rows that the store lost when it was restored from a copy.

The writers of a table write again what was lost, but not at once. Until then
a row that is older than the known one is replaced by it, so that nothing that
was in force goes back.
"""

import dataclasses
import time
from collections.abc import Callable

from tanagerport.gateway.table_store import Row, StoreVersion, TableRows

# Time for which deleted rows are remembered, in seconds. A copy is some seconds
# old, and writers need some seconds to delete a row again.
_DELETED_ROW_MEMORY_S = 60.0
# Time for which a row that was deleted before is held back if a restored store
# has it again, in seconds. The row of an upstream that left is deleted again
# after three heartbeat intervals; one that stays is of a live upstream.
_HOLD_BACK_S = 8.0
# Maximum number of deleted rows that are remembered, the latest ones.
_MAX_DELETED_ROWS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RowAge:
    """Order of the contents that a writer gave to a row.

    Attributes:
        start: Identifies the run of the writer; a later run has a higher one.
        sequence: Rises with each write of a run.
    """

    start: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownRow:
    """Newest known content of a row.

    Attributes:
        row: The row.
        age: Age of its content; None if unknown.
        deleted_at: Monotonic time at which its deletion was seen, in seconds;
            None if it exists.
        previous: Row with the content before, if known.
    """

    row: Row
    age: RowAge | None
    deleted_at: float | None = None
    previous: Row | None = None


class RestoredRows:
    """Replaces rows that are older than what this node knew.

    Args:
        get_age: Returns the age of a row's content; None if unknown.
        keeps_missing: Whether rows that a restored store lacks are kept until
            they are written or deleted again.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        get_age: Callable[[Row], RowAge | None],
        keeps_missing: bool,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._get_age = get_age
        self._keeps_missing = keeps_missing
        self._now = now
        self._known: dict[str, _KnownRow] = {}
        self._deleted: dict[str, None] = {}
        # Rows that are held back, and the monotonic time until then.
        self._held_back: dict[str, tuple[Row, float]] = {}
        self._unchanged: set[str] = set()

    def is_usable(self, row: Row) -> bool:
        """Returns whether a row that was reconciled last is to be applied.

        It is not if it is held back. If missing rows are kept, it is not either
        if it has the content that was known in an earlier era: its new number
        would make an order of the operator look like another one.
        """
        return not self.is_held_back(row) and not (
            self._keeps_missing and row.key in self._unchanged
        )

    def is_held_back(self, row: Row) -> bool:
        """Returns whether a row is not to be used yet."""
        return row.key in self._held_back

    def take_due(self) -> list[Row]:
        """Returns the rows that are no longer held back."""
        now = self._now()
        due = [row for row, due_at in self._held_back.values() if due_at <= now]
        for row in due:
            del self._held_back[row.key]
            self._deleted.pop(row.key, None)
            self._known[row.key] = _KnownRow(row, self._get_age(row))
        return due

    def reconcile(self, rows: TableRows, is_whole: bool) -> TableRows:
        """Returns the rows with older contents replaced.

        Rows that were deleted before are held back.

        Args:
            rows: Rows of the store, or of another node's copy.
            is_whole: Whether these are all rows of the table.
        """
        self._forget_deleted()
        self._unchanged.clear()
        reconciled = [self._reconcile_row(row) for row in rows.rows]
        if is_whole:
            present = {row.key for row in rows.rows}
            for key in self._held_back.keys() - present:
                del self._held_back[key]
            reconciled += self._handle_missing(rows, present)
        return TableRows(tuple(reconciled), rows.version, rows.era)

    def adopt(self, rows: TableRows, version: StoreVersion) -> TableRows:
        """Returns the rows of another node that are newer than the known ones.

        Args:
            rows: All rows of that node's copy.
            version: Store version of the local copy, to which they are added.
        """
        newer = []
        for row in rows.rows:
            age = self._get_age(row)
            known = self._known.get(row.key)
            if known is None:
                is_newer = row.is_lost and row.era == version.era
            elif age is None or known.age is None:
                is_newer = False
            else:
                is_newer = (age.start, age.sequence) > (
                    known.age.start,
                    known.age.sequence,
                )
            if is_newer:
                adopted = Row(
                    row.key, row.value, version.number, version.era, True
                )
                self._known[row.key] = _KnownRow(adopted, age)
                self._deleted.pop(row.key, None)
                newer.append(adopted)
        return TableRows(tuple(newer), version.number, version.era)

    def _reconcile_row(self, row: Row) -> Row:
        known = self._known.get(row.key)
        if row.value is None:
            self._held_back.pop(row.key, None)
            if known is not None and known.deleted_at is None:
                self._mark_deleted(known)
            return row
        age = self._get_age(row)
        if known is not None and _is_older(row, age, known):
            if known.deleted_at is not None:
                _, due_at = self._held_back.get(
                    row.key, (row, self._now() + _HOLD_BACK_S)
                )
                self._held_back[row.key] = (row, due_at)
                return row
            self._unchanged.add(row.key)
            return dataclasses.replace(row, value=known.row.value, is_lost=True)
        previous = None
        if known is not None and known.deleted_at is None:
            if row.value != known.row.value:
                previous = known.row if age is None else None
            else:
                previous = known.previous
                if _is_other_era(row, known) or row.is_lost:
                    self._unchanged.add(row.key)
        self._known[row.key] = _KnownRow(row, age, previous=previous)
        self._deleted.pop(row.key, None)
        self._held_back.pop(row.key, None)
        return row

    def _handle_missing(self, rows: TableRows, present: set[str]) -> list[Row]:
        """Returns the rows to keep though they are missing in a full read."""
        kept = []
        for key, known in list(self._known.items()):
            if key in present or known.deleted_at is not None:
                continue
            if self._keeps_missing and (
                known.row.era < rows.era or known.row.is_lost
            ):
                self._unchanged.add(key)
                kept.append(
                    Row(key, known.row.value, rows.version, rows.era, True)
                )
            else:
                self._mark_deleted(known, is_lost=known.row.era < rows.era)
        return kept

    def _mark_deleted(self, known: _KnownRow, is_lost: bool = False) -> None:
        self._known[known.row.key] = dataclasses.replace(
            known,
            row=dataclasses.replace(known.row, is_lost=is_lost),
            deleted_at=self._now(),
        )
        self._deleted[known.row.key] = None

    def _forget_deleted(self) -> None:
        oldest_at = self._now() - _DELETED_ROW_MEMORY_S
        for key in list(self._deleted):
            deleted_at = self._known[key].deleted_at
            if (
                len(self._deleted) <= _MAX_DELETED_ROWS
                and deleted_at is not None
                and deleted_at >= oldest_at
            ):
                break
            del self._deleted[key]
            del self._known[key]


def _is_other_era(row: Row, known: _KnownRow) -> bool:
    return row.era > known.row.era or known.row.is_lost


def _is_older(row: Row, age: RowAge | None, known: _KnownRow) -> bool:
    """Returns whether the content of a row is older than the known one."""
    is_new_era = _is_other_era(row, known)
    if age is None or known.age is None:
        # A copy has its rows under the numbers that they always had.
        previous = known.previous
        return (
            is_new_era
            and known.deleted_at is None
            and previous is not None
            and (row.version, row.value) == (previous.version, previous.value)
        )
    if age.start != known.age.start:
        # Within one era a row is never replaced by an older one, so the new
        # run of the writer has a clock that is behind.
        return is_new_era and age.start < known.age.start
    if known.deleted_at is not None and not known.row.is_lost:
        # A lost row, in contrast to a deleted one, may be written again as it
        # was.
        return is_new_era and age.sequence <= known.age.sequence
    # Within one era the later row is the newer one, whatever its content says.
    return is_new_era and age.sequence < known.age.sequence
