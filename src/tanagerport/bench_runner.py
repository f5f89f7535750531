"""Runs one side of a scenario: starts it, replays the trace, observes."""

import asyncio
import contextlib
import dataclasses
import enum
import functools
import itertools
import json
import pathlib
import signal
import tempfile
import time
from collections.abc import Iterator, Sequence
from typing import Any

from tanagerport.bench_caller import CallRecord, Target, call
from tanagerport.bench_judge import Execution, History
from tanagerport.bench_processes import (
    HostProcess,
    NodeProcess,
    exchange_json,
    free_addresses,
    set_faults,
)
from tanagerport.bench_scenarios import (
    MODEL,
    OLD_VERSION,
    PROFILE,
    SERVICE,
    Action,
    Fault,
    Scenario,
    engine_id,
    node_id,
    service_id,
)
from tanagerport.bench_trace import TracedRequest
from tanagerport.fault_proxy import FaultProxy

_SETTLE_S = 0.5
_BALANCER_POLL_S = 0.25
OPERATOR_TOKEN = "bench-operator-token"
_PEER_TOKEN = "bench-peer-token"


class Side(enum.StrEnum):
    """What is measured."""

    NAIVE = "naive"
    PRODUCT = "product"


_COMMANDS = {
    Side.NAIVE: ("-m", "tanagerport.naive", "{settings}"),
    Side.PRODUCT: ("-m", "tanagerport", "node", "--settings={settings}"),
}


def run_side(
    side: Side, scenario: Scenario, trace: Sequence[TracedRequest], seed: int
) -> History:
    """Runs one side and returns what was observed.

    Args:
        side: Naive router or product.
        scenario: Scenario to run.
        trace: Requests to replay.
        seed: Seed of the simulators.

    Raises:
        BenchError: A process did not start.
    """
    return asyncio.run(_Run(side, scenario, trace, seed).run())


@dataclasses.dataclass
class _Upstream:
    """A simulated upstream and where nodes reach it."""

    vm: dict[str, Any]
    direct: str
    proxy: FaultProxy | None = None


