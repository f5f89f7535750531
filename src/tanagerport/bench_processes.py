"""Processes of one bench run: nodes, routers and simulated upstreams."""

import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Any

import urllib3

_READY_TIMEOUT_S = 12.0
_READY_POLL_S = 0.05
_ADMIN_TIMEOUT_S = 5.0
_LOG_TAIL_BYTES = 2000
_PORTS = (15_000, 32_000)

_random = random.SystemRandom()
_http = urllib3.PoolManager(maxsize=16, retries=False)


class BenchError(Exception):
    """A process of the bench did not do what it must."""


class HostProcess:
    """Process with simulated upstreams; see `standin_host`."""

    def __init__(self, specification: Mapping[str, Any]) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tanagerport.standin_host"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdin is not None
        assert self._process.stdout is not None
        print(json.dumps(specification), file=self._process.stdin, flush=True)
        line = self._process.stdout.readline()
        if not line:
            raise BenchError("the simulators did not start")
        self.addresses: dict[str, str] = json.loads(line)

    @property
    def process_id(self) -> int:
        """Id of the process."""
        return self._process.pid

    def stop(self) -> None:
        """Ends the process, which keeps nothing that must be saved."""
        self._process.kill()
        self._process.wait()
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                pipe.close()


class NodeProcess:
    """Process of one node or naive router.

    Args:
        command: Arguments of the Python interpreter; the settings file is
            inserted for `{settings}`.
        settings: Settings document.
        directory: Where settings and log are written.
    """

    def __init__(
        self,
        command: Sequence[str],
        settings: Mapping[str, Any],
        directory: pathlib.Path,
    ) -> None:
        self.node_id: str = settings["node_id"]
        self.zone: str = settings["zone"]
        self.address: str = settings["listen"]
        self.operator_address: str = settings["operator_listen"]
        path = directory / f"{self.node_id}.json"
        path.write_text(json.dumps(settings))
        self._log_path = directory / f"{self.node_id}.log"
        self._arguments = [
            sys.executable,
            *(item.replace("{settings}", str(path)) for item in command),
        ]
        self._process = self._start()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def restart(self) -> None:
        """Starts the process again after it ended."""
        self._process = self._start()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once; nodes keep nothing that must be saved."""
        self.signal(signal.SIGKILL)
        self._process.wait()

    def log_tail(self) -> str:
        """Returns the end of the process's output."""
        return self._log_path.read_bytes()[-_LOG_TAIL_BYTES:].decode(
            "utf-8", "replace"
        )

    def is_ready(self) -> bool:
        """Returns whether the node takes callers' requests."""
        try:
            response = _http.request(
                "GET", f"http://{self.address}/readyz", timeout=0.5
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return response.status == 200

    def wait_ready(self) -> None:
        """Waits until the node is ready.

        Raises:
            BenchError: The node ended or took too long.
        """
        give_up_at = time.monotonic() + _READY_TIMEOUT_S
        while not self.is_ready():
            if not self.is_running or time.monotonic() > give_up_at:
                raise BenchError(
                    f"{self.node_id} did not become ready:\n{self.log_tail()}"
                )
            time.sleep(_READY_POLL_S)

    def _start(self) -> subprocess.Popen[bytes]:
        with self._log_path.open("ab") as log:
            return subprocess.Popen(
                self._arguments, stdout=log, stderr=subprocess.STDOUT
            )


def free_addresses(count: int) -> list[str]:
    """Returns `ip:port` addresses that were free a moment ago.

    They lie below the range from which the system takes the ports of
    outgoing connections, so that none of those takes them before use.
    """
    found: list[str] = []
    while len(found) < count:
        port = _random.randrange(*_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        address = f"127.0.0.1:{port}"
        if address not in found:
            found.append(address)
    return found


def exchange_json(
    method: str,
    url: str,
    document: object | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = _ADMIN_TIMEOUT_S,
) -> tuple[int, Any]:
    """Sends a request and returns the status and the decoded answer.

    Raises:
        BenchError: The server was not reached.
    """
    try:
        response = _http.request(
            method,
            url,
            body=None if document is None else json.dumps(document),
            headers=dict(headers or {}),
            timeout=timeout_s,
        )
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise BenchError(f"{method} {url}: {error}") from error
    try:
        return response.status, json.loads(response.data or b"null")
    except ValueError:
        return response.status, None
