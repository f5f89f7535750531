"""Choice of the upstream for a request, and of another zone."""

import dataclasses
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

from tanagerport.clock import Clock
from tanagerport.estimates import LengthEstimator, prompt_tokens
from tanagerport.interfaces import MembershipView, RouteTester, VersionPolicy
from tanagerport.link_budget import LinkBudget
from tanagerport.model import Request, WorkClass
from tanagerport.prefix_cache import PrefixIndex, block_hashes
from tanagerport.upstream_use import UpstreamUse

# Upstreams that are compared for one request, besides those that hold its
# prefix. More cost time in each request and hardly improve the choice.
_COMPARED = 6
_HOLDERS_COMPARED = 3
_BYTES_PER_TOKEN = 4
# Assumed for an upstream that this node has not observed, so that a known
# one is preferred unless it is much slower.
_UNKNOWN_FACTOR = 1.5
# Every so many top-tier choices, an unobserved upstream gets one request.
_PROBE_EVERY = 20
# Size of one event of an answer stream, for the link's budget.
_BYTES_PER_OUTPUT_TOKEN = 160
_REMOTE_SLOTS_MAX_AGE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Choice:
    """An upstream with the expected times of a request there.

    Attributes:
        use: Upstream.
        version: Version to name; empty for the default.
        finish_s: Expected seconds until the end of the answer.
        uncached_tokens: Prompt tokens to prefill.
        cached_bytes: Prompt bytes expected in the cache.
    """

    use: UpstreamUse
    version: str
    finish_s: float
    uncached_tokens: float
    cached_bytes: float


@dataclasses.dataclass(frozen=True)
class RoutingDecision:
    """Chosen upstream and what it was compared with.

    Attributes:
        best: Chosen upstream.
        alternatives: Expected finish in seconds by compared upstream.
        hashes: Blocks of the prompt.
        is_probe: Whether an unobserved upstream was chosen to learn of it.
    """

    best: Choice
    alternatives: Mapping[str, float]
    hashes: Sequence[int]
    is_probe: bool = False


