"""Tests of the admission queue: order, refusal and client timeouts."""

import asyncio
import heapq
import random

import pytest

from gateway_doubles import (
    NodeHarness,
    make_item,
    make_route,
    make_upstream,
    run_pending_tasks,
)
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.admission import AdmissionQueue
from tanagerport.gateway.attempt_age import AttemptAgeEstimator
from tanagerport.gateway.waiting_list import WaitingList
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Ran, RefusalReason


class _QueueHarness:
    """An admission queue in front of a fixed number of equal slots."""

    def __init__(self, slots: int) -> None:
        self.clock = FakeClock(100.0)
        self.free_slots = slots
        self.placed: list[str] = []
        self.queue = AdmissionQueue(
            self._find_placement,
            self._record_placement,
            self.release,
            self.clock.monotonic,
        )

    def _find_placement(self, item: WorkItem) -> Placement | None:
        item.best_first_byte_s = 0.1
        if not self.free_slots:
            return None
        return Placement(make_upstream("u"), item, 0, 0, 0.1, 0.0)

    def _record_placement(self, placement: Placement) -> None:
        self.free_slots -= 1
        self.placed.append(placement.item.request_id)

    def release(self, placement: Placement) -> None:
        self.free_slots += 1
        self.queue.admit_waiting()

    def submit(
        self, name: str, tier: int = 1, route_tier: int = 0, age_s: float = 0.0
    ) -> "asyncio.Task[Placement]":
        route = make_route(tier=route_tier)
        item = make_item(self.clock.monotonic(), route, tier, request_id=name)
        item.age_s = age_s
        return asyncio.ensure_future(self.queue.acquire(item))


class TestOrder:
    """Order of waiting requests."""

    def test_customer_tier_precedes_route_tier_and_both_precede_age(
        self,
    ) -> None:
        async def scenario() -> None:
            queue_harness = _QueueHarness(0)
            tasks = [
                queue_harness.submit("low", 2, 0),
                queue_harness.submit("second-route", 1, 1),
                queue_harness.submit("first-route", 1, 0),
                queue_harness.submit("top", 0, 5),
            ]
            await run_pending_tasks()
            queue_harness.free_slots = 4
            queue_harness.queue.admit_waiting()
            await asyncio.gather(*tasks)
            assert queue_harness.placed == [
                "top",
                "first-route",
                "second-route",
                "low",
            ]

        asyncio.run(scenario())

    def test_request_that_can_no_longer_meet_its_target_goes_last(self) -> None:
        """Guards against making every request late under overload."""

        async def scenario() -> None:
            queue_harness = _QueueHarness(0)
            late = queue_harness.submit("late", tier=0)
            await run_pending_tasks()
            # Late after 0.3 s, as the target is 0.4 s and the first event
            # takes 0.1 s.
            queue_harness.clock.advance(0.35)
            fresh = queue_harness.submit("fresh", tier=2)
            await run_pending_tasks()
            queue_harness.free_slots = 1
            queue_harness.queue.admit_waiting()
            await fresh
            assert queue_harness.placed == ["fresh"]
            late.cancel()

        asyncio.run(scenario())

    def test_retry_is_ranked_by_its_first_attempt(self) -> None:
        async def scenario() -> None:
            queue_harness = _QueueHarness(0)
            retry = queue_harness.submit("retry", age_s=4.0)
            fresh = queue_harness.submit("fresh")
            await run_pending_tasks()
            queue_harness.free_slots = 1
            queue_harness.queue.admit_waiting()
            await fresh
            retry.cancel()
            assert queue_harness.placed == ["fresh"]

        asyncio.run(scenario())


class TestRefusal:
    """Requests that can't be answered before their deadline."""

    def test_refuses_at_once_if_the_wait_exceeds_the_client_timeout(
        self,
    ) -> None:
        async def scenario() -> None:
            queue_harness = _QueueHarness(0)
            waiting = [
                queue_harness.submit(f"w{number}") for number in range(5)
            ]
            await run_pending_tasks()
            # Five requests wait and none was placed within the rate window of
            # 2 s, so the expected wait is 10 s.
            with pytest.raises(RefusedError) as caught:
                await queue_harness.submit("late")
            refusal = caught.value.refusal
            assert refusal.reason is RefusalReason.DEADLINE_UNREACHABLE
            assert refusal.ran is Ran.NO
            # Clients honor a Retry-After of up to a third of their remaining
            # time, here 12 s.
            assert 0 < (refusal.retry_after_s or 0) <= 4.0
            for task in waiting:
                task.cancel()

        asyncio.run(scenario())

    def test_slot_is_released_if_the_client_disconnects(self) -> None:
        """Guards against leaking a slot assigned to a cancelled request."""

        async def scenario() -> None:
            queue_harness = _QueueHarness(0)
            task = queue_harness.submit("gone")
            await run_pending_tasks()
            queue_harness.free_slots = 1
            queue_harness.queue.admit_waiting()
            task.cancel()
            await run_pending_tasks()
            assert queue_harness.free_slots == 1
            assert queue_harness.queue.size == 0

        asyncio.run(scenario())


