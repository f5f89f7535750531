"""Admission queue: priority order and early refusal.

Engines admit requests in order of arrival, regardless of tier. The gateway
therefore sends only as many requests as the upstreams can run concurrently and
queues the rest.
"""

import asyncio
import bisect
import collections
import dataclasses
import math
import random
import time
from collections.abc import Callable

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.placement import PlacementFinder
from tanagerport.gateway.rate_gates import RateLimit
from tanagerport.gateway.waiting_list import WaitingList
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Refusal, RefusalReason

# Sliding window for the admission rate, in seconds.
_RATE_WINDOW_S = 2.0
# Time for which requests must have waited before the rate counts, in seconds.
# While slots were free, the rate showed the load and not the capacity.
_MIN_RATE_SAMPLE_S = 0.3
# Clients honor a Retry-After of up to this share of their remaining time.
_RETRY_AFTER_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.1
# Lower bound of the random factor that spreads the retries of clients.
_MIN_JITTER_FACTOR = 0.7
# Upper bound of the random factor where the time is known at which there is
# room.
_MAX_LATENESS_FACTOR = 1.3
# Maximum length of the queue of one service. By then the wait is longer than
# any request can afford, and each entry takes about a kilobyte.
_MAX_QUEUED_REQUESTS = 2048
# Waiting requests that are tried for a free slot, in rank order, among those
# that can still meet their target and among the late ones. The first ones may
# leave the slot for a better one, which late requests take anyway.
_MAX_TRIED_REQUESTS = 8
# If none of them takes a free slot, as it would be late there, the requests are
# tried again after this time, in seconds, or once more slots are free.
_RETRY_INTERVAL_S = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class _QueuedRequest:
    item: WorkItem
    future: "asyncio.Future[Placement]"
    number: int = -1


