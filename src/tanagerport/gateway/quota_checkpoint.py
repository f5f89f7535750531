"""Checkpoint of the use of quotas, for the case that all nodes are killed.

Nodes tell each other what customers use, so a single restart loses nothing.
When all nodes end at once that knowledge would be gone, and a customer could
use its quota twice. Only customers near their quota matter, so in most hours
nothing is written.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from tanagerport.exceptions import PlatformError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.quotas import CustomerUsage, QuotaLimiter
from tanagerport.gateway.table_store import RowWrite, TableStore

TABLE = "tanagerport_quota"
# Time between two checkpoints: what is used in it is lost in a total kill, and
# the tolerance of a quota has to cover it.
_INTERVAL_S = 0.5
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5


class _Checkpoint(msgspec.Struct, array_like=True, frozen=True):
    """Content of a row.

    Attributes:
        store_time_s: Time of the store's clock, in seconds.
        uses: Customers near their quota.
    """

    store_time_s: float
    uses: list[CustomerUsage]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Checkpoint).decode


class QuotaCheckpoint:
    """Writes and reads the use of customers that are near their quota.

    Args:
        store: Client of the store.
        limiter: Use of all customers.
        node: Name of this node.
        is_writer: Whether this node writes for all.
        log: Log of decisions.
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

    @property
    def is_loaded(self) -> bool:
        """Whether the checkpoint of earlier processes was read."""
        return self._is_loaded

    async def run(self) -> None:
        """Reads the checkpoint, then writes it while customers are near."""
        while not self._is_loaded:
            try:
                await self._load()
            except PlatformError as error:
                self._log.debug("checkpoint_unread", error=str(error))
                await asyncio.sleep(
                    random.uniform(_MIN_BACKOFF_S, _MAX_BACKOFF_S)
                )
        while True:
            await asyncio.sleep(_INTERVAL_S)
            uses = self._limiter.usage_near_quota()
            if not uses or not self._is_writer():
                continue
            try:
                await self._write(uses)
            except PlatformError as error:
                self._log.debug("checkpoint_unwritten", error=str(error))

    async def _load(self) -> None:
        rows = await self._store.read(TABLE)
        now_s = self._store.time_s()
        for row in rows.rows:
            try:
                checkpoint = _decode(row.value or b"")
            except msgspec.DecodeError as error:
                self._log.warning(
                    "checkpoint_unreadable", key=row.key, error=str(error)
                )
                continue
            if now_s - checkpoint.store_time_s < self._limiter.window_s:
                self._limiter.import_usage(checkpoint.uses)
                self._log.info(
                    "checkpoint_adopted",
                    writer=row.key,
                    age_s=round(now_s - checkpoint.store_time_s, 3),
                    customers=len(checkpoint.uses),
                )
        self._limiter.mark_history_known()
        self._is_loaded = True

    async def _write(self, uses: list[CustomerUsage]) -> None:
        value = _encode(_Checkpoint(self._store.time_s(), uses))
        await self._store.transact([RowWrite(TABLE, self._node, value)])
