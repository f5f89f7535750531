"""Measured cost of requests: scheduling, claims, streams and tokens."""

import dataclasses
import time
from collections.abc import Callable, Iterator
from typing import Any

from tanagerport.claims import ClaimTable
from tanagerport.clock import Clock, FakeClock, SystemClock
from tanagerport.configuration import ConfigurationStore
from tanagerport.interfaces import HeartbeatPart, NodeView
from tanagerport.key_homes import KeyHomes
from tanagerport.membership import Membership
from tanagerport.metrics import Metrics
from tanagerport.model import (
    VM,
    Request,
    UpstreamKind,
    VMRole,
    WorkClass,
)
from tanagerport.peer_pb2 import ClaimRequest, Frame, Heartbeat
from tanagerport.platform_memory import MemoryTableStore, MemoryVMList
from tanagerport.relay_measurement import RelayMeasurement, measure_relay
from tanagerport.scheduler import Outcome
from tanagerport.settings import Settings
from tanagerport.slope_fit import Slope, fit_slope, memory_of
from tanagerport.version_policy import create_version_policy
from tanagerport.zone_scheduler import ZoneScheduler, create_zone_scheduler
from tanagerport.zone_start import ZoneStart

_UPSTREAM_SIZES = (30, 120, 360)
_REQUESTS = 400
_CLAIM_SIZES = (1_000, 4_000, 16_000)
_STREAM_SIZES = (50, 200, 400)
_TOKENS_PER_STREAM = 100
_DEADLINE_S = 60.0
_CLASS = WorkClass("class-1", 1, UpstreamKind.ENGINE, "model-1")


def data_path_slopes(settings: Settings) -> Iterator[Slope]:
    """Measures the slopes of the data path.

    Args:
        settings: Settings of the measured node.
    """
    yield fit_slope(
        "dispatch_cpu",
        "s of processor for one acquire and release, per upstream served",
        _UPSTREAM_SIZES,
        lambda size: _dispatch_cpu_s(settings, size),
    )
    yield fit_slope(
        "tick_cpu",
        "s of processor for one scheduler tick, per upstream served",
        _UPSTREAM_SIZES,
        lambda size: _tick_cpu_s(settings, size),
    )
    yield fit_slope(
        "scheduler_memory",
        "bytes for each upstream served",
        _UPSTREAM_SIZES,
        lambda size: memory_of(lambda: _scheduler(settings, size)),
    )
    yield fit_slope(
        "slot_report_bytes",
        "bytes of a heartbeat for each upstream with use",
        _UPSTREAM_SIZES,
        lambda size: _slot_report_bytes(settings, size),
    )
    yield fit_slope(
        "claim_cpu",
        "s of processor at a home node for one claim",
        _CLAIM_SIZES,
        lambda size: _claim_cpu_s(settings, size),
    )
    yield fit_slope(
        "claim_memory",
        "bytes at a home node for one claim",
        _CLAIM_SIZES,
        lambda size: memory_of(lambda: _claim_all(settings, size)),
    )
    measurements = {
        size: measure_relay(size, _TOKENS_PER_STREAM) for size in _STREAM_SIZES
    }
    yield from _relay_slopes(measurements)


def _relay_slopes(
    measurements: dict[int, RelayMeasurement],
) -> Iterator[Slope]:
    yield fit_slope(
        "open_stream_memory",
        "bytes of resident memory for each open stream, with its thread",
        _STREAM_SIZES,
        lambda size: measurements[size].bytes_per_stream * size,
    )
    by_tokens = {item.tokens: item for item in measurements.values()}
    yield fit_slope(
        "relayed_token_cpu",
        "s of processor for each relayed token",
        tuple(by_tokens),
        lambda tokens: by_tokens[tokens].cpu_us_per_token * tokens * 1e-6,
    )


