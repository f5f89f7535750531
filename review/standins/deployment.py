"""Starts the project's nodes and runs a case against them."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import re
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from standins import http, ports
from standins.record import Record
from standins.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
# Parameters of the site `obi-fittings`.
PARAMETERS = {
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
}
CONTACT_S = PARAMETERS["contact_ms"] / 1000
CONFIG_APPLY_S = 2.5
_READY_TIMEOUT_S = 20.0
_PROBE_INTERVAL_S = 1.0
_PROBE_TIMEOUT_S = 1.0
_MAX_MISSED_PROBES = 2


class CaseError(Exception):
    """The case could not run."""


class Node:
    """A process of the project, started as the deploy file says.

    Args:
        name: Name of the machine.
        host: Its loopback address.
        fields: Fields of the platform's settings.
        directory: Folder for the settings and the log.
    """

    def __init__(
        self,
        name: str,
        host: str,
        fields: Mapping[str, Any],
        directory: pathlib.Path,
    ) -> None:
        listeners = fields["listeners_map"]
        self.name = name
        self.host = host
        self.frontend = _parse(listeners["frontend"])
        self.ready = _parse(listeners["ready"])
        self._settings_path = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._command = role["run"].split()
        template = (ROOT / role["template"]).read_text()
        self._settings_path.write_text(_render(template, fields))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": "target/deps",
                    "TANAGERPORT_SETTINGS": str(self._settings_path),
                },
            )

    async def stop(self) -> None:
        """Kills the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Asks the node as the platform does."""
        answer = await http.fetch(
            self.ready,
            "GET",
            "/-/readyz",
            {"Host": self.host},
            timeout_s=_PROBE_TIMEOUT_S,
        )
        return answer.status == 200

    def log_tail(self) -> str:
        """Returns the end of the log."""
        return self._log_path.read_text()[-2000:]


class Deployment:
    """The store, the balancer and the nodes of one zone.

    Args:
        record: Record of the case.
        directory: Folder for files of the nodes.
    """

    def __init__(self, record: Record, directory: pathlib.Path) -> None:
        self.record = record
        self.store = Store()
        self.nodes: list[Node] = []
        self._directory = directory
        self._missed: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._random = random.Random(1)

    async def start_nodes(self, count: int) -> None:
        """Starts nodes and waits until all are ready.

        Raises:
            CaseError: A node does not become ready.
        """
        hosts = [f"127.0.0.{11 + index}" for index in range(count)]
        numbers = ports.take_free(hosts, 4)
        for index, host in enumerate(hosts):
            name = f"edge-zone-a-{index + 1}"
            fields = {
                "node_name": name,
                "zone": "zone-a",
                "zones": {"zone-a": "region-1"},
                "ip_address": host,
                "listeners_map": {
                    "frontend": f"{host}:{numbers[0]}",
                    "ready": f"{host}:{numbers[1]}",
                },
                "internal_port_range": [numbers[2], numbers[3]],
                "seed_nodes": [f"{seed}:{numbers[1]}" for seed in hosts[:3]],
                "limits": {"link_mbps": 1000.0},
                "parameters": PARAMETERS,
                "platform": {"address": f"127.0.0.1:{self.store.port}"},
            }
            node = Node(name, host, fields, self._directory)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            await self._await_ready(node)

    async def _await_ready(self, node: Node) -> None:
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while not await node.is_ready():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise CaseError(
                f"{node.name} is not ready: {node.log_tail()}"
            ) from None

    async def stop(self) -> None:
        """Ends all that was started."""
        for node in self.nodes:
            await node.stop()
        self.store.stop()

    async def probe(self) -> None:
        """Asks all nodes once a second whether they are ready."""
        while True:
            await asyncio.gather(*map(self._probe_node, self.nodes))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe_node(self, node: Node) -> None:
        is_ready = await node.is_ready()
        missed = 0 if is_ready else self._missed.get(node.name, 0) + 1
        self._missed[node.name] = missed
        if missed:
            self.record.add("probe", "", f"{node.name} missed {missed}")

    def pick_node(self) -> Node:
        """Picks the node of a new connection as the platform does."""
        rotation = [
            node
            for node in self.nodes
            if self._missed.get(node.name, 0) < _MAX_MISSED_PROBES
        ]
        if 2 * len(rotation) < len(self.nodes):
            rotation = self.nodes
        return self._random.choice(rotation)

    async def send(
        self,
        label: str,
        method: str,
        target: str,
        fields: Mapping[str, str],
        body: bytes = b"",
        timeout_s: float = 3.0,
        max_gap_s: float | None = None,
        node: Node | None = None,
    ) -> tuple[str, http.Answer]:
        """Sends a request as a client; returns its id and the answer."""
        node = node or self.pick_node()
        attempt = f"{label}-{next(self._numbers)}"
        self.record.add("sent", attempt, f"to {node.name}: {method} {target}")
        answer = await http.fetch(
            node.frontend,
            method,
            target,
            {
                "Host": "shop.example",
                "Attempt-Id": attempt,
                "Deadline-Ms": str(round(timeout_s * 1000)),
                **fields,
            },
            body,
            timeout_s,
            max_gap_s,
        )
        end = "whole" if answer.is_complete else "cut"
        if answer.gave_up:
            end = "the client gave up"
        self.record.add(
            "answered" if answer.status else "no answer",
            attempt,
            f"{answer.status} after {answer.ended_at - answer.sent_at:.3f} s,"
            f" {end}",
        )
        return attempt, answer


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": "shop.example",
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority_class": 1,
        "service": "desk",
        "max_attempts": 1,
        "public": False,
        "session_affinity": False,
        "stream_resume": False,
        **fields,
    }


def configuration(
    version: int, routes: list[dict[str, Any]], keys: list[str], **quota: int
) -> dict[str, Any]:
    """Returns a configuration with one tenant.

    Args:
        version: Number of the configuration.
        routes: All routes.
        keys: Keys of the tenant.
        quota: `rate_per_s` and `burst_size` of the tenant; no limit without.
    """
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "desk",
                "health_path": "/healthz",
                "max_connections": 96,
                "protocol": "h1",
                "tls_enabled": False,
            },
            {
                "name": "model",
                "health_path": "/healthz",
                "max_connections": 360,
                "protocol": "h1",
                "tls_enabled": False,
                "inference_engine": {
                    "slot_count": 13,
                    "kv_capacity": 754877,
                    "step_size": 6,
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "tenant-1",
                "api_keys": keys,
                "priority_class": 1,
                "billing_unit": "tokens",
                "uncached_tokens": 200,
                **quota,
            }
        ],
    }


def run_case(
    directory: pathlib.Path,
    case: Callable[[Deployment, bool], Awaitable[str | None]],
) -> int:
    """Runs a case and returns the exit status.

    Args:
        directory: Folder of the case, for `record.txt`.
        case: Plays the case with or without its disruption; returns how the
            rule was broken, or None.
    """
    record = Record(directory / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> str | None:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(record, pathlib.Path(temporary))
            await deployment.store.start()
            try:
                return await case(deployment, has_trouble)
            finally:
                await deployment.stop()

    try:
        breach = asyncio.run(play())
    except Exception as error:  # A fault of the script is no breach.
        record.add("not run", "", repr(error))
        print(f"not run: {error!r}", file=sys.stderr)
        return EXIT_NOT_RUN
    else:
        record.add("result", "", breach or "the rule held")
        print(breach or "the rule held")
        return EXIT_HELD if breach is None else EXIT_BROKEN
    finally:
        record.write()


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _render(template: str, fields: Mapping[str, Any]) -> str:
    """Fills in the template of the settings, as far as it uses the syntax."""

    def look_up(path: str) -> Any:
        value: Any = fields
        for name in path.split("."):
            value = value[int(name) if isinstance(value, list) else name]
        return value

    def render_section(match: re.Match[str]) -> str:
        return ",".join(json.dumps(entry) for entry in look_up(match[1]))

    text = re.sub(
        r"\{\{#(\w+)\}\}\{\{\.\|json\}\}\{\{,\}\}\{\{/\1\}\}",
        render_section,
        template,
    )
    return re.sub(
        r"\{\{([\w.]+)\|json\}\}",
        lambda match: json.dumps(look_up(match[1])),
        text,
    )
