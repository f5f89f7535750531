"""Tests of what clients get when the node itself fails on their request."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import pytest

import gateway_doubles
import platform_standin as standin
from tanagerport.gateway.client_messages import (
    ClientRequest,
    ClientResponse,
    RequestHandler,
)
from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits, RequestKind
from tanagerport.gateway.forwarding import RequestForwarder
from tanagerport.gateway.request_context import RequestContext
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_health import UpstreamHealth
from tanagerport.gateway.work_item import Placement, WorkItem
from tanagerport.refusals import Refusal, RefusalReason

_REQUEST = standin.request_bytes("GET", "/x", b"", {"Attempt-Id": "a1"})
_WHOLE_HEADERS = [(b"Content-Length", b"4")]

Step = Callable[[RequestContext], None]


class _Validator:
    """Accepts every request, or fails."""

    def __init__(self, fails: bool) -> None:
        self._fails = fails

    def create_context(
        self, routes: object, request: ClientRequest, response: ClientResponse
    ) -> RequestContext:
        del routes
        if self._fails:
            raise KeyError("customer")
        route = gateway_doubles.make_route(kind=RequestKind.IDEMPOTENT)
        item = gateway_doubles.make_item(
            request.received_at, route, request_id="a1"
        )
        return RequestContext(request, response, item, None, 0.0)

    def refund_unused_quota(self, context: RequestContext) -> None:
        del context


class _Scheduler:
    """Grants each request a place, or fails."""

    is_stopping = False

    def __init__(self, fails: bool, fails_on_release: bool) -> None:
        self._fails = fails
        self._fails_on_release = fails_on_release

    async def acquire(self, item: WorkItem) -> Placement:
        if self._fails:
            raise KeyError("service")
        upstream = gateway_doubles.make_upstream("u")
        return Placement(upstream, item, 1, 1, 0.1, 100.0)

    def release(self, placement: Placement) -> None:
        del placement
        if self._fails_on_release:
            raise KeyError("load")


class _Dispatcher:
    """Takes the first steps of a dispatch, then fails."""

    def __init__(self, step: Step, fails: bool) -> None:
        self._step = step
        self._fails = fails

    async def dispatch(
        self, context: RequestContext, placement: Placement
    ) -> None:
        del placement
        self._step(context)
        if self._fails:
            raise KeyError("upstream")


def _do_nothing(context: RequestContext) -> None:
    del context


def _send(context: RequestContext) -> None:
    context.has_open_dispatch = True


def _start_response(context: RequestContext) -> None:
    _send(context)
    context.response.start(200, b"", _WHOLE_HEADERS)
    context.response.send(b"ab")


def _finish_response(context: RequestContext) -> None:
    _start_response(context)
    context.response.send(b"cd")
    context.response.finish()


def make_forwarder(
    counters: Counters,
    log: DecisionLog,
    step: Step = _do_nothing,
    *,
    fails_at: str,
) -> RequestForwarder:
    """Returns a forwarder that fails at a stage of each request."""
    scheduler = cast(
        Any, _Scheduler(fails_at == "acquire", fails_at == "release")
    )

    async def get_routes() -> Any:
        return object()

    http_names = cast(Any, type("_Names", (), {"request_id": b"attempt-id"}))
    return RequestForwarder(
        http_names,
        get_routes,
        cast(Any, _Validator(fails_at == "validate")),
        cast(Any, _Dispatcher(step, fails_at == "dispatch")),
        scheduler,
        cast(Any, None),
        cast(Any, None),
        UpstreamHealth(),
        UpstreamBackoff(),
        cast(Any, None),
        gateway_doubles.make_quarantine(),
        cast(Any, None),
        gateway_doubles.make_switch(scheduler),
        gateway_doubles.make_drain(scheduler),
        counters,
        log,
    )


class _FailingHandler:
    """Fails on each request, after a refusal if there is one."""

    def __init__(self, refusal: Refusal | None = None) -> None:
        self._refusal = refusal

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        del request
        if self._refusal is not None:
            response.refuse(self._refusal)
        raise ValueError("fault")


@contextlib.asynccontextmanager
async def open_client(
    handler: RequestHandler, counters: Counters, log: DecisionLog
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Starts a server and opens a connection to it."""
    server = ClientServer(
        handler, lambda: ClientLimits(8192, 8192, 1.0, 5.0), counters, log
    )
    port = standin.free_port()
    await server.start(standin.HOST, port)
    reader, writer = await asyncio.open_connection(standin.HOST, port)
    try:
        async with asyncio.timeout(5.0):
            yield reader, writer
    finally:
        writer.close()
        await server.close()


