"""Tests of how a lost upstream is told from a broken connection."""

import asyncio
from typing import Any, cast

import gateway_doubles
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.upstream_losses import HeldRequest, LossDetector
from tanagerport.gateway.upstream_pool import UpstreamPool


class _FakePool:
    """Opens connections, or refuses them."""

    def __init__(self, is_refusing: bool) -> None:
        self._is_refusing = is_refusing
        self.attempts = 0
        self.released: list[tuple[object, ...]] = []

    async def open(self, upstream: UpstreamRecord, timeout_s: float) -> Any:
        del upstream, timeout_s
        self.attempts += 1
        if self._is_refusing:
            raise ConnectionRefusedError("refused")
        return object()

    def release(self, *arguments: object) -> None:
        self.released.append(arguments)


def _record_two_breaks(is_refusing: bool) -> tuple[Counters, list[str], int]:
    """Records breaks of a request that had begun and of one that had not."""
    counters = Counters()
    lost: list[str] = []
    pool = _FakePool(is_refusing)

    async def run() -> None:
        detector = LossDetector(
            cast(UpstreamPool, pool),
            counters,
            DecisionLog("n"),
            lambda upstream, held: lost.append(held.item.request_id),
        )
        upstream = gateway_doubles.make_upstream("u")
        for request_id, events in (("begun", 3), ("waiting", 0)):
            item = gateway_doubles.make_item(0.0, request_id=request_id)
            detector.record_break(upstream, HeldRequest(item, events))
        await asyncio.sleep(0.15)

    asyncio.run(run())
    return counters, lost, pool.attempts


class TestLossDetector:
    """An upstream that also refuses connections is lost."""

    def test_refused_connection_confirms_the_loss_of_all_requests(self) -> None:
        """Guards against a crash that is taken for single broken answers."""
        counters, lost, attempts = _record_two_breaks(is_refusing=True)
        assert lost == ["begun", "waiting"]
        assert counters.upstream_losses == {"before_answer": 1}
        assert attempts == 1

    def test_accepted_connection_refutes_the_loss(self) -> None:
        """Guards against connection resets that are taken for a crash."""
        counters, lost, _ = _record_two_breaks(is_refusing=False)
        assert lost == []
        assert not counters.upstream_losses
