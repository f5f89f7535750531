"""Keeps the local copy of a store table up to date.

Some nodes of a region, the readers, watch the store. The others fetch rows
from nodes that report a newer version. A reader does so too when its own
connection to the store stalls.
"""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

from tanagerport.exceptions import PlatformError, StoreUnavailableError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.newer_nodes import NewerNodes
from tanagerport.gateway.restored_rows import RestoredRows
from tanagerport.gateway.table_copy import TableChanges, TableCopy
from tanagerport.gateway.table_exchange import TableFetcher
from tanagerport.gateway.table_relays import TableRelays
from tanagerport.gateway.table_store import (
    NO_VERSION,
    HistoryLostError,
    Receiving,
    StoreVersion,
    TableRows,
    TableStore,
)

_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
# Minimum and maximum pause after changes, so that a series of them is read in
# few calls. Within these bounds, the pause limits reads to the rate below. A
# configuration of 1,400 routes is 400 KB, which takes 0.9 s on a slow link;
# reading it after each change of a series left no bandwidth for requests.
_PAUSE_BOUNDS_S = (0.2, 1.0)
_MAX_READ_BYTES_PER_S = 200_000
# Share of the maximum wait that remains after any pause, so that calls for
# changes do not follow each other closely.
_MIN_WAIT_SHARE = 0.2
# Number of nodes from which a node that started after the store was restored
# fetches the rows that the store has lost; more than one, as they may differ.
_MAX_ADOPTIONS = 2
# Minimum time between fetches of contents that the store has lost, in case that
# the other node's rows can't be applied here.
_MIN_ADOPTION_INTERVAL_S = 1.0
# Interval at which a follower checks whether it has to become a reader.
_ROLE_CHECK_INTERVAL_S = 0.25
# Time for which bytes of a response count as a sign of life of the store, in
# seconds. Followers need the rows, not the bytes.
_MAX_RECEIVING_S = 3.0
# Number of consecutive failed fetches from other nodes after which a follower
# calls the store instead.
_MAX_FETCH_FAILURES = 3


