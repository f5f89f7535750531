"""Tests of `tanagerport.race_measurement`."""

from tanagerport.race_measurement import measure_abort_rates


class TestMeasureAbortRates:
    """Guards against a measurement that does not race or does not repeat."""

    def test_only_equal_records_abort(self) -> None:
        rates = measure_abort_rates(3, operator_counts=(4,), rounds=5)
        assert {name: rate[0].abort_rate for name, rate in rates.items()} == {
            "record/disjoint": 0.0,
            "record/equal": 0.75,
            "document/disjoint": 0.75,
            "document/equal": 0.75,
        }
        # Without conflicts on head the operators would not have raced.
        assert rates["record/disjoint"][0].most_transactions > 1

    def test_seed_decides_the_result(self) -> None:
        first = measure_abort_rates(5, operator_counts=(3,), rounds=4)
        assert first == measure_abort_rates(5, operator_counts=(3,), rounds=4)
