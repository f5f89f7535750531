"""HTTP server for readiness checks, metrics and tables for other nodes."""

import asyncio
import math
from collections.abc import Callable

import h11
import msgspec

from tanagerport.gateway import table_exchange
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.table_exchange import TableServer

# Path of the quarantined prompt parts, in all and one by one.
QUARANTINE_PATH = b"/quarantine"
# Path of the limits of requests that upstreams name.
LIMITS_PATH = b"/limits"
_IDLE_TIMEOUT_S = 30.0

_encode = msgspec.json.Encoder().encode


class InternalServer:
    """Serves the readiness check, metrics, table copies and quarantines.

    Args:
        ready_path: Path of the readiness check.
        is_ready: Returns whether the node accepts new connections.
        counters: Metrics of the process.
        tables: Serves table copies to other nodes.
        quarantine: Shows and releases quarantined prompt parts.
        list_limits: Returns the limits of requests that upstreams name.
    """

    def __init__(
        self,
        ready_path: bytes,
        is_ready: Callable[[], bool],
        counters: Counters,
        tables: TableServer,
        quarantine: PromptQuarantine,
        list_limits: Callable[[], list[dict[str, object]]],
    ) -> None:
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._counters = counters
        self._tables = tables
        self._quarantine = quarantine
        self._list_limits = list_limits
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listens for connections."""
        await asyncio.get_running_loop().create_server(
            lambda: Channel(self._accept), host, port
        )

    def _accept(self, channel: Channel) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(channel))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, channel: Channel) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            while True:
                event = codec.next_event()
                if event is h11.NEED_DATA:
                    async with IoTimeout(_IDLE_TIMEOUT_S):
                        data = await channel.read()
                    if not data:
                        return
                    codec.receive_data(data)
                elif isinstance(event, h11.Request):
                    await self._respond(channel, codec, event)
                elif event is h11.PAUSED:
                    codec.start_next_cycle()
                elif event is h11.ConnectionClosed or isinstance(
                    event, h11.ConnectionClosed
                ):
                    return
        except (TimeoutError, ConnectionError, h11.ProtocolError):
            # The peer was idle, disconnected or sent invalid HTTP.
            return
        finally:
            channel.close()

    async def _respond(
        self, channel: Channel, codec: h11.Connection, request: h11.Request
    ) -> None:
        path = bytes(request.target).partition(b"?")[0]
        content_type = b"text/plain; version=0.0.4; charset=utf-8"
        headers: list[tuple[bytes, bytes]] = []
        if path == self._ready_path:
            status, body = (200, b"") if self._is_ready() else (503, b"")
        elif path == b"/metrics":
            # Imported on demand: the library takes 5 MB of memory, which a
            # node that is not scraped does not need.
            from tanagerport.gateway import metrics_rendering  # noqa: PLC0415

            status, body = 200, metrics_rendering.render(self._counters)
        elif path == table_exchange.TABLE_PATH.encode():
            content_type = b"application/octet-stream"
            response = await self._tables.respond(
                bytes(request.target).decode("latin-1")
            )
            status, body = response.status, response.body
            if response.age_s is not None and math.isfinite(response.age_s):
                age_ms = round(response.age_s * 1000)
                headers.append((table_exchange.AGE_HEADER, b"%d" % age_ms))
        elif path == QUARANTINE_PATH and request.method == b"GET":
            content_type = b"application/json"
            body = _encode(self._quarantine.list_quarantined())
            status = 200
        elif path == LIMITS_PATH and request.method == b"GET":
            content_type = b"application/json"
            status, body = 200, _encode(self._list_limits())
        elif (
            path.startswith(QUARANTINE_PATH + b"/")
            and request.method == b"DELETE"
        ):
            key = path.rpartition(b"/")[2].decode("latin-1")
            status, body = (
                (204, b"") if self._quarantine.release(key) else (404, b"")
            )
        else:
            status, body = 404, b""
        headers += [
            (b"Content-Type", content_type),
            (b"Content-Length", b"%d" % len(body)),
        ]
        for event in (
            h11.Response(status_code=status, headers=headers),
            h11.Data(body),
            h11.EndOfMessage(),
        ):
            channel.write(codec.send(event) or b"")
