"""Decisions taken for each request, for operators."""

import threading
from collections.abc import Mapping
from typing import Any

import cachetools

from tanagerport.clock import Clock
from tanagerport.model import Request

Detail = str | float | None | Mapping[str, float]

_REQUESTS = 4096
_EVENTS_PER_REQUEST = 32


class _Explanation:
    """Events of one request."""

    def __init__(self, request: Request, started: float) -> None:
        self.class_name = request.work_class.name
        self.customer = request.customer
        self.started = started
        self.events: list[dict[str, Any]] = []
        self.dropped = 0


class ExplanationLog:
    """Keeps the events of the latest requests.

    Bounded in requests and in events of each, so that it never takes more
    than a few megabytes. Neither prompts nor answers are kept.

    Args:
        clock: Source of time.
        requests: Requests to keep.
    """

    def __init__(self, clock: Clock, requests: int = _REQUESTS) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._explanations: cachetools.LRUCache[str, _Explanation] = (
            cachetools.LRUCache(requests)
        )

    def note(self, request: Request, event: str, **details: Detail) -> None:
        """Adds a decision about a request.

        Args:
            request: The request.
            event: Name of the event, such as `placed`.
            **details: Reasons and figures.
        """
        now = self._clock.monotonic()
        with self._lock:
            item = self._explanations.get(request.request_id)
            if item is None:
                item = _Explanation(request, request.received_at)
                self._explanations[request.request_id] = item
            if len(item.events) >= _EVENTS_PER_REQUEST:
                item.dropped += 1
                return
            item.events.append(
                {
                    "at_s": round(now - item.started, 6),
                    "event": event,
                    **details,
                }
            )

    def explain(self, request_id: str) -> Mapping[str, Any] | None:
        """Returns the events of a request, None if it is not known."""
        with self._lock:
            item = self._explanations.get(request_id)
            if item is None:
                return None
            return {
                "request_id": request_id,
                "class": item.class_name,
                "customer": item.customer,
                "events": list(item.events),
                "events_dropped": item.dropped,
            }
