"""Request handling: validation, placement, dispatch, retries and refusals."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.client_messages import ClientRequest, ClientResponse
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.dispatch import Dispatcher
from tanagerport.gateway.drain_admission import DrainAdmission
from tanagerport.gateway.exchange import (
    FIRST_BYTE_TIMEOUT_FACTOR,
    MIN_FIRST_BYTE_TIMEOUT_S,
)
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.interruption import (
    InterruptedTaskError,
    Interruption,
)
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.request_context import (
    MAX_CRASHES,
    DispatchError,
    RequestContext,
    refusal_error,
)
from tanagerport.gateway.request_errors import end_failed_request
from tanagerport.gateway.request_validation import RequestValidator
from tanagerport.gateway.retry_budget import RetryBudget
from tanagerport.gateway.route_table import RouteTable
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.slot_messages import SlotOutcome
from tanagerport.gateway.stop_schedule import StopSchedule
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_losses import (
    HeldRequest,
    LossDetector,
    format_parts,
)
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.upstream_switch import UpstreamSwitch
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Ran, Refusal, RefusalReason, RetryReason

# Maximum number of failed connection attempts after which a request is sent to
# another upstream. They count neither as dispatches nor against the retry
# budget.
_MAX_CONNECT_RETRIES = 6
# Interval at which a request whose stream broke asks for a place again, in
# seconds.
_REACQUIRE_INTERVAL_S = 0.1
# Minimum Retry-After of refusals where an early retry may succeed, and the
# maximum random jitter added to it, in seconds.
_MIN_RETRY_AFTER_S = 0.3
_RETRY_AFTER_JITTER_S = 0.3


class RequestForwarder:
    """Forwards client requests to upstreams and retries failed dispatches.

    Args:
        http_names: Names of the header fields.
        get_routes: Returns the current routes; None if the node has not
            loaded them in time after its start.
        validator: Checks requests against the configuration.
        dispatcher: Sends requests to upstreams.
        scheduler: Assigns upstreams to requests.
        registry: Known upstreams.
        pool: Connection pool for upstreams.
        health: Records failures of upstreams.
        backoff: Upstreams that want no requests for some time.
        losses: Confirms losses of upstreams.
        quarantine: Refuses requests that may crash upstreams.
        budget: Limits retries.
        switch: Moves requests from silent upstreams to others.
        drain: Decides which requests a stopping process passes on.
        counters: Metrics of the process.
        log: Structured decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        http_names: HttpNames,
        get_routes: Callable[[], Awaitable[RouteTable | None]],
        validator: RequestValidator,
        dispatcher: Dispatcher,
        scheduler: Scheduler,
        registry: UpstreamRegistry,
        pool: UpstreamPool,
        health: UpstreamHealth,
        backoff: UpstreamBackoff,
        losses: LossDetector,
        quarantine: PromptQuarantine,
        budget: RetryBudget,
        switch: UpstreamSwitch,
        drain: DrainAdmission,
        counters: Counters,
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._http_names = http_names
        self._get_routes = get_routes
        self._validator = validator
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._registry = registry
        self._pool = pool
        self._health = health
        self._backoff = backoff
        self._losses = losses
        self._quarantine = quarantine
        self._budget = budget
        self._switch = switch
        self._drain = drain
        self._counters = counters
        self._log = log
        self._now = now
        self._random = random.Random()
        # Monotonic time at which requests without an answer are ended.
        self._stops_at = float("inf")
        self._is_stopping = False
        self._in_progress: dict[Interruption, RequestContext] = {}

    def start_draining(self, schedule: StopSchedule) -> None:
        """Refuses requests whose answers would take too long from now on."""
        self._stops_at = schedule.ends_unanswered_at
        self._drain.start(schedule)

    def refuse_undispatched(self) -> None:
        """Refuses queued and new requests because the process is stopping."""
        self._is_stopping = True
        self._scheduler.refuse_unserved(self._shutdown_refusal())

    def end_unanswered(self) -> None:
        """Ends the requests whose answers have not begun.

        Their clients learn whether the request may have run, which a closed
        connection would not tell.
        """
        self._is_stopping = True
        for interruption, context in self._in_progress.items():
            if not context.response.is_started:
                interruption.interrupt()

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        """Handles one request; cancelled when its client disconnects."""
        request_id = request.header_values.get(self._http_names.request_id, b"")
        response.request_id = request_id.decode("latin-1")
        response.received_at = request.received_at
        context: RequestContext | None = None
        try:
            context = await self._admit(request, response)
            response.deliver_until = context.item.deadline_at
            await self._serve(context)
        except RefusedError as error:
            self._refuse(request_id, request, response, error.refusal)
        except asyncio.CancelledError:
            if not response.is_closed_by_node:
                self._counters.clients_gone += 1
                self._log.info(
                    "client_gone",
                    request=response.request_id,
                    after_s=round(self._now() - request.received_at, 3),
                    upstream=response.upstream_id,
                    has_begun=response.is_started,
                )
            raise
        except Exception as error:  # Any fault gets a final answer.
            end_failed_request(
                error,
                request_id.decode("latin-1"),
                response,
                self._counters,
                self._log,
                may_have_run=context is not None and context.may_have_run,
            )

    def _refuse(
        self,
        request_id: bytes,
        request: ClientRequest,
        response: ClientResponse,
        refusal: Refusal,
    ) -> None:
        """Sends a refusal, or aborts the response if it has started."""
        after_s = round(self._now() - request.received_at, 3)
        if response.is_started:
            self._counters.answers["cut"] += 1
            self._log.warning(
                "answer_cut",
                request=request_id.decode("latin-1"),
                reason=refusal.reason.value,
                message=refusal.message,
                after_s=after_s,
                upstream=response.upstream_id,
            )
            response.abort()
            return
        self._counters.refusals[refusal.reason.value] += 1
        self._log.refused(
            request_id.decode("latin-1"),
            refusal,
            after_s=after_s,
            upstream=response.upstream_id,
        )
        response.refuse(refusal)

    async def _admit(
        self, request: ClientRequest, response: ClientResponse
    ) -> RequestContext:
        """Checks a request against the configuration, once that is known.

        Raises:
            RefusedError: The request is refused and was not run.
        """
        routes = await self._get_routes()
        if routes is None:
            raise refusal_error(
                RefusalReason.NO_CONFIGURATION,
                "no configuration is known yet",
                retry_after_s=self._retry_after_s(),
            )
        if self._is_stopping:
            raise RefusedError(self._shutdown_refusal())
        return self._validator.create_context(routes, request, response)

    async def _serve(self, context: RequestContext) -> None:
        """Has a request run, and its response relayed.

        Raises:
            RefusedError: The request failed and may not be retried.
        """
        interruption = Interruption()
        self._in_progress[interruption] = context
        try:
            remaining_s = max(context.item.deadline_at - self._now(), 0)
            async with interruption, asyncio.timeout(remaining_s):
                await self._dispatch_with_retries(context)
        except (TimeoutError, InterruptedTaskError):
            raise self._deadline_refusal(context) from None
        except RefusedError as error:
            if error.refusal.ran is Ran.UNKNOWN or not context.may_have_run:
                raise
            raise refusal_error(
                RefusalReason.UPSTREAM_ERROR,
                "the request failed at an upstream and can't be repeated:"
                f" {error.refusal.message}",
                Ran.UNKNOWN,
            ) from error
        finally:
            del self._in_progress[interruption]
            self._validator.refund_unused_quota(context)

    async def _dispatch_with_retries(self, context: RequestContext) -> None:
        """Dispatches the request until a response was relayed.

        Raises:
            RefusedError: The request failed and may not be retried.
        """
        while True:
            try:
                async with self._quarantine.admit(context.item):
                    if await self._dispatch_once(context):
                        return
            except BaseException:
                self._switch.stay(context)
                raise
            self._reset_excluded(context.item)

    async def _dispatch_once(self, context: RequestContext) -> bool:
        """Dispatches the request; returns whether a response was relayed.

        Raises:
            RefusedError: The request failed and may not be retried.
        """
        is_moved = context.next_placement is not None
        placement = await self._take_placement(context)
        try:
            self._counters.wait.observe(
                self._now() - context.request.received_at
            )
            if not (
                is_moved
                or context.response.is_started
                or self._drain.admits(context, placement)
            ):
                raise RefusedError(self._shutdown_refusal())
            await self._dispatcher.dispatch(context, placement)
        except DispatchError as error:
            self._record_failure(context, placement, error)
            if error.has_lost_connection:
                await self._record_break(context, placement)
            self._check_retry(context, error)
        except asyncio.CancelledError:
            self._record_abandoned(placement)
            raise
        else:
            return True
        finally:
            self._scheduler.release(placement)
        context.item.excluded.add(placement.upstream.upstream_id)
        return False

    async def _take_placement(self, context: RequestContext) -> Placement:
        """Waits for a place.

        A refusal would cut a stream that has begun, so it asks for a place as
        long as its client waits.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        placement, context.next_placement = context.next_placement, None
        if placement is not None:
            return placement
        item = context.item
        while True:
            try:
                return await self._scheduler.acquire(item)
            except RefusedError as error:
                if (
                    error.refusal.reason
                    is not RefusalReason.DEADLINE_UNREACHABLE
                    or not context.response.is_started
                    or self._now() + _REACQUIRE_INTERVAL_S
                    >= item.client_timeout_at
                ):
                    raise
            await asyncio.sleep(_REACQUIRE_INTERVAL_S)

    async def _record_break(
        self, context: RequestContext, placement: Placement
    ) -> None:
        """Records that the upstream ended the connection of a dispatch.

        A request whose answer had not begun may be what crashed the upstream.
        It waits until that is known before it is sent to another one, if it may
        be.
        """
        is_lost = self._losses.record_break(
            placement.upstream,
            HeldRequest(context.item, placement.event_count),
        )
        may_retry = self._may_retry(context, may_have_run=True)
        if (
            may_retry
            and not placement.is_established
            and await asyncio.shield(is_lost)
            and not placement.has_first_event
        ):
            context.crashes += 1

    def _may_retry(self, context: RequestContext, may_have_run: bool) -> bool:
        """Returns whether its route lets the request be sent once more."""
        route = context.item.route
        return (
            not may_have_run or route.can_repeat
        ) and context.dispatches < route.max_dispatches

    def _record_failure(
        self,
        context: RequestContext,
        placement: Placement,
        error: DispatchError,
    ) -> None:
        upstream_id = placement.upstream.upstream_id
        context.has_open_dispatch = False
        context.may_have_run_before |= error.may_have_run
        if error.reason is RetryReason.CONNECT_FAILED:
            placement.outcome = SlotOutcome.FAILED
            self._scheduler.record_unreached(placement)
            self._health.record_connect_failure(upstream_id)
            self._pool.close_idle(upstream_id)
        elif error.reason is RetryReason.REJECTED:
            placement.outcome = SlotOutcome.REJECTED
            self._health.record_rejection(upstream_id)
        elif error.reason is not RetryReason.FAILED:
            self._health.record_failure(upstream_id)
            self._scheduler.record_outcome(
                placement, has_failed=True, has_answered=False
            )
            placement.outcome = SlotOutcome.FAILED
        self._log.warning(
            "dispatch_failed",
            request=context.item.request_id,
            upstream=upstream_id,
            reason=error.reason.value,
            message=str(error),
            has_run=error.may_have_run,
            dispatches=context.dispatches,
            events=placement.event_count,
            parts=format_parts(context.item),
            customer="" if context.customer is None else context.customer.name,
            after_s=round(self._now() - placement.placed_at, 3),
        )

    def _record_abandoned(self, placement: Placement) -> None:
        """Records a dispatch that the client or the deadline cancelled.

        It counts as a failure of the upstream only if the first event was
        overdue.
        """
        waited_s = self._now() - placement.placed_at
        if placement.has_first_event or waited_s < max(
            FIRST_BYTE_TIMEOUT_FACTOR * placement.predicted_first_byte_s,
            MIN_FIRST_BYTE_TIMEOUT_S,
        ):
            return
        self._health.record_failure(placement.upstream.upstream_id)
        self._scheduler.record_outcome(
            placement, has_failed=True, has_answered=False
        )
        placement.outcome = SlotOutcome.FAILED
        self._log.warning(
            "dispatch_abandoned",
            request=placement.item.request_id,
            upstream=placement.upstream.upstream_id,
            after_s=round(waited_s, 3),
            predicted_s=round(placement.predicted_first_byte_s, 3),
        )

    def _check_retry(
        self, context: RequestContext, error: DispatchError
    ) -> None:
        """Raises a refusal if the request may not be retried."""
        if error.reason is RetryReason.CONNECT_FAILED:
            context.connect_failures += 1
            if context.connect_failures <= _MAX_CONNECT_RETRIES:
                self._counters.retries[error.reason.value] += 1
                return
            raise self._failure_refusal(context, error)
        if (
            not self._may_retry(context, error.may_have_run)
            or context.crashes >= MAX_CRASHES
        ):
            raise self._failure_refusal(context, error)
        if context.next_placement is None and not self._budget.try_spend(
            context.item.service
        ):
            raise self._failure_refusal(
                context, error, RefusalReason.RETRY_BUDGET_EXHAUSTED
            )
        self._counters.retries[error.reason.value] += 1

    def _reset_excluded(self, item: WorkItem) -> None:
        # When every upstream that may serve the request has failed it, all may
        # be retried.
        usable = self._backoff.usable(self._scheduler.find_candidates(item))
        if all(upstream.upstream_id in item.excluded for upstream in usable):
            item.excluded.clear()

    def _failure_refusal(
        self,
        context: RequestContext,
        error: DispatchError,
        reason: RefusalReason = RefusalReason.UPSTREAM_REJECTED,
    ) -> RefusedError:
        """Returns the refusal after the last dispatch.

        Args:
            context: The request.
            error: Failure of its last dispatch.
            reason: Reason to report if the request certainly did not run.
        """
        if context.may_have_run:
            return refusal_error(
                RefusalReason.UPSTREAM_ERROR, str(error), Ran.UNKNOWN
            )
        usable = self._registry.usable(context.item.service)
        return refusal_error(
            reason,
            str(error),
            retry_after_s=self._retry_after_s()
            + self._backoff.remaining_s(usable),
        )

    def _deadline_refusal(self, context: RequestContext) -> RefusedError:
        has_stopped = self._now() >= self._stops_at
        if context.may_have_run or context.response.is_started:
            return refusal_error(
                RefusalReason.DEADLINE_PASSED,
                "the node stopped before the upstream answered"
                if has_stopped
                else "the deadline passed at the upstream",
                Ran.UNKNOWN,
            )
        if has_stopped:
            return RefusedError(self._shutdown_refusal())
        return refusal_error(
            RefusalReason.DEADLINE_UNREACHABLE,
            "the deadline passed before the request was sent",
            retry_after_s=self._retry_after_s(),
        )

    def _shutdown_refusal(self) -> Refusal:
        return Refusal(
            RefusalReason.DRAINING,
            "the node is stopping",
            retry_after_s=self._retry_after_s(),
        )

    def _retry_after_s(self) -> float:
        return _MIN_RETRY_AFTER_S + self._random.uniform(
            0, _RETRY_AFTER_JITTER_S
        )
