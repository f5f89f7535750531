"""From a request's id to its cause, with lines that processes wrote."""

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


_SENT = _line(1.0, "dispatched", upstream="u1", waited_s=0.01)


class TestCauses:
    """Causes of requests that went wrong."""

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
                    _SENT,
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
                "cut off after 1.0 s, upstream_error: reset. Before, upstream"
                " u1 failed it (broken: reset)",
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
                "late: it waited 0.39 s for a place",
            ),
            (
                [
                    _SENT,
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
                "late: upstream u1 paused for 0.6 s",
            ),
            (
                [_SENT, _line(3.0, "client_gone", after_s=2.0)],
                "the client left after 2.0 s while u1 worked on it",
            ),
            (
                [_SENT, _line(2.0, "answered", status=500, upstream="u1")],
                "upstream u1 answered 500",
            ),
        ],
    )
    def test_names_the_cause(self, lines: list[str], cause: str) -> None:
        assert cause in explain("r1", [*lines, "no json r1", ""])

    def test_says_where_nothing_is_known(self) -> None:
        assert "No line about r2" in explain("r2", [_SENT])


class TestProcessLogs:
    """Lines of a real process."""

    def test_command_explains_a_refusal(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def play() -> pathlib.Path:
            config = configuration(1, [route("read")])
            async with standin.local_cluster(tmp_path, config) as world:
                await world.add_upstream("u-1", standin.reject)
                gateway = await world.add_gateway()
                await gateway.wait_ready()
                answer = await world.call("bad-1", "/read/x")
                assert answer.status == 503
                await asyncio.sleep(0.3)
                return gateway.log_path

        log = asyncio.run(play())
        assert (
            cli.main(["tanagerport", "explain", "bad-1", f"--logs={log}"]) == 0
        )
        text = capsys.readouterr().out
        assert "dispatched" in text
        assert "upstream u-1 failed it (rejected:" in text
