"""Measured targets of the design that are not met yet.

They depend on the machine's speed, so they run with `make known-red` only.
"""

from tanagerport.bench import measure
from tanagerport.bench_runner import Side
from tanagerport.bench_scenarios import SCENARIOS_BY_NAME

_ADDED_FIRST_TOKEN_S = 0.005
_BURST_TOP_TIER_GOODPUT = 0.99


class TestSteady:
    """Guards against a node that delays the first token."""

    def test_node_adds_at_most_5_ms_to_the_median_first_token(self) -> None:
        result = measure(SCENARIOS_BY_NAME["steady"], 1, [Side.PRODUCT])
        added_s = result["product"]["median_added_first_token_s"]
        assert added_s <= _ADDED_FIRST_TOKEN_S


class TestBurst:
    """Guards against a burst that reaches the top tier."""

    def test_top_tier_goodput_is_at_least_99_percent(self) -> None:
        result = measure(SCENARIOS_BY_NAME["burst"], 3, [Side.PRODUCT])
        goodput = result["product"]["goodput_by_tier"]["0"]
        assert goodput >= _BURST_TOP_TIER_GOODPUT