class TableWatch:
    """Watches one table of the store, directly or through other nodes.

    Args:
        store: Client of the store.
        table: Name of the table.
        copy: Local copy of the table.
        fetcher: Fetches rows from other nodes.
        get_follower_age_s: Returns the age of the table in seconds at the
            readers that this node follows; None if it is a reader itself.
        get_wait_s: Returns the maximum wait of a call for changes, in seconds.
            A stalled connection is detected after this time.
        restored: Keeps rows that are newer than those of a restored store.
        on_full_read: Called with all rows after a full read.
        on_changes: Called with the changed rows.
        on_reachability: Called with whether the store is reachable.
        log: Decision log.
        now: Monotonic clock, in seconds.
        sleep: Sleeps for a number of seconds.
        get_receiving: Returns the progress of the store's answer about the
            table that is being received; None if there is none.
        relays: Selects nodes nearer to the store that this node watches in its
            place; None for none.
        reads: Counts the reads of tables by source, if given.
    """

    def __init__(
        self,
        store: TableStore,
        table: str,
        copy: TableCopy,
        fetcher: TableFetcher,
        get_follower_age_s: Callable[[], float | None],
        get_wait_s: Callable[[], float],
        restored: RestoredRows,
        on_full_read: Callable[[TableRows], None],
        on_changes: Callable[[TableRows], None],
        on_reachability: Callable[[bool], None],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        get_receiving: Callable[[], Receiving | None] = lambda: None,
        relays: TableRelays | None = None,
        reads: collections.Counter[str] | None = None,
    ) -> None:
        self._store = store
        self._table = table
        self._copy = copy
        self._fetcher = fetcher
        self._get_follower_age_s = get_follower_age_s
        self._get_wait_s = get_wait_s
        self._restored = restored
        self._on_full_read = on_full_read
        self._on_changes = on_changes
        self._on_reachability = on_reachability
        self._log = log
        self._now = now
        self._sleep = sleep
        self._get_receiving = get_receiving
        self._relays = relays
        self._reads = collections.Counter() if reads is None else reads
        self._random = random.Random()
        self._version: StoreVersion | None = None
        self._last_response_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._is_unreachable = False
        self._newest_row_version = StoreVersion(0, 0)
        self._newer_nodes = NewerNodes(now)
        # Nodes that keep rows which this node never had.
        self._lost_row_hosts: dict[str, None] = {}
        self._adoptions = 0
        self._adopted_at = float("-inf")
        self._first_era: int | None = None
        self._fetch_failures = 0
        self._pause_s = 0.0
        self._wake_up = asyncio.Event()

    @property
    def newest_row_version(self) -> StoreVersion:
        """Store version of the newest known row."""
        return self._newest_row_version

    @property
    def own_response_age_s(self) -> float:
        """Seconds since the store last responded to this node.

        Bytes of a response that is being received count for a while: if a
        large one did not, other nodes would request it as well, over the same
        link. Infinite before the first response.
        """
        responded_at = self._last_response_at
        receiving = self._get_receiving()
        if receiving is not None:
            responded_at = max(
                responded_at,
                min(receiving.last_at, receiving.began_at + _MAX_RECEIVING_S),
            )
        return self._now() - responded_at

    @property
    def age_s(self) -> float:
        """Seconds since the table was last known to be up to date.

        On a follower, this is derived from the ages that readers report.
        Infinite before the first response.
        """
        return self._now() - self._confirmed_at

    def force_full_read(self) -> None:
        """Makes the next call read the full table."""
        self._version = None

    def handle_new_era(self) -> None:
        """Reads the full table at once; cancels a call in progress.

        A follower fetches it from a reader, whose report has the new era.
        """
        if self._is_follower():
            return
        self.force_full_read()
        self._wake_up.set()

    def handle_peer_version(
        self, version: StoreVersion, host: str, is_remote: bool = False
    ) -> None:
        """Handles the report of another node's newest row.

        If it is newer than the local copy, a follower fetches the newer rows at
        once, and a reader does if its call to the store is overdue. From
        another region a follower fetches only if no node of its own has them in
        time.

        Args:
            version: Store version of the newest row on that node.
            host: IP address of that node.
            is_remote: Whether that node is in another region.
        """
        # Compare with the version of the copy, not of its newest row: the other
        # node's newest row may be a deletion, which a full read does not show.
        if version <= self._copy.version:
            self._newer_nodes.remove(host)
            return
        self._newer_nodes.add(host, is_remote)
        if (
            self._newer_nodes.is_fetch_due(is_remote)
            if self._is_follower()
            else self._newer_nodes.is_call_overdue()
        ):
            self._wake_up.set()

    def handle_lost_rows(self, host: str) -> None:
        """Handles the report of a node that keeps rows the store has lost.

        A node that started after the store was restored can't know them.
        """
        if (
            self._first_era == self._copy.version.era
            and self._adoptions < _MAX_ADOPTIONS
        ):
            self._adoptions += 1
            self._lost_row_hosts[host] = None
            self._wake_up.set()

    def handle_newer_contents(self, version: StoreVersion, host: str) -> None:
        """Handles the report of a node whose rows have newer contents.

        Rows of a higher store version reach this node anyway. If the store has
        lost the contents, they are fetched from that node.

        Args:
            version: Store version of the newest row on that node.
            host: IP address of that node.
        """
        if (
            version <= self._copy.version
            and self._now() - self._adopted_at > _MIN_ADOPTION_INTERVAL_S
        ):
            self._adopted_at = self._now()
            self._lost_row_hosts[host] = None
            self._wake_up.set()

    async def run(self) -> None:
        """Keeps the copy up to date until the task is cancelled."""
        backoff_s = _MIN_BACKOFF_S
        while True:
            try:
                await self._run_once()
            except HistoryLostError:
                self._log.warning("history_lost", table=self._table)
                self._version = None
                continue
            except PlatformError as error:
                self._mark_unreachable(error)
                await self._sleep(backoff_s * self._random.uniform(0.5, 1))
                backoff_s = min(backoff_s * 2, _MAX_BACKOFF_S)
                continue
            backoff_s = _MIN_BACKOFF_S
            pause_s, self._pause_s = self._pause_s, 0.0
            await self._sleep(pause_s)

    def _is_follower(self) -> bool:
        """Returns whether this node is a follower and needs no full read."""
        return (
            self._version is not None and self._get_follower_age_s() is not None
        )

    async def _run_once(self) -> None:
        """Makes one call to another node or the store, or waits for changes."""
        if due := self._restored.take_due():
            version = self._copy.version
            self._on_changes(TableRows(tuple(due), version.number, version.era))
        is_woken = self._wake_up.is_set()
        self._wake_up.clear()
        follower_age_s = self._get_follower_age_s()
        if self._lost_row_hosts and self._version is not None:
            await self._adopt_from_peer()
        elif is_woken and not self._newer_nodes.is_empty:
            await self._fetch_from_peer()
        elif (
            self._version is not None
            and follower_age_s is not None
            and self._fetch_failures < _MAX_FETCH_FAILURES
        ):
            # The readers reach the store, so it counts as reachable here.
            self._mark_reachable(follower_age_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_ROLE_CHECK_INTERVAL_S):
                    await self._wake_up.wait()
        else:
            await self._call_store_until_woken()

    async def _fetch_from_peer(self) -> None:
        """Fetches newer rows from one of the nodes that have them."""
        host = self._newer_nodes.select()
        try:
            changes = await self._fetcher.fetch(
                host, self._table, self._copy.version
            )
            _check_newer(changes, self._copy.version, host)
        except PlatformError as error:
            self._newer_nodes.remove(host)
            self._fetch_failures += 1
            self._log.info(
                "table_not_fetched", table=self._table, error=str(error)
            )
            if (
                not self._newer_nodes.is_empty
                and self._fetch_failures < _MAX_FETCH_FAILURES
            ):
                self._wake_up.set()
            return
        self._reads["node"] += 1
        self._log.info(
            "table_fetched",
            table=self._table,
            host=host,
            after=self._copy.version.number,
            after_era=self._copy.version.era,
            version=changes.version,
            era=changes.era,
            is_whole=changes.is_whole,
            rows=len(changes.rows),
        )
        self._apply(changes.table_rows, is_whole=changes.is_whole)

    async def _adopt_from_peer(self) -> None:
        """Fetches a node's whole copy and takes over its newer rows."""
        host = next(iter(self._lost_row_hosts))
        del self._lost_row_hosts[host]
        try:
            changes = await self._fetcher.fetch(host, self._table, NO_VERSION)
        except PlatformError as error:
            self._log.info(
                "lost_rows_not_fetched", table=self._table, error=str(error)
            )
            return
        newer = self._restored.adopt(changes.table_rows, self._copy.version)
        self._log.info(
            "lost_rows_fetched",
            table=self._table,
            host=host,
            rows=len(newer.rows),
        )
        if newer.rows:
            self._copy.apply_changes(newer)
            self._on_changes(newer)

    async def _call_store_until_woken(self) -> None:
        """Calls the store, but cancels a call that is presumed stalled."""
        self._wake_up.clear()
        relay = None
        if self._relays is not None and self._version is not None:
            relay = self._relays.select()
        store_call = asyncio.ensure_future(
            self._call_store() if relay is None else self._call_relay(relay)
        )
        wake_up = asyncio.ensure_future(self._wake_up.wait())
        try:
            await asyncio.wait(
                {store_call, wake_up}, return_when=asyncio.FIRST_COMPLETED
            )
            if store_call.done():
                store_call.result()
                return
            self._log.warning("watch_behind", table=self._table)
        finally:
            store_call.cancel()
            wake_up.cancel()

    async def _call_relay(self, host: str) -> None:
        """Watches the table at a node that is nearer to the store."""
        assert self._relays is not None
        after = self._copy.version
        try:
            relayed = await self._fetcher.await_changes(
                host, self._table, after, self._get_wait_s()
            )
            changes = relayed.changes
            if changes is not None:
                _check_newer(changes, after, host)
        except PlatformError as error:
            self._relays.record_failure()
            self._reads["relay_failed"] += 1
            self._log.info("relay_failed", table=self._table, error=str(error))
            return
        self._last_response_at = max(
            self._last_response_at, self._now() - relayed.age_s
        )
        self._mark_reachable(relayed.age_s)
        if changes is None:
            return
        self._reads["relay"] += 1
        self._log.info(
            "table_relayed",
            table=self._table,
            host=host,
            after=after.number,
            version=changes.version,
            era=changes.era,
            is_whole=changes.is_whole,
            rows=len(changes.rows),
        )
        self._apply(changes.table_rows, changes.is_whole)
        self._pause_s = _PAUSE_BOUNDS_S[0]

    async def _call_store(self) -> None:
        is_whole = self._version is None
        if self._version is None:
            rows = await self._store.read(self._table)
        else:
            asked = self._version
            rows = await self._store.watch(
                self._table, asked.number, self._remaining_wait_s()
            )
            if rows.era > asked.era:
                # The number has another meaning in the new era.
                self._log.warning(
                    "store_restored",
                    table=self._table,
                    after=asked.number,
                    era=rows.era,
                )
                self._version = None
                return
        if rows.era < self._copy.version.era:
            raise StoreUnavailableError(
                f"response of era {rows.era} after era {self._copy.version.era}"
            )
        self._last_response_at = self._now()
        self._mark_reachable(0.0)
        self._apply(rows, is_whole)
        self._copy.confirm(self._last_response_at)
        if rows.rows:
            self._reads["store_whole" if is_whole else "store"] += 1
        if not is_whole:
            self._pause_s = _compute_pause_s(rows)

    def _remaining_wait_s(self) -> float:
        """Returns the maximum wait of the next call, in seconds.

        A pause counts, since other nodes take a reader for cut off by the time
        since its last response.
        """
        wait_s = self._get_wait_s()
        since_s = self._now() - self._last_response_at
        return max(wait_s - since_s, _MIN_WAIT_SHARE * wait_s)

    def _apply(self, rows: TableRows, is_whole: bool) -> None:
        if self._first_era is None:
            self._first_era = rows.era
        rows = self._restored.reconcile(rows, is_whole)
        self._newest_row_version = max(
            self._newest_row_version,
            *(row.store_version for row in rows.rows),
            StoreVersion(rows.era, 0),
        )
        self._fetch_failures = 0
        self._newer_nodes.record_rows()
        self._version = rows.store_version
        usable = dataclasses.replace(
            rows,
            rows=tuple(
                row for row in rows.rows if self._restored.is_usable(row)
            ),
        )
        if is_whole:
            self._copy.replace(rows)
            self._on_full_read(usable)
        else:
            self._copy.apply_changes(rows)
            if usable.rows:
                self._on_changes(usable)

    def _mark_reachable(self, age_s: float) -> None:
        """Records a response of the store to this node or to a reader.

        Args:
            age_s: Seconds since the response.
        """
        self._confirmed_at = max(self._confirmed_at, self._now() - age_s)
        if self._is_unreachable:
            self._is_unreachable = False
            self._log.info("store_regained", table=self._table)
        self._on_reachability(True)

    def _mark_unreachable(self, error: PlatformError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            self._log.warning("store_lost", table=self._table, error=str(error))
        self._on_reachability(False)


def _check_newer(changes: TableChanges, after: StoreVersion, host: str) -> None:
    """Checks that changes lead from one version to a newer one.

    Raises:
        StoreUnavailableError: They don't.
    """
    if changes.era != after.era and not changes.is_whole:
        raise StoreUnavailableError(
            f"{host} returned changes of era {changes.era}"
        )
    if changes.table_rows.store_version <= after:
        raise StoreUnavailableError(
            f"{host} returned version {changes.version} of era {changes.era}"
        )


def _compute_pause_s(rows: TableRows) -> float:
    """Returns the pause before the next call, in seconds."""
    if not rows.rows:
        return 0.0
    size = sum(len(row.value or b"") for row in rows.rows)
    return min(
        max(size / _MAX_READ_BYTES_PER_S, _PAUSE_BOUNDS_S[0]),
        _PAUSE_BOUNDS_S[1],
    )
