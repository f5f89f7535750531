"""Everything that runs during one side of a scenario."""

import asyncio
import contextlib
import dataclasses
import enum
import itertools
import pathlib
import time
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from tanagerport.bench_caller import Target
from tanagerport.bench_plan import Scenario, node_id
from tanagerport.bench_processes import (
    BenchError,
    HostProcess,
    NodeProcess,
    exchange_json,
    free_addresses,
)
from tanagerport.bench_topology import (
    PLATFORM,
    Server,
    Topology,
    upstream_documents,
    vm_list,
)
from tanagerport.bench_workload import MODEL, OLD_VERSION

OPERATOR_TOKEN = "bench-operator-token"
_PEER_TOKEN = "bench-peer-token"
_BALANCER_POLL_S = 0.25
_DRAIN_TIMEOUT_S = 10.0
_CALLER_THREADS = 160
_LOADS_PER_S = 5.0


class Side(enum.StrEnum):
    """What is measured."""

    NAIVE = "naive"
    PRODUCT = "product"


_COMMANDS = {
    Side.NAIVE: ("-m", "tanagerport.naive", "{settings}"),
    Side.PRODUCT: ("-m", "tanagerport", "node", "--settings={settings}"),
}


@dataclasses.dataclass(frozen=True)
class _NodePlace:
    """Where a node listens."""

    name: str
    zone: str
    region: str
    callers: str
    operators: str
    peers: str


