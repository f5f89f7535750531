"""Measures what the relay of token streams costs a node.

The node's caller interface and pipeline run in this process; the engine and
the callers run in a second one, so that they don't share its interpreter.
"""

import asyncio
import dataclasses
import gc
import json
import multiprocessing
import pathlib
import statistics
import time
from collections.abc import Mapping
from multiprocessing.connection import Connection

from tanagerport.clock import SystemClock
from tanagerport.frontend import CallerApplication
from tanagerport.http_server import HttpServer
from tanagerport.metrics import Metrics
from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.pipeline import RequestPipeline
from tanagerport.scheduler import StaticScheduler
from tanagerport.settings import TimingSettings, split_address
from tanagerport.upstream_client import UpstreamClient

_PAGE_BYTES = 4096
_TOKEN_INTERVAL_S = 0.039
_LATENCY_REQUESTS = 200
_SPARE_THREADS = 8
_DONE = b"data: [DONE]\n\n"
_CLASS = WorkClass(
    "measured",
    0,
    UpstreamKind.ENGINE,
    "model",
    first_token_target_s=60,
    deadline_s=600,
)


@dataclasses.dataclass(frozen=True)
class RelayMeasurement:
    """Cost of relaying streams.

    Attributes:
        streams: Streams open at once.
        tokens: Tokens relayed in all.
        cpu_us_per_token: Processor time of the node, in microseconds.
        bytes_per_stream: Growth of resident memory for each open stream,
            its thread included.
        added_first_byte_ms: Median time that the node adds to the first
            byte, in milliseconds, with one request at a time.
    """

    streams: int
    tokens: int
    cpu_us_per_token: float
    bytes_per_stream: float
    added_first_byte_ms: float


def measure_relay(streams: int, tokens: int) -> RelayMeasurement:
    """Relays streams on loopback and measures what they cost.

    Args:
        streams: Streams open at once.
        tokens: Tokens of each stream, one every 39 ms.
    """
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    child = context.Process(target=_run_child, args=(there,), daemon=True)
    child.start()
    server = None
    try:
        engine_address = here.recv()
        gc.collect()
        memory = _resident_bytes()
        server = _start_node(engine_address, streams)
        here.send((server.address, streams, tokens))
        direct_s, through_s = here.recv()
        started = time.process_time()
        here.send("open")
        here.recv()  # All streams are open.
        open_memory = _resident_bytes()
        relayed = here.recv()
        used_s = time.process_time() - started
    finally:
        if server is not None:
            server.stop()
        child.terminate()
        child.join()
    return RelayMeasurement(
        streams,
        relayed,
        used_s / relayed * 1e6,
        (open_memory - memory) / streams,
        (through_s - direct_s) * 1000,
    )


class _AlwaysReady:
    not_ready_reason = ""
    classes: Mapping[str, WorkClass] = {_CLASS.name: _CLASS}


def _start_node(engine_address: str, streams: int) -> HttpServer:
    clock, metrics = SystemClock(), Metrics()
    timing = TimingSettings()
    vm = VM(
        "engine",
        VMRole.ENGINE,
        "zone",
        "region",
        engine_address,
        serves=(_CLASS.model,),
        slots=streams + 1,
    )
    scheduler = StaticScheduler(lambda: (vm,), clock, streams + 1)
    pipeline = RequestPipeline(
        scheduler, UpstreamClient(timing, clock), metrics, clock, timing
    )
    server = HttpServer(
        "127.0.0.1:0",
        CallerApplication(_AlwaysReady(), pipeline, metrics, clock),
        threads=streams + _SPARE_THREADS,
    )
    server.start()
    return server


def _resident_bytes() -> int:
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * _PAGE_BYTES


def _run_child(pipe: Connection) -> None:
    asyncio.run(_serve_and_call(pipe))


async def _serve_and_call(pipe: Connection) -> None:
    engine = await asyncio.start_server(_answer, "127.0.0.1", 0)
    host, port = engine.sockets[0].getsockname()[:2]
    pipe.send(f"{host}:{port}")
    address, streams, tokens = await asyncio.to_thread(pipe.recv)
    node = split_address(address)
    direct_s = await _first_byte_time((host, port))
    pipe.send((direct_s, await _first_byte_time(node)))
    await asyncio.to_thread(pipe.recv)
    opened = asyncio.Semaphore(0)
    calls = [
        asyncio.create_task(_call(node, tokens, opened)) for _ in range(streams)
    ]
    for _ in calls:
        await opened.acquire()
    pipe.send("opened")
    pipe.send(sum(await asyncio.gather(*calls)))
    await asyncio.to_thread(pipe.recv)  # The other process ends this one.


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Sends one token at each interval, the first one at once."""
    while head := await _read_head(reader):
        request_id = head.get("x-request-id", "direct")
        body = await reader.readexactly(int(head["content-length"]))
        tokens = json.loads(body)["max_tokens"]
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            b"X-Request-Id: %s\r\n\r\n" % request_id.encode()
        )
        started = asyncio.get_running_loop().time()
        for position in range(tokens):
            due_at = started + position * _TOKEN_INTERVAL_S
            delay_s = due_at - asyncio.get_running_loop().time()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            writer.write(_chunk(_token(request_id, position)))
        writer.write(_chunk(_end(request_id, tokens)) + _chunk(b""))


def _token(request_id: str, position: int) -> bytes:
    return (
        f'data: {{"id": "{request_id}", "object": "chat.completion.chunk", '
        '"choices": [{"index": 0, "delta": {"content": "token "}, '
        f'"n": {position}}}]}}\n\n'
    ).encode()


def _end(request_id: str, tokens: int) -> bytes:
    usage = json.dumps({"completion_tokens": tokens})
    text = f'data: {{"id": "{request_id}", "choices": [], "usage": {usage}}}'
    return text.encode() + b"\n\n" + _DONE


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except asyncio.IncompleteReadError:
        return {}
    lines = head.split("\r\n")[1:-2]
    pairs = (line.partition(":") for line in lines)
    return {name.lower(): value.strip() for name, _, value in pairs}


async def _call(
    address: tuple[str, int],
    tokens: int,
    opened: asyncio.Semaphore | None = None,
) -> int:
    """Makes one call and returns the tokens of its answer."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        await _send(writer, tokens)
        await reader.readuntil(b"\n\n")
        if opened is not None:
            opened.release()
        rest = await reader.readuntil(_DONE)
        # The first token was read with the head.
        return 1 + rest.count(b'"delta"')
    finally:
        writer.close()


async def _send(writer: asyncio.StreamWriter, tokens: int) -> None:
    body = json.dumps(
        {
            "model": _CLASS.model,
            "messages": [{"role": "user", "content": "measure"}],
            "stream": True,
            "max_tokens": tokens,
        }
    ).encode()
    writer.write(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )
    await writer.drain()


async def _first_byte_time(address: tuple[str, int]) -> float:
    """Returns the median seconds to the first byte on one connection."""
    reader, writer = await asyncio.open_connection(*address)
    times = []
    for _ in range(_LATENCY_REQUESTS):
        started = time.perf_counter()
        await _send(writer, 1)
        await reader.readuntil(b"\n\n")
        times.append(time.perf_counter() - started)
        await reader.readuntil(b"\r\n0\r\n\r\n")
    writer.close()
    return statistics.median(times)
