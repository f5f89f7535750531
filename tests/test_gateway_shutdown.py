"""Tests of a planned stop: SIGTERM while clients keep using connections."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, cast

import pytest

import gateway_doubles
import platform_standin as standin
from platform_standin import LocalCluster, configuration, route
from tanagerport.gateway import client_server
from tanagerport.gateway.channel import Channel
from tanagerport.gateway.client_messages import (
    ClientRequest,
    ClientResponse,
    RequestHandler,
)
from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits
from tanagerport.gateway.planned_stop import Drain
from tanagerport.gateway.stop_schedule import StopSchedule

Scenario = Callable[[LocalCluster], Awaitable[None]]

_GRACE_S = 6.0
_TCP_CLOSE_WAIT = 8
_ROUTES = [
    route(
        name, kind, timeout_ms=20_000, target_itl_ms=250, max_attempts=attempts
    )
    for name, kind, attempts in (
        ("read", "idempotent", 1),
        ("pay", "non_idempotent", 2),
        ("call", "streaming", 1),
    )
]


def run_scenario(directory: pathlib.Path, scenario: Scenario) -> None:
    """Runs a scenario on a cluster with one gateway."""

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, _ROUTES)
        ) as cluster:
            await cluster.add_gateway(drain_grace_s=_GRACE_S)
            await scenario(cluster)

    asyncio.run(run_cluster())


def call(
    cluster: LocalCluster, attempt: str, target: str
) -> "asyncio.Future[standin.ClientResponse]":
    """Sends a request that its client gives 20 s."""
    return asyncio.ensure_future(
        cluster.call(attempt, target, b"p", Deadline_Ms="20000")
    )


class TestEndOfGrace:
    """Guards against requests that are cut without an answer.

    What was still in progress at the end of the grace had its connection
    closed, among it what could have been refused as not run.
    """

    @pytest.mark.parametrize("path", ["/read/x", "/pay/x", "/call/x"])
    def test_answer_that_has_not_begun_becomes_504(
        self, tmp_path: pathlib.Path, path: str
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.hang)
            await cluster.gateway.wait_ready()
            response_task = call(cluster, "a1", path)
            await asyncio.sleep(0.3)
            cluster.gateway.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            response = await response_task
            assert response.status == 504
            assert json.loads(response.body)["error"]["ran"] == "unknown"
            assert time.monotonic() - stopped_at < _GRACE_S
            assert upstream.started_attempts == ["a1"]
            assert await cluster.gateway.wait() == 0
            assert time.monotonic() - stopped_at < _GRACE_S

        run_scenario(tmp_path, scenario)

    def test_failed_request_is_not_sent_to_another_upstream_late(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def reject_late(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            await asyncio.sleep(4.6)
            await standin.reject(upstream, request, writer)

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", reject_late)
            await cluster.gateway.wait_ready()
            response_task = call(cluster, "a1", "/pay/x")
            await asyncio.sleep(0.2)
            second = await cluster.add_upstream("u-2", standin.hang)
            cluster.gateway.signal(signal.SIGTERM)
            response = await response_task
            assert response.status == 503
            assert "retry-after" in response.headers
            assert json.loads(response.body)["error"]["ran"] == "no"
            assert second.received_requests == []
            assert await cluster.gateway.wait() == 0

        run_scenario(tmp_path, scenario)


class TestRequestsDuringTheGrace:
    """Guards against requests that arrive in the grace and are cut.

    Each one has to get a whole answer, or an error that says truthfully
    whether it ran, whenever its last byte arrives.
    """

    @pytest.mark.parametrize("work_s", [0.05, 2.5])
    def test_each_request_gets_an_answer_or_a_true_refusal(
        self, tmp_path: pathlib.Path, work_s: float
    ) -> None:
        async def work(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            if request.path.startswith("/call/"):
                await standin.stream(10, work_s / 10)(upstream, request, writer)
                return
            upstream.started_attempts.append(request.headers["attempt-id"])
            await asyncio.sleep(work_s)
            writer.write(
                standin.response_bytes(
                    200, b"done", standin.seal_headers(request)
                )
            )

        async def send(
            cluster: LocalCluster, attempt: str, target: str, delay_s: float
        ) -> standin.ClientResponse:
            """Sends a request whose last byte leaves after a delay."""
            reader, writer = await asyncio.open_connection(
                standin.HOST, cluster.gateway.port
            )
            fields = {"Attempt-Id": attempt, "Deadline-Ms": "20000"}
            data = standin.request_bytes("POST", target, b"body", fields)
            writer.write(data[:-1])
            await asyncio.sleep(delay_s)
            writer.write(data[-1:])
            try:
                return await standin.read_response(reader)
            finally:
                writer.close()

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", work, slot_count=40)
            await cluster.gateway.wait_ready()
            calls = {
                f"{kind}-{tenth}": asyncio.ensure_future(
                    send(
                        cluster,
                        f"{kind}-{tenth}",
                        f"/{kind}/x",
                        0.2 + tenth * _GRACE_S / 10,
                    )
                )
                for kind in ("read", "pay", "call")
                for tenth in range(10)
            }
            await asyncio.sleep(0.2)
            # A second signal and a reload must not shorten the grace.
            cluster.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(1.0)
            cluster.gateway.signal(signal.SIGHUP)
            cluster.gateway.signal(signal.SIGTERM)
            await asyncio.wait(calls.values())
            for attempt, finished_call in calls.items():
                response = finished_call.result()
                assert response.is_complete, attempt
                if response.status == 503:
                    assert "retry-after" in response.headers, attempt
                    assert attempt not in upstream.started_attempts
                else:
                    assert response.status == 200, attempt
                if attempt.endswith(("-0", "-1")):
                    assert response.status == 200, attempt
            assert len(set(upstream.started_attempts)) == len(
                upstream.started_attempts
            )
            assert await cluster.gateway.wait() == 0

        run_scenario(tmp_path, scenario)


class TestStandstill:
    """Guards against connections that came while a stopping node stood still.

    It ended at once, without noticing those that it had just accepted.
    """

    @pytest.mark.parametrize("standstill_s", [2.2, _GRACE_S])
    def test_requests_are_answered_or_refused(
        self, tmp_path: pathlib.Path, standstill_s: float
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo, slot_count=40)
            gateway = cluster.gateway
            await gateway.wait_ready()
            gateway.signal(signal.SIGTERM)
            await asyncio.sleep(1.0)
            gateway.signal(signal.SIGSTOP)
            calls = [
                call(cluster, f"a{number}", "/read/x") for number in range(20)
            ]
            await asyncio.sleep(standstill_s)
            gateway.signal(signal.SIGCONT)
            for response in await asyncio.gather(*calls):
                assert response.status in {200, 503}
            assert await gateway.wait() == 0

        run_scenario(tmp_path, scenario)


def open_when_read(path: pathlib.Path) -> int:
    """Opens a named pipe as soon as a process reads it, within 10 s."""
    for _ in range(1000):
        with contextlib.suppress(OSError):
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        time.sleep(0.01)
    raise TimeoutError(path)


class TestSignalsOutsideService:
    """Guards against signals that end a process while it starts or exits."""

    def test_stop_signals_until_the_exit(self, tmp_path: pathlib.Path) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.gateway.wait_ready()
            exited = asyncio.ensure_future(cluster.gateway.wait())
            while not exited.done():
                with contextlib.suppress(ProcessLookupError):
                    cluster.gateway.signal(signal.SIGTERM)
                await asyncio.sleep(0.002)
            assert exited.result() == 0

        run_scenario(tmp_path, scenario)

    def test_reload_before_the_settings_are_read(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "settings.json"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, str(standin.ROOT / "platform" / "serve.py")],
            env={**os.environ, "TANAGERPORT_SETTINGS": str(path)},
            stderr=subprocess.DEVNULL,
        )
        try:
            pipe = open_when_read(path)
            process.send_signal(signal.SIGHUP)
            os.write(pipe, b"{}")
            os.close(pipe)
            # The status of a process whose settings are invalid.
            assert process.wait(10.0) == 2
        finally:
            process.kill()
            process.wait()

    def test_reload_while_the_settings_are_read(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a process that keeps settings which were replaced."""

        async def scenario(cluster: LocalCluster) -> None:
            gateway = cluster.gateway
            await gateway.stop()
            old = json.dumps({**gateway.settings, "drain_grace_s": 4.0})
            gateway.settings_path.unlink()
            os.mkfifo(gateway.settings_path)
            log_path = tmp_path / "reload.log"
            with log_path.open("wb") as log:
                process = subprocess.Popen(
                    [sys.executable, str(standin.ROOT / "platform/serve.py")],
                    env={
                        **os.environ,
                        "TANAGERPORT_SETTINGS": str(gateway.settings_path),
                    },
                    stdout=log,
                )
            try:
                pipe = open_when_read(gateway.settings_path)
                gateway.settings_path.unlink()
                gateway.write_settings()
                process.send_signal(signal.SIGHUP)
                os.write(pipe, old.encode())
                os.close(pipe)
                async with asyncio.timeout(10.0):
                    while b"settings_reloaded" not in log_path.read_bytes():
                        await asyncio.sleep(0.05)
            finally:
                process.kill()
                process.wait()

        run_scenario(tmp_path, scenario)


