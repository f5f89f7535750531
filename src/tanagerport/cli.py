"""Command line `tanagerport`."""

import signal
import sys
import threading
from collections.abc import Callable, Sequence

from absl import app, flags

from tanagerport import demo
from tanagerport.exceptions import DocumentError
from tanagerport.logs import configure_logs
from tanagerport.node import create_node
from tanagerport.settings import load_settings

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Settings file of a node (JSON)."
)

_USAGE_EXIT = 2


def _run_node(arguments: Sequence[str]) -> int:
    del arguments
    if not _SETTINGS.value:
        print("node: --settings=FILE is required", file=sys.stderr)
        return _USAGE_EXIT
    settings = load_settings(_SETTINGS.value)
    configure_logs(settings.log_level)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    node = create_node(settings)
    node.start()
    stop.wait()
    node.stop()
    return 0


def _check(arguments: Sequence[str]) -> int:
    if len(arguments) != 1:
        print("check: one settings file is required", file=sys.stderr)
        return _USAGE_EXIT
    load_settings(arguments[0])
    print(f"{arguments[0]}: valid")
    return 0


def _run_demo(arguments: Sequence[str]) -> int:
    del arguments
    configure_logs("error")
    return demo.run_demo()


_COMMANDS: dict[str, Callable[[Sequence[str]], int]] = {
    "check": _check,
    "demo": _run_demo,
    "node": _run_node,
}


def main(argv: Sequence[str]) -> int:
    """Runs one sub-command and returns its exit code."""
    name = argv[1] if len(argv) > 1 else ""
    command = _COMMANDS.get(name)
    if command is None:
        names = ", ".join(sorted(_COMMANDS))
        print(f"usage: tanagerport {{{names}}} [flags]", file=sys.stderr)
        return _USAGE_EXIT
    try:
        return command(argv[2:])
    except DocumentError as error:
        print(error, file=sys.stderr)
        return 1


def run() -> None:
    """Entry point of the program."""
    app.run(main)
