"""One dispatch of a request to an upstream, and the relay of its answer."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Callable

import h11

from tanagerport.gateway import request_headers
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import RequestKind
from tanagerport.gateway.event_stream import EventSplitter, StreamEvent
from tanagerport.gateway.http_call import CallError, HttpCall, ResponseHead
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.repeat_budget import RepeatBudget
from tanagerport.gateway.request_context import DispatchError, RequestContext
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.work import Placement
from tanagerport.refusals import RetryReason

# A connection between zones takes a few tens of milliseconds; a longer wait
# is a lost packet or a dead upstream, and others can be tried.
_CONNECT_TIMEOUT_S = 0.4
# Answers up to this size are held until they are whole, so that a broken one
# can be repeated or shown as an error.
_MAX_BUFFERED_BYTES = 1024 * 1024
# Longest event of a stream; one holds a few tokens.
_MAX_EVENT_BYTES = 256 * 1024
# Answers of earlier requests that may arrive first on a kept connection.
_MAX_RESPONSES_READ = 3
# A repeatable request goes elsewhere when its upstream says nothing for this
# many times the predicted time, or the target, whichever is longer.
FIRST_BYTE_TIMEOUT_FACTOR = 4.0
_FIRST_BYTE_TARGET_FACTOR = 1.25
MIN_FIRST_BYTE_TIMEOUT_S = 0.5
# The same within a stream, against the target of the pause.
_EVENT_TIMEOUT_FACTOR = 4.0
_MIN_EVENT_TIMEOUT_S = 1.0
# Events of a stream between two reports of its pace.
_EVENTS_PER_TIMING_REPORT = 8


class Dispatcher:
    """Sends requests to upstreams and relays their answers.

    Args:
        http_names: Spelling of the header fields.
        scheduler: Learns from what upstreams do.
        pool: Connections to upstreams.
        health: Failures of upstreams.
        budget: Budget of repeated dispatches.
        counters: Figures of the process.
        log: Log of decisions.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        http_names: HttpNames,
        scheduler: Scheduler,
        pool: UpstreamPool,
        health: UpstreamHealth,
        budget: RepeatBudget,
        counters: Counters,
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._http_names = http_names
        self._scheduler = scheduler
        self._pool = pool
        self._health = health
        self._budget = budget
        self._counters = counters
        self._log = log
        self._now = now

    async def dispatch(
        self, context: RequestContext, placement: Placement
    ) -> None:
        """Sends the request to one upstream and relays its answer.

        Raises:
            DispatchError: The answer can't be passed on.
        """
        async with self._open_exchange(context, placement) as exchange:
            head = await self._read_head(context, placement, exchange)
            self._check_rejection(head)
            is_stream = (
                context.item.route.kind is RequestKind.STREAM
                and head.status == 200
                and head.header_values.get(b"content-type", b"").startswith(
                    b"text/event-stream"
                )
            )
            if is_stream:
                self._check_response_seal(head)
                await self._relay_stream(context, placement, exchange, head)
            else:
                await self._relay_buffered(context, placement, exchange, head)
            if (
                exchange.call.can_reuse
                and not request_headers.closes_connection(head)
            ):
                exchange.idle_timeout_s = request_headers.idle_timeout_s(head)
                exchange.is_reusable = True

    @contextlib.asynccontextmanager
    async def _open_exchange(
        self, context: RequestContext, placement: Placement
    ) -> AsyncIterator["_Exchange"]:
        upstream = placement.upstream
        channel = self._pool.take_idle(upstream)
        if channel is None:
            try:
                channel = await self._pool.open(upstream, _CONNECT_TIMEOUT_S)
            except ConnectionError as error:
                raise DispatchError(
                    RetryReason.CONNECT_FAILED, str(error), may_have_run=False
                ) from error
        exchange = _Exchange(
            channel, self._create_call(context, placement, channel), self._now()
        )
        try:
            if context.dispatches == 0:
                self._budget.record_request(context.item.service)
            context.dispatches += 1
            self._log.info(
                "dispatched",
                request=context.item.request_id,
                route=context.item.route.name,
                upstream=upstream.upstream_id,
                tier=context.item.tier,
                customer=""
                if context.customer is None
                else context.customer.name,
                units=context.units,
                waited_s=round(self._now() - context.request.received_at, 3),
                predicted_s=round(placement.predicted_s, 3),
                dispatch=context.dispatches,
            )
            context.has_open_dispatch = True
            exchange.call.send()
            yield exchange
        finally:
            if exchange.is_reusable:
                self._pool.put_back(upstream, channel, exchange.idle_timeout_s)
            else:
                channel.abort()

    def _create_call(
        self, context: RequestContext, placement: Placement, channel: Channel
    ) -> HttpCall:
        request = context.request
        headers = request_headers.build_upstream_headers(
            self._http_names,
            request,
            placement.upstream,
            context.customer,
            context.item.deadline_at - self._now(),
            context.last_event_id,
        )
        return HttpCall(
            channel,
            h11.Request(
                method=request.method, target=request.target, headers=headers
            ),
            request.body,
        )

    async def _read_head(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: "_Exchange",
    ) -> ResponseHead:
        """Waits for the head of the answer to this request."""
        try:
            async with asyncio.timeout(
                self._first_byte_timeout_s(context, placement)
            ):
                for _ in range(_MAX_RESPONSES_READ):
                    head = await exchange.call.read_head()
                    self._scheduler.record_heard(placement)
                    if self._matches_request(context, head):
                        return head
                    # An extra answer to an earlier request came first.
                    self._log.warning(
                        "stray_answer",
                        request=context.item.request_id,
                        upstream=placement.upstream.upstream_id,
                    )
                    await exchange.call.read_whole_body(_MAX_BUFFERED_BYTES)
                    exchange.call = exchange.call.for_next_response()
        except TimeoutError:
            raise DispatchError(
                RetryReason.SILENT,
                "the upstream sent no answer",
                may_have_run=True,
            ) from None
        except CallError as error:
            raise DispatchError(
                RetryReason.BROKEN, str(error), may_have_run=True
            ) from error
        raise DispatchError(
            RetryReason.BROKEN,
            "the upstream sent only answers to other requests",
            may_have_run=True,
        )

    def _matches_request(
        self, context: RequestContext, head: ResponseHead
    ) -> bool:
        echoed = head.header_values.get(self._http_names.request_id)
        if echoed is None:
            # Upstreams may refuse before they have read the id.
            return head.status >= 400
        return echoed.decode("latin-1") == context.item.request_id

    def _first_byte_timeout_s(
        self, context: RequestContext, placement: Placement
    ) -> float | None:
        """Returns how long to wait for a first byte; None is no bound."""
        route = context.item.route
        if not route.can_repeat or context.dispatches >= route.max_dispatches:
            return None
        return max(
            FIRST_BYTE_TIMEOUT_FACTOR * placement.predicted_s,
            _FIRST_BYTE_TARGET_FACTOR * route.target_s,
            MIN_FIRST_BYTE_TIMEOUT_S,
        )

    def _check_rejection(self, head: ResponseHead) -> None:
        if head.status == 421 or self._http_names.not_run in head.header_values:
            raise DispatchError(
                RetryReason.REJECTED,
                f"the upstream answered {head.status} and did not run it",
                may_have_run=False,
            )

    def _check_response_seal(self, head: ResponseHead) -> None:
        is_sealed = self._http_names.response_seal in head.header_values
        if not is_sealed or b"content-encoding" in head.header_values:
            raise DispatchError(
                RetryReason.BROKEN,
                "the answer does not bear the upstream's seal",
                may_have_run=True,
            )

    async def _relay_buffered(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: "_Exchange",
        head: ResponseHead,
    ) -> None:
        """Relays an answer that is not a stream, once it is whole."""
        if head.status < 300:
            self._check_response_seal(head)
        if head.status in (408, 429, 503):
            # Without the mark that it did not run, this status would promise
            # the client what is not known.
            raise DispatchError(
                RetryReason.FAILED,
                f"the upstream answered {head.status}, which leaves open"
                " whether it ran",
                may_have_run=True,
            )
        try:
            body = await exchange.call.read_whole_body(_MAX_BUFFERED_BYTES)
        except CallError as error:
            raise DispatchError(
                RetryReason.BROKEN, str(error), may_have_run=True
            ) from error
        first_byte_s = self._now() - exchange.started_at
        if head.status >= 500:
            self._scheduler.record_outcome(placement, has_failed=True)
            self._health.record_failed_answer(placement.upstream.upstream_id)
            self._check_error_response(context, head)
        else:
            self._scheduler.record_first_event(placement, first_byte_s)
            self._scheduler.record_outcome(placement, has_failed=False)
        self._counters.first_byte.observe(
            self._now() - context.request.received_at
        )
        context.response.start(
            head.status,
            head.reason,
            request_headers.build_client_headers(head, len(body)),
        )
        if body:
            context.response.send(body)
        context.response.finish()
        self._record_response(context, placement, head.status)
        await context.response.drain()

    def _check_error_response(
        self, context: RequestContext, head: ResponseHead
    ) -> None:
        """Raises if a failed answer may be replaced by a better one."""
        route = context.item.route
        if (
            route.can_repeat
            and context.dispatches < route.max_dispatches
            and self._budget.has_room(context.item.service)
        ):
            raise DispatchError(
                RetryReason.FAILED,
                f"the upstream answered {head.status}",
                may_have_run=True,
            )

    async def _relay_stream(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: "_Exchange",
        head: ResponseHead,
    ) -> None:
        """Relays the events of a stream as they arrive."""
        splitter = EventSplitter()
        last_event_at = self._now()
        timing = _StreamTiming()
        while True:
            data = await self._read_stream_data(context, placement, exchange)
            self._scheduler.record_heard(placement)
            events = splitter.feed(data)
            if len(splitter.partial) > _MAX_EVENT_BYTES:
                raise DispatchError(
                    RetryReason.STREAM_BROKEN,
                    f"an event is above {_MAX_EVENT_BYTES} bytes",
                    may_have_run=True,
                )
            if not data and splitter.partial:
                raise DispatchError(
                    RetryReason.STREAM_BROKEN,
                    "the stream ended within an event",
                    may_have_run=True,
                )
            if events:
                now = self._now()
                if not placement.has_first_event:
                    self._scheduler.record_first_event(
                        placement, now - exchange.started_at
                    )
                    timing.first_at = now
                else:
                    self._counters.event_pause.observe(now - last_event_at)
                    timing.longest_interval_s = max(
                        timing.longest_interval_s, now - last_event_at
                    )
                timing.events += len(events)
                timing.unreported_events += len(events)
                # The first report comes soon: it shows a slow upstream.
                if (
                    timing.unreported_events
                    >= min(timing.events // 2, _EVENTS_PER_TIMING_REPORT)
                    > 0
                ):
                    self._scheduler.record_pace(
                        placement, timing.mean_interval_s(now)
                    )
                    timing.unreported_events = 0
                last_event_at = now
                self._send_events(context, head, events)
                await context.response.drain()
            if not data:
                break
        if not context.response.is_started:
            self._start_stream(context, head)
        context.response.finish()
        self._scheduler.record_outcome(placement, has_failed=False)
        self._record_response(
            context,
            placement,
            head.status,
            first_s=round(timing.first_at - exchange.started_at, 3),
            mean_pause_s=round(timing.mean_interval_s(last_event_at), 4),
            longest_pause_s=round(timing.longest_interval_s, 3),
            events=timing.events,
            prompt_tokens=placement.prompt_tokens,
            tokens_ahead=placement.tokens_ahead,
            expected_tokens=context.item.work.expected_output_tokens,
            max_tokens=context.item.work.max_output_tokens,
        )

    async def _read_stream_data(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: "_Exchange",
    ) -> bytes:
        route = context.item.route
        timeout_s = None
        if not placement.has_first_event:
            timeout_s = self._first_byte_timeout_s(context, placement)
        elif route.is_resumable and context.dispatches < route.max_dispatches:
            interval_target_s = route.event_interval_target_s or route.target_s
            timeout_s = max(
                _EVENT_TIMEOUT_FACTOR * interval_target_s, _MIN_EVENT_TIMEOUT_S
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await exchange.call.read_body()
        except TimeoutError:
            raise DispatchError(
                RetryReason.SILENT,
                f"the upstream sent nothing for {timeout_s} s",
                may_have_run=True,
            ) from None
        except CallError as error:
            raise DispatchError(
                RetryReason.STREAM_BROKEN, str(error), may_have_run=True
            ) from error

    def _send_events(
        self,
        context: RequestContext,
        head: ResponseHead,
        events: list[StreamEvent],
    ) -> None:
        for event in events:
            expected = (
                None
                if context.last_event_id is None
                else context.last_event_id + 1
            )
            if event.event_id is not None:
                if expected is not None and event.event_id != expected:
                    raise DispatchError(
                        RetryReason.STREAM_BROKEN,
                        f"event {event.event_id} came in place of {expected}",
                        may_have_run=True,
                    )
                context.last_event_id = event.event_id
            if not context.response.is_started:
                self._start_stream(context, head)
            context.response.send(event.raw)

    def _start_stream(
        self, context: RequestContext, head: ResponseHead
    ) -> None:
        self._counters.first_byte.observe(
            self._now() - context.request.received_at
        )
        context.response.start(
            head.status,
            head.reason,
            request_headers.build_client_headers(head, None),
        )

    def _record_response(
        self,
        context: RequestContext,
        placement: Placement,
        status: int,
        **fields: float,
    ) -> None:
        self._counters.answers[f"{status // 100}xx"] += 1
        self._log.info(
            "answered",
            request=context.item.request_id,
            upstream=placement.upstream.upstream_id,
            status=status,
            last_event=context.last_event_id,
            dispatches=context.dispatches,
            after_s=round(self._now() - context.request.received_at, 3),
            target_s=context.item.route.target_s,
            pause_target_s=context.item.route.event_interval_target_s,
            **fields,
        )


@dataclasses.dataclass(slots=True)
class _StreamTiming:
    """Times of the events of one stream."""

    first_at: float = 0.0
    longest_interval_s: float = 0.0
    events: int = 0
    unreported_events: int = 0

    def mean_interval_s(self, last_at: float) -> float:
        """Returns the mean time between events, in seconds."""
        return (last_at - self.first_at) / max(self.events - 1, 1)


@dataclasses.dataclass(slots=True)
class _Exchange:
    """A call in progress on a connection."""

    channel: Channel
    call: HttpCall
    started_at: float
    is_reusable: bool = False
    idle_timeout_s: float | None = None
