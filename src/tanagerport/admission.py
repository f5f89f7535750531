"""Queues of waiting requests, admission limits and early refusal."""

import dataclasses
import heapq
import itertools
import threading
from collections.abc import Sequence

from tanagerport.model import Refusal, Request
from tanagerport.scheduler import Placement
from tanagerport.slots import TIERS

# Item n is the share of the caller threads that tiers n and above may hold
# together. The rest stays free for requests of more important tiers.
_THREAD_SHARES_BY_TIER = (1.0, 0.75, 0.65, 0.55)
# Factor on the expected time to serve a request. It is refused early only if
# even this shorter time exceeds its deadline.
_OPTIMISTIC_WAIT_FACTOR = 0.6
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0


class QueueEntry:
    """A request that waits for a slot, and the decision on it.

    Args:
        request: Request to place.
        excluded: Upstreams on which the request already failed.
        cost: Expected cost in tokens, charged to the customer.
        slot_seconds: Expected time in seconds that the request holds a slot.
        first_token_due: Monotonic time in seconds by which the first token
            must arrive to meet the target of the class.
        now: Monotonic time in seconds.
    """

    __slots__ = (
        "cost",
        "event",
        "excluded",
        "first_token_due",
        "is_late",
        "is_waiting",
        "no_victims_at",
        "placement",
        "queued_at",
        "refusal",
        "request",
        "slot_seconds",
        "tier",
        "version",
    )

    def __init__(
        self,
        request: Request,
        excluded: frozenset[str],
        cost: float,
        slot_seconds: float,
        first_token_due: float,
        now: float,
    ) -> None:
        self.request = request
        self.excluded = excluded
        self.tier = request.work_class.tier
        self.cost = cost
        self.slot_seconds = slot_seconds
        self.first_token_due = first_token_due
        self.queued_at = now
        self.version = ""
        self.is_late = False
        self.is_waiting = False
        self.no_victims_at = float("-inf")
        self.placement: Placement | None = None
        self.refusal: Refusal | None = None
        self.event: threading.Event | None = None

    @property
    def order(self) -> tuple[float, float]:
        """Sort key within the queue of a customer.

        While the first token can still meet its target, its due time is the
        primary key. The deadline of the complete answer would always put
        short answers before long ones, whose first token is due just as soon.
        """
        deadline_at = self.request.deadline_at
        if self.is_late:
            return deadline_at, deadline_at
        return min(self.first_token_due, deadline_at), deadline_at

    @property
    def is_decided(self) -> bool:
        """Whether the request was placed or refused."""
        return self.placement is not None or self.refusal is not None

    def wake(self) -> None:
        """Wakes the thread that waits for the decision, if there is one."""
        if self.event is not None:
            self.event.set()


@dataclasses.dataclass
class _CustomerQueue:
    virtual_time: float = 0.0
    waiting: int = 0
    entries: list[tuple[tuple[float, float], int, QueueEntry]] = (
        dataclasses.field(default_factory=list)
    )


