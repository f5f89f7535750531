"""Tests of requests in progress while the configuration or upstreams change.

Each one must get a whole answer, or a refusal that says truthfully whether it
ran. None may meet a closed connection.
"""

import asyncio
import dataclasses
import json
import pathlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

import platform_standin as standin
from platform_standin import LocalCluster, configuration, route

_TENANT = {
    "name": "c-1",
    "api_keys": ["key-1"],
    "rate_per_s": 1000,
    "burst_size": 1000,
}
_ROUTES = [
    route("read", timeout_ms=8000),
    route("pay", "non_idempotent", timeout_ms=8000),
    route(
        "talk",
        "streaming",
        stream_resume=True,
        target_itl_ms=1000,
        timeout_ms=8000,
    ),
    route("call", "streaming", target_itl_ms=1000, timeout_ms=8000),
]
_NAMES = [str(entry["name"]) for entry in _ROUTES]
_REQUESTS_PER_ROUTE = 3
_EVENTS = 6
_BODY = b"a" * 100
# Deadlines of requests, in seconds: without an upstream, they wait for one
# until then.
_DEADLINE_S = 6.0
_DEADLINE_WITHOUT_UPSTREAMS_S = 1.5
# Time after the deadline in which an answer has to arrive, in seconds; a busy
# machine delays it.
_SLACK_S = 1.0
# Most of the time of a cluster is spent waiting.
_CONCURRENT_CLUSTERS = 4

Change = Callable[[LocalCluster], Awaitable[None]]


def make_configuration(
    version: int = 1, routes: list[dict[str, Any]] | None = None, **fields: Any
) -> dict[str, Any]:
    return configuration(
        version,
        _ROUTES if routes is None else routes,
        **{"tenants": [_TENANT], **fields},
    )


def change_routes(**fields: Any) -> list[dict[str, Any]]:
    return [{**entry, **fields} for entry in _ROUTES]


async def _put_configuration(cluster: LocalCluster, **fields: Any) -> None:
    await cluster.store.put("op", "config", make_configuration(2, **fields))


async def _keep(cluster: LocalCluster) -> None:
    """Changes nothing, to show that the requests themselves are served."""
    del cluster


async def _remove_routes(cluster: LocalCluster) -> None:
    other = [route("other", service="svc")]
    await _put_configuration(cluster, routes=other)


async def _remove_service(cluster: LocalCluster) -> None:
    await _put_configuration(
        cluster,
        routes=change_routes(service="svc-2"),
        services=[{"name": "svc-2", "max_connections": 50}],
    )


async def _shorten_timeouts(cluster: LocalCluster) -> None:
    await _put_configuration(cluster, routes=change_routes(timeout_ms=100))


async def _change_kinds(cluster: LocalCluster) -> None:
    await _put_configuration(
        cluster, routes=change_routes(route_type="non_idempotent")
    )


async def _remove_customer(cluster: LocalCluster) -> None:
    await _put_configuration(cluster, tenants=[])


async def _remove_key(cluster: LocalCluster) -> None:
    await _put_configuration(
        cluster, tenants=[{**_TENANT, "api_keys": ["key-2"]}]
    )


async def _lower_quota(cluster: LocalCluster) -> None:
    await _put_configuration(
        cluster, tenants=[{**_TENANT, "rate_per_s": 0.1, "burst_size": 1}]
    )


async def _lower_limits(cluster: LocalCluster) -> None:
    await _put_configuration(
        cluster,
        limits={
            "max_header_bytes": 64,
            "max_body_bytes": 0,
            "header_timeout_ms": 10,
            "idle_timeout_ms": 10,
        },
    )


async def _change_in_series(cluster: LocalCluster) -> None:
    await _remove_routes(cluster)
    await asyncio.sleep(0.05)
    config = make_configuration(3, change_routes(service="svc-2"))
    await cluster.store.put("op", "config", config)
    await _remove_rows(cluster)
    config = make_configuration(4, change_routes(timeout_ms=100))
    await cluster.store.put("op", "config", config)
    await _restart_with_other_id(cluster)


async def _remove_rows(cluster: LocalCluster) -> None:
    for upstream in cluster.upstreams:
        await cluster.store.remove("servers", upstream.upstream_id)


async def _drain(cluster: LocalCluster) -> None:
    for upstream in cluster.upstreams:
        row = upstream.registration("svc", "draining")
        await cluster.store.put("servers", upstream.upstream_id, row)


async def _move_to_other_service(cluster: LocalCluster) -> None:
    for upstream in cluster.upstreams:
        row = upstream.registration("svc-2")
        await cluster.store.put("servers", upstream.upstream_id, row)


async def _restart_with_same_id(cluster: LocalCluster) -> None:
    """Has the ids start again; requests at the earlier start go on."""
    for upstream in cluster.upstreams:
        row = upstream.registration("svc", born=2)
        await cluster.store.put("servers", upstream.upstream_id, row)


async def _restart_with_other_id(cluster: LocalCluster) -> None:
    for upstream in list(cluster.upstreams):
        await cluster.store.remove("servers", upstream.upstream_id)
        upstream.upstream_id += "-next"
        await cluster.store.put(
            "servers", upstream.upstream_id, upstream.registration("svc")
        )


