"""A tenant at its quota, and the check of the rule QUOTA."""

import asyncio
import time

from standins import http
from standins.deployment import (
    PARAMETERS,
    Deployment,
    configuration,
    route,
)
from standins.record import Record

# Quota of a tenant of the site `obi-fittings`.
_RATE_PER_S = 111_201
_BURST = 111_201
_OVERSHOOT = 0.1
# The tenant asks for four times its rate.
TOKENS = 22_000
_REQUESTS_PER_S = 20
_CLIENT_DEADLINE_S = 12.0
# Longest pause after which clients leave a stream, also before its first event.
_MAX_GAP_S = 2.0


async def put_configuration(deployment: Deployment) -> None:
    """Writes a configuration with the tenant and one streaming route."""
    routes = [
        route(
            "pair",
            "streaming",
            service="model",
            timeout_ms=12000,
            target_itl_ms=200,
        )
    ]
    await deployment.store.put(
        "op",
        "config",
        configuration(
            1,
            routes,
            ["key-1"],
            rate_per_s=_RATE_PER_S,
            burst_size=_BURST,
        ),
    )


async def send_requests(deployment: Deployment, length_s: float) -> None:
    """Sends the requests of the tenant and waits for their answers."""
    tasks = []
    started_at = time.monotonic()
    for number in range(int(length_s * _REQUESTS_PER_S)):
        due_at = started_at + number / _REQUESTS_PER_S
        await asyncio.sleep(max(due_at - time.monotonic(), 0))
        tasks.append(asyncio.create_task(_ask(deployment, number)))
    await asyncio.gather(*tasks)


async def _ask(deployment: Deployment, number: int) -> http.Answer:
    _, answer = await deployment.send(
        "pair",
        "POST",
        "/pair/x",
        {
            "Authorization": "Token key-1",
            "Model": "m",
            "Token-Usage": f"{TOKENS - 300},300",
            "Prefix-Hash": f"ab01:60,c{number:x}:{TOKENS - 360}",
        },
        b"prompt",
        _CLIENT_DEADLINE_S,
        _MAX_GAP_S,
    )
    return answer


def judge(record: Record) -> str | None:
    """Returns how the rule was broken, or None."""
    window_s = PARAMETERS["quota_window_s"]
    allowed = (_RATE_PER_S * window_s + _BURST) * (1 + _OVERSHOOT) + (
        PARAMETERS["quota_tolerance"]
    )
    sent_at = {entry.attempt: entry.at for entry in record.of("sent")}
    # Each request is sent once at most, so it runs at one worker.
    times = [(sent_at[run.attempt], run.at) for run in record.of("run")]
    used, start = max(
        (
            TOKENS
            * sum(
                1
                for sent, ran in times
                if sent >= start and ran < start + window_s
            ),
            start,
        )
        for start, _ in times
    )
    record.add(
        "count",
        "",
        f"{used} tokens ran in {window_s} s from {record.seconds(start):.3f},"
        f" {allowed:.0f} are allowed",
    )
    if used <= allowed:
        return None
    return (
        f"{used} tokens of a tenant ran in {window_s} s, allowed {allowed:.0f}"
    )
