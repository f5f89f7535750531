"""Relay of event streams from upstreams to clients."""

import time
from collections.abc import Callable

from tanagerport.gateway import request_headers
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.event_stream import EventSplitter, StreamEvent
from tanagerport.gateway.exchange import (
    EVICTED,
    Exchange,
    ResponseRecorder,
    StreamTiming,
    first_byte_timeout_s,
)
from tanagerport.gateway.http_call import CallError, ResponseHead
from tanagerport.gateway.request_context import DispatchError, RequestContext
from tanagerport.gateway.response_buffers import ResponseBuffers
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.silence import silence_timeout
from tanagerport.gateway.upstream_switch import UpstreamSwitch
from tanagerport.gateway.work_item import Placement
from tanagerport.refusals import RetryReason

# Maximum size of one stream event. An event normally carries a few tokens.
_MAX_EVENT_BYTES = 256 * 1024
# Timeout between two events of a resumable stream: a multiple of the target
# interval, and at least the minimum.
_EVENT_TIMEOUT_FACTOR = 4.0
_MIN_EVENT_TIMEOUT_S = 1.0
# Number of events of a stream between two reports of its mean event interval
# to the scheduler.
_EVENTS_PER_TIMING_REPORT = 8


class StreamRelay:
    """Relays the events of streams.

    Args:
        scheduler: Receives the timing and the outcome of each stream.
        switch: Moves requests from silent upstreams to others.
        buffers: Memory of incomplete responses.
        recorder: Records relayed responses.
        counters: Metrics of the process.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        switch: UpstreamSwitch,
        buffers: ResponseBuffers,
        recorder: ResponseRecorder,
        counters: Counters,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler = scheduler
        self._switch = switch
        self._buffers = buffers
        self._recorder = recorder
        self._counters = counters
        self._now = now

    async def relay(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: Exchange,
        head: ResponseHead,
    ) -> None:
        """Relays the events of a stream as they arrive.

        Raises:
            DispatchError: The stream broke, or its request leaves the upstream.
        """
        splitter = EventSplitter()
        last_event_at = self._now()
        timing = StreamTiming()
        while True:
            data = await self._read_stream_data(context, placement, exchange)
            self._scheduler.record_received(placement)
            if exchange.buffer.is_evicted:
                raise DispatchError(
                    RetryReason.STREAM_BROKEN, EVICTED, may_have_run=True
                )
            events = splitter.feed(data)
            self._buffers.resize(exchange.buffer, splitter.partial_length)
            if splitter.partial_length > _MAX_EVENT_BYTES:
                raise DispatchError(
                    RetryReason.STREAM_BROKEN,
                    f"an event is above {_MAX_EVENT_BYTES} bytes",
                    may_have_run=True,
                )
            if not data and not timing.event_count and not head.is_framed:
                # The connection may have ended before the answer did.
                raise DispatchError(
                    RetryReason.STREAM_BROKEN,
                    "the connection ended before the first event",
                    may_have_run=True,
                )
            if not data and splitter.is_within_event:
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
                timing.event_count += len(events)
                self._scheduler.record_events(placement, len(events))
                timing.unreported_count += len(events)
                # The first report is sent early to reveal a slow upstream.
                if (
                    timing.unreported_count
                    >= min(timing.event_count // 2, _EVENTS_PER_TIMING_REPORT)
                    > 0
                ):
                    self._scheduler.record_event_interval(
                        placement, timing.mean_interval_s(now)
                    )
                    timing.unreported_count = 0
                last_event_at = now
                self._send_events(context, head, events)
                await context.response.drain()
            if not data:
                break
        if not context.response.is_started:
            self._start_stream(context, head)
        if splitter.partial:
            context.response.send(splitter.partial)
        context.response.finish()
        self._record_end(placement, head)
        self._recorder.record(
            context,
            placement,
            head.status,
            first_s=round(timing.first_at - exchange.started_at, 3),
            mean_pause_s=round(timing.mean_interval_s(last_event_at), 4),
            longest_pause_s=round(timing.longest_interval_s, 3),
            events=timing.event_count,
            prompt_tokens=placement.prompt_tokens,
            tokens_ahead=placement.queued_prompt_tokens,
            expected_tokens=context.item.work.expected_output_tokens,
            max_tokens=context.item.work.max_output_tokens,
        )

    def _record_end(self, placement: Placement, head: ResponseHead) -> None:
        if head.is_framed:
            # Otherwise the end may be that of the upstream.
            self._scheduler.record_whole_stream(placement)
        self._scheduler.record_outcome(placement, has_failed=False)

    async def _read_stream_data(
        self,
        context: RequestContext,
        placement: Placement,
        exchange: Exchange,
    ) -> bytes:
        route = context.item.route
        timeout_s = None
        if not placement.has_first_event:
            timeout_s = first_byte_timeout_s(context, placement)
        elif route.is_resumable and context.dispatches < route.max_dispatches:
            interval_target_s = route.event_interval_target_s or route.target_s
            timeout_s = max(
                _EVENT_TIMEOUT_FACTOR * interval_target_s, _MIN_EVENT_TIMEOUT_S
            )
        try:
            async with silence_timeout(
                timeout_s, lambda: self._switch.find_place(context, placement)
            ):
                data = await exchange.call.read_body_part()
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
        self._switch.stay(context)
        return data

    def _send_events(
        self,
        context: RequestContext,
        head: ResponseHead,
        events: list[StreamEvent],
    ) -> None:
        valid = bytearray()
        try:
            for event in events:
                self._check_sequence(context, event)
                valid += event.raw
        finally:
            if valid:
                if not context.response.is_started:
                    self._start_stream(context, head)
                context.response.send(bytes(valid))
                context.item.last_data_at = self._now()

    def _check_sequence(
        self, context: RequestContext, event: StreamEvent
    ) -> None:
        """Raises DispatchError if events are missing before this one."""
        if event.event_id is None:
            return
        last_id = context.last_event_id
        if last_id is not None and event.event_id != last_id + 1:
            raise DispatchError(
                RetryReason.STREAM_BROKEN,
                f"event {event.event_id} came in place of {last_id + 1}",
                may_have_run=True,
            )
        context.last_event_id = event.event_id

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
