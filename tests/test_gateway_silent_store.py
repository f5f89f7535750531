"""Tests of connections to the store that go silent while new ones work."""

import asyncio
import contextlib
import pathlib
import time
from collections.abc import Awaitable, Callable

import pytest

import platform_standin as standin
from platform_standin import (
    LocalCluster,
    StoreStandin,
    UpstreamStandin,
    configuration,
    route,
)
from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.settings import Address
from tanagerport_platform import store as store_module
from tanagerport_platform.store import PlatformStore

# Bounds of the rule for configurations, in seconds.
_CONTACT_S = 4.0
_CONFIG_APPLY_S = 2.5
_MARGIN_S = 0.2
_HEARTBEAT_S = 0.2


def _run_with_store(
    scenario: Callable[[StoreStandin, PlatformStore], Awaitable[None]],
) -> None:
    async def run() -> None:
        server = StoreStandin()
        await server.start()
        client = PlatformStore(Address(standin.HOST, server.port), Counters())
        try:
            await scenario(server, client)
        finally:
            client.drop_connections()
            await server.stop()

    asyncio.run(run())


async def _leave_idle(client: PlatformStore, count: int) -> None:
    """Leaves several idle connections."""
    await asyncio.gather(*(client.read("t") for _ in range(count)))


class TestIdleConnections:
    """Idle connections that went silent together with one in use."""

    def test_call_after_a_timeout_uses_a_new_connection(self) -> None:
        """Guards against calls that time out one after the other."""

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await _leave_idle(client, 3)
            server.silence_open_connections()
            with pytest.raises(StoreUnavailableError):
                await client.read("t")
            await client.read("t")

        _run_with_store(scenario)

    def test_call_after_a_cancelled_one_uses_a_new_connection(self) -> None:
        """Guards against a silent connection after a call that was given up.

        A reader cancels its call if other nodes have newer rows.
        """

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await _leave_idle(client, 3)
            server.silence_open_connections()
            watching = asyncio.ensure_future(client.watch("t", 0, 3.0))
            await asyncio.sleep(0.1)
            watching.cancel()
            await asyncio.wait({watching})
            await client.read("t")

        _run_with_store(scenario)

    def test_answered_calls_share_a_connection(self) -> None:
        """Guards against a new connection for each call."""

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            for _ in range(5):
                await client.read("t")
                await client.watch("t", 0, 0.05)
            assert len(server._writers) == 1

        _run_with_store(scenario)


class TestWait:
    """Time for which a call for changes waits on a kept connection."""

    @pytest.mark.parametrize("idle_s", [0.0, 0.4, 0.8])
    def test_silence_is_detected_in_time_after_a_pause(
        self, idle_s: float
    ) -> None:
        """Guards against silence that is not counted while idle."""
        wait_s = 1.0

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await client.read("t")
            server.silence_open_connections()
            silent_at = time.monotonic()
            await asyncio.sleep(idle_s)
            try:
                await client.watch("t", 0, wait_s)
            except StoreUnavailableError:
                # The connection was kept, and the call timed out.
                pass
            else:
                assert idle_s > wait_s / 2
                return
            duration_s = time.monotonic() - silent_at
            margin_s = store_module._WATCH_TIMEOUT_MARGIN_S
            assert duration_s < wait_s + margin_s + 0.2

        _run_with_store(scenario)

    def test_quiet_table_is_not_polled_more_often(self) -> None:
        """Guards against more calls while nothing changes."""

        async def scenario(server: StoreStandin, client: PlatformStore) -> None:
            await client.read("t")
            started_at = time.monotonic()
            for _ in range(4):
                await client.watch("t", 0, 0.3)
            assert time.monotonic() - started_at > 4 * 0.3 - 0.05

        _run_with_store(scenario)


class TestConfiguration:
    """Configuration of a node whose connections to the store go silent."""

    @pytest.mark.parametrize(
        ("change_before_s", "has_heartbeats"),
        [(0.0, True), (1.0, True), (2.5, False)],
    )
    def test_dropped_route_is_out_of_use_in_time(
        self,
        tmp_path: pathlib.Path,
        change_before_s: float,
        has_heartbeats: bool,
    ) -> None:
        """Guards against a route that is in use seconds after its bound."""
        routes = [route("kept"), route("dropped")]

        async def beat(
            cluster: LocalCluster, upstream: UpstreamStandin
        ) -> None:
            while True:
                await asyncio.sleep(_HEARTBEAT_S)
                await cluster.store.put(
                    "servers", "u-1", upstream.registration("svc")
                )

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_gateway()
            upstream = await cluster.add_upstream("u-1", standin.echo)
            if has_heartbeats:
                beating = asyncio.create_task(beat(cluster, upstream))
            await cluster.gateway.wait_ready()
            await asyncio.sleep(1.0)
            await cluster.store.put(
                "op", "config", configuration(2, [*routes, route("added")])
            )
            await asyncio.sleep(change_before_s)
            cluster.store.silence_open_connections()
            silent_at = time.monotonic()
            await asyncio.sleep(0.5)
            await cluster.store.put(
                "op", "config", configuration(3, routes[:1])
            )
            bound_at = _MARGIN_S + max(
                silent_at + _CONTACT_S, time.monotonic() + _CONFIG_APPLY_S
            )
            await asyncio.sleep(bound_at - time.monotonic())
            response = await cluster.call("a1", "/dropped/x")
            assert response.status == 404
            response = await cluster.call("a2", "/kept/x")
            assert response.status == 200
            if has_heartbeats:
                beating.cancel()

        async def run() -> None:
            async with standin.local_cluster(
                tmp_path, configuration(1, routes)
            ) as cluster:
                await scenario(cluster)

        asyncio.run(run())


class TestReceiving:
    """Guards against progress of a response that is missed, or no rows."""

    @pytest.mark.parametrize("status", [200, 503])
    def test_bytes_of_a_successful_response_are_progress(
        self, status: int
    ) -> None:
        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 %d X\r\nContent-Length: 100\r\n\r\n{" % status
            )
            with contextlib.suppress(ConnectionError):
                await reader.read()
            writer.close()

        async def run() -> None:
            server = await asyncio.start_server(respond, standin.HOST, 0)
            port = server.sockets[0].getsockname()[1]
            client = PlatformStore(Address(standin.HOST, port), Counters())
            call = asyncio.create_task(client.watch("op", 1, 1.0))
            await asyncio.sleep(0.3)
            assert (client.receiving("op") is not None) == (status == 200)
            assert client.receiving("servers") is None
            call.cancel()
            await asyncio.sleep(0.05)
            assert client.receiving("op") is None
            server.close()

        asyncio.run(run())
