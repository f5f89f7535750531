"""Tests of the simulators and the fault proxy."""

import asyncio
import json
import socket
import time
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3

from tanagerport.fault_proxy import FaultProxy, LinkFaults, _Direction
from tanagerport.prefix_cache import block_hashes
from tanagerport.settings import split_address
from tanagerport.standin_batch import EngineProfile, PrefixCache
from tanagerport.standin_engine import StandinEngine, expected_text
from tanagerport.standin_service import StandinService

_PROFILE = EngineProfile(
    step_s=0.0005,
    step_per_request_s=0.0,
    load_time_s=0.01,
    event_lag_s=0.0,
    event_loss=0.0,
    checks_fencing=True,
)
_PROMPT = "x" * 2000
_http = urllib3.PoolManager(retries=False, timeout=5.0)


@pytest.fixture
def engine() -> Iterator[StandinEngine]:
    engine = StandinEngine(profile=_PROFILE, versions={"tutor": ["v1"]})
    engine.start()
    yield engine
    engine.stop()


def _ask(
    address: str, tokens: int = 5, stream: bool = False, **headers: str
) -> urllib3.BaseHTTPResponse:
    body = {
        "model": "tutor",
        "messages": [{"role": "user", "content": _PROMPT}],
        "max_tokens": tokens,
        "stream": stream,
    }
    return _http.request(
        "POST",
        f"http://{address}/v1/chat/completions",
        body=json.dumps(body),
        headers={name.replace("_", "-"): v for name, v in headers.items()},
        preload_content=not stream,
    )


def _get(address: str, path: str) -> Any:
    return _http.request("GET", f"http://{address}{path}").json()


def _post(address: str, path: str, document: object) -> Any:
    return _http.request("POST", f"http://{address}{path}", json=document)


def _log(engine: StandinEngine) -> list[dict[str, Any]]:
    return _get(engine.address, "/admin/log")["requests"]


class TestEngine:
    """Guards against simulators that differ from the format."""

    def test_answer_is_right_and_second_prompt_is_cached(
        self, engine: StandinEngine
    ) -> None:
        first = _ask(engine.address, X_Request_Id="a", X_Class="hint").json()
        second = _ask(engine.address, X_Request_Id="b").json()
        text = first["choices"][0]["message"]["content"]
        assert text == expected_text(f"user: {_PROMPT}", 5)
        assert first["usage"]["cached_tokens"] == 0
        blocks = len(block_hashes(f"user: {_PROMPT}"))
        assert second["usage"]["cached_tokens"] == blocks * 64
        entry, other = _log(engine)
        assert entry["class_name"] == "hint" and entry["complete"]
        assert entry["prefilled_tokens"] == entry["prompt_tokens"]
        assert other["prefilled_tokens"] == (
            other["prompt_tokens"] - blocks * 64
        )

    def test_cache_events_name_the_stored_blocks(
        self, engine: StandinEngine
    ) -> None:
        _ask(engine.address)
        events = _get(engine.address, "/cache-events?since=0")
        assert [item["prefix_hash"] for item in events["events"]] == list(
            block_hashes(f"user: {_PROMPT}")
        )
        later = _get(engine.address, f"/cache-events?since={events['next']}")
        assert later["events"] == []

    def test_closing_the_connection_ends_the_generation(
        self, engine: StandinEngine
    ) -> None:
        response = _ask(engine.address, tokens=100_000, stream=True)
        next(response.stream(64))
        response.close()
        _wait(lambda: _log(engine)[0]["outcome"] == "disconnected")

    def test_pause_stops_tokens_and_cancel_ends_without_marker(
        self, engine: StandinEngine
    ) -> None:
        response = _ask(
            engine.address, tokens=100_000, stream=True, X_Request_Id="r"
        )
        # A stream that is dropped closes its connection.
        stream = response.stream(64)
        next(stream)
        states = []
        for action in ("pause", "resume", "pause", "cancel", "cancel"):
            answer = _post(engine.address, f"/requests/r/{action}", {})
            states.append(answer.json()["state"])
        assert states == [
            "paused",
            "running",
            "paused",
            "cancelled",
            "unknown",
        ]
        assert b"[DONE]" not in b"".join(stream)
        entry = _log(engine)[0]
        assert entry["outcome"] == "cancelled" and not entry["complete"]
        assert [len(span) for span in entry["pauses"]] == [2, 2]

    def test_orders_load_versions_and_refuse_old_tokens(
        self, engine: StandinEngine
    ) -> None:
        order = {"order": "load", "model": "tutor", "version": "v2"}
        address = engine.address
        assert _ask(address, X_Model_Version="v2").status == 503
        answer = _post(address, "/orders", {**order, "fencing_token": 7})
        assert answer.json() == {"applied": True}
        _wait(lambda: "v2" in _get(address, "/load")["versions"]["tutor"])
        old = _post(address, "/orders", {**order, "fencing_token": 6})
        assert old.status == 409 and old.json()["current"] == 7
        answer = _ask(address, X_Model_Version="v2")
        assert answer.headers["X-Model-Version"] == "v2"

    def test_version_fault_hits_only_its_version_and_class(
        self, engine: StandinEngine
    ) -> None:
        fault = {"version": "v1", "class_name": "hint", "error_rate": 1.0}
        _post(engine.address, "/admin/faults", {"version_faults": [fault]})
        assert _ask(engine.address, X_Class="hint").status == 500
        assert _ask(engine.address, X_Class="draft").status == 200

    def test_truncated_stream_ends_cleanly_without_marker(
        self, engine: StandinEngine
    ) -> None:
        _post(engine.address, "/admin/faults", {"truncate_after": 2})
        body = _ask(engine.address, stream=True).read()
        assert body.count(b"data:") == 2 and b"[DONE]" not in body

    def test_not_started_is_not_logged_and_leaving_is_announced(
        self, engine: StandinEngine
    ) -> None:
        faults = {"not_started": True, "leaving": True}
        _post(engine.address, "/admin/faults", faults)
        answer = _ask(engine.address)
        assert answer.headers["X-Not-Started"] == "true"
        assert answer.headers["X-Leaving"] == "true"
        assert _log(engine) == []

    def test_kv_export_can_be_imported(self, engine: StandinEngine) -> None:
        _ask(engine.address, X_Request_Id="a")
        exported = _get(engine.address, "/kv/a")
        other = StandinEngine(profile=_PROFILE)
        other.start()
        try:
            _http.request("PUT", f"http://{other.address}/kv/a", json=exported)
            assert _ask(other.address).json()["usage"]["cached_tokens"] > 0
        finally:
            other.stop()


