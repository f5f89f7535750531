"""Speeds of upstreams, learned from the answers of all nodes.

Upstreams of one service differ in speed by a factor of four and more, and no
one says which are slow. Samples that do not depend on the distance are shared
between nodes, so that a node that starts knows the speeds within a second.
"""

import enum
import itertools
from collections.abc import Iterable

# Weight of a new sample. Samples are few and speeds change within seconds, so
# one sample moves the estimate by a quarter.
_WEIGHT = 0.25
# Prompts below the first bound show the time that every answer takes, those
# above the second one the time for each token.
_SHORT_PROMPT_TOKENS = 256
_LONG_PROMPT_TOKENS = 1024


class Metric(enum.IntEnum):
    """What is measured, in seconds."""

    TOKEN = 0
    EVENT = 1
    BASE = 2
    CALL = 3


# Estimates before the first sample of a service: a 70B model on a recent
# accelerator, and a short call of a web service.
_DEFAULTS_S = {
    Metric.TOKEN: 0.00002,
    Metric.EVENT: 0.02,
    Metric.BASE: 0.01,
    Metric.CALL: 0.05,
}
# A plain service's upstream without samples counts as this much faster than
# its service, so that it is tried. Taken as equal, it got nothing while all
# calls went to a slow one. Samples of engines come from all nodes, and trying
# an unknown engine early cost 0.008 of the worth of twelve days.
_UNKNOWN_CALL_SHARE = 0.8
# Samples in one report. Under load each upstream has a new one for each report,
# and they made up most of its bytes; a later sample replaces one that waits.
_REPORTED_SAMPLES = 5
_SHARED = frozenset({Metric.TOKEN, Metric.EVENT})

Sample = tuple[str, str, int, float]


class UpstreamSpeeds:
    """Estimates by upstream, and by service where an upstream has none."""

    def __init__(self) -> None:
        self._by_upstream: dict[tuple[str, Metric], float] = {}
        self._by_service: dict[tuple[str, Metric], float] = {}
        self._unsent: dict[tuple[str, Metric], Sample] = {}

    def token_s(self, upstream_id: str, service: str) -> float:
        """Returns the seconds that a prompt token takes to read."""
        return self._get(upstream_id, service, Metric.TOKEN)

    def event_s(self, upstream_id: str, service: str) -> float:
        """Returns the mean seconds between events of a stream."""
        return self._get(upstream_id, service, Metric.EVENT)

    def call_s(self, upstream_id: str, service: str) -> float:
        """Returns the seconds until the answer of a plain service."""
        return self._get(upstream_id, service, Metric.CALL)

    def first_event_s(
        self, upstream_id: str, service: str, prompt_tokens: int
    ) -> float:
        """Returns the seconds until the first event of a stream."""
        return self._get(
            upstream_id, service, Metric.BASE
        ) + prompt_tokens * self.token_s(upstream_id, service)

    def record_pace(
        self, upstream_id: str, service: str, event_s: float
    ) -> None:
        """Records the mean time between events of a stream, in seconds."""
        self._add(upstream_id, service, Metric.EVENT, event_s)

    def record_answer(
        self,
        upstream_id: str,
        service: str,
        first_byte_s: float,
        queued_prompt_tokens: int,
    ) -> None:
        """Records the first byte of an answer.

        Args:
            upstream_id: Upstream that answered.
            service: Its service.
            first_byte_s: Seconds from dispatch to the first byte.
            queued_prompt_tokens: Prompt tokens that the upstream processed
                before that byte, those of earlier requests included; 0 for a
                plain service.
        """
        if queued_prompt_tokens == 0:
            self._add(upstream_id, service, Metric.CALL, first_byte_s)
        elif queued_prompt_tokens < _SHORT_PROMPT_TOKENS:
            self._add(upstream_id, service, Metric.BASE, first_byte_s)
        elif queued_prompt_tokens > _LONG_PROMPT_TOKENS:
            base_s = self._get(upstream_id, service, Metric.BASE)
            token_s = max(first_byte_s - base_s, 0.0) / queued_prompt_tokens
            self._add(upstream_id, service, Metric.TOKEN, token_s)

    def take_samples(self) -> list[Sample]:
        """Returns some samples that other nodes do not have, oldest first."""
        names = list(itertools.islice(self._unsent, _REPORTED_SAMPLES))
        return [self._unsent.pop(name) for name in names]

    def apply_samples(self, samples: Iterable[Sample]) -> None:
        """Adds samples of another node."""
        for upstream_id, service, metric, seconds in samples:
            if metric in _SHARED:
                self._blend(upstream_id, service, Metric(metric), seconds)

    def forget(self, upstream_id: str) -> None:
        """Drops what is known of an upstream that is gone."""
        for metric in Metric:
            self._by_upstream.pop((upstream_id, metric), None)

    def _get(self, upstream_id: str, service: str, metric: Metric) -> float:
        estimate = self._by_upstream.get((upstream_id, metric))
        if estimate is not None:
            return estimate
        estimate = self._by_service.get((service, metric))
        if estimate is None:
            return _DEFAULTS_S[metric]
        if metric is Metric.CALL:
            return _UNKNOWN_CALL_SHARE * estimate
        return estimate

    def _add(
        self, upstream_id: str, service: str, metric: Metric, seconds: float
    ) -> None:
        self._blend(upstream_id, service, metric, seconds)
        if metric in _SHARED:
            self._unsent[upstream_id, metric] = (
                upstream_id,
                service,
                int(metric),
                seconds,
            )

    def _blend(
        self, upstream_id: str, service: str, metric: Metric, seconds: float
    ) -> None:
        for estimates, name in (
            (self._by_upstream, upstream_id),
            (self._by_service, service),
        ):
            old = estimates.get((name, metric), seconds)
            estimates[name, metric] = old + _WEIGHT * (seconds - old)