class _NoNetwork:
    """Peer network of a node without peers."""

    def call(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Any:
        raise NotImplementedError(method)

    def stream(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Iterator[Frame]:
        raise NotImplementedError(method)

    def register(self, method: str, handler: Callable[[Any], Any]) -> None:
        pass

    def add_heartbeat_part(self, part: HeartbeatPart) -> None:
        pass


def _membership(
    settings: Settings, upstreams: int, nodes: int, clock: Clock
) -> Membership:
    membership = Membership(settings, MemoryVMList(), clock)
    place = (settings.zone, settings.region)
    entries = [
        VM(f"node-{number}", VMRole.ENTRY, *place, f"10.0.0.1:{number}")
        for number in range(nodes)
    ]
    engines = [
        VM(
            f"engine-{number}",
            VMRole.ENGINE,
            *place,
            f"10.0.0.2:{number}",
            serves=(_CLASS.model,),
        )
        for number in range(upstreams)
    ]
    membership.take_list([*entries, *engines])
    return membership


def _scheduler(
    settings: Settings, upstreams: int, nodes: int = 1
) -> ZoneScheduler:
    clock = FakeClock(time.monotonic())
    store = ConfigurationStore(
        MemoryTableStore(), clock, settings.node_id, seed=1
    )
    scheduler = create_zone_scheduler(
        settings,
        _membership(settings, upstreams, nodes, clock),
        _NoNetwork(),
        create_version_policy(store, clock),
        Metrics(),
        clock,
        run_background=False,
    )
    # A node that shares upstreams waits one grant lifetime before it serves.
    clock.advance(2 * settings.timing.grant_lifetime_s)
    scheduler.tick()
    return scheduler


def _request(number: int) -> Request:
    now = time.monotonic()
    return Request(
        f"request-{number}",
        _CLASS,
        f"customer-{number % 20}",
        b"{}",
        now,
        now + _DEADLINE_S,
        stream=True,
        prompt=f"prompt {number}",
    )


def _dispatch_cpu_s(settings: Settings, upstreams: int) -> float:
    scheduler = _scheduler(settings, upstreams)
    requests = [_request(number) for number in range(_REQUESTS)]
    outcome = Outcome(True, True, 0.05, 0.5, 20)
    started = time.process_time()
    for request in requests:
        scheduler.release(scheduler.acquire(request), outcome)
    return (time.process_time() - started) / _REQUESTS


def _tick_cpu_s(settings: Settings, upstreams: int) -> float:
    scheduler = _scheduler(settings, upstreams)
    repeats = 50
    started = time.process_time()
    for _ in range(repeats):
        scheduler.tick()
    return (time.process_time() - started) / repeats


def _slot_report_bytes(settings: Settings, upstreams: int) -> float:
    """Returns bytes of a heartbeat after one request at each upstream.

    The node shares all upstreams with one peer, which coordinates about half
    of them; the size is doubled, so that it counts each upstream.
    """
    # Each placement holds one of the caller threads.
    settings = dataclasses.replace(settings, caller_threads=4 * upstreams)
    scheduler = _scheduler(settings, upstreams, nodes=2)
    placements = [
        scheduler.acquire(_request(number)) for number in range(upstreams)
    ]
    heartbeat = Heartbeat()
    scheduler.fill(
        heartbeat, NodeView("node-1", settings.zone, settings.region, "")
    )
    for placement in placements:
        scheduler.release(placement, Outcome(True, True, 0.05, 0.5, 20))
    return float(2 * heartbeat.ByteSize())


def _claim_all(settings: Settings, claims: int) -> ClaimTable:
    clock = SystemClock()
    membership = _membership(settings, 0, 3, clock)
    window_s = settings.timing.claim_window_s
    homes = KeyHomes(membership, clock, window_s)
    start = ZoneStart(
        MemoryTableStore(), settings.zone, settings.node_id, "boot", clock
    )
    table = ClaimTable(homes, membership, clock, window_s, start)
    for number in range(claims):
        key = f"key-{number}"
        table.claim(
            ClaimRequest(
                key=key,
                customer="customer",
                request_id=f"request-{number}",
                node_id="node-1",
                zone=settings.zone,
                members=homes.members(settings.zone, "customer", key),
            )
        )
    if len(table) != claims:
        raise RuntimeError(f"{len(table)} of {claims} claims were recorded")
    return table


def _claim_cpu_s(settings: Settings, claims: int) -> float:
    started = time.process_time()
    _claim_all(settings, claims)
    return time.process_time() - started
