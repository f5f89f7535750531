"""Latency estimates of upstreams, learned from the answers to all nodes.

Upstreams of one service differ in speed by a factor of four or more, and no
configuration states which are slow. Nodes share the samples that do not depend
on network latency, so a starting node has estimates within a second.
"""

import enum
import itertools
from collections.abc import Iterable

from tanagerport.gateway.untrusted_data import Integer, Seconds

# Weight of a new sample in the moving average. It is high because samples are
# few and speeds change within seconds.
_SAMPLE_WEIGHT = 0.25
# Prompts below the first bound yield samples of the base latency, prompts above
# the second one yield samples of the time per token.
_SHORT_PROMPT_TOKENS = 256
_LONG_PROMPT_TOKENS = 1024


class LatencyMetric(enum.IntEnum):
    """Kind of a latency sample; all are in seconds."""

    PROMPT_TOKEN = 0
    EVENT_INTERVAL = 1
    FIRST_EVENT_BASE = 2
    RESPONSE = 3


# Estimates before the first sample of a service. They fit a 70B model on a
# recent accelerator and a short call of a web service.
_DEFAULT_ESTIMATES_S = {
    LatencyMetric.PROMPT_TOKEN: 0.00002,
    LatencyMetric.EVENT_INTERVAL: 0.02,
    LatencyMetric.FIRST_EVENT_BASE: 0.01,
    LatencyMetric.RESPONSE: 0.05,
}
# An upstream of a plain service without samples is estimated at this share of
# the service's average, so that it gets requests: estimated at the average, it
# got none while a slow upstream got all. The factor does not apply to engines:
# their samples come from all nodes, and trying engines without samples early
# lowered the mean score ("worth") of twelve benchmark days by 0.008
# (docs/measurements.md).
_UNSAMPLED_RESPONSE_FACTOR = 0.8
# Maximum number of samples per report. Under load, each upstream has a new
# sample in every report interval; these would make up most of the report's
# bytes. A later sample replaces an unreported one of the same upstream and
# metric.
_MAX_REPORTED_SAMPLES = 5
_SHARED_METRICS = frozenset(
    {LatencyMetric.PROMPT_TOKEN, LatencyMetric.EVENT_INTERVAL}
)

Sample = tuple[str, str, Integer, Seconds]


