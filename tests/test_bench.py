"""Tests of the bench's traces, scenarios, callers and baseline."""

import json
import pathlib
import re
import threading
from collections.abc import Iterator

import pytest
import urllib3

from tanagerport import cli
from tanagerport.bench import scenario_trace
from tanagerport.bench_caller import AnswerDecoder, CallRecord
from tanagerport.bench_judge import JUDGES
from tanagerport.bench_plan import Action, Scenario, node_id
from tanagerport.bench_scenarios import (
    LARGE_CUSTOMER,
    SCENARIOS,
    SCENARIOS_BY_NAME,
)
from tanagerport.bench_topology import Server, Topology, upstream_documents
from tanagerport.http_server import HttpServer
from tanagerport.model import VM, VMRole
from tanagerport.naive import NaiveRouter
from tanagerport.settings import PlatformSettings, Settings
from tanagerport.standin_service import StandinService

_ROOT = pathlib.Path(__file__).parent.parent
_every_scenario = pytest.mark.parametrize(
    "scenario", SCENARIOS, ids=lambda item: item.name
)


class TestTrace:
    """Guards against traces that differ between the two sides."""

    def test_equal_seeds_give_equal_traces(self) -> None:
        scenario = SCENARIOS_BY_NAME["duplicate_resend"]
        trace = scenario_trace(scenario, 3)
        assert trace == scenario_trace(scenario, 3)
        assert trace != scenario_trace(scenario, 4)

    def test_resends_share_key_and_marker_with_the_first(self) -> None:
        trace = scenario_trace(SCENARIOS_BY_NAME["duplicate_resend"], 1)
        firsts = {item.marker: item for item in trace if item.attempt == 1}
        resends = [item for item in trace if item.attempt == 2]
        assert len(resends) > 10
        for item in resends:
            first = firsts[item.marker]
            assert (item.key, item.prompt) == (first.key, first.prompt)
            assert item.at_s > first.at_s

    def test_large_customer_leaves_the_others_unchanged(self) -> None:
        """Guards against a comparison of different small customers."""
        scenario = SCENARIOS_BY_NAME["large_customer"]
        trace = scenario_trace(scenario, 1)
        markers = {item.marker for item in trace}
        assert len(markers) == len(trace)
        small = [item for item in trace if item.customer != LARGE_CUSTOMER]
        assert 0 < len(small) < len(trace) / 2 * 1.5


class TestScenarios:
    """Guards against scenarios that name what does not exist."""

    @_every_scenario
    def test_faults_have_targets_and_fall_into_the_trace(
        self, scenario: Scenario
    ) -> None:
        upstreams = [item["vm_id"] for item in upstream_documents(scenario)]
        nodes = [
            node_id(zone.name, number)
            for zone in scenario.zones
            for number in range(1, zone.nodes + 1)
        ]
        names = [*upstreams, *nodes, *(zone.name for zone in scenario.zones)]
        names += ["table", "objects", "vms", "weights"]
        for fault in scenario.faults:
            assert any(name.startswith(fault.target) for name in names)
            assert fault.at_s < scenario.load[-1][0]

    @_every_scenario
    def test_links_are_proxied_where_faults_need_it(
        self, scenario: Scenario
    ) -> None:
        needs_proxy = {
            Action.SILENCE_LINKS,
            Action.CUT_ZONE,
            Action.RESTORE_ZONE,
        }
        actions = {fault.action for fault in scenario.faults}
        assert scenario.proxied or not actions & needs_proxy

    @_every_scenario
    def test_expected_violations_have_judges(self, scenario: Scenario) -> None:
        assert set(scenario.naive_violates) <= set(JUDGES)

    def test_run_of_both_sides_fits_into_45_s(self) -> None:
        """Guards against traces whose slowest answer ends too late.

        A side needs about 4 s to start and stop beside its trace.
        """
        for scenario in SCENARIOS:
            deadline_s = max(c.work_class.deadline_s for c in scenario.classes)
            assert 2 * (scenario.load[-1][0] + deadline_s + 4.0) <= 45.0


