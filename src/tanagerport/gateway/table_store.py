"""Interface of the platform's transactional table store."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from tanagerport.exceptions import PlatformError


class HistoryLostError(PlatformError):
    """Changes since the given version are no longer available."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Attributes:
        key: Key within the table.
        value: Content; None if the row was deleted.
        version: Store version of the transaction that wrote it.
    """

    key: str
    value: bytes | None
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of a table as of one store version.

    Attributes:
        rows: All rows, or the rows that changed.
        version: Store version to continue from.
    """

    rows: tuple[Row, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A write of a transaction.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        value: New content; None deletes the row.
        expected_version: Version that the row must have; 0 requires that it
            does not exist; None requires nothing.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None = None


class TableStore(Protocol):
    """Client of the table store.

    Every call may raise `StoreUnavailableError`; a write also raises
    `OutcomeUnknownError` where it may have taken effect.
    """

    async def read(self, table: str) -> TableRows:
        """Returns all rows of a table as of one moment."""

    async def watch(self, table: str, after: int, wait_s: float) -> TableRows:
        """Waits for changes of a table.

        Args:
            table: Name of the table.
            after: Store version that is known.
            wait_s: Longest wait, in seconds.

        Raises:
            HistoryLostError: The table must be read again.
        """

    async def transact(self, writes: Sequence[RowWrite]) -> int:
        """Applies all writes or none and returns the store version.

        Raises:
            StoreConflictError: An expected version did not hold.
        """

    def time_s(self) -> float:
        """Returns the steady clock of the store, as of its last answer.

        Zero before the first answer; in seconds.
        """

    def drop_connections(self) -> None:
        """Closes all connections, as after a pause of the process."""
