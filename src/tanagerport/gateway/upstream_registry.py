"""Registry of upstreams, built from the rows that they keep in the store."""

import dataclasses
import time
from collections.abc import Callable, Iterable

from tanagerport.gateway.domain import UpstreamRecord, UpstreamState
from tanagerport.gateway.upstream_notices import Departures

# Rows expire while the store is unreachable and are rewritten within about 2 s
# of its recovery. A row that is still missing then belongs to a dead upstream.
_ROW_REAPPEARANCE_GRACE_S = 2.0
# Time after the store recovers in which rows may still be missing, in seconds.
_RECENT_OUTAGE_S = 2.0


@dataclasses.dataclass(slots=True)
class _PendingRemoval:
    record: UpstreamRecord
    due_at: float


class UpstreamRegistry:
    """Known upstreams, indexed by service.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._records: dict[str, UpstreamRecord] = {}
        self._pending_removals: dict[str, _PendingRemoval] = {}
        self._by_service: dict[str, tuple[UpstreamRecord, ...]] = {}
        self._departures = Departures(now)
        # Upstreams that are leaving though their rows don't say so.
        self._leaving: dict[str, tuple[UpstreamRecord, ...]] = {}
        self._is_store_unreachable = False
        self._era: int | None = None
        self._store_recovered_at = -_RECENT_OUTAGE_S
        self._removal_callbacks: list[Callable[[UpstreamRecord], None]] = []
        self._change_callbacks: list[Callable[[], None]] = []

    def add_removal_callback(
        self, callback: Callable[[UpstreamRecord], None]
    ) -> None:
        """Adds a callback for upstreams that were removed or restarted."""
        self._removal_callbacks.append(callback)

    def add_change_callback(self, callback: Callable[[], None]) -> None:
        """Adds a callback that runs after any change."""
        self._change_callbacks.append(callback)

    def usable(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Returns the upstreams of a service that take new work.

        If all of them announced that they are leaving, these are the ones whose
        drain timeout has not passed.
        """
        return self._by_service.get(service, ()) or self._departures.usable(
            self._leaving.get(service, ())
        )

    def leaving_ids(self, service: str) -> set[str]:
        """Returns the leaving upstreams that take no new work.

        Their rows still say that they are available.
        """
        return {
            record.upstream_id for record in self._leaving.get(service, ())
        } - {record.upstream_id for record in self.usable(service)}

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Returns an upstream by its id."""
        return self._records.get(upstream_id)

    def all_records(self) -> tuple[UpstreamRecord, ...]:
        """Returns all known upstreams."""
        return tuple(self._records.values())

    def record_store_state(self, is_reachable: bool) -> None:
        """Records whether the store is reachable."""
        if is_reachable and self._is_store_unreachable:
            self._store_recovered_at = self._now()
        self._is_store_unreachable = not is_reachable

    def record_leaving(
        self, upstream: UpstreamRecord, use_for_s: float
    ) -> bool:
        """Records that an upstream announced that it is leaving.

        Args:
            upstream: The upstream; only its start at that time is meant.
            use_for_s: Seconds for which it may be used if the service has no
                other upstream.

        Returns:
            Whether this was not known before.
        """
        is_new = self._departures.record(upstream, use_for_s)
        if is_new:
            self._rebuild_index()
        return is_new

    def put(self, record: UpstreamRecord) -> None:
        """Adds or replaces an upstream."""
        previous = self._records.get(record.upstream_id)
        self._pending_removals.pop(record.upstream_id, None)
        if previous is not None and previous.started_ms != record.started_ms:
            self._departures.record_replacement(previous, record)
            self._notify_removal(previous)
        self._records[record.upstream_id] = record
        self._rebuild_index()

    def remove(self, upstream_id: str) -> None:
        """Removes an upstream whose row disappeared from the store.

        The removal is deferred if the row may reappear after a store outage.
        """
        record = self._records.get(upstream_id)
        if record is None or upstream_id in self._pending_removals:
            return
        if self._may_row_reappear():
            self._pending_removals[upstream_id] = _PendingRemoval(
                record, self._store_recovered_at + _ROW_REAPPEARANCE_GRACE_S
            )
            return
        self._remove_now(record)

    def discard(self, upstream_id: str) -> None:
        """Removes an upstream at once if its row names none any more.

        The row is in the store, so unlike a missing one it won't reappear.
        """
        self._pending_removals.pop(upstream_id, None)
        record = self._records.get(upstream_id)
        if record is not None:
            self._remove_now(record)

    def replace_all(
        self, records: Iterable[UpstreamRecord], era: int = 0
    ) -> None:
        """Applies a complete read of the table.

        Args:
            records: All records of the table.
            era: Era of the store. In a new one, recent rows may be missing
                until they are written again.
        """
        if self._era is not None and era > self._era:
            self._store_recovered_at = self._now()
        self._era = era
        present = {record.upstream_id: record for record in records}
        for record in present.values():
            self._pending_removals.pop(record.upstream_id, None)
            if self._records.get(record.upstream_id) != record:
                self.put(record)
        for upstream_id in set(self._records) - set(present):
            self.remove(upstream_id)

    def remove_expired(self) -> None:
        """Removes upstreams whose rows did not reappear in time."""
        now = self._now()
        for upstream_id, pending in list(self._pending_removals.items()):
            if pending.due_at <= now and not self._is_store_unreachable:
                del self._pending_removals[upstream_id]
                self._remove_now(pending.record)

    def _may_row_reappear(self) -> bool:
        return (
            self._is_store_unreachable
            or self._now() - self._store_recovered_at < _RECENT_OUTAGE_S
        )

    def _remove_now(self, record: UpstreamRecord) -> None:
        self._records.pop(record.upstream_id, None)
        self._departures.record_removal(record)
        self._notify_removal(record)
        self._rebuild_index()

    def _notify_removal(self, record: UpstreamRecord) -> None:
        for callback in self._removal_callbacks:
            callback(record)

    def _rebuild_index(self) -> None:
        available = [
            record
            for record in self._records.values()
            if record.state is UpstreamState.AVAILABLE
        ]
        self._by_service = _group_by_service(
            record
            for record in available
            if not self._departures.is_leaving(record)
        )
        self._leaving = _group_by_service(
            filter(self._departures.is_leaving, available)
        )
        for callback in self._change_callbacks:
            callback()


def _group_by_service(
    records: Iterable[UpstreamRecord],
) -> dict[str, tuple[UpstreamRecord, ...]]:
    by_service: dict[str, list[UpstreamRecord]] = {}
    for record in records:
        by_service.setdefault(record.service, []).append(record)
    return {service: tuple(group) for service, group in by_service.items()}
