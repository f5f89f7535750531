"""Tests of other clients and of memory beside endless responses."""

import asyncio
import pathlib
import time
from collections.abc import Callable

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route
from tanagerport.gateway.event_stream import EventSplitter
from tanagerport.gateway.response_buffers import ResponseBuffers

_BLOCK_BYTES = 64 * 1024
_MAX_EVENT_BYTES = 256 * 1024
# Memory of one node of the users' sheet, in MiB.
_NODE_MEMORY_MIB = 300
# Time in which a sound service answers, far below the timeout of its route.
_SOUND_ANSWER_S = 1.0
_STREAM_HEAD = "Content-Type: text/event-stream"
_CHUNKED = "Transfer-Encoding: chunked"
# Head fields and one repeated block of each endless response.
_RESPONSES = {
    "event in small chunks": (
        [_STREAM_HEAD, _CHUNKED],
        b"4\r\ntok \r\n" * 2048,
    ),
    "line feeds": ([_STREAM_HEAD], b"\n" * _BLOCK_BYTES),
    "short events": ([_STREAM_HEAD], b"data: x\n\n" * 4096),
    "body in small chunks": ([_CHUNKED], b"2\r\nxx\r\n" * 4096),
    "body": ([], b"x" * _BLOCK_BYTES),
}


