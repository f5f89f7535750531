"""Stand-ins for the platform's store and upstreams, and a gateway process.

The stand-ins implement the published formats in plain asyncio. They do not use
the gateway's HTTP code, because the tests would not notice a fault in code that
both sides share.
"""

import asyncio
import base64
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent
HOST = "127.0.0.1"
STOP_TIMEOUT_S = 10.0


@dataclasses.dataclass
class HttpRequest:
    """An HTTP request that a stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    received_at: float = dataclasses.field(default_factory=time.monotonic)

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


async def read_request(reader: asyncio.StreamReader) -> HttpRequest | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, target, headers, body)


def response_bytes(
    status: int, body: bytes, headers: dict[str, str] | None = None
) -> bytes:
    fields = {"Content-Length": str(len(body)), **(headers or {})}
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StandinServer:
    """TCP server that aborts its open connections when it stops."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(
            self._handle_connection, HOST, port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raise NotImplementedError


class StoreStandin(StandinServer):
    """Stand-in for the table store with `rows-get`, `rows-feed` and `rows-tx`.

    Attributes:
        mode: `ok`, `busy` (responds with 503) or `silent` (never responds).
        oldest_feed_version: `rows-feed` from an older version returns 410.
        request_paths: Paths of all requests.
        drop_next_write_response: Whether the connection is aborted instead of
            sending the response to the next `rows-tx`, which is applied.
        max_rows_per_page: Maximum number of rows in one `rows-get` response.
        between_pages: Called once, after the first page of a read that has
            further pages.
        era: Value of the header `Store-Era`; None sends no header.
    """

    def __init__(self) -> None:
        super().__init__()
        self.mode = "ok"
        self.oldest_feed_version = 0
        self.request_paths: list[str] = []
        self.drop_next_write_response = False
        self.max_rows_per_page = 500
        self.between_pages: Callable[[], Awaitable[object]] | None = None
        self.era: int | str | None = 1
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Condition()
        self._silent_writers: set[asyncio.StreamWriter] = set()

    def silence_open_connections(self) -> None:
        """Lets the open connections go silent; new ones work."""
        self._silent_writers |= self._writers

    async def put(self, table: str, key: str, value: Any) -> int:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self._write([(table, key, data)])

    async def put_all(self, table: str, values: dict[str, bytes]) -> int:
        """Writes several rows in one transaction."""
        return await self._write(
            [(table, key, data) for key, data in values.items()]
        )

    async def remove(self, table: str, key: str) -> int:
        return await self._write([(table, key, None)])

    def get(self, table: str, key: str) -> bytes | None:
        return self._rows.get((table, key), (0, None))[1]

    def get_json(self, table: str, key: str) -> Any:
        value = self.get(table, key)
        return None if value is None else json.loads(value)

    def snapshot(self) -> tuple[int, dict[tuple[str, str], Any]]:
        """Returns a copy of the store to restore it from."""
        return self._version, dict(self._rows)

    async def restore(
        self, copy: tuple[int, dict[tuple[str, str], Any]]
    ) -> None:
        """Goes back to a copy and starts a new era; waiting calls are cut."""
        async with self._changed:
            self._version, rows = copy
            self._rows = dict(rows)
            assert isinstance(self.era, int)
            self.era += 1
        for writer in list(self._writers):
            writer.transport.abort()

    async def _write(self, writes: list[tuple[str, str, bytes | None]]) -> int:
        async with self._changed:
            self._version += 1
            for table, key, data in writes:
                self._rows[table, key] = (self._version, data)
            self._changed.notify_all()
            return self._version

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.request_paths.append(request.path)
            await self._wait_if_silent(writer)
            if self.mode == "busy":
                writer.write(response_bytes(503, b"", self._era_header()))
                continue
            status, response = await self._handle_request(request)
            await self._wait_if_silent(writer)
            if request.path == "/-/rows-tx" and self.drop_next_write_response:
                self.drop_next_write_response = False
                writer.transport.abort()
                return
            response["server_time_ms"] = time.monotonic() * 1000
            writer.write(
                response_bytes(
                    status, json.dumps(response).encode(), self._era_header()
                )
            )

    async def _wait_if_silent(self, writer: asyncio.StreamWriter) -> None:
        if self.mode == "silent" or writer in self._silent_writers:
            await asyncio.sleep(3600)

    def _era_header(self) -> dict[str, str]:
        return {} if self.era is None else {"Store-Era": str(self.era)}

    async def _handle_request(
        self, request: HttpRequest
    ) -> tuple[int, dict[str, Any]]:
        if request.path == "/-/rows-get":
            return await self._read_page(request.query)
        if request.path == "/-/rows-feed":
            return await self._wait_for_changes(request.query)
        if request.path == "/-/rows-tx":
            return await self._transact(json.loads(request.body))
        return 404, {}

    async def _read_page(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        rows = [
            row
            for row in self._list_rows(query["table_name"], -1, False)
            if row["key"] >= query.get("from", "")
        ]
        page = {
            "rows": rows[: self.max_rows_per_page],
            "has_more": len(rows) > self.max_rows_per_page,
            "schema_version": self._version,
        }
        if page["has_more"] and self.between_pages is not None:
            callback, self.between_pages = self.between_pages, None
            await callback()
        return 200, page

    async def _wait_for_changes(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if after < self.oldest_feed_version or after > self._version:
            return 410, {}
        table = query["table_name"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_timeout_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._list_rows(table, after, True)
                    )
        return 200, {
            "rows": self._list_rows(table, after, True),
            "schema_version": self._version,
        }

    async def _transact(
        self, transaction: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        for entry in transaction["expected_revision"]:
            row_id = (entry["table_name"], entry["key"])
            version, data = self._rows.get(row_id, (0, None))
            if entry["schema_version"] != (0 if data is None else version):
                return 412, {"rows": []}
        version = await self._write(
            [
                (
                    entry["table_name"],
                    entry["key"],
                    base64.b64decode(entry["data"]),
                )
                for entry in transaction["write"]
            ]
            + [
                (entry["table_name"], entry["key"], None)
                for entry in transaction["remove"]
            ]
        )
        return 200, {"schema_version": version}

    def _list_rows(
        self, table: str, after: int, include_deleted: bool
    ) -> list[dict[str, Any]]:
        rows = []
        for (row_table, key), (version, data) in sorted(self._rows.items()):
            if row_table != table or version <= after:
                continue
            row: dict[str, Any] = {"key": key, "schema_version": version}
            if data is None:
                if not include_deleted:
                    continue
                row["deleted"] = True
            else:
                row["data"] = base64.b64encode(data).decode()
            rows.append(row)
        return rows


RequestHandler = Callable[
    ["UpstreamStandin", HttpRequest, asyncio.StreamWriter], Awaitable[None]
]


class UpstreamStandin(StandinServer):
    """Stand-in for an upstream; passes requests to a handler.

    Attributes:
        upstream_id: Id of its row in the store. Requests to another id get 421.
        handler: Writes the response to a request.
        received_requests: All requests, including rejected ones.
        started_attempts: Ids of the attempts that a handler started to run.
        cancelled_attempts: Ids of the attempts that were cancelled because the
            gateway closed the connection.
    """

    def __init__(self, upstream_id: str, handler: RequestHandler) -> None:
        super().__init__()
        self.upstream_id = upstream_id
        self.handler = handler
        self.received_requests: list[HttpRequest] = []
        self.started_attempts: list[str] = []
        self.cancelled_attempts: list[str] = []

    def registration(
        self, service: str, state: str = "available", **fields: Any
    ) -> dict[str, Any]:
        return {
            "service": service,
            "address": f"{HOST}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slot_count": 4,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
            **fields,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.received_requests.append(request)
            target = request.headers.get("target-instance")
            if target not in (None, self.upstream_id):
                writer.write(response_bytes(421, b""))
                continue
            attempt = request.headers["attempt-id"]
            handler_task = asyncio.ensure_future(
                self.handler(self, request, writer)
            )
            close_task = asyncio.ensure_future(_wait_until_closed(reader))
            await asyncio.wait(
                {handler_task, close_task}, return_when=asyncio.FIRST_COMPLETED
            )
            close_task.cancel()
            if not handler_task.done():
                handler_task.cancel()
                self.cancelled_attempts.append(attempt)
                return
            handler_task.result()
            if writer.transport.is_closing():
                return


async def _wait_until_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.01)


def seal_headers(request: HttpRequest, **fields: str) -> dict[str, str]:
    return {
        "Attempt-Id": request.headers["attempt-id"],
        "Response-Seal": f"seal-{request.headers['attempt-id']}",
        **fields,
    }


async def echo(
    upstream: UpstreamStandin,
    request: HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Runs the request and returns its body after the prefix `ran:`."""
    upstream.started_attempts.append(request.headers["attempt-id"])
    writer.write(
        response_bytes(200, b"ran:" + request.body, seal_headers(request))
    )


async def reject(
    upstream: UpstreamStandin,
    request: HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Returns 503 and states that the request was not run."""
    writer.write(
        response_bytes(503, b"", seal_headers(request, **{"Not-Executed": "1"}))
    )


async def hang(
    upstream: UpstreamStandin,
    request: HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Starts to run the request and never responds."""
    upstream.started_attempts.append(request.headers["attempt-id"])
    await asyncio.sleep(3600)


async def reset_connection(
    upstream: UpstreamStandin,
    request: HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    """Starts to run the request and resets the connection."""
    upstream.started_attempts.append(request.headers["attempt-id"])
    writer.transport.abort()


def stream(
    event_count: int,
    interval_s: float = 0.0,
    reset_after: int | None = None,
    skipped_event: int | None = None,
    may_send: asyncio.Event | None = None,
    fields: dict[str, str] | None = None,
) -> RequestHandler:
    """Returns a handler that streams events with ids starting at 1.

    A request with `Last-Event-Id` gets the events after that id.

    Args:
        event_count: Number of events in the complete stream.
        interval_s: Delay before each event, in seconds.
        reset_after: Id of the event after which the connection is reset.
        skipped_event: Id of an event that is not sent.
        may_send: Nothing is sent while it is not set.
        fields: Further header fields.
    """

    async def wait_until_sending() -> None:
        if may_send is not None:
            await may_send.wait()

    async def handler(
        upstream: UpstreamStandin,
        request: HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream.started_attempts.append(request.headers["attempt-id"])
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += ["Transfer-Encoding: chunked"]
        head += [
            f"{name}: {value}"
            for name, value in seal_headers(request, **(fields or {})).items()
        ]
        await wait_until_sending()
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, event_count + 1):
            await asyncio.sleep(interval_s)
            await wait_until_sending()
            if number == skipped_event:
                continue
            event = f"id: {number}\ndata: event {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if number == reset_after:
                await writer.drain()
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return
        writer.write(b"0\r\n\r\n")

    return handler


# Below the ephemeral port range of the operating system. If the gateway's ports
# came from that range, a stand-in that started before the gateway bound its
# port could be assigned the same port.
_PORT_RANGE = range(20000, 32000)
_port_indexes = itertools.count(os.getpid() * 50)
# Names of the files say which process uses a port, also while its gateway is
# down.
_RESERVATIONS = pathlib.Path(tempfile.gettempdir()) / "tanagerport-test-ports"


def _reserve(port: int) -> bool:
    """Reserves a port for this process; returns whether it was free."""
    _RESERVATIONS.mkdir(exist_ok=True)
    path = _RESERVATIONS / str(port)
    while True:
        try:
            with path.open("x") as file:
                file.write(str(os.getpid()))
            return True
        except FileExistsError:
            # It is empty for a moment while its owner writes it.
            with contextlib.suppress(FileNotFoundError):
                owner = path.read_text()
                if owner == str(os.getpid()):
                    return True
                if not owner or pathlib.Path("/proc", owner).exists():
                    return False
                path.unlink()


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    for index in _port_indexes:
        port = _PORT_RANGE[index % len(_PORT_RANGE)]
        if not _reserve(port):
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                # The port is in use.
                continue
            return port
    raise AssertionError


class GatewayProcess:
    """Runs the gateway program in a child process."""

    def __init__(
        self,
        directory: pathlib.Path,
        store_port: int,
        node: str = "node-1",
        **settings: Any,
    ) -> None:
        self.port = free_port()
        self.ready_port = free_port()
        self.metrics_port = free_port()
        self.log_path = directory / f"{node}.log"
        self.settings_path = directory / f"{node}.json"
        self.settings = {
            "node": node,
            "zone": "zone-a",
            "regions": {"zone-a": "region-1", "zone-b": "region-1"},
            "listen": f"{HOST}:{self.port}",
            "ready_listen": f"{HOST}:{self.ready_port}",
            "peer_host": HOST,
            "peer_port": free_port(socket.SOCK_DGRAM),
            "metrics_port": self.metrics_port,
            "coordination_port": free_port(socket.SOCK_DGRAM),
            "store": f"{HOST}:{store_port}",
            "drain_grace_s": 6,
            **settings,
        }
        # Where the log goes instead of the file.
        self.log_descriptor: int | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._pidfd = -1

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    def write_settings(self) -> None:
        self.settings_path.write_text(json.dumps(self.settings))

    async def start(self) -> None:
        self.write_settings()
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{ROOT / 'src'}",
            "TANAGERPORT_SETTINGS": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "serve.py"),
                stdout=log
                if self.log_descriptor is None
                else self.log_descriptor,
                stderr=log,
                env=environment,
            )
        self._close_pidfd()
        self._pidfd = os.pidfd_open(self._process.pid)

    async def wait_ready(self, timeout_s: float = 10.0) -> None:
        async with asyncio.timeout(timeout_s):
            while await self.ready_status() != 200:
                await asyncio.sleep(0.02)

    async def ready_status(self) -> int:
        try:
            response = await fetch(self.ready_port, "GET", "/-/readyz")
        except OSError:
            return 0
        return response.status

    def signal(self, number: signal.Signals) -> None:
        # `send_signal` would reap a process that has just exited, and asyncio
        # would not learn its status.
        signal.pidfd_send_signal(self._pidfd, number)

    async def wait(self) -> int:
        assert self._process is not None
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._close_pidfd()

    def _close_pidfd(self) -> None:
        if self._pidfd >= 0:
            os.close(self._pidfd)
            self._pidfd = -1

    def log_lines(self) -> list[dict[str, Any]]:
        return [
            json.loads(line)
            for line in self.log_path.read_text().splitlines()
            if line.startswith("{")
        ]


@dataclasses.dataclass
class ClientResponse:
    """Response that a client received.

    Attributes:
        is_complete: Whether the whole body arrived, including the final chunk
            of a chunked body.
        duration_s: Time from opening the connection to the end of the
            response, in seconds.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True
    duration_s: float = 0.0


async def fetch(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    raw: bytes | None = None,
    host: str = HOST,
) -> ClientResponse:
    """Sends one request on a new connection and reads the response."""
    started_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(raw or request_bytes(method, target, body, headers))
        response = await read_response(reader)
    finally:
        writer.close()
    response.duration_s = time.monotonic() - started_at
    return response


def request_bytes(
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    fields = {"Host": "shop.example", **(headers or {})}
    if body:
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> ClientResponse:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body, is_complete = await _read_chunks(reader)
    else:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
            is_complete = True
        except asyncio.IncompleteReadError as error:
            body, is_complete = error.partial, False
    return ClientResponse(status, headers, body, is_complete)


async def _read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False


def route(name: str, kind: str = "idempotent", **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority_class": 1,
        "service": "svc",
        "max_attempts": 2,
        "public": False,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], **fields: Any
) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "svc", "max_connections": 50}],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
        "tenants": [],
        **fields,
    }


@dataclasses.dataclass
class LocalCluster:
    """Stand-ins and gateway processes of one test."""

    directory: pathlib.Path
    store: StoreStandin
    upstreams: list[UpstreamStandin]
    gateways: list[GatewayProcess]

    @property
    def gateway(self) -> GatewayProcess:
        return self.gateways[0]

    async def add_upstream(
        self, upstream_id: str, handler: RequestHandler, **fields: Any
    ) -> UpstreamStandin:
        upstream = UpstreamStandin(upstream_id, handler)
        await upstream.start()
        self.upstreams.append(upstream)
        await self.store.put(
            "servers", upstream_id, upstream.registration("svc", **fields)
        )
        return upstream

    async def add_gateway(
        self, node: str = "node-1", **settings: Any
    ) -> GatewayProcess:
        gateway = GatewayProcess(
            self.directory, self.store.port, node, **settings
        )
        self.gateways.append(gateway)
        await gateway.start()
        return gateway

    async def call(
        self, attempt: str, target: str, body: bytes = b"", **headers: str
    ) -> ClientResponse:
        fields = {"Attempt-Id": attempt, "Deadline-Ms": "3000"}
        fields.update(
            {name.replace("_", "-"): value for name, value in headers.items()}
        )
        return await fetch(
            self.gateway.port,
            "POST" if body else "GET",
            target,
            body,
            fields,
        )


@contextlib.asynccontextmanager
async def local_cluster(
    directory: pathlib.Path, config: dict[str, Any] | None = None
) -> AsyncIterator[LocalCluster]:
    """Starts a store with a configuration and stops all servers on exit."""
    store = StoreStandin()
    await store.start()
    if config is not None:
        await store.put("op", "config", config)
    cluster = LocalCluster(directory, store, [], [])
    try:
        yield cluster
    finally:
        for gateway in cluster.gateways:
            await gateway.stop()
        for upstream in cluster.upstreams:
            await upstream.stop()
        await store.stop()
