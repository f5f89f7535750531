"""Tests of the refusals that `RequestForwarder` sends."""

import asyncio
import time
from collections.abc import Sequence
from typing import Any, cast

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.client_messages import ClientRequest, ClientResponse
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.dispatch import Dispatcher
from tanagerport.gateway.domain import RequestKind, Route, UpstreamRecord
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.request_context import DispatchError, RequestContext
from tanagerport.gateway.retry_budget import RetryBudget
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.stop_schedule import StopSchedule
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_losses import HeldRequest, LossDetector
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Ran, Refusal, RefusalReason, RetryReason

_NO_CAPACITY = Refusal(
    RefusalReason.DEADLINE_UNREACHABLE, "no capacity", retry_after_s=1.0
)
_ROUTE = gateway_doubles.make_route(
    kind=RequestKind.IDEMPOTENT, max_dispatches=3
)


class _FakeHttpNames:
    request_id = b"request-id"


class _FakeResponse:
    """Records the refusal."""

    is_started = False
    is_closed_by_node = False
    upstream_id = ""
    earlier_requests = 0
    refusal: Refusal | None = None
    is_aborted = False

    def abort(self) -> None:
        self.is_aborted = True

    def refuse(self, refusal: Refusal) -> None:
        self.refusal = refusal


class _FakeScheduler:
    """Grants a number of slots, then refuses requests or queues them."""

    def __init__(
        self,
        slots: int,
        refuses_when_full: bool = True,
        completion_s: float = 0.1,
    ) -> None:
        self.slots = slots
        self._completion_s = completion_s
        self._refuses = refuses_when_full
        self._waiting: list[asyncio.Future[Placement]] = []
        self.candidates: Sequence[UpstreamRecord] = ()

    async def acquire(self, item: WorkItem) -> Placement:
        if self.slots == 0:
            if self._refuses:
                raise RefusedError(_NO_CAPACITY)
            self._waiting.append(asyncio.get_running_loop().create_future())
            return await self._waiting[-1]
        self.slots -= 1
        upstream = gateway_doubles.make_upstream("u")
        return Placement(upstream, item, 1, 1, 0.1, 100.0)

    def refuse_unserved(self, refusal: Refusal) -> None:
        for future in self._waiting:
            future.set_exception(RefusedError(refusal))

    def long_completion_s(self, placement: Placement) -> float:
        del placement
        return self._completion_s

    def longest_completion_s(self, placement: Placement) -> float:
        del placement
        return self._completion_s

    def release(self, placement: Placement) -> None:
        del placement

    def record_outcome(
        self,
        placement: Placement,
        has_failed: bool,
        has_answered: bool = True,
    ) -> None:
        del placement, has_failed, has_answered

    def record_unreached(self, placement: Placement) -> None:
        del placement

    def find_candidates(self, item: WorkItem) -> Sequence[UpstreamRecord]:
        del item
        return self.candidates


class _FailingDispatcher:
    """Fails every dispatch."""

    def __init__(self, may_have_run: bool, has_lost_connection: bool) -> None:
        self._may_have_run = may_have_run
        self._has_lost_connection = has_lost_connection

    async def dispatch(
        self, context: RequestContext, placement: Placement
    ) -> None:
        del placement
        context.dispatches += 1
        error = DispatchError(RetryReason.BROKEN, "cut off", self._may_have_run)
        error.has_lost_connection = self._has_lost_connection
        raise error


class _StreamDispatcher:
    """Begins an answer when its upstream sends data, and never ends it."""

    def __init__(self) -> None:
        self.has_data = asyncio.Event()

    async def dispatch(
        self, context: RequestContext, placement: Placement
    ) -> None:
        del placement
        context.has_open_dispatch = True
        await self.has_data.wait()
        cast(Any, context.response).is_started = True
        await asyncio.sleep(3600)


class _FakeValidator:
    """Accepts every request."""

    def __init__(self, route: Route) -> None:
        self._route = route

    def create_context(
        self, routes: object, request: ClientRequest, response: ClientResponse
    ) -> RequestContext:
        del routes
        item = gateway_doubles.make_item(request.received_at, self._route)
        return RequestContext(request, response, item, None, 0.0)

    def refund_unused_quota(self, context: RequestContext) -> None:
        del context


class _FakeRegistry:
    def usable(self, service: str) -> list[object]:
        del service
        return []


class _FakeLossDetector:
    """Confirms each loss at once, or never."""

    def __init__(self, confirms: bool) -> None:
        self._confirms = confirms

    def record_break(
        self, upstream: UpstreamRecord, held: HeldRequest
    ) -> asyncio.Future[bool]:
        del upstream, held
        is_lost = asyncio.get_running_loop().create_future()
        if self._confirms:
            is_lost.set_result(True)
        return is_lost


