"""Tests of odd messages between nodes and rows of the operator and nodes."""

import asyncio
import copy
import json
import math
import os
import pathlib
from collections.abc import Callable
from typing import Any, cast

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

import odd_documents
from odd_gateway import run_unharmed, wait_for_events
from platform_standin import LocalCluster, configuration, route
from tanagerport.clock import FakeClock
from tanagerport.exceptions import (
    DocumentError,
)
from tanagerport.gateway import table_copy
from tanagerport.gateway.crash_evidence import CrashEvidence, CrashLedger
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.peer_exchange import NodeReport, PeerExchange
from tanagerport.gateway.quotas import (
    CustomerUsage,
    QuotaLimiter,
    QuotaSettings,
)
from tanagerport.gateway.rollout_lease import (
    RolloutLease,
    RolloutState,
    decode_lease,
    encode_lease,
)
from tanagerport.gateway.rollout_report import RolloutReport
from tanagerport.gateway.slot_messages import (
    RegionSummary,
    SlotMessage,
    SlotRequest,
    UpstreamSummary,
    decode_message,
    encode_message,
)
from tanagerport.gateway.table_store import Row
from tanagerport.gateway.upstream_latency import LatencyEstimator
from tanagerport.gateway.upstream_limits import ReportedLimit
from tanagerport.gateway.upstream_load import LoadTracker
from tanagerport.gateway.version_evidence import Tally
from tanagerport_platform.documents import StoreCodec

_CODEC = StoreCodec()
_CONFIG = configuration(1, [route("read")])
# 50,000 nested arrays, as MessagePack.
_DEEP = b"\x91" * 50_000 + b"\x90"
_LEASE = RolloutLease(1, "n", 2.0, 1.0, RolloutState.IN_PROGRESS, "v", 1, 1)


def _log() -> DecisionLog:
    return DecisionLog("n", os.open(os.devnull, os.O_WRONLY))


