"""Requests slots from the coordinators of the regions."""

import asyncio
import dataclasses
import itertools
import time
from collections.abc import Callable, Iterable, Sequence

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.coordinator_directory import CoordinatorDirectory
from tanagerport.gateway.domain import RequestKind, UpstreamRecord
from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.slot_messages import (
    DenialReason,
    HeldLease,
    LeaseReport,
    SlotDenial,
    SlotGrant,
    SlotMessage,
    SlotOutcome,
    SlotProgress,
    SlotQueued,
    SlotRedirect,
    SlotRelease,
    SlotRequest,
    limit_excluded,
    limit_parts,
)
from tanagerport.gateway.work_item import Placement, SlotLease, WorkItem
from tanagerport.refusals import Refusal, RefusalReason

# Intervals at which an unanswered request is sent, before it is given up.
# Datagrams take up to 3 ms within a region and 24 ms between regions there and
# back; a coordinator that has used up its share of the processor answers up to
# 0.1 s later. With three attempts, one in a thousand requests is given up on a
# link that loses one datagram in twenty.
_LOCAL_INTERVALS_S = (0.03, 0.04, 0.06)
_REMOTE_INTERVALS_S = (0.08, 0.12)
# A request looks for a slot in the other regions if it waits, or is expected to
# wait, for longer than this, which is what a slot there costs
# (`_OTHER_REGION_COST_S` of the selector), and again after each interval.
_OVERFLOW_DELAY_S = 0.06
_OVERFLOW_INTERVAL_S = 0.25
# Time for which a region that had no free slot is not asked again for the same
# service, by any request of this node.
_FULL_REGION_S = 0.2
# Interval at which a waiting request checks that its coordinator is alive and
# that no grant was lost.
_PING_INTERVAL_S = 0.4
# Interval between reports of the leases that a node holds.
_REPORT_INTERVAL_S = 1.0
# Grants that a node may reject, as it knows more of the upstream than the
# coordinator does, before it decides on its own.
_MAX_REJECTED_GRANTS = 3


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request for a slot that is not settled.

    Attributes:
        host: Coordinator that was asked.
        message: The request.
        answer: The grant, the denial or the redirection.
        heard: Set by each message about it.
        expected_wait_s: Expected time until the grant, in seconds, as of the
            first message about it.
        is_used: Whether the granted slot is used.
    """

    host: str
    message: SlotRequest
    answer: "asyncio.Future[SlotGrant | SlotDenial | SlotRedirect]"
    heard: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    expected_wait_s: float = 0.0
    is_used: bool = False


@dataclasses.dataclass(slots=True)
class _Held:
    placement: Placement
    region: str


class SlotClient:
    """Gets slots for the requests of this node and reports their use.

    Args:
        start: Random id of the run of this process.
        zone: Availability zone of this node.
        regions: Region of each availability zone.
        directory: Ranks coordinators.
        find_upstream: Returns a usable upstream by service and id, or None.
        send: Sends a message to a node.
        find_silent: Returns the upstreams of a service that are overdue to
            send data to this node.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        start: int,
        zone: str,
        regions: dict[str, str],
        directory: CoordinatorDirectory,
        find_upstream: Callable[[str, str], UpstreamRecord | None],
        send: Callable[[str, SlotMessage], None],
        find_silent: Callable[[str, Iterable[str]], list[str]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._start = start
        self._zone = zone
        self._regions = regions
        self._region = regions.get(zone, "")
        self._other_regions = sorted(set(regions.values()) - {self._region})
        self._directory = directory
        self._find_upstream = find_upstream
        self._send = send
        self._find_silent = find_silent
        self._now = now
        self._next_lease = itertools.count(1)
        self._next_report = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._held: dict[int, _Held] = {}
        # Start id of each coordinator's process, to notice its restart.
        self._coordinator_starts: dict[str, int] = {}
        self._report_due_at = float("-inf")
        # Releases to send once more, as a lost one blocks a slot until the next
        # report.
        self._unrepeated_releases: list[tuple[str, SlotRelease]] = []
        # Time until which a region counts as full, by service and region.
        self._full_until: dict[tuple[str, str], float] = {}
        # Coordinator of each service and region at the last report.
        self._reported_to: dict[tuple[str, str], str] = {}
        self._unanswered_requests = 0
        self._own_decisions = 0

    @property
    def unanswered_requests(self) -> int:
        """Number of requests for a slot that no coordinator answered."""
        return self._unanswered_requests

    @property
    def own_decisions(self) -> int:
        """Number of requests for which no coordinator granted a slot."""
        return self._own_decisions

    async def acquire(
        self, item: WorkItem, versions: list[str], excluded: Iterable[str]
    ) -> Placement | None:
        """Waits for a slot.

        Args:
            item: Request to place.
            versions: Versions that may serve it; empty for any.
            excluded: Upstreams that must not serve it.

        Returns:
            The placement; None if no coordinator answered, and the node has to
            decide on its own.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        placement = await self._acquire(item, versions, excluded, may_wait=True)
        if placement is None:
            self._own_decisions += 1
        return placement

    async def try_acquire(
        self, item: WorkItem, versions: list[str], excluded: Iterable[str]
    ) -> Placement | None:
        """Returns a slot that is free now, if a coordinator knows one."""
        return await self._acquire(item, versions, excluded, may_wait=False)

    async def _acquire(
        self,
        item: WorkItem,
        versions: list[str],
        excluded: Iterable[str],
        may_wait: bool,
    ) -> Placement | None:
        rejected = set(excluded)
        for _ in range(_MAX_REJECTED_GRANTS):
            outcome = await self._acquire_once(
                item, versions, rejected, may_wait
            )
            if outcome is None:
                break
            grant, host, region = outcome
            upstream = self._find_upstream(item.service, grant.upstream_id)
            if upstream is None or (
                versions and upstream.version not in versions
            ):
                # The coordinator has not heard yet that it is draining.
                self._send_release(host, grant.lease, SlotOutcome.UNUSED)
                rejected.add(grant.upstream_id)
                continue
            placement = Placement(
                upstream,
                item,
                grant.prompt_tokens,
                grant.queued_prompt_tokens,
                grant.first_byte_s,
                self._now(),
                lease=SlotLease(host, grant.lease),
            )
            self._held[grant.lease] = _Held(placement, region)
            return placement
        return None

    def adopt(self, placement: Placement) -> None:
        """Holds a lease for a slot that this node took on its own."""
        region = self._regions.get(placement.upstream.zone, "")
        hosts = self._directory.coordinators(placement.item.service, region)
        if hosts:
            placement.lease = SlotLease(hosts[0], next(self._next_lease))
            self._held[placement.lease.lease] = _Held(placement, region)
            self._reported_to.setdefault(
                (placement.item.service, region), hosts[0]
            )

    def record_first_event(
        self, placement: Placement, first_byte_s: float
    ) -> None:
        """Reports the first event of an answer."""
        if placement.lease is not None:
            self._send(
                placement.lease.coordinator,
                SlotProgress(
                    lease=placement.lease.lease,
                    start=self._start,
                    first_byte_s=first_byte_s,
                ),
            )

    def release(self, placement: Placement) -> None:
        """Frees the slot of a placement."""
        lease = placement.lease
        if lease is None:
            return
        self._held.pop(lease.lease, None)
        self._send_release(
            lease.coordinator,
            lease.lease,
            placement.outcome,
            placement.first_byte_s,
            placement.event_interval_s,
        )

    def handle_answer(
        self,
        host: str,
        message: SlotGrant | SlotQueued | SlotDenial | SlotRedirect,
    ) -> None:
        """Handles a message of a coordinator."""
        if not isinstance(message, SlotDenial):
            self._check_start(host, message.start)
        pending = self._pending.get(message.lease)
        if pending is None or pending.host != host:
            if isinstance(message, SlotGrant) and (
                message.lease not in self._held
            ):
                # The request was given up before the grant arrived.
                self._send_release(host, message.lease, SlotOutcome.UNUSED)
            return
        if isinstance(message, SlotQueued):
            pending.expected_wait_s = message.expected_wait_s
        pending.heard.set()
        if not isinstance(message, SlotQueued) and not pending.answer.done():
            pending.answer.set_result(message)

    def update(self) -> None:
        """Repeats releases, and reports the held leases when it is due.

        It is called every tenth of a second.
        """
        releases, self._unrepeated_releases = self._unrepeated_releases, []
        for host, release in releases:
            self._send(host, release)
        now = self._now()
        if now < self._report_due_at and not self._has_new_coordinator():
            return
        self._report_due_at = now + _REPORT_INTERVAL_S
        groups: dict[tuple[str, str], list[Placement]] = {
            group: [] for group in self._reported_to
        }
        for held in self._held.values():
            placement = held.placement
            group = (placement.item.service, held.region)
            groups.setdefault(group, []).append(placement)
        self._reported_to.clear()
        for (service, region), placements in groups.items():
            self._send_report(service, region, placements)

    def _has_new_coordinator(self) -> bool:
        return any(
            self._directory.coordinators(*group)[:1] != [host]
            for group, host in self._reported_to.items()
        )

    def _send_report(
        self, service: str, region: str, placements: list[Placement]
    ) -> None:
        hosts = self._directory.coordinators(service, region)[:1]
        if not hosts:
            return
        if placements:
            self._reported_to[service, region] = hosts[0]
        self._send(
            hosts[0],
            LeaseReport(
                start=self._start,
                sequence=next(self._next_report),
                service=service,
                leases=[
                    HeldLease(
                        placement.lease.lease,
                        placement.upstream.upstream_id,
                        0
                        if placement.has_first_event
                        else placement.prompt_tokens,
                    )
                    for placement in placements
                    if placement.lease is not None
                ],
                silent=self._find_silent(
                    service,
                    {
                        placement.upstream.upstream_id
                        for placement in placements
                    },
                ),
            ),
        )

    async def _acquire_once(
        self,
        item: WorkItem,
        versions: list[str],
        excluded: set[str],
        may_wait: bool,
    ) -> tuple[SlotGrant, str, str] | None:
        """Gets a grant, its coordinator and that one's region."""
        may_redirect = True
        while True:
            pending = await self._open(
                item,
                self._region,
                versions,
                excluded,
                may_wait=may_wait,
                may_redirect=may_redirect,
            )
            if pending is None:
                return None
            try:
                outcome = await self._await_slot(
                    item, pending, versions, excluded
                )
            except TimeoutError:
                # The coordinator ended while the request waited.
                self._directory.suspect(pending.host)
                continue
            finally:
                self._close(pending)
            if not isinstance(outcome, SlotRedirect):
                return outcome
            grant = await self._try_region(
                item, outcome.region, versions, excluded
            )
            if grant is not None:
                return grant
            # The slot was taken meanwhile, or the region can't be reached.
            may_redirect = False

    async def _await_slot(
        self,
        item: WorkItem,
        pending: _PendingRequest,
        versions: list[str],
        excluded: set[str],
    ) -> tuple[SlotGrant, str, str] | SlotRedirect | None:
        """Waits for a slot of the own region, or an earlier one elsewhere.

        Raises:
            RefusedError: The coordinator refused the request.
            TimeoutError: The coordinator no longer answers.
        """
        wait_s = _OVERFLOW_DELAY_S
        if pending.expected_wait_s > _OVERFLOW_DELAY_S:
            wait_s = 0.0
        ping_at = self._now() + _PING_INTERVAL_S
        while True:
            await asyncio.wait([pending.answer], timeout=wait_s)
            if pending.answer.done():
                break
            grant = await self._try_other_regions(
                item, versions, excluded, pending
            )
            if grant is not None:
                return grant
            if self._now() >= ping_at:
                await self._ping(pending)
                ping_at = self._now() + _PING_INTERVAL_S
            wait_s = _OVERFLOW_INTERVAL_S
        answer = pending.answer.result()
        if isinstance(answer, SlotGrant):
            pending.is_used = True
            return answer, pending.host, self._region
        if isinstance(answer, SlotRedirect):
            return answer
        if answer.reason == DenialReason.NOT_COORDINATING:
            raise TimeoutError
        grant = await self._try_other_regions(item, versions, excluded, None)
        if grant is not None:
            return grant
        if answer.reason == DenialReason.DEADLINE_UNREACHABLE:
            raise RefusedError(
                Refusal(
                    RefusalReason.DEADLINE_UNREACHABLE,
                    answer.message,
                    retry_after_s=answer.retry_after_s,
                )
            )
        return None

    async def _ping(self, pending: _PendingRequest) -> None:
        """Checks that the coordinator still knows a waiting request."""
        pending.heard.clear()
        self._send(pending.host, pending.message)
        for timeout_s in _LOCAL_INTERVALS_S:
            try:
                async with IoTimeout(timeout_s):
                    await pending.heard.wait()
                    return
            except TimeoutError:
                self._send(pending.host, pending.message)
        if not pending.heard.is_set():
            raise TimeoutError

    async def _try_other_regions(
        self,
        item: WorkItem,
        versions: list[str],
        excluded: set[str],
        own: _PendingRequest | None,
    ) -> tuple[SlotGrant, str, str] | None:
        """Takes a free slot of another region, if there is one.

        Args:
            item: Request to place.
            versions: Versions that may serve it; empty for any.
            excluded: Upstreams that must not serve it.
            own: Request that waits in the own region; once it is settled, no
                other region is asked.
        """
        for region in self._other_regions:
            if own is not None and own.answer.done():
                return None
            if self._full_until.get((item.service, region), 0) > self._now():
                continue
            grant = await self._try_region(
                item, region, versions, excluded, own
            )
            if grant is not None:
                return grant
        return None

    async def _try_region(
        self,
        item: WorkItem,
        region: str,
        versions: list[str],
        excluded: set[str],
        own: _PendingRequest | None = None,
    ) -> tuple[SlotGrant, str, str] | None:
        """Takes a free slot of a region, if there is one."""
        pending = await self._open(
            item, region, versions, excluded, may_wait=False
        )
        if pending is None:
            return None
        try:
            if not pending.answer.done():
                return None
            answer = pending.answer.result()
            if not isinstance(answer, SlotGrant):
                self._full_until[item.service, region] = (
                    self._now() + _FULL_REGION_S
                )
                return None
            if own is not None and own.answer.done():
                return None
            pending.is_used = True
            return answer, pending.host, region
        finally:
            self._close(pending)

    async def _open(
        self,
        item: WorkItem,
        region: str,
        versions: list[str],
        excluded: set[str],
        may_wait: bool,
        may_redirect: bool = False,
    ) -> _PendingRequest | None:
        """Sends a request to the first coordinator that answers."""
        is_local = region == self._region
        timeouts_s = _LOCAL_INTERVALS_S if is_local else _REMOTE_INTERVALS_S
        for host in self._directory.coordinators(item.service, region):
            pending = _PendingRequest(
                host,
                self._create_request(
                    item, versions, excluded, may_wait, may_redirect
                ),
                asyncio.get_running_loop().create_future(),
            )
            self._pending[pending.message.lease] = pending
            is_kept = False
            try:
                if await self._await_first_answer(pending, timeouts_s):
                    is_kept = True
                    return pending
            finally:
                if not is_kept:
                    self._close(pending)
            self._unanswered_requests += 1
            self._directory.suspect(host)
            if not is_local:
                return None
        return None

    async def _await_first_answer(
        self, pending: _PendingRequest, timeouts_s: Sequence[float]
    ) -> bool:
        """Returns whether the coordinator answered, and does coordinate."""
        for timeout_s in timeouts_s:
            self._send(pending.host, pending.message)
            try:
                async with IoTimeout(timeout_s):
                    await pending.heard.wait()
            except TimeoutError:
                continue
            if not pending.answer.done():
                return True
            answer = pending.answer.result()
            return not (
                isinstance(answer, SlotDenial)
                and answer.reason == DenialReason.NOT_COORDINATING
            )
        return False

    def _create_request(
        self,
        item: WorkItem,
        versions: list[str],
        excluded: set[str],
        may_wait: bool,
        may_redirect: bool,
    ) -> SlotRequest:
        now = self._now()
        route = item.route
        return SlotRequest(
            lease=next(self._next_lease),
            start=self._start,
            zone=self._zone,
            service=item.service,
            may_wait=may_wait,
            may_redirect=may_redirect,
            is_stream=route.kind is RequestKind.STREAM,
            tier=item.tier,
            route_tier=route.tier,
            timeout_s=route.timeout_s,
            target_s=route.target_s,
            interval_target_s=route.event_interval_target_s,
            age_s=round(item.age_s + item.waiting_since - item.arrived_at, 4),
            waited_s=round(now - item.waiting_since, 4),
            remaining_s=round(item.deadline_at - now, 4),
            prompt_tokens=item.work.prompt_tokens,
            output_tokens=item.work.expected_output_tokens,
            parts=limit_parts(
                [(part.part_id, part.tokens) for part in item.work.parts]
            ),
            excluded=limit_excluded(sorted(excluded)),
            versions=versions,
        )

    def _close(self, pending: _PendingRequest) -> None:
        """Forgets a request, and cancels it unless its slot is used."""
        self._pending.pop(pending.message.lease, None)
        is_open = not pending.answer.done() or isinstance(
            pending.answer.result(), SlotGrant
        )
        if is_open and not pending.is_used:
            self._send_release(
                pending.host, pending.message.lease, SlotOutcome.UNUSED
            )

    def _send_release(
        self,
        host: str,
        lease: int,
        outcome: SlotOutcome,
        first_byte_s: float | None = None,
        event_interval_s: float | None = None,
    ) -> None:
        release = SlotRelease(
            lease=lease,
            start=self._start,
            outcome=outcome,
            first_byte_s=first_byte_s,
            event_interval_s=event_interval_s,
        )
        self._send(host, release)
        self._unrepeated_releases.append((host, release))

    def _check_start(self, host: str, start: int) -> None:
        """Reports all leases to a coordinator that has restarted."""
        known = self._coordinator_starts.get(host)
        self._coordinator_starts[host] = start
        if known is not None and known != start:
            self._report_due_at = float("-inf")
