"""Rollout controller: moves models to new versions by their deadlines."""

import asyncio
import dataclasses
import secrets
from collections.abc import Callable, Mapping
from typing import Protocol

import structlog

from tanagerport.clock import Clock
from tanagerport.config_records import Acceptance, ConfigChange
from tanagerport.engine_versions import HttpEngineReader, ModelVersions
from tanagerport.evidence import EvidencePool, EvidenceReporter
from tanagerport.exceptions import (
    DocumentError,
    LeaseLostError,
    PlatformError,
    TanagerportError,
)
from tanagerport.interfaces import MembershipView
from tanagerport.leases import Lease, LeaseManager
from tanagerport.model import FINAL_MOVE_STATES, MoveState, VersionMove
from tanagerport.orders import ORDER_MARGIN_S, OrderSender
from tanagerport.platform_api import TableStore, WeightStore
from tanagerport.rendezvous import rendezvous_rank
from tanagerport.rollout_phases import Situation, decide
from tanagerport.version_policy import KEEP_OLD_S, MoveVersionPolicy

_STEP_S = 0.1  # reads of engines and evidence keep to longer intervals
# The lease is renewed when this part of it is over.
_RENEW_PART = 1 / 3
# Nodes that try to get a model's lease: 3 nodes for 21 models, each once in a
# tenth of a lease of 10 s, cost the store 63 reads a second.
_CANDIDATES = 3
_ACQUIRE_PART = 0.1
# Between steps after a rollout's end, when only new engines need orders.
_SETTLED_STEP_S = 2.0

_log = structlog.get_logger(__name__)


class MoverConfiguration(Protocol):
    """What the controller needs of the configuration."""

    @property
    def moves(self) -> Mapping[str, VersionMove]:
        """Latest rollout of each model."""

    @property
    def convictions(self) -> Mapping[tuple[str, str], str]:
        """Reason by model and version that is known to be bad."""

    def add_conviction(self, model: str, version: str, reason: str) -> None:
        """Records a bad version at once and spreads it."""

    def apply(
        self, change: ConfigChange, operator: str, operation_id: str
    ) -> Acceptance:
        """Makes a change durable."""


@dataclasses.dataclass(frozen=True)
class MoverSettings:
    """Settings of the rollout controller.

    Attributes:
        lease_s: Lifetime of the lease.
        continue_when_missed: Whether a version that passed the canary phase
            gets all traffic when the deadline passes.
        unload_after_s: Seconds after a rollout's end until the version that
            is no longer used is unloaded.
    """

    lease_s: float = 10.0
    continue_when_missed: bool = True
    unload_after_s: float = KEEP_OLD_S

    @property
    def margin_s(self) -> float:
        """Time the lease must still hold for an order or a write."""
        return min(ORDER_MARGIN_S, self.lease_s / 2)


class _ModelRun:
    """What this node knows of one model's rollout, none of it durable."""

    def __init__(self, versions: ModelVersions) -> None:
        self.versions = versions
        self.lease: Lease | None = None
        self.pool: EvidencePool | None = None
        self.phase: tuple[MoveState, float] | None = None
        self.since = 0.0
        self.samples_then = 0
        self.next_step_at = float("-inf")

    def drop_lease(self) -> None:
        """Forgets what was known under a lease that is lost."""
        self.lease = None
        self.phase = None


