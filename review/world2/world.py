"""Stand-ins for the platform, workers and clients of a small deployment.

The gateway runs as the deploy file starts it, one process a machine. Machines
have loopback addresses of their own, so that all use the same ports.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import re
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "fitting.example"
KEY = "k3y7d2m9q4"
STORE_IP = "127.0.9.1"
HEARTBEAT_S = 1.2
Headers = dict[str, str]


class CaseError(Exception):
    """The case could not run."""


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    """Returns the first line and the fields of a message; None at the end."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.split("\r\n")
    fields = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return first, fields


def message(first: str, fields: Headers, body: bytes = b"") -> bytes:
    """Returns the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Server:
    """A TCP server that can be stopped and started again at its address."""

    def __init__(self, ip: str, port: int = 0) -> None:
        self.ip = ip
        self.port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        """Its address as the platform writes it."""
        return f"{self.ip}:{self.port}"

    async def start(self) -> None:
        """Listens; keeps the port of an earlier start."""
        self._server = await asyncio.start_server(
            self._accept, self.ip, self.port, limit=2**26, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: tables with one counter, reads and feeds.

    Attributes:
        refuses: Returns whether a call of a peer is reset; for a store that
            turns some machines away.
    """

    def __init__(self) -> None:
        super().__init__(STORE_IP)
        self.refuses: Callable[[str], bool] = lambda path: False
        self.calls: collections.Counter[str] = collections.Counter()
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as the operator or a worker does."""
        await self._write([(table, key, json.dumps(value).encode())])

    async def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        if self._rows.get((table, key), (0, None))[1] is not None:
            await self._write([(table, key, None)])

    def get(self, table: str, key: str) -> bytes | None:
        """Returns the value of a row."""
        return self._rows.get((table, key), (0, None))[1]

    async def _write(self, rows: list[tuple[str, str, bytes | None]]) -> None:
        async with self._changed:
            self._version += 1
            for table, key, data in rows:
                self._rows[table, key] = (self._version, data)
            self._changed.notify_all()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers calls one after the other."""
        while (head := await read_head(reader)) is not None:
            first, fields = head
            method, target, _ = first.split(" ")
            body = await reader.readexactly(
                int(fields.get("content-length", "0"))
            )
            path, _, query = target.partition("?")
            if self.refuses(fields.get("host", "")):
                raise ConnectionResetError
            self.calls[path] += 1
            await asyncio.sleep(0.004)
            status, answer = await self._answer(
                path, dict(urllib.parse.parse_qsl(query)), body
            )
            answer["server_time_ms"] = time.monotonic() * 1000
            writer.write(
                message(
                    f"HTTP/1.1 {status} X",
                    {"Store-Era": "1", "Content-Type": "application/json"},
                    json.dumps(answer).encode(),
                )
            )
            await writer.drain()

    async def _answer(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/-/rows-get":
            rows = self._list(query["table_name"], -1, deleted=False)
            rows = [row for row in rows if row["key"] >= query.get("from", "")]
            size = int(query.get("page_size", "500"))
            return 200, {
                "rows": rows[:size],
                "has_more": len(rows) > size,
                "schema_version": self._version,
            }
        if path == "/-/rows-feed":
            return await self._feed(query)
        if path == "/-/rows-tx":
            return await self._transact(json.loads(body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        table, after = query["table_name"], int(query["after"])
        if after > self._version:
            return 410, {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_timeout_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: self._list(table, after, deleted=True)
                    )
        return 200, {
            "rows": self._list(table, after, deleted=True),
            "schema_version": self._version,
        }

    async def _transact(
        self, call: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        for entry in call.get("expected_revision", []):
            version, data = self._rows.get(
                (entry["table_name"], entry["key"]), (0, None)
            )
            if entry["schema_version"] != (0 if data is None else version):
                return 412, {"rows": []}
        rows: list[tuple[str, str, bytes | None]] = [
            (e["table_name"], e["key"], base64.b64decode(e["data"]))
            for e in call.get("write", [])
        ]
        rows += [
            (e["table_name"], e["key"], None) for e in call.get("remove", [])
        ]
        await self._write(rows)
        return 200, {"schema_version": self._version}

    def _list(
        self, table: str, after: int, *, deleted: bool
    ) -> list[dict[str, Any]]:
        found = []
        for (name, key), (version, data) in self._rows.items():
            if name != table or version <= after:
                continue
            row: dict[str, Any] = {
                "table_name": name,
                "part": "",
                "key": key,
                "schema_version": version,
            }
            if data is not None:
                row["data"] = base64.b64encode(data).decode()
            elif deleted:
                row["deleted"] = True
            else:
                continue
            found.append((version if deleted else 0, key, row))
        return [row for _, _, row in sorted(found, key=lambda e: e[:2])]


class Worker(Server):
    """A worker with slots and a short queue, and its row in the store.

    Attributes:
        answer: Runs a request: gets the worker, first line, fields, body and
            writer.
        is_cut: Whether it is cut off from the store.
        has_left: Whether its row was removed, as it leaves.
        arrivals: Monotonic time, attempt and body length of each request that
            reached it.
    """

    def __init__(
        self,
        worker_id: str,
        service: str,
        zone: str,
        slots: int,
        record: "Record",
        answer: "Run",
    ) -> None:
        super().__init__("127.0.8.1")
        self.worker_id = worker_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.record = record
        self.answer = answer
        self.is_cut = False
        self.has_left = False
        self.fields: Headers = {}
        self.born = round(time.time() * 1000)
        self.arrivals: list[tuple[float, str, int]] = []
        self._sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._queued = 0

    async def register(self, store: Store) -> None:
        """Writes its row, and again every heartbeat.

        The platform removes the row after three heartbeats of silence.
        """
        heard_at = 0.0
        while not self.has_left:
            if not self.is_cut:
                heard_at = time.monotonic()
                self._sequence += 1
                await store.put("servers", self.worker_id, self._row())
            elif time.monotonic() - heard_at > 3 * HEARTBEAT_S:
                await store.remove("servers", self.worker_id)
            for _ in range(12):
                await asyncio.sleep(HEARTBEAT_S / 12)
                if self.is_cut != (time.monotonic() - heard_at > HEARTBEAT_S):
                    break

    async def leave(self, store: Store) -> None:
        """Has its row removed without a notice, and goes on serving."""
        self.has_left = True
        await store.remove("servers", self.worker_id)

    def _row(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slot_count": self.slots,
            "state": "available",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    def seal(self, fields: Headers, **more: str) -> Headers:
        """Returns the fields of an answer to a request."""
        attempt = fields["attempt-id"]
        return {
            "Attempt-Id": attempt,
            "Response-Seal": f"{self.worker_id}.{attempt}",
            "Instance-Id": self.worker_id,
            **self.fields,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Runs the requests of a connection, one at a time."""
        while (head := await read_head(reader)) is not None:
            first, fields = head
            body = await reader.readexactly(
                int(fields.get("content-length", "0"))
            )
            attempt = fields.get("attempt-id", "")
            target = fields.get("target-instance", self.worker_id)
            self.arrivals.append((time.monotonic(), attempt, len(body)))
            self.record.write("arrives", worker=self.worker_id, id=attempt)
            if target != self.worker_id or self._queued > 2 * self.slots:
                status = 421 if target != self.worker_id else 503
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        self.seal(fields, Not_Executed="1"),
                    )
                )
                continue
            self._queued += 1
            try:
                async with self._free:
                    gone = asyncio.ensure_future(reader.read(1))
                    gone.add_done_callback(_forget_error)
                    run = asyncio.ensure_future(
                        self.answer(self, first, fields, body, writer)
                    )
                    await asyncio.wait(
                        {gone, run}, return_when=asyncio.FIRST_COMPLETED
                    )
                    if not run.done():
                        run.cancel()
                        return
                    gone.cancel()
                    with contextlib.suppress(asyncio.CancelledError):
                        await gone
                    run.result()
            finally:
                self._queued -= 1
            await writer.drain()


def _forget_error(task: "asyncio.Future[bytes]") -> None:
    if not task.cancelled():
        task.exception()


Run = Callable[
    [Worker, str, Headers, bytes, asyncio.StreamWriter], Awaitable[None]
]


class Record:
    """What was sent, answered and run, one line each.

    Args:
        path: File to write.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._start

    def write(self, event: str, **fields: Any) -> None:
        """Writes a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s:8.3f} {event} {text}\n")
        self._file.flush()


class Node:
    """One machine with its gateway process.

    Args:
        name: Name of the node.
        ip: Its loopback address.
        fields: Fields of its settings, as the platform fills them in.
        directory: Where its settings and its log go.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        fields: dict[str, Any],
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = directory / f"{name}.json"
        self._log = directory / f"{name}.log"
        template = (ROOT / "platform/settings.json.tmpl").read_text()
        self._settings.write_text(render(template, fields))
        listeners = fields["listeners_map"]
        self.port = int(listeners["frontend"].rpartition(":")[2])
        self.ready_port = int(listeners["ready"].rpartition(":")[2])

    @property
    def log(self) -> str:
        """What it logged."""
        return self._log.read_text()

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TANAGERPORT_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", "platform/serve.py"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=environment,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kills the process and waits for its end."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            self.process.wait()

    @property
    def memory_mb(self) -> float:
        """Resident memory of the process."""
        assert self.process is not None
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0.0

    async def is_ready(self) -> bool:
        """Asks for its readiness, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready_port
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1):
                head = await read_head(reader)
        except (TimeoutError, ConnectionError):
            return False
        finally:
            writer.close()
        return head is not None and " 200" in head[0]


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in the template as far as this project's one needs it."""

    def find(path: str) -> Any:
        value: Any = fields
        for name in path.split("."):
            value = value[int(name)] if name.isdigit() else value[name]
        return value

    def section(match: re.Match[str]) -> str:
        entries = find(match[1])
        return ",".join(
            match[2].replace("{{.|json}}", json.dumps(entry))
            for entry in entries
        )

    text = template.replace("{{,}}", "")
    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, text)
    return re.sub(r"{{([\w.]+)\|json}}", lambda m: json.dumps(find(m[1])), text)


class World:
    """A small deployment on loopback addresses.

    Args:
        folder: Folder of the case, for `record.txt`.
        zones: Region of each zone.
        nodes_per_zone: Machines in each zone.
        parameters: Bounds that differ from those of the site.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        zones: dict[str, str],
        nodes_per_zone: int,
        **parameters: float,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.workers: list[Worker] = []
        self.nodes: list[Node] = []
        self._zones = zones
        self._nodes_per_zone = nodes_per_zone
        self._parameters = parameters
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._tasks: list[asyncio.Task[Any]] = []
        self._net = secrets.randbelow(200) + 20

    @property
    def directory(self) -> pathlib.Path:
        """Temporary folder of the run."""
        return self._directory

    def run_task(self, work: Awaitable[Any]) -> "asyncio.Task[Any]":
        """Starts a task that ends with the world."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def start(self, config: dict[str, Any]) -> None:
        """Starts the store, the workers and the nodes; waits until ready."""
        await self.store.start()
        await self.store.put("op", "config", config)
        for worker in self.workers:
            await worker.start()
            self.run_task(worker.register(self.store))
        base = 10000 + secrets.randbelow(20000)
        for zone in self._zones:
            for number in range(1, self._nodes_per_zone + 1):
                self._add_node(zone, number, base)
        for node in self.nodes:
            node.start()
        async with asyncio.timeout(15):
            while not all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(0.1)

    def _add_node(self, zone: str, number: int, base: int) -> None:
        ip = f"127.{self._net}.0.{len(self.nodes) + 1}"
        fields = {
            "node_name": f"edge-{zone}-{number}",
            "zone": zone,
            "zones": self._zones,
            "ip_address": ip,
            "listeners_map": {
                "frontend": f"{ip}:{base}",
                "ready": f"{ip}:{base + 1}",
                "control_plane": f"{ip}:{base + 2}",
            },
            "internal_port_range": [base + 10, base + 25],
            "seed_nodes": [f"127.{self._net}.0.{n}:{base + 2}" for n in (1, 2)],
            "limits": {"link_mbps": 1000.0, "memory_mb": 300},
            "parameters": {
                "grace_period_s": 8,
                "contact_ms": 4000,
                "drain_timeout_ms": 2500,
                "retry_budget_ratio": 0.2,
                "retry_window_s": 10,
                "retry_slack": 52,
                "quota_window_s": 8,
                "quota_tolerance": 140000,
                "canary_share": 0.1,
                "canary_tolerance": 50,
                **self._parameters,
            },
            "platform": {"address": self.store.address},
        }
        self.nodes.append(
            Node(fields["node_name"], ip, fields, self._directory)
        )

    async def stop(self) -> None:
        """Ends all processes and tasks, and removes the temporary folder."""
        for node in self.nodes:
            node.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._directory)
        else:
            print("kept", self._directory)


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "prefix": f"/{name}/",
        "route_type": kind,
        "service": service,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority_class": 1,
        "max_attempts": 1,
        **fields,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    **fields: Any,
) -> dict[str, Any]:
    """Returns a configuration with one tenant, which has no quota."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "rate_per_s": 0}],
        **fields,
    }


class Answer:
    """What a client got.

    Attributes:
        status: Status; 0 if the connection ended without an answer.
        fields: Header fields.
        body: Body as far as it came.
        is_whole: Whether it was complete.
    """

    def __init__(self) -> None:
        self.status = 0
        self.fields: Headers = {}
        self.body = b""
        self.is_whole = False


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads an answer, interim ones before it passed over."""
    answer = Answer()
    while True:
        head = await read_head(reader)
        if head is None:
            return answer
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]
        if answer.status >= 200:
            break
    try:
        if answer.fields.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(
                int(answer.fields.get("content-length", "0"))
            )
        answer.is_whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


def request(
    method: str, path: str, attempt: str, body: bytes = b"", **fields: str
) -> bytes:
    """Returns the bytes of a client's request."""
    return message(
        f"{method} {path} HTTP/1.1",
        {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Authorization": f"Token {KEY}",
            **{name.replace("_", "-"): value for name, value in fields.items()},
        },
        body,
    )


async def call(
    node: Node, data: bytes, timeout_s: float, record: Record, attempt: str
) -> Answer:
    """Sends one request on a new connection and returns its answer."""
    record.write("sent", id=attempt, node=node.name)
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(node.ip, node.port)
            writer.write(data)
            answer = await read_answer(reader)
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    record.write(
        "answered", id=attempt, status=answer.status, whole=answer.is_whole
    )
    return answer


def run_case(case: Callable[[bool], Awaitable[bool]]) -> None:
    """Runs a case and exits: 0 if the rule held, 1 if not, 2 on failure.

    Args:
        case: Runs it with or without the disruption; returns whether the rule
            held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        holds = asyncio.run(_limit(case(has_trouble)))
    except Exception as error:  # Any fault of the case itself.
        print("the case could not run:", repr(error))
        sys.exit(2)
    print("the rule held" if holds else "the rule was broken")
    sys.exit(0 if holds else 1)


async def _limit(work: Awaitable[bool]) -> bool:
    async with asyncio.timeout(115):
        return await work
