"""Moves requests from silent upstreams to others.

A sound upstream may fall silent for a second and go on, so a request gives up
its place there only for a place that it has already got.
"""

import dataclasses

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.drain_admission import DrainAdmission
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.request_context import MAX_CRASHES, RequestContext
from tanagerport.gateway.retry_budget import RetryBudget
from tanagerport.gateway.scheduler import Scheduler
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.upstream_load import LoadTracker
from tanagerport.gateway.work_item import Placement


class UpstreamSwitch:
    """Finds other places for requests at silent upstreams.

    Args:
        scheduler: Assigns upstreams to requests.
        backoff: Upstreams that want no requests for some time.
        health: Failure statistics of upstreams.
        load_tracker: Requests in progress at each upstream.
        quarantine: Refuses requests that may crash upstreams.
        budget: Limits retries.
        drain: Knows which answers end before the process stops.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        backoff: UpstreamBackoff,
        health: UpstreamHealth,
        load_tracker: LoadTracker,
        quarantine: PromptQuarantine,
        budget: RetryBudget,
        drain: DrainAdmission,
    ) -> None:
        self._scheduler = scheduler
        self._backoff = backoff
        self._health = health
        self._load_tracker = load_tracker
        self._quarantine = quarantine
        self._budget = budget
        self._drain = drain

    async def find_place(
        self, context: RequestContext, placement: Placement
    ) -> bool:
        """Waits for a place elsewhere for a request at a silent upstream.

        Everything that could refuse the request after it left is checked here.

        Args:
            context: The request; gets the new placement as `next_placement`.
            placement: Its present placement, which it keeps meanwhile.

        Returns:
            Whether the request may leave.
        """
        service = context.item.service
        if (
            context.crashes >= MAX_CRASHES
            or not self._budget.can_retry(service)
            or self._quarantine.is_quarantined(context.item)
            or not self.has_alternative(placement)
        ):
            return False
        alternative = await self._acquire_alternative(placement)
        if alternative is None:
            return False
        if not (
            self._drain.may_move(context, alternative)
            and self._budget.try_spend(service)
        ):
            self._scheduler.release_unused(alternative)
            return False
        context.next_placement = alternative
        return True

    def stay(self, context: RequestContext) -> None:
        """Gives back a place that the request no longer needs."""
        if context.next_placement is not None:
            self._scheduler.release_unused(context.next_placement)
            context.next_placement = None

    def has_alternative(self, placement: Placement) -> bool:
        """Returns whether another upstream may serve the request.

        If there is none that hasn't failed it, one must be answering other
        requests, maybe the same.
        """
        item = placement.item
        if self._scheduler.is_stopping and not item.is_client_served:
            # It would be refused rather than sent once more.
            return False
        usable_ids = [
            upstream.upstream_id
            for upstream in self._backoff.usable(
                self._scheduler.find_candidates(item)
            )
            if not self._health.is_ejected(upstream.upstream_id)
        ]
        tried_ids = {*item.excluded, placement.upstream.upstream_id}
        other_ids = [entry for entry in usable_ids if entry not in tried_ids]
        overdue_ids = self._scheduler.find_overdue(item.service, other_ids)
        if len(overdue_ids) < len(other_ids):
            return True
        return not other_ids and any(
            map(self._load_tracker.has_recent_data, usable_ids)
        )

    async def _acquire_alternative(
        self, placement: Placement
    ) -> Placement | None:
        """Waits for a slot elsewhere; returns None if there is none in time."""
        item = placement.item
        excluded = {*item.excluded, placement.upstream.upstream_id}
        usable = self._backoff.usable(self._scheduler.find_candidates(item))
        if all(upstream.upstream_id in excluded for upstream in usable):
            excluded.clear()
        try:
            alternative = await self._scheduler.acquire(
                dataclasses.replace(item, excluded=excluded)
            )
        except RefusedError:
            return None
        alternative.item = item
        return alternative
