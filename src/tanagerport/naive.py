"""Naive router: the baseline that the bench compares with.

It has the callers' interface of a node and nothing else: round robin over
all upstreams that the VM list calls live, no tiers, no limits, retries on
any error, no idempotency records, and configuration taken from the store
as it is read, without checks of order.
"""

import contextlib
import itertools
import json
import os
import signal
import sys
import threading
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence

import urllib3

from tanagerport.caller_requests import (
    CHAT_PATH,
    SERVICES_PREFIX,
    make_request_id,
)
from tanagerport.config_records import CLASS_PREFIX, MOVE_PREFIX, decode_body
from tanagerport.exceptions import PlatformError
from tanagerport.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    json_response,
    read_body,
    status_line,
)
from tanagerport.model import VM, VMRole, VMState
from tanagerport.platform_http import HttpTableStore, HttpVMList
from tanagerport.settings import Settings, load_settings
from tanagerport.upstream_client import VERSION_HEADER

_TRIES = 3
_POLL_S = 1.0
_FIRST_BYTE_TIMEOUT_S = 2.0
_DEFAULT_DEADLINE_S = 30.0
_READ_TIMEOUT_S = 5.0
_READ_BYTES = 65536
_POOL_CONNECTIONS = 256
_FORWARDED_HEADERS = (
    "X-Class",
    "X-Customer",
    "Idempotency-Key",
    "Content-Type",
)
_ANSWER_HEADERS = ("Content-Type", "Content-Length", VERSION_HEADER)


class NaiveRouter:
    """WSGI application of the naive router.

    Args:
        settings: Settings of the node that it stands for.
    """

    def __init__(self, settings: Settings) -> None:
        self._vms: Sequence[VM] = settings.platform.vms
        self._turns = itertools.count()
        self._pool = urllib3.PoolManager(
            maxsize=_POOL_CONNECTIONS, block=False, retries=False
        )
        self._deadlines = {
            item.name: item.deadline_s for item in settings.classes
        }
        self._own_classes = frozenset(item.name for item in settings.classes)
        self._classes = self._own_classes
        platform = settings.platform
        self._vm_list = HttpVMList(platform.vm_list_url or "", _POLL_S)
        self._table = HttpTableStore(platform.table_url or "", _POLL_S)

    def poll(self) -> None:
        """Reads the platform until the process ends."""
        while True:
            with contextlib.suppress(PlatformError):
                self._vms = self._vm_list.list_vms()
            with contextlib.suppress(PlatformError):
                self._take_configuration()
            time.sleep(_POLL_S)

    def _take_configuration(self) -> None:
        names = {
            record.key.removeprefix(CLASS_PREFIX)
            for record in self._table.scan(CLASS_PREFIX)
        }
        self._classes = self._own_classes | names
        for record in self._table.scan(MOVE_PREFIX):
            value = decode_body(record.value).value or {}
            self._switch_version(value["model"], value["new_version"])

    def _switch_version(self, model: str, version: str) -> None:
        """Moves all traffic at once, as soon as an engine has the version."""
        for vm in self._vms:
            if model not in vm.serves or vm.role is not VMRole.ENGINE:
                continue
            for order in ("load", "set_default"):
                with contextlib.suppress(urllib3.exceptions.HTTPError, OSError):
                    self._pool.request(
                        "POST",
                        f"http://{vm.address}/orders",
                        json={
                            "order": order,
                            "model": model,
                            "version": version,
                        },
                        timeout=_POLL_S,
                    )

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        path = environ["PATH_INFO"]
        if path in ("/healthz", "/readyz"):
            status = 200 if self._vms else 503
            return json_response(start_response, status, {})
        body = read_body(environ)
        class_name = environ.get("HTTP_X_CLASS")
        if class_name and class_name not in self._classes:
            return _refuse(start_response, 400, "unknown_class", "")
        if path == CHAT_PATH:
            name, upstream_path = json.loads(body)["model"], path
        else:
            rest = path.removeprefix(SERVICES_PREFIX)
            name, _, tail = rest.partition("/")
            upstream_path = f"/{tail}"
        return self._forward(environ, start_response, name, upstream_path, body)

    def _forward(
        self,
        environ: Environ,
        start_response: StartResponse,
        name: str,
        path: str,
        body: bytes,
    ) -> Iterable[bytes]:
        request_id = make_request_id()
        headers = {**_forwarded(environ), "X-Request-Id": request_id}
        reason = "no_upstream"
        deadline_s = self._deadlines.get(environ.get("HTTP_X_CLASS", ""))
        give_up_at = time.monotonic() + (deadline_s or _DEFAULT_DEADLINE_S)
        for vm in self._next_upstreams(name):
            left_s = give_up_at - time.monotonic()
            if left_s <= 0:
                break
            try:
                response = self._pool.urlopen(
                    environ["REQUEST_METHOD"],
                    f"http://{vm.address}{path}",
                    body=body,
                    headers=headers,
                    timeout=urllib3.Timeout(
                        connect=1.0, read=min(left_s, _FIRST_BYTE_TIMEOUT_S)
                    ),
                    redirect=False,
                    preload_content=False,
                )
            except urllib3.exceptions.ReadTimeoutError:
                reason = "deadline_passed"
                continue
            except (urllib3.exceptions.HTTPError, OSError):
                reason = "upstream_error"
                continue
            if response.status >= 500:
                response.close()
                reason = "upstream_error"
                continue
            start_response(
                status_line(response.status),
                _answer_headers(response, request_id),
            )
            return _Body(response)
        status = 504 if reason == "deadline_passed" else 502
        return _refuse(start_response, status, reason, request_id)

    def _next_upstreams(self, name: str) -> list[VM]:
        serving = [
            vm
            for vm in self._vms
            if name in vm.serves and vm.state is VMState.LIVE
        ]
        if not serving:
            return []
        first = next(self._turns)
        return [serving[(first + i) % len(serving)] for i in range(_TRIES)]


