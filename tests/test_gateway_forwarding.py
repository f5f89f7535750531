"""What a client is told when a request can't be answered."""

import asyncio
from typing import Any, cast

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.client_server import ClientRequest, ClientResponse
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.dispatch import Dispatcher
from tanagerport.gateway.domain import RequestKind
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.repeat_budget import RepeatBudget
from tanagerport.gateway.request_context import DispatchError, RequestContext
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.work import Placement, WorkItem
from tanagerport.refusals import Ran, Refusal, RefusalReason, RetryReason

_NO_PLACE = Refusal(
    RefusalReason.DEADLINE_UNREACHABLE, "no place", retry_after_s=1.0
)
_ROUTE = gateway_doubles.make_route(
    kind=RequestKind.IDEMPOTENT, max_dispatches=3
)


class _Dialect:
    request_id = b"request-id"


class _FakeResponse:
    """Keeps the refusal."""

    is_started = False
    refusal: Refusal | None = None

    def refuse(self, refusal: Refusal) -> None:
        self.refusal = refusal


class _Scheduler:
    """Gives a number of places, then refuses or waits."""

    def __init__(self, places: int, refuses: bool = True) -> None:
        self.places = places
        self._refuses = refuses
        self._waiting: list[asyncio.Future[Placement]] = []

    async def acquire(self, item: WorkItem) -> Placement:
        if self.places == 0:
            if self._refuses:
                raise RefusedError(_NO_PLACE)
            self._waiting.append(asyncio.get_running_loop().create_future())
            return await self._waiting[-1]
        self.places -= 1
        upstream = gateway_doubles.make_upstream("u")
        return Placement(upstream, item, 1, 1, 0.1, 100.0)

    def refuse_waiting(self, refusal: Refusal) -> None:
        for future in self._waiting:
            future.set_exception(RefusedError(refusal))

    def release(self, placement: Placement) -> None:
        del placement

    def record_outcome(self, placement: Placement, has_failed: bool) -> None:
        del placement, has_failed


class _Dispatcher:
    """Fails every dispatch."""

    def __init__(self, has_run: bool) -> None:
        self._has_run = has_run

    async def dispatch(
        self, context: RequestContext, placement: Placement
    ) -> None:
        del placement
        context.dispatches += 1
        raise DispatchError(RetryReason.BROKEN, "cut off", self._has_run)


class _FakeValidator:
    """Takes every request."""

    def create_context(
        self, routes: object, request: ClientRequest, response: ClientResponse
    ) -> RequestContext:
        del routes
        item = gateway_doubles.make_item(request.received_at, _ROUTE)
        return RequestContext(request, response, item, None, 0.0)

    def refund_unused_quota(self, context: RequestContext) -> None:
        del context


class _Registry:
    def usable(self, service: str) -> list[object]:
        del service
        return []


class _World:
    """A forwarder before fakes."""

    def __init__(
        self, scheduler: _Scheduler, has_run: bool = False, slack: float = 10
    ) -> None:
        clock = FakeClock(100.0)
        self.clock = clock
        self.counters = Counters()
        self.forwarder = RequestForwarder(
            cast(Any, _Dialect()),
            self._get_routes,
            cast(Any, _FakeValidator()),
            cast(Dispatcher, _Dispatcher(has_run)),
            cast(Scheduler, scheduler),
            cast(Any, _Registry()),
            cast(Any, None),
            UpstreamHealth(clock.monotonic),
            RepeatBudget(0.0, 10.0, slack, lambda: 1, clock.monotonic),
            self.counters,
            DecisionLog("n"),
            clock.monotonic,
        )

    async def ask(self) -> Refusal:
        """Sends a request and returns its refusal."""
        response = _FakeResponse()
        request = ClientRequest(
            b"POST", b"/", [], {}, b"", self.clock.monotonic()
        )
        await self.forwarder.handle(request, cast(ClientResponse, response))
        assert response.refusal is not None
        return response.refusal

    async def _get_routes(self) -> Any:
        return object()


class TestRefusalAfterDispatch:
    """Guards against a refusal that wrongly says that nothing ran.

    A request whose first dispatch had run and whose second one found no
    place was refused with 503 as not run.
    """

    def test_no_place_for_a_repeat_of_what_ran(self) -> None:
        world = _World(_Scheduler(places=1), has_run=True)
        refusal = asyncio.run(world.ask())
        assert refusal.ran is Ran.UNKNOWN
        assert refusal.http_status == 502
        assert refusal.retry_after_s is None

    def test_no_place_for_a_repeat_of_what_did_not_run(self) -> None:
        world = _World(_Scheduler(places=1), has_run=False)
        refusal = asyncio.run(world.ask())
        assert refusal == _NO_PLACE


class TestStop:
    """Guards against requests that wait until their node is killed."""

    def test_waiting_request_is_refused_as_not_run(self) -> None:
        assert self._stop_while_waiting(has_run=False, places=0) == (
            RefusalReason.DRAINING,
            Ran.NO,
        )

    def test_waiting_repeat_of_what_ran_is_not_called_unrun(self) -> None:
        assert self._stop_while_waiting(has_run=True, places=1) == (
            RefusalReason.UPSTREAM_ERROR,
            Ran.UNKNOWN,
        )

    def test_new_request_is_refused(self) -> None:
        world = _World(_Scheduler(places=1))
        world.forwarder.refuse_undispatched()
        refusal = asyncio.run(world.ask())
        assert refusal.reason is RefusalReason.DRAINING

    def _stop_while_waiting(
        self, has_run: bool, places: int
    ) -> tuple[RefusalReason, Ran]:
        async def play() -> Refusal:
            world = _World(_Scheduler(places, refuses=False), has_run)
            task = asyncio.create_task(world.ask())
            await gateway_doubles.settle()
            world.forwarder.refuse_undispatched()
            return await asyncio.wait_for(task, 1.0)

        refusal = asyncio.run(play())
        return refusal.reason, refusal.ran


class TestRetryBudget:
    """Guards against refusals that are counted twice."""

    def test_empty_budget_is_the_reason_of_one_refusal(self) -> None:
        world = _World(_Scheduler(places=9), slack=0)
        refusal = asyncio.run(world.ask())
        assert refusal.reason is RefusalReason.RETRY_BUDGET_EXHAUSTED
        assert refusal.ran is Ran.NO
        assert sum(world.counters.refusals.values()) == 1
