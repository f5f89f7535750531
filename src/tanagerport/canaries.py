"""Which requests may go to a new version that has not been proven."""

import collections
import dataclasses
from collections.abc import Mapping

import cachetools
import xxhash

from tanagerport.detection import Scope
from tanagerport.model import Request

# Largest share of a version that may still be bad.
CANARY_SHARE = 0.05
# Share of hashes that may become canaries. The count of ended requests bounds
# the share; candidates above it let the count be used up.
_CANDIDATE_SHARE = 0.5
_REMEMBERED_REQUESTS = 8192
_HASH_RANGE = float(2**64)
# Pooled figures older than this are not used.
_POOLED_AGE_S = 3.0


@dataclasses.dataclass(frozen=True)
class PooledView:
    """What all nodes saw of a rollout, as one of them read it.

    Attributes:
        read_at: Monotonic seconds of the read.
        index: Position of this node among the nodes that reported.
        nodes: Number of nodes that reported.
        requests: Ended requests of both versions.
        chosen: Requests that were chosen for the new version.
        chosen_here: Those of them that this node had chosen.
        samples: Samples of the new version by route, for all routes that
            carry traffic.
        suspect: Routes that need more samples because of bad ones.
    """

    read_at: float
    index: int
    nodes: int
    requests: int
    chosen: int
    chosen_here: int
    samples: Mapping[Scope, int]
    suspect: frozenset[Scope] = frozenset()

    def allowed_here(self, share: float) -> int:
        """Returns how many canaries this node may have chosen in all.

        The allowed ones are dealt to the nodes in turn, so that the nodes'
        numbers add up to the share of all ended requests and not more.
        """
        allowed = int(share * self.requests)
        return max(0, (allowed - self.index - 1) // self.nodes + 1)


class CanaryChooser:
    """Chooses canaries of one rollout on this node.

    The observed share over all nodes stays within the canary share even at
    small counts: only ended requests count, since one that waits may be
    refused and never reach an upstream, and no node starts with an allowance.
    With pooled figures the nodes take turns. Without them each node keeps to
    the share of its own requests, whose sum keeps to the share as well.

    Args:
        salt: Makes the canaries of each version other requests.
    """

    def __init__(self, salt: str) -> None:
        self._salt = salt
        self._ended = 0
        self._chosen = 0
        self._pooled: PooledView | None = None
        self._routes: collections.Counter[Scope] = collections.Counter()
        self._own_samples: collections.Counter[Scope] = collections.Counter()
        self._assigned: collections.Counter[Scope] = collections.Counter()
        self._decisions: cachetools.LRUCache[str, bool] = cachetools.LRUCache(
            _REMEMBERED_REQUESTS
        )
        self._targets: cachetools.LRUCache[str, str] = cachetools.LRUCache(
            _REMEMBERED_REQUESTS
        )

    @property
    def chosen(self) -> int:
        """Requests that this node chose while the share was a canary's."""
        return self._chosen

    def record(self, route: Scope, is_new: bool) -> None:
        """Counts a request that ended."""
        self._ended += 1
        self._routes[route] += 1
        self._own_samples[route] += is_new

    def take_pooled(self, view: PooledView) -> None:
        """Takes the figures of all nodes."""
        self._pooled = view

    def choose(self, request: Request, share: float, now: float) -> bool:
        """Returns whether a request goes to the new version.

        The answer for one request stays the same, so that asking again while
        it waits uses up no allowance.
        """
        decision = self._decisions.get(request.request_id)
        if decision is None:
            decision = self._decide(request, share, now)
            self._decisions[request.request_id] = decision
        return decision

    def target(self, request: Request) -> str:
        """Returns the upstream that a canary should test, if any."""
        return self._targets.get(request.request_id, "")

    def ranked_upstreams(self, class_name: str) -> list[str]:
        """Returns upstreams of a class, those with fewest samples first."""
        return [
            route.upstream_id
            for route in self._ranked_routes()
            if route.class_name == class_name
        ]

    def _decide(self, request: Request, share: float, now: float) -> bool:
        position = hash_position(request, self._salt)
        if share > CANARY_SHARE:
            return position < share
        if position >= _CANDIDATE_SHARE:
            return False
        spare = self._spare(share, now)
        if spare < 1:
            return False
        class_name = request.work_class.name
        routes = self._ranked_routes()
        # The least tested route is served first; a class without requests
        # must not hold up the others for long.
        if routes and routes[0].class_name != class_name and spare < 2:
            return False
        self._chosen += 1
        for route in routes:
            if route.class_name == class_name:
                self._assigned[route] += 1
                self._targets[request.request_id] = route.upstream_id
                break
        return True

    def _spare(self, share: float, now: float) -> int:
        pooled = self._pooled
        if pooled is None or now - pooled.read_at > _POOLED_AGE_S:
            return int(share * self._ended) - self._chosen
        own = pooled.allowed_here(share) - self._chosen
        # Covers a node that joined or left, which changes whose turn it is.
        others = pooled.chosen - pooled.chosen_here
        total = int(share * pooled.requests) - others - self._chosen
        return min(own, total)

    def _ranked_routes(self) -> list[Scope]:
        pooled = self._pooled
        known = pooled.samples if pooled is not None else self._own_samples
        # A node can test only the routes that its own requests take.
        names = sorted(self._routes)
        # Nodes start at different routes, so that they don't all test one.
        offset = pooled.index % max(len(names), 1) if pooled is not None else 0
        names = names[offset:] + names[:offset]
        suspect = pooled.suspect if pooled is not None else frozenset()
        # A bad sample is soon confirmed or outweighed by more on its route.
        ranked = sorted(
            (
                route not in suspect,
                known.get(route, 0) + self._in_progress(route),
                rank,
                route,
            )
            for rank, route in enumerate(names)
        )
        return [route for *_, route in ranked]

    def _in_progress(self, route: Scope) -> int:
        return max(0, self._assigned[route] - self._own_samples[route])


def hash_position(request: Request, salt: str) -> float:
    """Returns the stable position of a request in 0 to 1.

    Args:
        request: Its idempotency key counts, else its id.
        salt: Text that changes all positions.
    """
    text = f"{salt}\0{request.key or request.request_id}"
    return xxhash.xxh64_intdigest(text.encode()) / _HASH_RANGE
