"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import contextlib
import json
import time
from typing import Any

from standins import http

HOST = "127.0.0.1"
# Rows that one page of `rows-get` holds.
_MAX_ROWS_PER_PAGE = 500
_NEVER_S = 3600.0


class Store:
    """Store with `rows-get`, `rows-feed` and `rows-tx`, in one partition."""

    def __init__(self) -> None:
        self.port = 0
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections opened before the last silencing never get an answer.
        self._silencings = 0

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open_connections(self) -> None:
        """Lets the open connections go silent for good; new ones work."""
        self._silencings += 1

    def get(self, table: str, key: str) -> bytes | None:
        """Returns the data of a row; None if it does not exist."""
        return self._rows.get((table, key), (0, None))[1]

    async def put(self, table: str, key: str, document: Any) -> None:
        """Writes a row as an operator or a worker does."""
        await self._write([(table, key, json.dumps(document).encode())])

    async def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        await self._write([(table, key, None)])

    async def _write(self, writes: list[tuple[str, str, bytes | None]]) -> None:
        async with self._changed:
            self._version += 1
            for table, key, data in writes:
                self._rows[table, key] = (self._version, data)
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        silencings = self._silencings
        try:
            while (request := await http.read_request(reader)) is not None:
                await self._await_silence(silencings)
                status, document = await self._answer(request)
                await self._await_silence(silencings)
                document["schema_version"] = self._version
                document["server_time_ms"] = time.monotonic() * 1000
                body = json.dumps(document).encode()
                writer.write(
                    http.response_bytes(
                        status,
                        body,
                        {"Content-Type": "application/json", "Store-Era": "1"},
                    )
                )
        except ConnectionError:
            # The node closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _await_silence(self, silencings: int) -> None:
        if silencings != self._silencings:
            await asyncio.sleep(_NEVER_S)

    async def _answer(
        self, request: http.Request
    ) -> tuple[int, dict[str, Any]]:
        if request.path == "/-/rows-get":
            start = request.query.get("from", "")
            rows = self._list_rows(request.query["table_name"], -1, False)
            rows = [row for row in rows if row["key"] >= start]
            return 200, {
                "rows": rows[:_MAX_ROWS_PER_PAGE],
                "has_more": len(rows) > _MAX_ROWS_PER_PAGE,
            }
        if request.path == "/-/rows-feed":
            return await self._feed(request.query)
        if request.path == "/-/rows-tx":
            return await self._transact(json.loads(request.body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query["table_name"], int(query["after"])
        if after > self._version:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_timeout_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._list_rows(table, after, True)
                    )
        return 200, {"rows": self._list_rows(table, after, True)}

    async def _transact(
        self, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        for entry in call["expected_revision"]:
            version, data = self._rows.get(
                (entry["table_name"], entry["key"]), (0, None)
            )
            if entry["schema_version"] != (0 if data is None else version):
                return 412, {"rows": []}
        await self._write(
            [
                (
                    entry["table_name"],
                    entry["key"],
                    base64.b64decode(entry["data"]),
                )
                for entry in call["write"]
            ]
            + [
                (entry["table_name"], entry["key"], None)
                for entry in call["remove"]
            ]
        )
        return 200, {}

    def _list_rows(
        self, table: str, after: int, with_deleted: bool
    ) -> list[dict[str, Any]]:
        rows = []
        for (name, key), (version, data) in sorted(self._rows.items()):
            if name != table or version <= after:
                continue
            row: dict[str, Any] = {
                "table_name": table,
                "part": "",
                "key": key,
                "schema_version": version,
            }
            if data is not None:
                rows.append(row | {"data": base64.b64encode(data).decode()})
            elif with_deleted:
                rows.append(row | {"deleted": True})
        # The feed returns changes in order; a page is in order of the keys.
        if with_deleted:
            rows.sort(key=lambda row: row["schema_version"])
        return rows