class Stage:
    """Simulators, proxies, nodes and the callers' load balancer.

    Args:
        side: What the nodes run.
        scenario: Scenario.
        seed: Seed of the simulators.
    """

    def __init__(self, side: Side, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.nodes: dict[str, NodeProcess] = {}
        self.leaving_since: dict[str, float] = {}
        self.stopped_at: dict[str, float] = {}
        self.cut_off: dict[str, tuple[float, float]] = {}
        self.side = side
        self._seed = seed
        self._documents = list(upstream_documents(scenario))
        self._places = list(_node_places(scenario))
        self._topology: Topology | None = None
        self._ready: dict[str, bool] = {}
        self._turns = itertools.count()

    @property
    def engines(self) -> Sequence[str]:
        """VM ids of the engines."""
        return [
            document["vm_id"]
            for document in self._documents
            if document["role"] == "engine"
        ]

    @property
    def topology(self) -> Topology:
        """Addresses and links."""
        assert self._topology is not None
        return self._topology

    @property
    def zone_of_node(self) -> Mapping[str, str]:
        """Zone by node id."""
        return {place.name: place.zone for place in self._places}

    def nodes_in(self, zone: str) -> Sequence[str]:
        """Returns the ids of a zone's nodes."""
        return [place.name for place in self._places if place.zone == zone]

    async def start(
        self, stack: contextlib.ExitStack, directory: pathlib.Path
    ) -> None:
        """Starts everything; the stack stops it.

        Raises:
            BenchError: A process did not start.
        """
        host = HostProcess(self._host_specification())
        stack.callback(host.stop)
        self._topology = Topology(
            self._servers(host.addresses),
            [zone.name for zone in self.scenario.zones],
            self.scenario.proxied,
        )
        await self._topology.start()
        stack.callback(self._topology.stop)
        await self.publish_vms()
        for place in self._places:
            node = NodeProcess(
                _COMMANDS[self.side], self._settings(place), directory
            )
            stack.callback(node.kill)
            self.nodes[place.name] = node
        await asyncio.gather(
            *(
                asyncio.to_thread(node.wait_ready)
                for node in self.nodes.values()
            )
        )
        self._ready = dict.fromkeys(self.nodes, True)

    async def watch_readiness(self) -> None:
        """Polls the nodes' readiness, as a load balancer does."""
        while True:
            for name, node in self.nodes.items():
                self._ready[name] = await asyncio.to_thread(node.is_ready)
            await asyncio.sleep(_BALANCER_POLL_S)

    def targets(self, zone: str) -> Sequence[Target]:
        """Returns nodes in the load balancer's order for a caller's zone."""
        nodes = list(self.nodes.values())
        first = next(self._turns) % len(nodes)
        nodes = nodes[first:] + nodes[:first]
        nodes.sort(
            key=lambda node: (
                not self._ready.get(node.node_id),
                node.zone != zone,
            )
        )
        return [(node.node_id, node.address) for node in nodes]

    def note_leaving(self, vm_id: str) -> None:
        """Records that an upstream is leaving from now on."""
        self.leaving_since.setdefault(vm_id, time.monotonic())

    async def publish_vms(self, leaving: Iterable[str] = ()) -> None:
        """Sets the VM lists."""
        entries = [
            {
                "vm_id": place.name,
                "role": "entry",
                "zone": place.zone,
                "region": place.region,
            }
            for place in self._places
        ]
        for zone in self.scenario.zones:
            documents = [*self._documents, *entries]
            listed = vm_list(documents, self.topology, zone.name, leaving)
            server = self._vm_server(zone.name)
            await self.administer(server, "vms", {"vms": listed})

    async def administer(
        self, name: str, path: str, document: object | None = None
    ) -> Any:
        """Calls the administration interface of a simulator.

        Raises:
            BenchError: The simulator refused.
        """
        url = f"http://{self.topology.direct_address(name)}/admin/{path}"
        method = "GET" if document is None else "POST"
        status, answer = await asyncio.to_thread(
            exchange_json, method, url, document
        )
        if status != 200:
            raise BenchError(f"{method} {url} answered {status}: {answer}")
        return answer

    async def upstream_logs(
        self,
    ) -> list[tuple[Mapping[str, Any], Mapping[str, Any]]]:
        """Returns each upstream's VM entry and log."""
        return [
            (document, await self.administer(document["vm_id"], "log"))
            for document in self._documents
        ]

    def _vm_server(self, zone: str) -> str:
        return f"vms-{zone}" if self.scenario.proxied else PLATFORM

    def _servers(self, addresses: Mapping[str, str]) -> Iterator[Server]:
        zones = {item["vm_id"]: item["zone"] for item in self._documents}
        for name, address in addresses.items():
            yield Server(name, zones.get(name, ""), address)
        for place in self._places:
            yield Server(place.name, place.zone, place.peers)

    def _host_specification(self) -> dict[str, Any]:
        platforms = {PLATFORM} | {
            self._vm_server(zone.name) for zone in self.scenario.zones
        }
        engines = {}
        services: dict[str, dict[str, Any]] = {}
        for number, document in enumerate(self._documents):
            name = document["vm_id"]
            if document["role"] == "service":
                services[name] = {}
                continue
            engines[name] = {
                "profile": dataclasses.asdict(self.scenario.profile_of(name)),
                "versions": {MODEL: [OLD_VERSION]},
                "seed": self._seed * 1000 + number,
            }
        return {
            "engines": engines,
            "services": services,
            "platforms": {
                name: {"loads_per_s": _LOADS_PER_S}
                for name in sorted(platforms)
            },
        }

    def _settings(self, place: _NodePlace) -> dict[str, Any]:
        platform = self.topology.address(place.zone, PLATFORM)
        lists = self.topology.address(place.zone, self._vm_server(place.zone))
        return {
            "node_id": place.name,
            "zone": place.zone,
            "region": place.region,
            "listen": place.callers,
            "operator_listen": place.operators,
            "peer_listen": place.peers,
            "operator_token": OPERATOR_TOKEN,
            "peer_token": _PEER_TOKEN,
            "platform": {
                "table_url": f"http://{platform}/table",
                "object_url": f"http://{platform}/objects",
                "vm_list_url": f"http://{lists}/vms",
                "weight_url": f"http://{platform}/weights",
                "timeout_s": 1.0,
            },
            "timing": {
                "drain_timeout_s": _DRAIN_TIMEOUT_S,
                "lease_s": self.scenario.lease_s,
            },
            "classes": [
                dataclasses.asdict(item.work_class)
                for item in self.scenario.classes
            ],
            "caller_threads": _CALLER_THREADS,
            "log_level": "warning",
        }


def _node_places(scenario: Scenario) -> Iterator[_NodePlace]:
    names = [
        (node_id(zone.name, number), zone)
        for zone in scenario.zones
        for number in range(1, zone.nodes + 1)
    ]
    addresses = iter(free_addresses(3 * len(names)))
    for name, zone in names:
        yield _NodePlace(
            name,
            zone.name,
            zone.region,
            next(addresses),
            next(addresses),
            next(addresses),
        )
