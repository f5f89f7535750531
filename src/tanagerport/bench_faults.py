"""Faults that a scenario injects while its trace is replayed."""

import asyncio
import dataclasses
import signal
import time
from collections.abc import Awaitable, Callable

from tanagerport.bench_operators import Operators
from tanagerport.bench_plan import Action, Fault, Rollout
from tanagerport.bench_processes import NodeProcess
from tanagerport.bench_stage import Side, Stage
from tanagerport.bench_topology import PLATFORM
from tanagerport.fault_proxy import LinkFaults


async def inject(
    stage: Stage, operators: Operators, fault: Fault, started: float
) -> None:
    """Waits for the time of a fault or change and causes it.

    Args:
        stage: What runs.
        operators: Operators of the side.
        fault: What to cause.
        started: Monotonic seconds of the start of the replay.
    """
    await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
    if fault.action in _OPERATOR_FUNCTIONS:
        await _OPERATOR_FUNCTIONS[fault.action](stage, operators, fault)
    else:
        await _FUNCTIONS[fault.action](stage, fault)


async def start_rollout(
    stage: Stage, operators: Operators, rollout: Rollout, started: float
) -> None:
    """Waits for the time of a rollout and starts it.

    Raises:
        BenchError: The rollout was not accepted.
    """
    bad_from = started + rollout.bad_from_s
    if rollout.fault is not None:
        fault = dataclasses.replace(rollout.fault, from_time=bad_from)
        document = {"version_faults": [dataclasses.asdict(fault)]}
        for name in rollout.engines or stage.engines:
            await stage.administer(name, "faults", document)
    await asyncio.sleep(max(0.0, started + rollout.at_s - time.monotonic()))
    await operators.start_move(rollout, bad_from)


async def _set_upstream_faults(stage: Stage, fault: Fault) -> None:
    if fault.details.get("leaving"):
        stage.note_leaving(fault.target)
    await stage.administer(fault.target, "faults", dict(fault.details))


async def _set_platform_faults(stage: Stage, fault: Fault) -> None:
    document = {"service": fault.target, **fault.details}
    await stage.administer(PLATFORM, "faults", document)


async def _list_leaving(stage: Stage, fault: Fault) -> None:
    stage.note_leaving(fault.target)
    await stage.publish_vms([fault.target])


async def _silence_links(stage: Stage, fault: Fault) -> None:
    for proxy in stage.topology.links_to(fault.target):
        proxy.silence_open()


async def _cut_zone(stage: Stage, fault: Fault) -> None:
    for node in stage.nodes_in(fault.target):
        stage.cut_off[node] = (time.monotonic(), float("inf"))
    for proxy in stage.topology.links_across(fault.target):
        await proxy.set_faults(dataclasses.replace(proxy.faults, cut=True))


async def _restore_zone(stage: Stage, fault: Fault) -> None:
    for proxy in stage.topology.links_across(fault.target):
        await proxy.set_faults(LinkFaults())
    for node in stage.nodes_in(fault.target):
        stage.cut_off[node] = (stage.cut_off[node][0], time.monotonic())


async def _kill_node(stage: Stage, fault: Fault) -> None:
    stage.nodes[fault.target].signal(signal.SIGKILL)


async def _restart_node(stage: Stage, fault: Fault) -> None:
    stage.nodes[fault.target].restart()


async def _stop_node(stage: Stage, fault: Fault) -> None:
    stage.stopped_at[fault.target] = time.monotonic()
    stage.nodes[fault.target].signal(signal.SIGTERM)


async def _pause_holder(
    stage: Stage, operators: Operators, fault: Fault
) -> None:
    seconds = fault.details["for_s"]
    assert isinstance(seconds, float)
    node = await _find_holder(stage, operators)
    if node is None:
        return
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.signal(signal.SIGCONT)


async def _kill_holder(
    stage: Stage, operators: Operators, fault: Fault
) -> None:
    del fault
    node = await _find_holder(stage, operators)
    if node is not None:
        node.signal(signal.SIGKILL)


async def _find_holder(
    stage: Stage, operators: Operators
) -> NodeProcess | None:
    """Returns the rollout controller's node; naive routers have none."""
    if stage.side is Side.NAIVE:
        return None
    return stage.nodes[await operators.lease_holder()]


async def _add_class(stage: Stage, operators: Operators, fault: Fault) -> None:
    del stage
    await operators.add_class(str(fault.details["name"]), fault.target)


async def _race(stage: Stage, operators: Operators, fault: Fault) -> None:
    del stage
    number = fault.details["number"]
    assert isinstance(number, int)
    await operators.race(number)


_OPERATOR_FUNCTIONS: dict[
    Action, Callable[[Stage, Operators, Fault], Awaitable[None]]
] = {
    Action.PAUSE_HOLDER: _pause_holder,
    Action.KILL_HOLDER: _kill_holder,
    Action.ADD_CLASS: _add_class,
    Action.RACE: _race,
}
_FUNCTIONS: dict[Action, Callable[[Stage, Fault], Awaitable[None]]] = {
    Action.UPSTREAM_FAULTS: _set_upstream_faults,
    Action.PLATFORM_FAULTS: _set_platform_faults,
    Action.LIST_LEAVING: _list_leaving,
    Action.SILENCE_LINKS: _silence_links,
    Action.CUT_ZONE: _cut_zone,
    Action.RESTORE_ZONE: _restore_zone,
    Action.KILL_NODE: _kill_node,
    Action.RESTART_NODE: _restart_node,
    Action.STOP_NODE: _stop_node,
}
