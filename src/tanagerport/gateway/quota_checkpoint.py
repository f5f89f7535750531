"""Checkpoint of quota usage, kept in the store in case all nodes are killed.

Nodes report usage to each other, so no usage is lost when one node restarts.
Without a checkpoint it would be lost when all nodes are killed at once, and a
customer could use its quota twice. A checkpoint therefore counts what customers
will have used by the time of the next one, and the next one is written early if
they use more.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec

from tanagerport.exceptions import PlatformError
from tanagerport.gateway import untrusted_data
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.quotas import CustomerUsage, QuotaLimiter
from tanagerport.gateway.table_store import RowWrite, TableStore
from tanagerport.gateway.untrusted_data import Seconds

TABLE = "tanagerport_quota"
# Time for which the usage after a checkpoint is estimated, in seconds: until
# the next one is due, and written.
_HORIZON_S = 0.3
# Interval at which the usage is compared with the estimate, in seconds.
_CHECK_INTERVAL_S = 0.1
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5


class _Checkpoint(msgspec.Struct, array_like=True, frozen=True):
    """Content of a checkpoint row.

    Attributes:
        store_time_s: Time for which it is written, on the store's clock, in
            seconds. It is the end of the window that `usages` tells of.
        usages: Usage of the customers that the tolerance doesn't cover.
    """

    store_time_s: Seconds
    usages: list[CustomerUsage]


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(_Checkpoint)


class QuotaCheckpoint:
    """Reads and writes the usage of customers.

    Args:
        store: Client of the store.
        limiter: Tracks the usage of all customers.
        node: Name of this node.
        is_writer: Returns whether this node writes the checkpoint for all
            nodes.
        log: Structured log.
    """

    def __init__(
        self,
        store: TableStore,
        limiter: QuotaLimiter,
        node: str,
        is_writer: Callable[[], bool],
        log: DecisionLog,
    ) -> None:
        self._store = store
        self._limiter = limiter
        self._node = node
        self._is_writer = is_writer
        self._log = log
        self._is_loaded = False
        self._can_write = True

    @property
    def can_write(self) -> bool:
        """Whether the store has taken the last checkpoint of this node.

        If not, another node has to write it.
        """
        return self._can_write

    @property
    def is_loaded(self) -> bool:
        """Whether the checkpoints of earlier processes have been read."""
        return self._is_loaded

    async def run(self) -> None:
        """Reads the stored checkpoints, then writes one whenever it is due.

        Nothing is written while no customer uses more than the last checkpoint
        counts. A node whose checkpoint the store has not taken goes on trying,
        so that it is known when it may write again.
        """
        while not self._is_loaded:
            try:
                await self._load()
            except PlatformError as error:
                self._log.debug("checkpoint_read_failed", error=str(error))
                await asyncio.sleep(
                    random.uniform(_MIN_BACKOFF_S, _MAX_BACKOFF_S)
                )
        written: dict[str, CustomerUsage] = {}
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if self._can_write:
                if not self._is_writer():
                    # The next writer's checkpoints don't update this node's.
                    written = {}
                    continue
                if not self._limiter.exceeds(written):
                    continue
            usages = self._limiter.expected_usage(_HORIZON_S)
            try:
                await self._write(usages.values())
            except PlatformError as error:
                self._set_can_write(False, str(error))
                written = {}
                await asyncio.sleep(_MAX_BACKOFF_S)
            else:
                self._set_can_write(True)
                written = usages

    def _set_can_write(self, can_write: bool, error: str = "") -> None:
        if can_write is not self._can_write:
            self._can_write = can_write
            self._log.warning(
                "checkpoint_written_again"
                if can_write
                else "checkpoint_unwritten",
                error=error,
            )

    async def _load(self) -> None:
        rows = await self._store.read(TABLE)
        now_s = self._store.time_s()
        for row in rows.rows:
            try:
                checkpoint = untrusted_data.decode(_decoder, row.value or b"")
            except msgspec.DecodeError as error:
                self._log.warning(
                    "checkpoint_unreadable", key=row.key, error=str(error)
                )
                continue
            age_s = now_s - checkpoint.store_time_s
            if age_s < self._limiter.window_s:
                # An age far below zero shows a clock that was set back.
                self._limiter.import_usage(
                    checkpoint.usages, max(age_s, -_HORIZON_S)
                )
                self._log.info(
                    "checkpoint_loaded",
                    writer=row.key,
                    age_s=round(age_s, 3),
                    customers=len(checkpoint.usages),
                )
        self._limiter.mark_history_known()
        self._is_loaded = True

    async def _write(self, usages: Iterable[CustomerUsage]) -> None:
        value = _encode(
            _Checkpoint(self._store.time_s() + _HORIZON_S, list(usages))
        )
        await self._store.transact([RowWrite(TABLE, self._node, value)])
