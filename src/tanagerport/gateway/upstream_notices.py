"""Notices that upstreams put into the headers of their answers."""

import time
from collections.abc import Callable, Iterable

from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.http_call import Headers, ResponseHead
from tanagerport.gateway.http_names import HttpNames
from tanagerport.gateway.upstream_backoff import (
    UpstreamBackoff,
    parse_backoff_s,
)
from tanagerport.gateway.upstream_limits import UpstreamLimits, parse_limit

# Time before the end of the drain timeout at which the last request is placed,
# in seconds: a connection to the upstream takes up to 0.4 s to open. At most
# half of the timeout, so that a short one leaves some time.
_LAST_PLACEMENT_MARGIN_S = 0.5
_MAX_MARGIN_SHARE = 0.5
# Departures that are remembered. A fleet has a few thousand upstreams; those
# that left long ago don't come back with the same start time.
_MAX_DEPARTURES = 8192


def find_values(headers: Headers, name: bytes) -> list[bytes]:
    """Returns the members of all fields of a name, in order.

    Args:
        headers: Header fields; names may be in any case.
        name: Lowercase name of a field whose value is a list with commas.
    """
    return [
        member.strip()
        for field, value in headers
        if field.lower() == name
        for member in value.split(b",")
    ]


class Departures:
    """Upstreams that announced in an answer that they are leaving.

    What an upstream says of itself is newer than its row in the store, which
    may be an older copy or not have been read for a while. So it holds for this
    start of the upstream, whatever its row says, and also after the row has
    disappeared and come back.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        # End of the use by id and start time.
        self._use_until: dict[tuple[str, int], float] = {}

    def record(self, upstream: UpstreamRecord, use_for_s: float) -> bool:
        """Records that an upstream is leaving; returns whether that is new.

        Args:
            upstream: The upstream.
            use_for_s: Seconds for which it may get requests that no other
                upstream can serve, from its first announcement on.
        """
        if self.is_leaving(upstream):
            return False
        self._use_until[upstream.start] = self._now() + use_for_s
        if len(self._use_until) > _MAX_DEPARTURES:
            del self._use_until[next(iter(self._use_until))]
        return True

    def is_leaving(self, upstream: UpstreamRecord) -> bool:
        """Whether this start of an upstream announced that it is leaving."""
        return upstream.start in self._use_until

    def usable(
        self, upstreams: Iterable[UpstreamRecord]
    ) -> tuple[UpstreamRecord, ...]:
        """Returns the leaving upstreams whose drain timeout has not passed."""
        now = self._now()
        return tuple(
            upstream
            for upstream in upstreams
            if self._use_until.get(upstream.start, now) > now
        )

    def record_replacement(
        self, previous: UpstreamRecord, record: UpstreamRecord
    ) -> None:
        """Records that another row took the place of an upstream's row.

        A row without a start time does not show that the upstream restarted.
        """
        use_until = self._use_until.get(previous.start)
        if use_until is not None and record.started_ms == 0:
            self._use_until.setdefault(record.start, use_until)

    def record_removal(self, upstream: UpstreamRecord) -> None:
        """Records that the row of an upstream was removed.

        Only a start time tells the same start of the upstream from a later one
        when its id returns.
        """
        if upstream.started_ms == 0:
            self._use_until.pop(upstream.start, None)


class UpstreamNotices:
    """Reads the notices in the answers of upstreams.

    Args:
        http_names: Names of the header fields.
        find_upstream: Returns the upstream with an id, or None.
        record_leaving: Called with an upstream that is leaving and the seconds
            for which it may be used where no other can; returns whether that is
            new.
        backoff: Receives the times for which upstreams want no requests.
        limits: Receives the limits that upstreams name.
        on_limit_changed: Called after an upstream named a new limit, or none
            any more.
        drain_timeout_s: Seconds for which a leaving upstream accepts requests.
        counters: Metrics of the process.
        log: Structured log.
    """

    def __init__(
        self,
        http_names: HttpNames,
        find_upstream: Callable[[str], UpstreamRecord | None],
        record_leaving: Callable[[UpstreamRecord, float], bool],
        backoff: UpstreamBackoff,
        limits: UpstreamLimits,
        on_limit_changed: Callable[[], object],
        drain_timeout_s: float,
        counters: Counters,
        log: DecisionLog,
    ) -> None:
        self._http_names = http_names
        self._find_upstream = find_upstream
        self._record_leaving = record_leaving
        self._backoff = backoff
        self._limits = limits
        self._on_limit_changed = on_limit_changed
        self._use_for_s = drain_timeout_s - min(
            _LAST_PLACEMENT_MARGIN_S, drain_timeout_s * _MAX_MARGIN_SHARE
        )
        self._counters = counters
        self._log = log

    def record_answer(self, target: UpstreamRecord, head: ResponseHead) -> None:
        """Records the notices of an answer, whichever request it is for.

        Args:
            target: Upstream to which the request was sent.
            head: Head of the answer.
        """
        upstream = self._find_answering(target, head)
        if upstream is None:
            return
        name = self._http_names.leaving
        if (
            name in head.header_values
            and b"1" in find_values(head.headers, name)
            and self._record_leaving(upstream, self._use_for_s)
        ):
            self._counters.upstream_notices["leaving"] += 1
            self._log.info(
                "upstream_leaving",
                upstream=upstream.upstream_id,
                service=upstream.service,
                started_ms=upstream.started_ms,
                status=head.status,
            )
        if head.status == 503:
            self._record_backoff(upstream, head)
        self._record_limit(upstream, head)

    def _find_answering(
        self, target: UpstreamRecord, head: ResponseHead
    ) -> UpstreamRecord | None:
        """Returns the upstream that answered; None if it is unknown.

        It is another one than the target if that has left and its address was
        used again.
        """
        value = head.header_values.get(self._http_names.answering_upstream)
        if not value:
            return target
        upstream_id = value.decode("latin-1")
        if upstream_id == target.upstream_id:
            return target
        return self._find_upstream(upstream_id)

    def _record_backoff(
        self, upstream: UpstreamRecord, head: ResponseHead
    ) -> None:
        backoff_s = parse_backoff_s(find_values(head.headers, b"retry-after"))
        if backoff_s == 0:
            return
        self._counters.upstream_notices["retry_after"] += 1
        if self._backoff.record(upstream, backoff_s):
            self._log.info(
                "upstream_backoff",
                upstream=upstream.upstream_id,
                service=upstream.service,
                backoff_s=backoff_s,
            )

    def _record_limit(
        self, upstream: UpstreamRecord, head: ResponseHead
    ) -> None:
        name = self._http_names.request_limit
        per_s = None
        if name in head.header_values:
            per_s = parse_limit(find_values(head.headers, name))
            if per_s is None:
                # Neither a limit nor its end.
                self._counters.upstream_notices["limit_invalid"] += 1
                return
        elif (
            self._limits.per_s(upstream) is None
            # Others may answer in the upstream's place, or before it has read
            # the request.
            or self._http_names.response_seal not in head.header_values
        ):
            return
        if not self._limits.record(upstream, per_s):
            return
        kind = "limit_ended" if per_s is None else "limit"
        self._counters.upstream_notices[kind] += 1
        self._log.info(
            "upstream_limit",
            upstream=upstream.upstream_id,
            service=upstream.service,
            started_ms=upstream.started_ms,
            limit_per_s=per_s,
            status=head.status,
        )
        self._on_limit_changed()
