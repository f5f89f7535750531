"""A node's copy of a table, from which it serves other nodes."""

import zlib

import msgspec

from tanagerport.gateway.table_store import Row, TableRows

# Deleted rows that are remembered; a node that is further behind gets all rows.
_MAX_DELETED = 1000
# Configurations repeat the names of their fields: level 1 makes 31 KB of 438 KB
# in 2 ms.
_COMPRESSION_LEVEL = 1
# Answers that are kept: after a change most nodes ask for the same rows.
_MAX_ANSWERS = 4


class TableChanges(msgspec.Struct, array_like=True, frozen=True):
    """Rows of a table as one node sends them to another.

    Attributes:
        is_whole: Whether these are all rows.
        version: Store version up to which they are known.
        rows: Key, content (None if deleted) and version of each row.
    """

    is_whole: bool
    version: int
    rows: list[tuple[str, bytes | None, int]]

    @property
    def table_rows(self) -> TableRows:
        """The rows as the store would return them."""
        return TableRows(tuple(Row(*row) for row in self.rows), self.version)


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(TableChanges)


def decode_changes(data: bytes, max_bytes: int) -> TableChanges:
    """Decodes what `TableCopy.encode_changes` returned.

    Args:
        data: Compressed rows.
        max_bytes: Most bytes that they may decompress to.

    Raises:
        ValueError: The bytes are not such rows, or too many.
    """
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(f"rows can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"rows are cut or above {max_bytes} bytes")
    # A decoding error is a `ValueError`.
    return _decoder.decode(content)


class TableCopy:
    """Rows of one table, as of the newest store version that is known."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._deleted: dict[str, int] = {}
        self._version = -1
        # Changes after this version are known, deleted rows included.
        self._complete_since = 0
        self._answers: dict[int, bytes] = {}

    @property
    def version(self) -> int:
        """Store version up to which the table is known; -1 before a read."""
        return self._version

    def replace(self, rows: TableRows) -> None:
        """Takes over a whole read."""
        self._rows = {row.key: row for row in rows.rows}
        self._deleted.clear()
        self._version = rows.version
        self._complete_since = rows.version
        self._answers.clear()

    def change(self, rows: TableRows) -> None:
        """Takes over changes since the known version."""
        if rows.rows:
            self._answers.clear()
        for row in rows.rows:
            if row.value is None:
                self._rows.pop(row.key, None)
                self._deleted[row.key] = row.version
            else:
                self._rows[row.key] = row
                self._deleted.pop(row.key, None)
        self._version = max(self._version, rows.version)
        while len(self._deleted) > _MAX_DELETED:
            oldest = min(self._deleted, key=self._deleted.__getitem__)
            self._complete_since = self._deleted.pop(oldest)

    def encode_changes(self, after: int) -> bytes:
        """Returns the rows that changed after a version, compressed.

        Args:
            after: Store version that the other node knows; -1 for none.
        """
        answer = self._answers.get(after)
        if answer is None:
            changes = self._changes(after)
            answer = zlib.compress(_encode(changes), _COMPRESSION_LEVEL)
            while len(self._answers) >= _MAX_ANSWERS:
                del self._answers[next(iter(self._answers))]
            self._answers[after] = answer
        return answer

    def _changes(self, after: int) -> TableChanges:
        is_whole = after < self._complete_since
        rows = [
            (row.key, row.value, row.version)
            for row in self._rows.values()
            if is_whole or row.version > after
        ]
        if not is_whole:
            rows += [
                (key, None, version)
                for key, version in self._deleted.items()
                if version > after
            ]
        rows.sort(key=lambda row: row[2])
        return TableChanges(is_whole, self._version, rows)
