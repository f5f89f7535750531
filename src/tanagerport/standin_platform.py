"""Simulated platform: table, objects, VM list and weights over HTTP."""

import base64
import collections
import hashlib
import json
import signal
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import msgspec

from tanagerport.clock import Clock, SystemClock
from tanagerport.exceptions import StoreConflictError
from tanagerport.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    json_response,
    read_body,
    status_line,
)
from tanagerport.model import VM
from tanagerport.platform_api import Condition, Record, Write
from tanagerport.platform_http import NOT_STARTED_HEADER
from tanagerport.platform_memory import (
    MemoryObjectStore,
    MemoryTableStore,
    MemoryVMList,
    MemoryWeightStore,
)
from tanagerport.standin_faults import FaultTable, parse_faults

_THREADS = 32
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_VALUE_BYTES = 256 * 1024
_LOADS_PER_S = 1.0


class _ConditionMessage(msgspec.Struct):
    key: str
    revision: int


class _WriteMessage(msgspec.Struct):
    key: str
    value: str | None


class _TransactMessage(msgspec.Struct):
    conditions: list[_ConditionMessage] = []
    writes: list[_WriteMessage] = []


class _VMsMessage(msgspec.Struct):
    vms: list[VM]
    lag_s: float = 0.0


class _BadRequestError(Exception):
    """The request does not have the stated format."""