class _Run:
    """State of the run of one side."""

    def __init__(
        self,
        side: Side,
        scenario: Scenario,
        trace: Sequence[TracedRequest],
        seed: int,
    ) -> None:
        self._side = side
        self._scenario = scenario
        self._trace = trace
        self._seed = seed
        self._upstreams: dict[str, _Upstream] = {}
        self._nodes: dict[str, NodeProcess] = {}
        self._ready: dict[str, bool] = {}
        self._turns = itertools.count()
        self._leaving_since: dict[str, float] = {}
        self._stopped_at: dict[str, float] = {}

    async def run(self) -> History:
        with contextlib.ExitStack() as stack:
            directory = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            await self._start_upstreams(stack)
            await self._start_nodes(stack, directory)
            balancer = asyncio.create_task(self._watch_readiness())
            try:
                calls = await self._replay()
            finally:
                balancer.cancel()
            await asyncio.sleep(_SETTLE_S)
            executions = await self._collect()
        return History(
            calls,
            executions,
            {name: item.zone for name, item in self._nodes.items()},
            self._leaving_since,
            self._stopped_at,
            frozenset(
                item.work_class.name
                for item in self._scenario.classes
                if not item.work_class.idempotent
            ),
        )

    async def _start_upstreams(self, stack: contextlib.ExitStack) -> None:
        vms = list(_upstream_vms(self._scenario))
        host = HostProcess(_host_specification(self._scenario, vms, self._seed))
        stack.callback(host.stop)
        for vm in vms:
            direct = host.addresses[vm["vm_id"]]
            upstream = _Upstream(vm, direct)
            if self._scenario.proxied:
                upstream.proxy = FaultProxy(direct)
                await upstream.proxy.start()
                stack.callback(upstream.proxy.stop)
            vm["address"] = upstream.proxy.address if upstream.proxy else direct
            self._upstreams[vm["vm_id"]] = upstream

    async def _start_nodes(
        self, stack: contextlib.ExitStack, directory: pathlib.Path
    ) -> None:
        for settings in self._node_settings():
            node = NodeProcess(_COMMANDS[self._side], settings, directory)
            stack.callback(node.stop)
            self._nodes[node.node_id] = node
        await asyncio.gather(
            *(
                asyncio.to_thread(node.wait_ready)
                for node in self._nodes.values()
            )
        )
        self._ready = dict.fromkeys(self._nodes, True)

    def _node_settings(self) -> Iterator[dict[str, Any]]:
        for zone in self._scenario.zones:
            for number in range(1, zone.nodes + 1):
                listen, operator_listen, peer_listen = free_addresses(3)
                yield {
                    "node_id": node_id(zone.name, number),
                    "zone": zone.name,
                    "region": zone.region,
                    "listen": listen,
                    "operator_listen": operator_listen,
                    "peer_listen": peer_listen,
                    "operator_token": OPERATOR_TOKEN,
                    "peer_token": _PEER_TOKEN,
                    "platform": {
                        "vms": [item.vm for item in self._upstreams.values()]
                    },
                    "classes": [
                        dataclasses.asdict(item.work_class)
                        for item in self._scenario.classes
                    ],
                    "log_level": "warning",
                }

    async def _watch_readiness(self) -> None:
        """Polls the nodes' readiness, as a load balancer does."""
        while True:
            for name, node in self._nodes.items():
                self._ready[name] = await asyncio.to_thread(node.is_ready)
            await asyncio.sleep(_BALANCER_POLL_S)

    def _targets(self, zone: str) -> list[Target]:
        """Returns nodes in the load balancer's order for a caller's zone."""
        turn = next(self._turns)
        nodes = list(self._nodes.values())
        nodes = nodes[turn % len(nodes) :] + nodes[: turn % len(nodes)]
        nodes.sort(
            key=lambda node: (
                not self._ready.get(node.node_id),
                node.zone != zone,
            )
        )
        return [(node.node_id, node.address) for node in nodes]

    async def _replay(self) -> list[CallRecord]:
        started = time.monotonic()
        tasks = [
            asyncio.create_task(self._apply(fault, started))
            for fault in self._scenario.faults
        ]
        calls = []
        for request in self._trace:
            await _sleep_until(started + request.at_s)
            calls.append(
                asyncio.create_task(
                    call(
                        request, functools.partial(self._targets, request.zone)
                    )
                )
            )
        records = await asyncio.gather(*calls)
        await asyncio.gather(*tasks)
        return list(records)

    async def _apply(self, fault: Fault, started: float) -> None:
        await _sleep_until(started + fault.at_s)
        if fault.action is Action.UPSTREAM_FAULTS:
            if fault.details.get("leaving"):
                self._note_leaving(fault.target)
            upstream = self._upstreams[fault.target]
            await set_faults(upstream.direct, dict(fault.details))
        elif fault.action is Action.SILENCE_LINKS:
            for name, upstream in self._upstreams.items():
                if upstream.proxy and name.startswith(fault.target):
                    upstream.proxy.silence_open()
        elif fault.action is Action.KILL_NODE:
            self._nodes[fault.target].signal(signal.SIGKILL)
        elif fault.action is Action.STOP_NODE:
            self._stopped_at[fault.target] = time.monotonic()
            self._nodes[fault.target].signal(signal.SIGTERM)
        else:
            raise NotImplementedError(fault.action)

    def _note_leaving(self, vm_id: str) -> None:
        self._leaving_since.setdefault(vm_id, time.monotonic())

    async def _collect(self) -> list[Execution]:
        executions: list[Execution] = []
        for upstream in self._upstreams.values():
            _, document = await asyncio.to_thread(
                exchange_json, "GET", f"http://{upstream.direct}/admin/log"
            )
            executions.extend(
                _execution(upstream.vm, entry) for entry in document["requests"]
            )
        return executions


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def _upstream_vms(scenario: Scenario) -> Iterator[dict[str, Any]]:
    for zone in scenario.zones:
        place = {"zone": zone.name, "region": zone.region}
        for number in range(1, zone.engines + 1):
            yield {
                "vm_id": engine_id(zone.name, number),
                "role": "engine",
                **place,
                "serves": [MODEL],
                "slots": 6,
            }
        for number in range(1, zone.services + 1):
            yield {
                "vm_id": service_id(zone.name, number),
                "role": "service",
                **place,
                "serves": [SERVICE],
                "slots": 16,
            }


def _host_specification(
    scenario: Scenario, vms: Sequence[dict[str, Any]], seed: int
) -> dict[str, Any]:
    engines = {}
    for number, vm in enumerate(vms):
        if vm["role"] == "engine":
            profile = scenario.profiles.get(vm["vm_id"], PROFILE)
            engines[vm["vm_id"]] = {
                "profile": dataclasses.asdict(profile),
                "versions": {MODEL: [OLD_VERSION]},
                "seed": seed * 1000 + number,
            }
    services: dict[str, dict[str, Any]] = {
        vm["vm_id"]: {} for vm in vms if vm["role"] == "service"
    }
    return {"engines": engines, "services": services}


def _execution(vm: dict[str, Any], entry: dict[str, Any]) -> Execution:
    now = time.monotonic()
    return Execution(
        upstream=vm["vm_id"],
        zone=vm["zone"],
        is_engine=vm["role"] == "engine",
        request_id=entry["request_id"],
        key=entry["key"],
        marker=entry["marker"],
        model=entry.get("model", ""),
        version=entry.get("version", ""),
        started=entry["started"],
        ended=entry["ended"] if entry["ended"] is not None else now,
        complete=entry["complete"],
        prefilled_tokens=entry.get("prefilled_tokens", 0),
        pauses=tuple(
            (span[0], span[1] if len(span) > 1 else now)
            for span in entry.get("pauses", ())
        ),
    )


def dump_history(history: History, path: pathlib.Path) -> None:
    """Writes a run's observations as JSON, for later study."""
    document = dataclasses.asdict(history)
    path.write_text(json.dumps(document, default=list))
