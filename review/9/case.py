"""A second rollout brings a version that turns bad after some seconds."""

import asyncio
import itertools
import json
import os
import pathlib
import random
import sys
from typing import Any

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "world2"))
import world  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
SERVICE = "booking-desk"
ZONES = {"qc-east-a": "qc-east", "qc-east-b": "qc-east"}
# Requests a second, over all machines.
RATE = 40.0
# `duration_s` of an order.
ORDER_S = 12.0
BAD_AFTER_S = 4.0
BAD_SHARE = 0.5
# Seconds from the registration of the new workers to the order; negative for
# an order that comes first, to compare with.
LEAD_S = float(os.environ.get("LEAD", "0.5"))
# Bounds of the rule, `canary_share` and `canary_tolerance`.
SHARE = 0.1
TOLERANCE = 50


class Desk(world.Worker):
    """A worker of some version.

    Attributes:
        version: Version of its software.
        is_bad: Whether a part of its answers are failures.
    """

    version = "v1"
    is_bad = False

    def _row(self) -> dict[str, Any]:
        return {**super()._row(), "version": self.version}


async def run(
    worker: world.Worker,
    first: str,
    fields: world.Headers,
    body: bytes,
    writer: asyncio.StreamWriter,
) -> None:
    """Answers after the time that a booking takes."""
    await asyncio.sleep(random.uniform(0.04, 0.1))
    assert isinstance(worker, Desk)
    has_failed = worker.is_bad and random.random() < BAD_SHARE
    status = 500 if has_failed else 200
    worker.record.write(
        "runs",
        worker=worker.worker_id,
        version=worker.version,
        id=fields["attempt-id"],
        status=status,
    )
    writer.write(
        world.message(f"HTTP/1.1 {status} X", worker.seal(fields), b"x" * 800)
    )


class Rollouts:
    """Starts workers, gives orders and reads their status.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment: world.World) -> None:
        self._deployment = deployment
        self._ids = itertools.count(0x5C0)

    def make_workers(self, version: str) -> list[Desk]:
        """Returns three workers of a version, which are not started."""
        record = self._deployment.record
        made = []
        for zone in [*ZONES, "qc-east-a"]:
            worker_id = f"i-{next(self._ids):08x}"
            worker = Desk(worker_id, SERVICE, zone, 6, record, run)
            worker.version = version
            made.append(worker)
        self._deployment.workers += made
        return made

    async def start_workers(self, workers: list[Desk]) -> None:
        """Starts workers, which register themselves."""
        for worker in workers:
            await worker.start()
            self._deployment.run_task(worker.register(self._deployment.store))

    async def order(self, version: str) -> None:
        """Writes the operator's order."""
        await self._deployment.store.put(
            "op",
            f"rollout/{SERVICE}",
            {"service": SERVICE, "to": version, "duration_s": ORDER_S},
        )
        self._deployment.record.write("order", to=version)

    async def await_end(self, version: str) -> str:
        """Waits for the state in which the rollout to a version ends."""
        while True:
            await asyncio.sleep(0.05)
            data = self._deployment.store.get("status", f"rollout/{SERVICE}")
            status = json.loads(data) if data else {}
            if status.get("to") == version and status["state"] in (
                "completed",
                "reverted",
            ):
                self._deployment.record.write("status", **status)
                return status["state"]


async def send_requests(deployment: world.World) -> None:
    """Sends requests to all machines until it is cancelled."""
    for number in itertools.count():
        attempt = f"{number:016x}"
        data = world.request(
            "POST", "/hold/a", attempt, b"x" * 600, Deadline_Ms="3000"
        )
        node = random.choice(deployment.nodes)
        deployment.run_task(
            world.call(node, data, 3.0, deployment.record, attempt)
        )
        await asyncio.sleep(random.expovariate(RATE))


async def case(has_trouble: bool) -> bool:
    """Returns whether the bad version got no more than the rule allows."""
    deployment = world.World(FOLDER, ZONES, 2)
    record = deployment.record
    rollouts = Rollouts(deployment)
    first = rollouts.make_workers("v1")
    try:
        await deployment.start(
            world.configuration(
                2,
                [
                    world.route(
                        "hold", "non_idempotent", SERVICE, timeout_ms=1500
                    )
                ],
                [{"name": SERVICE, "max_connections": 96}],
            )
        )
        deployment.run_task(send_requests(deployment))
        await asyncio.sleep(4)
        second = rollouts.make_workers("v2")
        await rollouts.start_workers(second)
        await asyncio.sleep(0.5)
        await rollouts.order("v2")
        if await rollouts.await_end("v2") != "completed":
            raise world.CaseError("the good version was not completed")
        # "On `completed` the old workers are stopped."
        for worker in first:
            await worker.leave(deployment.store)
            await worker.stop()
        await asyncio.sleep(5)
        third = rollouts.make_workers("v3")
        if LEAD_S >= 0:
            await rollouts.start_workers(third)
            await asyncio.sleep(LEAD_S)
        await rollouts.order("v3")
        ordered_at = asyncio.get_running_loop().time()
        if LEAD_S < 0:
            await asyncio.sleep(-LEAD_S)
            await rollouts.start_workers(third)
        await asyncio.sleep(ordered_at + BAD_AFTER_S - _now())
        if has_trouble:
            record.write("turns_bad", version="v3")
            for worker in third:
                worker.is_bad = True
        await asyncio.sleep(ordered_at + ORDER_S - _now())
        new, old = (
            sum(
                at > ordered_at
                for worker in group
                for at, _, _ in worker.arrivals
            )
            for group in (third, second)
        )
        allowed = SHARE * (new + old) + TOLERANCE
        record.write("judged", new=new, old=old, allowed=f"{allowed:.1f}")
        print(f"{new} of {new + old} requests at v3, allowed {allowed:.1f}")
        return not has_trouble or new <= allowed
    finally:
        await deployment.stop()


def _now() -> float:
    return asyncio.get_running_loop().time()


world.run_case(case)
