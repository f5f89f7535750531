"""Order of waiting requests, bounds of the queue and early refusal."""

import dataclasses
import heapq
import itertools
import threading
from collections.abc import Sequence

from tanagerport.model import Refusal, Request
from tanagerport.scheduler import Placement
from tanagerport.slots import TIERS

# Parts of the caller threads that tiers from 1, 2 and 3 on may hold, so that
# a request of a more important tier finds a free thread.
_THREAD_SHARES = (1.0, 0.75, 0.65, 0.55)
# A request is refused early only if it can't be served even when the queue
# moves this much faster than expected.
_OPTIMISM = 0.6
_MIN_RETRY_AFTER_S = 0.5
_MAX_RETRY_AFTER_S = 30.0


class Ticket:
    """A request that waits for a slot.

    Args:
        request: Request to place.
        excluded: Upstreams that already failed it.
        cost: Expected service in tokens, for fair sharing.
        slot_seconds: Expected time that it holds a slot.
        first_token_due: Monotonic seconds after which its first token is
            too late for the class's target.
        now: Monotonic seconds.
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
        """Deadlines in the order in which they count.

        While the first token can be in time, its deadline comes first: the
        deadline of the whole answer would always put short answers before
        long ones, whose first token is due just as soon.
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
        """Wakes the thread that waits for the decision."""
        if self.event is not None:
            self.event.set()


@dataclasses.dataclass
class _Customer:
    service: float = 0.0
    waiting: int = 0
    tickets: list[tuple[tuple[float, float], int, Ticket]] = dataclasses.field(
        default_factory=list
    )


