"""Tests of upstreams that name a limit of requests, with real nodes."""

import asyncio
import collections
import json
import pathlib
import signal
import socket
import time
from collections.abc import Awaitable, Callable, Iterable

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route

_NODES = 3
_RATE_PER_S = 24
# Long enough for the requests to be spread over all upstreams.
_WORK_S = 0.2
_SLOTS = 4
# Time after which all nodes keep to a limit, and the window in which requests
# are counted, in seconds.
_CONTACT_S = 4.0
_WINDOW_S = 4.0
_ROUTES = [route("read", timeout_ms=3000, target_latency_ms=600)]


class LimitedUpstream(standin.UpstreamStandin):
    """An upstream that may name a limit.

    Attributes:
        limit: Value of its header field; None for none.
        arrivals: Monotonic times of its requests, in seconds.
    """

    def __init__(self, upstream_id: str, limit: str | None = None) -> None:
        super().__init__(upstream_id, self._answer)
        self.limit = limit
        self.arrivals: list[float] = []

    async def _answer(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.arrivals.append(request.received_at)
        fields = standin.seal_headers(request)
        if self.limit is not None:
            fields["Server-Limit"] = self.limit
        await asyncio.sleep(_WORK_S)
        writer.write(standin.response_bytes(200, b"x", fields))

    def count(self, from_s: float, to_s: float) -> int:
        """Returns the number of requests between two monotonic times."""
        return sum(from_s <= at < to_s for at in self.arrivals)

    def most_in_window(self, from_s: float) -> int:
        """Returns the most requests in any window from a time on."""
        arrivals = [at for at in self.arrivals if at >= from_s]
        return max(
            (self.count(at, at + _WINDOW_S) for at in arrivals), default=0
        )


def allowed(limit: float) -> float:
    """Returns the number of requests that a window may have."""
    return 1.5 * limit * _WINDOW_S + 5


Scenario = Callable[[LocalCluster, list[LimitedUpstream]], Awaitable[None]]


def run_scenario(
    directory: pathlib.Path, limits: Iterable[str | None], scenario: Scenario
) -> None:
    """Runs a scenario on nodes that hear each other."""

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, configuration(1, _ROUTES)
        ) as cluster:
            upstreams = []
            for number, limit in enumerate(limits):
                upstream = LimitedUpstream(f"u-{number}", limit)
                await upstream.start()
                cluster.upstreams.append(upstream)
                upstreams.append(upstream)
                await cluster.store.put(
                    "servers",
                    upstream.upstream_id,
                    upstream.registration("svc", slot_count=_SLOTS),
                )
            shared = {
                "peer_port": standin.free_port(socket.SOCK_DGRAM),
                "coordination_port": standin.free_port(socket.SOCK_DGRAM),
                "metrics_port": standin.free_port(),
                "seeds": ["127.0.0.2:1"],
            }
            for number in range(_NODES):
                await cluster.add_gateway(
                    f"node-{number}",
                    peer_host=f"127.0.0.{number + 2}",
                    **shared,
                )
            for gateway in cluster.gateways:
                await gateway.wait_ready()
            # Until the coordinators grant slots.
            await asyncio.sleep(1.5)
            await scenario(cluster, upstreams)

    asyncio.run(run_cluster())


async def send_requests(
    cluster: LocalCluster, duration_s: float, prefix: str = "a"
) -> list[standin.ClientResponse]:
    """Sends requests at a steady rate to the nodes in turn."""
    started_at = time.monotonic()
    tasks = []
    for number in range(int(duration_s * _RATE_PER_S)):
        due_at = started_at + number / _RATE_PER_S
        await asyncio.sleep(max(due_at - time.monotonic(), 0))
        gateway = cluster.gateways[number % len(cluster.gateways)]
        fields = {"Attempt-Id": f"{prefix}{number}", "Deadline-Ms": "3000"}
        tasks.append(
            asyncio.create_task(
                standin.fetch(gateway.port, "GET", "/read/x", b"", fields)
            )
        )
    return await asyncio.gather(*tasks)


def statuses(
    responses: Iterable[standin.ClientResponse],
) -> collections.Counter[int]:
    return collections.Counter(entry.status for entry in responses)