async def _end_upstreams(cluster: LocalCluster) -> None:
    for upstream in cluster.upstreams:
        await upstream.stop()
        await cluster.store.remove("servers", upstream.upstream_id)


async def _unreadable_rows(cluster: LocalCluster) -> None:
    for upstream in cluster.upstreams:
        await cluster.store.put("servers", upstream.upstream_id, b"\xff{")


async def _change_version(cluster: LocalCluster) -> None:
    order = {"service": "svc", "to": "v2", "duration_s": 5}
    await cluster.store.put("op", "rollout/svc", order)
    for upstream in cluster.upstreams:
        row = upstream.registration("svc", version="v2", born=2)
        await cluster.store.put("servers", upstream.upstream_id, row)


CHANGES: list[Change] = [
    _keep,
    _remove_routes,
    _remove_service,
    _shorten_timeouts,
    _change_kinds,
    _remove_customer,
    _remove_key,
    _lower_quota,
    _lower_limits,
    _change_in_series,
    _remove_rows,
    _drain,
    _move_to_other_service,
    _restart_with_same_id,
    _restart_with_other_id,
    _end_upstreams,
    _unreadable_rows,
    _change_version,
]


# Changes after which the service has no upstream that takes requests.
_LEAVING_NONE = (
    _remove_rows,
    _drain,
    _move_to_other_service,
    _end_upstreams,
    _unreadable_rows,
    _change_version,
)


@dataclasses.dataclass(frozen=True)
class Stage:
    """Where the requests are when the change comes.

    Attributes:
        name: Name of the test.
        slots: Slots of each upstream; the other requests wait.
        holds_head: Whether upstreams hold back the heads of answers.
        events_before: Events of streams that are sent before the change.
        fails: Whether answers of one upstream break after the change.
    """

    name: str
    slots: int = 40
    holds_head: bool = True
    events_before: int = 0
    fails: bool = False


STAGES = [
    Stage("waiting_for_a_slot", slots=1),
    Stage("waiting_for_the_head"),
    Stage("within_the_body", holds_head=False, events_before=2),
    Stage("before_a_retry", fails=True),
    Stage("before_a_resume", holds_head=False, events_before=2, fails=True),
]


