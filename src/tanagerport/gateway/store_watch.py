"""Keeps a copy of a table of the store up to date."""

import asyncio
import random
import time
from collections.abc import Callable

from tanagerport.exceptions import PlatformError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.table_store import (
    HistoryLostError,
    TableRows,
    TableStore,
)

_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# Another node that knows a newer row for this long proves that this node's
# connection to the store fell silent. Chosen anew each time, so that nodes
# that are behind together do not ask together. Each new connection in a row
# gets twice the time: over a full link one needs more, and ended too early it
# never brings an answer.
_BEHIND_S = (0.3, 0.6)
_MAX_BEHIND_S = 3.0


class TableWatch:
    """Follows one table of the store.

    Args:
        store: Client of the store.
        table: Name of the table.
        wait_s: Longest wait of one call, in seconds; a connection that fell
            silent is noticed after it.
        on_read: Called with all rows after a whole read.
        on_change: Called with rows that changed.
        on_state: Called with whether the store answers.
        log: Log of decisions.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        wait_s: float,
        on_read: Callable[[TableRows], None],
        on_change: Callable[[TableRows], None],
        on_state: Callable[[bool], None],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._table = table
        self._wait_s = wait_s
        self._on_read = on_read
        self._on_change = on_change
        self._on_state = on_state
        self._log = log
        self._now = now
        self._random = random.Random()
        self._version: int | None = None
        self._answered_at = now()
        self._is_lost = False
        self._changed_at_version = 0
        self._known_version = 0
        self._behind_since: float | None = None
        self._patience_s = 0.0
        self._kicks = 0
        self._kick = asyncio.Event()

    @property
    def changed_at_version(self) -> int:
        """Store version of the newest row that is known."""
        return self._changed_at_version

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered about this table."""
        return self._now() - self._answered_at

    def read_again(self) -> None:
        """Reads the whole table with the next call."""
        self._version = None

    def expect(self, version: int) -> None:
        """Notes that another node knows a newer row.

        Args:
            version: Store version of the newest row there.
        """
        # The newest row may be a deleted one, which no whole read shows.
        if version <= self._known_version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = self._now()
            self._patience_s = min(
                self._random.uniform(*_BEHIND_S) * 2**self._kicks,
                _MAX_BEHIND_S,
            )
        elif self._now() - self._behind_since > self._patience_s:
            # The connection of the watch has probably fallen silent.
            self._behind_since = None
            self._kicks += 1
            self._kick.set()

    async def run(self) -> None:
        """Follows the table until it is cancelled."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            try:
                await self._step_unless_kicked()
            except HistoryLostError:
                self._log.warning("history_lost", table=self._table)
                self._version = None
                continue
            except PlatformError as error:
                self._note_lost(error)
                await asyncio.sleep(backoff_s * self._random.uniform(0.5, 1))
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
                continue
            backoff_s = _MIN_BACKOFF_S

    async def _step_unless_kicked(self) -> None:
        self._kick.clear()
        step = asyncio.ensure_future(self._step())
        kick = asyncio.ensure_future(self._kick.wait())
        try:
            await asyncio.wait(
                {step, kick}, return_when=asyncio.FIRST_COMPLETED
            )
            if step.done():
                step.result()
                return
            self._log.warning("watch_behind", table=self._table)
        finally:
            step.cancel()
            kick.cancel()

    async def _step(self) -> None:
        if self._version is None:
            rows = await self._store.read(self._table)
            self._note_answer(rows)
            self._on_read(rows)
        else:
            rows = await self._store.watch(
                self._table, self._version, self._wait_s
            )
            self._note_answer(rows)
            if rows.rows:
                self._on_change(rows)
        self._version = rows.version

    def _note_answer(self, rows: TableRows) -> None:
        self._answered_at = self._now()
        self._changed_at_version = max(
            self._changed_at_version, *(row.version for row in rows.rows), 0
        )
        self._known_version = max(self._known_version, rows.version)
        self._kicks = 0
        if self._is_lost:
            self._is_lost = False
            self._log.info("store_regained", table=self._table)
        self._on_state(True)

    def _note_lost(self, error: PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.warning("store_lost", table=self._table, error=str(error))
        self._on_state(False)
