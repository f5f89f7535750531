"""What is learned from each dispatch: metrics and samples of versions."""

from tanagerport.class_status import ClassStatusTracker
from tanagerport.clock import Clock
from tanagerport.dispatched_answer import DispatchEnd
from tanagerport.interfaces import VersionPolicy, VersionSample
from tanagerport.metrics import Metrics
from tanagerport.model import RefusalReason, Request, UpstreamKind
from tanagerport.scheduler import Outcome, Placement

_CHARS_PER_TOKEN = 4
_HTTP_NOT_FOUND = 404


class DispatchRecords:
    """Records the ends of dispatches.

    Args:
        metrics: Metrics of the node.
        clock: Source of time.
        version_policy: Gets a sample of each dispatch to an engine.
        class_status: Counts outcomes by class.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Clock,
        version_policy: VersionPolicy | None,
        class_status: ClassStatusTracker | None = None,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._version_policy = version_policy
        self._class_status = class_status

    def record(self, placement: Placement, end: DispatchEnd) -> None:
        """Records the end of a dispatch."""
        request, outcome = placement.request, end.outcome
        if end.caller_gone:
            self._metrics.callers_gone.inc()
        if outcome.started and not outcome.complete:
            self._metrics.wasted_prefill.inc(_prompt_tokens(request))
        is_met = self._observe(request, outcome)
        if self._class_status is not None and outcome.started:
            self._class_status.record(request.work_class.name, is_met)
        self._sample(placement, end)

    def record_refusal(self, request: Request) -> None:
        """Records a request that did not run."""
        if self._class_status is not None:
            self._class_status.record(
                request.work_class.name, met=False, refused=True
            )

    def _observe(self, request: Request, outcome: Outcome) -> bool:
        """Updates the metrics; returns whether the target was met."""
        if outcome.first_token_s is None:
            return False
        name = request.work_class.name
        elapsed_s = self._clock.monotonic() - request.received_at
        queued_s = elapsed_s - outcome.duration_s
        first_token_s = queued_s + outcome.first_token_s
        self._metrics.first_token.labels(name).observe(first_token_s)
        interval_s = token_interval(request, outcome)
        if interval_s is not None:
            self._metrics.token_interval.labels(name).observe(interval_s)
        is_met = outcome.complete and meets_target(
            request, first_token_s, elapsed_s, outcome
        )
        if is_met:
            self._metrics.goodput.labels(request.work_class.tier).inc()
        return is_met

    def _sample(self, placement: Placement, end: DispatchEnd) -> None:
        """Tells the version policy how the version did.

        What callers or the node ended says nothing about the version,
        except a deadline that passed.
        """
        request = placement.request
        work_class = request.work_class
        if self._version_policy is None or not end.outcome.started:
            return
        if work_class.kind is not UpstreamKind.ENGINE or end.caller_gone:
            return
        if end.reason not in (None, RefusalReason.DEADLINE_PASSED):
            return
        is_missing = end.status == _HTTP_NOT_FOUND
        self._version_policy.record(
            VersionSample(
                model=work_class.model,
                version=end.version or placement.version,
                class_name=work_class.name,
                upstream_id=placement.vm.vm_id,
                at=self._clock.monotonic(),
                failed=not end.outcome.complete or is_missing,
                first_token_s=end.outcome.first_token_s,
                token_interval_s=token_interval(request, end.outcome),
            )
        )


def token_interval(request: Request, outcome: Outcome) -> float | None:
    """Returns the mean seconds between tokens of a stream.

    Returns:
        None below two tokens, or where they arrived in one document.
    """
    if not request.stream or outcome.first_token_s is None:
        return None
    if outcome.output_tokens < 2:
        return None
    generating_s = outcome.duration_s - outcome.first_token_s
    return generating_s / (outcome.output_tokens - 1)


def meets_target(
    request: Request, first_token_s: float, elapsed_s: float, outcome: Outcome
) -> bool:
    """Returns whether a whole answer met the target of its class."""
    work_class = request.work_class
    if request.received_at + elapsed_s > request.deadline_at:
        return False
    if work_class.kind is UpstreamKind.SERVICE:
        return elapsed_s <= work_class.first_token_target_s
    interval_target_s = work_class.token_interval_target_s
    if not request.stream:
        tokens_s = outcome.output_tokens * interval_target_s
        return elapsed_s <= work_class.first_token_target_s + tokens_s
    interval_s = token_interval(request, outcome)
    return first_token_s <= work_class.first_token_target_s and (
        interval_s is None or interval_s <= interval_target_s
    )


def _prompt_tokens(request: Request) -> int:
    if request.work_class.kind is not UpstreamKind.ENGINE:
        return 0
    return max(1, len(request.prompt) // _CHARS_PER_TOKEN)
