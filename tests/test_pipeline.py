"""Tests of one request's path, against upstreams that fail on purpose."""

import dataclasses
import itertools
import socket
import threading
import time
from collections.abc import Iterator

import pytest

from scripted_upstream import (
    ReceivedRequest,
    Script,
    ScriptedUpstream,
    chunk,
    completion,
    final_events,
    request_id_header,
    send_document,
    send_stream,
    send_stream_head,
    token_event,
)
from tanagerport.body_decoders import ChunkedDecoder
from tanagerport.clock import FakeClock, SystemClock
from tanagerport.connection_pool import ConnectionPool
from tanagerport.exceptions import (
    AnswerInterruptedError,
    AnswerTruncatedError,
    CallerGoneError,
    RefusedError,
    UpstreamError,
)
from tanagerport.interfaces import VersionSample
from tanagerport.metrics import Metrics
from tanagerport.model import (
    VM,
    Ran,
    Refusal,
    RefusalReason,
    Request,
    UpstreamKind,
    VMRole,
    WorkClass,
)
from tanagerport.pipeline import RequestPipeline
from tanagerport.platform_memory import MemoryTableStore
from tanagerport.relay import EventCheck
from tanagerport.retries import RetryBudget
from tanagerport.scheduler import DispatchControl, Outcome, Placement
from tanagerport.settings import TimingSettings
from tanagerport.store_claims import StoreClaims
from tanagerport.upstream_client import UpstreamClient

_ENGINE = WorkClass(
    "caption-hint",
    0,
    UpstreamKind.ENGINE,
    "tutor",
    first_token_target_s=0.1,
    token_interval_target_s=0.01,
)
_BOOKING = WorkClass(
    "booking", 1, UpstreamKind.SERVICE, "booking", idempotent=False
)
# Tests of pooled connections must not depend on how fast they run.
_TIMING = TimingSettings(
    progress_timeout_s=1.0, connection_max_age_s=60, connection_max_idle_s=60
)


class _ShiftedClock(SystemClock):
    """Clock that a test can move, so that deadlines pass when it says."""

    shift = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.shift


