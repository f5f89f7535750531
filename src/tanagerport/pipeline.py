"""The path of one request through the node, in the caller's thread."""

import dataclasses
import socket
import threading
import uuid
from collections.abc import Callable, Mapping
from typing import Protocol

from tanagerport.answers import Answer, AnswerKeeper, AnswerRecorder
from tanagerport.call_watch import CallWatch
from tanagerport.claims import create_claims
from tanagerport.class_status import ClassStatusTracker
from tanagerport.clock import Clock
from tanagerport.dispatch_control import UpstreamDispatchControl
from tanagerport.dispatch_records import DispatchRecords
from tanagerport.dispatched_answer import DispatchedAnswer, DispatchEnd
from tanagerport.exceptions import (
    AnswerInterruptedError,
    AnswerTruncatedError,
    CallerGoneError,
    RefusedError,
    UpstreamError,
    UpstreamNotStartedError,
    UpstreamOutcomeUnknownError,
)
from tanagerport.explain import ExplanationLog
from tanagerport.forwarding import Forwarder, ForwardServer
from tanagerport.interfaces import (
    PeerNetwork,
    VersionPolicy,
)
from tanagerport.key_claims import (
    Claim,
    ClaimOutcome,
    DuplicateKeyError,
    KeyClaims,
)
from tanagerport.key_homes import ClaimMembership
from tanagerport.metrics import Metrics
from tanagerport.model import (
    Ran,
    Refusal,
    RefusalReason,
    Request,
    UpstreamKind,
    WorkClass,
)
from tanagerport.peer_answer import AnswerWithHeader, PeerAnswer
from tanagerport.platform_api import TableStore
from tanagerport.retries import RetryBudget
from tanagerport.scheduler import Outcome, Placement, Scheduler
from tanagerport.settings import Settings, TimingSettings
from tanagerport.store_claims import StoreClaims, create_store_claims
from tanagerport.stream_pump import StreamPump
from tanagerport.upstream_client import (
    REQUEST_ID_HEADER,
    VERSION_HEADER,
    UpstreamCall,
    UpstreamClient,
)

_MAX_DISPATCHES = 4
_SILENT_INTERVALS = 20
# A document arrives whole, so its first byte may take the time of all its
# tokens; engines may be this much slower than their target.
_DOCUMENT_SLACK = 4
KEY_HEADER = "Idempotency-Key"
# Lets an engine's own logs and faults tell routes apart.
CLASS_HEADER = "X-Class"
_REPLAY_HEADER = "Idempotent-Replay"


class SpillPolicy(Protocol):
    """Choice of another node for a request that this one can't serve."""

    def choose_node(
        self, request: Request, refusal: Refusal | None
    ) -> str | None:
        """Returns the node to forward to; None serves or refuses here.

        Args:
            request: Request that has not been dispatched.
            refusal: Why this node refused it; None before it was tried.
        """

    def record(self, node_id: str, sent_bytes: int) -> None:
        """Counts the bytes of a forwarded request and its answer."""


class _NoClaim:
    """Claim of a request that may be repeated and has no key."""

    def settle(self, outcome: ClaimOutcome) -> None:
        """Does nothing."""


@dataclasses.dataclass
class _Run:
    """One request in the pipeline."""

    request: Request
    claim: Claim
    caller: socket.socket | None
    recorder: AnswerRecorder | None = None
    made_key: bool = False
    may_spill: bool = True
    ended: bool = False