class LatencyEstimator:
    """Moving averages by upstream, with the service's average as a fallback."""

    def __init__(self) -> None:
        self._by_upstream: dict[tuple[str, LatencyMetric], float] = {}
        self._by_service: dict[tuple[str, LatencyMetric], float] = {}
        self._unreported: dict[tuple[str, LatencyMetric], Sample] = {}

    def prompt_token_s(self, upstream_id: str, service: str) -> float:
        """Returns the time to prefill a prompt token, in seconds."""
        return self._estimate_s(
            upstream_id, service, LatencyMetric.PROMPT_TOKEN
        )

    def event_interval_s(self, upstream_id: str, service: str) -> float:
        """Returns the mean interval between events of a stream, in seconds."""
        return self._estimate_s(
            upstream_id, service, LatencyMetric.EVENT_INTERVAL
        )

    def response_s(self, upstream_id: str, service: str) -> float:
        """Returns the response time of a plain service, in seconds."""
        return self._estimate_s(upstream_id, service, LatencyMetric.RESPONSE)

    def first_event_s(
        self, upstream_id: str, service: str, prompt_tokens: int
    ) -> float:
        """Returns the time to the first event of a stream, in seconds."""
        return self._estimate_s(
            upstream_id, service, LatencyMetric.FIRST_EVENT_BASE
        ) + prompt_tokens * self.prompt_token_s(upstream_id, service)

    def record_event_interval(
        self, upstream_id: str, service: str, event_interval_s: float
    ) -> None:
        """Records the mean interval between events of a stream."""
        self._add_sample(
            upstream_id, service, LatencyMetric.EVENT_INTERVAL, event_interval_s
        )

    def record_first_byte(
        self,
        upstream_id: str,
        service: str,
        first_byte_s: float,
        queued_prompt_tokens: int,
    ) -> None:
        """Records the first byte of an answer.

        Args:
            upstream_id: Upstream that answered.
            service: Service of the upstream.
            first_byte_s: Seconds from dispatch to the first byte.
            queued_prompt_tokens: Prompt tokens that the upstream processed
                before that byte, those of earlier requests included; 0 for a
                plain service.
        """
        if queued_prompt_tokens == 0:
            self._add_sample(
                upstream_id, service, LatencyMetric.RESPONSE, first_byte_s
            )
        elif queued_prompt_tokens < _SHORT_PROMPT_TOKENS:
            self._add_sample(
                upstream_id,
                service,
                LatencyMetric.FIRST_EVENT_BASE,
                first_byte_s,
            )
        elif queued_prompt_tokens > _LONG_PROMPT_TOKENS:
            base_s = self._estimate_s(
                upstream_id, service, LatencyMetric.FIRST_EVENT_BASE
            )
            prompt_token_s = (
                max(first_byte_s - base_s, 0.0) / queued_prompt_tokens
            )
            self._add_sample(
                upstream_id, service, LatencyMetric.PROMPT_TOKEN, prompt_token_s
            )

    def take_samples(self) -> list[Sample]:
        """Removes and returns unreported samples, oldest first."""
        keys = list(itertools.islice(self._unreported, _MAX_REPORTED_SAMPLES))
        return [self._unreported.pop(key) for key in keys]

    def apply_samples(self, samples: Iterable[Sample]) -> None:
        """Applies samples of another node."""
        for upstream_id, service, metric, seconds in samples:
            if metric in _SHARED_METRICS:
                self._update_averages(
                    upstream_id, service, LatencyMetric(metric), seconds
                )

    def set_estimates(
        self,
        upstream_id: str,
        prompt_token_s: float,
        event_interval_s: float,
        response_s: float,
    ) -> None:
        """Takes over the estimates of a node that has more samples."""
        for metric, seconds in (
            (LatencyMetric.PROMPT_TOKEN, prompt_token_s),
            (LatencyMetric.EVENT_INTERVAL, event_interval_s),
            (LatencyMetric.RESPONSE, response_s),
        ):
            self._by_upstream[upstream_id, metric] = seconds

    def has_estimates(self, upstream_id: str) -> bool:
        """Returns whether there is any sample of an upstream."""
        return any(
            (upstream_id, metric) in self._by_upstream
            for metric in LatencyMetric
        )

    def retain_upstream(self, upstream_id: str, retained_id: str) -> None:
        """Averages the estimates of an upstream into those of another id.

        Args:
            upstream_id: Upstream that no longer exists.
            retained_id: Id under which its estimates are kept.
        """
        for metric in LatencyMetric:
            estimate = self._by_upstream.get((upstream_id, metric))
            if estimate is not None:
                retained = self._by_upstream.get((retained_id, metric))
                self._by_upstream[retained_id, metric] = (
                    estimate if retained is None else (retained + estimate) / 2
                )

    def remove_upstream(self, upstream_id: str) -> None:
        """Removes the estimates of an upstream that no longer exists."""
        for metric in LatencyMetric:
            self._by_upstream.pop((upstream_id, metric), None)

    def _estimate_s(
        self, upstream_id: str, service: str, metric: LatencyMetric
    ) -> float:
        estimate = self._by_upstream.get((upstream_id, metric))
        if estimate is not None:
            return estimate
        estimate = self._by_service.get((service, metric))
        if estimate is None:
            return _DEFAULT_ESTIMATES_S[metric]
        if metric is LatencyMetric.RESPONSE:
            return _UNSAMPLED_RESPONSE_FACTOR * estimate
        return estimate

    def _add_sample(
        self,
        upstream_id: str,
        service: str,
        metric: LatencyMetric,
        seconds: float,
    ) -> None:
        self._update_averages(upstream_id, service, metric, seconds)
        if metric in _SHARED_METRICS:
            self._unreported[upstream_id, metric] = (
                upstream_id,
                service,
                int(metric),
                seconds,
            )

    def _update_averages(
        self,
        upstream_id: str,
        service: str,
        metric: LatencyMetric,
        seconds: float,
    ) -> None:
        for estimates, key in (
            (self._by_upstream, upstream_id),
            (self._by_service, service),
        ):
            average = estimates.get((key, metric), seconds)
            estimates[key, metric] = average + _SAMPLE_WEIGHT * (
                seconds - average
            )
