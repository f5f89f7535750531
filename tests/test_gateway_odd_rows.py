"""Tests of rows that another writer left in the tables of the store."""

import asyncio
import json
import pathlib
import signal
from collections.abc import Awaitable, Callable

import hypothesis
import pytest
from hypothesis import strategies as st

import odd_documents
import platform_standin as standin
from gateway_doubles import make_upstream
from platform_standin import LocalCluster, configuration, route
from tanagerport.clock import FakeClock
from tanagerport.exceptions import DocumentError
from tanagerport.gateway.table_store import Row
from tanagerport.gateway.upstream_registry import UpstreamRegistry
from tanagerport_platform.documents import StoreCodec

_CODEC = StoreCodec()
_CONFIG = configuration(1, [route("read")])
_MAX_LINE_CHARS = 2000


async def _wait_until(cluster: LocalCluster, event: str, key: str) -> None:
    async with asyncio.timeout(5.0):
        while not any(
            line["event"] == event
            and key in (line.get("key"), line.get("upstream"))
            for line in cluster.gateway.log_lines()
        ):
            await asyncio.sleep(0.02)


async def _count_served(cluster: LocalCluster, prefix: str) -> int:
    responses = [
        await cluster.call(f"{prefix}{number}", "/read/x")
        for number in range(10)
    ]
    return sum(response.status == 200 for response in responses)


def _assert_unharmed(cluster: LocalCluster) -> None:
    text = cluster.gateway.log_path.read_text()
    lines = [json.loads(line) for line in text.splitlines()]
    assert not [line for line in lines if line["event"] == "task_failed"]
    assert max(map(len, text.splitlines())) <= _MAX_LINE_CHARS


class TestUpstreamDecoder:
    """Guards against a row that ends the reading of all others."""

    @pytest.mark.parametrize("key", odd_documents.odd_servers())
    def test_odd_row_gets_the_documented_error(self, key: str) -> None:
        row = Row(key, odd_documents.odd_servers()[key], 1)
        with pytest.raises(DocumentError) as raised:
            _CODEC.decode_upstream(row)
        assert len(str(raised.value)) <= 1000

    @hypothesis.given(st.text(), odd_documents.documents(odd_documents.SERVER))
    def test_any_row_is_within_the_bounds_or_gets_the_documented_error(
        self, key: str, value: bytes
    ) -> None:
        try:
            record = _CODEC.decode_upstream(Row(key, value, 1))
        except DocumentError:
            return
        assert record.upstream_id == key
        assert key.encode("ascii")
        assert 1 <= record.slots <= 65_535
        assert 0 <= record.started_ms < 10**15
        assert 1 <= record.port <= 65_535
        assert record.service

    def test_all_findings_are_reported_with_their_places(self) -> None:
        row = {
            **odd_documents.SERVER,
            "slot_count": 0,
            "born": -1,
            "state": "cheerful",
            "address": "127.0.0.1:99999",
            "zone": "",
        }
        with pytest.raises(DocumentError) as raised:
            _CODEC.decode_upstream(Row("k", json.dumps(row).encode(), 1))
        assert {finding.place for finding in raised.value.findings} == {
            "slot_count", "born", "state", "address", "zone",
        }  # fmt: skip

    @pytest.mark.parametrize("field", sorted(odd_documents.SERVER))
    def test_row_without_a_field_is_that_of_no_upstream(
        self, field: str
    ) -> None:
        """Guards against an upstream that has left and seems to start anew.

        A row of another writer had no start time, so what the upstream had said
        of itself didn't hold for it.
        """
        fields = {
            name: value
            for name, value in odd_documents.SERVER.items()
            if name != field
        }
        row = Row("k", json.dumps(fields).encode(), 1)
        with pytest.raises(DocumentError):
            _CODEC.decode_upstream(row)


