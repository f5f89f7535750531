"""Tests of which node writes the checkpoint of quota usage."""

import asyncio
from typing import Any, cast

from tanagerport.clock import FakeClock
from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.quota_checkpoint import TABLE, QuotaCheckpoint
from test_gateway_rollout import MemoryStore


class _NodeStore(MemoryStore):
    """Store in memory that turns some nodes away."""

    def __init__(self) -> None:
        super().__init__(FakeClock(100.0))
        self.rejected: set[str] = set()

    def of(self, node: str) -> Any:
        """Returns the store as a node reaches it."""
        store = self

        class View:
            async def read(self, table: str) -> Any:
                return await store.read(table)

            async def transact(self, writes: Any) -> int:
                if node in store.rejected:
                    raise StoreUnavailableError("turned away")
                return await store.transact(writes)

            def time_s(self) -> float:
                return store.time_s()

        return View()


class _Limiter:
    """Always has usage that no checkpoint counts."""

    window_s = 8.0

    def exceeds(self, written: object) -> bool:
        del written
        return True

    def expected_usage(self, horizon_s: float) -> dict[str, Any]:
        del horizon_s
        return {}

    def mark_history_known(self) -> None:
        pass


class _Cluster:
    """Nodes that hear of each other at once."""

    def __init__(self, *nodes: str) -> None:
        self.store = _NodeStore()
        self.checkpoints = {
            node: QuotaCheckpoint(
                self.store.of(node),
                cast(Any, _Limiter()),
                node,
                lambda node=node: self._is_writer(node),  # type: ignore[misc]
                DecisionLog("n", -1),
            )
            for node in nodes
        }

    async def run(self, seconds: float) -> set[str]:
        """Runs the nodes; returns those that wrote a checkpoint."""
        before = dict(self.store.rows)
        tasks = [
            asyncio.ensure_future(checkpoint.run())
            for checkpoint in self.checkpoints.values()
        ]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return {
            key
            for (table, key), row in self.store.rows.items()
            if table == TABLE and before.get((table, key)) != row
        }

    def _is_writer(self, node: str) -> bool:
        return all(
            node <= other
            for other, checkpoint in self.checkpoints.items()
            if checkpoint.can_write
        )


class TestWriter:
    """Guards against usage that no checkpoint holds when all are killed.

    The node that writes for all was turned away by the store, and no other one
    took its place, so a customer got its quota again after the kill.
    """

    def test_another_node_writes_if_the_first_is_turned_away(self) -> None:
        async def scenario() -> None:
            cluster = _Cluster("a", "b", "c")
            assert await cluster.run(0.3) == {"a"}
            cluster.store.rejected = {"a", "b"}
            assert await cluster.run(1.0) == {"c"}

        asyncio.run(scenario())

    def test_first_node_writes_again_once_the_store_takes_it(self) -> None:
        async def scenario() -> None:
            cluster = _Cluster("a", "b")
            cluster.store.rejected = {"a"}
            assert await cluster.run(0.5) == {"b"}
            cluster.store.rejected = set()
            assert "a" in await cluster.run(0.8)
            assert await cluster.run(0.5) == {"a"}

        asyncio.run(scenario())

    def test_all_go_on_trying_while_the_store_is_away(self) -> None:
        """Guards against nodes that all leave the checkpoint to another."""

        async def scenario() -> None:
            cluster = _Cluster("a", "b")
            cluster.store.rejected = {"a", "b"}
            assert await cluster.run(0.8) == set()
            cluster.store.rejected = set()
            assert await cluster.run(1.0)

        asyncio.run(scenario())
