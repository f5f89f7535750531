"""Upstreams of the VM list, with hints that are newer than the list."""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from tanagerport.interfaces import LoadReport
from tanagerport.model import VM, VMRole, VMState

# A lagging list may show a VM again for a while after it was removed. VM names
# are not reused, so a hint never blocks a later VM.
_HINT_LIFETIME_S = 600.0
# A drained rack; more hints than this wait for the list.
_MAX_SPREAD_HINTS = 64


class UpstreamStates:
    """Upstreams and hints about them. Not safe for concurrent use."""

    def __init__(self) -> None:
        self._listed: dict[str, VM] = {}
        self._leaving_hints: dict[str, float] = {}
        self._loads: dict[str, LoadReport] = {}
        self._merged: tuple[VM, ...] = ()
        self._by_zone: dict[str, tuple[VM, ...]] = {}

    def take_list(self, vms: Iterable[VM], now: float) -> None:
        """Takes the upstreams of the VM list."""
        self._listed = {
            vm.vm_id: vm for vm in vms if vm.role is not VMRole.ENTRY
        }
        for vm_id, hinted_at in list(self._leaving_hints.items()):
            if vm_id in self._listed:
                self._leaving_hints[vm_id] = now
            elif now - hinted_at > _HINT_LIFETIME_S:
                del self._leaving_hints[vm_id]
        for vm_id in self._loads.keys() - self._listed.keys():
            del self._loads[vm_id]
        self._merge()

    def mark_leaving(self, vm_id: str, now: float) -> bool:
        """Records a hint; returns whether it is new."""
        if vm_id in self._leaving_hints:
            return False
        self._leaving_hints[vm_id] = now
        self._merge()
        return True

    def hints_to_spread(self) -> Sequence[str]:
        """Returns leaving upstreams that the list still shows as live."""
        return [
            vm_id
            for vm_id in self._leaving_hints
            if vm_id in self._listed
            and self._listed[vm_id].state is VMState.LIVE
        ][:_MAX_SPREAD_HINTS]

    def upstreams(self, zone: str | None) -> Sequence[VM]:
        """Returns the upstreams of a zone, or of all zones."""
        if zone is None:
            return self._merged
        return self._by_zone.get(zone, ())

    def set_load(self, vm_id: str, report: LoadReport) -> None:
        """Records a load report."""
        if vm_id in self._listed:
            self._loads[vm_id] = report

    @property
    def loads(self) -> Mapping[str, LoadReport]:
        """Latest load reports by VM."""
        return self._loads

    def _merge(self) -> None:
        self._merged = tuple(
            dataclasses.replace(vm, state=VMState.LEAVING)
            if vm.vm_id in self._leaving_hints
            else vm
            for vm in self._listed.values()
        )
        by_zone: dict[str, list[VM]] = {}
        for vm in self._merged:
            by_zone.setdefault(vm.zone, []).append(vm)
        self._by_zone = {zone: tuple(vms) for zone, vms in by_zone.items()}