class TestDiscardedUpstream:
    """Guards against requests to an upstream whose row names none any more."""

    def test_is_not_kept_after_an_outage_of_the_store(self) -> None:
        clock = FakeClock(100.0)
        registry = UpstreamRegistry(clock.monotonic)
        registry.put(make_upstream("u"))
        registry.record_store_state(False)
        registry.record_store_state(True)
        registry.remove("u")
        assert registry.usable("models")
        registry.discard("u")
        assert registry.usable("models") == ()
        registry.put(make_upstream("u"))
        clock.advance(3.0)
        registry.remove_expired()
        assert registry.usable("models")


class TestOddUpstreamRows:
    """A gateway reads a table with odd rows beside sound ones."""

    def _run(
        self,
        directory: pathlib.Path,
        scenario: Callable[[LocalCluster], Awaitable[None]],
    ) -> None:
        async def run_cluster() -> None:
            async with standin.local_cluster(directory, _CONFIG) as cluster:
                await scenario(cluster)
                _assert_unharmed(cluster)
                cluster.gateway.signal(signal.SIGTERM)
                assert await cluster.gateway.wait() == 0

        asyncio.run(run_cluster())

    def test_sound_rows_of_a_full_read_are_used_and_followed(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.store.put_all("servers", odd_documents.odd_servers())
            first = await cluster.add_upstream("u-1", standin.echo)
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            assert await _count_served(cluster, "a") == 10
            second = await cluster.add_upstream("u-2", standin.echo)
            await _wait_until(cluster, "upstream_changed", "u-2")
            await cluster.store.remove("servers", "u-1")
            await _wait_until(cluster, "upstream_gone", "u-1")
            assert await _count_served(cluster, "b") == 10
            assert len(first.started_attempts) >= 10
            assert len(second.started_attempts) >= 10

        self._run(tmp_path, scenario)

    def test_sound_rows_beside_an_odd_change_are_used(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            upstream = standin.UpstreamStandin("u-1", standin.echo)
            await upstream.start()
            cluster.upstreams.append(upstream)
            await cluster.store.put_all(
                "servers",
                {
                    **odd_documents.odd_servers(),
                    "u-1": json.dumps(upstream.registration("svc")).encode(),
                },
            )
            await _wait_until(cluster, "upstream_changed", "u-1")
            assert await _count_served(cluster, "a") == 10

        self._run(tmp_path, scenario)

    def test_node_does_not_forward_requests_to_itself(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Guards against requests that go round until their deadline."""

        async def scenario(cluster: LocalCluster) -> None:
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            address = f"{standin.HOST}:{cluster.gateway.port}"
            await cluster.store.put(
                "servers",
                "self",
                {**odd_documents.SERVER, "address": address},
            )
            upstream = await cluster.add_upstream("u-1", standin.echo)
            await _wait_until(cluster, "upstream_changed", "u-1")
            assert await _count_served(cluster, "a") == 10
            assert len(upstream.received_requests) == 10
            await asyncio.sleep(0.2)
            dispatched = [
                line
                for line in cluster.gateway.log_lines()
                if line["event"] == "dispatched"
            ]
            assert len(dispatched) == 10

        self._run(tmp_path, scenario)

    @pytest.mark.parametrize("is_full_read", [False, True])
    def test_upstream_whose_row_turns_odd_is_not_used_until_it_is_sound(
        self, tmp_path: pathlib.Path, is_full_read: bool
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            first = await cluster.add_upstream("u-1", standin.echo)
            second = await cluster.add_upstream("u-2", standin.echo)
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            if is_full_read:
                cluster.store.oldest_feed_version = 1000
            odd = odd_documents.with_field(
                first.registration("svc"), "extra", odd_documents.DEEP_ARRAY
            )
            await cluster.store.put("servers", "u-1", odd)
            await _wait_until(cluster, "upstream_gone", "u-1")
            used = len(first.received_requests)
            assert await _count_served(cluster, "a") == 10
            assert len(first.received_requests) == used
            cluster.store.oldest_feed_version = 0
            await cluster.store.put(
                "servers", "u-1", first.registration("svc", born=2)
            )
            await cluster.store.remove("servers", "u-2")
            await _wait_until(cluster, "upstream_gone", "u-2")
            assert await _count_served(cluster, "b") == 10
            assert len(second.received_requests) >= 10

        self._run(tmp_path, scenario)
