"""Choice of a model version for each request, and verdicts on versions."""

import secrets
import threading
from collections.abc import Mapping, Sequence

import structlog

from tanagerport.canaries import CANARY_SHARE, CanaryChooser, PooledView
from tanagerport.clock import Clock
from tanagerport.detection import Scope, Verdict, VersionMonitor
from tanagerport.evidence import NodeEvidence, make_node_evidence
from tanagerport.interfaces import (
    ConfigurationView,
    MembershipView,
    VersionSample,
)
from tanagerport.model import (
    FINAL_MOVE_STATES,
    MoveState,
    Request,
    UpstreamKind,
    VersionMove,
    VMState,
)
from tanagerport.reference_times import ReferenceTimes

# Seconds after the end of a rollout for which the old version stays loaded
# and the new one is still monitored.
KEEP_OLD_S = 300.0

# A zone of the planned size has 1,200 upstreams, too many to look through for
# each request.
_LOADED_CHECK_S = 0.25

_log = structlog.get_logger(__name__)


class _MoveTracker:
    """This node's share and monitor of one rollout."""

    def __init__(self, move: VersionMove, reference: ReferenceTimes) -> None:
        self.move = move
        self.monitor = VersionMonitor(move.new_version, reference)
        self.canaries = CanaryChooser(move.new_version)

    def record(
        self, sample: VersionSample, targets: tuple[float, float]
    ) -> None:
        self.canaries.record(
            Scope(sample.class_name, sample.upstream_id),
            sample.version == self.move.new_version,
        )
        self.monitor.record(sample, targets)


