"""Interfaces of the platform's services.

Every call may raise `StoreUnavailableError` (the call did not take effect)
and every write also `OutcomeUnknownError` (it may have taken effect).
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from tanagerport.model import VM


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of the table service.

    Attributes:
        key: Key of the record.
        revision: Starts at 1 and grows by 1 with every write.
        value: Content, at most 256 KiB.
    """

    key: str
    revision: int
    value: bytes


@dataclasses.dataclass(frozen=True)
class Condition:
    """What a transaction requires of a record.

    Attributes:
        key: Key of the record.
        revision: Revision that the record must have; 0 requires absence.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Write:
    """A write of a transaction.

    Attributes:
        key: Key of the record.
        value: New content; None deletes the record.
    """

    key: str
    value: bytes | None


class TableStore(Protocol):
    """Transactional table service."""

    def get(self, key: str) -> Record | None:
        """Returns the record, None if it does not exist."""

    def scan(self, prefix: str, start_after: str = "") -> Sequence[Record]:
        """Returns records in key order whose key starts with `prefix`.

        Args:
            prefix: Start of the keys.
            start_after: Only keys greater than this one are returned.

        Returns:
            At most 1,000 records.
        """

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Writes all records if all conditions hold, else none.

        Raises:
            StoreConflictError: A condition did not hold.
        """


class ObjectStore(Protocol):
    """Object store."""

    def get(self, name: str) -> bytes | None:
        """Returns the object, None if it does not exist."""

    def put(self, name: str, content: bytes) -> None:
        """Writes the object."""


class VMList(Protocol):
    """Lagging list of VMs."""

    def list_vms(self) -> Sequence[VM]:
        """Returns the VMs that the platform knows."""


class WeightStore(Protocol):
    """Rate-limited store of model weights."""

    def has_version(self, model: str, version: str) -> bool:
        """Returns whether weights of the version exist."""

    def request_load(self, model: str, version: str) -> float:
        """Asks for permission to load one copy of the weights.

        Returns:
            Seconds to wait before the load may start; 0 grants it now.
        """