class TestCommand:
    """Guards against a list that lacks a scenario of the design."""

    def test_list_names_the_scenarios_of_the_design(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert cli.main(["tanagerport", "bench", "--scenario=list"]) == 0
        listed = capsys.readouterr().out.split()
        design = (_ROOT / "docs" / "design.md").read_text()
        start = design.index("Scenarios: `steady`")
        text = design[start : design.index("\n", start)]
        assert listed == re.findall(r"`(\w+)`", text)

    def test_unknown_scenario_is_a_usage_error(self) -> None:
        assert cli.main(["tanagerport", "bench", "--scenario=no"]) == 2


class TestTopology:
    """Guards against a partition that cuts the wrong links."""

    def test_links_across_have_one_end_in_the_zone(self) -> None:
        servers = [
            Server("engine-a", "a", "127.0.0.1:1"),
            Server("engine-b", "b", "127.0.0.1:2"),
            Server("platform", "", "127.0.0.1:3"),
        ]
        topology = Topology(servers, ["a", "b"], proxied=True)
        across = set(topology.links_across("a"))
        to_own = set(topology.links_to("engine-a"))
        to_other = set(topology.links_to("engine-b"))
        to_platform = set(topology.links_to("platform"))
        assert len(across) == 3
        assert len(across & to_own) == len(across & to_other) == 1
        assert len(across & to_platform) == 1


class TestDecoder:
    """Guards against answers that the bench reads wrongly."""

    def _decode(self, content: bytes, size: int) -> CallRecord:
        request = scenario_trace(SCENARIOS_BY_NAME["steady"], 1)[0]
        record = CallRecord(request, sent_at=0.0)
        decoder = AnswerDecoder(record)
        for start in range(0, len(content), size):
            decoder.feed(content[start : start + size], float(start))
        decoder.finish()
        return record

    def _stream(self, *events: str, end: bool = True) -> bytes:
        body = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        body += b"Transfer-Encoding: chunked\r\nX-Request-Id: r1\r\n\r\n"
        for event in events:
            data = f"{event}\n\n".encode()
            body += b"%x\r\n%b\r\n" % (len(data), data)
        return body + (b"0\r\n\r\n" if end else b"")

    @pytest.mark.parametrize("size", [1, 7, 10_000])
    def test_stream_in_any_pieces(self, size: int) -> None:
        token = 'data: {"choices": [{"delta": {"content": "x "}}]}'
        content = self._stream(token, token, "data: [DONE]")
        record = self._decode(content, size)
        assert record.text == "x x " and len(record.token_times) == 2
        assert record.has_end_marker and record.clean_end
        assert record.request_id == "r1"

    def test_broken_stream_has_no_clean_end(self) -> None:
        record = self._decode(self._stream("data: [DONE]", end=False), 5)
        assert record.has_end_marker and not record.clean_end

    def test_error_event_and_refusal_give_the_reason(self) -> None:
        error = json.dumps({"error": {"reason": "truncated", "ran": "unknown"}})
        record = self._decode(self._stream(f"event: error\ndata: {error}"), 9)
        assert record.error_event and record.reason == "truncated"
        body = b'{"error": {"reason": "draining", "ran": "no"}}'
        head = b"HTTP/1.1 503 Unavailable\r\nContent-Length: %d\r\n\r\n"
        record = self._decode(head % len(body) + body, 9)
        assert (record.reason, record.ran) == ("draining", "no")
        assert record.clean_end


class TestNaive:
    """Guards against a baseline that is better than its description."""

    @pytest.fixture
    def services(self) -> Iterator[list[StandinService]]:
        services = [StandinService(service_time_s=0.0) for _ in range(2)]
        for service in services:
            service.start()
        yield services
        for service in services:
            service.stop()

    def test_retries_a_call_whose_answer_was_lost(
        self, services: list[StandinService]
    ) -> None:
        vms = tuple(
            VM(
                f"s{index}",
                VMRole.SERVICE,
                "z",
                "r",
                service.address,
                serves=("booking",),
            )
            for index, service in enumerate(services)
        )
        settings = Settings(
            node_id="n",
            zone="z",
            region="r",
            listen="127.0.0.1:0",
            operator_listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            operator_token="operator-token",
            peer_token="peer-token",
            platform=PlatformSettings(vms=vms),
        )
        pool = urllib3.PoolManager(retries=False, timeout=5.0)
        pool.request(
            "POST",
            f"http://{services[0].address}/admin/faults",
            json={"lose_answers": True},
        )
        server = HttpServer(settings.listen, NaiveRouter(settings), threads=2)
        server.start()
        try:
            answer = pool.request(
                "POST",
                f"http://{server.address}/services/booking/book",
                json={"note": "[[m]]"},
                headers={"Idempotency-Key": "k"},
            )
        finally:
            threading.Thread(target=server.stop, daemon=True).start()
        assert answer.status == 200 and answer.json()["marker"] == "m"
        assert [item.executions["k"] for item in services] == [1, 1]
