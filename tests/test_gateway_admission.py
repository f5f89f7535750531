"""Who waits, who is refused and in which order places are given."""

import asyncio
import heapq
import random

import pytest

from gateway_doubles import Parts, make_item, make_route, make_upstream, settle
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.admission import AdmissionQueue
from tanagerport.gateway.attempt_age import AttemptAgeEstimator
from tanagerport.gateway.work import Placement, WorkItem
from tanagerport.refusals import Ran, RefusalReason


class _Desk:
    """An admission queue before a number of equal places."""

    def __init__(self, places: int) -> None:
        self.clock = FakeClock(100.0)
        self.free = places
        self.given: list[str] = []
        self.queue = AdmissionQueue(
            self._find, self._take, self.give_back, self.clock.monotonic
        )

    def _find(self, item: WorkItem) -> Placement | None:
        item.best_first_s = 0.1
        if not self.free:
            return None
        return Placement(make_upstream("u"), item, 0, 0, 0.1, 0.0)

    def _take(self, placement: Placement) -> None:
        self.free -= 1
        self.given.append(placement.item.request_id)

    def give_back(self, placement: Placement) -> None:
        self.free += 1
        self.queue.offer_places()

    def ask(
        self, name: str, tier: int = 1, route_tier: int = 0, age_s: float = 0.0
    ) -> "asyncio.Task[Placement]":
        route = make_route(tier=route_tier)
        item = make_item(self.clock.monotonic(), route, tier, request_id=name)
        item.age_s = age_s
        return asyncio.ensure_future(self.queue.acquire(item))


class TestOrder:
    """Order of requests that wait."""

    def test_customer_tier_goes_before_route_tier_and_both_before_age(
        self,
    ) -> None:
        async def play() -> None:
            desk = _Desk(0)
            tasks = [
                desk.ask("low", 2, 0),
                desk.ask("second-route", 1, 1),
                desk.ask("first-route", 1, 0),
                desk.ask("top", 0, 5),
            ]
            await settle()
            desk.free = 4
            desk.queue.offer_places()
            await asyncio.gather(*tasks)
            assert desk.given == ["top", "first-route", "second-route", "low"]

        asyncio.run(play())

    def test_request_that_can_no_longer_be_on_time_goes_last(self) -> None:
        """Guards against an overload in which each request is made late."""

        async def play() -> None:
            desk = _Desk(0)
            late = desk.ask("late", tier=0)
            await settle()
            # 0.1 s to the first event leave 0.3 s of the target of 0.4 s.
            desk.clock.advance(0.35)
            fresh = desk.ask("fresh", tier=2)
            await settle()
            desk.free = 1
            desk.queue.offer_places()
            await fresh
            assert desk.given == ["fresh"]
            late.cancel()

        asyncio.run(play())

    def test_returning_client_counts_from_its_first_attempt(self) -> None:
        async def play() -> None:
            desk = _Desk(0)
            back = desk.ask("back", age_s=4.0)
            fresh = desk.ask("fresh")
            await settle()
            desk.free = 1
            desk.queue.offer_places()
            await fresh
            back.cancel()
            assert desk.given == ["fresh"]

        asyncio.run(play())


class TestRefusal:
    """Requests that can't be served in time."""

    def test_refuses_at_once_when_the_wait_is_longer_than_the_client_stays(
        self,
    ) -> None:
        async def play() -> None:
            desk = _Desk(0)
            waiting = [desk.ask(f"w{number}") for number in range(5)]
            await settle()
            # Five wait and no place was given within 2 s: 10 s to go.
            with pytest.raises(RefusedError) as caught:
                await desk.ask("late")
            refusal = caught.value.refusal
            assert refusal.reason is RefusalReason.DEADLINE_UNREACHABLE
            assert refusal.ran is Ran.NO
            # Clients wait up to a third of the time that they have.
            assert 0 < (refusal.retry_after_s or 0) <= 4.0
            for task in waiting:
                task.cancel()

        asyncio.run(play())

    def test_place_of_a_client_that_left_is_given_back(self) -> None:
        """Guards against places that leak when a client leaves."""

        async def play() -> None:
            desk = _Desk(0)
            task = desk.ask("gone")
            await settle()
            desk.free = 1
            desk.queue.offer_places()
            task.cancel()
            await settle()
            assert desk.free == 1
            assert desk.queue.size == 0

        asyncio.run(play())


class TestOverload:
    """Twice the capacity for four seconds, in simulated time.

    The places give 20 requests a second; 40 a second come. The order is
    compared with one by target alone.
    """

    @staticmethod
    def _play(by_target: bool) -> float:
        rng = random.Random(4)
        service_s, places, rate = 0.2, 4, 40.0
        arrivals = []
        at = 0.0
        while at < 4.0:
            at += rng.expovariate(rate)
            arrivals.append(at)
        events = [(at, index, "come") for index, at in enumerate(arrivals)]
        heapq.heapify(events)
        free = places
        waiting: list[WorkItem] = []
        on_time = 0
        from tanagerport.gateway import admission  # noqa: PLC0415

        while events:
            now, index, kind = heapq.heappop(events)
            if kind == "come":
                item = make_item(now)
                item.best_first_s = 0.1
                waiting.append(item)
            else:
                free += 1
            waiting = [item for item in waiting if item.patience_at > now]
            waiting.sort(
                key=lambda item: (
                    (item.target_at,)
                    if by_target
                    else admission.rank(item, now)
                )
            )
            while free and waiting:
                item = waiting.pop(0)
                free -= 1
                on_time += now + 0.1 <= item.target_at
                heapq.heappush(events, (now + service_s, index, "go"))
        return on_time / len(arrivals)

    def test_serves_twice_as_many_on_time_as_an_order_by_target(self) -> None:
        by_target = self._play(by_target=True)
        by_rank = self._play(by_target=False)
        assert by_rank > 2 * by_target
        # Half of the requests can be served; most of those are on time.
        assert by_rank > 0.4


class TestAttemptAges:
    """Age of requests that come back."""

    def test_shorter_deadline_tells_the_age(self) -> None:
        ages = AttemptAgeEstimator()
        for _ in range(20):
            assert ages.estimate_age_s("talk", 12_000) == 0.0
        assert ages.estimate_age_s("talk", 8_000) == pytest.approx(4.0)

    def test_no_age_where_deadlines_differ(self) -> None:
        """Guards against clients that are put last for a short deadline."""
        ages = AttemptAgeEstimator()
        rng = random.Random(1)
        assert not any(
            ages.estimate_age_s("talk", rng.randrange(2_000, 12_000))
            for _ in range(300)
        )


class TestPatience:
    """Time that clients wait for a first event."""

    @pytest.mark.parametrize(
        ("target_s", "pause_s", "patience_s"),
        [(0.4, 0.2, 2.0), (0.8, 0.25, 3.2), (0.1, 0.5, 4.0)],
    )
    def test_is_the_longest_of_three(
        self, target_s: float, pause_s: float, patience_s: float
    ) -> None:
        route = make_route(target_s=target_s, event_interval_target_s=pause_s)
        assert route.first_event_patience_s == pytest.approx(patience_s)

    def test_nothing_is_placed_that_the_client_would_not_see(self) -> None:
        """Guards against work that starts just before its client leaves."""
        parts = Parts()
        item = make_item(parts.clock.monotonic())
        parts.clock.advance(1.9)
        assert parts.place(item, [make_upstream("u")]) is None
