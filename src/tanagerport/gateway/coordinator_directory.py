"""Knows which nodes a request for a slot goes to."""

import time
from collections.abc import Callable, Sequence

# Time for which a coordinator that did not answer is not asked again.
_SUSPICION_S = 0.5
# Time for which a ranking of the nodes is used. It changes when a node is found
# or times out, which takes longer.
_CANDIDATES_LIFETIME_S = 0.25
# Coordinators of a region that are asked before the node decides on its own.
_MAX_COORDINATORS = 2


class CoordinatorDirectory:
    """Ranks the nodes that may coordinate a service in a region.

    Args:
        find_candidates: Returns the hosts of the live nodes of a region, the
            most suitable first for the service.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        find_candidates: Callable[[str, str], Sequence[str]],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._find_candidates = find_candidates
        self._now = now
        self._suspected_until: dict[str, float] = {}
        self._candidates: dict[tuple[str, str], Sequence[str]] = {}
        self._candidates_expire_at = float("-inf")

    def coordinators(self, service: str, region: str) -> list[str]:
        """Returns the hosts to ask, in order."""
        now = self._now()
        hosts = []
        for host in self._rank(service, region):
            if self._suspected_until.get(host, now) > now:
                continue
            hosts.append(host)
            if len(hosts) == _MAX_COORDINATORS:
                break
        return hosts

    def is_first(self, host: str, service: str, region: str) -> bool:
        """Returns whether a node is the coordinator.

        What this node suspects is left out: it may be the one that is cut off.
        """
        return host in self._rank(service, region)[:1]

    def suspect(self, host: str) -> None:
        """Records that a node did not answer or does not coordinate."""
        self._suspected_until[host] = self._now() + _SUSPICION_S

    def _rank(self, service: str, region: str) -> Sequence[str]:
        now = self._now()
        if now >= self._candidates_expire_at:
            self._candidates.clear()
            self._candidates_expire_at = now + _CANDIDATES_LIFETIME_S
        candidates = self._candidates.get((service, region))
        if candidates is None:
            candidates = self._find_candidates(service, region)
            self._candidates[service, region] = candidates
        return candidates