class _FixedHandler:
    """Answers each request with a body of a fixed size."""

    def __init__(self, body_bytes: int = 0) -> None:
        self._body_bytes = body_bytes

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        del request
        length = str(self._body_bytes).encode()
        response.start(200, b"", [(b"Content-Length", length)])
        response.send(b"x" * self._body_bytes)
        response.finish()


def make_server(
    body_bytes: int = 0, handler: RequestHandler | None = None
) -> ClientServer:
    return ClientServer(
        handler or _FixedHandler(body_bytes),
        lambda: ClientLimits(8192, 8192, 1.0, 5.0),
        Counters(),
        DecisionLog("n"),
    )


class TestUnsentResponses:
    """Guards against a stop that discards the end of a response.

    The process ended, or closed a connection as idle, while the end of the
    response was in its write buffer because the client read slowly.
    """

    @pytest.mark.parametrize("drains_before", [False, True])
    def test_response_in_the_write_buffer_is_in_progress(
        self, drains_before: bool
    ) -> None:
        size = 16_000_000

        async def scenario() -> None:
            server = make_server(size)
            port = standin.free_port()
            await server.start(standin.HOST, port)
            if drains_before:
                server.start_draining()
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            writer.write(standin.request_bytes("GET", "/x"))
            await reader.readuntil(b"\r\n\r\n")
            server.start_draining()
            server.close_idle()
            await asyncio.sleep(0.1)
            assert server.requests_in_progress == 1
            assert len(await reader.readexactly(size)) == size
            async with asyncio.timeout(1.0):
                while server.requests_in_progress:
                    await asyncio.sleep(0.01)
            writer.close()
            await server.close()

        asyncio.run(scenario())


