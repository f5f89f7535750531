"""Table service that fails on demand, for tests."""

from collections.abc import Callable, Sequence

from tanagerport.exceptions import (
    OutcomeUnknownError,
    StoreConflictError,
    StoreUnavailableError,
)
from tanagerport.platform_api import Condition, Record, Write
from tanagerport.platform_memory import MemoryTableStore


class FaultyTable(MemoryTableStore):
    """Loses answers, delivers writes late and can be down."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False
        self.on_write: Callable[[], None] = lambda: None
        self.commits = 0
        self._lose: bool | None = None
        self._late: tuple[Sequence[Condition], Sequence[Write]] | None = None

    def lose_next(self, applied: bool) -> None:
        """Loses the answer of the next write.

        Args:
            applied: Whether it takes effect at once; else `deliver_late`
                lets it arrive.
        """
        self._lose = applied

    def deliver_late(self) -> None:
        """Lets a delayed write arrive, under its own conditions."""
        late, self._late = self._late, None
        if late is not None:
            try:
                super().transact(*late)
            except StoreConflictError:
                return

    def get(self, key: str) -> Record | None:
        """Returns the record."""
        self._check()
        return super().get(key)

    def scan(self, prefix: str, start_after: str = "") -> Sequence[Record]:
        """Returns records by prefix."""
        self._check()
        return super().scan(prefix, start_after)

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Writes, loses the answer or fails as told."""
        self._check()
        self.on_write()
        lose, self._lose = self._lose, None
        if lose is False:
            self._late = (conditions, writes)
            raise OutcomeUnknownError("answer lost")
        super().transact(conditions, writes)
        self.commits += 1
        if lose:
            raise OutcomeUnknownError("answer lost")

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("the store is down")