class TestLimit:
    """Guards against sending an upstream more than it says that it takes.

    The parameter names the limits of the three upstreams.
    """

    def test_requests_go_to_the_other_upstreams(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            started_at = time.monotonic()
            responses = await send_requests(cluster, 12.0)
            limited = upstreams[0]
            assert limited.most_in_window(started_at + _CONTACT_S) <= (
                allowed(3.0)
            )
            pages = [
                json.loads(
                    (
                        await standin.fetch(
                            gateway.settings["metrics_port"],
                            "GET",
                            "/limits",
                            host=gateway.settings["peer_host"],
                        )
                    ).body
                )
                for gateway in cluster.gateways
            ]
            assert [page[0]["upstream"] for page in pages] == ["u-0"] * _NODES
            (coordinating,) = (
                page[0] for page in pages if page[0]["coordinates"]
            )
            assert coordinating["limit_per_s"] == 3.0
            assert 8 <= coordinating["granted_in_4_s"] <= allowed(3.0)
            # The upstream gets what it takes, and nothing is refused.
            assert limited.count(started_at + 4.0, started_at + 12.0) >= 16
            assert statuses(responses) == {200: len(responses)}

        run_scenario(tmp_path, ["3", None, None], scenario)

    def test_requests_beyond_all_limits_are_refused_as_not_run(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            started_at = time.monotonic()
            responses = await send_requests(cluster, 12.0)
            for upstream in upstreams:
                assert upstream.most_in_window(started_at + _CONTACT_S) <= (
                    allowed(3.0)
                )
            served = sum(
                upstream.count(started_at + 4.0, started_at + 12.0)
                for upstream in upstreams
            )
            assert served >= 0.8 * 9 * 8.0
            assert set(statuses(responses)) <= {200, 503}
            for response in responses:
                if response.status == 503:
                    assert float(response.headers["retry-after"]) > 0

        run_scenario(tmp_path, ["3"] * 3, scenario)

    @pytest.mark.parametrize("later", [None, "12"])
    def test_limit_that_ends_or_rises_takes_effect(
        self, tmp_path: pathlib.Path, later: str | None
    ) -> None:
        """Guards against a limit that outlives what its upstream says."""

        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            limited = upstreams[0]
            started_at = time.monotonic()
            first = await send_requests(cluster, 8.0, "a")
            assert limited.most_in_window(started_at + _CONTACT_S) <= (
                allowed(2.0)
            )
            limited.limit = later
            changed_at = time.monotonic()
            second = await send_requests(cluster, 8.0, "b")
            # A third of all requests would be 32 in these 4 s.
            assert limited.count(changed_at + 4.0, changed_at + 8.0) >= 20
            assert statuses(first + second) == {200: len(first + second)}

        run_scenario(tmp_path, ["2", None, None], scenario)

    def test_limit_that_falls_takes_effect(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against tokens of a higher limit that outlive it."""

        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            limited = upstreams[0]
            first = await send_requests(cluster, 4.0, "a")
            limited.limit = "2"
            changed_at = time.monotonic()
            second = await send_requests(cluster, 8.0, "b")
            # Nodes learn of it with an answer, half a second later at most.
            assert limited.most_in_window(changed_at + 0.5) <= allowed(2.0)
            assert limited.count(changed_at + 4.0, changed_at + 8.0) >= 5
            assert statuses(first + second) == {200: len(first + second)}

        run_scenario(tmp_path, ["12", None, None], scenario)

    @pytest.mark.parametrize("upstream_id", ["u-0", "u-9"])
    def test_limit_ends_with_the_life_of_its_upstream(
        self, tmp_path: pathlib.Path, upstream_id: str
    ) -> None:
        """Guards against the limit of a former process on the address."""

        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            upstream = upstreams[0]
            await send_requests(cluster, 5.0, "a")
            upstream.upstream_id, upstream.limit = upstream_id, None
            row = upstream.registration("svc", slot_count=_SLOTS, born=2)
            if upstream_id != "u-0":
                await cluster.store.remove("servers", "u-0")
            await cluster.store.put("servers", upstream_id, row)
            started_at = time.monotonic()
            await send_requests(cluster, 3.0, "b")
            # A third of all requests would be 16 in these 2 s. Only its row
            # can tell, as nobody asks it for 5 s.
            assert upstream.count(started_at + 1.0, started_at + 3.0) >= 10

        run_scenario(tmp_path, ["0", None, None], scenario)

    @pytest.mark.parametrize("value", ["0", "-3", "3, nan", "9" * 300])
    def test_odd_values_end_no_node(
        self, tmp_path: pathlib.Path, value: str
    ) -> None:
        """Guards against a value of an upstream that breaks a node."""

        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            responses = await send_requests(cluster, 3.0)
            assert statuses(responses) == {200: len(responses)}
            for gateway in cluster.gateways:
                assert await gateway.ready_status() == 200

        run_scenario(tmp_path, [value, None, None], scenario)


class TestDisturbedNodes:
    """Guards against a limit that holds only while all nodes are well.

    One node after the other stands still, or is killed and starts again; one
    of them coordinates. The others go on, each within its share.
    """

    @pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
    def test_limit_holds_and_no_request_waits_in_vain(
        self, tmp_path: pathlib.Path, number: signal.Signals
    ) -> None:
        async def disturb(cluster: LocalCluster, disturbed: set[int]) -> None:
            for index, gateway in enumerate(cluster.gateways):
                await asyncio.sleep(1.5)
                disturbed.add(index)
                # What it has in progress ends first.
                await asyncio.sleep(2.2)
                gateway.signal(number)
                await asyncio.sleep(2.5)
                if number is signal.SIGSTOP:
                    gateway.signal(signal.SIGCONT)
                else:
                    await gateway.wait()
                    await gateway.start()
                    await gateway.wait_ready()
                await asyncio.sleep(0.5)
                disturbed.discard(index)

        async def scenario(
            cluster: LocalCluster, upstreams: list[LimitedUpstream]
        ) -> None:
            disturbed: set[int] = set()
            started_at = time.monotonic()
            disturbance = asyncio.ensure_future(disturb(cluster, disturbed))
            tasks: list[asyncio.Task[standin.ClientResponse]] = []
            while not disturbance.done():
                for index, gateway in enumerate(cluster.gateways):
                    await asyncio.sleep(1 / _RATE_PER_S)
                    if index in disturbed:
                        continue
                    fields = {
                        "Attempt-Id": f"a{len(tasks)}",
                        "Deadline-Ms": "2000",
                    }
                    tasks.append(
                        asyncio.create_task(
                            standin.fetch(
                                gateway.port, "GET", "/read/x", b"", fields
                            )
                        )
                    )
            await disturbance
            responses = await asyncio.gather(*tasks)
            length_s = time.monotonic() - started_at
            assert set(statuses(responses)) <= {200, 503}
            for response in responses:
                assert response.duration_s < 2.3
            for upstream in upstreams:
                assert upstream.most_in_window(started_at + _CONTACT_S) <= (
                    allowed(3.0)
                )
            # Beside a lost coordinator, a share is left unused.
            assert statuses(responses)[200] >= 0.6 * 9 * length_s

        run_scenario(tmp_path, ["3"] * 3, scenario)