class AdmissionQueue:
    """Priority queue of requests for one service.

    Args:
        find_placement: Returns a placement, or None if the request has to wait.
        on_placed: Called with each new placement.
        on_abandoned: Called with a placement whose request was cancelled
            before it could use it.
        now: Monotonic clock, in seconds.
        count_free_slots: Returns the number of free slots. Without it, waiting
            requests are tried whenever something changed.
        get_rate_limit: Returns what the upstreams take together; None if one
            of them takes all. Without it, none is limited.
    """

    def __init__(
        self,
        find_placement: PlacementFinder,
        on_placed: Callable[[Placement], None],
        on_abandoned: Callable[[Placement], None],
        now: Callable[[], float] = time.monotonic,
        count_free_slots: Callable[[], int] | None = None,
        get_rate_limit: Callable[[], RateLimit | None] = lambda: None,
    ) -> None:
        self._find_placement = find_placement
        self._on_placed = on_placed
        self._on_abandoned = on_abandoned
        self._now = now
        self._waiting: WaitingList[_QueuedRequest] = WaitingList()
        self._placement_times: collections.deque[float] = collections.deque()
        self._random = random.Random()
        # Monotonic time since which some request has been waiting.
        self._waiting_since = float("inf")
        self._count_free_slots = count_free_slots
        self._get_rate_limit = get_rate_limit
        # Free slots that no waiting request took, and when to try again.
        self._unwanted_slots = 0
        self._has_unwanted_slots = False
        self._retry_at = float("-inf")

    @property
    def size(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def is_saturated(self) -> bool:
        """Whether the waiting requests take each slot that gets free."""
        return len(self._waiting) > 0 and not self._has_unwanted_slots

    def try_acquire(self, item: WorkItem) -> Placement | None:
        """Returns a placement if no waiting request wants the slot first."""
        # Also updates `item.best_first_byte_s`, on which the rank depends.
        placement = self._find_placement(item)
        if (
            self._waiting.count_ahead(item, self._now())
            and not self._has_unwanted_slots
        ):
            return None
        if placement is not None:
            self._record_placement(placement)
        return placement

    async def acquire(self, item: WorkItem) -> Placement:
        """Waits for a placement.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        placement = self.try_acquire(item)
        if placement is not None:
            return placement
        return await self.wait(item)

    async def wait(self, item: WorkItem) -> Placement:
        """Waits for a placement that `try_acquire` did not find.

        Raises:
            RefusedError: The request can't be answered before its deadline.
        """
        self._check_wait(item)
        if not len(self._waiting):
            self._waiting_since = self._now()
        entry = _QueuedRequest(item, asyncio.get_running_loop().create_future())
        entry.number = self._waiting.add(item, entry, self._now())
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
        """Places waiting requests in rank order, as far as slots are free."""
        while len(self._waiting) and self._may_place():
            if not self._place_first():
                return

    def _may_place(self) -> bool:
        if self._count_free_slots is None:
            return True
        free_slots = self._count_free_slots()
        if free_slots <= 0:
            self._has_unwanted_slots = False
        return free_slots > 0 and (
            free_slots > self._unwanted_slots or self._now() >= self._retry_at
        )

    def _place_first(self) -> bool:
        """Places the first waiting request that takes a free slot.

        Returns:
            Whether a request has left the list, so that another may be placed.
        """
        for number, entry in self._waiting.ordered(
            self._now(), _MAX_TRIED_REQUESTS
        ):
            if entry.future.done():
                # Its task was cancelled and has not run since.
                self._waiting.remove(number)
                return True
            placement = self._find_placement(entry.item)
            if placement is None:
                continue
            self._waiting.remove(number)
            self._record_placement(placement)
            entry.future.set_result(placement)
            self._has_unwanted_slots = False
            return True
        if self._count_free_slots is not None:
            self._has_unwanted_slots = True
            self._unwanted_slots = self._count_free_slots()
            self._retry_at = self._now() + _RETRY_INTERVAL_S
        return False

    def refuse_unserved(self, refusal: Refusal) -> None:
        """Refuses the waiting requests whose clients have no data yet."""
        for entry in self._waiting.clear():
            if entry.future.done():
                continue
            if entry.item.is_client_served:
                entry.number = self._waiting.add(entry.item, entry, self._now())
            else:
                entry.future.set_exception(RefusedError(refusal))

    def expected_wait_s(self, item: WorkItem) -> float:
        """Returns the expected queueing time, in seconds."""
        now = self._now()
        ahead = self._waiting.count_ahead(item, now)
        limit = self._get_rate_limit()
        if ahead == 0:
            return 0.0 if limit is None else limit.next_s
        rate = self.placements_per_s()
        if limit is not None:
            rate = min(rate or limit.per_s, limit.per_s)
            return limit.next_s + ahead / rate
        return 0.0 if rate is None else ahead / rate

    def placements_per_s(self) -> float | None:
        """Returns the rate of placements while requests wait.

        None if they have waited for too short a time to tell.
        """
        now = self._now()
        window_s = min(now - self._waiting_since, _RATE_WINDOW_S)
        while (
            self._placement_times
            and self._placement_times[0] < now - _RATE_WINDOW_S
        ):
            self._placement_times.popleft()
        if not len(self._waiting) or window_s < _MIN_RATE_SAMPLE_S:
            return None
        first = bisect.bisect_left(self._placement_times, now - window_s)
        return max(len(self._placement_times) - first, 1) / window_s

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
        retry_after_s = (
            remaining_s
            * _RETRY_AFTER_SHARE
            * self._random.uniform(_MIN_JITTER_FACTOR, 1)
        )
        limit = self._get_rate_limit()
        if limit is not None:
            message = (
                f"all upstreams together take {limit.per_s:.1f} requests a"
                f" second: {message}"
            )
            retry_after_s = self.expected_wait_s(item) * self._random.uniform(
                1, _MAX_LATENESS_FACTOR
            )
        retry_after_s = max(retry_after_s, _MIN_RETRY_AFTER_S)
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
        self._waiting.remove(entry.number)
        future = entry.future
        if future.done() and not future.cancelled() and not future.exception():
            self._on_abandoned(future.result())


def _best_first_byte_s(item: WorkItem) -> float:
    """Returns the shortest time to first byte; 0 if no upstream is usable."""
    return 0.0 if math.isinf(item.best_first_byte_s) else item.best_first_byte_s
