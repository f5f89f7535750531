"""Recent answers of each service, kept to compare a new version with."""

import collections
from collections.abc import Callable

from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.version_evidence import Tally

# Answers kept for a route and version. Half of them are dropped beyond this
# number, so that the recent ones count most.
_MAX_ANSWERS = 200
# Versions kept for each service: the one in use and those around a rollout.
_MAX_VERSIONS = 3
# Upstreams with unanswered requests that are remembered: an answer may be
# missed after the upstream is gone.
_MAX_UNANSWERED_UPSTREAMS = 1000


class AnswerHistory:
    """Counts of the recent answers of all services, by version and route."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, dict[str, Tally]]] = {}
        # Requests without an answer, by upstream and route.
        self._unanswered: dict[str, collections.Counter[str]] = {}

    def record_unanswered(self, upstream_id: str, route: str) -> None:
        """Records that an upstream gave no answer.

        That counts as a failure of its version once the upstream answers again.
        An upstream that is cut off or has crashed says nothing about its
        version, and the failures of the old version would hide those of a new
        one.
        """
        self._unanswered.setdefault(upstream_id, collections.Counter())[
            route
        ] += 1
        while len(self._unanswered) > _MAX_UNANSWERED_UPSTREAMS:
            del self._unanswered[next(iter(self._unanswered))]

    def take_unanswered(self, upstream_id: str) -> list[str]:
        """Removes and returns the routes of requests that got no answer."""
        return list(
            self._unanswered.pop(upstream_id, collections.Counter()).elements()
        )

    def remove_upstream(self, upstream_id: str) -> None:
        """Drops the unanswered requests of an upstream that is gone."""
        self._unanswered.pop(upstream_id, None)

    def record(
        self,
        upstream: UpstreamRecord,
        route: str,
        has_failed: bool,
        is_slow: bool,
    ) -> None:
        """Counts an answer."""
        versions = self._services.setdefault(upstream.service, {})
        routes = versions.pop(upstream.version, None)
        if routes is None:
            while len(versions) >= _MAX_VERSIONS:
                del versions[next(iter(versions))]
            routes = {}
        # The version used last is dropped last.
        versions[upstream.version] = routes
        tally = routes.get(route, Tally(route, False))
        if tally.total >= _MAX_ANSWERS:
            tally = tally.halved()
        routes[route] = tally + Tally(
            route, False, 1, int(has_failed), int(is_slow)
        )

    def answers_of(
        self, service: str, is_included: Callable[[str], bool]
    ) -> list[Tally]:
        """Returns the answers of some versions of a service."""
        pooled: dict[str, Tally] = {}
        for known, routes in self._services.get(service, {}).items():
            if not is_included(known):
                continue
            for route, tally in routes.items():
                other = pooled.get(route)
                pooled[route] = tally if other is None else other + tally
        return list(pooled.values())
