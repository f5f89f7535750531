"""Tests of the command line against a running node."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any

import pytest
import structlog

from tanagerport import cli
from tanagerport.clock import SystemClock
from tanagerport.logs import configure_logs
from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.node import Node, create_node
from tanagerport.operator_client import OperatorClient
from tanagerport.settings import PlatformSettings, Settings

_TOKEN = "operator-secret"


@pytest.fixture(scope="module")
def node() -> Iterator[Node]:
    engine = VM(
        "engine-1",
        VMRole.ENGINE,
        "zone-a",
        "region-a",
        "127.0.0.1:1",
        serves=("tutor",),
    )
    settings = Settings(
        node_id="node-1",
        zone="zone-a",
        region="region-a",
        listen="127.0.0.1:0",
        operator_listen="127.0.0.1:0",
        peer_listen="127.0.0.1:0",
        operator_token=_TOKEN,
        peer_token="peer-secret",
        platform=PlatformSettings(vms=(engine,)),
        classes=(WorkClass("hint", 0, UpstreamKind.ENGINE, "tutor"),),
        caller_threads=8,
        log_level="error",
    )
    configure_logs(settings.log_level)
    node = create_node(settings, SystemClock())
    node.start()
    yield node
    node.stop()


@pytest.fixture
def run(
    node: Node, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> "_Runner":
    token = tmp_path / "token"
    token.write_text(_TOKEN)
    return _Runner(node.operator_address, token, tmp_path, capsys)


class _Runner:
    """Runs commands and returns exit code, output and errors."""

    def __init__(
        self,
        address: str,
        token: pathlib.Path,
        directory: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        self._address = address
        self._token = token
        self._directory = directory
        self._capsys = capsys

    def __call__(
        self, *arguments: str, token_file: pathlib.Path | None = None
    ) -> tuple[int, str, str]:
        flags = (
            f"--operator={self._address}",
            f"--token_file={token_file or self._token}",
        )
        code = cli.main(["tanagerport", *arguments, *flags])
        captured = self._capsys.readouterr()
        return code, captured.out, captured.err

    def write(self, document: object) -> str:
        path = self._directory / "change.json"
        path.write_text(json.dumps(document))
        return str(path)


class TestOperatorCommands:
    """Guards against commands that the node's interface does not accept."""

    def test_apply_is_in_force_in_status(self, run: _Runner) -> None:
        work_class = {
            "name": "note", "tier": 2, "kind": "engine", "model": "tutor",
        }  # fmt: skip
        code, out, _ = run("apply", run.write({"classes": [work_class]}))
        assert (code, "accepted" in out) == (0, True)
        code, out, _ = run("status")
        assert code == 0 and "note" in out and "zone-a" in out
        code, out, _ = run("status", "--json")
        status = json.loads(out)
        assert {row["name"] for row in status["classes"]} == {"hint", "note"}
        assert _TOKEN not in out and "peer-secret" not in out

    def test_log_lines_do_not_reach_the_output(
        self, run: _Runner, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against log lines between the JSON that scripts read."""
        structlog.reset_defaults()
        get_status = OperatorClient.get

        def log_and_get(client: OperatorClient, path: str) -> Any:
            status = get_status(client, path)
            structlog.get_logger().warning("load_unread")
            return status

        monkeypatch.setattr(OperatorClient, "get", log_and_get)
        code, out, err = run("status", "--json")
        assert code == 0
        assert json.loads(out)["classes"] and "load_unread" in err

    def test_invalid_change_lists_findings_and_changes_nothing(
        self, run: _Runner
    ) -> None:
        change = {"classes": [{"name": "x", "tier": 9, "kind": "gpu"}]}
        code, _, err = run("apply", run.write(change))
        assert code == cli.EXIT_FAILED
        assert "classes.0.tier" in err and "classes.0.kind" in err
        _, out, _ = run("status", "--json")
        assert "x" not in {row["name"] for row in json.loads(out)["classes"]}

    def test_refused_commands_name_the_reason(self, run: _Runner) -> None:
        for arguments, named in (
            (("move", "other:v2", "--deadline=1h"), "other"),
            (("take-back", "tutor:v9", "--reason=bad"), "v9"),
            (("drain", "nobody"), "nobody"),
            (("explain", "unknown-request"), "unknown-request"),
        ):
            code, _, err = run(*arguments)
            assert (code, named in err) == (cli.EXIT_FAILED, True), arguments

    def test_drained_upstream_is_leaving(self, run: _Runner) -> None:
        code, _, _ = run("drain", "engine-1")
        _, out, _ = run("status", "--json")
        assert code == 0
        assert json.loads(out)["upstreams"][0]["state"] == "leaving"

    def test_wrong_token_is_refused(
        self, run: _Runner, tmp_path: pathlib.Path
    ) -> None:
        wrong = tmp_path / "wrong"
        wrong.write_text("not-the-token")
        code, _, err = run("status", token_file=wrong)
        assert code == cli.EXIT_FAILED
        assert "token" in err and "not-the-token" not in err
