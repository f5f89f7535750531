"""Addresses of one bench run, as each zone sees them, and the links between.

With proxies every zone has its own VM list, whose addresses lead through
proxies of that zone, so that a link between two zones can be cut for one
side without touching the others.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

from tanagerport.bench_plan import Scenario, engine_id, service_id
from tanagerport.bench_workload import MODEL, SERVICE
from tanagerport.fault_proxy import FaultProxy

PLATFORM = "platform"
_ENGINE_SLOTS = 6
_SERVICE_SLOTS = 16


@dataclasses.dataclass(frozen=True)
class Server:
    """A server of the run.

    Attributes:
        name: VM id, or `PLATFORM`.
        zone: Zone; empty for the platform.
        address: Address that it listens on.
    """

    name: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True)
class _Link:
    source_zone: str
    server: Server
    proxy: FaultProxy


class Topology:
    """Servers of a run and the links of each zone to them.

    Args:
        servers: Servers that nodes talk to.
        zones: Names of the zones.
        proxied: Whether links lead through proxies.
    """

    def __init__(
        self, servers: Iterable[Server], zones: Sequence[str], proxied: bool
    ) -> None:
        self._servers = {server.name: server for server in servers}
        self._links = {
            (zone, server.name): _Link(zone, server, FaultProxy(server.address))
            for server in self._servers.values()
            for zone in zones
            if proxied
        }

    async def start(self) -> None:
        """Starts the proxies."""
        for link in self._links.values():
            await link.proxy.start()

    def stop(self) -> None:
        """Stops the proxies."""
        for link in self._links.values():
            link.proxy.stop()

    def address(self, zone: str, name: str) -> str:
        """Returns where a zone reaches a server."""
        link = self._links.get((zone, name))
        return link.proxy.address if link else self._servers[name].address

    def direct_address(self, name: str) -> str:
        """Returns where a server listens."""
        return self._servers[name].address

    def links_to(self, prefix: str) -> Iterator[FaultProxy]:
        """Yields the links to servers whose name starts with the prefix."""
        for link in self._links.values():
            if link.server.name.startswith(prefix):
                yield link.proxy

    def links_across(self, zone: str) -> Iterator[FaultProxy]:
        """Yields the links with exactly one end in the zone."""
        for link in self._links.values():
            if (link.source_zone == zone) != (link.server.zone == zone):
                yield link.proxy


def upstream_documents(scenario: Scenario) -> Iterator[dict[str, Any]]:
    """Yields the VM entries of engines and services, without addresses."""
    for zone in scenario.zones:
        place = {"zone": zone.name, "region": zone.region, "state": "live"}
        for number in range(1, zone.engines + 1):
            name = engine_id(zone.name, number)
            yield {
                "vm_id": name,
                "role": "engine",
                **place,
                "serves": [MODEL],
                "slots": _ENGINE_SLOTS,
                "checks_fencing": scenario.profile_of(name).checks_fencing,
            }
        for number in range(1, zone.services + 1):
            yield {
                "vm_id": service_id(zone.name, number),
                "role": "service",
                **place,
                "serves": [SERVICE],
                "slots": _SERVICE_SLOTS,
            }


def vm_list(
    documents: Iterable[Mapping[str, Any]],
    topology: Topology,
    zone: str,
    leaving: Iterable[str] = (),
) -> list[dict[str, Any]]:
    """Returns the VM list with the addresses that a zone uses."""
    leaving = frozenset(leaving)
    return [
        {
            **document,
            "address": topology.address(zone, document["vm_id"]),
            "state": "leaving" if document["vm_id"] in leaving else "live",
        }
        for document in documents
    ]
