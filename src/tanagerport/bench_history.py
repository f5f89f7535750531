"""What was observed during one run of the bench.

Times are monotonic seconds of the machine that all processes share.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from tanagerport.bench_caller import CallRecord


@dataclasses.dataclass(frozen=True)
class Execution:
    """Entry of an upstream's log."""

    upstream: str
    zone: str
    is_engine: bool
    request_id: str
    key: str
    marker: str
    model: str
    version: str
    started: float
    ended: float
    complete: bool
    prefilled_tokens: int = 0
    first_token_at: float | None = None
    pauses: tuple[tuple[float, float], ...] = ()

    def ran_within(self, start: float, end: float) -> bool:
        """Returns whether it ran, not paused, at some time of the span."""
        position = max(start, self.started)
        limit = min(end, self.ended)
        for paused, resumed in sorted(self.pauses):
            if paused > position:
                break
            position = max(position, resumed)
        return position < limit


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """Order that an engine received."""

    upstream: str
    at: float
    fencing_token: int
    applied: bool


@dataclasses.dataclass(frozen=True)
class ClassChange:
    """Attempt of an operator to add a class.

    Attributes:
        name: Name of the class.
        sent_at: Time of sending.
        answered_at: Time of the answer.
        accepted: Whether the operator was told that it is durable.
        conflict: Whether the operator was told that another one was faster.
    """

    name: str
    sent_at: float
    answered_at: float
    accepted: bool
    conflict: bool = False


@dataclasses.dataclass(frozen=True)
class Probe:
    """Call that shows whether a node knows a class.

    Attributes:
        node_id: Node.
        class_name: Class.
        at: Time of the answer.
        known: Whether the node knows the class; None without an answer that
            shows it.
    """

    node_id: str
    class_name: str
    at: float
    known: bool | None


@dataclasses.dataclass(frozen=True)
class MoveWrite:
    """Write of a rollout's record in the store."""

    at: float
    state: str
    share: float
    fencing_token: int


@dataclasses.dataclass(frozen=True)
class MoveHistory:
    """A version rollout as the store and the operators saw it.

    Attributes:
        model: Model.
        version: New version.
        accepted_at: When the store had it.
        deadline_at: Deadline.
        bad_from: When the version becomes bad; None if it never does.
        bad_at_first: Whether it is bad from its first request on.
        state: Last state in the store.
        ended_at: End that the store's record states, if it ended.
        convicted_at: When the verdict was in the store, if there is one.
        writes: Writes of the record, in order.
    """

    model: str
    version: str
    accepted_at: float
    deadline_at: float
    bad_from: float | None = None
    bad_at_first: bool = False
    state: str = ""
    ended_at: float | None = None
    convicted_at: float | None = None
    writes: tuple[MoveWrite, ...] = ()


@dataclasses.dataclass(frozen=True)
class History:
    """Everything that was observed in one run.

    Attributes:
        calls: What callers saw.
        executions: What upstreams saw.
        zone_of_node: Zone by node id.
        leaving_since: When an upstream began to leave, by VM id.
        stopped_at: When a node was told to stop, by node id.
        non_idempotent: Names of classes whose calls must not be repeated.
        orders: Orders that engines received.
        changes: Changes of classes by operators.
        probes: Calls that show which classes nodes know.
        cut_off: Spans in which a node could not reach the store, by node
            id.
        move: Version rollout of the scenario.
    """

    calls: Sequence[CallRecord]
    executions: Sequence[Execution]
    zone_of_node: Mapping[str, str] = dataclasses.field(default_factory=dict)
    leaving_since: Mapping[str, float] = dataclasses.field(default_factory=dict)
    stopped_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    non_idempotent: frozenset[str] = frozenset()
    orders: Sequence[EngineOrder] = ()
    changes: Sequence[ClassChange] = ()
    probes: Sequence[Probe] = ()
    cut_off: Mapping[str, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    move: MoveHistory | None = None