class TestCancelledRequest:
    """A slot gets free before cancelled requests leave the queue."""

    def test_slot_goes_to_the_next_request(self) -> None:
        """Guards against a failure of the request that releases its slot.

        When connections of many clients are reset at once, their tasks are
        cancelled together, and the first to end releases its slot.
        """

        async def scenario() -> None:
            queue_harness = _QueueHarness(1)
            placement = await queue_harness.submit("running")
            cancelled = [
                queue_harness.submit(f"cancelled{number}", 0)
                for number in range(20)
            ]
            waiting = queue_harness.submit("waiting", 1)
            await run_pending_tasks()
            for task in cancelled:
                task.cancel()
            queue_harness.release(placement)
            await waiting
            assert queue_harness.placed == ["running", "waiting"]
            assert queue_harness.free_slots == 0
            await asyncio.gather(*cancelled, return_exceptions=True)
            assert queue_harness.queue.size == 0

        asyncio.run(scenario())


class TestSuddenBurst:
    """Many requests at once after an idle time."""

    def test_first_requests_of_a_burst_are_not_refused(self) -> None:
        """Guards against refusals that take the past load for the capacity.

        Twelve slots were filled at once after an idle time. With 12 placements
        in the last 2 s, the next requests were expected to wait for 2 s, and
        were refused, though a slot got free every 4 ms.
        """

        async def scenario() -> None:
            queue_harness = _QueueHarness(12)
            tasks = [queue_harness.submit(str(i)) for i in range(60)]
            await run_pending_tasks()
            assert queue_harness.queue.size == 48
            refused = [task for task in tasks if task.done()]
            assert len(refused) == 12
            for task in tasks:
                task.cancel()

        asyncio.run(scenario())


class TestOverload:
    """Load of twice the capacity for four seconds, in simulated time.

    Four slots serve 20 requests per second; 40 per second arrive. The test
    compares ordering by rank with ordering by target alone.
    """

    @staticmethod
    def _simulate(by_target: bool) -> float:
        rng = random.Random(4)
        service_s, slots, rate = 0.2, 4, 40.0
        arrivals = []
        at = 0.0
        while at < 4.0:
            at += rng.expovariate(rate)
            arrivals.append(at)
        events = [(at, index, "arrival") for index, at in enumerate(arrivals)]
        heapq.heapify(events)
        free_slots = slots
        waiting: list[WorkItem] = []
        ranked: WaitingList[WorkItem] = WaitingList()
        numbers: dict[int, int] = {}
        on_time = 0
        while events:
            now, index, kind = heapq.heappop(events)
            if kind == "arrival":
                item = make_item(now)
                item.best_first_byte_s = 0.1
                waiting.append(item)
                numbers[id(item)] = ranked.add(item, item, now)
            else:
                free_slots += 1
            for item in waiting:
                if item.client_timeout_at <= now:
                    ranked.remove(numbers[id(item)])
            waiting = [item for item in waiting if item.client_timeout_at > now]
            if by_target:
                waiting.sort(key=lambda item: item.target_at)
            else:
                waiting = [
                    item for _, item in ranked.ordered(now, len(waiting))
                ]
            while free_slots and waiting:
                item = waiting.pop(0)
                ranked.remove(numbers[id(item)])
                free_slots -= 1
                on_time += now + 0.1 <= item.target_at
                heapq.heappush(events, (now + service_s, index, "completion"))
        return on_time / len(arrivals)

    def test_serves_twice_as_many_on_time_as_an_order_by_target(self) -> None:
        by_target = self._simulate(by_target=True)
        by_rank = self._simulate(by_target=False)
        assert by_rank > 2 * by_target
        # Capacity suffices for half of the requests; most of those are on time.
        assert by_rank > 0.4


class TestAttemptAges:
    """Age estimates of retried requests."""

    def test_shorter_deadline_reveals_the_age(self) -> None:
        ages = AttemptAgeEstimator()
        for _ in range(20):
            assert ages.estimate_age_s("talk", 12_000) == 0.0
        assert ages.estimate_age_s("talk", 8_000) == pytest.approx(4.0)

    def test_no_age_where_deadlines_differ(self) -> None:
        """Guards against ranking a request last for its short deadline."""
        ages = AttemptAgeEstimator()
        rng = random.Random(1)
        assert not any(
            ages.estimate_age_s("talk", rng.randrange(2_000, 12_000))
            for _ in range(300)
        )


class TestClientTimeout:
    """Time after which clients abort without a first event."""

    @pytest.mark.parametrize(
        ("target_s", "interval_s", "timeout_s"),
        [(0.4, 0.2, 2.0), (0.8, 0.25, 3.2), (0.1, 0.5, 4.0)],
    )
    def test_is_the_longest_of_three_bounds(
        self, target_s: float, interval_s: float, timeout_s: float
    ) -> None:
        route = make_route(
            target_s=target_s, event_interval_target_s=interval_s
        )
        assert route.first_event_timeout_s == pytest.approx(timeout_s)

    def test_nothing_is_placed_just_before_the_client_timeout(self) -> None:
        """Guards against work that starts just before its client aborts."""
        harness = NodeHarness()
        item = make_item(harness.clock.monotonic())
        harness.clock.advance(1.9)
        assert harness.place(item, [make_upstream("u")]) is None
