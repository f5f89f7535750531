"""Makers of the gateway's parts for tests without a network."""

import asyncio
from collections.abc import Sequence

from tanagerport.clock import FakeClock
from tanagerport.gateway.domain import (
    RequestKind,
    Route,
    Service,
    UpstreamRecord,
    WorkEstimate,
)
from tanagerport.gateway.placement import UpstreamSelector
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_load import LoadTracker
from tanagerport.gateway.work_item import Placement, WorkItem

ENGINE = Service("models", 100, True, 4, 6)
PLAIN = Service("bookings", 100)


def make_route(name: str = "talk", **fields: object) -> Route:
    values: dict[str, object] = {
        "host": "h",
        "prefix": f"/{name}/",
        "kind": RequestKind.STREAM,
        "services": (("models", 1.0),),
        "timeout_s": 12.0,
        "target_s": 0.4,
        "event_interval_target_s": 0.25,
        **fields,
    }
    return Route(name=name, **values)  # type: ignore[arg-type]


def make_item(
    now: float,
    route: Route | None = None,
    tier: int = 1,
    prompt: int = 500,
    output: int = 120,
    request_id: str = "r",
) -> WorkItem:
    route = route or make_route()
    return WorkItem(
        request_id,
        route,
        "models",
        tier,
        now,
        now + route.timeout_s,
        work=WorkEstimate(prompt, output * 4, output),
    )


def make_upstream(
    name: str, zone: str = "zone-a", slots: int = 4, version: str = "v1"
) -> UpstreamRecord:
    return UpstreamRecord(name, "models", "127.0.0.1", 1, zone, version, slots)


class Parts:
    """The parts of one node that decide where work goes."""

    def __init__(self, clock: FakeClock | None = None, nodes: int = 1) -> None:
        self.clock = clock or FakeClock(100.0)
        now = self.clock.monotonic
        self.load_tracker = LoadTracker(lambda: nodes, lambda: 0.1, now)
        self.health = UpstreamHealth(now)
        self.latencies = LatencyEstimator()
        self.cache = PromptCacheIndex(now)
        self.selector = UpstreamSelector(
            "zone-a",
            {"zone-a": "r1", "zone-b": "r1", "zone-c": "r2"},
            self.load_tracker,
            self.health,
            self.latencies,
            self.cache,
        )

    def place(
        self,
        item: WorkItem,
        upstreams: Sequence[UpstreamRecord],
        service: Service = ENGINE,
    ) -> Placement | None:
        """Places a request and occupies its place."""
        placement = self.selector.select(
            item, service, upstreams, self.clock.monotonic()
        )
        if placement is not None:
            self.load_tracker.record_start(
                placement.upstream.upstream_id, placement.prompt_tokens
            )
        return placement

    def learn(self, name: str, token_s: float, event_s: float) -> None:
        """Teaches the speeds of an upstream."""
        for _ in range(20):
            self.latencies.record_first_byte(
                name, "models", token_s * 5000, 5000
            )
            self.latencies.record_event_interval(name, "models", event_s)


async def settle() -> None:
    """Lets all tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)
