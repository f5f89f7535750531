"""Admission queue: priority order and early refusal.

Engines admit requests in order of arrival, regardless of tier. The gateway
therefore sends only as many requests as the upstreams can run concurrently and
queues the rest.
"""

import asyncio
import collections
import dataclasses
import math
import random
import time
from collections.abc import Callable

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.placement import PlacementFinder
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Refusal, RefusalReason

# Sliding window for the admission rate, in seconds.
_RATE_WINDOW_S = 2.0
# Clients honor a Retry-After of up to this share of their remaining time.
_RETRY_AFTER_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.1
# Lower bound of the random factor that spreads the retries of clients.
_MIN_JITTER_FACTOR = 0.7
# Maximum length of the queue of one service at a node. Sorting and scanning a
# longer queue costs more than refusing the request.
_MAX_QUEUED_REQUESTS = 512


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedRequest:
    item: WorkItem
    future: "asyncio.Future[Placement]"


class AdmissionQueue:
    """Priority queue of requests for one service.

    Args:
        find_placement: Returns a placement, or None if the request has to wait.
        on_placed: Called with each new placement.
        on_abandoned: Called with a placement whose request was cancelled
            before it could use it.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        find_placement: PlacementFinder,
        on_placed: Callable[[Placement], None],
        on_abandoned: Callable[[Placement], None],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._find_placement = find_placement
        self._on_placed = on_placed
        self._on_abandoned = on_abandoned
        self._now = now
        self._waiting: list[_QueuedRequest] = []
        self._placement_times: collections.deque[float] = collections.deque()
        self._random = random.Random()

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    async def acquire(self, item: WorkItem) -> Placement:
        """Waits for a placement.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        if not self._has_predecessor(item):
            placement = self._find_placement(item)
            if placement is not None:
                self._record_placement(placement)
                return placement
        self._check_wait(item)
        entry = _QueuedRequest(item, asyncio.get_running_loop().create_future())
        self._waiting.append(entry)
        wait_until = (
            item.client_timeout_at
            - item.delivery_margin_s
            - _best_first_byte_s(item)
        )
        try:
            async with asyncio.timeout(max(wait_until - self._now(), 0)):
                return await entry.future
        except BaseException as error:
            self._abandon(entry)
            if isinstance(error, TimeoutError):
                raise self._refusal(
                    item, "no upstream had a place before the deadline"
                ) from None
            raise

    def admit_waiting(self) -> None:
        """Places the waiting requests that have a free slot, in rank order."""
        if not self._waiting:
            return
        now = self._now()
        self._waiting.sort(key=lambda entry: rank(entry.item, now))
        still_waiting = []
        for entry in self._waiting:
            if entry.future.done():
                continue
            placement = self._find_placement(entry.item)
            if placement is None:
                still_waiting.append(entry)
                continue
            self._record_placement(placement)
            entry.future.set_result(placement)
        self._waiting = still_waiting

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuses all waiting requests."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if not entry.future.done():
                entry.future.set_exception(RefusedError(refusal))

    def expected_wait_s(self, item: WorkItem) -> float:
        """Returns the expected queueing time, in seconds."""
        now = self._now()
        own_rank = rank(item, now)
        ahead = sum(
            1 for entry in self._waiting if rank(entry.item, now) <= own_rank
        )
        if ahead == 0:
            return 0.0
        while (
            self._placement_times
            and self._placement_times[0] < now - _RATE_WINDOW_S
        ):
            self._placement_times.popleft()
        rate = max(len(self._placement_times), 1) / _RATE_WINDOW_S
        return ahead / rate

    def _has_predecessor(self, item: WorkItem) -> bool:
        own_rank = rank(item, self._now())
        return any(
            rank(entry.item, self._now()) <= own_rank for entry in self._waiting
        )

    def _check_wait(self, item: WorkItem) -> None:
        if len(self._waiting) >= _MAX_QUEUED_REQUESTS:
            raise self._refusal(
                item, f"{_MAX_QUEUED_REQUESTS} requests wait already"
            )
        remaining_s = (
            item.client_timeout_at - self._now() - item.delivery_margin_s
        )
        remaining_s -= _best_first_byte_s(item)
        wait_s = self.expected_wait_s(item)
        if wait_s > remaining_s:
            raise self._refusal(
                item,
                f"the expected wait of {wait_s:.1f} s is above the"
                f" {max(remaining_s, 0):.1f} s that are left",
            )

    def _refusal(self, item: WorkItem, message: str) -> RefusedError:
        remaining_s = item.deadline_at - self._now()
        retry_after_s = max(
            remaining_s
            * _RETRY_AFTER_SHARE
            * self._random.uniform(_MIN_JITTER_FACTOR, 1),
            _MIN_RETRY_AFTER_S,
        )
        return RefusedError(
            Refusal(
                RefusalReason.DEADLINE_UNREACHABLE,
                message,
                retry_after_s=retry_after_s,
            )
        )

    def _record_placement(self, placement: Placement) -> None:
        self._placement_times.append(self._now())
        self._on_placed(placement)

    def _abandon(self, entry: _QueuedRequest) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
        future = entry.future
        if future.done() and not future.cancelled() and not future.exception():
            self._on_abandoned(future.result())


def _best_first_byte_s(item: WorkItem) -> float:
    """Returns the shortest time to first byte; 0 if no upstream is usable."""
    return 0.0 if math.isinf(item.best_first_byte_s) else item.best_first_byte_s


def rank(item: WorkItem, now: float) -> tuple[bool, int, int, float]:
    """Returns the sort key of a request; the lowest is placed first.

    Requests that can still meet their target precede those that can't. If
    requests were ordered by target alone, all would be late under overload.
    The customer's tier takes precedence over the route's tier.
    """
    is_late = now + item.best_first_byte_s > item.target_at
    due_at = item.deadline_at if is_late else item.target_at
    return (is_late, item.tier, item.route.tier, due_at)