class _ForwarderFixture:
    """A forwarder with fake collaborators."""

    def __init__(
        self,
        scheduler: _FakeScheduler,
        may_have_run: bool = False,
        retry_slack: float = 10,
        are_upstreams_lost: bool = False,
        confirms_losses: bool = True,
        route: Route = _ROUTE,
        dispatcher: object | None = None,
    ) -> None:
        clock = FakeClock(100.0)
        self.clock = clock
        self.counters = Counters()
        health = UpstreamHealth(clock.monotonic)
        backoff = UpstreamBackoff(clock.monotonic)
        quarantine = gateway_doubles.make_quarantine(clock.monotonic)
        budget = RetryBudget(0.0, 10.0, retry_slack, lambda: 1, clock.monotonic)
        drain = gateway_doubles.make_drain(
            cast(Scheduler, scheduler), clock.monotonic
        )
        self.forwarder = RequestForwarder(
            cast(Any, _FakeHttpNames()),
            self._get_routes,
            cast(Any, _FakeValidator(route)),
            cast(
                Dispatcher,
                dispatcher
                or _FailingDispatcher(may_have_run, are_upstreams_lost),
            ),
            cast(Scheduler, scheduler),
            cast(Any, _FakeRegistry()),
            cast(Any, None),
            health,
            backoff,
            cast(LossDetector, _FakeLossDetector(confirms_losses)),
            quarantine,
            budget,
            gateway_doubles.make_switch(
                cast(Scheduler, scheduler),
                backoff,
                health,
                quarantine,
                budget,
                clock.monotonic,
                drain,
            ),
            drain,
            self.counters,
            DecisionLog("n"),
            clock.monotonic,
        )

    async def send_request(self) -> Refusal:
        """Sends a request and returns its refusal."""
        response = await self.send()
        assert response.refusal is not None
        return response.refusal

    async def send(self) -> _FakeResponse:
        """Sends a request and returns its response."""
        response = _FakeResponse()
        now = self.clock.monotonic()
        request = ClientRequest(b"POST", b"/", [], {}, b"", now, now)
        await self.forwarder.handle(request, cast(ClientResponse, response))
        return response

    def start_draining(self, left_s: float) -> None:
        """Begins a stop that ends requests after some seconds."""
        now = self.clock.monotonic()
        ends_at = now + left_s
        self.forwarder.start_draining(
            StopSchedule(now, ends_at, now, ends_at, ends_at, ends_at)
        )

    async def _get_routes(self) -> Any:
        return object()


class TestRefusalAfterDispatch:
    """Guards against a refusal that wrongly states that nothing ran.

    A request whose first dispatch had run was refused with 503 as not run if
    no upstream had capacity for its retry.
    """

    def test_retry_without_capacity_after_possible_run(self) -> None:
        fixture = _ForwarderFixture(_FakeScheduler(slots=1), may_have_run=True)
        refusal = asyncio.run(fixture.send_request())
        assert refusal.ran is Ran.UNKNOWN
        assert refusal.http_status == 502
        assert refusal.retry_after_s is None

    def test_retry_without_capacity_after_rejection(self) -> None:
        fixture = _ForwarderFixture(_FakeScheduler(slots=1), may_have_run=False)
        refusal = asyncio.run(fixture.send_request())
        assert refusal == _NO_CAPACITY


class TestEndOfDrain:
    """Guards against a drain that ends at a request that is ending.

    A deadline that passed in the turn in which the process ended its requests
    raised an error there, and the requests after it got no answer.
    """

    def test_answer_does_not_begin_in_the_turn_that_ends_it(self) -> None:
        """Guards against an answer that begins as it is ended, and is cut."""
        dispatcher = _StreamDispatcher()
        fixture = _ForwarderFixture(_FakeScheduler(1), dispatcher=dispatcher)

        async def scenario() -> _FakeResponse:
            task = asyncio.create_task(fixture.send())
            await gateway_doubles.run_pending_tasks()
            dispatcher.has_data.set()
            fixture.forwarder.end_unanswered()
            return await asyncio.wait_for(task, 1.0)

        response = asyncio.run(scenario())
        assert not response.is_aborted
        assert response.refusal is not None
        assert response.refusal.ran is Ran.UNKNOWN

    def test_all_requests_are_refused_if_one_reaches_its_deadline(self) -> None:
        route = gateway_doubles.make_route(timeout_s=0.05)
        fixture = _ForwarderFixture(
            _FakeScheduler(slots=0, refuses_when_full=False), route=route
        )

        async def scenario() -> list[Refusal]:
            loop = asyncio.get_running_loop()
            has_ended = asyncio.Event()

            def end() -> None:
                fixture.forwarder.end_unanswered()
                has_ended.set()

            requests = [
                asyncio.ensure_future(fixture.send_request()) for _ in range(3)
            ]
            await asyncio.sleep(0)
            loop.call_later(0.06, end)
            # All timers are due in one turn.
            loop.call_later(0.01, time.sleep, 0.1)
            refusals = await asyncio.gather(*requests)
            assert has_ended.is_set()
            return refusals

        assert len(asyncio.run(scenario())) == 3


