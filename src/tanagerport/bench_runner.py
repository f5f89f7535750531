"""Runs one side of a scenario: starts it, replays the trace, observes."""

import asyncio
import contextlib
import dataclasses
import functools
import json
import pathlib
import tempfile
import time
from collections.abc import Mapping, Sequence
from typing import Any

from tanagerport.bench_caller import CallRecord, call
from tanagerport.bench_faults import inject, start_rollout
from tanagerport.bench_history import EngineOrder, Execution, History
from tanagerport.bench_operators import Operators
from tanagerport.bench_plan import Scenario
from tanagerport.bench_processes import BenchError
from tanagerport.bench_stage import Side, Stage
from tanagerport.bench_trace import TracedRequest

# Upstreams finish requests whose callers gave up within this time.
_SETTLE_S = 0.3
_RESEND_DELAY_S = 0.2


def run_side(
    side: Side, scenario: Scenario, trace: Sequence[TracedRequest], seed: int
) -> History:
    """Runs one side and returns what was observed.

    Args:
        side: Naive router or product.
        scenario: Scenario to run.
        trace: Requests to replay.
        seed: Seed of the simulators.

    Raises:
        BenchError: A process did not start.
    """
    return asyncio.run(_run(Stage(side, scenario, seed), trace))


async def _run(stage: Stage, trace: Sequence[TracedRequest]) -> History:
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        await stage.start(stack, pathlib.Path(directory))
        operators = Operators(stage, stage.side)
        watchers = [asyncio.create_task(stage.watch_readiness())]
        if stage.scenario.changes_classes:
            watchers.append(asyncio.create_task(operators.probe()))
        try:
            calls = await _replay(stage, operators, trace)
        finally:
            for watcher in watchers:
                watcher.cancel()
        await asyncio.sleep(_SETTLE_S)
        return await _collect(stage, operators, calls)


async def _collect(
    stage: Stage, operators: Operators, calls: Sequence[CallRecord]
) -> History:
    logs = await stage.upstream_logs()
    _check_class_fault(stage.scenario, logs)
    return History(
        calls=calls,
        executions=[
            _execution(vm, entry)
            for vm, log in logs
            for entry in log["requests"]
        ],
        zone_of_node=stage.zone_of_node,
        leaving_since=stage.leaving_since,
        stopped_at=stage.stopped_at,
        non_idempotent=frozenset(
            item.work_class.name
            for item in stage.scenario.classes
            if not item.work_class.idempotent
        ),
        orders=[
            EngineOrder(
                vm["vm_id"],
                order["at"],
                int(order.get("fencing_token") or 0),
                bool(order.get("applied")),
            )
            for vm, log in logs
            for order in log.get("orders", ())
        ],
        changes=operators.changes,
        probes=operators.probes,
        cut_off=stage.cut_off,
        move=await operators.move_history(),
    )


def _check_class_fault(
    scenario: Scenario,
    logs: Sequence[tuple[Mapping[str, Any], Mapping[str, Any]]],
) -> None:
    """Raises an error if a fault of one class could not take effect."""
    rollout = scenario.rollout
    if rollout is None or rollout.fault is None:
        return
    class_name = rollout.fault.class_name
    seen = {entry["class_name"] for _, log in logs for entry in log["requests"]}
    if class_name and class_name not in seen:
        raise BenchError(
            f"no upstream was told of class {class_name!r} by X-Class, so its"
            " fault did not take effect"
        )


async def _replay(
    stage: Stage, operators: Operators, trace: Sequence[TracedRequest]
) -> list[CallRecord]:
    started = time.monotonic()
    scenario = stage.scenario
    tasks = [
        asyncio.create_task(inject(stage, operators, fault, started))
        for fault in scenario.faults
    ]
    if scenario.rollout is not None:
        start = start_rollout(stage, operators, scenario.rollout, started)
        tasks.append(asyncio.create_task(start))
    calls = []
    for request in trace:
        wait_s = started + request.at_s - time.monotonic()
        await asyncio.sleep(max(0.0, wait_s))
        calls.append(asyncio.create_task(_send(stage, request)))
    records = await asyncio.gather(*calls)
    await asyncio.gather(*tasks)
    return [record for sendings in records for record in sendings]


async def _send(stage: Stage, request: TracedRequest) -> list[CallRecord]:
    """Sends a request, again if the scenario's callers resend."""
    record = await call(request, functools.partial(stage.targets, request.zone))
    if (
        not stage.scenario.resend_broken
        or not request.key
        or not record.is_broken
    ):
        return [record]
    await asyncio.sleep(_RESEND_DELAY_S)
    again = dataclasses.replace(request, attempt=request.attempt + 1)
    second = await call(again, functools.partial(stage.targets, request.zone))
    return [record, second]


def _execution(vm: Mapping[str, Any], entry: Mapping[str, Any]) -> Execution:
    now = time.monotonic()
    return Execution(
        upstream=vm["vm_id"],
        zone=vm["zone"],
        is_engine=vm["role"] == "engine",
        request_id=entry["request_id"],
        key=entry["key"],
        marker=entry["marker"],
        model=entry.get("model", ""),
        version=entry.get("version", ""),
        started=entry["started"],
        ended=entry["ended"] if entry["ended"] is not None else now,
        complete=entry["complete"],
        prefilled_tokens=entry.get("prefilled_tokens", 0),
        first_token_at=entry.get("first_token_at"),
        pauses=tuple(
            (span[0], span[1] if len(span) > 1 else now)
            for span in entry.get("pauses", ())
        ),
    )


def dump_history(history: History, path: pathlib.Path) -> None:
    """Writes a run's observations as JSON, for later study."""
    document = dataclasses.asdict(history)
    path.write_text(json.dumps(document, default=list))
