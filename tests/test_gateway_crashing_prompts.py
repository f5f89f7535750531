"""Tests of prompts on which every upstream crashes."""

import asyncio
import json
import pathlib

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration
from tanagerport import cli
from test_gateway_process import ROUTES, run_scenario

_CRASHING_PART = "bad0"
_CRASHING_TARGET = "/read/bad"
# Limits of the service's operators: requests that may reach upstreams with a
# part that crashes them, up to the fifth crash and after it.
_MAX_CRASHES = 5
_MAX_LATER_REQUESTS = 3
# The same for one request that comes again and again: three crashes, and three
# retries after them.
_MAX_REPEATED_CRASHES = 3 + 3
_RESTART_S = 0.8
# Time within which a request reaches an upstream, in seconds.
_REACHED_S = 5.0


class _CrashingUpstreams:
    """Upstreams that crash when they begin to answer on one prompt part.

    Args:
        events_before_crash: Number of events of that answer that they send.
    """

    def __init__(self, events_before_crash: int = 0) -> None:
        self.crashes = 0
        self._events_before_crash = events_before_crash
        self._stopped: set[str] = set()
        self._restarts: set[asyncio.Task[None]] = set()
        self._answer = standin.stream(6, interval_s=0.02)

    async def handle(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        parts = request.headers.get("prefix-hash", "")
        if (
            f"{_CRASHING_PART}:" not in parts
            and request.target != _CRASHING_TARGET
        ):
            answer = self._answer if parts else standin.echo
            await answer(upstream, request, writer)
            return
        if self._events_before_crash:
            last_id = int(request.headers.get("last-event-id", "0"))
            reset_after = last_id + self._events_before_crash
            answer = standin.stream(
                reset_after + 1, interval_s=0.02, reset_after=reset_after
            )
            await answer(upstream, request, writer)
        else:
            await asyncio.sleep(0.02)
        if upstream.upstream_id in self._stopped:
            return
        self._stopped.add(upstream.upstream_id)
        self.crashes += 1
        port = upstream.port
        await upstream.stop()
        restart = asyncio.create_task(self._restart(upstream, port))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(
        self, upstream: standin.UpstreamStandin, port: int
    ) -> None:
        await asyncio.sleep(_RESTART_S)
        await upstream.start(port)
        self._stopped.discard(upstream.upstream_id)


async def _call(
    cluster: LocalCluster, number: int, parts: str
) -> standin.ClientResponse:
    return await standin.fetch(
        cluster.gateways[number % len(cluster.gateways)].port,
        "POST",
        "/talk/x",
        b"prompt",
        {
            "Attempt-Id": f"a{number}",
            "Deadline-Ms": "4000",
            "Token-Usage": "100,60",
            "Prefix-Hash": parts,
        },
    )


async def _release_by_command(gateway: standin.GatewayProcess) -> None:
    """Lists the quarantined part and releases it, once."""
    node = f"127.0.0.1:{gateway.metrics_port}"
    response = await standin.fetch(gateway.metrics_port, "GET", "/quarantine")
    (entry,) = json.loads(response.body)
    assert entry["crashes"] >= 2
    for exit_code in (0, 1):
        arguments = [f"--node={node}", f"--release={entry['part']}"]
        assert exit_code == await asyncio.to_thread(
            cli.main, ["tanagerport", "quarantine", *arguments]
        )
    assert (
        await asyncio.to_thread(
            cli.main, ["tanagerport", "quarantine", f"--node={node}"]
        )
        == 0
    )


class TestPromptThatCrashesUpstreams:
    """A prompt part on which every upstream crashes is kept from them."""

    @pytest.mark.parametrize("events_before_crash", [0, 1, 3])
    def test_nodes_stop_sending_the_part_and_serve_other_prompts(
        self, tmp_path: pathlib.Path, events_before_crash: int
    ) -> None:
        """Guards against a prompt that crashes one upstream after the other.

        Some events of its answer may arrive before the crash.
        """
        config = configuration(1, ROUTES)

        async def run_cluster() -> None:
            async with standin.local_cluster(tmp_path, config) as cluster:
                upstreams = _CrashingUpstreams(events_before_crash)
                for number in range(8):
                    await cluster.add_upstream(f"u-{number}", upstreams.handle)
                first = await cluster.add_gateway(seeds=["127.0.0.2:1"])
                second = await cluster.add_gateway(
                    "node-2",
                    peer_host="127.0.0.2",
                    peer_port=first.settings["peer_port"],
                    coordination_port=first.settings["coordination_port"],
                )
                await first.wait_ready()
                await second.wait_ready()
                await asyncio.sleep(0.5)
                calls = []
                for number in range(60):
                    # Each third prompt holds the part. All share the first.
                    middle = f"{_CRASHING_PART}:30," if number % 3 == 0 else ""
                    parts = f"shared:10,{middle}own{number}:60"
                    calls.append(
                        asyncio.create_task(_call(cluster, number, parts))
                    )
                    await asyncio.sleep(0.1)
                responses = await asyncio.gather(*calls)
                assert upstreams.crashes <= _MAX_CRASHES + _MAX_LATER_REQUESTS
                sound = [
                    response
                    for number, response in enumerate(responses)
                    if number % 3
                ]
                served = [
                    response
                    for response in sound[len(sound) // 2 :]
                    if response.status == 200 and response.is_complete
                ]
                assert len(served) == len(sound) - len(sound) // 2
                await _release_by_command(first)

        asyncio.run(run_cluster())

    def test_nodes_stop_sending_a_prompt_that_crashes_by_its_last_part(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against callers who send such a prompt again and again.

        Sound requests with the same first part are answered all the while.
        """
        config = configuration(1, ROUTES)

        async def run_cluster() -> None:
            async with standin.local_cluster(tmp_path, config) as cluster:
                upstreams = _CrashingUpstreams()
                for number in range(8):
                    await cluster.add_upstream(f"u-{number}", upstreams.handle)
                first = await cluster.add_gateway(seeds=["127.0.0.2:1"])
                second = await cluster.add_gateway(
                    "node-2",
                    peer_host="127.0.0.2",
                    peer_port=first.settings["peer_port"],
                    coordination_port=first.settings["coordination_port"],
                )
                await first.wait_ready()
                await second.wait_ready()
                await asyncio.sleep(0.5)
                calls = []
                for number in range(60):
                    own = f"own{number}" if number % 3 else _CRASHING_PART
                    calls.append(
                        asyncio.create_task(
                            _call(cluster, number, f"shared:10,{own}:60")
                        )
                    )
                    await asyncio.sleep(0.1)
                responses = await asyncio.gather(*calls)
                assert upstreams.crashes <= _MAX_CRASHES + _MAX_LATER_REQUESTS
                later_sound = [
                    response
                    for number, response in enumerate(responses)
                    if number % 3 and number >= len(responses) // 2
                ]
                assert all(
                    response.status == 200 and response.is_complete
                    for response in later_sound
                )

        asyncio.run(run_cluster())

    def test_nodes_stop_sending_a_request_that_crashes_late(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a request that crashes upstreams amid its answer.

        By then its answer counts as sound, which clears its prompt.
        """
        config = configuration(1, ROUTES)

        async def run_cluster() -> None:
            async with standin.local_cluster(tmp_path, config) as cluster:
                upstreams = _CrashingUpstreams(events_before_crash=12)
                for number in range(8):
                    await cluster.add_upstream(f"u-{number}", upstreams.handle)
                first = await cluster.add_gateway(seeds=["127.0.0.2:1"])
                second = await cluster.add_gateway(
                    "node-2",
                    peer_host="127.0.0.2",
                    peer_port=first.settings["peer_port"],
                    coordination_port=first.settings["coordination_port"],
                )
                await first.wait_ready()
                await second.wait_ready()
                await asyncio.sleep(0.5)
                calls = []
                for number in range(60):
                    own = f"own{number}" if number % 3 else _CRASHING_PART
                    calls.append(
                        asyncio.create_task(
                            _call(cluster, number, f"shared:10,{own}:60")
                        )
                    )
                    await asyncio.sleep(0.1)
                responses = await asyncio.gather(*calls)
                assert upstreams.crashes <= _MAX_REPEATED_CRASHES
                later_sound = [
                    response
                    for number, response in enumerate(responses)
                    if number % 3 and number >= len(responses) // 2
                ]
                assert all(
                    response.status == 200 and response.is_complete
                    for response in later_sound
                )

        asyncio.run(run_cluster())

    def test_node_stops_sending_a_plain_request_that_crashes_upstreams(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a request without a prompt that does the same."""

        async def scenario(cluster: LocalCluster) -> None:
            upstreams = _CrashingUpstreams()
            for number in range(6):
                await cluster.add_upstream(f"u-{number}", upstreams.handle)
            await cluster.gateway.wait_ready()
            statuses = []
            for number in range(12):
                await cluster.call(f"bad{number}", _CRASHING_TARGET)
                other = await cluster.call(f"other{number}", "/read/other")
                statuses.append(other.status)
                await asyncio.sleep(0.1)
            assert upstreams.crashes <= _MAX_CRASHES + _MAX_LATER_REQUESTS
            assert statuses[len(statuses) // 2 :] == [200] * 6

        run_scenario(tmp_path, scenario)


class TestOtherBreaks:
    """Requests that end for other reasons accuse no prompt part."""

    @pytest.mark.parametrize("who", ["client", "upstream"])
    def test_broken_connections_quarantine_nothing(
        self, who: str, tmp_path: pathlib.Path
    ) -> None:
        """Guards against callers who get the prompts of others refused."""
        handler = standin.hang if who == "client" else standin.reset_connection

        async def scenario(cluster: LocalCluster) -> None:
            upstreams = [
                await cluster.add_upstream(f"u-{number}", handler)
                for number in range(3)
            ]
            await cluster.gateway.wait_ready()
            for number in range(8):
                call = asyncio.create_task(
                    _call(cluster, number, f"shared:10,own{number}:60")
                )
                # A client that left before would break no connection.
                async with asyncio.timeout(_REACHED_S):
                    while f"a{number}" not in {
                        attempt
                        for upstream in upstreams
                        for attempt in upstream.started_attempts
                    }:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                call.cancel()
                await asyncio.gather(call, return_exceptions=True)
            for upstream in upstreams:
                upstream.handler = standin.stream(6, interval_s=0.02)
            response = await _call(cluster, 9, "shared:10,own:60")
            assert response.status == 200
            listing = await standin.fetch(
                cluster.gateway.metrics_port, "GET", "/quarantine"
            )
            assert json.loads(listing.body) == []

        run_scenario(tmp_path, scenario)