class StandinPlatform:
    """HTTP server of the platform's services with injected faults.

    Args:
        address: `ip:port` to listen on.
        vms: VMs at the start.
        versions: Model and version of the weights that exist; None lets
            every version exist.
        loads_per_s: Loads that the weight store admits a second.
        clock: Source of time.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        vms: Iterable[VM] = (),
        versions: Iterable[tuple[str, str]] | None = None,
        loads_per_s: float = _LOADS_PER_S,
        clock: Clock | None = None,
    ) -> None:
        clock = clock or SystemClock()
        self._clock = clock
        self.table = MemoryTableStore()
        self.objects = MemoryObjectStore()
        self.faults = FaultTable(clock)
        self._vm_list = MemoryVMList(vms, clock=clock)
        self._any_version = versions is None
        self._weights = MemoryWeightStore(versions or (), loads_per_s, clock)
        self._lock = threading.Lock()
        self._log: list[dict[str, Any]] = []
        self._calls: collections.Counter[str] = collections.Counter()
        self._server = HttpServer(
            address,
            self._application,
            threads=_THREADS,
            max_body_bytes=_MAX_BODY_BYTES,
        )
        self._services: dict[
            str, Callable[[str, Environ, StartResponse], Iterable[bytes]]
        ] = {
            "table": self._serve_table,
            "objects": self._serve_object,
            "vms": self._serve_vms,
            "weights": self._serve_weights,
        }

    @property
    def address(self) -> str:
        """Bound `ip:port`."""
        return self._server.address

    @property
    def url(self) -> str:
        """Base URL of all services."""
        return f"http://{self.address}"

    @property
    def log(self) -> Sequence[Mapping[str, Any]]:
        """All writes that took effect, in order."""
        with self._lock:
            return list(self._log)

    @property
    def calls(self) -> Mapping[str, int]:
        """Number of calls by service."""
        with self._lock:
            return dict(self._calls)

    def start(self) -> None:
        """Serves in the background."""
        self._server.start()

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop()

    def set_vms(self, vms: Iterable[VM], lag_s: float = 0.0) -> None:
        """Replaces the VMs; readers see it after the lag."""
        self._vm_list.set_vms(vms, lag_s)

    def _application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        service, _, rest = environ["PATH_INFO"].lstrip("/").partition("/")
        try:
            if service == "admin":
                return self._serve_admin(rest, environ, start_response)
            serve = self._services.get(service)
            if serve is None:
                return _not_found(start_response)
            return self._serve(service, serve, rest, environ, start_response)
        except (_BadRequestError, msgspec.MsgspecError, ValueError) as error:
            return json_response(start_response, 400, {"error": str(error)})

    def _serve(
        self,
        service: str,
        serve: Callable[[str, Environ, StartResponse], Iterable[bytes]],
        rest: str,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        with self._lock:
            self._calls[service] += 1
        if self.faults.is_down(service):
            return json_response(
                start_response,
                503,
                {"error": f"{service} is down"},
                [(NOT_STARTED_HEADER, "true")],
            )
        self.faults.delay(service)
        return serve(rest, environ, start_response)

    def _serve_table(
        self, rest: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        if method == "GET" and rest.startswith("records/"):
            record = self.table.get(rest.removeprefix("records/"))
            if record is None:
                return _not_found(start_response)
            return json_response(start_response, 200, _to_message(record))
        if method == "GET" and rest == "scan":
            query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
            records = self.table.scan(
                query.get("prefix", ""), query.get("start_after", "")
            )
            return json_response(
                start_response,
                200,
                {"records": [_to_message(record) for record in records]},
            )
        if method == "POST" and rest == "transact":
            return self._transact(environ, start_response)
        return _not_found(start_response)

    def _transact(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        message = msgspec.json.decode(read_body(environ), type=_TransactMessage)
        conditions = [
            Condition(item.key, item.revision) for item in message.conditions
        ]
        writes = [_to_write(item) for item in message.writes]
        try:
            # One lock over write and log keeps the log in commit order.
            with self._lock:
                self.table.transact(conditions, writes)
                self._log.append(
                    {
                        "service": "table",
                        "at": self._clock.time(),
                        "writes": msgspec.to_builtins(message.writes),
                    }
                )
        except StoreConflictError as error:
            return json_response(
                start_response, 409, {"changed": list(error.keys)}
            )
        self.faults.after_write("table")
        return json_response(start_response, 200, {})

    def _serve_object(
        self, rest: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "PUT":
            content = read_body(environ)
            with self._lock:
                self.objects.put(rest, content)
                self._log.append(
                    {
                        "service": "objects",
                        "at": self._clock.time(),
                        "name": rest,
                        "bytes": len(content),
                    }
                )
            self.faults.after_write("objects")
            return json_response(start_response, 200, {})
        found = self.objects.get(rest)
        if found is None:
            return _not_found(start_response)
        start_response(
            status_line(200),
            [
                ("Content-Type", "application/octet-stream"),
                ("Content-Length", str(len(found))),
            ],
        )
        return [found]

    def _serve_vms(
        self, rest: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if rest:
            return _not_found(start_response)
        vms = msgspec.to_builtins(self._vm_list.list_vms())
        content = json.dumps(vms, sort_keys=True).encode()
        tag = f'"{hashlib.sha256(content).hexdigest()[:16]}"'
        if environ.get("HTTP_IF_NONE_MATCH") == tag:
            start_response(status_line(304), [("ETag", tag)])
            return []
        return json_response(start_response, 200, {"vms": vms}, [("ETag", tag)])

    def _serve_weights(
        self, rest: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        parts = rest.split("/")
        is_load = len(parts) == 3 and parts[2] == "load"
        if len(parts) != 2 and not is_load:
            return _not_found(start_response)
        model, version = (urllib.parse.unquote(part) for part in parts[:2])
        if not self._any_version and not self._weights.has_version(
            model, version
        ):
            return _not_found(start_response)
        if not is_load:
            return json_response(start_response, 200, {})
        wait_s = self._weights.request_load(model, version)
        self.faults.after_write("weights")
        return json_response(start_response, 200, {"wait_s": wait_s})

    def _serve_admin(
        self, rest: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        if method == "GET" and rest == "log":
            return json_response(
                start_response,
                200,
                {"writes": self.log, "calls": self.calls},
            )
        if method == "POST" and rest == "vms":
            message = msgspec.json.decode(read_body(environ), type=_VMsMessage)
            self.set_vms(message.vms, message.lag_s)
            return json_response(start_response, 200, {})
        if method == "POST" and rest == "faults":
            return self._set_faults(environ, start_response)
        return _not_found(start_response)

    def _set_faults(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        document = msgspec.json.decode(read_body(environ), type=dict[str, Any])
        parsed = parse_faults(document)
        if isinstance(parsed, list):
            return json_response(
                start_response,
                400,
                {"findings": [str(finding) for finding in parsed]},
            )
        self.faults.set(*parsed)
        return json_response(start_response, 200, {})


def run_standin_platform(
    address: str, vms: Iterable[VM] = (), poll_s: float = 0.2
) -> int:
    """Serves a simulated platform until SIGTERM or SIGINT.

    Args:
        address: `ip:port` to listen on.
        vms: VMs at the start; `POST /admin/vms` replaces them.
        poll_s: Seconds between checks for a signal.

    Returns:
        Exit code.
    """
    platform = StandinPlatform(address, vms)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    platform.start()
    print(f"platform simulator listens on {platform.url}", flush=True)
    while not stop.is_set():
        time.sleep(poll_s)
    platform.stop()
    return 0


def _to_message(record: Record) -> dict[str, object]:
    return {
        "key": record.key,
        "revision": record.revision,
        "value": base64.b64encode(record.value).decode(),
    }


def _to_write(message: _WriteMessage) -> Write:
    if message.value is None:
        return Write(message.key, None)
    value = base64.b64decode(message.value, validate=True)
    if len(value) > _MAX_VALUE_BYTES:
        raise _BadRequestError(
            f"value of {message.key!r} has {len(value)} bytes, the bound is"
            f" {_MAX_VALUE_BYTES}"
        )
    return Write(message.key, value)


def _not_found(start_response: StartResponse) -> Iterable[bytes]:
    return json_response(start_response, 404, {"error": "not found"})