class VersionMover:
    """Moves models to new versions while it holds their leases.

    `step` is called in turn by one task; each step reads, decides and writes
    a bounded amount, and every failure of a platform service only ends the
    step. All durable state is in the record of the rollout, so that another
    node can go on from it.

    Args:
        configuration: Rollouts and bad versions.
        leases: Grants one lease for each model.
        table: Table service, for the evidence.
        membership: Nodes, which decides who tries to get a lease.
        make_versions: Makes the view of a model's engines.
        node_id: Name of this node.
        clock: Source of time.
        settings: Settings of the controller.
    """

    def __init__(
        self,
        configuration: MoverConfiguration,
        leases: LeaseManager,
        table: TableStore,
        membership: MembershipView,
        make_versions: Callable[[str], ModelVersions],
        node_id: str,
        clock: Clock,
        settings: MoverSettings,
    ) -> None:
        self._configuration = configuration
        self._leases = leases
        self._table = table
        self._membership = membership
        self._make_versions = make_versions
        self._node_id = node_id
        self._clock = clock
        self._settings = settings
        self._runs: dict[str, _ModelRun] = {}

    def step(self) -> None:
        """Advances all rollouts as far as is possible now."""
        for model, move in list(self._configuration.moves.items()):
            run = self._run(model)
            if self._clock.monotonic() < run.next_step_at:
                continue
            try:
                self._step_model(run, move)
            except LeaseLostError as error:
                _log.warning(
                    "rollout_lease_lost", model=model, error=str(error)
                )
                run.drop_lease()
            except (PlatformError, DocumentError) as error:
                _log.warning("rollout_waits", model=model, error=str(error))
            except TanagerportError as error:
                # Another node or an operator changed the record first; the
                # next step reads it.
                _log.info("rollout_conflict", model=model, error=str(error))

    def release(self) -> None:
        """Frees all leases, so that another node need not wait."""
        for run in self._runs.values():
            if run.lease is not None:
                self._leases.release(run.lease)
                run.drop_lease()

    def _run(self, model: str) -> _ModelRun:
        run = self._runs.get(model)
        if run is None:
            run = _ModelRun(self._make_versions(model))
            self._runs[model] = run
        return run

    def _step_model(self, run: _ModelRun, move: VersionMove) -> None:
        if move.state in FINAL_MOVE_STATES and self._is_settled(move):
            self._give_up(run)
            return
        lease = self._hold(run, move.model)
        if lease is None:
            return
        run.versions.refresh()
        if move.state not in FINAL_MOVE_STATES:
            move = self._claim(move, lease)
            move = self._advance(run, move, lease)
        self._order(run, move, lease)

    def _is_settled(self, move: VersionMove) -> bool:
        """Returns whether nothing is left to do after the end.

        Engines that join later need the version in use, so the controller
        keeps looking after them until the other version is unloaded.
        """
        ended = move.ended or 0.0
        return self._clock.time() > ended + 2 * self._settings.unload_after_s

    def _give_up(self, run: _ModelRun) -> None:
        if run.lease is not None:
            self._leases.release(run.lease)
            run.drop_lease()

    def _hold(self, run: _ModelRun, model: str) -> Lease | None:
        lease_s = self._settings.lease_s
        if run.lease is None:
            run.next_step_at = self._clock.monotonic() + _ACQUIRE_PART * lease_s
            if not self._is_candidate(model):
                return None
            run.lease = self._leases.acquire(
                f"mover/{model}", self._node_id, lease_s
            )
            if run.lease is not None:
                run.next_step_at = float("-inf")
        elif not run.lease.is_safe((1 - _RENEW_PART) * lease_s):
            try:
                run.lease = self._leases.renew(run.lease)
            except LeaseLostError:
                raise
            except PlatformError as error:
                _log.warning("lease_not_renewed", model=model, error=str(error))
        lease = run.lease
        if lease is None or not lease.is_safe(self._settings.margin_s):
            return None
        return lease

    def _is_candidate(self, model: str) -> bool:
        nodes = [view.node_id for view in self._membership.live_nodes()]
        return (
            len(nodes) <= _CANDIDATES
            or self._node_id in rendezvous_rank(model, nodes)[:_CANDIDATES]
        )

    def _claim(self, move: VersionMove, lease: Lease) -> VersionMove:
        """Writes the own token, so that an older holder's writes conflict."""
        if move.fencing_token >= lease.token:
            return move
        return self._save(move, lease)

    def _advance(
        self, run: _ModelRun, move: VersionMove, lease: Lease
    ) -> VersionMove:
        pool = self._pool(run, move)
        if pool.verdict is not None:
            self._configuration.add_conviction(
                move.model, move.new_version, pool.verdict.reason
            )
        self._note_phase(run, move, pool)
        decided = decide(move, self._situation(run, move, pool))
        if decided == move:
            return move
        saved = self._save(decided, lease)
        self._note_phase(run, saved, pool)
        if saved.state in FINAL_MOVE_STATES:
            pool.delete()
        _log.info(
            "rollout_changed",
            model=saved.model,
            version=saved.new_version,
            state=saved.state.value,
            share=saved.share,
            reason=saved.reason,
        )
        return saved

    def _pool(self, run: _ModelRun, move: VersionMove) -> EvidencePool:
        if run.pool is None or not run.pool.matches(move):
            run.pool = EvidencePool(self._table, move, self._clock)
        run.pool.refresh()
        return run.pool

    def _note_phase(
        self, run: _ModelRun, move: VersionMove, pool: EvidencePool
    ) -> None:
        phase = (move.state, move.share)
        if run.phase != phase:
            run.phase = phase
            run.since = self._clock.time()
            run.samples_then = pool.samples

    def _situation(
        self, run: _ModelRun, move: VersionMove, pool: EvidencePool
    ) -> Situation:
        engines = run.versions.engines()
        missing = run.versions.without(move.new_version)
        return Situation(
            now=self._clock.time(),
            conviction=self._configuration.convictions.get(
                (move.model, move.new_version)
            ),
            loaded=len(missing) < len(engines),
            missing=[vm.vm_id for vm in missing],
            upstream_ids=[vm.vm_id for vm in engines],
            node_ids=[view.node_id for view in self._membership.live_nodes()],
            pool=pool,
            since=run.since,
            samples_then=run.samples_then,
            continue_when_missed=self._settings.continue_when_missed,
        )

    def _save(self, move: VersionMove, lease: Lease) -> VersionMove:
        if not lease.is_safe(self._settings.margin_s):
            raise LeaseLostError(f"lease {lease.name!r} ends too soon to write")
        move = dataclasses.replace(move, fencing_token=lease.token)
        self._configuration.apply(
            ConfigChange(moves=(move,)),
            self._node_id,
            f"move-{secrets.token_hex(8)}",
        )
        return move

    def _order(self, run: _ModelRun, move: VersionMove, lease: Lease) -> None:
        versions = run.versions
        if move.state in (MoveState.LOADING, MoveState.CANARY, MoveState.RAMP):
            versions.load(move.new_version, lease)
        elif move.state is MoveState.FULL:
            versions.load(move.new_version, lease)
            versions.set_default(move.new_version, lease)
        else:
            self._order_after_end(run, move, lease)

    def _order_after_end(
        self, run: _ModelRun, move: VersionMove, lease: Lease
    ) -> None:
        used, unused = used_versions(move, self._configuration.convictions)
        run.versions.load(used, lease)
        is_default = run.versions.set_default(used, lease)
        unload_at = (move.ended or 0.0) + self._settings.unload_after_s
        if not is_default:
            return
        run.next_step_at = self._clock.monotonic() + min(
            _SETTLED_STEP_S, self._settings.lease_s / 4
        )
        if self._clock.time() >= unload_at:
            run.versions.unload(unused, lease)


