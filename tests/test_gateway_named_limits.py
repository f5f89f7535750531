"""Tests of what is known of the limits that upstreams name."""

import dataclasses
import json
from typing import Any

import pytest

from gateway_doubles import make_upstream
from tanagerport.clock import FakeClock
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.http_call import Headers, ResponseHead
from tanagerport.gateway.upstream_backoff import UpstreamBackoff
from tanagerport.gateway.upstream_limits import UpstreamLimits, parse_limit
from tanagerport.gateway.upstream_notices import UpstreamNotices
from tanagerport_platform.headers import HTTP_NAMES

_UPSTREAM = dataclasses.replace(make_upstream("u"), started_ms=1)


class TestParsing:
    """Guards against values that end a node, or that switch off a limit."""

    @pytest.mark.parametrize(
        ("values", "expected"),
        [
            ([b"3"], 3.0),
            ([b"2.75"], 2.75),
            ([b".5"], 0.5),
            ([b"0"], 0.0),
            ([b"007."], 7.0),
            ([b"3", b"2"], 2.0),
            ([b"x", b"2"], 2.0),
            ([b"9" * 60], 1e6),
            ([b"0." + b"3" * 40], 0.3333),
        ],
    )
    def test_valid_limit(self, values: list[bytes], expected: float) -> None:
        assert parse_limit(values) == pytest.approx(expected, abs=1e-3)

    @pytest.mark.parametrize(
        "value",
        [
            b"", b"-1", b"+1", b"nan", b"inf", b"1e3", b"1_0", b"0x1", b".",
            b"1.2.3", b"3 a second", b"9" * 400, "\u0663".encode(),
        ],
    )  # fmt: skip
    def test_invalid_limit(self, value: bytes) -> None:
        assert parse_limit([value]) is None


class _Reader:
    """Reads answers of one upstream."""

    def __init__(self) -> None:
        self._clock = FakeClock(100.0)
        self.limits = UpstreamLimits("n", self._clock.monotonic)
        self.counters = Counters()
        self.changes = 0
        self._notices = UpstreamNotices(
            HTTP_NAMES,
            lambda upstream_id: None,
            lambda upstream, use_for_s: False,
            UpstreamBackoff(),
            self.limits,
            self._record_change,
            2.5,
            self.counters,
            DecisionLog("n"),
        )

    def _record_change(self) -> None:
        self.changes += 1

    def read(self, *values: bytes, status: int = 200, seal: bool = True) -> Any:
        """Reads an answer; returns the limit that holds then."""
        self._clock.advance(0.1)
        headers: Headers = [(b"Server-Limit", value) for value in values]
        if seal:
            headers.append((b"Response-Seal", b"s"))
        head = ResponseHead(
            status,
            b"X",
            headers,
            {name.lower(): value for name, value in headers},
        )
        self._notices.record_answer(_UPSTREAM, head)
        return self.limits.per_s(_UPSTREAM)


class TestAnswers:
    """Guards against a limit that is missed, or that holds for too long."""

    def test_last_answer_counts(self) -> None:
        reader = _Reader()
        assert reader.read() is None
        assert reader.read(b"3") == 3.0
        assert reader.read(b"3") == 3.0
        assert reader.read(b"1.5") == 1.5
        assert reader.read(b"8") == 8.0
        assert reader.read() is None
        assert reader.changes == 4
        assert reader.counters.upstream_notices == {
            "limit": 3,
            "limit_ended": 1,
        }

    @pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
    def test_any_answer_names_it(self, status: int) -> None:
        reader = _Reader()
        assert reader.read(b"3", status=status, seal=False) == 3.0

    def test_answer_without_a_seal_does_not_end_it(self) -> None:
        """Guards against the answer of another program at the address."""
        reader = _Reader()
        reader.read(b"3")
        assert reader.read(status=421, seal=False) == 3.0

    def test_invalid_value_changes_nothing(self) -> None:
        reader = _Reader()
        reader.read(b"3")
        assert reader.read(b"-1") == 3.0
        assert reader.read(b"") == 3.0
        assert reader.counters.upstream_notices["limit_invalid"] == 2

    def test_several_fields(self) -> None:
        assert _Reader().read(b"5, 4", b"6") == 4.0


