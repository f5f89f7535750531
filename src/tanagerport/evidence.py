"""Evidence about a new version, pooled over nodes through the table service.

One node sees too few samples at the canary share. Log-likelihood ratios of
different samples add up, so each node writes its sums and the node that runs
the rollout adds them.
"""

import dataclasses
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Protocol

import msgspec

from tanagerport.canaries import PooledView
from tanagerport.clock import Clock
from tanagerport.detection import (
    MAX_FAILURE_SCORE,
    PASS_SCORE,
    WHOLE_VERSION,
    Scope,
    ScopeEvidence,
    ScoreChart,
    Verdict,
    make_verdict,
    scopes_of,
)
from tanagerport.model import VersionMove
from tanagerport.platform_api import TableStore, Write

EVIDENCE_PREFIX = "evidence/"
_SAME_EVENT_S = 0.5  # covers two reports of each node
# Keeps writes of 600 nodes at 60 a second.
_WRITES_PER_S = 60.0
_MIN_INTERVAL_S = 0.25
# With more nodes each one sees enough requests of its own, and reading all
# records on each of them would cost the store too much.
_MAX_POOLING_NODES = 16
# Spaces the scans of one rollout: 600 records every 5 s.
_RECORDS_PER_S = 120.0
_MIN_READ_INTERVAL_S = 0.2


class _RouteRow(msgspec.Struct, array_like=True, frozen=True):
    class_name: str
    upstream_id: str
    samples: int
    bad: int
    failure_sum: float
    success_sum: float
    slow_sum: float


class _TrafficRow(msgspec.Struct, array_like=True, frozen=True):
    class_name: str
    upstream_id: str
    requests: int


class NodeEvidence(msgspec.Struct, frozen=True):
    """What one node saw of a rollout.

    Attributes:
        new_version: Version under test.
        started: Start of the rollout, which identifies it.
        instance: Identity of the node's process.
        chosen: Requests chosen for the new version at the canary share.
        ungraded: Slow samples that wait for control samples.
        routes: Sums by route.
        traffic: Ended requests of both versions by route.
    """

    new_version: str
    started: float
    instance: str
    chosen: int
    ungraded: int
    routes: list[_RouteRow]
    traffic: list[_TrafficRow]


def make_node_evidence(
    move: VersionMove,
    instance: str,
    chosen: int,
    ungraded: int,
    evidence: Mapping[Scope, ScopeEvidence],
    traffic: Mapping[Scope, int],
) -> NodeEvidence:
    """Returns a node's evidence in the format of the store."""
    return NodeEvidence(
        move.new_version,
        move.started,
        instance,
        chosen,
        ungraded,
        [
            _RouteRow(
                scope.class_name,
                scope.upstream_id,
                item.samples,
                item.bad,
                round(item.failure_sum, 4),
                round(item.success_sum, 4),
                round(item.slow_sum, 4),
            )
            for scope, item in evidence.items()
            if scope.is_route
        ],
        [
            _TrafficRow(scope.class_name, scope.upstream_id, count)
            for scope, count in traffic.items()
        ],
    )


@dataclasses.dataclass(frozen=True)
class _Baseline:
    """Last sums that were taken from one process."""

    instance: str
    chosen: int
    ungraded: int
    routes: Mapping[Scope, ScopeEvidence]