def used_versions(
    move: VersionMove, convictions: Mapping[tuple[str, str], str]
) -> tuple[str, str]:
    """Returns the version in use after a rollout and the other one."""
    is_convicted = (move.model, move.new_version) in convictions
    if move.share >= 1 and not is_convicted:
        return move.new_version, move.old_version
    return move.old_version, move.new_version


class MoverTask:
    """Supervised task that runs the controller and reports evidence.

    Args:
        mover: The controller.
        reporter: Writes this node's evidence.
        clock: Source of time.
    """

    def __init__(
        self, mover: VersionMover, reporter: EvidenceReporter, clock: Clock
    ) -> None:
        self._mover = mover
        self._reporter = reporter
        self._clock = clock

    async def run(self) -> None:
        """Task that steps until it is cancelled."""
        while True:
            await asyncio.to_thread(self._mover.step)
            await asyncio.sleep(_STEP_S)

    async def run_reporter(self) -> None:
        """Task that writes this node's evidence until it is cancelled."""
        while True:
            await asyncio.to_thread(self.report)
            await asyncio.sleep(self._reporter.interval_s)

    def report(self) -> None:
        """Writes this node's evidence; a store outage only delays it."""
        try:
            self._reporter.report()
        except PlatformError as error:
            _log.info("evidence_not_written", error=str(error))

    def stop(self) -> None:
        """Frees the leases; call it after the tasks have ended."""
        self._mover.release()


def create_version_mover(
    configuration: MoverConfiguration,
    policy: MoveVersionPolicy,
    membership: MembershipView,
    leases: LeaseManager,
    table: TableStore,
    weights: WeightStore,
    node_id: str,
    clock: Clock,
    settings: MoverSettings,
) -> MoverTask:
    """Builds the rollout controller of a node.

    Run both `run` and `run_reporter` of the result as supervised tasks on
    every node.
    """
    reader = HttpEngineReader(clock)
    sender = OrderSender(margin_s=settings.margin_s)

    def make_versions(model: str) -> ModelVersions:
        return ModelVersions(model, membership, reader, weights, sender, clock)

    mover = VersionMover(
        configuration,
        leases,
        table,
        membership,
        make_versions,
        node_id,
        clock,
        settings,
    )
    reporter = EvidenceReporter(
        table,
        node_id,
        policy,
        lambda: configuration.moves,
        lambda: len(membership.nodes()),
        clock,
    )
    return MoverTask(mover, reporter, clock)