class _Body:
    """Passes an answer on; an answer that breaks just ends."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response

    def __iter__(self) -> Iterator[bytes]:
        sock = getattr(self._response.connection, "sock", None)
        if sock is not None:
            sock.settimeout(_READ_TIMEOUT_S)
        try:
            yield from self._response.stream(_READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError):
            return
        self._response.release_conn()

    def close(self) -> None:
        self._response.close()


def _forwarded(environ: Environ) -> dict[str, str]:
    headers = {}
    for name in _FORWARDED_HEADERS:
        variable = name.upper().replace("-", "_")
        if variable != "CONTENT_TYPE":
            variable = f"HTTP_{variable}"
        if environ.get(variable):
            headers[name] = environ[variable]
    return headers


def _answer_headers(
    response: urllib3.BaseHTTPResponse, request_id: str
) -> list[tuple[str, str]]:
    headers: Mapping[str, str] = response.headers
    kept = [
        (name, headers[name]) for name in _ANSWER_HEADERS if name in headers
    ]
    return [*kept, ("X-Request-Id", request_id)]


def _refuse(
    start_response: StartResponse, status: int, reason: str, request_id: str
) -> Iterable[bytes]:
    error = {
        "reason": reason,
        "message": "the request was not served",
        "ran": "no",
        "request_id": request_id,
    }
    return json_response(start_response, status, {"error": error})


def run_naive(settings: Settings) -> None:
    """Serves until SIGTERM, then stops at once."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    router = NaiveRouter(settings)
    server = HttpServer(
        settings.listen,
        router,
        threads=settings.caller_threads,
        max_body_bytes=settings.max_body_bytes,
    )
    threading.Thread(target=router.poll, daemon=True).start()
    server.start()
    stop.wait()
    # Threads that still relay an answer would keep the process alive.
    os._exit(0)


if __name__ == "__main__":
    run_naive(load_settings(sys.argv[1]))
