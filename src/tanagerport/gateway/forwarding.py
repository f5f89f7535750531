"""Path of one request through the gateway."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import AsyncIterator, Callable

import h11

from tanagerport.exceptions import RefusedError
from tanagerport.gateway import request_headers
from tanagerport.gateway.attempt_age import AttemptAges
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.client_server import ClientAnswer, ClientRequest
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.dialect import Dialect
from tanagerport.gateway.domain import Customer, RequestKind, Route
from tanagerport.gateway.event_stream import EventSplitter, StreamEvent
from tanagerport.gateway.http_call import AnswerHead, CallError, HttpCall
from tanagerport.gateway.quotas import QuotaLedger
from tanagerport.gateway.repeat_budget import RepeatBudget
from tanagerport.gateway.route_table import RouteTable
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.work import Placement, WorkItem
from tanagerport.refusals import Ran, Refusal, RefusalReason, RetryReason

# A connection between zones takes a few tens of milliseconds; a longer wait
# is a lost packet or a dead upstream, and others can be tried.
_CONNECT_TIMEOUT_S = 0.4
# Upstreams that may refuse a connection before the request is given up.
_MAX_CONNECT_FAILURES = 6
# Answers up to this size are held until they are whole, so that a broken one
# can be repeated or shown as an error.
_MAX_HELD_BYTES = 1024 * 1024
# Answers of earlier requests that may arrive first on a kept connection.
_MAX_STRAY_ANSWERS = 3
# A repeatable request goes elsewhere when its upstream says nothing for this
# many times the predicted time, or the target, whichever is longer.
_SILENT_PREDICTIONS = 4.0
_SILENT_TARGETS = 1.25
_MIN_SILENCE_S = 0.5
# The same within a stream, against the target of the pause.
_SILENT_PAUSES = 4.0
_MIN_STREAM_SILENCE_S = 1.0
# Events of a stream between two reports of its pace.
_PACE_EVENTS = 8
# Time after which a refused client may come back when a retry may help at
# once, in seconds, and its spread.
_SHORT_RETRY_AFTER_S = 0.3
_RETRY_SPREAD_S = 0.3


@dataclasses.dataclass(slots=True)
class _Job:
    """A request with what was done for it."""

    request: ClientRequest
    answer: ClientAnswer
    item: WorkItem
    customer: Customer | None
    units: float
    dispatches: int = 0
    connect_failures: int = 0
    has_open_dispatch: bool = False
    has_run_before: bool = False
    last_event_id: int | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.has_open_dispatch or self.has_run_before


class _DispatchError(Exception):
    """A dispatch brought no answer that could be passed on.

    Attributes:
        reason: Why it failed.
        has_run: Whether the upstream may have run the request.
    """

    def __init__(
        self, reason: RetryReason, message: str, has_run: bool
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.has_run = has_run


class RequestForwarder:
    """Answers requests of clients with answers of upstreams.

    Args:
        dialect: Spelling of the header fields.
        get_routes: Returns the routes in force, None before the first.
        scheduler: Gives places at upstreams.
        registry: Upstreams that may be used.
        pool: Connections to upstreams.
        health: Failures of upstreams.
        quotas: Quotas of customers.
        budget: Budget of repeated dispatches.
        counters: Figures of the process.
        log: Log of decisions.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        dialect: Dialect,
        get_routes: Callable[[], RouteTable | None],
        scheduler: Scheduler,
        registry: UpstreamRegistry,
        pool: UpstreamPool,
        health: UpstreamHealth,
        quotas: QuotaLedger,
        budget: RepeatBudget,
        counters: Counters,
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dialect = dialect
        self._get_routes = get_routes
        self._scheduler = scheduler
        self._registry = registry
        self._pool = pool
        self._health = health
        self._quotas = quotas
        self._budget = budget
        self._counters = counters
        self._log = log
        self._now = now
        self._random = random.Random()
        self._ages = AttemptAges()
        self._refuses_new = False

    def refuse_new(self) -> None:
        """Refuses all further requests, as the process is about to stop."""
        self._refuses_new = True

    async def handle(
        self, request: ClientRequest, answer: ClientAnswer
    ) -> None:
        """Answers one request; cancelled when its client is gone."""
        request_id = request.values.get(self._dialect.request_id, b"")
        try:
            await self._answer(request, answer)
        except RefusedError as error:
            self._refuse(request_id, request, answer, error.refusal)
        except asyncio.CancelledError:
            self._counters.clients_gone += 1
            self._log.info(
                "client_gone",
                request=request_id.decode("latin-1"),
                after_s=round(self._now() - request.received_at, 3),
            )
            raise

    def _refuse(
        self,
        request_id: bytes,
        request: ClientRequest,
        answer: ClientAnswer,
        refusal: Refusal,
    ) -> None:
        """Refuses a request, or cuts its answer if that has begun."""
        after_s = round(self._now() - request.received_at, 3)
        if answer.is_started:
            self._counters.answers["cut"] += 1
            self._log.warning(
                "answer_cut",
                request=request_id.decode("latin-1"),
                reason=refusal.reason.value,
                message=refusal.message,
                after_s=after_s,
            )
            answer.abort()
            return
        self._counters.refusals[refusal.reason.value] += 1
        self._log.refused(
            request_id.decode("latin-1"), refusal, after_s=after_s
        )
        answer.refuse(refusal)

    async def _answer(
        self, request: ClientRequest, answer: ClientAnswer
    ) -> None:
        routes = self._get_routes()
        if routes is None:
            raise _refused(
                RefusalReason.NO_CONFIGURATION,
                "no configuration is known yet",
                retry_after_s=self._short_retry(),
            )
        if self._refuses_new:
            raise _refused(
                RefusalReason.DRAINING,
                "the node is stopping",
                retry_after_s=self._short_retry(),
            )
        job = self._create_job(routes, request, answer)
        try:
            left_s = max(job.item.deadline_at - self._now(), 0)
            async with asyncio.timeout(left_s):
                await self._run(job)
        except TimeoutError:
            raise self._deadline_refusal(job) from None
        finally:
            if job.customer is not None and not (
                job.may_have_run or job.answer.is_started
            ):
                self._quotas.give_back(job.customer, job.units)

    def _create_job(
        self,
        routes: RouteTable,
        request: ClientRequest,
        answer: ClientAnswer,
    ) -> _Job:
        values = request.values
        host = values.get(b"host", b"").decode("latin-1")
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = routes.find_route(host, path)
        if route is None:
            raise _refused(
                RefusalReason.UNKNOWN_ROUTE,
                f"no route of configuration"
                f" {routes.configuration.version} has {host}{path}",
            )
        customer = self._find_customer(routes, route, values)
        request_id = values.get(self._dialect.request_id, b"")
        if not request_id:
            raise _refused(
                RefusalReason.BAD_REQUEST,
                f"the field {self._dialect.request_id.decode()} is missing",
            )
        work = request_headers.read_work(self._dialect, values)
        deadline_ms = request_headers.parse_number(
            values.get(self._dialect.deadline_ms)
        )
        limit_s = route.timeout_s
        age_s = 0.0
        if deadline_ms is not None:
            limit_s = min(limit_s, deadline_ms / 1000)
            age_s = self._ages.age_s(route.name, deadline_ms)
        tier = route.tier
        if customer is not None and customer.tier is not None:
            tier = customer.tier
        item = WorkItem(
            request_id.decode("latin-1"),
            route,
            _choose_service(route, request_id),
            tier,
            request.received_at,
            request.received_at + limit_s,
            age_s,
            work,
        )
        units = 0.0
        if customer is not None:
            units = self._quotas.units(customer, work)
            missing_s = self._quotas.take(customer, units)
            if missing_s is not None:
                raise _refused(
                    RefusalReason.QUOTA_EXCEEDED,
                    f"{units:g} units are missing in the quota of"
                    f" {customer.name}, {customer.rate_per_s:g} a second"
                    f" and {customer.burst:g} at once",
                    retry_after_s=missing_s + self._short_retry(),
                )
        return _Job(request, answer, item, customer, units)

    def _find_customer(
        self, routes: RouteTable, route: Route, values: dict[bytes, bytes]
    ) -> Customer | None:
        if route.is_public or not routes.configuration.customers:
            return None
        key = request_headers.read_key(self._dialect, values)
        customer = routes.find_customer(key)
        if customer is None:
            raise _refused(
                RefusalReason.UNKNOWN_KEY,
                "no customer of configuration"
                f" {routes.configuration.version} holds the key",
            )
        return customer

    async def _run(self, job: _Job) -> None:
        """Dispatches the request until it is answered."""
        while True:
            placement = await self._scheduler.acquire(job.item)
            self._counters.wait.observe(self._now() - job.request.received_at)
            try:
                await self._dispatch(job, placement)
                return
            except _DispatchError as error:
                self._note_failure(job, placement, error)
                self._check_repeat(job, error)
            except asyncio.CancelledError:
                self._note_abandoned(placement)
                raise
            finally:
                self._scheduler.release(placement)
            job.item.excluded.add(placement.upstream.upstream_id)
            self._reset_excluded(job.item)

    def _note_failure(
        self, job: _Job, placement: Placement, error: _DispatchError
    ) -> None:
        upstream_id = placement.upstream.upstream_id
        job.has_open_dispatch = False
        job.has_run_before |= error.has_run
        if error.reason is RetryReason.CONNECT_FAILED:
            self._health.record_unreachable(upstream_id)
            self._pool.close_idle(upstream_id)
        elif error.reason is RetryReason.REJECTED:
            self._health.record_rejection(upstream_id)
        elif error.reason is not RetryReason.FAILED:
            self._health.record_failure(upstream_id)
            self._scheduler.record_outcome(placement, has_failed=True)
        self._log.warning(
            "dispatch_failed",
            request=job.item.request_id,
            upstream=upstream_id,
            reason=error.reason.value,
            message=str(error),
            has_run=error.has_run,
            dispatches=job.dispatches,
            after_s=round(self._now() - placement.placed_at, 3),
        )

    def _note_abandoned(self, placement: Placement) -> None:
        """Records that a client or its deadline ended a dispatch."""
        waited_s = self._now() - placement.placed_at
        if placement.has_first_event or waited_s < max(
            _SILENT_PREDICTIONS * placement.predicted_s, _MIN_SILENCE_S
        ):
            return
        self._health.record_failure(placement.upstream.upstream_id)
        self._scheduler.record_outcome(placement, has_failed=True)
        self._log.warning(
            "dispatch_abandoned",
            request=placement.item.request_id,
            upstream=placement.upstream.upstream_id,
            after_s=round(waited_s, 3),
            predicted_s=round(placement.predicted_s, 3),
        )

    def _check_repeat(self, job: _Job, error: _DispatchError) -> None:
        """Raises the refusal if the request may not be sent again."""
        if error.reason is RetryReason.CONNECT_FAILED:
            job.connect_failures += 1
            if job.connect_failures <= _MAX_CONNECT_FAILURES:
                self._counters.retries[error.reason.value] += 1
                return
            raise self._failure_refusal(job, error)
        route = job.item.route
        may_repeat = not error.has_run or route.can_repeat
        if not may_repeat or job.dispatches >= route.max_dispatches:
            raise self._failure_refusal(job, error)
        if not self._budget.take(job.item.service):
            self._counters.refusals["retry_budget_exhausted"] += 1
            raise self._failure_refusal(job, error)
        self._counters.retries[error.reason.value] += 1

    def _reset_excluded(self, item: WorkItem) -> None:
        usable = self._registry.usable(item.service)
        if all(upstream.upstream_id in item.excluded for upstream in usable):
            item.excluded.clear()

    def _failure_refusal(
        self, job: _Job, error: _DispatchError
    ) -> RefusedError:
        if job.may_have_run:
            return _refused(
                RefusalReason.UPSTREAM_ERROR, str(error), Ran.UNKNOWN
            )
        return _refused(
            RefusalReason.UPSTREAM_REJECTED,
            str(error),
            retry_after_s=self._short_retry(),
        )

    def _deadline_refusal(self, job: _Job) -> RefusedError:
        if job.may_have_run or job.answer.is_started:
            return _refused(
                RefusalReason.DEADLINE_PASSED,
                "the deadline passed at the upstream",
                Ran.UNKNOWN,
            )
        return _refused(
            RefusalReason.DEADLINE_UNREACHABLE,
            "the deadline passed before the request was sent",
            retry_after_s=self._short_retry(),
        )

    def _short_retry(self) -> float:
        return _SHORT_RETRY_AFTER_S + self._random.uniform(0, _RETRY_SPREAD_S)

    async def _dispatch(self, job: _Job, placement: Placement) -> None:
        """Sends the request to one upstream and relays its answer.

        Raises:
            _DispatchError: The answer can't be passed on.
        """
        async with self._open_call(job, placement) as exchange:
            head = await self._read_head(job, placement, exchange)
            self._check_rejection(head)
            is_stream = (
                job.item.route.kind is RequestKind.STREAM
                and head.status == 200
                and head.values.get(b"content-type", b"").startswith(
                    b"text/event-stream"
                )
            )
            if is_stream:
                self._check_seal(head)
                await self._relay_stream(job, placement, exchange, head)
            else:
                await self._relay_whole(job, placement, exchange, head)
            if (
                exchange.call.can_reuse
                and not request_headers.closes_connection(head)
            ):
                exchange.idle_timeout_s = request_headers.idle_timeout_s(head)
                exchange.keep = True

    @contextlib.asynccontextmanager
    async def _open_call(
        self, job: _Job, placement: Placement
    ) -> AsyncIterator["_Exchange"]:
        upstream = placement.upstream
        channel = self._pool.take_idle(upstream)
        if channel is None:
            try:
                channel = await self._pool.open(upstream, _CONNECT_TIMEOUT_S)
            except ConnectionError as error:
                raise _DispatchError(
                    RetryReason.CONNECT_FAILED, str(error), has_run=False
                ) from error
        exchange = _Exchange(
            channel, self._create_call(job, placement, channel), self._now()
        )
        try:
            if job.dispatches == 0:
                self._budget.record_request(job.item.service)
            job.dispatches += 1
            self._log.info(
                "dispatched",
                request=job.item.request_id,
                route=job.item.route.name,
                upstream=upstream.upstream_id,
                tier=job.item.tier,
                customer="" if job.customer is None else job.customer.name,
                units=job.units,
                waited_s=round(self._now() - job.request.received_at, 3),
                predicted_s=round(placement.predicted_s, 3),
                dispatch=job.dispatches,
            )
            job.has_open_dispatch = True
            exchange.call.send()
            yield exchange
        finally:
            if exchange.keep:
                self._pool.put_back(upstream, channel, exchange.idle_timeout_s)
            else:
                channel.abort()

    def _create_call(
        self, job: _Job, placement: Placement, channel: Channel
    ) -> HttpCall:
        request = job.request
        headers = request_headers.upstream_headers(
            self._dialect,
            request,
            placement.upstream,
            job.customer,
            job.item.deadline_at - self._now(),
            job.last_event_id,
        )
        return HttpCall(
            channel,
            h11.Request(
                method=request.method, target=request.target, headers=headers
            ),
            request.body,
        )

    async def _read_head(
        self, job: _Job, placement: Placement, exchange: "_Exchange"
    ) -> AnswerHead:
        """Waits for the head of the answer to this request."""
        try:
            async with asyncio.timeout(self._silence_s(job, placement)):
                for _ in range(_MAX_STRAY_ANSWERS):
                    head = await exchange.call.read_head()
                    self._scheduler.record_heard(placement)
                    if self._is_own(job, head):
                        return head
                    # An extra answer to an earlier request came first.
                    self._log.warning(
                        "stray_answer",
                        request=job.item.request_id,
                        upstream=placement.upstream.upstream_id,
                    )
                    while await exchange.call.read_body():
                        pass
                    exchange.call = exchange.call.reopen()
        except TimeoutError:
            raise _DispatchError(
                RetryReason.SILENT, "the upstream sent no answer", has_run=True
            ) from None
        except CallError as error:
            raise _DispatchError(
                RetryReason.BROKEN, str(error), has_run=True
            ) from error
        raise _DispatchError(
            RetryReason.BROKEN,
            "the upstream sent only answers to other requests",
            has_run=True,
        )

    def _is_own(self, job: _Job, head: AnswerHead) -> bool:
        echoed = head.values.get(self._dialect.request_id)
        if echoed is None:
            # Upstreams may refuse before they have read the id.
            return head.status >= 400
        return echoed.decode("latin-1") == job.item.request_id

    def _silence_s(self, job: _Job, placement: Placement) -> float | None:
        """Returns how long to wait for a first byte; None is no bound."""
        route = job.item.route
        if not route.can_repeat or job.dispatches >= route.max_dispatches:
            return None
        return max(
            _SILENT_PREDICTIONS * placement.predicted_s,
            _SILENT_TARGETS * route.target_s,
            _MIN_SILENCE_S,
        )

    def _check_rejection(self, head: AnswerHead) -> None:
        if head.status == 421 or self._dialect.not_run in head.values:
            raise _DispatchError(
                RetryReason.REJECTED,
                f"the upstream answered {head.status} and did not run it",
                has_run=False,
            )

    def _check_seal(self, head: AnswerHead) -> None:
        is_sealed = self._dialect.upstream_seal in head.values
        if not is_sealed or b"content-encoding" in head.values:
            raise _DispatchError(
                RetryReason.BROKEN,
                "the answer does not bear the upstream's seal",
                has_run=True,
            )

    async def _relay_whole(
        self,
        job: _Job,
        placement: Placement,
        exchange: "_Exchange",
        head: AnswerHead,
    ) -> None:
        """Relays an answer that is not a stream, once it is whole."""
        if head.status < 300:
            self._check_seal(head)
        if head.status in (408, 429, 503):
            # Without the mark that it did not run, this status would promise
            # the client what is not known.
            raise _DispatchError(
                RetryReason.FAILED,
                f"the upstream answered {head.status}, which leaves open"
                " whether it ran",
                has_run=True,
            )
        try:
            body = await _read_whole(exchange.call)
        except CallError as error:
            raise _DispatchError(
                RetryReason.BROKEN, str(error), has_run=True
            ) from error
        first_byte_s = self._now() - exchange.started_at
        if head.status >= 500:
            self._scheduler.record_outcome(placement, has_failed=True)
            self._health.record_failed_answer(placement.upstream.upstream_id)
            self._check_failed_answer(job, head)
        else:
            self._scheduler.record_first_event(placement, first_byte_s)
            self._scheduler.record_outcome(placement, has_failed=False)
        self._counters.first_byte.observe(self._now() - job.request.received_at)
        job.answer.start(
            head.status,
            head.reason,
            request_headers.client_headers(head, len(body)),
        )
        if body:
            job.answer.send(body)
        job.answer.finish()
        self._note_answer(job, placement, head.status)
        await job.answer.drain()

    def _check_failed_answer(self, job: _Job, head: AnswerHead) -> None:
        """Raises if a failed answer may be replaced by a better one."""
        route = job.item.route
        if (
            route.can_repeat
            and job.dispatches < route.max_dispatches
            and self._budget.has_room(job.item.service)
        ):
            raise _DispatchError(
                RetryReason.FAILED,
                f"the upstream answered {head.status}",
                has_run=True,
            )

    async def _relay_stream(
        self,
        job: _Job,
        placement: Placement,
        exchange: "_Exchange",
        head: AnswerHead,
    ) -> None:
        """Relays the events of a stream as they arrive."""
        splitter = EventSplitter()
        last_event_at = self._now()
        pace = _Pace()
        while True:
            data = await self._read_events(job, placement, exchange)
            self._scheduler.record_heard(placement)
            events = splitter.feed(data)
            if not data and splitter.partial:
                raise _DispatchError(
                    RetryReason.STREAM_BROKEN,
                    "the stream ended within an event",
                    has_run=True,
                )
            if events:
                now = self._now()
                if not placement.has_first_event:
                    self._scheduler.record_first_event(
                        placement, now - exchange.started_at
                    )
                    pace.first_at = now
                else:
                    self._counters.event_pause.observe(now - last_event_at)
                    pace.longest_s = max(pace.longest_s, now - last_event_at)
                pace.events += len(events)
                pace.unreported += len(events)
                # The first report comes soon: it shows a slow upstream.
                if pace.unreported >= min(pace.events // 2, _PACE_EVENTS) > 0:
                    self._scheduler.record_pace(placement, pace.mean_s(now))
                    pace.unreported = 0
                last_event_at = now
                self._send_events(job, head, events)
                await job.answer.drain()
            if not data:
                break
        if not job.answer.is_started:
            self._start_stream(job, head)
        job.answer.finish()
        self._scheduler.record_outcome(placement, has_failed=False)
        self._note_answer(
            job,
            placement,
            head.status,
            first_s=round(pace.first_at - exchange.started_at, 3),
            mean_pause_s=round(pace.mean_s(last_event_at), 4),
            longest_pause_s=round(pace.longest_s, 3),
            events=pace.events,
            prompt_tokens=placement.prompt_tokens,
            tokens_ahead=placement.tokens_ahead,
            expected_tokens=job.item.work.expected_output_tokens,
            max_tokens=job.item.work.max_output_tokens,
        )

    async def _read_events(
        self, job: _Job, placement: Placement, exchange: "_Exchange"
    ) -> bytes:
        route = job.item.route
        silence_s = None
        if not placement.has_first_event:
            silence_s = self._silence_s(job, placement)
        elif route.is_resumable and job.dispatches < route.max_dispatches:
            pause_s = route.event_interval_target_s or route.target_s
            silence_s = max(_SILENT_PAUSES * pause_s, _MIN_STREAM_SILENCE_S)
        try:
            async with asyncio.timeout(silence_s):
                return await exchange.call.read_body()
        except TimeoutError:
            raise _DispatchError(
                RetryReason.SILENT,
                f"the upstream sent nothing for {silence_s} s",
                has_run=True,
            ) from None
        except CallError as error:
            raise _DispatchError(
                RetryReason.STREAM_BROKEN, str(error), has_run=True
            ) from error

    def _send_events(
        self, job: _Job, head: AnswerHead, events: list[StreamEvent]
    ) -> None:
        for event in events:
            expected = (
                None if job.last_event_id is None else job.last_event_id + 1
            )
            if event.event_id is not None:
                if expected is not None and event.event_id != expected:
                    raise _DispatchError(
                        RetryReason.STREAM_BROKEN,
                        f"event {event.event_id} came in place of {expected}",
                        has_run=True,
                    )
                job.last_event_id = event.event_id
            if not job.answer.is_started:
                self._start_stream(job, head)
            job.answer.send(event.raw)

    def _start_stream(self, job: _Job, head: AnswerHead) -> None:
        self._counters.first_byte.observe(self._now() - job.request.received_at)
        job.answer.start(
            head.status,
            head.reason,
            request_headers.client_headers(head, None),
        )

    def _note_answer(
        self, job: _Job, placement: Placement, status: int, **fields: float
    ) -> None:
        self._counters.answers[f"{status // 100}xx"] += 1
        self._log.info(
            "answered",
            request=job.item.request_id,
            upstream=placement.upstream.upstream_id,
            status=status,
            last_event=job.last_event_id,
            dispatches=job.dispatches,
            after_s=round(self._now() - job.request.received_at, 3),
            target_s=job.item.route.target_s,
            pause_target_s=job.item.route.event_interval_target_s,
            **fields,
        )


@dataclasses.dataclass(slots=True)
class _Pace:
    """Times of the events of one stream."""

    first_at: float = 0.0
    longest_s: float = 0.0
    events: int = 0
    unreported: int = 0

    def mean_s(self, last_at: float) -> float:
        """Returns the mean time between events, in seconds."""
        return (last_at - self.first_at) / max(self.events - 1, 1)


@dataclasses.dataclass(slots=True)
class _Exchange:
    """A call in progress on a connection."""

    channel: Channel
    call: HttpCall
    started_at: float
    keep: bool = False
    idle_timeout_s: float | None = None


async def _read_whole(call: HttpCall) -> bytes:
    """Returns the whole body of an answer.

    Raises:
        CallError: The body is incomplete or too large to be held.
    """
    chunks = []
    size = 0
    while data := await call.read_body():
        size += len(data)
        if size > _MAX_HELD_BYTES:
            raise CallError(f"the answer is above {_MAX_HELD_BYTES} bytes")
        chunks.append(data)
    return b"".join(chunks)


def _choose_service(route: Route, request_id: bytes) -> str:
    """Returns the service of a request by the weights of its route."""
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    point = random.Random(request_id).random() * total
    for service, weight in route.services:
        point -= weight
        if point < 0:
            return service
    return route.services[-1][0]


def _refused(
    reason: RefusalReason,
    message: str,
    ran: Ran = Ran.NO,
    retry_after_s: float | None = None,
) -> RefusedError:
    return RefusedError(Refusal(reason, message, ran, retry_after_s))
