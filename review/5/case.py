"""Refunds of requests that waited give a tenant its quota a second time."""

import asyncio
import pathlib
import sys

from standins import quota
from standins.deployment import CONTACT_S, Deployment, run_case
from standins.record import Record
from standins.worker import Worker

_NODES = 2
_WORKERS = 4
_TRAFFIC_S = 16.0
_OUTAGE_AT_S = 0.5
_OUTAGE_S = 4.5


async def play(deployment: Deployment, has_trouble: bool) -> str | None:
    """Plays the case; returns how the rule was broken, or None."""
    store, record = deployment.store, deployment.record
    await quota.put_configuration(deployment)
    workers = [
        Worker(f"i-model-{number + 1}", "model", store, record, slots=13)
        for number in range(_WORKERS)
    ]
    for worker in workers:
        await worker.start()
    await deployment.start_nodes(_NODES)
    probes = asyncio.create_task(deployment.probe())
    await asyncio.sleep(CONTACT_S)
    outage = asyncio.create_task(_crash_all(workers, record, has_trouble))
    await quota.send_requests(deployment, _TRAFFIC_S)
    await outage
    probes.cancel()
    for worker in workers:
        worker.stop()
    return quota.judge(record)


async def _crash_all(
    workers: list[Worker], record: Record, has_trouble: bool
) -> None:
    if not has_trouble:
        return
    await asyncio.sleep(_OUTAGE_AT_S)
    record.add("trouble", "", "all workers crash")
    for worker in workers:
        worker.crash()
    await asyncio.sleep(_OUTAGE_S)
    for worker in workers:
        await worker.start()
    record.add("restart", "", "all workers are back")


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
