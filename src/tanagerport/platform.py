"""Platform services of a node, chosen by its settings."""

import dataclasses

from tanagerport.clock import Clock
from tanagerport.platform_api import (
    ObjectStore,
    TableStore,
    VMList,
    WeightStore,
)
from tanagerport.platform_http import (
    HttpObjectStore,
    HttpTableStore,
    HttpVMList,
    HttpWeightStore,
)
from tanagerport.platform_memory import (
    MemoryObjectStore,
    MemoryTableStore,
    MemoryVMList,
    MemoryWeightStore,
)
from tanagerport.settings import PlatformSettings


@dataclasses.dataclass(frozen=True)
class Platform:
    """The platform's services."""

    table: TableStore
    objects: ObjectStore
    vm_list: VMList
    weights: WeightStore


def create_platform(settings: PlatformSettings, clock: Clock) -> Platform:
    """Returns clients of the platform; memory where no URL is set.

    Args:
        settings: Where the services are.
        clock: Source of time.
    """
    timeout_s = settings.timeout_s
    return Platform(
        HttpTableStore(settings.table_url, timeout_s)
        if settings.table_url
        else MemoryTableStore(),
        HttpObjectStore(settings.object_url, timeout_s)
        if settings.object_url
        else MemoryObjectStore(),
        HttpVMList(settings.vm_list_url, timeout_s)
        if settings.vm_list_url
        else MemoryVMList(settings.vms, clock=clock),
        HttpWeightStore(settings.weight_url, timeout_s)
        if settings.weight_url
        else MemoryWeightStore(clock=clock),
    )
