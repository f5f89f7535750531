"""Moves the traffic of a service to a new version by a deadline.

Every node splits its own requests between the two versions, and stops using
the new one as soon as the answers received by all nodes show that it is bad.
The node that holds a lease in the store writes the state that the operator
sees. That write is conditional on the lease's row, so a holder that was paused
can't overwrite the state written by its successor.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from tanagerport.exceptions import PlatformError, StoreConflictError
from tanagerport.gateway.answer_history import AnswerHistory
from tanagerport.gateway.canary_budget import (
    CanaryBudget,
    CanaryLimits,
    DispatchCounts,
)
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import RolloutOrder, UpstreamRecord
from tanagerport.gateway.rollout_lease import (
    TABLE,
    RolloutLease,
    RolloutState,
    decode_lease,
    encode_lease,
)
from tanagerport.gateway.rollout_progress import Rollout
from tanagerport.gateway.rollout_report import RolloutReport, make_report
from tanagerport.gateway.table_store import Row, RowWrite, TableStore
from tanagerport.gateway.version_evidence import Evidence, Verdict
from tanagerport.gateway.version_standing import VersionStanding

_LEASE_DURATION_S = 4.0
_UPDATE_INTERVAL_S = 1.0


class RolloutStatusEncoder(Protocol):
    """Encodes the state of a rollout as the row that the operator reads."""

    def rollout_status(
        self, order: RolloutOrder, state: RolloutState
    ) -> RowWrite:
        """Returns the write that stores a state."""


class RolloutController:
    """Controls the rollouts of all services on one node.

    Args:
        node: Name of this node.
        store: Client of the store.
        status_encoder: Encodes the rows that the operator reads.
        limits: Limits on the traffic of a version that is not known to be good.
        count_nodes: Returns the number of nodes that share the slack.
        is_idle: Returns whether an upstream has no request in progress.
        find_upstreams: Returns the upstreams of a service.
        log: Structured log.
        now: Monotonic clock, in seconds.
        is_ejected: Returns whether an upstream is out of use for its failures.
    """

    def __init__(
        self,
        node: str,
        store: TableStore,
        status_encoder: RolloutStatusEncoder,
        limits: CanaryLimits,
        count_nodes: Callable[[], int],
        is_idle: Callable[[str], bool],
        find_upstreams: Callable[[str], Sequence[UpstreamRecord]],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
        is_ejected: Callable[[str], bool] = lambda upstream_id: False,
    ) -> None:
        self._is_ejected = is_ejected
        self._node = node
        self._store = store
        self._status_encoder = status_encoder
        self._limits = limits
        self._count_nodes = count_nodes
        self._is_idle = is_idle
        self._find_upstreams = find_upstreams
        self._log = log
        self._now = now
        self._rollouts: dict[str, Rollout] = {}
        self._history = AnswerHistory()
        self._standing = VersionStanding()
        self._has_new_order = asyncio.Event()

    def apply_order(self, order: RolloutOrder) -> None:
        """Starts a rollout that the operator ordered."""
        known = self._rollouts.get(order.service)
        now_s = self._store.time_s()
        if known is not None:
            if not order.is_newer_than(known.order):
                return
            if known.is_ordered_by(order, now_s):
                known.order = order
                return
            self._standing.record_replaced(known)
        replaced = () if known is None else known.in_use
        rollout = Rollout(
            order,
            order.row_version,
            # Zero before the first response of the store.
            now_s or None,
            Evidence(
                self._history.answers_of(
                    order.service,
                    lambda version: self._standing.is_replaced(
                        order, replaced, version
                    ),
                )
            ),
            CanaryBudget(self._limits, self._count_nodes),
            replaced=replaced,
            followed_s=0.0 if known is None else known.started_s or 0.0,
        )
        self._rollouts[order.service] = rollout
        self._has_new_order.set()
        self._log.info(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            is_return=rollout.is_return,
            replaced=list(replaced),
            untrusted=list(self._standing.untrusted(order.service)),
        )

    def select_upstreams(
        self,
        service: str,
        request_id: str,
        upstreams: Sequence[UpstreamRecord],
    ) -> Sequence[UpstreamRecord]:
        """Returns the upstreams that a request may be sent to.

        It is empty if the request has to wait: the old version can't be reached
        and the new one may not get more requests.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return upstreams
        version = rollout.order.version
        new = [
            upstream for upstream in upstreams if upstream.version == version
        ]
        old = self._standing.find_old(rollout, upstreams)
        self._note_old_version(rollout, old)
        if rollout.state is RolloutState.REVERTED:
            return old or self._standing.find_stand_ins(rollout, upstreams)
        if rollout.state is RolloutState.COMPLETED or rollout.is_return:
            return (
                new or old or self._standing.find_stand_ins(rollout, upstreams)
            )
        if old and not rollout.is_confirmed:
            # The order may be an old one that was reverted. Until the state
            # is read from the store, requests go to the old version.
            return old
        if new and rollout.takes_new_version(
            request_id,
            not all(self._is_ejected(upstream.upstream_id) for upstream in old),
            self._limits.share,
            self._store.time_s(),
            self._now(),
        ):
            return new
        return old

    def _note_old_version(
        self, rollout: Rollout, old: Sequence[UpstreamRecord]
    ) -> None:
        if old:
            rollout.old_version = old[0].version
        if (not old) is rollout.has_lost_old_version:
            return
        rollout.has_lost_old_version = not old
        self._log.info(
            "old_version_regained" if old else "old_version_lost",
            service=rollout.order.service,
            version=rollout.order.version,
            state=rollout.state.value,
            **_evidence_fields(rollout),
        )

    def old_version_upstreams(
        self, service: str, upstreams: Sequence[UpstreamRecord]
    ) -> list[UpstreamRecord]:
        """Returns the upstreams of the old version during a rollout."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.state is not RolloutState.IN_PROGRESS:
            return []
        return self._standing.find_old(rollout, upstreams)

    def lost_version(self, service: str) -> str | None:
        """Returns the old version during a rollout if its upstreams are gone.

        None if there is no rollout, or the old version was never known here.
        """
        rollout = self._rollouts.get(service)
        if (
            rollout is None
            or rollout.state is not RolloutState.IN_PROGRESS
            or not rollout.has_lost_old_version
        ):
            return None
        return rollout.old_version

    def record_answer(
        self,
        upstream: UpstreamRecord,
        route: str,
        has_failed: bool,
        is_slow: bool,
        has_answered: bool = True,
        is_repeat: bool = False,
    ) -> None:
        """Counts an answer, and reverts the rollout if the version is bad.

        Only the first answer to a request counts: what fails once often fails
        again, so that the answers would not be independent.

        Args:
            upstream: Upstream to which the request was sent.
            route: Route of the request.
            has_failed: Whether the answer is a failure, or missing.
            is_slow: Whether it was slow.
            has_answered: Whether the upstream gave a whole answer.
            is_repeat: Whether the request was sent to an upstream before.
        """
        rollout = self._rollouts.get(upstream.service)
        is_new = (
            rollout is not None and upstream.version == rollout.order.version
        )
        if not has_answered and rollout is not None and not is_new:
            # It may not have reached the upstream.
            rollout.budget.forget_dispatch(is_new)
        if is_repeat:
            return
        if not has_answered:
            self._history.record_unanswered(upstream.upstream_id, route)
            if is_new:
                # A version that never answers must not pass for good.
                self._record_evidence(upstream, route, has_failed, is_slow)
            return
        for failed_route in self._history.take_unanswered(upstream.upstream_id):
            self._history.record(upstream, failed_route, True, False)
            if not is_new:
                self._record_evidence(upstream, failed_route, True, False)
        self._history.record(upstream, route, has_failed, is_slow)
        self._record_evidence(upstream, route, has_failed, is_slow)

    def remove_upstream(self, upstream_id: str) -> None:
        """Forgets the unanswered requests of an upstream that is gone."""
        self._history.remove_upstream(upstream_id)

    def _record_evidence(
        self,
        upstream: UpstreamRecord,
        route: str,
        has_failed: bool,
        is_slow: bool,
    ) -> None:
        """Counts an answer for the comparison of the versions, if there is one.

        A rollout whose version turns out to be bad is reverted.
        """
        rollout = self._rollouts.get(upstream.service)
        if rollout is None or rollout.state is RolloutState.REVERTED:
            return
        is_new = upstream.version == rollout.order.version
        if not is_new and not self._standing.is_old(rollout, upstream):
            return
        rollout.evidence.record(route, is_new, has_failed, is_slow)
        if rollout.evidence.evaluate() is Verdict.BAD:
            self._revert(rollout, "comparison after an answer")

    def record_dispatch(self, upstream: UpstreamRecord) -> None:
        """Counts a request that was dispatched to an upstream."""
        rollout = self._rollouts.get(upstream.service)
        if rollout is not None:
            rollout.budget.record_dispatch(
                upstream.version == rollout.order.version
            )

    def record_unreached(self, upstream: UpstreamRecord) -> None:
        """Takes back a dispatch that did not reach its upstream."""
        rollout = self._rollouts.get(upstream.service)
        if rollout is not None:
            rollout.budget.forget_dispatch(
                upstream.version == rollout.order.version
            )

    def report(self) -> list[RolloutReport]:
        """Returns the reports that go to the other nodes."""
        return [
            make_report(service, rollout)
            for service, rollout in self._rollouts.items()
        ]

    def apply_report(self, node: str, reports: Sequence[RolloutReport]) -> None:
        """Applies the states and the evidence that another node reported."""
        for report in reports:
            rollout = self._rollouts.get(report.service)
            if (
                rollout is None
                or rollout.order_id != report.order
                or report.version not in ("", rollout.order.version)
            ):
                continue
            rollout.is_confirmed |= report.is_confirmed
            if not rollout.replaced:
                rollout.replaced = report.replaced
            if report.state == RolloutState.IN_PROGRESS:
                rollout.evidence.apply_report(
                    node, report.tallies, report.history
                )
                rollout.budget.apply_report(
                    node,
                    DispatchCounts(report.dispatches, report.new_dispatches),
                )
            if report.state == RolloutState.REVERTED:
                self._revert(rollout, f"report of {node}")
            elif rollout.state is RolloutState.IN_PROGRESS:
                if report.state == RolloutState.COMPLETED:
                    self._set_state(rollout, RolloutState.COMPLETED)
                elif rollout.evidence.evaluate() is Verdict.BAD:
                    self._revert(rollout, "comparison after a report")

    async def run(self) -> None:
        """Acquires or renews the leases of rollouts and writes their states."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._update_wait_s()):
                    await self._has_new_order.wait()
            # The state of an order is read at once, as the node may have been
            # restarted during its rollout or after its end. Leases are acquired
            # at random times, so that few nodes try it together.
            may_write = not self._has_new_order.is_set()
            self._has_new_order.clear()
            await self.update(may_write)

    def _update_wait_s(self) -> float:
        """Returns the seconds until the next update.

        The last phases of a short rollout are shorter than the interval.
        """
        now_s = self._store.time_s()
        return min(
            _UPDATE_INTERVAL_S * random.uniform(0.7, 1.3),
            *(
                rollout.next_phase_s(now_s) + random.uniform(0.02, 0.1)
                for rollout in self._rollouts.values()
                if rollout.state is RolloutState.IN_PROGRESS
            ),
            _UPDATE_INTERVAL_S * 1.3,
        )

    async def update(self, may_write: bool = True) -> None:
        """Reads the states of all rollouts, and writes those of own leases.

        Args:
            may_write: Whether leases may be acquired and renewed.
        """
        for rollout in list(self._rollouts.values()):
            if may_write:
                rollout.evidence.add_snapshot()
                rollout.note_verdict(self._now())
            try:
                await self._update(rollout, may_write)
            except StoreConflictError:
                # Another node acquired the lease or changed the state.
                continue
            except PlatformError as error:
                self._log.debug("rollout_update_failed", error=str(error))

    async def _update(self, rollout: Rollout, may_write: bool) -> None:
        row = await self._read_lease_row(rollout.order)
        now_s = self._store.time_s()
        if rollout.started_s is None:
            rollout.started_s = now_s or None
        lease = None if row is None or row.value is None else decode_lease(row)
        if lease is not None and rollout.is_leased_by(lease, now_s):
            rollout.order_id = lease.order_version
            rollout.started_s = lease.started_s
            rollout.is_confirmed = True
            self._standing.apply_lease(rollout, lease)
            rollout.budget.apply_stored(
                DispatchCounts(lease.dispatches, lease.new_dispatches)
            )
            if lease.state is not RolloutState.IN_PROGRESS:
                self._set_state(rollout, lease.state)
                return
            if (
                lease.holder != self._node
                and lease.expires_s > now_s
                and rollout.state is RolloutState.IN_PROGRESS
            ):
                # A result, in contrast, is written by any node: the holder may
                # not have heard of it.
                return
        elif lease is not None:
            self._standing.apply_earlier_lease(rollout, lease)
        if not may_write or rollout.started_s is None:
            return
        state = rollout.next_state(
            now_s,
            self._now(),
            self._has_new_upstreams(rollout),
            self._is_old_version_idle(rollout),
        )
        self._standing.note_versions_in_use(
            rollout, self._find_upstreams(rollout.order.service)
        )
        known = rollout.budget.known
        new = RolloutLease(
            rollout.order_id,
            self._node,
            now_s + _LEASE_DURATION_S,
            rollout.started_s,
            state,
            rollout.order.version,
            known.total,
            known.new,
            rollout.order.row_version,
            rollout.started_s + rollout.order.duration_s,
            list(self._standing.untrusted(rollout.order.service)),
            list(rollout.replaced),
        )
        await self._store.transact(
            [
                RowWrite(
                    TABLE,
                    rollout.order.service,
                    encode_lease(new),
                    0 if row is None else row.version,
                    None if row is None else row.era,
                ),
                self._status_encoder.rollout_status(rollout.order, state),
            ]
        )
        rollout.is_confirmed = True
        self._set_state(rollout, state)

    async def _read_lease_row(self, order: RolloutOrder) -> Row | None:
        rows = await self._store.read(TABLE)
        return next(
            (row for row in rows.rows if row.key == order.service), None
        )

    def _has_new_upstreams(self, rollout: Rollout) -> bool:
        return any(
            upstream.version == rollout.order.version
            for upstream in self._find_upstreams(rollout.order.service)
        )

    def _is_old_version_idle(self, rollout: Rollout) -> bool:
        return all(
            self._is_idle(upstream.upstream_id)
            for upstream in self._find_upstreams(rollout.order.service)
            if self._standing.is_old(rollout, upstream)
        )

    def _set_state(self, rollout: Rollout, state: RolloutState) -> None:
        if state is RolloutState.COMPLETED:
            self._standing.record_completed(
                rollout.order.service, rollout.order.version
            )
        if rollout.state is not state:
            rollout.state = state
            self._log.info(
                "rollout_ended",
                service=rollout.order.service,
                version=rollout.order.version,
                state=state.value,
                **_evidence_fields(rollout),
            )

    def _revert(self, rollout: Rollout, reason: str) -> None:
        if rollout.state is RolloutState.IN_PROGRESS:
            rollout.state = RolloutState.REVERTED
            self._log.warning(
                "version_bad",
                service=rollout.order.service,
                version=rollout.order.version,
                reason=reason,
                **_evidence_fields(rollout),
            )


def _evidence_fields(rollout: Rollout) -> dict[str, object]:
    """Returns the log fields that explain a decision on a rollout."""
    known = rollout.budget.known
    return {
        "verdict": rollout.evidence.evaluate().name.lower(),
        "tallies": rollout.evidence.report(),
        "dispatches": known.total,
        "new_dispatches": known.new,
    }
