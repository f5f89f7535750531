"""Tests of what is recorded of answers whose end was not delivered."""

import asyncio
import json
import os
import time
from collections.abc import Iterator

import pytest

import platform_standin as standin
from tanagerport.gateway.client_messages import ClientRequest, ClientResponse
from tanagerport.gateway.client_server import ClientServer
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import ClientLimits

_ANSWER_BYTES = 16_000_000


class _Handler:
    """Answers with a large body.

    Args:
        is_stuck: Whether it leaves out the end.
        delivery_s: Seconds in which the client may read it.
    """

    def __init__(self, is_stuck: bool, delivery_s: float = 30.0) -> None:
        self._is_stuck = is_stuck
        self._delivery_s = delivery_s

    async def handle(
        self, request: ClientRequest, response: ClientResponse
    ) -> None:
        response.request_id = "a1"
        response.upstream_id = "u-1"
        response.received_at = request.received_at
        response.deliver_until = request.received_at + self._delivery_s
        length = str(_ANSWER_BYTES).encode()
        response.start(200, b"", [(b"Content-Length", length)])
        if self._is_stuck:
            await asyncio.sleep(3600)
        response.send(b"x" * _ANSWER_BYTES)
        response.finish()


async def close_server(is_stuck: bool, resets: bool = False) -> Counters:
    """Ends the connection of a client that does not read its answer."""
    counters = Counters()
    log = DecisionLog("n")
    server = ClientServer(
        _Handler(is_stuck),
        lambda: ClientLimits(8192, 8192, 1.0, 5.0),
        counters,
        log,
    )
    port = standin.free_port()
    await server.start(standin.HOST, port)
    reader, writer = await asyncio.open_connection(standin.HOST, port)
    writer.write(standin.request_bytes("GET", "/x"))
    await asyncio.sleep(0.2)
    if resets:
        writer.transport.abort()
        await asyncio.sleep(0.2)
    await server.close()
    writer.close()
    log.flush()
    return counters


class TestUnsentAnswers:
    """Guards against cut answers of which the log names no request."""

    @pytest.mark.parametrize("is_whole", [False, True])
    def test_stop_names_the_request(
        self, is_whole: bool, capfd: pytest.CaptureFixture[str]
    ) -> None:
        counters = asyncio.run(close_server(not is_whole))
        assert counters.connections_closed_early == {"stopping": 1}
        line = json.loads(capfd.readouterr().out.splitlines()[-1])
        assert line["event"] == "connection_closed_early"
        assert line["cause"] == "stopping"
        assert line["request"] == "a1"
        assert line["upstream"] == "u-1"
        assert line["age_s"] > 0.1
        assert line["has_begun"]
        assert line["is_whole"] is is_whole
        if is_whole:
            assert 0 < line["unsent_bytes"] < _ANSWER_BYTES + 1000

    def test_lost_connection_names_the_request(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        counters = asyncio.run(close_server(False, resets=True))
        assert counters.answers_unsent == {"connection_error": 1}
        line = json.loads(capfd.readouterr().out.splitlines()[-1])
        assert line["event"] == "answer_unsent"
        assert line["request"] == "a1"
        assert line["is_whole"]
        assert line["unsent_bytes"] > 0

    def test_client_that_never_reads_is_left_at_its_deadline(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against connections that hold an answer without end."""

        async def run() -> float:
            log = DecisionLog("n")
            server = ClientServer(
                _Handler(False, delivery_s=2.0),
                lambda: ClientLimits(8192, 8192, 1.0, 5.0),
                Counters(),
                log,
            )
            port = standin.free_port()
            await server.start(standin.HOST, port)
            started_at = time.monotonic()
            _, writer = await asyncio.open_connection(standin.HOST, port)
            writer.write(standin.request_bytes("GET", "/x"))
            await asyncio.sleep(0.2)
            while server.open_connections:
                await asyncio.sleep(0.01)
            left_after_s = time.monotonic() - started_at
            writer.close()
            await server.close()
            log.flush()
            return left_after_s

        assert 1.9 < asyncio.run(run()) < 3.0
        line = json.loads(capfd.readouterr().out.splitlines()[-1])
        assert line["event"] == "answer_unsent"
        assert line["cause"] == "deadline"
        assert line["request"] == "a1"
        assert line["is_whole"]


@pytest.fixture(name="pipe")
def fixture_pipe() -> Iterator[tuple[int, int]]:
    """A pipe whose reader does not read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


class TestSlowLogReader:
    """Guards against lines that explain a failure and are never written."""

    def test_last_lines_are_written_at_the_exit(
        self, pipe: tuple[int, int]
    ) -> None:
        reader, writer = pipe
        log = DecisionLog("n", writer)
        for number in range(1000):
            log.warning(f"event-{number}", text="x" * 100)
        log.warning("last")
        log.flush()

        async def run() -> bytes:
            loop = asyncio.get_running_loop()
            close = loop.run_in_executor(None, log.close, 5.0)
            data = b""
            while b'"last"' not in data and not close.done():
                data += await loop.run_in_executor(None, os.read, reader, 4096)
            await close
            os.set_blocking(reader, False)
            try:
                return data + os.read(reader, 1 << 20)
            except BlockingIOError:
                return data

        assert b'"last"' in asyncio.run(run())

    def test_exit_does_not_wait_for_a_reader_that_stands_still(
        self, pipe: tuple[int, int]
    ) -> None:
        log = DecisionLog("n", pipe[1])
        for number in range(1500):
            log.warning(f"event-{number}", text="x" * 100)
        started_at = time.monotonic()
        log.close(0.2)
        assert time.monotonic() - started_at < 1.0

    def test_decisions_leave_room_for_warnings(
        self, pipe: tuple[int, int]
    ) -> None:
        log = DecisionLog("n", pipe[1])
        for number in range(3000):
            log.info(f"event-{number}")
        log.warning("answer_cut")
        assert "answer_cut" not in log.dropped
