"""Several nodes in one process, for tests of the control plane."""

import dataclasses
import time
from collections.abc import Callable, Mapping, Sequence

from tanagerport.clock import SystemClock
from tanagerport.control_plane import ControlPlane
from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.platform import Platform
from tanagerport.platform_api import TableStore
from tanagerport.platform_memory import (
    MemoryObjectStore,
    MemoryTableStore,
    MemoryVMList,
    MemoryWeightStore,
)
from tanagerport.settings import Settings, TimingSettings

FAST = TimingSettings(
    heartbeat_s=0.05,
    remote_heartbeat_s=0.1,
    suspect_after_s=0.2,
    dead_after_s=0.5,
    head_poll_s=0.1,
    vm_poll_s=0.1,
)
HINT = WorkClass("caption-hint", 0, UpstreamKind.ENGINE, "tutor")


def make_settings(node_id: str, zone: str = "lm-burnaby") -> Settings:
    """Returns settings of a node on loopback."""
    return Settings(
        node_id=node_id,
        zone=zone,
        region="lower-mainland",
        listen="127.0.0.1:0",
        operator_listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        operator_token="operator-token",
        peer_token="peer-token",
        timing=FAST,
        classes=(HINT,),
    )


class Cluster:
    """Control planes that share one platform.

    Args:
        zones: Zone by node id.
        table: Table service.
    """

    def __init__(
        self, zones: Mapping[str, str], table: TableStore | None = None
    ) -> None:
        self.vm_list = MemoryVMList()
        self.platform = Platform(
            table or MemoryTableStore(),
            MemoryObjectStore(),
            self.vm_list,
            MemoryWeightStore(),
        )
        self.nodes: dict[str, ControlPlane] = {}
        for node_id, zone in zones.items():
            self.start(node_id, zone)

    def start(
        self,
        node_id: str,
        zone: str,
        table: TableStore | None = None,
        listen: str = "127.0.0.1:0",
    ) -> ControlPlane:
        """Starts a node, and lists it."""
        platform = dataclasses.replace(
            self.platform, table=table or self.platform.table
        )
        settings = dataclasses.replace(
            make_settings(node_id, zone), peer_listen=listen
        )
        node = ControlPlane(settings, platform, SystemClock())
        node.start()
        self.nodes[node_id] = node
        self.vm_list.set_vms(self.vms())
        return node

    def vms(self) -> Sequence[VM]:
        """Returns the entry nodes."""
        return [
            VM(
                node_id,
                VMRole.ENTRY,
                node.membership.self_view.zone,
                "lower-mainland",
                node.peers.address,
            )
            for node_id, node in self.nodes.items()
        ]

    def stop(self) -> None:
        """Stops all nodes."""
        for node in self.nodes.values():
            node.stop()


def wait_until(condition: Callable[[], bool], timeout_s: float = 30.0) -> None:
    """Waits for a condition; the bound only ends a failed test."""
    give_up_at = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < give_up_at, "condition not reached"
        time.sleep(0.01)
