"""Registers this node in the store and discovers the other nodes."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable

from tanagerport.exceptions import PlatformError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.table_store import RowWrite, TableStore

_TABLE = "tanagerport_nodes"
# Pauses are randomized so that nodes that start together do not read together.
_READ_INTERVAL_BOUNDS_S = (20.0, 40.0)
_RETRY_INTERVAL_BOUNDS_S = (0.5, 1.5)


class NodeDirectory:
    """Keeps the row of this node in the store and reads those of the others.

    Args:
        store: Client of the store.
        node: Name of this node.
        host: IP address of this node.
        add_hosts: Adds the IP addresses of other nodes.
        log: Decision log.
    """

    def __init__(
        self,
        store: TableStore,
        node: str,
        host: str,
        add_hosts: Callable[[Iterable[str]], None],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._row = RowWrite(_TABLE, node, host.encode())
        self._add_hosts = add_hosts
        self._log = log
        self._is_registered = False
        self._wake_up = asyncio.Event()

    def handle_new_era(self) -> None:
        """Registers again: the restored store may lack the row."""
        self._is_registered = False
        self._wake_up.set()

    async def run(self) -> None:
        """Keeps the row in the store until the task is cancelled."""
        while True:
            self._wake_up.clear()
            pause_bounds_s = _READ_INTERVAL_BOUNDS_S
            try:
                await self._update()
            except PlatformError as error:
                self._log.debug("membership_unknown", error=str(error))
                pause_bounds_s = _RETRY_INTERVAL_BOUNDS_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(random.uniform(*pause_bounds_s)):
                    await self._wake_up.wait()
                # After a new era all nodes wake up at the same time.
                await asyncio.sleep(random.uniform(*_RETRY_INTERVAL_BOUNDS_S))

    async def _update(self) -> None:
        if not self._is_registered:
            # Set before the call: it may show a new era, which clears it.
            self._is_registered = True
            try:
                await self._store.transact([self._row])
            except PlatformError:
                self._is_registered = False
                raise
        rows = await self._store.read(_TABLE)
        self._add_hosts(
            row.value.decode("ascii", "replace")
            for row in rows.rows
            if row.value
        )
        if all(row.key != self._row.key for row in rows.rows):
            self.handle_new_era()
