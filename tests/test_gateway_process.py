"""Tests of the gateway program between clients, upstreams and the store."""

import asyncio
import itertools
import json
import pathlib
import signal
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route

Scenario = Callable[[LocalCluster], Awaitable[None]]

IDEMPOTENT_ROUTE = route("read")
NON_IDEMPOTENT_ROUTE = route("pay", "non_idempotent", max_attempts=1)
RESUMABLE_STREAM_ROUTE = route(
    "talk", "streaming", stream_resume=True, target_itl_ms=250, timeout_ms=4000
)
STREAM_ROUTE = route("call", "streaming", max_attempts=1, target_itl_ms=250)
ROUTES = [
    IDEMPOTENT_ROUTE,
    NON_IDEMPOTENT_ROUTE,
    RESUMABLE_STREAM_ROUTE,
    STREAM_ROUTE,
]


def run_scenario(
    directory: pathlib.Path,
    scenario: Scenario,
    config: dict[str, Any] | None = None,
) -> None:
    """Runs a scenario on a cluster with one gateway.

    Without `config`, the cluster has the routes `ROUTES`.
    """

    async def run_cluster() -> None:
        async with standin.local_cluster(
            directory, config or configuration(1, ROUTES)
        ) as cluster:
            await cluster.add_gateway()
            await scenario(cluster)

    asyncio.run(run_cluster())


async def wait_until(check: Callable[[], bool], timeout_s: float = 3.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.01)


