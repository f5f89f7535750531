"""Reads configurations without holding up the event loop."""

import asyncio
from collections.abc import Callable, Generator
from typing import Protocol, cast

from tanagerport.exceptions import DocumentError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import Configuration
from tanagerport.gateway.table_store import Row
from tanagerport.gateway.time_slices import TimeSlice


class ConfigurationReader(Protocol):
    """Reads configurations one after the other, in short steps."""

    def read(self, row: Row) -> Generator[None, None, Configuration]:
        """Reads a configuration; yields after each step.

        Raises:
            DocumentError: The configuration is invalid.
        """


class ConfigurationLoader:
    """Reads the newest configuration in time slices.

    Of rows that come while one is being read, only the last one is read
    afterwards.

    Args:
        reader: Reads the rows.
        apply: Called with each configuration.
        log: Decision log.
    """

    def __init__(
        self,
        reader: ConfigurationReader,
        apply: Callable[[Configuration], None],
        log: DecisionLog,
    ) -> None:
        self._reader = reader
        self._apply = apply
        self._log = log
        self._pending: Row | None = None
        self._submitted = asyncio.Event()

    def submit(self, row: Row) -> None:
        """Has a row read next."""
        self._pending = row
        self._submitted.set()

    async def run(self) -> None:
        """Reads submitted rows until the task is cancelled."""
        while True:
            await self._submitted.wait()
            self._submitted.clear()
            row, self._pending = self._pending, None
            if row is None:
                continue
            try:
                configuration = await self._read(row)
            except DocumentError as error:
                self._log.error(
                    "configuration_unreadable", key=row.key, error=str(error)
                )
                continue
            self._apply(configuration)

    async def _read(self, row: Row) -> Configuration:
        steps = self._reader.read(row)
        time_slice = TimeSlice()
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return cast(Configuration, end.value)
            await time_slice.pause_if_over()