class TestReports:
    """Guards against nodes that keep to different limits."""

    def test_others_learn_of_it_and_of_its_end(self) -> None:
        clock = FakeClock(100.0)
        first = UpstreamLimits("a", clock.monotonic)
        second = UpstreamLimits("b", clock.monotonic)
        first.record(_UPSTREAM, 3.0)
        clock.advance(0.2)
        second.apply_report("a", first.report())
        assert second.per_s(_UPSTREAM) == 3.0
        assert second.report() == []
        clock.advance(1.0)
        second.record(_UPSTREAM, None)
        clock.advance(0.2)
        # The report of the former limit is older.
        second.apply_report("a", first.report())
        assert second.per_s(_UPSTREAM) is None
        first.apply_report("b", second.report())
        assert first.per_s(_UPSTREAM) is None
        # What the first node had read is older than the end.
        second.apply_report("a", first.report())
        assert second.per_s(_UPSTREAM) is None

    def test_node_that_starts_learns_from_any_other(self) -> None:
        """Guards against a limit that only a node which is gone had read."""
        clock = FakeClock(100.0)
        first = UpstreamLimits("a", clock.monotonic)
        second = UpstreamLimits("b", clock.monotonic)
        first.record(_UPSTREAM, 3.0)
        clock.advance(0.2)
        second.record(_UPSTREAM, 3.0)
        clock.advance(0.2)
        # The second node has read the last answer, and is gone.
        first.apply_report("b", second.report())
        third = UpstreamLimits("c", clock.monotonic)
        third.apply_report("a", first.report())
        assert third.per_s(_UPSTREAM) == 3.0

    def test_other_start_of_the_upstream_has_none(self) -> None:
        clock = FakeClock(100.0)
        limits = UpstreamLimits("a", clock.monotonic)
        limits.record(_UPSTREAM, 3.0)
        restarted = dataclasses.replace(_UPSTREAM, started_ms=2)
        assert limits.per_s(restarted) is None

    def test_limit_outlives_the_row_of_its_upstream(self) -> None:
        """Guards against all slots for an upstream whose row had lapsed.

        It is the same start, which goes on naming its limit.
        """
        clock = FakeClock(100.0)
        limits = UpstreamLimits("a", clock.monotonic)
        limits.record(_UPSTREAM, 3.0)
        for _ in range(5):
            clock.advance(1.0)
            assert limits.remove_expired(lambda upstream_id: None) == []
        assert limits.per_s(_UPSTREAM) == 3.0
        # It is listed again, and gets no requests for a while.
        clock.advance(50.0)
        limits.remove_expired(lambda upstream_id: _UPSTREAM)
        clock.advance(50.0)
        limits.remove_expired(lambda upstream_id: None)
        assert limits.per_s(_UPSTREAM) == 3.0

    def test_limit_of_an_upstream_that_is_gone_is_forgotten(self) -> None:
        clock = FakeClock(100.0)
        limits = UpstreamLimits("a", clock.monotonic)
        limits.record(_UPSTREAM, 3.0)
        restarted = dataclasses.replace(_UPSTREAM, started_ms=2)
        limits.remove_expired(lambda upstream_id: restarted)
        clock.advance(61.0)
        assert limits.remove_expired(lambda upstream_id: restarted) == [
            _UPSTREAM.start
        ]
        assert limits.per_s(_UPSTREAM) is None

    def test_ended_limit_is_forgotten(self) -> None:
        clock = FakeClock(100.0)
        limits = UpstreamLimits("a", clock.monotonic)
        limits.record(_UPSTREAM, 3.0)
        clock.advance(1.0)
        limits.record(_UPSTREAM, None)
        limits.remove_expired(lambda upstream_id: _UPSTREAM)
        assert limits.get(_UPSTREAM) is not None
        clock.advance(20.0)
        limits.remove_expired(lambda upstream_id: _UPSTREAM)
        assert limits.get(_UPSTREAM) is None

    def test_report_is_bounded(self) -> None:
        limits = UpstreamLimits("a", FakeClock(100.0).monotonic)
        for number in range(500):
            limits.record(make_upstream(f"upstream-{number}"), 3.0)
        assert len(json.dumps([str(e) for e in limits.report()])) < 6000
        assert limits.size == 500
