"""A node's local copy of a table, from which it serves other nodes."""

import asyncio
import contextlib
import zlib

import msgspec

from tanagerport.gateway import untrusted_data
from tanagerport.gateway.table_store import (
    NO_VERSION,
    Row,
    StoreVersion,
    TableRows,
)
from tanagerport.gateway.untrusted_data import Integer

# Maximum number of tombstones (versions of deleted rows). A node whose copy is
# older than the removed tombstones gets the full table.
_MAX_TOMBSTONES = 1000
# Configurations repeat field names, so zlib's level 1 is enough: it compresses
# 438 KB to 31 KB in 2 ms.
_COMPRESSION_LEVEL = 1
# Maximum number of cached encodings; after a change most nodes request the
# same rows.
_MAX_CACHED_CHANGES = 4


class TableChanges(msgspec.Struct, array_like=True, frozen=True):
    """Rows of a table, or changes to them, sent between nodes.

    Attributes:
        is_whole: Whether this is the full table rather than changes.
        version: Number of the store version that the table has with these
            rows.
        rows: Key, value (None if deleted) and version number of each row.
        era: Era of the store version.
        lost_keys: Keys of the rows that the restored store lacks.
    """

    is_whole: bool
    version: Integer
    rows: list[tuple[str, bytes | None, Integer]]
    era: Integer = 0
    lost_keys: list[str] = []

    @property
    def table_rows(self) -> TableRows:
        """The rows in the form in which the store returns them."""
        lost_keys = set(self.lost_keys)
        return TableRows(
            tuple(
                Row(key, value, version, self.era, key in lost_keys)
                for key, value, version in self.rows
            ),
            self.version,
            self.era,
        )


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(TableChanges)


def decode_changes(data: bytes, max_bytes: int) -> TableChanges:
    """Decodes the output of `TableCopy.encode_changes`.

    Args:
        data: Encoded and compressed rows.
        max_bytes: Maximum size after decompression.

    Raises:
        ValueError: The data is malformed, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"cannot decompress table rows: {error}") from error
    if not decompressor.eof:
        raise ValueError(
            f"table rows are truncated or larger than {max_bytes} bytes"
        )
    # msgspec's decoding errors are subclasses of `ValueError`.
    return untrusted_data.decode(_decoder, content)


class TableCopy:
    """Local copy of one table, including tombstones of deleted rows."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._lost_keys: set[str] = set()
        self._tombstones: dict[str, int] = {}
        self._version = NO_VERSION
        # Number after which all changes of the era, including deletions, are
        # known.
        self._history_start = 0
        self._encoded_changes: dict[StoreVersion, bytes] = {}
        self._confirmed_at = float("-inf")
        self._updated = asyncio.Event()

    @property
    def version(self) -> StoreVersion:
        """Store version of the copy; `NO_VERSION` before the first read."""
        return self._version

    @property
    def has_lost_rows(self) -> bool:
        """Whether it holds rows that the restored store lacks."""
        return bool(self._lost_keys)

    @property
    def confirmed_at(self) -> float:
        """Monotonic time at which the store last confirmed the copy.

        Negative infinity before the first response of the store to this node.
        """
        return self._confirmed_at

    def confirm(self, at: float) -> None:
        """Records that the store itself confirmed the copy.

        Args:
            at: Monotonic time of its response, in seconds.
        """
        self._confirmed_at = at
        self._wake_waiting()

    async def wait_for_update(self, timeout_s: float) -> None:
        """Waits until the copy changes or is confirmed, or for the timeout."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._updated.wait()

    def _wake_waiting(self) -> None:
        self._updated.set()
        self._updated = asyncio.Event()

    def replace(self, rows: TableRows) -> None:
        """Replaces all rows with the result of a full read."""
        self._rows = {row.key: row for row in rows.rows}
        self._lost_keys = {row.key for row in rows.rows if row.is_lost}
        self._tombstones.clear()
        self._version = rows.store_version
        self._history_start = rows.version
        self._encoded_changes.clear()
        self._wake_waiting()

    def apply_changes(self, rows: TableRows) -> None:
        """Applies changes made since the current version, in the same era."""
        if rows.rows:
            self._encoded_changes.clear()
        for row in rows.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
                self._lost_keys.discard(row.key)
                self._tombstones[row.key] = row.version
            else:
                self._rows[row.key] = row
                self._tombstones.pop(row.key, None)
                if row.is_lost:
                    self._lost_keys.add(row.key)
                else:
                    self._lost_keys.discard(row.key)
        self._version = max(self._version, rows.store_version)
        while len(self._tombstones) > _MAX_TOMBSTONES:
            oldest = min(self._tombstones, key=self._tombstones.__getitem__)
            self._history_start = self._tombstones.pop(oldest)
        if rows.rows:
            self._wake_waiting()

    def encode_changes(self, after: StoreVersion) -> bytes:
        """Returns the changes after a version, encoded and compressed.

        If they are not all known, the full table is returned.

        Args:
            after: Store version of the requester's copy.
        """
        encoded = self._encoded_changes.get(after)
        if encoded is None:
            changes = self._collect_changes(after)
            encoded = zlib.compress(_encode(changes), _COMPRESSION_LEVEL)
            while len(self._encoded_changes) >= _MAX_CACHED_CHANGES:
                del self._encoded_changes[next(iter(self._encoded_changes))]
            self._encoded_changes[after] = encoded
        return encoded

    def _collect_changes(self, after: StoreVersion) -> TableChanges:
        is_whole = (
            after.era != self._version.era or after.number < self._history_start
        )
        rows = [
            (row.key, row.value, row.version)
            for row in self._rows.values()
            if is_whole or row.version > after.number
        ]
        if not is_whole:
            rows += [
                (key, None, version)
                for key, version in self._tombstones.items()
                if version > after.number
            ]
        rows.sort(key=lambda row: row[2])
        lost_keys = [key for key, _, _ in rows if key in self._lost_keys]
        return TableChanges(
            is_whole,
            self._version.number,
            rows,
            self._version.era,
            lost_keys,
        )
