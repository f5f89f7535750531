"""Factories and a harness for gateway tests without a network."""

import asyncio
import time
from collections.abc import Callable, Sequence

from tanagerport.clock import FakeClock
from tanagerport.gateway.crash_evidence import CrashLedger
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import (
    RequestKind,
    Route,
    Service,
    UpstreamRecord,
    WorkEstimate,
)
from tanagerport.gateway.drain_admission import DrainAdmission
from tanagerport.gateway.placement import UpstreamSelector
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.retry_budget import RetryBudget
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.table_exchange import RelayedChanges
from tanagerport.gateway.table_store import StoreVersion
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_load import LoadTracker
from tanagerport.gateway.upstream_switch import UpstreamSwitch
from tanagerport.gateway.work_item import Placement, WorkItem

ENGINE_SERVICE = Service("models", 100, True, 4, 6)
PLAIN_SERVICE = Service("bookings", 100)


def make_route(name: str = "talk", **overrides: object) -> Route:
    values: dict[str, object] = {
        "host": "h",
        "prefix": f"/{name}/",
        "kind": RequestKind.STREAM,
        "services": (("models", 1.0),),
        "timeout_s": 12.0,
        "target_s": 0.4,
        "event_interval_target_s": 0.25,
        **overrides,
    }
    return Route(name=name, **values)  # type: ignore[arg-type]


def make_item(
    now: float,
    route: Route | None = None,
    tier: int = 1,
    prompt_tokens: int = 500,
    output_tokens: int = 120,
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
        work=WorkEstimate(prompt_tokens, output_tokens * 4, output_tokens),
    )


def make_upstream(
    name: str, zone: str = "zone-a", slots: int = 4, version: str = "v1"
) -> UpstreamRecord:
    return UpstreamRecord(name, "models", "127.0.0.1", 1, zone, version, slots)


class NodeHarness:
    """Upstream selection of one node, with a fake clock."""

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
        service: Service = ENGINE_SERVICE,
    ) -> Placement | None:
        """Selects an upstream for a request and records its start."""
        placement = self.selector.select(
            item, service, upstreams, self.clock.monotonic()
        )
        if placement is not None:
            self.load_tracker.record_start(
                placement.upstream.upstream_id, placement.prompt_tokens
            )
        return placement

    def train_latencies(
        self, name: str, prompt_token_s: float, event_interval_s: float
    ) -> None:
        """Records latency samples until the estimates have converged."""
        for _ in range(20):
            self.latencies.record_first_byte(
                name, "models", prompt_token_s * 5000, 5000
            )
            self.latencies.record_event_interval(
                name, "models", event_interval_s
            )


class NoRelays:
    """Base of fetchers that watch no table at another node."""

    async def await_changes(
        self, host: str, table: str, after: StoreVersion, wait_s: float
    ) -> RelayedChanges:
        raise AssertionError(
            f"watched {table} after {after} at {host} for {wait_s} s"
        )


async def run_pending_tasks() -> None:
    """Runs five event loop iterations, to let ready tasks block or end."""
    for _ in range(5):
        await asyncio.sleep(0)


def make_switch(
    scheduler: Scheduler,
    backoff: UpstreamBackoff | None = None,
    health: UpstreamHealth | None = None,
    quarantine: PromptQuarantine | None = None,
    budget: RetryBudget | None = None,
    now: Callable[[], float] = time.monotonic,
    drain: DrainAdmission | None = None,
) -> UpstreamSwitch:
    """Makes a switch; without the others, nothing but the slots limits it."""
    return UpstreamSwitch(
        scheduler,
        backoff or UpstreamBackoff(now),
        health or UpstreamHealth(now),
        LoadTracker(lambda: 1, lambda: 0.1, now),
        quarantine or make_quarantine(now),
        budget or RetryBudget(0.0, 10.0, 10.0, lambda: 1, now),
        drain or make_drain(scheduler, now),
    )


def make_drain(
    scheduler: Scheduler, now: Callable[[], float] = time.monotonic
) -> DrainAdmission:
    return DrainAdmission(scheduler, DecisionLog("n"), now)


def make_quarantine(
    now: Callable[[], float] = time.monotonic,
) -> PromptQuarantine:
    log = DecisionLog("n")
    return PromptQuarantine(
        CrashLedger(log, now), "127.0.0.1", list, lambda: None, log
    )
