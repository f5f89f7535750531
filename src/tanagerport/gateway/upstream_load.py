"""Requests in progress at each upstream, summed over all nodes.

A node knows its own requests exactly and those of other nodes from their last
reports. Reports are a few hundred milliseconds old, so two nodes may both claim
the last free slot of an upstream; the upstream then queues one of the requests.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

# Time after which a report from the same region expires, in seconds. By then,
# two reports are overdue.
_REPORT_LIFETIME_S = 1.5
# Delay until other nodes learn of a request, in report intervals.
_REPORT_DELAY_INTERVALS = 1.5
# An upstream that sent data to this node within this time, in seconds, is not
# silent; reports of other nodes that it is are ignored.
_RECENT_DATA_S = 0.5


@dataclasses.dataclass(slots=True)
class UpstreamLoad:
    """Load of an upstream.

    Attributes:
        requests: Number of requests in progress.
        pending_prompt_tokens: Prompt tokens of requests in progress that have
            not produced a first event.
        is_silent: Whether a node has waited for its data for too long.
    """

    requests: int = 0
    pending_prompt_tokens: int = 0
    is_silent: bool = False


@dataclasses.dataclass(slots=True)
class _LocalActivity:
    """Recent activity of this node at an upstream.

    Attributes:
        busy_since: Monotonic time since which requests have been in progress.
        last_received_at: Monotonic time of the last received data.
        start_times: Monotonic times of recent request starts.
        end_times: Monotonic times of recent request ends.
    """

    busy_since: float = 0.0
    last_received_at: float = float("-inf")
    start_times: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    end_times: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )


@dataclasses.dataclass(slots=True)
class _Report:
    expires_at: float
    loads: list[tuple[str, int, int, bool]]


@dataclasses.dataclass(slots=True)
class _RemoteTotal:
    """Totals of an upstream over the reports of other nodes.

    Attributes:
        report_count: Number of reports that list the upstream.
        requests: Number of requests in progress.
        pending_prompt_tokens: Prompt tokens of requests that have not produced
            a first event.
        silent_nodes: Number of nodes that report the upstream as silent.
    """

    report_count: int = 0
    requests: int = 0
    pending_prompt_tokens: int = 0
    silent_nodes: int = 0


class LoadTracker:
    """Tracks the load of upstreams from local requests and remote reports.

    Args:
        count_nodes: Returns the number of nodes that share the upstreams.
        report_interval_s: Returns the interval between reports, in seconds.
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
        self._activities: dict[str, _LocalActivity] = {}
        self._local_loads: dict[str, UpstreamLoad] = {}
        self._reports: dict[str, _Report] = {}
        # Each upstream selection reads the load of every upstream. The totals
        # avoid summing the reports of all nodes each time.
        self._remote_totals: dict[str, _RemoteTotal] = {}
        self._next_expiry_at = float("inf")

    def local_loads(self) -> list[tuple[str, int, int, bool]]:
        """Returns the loads caused by this node, for its report."""
        return [
            (
                upstream_id,
                load.requests,
                load.pending_prompt_tokens,
                load.is_silent,
            )
            for upstream_id, load in self._local_loads.items()
        ]

    def record_start(self, upstream_id: str, prompt_tokens: int) -> None:
        """Records the start of a request."""
        load = self._local_loads.setdefault(upstream_id, UpstreamLoad())
        activity = self._activities.setdefault(upstream_id, _LocalActivity())
        if load.requests == 0:
            activity.busy_since = self._now()
        load.requests += 1
        load.pending_prompt_tokens += prompt_tokens
        activity.start_times.append(self._now())

    def record_received(self, upstream_id: str) -> None:
        """Records that an upstream sent data."""
        activity = self._activities.setdefault(upstream_id, _LocalActivity())
        activity.last_received_at = self._now()
        load = self._local_loads.get(upstream_id)
        if load is not None:
            load.is_silent = False

    def silence_s(self, upstream_id: str) -> float:
        """Returns how long this node has waited for data, in seconds."""
        if upstream_id not in self._local_loads:
            return 0.0
        activity = self._activities[upstream_id]
        return self._now() - max(activity.busy_since, activity.last_received_at)

    def has_recent_data(self, upstream_id: str) -> bool:
        """Returns whether an upstream sent data to this node lately."""
        activity = self._activities.get(upstream_id)
        return (
            activity is not None
            and self._now() - activity.last_received_at < _RECENT_DATA_S
        )

    def mark_silent(self, upstream_id: str) -> None:
        """Marks an upstream as silent in the reports to other nodes."""
        if upstream_id in self._local_loads:
            self._local_loads[upstream_id].is_silent = True

    def may_claim_slot(self, upstream_id: str, free_slots: int) -> bool:
        """Returns whether this node may claim a free slot of an upstream.

        All nodes see a free slot at the same time, before reports show which
        node claimed it. Within the report delay, a node may therefore claim
        only as many slots as it freed itself, plus its share of the others.

        Args:
            upstream_id: Upstream with free slots.
            free_slots: Number of free slots.
        """
        activity = self._activities.get(upstream_id)
        if activity is None:
            return True
        report_delay_s = _REPORT_DELAY_INTERVALS * self._report_interval_s()
        oldest_at = self._now() - report_delay_s
        for times in (activity.start_times, activity.end_times):
            while times and times[0] < oldest_at:
                times.popleft()
        starts, ends = len(activity.start_times), len(activity.end_times)
        contested_slots = max(free_slots + starts - ends, 0)
        share = max(contested_slots // max(self._count_nodes(), 1), 1)
        return starts < ends + share

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes the state of an upstream that no longer exists."""
        if upstream_id not in self._local_loads:
            self._activities.pop(upstream_id, None)

    def record_first_event(self, upstream_id: str, prompt_tokens: int) -> None:
        """Records that the prompt of a request was processed."""
        self._local_loads[upstream_id].pending_prompt_tokens -= prompt_tokens

    def record_end(self, upstream_id: str) -> None:
        """Records the end of a request."""
        load = self._local_loads[upstream_id]
        self._activities[upstream_id].end_times.append(self._now())
        load.requests -= 1
        if load.requests == 0:
            del self._local_loads[upstream_id]

    def apply_report(
        self,
        node: str,
        loads: Iterable[tuple[str, int, int, bool]],
        lifetime_s: float = _REPORT_LIFETIME_S,
    ) -> None:
        """Replaces the report of another node.

        Args:
            node: Name of the node.
            loads: Upstream id, requests in progress, pending prompt tokens
                and whether the upstream is silent.
            lifetime_s: Seconds after which the report expires. Without a newer
                report, either the node is down and its requests have ended,
                or it is unreachable and its load is unknown.
        """
        self.remove_report(node)
        report = _Report(self._now() + lifetime_s, list(loads))
        self._reports[node] = report
        self._add_to_totals(report, 1)
        self._next_expiry_at = min(self._next_expiry_at, report.expires_at)

    def remove_report(self, node: str) -> None:
        """Removes the report of a node."""
        report = self._reports.pop(node, None)
        if report is not None:
            self._add_to_totals(report, -1)

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Returns the load of an upstream, summed over all nodes."""
        if self._now() > self._next_expiry_at:
            self._remove_expired_reports()
        total = UpstreamLoad()
        local = self._local_loads.get(upstream_id)
        if local is not None:
            total.requests = local.requests
            total.pending_prompt_tokens = local.pending_prompt_tokens
            total.is_silent = local.is_silent
        remote = self._remote_totals.get(upstream_id)
        if remote is not None:
            total.requests += remote.requests
            total.pending_prompt_tokens += remote.pending_prompt_tokens
            total.is_silent |= (
                remote.silent_nodes > 0
                and not self._has_received_recently(upstream_id)
            )
        return total

    def _add_to_totals(self, report: _Report, sign: int) -> None:
        """Adds a report to the totals (sign 1) or subtracts it (sign -1)."""
        for (
            upstream_id,
            requests,
            pending_prompt_tokens,
            is_silent,
        ) in report.loads:
            remote = self._remote_totals.setdefault(upstream_id, _RemoteTotal())
            remote.report_count += sign
            remote.requests += sign * requests
            remote.pending_prompt_tokens += sign * pending_prompt_tokens
            remote.silent_nodes += sign * is_silent
            if remote.report_count == 0:
                del self._remote_totals[upstream_id]

    def _remove_expired_reports(self) -> None:
        now = self._now()
        for node, report in list(self._reports.items()):
            if report.expires_at < now:
                self.remove_report(node)
        self._next_expiry_at = min(
            (report.expires_at for report in self._reports.values()),
            default=float("inf"),
        )

    def _has_received_recently(self, upstream_id: str) -> bool:
        activity = self._activities.get(upstream_id)
        return (
            activity is not None
            and self._now() - activity.last_received_at < _RECENT_DATA_S
        )
