"""Interfaces between the parts of a node.

All methods may be called from any thread unless they say otherwise.
"""

import dataclasses
import enum
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Protocol, runtime_checkable

from tanagerport.model import VM, Request, VersionMove, WorkClass
from tanagerport.peer_pb2 import Frame, Heartbeat


class NodeLiveness(enum.StrEnum):
    """What this node believes of another node."""

    LIVE = "live"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True)
class NodeView:
    """What this node knows of a node, itself included.

    Attributes:
        node_id: Name of the node.
        zone: Availability zone.
        region: Region of the zone.
        address: `ip:port` of its peer listener.
        boot_id: Changes with every start of the process; empty until heard.
        liveness: Belief about the node.
        draining: Whether the node said that it is stopping.
        young: Whether it joined, restarted or was cut off within the claim
            window, so that it may lack claims.
        listed: Whether the VM list holds it.
    """

    node_id: str
    zone: str
    region: str
    address: str
    boot_id: str = ""
    liveness: NodeLiveness = NodeLiveness.LIVE
    draining: bool = False
    young: bool = False
    listed: bool = True


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load report of an engine, as it was when the engine made it.

    Attributes:
        running: Requests in the batch.
        waiting: Requests that wait in the engine.
        max_batch: Largest batch.
        versions: Loaded versions by model.
        default_versions: Version that a request without version gets.
        received_at: Monotonic seconds when this node read the report.
        reported_age_s: Age that the engine stated, in seconds.
        leaving: Whether the engine said that it is leaving.
    """

    running: int = 0
    waiting: int = 0
    max_batch: int = 0
    versions: Mapping[str, Sequence[str]] = dataclasses.field(
        default_factory=dict
    )
    default_versions: Mapping[str, str] = dataclasses.field(
        default_factory=dict
    )
    received_at: float = 0.0
    reported_age_s: float = 0.0
    leaving: bool = False


class MembershipView(Protocol):
    """Nodes and upstreams as this node sees them."""

    @property
    def self_view(self) -> NodeView:
        """This node."""

    def nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        """Returns known nodes of a zone, or of all zones, self included."""

    def live_nodes(self, zone: str | None = None) -> Sequence[NodeView]:
        """Returns live nodes that are not draining, self included."""

    def zones(self) -> Sequence[str]:
        """Returns the zones that have entry nodes, in order of name."""

    def is_zone_reachable(self, zone: str) -> bool:
        """Returns whether any node of the zone answers heartbeats."""

    def zone_cut_off_within(self, zone: str, window_s: float) -> bool:
        """Returns whether the zone was unreachable within the window."""

    def losses(self, zone: str, window_s: float) -> Sequence[float]:
        """Returns epoch seconds of node deaths and restarts in the zone."""

    def upstreams(self, zone: str | None = None) -> Sequence[VM]:
        """Returns upstreams that the VM list holds, state hints merged in."""

    def mark_leaving(self, vm_id: str) -> None:
        """Records that an upstream said that it is leaving."""

    def load(self, vm_id: str) -> LoadReport | None:
        """Returns the latest load report of an engine."""


class HeartbeatPart(Protocol):
    """A part of the node whose data travels in heartbeats."""

    def fill(self, heartbeat: Heartbeat, peer: NodeView) -> None:
        """Adds this part's fields to a heartbeat for a peer."""

    def receive(self, heartbeat: Heartbeat) -> None:
        """Takes this part's fields from a heartbeat of a peer."""


class PeerNetwork(Protocol):
    """Calls between nodes."""

    def call(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Any:
        """Calls a unary method of service `Peer` and returns its reply.

        Args:
            node_id: Node to call; a call to this node is served locally.
            method: Method name, such as `Claim`.
            message: Request message.
            timeout_s: Bound in seconds.

        Raises:
            PeerError: The node was not reached or did not answer in time.
        """

    def stream(
        self, node_id: str, method: str, message: Any, timeout_s: float
    ) -> Iterator[Frame]:
        """Calls a streaming method and yields frames as they arrive.

        Raises:
            PeerError: The stream broke or made no progress in time.
        """

    def register(self, method: str, handler: Callable[[Any], Any]) -> None:
        """Sets the handler of a method.

        Handlers may block; each runs in a thread of a pool. A handler of a
        streaming method returns an iterator of frames.
        """

    def add_heartbeat_part(self, part: HeartbeatPart) -> None:
        """Lets a part put its data into heartbeats."""


class ConfigurationView(Protocol):
    """Configuration in force on this node."""

    @property
    def version(self) -> int:
        """Highest configuration version in force; 0 before the first."""

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Classes by name."""

    @property
    def moves(self) -> Mapping[str, VersionMove]:
        """Latest version move of each model."""

    @property
    def convictions(self) -> Mapping[tuple[str, str], str]:
        """Reason by model and version that is known to be bad."""

    def add_conviction(self, model: str, version: str, reason: str) -> None:
        """Records a bad version at once and spreads it.

        The record is written to the store as soon as it can be reached.
        """


class VersionPolicy(Protocol):
    """Choice of a model version for each request."""

    def choose_version(self, request: Request) -> str:
        """Returns the version to use; empty for the upstream's default."""

    def is_convicted(self, model: str, version: str) -> bool:
        """Returns whether the version must get no new work."""

    def record(self, sample: "VersionSample") -> None:
        """Takes the result of one dispatch."""


@runtime_checkable
class RouteTester(Protocol):
    """A version policy that says which routes of a version need samples."""

    def preferred_upstreams(
        self, request: Request, version: str
    ) -> Sequence[str]:
        """Returns upstreams for a request, best first; empty for any."""


@dataclasses.dataclass(frozen=True)
class VersionSample:
    """Result of one dispatch, for the comparison of versions.

    Attributes:
        model: Model of the request.
        version: Version that served it.
        class_name: Class of the request.
        upstream_id: Upstream that served it.
        at: Monotonic seconds of the end.
        failed: Whether the upstream failed the request.
        first_token_s: Seconds from dispatch to the first token.
        token_interval_s: Mean seconds between tokens.
    """

    model: str
    version: str
    class_name: str
    upstream_id: str
    at: float
    failed: bool
    first_token_s: float | None = None
    token_interval_s: float | None = None
