"""Estimates of how long answers are, for requests without one of their own.

The maximum that a request names is no estimate: most clients of language
models name a generous one, which their answers rarely reach.
"""

import collections
import dataclasses
import statistics
import time
from collections.abc import Callable

from tanagerport.gateway.domain import Service, WorkEstimate
from tanagerport.gateway.work_item import Placement, WorkItem

# Tokens of an answer of which nothing is known: a few paragraphs. A first guess
# that is too short is corrected by the first answers; one that is too long
# refuses the requests from which it could be corrected.
_FIRST_GUESS_TOKENS = 256
# Answers of one kind that are kept, the latest ones, and those without which
# the answers of the whole route are taken.
_MAX_SAMPLES = 32
_MIN_SAMPLES = 5
# Seconds without an answer after which a kind is forgotten: an estimate by
# which all requests are refused gets no answers that would correct it.
_MAX_AGE_S = 60.0
# Kinds that are kept, the latest ones.
_MAX_KINDS = 1000

_Kind = tuple[str, str, str]


@dataclasses.dataclass(slots=True)
class _Lengths:
    """Lengths of the latest answers of one kind.

    Attributes:
        recorded_at: Monotonic time of the latest one, in seconds.
        tokens: Tokens of each.
    """

    recorded_at: float
    tokens: collections.deque[int]


class OutputEstimator:
    """Learns the lengths of answers by service, route and customer.

    Args:
        find_service: Returns a service of the applied configuration.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        find_service: Callable[[str], Service],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._find_service = find_service
        self._now = now
        self._kinds: dict[_Kind, _Lengths] = {}

    def estimate(
        self, service: str, route: str, customer: str, work: WorkEstimate
    ) -> WorkEstimate:
        """Returns the work of a request with the median of such answers.

        Args:
            service: Service of the request.
            route: Name of its route.
            customer: Name of its customer; empty without one.
            work: Its work, of which the maximum is known.
        """
        tokens = float(_FIRST_GUESS_TOKENS)
        for kind in _kinds(service, route, customer):
            known = self._kinds.get(kind)
            if (
                known is not None
                and len(known.tokens) >= _MIN_SAMPLES
                and self._now() - known.recorded_at < _MAX_AGE_S
            ):
                tokens = statistics.median(known.tokens)
                break
        return dataclasses.replace(
            work,
            expected_output_tokens=min(round(tokens), work.max_output_tokens),
        )

    def record_whole(self, placement: Placement, customer: str) -> None:
        """Records an answer that is whole."""
        tokens = self._count_tokens(placement)
        if tokens:
            self._record(placement.item, customer, tokens)

    def record_cut(self, placement: Placement, customer: str) -> None:
        """Records an answer that would have been longer.

        It tells of the length only if it is longer than such answers are.
        """
        item = placement.item
        tokens = self._count_tokens(placement)
        expected = self.estimate(
            item.service, item.route.name, customer, item.work
        )
        if tokens > expected.expected_output_tokens:
            self._record(item, customer, tokens)

    def _count_tokens(self, placement: Placement) -> int:
        service = self._find_service(placement.item.service)
        if not service.is_engine:
            return 0
        return round(placement.event_count * service.tokens_per_event)

    def _record(self, item: WorkItem, customer: str, tokens: int) -> None:
        for kind in _kinds(item.service, item.route.name, customer):
            # The kind used last is dropped last.
            known = self._kinds.pop(kind, None)
            if known is None or self._now() - known.recorded_at >= _MAX_AGE_S:
                known = _Lengths(0.0, collections.deque(maxlen=_MAX_SAMPLES))
            known.recorded_at = self._now()
            known.tokens.append(tokens)
            self._kinds[kind] = known
        while len(self._kinds) > _MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]


def _kinds(service: str, route: str, customer: str) -> list[_Kind]:
    """Returns the kinds of a request, the narrowest first."""
    return [(service, route, customer), (service, route, "")]
