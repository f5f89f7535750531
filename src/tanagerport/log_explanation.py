"""Explains the outcome of a request from the logs of gateway processes."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# If the request of a late answer waited for more than this fraction of its
# target, the wait is named as the cause.
_MIN_CAUSAL_WAIT_FRACTION = 0.5
# Lines about each request that a planned stop meets.
_STOP_EVENTS = ("request_in_progress", "request_ended")
# Lines after which a request is over.
_FINAL_EVENTS = ("answered", "refused", "answer_cut", "client_gone")


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A parsed line of a gateway's log.

    Attributes:
        node: Node that wrote it.
        at: Time on that node's monotonic clock, in seconds.
        event: Name of the event.
        fields: All fields of the line.
    """

    node: str
    at: float
    event: str
    fields: dict[str, Any]


def find_request_lines(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Returns the lines about a request, ordered by node and time.

    Args:
        lines: Lines of any number of logs. Text before the JSON object, such
            as a collector's prefix, and lines without one are ignored.
        request_id: Id of the client attempt.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        start = line.find("{")
        try:
            fields = json.loads(line[start:]) if start >= 0 else {}
        except ValueError:
            continue
        if fields.get("request") == request_id and "event" in fields:
            found.append(
                LogLine(
                    str(fields.get("node", "")),
                    float(fields.get("at", 0)),
                    fields["event"],
                    fields,
                )
            )
    return sorted(found, key=lambda line: (line.node, line.at))


def explain(request_id: str, lines: Iterable[str]) -> str:
    """Describes the events of a request and the cause of its outcome."""
    events = find_request_lines(lines, request_id)
    if not events:
        return (
            f"No log line about {request_id}. The request may have reached"
            " another node, or its lines were dropped (see `lines_dropped`)."
        )
    start = events[0].at
    output = [f"Request {request_id} at {events[0].node}"]
    output += [
        f"  {line.at - start:+8.3f} s  {line.event}{_format_fields(line)}"
        for line in events
    ]
    output.append(f"Cause: {_cause(events)}")
    return "\n".join(output)


def _format_fields(line: LogLine) -> str:
    omitted = {"at", "time", "node", "level", "event", "request"}
    parts = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in omitted
    ]
    return "  " + " ".join(parts) if parts else ""


def _cause(events: list[LogLine]) -> str:
    stop_lines = [line for line in events if line.event in _STOP_EVENTS]
    events = [line for line in events if line.event not in _STOP_EVENTS]
    is_over = bool(events) and events[-1].event in _FINAL_EVENTS
    if stop_lines and not is_over:
        return _cause_at_stop(stop_lines[-1])
    last = events[-1]
    failures = [line for line in events if line.event == "dispatch_failed"]
    if last.event == "answered":
        return _cause_of_answer(events, last)
    if last.event in ("refused", "answer_cut"):
        verb = "refused" if last.event == "refused" else "cut off"
        text = (
            f"it was {verb} after {last.fields.get('after_s')} s,"
            f" {last.fields.get('reason')}: {last.fields.get('message')}."
        )
        if failures:
            text += f" Before that, {_describe_failure(failures[-1])}."
        return text
    if last.event == "client_gone":
        return _cause_of_disconnect(events, last)
    if failures:
        return f"{_describe_failure(failures[-1])}; there is no later log line."
    return "it was still in progress at the last log line."


def _cause_at_stop(line: LogLine) -> str:
    fields = line.fields
    if line.event == "request_in_progress":
        return (
            f"it was in progress after {fields.get('age_s')} s, at upstream"
            f" {fields.get('upstream')}, and the node stopped; it was killed if"
            " there is no line `stopped`."
        )
    return (
        f"it ended {fields.get('outcome')} after {fields.get('age_s')} s, while"
        f" the node stopped (closed by: {fields.get('closed_by') or 'nobody'})."
    )


def _cause_of_answer(events: list[LogLine], last: LogLine) -> str:
    fields = last.fields
    dispatches = [line for line in events if line.event == "dispatched"]
    target_s = float(fields.get("target_s", 0))
    first_s = float(fields.get("first_s", fields.get("after_s", 0)))
    waited_s = (
        float(dispatches[-1].fields.get("waited_s", 0)) if dispatches else 0.0
    )
    pause_s = float(fields.get("longest_pause_s", 0))
    pause_target_s = fields.get("pause_target_s")
    upstream = fields.get("upstream")
    if int(fields.get("status", 0)) >= 500:
        return f"upstream {upstream} answered {fields['status']}."
    if target_s and waited_s + first_s > target_s:
        if waited_s > _MIN_CAUSAL_WAIT_FRACTION * target_s:
            return f"late: it waited {waited_s} s for a free slot."
        return f"late: upstream {upstream} took {first_s} s to its first byte."
    if pause_target_s is not None and pause_s > float(pause_target_s):
        return f"late: upstream {upstream} paused the stream for {pause_s} s."
    return "it was answered on time."


def _cause_of_disconnect(events: list[LogLine], last: LogLine) -> str:
    after_s = last.fields.get("after_s")
    dispatches = [line for line in events if line.event == "dispatched"]
    if not dispatches:
        return (
            f"the client disconnected after {after_s} s, before any dispatch."
        )
    upstream = dispatches[-1].fields.get("upstream")
    if any(line.event == "dispatch_abandoned" for line in events):
        return (
            f"upstream {upstream} sent no response; the client disconnected"
            f" after {after_s} s."
        )
    return (
        f"the client disconnected after {after_s} s while upstream {upstream}"
        " was processing the request."
    )


def _describe_failure(line: LogLine) -> str:
    return (
        f"the dispatch to upstream {line.fields.get('upstream')} failed"
        f" ({line.fields.get('reason')}: {line.fields.get('message')})"
    )