class FairQueue:
    """Tickets of one tier, fair between customers, then by deadline.

    Each customer has a virtual time: the service it received in tokens. The
    customer with the lowest one goes first. A customer that was idle starts
    at the virtual time of the last one served, so that it can't save up.
    """

    def __init__(self) -> None:
        self._customers: dict[str, _Customer] = {}
        self._order: list[tuple[float, int, str]] = []
        self._numbers = itertools.count()
        self._now_served = 0.0
        self._waiting = 0
        self._active = 0

    def __len__(self) -> int:
        return self._waiting

    @property
    def customers(self) -> int:
        """Number of customers that wait."""
        return self._active

    def waiting_of(self, customer: str) -> int:
        """Returns the number of a customer's tickets."""
        state = self._customers.get(customer)
        return state.waiting if state else 0

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket."""
        name = ticket.request.customer
        state = self._customers.get(name)
        if state is None:
            state = self._customers[name] = _Customer(self._now_served)
        if not state.waiting:
            state.service = max(state.service, self._now_served)
            self._push_customer(name, state)
        self._count(state, 1)
        heapq.heappush(
            state.tickets,
            (ticket.order, next(self._numbers), ticket),
        )

    def pop(self) -> Ticket | None:
        """Takes the next ticket; `charge` or `push` must follow."""
        while self._order:
            service, _, name = heapq.heappop(self._order)
            state = self._customers.get(name)
            if state is None or not state.waiting:
                continue
            if service != state.service:
                # The entry of the present virtual time is also in the heap.
                continue
            ticket = self._pop_ticket(state)
            if ticket is None:
                continue
            if state.waiting:
                self._push_customer(name, state)
            return ticket
        return None

    def remove(self, ticket: Ticket) -> None:
        """Counts out a ticket that was decided elsewhere."""
        state = self._customers.get(ticket.request.customer)
        if state is not None:
            self._count(state, -1)
            # `pop` skips it, because it is no longer waiting.

    def charge(self, customer: str, tokens: float) -> None:
        """Adds service that a customer received, or takes some back."""
        state = self._customers.get(customer)
        if state is None:
            return
        if tokens > 0:
            self._now_served = max(self._now_served, state.service)
        state.service += tokens
        if state.waiting:
            self._push_customer(customer, state)

    def forget_idle(self) -> None:
        """Drops customers that would start over anyway."""
        for name, state in list(self._customers.items()):
            if not state.waiting and state.service <= self._now_served:
                del self._customers[name]

    def _count(self, state: _Customer, change: int) -> None:
        was_active = state.waiting > 0
        state.waiting += change
        self._waiting += change
        self._active += (state.waiting > 0) - was_active

    def _push_customer(self, name: str, state: _Customer) -> None:
        heapq.heappush(self._order, (state.service, next(self._numbers), name))

    def _pop_ticket(self, state: _Customer) -> Ticket | None:
        while state.tickets:
            ticket = heapq.heappop(state.tickets)[2]
            if ticket.is_waiting:
                self._count(state, -1)
                return ticket
        return None


class ModelQueue:
    """Waiting requests of one model: by tier, then late ones last.

    Within a tier, requests that can no longer meet the target of their first
    token go after those that can: serving them first would make all late.
    """

    def __init__(self) -> None:
        self._on_time = [FairQueue() for _ in range(TIERS)]
        self._late = [FairQueue() for _ in range(TIERS)]
        self._work = [0.0] * TIERS
        self._counts = [0] * TIERS

    def __len__(self) -> int:
        return sum(self._counts)

    @property
    def waiting(self) -> Sequence[int]:
        """Number of waiting requests, indexed by tier."""
        return self._counts

    @property
    def top_tier(self) -> int:
        """Most important tier that waits; `TIERS` when none does."""
        for tier, count in enumerate(self._counts):
            if count:
                return tier
        return TIERS

    def customers(self, tier: int) -> int:
        """Returns the number of customers that wait in a tier."""
        return max(self._on_time[tier].customers, self._late[tier].customers)

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket."""
        ticket.is_waiting = True
        self._work[ticket.tier] += ticket.slot_seconds
        self._counts[ticket.tier] += 1
        self._queue_of(ticket).push(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Takes a ticket out of the queue, if it is there."""
        if ticket.is_waiting:
            ticket.is_waiting = False
            self._work[ticket.tier] -= ticket.slot_seconds
            self._counts[ticket.tier] -= 1
            self._queue_of(ticket).remove(ticket)

    def take(self, tier: int, now: float) -> Ticket | None:
        """Takes the next ticket of a tier out of the queue."""
        queue = self._on_time[tier]
        while (ticket := queue.pop()) is not None:
            if now <= ticket.first_token_due:
                return self._taken(ticket)
            ticket.is_late = True
            self._late[tier].push(ticket)
        ticket = self._late[tier].pop()
        return self._taken(ticket) if ticket is not None else None

    def charge(self, tier: int, customer: str, tokens: float) -> None:
        """Adds service that a customer received, or takes some back."""
        self._on_time[tier].charge(customer, tokens)
        self._late[tier].charge(customer, tokens)

    def work_ahead(self, ticket: Ticket) -> float:
        """Returns the expected slot seconds that are served before it."""
        tier = ticket.tier
        ahead = sum(self._work[:tier])
        queue = self._on_time[tier]
        total = len(queue)
        if total:
            own = queue.waiting_of(ticket.request.customer)
            # Each other customer is served as often as this one at most.
            fair = (own + 1) * max(1, queue.customers)
            ahead += self._work[tier] * min(1.0, fair / total)
        return ahead

    def forget_idle(self) -> None:
        """Drops what is kept of idle customers."""
        for queue in (*self._on_time, *self._late):
            queue.forget_idle()

    def _taken(self, ticket: Ticket) -> Ticket:
        ticket.is_waiting = False
        self._work[ticket.tier] -= ticket.slot_seconds
        self._counts[ticket.tier] -= 1
        return ticket

    def _queue_of(self, ticket: Ticket) -> FairQueue:
        queues = self._late if ticket.is_late else self._on_time
        return queues[ticket.tier]


class QueueBounds:
    """Bounds of waiting requests and of threads held, by tier.

    Args:
        queue_limit: Waiting requests of one tier.
        caller_threads: Threads that carry requests.
    """

    def __init__(self, queue_limit: int, caller_threads: int) -> None:
        self._queue_limit = queue_limit
        self._thread_limits = [
            max(1, int(caller_threads * share)) for share in _THREAD_SHARES
        ]
        self._held = [0] * TIERS

    @property
    def held(self) -> Sequence[int]:
        """Requests that hold a thread, indexed by tier."""
        return list(self._held)

    def is_full(self, tier: int, waiting: int) -> bool:
        """Returns whether a request of a tier has to be refused.

        Args:
            tier: Tier of the request.
            waiting: Requests of the tier that wait.
        """
        if waiting >= self._queue_limit:
            return True
        return any(
            sum(self._held[lowest:]) >= self._thread_limits[lowest]
            for lowest in range(1, tier + 1)
        )

    def enter(self, tier: int) -> None:
        """Counts a request that holds a thread."""
        self._held[tier] += 1

    def leave(self, tier: int) -> None:
        """Counts out a request that ended or was refused."""
        self._held[tier] -= 1


def is_unreachable(wait_s: float, service_s: float, remaining_s: float) -> bool:
    """Returns whether a deadline can't be met even by good luck.

    Args:
        wait_s: Expected wait for a slot.
        service_s: Expected time until the end of the answer.
        remaining_s: Time until the deadline.
    """
    return (wait_s + service_s) * _OPTIMISM > remaining_s


def retry_after_s(wait_s: float) -> float:
    """Returns after how many seconds a resend may succeed."""
    return min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