class TestIdleConnections:
    """Guards against closing a connection whose request was just received."""

    def test_request_that_arrives_as_idle_connections_close_is_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def scenario() -> bytes:
            server = make_server()

            class ClosingChannel(Channel):
                def buffer_updated(self, nbytes: int) -> None:
                    super().buffer_updated(nbytes)
                    server.close_idle()

            monkeypatch.setattr(client_server, "Channel", ClosingChannel)
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            # The connection is waiting for its first bytes by then, and no
            # longer new.
            await asyncio.sleep(0.4)
            server.start_draining()
            writer.write(standin.request_bytes("GET", "/x"))
            data = await reader.read()
            await server.close()
            return data

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")

    def test_request_that_the_loop_has_not_noticed_is_answered(self) -> None:
        """Guards against a close while a request is in the kernel."""

        async def scenario() -> bytes:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            await asyncio.sleep(0.4)
            server.start_draining()
            writer.write(standin.request_bytes("GET", "/x"))
            server.close_idle()
            data = await reader.read()
            await server.close()
            return data

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")

    def test_client_learns_of_the_close_at_once(self) -> None:
        """Guards against requests that are sent while a close is pending."""

        async def scenario() -> None:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            await asyncio.sleep(0.4)
            server.close_idle()
            sock = writer.get_extra_info("socket")
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            assert state == _TCP_CLOSE_WAIT
            assert await reader.read() == b""
            writer.close()
            await server.close()

        asyncio.run(scenario())

    @pytest.mark.parametrize("count", [2, 30])
    def test_pipelined_requests_are_answered(self, count: int) -> None:
        """Guards against a close between requests that came together."""

        async def scenario() -> bytes:
            server = make_server(300_000)
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            await asyncio.sleep(0.4)
            writer.write(standin.request_bytes("GET", "/x") * count)

            async def close_often() -> None:
                while True:
                    server.close_idle()
                    await asyncio.sleep(0)

            closing = asyncio.create_task(close_often())
            data = await reader.read()
            closing.cancel()
            await server.close()
            return data

        data = asyncio.run(scenario())
        assert data.count(b"HTTP/1.1 200") == count

    def test_requests_sent_before_the_stop_was_told_are_answered(self) -> None:
        """Guards against pipelined requests that are dropped by a stop."""

        async def scenario() -> bytes:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            server.start_draining()
            writer.write(standin.request_bytes("GET", "/x") * 3)
            data = await reader.read()
            await server.close()
            return data

        data = asyncio.run(scenario())
        assert data.count(b"HTTP/1.1 200") == 3
        assert data.count(b"Connection: close") == 1

    def test_first_request_of_a_new_connection_is_answered(self) -> None:
        async def scenario() -> bytes:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            await asyncio.sleep(0.05)
            server.start_draining()
            server.close_idle()
            await asyncio.sleep(0.05)
            writer.write(standin.request_bytes("GET", "/x"))
            data = await reader.read()
            await server.close()
            return data

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")

    def test_connection_without_a_request_does_not_delay_the_stop(
        self,
    ) -> None:
        async def scenario() -> None:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            await asyncio.sleep(0.4)
            server.close_idle()
            async with asyncio.timeout(0.2):
                assert await reader.read() == b""
            assert server.requests_in_progress == 0
            writer.close()
            await server.close()

        asyncio.run(scenario())


