"""Short soak of gateway processes; `soak.py` runs longer ones by hand."""

import pytest

import soak


class TestSoak:
    """Guards against requests that are lost beside stops, reloads and changes.

    Clients keep using open connections until the processes are gone.
    """

    @pytest.mark.parametrize("seed", [3, 4])
    def test_each_request_gets_an_answer_or_a_true_refusal(
        self, seed: int
    ) -> None:
        failures, report = soak.run_seed(seed, duration_s=20.0)
        assert not failures, report
