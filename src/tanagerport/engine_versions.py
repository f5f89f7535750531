"""Versions that engines have loaded, and the orders that change them."""

import concurrent.futures
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

import msgspec
import structlog
import urllib3

from tanagerport.clock import Clock
from tanagerport.interfaces import MembershipView
from tanagerport.model import VM, VMRole, VMState
from tanagerport.orders import (
    HeldLease,
    Order,
    OrderName,
    OrderResult,
    OrderSender,
)
from tanagerport.platform_api import WeightStore

_READ_TIMEOUT_S = 0.5
_THREADS = 8
# Reads are spaced so that 570 engines of one model cost 57 reads a second.
_READS_PER_S = 60.0
_MIN_READ_INTERVAL_S = 0.25
# A load that has not shown by then is ordered again.
_LOAD_TIMEOUT_S = 60.0
# A default that was ordered but does not show in a report that is this much
# newer is ordered again.
_REPORT_LAG_S = 2.0
# Bound of the orders of one step, so that the lease is renewed in between.
_ORDERS_PER_STEP = 50

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine said of one model.

    Attributes:
        versions: Loaded versions.
        default: Version for requests that name none.
        read_at: Monotonic seconds of the read.
    """

    versions: frozenset[str]
    default: str
    read_at: float


class EngineReader(Protocol):
    """Reads the versions that engines have loaded."""

    def __call__(
        self, vms: Sequence[VM], model: str
    ) -> Mapping[str, EngineState]:
        """Returns the state by VM id; engines without answer are left out."""


class _LoadMessage(msgspec.Struct):
    versions: dict[str, list[str]] = {}
    default_versions: dict[str, str] = {}


class HttpEngineReader:
    """Reads `GET /load` of engines in all zones, several at a time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pool = urllib3.PoolManager(num_pools=64, retries=False)
        self._threads = concurrent.futures.ThreadPoolExecutor(
            _THREADS, thread_name_prefix="engine-versions"
        )

    def __call__(
        self, vms: Sequence[VM], model: str
    ) -> Mapping[str, EngineState]:
        """Returns the state by VM id; engines without answer are left out."""
        states = self._threads.map(lambda vm: self._read(vm, model), vms)
        return {
            vm.vm_id: state
            for vm, state in zip(vms, states, strict=True)
            if state is not None
        }

    def _read(self, vm: VM, model: str) -> EngineState | None:
        started = self._clock.monotonic()
        try:
            response = self._pool.request(
                "GET",
                f"http://{vm.address}/load",
                timeout=urllib3.Timeout(total=_READ_TIMEOUT_S),
            )
            message = msgspec.json.decode(response.data, type=_LoadMessage)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            _log.debug("load_unread", upstream=vm.vm_id, error=str(error))
            return None
        return EngineState(
            frozenset(message.versions.get(model, ())),
            message.default_versions.get(model, ""),
            started,
        )


class ModelVersions:
    """Versions of one model on its engines.

    Holds no durable state: a new holder reads it from the engines. Must not
    be used from several threads at once.

    Args:
        model: Model.
        membership: Engines.
        reader: Reads engines.
        weights: Weight store, whose rate bounds the loads.
        sender: Sends orders.
        clock: Source of time.
    """

    def __init__(
        self,
        model: str,
        membership: MembershipView,
        reader: EngineReader,
        weights: WeightStore,
        sender: OrderSender,
        clock: Clock,
    ) -> None:
        self._model = model
        self._membership = membership
        self._reader = reader
        self._weights = weights
        self._sender = sender
        self._clock = clock
        self._states: dict[str, EngineState] = {}
        self._read_at = float("-inf")
        self._load_ordered: dict[tuple[str, str], float] = {}
        self._default_ordered: dict[str, tuple[str, float]] = {}
        self._next_load_at = 0.0

    def engines(self) -> Sequence[VM]:
        """Returns engines that serve the model and are not leaving."""
        return [
            vm
            for vm in self._membership.upstreams()
            if vm.role is VMRole.ENGINE
            and vm.state is VMState.LIVE
            and self._model in vm.serves
        ]

    def refresh(self) -> None:
        """Reads the engines if the last read is old enough."""
        engines = self.engines()
        interval_s = max(_MIN_READ_INTERVAL_S, len(engines) / _READS_PER_S)
        now = self._clock.monotonic()
        if now - self._read_at < interval_s:
            return
        self._read_at = now
        self._states.update(self._reader(engines, self._model))

    def without(self, version: str) -> Sequence[VM]:
        """Returns engines that have not loaded a version."""
        return [vm for vm in self.engines() if version not in self._loaded(vm)]

    def load(self, version: str, lease: HeldLease) -> None:
        """Orders engines to load a version, as the weight store permits.

        Raises:
            StoreUnavailableError: The weight store can't be reached.
        """
        now = self._clock.monotonic()
        for vm in self.without(version)[:_ORDERS_PER_STEP]:
            ordered_at = self._load_ordered.get((vm.vm_id, version))
            is_loading = (
                ordered_at is not None and now - ordered_at < _LOAD_TIMEOUT_S
            )
            if is_loading or vm.vm_id not in self._states:
                continue
            if now < self._next_load_at:
                return
            wait_s = self._weights.request_load(self._model, version)
            if wait_s > 0:
                self._next_load_at = now + wait_s
                return
            if self._order(vm, OrderName.LOAD, version, lease):
                self._load_ordered[(vm.vm_id, version)] = now

    def set_default(self, version: str, lease: HeldLease) -> bool:
        """Orders engines that have the version to use it by default.

        Returns:
            Whether all engines use it, by their own reports or answers.
        """
        engines = self.engines()
        pending = [vm for vm in engines if not self._has_default(vm, version)]
        for vm in pending[:_ORDERS_PER_STEP]:
            if version not in self._loaded(vm):
                continue
            if self._order(vm, OrderName.SET_DEFAULT, version, lease):
                now = self._clock.monotonic()
                self._default_ordered[vm.vm_id] = (version, now)
        return all(self._has_default(vm, version) for vm in engines)

    def unload(self, version: str, lease: HeldLease) -> None:
        """Orders engines to unload a version."""
        having = [
            vm
            for vm in self.engines()
            if version in self._loaded(vm)
            and self._states[vm.vm_id].default != version
        ]
        for vm in having[:_ORDERS_PER_STEP]:
            self._order(vm, OrderName.UNLOAD, version, lease)

    def _loaded(self, vm: VM) -> Iterable[str]:
        state = self._states.get(vm.vm_id)
        return state.versions if state else ()

    def _has_default(self, vm: VM, version: str) -> bool:
        state = self._states.get(vm.vm_id)
        version_ordered, ordered_at = self._default_ordered.get(
            vm.vm_id, ("", float("-inf"))
        )
        # An older report shows what was before the order, which may be the
        # wanted version by chance.
        if state is None or state.read_at <= ordered_at + _REPORT_LAG_S:
            return version_ordered == version
        return state.default == version

    def _order(
        self, vm: VM, name: OrderName, version: str, lease: HeldLease
    ) -> bool:
        order = Order(name, self._model, version)
        return self._sender.send(vm, order, lease) is OrderResult.APPLIED


MakeModelVersions = Callable[[str], ModelVersions]