class TestClose:
    """Guards against a stop that waits for a connection until it is killed."""

    def test_handler_that_does_not_end_delays_the_close_little(self) -> None:
        class StubbornHandler:
            """Goes on for a while after it was cancelled."""

            async def handle(
                self, request: ClientRequest, response: ClientResponse
            ) -> None:
                del request, response
                try:
                    await asyncio.sleep(3600)
                finally:
                    await asyncio.sleep(1.0)

        async def scenario() -> float:
            server = ClientServer(
                StubbornHandler(),
                lambda: ClientLimits(8192, 8192, 1.0, 5.0),
                Counters(),
                DecisionLog("n"),
            )
            port = standin.free_port()
            await server.start(standin.HOST, port)
            _, writer = await asyncio.open_connection(standin.HOST, port)
            writer.write(standin.request_bytes("GET", "/x"))
            await asyncio.sleep(0.1)
            started_at = time.monotonic()
            await server.close()
            writer.close()
            return time.monotonic() - started_at

        assert asyncio.run(scenario()) < 0.15


class TestAcceptQueue:
    """Guards against connections that are reset by the close of the listener.

    The kernel has accepted them, and their requests may be there already, when
    the event loop has not noticed them.
    """

    def test_requests_of_waiting_connections_are_answered(self) -> None:
        count = 40

        async def scenario() -> list[bytes]:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            server.start_draining()
            clients = []
            for _ in range(count):
                client = socket.create_connection((standin.HOST, port))
                client.sendall(standin.request_bytes("GET", "/x"))
                clients.append(client)
            server.close_idle()
            assert server.requests_in_progress == count
            answers = []
            for client in clients:
                reader, writer = await asyncio.open_connection(sock=client)
                answers.append(await reader.read())
                writer.close()
            async with asyncio.timeout(1.0):
                while server.requests_in_progress:
                    await asyncio.sleep(0.01)
            await server.close()
            return answers

        answers = asyncio.run(scenario())
        assert [entry[:12] for entry in answers] == [b"HTTP/1.1 200"] * count

    @pytest.mark.parametrize("turns", range(8))
    def test_connection_that_is_being_accepted_is_answered(
        self, turns: int
    ) -> None:
        """Guards against a drain that ends before a connection is known."""

        class Forwarder:
            def refuse_undispatched(self) -> None:
                pass

        async def scenario() -> bytes:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            server.start_draining()

            async def connect() -> socket.socket:
                for _ in range(turns):
                    await asyncio.sleep(0)
                client = socket.create_connection((standin.HOST, port))
                client.sendall(standin.request_bytes("GET", "/x"))
                return client

            connecting = asyncio.create_task(connect())
            now = time.monotonic()
            drain = Drain(server, cast(Any, Forwarder()), DecisionLog("n"))
            await drain.run(StopSchedule(now, now, now, now, now + 5, now + 5))
            await server.close()
            # The process would exit here.
            try:
                client = await connecting
            except ConnectionRefusedError:
                return b"refused"
            reader, writer = await asyncio.open_connection(sock=client)
            async with asyncio.timeout(2.0):
                data = await reader.read()
            writer.close()
            return data

        data = asyncio.run(scenario())
        assert data == b"refused" or data.startswith(b"HTTP/1.1 200")

    def test_connection_after_the_close_is_refused(self) -> None:
        """Guards against clients that wait at a listener nobody reads."""

        async def scenario() -> None:
            server = make_server()
            port = standin.free_port()
            await server.start(standin.HOST, port)
            server.close_idle()
            with pytest.raises(ConnectionRefusedError):
                await asyncio.open_connection(standin.HOST, port)
            server.close_idle()
            await server.close()

        asyncio.run(scenario())


