"""Sub-commands of the command line."""

import getpass
import json
import pathlib
import re
import signal
import socket
import sys
import threading
import time
import uuid
from collections.abc import Iterator, Sequence
from typing import Any

from absl import flags

from tanagerport import demo
from tanagerport.config_checks import check_change
from tanagerport.config_records import ConfigChange
from tanagerport.exceptions import DocumentError
from tanagerport.findings import Finding
from tanagerport.log_explanation import explain
from tanagerport.logs import configure_logs
from tanagerport.node import create_node
from tanagerport.operator_client import OperatorClient
from tanagerport.operator_documents import ApplyDocument, parse_document
from tanagerport.settings import load_settings, parse_settings
from tanagerport.status_table import format_explanation, format_status

_WATCH_INTERVAL_S = 2.0
_SIGNAL_POLL_S = 0.2
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(s|m|h|d)")
_SECONDS_BY_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


def define_no_flags(values: flags.FlagValues) -> None:
    """Defines no flags."""
    del values


def define_settings_flag(values: flags.FlagValues) -> None:
    """Defines the flag that names a node's settings."""
    flags.DEFINE_string(
        "settings",
        None,
        "Settings file of a node, JSON.",
        flag_values=values,
    )


def define_operator_flags(values: flags.FlagValues) -> None:
    """Defines the flags that say how to reach a node as operator."""
    define_settings_flag(values)
    flags.DEFINE_list(
        "operator",
        [],
        "Operator listeners as ip:port,... tried in order; by default the"
        " one in --settings.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "token_file",
        None,
        "File with the operators' token; by default the token in --settings.",
        flag_values=values,
    )


def define_change_flags(values: flags.FlagValues) -> None:
    """Defines the flags of commands that change something."""
    define_operator_flags(values)
    flags.DEFINE_string(
        "operator_name",
        f"{getpass.getuser()}@{socket.gethostname()}",
        "Name shown to other operators.",
        flag_values=values,
    )


def define_status_flags(values: flags.FlagValues) -> None:
    """Defines the flags of `status`."""
    define_operator_flags(values)
    flags.DEFINE_bool(
        "json", False, "Print the JSON document.", flag_values=values
    )
    flags.DEFINE_bool(
        "watch", False, "Print again every 2 s.", flag_values=values
    )


def define_move_flags(values: flags.FlagValues) -> None:
    """Defines the flags of `move`."""
    define_change_flags(values)
    flags.DEFINE_string(
        "deadline",
        None,
        "Time left for the move, a number with s, m, h or d, such as 90m.",
        flag_values=values,
    )


def define_take_back_flags(values: flags.FlagValues) -> None:
    """Defines the flags of `take-back`."""
    define_change_flags(values)
    flags.DEFINE_string(
        "reason", None, "Why; kept with the version.", flag_values=values
    )


def define_explain_flags(values: flags.FlagValues) -> None:
    """Defines the flags of `explain`."""
    define_operator_flags(values)
    flags.DEFINE_list(
        "logs",
        [],
        "Log files of any number of processes, `-` for standard input; no"
        " node is asked then.",
        flag_values=values,
    )


def define_demo_flags(values: flags.FlagValues) -> None:
    """Defines the flags of `demo`."""
    flags.DEFINE_bool(
        "serve",
        False,
        "Keep serving on 127.0.0.1:8080 (operators 127.0.0.1:8081) until"
        " Ctrl-C.",
        flag_values=values,
    )


