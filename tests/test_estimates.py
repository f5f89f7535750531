"""Tests of the length and speed estimators, prefix index and link budget."""

import random

import pytest

from tanagerport.clock import FakeClock
from tanagerport.estimates import LengthEstimator, SpeedEstimator
from tanagerport.link_budget import LinkBudget
from tanagerport.model import Request, UpstreamKind, WorkClass
from tanagerport.prefix_cache import CacheEvent, PrefixIndex, block_hashes

_CLASS = WorkClass("hint", 0, UpstreamKind.ENGINE, "tutor")


def _request(max_output_tokens: int | None = None) -> Request:
    return Request(
        "r", _CLASS, "c", b"", 0, 1, max_output_tokens=max_output_tokens
    )


class TestLengthEstimator:
    """Guards against estimates that do not follow the observed lengths."""

    def test_typical_size_is_the_initial_estimate(self) -> None:
        lengths = LengthEstimator()
        assert lengths.mean(_request()) == 64
        assert lengths.mean(_request(max_output_tokens=5)) == 5

    def test_follows_observations(self) -> None:
        lengths = LengthEstimator()
        rng = random.Random(1)
        for _ in range(3000):
            lengths.record(_CLASS, rng.randint(100, 200))
        assert lengths.mean(_request()) == pytest.approx(150, abs=20)
        assert lengths.p90(_request()) == pytest.approx(190, abs=25)


class TestSpeedEstimator:
    """Guards against estimates that ignore the prompt length or a slowdown."""

    def test_separates_base_from_prefill(self) -> None:
        speed = SpeedEstimator()
        rng = random.Random(2)
        for _ in range(60):
            tokens = rng.uniform(10, 2000)
            speed.record_first_token(tokens, 0.05 + tokens * 0.0002)
        assert speed.first_token_s(1000) == pytest.approx(0.25, abs=0.01)
        assert speed.first_token_s(0) == pytest.approx(0.05, abs=0.01)

    def test_slowdown_shows_within_a_few_samples(self) -> None:
        speed = SpeedEstimator()
        for _ in range(100):
            speed.record_first_token(100, 0.05)
            speed.record_interval(0.01)
        for _ in range(8):
            speed.record_first_token(100, 0.5)
            speed.record_interval(0.1)
        assert speed.first_token_s(100) > 0.2
        assert speed.interval_s > 0.05


class TestPrefixIndex:
    """Guards against stale entries of blocks that are no longer cached."""

    def test_common_prefix_is_found_and_ages(self) -> None:
        clock = FakeClock()
        index = PrefixIndex(clock)
        prefix = "lesson " * 100
        index.add("e1", "tutor", block_hashes(prefix + "a" * 600))
        hashes = block_hashes(prefix + "b" * 600)
        assert index.cached_bytes("tutor", hashes) == {"e1": 512}
        assert index.cached_bytes("other", hashes) == {}
        clock.advance(60)
        assert index.cached_bytes("tutor", hashes) == {"e1": 256}

    def test_reported_tokens_drop_blocks_not_cached(self) -> None:
        index = PrefixIndex(FakeClock())
        hashes = block_hashes("x" * 1024)
        index.add("e1", "tutor", hashes)
        index.correct("e1", "tutor", hashes, 300)
        assert index.cached_bytes("tutor", hashes) == {"e1": 256}

    def test_gap_in_events_drops_known_blocks(self) -> None:
        clock = FakeClock()
        index = PrefixIndex(clock)
        hashes = block_hashes("x" * 1024)
        index.add("e1", "tutor", hashes)
        clock.advance(1)
        event = CacheEvent(True, "tutor", hashes[0])
        index.apply_events("e1", [event], gap=True)
        assert index.cached_bytes("tutor", hashes) == {"e1": 256}
        index.apply_events(
            "e1", [CacheEvent(False, "tutor", hashes[0])], gap=False
        )
        assert index.cached_bytes("tutor", hashes) == {}

    def test_size_is_bounded(self) -> None:
        index = PrefixIndex(FakeClock(), max_blocks=10)
        for number in range(20):
            index.add("e1", "tutor", block_hashes(f"{number:04} " * 200))
        assert len(index) <= 10

    def test_block_covers_all_bytes_before_it(self) -> None:
        first, second = block_hashes("a" * 512), block_hashes("b" + "a" * 511)
        assert len(first) == 2
        assert first[1] != second[1]


class TestLinkBudget:
    """Guards against unlimited use of the link between regions."""

    def test_bytes_are_bounded_by_rate_and_burst(self) -> None:
        clock = FakeClock()
        budget = LinkBudget(1000, "here", clock)
        budget.set_sharers(2)
        taken = sum(100 for _ in range(50) if budget.take("there", 100))
        assert taken == 1000
        clock.advance(1)
        assert budget.available("there") == 500

    def test_bytes_above_the_budget_delay_later_ones(self) -> None:
        clock = FakeClock()
        budget = LinkBudget(1000, "here", clock)
        budget.record("there", 5000)
        assert not budget.take("there", 1)
        clock.advance(3)
        assert not budget.take("there", 1)
        assert budget.sent_bytes("there") == 5000

    def test_own_region_is_free(self) -> None:
        assert LinkBudget(0, "here", FakeClock()).take("here", 1e9)
