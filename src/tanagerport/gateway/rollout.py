"""Moves the traffic of a service to a new version by a deadline.

Every node deals its own requests between the versions and stops at once when
the pooled evidence is against the new one. The holder of a lease in the store
writes the state that the operator sees; the lease's row is a condition of that
write, so a holder that was paused can't write over its successor.
"""

import asyncio
import dataclasses
import enum
import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec
import xxhash

from tanagerport.exceptions import PlatformError, StoreConflictError
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import RolloutOrder, UpstreamRecord
from tanagerport.gateway.table_store import Row, RowWrite, TableStore
from tanagerport.gateway.version_evidence import Evidence, Tally, Verdict

TABLE = "tanagerport_rollout"
_LEASE_S = 4.0
_STEP_S = 1.0
# A holder stops writing this long before its lease ends.
_LEASE_MARGIN_S = 0.5
# Parts of the time until the deadline: up to the first only the canary share
# goes to the new version, from the second on all of it, so that long streams
# of the old version end in time, and at the third the move is closed.
_CANARY_PART = 0.5
_FULL_PART = 0.65
_CLOSE_PART = 0.92
# Part of the allowed canary share and slack that is used.
_SAFE_PART = 0.6


class RolloutState(enum.StrEnum):
    """State of a rollout."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


class RolloutStatusWriter(Protocol):
    """Makes the row that tells the operator the state of a rollout."""

    def rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RowWrite:
        """Returns the write of a state."""


@dataclasses.dataclass(frozen=True, slots=True)
class CanaryLimits:
    """Bounds of the traffic of a version that is not proved.

    Attributes:
        share: Most of the service's requests, over all nodes.
        slack: Requests beyond that share, over all nodes.
    """

    share: float = 0.1
    slack: float = 50.0


class _LeaseRow(msgspec.Struct, array_like=True, frozen=True):
    """Row of a rollout in the product's own table.

    Attributes:
        order: Store version of the operator's order.
        holder: Node that controls the rollout.
        until_s: End of its lease on the store's clock, in seconds.
        started_s: Start of the rollout on that clock.
        state: State of the rollout.
    """

    order: int
    holder: str
    until_s: float
    started_s: float
    state: RolloutState


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_LeaseRow).decode


@dataclasses.dataclass(slots=True)
class _Rollout:
    """What this node knows of one rollout."""

    order: RolloutOrder
    started_s: float
    evidence: Evidence = dataclasses.field(default_factory=Evidence)
    state: RolloutState = RolloutState.IN_PROGRESS
    is_known: bool = False
    sent: int = 0
    sent_to_new: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """What a node tells the others of a rollout.

    Attributes:
        service: Service that moves.
        order: Store version of the operator's order.
        state: State as this node knows it.
        tallies: Answers that this node has seen.
    """

    service: str
    order: int
    state: str
    tallies: list[Tally]


class RolloutController:
    """Rollouts of all services, as seen by one node.

    Args:
        node: Name of this node.
        store: Client of the store.
        status_writer: Makes the rows that the operator reads.
        limits: Bounds of the traffic of a version that is not proved.
        count_nodes: Returns the nodes that share the slack.
        is_idle: Whether no request is in progress at an upstream.
        find_upstreams: Returns the upstreams of a service.
        log: Log of decisions.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        node: str,
        store: TableStore,
        status_writer: RolloutStatusWriter,
        limits: CanaryLimits,
        count_nodes: Callable[[], int],
        is_idle: Callable[[str], bool],
        find_upstreams: Callable[[str], Sequence[UpstreamRecord]],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._store = store
        self._status_writer = status_writer
        self._limits = limits
        self._count_nodes = count_nodes
        self._is_idle = is_idle
        self._find_upstreams = find_upstreams
        self._log = log
        self._now = now
        self._rollouts: dict[str, _Rollout] = {}

    def apply_order(self, order: RolloutOrder) -> None:
        """Starts a rollout that the operator ordered."""
        known = self._rollouts.get(order.service)
        if known is not None and known.order.order >= order.order:
            return
        self._rollouts[order.service] = _Rollout(order, self._store.time_s())
        self._log.info(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
        )

    def select_upstreams(
        self,
        service: str,
        request_id: str,
        upstreams: Sequence[UpstreamRecord],
    ) -> Sequence[UpstreamRecord]:
        """Returns the upstreams whose version a request may go to."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return upstreams
        version = rollout.order.version
        new = [entry for entry in upstreams if entry.version == version]
        old = [entry for entry in upstreams if entry.version != version]
        if rollout.state is RolloutState.REVERTED:
            return old
        if not rollout.is_known:
            # The order may be an old one whose version was found bad.
            return old or new
        if rollout.state is RolloutState.COMPLETED or not old:
            return new or old
        point = xxhash.xxh32_intdigest(request_id) / 2**32
        return new if new and point < self.new_version_share(service) else old

    def new_version_share(self, service: str) -> float:
        """Returns the share of requests that go to the new version."""
        rollout = self._rollouts[service]
        if rollout.state is not RolloutState.IN_PROGRESS:
            return float(rollout.state is RolloutState.COMPLETED)
        part = self._elapsed_part(rollout)
        if part >= _CANARY_PART:
            # With little traffic nothing proves the version good; what is
            # not bad by then moves, so that the deadline is met.
            is_good = rollout.evidence.evaluate() is Verdict.GOOD
            if is_good or part >= _FULL_PART:
                ramp = (part - _CANARY_PART) / (_FULL_PART - _CANARY_PART)
                return min(max(ramp, self._limits.share * _SAFE_PART), 1.0)
        slack = self._limits.slack * _SAFE_PART / max(self._count_nodes(), 1)
        allowed = self._limits.share * rollout.sent + slack
        if rollout.sent_to_new >= allowed:
            return 0.0
        return self._limits.share * _SAFE_PART

    def old_version_upstreams(
        self, service: str, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Returns those of the old version while a new one is on trial."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state is not RolloutState.IN_PROGRESS:
            return []
        return [
            entry
            for entry in upstreams
            if entry.version != rollout.order.version
        ]

    def record_answer(
        self,
        upstream: UpstreamRecord,
        route: str,
        has_failed: bool,
        is_slow: bool,
    ) -> None:
        """Counts an answer as evidence."""
        rollout = self._rollouts.get(upstream.service)
        if rollout is None or rollout.state is RolloutState.REVERTED:
            return
        is_new = upstream.version == rollout.order.version
        rollout.evidence.record(route, is_new, has_failed, is_slow)
        if rollout.evidence.evaluate() is Verdict.BAD:
            self._revert(rollout, "evidence")

    def record_dispatch(self, upstream: UpstreamRecord) -> None:
        """Counts a request that is sent to an upstream."""
        rollout = self._rollouts.get(upstream.service)
        if rollout is not None:
            rollout.sent += 1
            rollout.sent_to_new += upstream.version == rollout.order.version

    def report(self) -> list[RolloutReport]:
        """Returns what the other nodes need to know."""
        return [
            RolloutReport(
                service,
                rollout.order.order,
                rollout.state.value,
                rollout.evidence.report(),
            )
            for service, rollout in self._rollouts.items()
        ]

    def apply_report(self, node: str, reports: Sequence[RolloutReport]) -> None:
        """Pools the evidence of another node."""
        for report in reports:
            rollout = self._rollouts.get(report.service)
            if rollout is None or rollout.order.order != report.order:
                continue
            rollout.evidence.apply_report(node, report.tallies)
            if report.state == RolloutState.REVERTED:
                self._revert(rollout, f"report of {node}")
            elif rollout.state is RolloutState.IN_PROGRESS:
                if report.state == RolloutState.COMPLETED:
                    rollout.state = RolloutState.COMPLETED
                elif rollout.evidence.evaluate() is Verdict.BAD:
                    self._revert(rollout, "pooled evidence")

    async def run(self) -> None:
        """Controls rollouts whose lease this node gets."""
        while True:
            await asyncio.sleep(_STEP_S * random.uniform(0.7, 1.3))
            for rollout in list(self._rollouts.values()):
                rollout.evidence.add_snapshot()
                try:
                    await self._step(rollout)
                except StoreConflictError:
                    # Another node got the lease or changed the state.
                    continue
                except PlatformError as error:
                    self._log.debug("rollout_step_failed", error=str(error))

    async def _step(self, rollout: _Rollout) -> None:
        row = await self._read(rollout.order)
        now_s = self._store.time_s()
        lease = None if row is None or row.value is None else _read_row(row)
        if lease is not None and lease.order == rollout.order.order:
            rollout.started_s = lease.started_s
            rollout.is_known = True
            if lease.state is not RolloutState.IN_PROGRESS:
                self._adopt(rollout, lease.state)
                return
            if lease.holder != self._node and lease.until_s > now_s:
                return
        state = self._next_state(rollout)
        new = _LeaseRow(
            rollout.order.order,
            self._node,
            now_s + _LEASE_S,
            rollout.started_s,
            state,
        )
        await self._store.transact(
            [
                RowWrite(
                    TABLE,
                    rollout.order.service,
                    _encode(new),
                    0 if row is None else row.version,
                ),
                self._status_writer.rollout_status(rollout.order, state),
            ]
        )
        rollout.is_known = True
        self._adopt(rollout, state)

    async def _read(self, order: RolloutOrder) -> Row | None:
        rows = await self._store.read(TABLE)
        return next(
            (row for row in rows.rows if row.key == order.service), None
        )

    def _next_state(self, rollout: _Rollout) -> RolloutState:
        if rollout.state is not RolloutState.IN_PROGRESS:
            return rollout.state
        part = self._elapsed_part(rollout)
        if part < _FULL_PART:
            return RolloutState.IN_PROGRESS
        if part >= _CLOSE_PART or self._is_old_idle(rollout):
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS

    def _is_old_idle(self, rollout: _Rollout) -> bool:
        return all(
            self._is_idle(upstream.upstream_id)
            for upstream in self._find_upstreams(rollout.order.service)
            if upstream.version != rollout.order.version
        )

    def _elapsed_part(self, rollout: _Rollout) -> float:
        elapsed_s = self._store.time_s() - rollout.started_s
        return elapsed_s / max(rollout.order.duration_s, _STEP_S)

    def _adopt(self, rollout: _Rollout, state: RolloutState) -> None:
        if rollout.state is not state:
            rollout.state = state
            self._log.info(
                "rollout_ended",
                service=rollout.order.service,
                version=rollout.order.version,
                state=state.value,
            )

    def _revert(self, rollout: _Rollout, reason: str) -> None:
        if rollout.state is RolloutState.IN_PROGRESS:
            rollout.state = RolloutState.REVERTED
            self._log.warning(
                "version_bad",
                service=rollout.order.service,
                version=rollout.order.version,
                reason=reason,
                tallies=rollout.evidence.report(),
            )


def _read_row(row: Row) -> _LeaseRow | None:
    try:
        return _decode(row.value or b"")
    except msgspec.DecodeError:
        # Written by another version of the product; its lease is void.
        return None