class _Flood:
    """Sends an endless response of one kind."""

    def __init__(self, kind: str) -> None:
        fields, self._block = _RESPONSES[kind]
        self._fields = fields
        self.requests = 0

    async def __call__(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.requests += 1
        upstream.started_attempts.append(request.headers["attempt-id"])
        seal = [
            f"{name}: {text}"
            for name, text in standin.seal_headers(request).items()
        ]
        lines = ["HTTP/1.1 200 OK", *seal, *self._fields, "", ""]
        try:
            writer.write("\r\n".join(lines).encode())
            while True:
                writer.write(self._block)
                await writer.drain()
                await asyncio.sleep(0.001)
        except (ConnectionError, asyncio.CancelledError):
            writer.transport.abort()


def _peak_memory_mib(pid: int) -> float:
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (peak,) = (line for line in status.splitlines() if "VmHWM" in line)
    return int(peak.split()[1]) / 1024


async def _add_flooded_cluster(
    cluster: LocalCluster, kind: str
) -> tuple[_Flood, standin.UpstreamStandin]:
    flood = _Flood(kind)
    await cluster.add_upstream("flood", flood, slot_count=400)
    sound = standin.UpstreamStandin("sound", standin.echo)
    await sound.start()
    cluster.upstreams.append(sound)
    await cluster.store.put(
        "servers", "sound", sound.registration("desk", slot_count=400)
    )
    await cluster.add_gateway()
    await cluster.gateway.wait_ready()
    return flood, sound


def _run_beside_floods(
    directory: pathlib.Path,
    kind: str,
    flooded_requests: int,
    check: Callable[[float, int], None],
) -> None:
    """Sends requests to a sound service beside endless responses.

    `check` is called with the longest time to a sound answer, in seconds, and
    with the id of the node's process.
    """

    async def call_flooded(cluster: LocalCluster, number: int) -> None:
        path = "/body/x" if "body" in kind else "/call/x"
        await cluster.call(f"flood-{number}", path, b"x")

    async def run_scenario() -> None:
        config = configuration(
            1,
            [
                route("call", "streaming", max_attempts=1, target_itl_ms=250),
                route("body", "non_idempotent", max_attempts=1),
                route("desk", "non_idempotent", service="desk"),
            ],
            services=[
                {"name": "svc", "max_connections": 500},
                {"name": "desk", "max_connections": 50},
            ],
        )
        async with standin.local_cluster(directory, config) as cluster:
            flood, _ = await _add_flooded_cluster(cluster, kind)
            flooded = [
                asyncio.create_task(call_flooded(cluster, number))
                for number in range(flooded_requests)
            ]
            async with asyncio.timeout(10):
                while not flood.requests:
                    await asyncio.sleep(0.01)
            longest_s = 0.0
            for number in range(10):
                started_at = time.monotonic()
                response = await cluster.call(f"a{number}", "/desk/x", b"x")
                longest_s = max(longest_s, time.monotonic() - started_at)
                assert response.status == 200
            await asyncio.wait(flooded)
            check(longest_s, cluster.gateway.pid)

    asyncio.run(run_scenario())


class TestOtherRequests:
    """Guards against one endless response that hangs a node for all clients."""

    @pytest.mark.parametrize("kind", _RESPONSES)
    def test_sound_service_answers_beside_endless_responses(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        def check(longest_s: float, _: int) -> None:
            assert longest_s < _SOUND_ANSWER_S

        _run_beside_floods(tmp_path, kind, 8, check)


class TestMemory:
    """Guards against nodes that run out of memory and end."""

    @pytest.mark.parametrize("kind", ["body in small chunks", "body"])
    def test_memory_is_bounded_beside_hundreds_of_endless_responses(
        self, kind: str, tmp_path: pathlib.Path
    ) -> None:
        def check(_: float, pid: int) -> None:
            assert _peak_memory_mib(pid) < _NODE_MEMORY_MIB / 2

        _run_beside_floods(tmp_path, kind, 300, check)


class TestResponseBuffers:
    """Guards against responses that use up memory together."""

    def test_largest_response_gives_up_its_memory(self) -> None:
        """Guards against a faulty response that ends the sound ones."""
        evicted: list[str] = []
        buffers = ResponseBuffers(1000)
        with buffers.open(lambda: evicted.append("sound")) as sound:
            with buffers.open(lambda: evicted.append("endless")) as endless:
                buffers.resize(sound, 300)
                for size in range(100, 1000, 100):
                    buffers.resize(endless, size)
                assert evicted == ["endless"]
                assert endless.is_evicted
                assert not sound.is_evicted
                assert buffers.total_bytes == 300
            assert buffers.total_bytes == 300
        assert (buffers.total_bytes, buffers.evictions) == (0, 1)


class TestEventSplitting:
    """Guards against work on an event that grows with the square of its size.

    A node would hang while an upstream sends an event in many small parts.
    """

    def test_event_in_small_parts_takes_time_in_proportion(self) -> None:
        def feeding_s(size: int) -> float:
            splitter = EventSplitter()
            started_at = time.process_time()
            for _ in range(size // 4):
                splitter.feed(b"tok ")
            assert splitter.partial_length == size
            return time.process_time() - started_at

        # Proportional work takes 16 times as long, squared work 256 times.
        assert feeding_s(_MAX_EVENT_BYTES) < 64 * max(
            min(feeding_s(_MAX_EVENT_BYTES // 16) for _ in range(5)), 1e-4
        )

    def test_blank_lines_stay_within_the_stream(self) -> None:
        """Guards against blank lines that count as events or get lost."""
        splitter = EventSplitter()
        data = b"\n\n\nid: 1\n\n\n\nid: 2\n\n\n"
        events = [
            event
            for index in range(len(data))
            for event in splitter.feed(data[index : index + 1])
        ]
        assert [event.event_id for event in events] == [1, 2]
        assert not splitter.is_within_event
        assert b"".join(event.raw for event in events) + splitter.partial == (
            data
        )


class TestPipelinedRequests:
    """Guards against one client whose requests keep all others waiting."""

    def test_other_clients_are_served_beside_pipelined_requests(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def run_scenario() -> None:
            async with standin.local_cluster(
                tmp_path, configuration(1, [route("desk", service="desk")])
            ) as cluster:
                await _add_flooded_cluster(cluster, "body")
                _, writer = await asyncio.open_connection(
                    standin.HOST, cluster.gateway.port
                )
                # Each of them is refused at once.
                request = standin.request_bytes("GET", "/unknown")
                writer.write(request * 20_000)
                await asyncio.sleep(0.05)
                started_at = time.monotonic()
                response = await cluster.call("a1", "/desk/x")
                assert response.status == 200
                assert time.monotonic() - started_at < _SOUND_ANSWER_S
                writer.close()

        asyncio.run(run_scenario())
