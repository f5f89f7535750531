"""Tests of waits that are ended twice before their tasks run."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Any, cast

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.crash_evidence import CrashLedger
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import PromptPart, UpstreamRecord, WorkEstimate
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.request_context import RequestContext
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Refusal, RefusalReason

_STOPPING = Refusal(RefusalReason.DRAINING, "stopping", retry_after_s=1.0)


async def call_again_while_expiring(call: Callable[[], object]) -> None:
    """Calls a function, and once more just after it ended a wait.

    The second call comes after the timeout of the wait has expired and before
    its task runs.
    """
    errors: list[Exception] = []

    def call_again() -> None:
        try:
            call()
        except Exception as error:  # Raised again below.
            errors.append(error)

    call()
    asyncio.get_running_loop().call_soon(call_again)
    await gateway_doubles.run_pending_tasks()
    if errors:
        raise errors[0]


class _SilentSlots:
    """A slot client whose coordinator keeps every request waiting."""

    async def acquire(
        self, item: WorkItem, versions: list[str], excluded: Iterable[str]
    ) -> Placement | None:
        del item, versions, excluded
        await asyncio.sleep(3600)
        return None

    def adopt(self, placement: Placement) -> None:
        del placement


class _Rollouts:
    """Lets requests use one version only."""

    def __init__(self, version: str) -> None:
        self.version = version

    def select_upstreams(
        self,
        service: str,
        request_id: str,
        upstreams: Sequence[UpstreamRecord],
    ) -> Sequence[UpstreamRecord]:
        del service, request_id
        return [entry for entry in upstreams if entry.version == self.version]

    def old_version_upstreams(
        self, service: str, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        del service, upstreams
        return []

    def record_dispatch(self, upstream: UpstreamRecord) -> None:
        del upstream


class _SchedulerFixture:
    """A scheduler whose requests wait for a slot of version v1."""

    def __init__(self) -> None:
        self.rollouts = _Rollouts("v1")
        registry = UpstreamRegistry()
        for version in ("v1", "v2"):
            registry.put(
                gateway_doubles.make_upstream(f"u-{version}", version=version)
            )
        harness = gateway_doubles.NodeHarness()
        self.scheduler = Scheduler(
            registry,
            harness.selector,
            harness.load_tracker,
            harness.health,
            UpstreamBackoff(),
            harness.latencies,
            harness.cache,
            cast(Any, self.rollouts),
            lambda name: gateway_doubles.ENGINE_SERVICE,
            lambda: None,
            cast(Any, _SilentSlots()),
            harness.clock.monotonic,
        )
        self.task = asyncio.create_task(
            self.scheduler.acquire(
                gateway_doubles.make_item(harness.clock.monotonic())
            )
        )


class TestVersionWaits:
    """Guards against a change of upstreams that fails another request.

    Upstreams of a version that is stopped tell in their answers that they
    leave. The second of two such answers failed with a RuntimeError while it
    was read, and its client got nothing.
    """

    def test_version_that_is_gone_may_be_noticed_twice(self) -> None:
        async def run() -> None:
            fixture = _SchedulerFixture()
            await gateway_doubles.run_pending_tasks()
            fixture.rollouts.version = "v2"
            await call_again_while_expiring(fixture.scheduler.admit_waiting)
            placement = await asyncio.wait_for(fixture.task, 1.0)
            assert placement.upstream.upstream_id == "u-v2"

        asyncio.run(run())


class TestStop:
    """Guards against a stop that fails on a request which ends by itself.

    A RuntimeError left the stop of the process, which has other requests to
    wait for.
    """

    def test_waiting_requests_may_be_refused_twice(self) -> None:
        async def run() -> None:
            fixture = _SchedulerFixture()
            await gateway_doubles.run_pending_tasks()
            await call_again_while_expiring(
                lambda: fixture.scheduler.refuse_unserved(_STOPPING)
            )
            result = await asyncio.gather(fixture.task, return_exceptions=True)
            assert isinstance(result[0], RefusedError)
            assert result[0].refusal is _STOPPING

        asyncio.run(run())

    def test_unanswered_requests_may_be_ended_twice(self) -> None:
        async def run() -> None:
            forwarder, response = make_waiting_forwarder()
            task = asyncio.create_task(
                forwarder.handle(cast(Any, _FakeRequest()), cast(Any, response))
            )
            await gateway_doubles.run_pending_tasks()
            await call_again_while_expiring(forwarder.end_unanswered)
            await asyncio.wait_for(task, 1.0)
            assert response.refusal is not None
            assert response.refusal.http_status == 503

        asyncio.run(run())


class TestQuarantine:
    """Guards against evidence on a prompt part that can't be applied."""

    def test_request_may_have_two_parts_quarantined_in_turn(self) -> None:
        async def run() -> None:
            log = DecisionLog("n")
            clock = FakeClock(1000.0)
            ledger = CrashLedger(log, clock.monotonic)
            quarantine = PromptQuarantine(
                ledger, "h-1", list, lambda: None, log, clock.monotonic
            )
            item = gateway_doubles.make_item(clock.monotonic())
            item.part_keys = (1, 2)
            item.work = WorkEstimate(
                500, 480, 120, (PromptPart("1", 10), PromptPart("2", 10))
            )

            async def hold() -> None:
                async with quarantine.admit(item):
                    await asyncio.sleep(3600)

            task = asyncio.create_task(hold())
            await gateway_doubles.run_pending_tasks()
            parts = iter((1, 2))

            def quarantine_next() -> None:
                part = next(parts)
                for number in range(4):
                    clock.advance(1)
                    ledger.record_crash(f"run-{part}-{number}", (part,))

            await call_again_while_expiring(quarantine_next)
            assert len(ledger.quarantined) == 2
            result = await asyncio.gather(task, return_exceptions=True)
            assert isinstance(result[0], RefusedError)

        asyncio.run(run())


class _FakeRequest:
    received_at = 0.0
    header_values: dict[bytes, bytes] = {}


class _FakeResponse:
    """Records the refusal."""

    is_started = False
    is_closed_by_node = False
    upstream_id = ""
    refusal: Refusal | None = None

    def refuse(self, refusal: Refusal) -> None:
        self.refusal = refusal


class _FakeValidator:
    """Accepts every request."""

    def create_context(
        self, routes: object, request: Any, response: Any
    ) -> RequestContext:
        del routes
        item = gateway_doubles.make_item(
            asyncio.get_running_loop().time(),
        )
        return RequestContext(request, response, item, None, 0.0)

    def refund_unused_quota(self, context: RequestContext) -> None:
        del context


class _FullScheduler:
    """Keeps every request waiting."""

    async def acquire(self, item: WorkItem) -> Placement:
        del item
        await asyncio.sleep(3600)
        raise AssertionError


def make_waiting_forwarder() -> tuple[RequestForwarder, _FakeResponse]:
    """Returns a forwarder whose requests wait for a place."""

    async def get_routes() -> Any:
        return object()

    scheduler = cast(Any, _FullScheduler())
    forwarder = RequestForwarder(
        cast(Any, type("_Names", (), {"request_id": b"request-id"})),
        get_routes,
        cast(Any, _FakeValidator()),
        cast(Any, None),
        scheduler,
        cast(Any, None),
        cast(Any, None),
        UpstreamHealth(),
        UpstreamBackoff(),
        cast(Any, None),
        gateway_doubles.make_quarantine(),
        cast(Any, None),
        gateway_doubles.make_switch(scheduler),
        gateway_doubles.make_drain(scheduler),
        Counters(),
        DecisionLog("n"),
    )
    return forwarder, _FakeResponse()
