"""A worker whose stream never ends hangs the whole node."""

import asyncio
import pathlib
import sys
import time

from standins import http
from standins.deployment import (
    CONTACT_S,
    Deployment,
    configuration,
    route,
    run_case,
)
from standins.worker import Worker

_NODES = 2
_TIMEOUT_S = 1.5
_CLIENT_DEADLINE_S = 3.0
# Time for the final answer after the timeout of the route.
_SLACK_S = 0.5
# The rule is broken by this many requests without a final answer, if they are
# over this share of those that last longer than the timeout of their route.
_MIN_OVERDUE = 8
_MAX_OVERDUE_SHARE = 0.25
_HOLDS_PER_S = 10
_STREAMS_PER_S = 4
_TRAFFIC_S = 20.0
_FAULT_AFTER_S = 5.0
# Longest pause after which clients leave a stream.
_MAX_GAP_S = 2.0
# One token of an event that never ends, in a chunk of its own.
_TOKEN = b"tok "
_TOKENS_PER_WRITE = 2048


class EndlessWorker(Worker):
    """Sends tokens without the end of an event, once it is in trouble."""

    is_in_trouble = False

    async def answer(
        self, request: http.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answers until the caller closes the connection."""
        if not self.is_in_trouble:
            await super().answer(request, writer)
            return
        self.start_stream(request, writer)
        writer.write(http.chunk(b"id: 1\ndata: "))
        sent_bytes = 0
        try:
            while True:
                writer.write(http.chunk(_TOKEN) * _TOKENS_PER_WRITE)
                await writer.drain()
                sent_bytes += len(_TOKEN) * _TOKENS_PER_WRITE
                await asyncio.sleep(0)
        finally:
            self.record.add(
                "closed",
                request.headers["attempt-id"],
                f"{self.worker_id} had sent {sent_bytes} bytes of an event",
            )


async def play(deployment: Deployment, has_trouble: bool) -> str | None:
    """Plays the case; returns how the rule was broken, or None."""
    store, record = deployment.store, deployment.record
    routes = [
        route("hold", "non_idempotent"),
        route(
            "pair",
            "streaming",
            service="model",
            timeout_ms=12000,
            target_itl_ms=200,
        ),
    ]
    await store.put("op", "config", configuration(1, routes, ["key-1"]))
    faulty = EndlessWorker("i-model-1", "model", store, record)
    workers = [
        faulty,
        Worker("i-model-2", "model", store, record),
        Worker("i-desk-1", "desk", store, record),
        Worker("i-desk-2", "desk", store, record),
    ]
    for worker in workers:
        await worker.start()
    await deployment.start_nodes(_NODES)
    probes = asyncio.create_task(deployment.probe())
    await asyncio.sleep(CONTACT_S)
    tasks: list[asyncio.Task[http.Answer]] = []
    started_at = time.monotonic()
    steps = int(_TRAFFIC_S * _HOLDS_PER_S * 2)
    for step in range(steps):
        elapsed_s = step * _TRAFFIC_S / steps
        await asyncio.sleep(max(started_at + elapsed_s - time.monotonic(), 0))
        if has_trouble and elapsed_s >= _FAULT_AFTER_S:
            if not faulty.is_in_trouble:
                record.add("trouble", "", "i-model-1 ends no answer any more")
            faulty.is_in_trouble = True
        if step % 2 == 0:
            tasks.append(asyncio.create_task(_hold(deployment)))
        if step % (2 * _HOLDS_PER_S // _STREAMS_PER_S) == 0:
            asyncio.create_task(_stream(deployment))
    answers = await asyncio.gather(*tasks)
    probes.cancel()
    for worker in workers:
        worker.stop()
    return _judge(answers)


async def _hold(deployment: Deployment) -> http.Answer:
    """Sends a request to a service whose workers are sound."""
    _, answer = await deployment.send(
        "hold",
        "POST",
        "/hold/x",
        {"Authorization": "Token key-1"},
        b"hold",
        _CLIENT_DEADLINE_S,
    )
    return answer


async def _stream(deployment: Deployment) -> None:
    await deployment.send(
        "pair",
        "POST",
        "/pair/x",
        {
            "Authorization": "Token key-1",
            "Token-Usage": "600,300",
            "Prefix-Hash": "ab01:60,ab02:540",
        },
        b"prompt",
        12.0,
        _MAX_GAP_S,
    )


def _judge(answers: list[http.Answer]) -> str | None:
    late = [
        answer
        for answer in answers
        if not answer.status or answer.ended_at - answer.sent_at > _TIMEOUT_S
    ]
    overdue = [
        answer
        for answer in late
        if answer.ended_at - answer.sent_at > _TIMEOUT_S + _SLACK_S
    ]
    if len(overdue) < _MIN_OVERDUE or (
        len(overdue) <= _MAX_OVERDUE_SHARE * len(late)
    ):
        return None
    return (
        f"{len(overdue)} of {len(late)} requests that lasted longer than the"
        f" timeout of their route, {_TIMEOUT_S} s, had no final answer"
        f" {_SLACK_S} s later ({len(answers)} sent to sound workers)"
    )


if __name__ == "__main__":
    sys.exit(run_case(pathlib.Path(__file__).parent, play))