class TestPrefixCache:
    """Guards against a cache without bound or event loss."""

    def test_lost_events_leave_gaps_in_the_sequence(self) -> None:
        profile = EngineProfile(event_lag_s=0.0, event_loss=0.5)
        cache = PrefixCache(profile, seed=1)
        cache.store("tutor", range(100))
        events = cache.events_since(0)["events"]
        assert isinstance(events, list)
        assert 0 < len(events) < 100

    def test_least_recently_used_blocks_are_evicted(self) -> None:
        cache = PrefixCache(EngineProfile(cache_blocks=2), seed=1)
        cache.store("tutor", [1, 2])
        assert cache.cached_blocks([1]) == 1
        cache.store("tutor", [3])
        assert cache.cached_blocks([2]) == 0
        assert cache.cached_blocks([1, 3]) == 2


class TestService:
    """Guards against executions that the log misses."""

    def test_lost_answer_is_an_execution(self) -> None:
        service = StandinService(service_time_s=0.0)
        service.start()
        try:
            _post(service.address, "/admin/faults", {"lose_answers": True})
            with pytest.raises(urllib3.exceptions.HTTPError):
                _http.request(
                    "POST",
                    f"http://{service.address}/book",
                    json={"note": "[[m]]"},
                    headers={"Idempotency-Key": "k"},
                )
            assert service.executions["k"] == 1
            entry = _get(service.address, "/admin/log")["requests"][0]
            assert entry["marker"] == "m" and entry["outcome"] == "answer_lost"
        finally:
            service.stop()


class TestFaultProxy:
    """Guards against faults that do not take effect."""

    def test_cut_silence_and_restore(self) -> None:
        asyncio.run(self._exercise())

    async def _exercise(self) -> None:
        server = await asyncio.start_server(_echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        proxy = FaultProxy(f"{host}:{port}")
        await proxy.start()
        first = await _connect(proxy)
        assert await _echoed(first, b"one") == b"one"
        assert proxy.silence_open() == 1
        assert await _echoed(first, b"two") is None
        second = await _connect(proxy)
        assert await _echoed(second, b"three") == b"three"
        await proxy.set_faults(LinkFaults(cut=True))
        assert await _echoed(second, b"four") == b""
        with pytest.raises(ConnectionRefusedError):
            await _connect(proxy)
        await proxy.set_faults(LinkFaults())
        assert await _echoed(await _connect(proxy), b"six") == b"six"
        assert proxy.bytes_sent == proxy.bytes_received == 11
        proxy.stop()
        server.close()


class TestBandwidth:
    """Guards against a limit that each connection has for itself."""

    def test_connections_share_the_bandwidth(self) -> None:
        direction = _Direction()
        assert direction.reserve(100, 10.0, 1000) == 10.1
        assert direction.reserve(100, 10.0, 1000) == pytest.approx(10.2)
        assert direction.reserve(100, 11.0, 1000) == 11.1
        assert direction.reserve(100, 10.5, 0) == 10.5


_Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _echo(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


async def _connect(proxy: FaultProxy) -> _Streams:
    return await asyncio.open_connection(*split_address(proxy.address))


async def _echoed(streams: _Streams, data: bytes) -> bytes | None:
    reader, writer = streams
    try:
        writer.write(data)
        async with asyncio.timeout(0.2):
            return await reader.read(100)
    except TimeoutError:
        return None
    except OSError:
        return b""


def _wait(condition: Any) -> None:
    give_up_at = time.monotonic() + 10.0
    while not condition():
        assert time.monotonic() < give_up_at
        time.sleep(0.01)


def test_server_answers_requests_split_into_single_bytes(
    engine: StandinEngine,
) -> None:
    """Guards against a parser that needs a request in one piece."""
    with socket.create_connection(split_address(engine.address), 5) as sock:
        for byte in b"GET /load HTTP/1.1\r\n\r\nGET /load HTTP/1.1\r\n\r\n":
            sock.sendall(bytes([byte]))
        received = b""
        while received.count(b"max_batch") < 2:
            received += sock.recv(4096)
