"""What all nodes have outstanding at each upstream.

A node knows its own requests exactly and those of others from their last
report. Reports are a few hundred milliseconds old, so two nodes may give the
last place of an upstream to two requests; the upstream then queues one.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

# Time for which a report of the own region counts, in seconds: two are missing
# then.
_REPORT_LIFETIME_S = 1.5
# Time until the other nodes know of a request, in intervals between reports.
_REPORT_DELAY_INTERVALS = 1.5
# An upstream that was heard this lately is not silent for this node.
_HEARD_S = 0.5


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Requests in progress at an upstream.

    Attributes:
        requests: Requests that were sent and have not ended.
        unread_tokens: Prompt tokens of those without a first event.
        is_silent: Whether a node waits there without hearing anything.
    """

    requests: int = 0
    unread_tokens: int = 0
    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class _OwnUse:
    """What this node did at an upstream.

    Attributes:
        busy_since: Monotonic seconds since when it has requests there.
        heard_at: Monotonic seconds of the last byte from there.
        starts: Times of requests that were started lately.
        ends: Times of requests that ended lately.
    """

    busy_since: float = 0.0
    heard_at: float = float("-inf")
    starts: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    ends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class _Report:
    expires_at: float
    loads: list[tuple[str, int, int, bool]]


@dataclasses.dataclass(slots=True)
class _RemoteLoad:
    """Sum of the reports about an upstream.

    Attributes:
        reports: Reports that name it.
        requests: Requests in progress.
        unread_tokens: Prompt tokens of those without a first event.
        silent: Nodes that wait there without hearing anything.
    """

    reports: int = 0
    requests: int = 0
    unread_tokens: int = 0
    silent: int = 0


class LoadBoard:
    """Loads of upstreams by node.

    Args:
        count_nodes: Returns the nodes that share the upstreams.
        report_interval_s: Returns the seconds between reports of a node.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        count_nodes: Callable[[], int],
        report_interval_s: Callable[[], float],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._count_nodes = count_nodes
        self._report_interval_s = report_interval_s
        self._now = now
        self._uses: dict[str, _OwnUse] = {}
        self._own: dict[str, UpstreamLoad] = {}
        self._reports: dict[str, _Report] = {}
        # A look for a place asks for the load of every upstream, so the sums
        # are kept; adding up the reports each time grew with the nodes.
        self._remote: dict[str, _RemoteLoad] = {}
        self._expires_at = float("inf")

    def own_loads(self) -> list[tuple[str, int, int, bool]]:
        """Returns the loads of this node, for its report."""
        return [
            (upstream_id, load.requests, load.unread_tokens, load.is_silent)
            for upstream_id, load in self._own.items()
        ]

    def start(self, upstream_id: str, prompt_tokens: int) -> None:
        """Counts a request that is sent to an upstream."""
        load = self._own.setdefault(upstream_id, UpstreamLoad())
        use = self._uses.setdefault(upstream_id, _OwnUse())
        if load.requests == 0:
            use.busy_since = self._now()
        load.requests += 1
        load.unread_tokens += prompt_tokens
        use.starts.append(self._now())

    def record_heard(self, upstream_id: str) -> None:
        """Records that bytes came from an upstream."""
        use = self._uses.setdefault(upstream_id, _OwnUse())
        use.heard_at = self._now()
        load = self._own.get(upstream_id)
        if load is not None:
            load.is_silent = False

    def silent_s(self, upstream_id: str) -> float:
        """Returns for how long this node waits without hearing anything."""
        if upstream_id not in self._own:
            return 0.0
        use = self._uses[upstream_id]
        return self._now() - max(use.busy_since, use.heard_at)

    def mark_silent(self, upstream_id: str) -> None:
        """Tells the other nodes that an upstream is silent."""
        if upstream_id in self._own:
            self._own[upstream_id].is_silent = True

    def may_start(self, upstream_id: str, free: int) -> bool:
        """Returns whether this node may take one of the free places.

        Free places are seen by all nodes at once, before their reports tell
        who took them. So within that time a node takes back the places that
        it gave up itself, and its share of the others.

        Args:
            upstream_id: Upstream with free places.
            free: Number of free places.
        """
        use = self._uses.get(upstream_id)
        if use is None:
            return True
        delay_s = _REPORT_DELAY_INTERVALS * self._report_interval_s()
        oldest = self._now() - delay_s
        for times in (use.starts, use.ends):
            while times and times[0] < oldest:
                times.popleft()
        starts, ends = len(use.starts), len(use.ends)
        unowned = max(free + starts - ends, 0)
        share = max(unowned // max(self._count_nodes(), 1), 1)
        return starts < ends + share

    def forget(self, upstream_id: str) -> None:
        """Drops what is known of an upstream that is gone."""
        if upstream_id not in self._own:
            self._uses.pop(upstream_id, None)

    def record_first_event(self, upstream_id: str, prompt_tokens: int) -> None:
        """Counts a prompt that was read."""
        self._own[upstream_id].unread_tokens -= prompt_tokens

    def end(self, upstream_id: str) -> None:
        """Counts a request that ended."""
        load = self._own[upstream_id]
        self._uses[upstream_id].ends.append(self._now())
        load.requests -= 1
        if load.requests == 0:
            del self._own[upstream_id]

    def apply_report(
        self,
        node: str,
        loads: Iterable[tuple[str, int, int, bool]],
        lifetime_s: float = _REPORT_LIFETIME_S,
    ) -> None:
        """Replaces the report of another node.

        Args:
            node: Name of the node.
            loads: Upstream id, requests, unread prompt tokens and whether the
                upstream is silent.
            lifetime_s: Seconds after which the node no longer counts without
                another report: its requests have ended with it, or it is cut
                off and its places can't be known.
        """
        self.forget_node(node)
        report = _Report(self._now() + lifetime_s, list(loads))
        self._reports[node] = report
        self._count(report, 1)
        self._expires_at = min(self._expires_at, report.expires_at)

    def forget_node(self, node: str) -> None:
        """Drops the report of a node."""
        report = self._reports.pop(node, None)
        if report is not None:
            self._count(report, -1)

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Returns the load of an upstream by all nodes."""
        if self._now() > self._expires_at:
            self._drop_expired()
        total = UpstreamLoad()
        own = self._own.get(upstream_id)
        if own is not None:
            total.requests = own.requests
            total.unread_tokens = own.unread_tokens
            total.is_silent = own.is_silent
        remote = self._remote.get(upstream_id)
        if remote is not None:
            total.requests += remote.requests
            total.unread_tokens += remote.unread_tokens
            total.is_silent |= remote.silent > 0 and not self._hears(
                upstream_id
            )
        return total

    def _count(self, report: _Report, sign: int) -> None:
        """Adds a report to the sums, or takes it out with a sign of -1."""
        for upstream_id, requests, unread_tokens, is_silent in report.loads:
            remote = self._remote.setdefault(upstream_id, _RemoteLoad())
            remote.reports += sign
            remote.requests += sign * requests
            remote.unread_tokens += sign * unread_tokens
            remote.silent += sign * is_silent
            if remote.reports == 0:
                del self._remote[upstream_id]

    def _drop_expired(self) -> None:
        now = self._now()
        for node, report in list(self._reports.items()):
            if report.expires_at < now:
                self.forget_node(node)
        self._expires_at = min(
            (report.expires_at for report in self._reports.values()),
            default=float("inf"),
        )

    def _hears(self, upstream_id: str) -> bool:
        use = self._uses.get(upstream_id)
        return use is not None and self._now() - use.heard_at < _HEARD_S