class _StreamHandler:
    """Answers each request with a stream that ends when it is told to."""

    def __init__(self) -> None:
        self.may_end = asyncio.Event()

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        del request
        response.start(200, b"", [(b"Transfer-Encoding", b"chunked")])
        response.send(b"first")
        await self.may_end.wait()
        response.send(b"last")
        response.finish()


class TestAnswersThatBeganBefore:
    """Guards against requests on connections that nobody said would close.

    An answer that began before the signal could not tell its client, which
    sent its next request on the same connection, to a node about to end.
    """

    @pytest.mark.parametrize("request_count", [1, 2])
    def test_connection_closes_with_the_end_of_the_answer(
        self, request_count: int
    ) -> None:
        async def scenario() -> None:
            handler = _StreamHandler()
            server = make_server(handler=handler)
            port = standin.free_port()
            await server.start(standin.HOST, port)
            reader, writer = await asyncio.open_connection(standin.HOST, port)
            # All but the first wait behind it and are answered, too.
            writer.write(standin.request_bytes("GET", "/x") * request_count)
            await reader.readuntil(b"first")
            server.start_draining()
            server.close_idle()
            handler.may_end.set()
            async with asyncio.timeout(1.0):
                data = await reader.read()
            assert data.count(b"last") == request_count
            writer.close()
            await server.close()

        asyncio.run(scenario())


