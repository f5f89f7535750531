"""Tests of the command line."""

import pathlib

import pytest

from tanagerport import cli
from tanagerport.model import RefusalReason, RetryReason

_ROOT = pathlib.Path(__file__).parent.parent


class TestHelp:
    """Guards against commands that nobody can find out about."""

    def test_overview_names_every_command(self) -> None:
        text = cli.overview()
        assert all(f"  {item.name}" in text for item in cli.COMMANDS)

    @pytest.mark.parametrize("command", cli.COMMANDS, ids=lambda c: c.name)
    def test_help_has_usage_flags_and_example(
        self, command: cli.Command, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert cli.main(["tanagerport", command.name, "--help"]) == 0
        text = capsys.readouterr().out
        assert f"tanagerport {command.name}" in text
        assert "example:" in text and "exit codes:" in text

    def test_docs_have_an_entry_for_every_command(self) -> None:
        text = (_ROOT / "docs" / "commands.md").read_text()
        missing = [
            item.name
            for item in cli.COMMANDS
            if f"## tanagerport {item.name}\n" not in text
        ]
        assert not missing

    def test_docs_have_an_entry_for_every_reason(self) -> None:
        """Guards against a refusal whose meaning is written nowhere."""
        text = (_ROOT / "docs" / "refusals.md").read_text()
        missing = [
            reason.value
            for reason in (*RefusalReason, *RetryReason)
            if f"| `{reason.value}` |" not in text
        ]
        assert not missing


class TestExitCodes:
    """Guards against errors that a script can't tell from success."""

    def _run(self, *arguments: str) -> int:
        return cli.main(["tanagerport", *arguments])

    def test_check_lists_all_findings_and_exits_1(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "node.json"
        path.write_text('{"node_id": "", "zone": 3}')
        assert self._run("check", str(path)) == 1
        error = capsys.readouterr().err
        assert "node_id: " in error and "zone: " in error
        assert "operator_token: " in error

    def test_check_accepts_a_change_document(self) -> None:
        path = _ROOT / "examples" / "quietword-classes.json"
        assert self._run("check", str(path)) == 0

    @pytest.mark.parametrize(
        ("arguments", "named"),
        [
            (["move", "tutor", "--deadline=1h"], "MODEL:VERSION"),
            (["move", "tutor:v2"], "--deadline"),
            (["move", "tutor:v2", "--deadline=soon"], "--deadline=soon"),
            (["node"], "--settings"),
            (["status", "--watsh"], "watsh"),
            (["explain"], "REQUEST_ID"),
            (["no-such-command"], "no-such-command"),
        ],
    )
    def test_usage_errors_name_the_flag_and_exit_2(
        self,
        arguments: list[str],
        named: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert self._run(*arguments) == cli.EXIT_USAGE
        assert named in capsys.readouterr().err

    def test_unreachable_node_exits_3(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        token = tmp_path / "token"
        token.write_text("operator-secret")
        code = self._run(
            "status", "--operator=127.0.0.1:1", f"--token_file={token}"
        )
        assert code == cli.EXIT_UNREACHABLE
        error = capsys.readouterr().err
        assert "127.0.0.1:1" in error and "operator-secret" not in error
