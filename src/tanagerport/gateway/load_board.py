"""What all nodes have outstanding at each upstream.

A node knows its own requests exactly and those of others from their last
report. Reports are a few hundred milliseconds old, so two nodes may give the
last place of an upstream to two requests; the upstream then queues one.
"""

import dataclasses
import time
from collections.abc import Callable, Iterable

# A node that has not reported for this long no longer counts: its requests
# have ended with it, or it is cut off and its places can't be known.
_REPORT_LIFETIME_S = 1.5


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Requests in progress at an upstream.

    Attributes:
        requests: Requests that were sent and have not ended.
        unread_tokens: Prompt tokens of those without a first event.
    """

    requests: int = 0
    unread_tokens: int = 0


@dataclasses.dataclass(slots=True)
class _Report:
    received_at: float
    loads: dict[str, UpstreamLoad]


class LoadBoard:
    """Loads of upstreams by node.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._own: dict[str, UpstreamLoad] = {}
        self._reports: dict[str, _Report] = {}

    @property
    def own_loads(self) -> dict[str, UpstreamLoad]:
        """Loads of this node, for its report."""
        return self._own

    def start(self, upstream_id: str, prompt_tokens: int) -> None:
        """Counts a request that is sent to an upstream."""
        load = self._own.setdefault(upstream_id, UpstreamLoad())
        load.requests += 1
        load.unread_tokens += prompt_tokens

    def record_first_event(self, upstream_id: str, prompt_tokens: int) -> None:
        """Counts a prompt that was read."""
        self._own[upstream_id].unread_tokens -= prompt_tokens

    def end(self, upstream_id: str) -> None:
        """Counts a request that ended."""
        load = self._own[upstream_id]
        load.requests -= 1
        if load.requests == 0:
            del self._own[upstream_id]

    def apply_report(
        self, node: str, loads: Iterable[tuple[str, int, int]]
    ) -> None:
        """Replaces the report of another node.

        Args:
            node: Name of the node.
            loads: Upstream id, requests and unread prompt tokens.
        """
        self._reports[node] = _Report(
            self._now(),
            {
                upstream_id: UpstreamLoad(requests, unread_tokens)
                for upstream_id, requests, unread_tokens in loads
            },
        )

    def forget_node(self, node: str) -> None:
        """Drops the report of a node."""
        self._reports.pop(node, None)

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Returns the load of an upstream by all nodes."""
        own = self._own.get(upstream_id)
        total = UpstreamLoad()
        if own is not None:
            total.requests = own.requests
            total.unread_tokens = own.unread_tokens
        oldest = self._now() - _REPORT_LIFETIME_S
        for report in self._reports.values():
            remote = report.loads.get(upstream_id)
            if remote is not None and report.received_at >= oldest:
                total.requests += remote.requests
                total.unread_tokens += remote.unread_tokens
        return total
