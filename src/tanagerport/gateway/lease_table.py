"""Leases of upstream slots that a coordinator has granted."""

import dataclasses
import time
from collections.abc import Callable, Iterable

from tanagerport.gateway.slot_messages import HeldLease
from tanagerport.gateway.upstream_load import UpstreamLoad

# A node that has not reported its leases for this long has ended, or can't be
# reached; three reports are overdue then.
_REPORT_TIMEOUT_S = 3.0
# A lease younger than this may be missing in a report that was sent before its
# grant arrived.
_MIN_REPORTED_AGE_S = 0.3
# Time for which a node's claim that an upstream is silent holds without a
# further report.
_SILENCE_LIFETIME_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseKey:
    """Identity of a lease.

    Attributes:
        host: IP address of the node that holds it.
        start: Random id of the run of that node's process.
        lease: Id of the lease, unique for that process.
    """

    host: str
    start: int
    lease: int


@dataclasses.dataclass(slots=True)
class Lease:
    """A slot in use.

    Attributes:
        upstream_id: Upstream of the slot.
        service: Service of the upstream.
        pending_prompt_tokens: Prompt tokens not yet prefilled.
        queued_prompt_tokens: Prompt tokens of the request and of those before
            it at the start.
        granted_at: Time of the grant on the clock of the table, in seconds.
    """

    upstream_id: str
    service: str
    pending_prompt_tokens: int
    queued_prompt_tokens: int
    granted_at: float


@dataclasses.dataclass(slots=True)
class _Holder:
    heard_at: float
    sequence: int = -1
    leases: dict[LeaseKey, Lease] = dataclasses.field(default_factory=dict)


class LeaseTable:
    """Slots in use at each upstream, known exactly.

    Implements `LoadSource`.

    Args:
        now: Clock that tells how long other nodes are silent, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._leases: dict[LeaseKey, Lease] = {}
        self._holders: dict[tuple[str, int], _Holder] = {}
        self._loads: dict[str, UpstreamLoad] = {}
        # Monotonic time until which an upstream counts as silent, by upstream
        # and holder.
        self._silent_until: dict[str, dict[str, float]] = {}

    def get(self, key: LeaseKey) -> Lease | None:
        """Returns a lease, or None if it does not exist."""
        return self._leases.get(key)

    def start(self, key: LeaseKey, lease: Lease) -> None:
        """Adds a lease."""
        holder = self._holders.setdefault(
            (key.host, key.start), _Holder(self._now())
        )
        holder.heard_at = self._now()
        self._leases[key] = holder.leases[key] = lease
        load = self._loads.setdefault(lease.upstream_id, UpstreamLoad())
        load.requests += 1
        load.pending_prompt_tokens += lease.pending_prompt_tokens

    def record_first_event(self, key: LeaseKey) -> Lease | None:
        """Records that the prompt of a lease's request was prefilled.

        Returns:
            The lease; None if it is unknown or the event was recorded before.
        """
        lease = self._leases.get(key)
        if lease is None or not lease.pending_prompt_tokens:
            return None
        load = self._loads[lease.upstream_id]
        load.pending_prompt_tokens -= lease.pending_prompt_tokens
        lease.pending_prompt_tokens = 0
        self._silent_until.pop(lease.upstream_id, None)
        return lease

    def end(self, key: LeaseKey) -> Lease | None:
        """Removes a lease and returns it; None if it is unknown."""
        lease = self._leases.pop(key, None)
        if lease is None:
            return None
        self._holders[key.host, key.start].leases.pop(key, None)
        load = self._loads[lease.upstream_id]
        load.requests -= 1
        load.pending_prompt_tokens -= lease.pending_prompt_tokens
        if load.requests == 0:
            del self._loads[lease.upstream_id]
        return lease

    def apply_report(
        self,
        host: str,
        start: int,
        sequence: int,
        service: str,
        held: Iterable[HeldLease],
        silent: Iterable[str],
    ) -> bool:
        """Applies a node's report of its leases of a service.

        Unknown leases are added: another coordinator granted them. Leases that
        the report does not list have ended.

        Returns:
            Whether a slot was freed.
        """
        now = self._now()
        holder = self._holders.setdefault((host, start), _Holder(now))
        holder.heard_at = now
        if sequence <= holder.sequence:
            return False
        holder.sequence = sequence
        reported = set()
        for entry in held:
            key = LeaseKey(host, start, entry.lease)
            reported.add(key)
            if key not in self._leases:
                self.start(
                    key,
                    Lease(
                        entry.upstream_id,
                        service,
                        entry.pending_prompt_tokens,
                        entry.pending_prompt_tokens,
                        now,
                    ),
                )
        ended = [
            key
            for key, lease in holder.leases.items()
            if key not in reported
            and lease.service == service
            and now - lease.granted_at > _MIN_REPORTED_AGE_S
        ]
        for key in ended:
            self.end(key)
        for upstream_id in silent:
            self._silent_until.setdefault(upstream_id, {})[host] = (
                now + _SILENCE_LIFETIME_S
            )
        return bool(ended)

    def remove_expired(self) -> bool:
        """Ends the leases of nodes that no longer report.

        Returns:
            Whether a slot was freed.
        """
        oldest_at = self._now() - _REPORT_TIMEOUT_S
        has_freed = False
        for identity, holder in list(self._holders.items()):
            if holder.heard_at >= oldest_at:
                continue
            for key in list(holder.leases):
                self.end(key)
                has_freed = True
            del self._holders[identity]
        return has_freed

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Implements `LoadSource`."""
        load = self._loads.get(upstream_id)
        silent_until = self._silent_until.get(upstream_id)
        is_silent = silent_until is not None and (
            max(silent_until.values()) > self._now()
        )
        if load is None:
            return UpstreamLoad(is_silent=is_silent)
        return UpstreamLoad(
            load.requests, load.pending_prompt_tokens, is_silent
        )

    def may_claim_slot(self, upstream_id: str, free_slots: int) -> bool:
        """Implements `LoadSource`; nobody else grants these slots."""
        del upstream_id
        return free_slots > 0

    def silence_s(self, upstream_id: str) -> float:
        """Implements `LoadSource`; the holders report silent upstreams."""
        del upstream_id
        return 0.0

    def mark_silent(self, upstream_id: str) -> None:
        """Implements `LoadSource`."""
        del upstream_id
