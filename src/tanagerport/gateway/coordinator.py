"""Grants the upstream slots of one region to all nodes.

Engines run the requests in their queue in order of arrival and know no tiers,
so the nodes must not send more requests than an engine has slots. With the
reports of other nodes alone, which are several hundred milliseconds old, each
slot was taken by two requests at once under load, and requests waited at the
engines (docs/decisions/coordination.md).
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Mapping, Sequence

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.admission import AdmissionQueue
from tanagerport.gateway.domain import (
    PromptPart,
    RequestKind,
    Route,
    Service,
    UpstreamRecord,
    WorkEstimate,
)
from tanagerport.gateway.lease_table import Lease, LeaseKey, LeaseTable
from tanagerport.gateway.placement import UpstreamSelector
from tanagerport.gateway.prompt_cache import PromptCacheIndex
from tanagerport.gateway.rate_gates import RateLimit, join_limits
from tanagerport.gateway.region_limits import RegionLimits
from tanagerport.gateway.region_loads import RegionLoads
from tanagerport.gateway.slot_demand import SlotDemand, as_demand
from tanagerport.gateway.slot_messages import (
    DenialReason,
    LeaseReport,
    RegionSummary,
    SlotDenial,
    SlotGrant,
    SlotMessage,
    SlotOutcome,
    SlotProgress,
    SlotQueued,
    SlotRedirect,
    SlotRelease,
    SlotRequest,
    UpstreamSummary,
)
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_limits import UpstreamLimits
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport.gateway.work_item import Placement, WorkItem

# Interval between summaries for the other regions, and the time after the last
# request for which they are sent, in seconds.
_SUMMARY_INTERVAL_S = 0.1
_ACTIVE_S = 2.0
# A starting node grants nothing for this long, until the other nodes have
# reported the leases that its predecessors granted: their reports are due every
# second, or when they hear of it.
START_DELAY_S = 1.2


class SlotCoordinator:
    """Grants slots of the upstreams of one region.

    Args:
        zone: Availability zone of this node.
        regions: Region of each availability zone.
        start: Random id of the run of this process.
        registry: Known upstreams.
        health: Failure statistics of upstreams, from all nodes.
        latencies: Latency estimates of upstreams.
        cache: Prompt parts that upstreams have probably cached.
        limits: Limits that upstreams name.
        find_service: Returns a service of the applied configuration.
        is_first: Returns whether no other live node goes before this one as the
            coordinator of a service.
        find_others: Returns the coordinators of a service in the other
            regions.
        send: Sends a message to a node.
        now: Monotonic clock, in seconds.
        start_delay_s: Time after the start in which no slots are granted.
        attended_now: Clock that tells how long other nodes are silent, in
            seconds; None for `now`.
    """

    def __init__(
        self,
        zone: str,
        regions: Mapping[str, str],
        start: int,
        registry: UpstreamRegistry,
        health: UpstreamHealth,
        latencies: LatencyEstimator,
        cache: PromptCacheIndex,
        limits: UpstreamLimits,
        find_service: Callable[[str], Service],
        is_first: Callable[[str], bool],
        find_others: Callable[[str], Sequence[str]],
        send: Callable[[str, SlotMessage], None],
        now: Callable[[], float] = time.monotonic,
        start_delay_s: float = START_DELAY_S,
        attended_now: Callable[[], float] | None = None,
    ) -> None:
        self._regions = regions
        self._region = regions.get(zone, "")
        self._start = start
        self._registry = registry
        self._health = health
        self._latencies = latencies
        self._cache = cache
        self._find_service = find_service
        self._is_first = is_first
        self._find_others = find_others
        self._send = send
        self._now = now
        self._ready_at = now() + start_delay_s
        self._is_stopping = False
        self._attended_now = attended_now or now
        self._leases = LeaseTable(self._attended_now)
        self._loads = RegionLoads(self._leases, self._attended_now)
        self._limits = RegionLimits(
            limits, registry, self._is_own, is_first, now
        )
        self._selector = UpstreamSelector(
            zone, regions, self._loads, health, latencies, cache, self._limits
        )
        self._summary_sequence = itertools.count()
        self._summary_due_at = float("-inf")
        # Services that this node coordinated lately, and until when it tells
        # the other regions of them.
        self._active_until: dict[str, float] = {}
        self._queues: dict[str, AdmissionQueue] = {}
        self._grants: dict[LeaseKey, Placement] = {}
        # Service and task of each waiting request.
        self._waiting: dict[LeaseKey, tuple[str, asyncio.Task[None]]] = {}
        # Node that reported the last failure of an upstream since its last
        # success.
        self._failure_reporters: dict[str, str] = {}

    @property
    def limits(self) -> RegionLimits:
        """Limits of the upstreams of the region."""
        return self._limits

    @property
    def is_ready(self) -> bool:
        """Whether this node may grant slots."""
        return not self._is_stopping and self._now() >= self._ready_at

    @property
    def waiting(self) -> dict[str, int]:
        """Number of requests that wait for a slot, by service."""
        return {
            service: queue.size
            for service, queue in self._queues.items()
            if queue.size
        }

    def stop(self) -> None:
        """Sends all waiting requests to other coordinators."""
        self._is_stopping = True
        for service in list(self._queues):
            self._send_waiting_on(service)

    def handle_request(self, host: str, request: SlotRequest) -> None:
        """Grants a slot, queues the request or denies it."""
        key = LeaseKey(host, request.start, request.lease)
        placement = self._grants.get(key)
        if placement is not None:
            # The grant may have been lost.
            self._send_grant(placement)
            return
        if key in self._waiting:
            self._send(host, SlotQueued(lease=key.lease, start=self._start))
            return
        if not self.is_ready or not self._is_first(request.service):
            # A node that lost a few datagrams must not make a second
            # coordinator grant the slots of the first.
            self._deny(key, DenialReason.NOT_COORDINATING)
            return
        item = self._create_demand(key, request)
        if not self._find_upstreams(item):
            self._deny(key, DenialReason.NO_UPSTREAM)
            return
        self._active_until[request.service] = self._now() + _ACTIVE_S
        queue = self._get_queue(request.service)
        placement = queue.try_acquire(item)
        if placement is not None:
            self._send_grant(placement)
        elif not request.may_wait:
            self._deny(key, DenialReason.NO_FREE_SLOT)
        else:
            self._send(
                host,
                SlotQueued(
                    lease=key.lease,
                    start=self._start,
                    expected_wait_s=queue.expected_wait_s(item),
                ),
            )
            task = asyncio.get_running_loop().create_task(
                self._wait(queue, item)
            )
            self._waiting[key] = request.service, task
            # A task that is cancelled before it runs has no other end.
            task.add_done_callback(lambda _: self._waiting.pop(key, None))

    def handle_progress(self, host: str, progress: SlotProgress) -> None:
        """Records the first event of an answer."""
        key = LeaseKey(host, progress.start, progress.lease)
        lease = self._leases.record_first_event(key)
        if lease is None:
            return
        self._record_success(lease.upstream_id)
        placement = self._grants.get(key)
        if placement is None:
            return
        self._cache.record(lease.upstream_id, placement.item.work.parts)
        if self._is_local(placement):
            self._latencies.record_first_byte(
                lease.upstream_id,
                lease.service,
                progress.first_byte_s,
                lease.queued_prompt_tokens,
            )

    def handle_release(self, host: str, release: SlotRelease) -> None:
        """Ends a lease, or removes a waiting request."""
        key = LeaseKey(host, release.start, release.lease)
        if key in self._waiting:
            self._waiting[key][1].cancel()
        placement = self._grants.pop(key, None)
        lease = self._leases.end(key)
        if lease is None:
            return
        if placement is not None and release.outcome == SlotOutcome.UNUSED:
            self._limits.give_back(placement.upstream)
        self._record_outcome(host, lease, release)
        if placement is not None and self._is_local(placement):
            self._record_latency(lease, release)
        self._admit_waiting(lease.service)

    def handle_report(self, host: str, report: LeaseReport) -> None:
        """Applies a node's report of its leases."""
        has_freed = self._leases.apply_report(
            host,
            report.start,
            report.sequence,
            report.service,
            report.leases,
            report.silent,
        )
        if has_freed:
            self._remove_ended_grants()
            self._admit_waiting(report.service)

    def handle_summary(self, summary: RegionSummary) -> None:
        """Applies what the coordinator of another region tells."""
        if not self._loads.apply_summary(summary):
            return
        for upstream in summary.upstreams:
            self._latencies.set_estimates(
                upstream.upstream_id,
                upstream.prompt_token_s,
                upstream.event_interval_s,
                upstream.response_s,
            )
        self._admit_waiting(summary.service)

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes what is known of an upstream that has ended or restarted."""
        self._failure_reporters.pop(upstream_id, None)
        self._health.remove_upstream(upstream_id)

    def update(self) -> None:
        """Ends the leases of lost nodes, admits waiting requests and reports.

        It is called every tenth of a second, and when an upstream changed.
        """
        if self._now() >= self._summary_due_at:
            self._summary_due_at = self._now() + _SUMMARY_INTERVAL_S * 0.9
            for service, until in self._active_until.items():
                if until > self._now():
                    self._send_summary(service)
        self._limits.update()
        if self._leases.remove_expired():
            self._remove_ended_grants()
        for service, queue in list(self._queues.items()):
            if queue.size and self._limits.is_replaced(service):
                self._send_waiting_on(service)
            else:
                self._admit_waiting(service)

    def _send_summary(self, service: str) -> None:
        hosts = self._find_others(service)
        if not hosts:
            return
        queue = self._queues.get(service)
        upstreams = []
        for upstream in self._registry.usable(service):
            upstream_id = upstream.upstream_id
            if self._regions.get(upstream.zone) != self._region:
                continue
            load = self._leases.load(upstream_id)
            if (
                load.is_silent
                or self._health.is_ejected(upstream_id)
                or self._limits.wait_s(upstream) > 0
            ):
                continue
            upstreams.append(
                UpstreamSummary(
                    upstream_id,
                    load.requests,
                    load.pending_prompt_tokens,
                    self._latencies.prompt_token_s(upstream_id, service),
                    self._latencies.event_interval_s(upstream_id, service),
                    self._latencies.response_s(upstream_id, service),
                )
            )
        summary = RegionSummary(
            sequence=next(self._summary_sequence),
            start=self._start,
            service=service,
            region=self._region,
            is_saturated=queue is not None and queue.is_saturated,
            upstreams=upstreams,
        )
        for host in hosts:
            self._send(host, summary)

    async def _wait(self, queue: AdmissionQueue, item: SlotDemand) -> None:
        key = item.lease
        try:
            self._send_grant(await queue.wait(item))
        except RefusedError as error:
            self._deny(
                key,
                DenialReason.DEADLINE_UNREACHABLE,
                error.refusal.message,
                error.refusal.retry_after_s,
            )

    def _send_waiting_on(self, service: str) -> None:
        """Sends the waiting requests of a service to other coordinators."""
        for key, (waiting_for, task) in list(self._waiting.items()):
            if waiting_for == service:
                task.cancel()
                self._deny(key, DenialReason.NOT_COORDINATING)

    def _create_demand(self, key: LeaseKey, request: SlotRequest) -> SlotDemand:
        now = self._now()
        return SlotDemand(
            "",
            Route(
                "",
                "",
                "",
                RequestKind.STREAM
                if request.is_stream
                else RequestKind.IDEMPOTENT,
                (),
                request.timeout_s,
                request.target_s,
                request.route_tier,
                event_interval_target_s=request.interval_target_s,
            ),
            request.service,
            request.tier,
            now - request.waited_s,
            now + request.remaining_s,
            request.age_s,
            WorkEstimate(
                request.prompt_tokens,
                request.output_tokens,
                request.output_tokens,
                tuple(PromptPart(*part) for part in request.parts),
            ),
            excluded=set(request.excluded),
            origin_zone=request.zone,
            lease=key,
            versions=frozenset(request.versions),
            may_redirect=request.may_redirect,
        )

    def _get_queue(self, service: str) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(
                self._find_placement,
                self._record_placement,
                self._cancel_placement,
                self._now,
                lambda: self._count_free_slots(service),
                lambda: self._find_rate_limit(service),
            )
        return queue

    def _find_rate_limit(self, service: str) -> RateLimit | None:
        """Returns what all usable upstreams of a service take together."""
        if not self._limits.has_limits:
            return None
        return join_limits(
            self._limits,
            [
                upstream
                for upstream in self._registry.usable(service)
                if not self._health.is_ejected(upstream.upstream_id)
                and (
                    self._is_own(upstream)
                    or self._loads.is_usable(
                        service,
                        self._regions.get(upstream.zone, ""),
                        upstream.upstream_id,
                    )
                )
            ],
        )

    def _find_upstreams(self, item: SlotDemand) -> list[UpstreamRecord]:
        return [
            upstream
            for upstream in self._registry.usable(item.service)
            if (not item.versions or upstream.version in item.versions)
            and upstream.upstream_id not in item.excluded
            and (
                self._is_own(upstream)
                or (
                    item.may_redirect
                    and self._loads.is_usable(
                        item.service,
                        self._regions.get(upstream.zone, ""),
                        upstream.upstream_id,
                    )
                )
            )
        ]

    def _is_own(self, upstream: UpstreamRecord) -> bool:
        return self._regions.get(upstream.zone) == self._region

    def _count_free_slots(self, service: str) -> int:
        free_slots = 0
        limits = self._find_service(service)
        for upstream in self._registry.usable(service):
            upstream_id = upstream.upstream_id
            if self._is_own(upstream) or self._loads.is_usable(
                service, self._regions.get(upstream.zone, ""), upstream_id
            ):
                free = (
                    self._selector.capacity(upstream, limits)
                    - self._loads.load(upstream_id).requests
                )
                free_slots += max(self._limits.limit_slots(upstream, free), 0)
        return free_slots

    def _find_placement(self, item: WorkItem) -> Placement | None:
        return self._selector.select(
            item,
            self._find_service(item.service),
            self._find_upstreams(as_demand(item)),
            self._now(),
        )

    def _record_placement(self, placement: Placement) -> None:
        upstream = placement.upstream
        if not self._is_own(upstream):
            self._loads.record_redirect(
                upstream.service,
                self._regions.get(upstream.zone, ""),
                upstream.upstream_id,
                placement.prompt_tokens,
            )
            return
        key = as_demand(placement.item).lease
        self._grants[key] = placement
        self._limits.take(upstream)
        self._leases.start(
            key,
            Lease(
                placement.upstream.upstream_id,
                placement.item.service,
                max(placement.prompt_tokens, 1),
                placement.queued_prompt_tokens,
                self._attended_now(),
            ),
        )

    def _cancel_placement(self, placement: Placement) -> None:
        """Frees a slot whose request left before the grant was sent."""
        key = as_demand(placement.item).lease
        self._grants.pop(key, None)
        if self._leases.end(key) is not None:
            self._limits.give_back(placement.upstream)
            self._admit_waiting(placement.item.service)

    def _send_grant(self, placement: Placement) -> None:
        key = as_demand(placement.item).lease
        if not self._is_own(placement.upstream):
            self._send(
                key.host,
                SlotRedirect(
                    lease=key.lease,
                    start=self._start,
                    region=self._regions.get(placement.upstream.zone, ""),
                ),
            )
            return
        self._send(
            key.host,
            SlotGrant(
                lease=key.lease,
                start=self._start,
                upstream_id=placement.upstream.upstream_id,
                prompt_tokens=placement.prompt_tokens,
                queued_prompt_tokens=placement.queued_prompt_tokens,
                first_byte_s=placement.predicted_first_byte_s,
            ),
        )

    def _deny(
        self,
        key: LeaseKey,
        reason: DenialReason,
        message: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        self._send(
            key.host,
            SlotDenial(
                lease=key.lease,
                reason=reason,
                message=message,
                retry_after_s=retry_after_s,
            ),
        )

    def _record_outcome(
        self, host: str, lease: Lease, release: SlotRelease
    ) -> None:
        upstream_id = lease.upstream_id
        if release.outcome == SlotOutcome.SUCCEEDED:
            self._record_success(upstream_id)
        elif release.outcome == SlotOutcome.ERROR_RESPONSE:
            self._health.record_error_response(upstream_id)
        elif release.outcome == SlotOutcome.REJECTED:
            self._health.record_rejection(upstream_id)
        elif release.outcome == SlotOutcome.FAILED:
            # A node that is cut off from an upstream must not eject it for the
            # others.
            reporter = self._failure_reporters.get(upstream_id)
            if reporter != host:
                self._failure_reporters[upstream_id] = host
                self._health.record_failure(upstream_id)

    def _record_success(self, upstream_id: str) -> None:
        self._failure_reporters.pop(upstream_id, None)
        self._health.record_success(upstream_id)

    def _record_latency(self, lease: Lease, release: SlotRelease) -> None:
        if (
            release.first_byte_s is not None
            and not self._find_service(lease.service).is_engine
        ):
            self._latencies.record_first_byte(
                lease.upstream_id, lease.service, release.first_byte_s, 0
            )
        if release.event_interval_s is not None:
            self._latencies.record_event_interval(
                lease.upstream_id, lease.service, release.event_interval_s
            )

    def _is_local(self, placement: Placement) -> bool:
        """Returns whether the requesting node is in the region.

        The latency seen by other regions contains that of the link.
        """
        zone = placement.item.origin_zone
        return self._regions.get(zone) == self._region

    def _admit_waiting(self, service: str) -> None:
        queue = self._queues.get(service)
        if queue is not None:
            queue.admit_waiting()

    def _remove_ended_grants(self) -> None:
        for key in list(self._grants):
            if self._leases.get(key) is None:
                del self._grants[key]
