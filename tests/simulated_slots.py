"""Nodes and engines in one process, joined by a network in memory."""

import asyncio
import collections
import random
from collections.abc import Iterable, Sequence
from typing import cast

from gateway_doubles import NodeHarness, make_upstream
from tanagerport.gateway.coordinator import SlotCoordinator
from tanagerport.gateway.coordinator_directory import CoordinatorDirectory
from tanagerport.gateway.domain import Service, UpstreamRecord
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.rate_gates import ShareGate
from tanagerport.gateway.rollout import RolloutController
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.slot_client import SlotClient
from tanagerport.gateway.slot_messages import (
    LeaseReport,
    RegionSummary,
    SlotDenial,
    SlotGrant,
    SlotMessage,
    SlotOutcome,
    SlotProgress,
    SlotQueued,
    SlotRedirect,
    SlotRelease,
    SlotRequest,
    decode_message,
    encode_message,
)
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_limits import UpstreamLimits
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.work_item import Placement, WorkItem

REGIONS = {"zone-a": "r1", "zone-b": "r1", "zone-c": "r2"}
SERVICE = Service("models", 100, True, 4, 6)
_MESSAGE_DELAY_S = 0.0005


class SimulatedNetwork:
    """Delivers messages as datagrams would; may lose some of them."""

    def __init__(self, loss: float = 0.0, seed: int = 1) -> None:
        self.nodes: dict[str, SimulatedNode] = {}
        self.unreachable: set[str] = set()
        # Pairs of sender and receiver whose messages are lost.
        self.cut_pairs: set[tuple[str, str]] = set()
        # Unreachable nodes that the others presume down.
        self.timed_out: set[str] = set()
        # Pairs of an observer and a node that it presumes down.
        self.presumed_down: set[tuple[str, str]] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self._loss = loss
        self._random = random.Random(seed)

    def send(self, sender: str, host: str, message: SlotMessage) -> None:
        """Delivers an encoded copy of a message after a short delay."""
        self.sent[type(message).__name__] += 1
        if {sender, host} & self.unreachable:
            return
        if (sender, host) in self.cut_pairs:
            return
        if sender != host and self._random.random() < self._loss:
            return
        asyncio.get_running_loop().call_later(
            _MESSAGE_DELAY_S,
            self._deliver,
            sender,
            host,
            encode_message(message),
        )

    def _deliver(self, sender: str, host: str, data: bytes) -> None:
        if host in self.nodes and host not in self.unreachable:
            self.nodes[host].receive(sender, decode_message(data))


class SimulatedEngines:
    """Counts the requests that run at each engine."""

    def __init__(self, count: int, slots: int, zone: str = "zone-a") -> None:
        self.records = [
            make_upstream(f"{zone}-{number}", zone, slots)
            for number in range(count)
        ]
        self.running: collections.Counter[str] = collections.Counter()
        self.most_running: collections.Counter[str] = collections.Counter()

    async def run(self, upstream_id: str, duration_s: float) -> None:
        """Runs a request."""
        self.running[upstream_id] += 1
        self.most_running[upstream_id] = max(
            self.most_running[upstream_id], self.running[upstream_id]
        )
        await asyncio.sleep(duration_s)
        self.running[upstream_id] -= 1