class EvidencePool:
    """Sum of all nodes' evidence about one rollout.

    Args:
        table: Table service.
        move: The rollout.
        clock: Source of time.
    """

    def __init__(
        self, table: TableStore, move: VersionMove, clock: Clock
    ) -> None:
        self._clock = clock
        self._read_at = float("-inf")
        self._table = table
        self._model = move.model
        self._version = move.new_version
        self._started = move.started
        self._baselines: dict[str, _Baseline] = {}
        self._totals: dict[Scope, ScopeEvidence] = {}
        self._charts: dict[Scope, ScoreChart] = {}
        self._traffic: dict[tuple[str, str], Mapping[Scope, int]] = {}
        self._failed_at: dict[str, float] = {}
        self._verdict: Verdict | None = None

    @property
    def verdict(self) -> Verdict | None:
        """Verdict of the pooled evidence."""
        return self._verdict

    @property
    def samples(self) -> int:
        """Samples of the new version."""
        return self.evidence(WHOLE_VERSION).samples

    @property
    def requests(self) -> int:
        """Ended requests of both versions."""
        return sum(self.traffic().values())

    @property
    def ungraded(self) -> int:
        """Slow samples of all nodes that wait for control samples."""
        return sum(item.ungraded for item in self._baselines.values())

    def matches(self, move: VersionMove) -> bool:
        """Returns whether the pool is about this rollout."""
        return (self._version, self._started) == (
            move.new_version,
            move.started,
        )

    def evidence(self, scope: Scope) -> ScopeEvidence:
        """Returns the summed evidence of a scope."""
        return self._totals.get(scope, ScopeEvidence())

    def chart(self, scope: Scope) -> ScoreChart:
        """Returns the scores of a scope."""
        return self._charts.get(scope) or ScoreChart()

    def worst_score(self) -> float:
        """Returns the worst score of all scopes."""
        return max((item.worst for item in self._charts.values()), default=0.0)

    def traffic(
        self, node_ids: Collection[str] | None = None
    ) -> dict[Scope, int]:
        """Returns ended requests of both versions by route.

        Args:
            node_ids: Nodes whose requests count; None for all.
        """
        total: dict[Scope, int] = {}
        for (node_id, _), counts in self._traffic.items():
            if node_ids is not None and node_id not in node_ids:
                continue
            for scope, count in counts.items():
                total[scope] = total.get(scope, 0) + count
        return total

    def refresh(self) -> None:
        """Reads the nodes' evidence if the last read is old enough.

        Raises:
            StoreUnavailableError: The store can't be reached.
        """
        now = self._clock.monotonic()
        interval_s = max(
            _MIN_READ_INTERVAL_S, len(self._baselines) / _RECORDS_PER_S
        )
        if now - self._read_at < interval_s:
            return
        increments: dict[Scope, ScopeEvidence] = {}
        for record in self._table.scan(f"{EVIDENCE_PREFIX}{self._model}/"):
            item = msgspec.json.decode(record.value, type=NodeEvidence)
            is_current = (item.new_version, item.started) == (
                self._version,
                self._started,
            )
            if is_current:
                self._take(record.key, item, increments)
        self._merge_failures(increments, now)
        for route, increment in increments.items():
            self._add(route, increment)
        self._read_at = now

    def view(self, key: str) -> PooledView | None:
        """Returns the figures for the node with a record key."""
        keys = sorted(self._baselines)
        if key not in self._baselines:
            return None
        return PooledView(
            read_at=self._read_at,
            index=keys.index(key),
            nodes=len(keys),
            requests=self.requests,
            chosen=sum(item.chosen for item in self._baselines.values()),
            chosen_here=self._baselines[key].chosen,
            samples={
                route: self.evidence(route).samples for route in self.traffic()
            },
            suspect=frozenset(
                route
                for route, chart in self._charts.items()
                if route.is_route and chart.worst >= PASS_SCORE
            ),
        )

    def delete(self) -> None:
        """Deletes the evidence of a rollout that ended.

        Raises:
            PlatformError: The store can't be reached.
        """
        writes = [Write(key, None) for key in self._baselines]
        self._table.transact([], writes)

    def _take(
        self,
        key: str,
        item: NodeEvidence,
        increments: dict[Scope, ScopeEvidence],
    ) -> None:
        """Adds what a node saw since the last read to the increments."""
        routes = {
            Scope(row.class_name, row.upstream_id): ScopeEvidence(
                row.samples,
                row.bad,
                row.failure_sum,
                row.success_sum,
                row.slow_sum,
            )
            for row in item.routes
        }
        baseline = self._baselines.get(key)
        # A process that started again counts from 0.
        is_same = baseline is not None and baseline.instance == item.instance
        old = baseline.routes if baseline is not None and is_same else {}
        for route, evidence in routes.items():
            change = evidence.minus(old.get(route, ScopeEvidence()))
            increments.setdefault(route, ScopeEvidence()).add(change)
        self._baselines[key] = _Baseline(
            item.instance, item.chosen, item.ungraded, routes
        )
        node_id = key.rpartition("/")[2]
        self._traffic[(node_id, item.instance)] = {
            Scope(row.class_name, row.upstream_id): row.requests
            for row in item.traffic
        }

    def _merge_failures(
        self, increments: Mapping[Scope, ScopeEvidence], now: float
    ) -> None:
        """Counts failures on one upstream within a short time as one.

        When an engine dies, every node loses streams there.
        """
        by_size = sorted(
            increments.items(), key=lambda item: -item[1].failure_sum
        )
        for route, increment in by_size:
            if increment.failure_sum <= 0:
                continue
            last = self._failed_at.get(route.upstream_id, float("-inf"))
            if now - last < _SAME_EVENT_S:
                increment.failure_sum = 0.0
                continue
            self._failed_at[route.upstream_id] = now
            increment.failure_sum = min(
                increment.failure_sum, MAX_FAILURE_SCORE
            )

    def _add(self, route: Scope, increment: ScopeEvidence) -> None:
        if increment.samples <= 0:
            return
        for scope in scopes_of(route):
            total = self._totals.setdefault(scope, ScopeEvidence())
            total.add(increment)
            chart = self._charts.setdefault(scope, ScoreChart())
            chart.add(
                increment.failure_sum + increment.success_sum,
                increment.slow_sum,
            )
            if chart.is_convicted and self._verdict is None:
                self._verdict = make_verdict(scope, total, chart)


