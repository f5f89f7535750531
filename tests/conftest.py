"""Test configuration: fixed seeds and the list of known failures."""

import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("fixed")


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds `--known-red`, which runs only the known failures."""
    parser.addoption("--known-red", action="store_true", default=False)


def read_known_red() -> list[str]:
    """Returns the test ids of KNOWN-RED.txt, one a line, `#` for notes."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [
        line.strip() for line in lines if line.strip() and line[0] not in "# "
    ]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselects exactly the tests that KNOWN-RED.txt lists."""
    known = read_known_red()
    by_id = {item.nodeid: item for item in items}
    if config.getoption("--known-red"):
        chosen = [by_id[test_id] for test_id in known if test_id in by_id]
        config.hook.pytest_deselected(
            items=[item for item in items if item not in chosen]
        )
        items[:] = chosen
        return
    if config.args == ["tests"] or not config.args:
        missing = [test_id for test_id in known if test_id not in by_id]
        if missing:
            raise pytest.UsageError(
                f"KNOWN-RED.txt lists tests that do not exist: {missing}"
            )
    deselected = [by_id[test_id] for test_id in known if test_id in by_id]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the known failures."""
    for test_id in read_known_red() or ["none"]:
        terminalreporter.write_line(f"KNOWN-RED: {test_id}")
