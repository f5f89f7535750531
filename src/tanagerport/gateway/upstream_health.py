"""What a node's own requests show of each upstream: speed and failures."""

import dataclasses
import time
from collections.abc import Callable

# Weight of a new sample of speed. Samples are few and speeds change within
# seconds, so one sample moves the estimate by a quarter.
_SPEED_WEIGHT = 0.25
# Speeds before the first sample of a service: tokens of a 70B model on a
# recent accelerator, and a short call of a web service.
_DEFAULT_TOKEN_S = 0.00002
_DEFAULT_CALL_S = 0.05
_DEFAULT_BASE_S = 0.01
# Prompts below the first bound show the time that every answer takes, those
# above the second one the time for each token.
_SHORT_PROMPT_TOKENS = 256
_LONG_PROMPT_TOKENS = 1024
_DEFAULT_EVENT_S = 0.02
# An upstream without an answer for this many failures in a row gets no work
# for a while; each further failure doubles that time.
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_S = 0.5
_MAX_EJECTION_S = 8.0
# Rejections mean that the upstream is full, or leaving without saying so.
_REJECTION_PAUSE_S = 0.15
_MAX_REJECTION_PAUSE_S = 2.0
# Weight of a new sample in the share of failed requests.
_FAILURE_WEIGHT = 0.15


@dataclasses.dataclass(slots=True)
class _Record:
    token_s: float | None = None
    call_s: float | None = None
    event_s: float | None = None
    base_s: float | None = None
    failures_in_row: int = 0
    rejections_in_row: int = 0
    failure_share: float = 0.0
    ejected_until: float = 0.0


class UpstreamHealth:
    """Speeds and failures by upstream.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self._now = now
        self._records: dict[str, _Record] = {}
        self._token_s_by_service: dict[str, float] = {}
        self._call_s_by_service: dict[str, float] = {}
        self._event_s_by_service: dict[str, float] = {}

    def is_ejected(self, upstream_id: str) -> bool:
        """Whether an upstream gets no work at present."""
        record = self._records.get(upstream_id)
        return record is not None and record.ejected_until > self._now()

    def is_probation(self, upstream_id: str) -> bool:
        """Whether an upstream failed last and has to prove itself."""
        record = self._records.get(upstream_id)
        return record is not None and (
            record.failures_in_row >= _FAILURES_TO_EJECT
        )

    def failure_share(self, upstream_id: str) -> float:
        """Returns the recent share of failed requests, 0 to 1."""
        record = self._records.get(upstream_id)
        return 0.0 if record is None else record.failure_share

    def token_s(self, upstream_id: str, service: str) -> float:
        """Returns the seconds that a prompt token takes to read."""
        record = self._records.get(upstream_id)
        if record is not None and record.token_s is not None:
            return record.token_s
        return self._token_s_by_service.get(service, _DEFAULT_TOKEN_S)

    def first_event_s(
        self, upstream_id: str, service: str, prompt_tokens: int
    ) -> float:
        """Returns the seconds until the first event of a stream."""
        record = self._records.get(upstream_id)
        base_s = None if record is None else record.base_s
        if base_s is None:
            base_s = _DEFAULT_BASE_S
        return base_s + prompt_tokens * self.token_s(upstream_id, service)

    def call_s(self, upstream_id: str, service: str) -> float:
        """Returns the seconds until the first byte of an answer."""
        record = self._records.get(upstream_id)
        if record is not None and record.call_s is not None:
            return record.call_s
        return self._call_s_by_service.get(service, _DEFAULT_CALL_S)

    def event_s(self, upstream_id: str, service: str) -> float:
        """Returns the mean seconds between events of a stream."""
        record = self._records.get(upstream_id)
        if record is not None and record.event_s is not None:
            return record.event_s
        return self._event_s_by_service.get(service, _DEFAULT_EVENT_S)

    def record_pace(
        self, upstream_id: str, service: str, event_s: float
    ) -> None:
        """Records the mean time between events of a stream, in seconds."""
        record = self._record(upstream_id)
        record.event_s = _blend(record.event_s, event_s)
        self._event_s_by_service[service] = _blend(
            self._event_s_by_service.get(service), event_s
        )

    def record_success(
        self,
        upstream_id: str,
        service: str,
        first_byte_s: float,
        tokens_ahead: int,
    ) -> None:
        """Records an answer.

        Args:
            upstream_id: Upstream that answered.
            service: Its service.
            first_byte_s: Seconds from dispatch to the first byte.
            tokens_ahead: Prompt tokens that had to be read until then, those
                of earlier requests included.
        """
        record = self._record(upstream_id)
        record.failures_in_row = 0
        record.rejections_in_row = 0
        record.failure_share *= 1 - _FAILURE_WEIGHT
        record.ejected_until = 0.0
        record.call_s = _blend(record.call_s, first_byte_s)
        self._call_s_by_service[service] = _blend(
            self._call_s_by_service.get(service), first_byte_s
        )
        if 0 < tokens_ahead < _SHORT_PROMPT_TOKENS:
            record.base_s = _blend(record.base_s, first_byte_s)
        elif tokens_ahead > _LONG_PROMPT_TOKENS:
            base_s = record.base_s or _DEFAULT_BASE_S
            token_s = max(first_byte_s - base_s, 0.0) / tokens_ahead
            record.token_s = _blend(record.token_s, token_s)
            self._token_s_by_service[service] = _blend(
                self._token_s_by_service.get(service), token_s
            )

    def record_failure(self, upstream_id: str) -> None:
        """Records a request that got no valid answer."""
        record = self._record(upstream_id)
        record.failures_in_row += 1
        record.failure_share += _FAILURE_WEIGHT * (1 - record.failure_share)
        excess = record.failures_in_row - _FAILURES_TO_EJECT
        if excess >= 0:
            pause_s = min(_FIRST_EJECTION_S * 2**excess, _MAX_EJECTION_S)
            record.ejected_until = self._now() + pause_s

    def record_failed_answer(self, upstream_id: str) -> None:
        """Records a whole answer that states a failure."""
        record = self._record(upstream_id)
        record.failures_in_row = 0
        record.failure_share += _FAILURE_WEIGHT * (1 - record.failure_share)

    def record_unreachable(self, upstream_id: str) -> None:
        """Records a connection that could not be opened."""
        record = self._record(upstream_id)
        record.failures_in_row = max(
            record.failures_in_row + 1, _FAILURES_TO_EJECT
        )
        excess = min(record.failures_in_row - _FAILURES_TO_EJECT, 4)
        pause_s = min(_FIRST_EJECTION_S * 2**excess, _MAX_EJECTION_S)
        record.ejected_until = self._now() + pause_s

    def record_rejection(self, upstream_id: str) -> None:
        """Records a request that the upstream did not run."""
        record = self._record(upstream_id)
        record.rejections_in_row += 1
        record.failure_share += _FAILURE_WEIGHT * (1 - record.failure_share)
        pause_s = min(
            _REJECTION_PAUSE_S * 2 ** (record.rejections_in_row - 1),
            _MAX_REJECTION_PAUSE_S,
        )
        record.ejected_until = max(record.ejected_until, self._now() + pause_s)

    def forget(self, upstream_id: str) -> None:
        """Drops what is known of an upstream that is gone."""
        self._records.pop(upstream_id, None)

    def _record(self, upstream_id: str) -> _Record:
        return self._records.setdefault(upstream_id, _Record())


def _blend(old: float | None, sample: float) -> float:
    if old is None:
        return sample
    return old + _SPEED_WEIGHT * (sample - old)