class _Scheduler:
    """Gives the upstreams in order and records what it is told."""

    def __init__(self, upstreams: list[str]) -> None:
        self.vms = [
            VM(f"vm-{index}", VMRole.ENGINE, "z", "r", address)
            for index, address in enumerate(upstreams)
        ]
        self.outcomes: list[Outcome] = []
        self.controls: list[DispatchControl] = []
        self.refusal: Refusal | None = None
        self._ids = itertools.count(1)

    def acquire(
        self, request: Request, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        if self.refusal:
            raise RefusedError(self.refusal)
        vm = next((vm for vm in self.vms if vm.vm_id not in excluded), None)
        if vm is None:
            raise RefusedError(Refusal(RefusalReason.NO_UPSTREAM, "none"))
        return Placement(next(self._ids), request, vm, "v1")

    def attach(self, placement: Placement, control: DispatchControl) -> None:
        del placement
        self.controls.append(control)

    def release(self, placement: Placement, outcome: Outcome) -> None:
        del placement
        self.outcomes.append(outcome)

    def stop_admitting(self) -> None:
        """Does nothing."""


class _Policy:
    def __init__(self) -> None:
        self.samples: list[VersionSample] = []

    def choose_version(self, request: Request) -> str:
        del request
        return ""

    def is_convicted(self, model: str, version: str) -> bool:
        del model, version
        return False

    def record(self, sample: VersionSample) -> None:
        self.samples.append(sample)


class _Bench:
    """A pipeline in front of scripted upstreams."""

    def __init__(self) -> None:
        self.upstreams: list[ScriptedUpstream] = []
        self.scheduler = _Scheduler([])
        self.policy = _Policy()
        self.metrics = Metrics()
        self.table = MemoryTableStore()
        self.clock = _ShiftedClock()
        self.client = UpstreamClient(
            _TIMING,
            self.clock,
            on_silent=lambda _: self.metrics.silent_connections.inc(),
        )
        self.pipeline = RequestPipeline(
            self.scheduler,
            self.client,
            self.metrics,
            self.clock,
            _TIMING,
            store_claims=StoreClaims(self.table, "node-1", SystemClock()),
            version_policy=self.policy,
        )
        self._ids = itertools.count(1)

    def add(self, script: Script) -> ScriptedUpstream:
        upstream = ScriptedUpstream(script)
        self.upstreams.append(upstream)
        self.scheduler.vms = _Scheduler(
            [item.address for item in self.upstreams]
        ).vms
        return upstream

    def request(
        self,
        work_class: WorkClass = _ENGINE,
        deadline_s: float = 30.0,
        is_stream: bool = False,
        key: str | None = None,
    ) -> Request:
        now = self.clock.monotonic()
        return Request(
            f"request-{next(self._ids)}",
            work_class,
            "customer",
            b"{}",
            now,
            now + deadline_s,
            stream=is_stream,
            key=key,
            prompt="p" * 40,
            max_output_tokens=3,
        )

    def refusal(self, request: Request) -> Refusal:
        with pytest.raises(RefusedError) as caught:
            self.pipeline.run(request)
        return caught.value.refusal

    def value(self, name: str, **labels: str) -> float:
        sample = self.metrics.registry.get_sample_value(name, labels)
        return sample or 0.0


@pytest.fixture
def bench() -> Iterator[_Bench]:
    bench = _Bench()
    yield bench
    assert bench.pipeline.in_progress == 0
    assert bench.value("tanagerport_open_streams") == 0
    for upstream in bench.upstreams:
        upstream.stop()


def _document(request: ReceivedRequest, sock: socket.socket) -> None:
    send_document(sock, completion(request), headers=request_id_header(request))


def _hang(request: ReceivedRequest, sock: socket.socket) -> None:
    del request
    sock.recv(1)


class TestRetries:
    """Guards against a second run of what may have started."""

    def test_refused_connection_is_retried_elsewhere(
        self, bench: _Bench
    ) -> None:
        bench.add(_document).stop()
        second = bench.add(_document)
        answer = bench.pipeline.run(bench.request())
        assert b"x x x" in b"".join(answer)
        assert len(second.received) == 1
        assert [item.started for item in bench.scheduler.outcomes] == [
            False,
            True,
        ]
        name = "tanagerport_retries_total"
        assert bench.value(name, reason="connect_failed") == 1

    def test_not_started_is_retried_within_the_budget(
        self, bench: _Bench
    ) -> None:
        def refuse(request: ReceivedRequest, sock: socket.socket) -> None:
            del request
            send_document(sock, {}, 503, "X-Not-Started: true\r\n")

        bench.add(refuse)
        second = bench.add(_document)
        refusals = []
        for _ in range(20):
            try:
                b"".join(bench.pipeline.run(bench.request()))
            except RefusedError as error:
                refusals.append(error.refusal)
        assert {item.reason for item in refusals} == {
            RefusalReason.RETRY_BUDGET_EXHAUSTED
        }
        assert {item.ran for item in refusals} == {Ran.NO}
        retries = bench.value("tanagerport_retries_total", reason="not_started")
        assert len(second.received) == retries
        assert 5 <= retries <= 8

    def test_budget_is_a_share_of_requests(self) -> None:
        budget = RetryBudget(FakeClock())
        while budget.take():
            pass
        for _ in range(100):
            budget.record_request()
        assert sum(budget.take() for _ in range(100)) in (9, 10)

    @pytest.mark.parametrize("status", [500, 503])
    def test_failure_after_the_request_is_not_retried(
        self, bench: _Bench, status: int
    ) -> None:
        first = bench.add(lambda request, sock: send_document(sock, {}, status))
        second = bench.add(_document)
        refusal = bench.refusal(bench.request())
        assert refusal.reason is RefusalReason.UPSTREAM_ERROR
        assert refusal.ran is Ran.UNKNOWN
        assert (len(first.received), len(second.received)) == (1, 0)
        assert bench.value("tanagerport_wasted_prefill_tokens_total") == 10
        assert [item.failed for item in bench.policy.samples] == [True]

    def test_closed_connection_after_the_request_is_unknown(
        self, bench: _Bench
    ) -> None:
        bench.add(lambda request, sock: sock.shutdown(socket.SHUT_RDWR))
        second = bench.add(_document)
        assert bench.refusal(bench.request()).ran is Ran.UNKNOWN
        assert not second.received


class TestWholeAnswers:
    """Guards against a part, or another's answer, taken for the whole."""

    def test_whole_stream_counts(self, bench: _Bench) -> None:
        bench.add(send_stream)
        request = bench.request(is_stream=True)
        body = b"".join(bench.pipeline.run(request))
        assert body.endswith(b"data: [DONE]\n\n")
        outcome = bench.scheduler.outcomes[0]
        assert outcome.complete
        assert (outcome.output_tokens, outcome.cached_tokens) == (3, 1)
        assert bench.value("tanagerport_wasted_prefill_tokens_total") == 0

    def test_connections_are_used_again(self, bench: _Bench) -> None:
        upstream = bench.add(send_stream)
        for _ in range(3):
            b"".join(bench.pipeline.run(bench.request(is_stream=True)))
        assert upstream.connections == 1

    def test_truncated_document_is_refused(self, bench: _Bench) -> None:
        def truncate(request: ReceivedRequest, sock: socket.socket) -> None:
            send_document(
                sock,
                completion(request),
                headers=request_id_header(request),
                missing=4,
            )
            sock.shutdown(socket.SHUT_RDWR)

        bench.add(truncate)
        refusal = bench.refusal(bench.request())
        assert refusal.reason is RefusalReason.TRUNCATED
        assert (refusal.http_status, refusal.ran) == (502, Ran.UNKNOWN)

    def test_answer_of_another_request_is_refused(self, bench: _Bench) -> None:
        bench.add(
            lambda request, sock: send_document(
                sock, completion(request), headers="X-Request-Id: other\r\n"
            )
        )
        assert bench.refusal(bench.request()).reason is RefusalReason.TRUNCATED

    @pytest.mark.parametrize("positions", [[0, 2], [0, 0], [1], [0, 1]])
    def test_broken_stream_ends_in_an_error(
        self, bench: _Bench, positions: list[int]
    ) -> None:
        def break_off(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            for position in positions:
                sock.sendall(chunk(token_event(request.request_id, position)))
            sock.shutdown(socket.SHUT_RDWR)

        bench.add(break_off)
        answer = bench.pipeline.run(bench.request(is_stream=True))
        with pytest.raises(AnswerTruncatedError):
            list(answer)
        assert not bench.scheduler.outcomes[0].complete

    def test_silent_stream_ends_and_is_cancelled(self, bench: _Bench) -> None:
        def stop(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            sock.sendall(chunk(token_event(request.request_id, 0)))
            sock.recv(1)

        upstream = bench.add(stop)
        request = bench.request(is_stream=True)
        answer = bench.pipeline.run(request)
        with pytest.raises(AnswerTruncatedError, match="no byte"):
            list(answer)
        assert upstream.control_paths == [
            f"/requests/{request.request_id}/cancel"
        ]


class TestInterruptions:
    """Guards against work that goes on after nobody waits for it."""

    def _endless(self, request: ReceivedRequest, sock: socket.socket) -> None:
        send_stream_head(sock, request)
        for position in itertools.count():
            sock.sendall(chunk(token_event(request.request_id, position)))
            if threading.Event().wait(0.01):
                return

    def test_deadline_ends_a_stream(self, bench: _Bench) -> None:
        upstream = bench.add(self._endless)
        answer = bench.pipeline.run(bench.request(is_stream=True))
        body = iter(answer)
        next(body)
        bench.clock.shift = 60
        with pytest.raises(AnswerInterruptedError) as caught:
            list(body)
        assert caught.value.reason == RefusalReason.DEADLINE_PASSED
        assert upstream.control_paths[0].endswith("/cancel")

    def test_deadline_ends_a_wait(self, bench: _Bench) -> None:
        def pass_deadline(
            request: ReceivedRequest, sock: socket.socket
        ) -> None:
            bench.clock.shift = 60
            _hang(request, sock)

        bench.add(pass_deadline)
        refusal = bench.refusal(bench.request())
        assert refusal.reason is RefusalReason.DEADLINE_PASSED
        assert refusal.ran is Ran.UNKNOWN

    def test_caller_that_leaves_cancels(self, bench: _Bench) -> None:
        node_side, caller = socket.socketpair()

        def leave(request: ReceivedRequest, sock: socket.socket) -> None:
            caller.close()
            _hang(request, sock)

        upstream = bench.add(leave)
        with node_side, pytest.raises(RefusedError):
            bench.pipeline.run(bench.request(), node_side)
        assert upstream.control_paths[0].endswith("/cancel")
        assert bench.value("tanagerport_callers_gone_total") == 1
        assert not bench.policy.samples

    def test_caller_that_left_is_not_dispatched(self, bench: _Bench) -> None:
        upstream = bench.add(_document)
        node_side, caller = socket.socketpair()
        caller.close()
        with node_side, pytest.raises(RefusedError) as caught:
            bench.pipeline.run(bench.request(), node_side)
        assert caught.value.refusal.ran is Ran.NO
        assert isinstance(caught.value.__cause__, CallerGoneError)
        assert not upstream.received

    def test_cancelled_dispatch_names_the_reason(self, bench: _Bench) -> None:
        upstream = bench.add(self._endless)
        answer = bench.pipeline.run(bench.request(is_stream=True))
        body = iter(answer)
        next(body)
        bench.scheduler.controls[0].cancel(RefusalReason.PREEMPTED)
        with pytest.raises(AnswerInterruptedError) as caught:
            list(body)
        assert caught.value.reason == RefusalReason.PREEMPTED
        assert upstream.control_paths[0].endswith("/cancel")

    def test_paused_stream_does_not_time_out(self, bench: _Bench) -> None:
        resumed = threading.Event()

        def pause(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            sock.sendall(chunk(token_event(request.request_id, 0)))
            resumed.wait(10)
            sock.sendall(chunk(token_event(request.request_id, 1)))
            end = final_events(request.request_id, 2)
            sock.sendall(chunk(end) + chunk(b""))

        upstream = bench.add(pause)
        answer = bench.pipeline.run(bench.request(is_stream=True))
        body = iter(answer)
        next(body)
        control = bench.scheduler.controls[0]
        assert control.can_pause
        assert control.pause()
        # Far over the progress bound; the node checks it meanwhile.
        bench.clock.shift = 20
        threading.Timer(_TIMING.progress_timeout_s, resumed.set).start()
        assert b"".join(body).endswith(b"[DONE]\n\n")
        assert control.resume()
        assert [item.rpartition("/")[2] for item in upstream.control_paths] == [
            "pause",
            "resume",
        ]


class TestPump:
    """Guards against streams that break or block each other in the pump."""

    _TOKENS = 20_000

    def _send_all(self, request: ReceivedRequest, sock: socket.socket) -> None:
        send_stream_head(sock, request)
        for start in range(0, self._TOKENS, 100):
            events = b"".join(
                token_event(request.request_id, position)
                for position in range(start, start + 100)
            )
            sock.sendall(chunk(events))
        end = final_events(request.request_id, self._TOKENS)
        sock.sendall(chunk(end) + chunk(b""))

    def _relay(self, bench: _Bench, sock: socket.socket) -> bytes:
        """Returns the bytes that were yielded and not written."""
        body = iter(answer := bench.pipeline.run(bench.request(is_stream=True)))
        first = next(body)
        answer.relay_rest(sock)
        return first + b"".join(body)

    def test_slow_callers_get_all_and_delay_no_other(
        self, bench: _Bench
    ) -> None:
        bench.add(self._send_all)
        slow, slow_caller = socket.socketpair()
        fast, fast_caller = socket.socketpair()
        first: list[bytes] = []
        relaying = threading.Thread(
            target=lambda: first.append(self._relay(bench, slow))
        )
        relaying.start()
        received = []
        reading = threading.Thread(
            target=lambda: received.append(_read_all(fast_caller))
        )
        reading.start()
        yielded = self._relay(bench, fast)
        fast.close()
        reading.join()
        self._check(yielded, received[0])
        assert relaying.is_alive()
        rest: list[bytes] = []
        reading = threading.Thread(
            target=lambda: rest.append(_read_all(slow_caller))
        )
        reading.start()
        relaying.join()
        slow.close()
        reading.join()
        self._check(first[0], rest[0])

    def _check(self, yielded: bytes, written: bytes) -> None:
        body = ChunkedDecoder().feed(written)
        check = EventCheck()
        check.feed(yielded + body)
        check.end()
        assert check.tokens == self._TOKENS

    @pytest.mark.parametrize("fault", ["left", "cancelled", "silent", "late"])
    def test_interrupted_stream_ends(self, bench: _Bench, fault: str) -> None:
        node_side, caller = socket.socketpair()
        relaying = threading.Event()

        def interrupt(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            sock.sendall(chunk(token_event(request.request_id, 0)))
            relaying.wait(10)
            if fault == "left":
                caller.close()
            elif fault == "late":
                bench.clock.shift = 60
            elif fault == "cancelled":
                control = bench.scheduler.controls[0]
                control.cancel(RefusalReason.PREEMPTED)
            _hang(request, sock)

        upstream = bench.add(interrupt)
        answer = bench.pipeline.run(bench.request(is_stream=True))
        next(iter(answer))
        relaying.set()
        with pytest.raises(UpstreamError) as caught:
            answer.relay_rest(node_side)
        assert (
            type(caught.value)
            is {
                "left": CallerGoneError,
                "cancelled": AnswerInterruptedError,
                "silent": AnswerTruncatedError,
                "late": AnswerInterruptedError,
            }[fault]
        )
        assert upstream.control_paths[0].endswith("/cancel")


def _read_all(sock: socket.socket) -> bytes:
    with sock:
        return b"".join(iter(lambda: sock.recv(65536), b""))


class TestConnections:
    """Guards against connections that hang while others work."""

    @pytest.mark.parametrize("is_known", [False, True])
    def test_silent_connection_is_given_up_before_the_deadline(
        self, bench: _Bench, is_known: bool
    ) -> None:
        def first_hangs(request: ReceivedRequest, sock: socket.socket) -> None:
            if request.connection == 1 and len(upstream.received) > 1:
                _hang(request, sock)
            _document(request, sock)

        upstream = bench.add(first_hangs)
        upstream.knows_requests = is_known
        b"".join(bench.pipeline.run(bench.request()))
        refusal = bench.refusal(bench.request(deadline_s=60))
        assert refusal.ran is Ran.UNKNOWN
        assert "silent" in refusal.message
        assert bench.value("tanagerport_silent_connections_total") == 1
        assert len(upstream.received) == 2
        # An engine that has the request may only be slow.
        probes = [item for item in upstream.control_paths if "resume" in item]
        assert len(probes) == (3 if is_known else 1)
        b"".join(bench.pipeline.run(bench.request()))
        assert upstream.received[-1].connection > 1

    def test_old_connections_are_closed(self) -> None:
        clock = FakeClock()
        upstream = ScriptedUpstream(_document)
        bench = _Bench()
        bench.client = UpstreamClient(_TIMING, clock)
        assert bench.client.control(upstream.address, "/requests/1/cancel")
        assert bench.client.idle_connections(upstream.address) == 1
        clock.advance(_TIMING.connection_max_age_s + 1)
        bench.client.close_old()
        assert bench.client.idle_connections(upstream.address) == 0
        upstream.stop()

    def test_connection_that_was_idle_too_long_is_not_used(self) -> None:
        """Guards against a request lost on a connection that went silent.

        Bench silent_connection lost 15% of the top tier on connections that
        went silent while they were idle.
        """
        upstream = ScriptedUpstream(_document)
        clock = FakeClock()
        pool = ConnectionPool(upstream.address, 1.0, 60.0, 0.05, clock)
        first = pool.take()
        pool.put(first)
        clock.advance(0.04)
        assert pool.take() is first
        pool.put(first)
        clock.advance(0.06)
        second = pool.take()
        assert second is not first
        second.close()
        upstream.stop()

    def test_idle_connection_that_was_closed_is_not_used(
        self, bench: _Bench
    ) -> None:
        closed = threading.Event()

        def close(request: ReceivedRequest, sock: socket.socket) -> None:
            _document(request, sock)
            sock.shutdown(socket.SHUT_RDWR)
            closed.set()

        upstream = bench.add(close)
        for _ in range(3):
            b"".join(bench.pipeline.run(bench.request()))
            assert closed.wait(10)
            closed.clear()
        assert len(upstream.received) == 3


class TestEndlessHead:
    """Guards against a call that holds its thread for ever.

    An upstream in trouble may send interim answers or fields without end.
    """

    @pytest.mark.parametrize(
        "block",
        [
            b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
            b"X-Field: 1\r\n" * 1000,
            b"x" * 65536,
        ],
    )
    def test_call_fails_soon(self, bench: _Bench, block: bytes) -> None:
        def flood(request: ReceivedRequest, sock: socket.socket) -> None:
            del request
            sock.settimeout(3.0)
            if block.startswith(b"X-"):
                sock.sendall(b"HTTP/1.1 200 OK\r\n")
            # Ends when the call is given up and its connection closed.
            ends_at = time.monotonic() + 6.0
            while time.monotonic() < ends_at:
                sock.sendall(block)

        bench.add(flood)
        started_at = time.monotonic()
        refusal = bench.refusal(bench.request(deadline_s=4.0))
        assert refusal.ran is Ran.UNKNOWN
        assert time.monotonic() - started_at < 2.0


class TestCallsThatMustNotBeRepeated:
    """Guards against a second deposit charge."""

    def _service(self, request: ReceivedRequest, sock: socket.socket) -> None:
        send_document(sock, {"key": request.headers["idempotency-key"]})

    def test_resend_is_refused(self, bench: _Bench) -> None:
        upstream = bench.add(self._service)
        request = bench.request(_BOOKING, key="key-1")
        b"".join(bench.pipeline.run(request))
        resend = dataclasses.replace(request, request_id="resend")
        refusal = bench.refusal(resend)
        assert refusal.reason is RefusalReason.DUPLICATE_FINISHED
        assert len(upstream.received) == 1

    def test_call_with_unknown_outcome_is_answered_as_unknown(
        self, bench: _Bench
    ) -> None:
        upstream = bench.add(lambda request, sock: sock.shutdown(2))
        request = bench.request(_BOOKING, key="key-1")
        assert bench.refusal(request).ran is Ran.UNKNOWN
        resend = dataclasses.replace(request, request_id="resend")
        refusal = bench.refusal(resend)
        assert refusal.reason is RefusalReason.CLAIM_UNKNOWN
        assert len(upstream.received) == 1

    def test_call_that_was_not_dispatched_can_be_resent(
        self, bench: _Bench
    ) -> None:
        upstream = bench.add(self._service)
        bench.scheduler.refusal = Refusal(RefusalReason.QUEUE_FULL, "full")
        request = bench.request(_BOOKING, key="key-1")
        assert bench.refusal(request).ran is Ran.NO
        bench.scheduler.refusal = None
        b"".join(bench.pipeline.run(request))
        assert len(upstream.received) == 1