class RequestPipeline:
    """Carries requests from admission to the end of their answer.

    Args:
        scheduler: Gives slots.
        client: Connections to upstreams.
        metrics: Metrics of the node.
        clock: Source of time.
        timing: Progress bounds.
        claims: Claims of idempotent requests with a key; None claims none.
        store_claims: Claims of calls that must not be repeated.
        answers: Keeps answers for resends.
        explanations: Steps of recent requests.
        forwarder: Calls to other nodes; None forwards and replays nothing.
        version_policy: Gets the result of each dispatch.
        spill: Chooses other nodes for requests that were refused here.
        class_status: Counts outcomes by class.
        on_leaving: Called with the id of an upstream that says that it is
            leaving.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        client: UpstreamClient,
        metrics: Metrics,
        clock: Clock,
        timing: TimingSettings,
        *,
        claims: KeyClaims | None = None,
        store_claims: StoreClaims | None = None,
        answers: AnswerKeeper | None = None,
        explanations: ExplanationLog | None = None,
        forwarder: Forwarder | None = None,
        version_policy: VersionPolicy | None = None,
        spill: SpillPolicy | None = None,
        class_status: ClassStatusTracker | None = None,
        on_leaving: Callable[[str], None] | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._timing = timing
        self._claims = claims
        self._store_claims = store_claims
        self._answers = answers or AnswerKeeper(clock)
        self._explanations = explanations or ExplanationLog(clock)
        self._forwarder = forwarder
        self._records = DispatchRecords(
            metrics, clock, version_policy, class_status
        )
        self._spill = spill
        self._on_leaving = on_leaving
        self._budget = RetryBudget(clock)
        self._pump = StreamPump()
        self._lock = threading.Lock()
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Number of requests that have not ended."""
        return self._in_progress

    @property
    def answers(self) -> AnswerKeeper:
        """Kept answers."""
        return self._answers

    @property
    def explanations(self) -> ExplanationLog:
        """Steps of recent requests."""
        return self._explanations

    def run(
        self, request: Request, caller: socket.socket | None = None
    ) -> Answer:
        """Claims and dispatches the request and returns its answer.

        Args:
            request: Checked request.
            caller: Socket of the caller; its close cancels the request.

        Returns:
            The answer; the caller must iterate or close it.

        Raises:
            RefusedError: The request was refused or failed.
        """
        return self._run(request, caller, self._claim)

    def run_forwarded(self, request: Request) -> Answer:
        """Runs a request of another node, which holds its claim."""
        return self._run(request, None, self._take_as_claimed)

    def _run(
        self,
        request: Request,
        caller: socket.socket | None,
        claim: Callable[[Request, socket.socket | None], _Run],
    ) -> Answer:
        self._metrics.requests.labels(request.work_class.name).inc()
        self._budget.record_request()
        self._explanations.note(
            request, "received", key=request.key, attempt=request.attempt
        )
        self._count(1)
        try:
            run = claim(request, caller)
        except DuplicateKeyError as error:
            return self._replay(request, error)
        except BaseException as error:
            self._count(-1)
            if isinstance(error, RefusedError):
                self._records.record_refusal(request)
            raise
        try:
            return self._place_or_forward(run)
        except RefusedError as error:
            not_run = error.refusal.ran is Ran.NO
            if not_run:
                self._records.record_refusal(request)
            self._end(
                run,
                ClaimOutcome.NOT_RUN if not_run else ClaimOutcome.UNKNOWN,
            )
            if run.made_key and run.request.key:
                error.headers = ((KEY_HEADER, run.request.key),)
            raise
        except BaseException:
            self._end(run, ClaimOutcome.UNKNOWN)
            raise

    def _claim(self, request: Request, caller: socket.socket | None) -> _Run:
        """Obtains the right to dispatch the request once."""
        if not request.work_class.idempotent:
            return self._claim_in_store(request, caller)
        if request.key is None or self._claims is None:
            return _Run(request, _NoClaim(), caller)
        # A key is forgotten a window after its claim; the request must
        # have ended by then.
        latest = self._clock.monotonic() + self._claims.window_s
        request = dataclasses.replace(
            request, deadline_at=min(request.deadline_at, latest)
        )
        run = _Run(request, self._claims.claim(request), caller)
        run.recorder = self._answers.start(request.request_id)
        return run

    def _claim_in_store(
        self, request: Request, caller: socket.socket | None
    ) -> _Run:
        if self._store_claims is None:
            raise RefusedError(
                Refusal(
                    RefusalReason.CLAIM_STORE_UNAVAILABLE,
                    "this node has no table service for claims",
                )
            )
        made_key = request.key is None
        if made_key:
            request = dataclasses.replace(request, key=uuid.uuid4().hex)
        claim = self._store_claims.claim(request, made_key)
        recorder = self._answers.start(request.request_id)
        return _Run(request, claim, caller, recorder, made_key)

    def _take_as_claimed(
        self, request: Request, caller: socket.socket | None
    ) -> _Run:
        # A forwarded request stays, so that zones can't pass it around.
        return _Run(request, _NoClaim(), caller, may_spill=False)

    def _replay(self, request: Request, error: DuplicateKeyError) -> Answer:
        try:
            if self._forwarder is None:
                raise error
            forwarded = self._forwarder.replay(error)
        except BaseException:
            self._count(-1)
            raise
        self._metrics.replays.inc()
        self._explanations.note(
            request, "replayed", owner=error.owner_request_id
        )
        return PeerAnswer(
            forwarded,
            [
                (REQUEST_ID_HEADER, error.owner_request_id),
                (_REPLAY_HEADER, "true"),
            ],
            on_end=lambda complete: self._count(-1),
        )

    def _place_or_forward(self, run: _Run) -> Answer:
        answer = self._try_forward(run, None)
        if answer is None:
            answer = self._place_or_spill(run)
        if run.made_key and run.request.key:
            return AnswerWithHeader(answer, KEY_HEADER, run.request.key)
        return answer

    def _place_or_spill(self, run: _Run) -> Answer:
        try:
            return self._place(run)
        except RefusedError as error:
            if error.refusal.ran is not Ran.NO:
                raise
            answer = self._try_forward(run, error.refusal)
            if answer is None:
                raise
            return answer

    def _try_forward(self, run: _Run, refusal: Refusal | None) -> Answer | None:
        """Forwards the request if another zone should serve it.

        Returns:
            None if no zone should, or the other node refused it and it
            provably did not run.
        """
        if self._spill is None or self._forwarder is None:
            return None
        if not run.may_spill:
            return None
        node_id = self._spill.choose_node(run.request, refusal)
        if node_id is None:
            return None
        try:
            return self._forward(run, self._forwarder, self._spill, node_id)
        except RefusedError as error:
            if error.refusal.ran is not Ran.NO:
                raise
            self._explanations.note(
                run.request,
                "forward_refused",
                node=node_id,
                reason=error.refusal.reason.value,
            )
            return None

    def _forward(
        self,
        run: _Run,
        forwarder: Forwarder,
        spill: SpillPolicy,
        node_id: str,
    ) -> Answer:
        self._explanations.note(run.request, "forwarded", node=node_id)
        forwarded = forwarder.forward(run.request, node_id)

        def end(complete: bool) -> None:
            spill.record(node_id, len(run.request.body) + answer.bytes_received)
            self._keep(run, complete, forwarded.status, forwarded.content_type)
            self._end(
                run,
                ClaimOutcome.FINISHED if complete else ClaimOutcome.UNKNOWN,
            )

        answer = PeerAnswer(
            forwarded,
            [(REQUEST_ID_HEADER, run.request.request_id)],
            on_end=end,
            recorder=run.recorder,
        )
        return answer

    def _place(self, run: _Run) -> DispatchedAnswer:
        request = run.request
        failed: frozenset[str] = frozenset()
        for _ in range(_MAX_DISPATCHES):
            placement = self._scheduler.acquire(request, failed)
            try:
                return self._dispatch(run, placement)
            except UpstreamNotStartedError as error:
                self._explanations.note(
                    request,
                    "not_started",
                    upstream=placement.vm.vm_id,
                    reason=str(error.reason),
                )
                if error.is_leaving:
                    self._note_leaving(placement)
                if not self._budget.take():
                    raise _refused(
                        RefusalReason.RETRY_BUDGET_EXHAUSTED,
                        "the retry budget is used up",
                    ) from error
                self._metrics.retries.labels(str(error.reason)).inc()
                failed |= {placement.vm.vm_id}
        raise _refused(
            RefusalReason.NO_UPSTREAM,
            f"{_MAX_DISPATCHES} upstreams did not start the request",
        )

    def _dispatch(self, run: _Run, placement: Placement) -> DispatchedAnswer:
        request = placement.request
        started = self._clock.monotonic()
        self._metrics.queue_wait.labels(request.work_class.tier).observe(
            started - request.received_at
        )
        self._explanations.note(
            request,
            "dispatched",
            upstream=placement.vm.vm_id,
            version=placement.version,
        )
        watch = CallWatch(self._clock, request.deadline_at, run.caller)
        control = UpstreamDispatchControl(placement, self._client, watch)
        self._metrics.streams.inc()
        is_sent = False
        try:
            watch.check_caller()
            self._scheduler.attach(placement, control)
            # A cancel may have come with the slot.
            watch.check()
            is_sent = True
            upstream = self._client.open(self._build_call(placement), watch)
        except UpstreamError as error:
            if isinstance(error, UpstreamNotStartedError):
                is_sent = False
            raise self._end_without_answer(
                run, placement, control, started, error, is_sent
            ) from error
        except BaseException:
            self._release_failed(placement, started)
            raise
        if upstream.is_leaving:
            self._note_leaving(placement)
        answer = DispatchedAnswer(
            request,
            upstream,
            control,
            self._clock,
            started,
            on_end=lambda end: self._finish(run, placement, answer, end),
            on_late=self._metrics.late_frames.inc,
            recorder=run.recorder,
            pump=self._pump,
        )
        return self._check_answer(answer, request)

    def _note_leaving(self, placement: Placement) -> None:
        if self._on_leaving is not None:
            self._on_leaving(placement.vm.vm_id)

    def _check_answer(
        self, answer: DispatchedAnswer, request: Request
    ) -> DispatchedAnswer:
        """Refuses a failed answer before its status line is sent."""
        is_engine = request.work_class.kind is UpstreamKind.ENGINE
        if is_engine and answer.status >= 500:
            failure = UpstreamOutcomeUnknownError(
                f"the engine answered with status {answer.status}"
            )
            answer.abort(failure)
            raise RefusedError(_refusal_of(failure, is_sent=True))
        try:
            answer.prepare()
        except UpstreamError as error:
            raise RefusedError(_refusal_of(error, is_sent=True)) from error
        return answer

    def _end_without_answer(
        self,
        run: _Run,
        placement: Placement,
        control: UpstreamDispatchControl,
        started: float,
        error: UpstreamError,
        is_sent: bool,
    ) -> Exception:
        """Records a dispatch without answer and returns what to raise."""
        if is_sent:
            # The request may wait or run at an engine that can't tell.
            control.cancel_at_upstream()
        end = DispatchEnd(
            Outcome(
                complete=False,
                started=is_sent,
                duration_s=self._clock.monotonic() - started,
            ),
            caller_gone=isinstance(error, CallerGoneError),
            reason=RefusalReason(error.reason)
            if isinstance(error, AnswerInterruptedError)
            else None,
        )
        self._release(placement, end)
        if isinstance(error, UpstreamNotStartedError):
            return error
        return RefusedError(_refusal_of(error, is_sent))

    def _release_failed(self, placement: Placement, started: float) -> None:
        outcome = Outcome(
            complete=False, duration_s=self._clock.monotonic() - started
        )
        self._release(placement, DispatchEnd(outcome))

    def _finish(
        self,
        run: _Run,
        placement: Placement,
        answer: DispatchedAnswer,
        end: DispatchEnd,
    ) -> None:
        """Records the end of a dispatch that brought an answer."""
        complete = end.outcome.complete
        self._release(placement, end)
        self._keep(run, complete, answer.status, answer.content_type)
        self._explanations.note(
            run.request,
            "answered",
            status=end.status,
            complete=complete,
            tokens=end.outcome.output_tokens,
        )
        self._end(
            run, ClaimOutcome.FINISHED if complete else ClaimOutcome.UNKNOWN
        )

    def _release(self, placement: Placement, end: DispatchEnd) -> None:
        self._metrics.streams.dec()
        self._scheduler.release(placement, end.outcome)
        self._records.record(placement, end)

    def _keep(
        self, run: _Run, complete: bool, status: int, content_type: str
    ) -> None:
        request = run.request
        if run.recorder is None:
            return
        if complete:
            self._answers.finish(
                request.request_id,
                request.customer,
                status,
                content_type,
                run.recorder,
            )
        else:
            self._answers.abandon(request.request_id)

    def _end(self, run: _Run, outcome: ClaimOutcome) -> None:
        if run.ended:
            return
        run.ended = True
        self._explanations.note(
            run.request, "ended", outcome=outcome.name.lower()
        )
        if outcome is not ClaimOutcome.FINISHED:
            self._answers.abandon(run.request.request_id)
        try:
            run.claim.settle(outcome)
        finally:
            self._count(-1)

    def _count(self, change: int) -> None:
        with self._lock:
            self._in_progress += change

    def _build_call(self, placement: Placement) -> UpstreamCall:
        request = placement.request
        work_class = request.work_class
        is_engine = work_class.kind is UpstreamKind.ENGINE
        headers = {} if is_engine else dict(request.headers)
        headers[REQUEST_ID_HEADER] = request.request_id
        headers["Content-Type"] = request.content_type
        if is_engine:
            headers[CLASS_HEADER] = work_class.name
        if placement.version:
            headers[VERSION_HEADER] = placement.version
        if request.key:
            headers[KEY_HEADER] = request.key
        progress_s = self._timing.progress_timeout_s
        silent_after_s = max(progress_s, 2 * work_class.first_token_target_s)
        if not is_engine:
            # A service can't be asked whether it has the call, and a slow
            # charge must not be given up while it runs.
            silent_after_s = max(silent_after_s, work_class.deadline_s / 2)
        elif not request.stream:
            silent_after_s += _document_time(request)
        return UpstreamCall(
            address=placement.vm.address,
            method="POST" if is_engine else request.method,
            path="/v1/chat/completions" if is_engine else request.service_path,
            headers=headers,
            body=request.body,
            silent_after_s=silent_after_s,
            progress_timeout_s=max(
                progress_s,
                _SILENT_INTERVALS * work_class.token_interval_target_s,
            ),
            # Resuming what is not paused has no effect but its answer.
            probe_path=f"/requests/{request.request_id}/resume"
            if is_engine
            else "",
        )