class FairQueue:
    """Fair queue of one tier: by customer, then by deadline.

    The virtual time of a customer is the number of tokens charged to it. The
    customer with the lowest virtual time is served first. A customer that was
    idle starts at the virtual time of the last customer served, so that idle
    time earns no credit.
    """

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerQueue] = {}
        self._customer_heap: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._waiting = 0
        self._active_customers = 0

    def __len__(self) -> int:
        return self._waiting

    @property
    def customer_count(self) -> int:
        """Number of customers with waiting requests."""
        return self._active_customers

    def waiting_count(self, customer: str) -> int:
        """Returns the number of waiting requests of a customer."""
        state = self._customers.get(customer)
        return state.waiting if state else 0

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        name = entry.request.customer
        state = self._customers.get(name)
        if state is None:
            state = self._customers[name] = _CustomerQueue(self._virtual_time)
        if not state.waiting:
            state.virtual_time = max(state.virtual_time, self._virtual_time)
            self._schedule_customer(name, state)
        self._adjust_waiting(state, 1)
        heapq.heappush(
            state.entries,
            (entry.order, next(self._sequence), entry),
        )

    def pop(self) -> QueueEntry | None:
        """Removes and returns the next entry, or None if the queue is empty.

        The caller must `charge` the customer or `push` the entry back.
        """
        while self._customer_heap:
            virtual_time, _, name = heapq.heappop(self._customer_heap)
            state = self._customers.get(name)
            if state is None or not state.waiting:
                continue
            if virtual_time != state.virtual_time:
                # Outdated: the heap also holds the current virtual time.
                continue
            entry = self._pop_entry(state)
            if entry is None:
                continue
            if state.waiting:
                self._schedule_customer(name, state)
            return entry
        return None

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry that is no longer waiting from the counts."""
        state = self._customers.get(entry.request.customer)
        if state is not None:
            self._adjust_waiting(state, -1)
            # The entry stays in the heap; `pop` skips it.

    def charge(self, customer: str, tokens: float) -> None:
        """Charges tokens to a customer; a negative number is a refund."""
        state = self._customers.get(customer)
        if state is None:
            return
        if tokens > 0:
            self._virtual_time = max(self._virtual_time, state.virtual_time)
        state.virtual_time += tokens
        if state.waiting:
            self._schedule_customer(customer, state)

    def drop_idle_customers(self) -> None:
        """Drops idle customers whose virtual time would be reset anyway."""
        for name, state in list(self._customers.items()):
            if not state.waiting and state.virtual_time <= self._virtual_time:
                del self._customers[name]

    def _adjust_waiting(self, state: _CustomerQueue, change: int) -> None:
        was_active = state.waiting > 0
        state.waiting += change
        self._waiting += change
        self._active_customers += (state.waiting > 0) - was_active

    def _schedule_customer(self, name: str, state: _CustomerQueue) -> None:
        heapq.heappush(
            self._customer_heap,
            (state.virtual_time, next(self._sequence), name),
        )

    def _pop_entry(self, state: _CustomerQueue) -> QueueEntry | None:
        while state.entries:
            entry = heapq.heappop(state.entries)[2]
            if entry.is_waiting:
                self._adjust_waiting(state, -1)
                return entry
        return None


class ModelQueue:
    """Waiting requests of one model: by tier, late requests last.

    Within a tier, requests that can no longer meet the target of their first
    token are served after those that can. Serving them first would make the
    others late too.
    """

    def __init__(self) -> None:
        self._on_time = [FairQueue() for _ in range(TIERS)]
        self._late = [FairQueue() for _ in range(TIERS)]
        self._slot_seconds = [0.0] * TIERS
        self._waiting_by_tier = [0] * TIERS

    def __len__(self) -> int:
        return sum(self._waiting_by_tier)

    @property
    def waiting(self) -> Sequence[int]:
        """Number of waiting requests, indexed by tier."""
        return self._waiting_by_tier

    @property
    def top_tier(self) -> int:
        """Most important tier with waiting requests, or `TIERS` if none."""
        for tier, count in enumerate(self._waiting_by_tier):
            if count:
                return tier
        return TIERS

    def customer_count(self, tier: int) -> int:
        """Returns the number of customers with waiting requests in a tier."""
        return max(
            self._on_time[tier].customer_count, self._late[tier].customer_count
        )

    def push(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        entry.is_waiting = True
        self._slot_seconds[entry.tier] += entry.slot_seconds
        self._waiting_by_tier[entry.tier] += 1
        self._queue_of(entry).push(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry from the queue if it is waiting."""
        if entry.is_waiting:
            entry.is_waiting = False
            self._slot_seconds[entry.tier] -= entry.slot_seconds
            self._waiting_by_tier[entry.tier] -= 1
            self._queue_of(entry).remove(entry)

    def take(self, tier: int, now: float) -> QueueEntry | None:
        """Removes and returns the next entry of a tier, or None."""
        queue = self._on_time[tier]
        while (entry := queue.pop()) is not None:
            if now <= entry.first_token_due:
                return self._mark_taken(entry)
            entry.is_late = True
            self._late[tier].push(entry)
        entry = self._late[tier].pop()
        return self._mark_taken(entry) if entry is not None else None

    def charge(self, tier: int, customer: str, tokens: float) -> None:
        """Charges tokens to a customer; a negative number is a refund."""
        self._on_time[tier].charge(customer, tokens)
        self._late[tier].charge(customer, tokens)

    def slot_seconds_ahead(self, entry: QueueEntry) -> float:
        """Returns the expected slot seconds that are served before an entry.

        Args:
            entry: Entry that is in the queue or about to be added.
        """
        tier = entry.tier
        ahead = sum(self._slot_seconds[:tier])
        queue = self._on_time[tier]
        total = len(queue)
        if total:
            own = queue.waiting_count(entry.request.customer)
            # Under fair queueing each other customer is served at most as
            # often as this one until this entry's turn.
            fair = (own + 1) * max(1, queue.customer_count)
            ahead += self._slot_seconds[tier] * min(1.0, fair / total)
        return ahead

    def drop_idle_customers(self) -> None:
        """Drops the state of idle customers."""
        for queue in (*self._on_time, *self._late):
            queue.drop_idle_customers()

    def _mark_taken(self, entry: QueueEntry) -> QueueEntry:
        entry.is_waiting = False
        self._slot_seconds[entry.tier] -= entry.slot_seconds
        self._waiting_by_tier[entry.tier] -= 1
        return entry

    def _queue_of(self, entry: QueueEntry) -> FairQueue:
        queues = self._late if entry.is_late else self._on_time
        return queues[entry.tier]


class AdmissionLimits:
    """Limits by tier on waiting requests and on caller threads in use.

    Args:
        queue_limit: Maximum number of waiting requests of one tier.
        caller_threads: Number of threads that handle requests.
    """

    def __init__(self, queue_limit: int, caller_threads: int) -> None:
        self._queue_limit = queue_limit
        self._thread_limits = [
            max(1, int(caller_threads * share))
            for share in _THREAD_SHARES_BY_TIER
        ]
        self._held_threads = [0] * TIERS

    @property
    def held_threads(self) -> Sequence[int]:
        """Number of caller threads in use, indexed by tier."""
        return list(self._held_threads)

    def is_full(self, tier: int, waiting: int) -> bool:
        """Returns whether a request of a tier has to be refused.

        Args:
            tier: Tier of the request.
            waiting: Number of requests of the tier that are waiting.
        """
        if waiting >= self._queue_limit:
            return True
        return any(
            sum(self._held_threads[lowest:]) >= self._thread_limits[lowest]
            for lowest in range(1, tier + 1)
        )

    def take_thread(self, tier: int) -> None:
        """Counts a thread as in use by a request of a tier."""
        self._held_threads[tier] += 1

    def release_thread(self, tier: int) -> None:
        """Counts a thread as free once its request ended or was refused."""
        self._held_threads[tier] -= 1


def is_deadline_unreachable(
    wait_s: float, service_s: float, remaining_s: float
) -> bool:
    """Returns whether a deadline can't be met even on an optimistic estimate.

    Args:
        wait_s: Expected wait for a slot.
        service_s: Expected time from the start of service to the end of the
            answer.
        remaining_s: Time until the deadline.
    """
    return (wait_s + service_s) * _OPTIMISTIC_WAIT_FACTOR > remaining_s


def retry_after_s(wait_s: float) -> float:
    """Returns the delay in seconds after which a client should retry."""
    return min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