class TestPredictedCompletion:
    """Guards against streams that are passed on and can't end in the grace."""

    def test_stream_with_an_estimated_length(self) -> None:
        harness = gateway_doubles.NodeHarness()
        harness.train_latencies("u", 0.0001, 0.2)
        item = gateway_doubles.make_item(100.0, output_tokens=120)
        placement = harness.place(item, [gateway_doubles.make_upstream("u")])
        assert placement is not None
        completion_s = harness.selector.completion_s(
            placement, gateway_doubles.ENGINE_SERVICE
        )
        events = 1.3 * 120 / gateway_doubles.ENGINE_SERVICE.tokens_per_event
        assert completion_s - placement.predicted_first_byte_s == pytest.approx(
            0.2 * events, rel=0.1
        )

    def test_stream_ends_at_its_token_limit(self) -> None:
        harness = gateway_doubles.NodeHarness()
        harness.train_latencies("u", 0.0001, 0.2)
        item = gateway_doubles.make_item(100.0, output_tokens=120)
        item.work = dataclasses.replace(item.work, max_output_tokens=60)
        placement = harness.place(item, [gateway_doubles.make_upstream("u")])
        assert placement is not None
        completion_s = harness.selector.completion_s(
            placement, gateway_doubles.ENGINE_SERVICE
        )
        events = 60 / gateway_doubles.ENGINE_SERVICE.tokens_per_event
        assert completion_s - placement.predicted_first_byte_s == pytest.approx(
            0.2 * events, rel=0.1
        )


class TestLateStreams:
    """Guards against streams that are passed on late in the grace and cut.

    Half of all answers are longer than their clients estimate, and a sound
    upstream may fall silent on the way.
    """

    def test_stream_without_time_for_its_end_is_refused(
        self, tmp_path: pathlib.Path
    ) -> None:
        grace_s = 8.0
        # The estimate is 60 events; the first streams are as long.
        event_counts = {"first": 60, "longer": 110, "silent": 80}

        async def work(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            kind = request.headers["attempt-id"].partition("-")[0]
            may_send = asyncio.Event()
            may_send.set()

            async def fall_silent() -> None:
                await asyncio.sleep(0.6)
                may_send.clear()
                await asyncio.sleep(1.5)
                may_send.set()

            silence = asyncio.ensure_future(
                fall_silent() if kind == "silent" else asyncio.sleep(0)
            )
            await standin.stream(event_counts[kind], 0.04, may_send=may_send)(
                upstream, request, writer
            )
            await silence

        async def send(
            cluster: LocalCluster, attempt: str, delay_s: float
        ) -> standin.ClientResponse:
            """Sends a request whose last byte leaves after a delay."""
            reader, writer = await asyncio.open_connection(
                standin.HOST, cluster.gateway.port
            )
            fields = {
                "Attempt-Id": attempt,
                "Deadline-Ms": "20000",
                "Token-Usage": "100,400",
                "Length-Hint": "60",
            }
            data = standin.request_bytes("POST", "/call/x", b"body", fields)
            writer.write(data[:-1])
            await asyncio.sleep(delay_s)
            writer.write(data[-1:])
            try:
                return await standin.read_response(reader)
            finally:
                writer.close()

        async def run() -> None:
            engine = {"name": "svc", "max_connections": 100}
            engine["inference_engine"] = {"slot_count": 40, "step_size": 1}
            async with standin.local_cluster(
                tmp_path, configuration(1, _ROUTES, services=[engine])
            ) as cluster:
                await cluster.add_upstream("u-1", work, slot_count=40)
                await cluster.add_gateway(drain_grace_s=grace_s)
                await cluster.gateway.wait_ready()
                await asyncio.gather(
                    *(send(cluster, f"first-{n}", 0.0) for n in range(8))
                )
                cluster.gateway.signal(signal.SIGTERM)
                await asyncio.sleep(2.0)
                responses = await asyncio.gather(
                    *(
                        send(cluster, f"{kind}-{tenth}", 0.9 + tenth / 10)
                        for kind in ("longer", "silent")
                        for tenth in range(6)
                    )
                )
                assert await cluster.gateway.wait() == 0
                assert [
                    entry.status
                    for entry in responses
                    if entry.status == 200 and not entry.is_complete
                ] == []
                for response in responses:
                    if response.status != 200:
                        assert response.status == 503
                        assert "retry-after" in response.headers

        asyncio.run(run())
