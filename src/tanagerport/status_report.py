"""The document of `GET /status`."""

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from tanagerport.class_status import ClassStatusTracker
from tanagerport.clock import Clock
from tanagerport.config_records import class_key
from tanagerport.config_state import AppliedVersion, ConfigurationState
from tanagerport.interfaces import (
    ConfigurationView,
    MembershipView,
    NodeLiveness,
)
from tanagerport.model import VMRole, VMState
from tanagerport.move_report import (
    SamplesByScope,
    report_convictions,
    report_moves,
)


class StatusConfiguration(ConfigurationView, Protocol):
    """What the status shows of the configuration."""

    @property
    def history(self) -> Sequence[AppliedVersion]:
        """Latest applied versions with their lag, oldest first."""

    @property
    def state(self) -> ConfigurationState:
        """Records with their revisions."""


@dataclasses.dataclass(frozen=True)
class StatusSources:
    """Parts of the node that the status is made from.

    Attributes:
        configuration: Configuration in force.
        membership: Nodes and upstreams.
        classes: Outcomes by class.
        samples_by_scope: Samples of a model's new version on this node.
        slots: Returns a row for each upstream with its slots.
        not_ready_reason: Returns why the node takes no traffic.
        store_reachable: Returns whether the table service answered last.
        clock: Source of time.
    """

    configuration: StatusConfiguration
    membership: MembershipView
    classes: ClassStatusTracker
    samples_by_scope: SamplesByScope
    slots: Callable[[], Sequence[Mapping[str, Any]]]
    not_ready_reason: Callable[[], str]
    store_reachable: Callable[[], bool]
    clock: Clock


def make_status(sources: StatusSources) -> dict[str, Any]:
    """Returns the status document; it holds no secrets."""
    configuration = sources.configuration
    return {
        "node": _node(sources),
        "configuration": _configuration(sources),
        "classes": _classes(sources),
        "moves": list(
            report_moves(
                configuration, sources.clock.time(), sources.samples_by_scope
            )
        ),
        "convictions": list(report_convictions(configuration)),
        "zones": [_zone(sources, zone) for zone in _zones(sources.membership)],
        "upstreams": _upstreams(sources.membership),
        "slots": [dict(row) for row in sources.slots()],
    }


def _node(sources: StatusSources) -> dict[str, Any]:
    own = sources.membership.self_view
    reason = sources.not_ready_reason()
    return {
        "node_id": own.node_id,
        "zone": own.zone,
        "region": own.region,
        "ready": not reason,
        "reason": reason,
        "version": sources.configuration.version,
        "store": "reachable" if sources.store_reachable() else "unreachable",
    }


def _configuration(sources: StatusSources) -> dict[str, Any]:
    history = sources.configuration.history
    latest = history[-1] if history else None
    return {
        "version": sources.configuration.version,
        "lag_s": round(latest.lag_s, 3) if latest else None,
        "lag_s_max": round(max((item.lag_s for item in history), default=0), 3),
        "applied_at": latest.applied_at if latest else None,
    }


def _classes(sources: StatusSources) -> list[dict[str, Any]]:
    snapshot = sources.configuration.state.snapshot
    rows = []
    for item in sources.classes.report(sources.configuration.classes):
        row = dataclasses.asdict(item)
        row["revision"] = snapshot.revision(class_key(item.name))
        rows.append(row)
    return rows


def _zones(membership: MembershipView) -> Sequence[str]:
    upstream_zones = {vm.zone for vm in membership.upstreams()}
    return sorted({*membership.zones(), *upstream_zones})


def _zone(sources: StatusSources, zone: str) -> dict[str, Any]:
    membership = sources.membership
    is_own = zone == membership.self_view.zone
    is_reachable = is_own or membership.is_zone_reachable(zone)
    live = [vm for vm in membership.upstreams(zone) if vm.state is VMState.LIVE]
    served = {name for vm in live for name in vm.serves}
    models = {item.model for item in sources.configuration.classes.values()}
    lacks = [f"upstreams of {name}" for name in sorted(models - served)]
    if not membership.live_nodes(zone):
        lacks.insert(0, "entry nodes")
    if is_own and not sources.store_reachable():
        lacks.append("store")
    if not is_reachable:
        lacks.insert(0, "connection to this zone")
    return {
        "zone": zone,
        "reachable": is_reachable,
        "nodes_live": len(membership.live_nodes(zone)),
        "nodes_known": len(membership.nodes(zone)),
        "nodes_not_live": [
            view.node_id
            for view in membership.nodes(zone)
            if view.liveness is not NodeLiveness.LIVE
        ],
        "upstreams_live": len(live),
        "lacks": lacks,
    }


def _upstreams(membership: MembershipView) -> list[dict[str, Any]]:
    rows = []
    for vm in membership.upstreams():
        load = membership.load(vm.vm_id) if vm.role is VMRole.ENGINE else None
        rows.append(
            {
                "upstream": vm.vm_id,
                "role": vm.role.value,
                "zone": vm.zone,
                "state": vm.state.value,
                "serves": list(vm.serves),
                "running": load.running if load else None,
                "waiting": load.waiting if load else None,
                "versions": _versions(load.versions) if load else [],
            }
        )
    return rows


def _versions(versions: Mapping[str, Sequence[str]]) -> list[str]:
    return [
        f"{model}:{version}"
        for model, loaded in sorted(versions.items())
        for version in loaded
    ]