class MoveVersionPolicy:
    """Implements `VersionPolicy` for version rollouts.

    Args:
        configuration: Rollouts and bad versions.
        clock: Source of time.
        membership: Load reports of this zone's engines; without it every
            version counts as loaded.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        clock: Clock,
        membership: MembershipView | None = None,
    ) -> None:
        self._configuration = configuration
        self._clock = clock
        self._membership = membership
        self._instance = secrets.token_hex(8)
        self._lock = threading.Lock()
        self._trackers: dict[str, _MoveTracker] = {}
        self._references: dict[tuple[str, str], ReferenceTimes] = {}
        self._convicted: set[tuple[str, str]] = set()
        self._loaded: dict[tuple[str, str], tuple[float, bool]] = {}

    def choose_version(self, request: Request) -> str:
        """Returns the version to use; empty for the upstream's default."""
        model = request.work_class.model
        move = self._configuration.moves.get(model)
        if move is None or request.work_class.kind is not UpstreamKind.ENGINE:
            return ""
        if self._wants_new(request, move):
            return move.new_version
        return move.old_version

    def _wants_new(self, request: Request, move: VersionMove) -> bool:
        if self.is_convicted(move.model, move.new_version):
            return False
        # Engines load a version one after another and may join later.
        if not self._is_loaded(move.model, move.new_version):
            return False
        if move.state in FINAL_MOVE_STATES:
            return move.share >= 1
        share = move.share
        if move.state in (MoveState.LOADING, MoveState.CANARY):
            # The bound also holds if the record states more.
            share = min(share, CANARY_SHARE)
        now = self._clock.monotonic()
        with self._lock:
            canaries = self._tracker(move).canaries
            return share > 0 and canaries.choose(request, share, now)

    def _is_loaded(self, model: str, version: str) -> bool:
        """Returns whether an engine of this zone has loaded a version."""
        if self._membership is None:
            return True
        now = self._clock.monotonic()
        checked_at, is_loaded = self._loaded.get(
            (model, version), (float("-inf"), False)
        )
        if now - checked_at >= _LOADED_CHECK_S:
            is_loaded = self._find_loaded(self._membership, model, version)
            self._loaded[(model, version)] = (now, is_loaded)
        return is_loaded

    def _find_loaded(
        self, membership: MembershipView, model: str, version: str
    ) -> bool:
        return any(
            version in load.versions.get(model, ())
            for vm in membership.upstreams(membership.self_view.zone)
            if vm.state is VMState.LIVE
            and (load := membership.load(vm.vm_id)) is not None
        )

    def is_convicted(self, model: str, version: str) -> bool:
        """Returns whether the version must get no new work."""
        key = (model, version)
        return key in self._convicted or key in self._configuration.convictions

    def record(self, sample: VersionSample) -> None:
        """Takes the result of one dispatch."""
        move = self._configuration.moves.get(sample.model)
        verdict = None
        with self._lock:
            tracker = self._tracker(move) if move else None
            is_new = move is not None and sample.version == move.new_version
            if tracker is None or is_new:
                self._reference(sample.model, sample.version).add(sample)
            if tracker is not None:
                tracker.record(sample, self._targets(sample.class_name))
                verdict = tracker.monitor.verdict
        if verdict is not None and move is not None:
            self._convict(move, verdict)

    def preferred_upstreams(
        self, request: Request, version: str
    ) -> Sequence[str]:
        """Returns the upstreams that should serve a request, best first.

        While a rollout is at the canary share, the router should send the new
        version's requests to the first of these that has a free slot, so that
        every route is tested. Empty if the order does not matter.
        """
        move = self._configuration.moves.get(request.work_class.model)
        if (
            move is None
            or move.new_version != version
            or move.state is not MoveState.CANARY
        ):
            return ()
        with self._lock:
            canaries = self._tracker(move).canaries
            ranked = canaries.ranked_upstreams(request.work_class.name)
            target = canaries.target(request)
        others = [item for item in ranked if item != target]
        return [target, *others] if target else others

    def take_pooled(self, move: VersionMove, view: PooledView) -> None:
        """Takes what all nodes saw of a rollout."""
        with self._lock:
            self._tracker(move).canaries.take_pooled(view)

    def collect_evidence(self) -> Mapping[str, NodeEvidence]:
        """Returns this node's evidence of each running rollout by model."""
        result = {}
        for model, move in self._configuration.moves.items():
            if move.state in FINAL_MOVE_STATES:
                continue
            with self._lock:
                tracker = self._tracker(move)
                result[model] = make_node_evidence(
                    move,
                    self._instance,
                    tracker.canaries.chosen,
                    tracker.monitor.ungraded,
                    tracker.monitor.evidence,
                    tracker.monitor.traffic,
                )
        return result

    def samples_by_scope(self, model: str) -> Mapping[Scope, int]:
        """Returns this node's samples of the new version by scope."""
        with self._lock:
            tracker = self._trackers.get(model)
            if tracker is None:
                return {}
            evidence = tracker.monitor.evidence
            return {scope: item.samples for scope, item in evidence.items()}

    def _tracker(self, move: VersionMove) -> _MoveTracker:
        tracker = self._trackers.get(move.model)
        if tracker is None or (
            (tracker.move.new_version, tracker.move.started)
            != (move.new_version, move.started)
        ):
            tracker = _MoveTracker(move, self._reference_before(move))
            self._trackers[move.model] = tracker
        return tracker

    def _reference_before(self, move: VersionMove) -> ReferenceTimes:
        """Returns the old version's timings and drops those of others."""
        known = {
            version: times
            for (model, version), times in self._references.items()
            if model == move.model
        }
        for version in known:
            del self._references[(move.model, version)]
        # Before a first rollout requests name no version.
        return known.get(move.old_version) or known.get("") or ReferenceTimes()

    def _reference(self, model: str, version: str) -> ReferenceTimes:
        return self._references.setdefault((model, version), ReferenceTimes())

    def _targets(self, class_name: str) -> tuple[float, float]:
        work_class = self._configuration.classes.get(class_name)
        if work_class is None:
            return (0.0, 0.0)
        return (
            work_class.first_token_target_s,
            work_class.token_interval_target_s,
        )

    def _convict(self, move: VersionMove, verdict: Verdict) -> None:
        key = (move.model, move.new_version)
        if key in self._convicted:
            return
        if (
            move.ended is not None
            and self._clock.time() > move.ended + KEEP_OLD_S
        ):
            # The old version may be unloaded, so there is nothing to go
            # back to.
            return
        self._convicted.add(key)
        _log.warning(
            "version_convicted_here",
            model=move.model,
            version=move.new_version,
            reason=verdict.reason,
        )
        self._configuration.add_conviction(
            move.model, move.new_version, verdict.reason
        )


def create_version_policy(
    configuration: ConfigurationView,
    clock: Clock,
    membership: MembershipView | None = None,
) -> MoveVersionPolicy:
    """Builds the version policy of a node."""
    return MoveVersionPolicy(configuration, clock, membership)
