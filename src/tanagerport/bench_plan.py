"""What a scenario of the bench consists of."""

import dataclasses
import enum
from collections.abc import Mapping, Sequence

from tanagerport.bench_trace import ClassLoad, Phase
from tanagerport.bench_workload import CLASSES, NEW_VERSION, PROFILE
from tanagerport.model import UpstreamKind
from tanagerport.standin_batch import EngineProfile, VersionFault

# Largest batch that the capacity is computed with.
_CAPACITY_BATCH = 10
# Tokens of a prompt that no other request shares, and some of the others.
_MEAN_UNCACHED_TOKENS = 250


@dataclasses.dataclass(frozen=True)
class Zone:
    """An availability zone of the bench.

    Attributes:
        name: Name of the zone.
        region: Region.
        nodes: Entry nodes.
        engines: Engines.
        services: Plain services.
    """

    name: str
    region: str
    nodes: int = 1
    engines: int = 2
    services: int = 1


ZONES = (
    Zone("lm-burnaby", "lower-mainland"),
    Zone("lm-surrey", "lower-mainland"),
    Zone("isl-nanaimo", "island-north"),
)


class Action(enum.StrEnum):
    """What a fault does."""

    UPSTREAM_FAULTS = "upstream_faults"
    PLATFORM_FAULTS = "platform_faults"
    LIST_LEAVING = "list_leaving"
    SILENCE_LINKS = "silence_links"
    CUT_ZONE = "cut_zone"
    RESTORE_ZONE = "restore_zone"
    KILL_NODE = "kill_node"
    RESTART_NODE = "restart_node"
    PAUSE_HOLDER = "pause_holder"
    KILL_HOLDER = "kill_holder"
    ADD_CLASS = "add_class"
    RACE = "race"
    STOP_NODE = "stop_node"


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault at a time of the run.

    Attributes:
        at_s: Seconds after the first request may be sent.
        action: What happens.
        target: Upstream, node or zone.
        details: Fields of the fault's document.
    """

    at_s: float
    action: Action
    target: str = ""
    details: Mapping[str, object] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A version rollout that operators start.

    Attributes:
        version: Version to move to.
        at_s: Time of the start in the run.
        deadline_s: Seconds until the deadline.
        fault: Fault of the version; None for a good one.
        engines: VM ids of engines with the fault; empty for all.
        bad_from_s: Time in the run from which the version is bad.
    """

    version: str = NEW_VERSION
    at_s: float = 0.5
    deadline_s: float = 11.0
    fault: VersionFault | None = None
    engines: tuple[str, ...] = ()
    bad_from_s: float = 0.0

    @property
    def is_bad(self) -> bool:
        """Whether the version becomes bad."""
        return self.fault is not None

    @property
    def is_bad_at_first(self) -> bool:
        """Whether it is bad from its first request on."""
        return self.is_bad and self.bad_from_s <= self.at_s


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A scenario of the bench.

    Attributes:
        name: Name on the command line.
        load: Offered load by end of phase in seconds, as a share of the
            capacity of all engines.
        zones: Zones with their nodes and upstreams.
        customers: Customers and their share of requests.
        faults: Faults in order of time.
        profile: Profile of the engines.
        profiles: Profiles that differ from it, by VM id.
        proxied: Whether all links of nodes lead through fault proxies.
        resend_share: Share of keyed requests that are sent twice.
        resend_broken: Whether callers resend, with the same key, after
            their connection broke.
        large_load: Offered load of one more customer, like `load`.
        large_class: Class that this customer sends.
        rollout: Version rollout that operators start.
        changes_classes: Whether operators add classes.
        lease_s: Lifetime of the rollout controller's lease.
        mix: Classes and their shares.
        booking_weight: Weight of non-idempotent calls.
        naive_violates: Invariants that `naive` is expected to violate.
    """

    name: str
    load: tuple[tuple[float, float], ...] = ((8.0, 0.6),)
    zones: tuple[Zone, ...] = ZONES
    customers: Mapping[str, float] = dataclasses.field(
        default_factory=lambda: {
            "quietword": 3.0,
            "deaf-services": 2.0,
            "victoria-library": 1.0,
            "surrey-college": 1.0,
            "nanaimo-clinic": 1.0,
        }
    )
    faults: tuple[Fault, ...] = ()
    profile: EngineProfile = PROFILE
    profiles: Mapping[str, EngineProfile] = dataclasses.field(
        default_factory=dict
    )
    proxied: bool = False
    resend_share: float = 0.0
    resend_broken: bool = False
    large_load: tuple[tuple[float, float], ...] = ()
    large_class: str = "lesson-note"
    rollout: Rollout | None = None
    changes_classes: bool = False
    lease_s: float = 3.0
    mix: tuple[ClassLoad, ...] = CLASSES
    booking_weight: float = 0.05
    naive_violates: tuple[str, ...] = ()

    @property
    def classes(self) -> tuple[ClassLoad, ...]:
        """Classes with their weights."""
        return tuple(
            item
            if item.work_class.kind is UpstreamKind.ENGINE
            else dataclasses.replace(item, weight=self.booking_weight)
            for item in self.mix
        )

    @property
    def large_classes(self) -> tuple[ClassLoad, ...]:
        """Classes that the large customer sends."""
        return tuple(
            item
            for item in self.mix
            if item.work_class.name == self.large_class
        )

    def phases(
        self,
        load: tuple[tuple[float, float], ...],
        classes: Sequence[ClassLoad],
    ) -> list[Phase]:
        """Returns rates over time for an offered load of some classes."""
        rate = capacity_requests_per_s(self, classes)
        return [Phase(until_s, share * rate) for until_s, share in load]

    def profile_of(self, vm_id: str) -> EngineProfile:
        """Returns the profile of an engine."""
        return self.profiles.get(vm_id, self.profile)


def engine_id(zone: str, number: int) -> str:
    """Returns the VM id of an engine; numbers start at 1."""
    return f"engine-{zone}-{number}"


def node_id(zone: str, number: int) -> str:
    """Returns the id of an entry node; numbers start at 1."""
    return f"entry-{zone}-{number}"


def service_id(zone: str, number: int) -> str:
    """Returns the VM id of a plain service; numbers start at 1."""
    return f"service-{zone}-{number}"


def capacity_requests_per_s(
    scenario: Scenario, classes: Sequence[ClassLoad]
) -> float:
    """Returns the requests a second that the engines can serve in target."""
    engines = sum(zone.engines for zone in scenario.zones)
    profile = scenario.profile
    step_s = profile.step_s + profile.step_per_request_s * _CAPACITY_BATCH
    weights = sum(item.weight for item in classes)
    engine_weight = sum(
        item.weight
        for item in classes
        if item.work_class.kind is UpstreamKind.ENGINE
    )
    tokens = sum(item.weight * item.mean_tokens for item in classes)
    mean_tokens = tokens / engine_weight
    prefill_s = _MEAN_UNCACHED_TOKENS * profile.prefill_s_per_token
    seconds = mean_tokens * step_s / _CAPACITY_BATCH + prefill_s
    return engines / seconds * weights / engine_weight
