"""Stand-in for a worker."""

import asyncio
import contextlib
import time
from typing import Any

from standins import http, ports
from standins.record import Record
from standins.store import HOST, Store

_HEARTBEAT_S = 1.2
# Heartbeats after which the store removes the row of a silent worker.
_MISSED_HEARTBEATS = 3
_EVENTS = 8
_EVENT_INTERVAL_S = 0.02
_PLAIN_WORK_S = 0.05


class Worker:
    """A sound worker; subclasses change how it answers.

    Args:
        worker_id: Id of its row.
        service: Service that it belongs to.
        store: Store in which it registers.
        record: Receives what it runs.
        zone: Its zone.
        slots: Requests that it runs at once.
        version: Version of its software.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        store: Store,
        record: Record,
        zone: str = "zone-a",
        slots: int = 10,
        version: str = "v1",
    ) -> None:
        self.worker_id = worker_id
        self.record = record
        self._service = service
        self._store = store
        self._zone = zone
        self._slots = slots
        self._version = version
        (self._port,) = ports.take_free([HOST], 1)
        self._born = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task[None] | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens, and registers in the store with each heartbeat."""
        if self._expiry is not None:
            self._expiry.cancel()
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        self._born = int(time.time() * 1000)
        self._sequence = 0
        await self._store.put("servers", self.worker_id, self._row())
        self._heartbeat = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Ends at once: closes its port and resets its connections."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self) -> None:
        """Ends at once; its row expires unless it starts again before."""
        self.stop()
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        await asyncio.sleep(_MISSED_HEARTBEATS * _HEARTBEAT_S)
        await self._store.remove("servers", self.worker_id)

    @property
    def is_running(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            self._sequence += 1
            await self._store.put("servers", self.worker_id, self._row())

    def _row(self) -> dict[str, Any]:
        return {
            "service": self._service,
            "address": f"{HOST}:{self._port}",
            "zone": self._zone,
            "version": self._version,
            "slot_count": self._slots,
            "state": "available",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http.read_request(reader)) is not None:
                if request.headers.get("target-instance") not in {
                    None,
                    self.worker_id,
                }:
                    writer.write(
                        http.response_bytes(
                            421, b"", {"Instance-Id": self.worker_id}
                        )
                    )
                    continue
                await self._run(request, reader, writer)
        except ConnectionError:
            # The node closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(
        self,
        request: http.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Runs a request until its answer ends or the caller leaves."""
        self.record.add(
            "run",
            request.headers["attempt-id"],
            f"at {self.worker_id}: {request.method} {request.target}",
        )
        answer = asyncio.create_task(self.answer(request, writer))
        left = asyncio.create_task(reader.read(1))
        await asyncio.wait({answer, left}, return_when=asyncio.FIRST_COMPLETED)
        # The caller sends nothing while it waits, so it has left.
        has_left = left.done()
        for task in (answer, left):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await task
        if has_left:
            raise ConnectionResetError

    async def answer(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with a stream, or with the body that came."""
        if "token-usage" in request.headers:
            await self.send_stream(request, writer)
            return
        await asyncio.sleep(_PLAIN_WORK_S)
        writer.write(
            http.response_bytes(200, b"ran " + request.body, self.seal(request))
        )

    async def send_stream(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the events after `Last-Event-Id`, and the end."""
        self.start_stream(request, writer)
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, _EVENTS + 1):
            await asyncio.sleep(_EVENT_INTERVAL_S)
            writer.write(http.chunk(event_bytes(number)))
        writer.write(b"0\r\n\r\n")

    def start_stream(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the head of a stream."""
        writer.write(
            http.head_bytes(
                "HTTP/1.1 200 OK",
                {
                    "Content-Type": "text/event-stream",
                    "Transfer-Encoding": "chunked",
                    **self.seal(request),
                },
            )
        )

    def seal(self, request: http.Request) -> dict[str, str]:
        """Returns the header fields of each answer."""
        attempt = request.headers["attempt-id"]
        return {
            "Attempt-Id": attempt,
            "Response-Seal": f"{self.worker_id}.{attempt}",
            "Instance-Id": self.worker_id,
        }


def event_bytes(number: int) -> bytes:
    """Returns an event of a stream."""
    return b"id: %d\ndata: tokens %d\n\n" % (number, number)