class TestForwarder:
    """Guards against requests that a fault of the node leaves unanswered.

    Each unexpected exception closed the client's connection, whether or not
    the request had been sent to an upstream.
    """

    @pytest.mark.parametrize(
        ("fails_at", "step", "status", "ran"),
        [
            ("validate", _do_nothing, 503, "no"),
            ("acquire", _do_nothing, 503, "no"),
            ("dispatch", _do_nothing, 503, "no"),
            ("dispatch", _send, 500, "unknown"),
            ("release", _do_nothing, 503, "no"),
            ("release", _send, 500, "unknown"),
        ],
    )
    def test_answer_says_truthfully_whether_the_request_ran(
        self, fails_at: str, step: Step, status: int, ran: str
    ) -> None:
        async def run() -> None:
            counters = Counters()
            log = DecisionLog("n")
            forwarder = make_forwarder(counters, log, step, fails_at=fails_at)
            async with open_client(forwarder, counters, log) as (
                reader,
                writer,
            ):
                # The connection stays usable.
                for _ in range(2):
                    writer.write(_REQUEST)
                    response = await standin.read_response(reader)
                    assert response.status == status
                    assert response.is_complete
                    assert json.loads(response.body)["error"]["ran"] == ran
                    assert ("retry-after" in response.headers) is (ran == "no")
            assert sum(counters.refusals.values()) == 2
            assert counters.request_errors == {f"{status}": 2}

        asyncio.run(run())

    def test_response_that_has_begun_does_not_look_complete(self) -> None:
        async def run() -> None:
            counters = Counters()
            log = DecisionLog("n")
            forwarder = make_forwarder(
                counters, log, _start_response, fails_at="dispatch"
            )
            async with open_client(forwarder, counters, log) as (
                reader,
                writer,
            ):
                writer.write(_REQUEST)
                response = await standin.read_response(reader)
                assert not response.is_complete
                assert await reader.read() == b""
            assert counters.request_errors == {"cut": 1}

        asyncio.run(run())

    def test_complete_response_is_followed_by_others(self) -> None:
        async def run() -> None:
            counters = Counters()
            log = DecisionLog("n")
            forwarder = make_forwarder(
                counters, log, _finish_response, fails_at="release"
            )
            async with open_client(forwarder, counters, log) as (
                reader,
                writer,
            ):
                for _ in range(2):
                    writer.write(_REQUEST)
                    response = await standin.read_response(reader)
                    assert (response.status, response.body) == (200, b"abcd")
            assert counters.request_errors == {"complete": 2}

        asyncio.run(run())

    def test_error_is_logged_with_its_request(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        async def run() -> None:
            counters = Counters()
            log = DecisionLog("n")
            forwarder = make_forwarder(counters, log, fails_at="acquire")
            async with open_client(forwarder, counters, log) as (
                reader,
                writer,
            ):
                writer.write(_REQUEST)
                await standin.read_response(reader)
            log.flush()

        asyncio.run(run())
        lines = [
            line
            for text in capfd.readouterr().out.splitlines()
            if (line := json.loads(text))["event"] == "request_error"
        ]
        assert len(lines) == 1
        assert lines[0]["level"] == "error"
        assert lines[0]["request"] == "a1"
        assert lines[0]["error"] == "KeyError('service')"
        assert lines[0]["outcome"] == "503"


class TestConnection:
    """Guards against connections that close when a handler itself fails."""

    def test_request_is_answered_as_one_that_may_have_run(self) -> None:
        async def run() -> None:
            counters = Counters()
            async with open_client(
                _FailingHandler(), counters, DecisionLog("n")
            ) as (reader, writer):
                writer.write(_REQUEST)
                response = await standin.read_response(reader)
                assert response.status == 500
                assert json.loads(response.body)["error"]["ran"] == "unknown"
            assert counters.request_errors == {"500": 1}

        asyncio.run(run())

    def test_refusal_that_was_sent_stays_the_only_answer(self) -> None:
        async def run() -> None:
            refusal = Refusal(RefusalReason.DRAINING, "m", retry_after_s=1.0)
            async with open_client(
                _FailingHandler(refusal), Counters(), DecisionLog("n")
            ) as (reader, writer):
                for _ in range(2):
                    writer.write(_REQUEST)
                    response = await standin.read_response(reader)
                    assert response.status == 503

        asyncio.run(run())

    def test_request_that_can_not_be_read_is_refused_as_not_run(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def fail(self: object) -> None:
            raise ValueError("fault")

        monkeypatch.setattr(
            "tanagerport.gateway.client_connection.ClientConnection._read_head",
            fail,
        )

        async def run() -> None:
            counters = Counters()
            async with open_client(
                _FailingHandler(), counters, DecisionLog("n")
            ) as (reader, writer):
                writer.write(_REQUEST)
                response = await standin.read_response(reader)
                assert response.status == 503
                assert json.loads(response.body)["error"]["ran"] == "no"
            assert counters.request_errors == {"503": 1}

        asyncio.run(run())
