"""Tests of the explanation of a request's outcome from log lines."""

import asyncio
import json
import pathlib

import pytest

import platform_standin as standin
from platform_standin import configuration, route
from tanagerport import cli
from tanagerport.log_explanation import explain


def _line(at: float, event: str, **fields: object) -> str:
    line = {"at": at, "node": "n1", "event": event, "request": "r1", **fields}
    return "  12.5 n1 " + json.dumps(line)


_DISPATCHED = _line(1.0, "dispatched", upstream="u1", waited_s=0.01)


class TestCauses:
    """Cause that is reported for each kind of outcome."""

    @pytest.mark.parametrize(
        ("lines", "cause"),
        [
            (
                [
                    _line(
                        1.0,
                        "refused",
                        reason="deadline_unreachable",
                        message="too many wait",
                        after_s=0.0,
                    )
                ],
                "refused after 0.0 s, deadline_unreachable: too many wait",
            ),
            (
                [
                    _DISPATCHED,
                    _line(
                        2.0,
                        "dispatch_failed",
                        upstream="u1",
                        reason="broken",
                        message="reset",
                    ),
                    _line(
                        2.0,
                        "answer_cut",
                        reason="upstream_error",
                        message="reset",
                        after_s=1.0,
                    ),
                ],
                "cut off after 1.0 s, upstream_error: reset. Before that, the"
                " dispatch to upstream u1 failed (broken: reset)",
            ),
            (
                [
                    _line(1.0, "dispatched", upstream="u1", waited_s=0.39),
                    _line(
                        2.0,
                        "answered",
                        status=200,
                        upstream="u1",
                        first_s=0.1,
                        target_s=0.4,
                    ),
                ],
                "late: it waited 0.39 s for a free slot",
            ),
            (
                [
                    _DISPATCHED,
                    _line(
                        2.0,
                        "answered",
                        status=200,
                        upstream="u1",
                        first_s=0.1,
                        target_s=0.4,
                        longest_pause_s=0.6,
                        pause_target_s=0.25,
                    ),
                ],
                "late: upstream u1 paused the stream for 0.6 s",
            ),
            (
                [_DISPATCHED, _line(3.0, "client_gone", after_s=2.0)],
                "the client disconnected after 2.0 s while upstream u1 was"
                " processing the request",
            ),
            (
                [
                    _DISPATCHED,
                    _line(2.0, "answered", status=500, upstream="u1"),
                ],
                "upstream u1 answered 500",
            ),
        ],
    )
    def test_reports_the_cause(self, lines: list[str], cause: str) -> None:
        assert cause in explain("r1", [*lines, "no json r1", ""])

    def test_reports_a_request_without_log_lines(self) -> None:
        assert "No log line about r2" in explain("r2", [_DISPATCHED])


class TestProcessLogs:
    """Explanation from the log of a running gateway process."""

    def test_command_explains_a_refusal(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def run_scenario() -> pathlib.Path:
            config = configuration(1, [route("read")])
            async with standin.local_cluster(tmp_path, config) as cluster:
                await cluster.add_upstream("u-1", standin.reject)
                gateway = await cluster.add_gateway()
                await gateway.wait_ready()
                answer = await cluster.call("bad-1", "/read/x")
                assert answer.status == 503
                await asyncio.sleep(0.3)
                return gateway.log_path

        log_path = asyncio.run(run_scenario())
        assert (
            cli.main(["tanagerport", "explain", "bad-1", f"--logs={log_path}"])
            == 0
        )
        text = capsys.readouterr().out
        assert "dispatched" in text
        assert "the dispatch to upstream u-1 failed (rejected:" in text
