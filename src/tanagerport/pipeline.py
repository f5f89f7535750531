"""The path of one request through the node, in the caller's thread."""

import threading
from collections.abc import Iterator, Sequence

from tanagerport.clock import Clock
from tanagerport.exceptions import (
    RefusedError,
    UpstreamNotStartedError,
    UpstreamOutcomeUnknownError,
)
from tanagerport.metrics import Metrics
from tanagerport.model import (
    Ran,
    Refusal,
    RefusalReason,
    Request,
    UpstreamKind,
)
from tanagerport.relay import AnswerCheck, relay_events
from tanagerport.scheduler import Outcome, Placement, Scheduler
from tanagerport.upstream_client import (
    REQUEST_ID_HEADER,
    VERSION_HEADER,
    UpstreamAnswer,
    UpstreamCall,
    UpstreamClient,
)

_MAX_DISPATCHES = 4
_EVENT_STREAM = "text/event-stream"


class Answer:
    """Answer to a caller; the body must be iterated or closed."""

    def __init__(
        self,
        pipeline: "RequestPipeline",
        placement: Placement,
        upstream: UpstreamAnswer,
        dispatched_at: float,
    ) -> None:
        self._pipeline = pipeline
        self._placement = placement
        self._upstream = upstream
        self._dispatched_at = dispatched_at
        self._check = AnswerCheck()
        self._first_byte_at: float | None = None
        self._finished = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._upstream.status

    @property
    def headers(self) -> Sequence[tuple[str, str]]:
        """HTTP headers for the caller."""
        headers = [
            (
                "Content-Type",
                self._upstream.headers.get("Content-Type")
                or "application/octet-stream",
            ),
            (REQUEST_ID_HEADER, self._placement.request.request_id),
        ]
        length = self._upstream.headers.get("Content-Length")
        if length is not None:
            headers.append(("Content-Length", length))
        return headers

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AnswerTruncatedError: The upstream's answer ended early.
        """
        chunks = self._upstream.chunks()
        if self.headers[0][1].startswith(_EVENT_STREAM):
            chunks = relay_events(chunks, self._check)
        for chunk in chunks:
            if self._first_byte_at is None:
                self._first_byte_at = self._pipeline.now()
            yield chunk
        self._upstream.release()
        self._finish(complete=True)

    def close(self) -> None:
        """Ends an answer that was not read to its end."""
        if not self._finished:
            self._upstream.close()
            self._finish(complete=False)

    def _finish(self, complete: bool) -> None:
        self._finished = True
        now = self._pipeline.now()
        first_token_s = None
        if self._first_byte_at is not None:
            first_token_s = self._first_byte_at - self._dispatched_at
        outcome = Outcome(
            complete=complete,
            first_token_s=first_token_s,
            duration_s=now - self._dispatched_at,
            output_tokens=max(self._check.events - 2, 0),
        )
        self._pipeline.finish(self._placement, outcome)


class RequestPipeline:
    """Carries requests from admission to the end of their answer.

    Args:
        scheduler: Gives slots.
        client: Connections to upstreams.
        metrics: Metrics of the node.
        clock: Source of time.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        client: UpstreamClient,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._lock = threading.Lock()
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return self._in_progress

    def now(self) -> float:
        """Returns monotonic seconds."""
        return self._clock.monotonic()

    def run(self, request: Request) -> Answer:
        """Dispatches the request and returns its answer.

        Args:
            request: Checked request.

        Returns:
            The answer; the caller must iterate or close it.

        Raises:
            RefusedError: The request was refused or failed.
        """
        self._metrics.requests.labels(request.work_class.name).inc()
        self._count(1)
        try:
            return self._place(request)
        except BaseException:
            self._count(-1)
            raise

    def _place(self, request: Request) -> Answer:
        failed: frozenset[str] = frozenset()
        for _ in range(_MAX_DISPATCHES):
            placement = self._scheduler.acquire(request, failed)
            try:
                return self._dispatch(placement)
            except UpstreamNotStartedError as error:
                self._metrics.retries.labels(error.reason).inc()
                failed |= {placement.vm.vm_id}
        raise RefusedError(
            Refusal(
                RefusalReason.NO_UPSTREAM,
                f"{_MAX_DISPATCHES} upstreams did not start the request",
                retry_after_s=1.0,
            )
        )

    def finish(self, placement: Placement, outcome: Outcome) -> None:
        """Records the end of a dispatch."""
        self._metrics.streams.dec()
        self._scheduler.release(placement, outcome)
        self._count(-1)
        request = placement.request
        elapsed_s = self.now() - request.received_at
        queued_s = elapsed_s - outcome.duration_s
        if outcome.first_token_s is not None:
            first_token_s = queued_s + outcome.first_token_s
            self._metrics.first_token.labels(request.work_class.name).observe(
                first_token_s
            )
            if outcome.complete and meets_target(
                request, first_token_s, elapsed_s, outcome
            ):
                self._metrics.goodput.labels(request.work_class.tier).inc()

    def _count(self, change: int) -> None:
        with self._lock:
            self._in_progress += change

    def _dispatch(self, placement: Placement) -> Answer:
        request = placement.request
        started = self.now()
        self._metrics.queue_wait.labels(request.work_class.tier).observe(
            started - request.received_at
        )
        self._metrics.streams.inc()
        try:
            upstream = self._client.open(self._build_call(placement, started))
        except UpstreamNotStartedError:
            self._metrics.streams.dec()
            self._scheduler.release(
                placement, Outcome(complete=False, started=False)
            )
            raise
        except UpstreamOutcomeUnknownError as error:
            self._metrics.streams.dec()
            self._scheduler.release(
                placement,
                Outcome(complete=False, duration_s=self.now() - started),
            )
            raise RefusedError(
                Refusal(RefusalReason.UPSTREAM_ERROR, str(error), Ran.UNKNOWN)
            ) from error
        return Answer(self, placement, upstream, started)

    def _build_call(self, placement: Placement, now: float) -> UpstreamCall:
        request = placement.request
        headers = {
            REQUEST_ID_HEADER: request.request_id,
            "Content-Type": request.content_type,
        }
        if placement.version:
            headers[VERSION_HEADER] = placement.version
        if request.key:
            headers["Idempotency-Key"] = request.key
        is_engine = request.work_class.kind is UpstreamKind.ENGINE
        return UpstreamCall(
            address=placement.vm.address,
            method="POST" if is_engine else request.method,
            path="/v1/chat/completions" if is_engine else request.service_path,
            headers=headers,
            body=request.body,
            first_byte_timeout_s=request.deadline_at - now,
        )


def meets_target(
    request: Request, first_token_s: float, elapsed_s: float, outcome: Outcome
) -> bool:
    """Returns whether a whole answer met the target of its class."""
    work_class = request.work_class
    if request.received_at + elapsed_s > request.deadline_at:
        return False
    if first_token_s > work_class.first_token_target_s:
        return False
    if outcome.output_tokens < 2 or outcome.first_token_s is None:
        return True
    generating_s = outcome.duration_s - outcome.first_token_s
    interval_s = generating_s / (outcome.output_tokens - 1)
    return interval_s <= work_class.token_interval_target_s
