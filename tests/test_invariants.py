"""Invariants of the design, with real node processes and injected faults.

Each test replays a bench scenario against node processes behind fault
proxies and judges what callers, upstreams and the store saw. The counts do
not depend on the machine's speed; goodput does, and is not judged here.
"""

import pytest

from tanagerport.bench import measure
from tanagerport.bench_runner import Side
from tanagerport.bench_scenarios import SCENARIOS_BY_NAME

_SEED = 1


class TestInvariants:
    """Guards against a broken promise to callers under faults."""

    @pytest.mark.parametrize(
        "name",
        [
            "node_death",
            "duplicate_resend",
            "graceful_stop",
            "leaving_upstream",
            "zone_partition",
            "store_outage",
            "lost_store_answer",
        ],
    )
    def test_product_violates_none(self, name: str) -> None:
        result = measure(SCENARIOS_BY_NAME[name], _SEED, [Side.PRODUCT])
        violations = result["product"]["violations"]
        assert len(violations) == 9
        assert not {key: n for key, n in violations.items() if n}

    @pytest.mark.parametrize(
        ("name", "violated"),
        [
            ("duplicate_resend", "dispatch_once"),
            ("graceful_stop", "stop_cut"),
            ("leaving_upstream", "leaving_new_work"),
        ],
    )
    def test_naive_router_is_caught(self, name: str, violated: str) -> None:
        """Guards against judges that can't fail."""
        result = measure(SCENARIOS_BY_NAME[name], _SEED, [Side.NAIVE])
        assert result["naive"]["violations"][violated] > 0