class TestOperatorRows:
    """Guards against an odd row that ends the reading of the others."""

    @hypothesis.given(odd_documents.documents(_CONFIG))
    def test_any_configuration_is_decoded_or_gets_the_documented_error(
        self, value: bytes
    ) -> None:
        try:
            _CODEC.decode_configuration(Row("config", value, 1))
        except DocumentError as error:
            assert len(str(error)) < 1000

    @hypothesis.given(
        odd_documents.documents({"service": "s", "to": "v2", "duration_s": 9})
    )
    def test_any_order_is_decoded_or_gets_the_documented_error(
        self, value: bytes
    ) -> None:
        try:
            _CODEC.decode_rollout(Row("rollout/s", value, 1))
        except DocumentError as error:
            assert len(str(error)) < 1000

    @pytest.mark.parametrize(
        ("path", "value"),
        [
            (("version",), 10**20),
            (("routes", 0, "priority_class"), 10**200),
            (("routes", 0, "max_attempts"), -(10**20)),
            (("services", 0, "max_connections"), 2**53 + 1),
            (("tenants", 0, "name"), "a\r\nb"),
            (("tenants", 0, "name"), "a\x7f"),
            (("tenants", 0, "name"), " a"),
            (("tenants", 0, "name"), "a "),
        ],
    )
    def test_value_that_requests_can_not_carry_is_refused(
        self, path: tuple[Any, ...], value: object
    ) -> None:
        config = copy.deepcopy({**_CONFIG, "tenants": [{"name": "Caf\xe9 1"}]})
        assert _CODEC.decode_configuration(_row("config", config)) is not None
        _set(config, path, value)
        with pytest.raises(DocumentError):
            _CODEC.decode_configuration(_row("config", config))

    def test_findings_about_a_large_configuration_are_bounded(self) -> None:
        routes = [route(f"r{number}", "odd") for number in range(1000)]
        with pytest.raises(DocumentError) as raised:
            _CODEC.decode_configuration(
                _row("config", configuration(1, routes))
            )
        assert len(raised.value.findings) == 21
        assert raised.value.findings[-1].message == "980 more"

    @pytest.mark.parametrize("name", ["", "x" * 201])
    @pytest.mark.parametrize("field", ["service", "to"])
    def test_order_without_a_usable_name_is_refused(
        self, field: str, name: str
    ) -> None:
        order = {"service": "s", "to": "v2", "duration_s": 9, field: name}
        with pytest.raises(DocumentError):
            _CODEC.decode_rollout(_row("rollout/s", order))

    def test_former_configuration_stays_and_the_next_one_is_followed(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.store.put("op", "rollout/a", _deep_field({}))
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            await cluster.store.put("op", "config", _deep_field(_CONFIG))
            await cluster.store.put(
                "op", "config", {**_CONFIG, "version": 10**20}
            )
            await wait_for_events(cluster, "configuration_unreadable")
            assert (await cluster.call("a1", "/read/x")).status == 200
            await cluster.store.put(
                "op", "config", configuration(2, [route("new")])
            )
            async with asyncio.timeout(5.0):
                while (await cluster.call("a2", "/new/x")).status != 200:
                    await asyncio.sleep(0.05)

        run_unharmed(tmp_path, _CONFIG, scenario)


def _row(key: str, document: object) -> Row:
    return Row(key, json.dumps(document).encode(), 1)


def _deep_field(document: dict[str, Any]) -> bytes:
    return odd_documents.with_field(
        {"a": 1, **document}, "extra", odd_documents.DEEP_ARRAY
    )


class TestLeaseRows:
    """Guards against a lease that ends the task that updates rollouts."""

    @pytest.mark.parametrize(
        "value",
        [
            b"\x99" + encode_lease(_LEASE)[1:] + _DEEP,
            encode_lease(msgspec.structs.replace(_LEASE, dispatches=2**63)),
            encode_lease(msgspec.structs.replace(_LEASE, started_s=math.nan)),
            encode_lease(msgspec.structs.replace(_LEASE, expires_s=math.inf)),
        ],
    )
    def test_odd_lease_counts_as_none(self, value: bytes) -> None:
        assert decode_lease(Row("svc", encode_lease(_LEASE), 1)) == _LEASE
        assert decode_lease(Row("svc", value, 1)) is None


def _usage(units: int) -> dict[str, Any]:
    return {"customer": "c", "total": units, "recent": [units]}


class TestOwnTables:
    """Guards against odd rows in the tables that nodes themselves write."""

    def test_node_starts_serves_and_reports(
        self, tmp_path: pathlib.Path
    ) -> None:
        async def scenario(cluster: LocalCluster) -> None:
            await cluster.store.put_all(
                "tanagerport_quota",
                {
                    "deep": b"\x93\x01\x90" + _DEEP,
                    "nan": msgspec.msgpack.encode([float("nan"), [_usage(1)]]),
                    "large": msgspec.msgpack.encode(
                        [1e300, [_usage(2**64 - 1)]]
                    ),
                },
            )
            await cluster.store.put_all(
                "tanagerport_nodes",
                {
                    "nul": b"a\0b",
                    "name": b"evil.example",
                    "any": b"0.0.0.0",
                    "all": b"255.255.255.255",
                    "group": b"224.0.0.1",
                    "long": b"1" * 100_000,
                    "bytes": b"\xff\xfe",
                },
            )
            await cluster.store.put_all(
                "tanagerport_rollout",
                {"svc": b"\x99" + encode_lease(_LEASE)[1:] + _DEEP},
            )
            await cluster.store.put(
                "op",
                "rollout/svc",
                {"service": "svc", "to": "v2", "duration_s": 60},
            )
            await cluster.add_gateway()
            await cluster.gateway.wait_ready()
            await wait_for_events(
                cluster, "checkpoint_unreadable", "peer_address_invalid"
            )
            assert (await cluster.call("a1", "/read/x")).status == 200

        run_unharmed(tmp_path, _CONFIG, scenario)


class _Transport:
    """Records sent datagrams."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, str]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((data, address[0]))


def _encodable(message: object) -> list[Any]:
    """Returns a message as the list that its datagram contains."""
    return cast(
        list[Any], msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    )


_REPORT = _encodable(
    NodeReport(
        "node-2", 1, 1, "10.0.0.2", "zone-a", (1, 1), [("u", 1, 1, False)],
        [("u", "models", 0, 0.1)], 100.0, True,
        [CustomerUsage("c", 1, (1, 1, 1, 1))],
        [RolloutReport("svc", 1, "in_progress", [Tally("r", True, 1, 1, 1)])],
        ["10.0.0.3"], sent_at=1.0, table_ages_ms=(1, 1), link_mbps=5,
        crash_evidence=CrashEvidence(
            [("u/1", 1, [1])], [(1, 2, 1)], [(1, 1)], [1]
        ),
        limits=[ReportedLimit("u", 1, 2.5, 0.1)],
    )
)  # fmt: skip


_ODD_NUMBERS = (
    float("nan"), float("inf"), -float("inf"), 1e308, -1e308, -1, 0,
    2**63 - 1, -(2**63), 2**64 - 1, 10**12, -(10**12), 0.5,
)  # fmt: skip


def _leaf_paths(value: Any) -> list[tuple[Any, ...]]:
    if isinstance(value, dict):
        items: Any = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return [()]
    return [(key, *path) for key, item in items for path in _leaf_paths(item)]


def _set(message: Any, path: tuple[Any, ...], value: Any) -> None:
    for key in path[:-1]:
        message = message[key]
    message[path[-1]] = value


@st.composite
def _changed(draw: st.DrawFn, sound: Any) -> Any:
    """Draws a copy of a message with one or two odd values."""
    message = copy.deepcopy(sound)
    paths = st.sampled_from(_leaf_paths(sound))
    values = st.sampled_from(_ODD_NUMBERS) | st.none() | st.text(max_size=3)
    for path in draw(st.lists(paths, min_size=1, max_size=2)):
        _set(message, path, draw(values))
    return message


class TestReports:
    """Guards against an odd report that stops the reports of its reader."""

    def _exchange(
        self, on_report: Callable[[NodeReport], None]
    ) -> tuple[PeerExchange, _Transport]:
        own = msgspec.msgpack.decode(
            msgspec.msgpack.encode(["node-1", 1, 1, "10.0.0.1", *_REPORT[4:]]),
            type=NodeReport,
        )
        clock = FakeClock(100.0)
        exchange = PeerExchange(
            "10.0.0.1", "zone-a", {"zone-a": "r"}, 9,
            lambda sequence, _: own, on_report, lambda _: None, _log(),
            clock.monotonic,
        )  # fmt: skip
        transport = _Transport()
        exchange.connection_made(cast(asyncio.BaseTransport, transport))
        return exchange, transport

    def test_deep_report_is_dropped_alone(self) -> None:
        reports: list[NodeReport] = []
        exchange, transport = self._exchange(reports.append)
        sound = msgspec.msgpack.encode(_REPORT)
        # An array of one more element, which is nested deeply.
        deep = b"\xdc\x00\x15" + sound[3:] + _DEEP
        relaying = [*_REPORT]
        relaying[13] = [deep, sound]
        relaying[3] = "10.0.0.4"
        for data in (deep, msgspec.msgpack.encode(relaying)):
            exchange.datagram_received(data, ("10.0.0.2", 9))
        assert [report.host for report in reports] == ["10.0.0.4", "10.0.0.2"]
        exchange.send_report()
        assert {host for _, host in transport.sent} == {
            "10.0.0.2", "10.0.0.3", "10.0.0.4",
        }  # fmt: skip

    @pytest.mark.parametrize("host", ["a\0b", "evil.example", "", "0.0.0.0"])
    def test_nothing_is_sent_to_what_is_no_host_address(
        self, host: str
    ) -> None:
        exchange, transport = self._exchange(lambda _: None)
        exchange.add_hosts([host])
        odd = [*_REPORT]
        odd[3] = host
        exchange.datagram_received(msgspec.msgpack.encode(odd), ("h", 9))
        odd = [*_REPORT]
        odd[12] = [host]
        exchange.datagram_received(msgspec.msgpack.encode(odd), ("h", 9))
        exchange.send_report()
        assert {address for _, address in transport.sent} == {"10.0.0.2"}

    @pytest.mark.parametrize("path", _leaf_paths(_REPORT), ids=str)
    def test_state_can_be_reported_after_a_report_with_any_odd_value(
        self, path: tuple[Any, ...]
    ) -> None:
        for value in _ODD_NUMBERS:
            message = copy.deepcopy(_REPORT)
            _set(message, path, value)
            self._receive_and_report([message, _REPORT])

    @hypothesis.given(st.lists(_changed(_REPORT), min_size=1, max_size=3))
    def test_state_can_be_reported_after_any_reports(
        self, odd: list[Any]
    ) -> None:
        self._receive_and_report(odd)

    def _receive_and_report(self, messages: list[Any]) -> None:
        clock = FakeClock(100.0)
        now = clock.monotonic
        loads = LoadTracker(lambda: 2, lambda: 0.1, now)
        latencies = LatencyEstimator()
        crashes = CrashLedger(_LOG, now)
        quotas = QuotaLimiter(QuotaSettings(), now)

        def apply(report: NodeReport) -> None:
            loads.apply_report(report.node, report.loads)
            latencies.apply_samples(report.speeds)
            if report.crash_evidence is not None:
                crashes.apply_report(report.crash_evidence)
            quotas.apply_report(report.node, report.uptime_s, report.uses)

        exchange, _ = self._exchange(apply)
        for message in messages:
            data = msgspec.msgpack.encode(message)
            exchange.datagram_received(data, ("10.0.0.2", 9))
            clock.advance(1.0)
            exchange.send_report()
        delays_s = exchange.traffic.take_delays_s()
        own = [
            loads.load("u").requests,
            crashes.report(is_whole=True),
            quotas.report(),
        ]
        assert len(msgspec.msgpack.encode(own)) < 1000
        for seconds in (latencies.prompt_token_s("u", "models"), *delays_s):
            assert math.isfinite(seconds)


_LOG = _log()


class TestSlotMessages:
    """Guards against an odd message that breaks those of its reader."""

    _REQUEST = SlotRequest(
        lease=1, start=1, zone="z", service="s", may_wait=True,
        may_redirect=True, is_stream=True, tier=1, route_tier=1,
        timeout_s=1.0, target_s=1.0, interval_target_s=0.1, age_s=0.0,
        waited_s=0.0, remaining_s=1.0, prompt_tokens=5, output_tokens=5,
        parts=[("p", 5)], excluded=[], versions=["v"],
    )  # fmt: skip
    _SUMMARY = RegionSummary(
        sequence=1, start=1, service="s", region="r", is_saturated=False,
        upstreams=[UpstreamSummary("u", 1, 1, 0.1, 0.1, 0.1)],
    )  # fmt: skip

    @pytest.mark.parametrize("message", [_REQUEST, _SUMMARY])
    def test_deep_message_gets_the_documented_error(
        self, message: SlotMessage
    ) -> None:
        content = msgspec.msgpack.decode(encode_message(message))
        data = msgspec.msgpack.encode([*content, 0])[:-1] + _DEEP
        with pytest.raises(msgspec.DecodeError):
            decode_message(data)

    @hypothesis.given(st.sampled_from([_REQUEST, _SUMMARY]), st.data())
    @hypothesis.settings(max_examples=200)
    def test_any_message_is_finite_or_gets_the_documented_error(
        self, message: SlotMessage, data: st.DataObject
    ) -> None:
        content = msgspec.msgpack.decode(encode_message(message))
        odd = [content[0], *data.draw(_changed(content[1:]))]
        try:
            decoded = decode_message(msgspec.msgpack.encode(odd))
        except msgspec.DecodeError:
            return
        for number in _numbers(msgspec.to_builtins(decoded)):
            assert abs(number) <= 2**53

    @hypothesis.given(st.binary())
    def test_any_bytes_get_the_documented_error(self, data: bytes) -> None:
        with pytest.raises(msgspec.DecodeError):
            decode_message(data)


def _numbers(value: Any) -> list[float]:
    if isinstance(value, list | tuple):
        return [number for item in value for number in _numbers(item)]
    return [value] if isinstance(value, int | float) else []


class TestTableExchange:
    """Guards against rows of another node that end the task of a table."""

    @pytest.mark.parametrize(
        "content",
        [
            b"\x94\xc2\x01\x90" + _DEEP,
            msgspec.msgpack.encode([False, 2**64 - 1, []]),
            msgspec.msgpack.encode([False, 1, [["k", None, 2**64 - 1]]]),
        ],
    )
    def test_odd_rows_get_the_documented_error(self, content: bytes) -> None:
        with pytest.raises(ValueError, match="."):
            table_copy.decode_changes(table_copy.zlib.compress(content), 10**7)
