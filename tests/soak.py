"""Soak of gateway processes: overlapping signals, restarts and changes.

Clients keep using open connections until the processes are gone. By hand:
`.venv/bin/python tests/soak.py --seeds 50 --first 1`.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import math
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Sequence
from typing import Any

import platform_standin as standin

_TCP_ESTABLISHED = 1
_CLIENTS_PER_GATEWAY = 6
_REUSE_SHARE = 0.8
_DEADLINE_S = 5.0
# Time beyond a limit that is allowed on a busy machine, in seconds.
_SLACK_S = 1.5
_EXIT_SLACK_S = 0.3
# A node that stands still within this time of the end of its grace, in seconds,
# may be killed.
_LAST_STEPS_S = 0.5
_CLOSE_IDLE_S = 2.0
_LEAVING_S = 5.0
_EVENTS = 6
# Time for which some upstreams work on a request, in seconds: longer than what
# is left of a grace, and shorter than an upstream takes to leave.
_LONG_WORK_S = 4.5
_NOT_RUN = (408, 429, 503)
_EXPECTED = (200, 502, 504, *_NOT_RUN)
_LOG_LINES = 15
# Time without a disturbance of a node after which limits bind it, and the
# window in which the requests to a limited upstream are counted, in seconds.
_CONTACT_S = 4.0
_LIMIT_WINDOW_S = 4.0
_LIMITS = (None, None, 2.0, 5.0, 12.0)
_FAULT_LINES = ("connection_failed", "connection_closed_early", "task_failed")


@dataclasses.dataclass
class Node:
    """A gateway, and what was done to it.

    Attributes:
        is_up: Whether its process has started and has not exited.
        grace_s: Longest grace that may be in force, in seconds.
        kills: Monotonic times of SIGKILL.
        terms: Beginning and end of each planned stop, monotonic seconds.
        standstills: Beginning and end of each SIGSTOP, monotonic seconds.
    """

    gateway: standin.GatewayProcess
    is_up: bool = True
    grace_s: float = 5.0
    kills: list[float] = dataclasses.field(default_factory=list)
    terms: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    standstills: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )

    @property
    def name(self) -> str:
        return str(self.gateway.settings["node"])

    def stood_still_s(self, since: float) -> float:
        now = time.monotonic()
        return sum(
            max(min(end, now) - max(start, since), 0)
            for start, end in self.standstills
        )

    def was_killed(self, since: float) -> bool:
        return any(at > since - _EXIT_SLACK_S for at in self.kills)

    def was_disturbed(self, at: float) -> bool:
        """Whether its process was not calm until a time."""
        spans = [(kill, kill) for kill in self.kills]
        return any(
            start <= at and end >= at - _CONTACT_S
            for start, end in spans + self.terms + self.standstills
        )

    def was_stopping(self, since: float, after_s: float = 0.0) -> bool:
        """Whether a planned stop had lasted for a time at some moment."""
        now = time.monotonic()
        return any(a + after_s <= now and b >= since for a, b in self.terms)


class Soak:
    """One run of a soak.

    Attributes:
        failures: What broke a promise: time, node and description.
        statuses: Number of responses by status, and of other outcomes.

    Args:
        cluster: Store and processes.
        seed: Seed of all choices.
        duration_s: Time for which there are disruptions, in seconds.
    """

    def __init__(
        self, cluster: standin.LocalCluster, seed: int, duration_s: float
    ) -> None:
        self.failures: list[tuple[float, Node, str]] = []
        self.statuses: collections.Counter[str] = collections.Counter()
        self._cluster = cluster
        self._seed = seed
        self._duration_s = duration_s
        self._nodes: list[Node] = []
        self._events: list[tuple[float, str, str]] = []
        self._version = 0
        # Times from which an idle timeout and a route timeout are in force.
        self._limits: list[tuple[float, float, float]] = []
        self._upstreams: list[standin.UpstreamStandin] = []
        self._not_run: dict[str, Node] = {}
        self.senders: dict[str, Node] = {}
        # Limit of an upstream, and the time of the first answer with it.
        self._named: dict[str, tuple[float, float]] = {}
        self._is_over = False
        self._longest_lag_s = 0.0

    @property
    def _idle_timeout_s(self) -> float:
        return self._limits[-1][1]

    def generator(self, name: str) -> random.Random:
        return random.Random(f"{self._seed}-{name}")

    async def run(self, gateway_count: int) -> None:
        """Starts the processes, disturbs them and stops them."""
        await self._configure(self.generator("first"))
        for number in range(2):
            await self._add_upstream(f"u-{number}")
        await self._start_gateways(gateway_count)
        others = [
            asyncio.create_task(task)
            for task in (self._watch_lag(), self._change_configuration(),
                         self._change_upstreams())
        ]  # fmt: skip
        clients = [
            asyncio.create_task(self._run_client(number))
            for number in range(_CLIENTS_PER_GATEWAY * gateway_count)
        ]
        ends_at = time.monotonic() + self._duration_s
        try:
            await asyncio.gather(
                *(self._send_signals(node, ends_at) for node in self._nodes),
                *(self._restart(node, ends_at) for node in self._nodes),
            )
            await asyncio.gather(*(self._terminate(n) for n in self._nodes))
            self._is_over = True
            async with asyncio.timeout(3 * _DEADLINE_S):
                await asyncio.gather(*clients)
        finally:
            for task in (*others, *clients):
                task.cancel()
            await asyncio.gather(*others, *clients, return_exceptions=True)
        self._check_runs()
        self._check_limits()
        self._check_logs()

    def report(self) -> str:
        """Describes the failures, with what happened around them."""
        lines = [f"seed {self._seed}: lag {self._longest_lag_s:.2f} s"]
        lines += [
            f"  {at:.3f} {name} {text}" for at, name, text in self._events
        ]
        for at, node, text in self.failures:
            lines.append(f"FAILURE {at:.3f} {node.name}: {text}")
            around = [
                line
                for line in node.gateway.log_lines()
                if abs(line["at"] - at) < 1.5
                and (line["level"] != "info" or "request" not in line)
            ]
            lines += [f"    {line}" for line in around[-_LOG_LINES:]]
        return "\n".join(lines)

    def fail(self, node: Node, text: str, at: float | None = None) -> None:
        self.failures.append((at or time.monotonic(), node, text))

    def _note(self, node: Node | None, text: str) -> None:
        name = "" if node is None else node.name
        self._events.append((time.monotonic(), name, text))

    async def _watch_lag(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(0.05)
            lag_s = time.monotonic() - started_at - 0.05
            self._longest_lag_s = max(self._longest_lag_s, lag_s)

    async def _start_gateways(self, count: int) -> None:
        shared: dict[str, object] = {}
        for number in range(1, count + 1):
            gateway = await self._cluster.add_gateway(
                f"node-{number}",
                peer_host=f"127.0.0.{number + 1}",
                seeds=["127.0.0.2:1"],
                drain_grace_s=5,
                **shared,
            )
            shared = {
                name: gateway.settings[name]
                for name in ("peer_port", "coordination_port", "metrics_port")
            }
            self._nodes.append(Node(gateway))
        for node in self._nodes:
            await node.gateway.wait_ready()

    async def _configure(self, rng: random.Random) -> None:
        self._version += rng.randint(1, 3)
        idle_s = rng.choice([1.5, 2.0, 3.0, 4.0])
        timeout_s = rng.choice([2.0, 3.0, 4.0])
        routes = [
            standin.route(
                name, kind, timeout_ms=timeout_s * 1000, target_itl_ms=250
            )
            for name, kind in (
                ("read", "idempotent"),
                ("pay", "non_idempotent"),
                ("call", "streaming"),
            )
        ]
        extra = rng.choice([0, 0, 1, 300, 3000])
        routes += [standin.route(f"extra-{n}") for n in range(extra)]
        config = standin.configuration(
            self._version,
            routes,
            limits={
                "max_header_bytes": rng.choice([4096, 8192, 16384]),
                "max_body_bytes": rng.choice([10_000, 100_000]),
                "header_timeout_ms": rng.choice([2000, 3000]),
                "idle_timeout_ms": idle_s * 1000,
            },
            tenants=[
                {
                    "name": "acme",
                    "api_keys": ["k1"],
                    "rate_per_s": rng.choice([20, 500]),
                    "burst_size": 100,
                }
            ],
        )
        await self._cluster.store.put("op", "config", config)
        self._limits.append((time.monotonic(), idle_s, timeout_s))
        self._note(
            None,
            f"configuration {self._version}: idle timeout {idle_s:g} s,"
            f" route timeout {timeout_s:g} s, {extra} routes more",
        )

    async def _change_configuration(self) -> None:
        rng = self.generator("configuration")
        while True:
            await asyncio.sleep(rng.uniform(0.2, 3.0))
            await self._configure(rng)

    async def _add_upstream(self, name: str) -> standin.UpstreamStandin:
        upstream = await self._cluster.add_upstream(
            name, self._work, slot_count=40
        )
        self._upstreams.append(upstream)
        return upstream

    async def _change_upstreams(self) -> None:
        rng = self.generator("upstreams")
        store = self._cluster.store
        for number in range(2, 1000):
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            leaving = self._upstreams[-2]
            await self._add_upstream(f"u-{number}")
            self._note(None, f"{leaving.upstream_id} leaves")
            await store.put(
                "servers",
                leaving.upstream_id,
                leaving.registration("svc", "draining", slot_count=40),
            )
            await asyncio.sleep(_LEAVING_S)
            await store.remove("servers", leaving.upstream_id)
            await leaving.stop()

    async def _work(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        rng = self.generator(request.headers["attempt-id"])
        limit = self.generator(upstream.upstream_id).choice(_LIMITS)
        named = {}
        if limit is not None:
            named["Server-Limit"] = f"{limit:g}"
            self._named.setdefault(
                upstream.upstream_id, (limit, time.monotonic())
            )
        pause_s = 1.0 if rng.random() < 0.2 else 0.02
        if rng.random() < 0.03:
            pause_s = _LONG_WORK_S
        if request.path.startswith("/call/"):
            stream = standin.stream(_EVENTS, pause_s / _EVENTS, fields=named)
            await stream(upstream, request, writer)
            return
        upstream.started_attempts.append(request.headers["attempt-id"])
        await asyncio.sleep(pause_s)
        fields = standin.seal_headers(request, **named)
        writer.write(
            standin.response_bytes(200, b"ran:" + request.body, fields)
        )

    async def _send_signals(self, node: Node, ends_at: float) -> None:
        """Sends signals that don't end the process, at any moment."""
        rng = self.generator(f"signals-{node.name}")
        while time.monotonic() < ends_at:
            await asyncio.sleep(rng.uniform(0.2, 2.0))
            action = rng.choice(["reload", "standstill", "repeated SIGTERM"])
            pause_s = rng.uniform(0.3, 3.0)
            grace_s = rng.choice([4.0, 5.0])
            if not node.is_up:
                continue
            if action == "reload":
                node.gateway.settings["drain_grace_s"] = grace_s
                node.gateway.write_settings()
                self._signal(node, signal.SIGHUP, f"grace {grace_s:g} s")
            elif action == "standstill":
                await self._stand_still(node, pause_s)
            elif node.was_stopping(time.monotonic()):
                self._signal(node, signal.SIGTERM, "repeated")

    async def _stand_still(self, node: Node, pause_s: float) -> None:
        started_at = time.monotonic()
        index = len(node.standstills)
        node.standstills.append((started_at, math.inf))
        self._signal(node, signal.SIGSTOP, f"{pause_s:.2f} s")
        await asyncio.sleep(pause_s)
        self._signal(node, signal.SIGCONT)
        node.standstills[index] = (started_at, time.monotonic())

    def _signal(
        self, node: Node, number: signal.Signals, text: str = ""
    ) -> None:
        self._note(node, f"{number.name} {text}")
        with contextlib.suppress(OSError):
            node.gateway.signal(number)

    async def _restart(self, node: Node, ends_at: float) -> None:
        rng = self.generator(f"restart-{node.name}")
        while time.monotonic() + _LEAVING_S < ends_at:
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            if rng.random() < 0.25:
                node.kills.append(time.monotonic())
                self._signal(node, signal.SIGKILL)
                node.is_up = False
                await node.gateway.wait()
            else:
                await self._terminate(node)
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            await node.gateway.start()
            await node.gateway.wait_ready()
            node.is_up = True

    async def _terminate(self, node: Node) -> None:
        """Stops a node as its supervisor does: SIGTERM, grace, SIGKILL."""
        rng = self.generator(f"terminate-{node.name}-{len(node.terms)}")
        standstill_s = rng.uniform(0.1, 1.5) if rng.random() < 0.4 else 0.0
        started_at = time.monotonic()
        killed_at = started_at + node.grace_s
        node.terms.append((started_at, math.inf))
        self._signal(node, signal.SIGTERM)
        exited = asyncio.ensure_future(node.gateway.wait())
        if standstill_s:
            await self._stand_still(node, standstill_s)
        await asyncio.wait({exited}, timeout=killed_at - time.monotonic())
        if not exited.done():
            if node.stood_still_s(killed_at - _LAST_STEPS_S) > 0:
                node.kills.append(time.monotonic())
            else:
                self.fail(node, "still runs at the end of its grace")
            self._signal(node, signal.SIGKILL)
        status = await exited
        node.is_up = False
        node.terms[-1] = (started_at, time.monotonic())
        self._note(node, f"exited with {status}")
        if status and not node.was_killed(killed_at - _LAST_STEPS_S):
            self.fail(node, f"exited with {status}")

    async def _run_client(self, number: int) -> None:
        rng = self.generator(f"client-{number}")
        while not self._is_over:
            node = rng.choice(self._nodes)
            try:
                reader, writer = await asyncio.open_connection(
                    standin.HOST, node.gateway.port
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                await _Connection(self, node, reader, writer, rng).run(number)
            finally:
                writer.transport.abort()

    async def wait_idle(self, idle_since: float, share: float) -> bool:
        """Waits for a share of the idle timeout; returns whether to reuse."""
        while (idle_s := time.monotonic() - idle_since) < (
            share * self._idle_timeout_s
        ):
            await asyncio.sleep(0.02)
        return idle_s <= _REUSE_SHARE * self._idle_timeout_s

    def check_close(self, node: Node, opened_at: float, idle_at: float) -> None:
        """Checks that the close of an unused connection was due."""
        idle_s = time.monotonic() - idle_at
        recent = [
            idle_timeout_s
            for index, (_, idle_timeout_s, _) in enumerate(self._limits)
            if index + 1 == len(self._limits)
            or self._limits[index + 1][0] > idle_at - _LEAVING_S
        ]
        if idle_s < 0.9 * min(recent) and not (
            node.was_killed(opened_at) or node.was_stopping(opened_at)
        ):
            self.fail(node, f"connection closed after {idle_s:.2f} s idle")

    async def read_answer(
        self,
        node: Node,
        reader: asyncio.StreamReader,
        attempt: str,
        body: bytes,
        opened_at: float,
        begun_at: float,
        is_first: bool,
    ) -> standin.ClientResponse | None:
        """Reads and checks an answer; returns None if it isn't complete.

        The node counts the time of a request from the end of its header, which
        may have been sent after `begun_at`.
        """
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(4 * _DEADLINE_S):
                response = await standin.read_response(reader)
        except TimeoutError:
            self.fail(node, f"{attempt}: no answer in {4 * _DEADLINE_S} s")
            return None
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            if node.was_killed(opened_at):
                self.statuses["killed"] += 1
            elif is_first and node.was_stopping(opened_at, _CLOSE_IDLE_S):
                self.statuses["not accepted"] += 1
            else:
                self.fail(
                    node,
                    f"{attempt}: no answer: {error!r}; connection opened at"
                    f" {opened_at:.3f}, {'first' if is_first else 'later'}"
                    " request",
                )
            return None
        took_s = time.monotonic() - sent_at - node.stood_still_s(sent_at)
        if took_s > max(entry[2] for entry in self._limits) + _SLACK_S:
            self.fail(node, f"{attempt}: answered after {took_s:.2f} s")
        if response.status in _NOT_RUN:
            self._not_run[attempt] = node
        self.statuses[str(response.status)] += 1
        if response.is_complete:
            self._check_body(node, attempt, body, response)
            return response
        self.statuses["cut"] += 1
        has_timed_out = time.monotonic() - begun_at >= min(
            entry[2] for entry in self._limits
        )
        if not has_timed_out and not node.was_killed(opened_at):
            self.fail(node, f"{attempt}: cut: {response}")
        return None

    def _check_body(
        self,
        node: Node,
        attempt: str,
        body: bytes,
        response: standin.ClientResponse,
    ) -> None:
        expected = b"ran:" + body
        if attempt.startswith("call"):
            expected = b"".join(
                b"id: %d\ndata: event %d\n\n" % (n, n)
                for n in range(1, _EVENTS + 1)
            )
        if response.status not in _EXPECTED or (
            response.status == 200 and response.body != expected
        ):
            self.fail(node, f"{attempt}: {response}")

    def _check_runs(self) -> None:
        runs = collections.Counter(
            attempt
            for upstream in self._upstreams
            for attempt in upstream.started_attempts
        )
        for attempt, node in self._not_run.items():
            if runs[attempt]:
                self.fail(node, f"{attempt}: ran and was refused as not run")
        for attempt, count in runs.items():
            if attempt.startswith("pay") and count > 1:
                self.fail(self._nodes[0], f"{attempt}: ran {count} times")

    def _check_limits(self) -> None:
        for upstream in self._upstreams:
            limit, named_at = self._named.get(
                upstream.upstream_id, (0.0, math.inf)
            )
            times = [
                request.received_at
                for request in upstream.received_requests
                if request.received_at > named_at + _CONTACT_S
                and not self.senders[
                    request.headers["attempt-id"]
                ].was_disturbed(request.received_at)
            ]
            for at in times:
                count = sum(
                    at <= other < at + _LIMIT_WINDOW_S for other in times
                )
                if count > 1.5 * limit * _LIMIT_WINDOW_S + 5:
                    text = f"{upstream.upstream_id}: {count} at {limit:g}/s"
                    self.fail(self._nodes[0], text, at)
                    break

    def _check_logs(self) -> None:
        for node in self._nodes:
            for line in node.gateway.log_lines():
                # Half of a request at the end of a stop has no answer, nor do
                # requests behind an answer that the end of the grace cuts.
                if line["event"] in _FAULT_LINES and (
                    line.get("cause") != "stopping"
                    or (line["unread_bytes"] and not _is_cut(line))
                ):
                    self.fail(node, str(line), line["at"])
            _, traceback, rest = node.gateway.log_path.read_text().partition(
                "Traceback"
            )
            if traceback:
                self.fail(node, traceback + rest[:3000])


def _is_cut(line: dict[str, Any]) -> bool:
    """Whether an early close cut an answer that had begun."""
    return bool(line.get("has_begun") and not line.get("is_whole"))


class _Connection:
    """A connection of a client, which reuses it while it may."""

    def __init__(
        self,
        soak: Soak,
        node: Node,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        rng: random.Random,
    ) -> None:
        self._soak = soak
        self._node = node
        self._reader = reader
        self._writer = writer
        self._rng = rng
        self._opened_at = self._idle_at = time.monotonic()

    async def run(self, client: int) -> None:
        """Sends requests until the connection closes or isn't reused."""
        for use in range(self._rng.randint(1, 12)):
            share = self._rng.choice([0.0, 0.1, 0.5, self._rng.random()])
            if use and not await self._soak.wait_idle(
                self._idle_at, _REUSE_SHARE * share
            ):
                return
            if not self._is_open():
                self._soak.check_close(
                    self._node, self._opened_at, self._idle_at
                )
                return
            if not await self._send_requests(f"{client}-{use}", use == 0):
                return

    def _is_open(self) -> bool:
        """Whether the server hadn't closed the connection by now."""
        sock = self._writer.get_extra_info("socket")
        if sock.fileno() < 0:
            return False
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return bool(info[0] == _TCP_ESTABLISHED)

    async def _send_requests(self, name: str, is_first: bool) -> bool:
        """Returns whether the connection stays open."""
        rng = self._rng
        requests = []
        for number in range(rng.choice([1, 1, 1, 3])):
            kind = rng.choice(["read", "pay", "call"])
            attempt = f"{kind}-{name}-{number}-{rng.getrandbits(32):x}"
            body = rng.randbytes(rng.choice([1, 10, 5000])).hex().encode()
            requests.append((attempt, kind, body[:9000]))
            self._soak.senders[attempt] = self._node
        data = b"".join(
            standin.request_bytes(
                "POST",
                f"/{kind}/x",
                body,
                {
                    "Attempt-Id": attempt,
                    "Deadline-Ms": str(int(_DEADLINE_S * 1000)),
                    "Authorization": "Token k1",
                },
            )
            for attempt, kind, body in requests
        )
        begun_at = time.monotonic()
        if len(requests) == 1 and rng.random() < 0.3:
            cut = rng.randrange(1, len(data))
            self._writer.write(data[:cut])
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            data = data[cut:]
            if not self._is_open():
                self._soak.check_close(self._node, self._opened_at, begun_at)
                self._soak.statuses["closed in a request"] += 1
                return False
        self._writer.write(data)
        stays_open = True
        for attempt, _, body in requests:
            if not stays_open:
                self._soak.fail(self._node, f"{attempt}: not processed")
                return False
            response = await self._soak.read_answer(
                self._node,
                self._reader,
                attempt,
                body,
                self._opened_at,
                begun_at,
                is_first,
            )
            if response is None:
                return False
            stays_open = response.headers.get("connection") != "close"
        self._idle_at = time.monotonic()
        return stays_open


def run_seed(
    seed: int, gateway_count: int = 0, duration_s: float = 20.0
) -> tuple[list[str], str]:
    """Runs a soak; returns its failures and a report of it.

    Args:
        seed: Seed of all choices.
        gateway_count: Number of gateways; 0 draws 2 or 3.
        duration_s: Time for which there are disruptions, in seconds.
    """

    async def run(directory: pathlib.Path) -> tuple[list[str], str]:
        async with standin.local_cluster(directory) as cluster:
            soak = Soak(cluster, seed, duration_s)
            count = gateway_count or soak.generator("count").randint(2, 3)
            await soak.run(count)
            failures = [text for _, _, text in soak.failures]
            summary = f"seed {seed}: {count} gateways, {dict(soak.statuses)}"
            return failures, soak.report() if failures else summary

    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(run(pathlib.Path(directory)))


def main(arguments: Sequence[str]) -> int:
    """Runs the soak with many seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=0, help="0: 2 or 3")
    parser.add_argument("--duration", type=float, default=20.0, help="seconds")
    options = parser.parse_args(arguments)
    failed = []
    for seed in range(options.first, options.first + options.seeds):
        failures, report = run_seed(seed, options.gateways, options.duration)
        print(report, flush=True)
        if failures:
            failed.append(seed)
    print(f"{options.seeds} seeds, failed: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
