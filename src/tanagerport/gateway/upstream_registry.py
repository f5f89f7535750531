"""Upstreams that may be used, from the rows that they keep in the store."""

import dataclasses
import time
from collections.abc import Callable, Iterable

from tanagerport.gateway.domain import UpstreamRecord, UpstreamState

# Rows lapse while the store is away and are back within about 2 s of its
# return; a row that is missing after that means a dead upstream.
_RETURN_GRACE_S = 2.0
# A store that answered again less than this ago may still lack rows.
_RECENT_OUTAGE_S = 2.0


@dataclasses.dataclass(slots=True)
class _Doubt:
    record: UpstreamRecord
    until: float


class UpstreamRegistry:
    """Upstreams by service.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._records: dict[str, UpstreamRecord] = {}
        self._doubts: dict[str, _Doubt] = {}
        self._by_service: dict[str, tuple[UpstreamRecord, ...]] = {}
        self._store_lost = False
        self._store_back_at = -_RECENT_OUTAGE_S
        self._on_gone: list[Callable[[UpstreamRecord], None]] = []
        self._on_change: list[Callable[[], None]] = []

    def notify_gone(self, callback: Callable[[UpstreamRecord], None]) -> None:
        """Adds a callback for upstreams that are gone or restarted."""
        self._on_gone.append(callback)

    def notify_change(self, callback: Callable[[], None]) -> None:
        """Adds a callback for any change."""
        self._on_change.append(callback)

    def usable(self, service: str) -> tuple[UpstreamRecord, ...]:
        """Returns the upstreams of a service that take new work."""
        return self._by_service.get(service, ())

    def get(self, upstream_id: str) -> UpstreamRecord | None:
        """Returns an upstream by its id."""
        return self._records.get(upstream_id)

    def all_records(self) -> tuple[UpstreamRecord, ...]:
        """Returns all known upstreams."""
        return tuple(self._records.values())

    def note_store(self, is_reachable: bool) -> None:
        """Records whether the store answers."""
        if is_reachable and self._store_lost:
            self._store_back_at = self._now()
        self._store_lost = not is_reachable

    def put(self, record: UpstreamRecord) -> None:
        """Adds or replaces an upstream."""
        previous = self._records.get(record.upstream_id)
        self._doubts.pop(record.upstream_id, None)
        if previous is not None and previous.started_ms != record.started_ms:
            self._announce_gone(previous)
        self._records[record.upstream_id] = record
        self._rebuild()

    def remove(self, upstream_id: str) -> None:
        """Handles a row that is gone from the store."""
        record = self._records.get(upstream_id)
        if record is None or upstream_id in self._doubts:
            return
        if self._is_row_loss_doubtful():
            self._doubts[upstream_id] = _Doubt(
                record, self._store_back_at + _RETURN_GRACE_S
            )
            return
        self._drop(record)

    def replace_all(self, records: Iterable[UpstreamRecord]) -> None:
        """Applies a whole read of the store."""
        present = {record.upstream_id: record for record in records}
        for record in present.values():
            if self._records.get(record.upstream_id) != record:
                self.put(record)
        for upstream_id in set(self._records) - set(present):
            self.remove(upstream_id)

    def drop_expired(self) -> None:
        """Drops upstreams whose rows did not come back in time."""
        now = self._now()
        for upstream_id, doubt in list(self._doubts.items()):
            if doubt.until <= now and not self._store_lost:
                del self._doubts[upstream_id]
                self._drop(doubt.record)

    def _is_row_loss_doubtful(self) -> bool:
        return (
            self._store_lost
            or self._now() - self._store_back_at < _RECENT_OUTAGE_S
        )

    def _drop(self, record: UpstreamRecord) -> None:
        self._records.pop(record.upstream_id, None)
        self._announce_gone(record)
        self._rebuild()

    def _announce_gone(self, record: UpstreamRecord) -> None:
        for callback in self._on_gone:
            callback(record)

    def _rebuild(self) -> None:
        by_service: dict[str, list[UpstreamRecord]] = {}
        for record in self._records.values():
            if record.state is UpstreamState.AVAILABLE:
                by_service.setdefault(record.service, []).append(record)
        self._by_service = {
            service: tuple(records) for service, records in by_service.items()
        }
        for callback in self._on_change:
            callback()
