"""Sub-command that shows and releases quarantined prompt parts."""

import json
import sys
import urllib.parse
from collections.abc import Sequence

import urllib3
from absl import flags

from tanagerport.exceptions import (
    OperatorRequestError,
    OperatorUnreachableError,
)

_TIMEOUT_S = 5.0


def define_quarantine_flags(values: flags.FlagValues) -> None:
    """Defines the flags of the command."""
    flags.DEFINE_string(
        "node",
        None,
        "Internal address of a gateway as ip:port (`peer_host` and"
        " `metrics_port` of its settings).",
        flag_values=values,
    )
    flags.DEFINE_string(
        "release",
        None,
        "Key of a part whose requests all nodes shall send again.",
        flag_values=values,
    )


def run_quarantine(values: flags.FlagValues, arguments: Sequence[str]) -> int:
    """Prints the quarantined prompt parts, or releases one.

    Raises:
        OperatorUnreachableError: The node did not answer.
        OperatorRequestError: The part is not quarantined.
    """
    del arguments
    node, key = values["node"].value, values["release"].value
    if not node:
        raise flags.Error("--node is missing")
    if key is None:
        response = _call("GET", node, "/quarantine")
        for entry in json.loads(response.data):
            print(
                f"{entry['part']}  {entry['crashes']} crashes, the last"
                f" {entry['last_crash_s_ago']} s ago; next trial in"
                f" {entry['trial_in_s']} s"
            )
        return 0
    response = _call(
        "DELETE", node, f"/quarantine/{urllib.parse.quote(key, safe='')}"
    )
    if response.status == 404:
        raise OperatorRequestError(f"the part {key} is not quarantined")
    print(f"released {key}", file=sys.stderr)
    return 0


def _call(method: str, node: str, path: str) -> urllib3.BaseHTTPResponse:
    try:
        return urllib3.request(
            method, f"http://{node}{path}", timeout=_TIMEOUT_S, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise OperatorUnreachableError(f"{node}: {error}") from error