class TestCrashes:
    """A request that upstreams crash on is not sent to one after the other."""

    def test_request_is_not_sent_to_a_third_upstream(self) -> None:
        """Guards against a request that crashes every upstream by itself."""
        scheduler = _FakeScheduler(slots=3)
        fixture = _ForwarderFixture(
            scheduler, may_have_run=True, are_upstreams_lost=True
        )
        refusal = asyncio.run(fixture.send_request())
        assert refusal.reason is RefusalReason.UPSTREAM_ERROR
        assert refusal.ran is Ran.UNKNOWN
        assert scheduler.slots == 1

    def test_request_that_may_not_be_repeated_is_answered_at_once(self) -> None:
        """Guards against a final answer that waits for a connection."""
        route = gateway_doubles.make_route(kind=RequestKind.NON_IDEMPOTENT)
        fixture = _ForwarderFixture(
            _FakeScheduler(slots=1),
            may_have_run=True,
            are_upstreams_lost=True,
            confirms_losses=False,
            route=route,
        )
        refusal = asyncio.run(asyncio.wait_for(fixture.send_request(), 1))
        assert refusal.ran is Ran.UNKNOWN


class TestShutdown:
    """Guards against requests that stay queued until their node is killed."""

    def test_waiting_request_is_refused_as_not_run(self) -> None:
        assert self._shut_down_while_waiting(may_have_run=False, slots=0) == (
            RefusalReason.DRAINING,
            Ran.NO,
        )

    def test_waiting_retry_after_possible_run_is_refused_as_unknown(
        self,
    ) -> None:
        assert self._shut_down_while_waiting(may_have_run=True, slots=1) == (
            RefusalReason.UPSTREAM_ERROR,
            Ran.UNKNOWN,
        )

    def test_new_request_is_refused(self) -> None:
        fixture = _ForwarderFixture(_FakeScheduler(slots=1))
        fixture.forwarder.refuse_undispatched()
        refusal = asyncio.run(fixture.send_request())
        assert refusal.reason is RefusalReason.DRAINING

    def test_end_of_the_grace_in_the_turn_that_ends_a_deadline(self) -> None:
        """Guards against a stop that fails when a time limit expires."""

        async def run_scenario() -> Refusal:
            fixture = _ForwarderFixture(
                _FakeScheduler(slots=0, refuses_when_full=False)
            )
            task = asyncio.create_task(fixture.send_request())
            await gateway_doubles.run_pending_tasks()
            fixture.forwarder.end_unanswered()
            # The limit has expired, and its task has not run since.
            await asyncio.sleep(0)
            fixture.forwarder.end_unanswered()
            return await asyncio.wait_for(task, 1.0)

        assert asyncio.run(run_scenario()).ran is Ran.NO

    def _shut_down_while_waiting(
        self, may_have_run: bool, slots: int
    ) -> tuple[RefusalReason, Ran]:
        async def run_scenario() -> Refusal:
            fixture = _ForwarderFixture(
                _FakeScheduler(slots, refuses_when_full=False), may_have_run
            )
            task = asyncio.create_task(fixture.send_request())
            await gateway_doubles.run_pending_tasks()
            fixture.forwarder.refuse_undispatched()
            return await asyncio.wait_for(task, 1.0)

        refusal = asyncio.run(run_scenario())
        return refusal.reason, refusal.ran


class TestRetryBudget:
    """Guards against counting one refusal twice."""

    def test_exhausted_budget_counts_one_refusal(self) -> None:
        fixture = _ForwarderFixture(_FakeScheduler(slots=9), retry_slack=0)
        refusal = asyncio.run(fixture.send_request())
        assert refusal.reason is RefusalReason.RETRY_BUDGET_EXHAUSTED
        assert refusal.ran is Ran.NO
        assert sum(fixture.counters.refusals.values()) == 1


class TestDraining:
    """Guards against requests that are passed on and can't end in the grace."""

    def test_long_request_is_refused_at_once_as_not_run(self) -> None:
        fixture = _ForwarderFixture(_FakeScheduler(3, completion_s=6.0))
        fixture.start_draining(5.0)
        refusal = asyncio.run(fixture.send_request())
        assert refusal.reason is RefusalReason.DRAINING
        assert refusal.ran is Ran.NO
        assert refusal.retry_after_s is not None

    def test_short_request_is_passed_on(self) -> None:
        fixture = _ForwarderFixture(
            _FakeScheduler(3, completion_s=4.0), may_have_run=True
        )
        fixture.start_draining(5.0)
        refusal = asyncio.run(fixture.send_request())
        # The dispatcher of the fixture fails what it gets.
        assert refusal.reason is RefusalReason.UPSTREAM_ERROR

    def test_request_is_not_passed_on_in_the_last_seconds(self) -> None:
        fixture = _ForwarderFixture(_FakeScheduler(3, completion_s=0.1))
        fixture.start_draining(1.5)
        refusal = asyncio.run(fixture.send_request())
        assert refusal.reason is RefusalReason.DRAINING
