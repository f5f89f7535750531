"""Measures what one change of a large configuration costs; by hand only.

    .venv/bin/python tests/measure_table_spread.py --nodes 69 --routes 1400

Two regions, the store in the first one; the watch, the choice of readers, the
relays and the encoding are those of the gateway. A sixth of the nodes has a
wide link. Reports carry versions in time, but their bytes are not counted.
"""

import argparse
import asyncio
import json
import time

from simulated_tables import Link, SimulatedNode, Store, StoreClient
from tanagerport.gateway.peer_exchange import report_interval_s

_REGION_BYTES_PER_S = 30e6 / 8
_STORE_BYTES_PER_S = 4000e6 / 8
_WIDE_BYTES_PER_S = 100e6 / 8
_THIN_BYTES_PER_S = 5e6 / 8
_READERS = 6
# Time for the start, and for the change that is measured, in seconds.
_START_S = 20.0
_CHANGE_S = 20.0


class _CountingLink(Link):
    """A node's link to a distant store: its own and that of its region."""

    def __init__(self, own: Link, region: Link) -> None:
        super().__init__(1.0)
        self._own = own
        self._region = region

    async def transfer(self, size: float, on_progress: object) -> None:
        """Sends an answer over both links at once."""
        assert callable(on_progress)
        await asyncio.gather(
            self._own.transfer(size, on_progress),
            self._region.transfer(size, on_progress),
        )


async def _measure(
    nodes: int, routes: int, has_relays: bool
) -> dict[str, object]:
    store = Store(routes)
    between = Link(_REGION_BYTES_PER_S)
    at_store = Link(_STORE_BYTES_PER_S)
    regions: list[list[SimulatedNode]] = [[], []]
    for region in (0, 1):
        count = nodes // 2 + (nodes % 2 if region == 0 else 0)
        for rank in range(count):
            own = Link(
                _WIDE_BYTES_PER_S if rank * 6 < count else _THIN_BYTES_PER_S
            )
            path = _CountingLink(own, between if region else at_store)
            node = SimulatedNode(
                rank, StoreClient(store, path), regions[region]
            )
            node.link = own
            node.report_interval_s = report_interval_s(count, 100, (0.1, 0.7))
            regions[region].append(node)
    if has_relays:
        for node in regions[1]:
            node.relays = regions[0][:_READERS]
    for region in (0, 1):
        for node in regions[region]:
            node.remote_nodes = regions[1 - region]
            assert node.link is not None
            node.relay_link = _CountingLink(node.link, between)
    everyone = regions[0] + regions[1]
    tasks = [
        asyncio.create_task(run)
        for node in everyone
        for run in (
            node.watch.run(),
            node.report(),
            node.report_to_remote(),
        )
    ]
    started_at = time.monotonic()
    await asyncio.sleep(_START_S)
    start_kb = between.sent_bytes / 1000
    first = max(
        node.applied_at.get(store.version, float("inf")) for node in everyone
    )
    links = [node.link for node in everyone if node.link is not None]
    before = (store.calls, at_store.sent_bytes, between.sent_bytes)
    sent_before = [link.sent_bytes for link in links]
    changed_at = time.monotonic()
    await store.change()
    while time.monotonic() - changed_at < _CHANGE_S and not all(
        store.version in node.applied_at for node in everyone
    ):
        await asyncio.sleep(0.02)
    # Calls that are still on their way.
    await asyncio.sleep(1.0)
    last = max(
        node.applied_at.get(store.version, float("inf")) for node in everyone
    )
    for task in tasks:
        task.cancel()
    sent = [
        (link.sent_bytes - before, link.bytes_per_s)
        for link, before in zip(links, sent_before, strict=True)
    ]
    return {
        "nodes": nodes,
        "routes": routes,
        "relays": has_relays,
        "document_kb": round(len(store.document) / 1000),
        "calls": store.calls - before[0],
        "near_store_kb": round((at_store.sent_bytes - before[1]) / 1000),
        "between_regions_kb": round((between.sent_bytes - before[2]) / 1000),
        "widest_links_kb": _most_kb(sent, _WIDE_BYTES_PER_S),
        "smallest_links_kb": _most_kb(sent, _THIN_BYTES_PER_S),
        "start_between_regions_kb": round(start_kb),
        "start_last_node_s": round(first - started_at, 2),
        "last_node_s": round(last - changed_at, 2),
    }


def _most_kb(sent: list[tuple[float, float]], bytes_per_s: float) -> int:
    """Returns the most that any link of a bandwidth carried, in KB."""
    return round(
        max(size for size, bandwidth in sent if bandwidth == bytes_per_s) / 1000
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=69)
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--direct", action="store_true", help="without relays")
    options = parser.parse_args()
    result = asyncio.run(
        _measure(options.nodes, options.routes, not options.direct)
    )
    print(json.dumps(result))


if __name__ == "__main__":
    main()
