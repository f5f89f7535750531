"""Trials of entries of KNOWN-RED.txt about roll-outs; no case of the review.

The old version is lost for good during a roll-out, and the new one is bad. The
argument is `later` (half of its answers fail from 9 s after the order on) or
`restart` (it is five times slower from the start, within its target, and all
nodes are killed once).
"""

import asyncio
import pathlib
import random
import sys
import time

from standins import http
from standins.deployment import (
    CONTACT_S,
    PARAMETERS,
    Deployment,
    configuration,
    route,
    run_case,
)
from standins.worker import Worker

_NODES = 2
_WORKERS = 3
_REQUESTS_PER_S = 27
_BEFORE_S = 4.0
_ROLLOUT_S = 15
_START_S = 0.3
_LOST_AFTER_S = 1.0
_TURNS_BAD_S = 9.0
_BAD_SHARE = 0.5
_WORK_S = 0.05
_SLOW_WORK_S = 0.25
_KILL_AFTER_S = 0.5
_DOWN_S = 4.0


class VersionedWorker(Worker):
    """Fails or is slow once its version is bad."""

    work_s = _WORK_S
    fails_from = float("inf")
    draws = random.Random(1)

    async def answer(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with 200 or 500."""
        await asyncio.sleep(self.work_s)
        has_failed = (
            time.monotonic() > self.fails_from
            and self.draws.random() < _BAD_SHARE
        )
        status = 500 if has_failed else 200
        writer.write(http.response_bytes(status, b"ran", self.seal(request)))


async def play(deployment: Deployment, has_trouble: bool) -> str | None:
    """Plays a trial; returns how the rule was broken, or None."""
    store, record = deployment.store, deployment.record
    is_restarted = sys.argv[1:] == ["restart"]
    routes = [route("stock", "idempotent")]
    await store.put("op", "config", configuration(1, routes, ["key-1"]))
    old, new = (
        [
            VersionedWorker(
                f"i-{version}-{number + 1}",
                "desk",
                store,
                record,
                slots=6,
                version=version,
            )
            for number in range(_WORKERS)
        ]
        for version in ("v1", "v2")
    )
    for worker in old:
        await worker.start()
    await deployment.start_nodes(_NODES)
    await asyncio.sleep(CONTACT_S)
    requests = asyncio.create_task(_send_requests(deployment))
    await asyncio.sleep(_BEFORE_S)
    ordered_at = time.monotonic()
    await store.put(
        "op",
        "rollout/desk",
        {"service": "desk", "to": "v2", "duration_s": _ROLLOUT_S},
    )
    record.add("order", "", f"v2 within {_ROLLOUT_S} s")
    await asyncio.sleep(_START_S)
    for worker in new:
        if is_restarted:
            worker.work_s = _SLOW_WORK_S
        else:
            worker.fails_from = ordered_at + _TURNS_BAD_S
        await worker.start()
    await asyncio.sleep(_LOST_AFTER_S - _START_S)
    if has_trouble:
        for worker in old:
            worker.crash()
        record.add("trouble", "", "all workers of v1 are lost for good")
        if is_restarted:
            await asyncio.sleep(_KILL_AFTER_S)
            await _restart_nodes(deployment)
    await requests
    for worker in old + new:
        worker.stop()
    status = store.get("status", "rollout/desk")
    record.add("status", "", repr(status))
    runs = [
        entry
        for entry in record.of("run")
        if ordered_at <= entry.at <= ordered_at + _ROLLOUT_S
    ]
    exposed = sum("i-v2" in entry.text for entry in runs)
    allowed = (
        PARAMETERS["canary_share"] * len(runs) + PARAMETERS["canary_tolerance"]
    )
    text = f"{exposed} of {len(runs)} requests ran on v2, allowed {allowed:.0f}"
    record.add("count", "", text)
    return text if exposed > allowed else None


async def _restart_nodes(deployment: Deployment) -> None:
    deployment.record.add("trouble", "", "all processes are killed")
    for node in deployment.nodes:
        await node.stop()
    await asyncio.sleep(_DOWN_S)
    for node in deployment.nodes:
        await node.start()


async def _send_requests(deployment: Deployment) -> None:
    tasks = []
    started_at = time.monotonic()
    length_s = _BEFORE_S + _ROLLOUT_S + 1
    for number in range(int(length_s * _REQUESTS_PER_S)):
        due_at = started_at + number / _REQUESTS_PER_S
        await asyncio.sleep(max(due_at - time.monotonic(), 0))
        tasks.append(
            asyncio.create_task(
                deployment.send(
                    "stock",
                    "GET",
                    "/stock/x",
                    {"Authorization": "Token key-1"},
                )
            )
        )
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
