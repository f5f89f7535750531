"""Faults that a scenario injects while its trace is replayed."""

import asyncio
import dataclasses
import signal
import time
from collections.abc import Awaitable, Callable

from tanagerport.bench_scenarios import Action, Fault
from tanagerport.bench_stage import Stage
from tanagerport.bench_topology import PLATFORM
from tanagerport.fault_proxy import LinkFaults


async def inject(stage: Stage, fault: Fault, started: float) -> None:
    """Waits for the time of a fault and injects it.

    Args:
        stage: What runs.
        fault: Fault to inject.
        started: Monotonic seconds of the start of the replay.
    """
    await asyncio.sleep(max(0.0, started + fault.at_s - time.monotonic()))
    await _FUNCTIONS[fault.action](stage, fault)


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
    for proxy in stage.topology.links_across(fault.target):
        await proxy.set_faults(dataclasses.replace(proxy.faults, cut=True))


async def _restore_zone(stage: Stage, fault: Fault) -> None:
    for proxy in stage.topology.links_across(fault.target):
        await proxy.set_faults(LinkFaults())


async def _kill_node(stage: Stage, fault: Fault) -> None:
    stage.nodes[fault.target].signal(signal.SIGKILL)


async def _stop_node(stage: Stage, fault: Fault) -> None:
    stage.stopped_at[fault.target] = time.monotonic()
    stage.nodes[fault.target].signal(signal.SIGTERM)


_FUNCTIONS: dict[Action, Callable[[Stage, Fault], Awaitable[None]]] = {
    Action.UPSTREAM_FAULTS: _set_upstream_faults,
    Action.PLATFORM_FAULTS: _set_platform_faults,
    Action.LIST_LEAVING: _list_leaving,
    Action.SILENCE_LINKS: _silence_links,
    Action.CUT_ZONE: _cut_zone,
    Action.RESTORE_ZONE: _restore_zone,
    Action.KILL_NODE: _kill_node,
    Action.STOP_NODE: _stop_node,
}
