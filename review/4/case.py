"""All nodes are killed: a tenant gets its quota a second time."""

import asyncio
import pathlib
import sys

from standins import quota
from standins.deployment import CONTACT_S, Deployment, run_case
from standins.worker import Worker

_NODES = 2
_WORKERS = 4
_TRAFFIC_S = 9.0
_KILL_AT_S = 1.3
_DOWN_S = 0.5


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
    restart = asyncio.create_task(_kill_all(deployment, has_trouble))
    await quota.send_requests(deployment, _TRAFFIC_S)
    await restart
    probes.cancel()
    for worker in workers:
        worker.stop()
    return quota.judge(record)


async def _kill_all(deployment: Deployment, has_trouble: bool) -> None:
    if not has_trouble:
        return
    await asyncio.sleep(_KILL_AT_S)
    deployment.record.add("trouble", "", "all processes are killed")
    for node in deployment.nodes:
        await node.stop()
    await asyncio.sleep(_DOWN_S)
    for node in deployment.nodes:
        await node.start()
    deployment.record.add("restart", "", "all processes start again")


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
