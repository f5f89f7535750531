"""Order in which requests get places, and early refusal.

Engines admit requests as they arrive and know no tiers. So only as many
requests are sent as upstreams run at once; the others wait here.
"""

import asyncio
import collections
import dataclasses
import math
import random
import time
from collections.abc import Callable

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.placement import PlaceFinder
from tanagerport.gateway.work import Placement, WorkItem
from tanagerport.refusals import Refusal, RefusalReason

# Window over which the rate of freed places is measured, in seconds.
_RATE_WINDOW_S = 2.0
# Clients wait up to this part of the time that they have left.
_RETRY_SHARE = 1 / 3
_MIN_RETRY_AFTER_S = 0.1
# Spread of that time, so that clients do not come back together.
_RETRY_SPREAD = 0.7
# Most requests that wait for one service at a node; beyond it even the
# bookkeeping of waiting costs more than a refusal.
_MAX_WAITING = 512


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    item: WorkItem
    future: "asyncio.Future[Placement]"


class AdmissionQueue:
    """Requests that wait for a place at one service.

    Args:
        find_place: Returns a place for a request, None if there is none.
        on_placed: Called with each place that is given.
        on_abandoned: Called with a place whose request ended meanwhile.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        find_place: PlaceFinder,
        on_placed: Callable[[Placement], None],
        on_abandoned: Callable[[Placement], None],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._find_place = find_place
        self._on_placed = on_placed
        self._on_abandoned = on_abandoned
        self._now = now
        self._waiting: list[_Waiting] = []
        self._placed_at: collections.deque[float] = collections.deque()
        self._random = random.Random()

    @property
    def size(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    async def acquire(self, item: WorkItem) -> Placement:
        """Waits for a place.

        Raises:
            RefusedError: The request can't be answered in time.
        """
        if not self._is_anyone_ahead(item):
            placement = self._find_place(item)
            if placement is not None:
                self._record(placement)
                return placement
        self._check_wait(item)
        entry = _Waiting(item, asyncio.get_running_loop().create_future())
        self._waiting.append(entry)
        give_up_at = (
            item.patience_at - item.leave_margin_s - _best_first_s(item)
        )
        try:
            async with asyncio.timeout(max(give_up_at - self._now(), 0)):
                return await entry.future
        except BaseException as error:
            self._abandon(entry)
            if isinstance(error, TimeoutError):
                raise self._refusal(
                    item, "no upstream had a place before the deadline"
                ) from None
            raise

    def offer_places(self) -> None:
        """Gives free places to waiting requests in their order."""
        if not self._waiting:
            return
        now = self._now()
        self._waiting.sort(key=lambda entry: rank(entry.item, now))
        kept = []
        for entry in self._waiting:
            if entry.future.done():
                continue
            placement = self._find_place(entry.item)
            if placement is None:
                kept.append(entry)
                continue
            self._record(placement)
            entry.future.set_result(placement)
        self._waiting = kept

    def refuse_all(self, refusal: Refusal) -> None:
        """Refuses all waiting requests."""
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            if not entry.future.done():
                entry.future.set_exception(RefusedError(refusal))

    def expected_wait_s(self, item: WorkItem) -> float:
        """Returns the expected wait for a place, in seconds."""
        now = self._now()
        own_rank = rank(item, now)
        ahead = sum(
            1 for entry in self._waiting if rank(entry.item, now) <= own_rank
        )
        if ahead == 0:
            return 0.0
        while self._placed_at and self._placed_at[0] < now - _RATE_WINDOW_S:
            self._placed_at.popleft()
        rate = max(len(self._placed_at), 1) / _RATE_WINDOW_S
        return ahead / rate

    def _is_anyone_ahead(self, item: WorkItem) -> bool:
        own_rank = rank(item, self._now())
        return any(
            rank(entry.item, self._now()) <= own_rank for entry in self._waiting
        )

    def _check_wait(self, item: WorkItem) -> None:
        if len(self._waiting) >= _MAX_WAITING:
            raise self._refusal(item, f"{_MAX_WAITING} requests wait already")
        left_s = item.patience_at - self._now() - item.leave_margin_s
        left_s -= _best_first_s(item)
        wait_s = self.expected_wait_s(item)
        if wait_s > left_s:
            raise self._refusal(
                item,
                f"the expected wait of {wait_s:.1f} s is above the"
                f" {max(left_s, 0):.1f} s that are left",
            )

    def _refusal(self, item: WorkItem, message: str) -> RefusedError:
        left_s = item.deadline_at - self._now()
        retry_after_s = max(
            left_s * _RETRY_SHARE * self._random.uniform(_RETRY_SPREAD, 1),
            _MIN_RETRY_AFTER_S,
        )
        return RefusedError(
            Refusal(
                RefusalReason.DEADLINE_UNREACHABLE,
                message,
                retry_after_s=retry_after_s,
            )
        )

    def _record(self, placement: Placement) -> None:
        self._placed_at.append(self._now())
        self._on_placed(placement)

    def _abandon(self, entry: _Waiting) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
        future = entry.future
        if future.done() and not future.cancelled() and not future.exception():
            self._on_abandoned(future.result())


def _best_first_s(item: WorkItem) -> float:
    """Returns the least time to a first byte; 0 if no upstream is usable."""
    return 0.0 if math.isinf(item.best_first_s) else item.best_first_s


def rank(item: WorkItem, now: float) -> tuple[bool, int, int, float]:
    """Returns the order of a request.

    Requests that can still meet their target go first: under overload an
    order by target alone would make all of them late. The tier of the
    customer goes before that of the route.
    """
    is_late = now + item.best_first_s > item.target_at
    due_at = item.deadline_at if is_late else item.target_at
    return (is_late, item.tier, item.route.tier, due_at)
