"""Bounded record of scheduling decisions, for the explain command."""

import collections
import dataclasses
from collections.abc import Mapping
from typing import Any

_MAX_RECORDS = 4096
_MAX_EVENTS = 32


@dataclasses.dataclass
class _Record:
    class_name: str
    tier: int
    customer: str
    started_at: float
    events: list[tuple[float, str, Mapping[str, Any]]]


class DecisionLog:
    """Decisions on the most recent requests.

    Not safe for concurrent use.

    Args:
        max_records: Requests kept.
    """

    def __init__(self, max_records: int = _MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def start(
        self,
        request_id: str,
        class_name: str,
        tier: int,
        customer: str,
        now: float,
    ) -> None:
        """Begins the record of a request, or continues it on a retry."""
        if request_id not in self._records:
            self._records[request_id] = _Record(
                class_name, tier, customer, now, []
            )
            while len(self._records) > self._max_records:
                self._records.popitem(last=False)

    def add(
        self, request_id: str, now: float, event: str, **details: Any
    ) -> None:
        """Adds an event to the record of a request."""
        record = self._records.get(request_id)
        if record is not None and len(record.events) < _MAX_EVENTS:
            record.events.append((now, event, details))

    def explain(self, request_id: str) -> Mapping[str, Any] | None:
        """Returns what was decided on a request; None when unknown."""
        record = self._records.get(request_id)
        if record is None:
            return None
        return {
            "request_id": request_id,
            "class": record.class_name,
            "tier": record.tier,
            "customer": record.customer,
            "events": [
                {
                    "after_s": round(at - record.started_at, 6),
                    "event": event,
                    **details,
                }
                for at, event, details in record.events
            ],
        }
