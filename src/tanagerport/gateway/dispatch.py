"""Dispatch of a request to an upstream."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

import h11

from tanagerport.gateway import request_headers
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import RequestKind
from tanagerport.gateway.exchange import (
    EVICTED,
    Exchange,
    ResponseRecorder,
    first_byte_timeout_s,
)
from tanagerport.gateway.http_call import CallError, HttpCall, ResponseHead
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.output_estimates import OutputEstimator
from tanagerport.gateway.request_context import DispatchError, RequestContext
from tanagerport.gateway.response_buffers import ResponseBuffers
from tanagerport.gateway.retry_budget import RetryBudget
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.silence import silence_timeout
from tanagerport.gateway.stream_relay import StreamRelay
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_notices import UpstreamNotices
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.upstream_switch import UpstreamSwitch
from tanagerport.gateway.work_item import Placement
from tanagerport.refusals import RetryReason

# Connecting to another availability zone takes a few tens of milliseconds. A
# longer wait means a lost packet or a dead upstream; another can be tried.
_CONNECT_TIMEOUT_S = 0.4
# Responses other than event streams are buffered up to this size until they
# are complete, so that a truncated one can be retried or reported as an error.
_MAX_BUFFERED_BYTES = 1024 * 1024
# Maximum number of responses read for one request. On a reused connection,
# responses to earlier requests may arrive first.
_MAX_RESPONSES_READ = 3


class Dispatcher:
    """Sends requests to upstreams and relays their responses.

    Args:
        http_names: Names of the header fields.
        scheduler: Receives the timing and the outcome of each dispatch.
        pool: Connection pool for upstreams.
        health: Records failures of upstreams.
        notices: Reads what upstreams announce in their answers.
        budget: Limits retries.
        switch: Moves requests from silent upstreams to others.
        buffers: Memory of incomplete responses.
        outputs: Learns how long answers are.
        counters: Metrics of the process.
        log: Structured decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        http_names: HttpNames,
        scheduler: Scheduler,
        pool: UpstreamPool,
        health: UpstreamHealth,
        notices: UpstreamNotices,
        budget: RetryBudget,
        switch: UpstreamSwitch,
        buffers: ResponseBuffers,
        outputs: OutputEstimator,
        counters: Counters,
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._http_names = http_names
        self._scheduler = scheduler
        self._pool = pool
        self._health = health
        self._notices = notices
        self._budget = budget
        self._switch = switch
        self._buffers = buffers
        self._outputs = outputs
        self._recorder = ResponseRecorder(counters, log, now)
        self._streams = StreamRelay(
            scheduler, switch, buffers, self._recorder, counters, now
        )
        self._counters = counters
        self._log = log
        self._now = now

    async def dispatch(
        self, context: RequestContext, placement: Placement
    ) -> None:
        """Sends the request to one upstream and relays its response.

        Raises:
            DispatchError: No response can be relayed to the client.
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
            elif context.response.is_started:
                raise DispatchError(
                    RetryReason.STREAM_BROKEN,
                    f"the upstream answered {head.status} and did not continue"
                    " the stream",
                    may_have_run=True,
                )
            else:
                await self._relay_buffered(context, placement, exchange, head)
            if (
                exchange.call.can_reuse
                and not request_headers.closes_connection(head)
            ):
                exchange.idle_timeout_s = (
                    request_headers.parse_keep_alive_timeout_s(head)
                )
                exchange.is_reusable = True

    @contextlib.asynccontextmanager
    async def _open_exchange(
        self, context: RequestContext, placement: Placement
    ) -> AsyncIterator[Exchange]:
        upstream = placement.upstream
        channel = self._pool.take_idle(upstream)
        is_new_connection = channel is None
        if channel is None:
            try:
                channel = await self._pool.open(upstream, _CONNECT_TIMEOUT_S)
            except ConnectionError as error:
                raise DispatchError(
                    RetryReason.CONNECT_FAILED, str(error), may_have_run=False
                ) from error
        with self._buffers.open(channel.abort) as buffer:
            exchange = Exchange(
                channel,
                self._create_call(context, placement, channel),
                buffer,
                self._now(),
                is_new_connection,
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
                    waited_s=round(
                        self._now() - context.request.received_at, 3
                    ),
                    predicted_s=round(placement.predicted_first_byte_s, 3),
                    dispatch=context.dispatches,
                )
                context.has_open_dispatch = True
                context.response.upstream_id = upstream.upstream_id
                exchange.call.send()
                yield exchange
            except DispatchError as error:
                error.has_lost_connection = not (
                    channel.is_open or buffer.is_evicted
                )
                raise
            finally:
                if exchange.is_reusable:
                    self._pool.release(
                        upstream, channel, exchange.idle_timeout_s
                    )
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
        exchange: Exchange,
    ) -> ResponseHead:
        """Waits for the status line and headers of this request's response."""
        try:
            async with silence_timeout(
                first_byte_timeout_s(context, placement),
                lambda: self._switch.find_place(context, placement),
            ):
                for _ in range(_MAX_RESPONSES_READ):
                    head = await exchange.call.read_head()
                    self._scheduler.record_received(placement)
                    self._notices.record_answer(placement.upstream, head)
                    if self._matches_request(context, exchange, head):
                        self._switch.stay(context)
                        return head
                    # A response to an earlier request arrived first.
                    self._log.warning(
                        "unmatched_response",
                        request=context.item.request_id,
                        upstream=placement.upstream.upstream_id,
                    )
                    await self._read_whole_body(exchange)
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
        self,
        context: RequestContext,
        exchange: Exchange,
        head: ResponseHead,
    ) -> bool:
        echoed_id = head.header_values.get(self._http_names.request_id)
        if echoed_id is None:
            # An upstream may reject a request before it has read the id. On a
            # connection that carried other requests, it may repeat an answer.
            return head.status >= 400 and exchange.is_new_connection
        return echoed_id.decode("latin-1") == context.item.request_id

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

    async def _relay_stream(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: Exchange,
        head: ResponseHead,
    ) -> None:
        """Relays a stream, whose length tells of those to come.

        The rest of one that another upstream began does not.
        """
        customer = "" if context.customer is None else context.customer.name
        is_first = not context.response.is_started
        try:
            await self._streams.relay(context, placement, exchange, head)
        except asyncio.CancelledError:
            if is_first:
                self._outputs.record_cut(placement, customer)
            raise
        if is_first:
            self._outputs.record_whole(placement, customer)

    async def _relay_buffered(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: Exchange,
        head: ResponseHead,
    ) -> None:
        """Relays a response that is not a stream after buffering all of it."""
        if head.status < 300:
            self._check_response_seal(head)
        if head.status in (408, 429, 503):
            # Clients take these statuses to mean that the request did not run.
            # Without the not-run header field that is unknown.
            raise DispatchError(
                RetryReason.FAILED,
                f"the upstream answered {head.status}, which leaves open"
                " whether it ran",
                may_have_run=True,
            )
        try:
            body = await self._read_whole_body(exchange)
        except CallError as error:
            raise DispatchError(
                RetryReason.BROKEN, str(error), may_have_run=True
            ) from error
        duration_s = self._now() - exchange.started_at
        if head.status >= 500:
            self._scheduler.record_outcome(placement, has_failed=True)
            self._health.record_error_response(placement.upstream.upstream_id)
            self._check_error_response(context, head)
        else:
            self._scheduler.record_first_event(placement, duration_s)
            self._scheduler.record_established(placement)
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
        self._recorder.record(context, placement, head.status)
        await context.response.drain()

    async def _read_whole_body(self, exchange: Exchange) -> bytes:
        """Returns the whole body of a response.

        Raises:
            CallError: The body is incomplete or too large, or its memory was
                needed.
        """
        body = await exchange.call.read_whole_body(
            _MAX_BUFFERED_BYTES,
            lambda size: self._buffers.resize(exchange.buffer, size),
        )
        if exchange.buffer.is_evicted:
            # The end of the connection may look like that of the body.
            raise CallError(EVICTED)
        return body

    def _check_error_response(
        self, context: RequestContext, head: ResponseHead
    ) -> None:
        """Raises DispatchError if an error response may be retried."""
        route = context.item.route
        if (
            route.can_repeat
            and context.dispatches < route.max_dispatches
            and self._budget.can_retry(context.item.service)
        ):
            raise DispatchError(
                RetryReason.FAILED,
                f"the upstream answered {head.status}",
                may_have_run=True,
            )