class FreeList:
    """Set of names that can be walked from a moving start in O(1)."""

    def __init__(self) -> None:
        self._items: list[str] = []
        self._positions: dict[str, int] = {}
        self._start = 0

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Adds a name."""
        if name not in self._positions:
            self._positions[name] = len(self._items)
            self._items.append(name)

    def discard(self, name: str) -> None:
        """Removes a name if it is there."""
        position = self._positions.pop(name, None)
        if position is not None:
            last = self._items.pop()
            if last != name:
                self._items[position] = last
                self._positions[last] = position

    def walk(self) -> Iterator[str]:
        """Yields all names, each time from another start."""
        items = self._items
        count = len(items)
        self._start += 1
        for offset in range(count):
            yield items[(self._start + offset) % count]


class VersionMatcher:
    """Which version a request gets at an upstream.

    Args:
        policy: Choice of versions and convictions.
    """

    def __init__(self, policy: VersionPolicy) -> None:
        self._policy = policy

    def version_at(
        self, use: UpstreamUse, model: str, wanted: str
    ) -> str | None:
        """Returns the version to name at an upstream.

        Args:
            use: Upstream.
            model: Model of the request.
            wanted: Version that the policy chose; empty for the default.

        Returns:
            The version, empty for the upstream's default; None if the
            upstream must not get the request.
        """
        key = (model, wanted)
        if key not in use.versions:
            use.versions[key] = self._match(use, model, wanted)
        return use.versions[key]

    def preferred(self, request: Request, wanted: str) -> Sequence[str]:
        """Returns upstreams where the version still needs samples."""
        if not wanted or not isinstance(self._policy, RouteTester):
            return ()
        return self._policy.preferred_upstreams(request, wanted)

    def _match(self, use: UpstreamUse, model: str, wanted: str) -> str | None:
        loaded = use.load.versions.get(model, ()) if use.load else ()
        if wanted:
            is_usable = wanted in loaded and not self._policy.is_convicted(
                model, wanted
            )
            return wanted if is_usable else None
        default = use.load.default_versions.get(model) if use.load else None
        if not default or not self._policy.is_convicted(model, default):
            return ""
        for version in loaded:
            if not self._policy.is_convicted(model, version):
                return version
        return None


class Router:
    """Picks the upstream with the lowest expected finish time.

    Not safe for concurrent use.

    Args:
        prefixes: Which upstream holds which prefix.
        lengths: Expected output.
        matcher: Versions at upstreams.
    """

    def __init__(
        self,
        prefixes: PrefixIndex,
        lengths: LengthEstimator,
        matcher: VersionMatcher,
    ) -> None:
        self._prefixes = prefixes
        self._lengths = lengths
        self._matcher = matcher
        self._choices = 0

    def choose(
        self,
        request: Request,
        version: str,
        uses: Mapping[str, UpstreamUse],
        free: FreeList,
        is_allowed: Callable[[UpstreamUse], bool],
    ) -> RoutingDecision | None:
        """Returns the best upstream with a free slot.

        Args:
            request: Request to place.
            version: Version that the policy chose; empty for the default.
            uses: All upstreams.
            free: Upstreams that serve the model and have a free slot.
            is_allowed: Whether the request may go to an upstream.
        """
        if not len(free):
            return None
        model = request.work_class.model
        hashes = block_hashes(request.prompt) if request.prompt else ()
        cached = self._prefixes.cached_bytes(model, hashes)
        tokens = prompt_tokens(request)
        output = self._lengths.mean(request)
        preferred = self._preferred(
            request, version, uses, free, is_allowed, (tokens, output)
        )
        if preferred is not None:
            return RoutingDecision(preferred, {}, hashes)
        choices: list[Choice] = []
        holders = [name for name in cached if name in free]
        if len(holders) > _HOLDERS_COMPARED:
            holders.sort(key=cached.__getitem__, reverse=True)
            del holders[_HOLDERS_COMPARED:]
        for use in self._candidates(uses, free, holders, is_allowed):
            named = self._matcher.version_at(use, model, version)
            if named is not None:
                choices.append(
                    _estimate(
                        use, named, tokens, output, cached.get(use.vm.vm_id, 0)
                    )
                )
                if len(choices) >= _COMPARED + len(holders):
                    break
        return self._pick(request, choices, hashes) if choices else None

    def _preferred(
        self,
        request: Request,
        version: str,
        uses: Mapping[str, UpstreamUse],
        free: FreeList,
        is_allowed: Callable[[UpstreamUse], bool],
        sizes: tuple[float, float],
    ) -> Choice | None:
        """Returns the first free upstream that a rollout wants tested."""
        for name in self._matcher.preferred(request, version):
            if name not in free or not is_allowed(uses[name]):
                continue
            use = uses[name]
            named = self._matcher.version_at(
                use, request.work_class.model, version
            )
            if named is not None:
                tokens, output = sizes
                return _estimate(use, named, tokens, output, 0.0)
        return None

    @staticmethod
    def _candidates(
        uses: Mapping[str, UpstreamUse],
        free: FreeList,
        holders: Sequence[str],
        is_allowed: Callable[[UpstreamUse], bool],
    ) -> Iterator[UpstreamUse]:
        for name in holders:
            if is_allowed(uses[name]):
                yield uses[name]
        for name in free.walk():
            if name not in holders and is_allowed(uses[name]):
                yield uses[name]

    def _pick(
        self,
        request: Request,
        choices: Sequence[Choice],
        hashes: Sequence[int],
    ) -> RoutingDecision:
        self._choices += 1
        alternatives = {item.use.vm.vm_id: item.finish_s for item in choices}
        probe = self._choose_probe(request, choices)
        if probe is not None:
            return RoutingDecision(probe, alternatives, hashes, is_probe=True)
        best = min(choices, key=lambda item: item.finish_s)
        return RoutingDecision(best, alternatives, hashes)

    def _choose_probe(
        self, request: Request, choices: Sequence[Choice]
    ) -> Choice | None:
        """Returns an unobserved, idle upstream when it is time to try one."""
        is_known = [item.use.speed.is_known for item in choices]
        if all(is_known) or not any(is_known):
            return None
        if request.work_class.tier == 0 and self._choices % _PROBE_EVERY:
            return None
        for item, known in zip(choices, is_known, strict=True):
            if not known and item.use.in_use == 0:
                return item
        return None


def _estimate(
    use: UpstreamUse,
    version: str,
    tokens: float,
    output: float,
    cached_bytes: float,
) -> Choice:
    speed = use.speed
    uncached = max(1.0, tokens - cached_bytes / _BYTES_PER_TOKEN)
    first_token_s = speed.first_token_s(uncached)
    interval_s = speed.interval_s
    # Every further request in the batch slows the whole batch down.
    usage = use.in_use / use.usable if use.usable > 0 else 1.0
    finish_s = first_token_s + output * interval_s * (0.75 + 0.5 * usage)
    if use.load is not None and use.load.waiting:
        finish_s += use.load_weight * use.load.waiting * first_token_s
    if not speed.is_known:
        finish_s *= _UNKNOWN_FACTOR
        # Unobserved upstreams share the first requests evenly.
        finish_s *= 1.0 + usage
    return Choice(use, version, finish_s, uncached, cached_bytes)


@dataclasses.dataclass
class _SlotOffer:
    """Slots by model that a node of another zone reported."""

    free: dict[str, int]
    reclaimable: dict[str, int]
    heard_at: float

    def slots_for(self, work_class: WorkClass) -> int:
        """Returns the slots that a request of a class may take."""
        slots = self.free.get(work_class.model, 0)
        if work_class.tier == 0:
            slots += self.reclaimable.get(work_class.model, 0)
        return slots

    def take(self, work_class: WorkClass) -> None:
        """Counts a slot as taken, a free one first."""
        model = work_class.model
        slots = self.free if self.free.get(model, 0) else self.reclaimable
        slots[model] -= 1


class SpillChooser:
    """Chooses another zone for requests that the own zone can't serve.

    Not safe for concurrent use.

    Args:
        membership: Nodes and zones.
        budget: Bytes that may be sent to other regions.
        clock: Source of time.
    """

    def __init__(
        self, membership: MembershipView, budget: LinkBudget, clock: Clock
    ) -> None:
        self._membership = membership
        self._budget = budget
        self._clock = clock
        self._offers: dict[tuple[str, str], _SlotOffer] = {}

    def take_free_slots(
        self,
        zone: str,
        node_id: str,
        free: Mapping[str, int],
        reclaimable: Mapping[str, int],
    ) -> None:
        """Takes the slots that a node of another zone reported.

        Args:
            zone: Zone of the node.
            node_id: Node.
            free: Free slots by model.
            reclaimable: Slots by model that lower tiers hold.
        """
        self._offers[zone, node_id] = _SlotOffer(
            dict(free), dict(reclaimable), self._clock.monotonic()
        )

    def choose(
        self, request: Request, output_tokens: float
    ) -> tuple[str, str] | None:
        """Returns a zone and its node with a free slot; takes slot and bytes.

        Args:
            request: Request to spill.
            output_tokens: Expected length of the answer.
        """
        expected = len(request.body) + output_tokens * _BYTES_PER_OUTPUT_TOKEN
        own = self._membership.self_view
        for zone, region in self._ordered_zones(own.region):
            if zone == own.zone or not self._membership.is_zone_reachable(zone):
                continue
            node_id = self._find_node(zone, request.work_class)
            if node_id is not None and self._budget.take(region, expected):
                self._offers[zone, node_id].take(request.work_class)
                return zone, node_id
        return None

    def _ordered_zones(self, own_region: str) -> Iterable[tuple[str, str]]:
        """Returns zones with their regions, own region first."""
        regions = {view.zone: view.region for view in self._membership.nodes()}
        return sorted(
            regions.items(), key=lambda item: (item[1] != own_region, item[0])
        )

    def _find_node(self, zone: str, work_class: WorkClass) -> str | None:
        oldest = self._clock.monotonic() - _REMOTE_SLOTS_MAX_AGE_S
        best: str | None = None
        most = 0
        for (reporting_zone, node_id), offer in self._offers.items():
            slots = offer.slots_for(work_class)
            if (
                reporting_zone == zone
                and offer.heard_at >= oldest
                and slots > most
            ):
                best, most = node_id, slots
        return best
