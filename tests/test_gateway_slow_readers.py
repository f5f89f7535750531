"""Tests of clients that read their answers slowly, with real processes."""

import asyncio
import pathlib
import signal
import socket
from collections.abc import Awaitable, Callable

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route

Scenario = Callable[[LocalCluster], Awaitable[None]]

_GRACE_S = 6.0
_RECEIVE_BUFFER_BYTES = 8192
_ROUTES = [
    route("read", timeout_ms=20_000, max_attempts=1),
    route("call", "streaming", timeout_ms=20_000, max_attempts=1),
    route("call/brief", "streaming", timeout_ms=6_000, max_attempts=1),
]


def send_body(
    size: int,
) -> standin.RequestHandler:
    """Returns a handler that answers with a body of a size, or as a stream."""

    async def handler(
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream.started_attempts.append(request.headers["attempt-id"])
        fields = standin.seal_headers(request)
        if not request.path.startswith("/call/"):
            writer.write(standin.response_bytes(200, b"x" * size, fields))
            await writer.drain()
            return
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        head = standin.response_bytes(200, b"", fields)
        writer.write(head.replace(b"Content-Length: 0\r\n", b""))
        for number in range(1, size // 10_000 + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 10_000)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    return handler


def run_scenario(
    directory: pathlib.Path, size: int, scenario: Scenario
) -> None:
    """Runs a scenario on a gateway and an upstream with answers of a size."""

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, _ROUTES)
        ) as cluster:
            await cluster.add_upstream("u-1", send_body(size), slot_count=40)
            await cluster.add_gateway(drain_grace_s=_GRACE_S)
            await cluster.gateway.wait_ready()
            await scenario(cluster)

    asyncio.run(run_cluster())


async def connect(cluster: LocalCluster) -> socket.socket:
    """Connects a client whose host holds few unread bytes."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(
        sock, (standin.HOST, cluster.gateway.port)
    )
    return sock


async def read_after(
    cluster: LocalCluster, target: str, pause_s: float
) -> standin.ClientResponse:
    """Sends a request and begins to read its answer after a pause."""
    sock = await connect(cluster)
    loop = asyncio.get_running_loop()
    fields = {"Attempt-Id": f"{target}-{pause_s}", "Deadline-Ms": "20000"}
    await loop.sock_sendall(
        sock, standin.request_bytes("POST", target, b"body", fields)
    )
    await asyncio.sleep(pause_s)
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        return await standin.read_response(reader)
    except ConnectionError:
        return standin.ClientResponse(0, {}, b"", is_complete=False)
    finally:
        writer.close()


class TestPauses:
    """Guards against taking a client that reads slowly for a lost one.

    The kernel ended a connection whose client had not read for 4 s, though
    the client's host answered each of its probes.
    """

    @pytest.mark.parametrize("target", ["/read/x", "/call/x"])
    def test_answer_is_whole_after_a_pause(
        self, tmp_path: pathlib.Path, target: str
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            responses = await asyncio.gather(
                *(
                    read_after(cluster, target, pause_s)
                    for pause_s in (0.0, 3.0, 5.0, 7.0, 9.0)
                )
            )
            assert [entry.status for entry in responses] == [200] * 5
            assert all(entry.is_complete for entry in responses)

        run_scenario(tmp_path, 600_000, scenario)

    def test_client_that_never_reads_is_left_at_its_deadline(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against connections that hold an upstream without end."""

        async def scenario(cluster: LocalCluster) -> None:
            response = await read_after(cluster, "/call/brief/x", 8.0)
            assert not response.is_complete
            (line,) = (
                line
                for line in cluster.gateway.log_lines()
                if line["event"] == "answer_cut"
            )
            assert line["request"] == "/call/brief/x-8.0"
            assert line["reason"] == "deadline_passed"
            assert line["upstream"] == "u-1"
            assert 5.5 < line["after_s"] < 7.0

        run_scenario(tmp_path, 16_000_000, scenario)


class _SlowUpstream(standin.UpstreamStandin):
    """Reads its requests after a pause; its host holds few unread bytes."""

    async def start(self, port: int = 0) -> None:
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        sock.bind((standin.HOST, port))
        self._server = await asyncio.start_server(
            self._handle_connection, sock=sock, limit=_RECEIVE_BUFFER_BYTES
        )
        self.port = sock.getsockname()[1]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(6.0)
        await super().serve(reader, writer)


class TestSlowUpstreams:
    """Guards against taking an upstream that reads slowly for a lost one."""

    def test_long_body_reaches_an_upstream_that_reads_late(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def run() -> None:
            async with standin.local_cluster(
                tmp_path, configuration(1, _ROUTES)
            ) as cluster:
                upstream = _SlowUpstream("u-1", standin.echo)
                await upstream.start()
                cluster.upstreams.append(upstream)
                await cluster.store.put(
                    "servers", "u-1", upstream.registration("svc")
                )
                await cluster.add_gateway()
                await cluster.gateway.wait_ready()
                body = b"x" * 99_000
                response = await cluster.call(
                    "a1", "/read/x", body, Deadline_Ms="20000"
                )
                assert response.status == 200
                assert response.body == b"ran:" + body

        asyncio.run(run())


class TestStop:
    """Guards against whole answers that a stop discards."""

    @pytest.mark.parametrize("target", ["/read/x", "/call/x"])
    def test_answer_that_is_whole_outlives_the_process(
        self, tmp_path: pathlib.Path, target: str
    ) -> None:
        """Guards against a write buffer that is discarded at the exit."""

        async def scenario(cluster: LocalCluster) -> None:
            task = asyncio.ensure_future(
                read_after(cluster, target, _GRACE_S + 1.5)
            )
            await asyncio.sleep(0.5)
            cluster.gateway.signal(signal.SIGTERM)
            assert await cluster.gateway.wait() == 0
            response = await task
            assert response.status == 200
            assert response.is_complete

        run_scenario(tmp_path, 200_000, scenario)
