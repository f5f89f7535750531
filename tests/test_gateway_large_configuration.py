"""Tests of large configurations at many nodes behind a thin link."""

import asyncio
import time

from simulated_tables import Link, SimulatedNode, Store, StoreClient

_NODES = 23
_LINK_BYTES_PER_S = 60e6 / 8
_ROUTES = 2851
_CHANGE_INTERVAL_S = 3.0
_CHANGES = 6
# `config_apply_ms` of the deployments.
_CONFIG_APPLY_S = 2.5


async def _measure_changes(
    store: Store, nodes: list[SimulatedNode], link: Link
) -> tuple[list[float], float]:
    """Makes changes in series.

    Returns:
        Seconds until each change was in force at all nodes, and the bytes that
        crossed the link, in answers of the store.
    """
    tasks = [
        asyncio.create_task(run)
        for node in nodes
        for run in (node.watch.run(), node.report())
    ]
    await asyncio.sleep(6.0)
    sent_before = link.sent_bytes
    delays_s = []
    for _ in range(_CHANGES):
        changed_at = time.monotonic()
        await store.change()
        await asyncio.sleep(_CHANGE_INTERVAL_S)
        delays_s.append(
            max(
                node.applied_at.get(store.version, float("inf"))
                for node in nodes
            )
            - changed_at
        )
    for task in tasks:
        task.cancel()
    return delays_s, (link.sent_bytes - sent_before) / (
        len(store.document) * 4 / 3
    )


class TestManyNodes:
    """Guards against nodes that all read a large change from the store."""

    def test_change_reaches_all_nodes_in_time(self) -> None:
        """Guards against readers that count as lost while they read.

        The nodes that took their place read the same change over the same
        link, and no change of a series was in force in time.
        """

        async def run() -> tuple[list[float], float]:
            link = Link(_LINK_BYTES_PER_S)
            store = Store(_ROUTES)
            nodes: list[SimulatedNode] = []
            nodes += [
                SimulatedNode(rank, StoreClient(store, link), nodes)
                for rank in range(_NODES)
            ]
            return await _measure_changes(store, nodes, link)

        delays_s, answers = asyncio.run(run())
        assert max(delays_s) <= _CONFIG_APPLY_S
        # Six nodes of a region read from the store.
        assert answers <= 1.5 * 6 * _CHANGES


class TestDistantRegion:
    """Guards against a change that crosses a thin link again and again."""

    def test_change_crosses_the_link_compressed(self) -> None:
        """Guards against readers that each read it as the store encodes it."""

        async def run() -> tuple[list[float], float]:
            link, near_link = (Link(_LINK_BYTES_PER_S) for _ in range(2))
            store = Store(_ROUTES)
            near: list[SimulatedNode] = []
            near += [
                SimulatedNode(rank, StoreClient(store, near_link), near)
                for rank in range(6)
            ]
            far: list[SimulatedNode] = []
            far += [
                SimulatedNode(rank, StoreClient(store, link), far)
                for rank in range(_NODES)
            ]
            for node in far:
                node.relay_link = link
                node.relays = near
            return await _measure_changes(store, near + far, link)

        delays_s, answers = asyncio.run(run())
        assert max(delays_s) <= _CONFIG_APPLY_S
        # Compression makes a configuration five times as small, and more.
        assert answers <= 6 * _CHANGES / 5