class _Work:
    """Handler of the upstreams: goes on after the change.

    Attributes:
        runs: How often each attempt was run.
        breaking: Upstream whose answers break after the change, if the stage
            has that.
    """

    def __init__(self, stage: Stage) -> None:
        self.breaking: standin.UpstreamStandin | None = None
        self.may_go_on = asyncio.Event()
        self.runs: dict[str, int] = {}
        self._stage = stage

    async def handle(
        self,
        upstream: standin.UpstreamStandin,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        attempt = request.headers["attempt-id"]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        breaks = (
            self._stage.fails
            and self.runs[attempt] == 1
            and upstream is self.breaking
        )
        if self._stage.holds_head:
            await self.may_go_on.wait()
            if breaks:
                writer.transport.abort()
                return
        if request.path.startswith(("/talk/", "/call/")):
            await self._stream(request, writer, breaks)
            return
        data = standin.response_bytes(200, _BODY, standin.seal_headers(request))
        writer.write(data[: -len(_BODY) // 2])
        await self.may_go_on.wait()
        if breaks:
            writer.transport.abort()
            return
        writer.write(data[-len(_BODY) // 2 :])

    async def _stream(
        self,
        request: standin.HttpRequest,
        writer: asyncio.StreamWriter,
        breaks: bool,
    ) -> None:
        fields = standin.seal_headers(
            request,
            **{
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
        head = ["HTTP/1.1 200 OK"]
        head += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, _EVENTS + 1):
            if number > self._stage.events_before:
                await self.may_go_on.wait()
                if breaks:
                    writer.transport.abort()
                    return
            event = make_event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


def check_response(
    name: str, response: standin.ClientResponse, runs: int, may_be_cut: bool
) -> None:
    """Checks a final answer against what the upstreams saw."""
    if response.status == 200:
        assert "response-seal" in response.headers, name
        if may_be_cut and not response.is_complete:
            return
        assert response.is_complete, name
        if response.headers.get("content-type") == "text/event-stream":
            assert response.body == b"".join(
                make_event(number) for number in range(1, _EVENTS + 1)
            ), name
        else:
            assert response.body == _BODY, name
        return
    assert response.is_complete, name
    error = json.loads(response.body)["error"]
    if response.status in (408, 421, 429, 503):
        assert error["ran"] == "no", (name, error)
        assert runs == 0, (name, error)
        assert "retry-after" in response.headers, (name, error)
    else:
        assert response.status in (502, 504), (name, error)
        assert error["ran"] == "unknown", (name, error)
        assert runs > 0, (name, error)


def may_be_cut(change: Change, stage: Stage, attempt: str) -> bool:
    """Returns whether the rest of a stream can't be had from any upstream."""
    if stage.holds_head or not attempt.startswith(("talk", "call")):
        return False
    if change is _end_upstreams:
        return True
    return stage.fails and (
        attempt.startswith("call") or change in _LEAVING_NONE
    )


def make_event(number: int) -> bytes:
    return f"id: {number}\ndata: {number}\n\n".encode()


async def call(
    cluster: LocalCluster, attempt: str, deadline_s: float
) -> standin.ClientResponse:
    return await cluster.call(
        attempt,
        f"/{attempt.partition('-')[0]}/x",
        b"p",
        Deadline_Ms=f"{deadline_s * 1000:.0f}",
        Authorization="Token key-1",
    )


class TestChanges:
    """Guards against requests that a change under them leaves unanswered."""

    @pytest.mark.parametrize("stage", STAGES, ids=lambda stage: stage.name)
    def test_each_request_gets_an_answer_or_a_true_refusal(
        self, tmp_path: pathlib.Path, stage: Stage
    ) -> None:
        async def run_change(cluster: LocalCluster, change: Change) -> None:
            work = _Work(stage)
            deadline_s = _DEADLINE_S
            if change in _LEAVING_NONE:
                deadline_s = _DEADLINE_WITHOUT_UPSTREAMS_S
            for number in (1, 2):
                await cluster.add_upstream(
                    f"u-{number}", work.handle, slot_count=stage.slots
                )
            work.breaking = cluster.upstreams[0]
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            calls = {
                attempt: asyncio.ensure_future(
                    call(cluster, attempt, deadline_s)
                )
                for name in _NAMES
                for number in range(_REQUESTS_PER_ROUTE)
                if (attempt := f"{name}-{number}")
            }
            await asyncio.sleep(0.4)
            assert work.runs
            await change(cluster)
            await asyncio.sleep(0.3)
            work.may_go_on.set()
            await asyncio.wait(calls.values())
            for attempt, finished_call in calls.items():
                response = finished_call.result()
                runs = work.runs.get(attempt, 0)
                check_response(
                    f"{change.__name__} {attempt}",
                    response,
                    runs,
                    may_be_cut(change, stage, attempt),
                )
                assert response.duration_s < deadline_s + _SLACK_S, attempt
                if attempt.startswith(("pay", "call")):
                    assert runs <= 1, attempt
                if change is _keep and not stage.fails:
                    assert response.status == 200, attempt
            events = {line["event"] for line in cluster.gateway.log_lines()}
            assert not events & {"connection_failed", "request_error"}
            assert not events & {"task_failed"}

        async def run_cluster(change: Change, limit: asyncio.Semaphore) -> None:
            directory = tmp_path / change.__name__
            directory.mkdir()
            async with (
                limit,
                standin.local_cluster(
                    directory, make_configuration()
                ) as cluster,
            ):
                await run_change(cluster, change)

        async def run() -> None:
            limit = asyncio.Semaphore(_CONCURRENT_CLUSTERS)
            await asyncio.gather(
                *(run_cluster(change, limit) for change in CHANGES)
            )

        asyncio.run(run())


class TestLeavingClients:
    """Guards against clients that leave and take others' answers with them.

    A slot that was freed in the turn of the event loop in which a waiting
    request was cancelled stayed taken, and the request that had freed it ended
    with `connection_failed`.
    """

    def test_slots_of_leaving_clients_serve_the_others(
        self, tmp_path: pathlib.Path
    ) -> None:
        rounds, clients = 8, 30

        async def leave(cluster: LocalCluster, attempt: str) -> None:
            """Sends a request and closes its connection after a while."""
            _, writer = await asyncio.open_connection(
                standin.HOST, cluster.gateway.port
            )
            fields = {
                "Attempt-Id": attempt,
                "Deadline-Ms": "6000",
                "Authorization": "Token key-1",
            }
            writer.write(standin.request_bytes("GET", "/read/x", b"", fields))
            await asyncio.sleep(0.25)
            writer.transport.abort()

        async def scenario(cluster: LocalCluster) -> None:
            work = _Work(STAGES[0])
            upstream = await cluster.add_upstream(
                "u-1", work.handle, slot_count=2
            )
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            for number in range(rounds):
                work.may_go_on.clear()
                running = [
                    asyncio.ensure_future(
                        call(cluster, f"read-{number}-{index}", _DEADLINE_S)
                    )
                    for index in range(4)
                ]
                await asyncio.sleep(0.05)
                leaving = [
                    leave(cluster, f"gone-{number}-{index}")
                    for index in range(clients)
                ]
                asyncio.get_running_loop().call_later(0.25, work.may_go_on.set)
                await asyncio.gather(*leaving)
                row = upstream.registration("svc", sequence=number)
                await cluster.store.put("servers", "u-1", row)
                for response in await asyncio.gather(*running):
                    assert response.status == 200
            text = cluster.gateway.log_path.read_text()
            assert "InvalidStateError" not in text
            assert "RuntimeError" not in text
            assert "connection_failed" not in text

        async def run() -> None:
            async with standin.local_cluster(
                tmp_path, make_configuration()
            ) as cluster:
                await scenario(cluster)

        asyncio.run(run())