def _document_time(request: Request) -> float:
    """Returns the longest plausible time of an answer in one document."""
    work_class = request.work_class
    tokens = request.max_output_tokens or (
        _DOCUMENT_SLACK * work_class.typical_output_tokens
    )
    return _DOCUMENT_SLACK * tokens * work_class.token_interval_target_s


def _refusal_of(error: UpstreamError, is_sent: bool) -> Refusal:
    ran = Ran.UNKNOWN if is_sent else Ran.NO
    if isinstance(error, AnswerInterruptedError):
        return Refusal(RefusalReason(error.reason), str(error), ran)
    if isinstance(error, AnswerTruncatedError):
        return Refusal(RefusalReason.TRUNCATED, str(error), ran)
    return Refusal(RefusalReason.UPSTREAM_ERROR, str(error), ran)


def _refused(reason: RefusalReason, message: str) -> RefusedError:
    return RefusedError(Refusal(reason, message, retry_after_s=1.0))


def create_pipeline(
    scheduler: Scheduler,
    client: UpstreamClient,
    metrics: Metrics,
    clock: Clock,
    settings: Settings,
    *,
    membership: ClaimMembership,
    peers: PeerNetwork,
    classes: Callable[[], Mapping[str, WorkClass]],
    table: TableStore,
    version_policy: VersionPolicy | None = None,
    spill: SpillPolicy | None = None,
    explanations: ExplanationLog | None = None,
    class_status: ClassStatusTracker | None = None,
) -> RequestPipeline:
    """Builds the pipeline and registers its peer handlers.

    The handlers are `Claim`, `Settle`, `Forward` and `FetchAnswer`.

    Args:
        scheduler: Gives slots.
        client: Connections to upstreams.
        metrics: Metrics of the node.
        clock: Source of time.
        settings: Settings of the node.
        membership: Nodes and zones.
        peers: Calls between nodes.
        classes: Returns the classes in force.
        table: Table service.
        version_policy: Gets the result of each dispatch.
        spill: Chooses other nodes for requests that were refused here.
        explanations: Steps of recent requests.
        class_status: Counts outcomes by class.
    """
    pipeline = RequestPipeline(
        scheduler,
        client,
        metrics,
        clock,
        settings.timing,
        claims=create_claims(settings, membership, peers, clock, table),
        store_claims=create_store_claims(table, settings, clock),
        forwarder=Forwarder(membership, peers, metrics, clock),
        version_policy=version_policy,
        spill=spill,
        explanations=explanations,
        class_status=class_status,
        on_leaving=membership.mark_leaving,
    )
    server = ForwardServer(
        pipeline.run_forwarded, classes, pipeline.answers, clock
    )
    peers.register("Forward", server.serve_forward)
    peers.register("FetchAnswer", server.serve_fetch)
    return pipeline