class _NoRollouts:
    """Stands in for the rollout controller while nothing is rolled out."""

    def select_upstreams(
        self,
        service: str,
        request_id: str,
        upstreams: Sequence[UpstreamRecord],
    ) -> Sequence[UpstreamRecord]:
        del service, request_id
        return upstreams

    def old_version_upstreams(
        self, service: str, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        del service, upstreams
        return []

    def record_dispatch(self, upstream: UpstreamRecord) -> None:
        del upstream


def create_scheduler(
    node: "SimulatedNode",
    rollouts: object = _NoRollouts(),
    node_count: int = 1,
) -> Scheduler:
    """Returns a scheduler that requests its slots through a node.

    Args:
        node: The node.
        rollouts: Decides which versions may serve a request.
        node_count: Number of nodes that share the limits of upstreams.
    """
    harness = NodeHarness()
    gate = ShareGate(node.limits, lambda: node_count)
    # Its own decisions keep to the limits, as those of a gateway process.
    harness.selector._gate = gate
    return Scheduler(
        node.registry,
        harness.selector,
        harness.load_tracker,
        harness.health,
        node.backoff,
        harness.latencies,
        harness.cache,
        cast(RolloutController, rollouts),
        lambda name: SERVICE,
        lambda: None,
        node.client,
        gate=gate,
    )


class SimulatedNode:
    """The part of a gateway node that requests and grants slots.

    Args:
        network: Network that joins the nodes.
        host: Address of the node; nodes are ranked by it.
        zone: Availability zone of the node.
        upstreams: Upstreams that the node knows.
        start_delay_s: Time after its start in which it grants no slots.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        host: str,
        zone: str,
        upstreams: Sequence[UpstreamRecord],
        start_delay_s: float = 0.0,
    ) -> None:
        self.host = host
        self.zone = zone
        self._network = network
        self.registry = UpstreamRegistry()
        for upstream in upstreams:
            self.registry.put(upstream)
        self.health = UpstreamHealth()
        self.backoff = UpstreamBackoff()
        self.limits = UpstreamLimits(host)
        self.silent: list[str] = []
        start = random.getrandbits(48)
        directory = CoordinatorDirectory(self._find_candidates)
        self.client = SlotClient(
            start,
            zone,
            REGIONS,
            directory,
            self._find_upstream,
            self._send,
            lambda service, ids: self.silent,
        )
        self.coordinator = SlotCoordinator(
            zone,
            REGIONS,
            start,
            self.registry,
            self.health,
            LatencyEstimator(),
            PromptCacheIndex(),
            self.limits,
            lambda name: SERVICE,
            lambda service: directory.is_first(host, service, REGIONS[zone]),
            lambda service: [
                other
                for region in {"r1", "r2"} - {REGIONS[zone]}
                for other in directory.coordinators(service, region)[:1]
            ],
            self._send,
            start_delay_s=start_delay_s,
        )
        network.nodes[host] = self

    def receive(self, sender: str, message: SlotMessage) -> None:
        """Handles a message of a node."""
        match message:
            case SlotRequest():
                self.coordinator.handle_request(sender, message)
            case SlotProgress():
                self.coordinator.handle_progress(sender, message)
            case SlotRelease():
                self.coordinator.handle_release(sender, message)
            case LeaseReport():
                self.coordinator.handle_report(sender, message)
            case RegionSummary():
                self.coordinator.handle_summary(message)
            case SlotGrant() | SlotQueued() | SlotDenial() | SlotRedirect():
                self.client.handle_answer(sender, message)

    async def acquire(
        self, item: WorkItem, excluded: Iterable[str] = ()
    ) -> Placement | None:
        """Requests a slot."""
        return await self.client.acquire(item, [], excluded)

    def release(
        self,
        placement: Placement,
        outcome: SlotOutcome = SlotOutcome.SUCCEEDED,
    ) -> None:
        """Frees a slot."""
        placement.outcome = outcome
        self.client.release(placement)

    async def run_housekeeping(self) -> None:
        """Updates the node at the interval of a gateway process."""
        while True:
            await asyncio.sleep(0.1)
            self.coordinator.update()
            self.client.update()

    def _send(self, host: str, message: SlotMessage) -> None:
        self._network.send(self.host, host, message)

    def _find_candidates(self, service: str, region: str) -> list[str]:
        return sorted(
            host
            for host, node in self._network.nodes.items()
            if REGIONS[node.zone] == region and node.coordinator.is_ready
            if host not in self._network.timed_out
            and (self.host, host) not in self._network.presumed_down
        )

    def _find_upstream(
        self, service: str, upstream_id: str
    ) -> UpstreamRecord | None:
        upstream = self.registry.get(upstream_id)
        if (
            upstream not in self.registry.usable(service)
            or upstream is None
            or self.backoff.is_blocked(upstream)
        ):
            return None
        return upstream
