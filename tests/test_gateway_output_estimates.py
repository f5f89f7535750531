"""Tests of requests that name a maximum of tokens and no estimate."""

import asyncio
import pathlib
from typing import Any

import pytest

import gateway_doubles
import platform_standin as standin
from gateway_doubles import ENGINE_SERVICE
from platform_standin import configuration, route
from tanagerport.clock import FakeClock
from tanagerport.gateway.domain import WorkEstimate
from tanagerport.gateway.output_estimates import OutputEstimator
from tanagerport.gateway.work_item import Placement

_MOST = 3840


class _Answers:
    """Answers of one route, of which an estimator learns."""

    def __init__(self) -> None:
        self.clock = FakeClock(100.0)
        self.estimator = OutputEstimator(
            lambda name: ENGINE_SERVICE, self.clock.monotonic
        )

    def record(
        self, events: int, customer: str = "", is_cut: bool = False
    ) -> None:
        item = gateway_doubles.make_item(self.clock.monotonic())
        item.work = WorkEstimate(100, _MOST, _MOST)
        upstream = gateway_doubles.make_upstream("u")
        placement = Placement(upstream, item, 1, 1, 0.1, 100.0)
        placement.event_count = events
        if is_cut:
            self.estimator.record_cut(placement, customer)
        else:
            self.estimator.record_whole(placement, customer)

    def estimate(self, most: int = _MOST, customer: str = "") -> int:
        work = WorkEstimate(100, most, most)
        return self.estimator.estimate(
            "models", "talk", customer, work
        ).expected_output_tokens


class TestEstimates:
    """Guards against a maximum that is taken for an estimate."""

    def test_first_guess_is_well_below_a_generous_maximum(self) -> None:
        assert _Answers().estimate(100_000) < 1000

    def test_maximum_bounds_it(self) -> None:
        assert _Answers().estimate(40) == 40

    def test_it_follows_the_answers(self) -> None:
        answers = _Answers()
        for events in (10, 20, 20, 20, 600):
            answers.record(events)
        tokens = ENGINE_SERVICE.tokens_per_event
        assert answers.estimate() == 20 * tokens

    def test_customers_differ(self) -> None:
        answers = _Answers()
        for _ in range(8):
            answers.record(200, "long")
        for _ in range(32):
            answers.record(10, "short")
        tokens = ENGINE_SERVICE.tokens_per_event
        assert answers.estimate(customer="long") == 200 * tokens
        assert answers.estimate(customer="new") == 10 * tokens

    def test_cut_answers_count_if_they_are_longer(self) -> None:
        """Guards against a median of those alone that ended in time."""
        answers = _Answers()
        for _ in range(8):
            answers.record(20)
        before = answers.estimate()
        for _ in range(20):
            answers.record(5, is_cut=True)
        assert answers.estimate() == before
        for _ in range(20):
            answers.record(300, is_cut=True)
        assert answers.estimate() > before

    def test_estimate_that_refuses_all_is_forgotten(self) -> None:
        """Guards against long answers that refuse a kind for ever."""
        answers = _Answers()
        first = answers.estimate()
        for _ in range(8):
            answers.record(3000)
        assert answers.estimate() > first
        answers.clock.advance(61.0)
        assert answers.estimate() == first


class TestGenerousMaximum:
    """Guards against an idle system that refuses what names a high maximum."""

    @pytest.mark.parametrize("most", [1560, _MOST, 100_000])
    def test_stream_without_an_estimate_is_served(
        self, tmp_path: pathlib.Path, most: int
    ) -> None:
        async def run() -> None:
            engine: dict[str, Any] = {"name": "svc", "max_connections": 100}
            engine["inference_engine"] = {"slot_count": 13, "step_size": 6}
            routes = [
                route("call", "streaming", timeout_ms=12_000, max_attempts=1)
            ]
            async with standin.local_cluster(
                tmp_path, configuration(1, routes, services=[engine])
            ) as cluster:
                await cluster.add_upstream("u-1", standin.stream(10, 0.04))
                await cluster.add_gateway()
                await cluster.gateway.wait_ready()
                for number in range(3):
                    response = await cluster.call(
                        f"a{number}",
                        "/call/x",
                        b"prompt",
                        Deadline_Ms="12000",
                        Token_Usage=f"600,{most}",
                    )
                    assert response.status == 200
                    assert response.is_complete

        asyncio.run(run())