def run_node(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Serves until SIGTERM or SIGINT, then drains."""
    del arguments
    settings = load_settings(_required(values, "settings"))
    configure_logs(settings.log_level)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    node = create_node(settings)
    node.start()
    while not stop.is_set() and not node.wait_for_drain_request(_SIGNAL_POLL_S):
        pass
    node.stop()
    return 0


def check_file(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Checks a settings file or a change document."""
    del values
    path = arguments[0]
    content = _read_file(path)
    if _looks_like_change(content):
        _check_change(content, path)
    else:
        parse_settings(content, source=path)
    print(f"{path}: valid")
    return 0


def apply_file(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Applies a change document."""
    content = _read_file(arguments[0])
    _check_change(content, arguments[0])
    answer = _post(values, "/apply", json.loads(content))
    print(f"accepted as configuration version {answer['version']}")
    return 0


def show_status(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Prints the status of the system as one node sees it."""
    del arguments
    client = _client(values)
    while True:
        status = client.get("/status")
        print(
            json.dumps(status, indent=2)
            if values["json"].value
            else format_status(status)
        )
        if not values["watch"].value:
            return 0
        sys.stdout.flush()
        time.sleep(_WATCH_INTERVAL_S)


def move_version(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Starts a version move."""
    model, version = _split_version(arguments[0])
    deadline_s = _parse_duration(_required(values, "deadline"))
    _post(
        values,
        "/moves",
        {"model": model, "version": version, "deadline_s": deadline_s},
    )
    print(f"move of {model} to {version} accepted, due in {deadline_s:g} s")
    return 0


def take_back_version(
    values: flags.FlagValues, arguments: Sequence[str]
) -> int:
    """Takes a version out of service."""
    model, version = _split_version(arguments[0])
    reason = _required(values, "reason")
    _post(
        values,
        "/take-back",
        {"model": model, "version": version, "reason": reason},
    )
    print(f"{model} {version} gets no new work")
    return 0


def drain_target(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Drains an upstream or an entry node."""
    _post(values, "/drain", {"target": arguments[0]})
    print(f"{arguments[0]} gets no new work")
    return 0


def explain_request(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Prints the decisions taken for a request."""
    if values["logs"].value:
        print(explain(arguments[0], _read_logs(values["logs"].value)))
        return 0
    print(format_explanation(_client(values).get(f"/explain/{arguments[0]}")))
    return 0


def _read_logs(names: Sequence[str]) -> Iterator[str]:
    """Yields the lines of log files; `-` is standard input."""
    for name in names:
        if name == "-":
            yield from sys.stdin
            continue
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise DocumentError(name, [Finding("", str(error))]) from error


def run_demo(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Runs the demonstration."""
    del arguments
    configure_logs("error")
    if values["serve"].value:
        return demo.serve_demo()
    return demo.run_demo()


def _client(values: flags.FlagValues) -> OperatorClient:
    addresses = list(values["operator"].value or [])
    token = ""
    if values["settings"].value:
        settings = load_settings(values["settings"].value)
        addresses = addresses or [settings.operator_listen]
        token = settings.operator_token
    if values["token_file"].value:
        token = _read_file(values["token_file"].value).decode().strip()
    if not addresses or not token:
        raise flags.Error(
            "--settings, or --operator with --token_file, is required"
        )
    return OperatorClient(addresses, token)


def _post(values: flags.FlagValues, path: str, document: dict[str, Any]) -> Any:
    return _client(values).post(
        path,
        document
        | {
            "operator": values["operator_name"].value,
            "operation_id": uuid.uuid4().hex,
        },
    )


def _required(values: flags.FlagValues, name: str) -> str:
    value = values[name].value
    if not value:
        raise flags.Error(f"--{name} is required")
    return value


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise flags.Error(f"{path}: {error.strerror}") from error


def _check_change(content: bytes, path: str) -> None:
    """Checks a change as the node will, before it is sent."""
    try:
        document = {"operator": "check", **json.loads(content)}
    except (ValueError, TypeError) as error:
        finding = Finding("document", f"is not a JSON object: {error}")
        raise DocumentError(path, [finding]) from error
    try:
        change = parse_document(json.dumps(document).encode(), ApplyDocument)
    except DocumentError as error:
        raise DocumentError(path, error.findings) from error
    findings = check_change(
        ConfigChange(change.classes, change.remove_classes), {}, {}, {}
    )
    known = [item for item in findings if "remove_classes" not in item.place]
    if known:
        raise DocumentError(path, known)


def _looks_like_change(content: bytes) -> bool:
    try:
        document = json.loads(content)
    except ValueError:
        return False
    return isinstance(document, dict) and "node_id" not in document


def _split_version(text: str) -> tuple[str, str]:
    model, separator, version = text.partition(":")
    if not (model and separator and version):
        raise flags.Error(f"{text!r} is not MODEL:VERSION, such as tutor:v2")
    return model, version


def _parse_duration(text: str) -> float:
    match = _DURATION.fullmatch(text)
    if match is None or float(match[1]) == 0:
        raise flags.Error(
            f"--deadline={text}: must be a number above 0 with s, m, h or d"
        )
    return float(match[1]) * _SECONDS_BY_UNIT[match[2]]
