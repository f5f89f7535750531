"""Tests of claims in the table service."""

import dataclasses
from collections.abc import Sequence

import pytest

from tanagerport.clock import FakeClock
from tanagerport.exceptions import (
    OutcomeUnknownError,
    RefusedError,
    StoreUnavailableError,
)
from tanagerport.key_claims import ClaimOutcome
from tanagerport.model import (
    Ran,
    Refusal,
    RefusalReason,
    Request,
    UpstreamKind,
    WorkClass,
)
from tanagerport.platform_api import Condition, Record, Write
from tanagerport.platform_memory import MemoryTableStore
from tanagerport.store_claims import StoreClaims

_BOOKING = WorkClass(
    "booking", 1, UpstreamKind.SERVICE, "booking", idempotent=False
)
_REQUEST = Request(
    "request-1", _BOOKING, "customer", b"{}", 0.0, 10.0, key="key-1"
)


class _Table(MemoryTableStore):
    """Table service with faults of the next calls.

    `w` of `faults` loses the answer of a write, `l` loses the write, `d`
    is down, `.` works; calls beyond it work.
    """

    def __init__(self, faults: str = "") -> None:
        super().__init__()
        self.faults = list(faults)

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        fault = self._next_fault()
        if fault != "l":
            super().transact(conditions, writes)
        if fault in ("w", "l"):
            raise OutcomeUnknownError("answer lost")

    def get(self, key: str) -> Record | None:
        self._next_fault()
        return super().get(key)

    def _next_fault(self) -> str:
        fault = self.faults.pop(0) if self.faults else "."
        if fault == "d":
            raise StoreUnavailableError("down")
        return fault


def _claims(table: MemoryTableStore) -> StoreClaims:
    return StoreClaims(table, "node-1", FakeClock())


def _refusal(
    table: MemoryTableStore, body: bytes = b"{}", attempt: int = 0
) -> Refusal:
    request = dataclasses.replace(
        _REQUEST, request_id="request-2", body=body, attempt=attempt
    )
    with pytest.raises(RefusedError) as caught:
        _claims(table).claim(request)
    return caught.value.refusal


class TestLostAnswers:
    """Guards against a call that runs without or beside its claim."""

    @pytest.mark.parametrize("faults", ["w", "l", "l.w"])
    def test_lost_answer_is_settled_by_reading_back(self, faults: str) -> None:
        table = _Table(faults)
        _claims(table).claim(_REQUEST)
        assert _refusal(table).reason is RefusalReason.DUPLICATE_IN_PROGRESS

    @pytest.mark.parametrize("faults", ["d", "wd", "ld", "l.l."])
    def test_unproved_claim_is_refused_as_not_run(self, faults: str) -> None:
        refusal = _refusal(_Table(faults), attempt=1)
        assert refusal.reason is RefusalReason.CLAIM_STORE_UNAVAILABLE
        assert refusal.ran is Ran.NO

    @pytest.mark.parametrize("attempt", [0, 2])
    def test_resend_while_the_store_is_down_is_not_called_not_run(
        self, attempt: int
    ) -> None:
        """Guards against "not run" for a key whose first call ran."""
        table = _Table()
        _claims(table).claim(_REQUEST).settle(ClaimOutcome.FINISHED)
        table.faults = ["d"]
        refusal = _refusal(table, attempt=attempt)
        assert refusal.reason is RefusalReason.CLAIM_STORE_UNAVAILABLE
        assert refusal.ran is Ran.UNKNOWN

    def test_claim_that_took_effect_unseen_blocks_the_key(self) -> None:
        table = _Table("wd")
        _refusal(table)
        assert _refusal(table).ran is Ran.UNKNOWN


class TestOutcomes:
    """Guards against an untrue answer to a resend."""

    @pytest.mark.parametrize(
        ("outcome", "reason"),
        [
            (ClaimOutcome.FINISHED, RefusalReason.DUPLICATE_FINISHED),
            (ClaimOutcome.UNKNOWN, RefusalReason.CLAIM_UNKNOWN),
        ],
    )
    def test_resend_learns_the_outcome(
        self, outcome: ClaimOutcome, reason: RefusalReason
    ) -> None:
        table = MemoryTableStore()
        _claims(table).claim(_REQUEST).settle(outcome)
        assert _refusal(table).reason is reason

    @pytest.mark.parametrize("faults", ["..", "...w", "..d", "...l"])
    def test_call_that_did_not_run_frees_the_key(self, faults: str) -> None:
        table = _Table()
        claim = _claims(table).claim(_REQUEST)
        table.faults = list(faults)
        claim.settle(ClaimOutcome.NOT_RUN)
        table.faults = []
        _claims(table).claim(_REQUEST)

    def test_late_settlement_leaves_a_newer_claim_alone(self) -> None:
        table = MemoryTableStore()
        first = _claims(table).claim(_REQUEST)
        first.settle(ClaimOutcome.NOT_RUN)
        _claims(table).claim(_REQUEST)
        first.settled = False
        first.settle(ClaimOutcome.NOT_RUN)
        assert _refusal(table).reason is RefusalReason.DUPLICATE_IN_PROGRESS

    def test_other_body_under_the_key_is_refused(self) -> None:
        table = MemoryTableStore()
        _claims(table).claim(_REQUEST)
        assert _refusal(table, b"other").reason is RefusalReason.KEY_REUSED

    def test_old_claims_are_removed(self) -> None:
        """Guards against a table that grows without bound."""
        table = MemoryTableStore()
        clock = FakeClock()
        claims = StoreClaims(table, "node-1", clock)
        claims.claim(_REQUEST)
        assert claims.remove_expired(60) == 0
        clock.advance(61)
        assert claims.remove_expired(60) == 0  # The end of the table.
        assert claims.remove_expired(60) == 1