class EvidenceSource(Protocol):
    """What the reporter needs of the version policy."""

    def collect_evidence(self) -> Mapping[str, NodeEvidence]:
        """Returns this node's evidence of each running rollout by model."""

    def take_pooled(self, move: VersionMove, view: PooledView) -> None:
        """Takes what all nodes saw of a rollout."""


class EvidenceReporter:
    """Writes this node's evidence and reads that of a few nodes.

    Args:
        table: Table service.
        node_id: Name of this node.
        source: Has this node's evidence and takes the pooled figures.
        moves: Returns the latest rollout of each model.
        count_nodes: Returns the number of nodes, which spaces the writes.
        clock: Source of time.
    """

    def __init__(
        self,
        table: TableStore,
        node_id: str,
        source: EvidenceSource,
        moves: Callable[[], Mapping[str, VersionMove]],
        count_nodes: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._table = table
        self._node_id = node_id
        self._source = source
        self._moves = moves
        self._count_nodes = count_nodes
        self._clock = clock
        self._written: dict[str, NodeEvidence] = {}
        self._pools: dict[str, EvidencePool] = {}

    @property
    def interval_s(self) -> float:
        """Seconds between two reports."""
        return max(_MIN_INTERVAL_S, self._count_nodes() / _WRITES_PER_S)

    def report(self) -> None:
        """Writes the evidence that changed and reads the pooled figures.

        Raises:
            PlatformError: The store can't be reached.
        """
        moves = self._moves()
        for model, evidence in self._source.collect_evidence().items():
            key = f"{EVIDENCE_PREFIX}{model}/{self._node_id}"
            if self._written.get(model) != evidence:
                content = msgspec.json.encode(evidence)
                self._table.transact([], [Write(key, content)])
                self._written[model] = evidence
            move = moves.get(model)
            if move is not None and self._count_nodes() <= _MAX_POOLING_NODES:
                self._pool(move, key)

    def _pool(self, move: VersionMove, key: str) -> None:
        pool = self._pools.get(move.model)
        if pool is None or not pool.matches(move):
            pool = EvidencePool(self._table, move, self._clock)
            self._pools[move.model] = pool
        pool.refresh()
        view = pool.view(key)
        if view is not None:
            self._source.take_pooled(move, view)


def active_routes(
    traffic: Mapping[Scope, int], upstream_ids: Iterable[str], min_share: float
) -> list[Scope]:
    """Returns the routes that carry a share of the traffic or more.

    Args:
        traffic: Requests by route.
        upstream_ids: Upstreams that take new work.
        min_share: Share of all requests.
    """
    usable = set(upstream_ids)
    total = sum(traffic.values())
    return sorted(
        scope
        for scope, count in traffic.items()
        if scope.upstream_id in usable and count >= min_share * total
    )