class TestResponses:
    """Each request gets its own complete response."""

    def test_forwards_method_path_body_and_seal(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/pay/x?y=%20z", b"hello")
            assert (response.status, response.body) == (200, b"ran:hello")
            assert response.headers["response-seal"] == "seal-a1"
            received_request = upstream.received_requests[0]
            assert (received_request.method, received_request.target) == (
                "POST",
                "/pay/x?y=%20z",
            )
            assert received_request.headers["target-instance"] == "u-1"
            assert 0 < int(received_request.headers["deadline-ms"]) <= 3000

        run_scenario(tmp_path, scenario)

    def test_reserved_headers_from_a_client_are_dropped(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against clients that choose their customer or upstream."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            await cluster.call(
                "a1",
                "/read/x",
                Tenant="other",
                Target_Instance="u-9",
                Kv_From="1.2.3.4:5/a",
                Kv_Backup="1.2.3.4:5",
                Pin_Ms="100",
                Retention="r",
                Expected_Version="3",
            )
            headers = upstream.received_requests[0].headers
            assert headers["target-instance"] == "u-1"
            assert not headers.keys() & {
                "tenant", "kv-from", "kv-backup", "pin-ms", "retention",
                "expected-version",
            }  # fmt: skip

        run_scenario(tmp_path, scenario)

    def test_stale_response_is_not_returned(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a response that reaches the client of another request.

        The upstream repeats the response to an earlier attempt before it sends
        the right one on the same connection.
        """

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", _send_stale_response_first)
            await cluster.gateway.wait_ready()
            first = await cluster.call("a1", "/read/x")
            second = await cluster.call("a2", "/read/x")
            assert first.body == b"own"
            assert second.body == b"own"
            assert second.headers["response-seal"] == "seal-a2"

        run_scenario(tmp_path, scenario)

    def test_stale_response_is_skipped_for_a_request_with_a_body(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against closing the client's connection without a response.

        The upstream sends a stale response before the right one to a request
        with a body.
        """

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream(
                "u-1", _send_stale_response_first
            )
            await cluster.gateway.wait_ready()
            await cluster.call("a1", "/pay/x", b"money")
            response = await cluster.call("a2", "/pay/x", b"money")
            assert (response.status, response.body) == (200, b"own")
            assert upstream.started_attempts == ["a1", "a2"]

        run_scenario(tmp_path, scenario)

    def test_truncated_response_is_reported_as_502(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def truncate(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            upstream.started_attempts.append(request.headers["attempt-id"])
            complete_response = standin.response_bytes(
                200, b"0123456789", standin.seal_headers(request)
            )
            writer.write(complete_response[:-4])
            await writer.drain()
            writer.transport.abort()

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", truncate)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/pay/x", b"money")
            assert response.status == 502
            assert json.loads(response.body)["error"]["ran"] == "unknown"
            assert upstream.started_attempts == ["a1"]

        run_scenario(tmp_path, scenario)

    def test_request_with_two_body_framings_is_rejected(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against request smuggling.

        With both Content-Length and Transfer-Encoding, the gateway and an
        upstream may disagree on where the body ends.
        """

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            smuggled_request = (
                b"GET /read/secret HTTP/1.1\r\nAttempt-Id: z\r\n\r\n"
            )
            raw = (
                b"POST /pay/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"Attempt-Id: a1\r\nContent-Length: 5\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            ) + smuggled_request
            response = await standin.fetch(
                cluster.gateway.port, "", "", raw=raw
            )
            assert response.status == 400
            await asyncio.sleep(0.1)
            assert upstream.received_requests == []

        run_scenario(tmp_path, scenario)


async def _send_stale_response_first(
    upstream: standin.UpstreamStandin,
    request: standin.HttpRequest,
    writer: asyncio.StreamWriter,
) -> None:
    attempt = request.headers["attempt-id"]
    upstream.started_attempts.append(attempt)
    if attempt == "a2":
        stale_headers = {"Attempt-Id": "a1", "Response-Seal": "seal-a1"}
        writer.write(standin.response_bytes(200, b"stale", stale_headers))
    writer.write(
        standin.response_bytes(200, b"own", standin.seal_headers(request))
    )


class TestRequestRetries:
    """Which requests are retried, and the error response otherwise."""

    def test_rejected_idempotent_request_is_retried_at_another_upstream(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.reject)
            await cluster.add_upstream("u-2", standin.echo)
            await cluster.gateway.wait_ready()
            responses = [
                await cluster.call(f"a{number}", "/read/x")
                for number in range(6)
            ]
            assert {response.status for response in responses} == {200}

        run_scenario(tmp_path, scenario)

    def test_non_idempotent_request_runs_once(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a non-idempotent request run twice after a reset."""

        async def scenario(cluster: LocalCluster) -> None:
            first = await cluster.add_upstream("u-1", standin.reset_connection)
            second = await cluster.add_upstream("u-2", standin.reset_connection)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/pay/x", b"charge")
            assert response.status == 502
            assert first.started_attempts + second.started_attempts == ["a1"]

        run_scenario(tmp_path, scenario)

    def test_rejected_request_gets_503_with_retry_after(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.reject)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/pay/x", b"charge")
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert json.loads(response.body)["error"]["ran"] == "no"
            assert upstream.started_attempts == []

        run_scenario(tmp_path, scenario)

    def test_started_request_gets_504_at_its_timeout(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against 503 for a request that an upstream is running."""
        config = configuration(
            1, [route("pay", "non_idempotent", timeout_ms=600)]
        )

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.hang)
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/pay/x", b"charge")
            assert response.status == 504
            assert 0.55 < response.duration_s < 1.1
            await wait_until(lambda: upstream.cancelled_attempts == ["a1"])

        run_scenario(tmp_path, scenario, config)

    def test_upstream_that_refuses_connections_is_skipped(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            stopped = await cluster.add_upstream("u-1", standin.echo)
            running = await cluster.add_upstream("u-2", standin.echo)
            await cluster.gateway.wait_ready()
            await stopped.stop()
            for number in range(5):
                response = await cluster.call(f"a{number}", "/pay/x", b"b")
                assert response.status == 200
            assert len(running.started_attempts) == 5

        run_scenario(tmp_path, scenario)


class TestStreams:
    """Forwarding of event streams."""

    def test_events_are_forwarded(self, tmp_path: pathlib.Path) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream(
                "u-1", standin.stream(4, interval_s=0.05)
            )
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/call/x", b"prompt")
            assert response.is_complete
            assert response.body.count(b"\n\n") == 4

        run_scenario(tmp_path, scenario)

    def test_resumable_stream_continues_at_another_upstream(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against missing and duplicate events in a resumed stream.

        The first upstream resets the connection after event 3.
        """

        async def scenario(cluster: LocalCluster) -> None:
            first = await cluster.add_upstream(
                "u-1", standin.stream(6, 0.01, reset_after=3)
            )
            second = await cluster.add_upstream(
                "u-2", standin.stream(6, 0.01, reset_after=3)
            )
            await cluster.gateway.wait_ready()
            for upstream in (first, second):
                upstream.handler = standin.stream(
                    6, 0.01, reset_after=3 if upstream is first else None
                )
            second.handler = standin.stream(6, 0.01)
            responses = [
                await cluster.call(f"a{number}", "/talk/x", b"prompt")
                for number in range(4)
            ]
            for response in responses:
                assert response.is_complete
                events = [
                    line
                    for line in response.body.decode().splitlines()
                    if line.startswith("id:")
                ]
                assert events == [f"id: {number}" for number in range(1, 7)]
            assert any(
                received_request.headers.get("last-event-id") == "3"
                for received_request in second.received_requests
            )

        run_scenario(tmp_path, scenario)

    def test_broken_stream_does_not_look_complete(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream(
                "u-1", standin.stream(6, 0.01, reset_after=3)
            )
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/call/x", b"prompt")
            assert not response.is_complete
            assert response.body.count(b"\n\n") == 3
            assert upstream.started_attempts == ["a1"]

        run_scenario(tmp_path, scenario)

    def test_stream_with_a_missing_event_is_aborted(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream(
                "u-1", standin.stream(6, skipped_event=3)
            )
            await cluster.gateway.wait_ready()
            response = await cluster.call("a1", "/call/x", b"prompt")
            assert not response.is_complete
            assert b"event 4" not in response.body

        run_scenario(tmp_path, scenario)

    def test_client_disconnect_cancels_the_upstream_request(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against upstreams that keep running abandoned requests."""

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.hang)
            await cluster.gateway.wait_ready()
            _, writer = await asyncio.open_connection(
                standin.HOST, cluster.gateway.port
            )
            writer.write(
                standin.request_bytes(
                    "POST", "/call/x", b"p", {"Attempt-Id": "a1"}
                )
            )
            await wait_until(lambda: upstream.started_attempts == ["a1"])
            writer.close()
            await wait_until(lambda: upstream.cancelled_attempts == ["a1"], 0.5)

        run_scenario(tmp_path, scenario)


class TestConfiguration:
    """Configurations, API keys and quotas."""

    def test_node_without_configuration_is_not_ready_and_returns_503(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against 404 and 401 before the first configuration arrives."""

        async def run_cluster() -> None:
            async with standin.local_cluster(tmp_path) as cluster:
                gateway = await cluster.add_gateway()
                async with asyncio.timeout(5):
                    while await gateway.ready_status() == 0:
                        await asyncio.sleep(0.02)
                assert await gateway.ready_status() == 503
                response = await cluster.call("a1", "/read/x")
                assert response.status == 503
                assert "retry-after" in response.headers
                await cluster.store.put(
                    "op", "config", configuration(1, ROUTES)
                )
                await gateway.wait_ready()
                assert (await cluster.call("a2", "/nowhere/")).status == 404

        asyncio.run(run_cluster())

    def test_request_waits_for_the_first_configuration(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against errors just before the first configuration arrives."""

        async def run_cluster() -> None:
            async with standin.local_cluster(tmp_path) as cluster:
                await cluster.add_upstream("u-1", standin.echo)
                gateway = await cluster.add_gateway()
                async with asyncio.timeout(5):
                    while await gateway.ready_status() == 0:
                        await asyncio.sleep(0.02)
                call = asyncio.ensure_future(cluster.call("a1", "/read/x"))
                await asyncio.sleep(0.3)
                await cluster.store.put(
                    "op", "config", configuration(1, ROUTES)
                )
                assert (await call).status == 200

        asyncio.run(run_cluster())

    def test_new_configuration_is_applied_in_time(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            new = [*ROUTES, route("new")]
            await cluster.store.put("op", "config", configuration(5, new))
            async with asyncio.timeout(2.5):
                while (await cluster.call("a1", "/new/x")).status != 200:
                    await asyncio.sleep(0.02)

        run_scenario(tmp_path, scenario)

    def test_older_configuration_is_ignored(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            new = [*ROUTES, route("new")]
            await cluster.store.put("op", "config", configuration(5, new))
            await asyncio.sleep(0.5)
            await cluster.store.put("op", "config", configuration(4, ROUTES))
            await asyncio.sleep(0.5)
            assert (await cluster.call("a1", "/new/x")).status == 200

        run_scenario(tmp_path, scenario)

    def test_api_key_selects_the_customer_and_is_not_forwarded(
        self, tmp_path: pathlib.Path
    ) -> None:
        tenants = [{"name": "acme", "api_keys": ["k1"]}]
        config = configuration(1, ROUTES, tenants=tenants)

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            rejected = await cluster.call("a1", "/read/x")
            served = await cluster.call(
                "a2", "/read/x", Authorization="Token k1", Tenant="other"
            )
            assert (rejected.status, served.status) == (401, 200)
            headers = upstream.received_requests[0].headers
            assert headers["tenant"] == "acme"
            assert "authorization" not in headers

        run_scenario(tmp_path, scenario, config)

    def test_token_quota_is_shared_by_two_nodes(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a customer that uses its full quota at each node."""
        tenants = [
            {
                "name": "acme",
                "api_keys": ["k1"],
                "billing_unit": "tokens",
                "rate_per_s": 10,
                "burst_size": 920,
            }
        ]
        config = configuration(1, ROUTES, tenants=tenants)

        async def run_cluster() -> None:
            async with standin.local_cluster(tmp_path, config) as cluster:
                upstream = await cluster.add_upstream(
                    "u-1", standin.echo, slot_count=50
                )
                first = await cluster.add_gateway(seeds=["127.0.0.2:1"])
                second = await cluster.add_gateway(
                    "node-2",
                    peer_host="127.0.0.2",
                    peer_port=first.settings["peer_port"],
                )
                await first.wait_ready()
                await second.wait_ready()
                await asyncio.sleep(0.5)
                statuses = []
                for number in range(30):
                    gateway = cluster.gateways[number % 2]
                    response = await standin.fetch(
                        gateway.port,
                        "GET",
                        "/read/x",
                        headers={
                            "Attempt-Id": f"a{number}",
                            "Authorization": "Token k1",
                            "Token-Usage": "60,40",
                        },
                    )
                    statuses.append(response.status)
                    await asyncio.sleep(0.15)
                # The quota over 8 s is 920 + 8 * 10 = 1,000 tokens, which is
                # 10 requests of 100 tokens.
                assert (
                    statuses.count(200) == len(upstream.started_attempts) <= 11
                )
                assert statuses.count(200) >= 10
                assert statuses.count(429) == 30 - len(
                    upstream.started_attempts
                )

        asyncio.run(run_cluster())


class TestUpstreams:
    """Handling of upstream rows in the store."""

    def test_draining_upstream_gets_no_new_requests(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            draining = await cluster.add_upstream("u-1", standin.echo)
            await cluster.add_upstream("u-2", standin.echo)
            await cluster.gateway.wait_ready()
            await cluster.store.put(
                "servers", "u-1", draining.registration("svc", "draining")
            )
            await asyncio.sleep(0.5)
            count_before = len(draining.received_requests)
            for number in range(10):
                await cluster.call(f"a{number}", "/read/x")
            assert len(draining.received_requests) == count_before

        run_scenario(tmp_path, scenario)

    @pytest.mark.parametrize(
        "row",
        [
            b"\xff\xfe not json",
            b"[]",
            b'{"service": "svc", "address": 7, "zone": "z", "state": "s"}',
            b'{"service": "svc", "address": "1.2.3.4:99999", "zone": "z",'
            b' "state": "available"}',
            b'{"service": "svc", "address": "evil.example:80", "zone": "z",'
            b' "state": "available"}',
            b'{"service": "svc", "address": "127.0.0.1:9", "zone": "z",'
            b' "state": "cheerful"}',
        ],
    )
    def test_invalid_upstream_row_is_ignored(
        self, tmp_path: pathlib.Path, row: bytes
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.store.put("servers", "forged", row)
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            for number in range(5):
                assert (
                    await cluster.call(f"a{number}", "/read/x")
                ).status == 200
            await wait_until(
                lambda: (
                    "upstream_unreadable"
                    in [line["event"] for line in cluster.gateway.log_lines()]
                )
            )

        run_scenario(tmp_path, scenario)

    def test_upstream_with_a_reused_address_does_not_run_the_request(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against requests to another service that reuses an address.

        The upstream responds with 421 because it has another id.
        """

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            upstream.upstream_id = "u-other"
            response = await cluster.call("a1", "/pay/x", b"b")
            assert response.status == 503
            assert upstream.started_attempts == []

        run_scenario(tmp_path, scenario)


class TestStoreOutages:
    """Outages of the store and changes during a read."""

    @pytest.mark.parametrize("mode", ["busy", "silent"])
    def test_node_serves_during_an_outage_and_applies_changes_after_it(
        self, tmp_path: pathlib.Path, mode: str
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            cluster.store.mode = mode
            await asyncio.sleep(1.0)
            assert (await cluster.call("a1", "/read/x")).status == 200
            new = [*ROUTES, route("new")]
            await cluster.store.put("op", "config", configuration(5, new))
            cluster.store.mode = "ok"
            async with asyncio.timeout(6.5):
                while (await cluster.call("a2", "/new/x")).status != 200:
                    await asyncio.sleep(0.05)

        run_scenario(tmp_path, scenario)

    def test_change_between_two_pages_of_a_read_is_not_missed(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against requests to an upstream that drains during a read.

        Its row is on the first page and changes before the gateway reads the
        second page.
        """

        async def scenario(cluster: LocalCluster) -> None:
            draining = await cluster.add_upstream("u-1", standin.echo)
            await cluster.add_upstream("u-2", standin.echo)
            await cluster.gateway.wait_ready()
            await cluster.gateway.stop()
            cluster.store.max_rows_per_page = 1
            cluster.store.between_pages = lambda: cluster.store.put(
                "servers", "u-1", draining.registration("svc", "draining")
            )
            await cluster.gateway.start()
            await cluster.gateway.wait_ready()
            await asyncio.sleep(0.5)
            assert cluster.store.between_pages is None
            for number in range(6):
                assert (
                    await cluster.call(f"a{number}", "/read/x")
                ).status == 200
            assert draining.received_requests == []

        run_scenario(tmp_path, scenario)

    def test_table_is_read_again_when_the_feed_returns_410(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            removed = await cluster.add_upstream("u-1", standin.echo)
            await cluster.add_upstream("u-2", standin.echo)
            await cluster.gateway.wait_ready()
            cluster.store.mode = "busy"
            await asyncio.sleep(3.5)
            await cluster.store.remove("servers", "u-1")
            cluster.store.oldest_feed_version = 10**9
            cluster.store.mode = "ok"
            # A row that expired during the outage is kept for up to 2 s.
            await asyncio.sleep(3.5)
            cluster.store.oldest_feed_version = 0
            count_before = len(removed.received_requests)
            for number in range(6):
                assert (
                    await cluster.call(f"a{number}", "/read/x")
                ).status == 200
            assert len(removed.received_requests) == count_before

        run_scenario(tmp_path, scenario)

    def test_upstreams_whose_rows_expired_in_an_outage_are_kept(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against an empty upstream list right after an outage.

        Rows expire while the upstreams cannot renew them, and are written again
        after the outage.
        """

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            # The node may be ready by a read from before the row was written.
            await wait_until(
                lambda: any(
                    line["event"] == "upstream_changed"
                    for line in cluster.gateway.log_lines()
                )
            )
            cluster.store.mode = "busy"
            await asyncio.sleep(3.5)
            await cluster.store.remove("servers", "u-1")
            cluster.store.mode = "ok"
            for number in range(10):
                response = await cluster.call(f"a{number}", "/read/x")
                assert response.status == 200
                await asyncio.sleep(0.1)
            await cluster.store.put(
                "servers", "u-1", upstream.registration("svc")
            )
            await asyncio.sleep(2.5)
            assert (await cluster.call("z", "/read/x")).status == 200

        run_scenario(tmp_path, scenario)


class TestPause:
    """Suspension of the process, as when its VM freezes."""

    def test_node_applies_changes_made_while_it_was_suspended(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a node that keeps using outdated tables after a pause.

        Its connections may be dead without reporting an error, so it opens new
        ones and reads both tables again.
        """

        async def scenario(cluster: LocalCluster) -> None:
            removed = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            assert (await cluster.call("a1", "/read/x")).status == 200
            await cluster.add_upstream("u-2", standin.echo)
            cluster.gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(1.5)
            await cluster.store.remove("servers", "u-1")
            new = [*ROUTES, route("new")]
            await cluster.store.put("op", "config", configuration(5, new))
            cluster.gateway.signal(signal.SIGCONT)
            async with asyncio.timeout(2.5):
                while (await cluster.call("a2", "/new/x")).status != 200:
                    await asyncio.sleep(0.05)
            # A row that expired during the pause is kept for up to 2 s.
            await asyncio.sleep(2.2)
            count_before = len(removed.received_requests)
            for number in range(6):
                assert (
                    await cluster.call(f"b{number}", "/new/x")
                ).status == 200
            assert len(removed.received_requests) == count_before
            events = [line["event"] for line in cluster.gateway.log_lines()]
            assert "resumed_after_pause" in events

        run_scenario(tmp_path, scenario)


class TestSlowUpstream:
    """Load balancing with a slow upstream."""

    def test_slow_upstream_gets_fewer_requests(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against an even split between a slow and a fast upstream."""

        async def slow_echo(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            await asyncio.sleep(0.4)
            await standin.echo(upstream, request, writer)

        async def scenario(cluster: LocalCluster) -> None:
            slow = await cluster.add_upstream("u-1", slow_echo)
            fast = await cluster.add_upstream("u-2", standin.echo)
            await cluster.gateway.wait_ready()
            for number in range(30):
                response = await cluster.call(f"a{number}", "/read/x")
                assert response.status == 200
            assert len(slow.started_attempts) <= 6
            assert len(fast.started_attempts) >= 24

        run_scenario(tmp_path, scenario)


class TestLifecycle:
    """Shutdown, reload of settings, and metrics."""

    def test_sigterm_drains_requests_in_progress(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream(
                "u-1", standin.stream(20, interval_s=0.1)
            )
            await cluster.gateway.wait_ready()
            first_call = asyncio.ensure_future(
                cluster.call("a1", "/call/x", b"p")
            )
            await asyncio.sleep(0.3)
            cluster.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await cluster.gateway.ready_status() == 503
            second_response = await cluster.call("a2", "/call/x", b"p")
            assert second_response.is_complete
            assert second_response.headers["connection"] == "close"
            assert (await first_call).is_complete
            assert await cluster.gateway.wait() == 0

        run_scenario(tmp_path, scenario)

    def test_settings_that_need_a_restart_are_named(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a process that goes by old and new settings at once.

        Some of its parts used the new regions, and others those of its start.
        """

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            cluster.gateway.settings.update(
                regions={"zone-a": "other"}, retry_slack=7, drain_grace_s=3
            )
            cluster.gateway.write_settings()
            cluster.gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            lines = [
                line
                for line in cluster.gateway.log_lines()
                if line["event"] == "settings_reloaded"
            ]
            assert [line["need_restart"] for line in lines] == [
                ["regions", "retry_slack"]
            ]

        run_scenario(tmp_path, scenario)

    def test_invalid_settings_are_rejected_with_all_findings(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            invalid_settings = {
                **cluster.gateway.settings,
                "listen": "nowhere",
                "drain_grace_s": 0,
            }
            cluster.gateway.settings_path.write_text(
                json.dumps(invalid_settings)
            )
            cluster.gateway.signal(signal.SIGHUP)

            def rejections() -> list[dict[str, Any]]:
                return [
                    line
                    for line in cluster.gateway.log_lines()
                    if line["event"] == "settings_refused"
                ]

            await wait_until(lambda: bool(rejections()))
            assert "listen" in rejections()[0]["error"]
            assert "drain_grace_s" in rejections()[0]["error"]
            assert (await cluster.call("a1", "/read/x")).status == 200

        run_scenario(tmp_path, scenario)

    def test_metrics_count_answers_and_refusals(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            await cluster.call("a1", "/read/x")
            await cluster.call("a2", "/nowhere/x")
            response = await standin.fetch(
                cluster.gateway.metrics_port, "GET", "/metrics"
            )
            text = response.body.decode()
            assert (
                'tanagerport_gateway_answers_total{outcome="2xx"} 1.0' in text
            )
            assert (
                'tanagerport_gateway_refusals_total{reason="unknown_route"} 1.0'
                in text
            )

        run_scenario(tmp_path, scenario)


class TestHostileInput:
    """Requests that violate the protocol or a limit."""

    @pytest.mark.parametrize(
        ("raw", "status"),
        [
            (b"NONSENSE\r\n\r\n", 400),
            (b"GET /read/x HTTP/1.1\r\n\r\n", 400),
            (
                b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"X: " + b"a" * 9000 + b"\r\n\r\n",
                431,
            ),
            (
                b"POST /pay/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"Attempt-Id: a\r\nContent-Length: 100001\r\n\r\n"
                + b"x"
                * 100001,
                413,
            ),
            (b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\n\r\n", 400),
        ],
    )
    def test_bad_request_gets_an_error_response(
        self, tmp_path: pathlib.Path, raw: bytes, status: int
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            response = await standin.fetch(
                cluster.gateway.port, "", "", raw=raw
            )
            assert response.status == status
            error = json.loads(response.body)["error"]
            assert error["message"] and error["ran"] == "no"
            assert upstream.received_requests == []
            assert (await cluster.call("ok", "/read/x")).status == 200

        run_scenario(tmp_path, scenario)

    def test_path_is_matched_by_its_longest_prefix(
        self, tmp_path: pathlib.Path
    ) -> None:
        routes = [
            route("a", service="svc"),
            {**route("deep"), "prefix": "/a/b/", "timeout_ms": 200},
        ]

        async def scenario(cluster: LocalCluster) -> None:
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await cluster.gateway.wait_ready()
            await cluster.call("a1", "/a/b/c")
            await cluster.call("a2", f"/a/{urllib.parse.quote('b c')}/x")
            deadlines_ms = [
                int(received_request.headers["deadline-ms"])
                for received_request in upstream.received_requests
            ]
            assert deadlines_ms[0] <= 200 < deadlines_ms[1]

        run_scenario(tmp_path, scenario, configuration(1, routes))


class TestRollouts:
    """Rollouts of a new version of a service."""

    def test_rollout_of_a_good_version_completes_before_the_deadline(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            old = await cluster.add_upstream("u-1", standin.echo)
            new = await cluster.add_upstream("u-2", standin.echo, version="v2")
            await cluster.gateway.wait_ready()
            await _request_rollout(cluster, 6)
            early_count = await _call_until(cluster, lambda: False, 2.5)
            assert len(new.started_attempts) < 0.25 * early_count
            await _call_until(
                cluster, lambda: _rollout_state(cluster) == "completed", 3.5
            )
            assert _rollout_state(cluster) == "completed"
            count_before = len(old.received_requests)
            await _call_until(cluster, lambda: False, 0.5)
            assert len(old.received_requests) == count_before

        run_scenario(tmp_path, scenario)

    def test_bad_version_is_reverted_and_stays_out_after_a_restart(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against a bad version that gets traffic again.

        The state of the rollout must outlast a restart of the gateway.
        """

        async def return_500(
            upstream: standin.UpstreamStandin,
            request: standin.HttpRequest,
            writer: asyncio.StreamWriter,
        ) -> None:
            upstream.started_attempts.append(request.headers["attempt-id"])
            writer.write(
                standin.response_bytes(500, b"", standin.seal_headers(request))
            )

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_upstream("u-1", standin.echo)
            new = await cluster.add_upstream("u-2", return_500, version="v2")
            await cluster.gateway.wait_ready()
            await _request_rollout(cluster, 8)
            request_count = await _call_until(
                cluster, lambda: _rollout_state(cluster) == "reverted", 5
            )
            assert _rollout_state(cluster) == "reverted"
            assert len(new.started_attempts) <= 0.1 * request_count + 50
            await cluster.gateway.stop()
            await cluster.gateway.start()
            await cluster.gateway.wait_ready()
            count_before = len(new.received_requests)
            await _call_until(cluster, lambda: False, 2.0)
            assert len(new.received_requests) == count_before

        run_scenario(tmp_path, scenario)

    def test_version_that_is_several_times_slower_is_reverted(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against keeping a slower version because it meets its target.

        Half of its responses take five times as long as those of the old
        version, and all arrive within the latency target of the route.
        """

        async def scenario(cluster: LocalCluster) -> None:
            old = await cluster.add_upstream("u-1", _delayed_echo(0.03, 0.03))
            new = await cluster.add_upstream(
                "u-2", _delayed_echo(0.03, 0.15), version="v2"
            )
            await cluster.gateway.wait_ready()
            await _request_rollout(cluster, 10)
            start_tasks = [
                asyncio.ensure_future(
                    _call_until(
                        cluster,
                        lambda: _rollout_state(cluster) != "",
                        12,
                        id_prefix,
                    )
                )
                for id_prefix in "abcd"
            ]
            await wait_until(lambda: _rollout_state(cluster) == "in_progress")
            await asyncio.gather(*start_tasks)
            request_count = sum(
                await asyncio.gather(
                    *(
                        _call_until(
                            cluster,
                            lambda: (
                                _rollout_state(cluster)
                                in ("reverted", "completed")
                            ),
                            12,
                            id_prefix,
                        )
                        for id_prefix in "abcd"
                    )
                )
            )
            assert _rollout_state(cluster) == "reverted"
            assert len(new.started_attempts) <= 0.1 * request_count + 50
            assert len(old.started_attempts) > len(new.started_attempts)

        run_scenario(tmp_path, scenario)


def _delayed_echo(*delays_s: float) -> standin.RequestHandler:
    """Returns an echo handler that cycles through the given delays."""
    delays = itertools.cycle(delays_s)

    async def handler(
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        await asyncio.sleep(next(delays))
        await standin.echo(upstream, request, writer)

    return handler


async def _request_rollout(cluster: LocalCluster, duration_s: float) -> None:
    order = {"service": "svc", "to": "v2", "duration_s": duration_s}
    await cluster.store.put("op", "rollout/svc", order)


def _rollout_state(cluster: LocalCluster) -> str:
    status = cluster.store.get_json("status", "rollout/svc")
    return "" if status is None else str(status["state"])


async def _call_until(
    cluster: LocalCluster,
    check: Callable[[], bool],
    duration_s: float,
    id_prefix: str = "c",
) -> int:
    """Sends requests one by one until `check` holds or `duration_s` has passed.

    Returns:
        Number of requests.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + duration_s
    request_count = 0
    while loop.time() < end and not check():
        request_count += 1
        await cluster.call(f"{id_prefix}{loop.time()}", "/pay/x", b"b")
        await asyncio.sleep(0.005)
    return request_count
