"""Keeps a copy of a table of the store up to date.

Some nodes of a region follow the store; the others get rows from nodes that
report a newer version. A node turns to others as well when its own connection
to the store falls silent.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from tanagerport.exceptions import PlatformError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.table_copy import TableChanges, TableCopy
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
# Pause after changes, so that a series of them costs few calls: at least the
# first bound, and as long as their bytes take at this rate, up to the second
# one. A configuration of 1,400 routes has 400 KB, and a narrow link takes 0.9 s
# for it; read after each change of a series, it left no room for requests.
_PAUSES_S = (0.2, 1.0)
_BYTES_PER_S = 200_000


# A node that follows others looks this often whether it has to read itself.
_ROLE_INTERVAL_S = 0.25
# Other nodes that fail to serve rows in a row before the store is asked.
_MAX_FETCH_FAILURES = 3


class TableFetcher(Protocol):
    """Gets rows from other nodes."""

    async def fetch(self, host: str, table: str, after: int) -> TableChanges:
        """Returns the rows that a node knows beyond a version.

        Raises:
            StoreUnavailableError: The node does not serve them.
        """


class TableWatch:
    """Follows one table of the store.

    Args:
        store: Client of the store.
        table: Name of the table.
        copy: Rows that are known.
        fetcher: Gets rows from other nodes.
        get_follower_age_s: Returns the age of the table in seconds at the
            readers that this node follows; None if it is a reader itself.
        get_wait_s: Returns the longest wait of one call, in seconds; a
            connection that fell silent is noticed after it.
        on_read: Called with all rows after a whole read.
        on_change: Called with rows that changed.
        on_state: Called with whether the store answers.
        log: Log of decisions.
        now: Monotonic clock, in seconds.
        sleep: Waits for that many seconds.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        copy: TableCopy,
        fetcher: TableFetcher,
        get_follower_age_s: Callable[[], float | None],
        get_wait_s: Callable[[], float],
        on_read: Callable[[TableRows], None],
        on_change: Callable[[TableRows], None],
        on_state: Callable[[bool], None],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._table = table
        self._copy = copy
        self._fetcher = fetcher
        self._get_follower_age_s = get_follower_age_s
        self._get_wait_s = get_wait_s
        self._on_read = on_read
        self._on_change = on_change
        self._on_state = on_state
        self._log = log
        self._now = now
        self._sleep = sleep
        self._random = random.Random()
        self._version: int | None = None
        self._answered_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._is_lost = False
        self._changed_at_version = 0
        # Hosts of nodes that know newer rows.
        self._newer_at: dict[str, None] = {}
        self._fetch_failures = 0
        self._behind_since: float | None = None
        self._patience_s = 0.0
        self._kicks = 0
        self._pause_s = 0.0
        self._kick = asyncio.Event()

    @property
    def changed_at_version(self) -> int:
        """Store version of the newest row that is known."""
        return self._changed_at_version

    @property
    def own_age_s(self) -> float:
        """Seconds since the store last answered this node; may be infinite."""
        return self._now() - self._answered_at

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered about this table.

        Of a node that relies on others, what they say of theirs.
        """
        return self._now() - self._confirmed_at

    def read_again(self) -> None:
        """Reads the whole table with the next call."""
        self._version = None

    def expect(self, version: int, host: str) -> None:
        """Notes that another node knows a newer row.

        Args:
            version: Store version of the newest row there.
            host: IP address of that node.
        """
        # The newest row may be a deleted one, which no whole read shows.
        if version <= self._copy.version:
            self._behind_since = None
            self._newer_at.pop(host, None)
            return
        self._newer_at[host] = None
        if self._is_following():
            self._kick.set()
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
                await self._advance()
            except HistoryLostError:
                self._log.warning("history_lost", table=self._table)
                self._version = None
                continue
            except PlatformError as error:
                self._note_lost(error)
                await self._sleep(backoff_s * self._random.uniform(0.5, 1))
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
                continue
            backoff_s = _MIN_BACKOFF_S
            pause_s, self._pause_s = self._pause_s, 0.0
            await self._sleep(pause_s)

    def _is_following(self) -> bool:
        return (
            self._version is not None and self._get_follower_age_s() is not None
        )

    async def _advance(self) -> None:
        """Makes one call to another node or to the store, or waits."""
        is_kicked = self._kick.is_set()
        self._kick.clear()
        follower_age_s = self._get_follower_age_s()
        if is_kicked and self._newer_at:
            await self._fetch()
        elif (
            self._version is not None
            and follower_age_s is not None
            and self._fetch_failures < _MAX_FETCH_FAILURES
        ):
            # Those that it relies on reach the store.
            self._note_reached(follower_age_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ROLE_INTERVAL_S):
                    await self._kick.wait()
        else:
            await self._step_unless_kicked()

    async def _fetch(self) -> None:
        """Gets newer rows from one of the nodes that know them."""
        host = self._random.choice(list(self._newer_at))
        try:
            changes = await self._fetcher.fetch(
                host, self._table, self._copy.version
            )
        except PlatformError as error:
            self._newer_at.pop(host, None)
            self._fetch_failures += 1
            self._log.info(
                "table_not_fetched", table=self._table, error=str(error)
            )
            if self._newer_at and self._fetch_failures < _MAX_FETCH_FAILURES:
                self._kick.set()
            return
        self._log.info(
            "table_fetched",
            table=self._table,
            host=host,
            after=self._copy.version,
            version=changes.version,
            rows=len(changes.rows),
        )
        self._apply(changes.table_rows, is_whole=changes.is_whole)

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
        is_whole = self._version is None
        if self._version is None:
            rows = await self._store.read(self._table)
        else:
            rows = await self._store.watch(
                self._table, self._version, self._get_wait_s()
            )
        self._answered_at = self._now()
        self._note_reached(0.0)
        self._apply(rows, is_whole)
        if not is_whole:
            self._pause_s = _pause_s(rows)

    def _apply(self, rows: TableRows, is_whole: bool) -> None:
        self._changed_at_version = max(
            self._changed_at_version, *(row.version for row in rows.rows), 0
        )
        self._kicks = max(self._kicks - 1, 0)
        self._fetch_failures = 0
        self._newer_at.clear()
        self._version = rows.version
        if is_whole:
            self._copy.replace(rows)
            self._on_read(rows)
        else:
            self._copy.apply_changes(rows)
            if rows.rows:
                self._on_change(rows)

    def _note_reached(self, age_s: float) -> None:
        """Notes an answer of the store, here or at a node relied on."""
        self._confirmed_at = max(self._confirmed_at, self._now() - age_s)
        if self._is_lost:
            self._is_lost = False
            self._log.info("store_regained", table=self._table)
        self._on_state(True)

    def _note_lost(self, error: PlatformError) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._log.warning("store_lost", table=self._table, error=str(error))
        self._on_state(False)


def _pause_s(rows: TableRows) -> float:
    """Returns how long to wait before the next call, in seconds."""
    if not rows.rows:
        return 0.0
    size = sum(len(row.value or b"") for row in rows.rows)
    return min(max(size / _BYTES_PER_S, _PAUSES_S[0]), _PAUSES_S[1])
