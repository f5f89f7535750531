"""Explains how one request ended, from the log lines of many processes."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# If a late answer waited for more than this fraction of its target, the wait is
# named as the cause.
_CAUSAL_WAIT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A parsed line of a gateway's log.

    Attributes:
        node: Node that wrote it.
        at: Seconds of that node's monotonic clock.
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
    return sorted(found, key=lambda entry: (entry.node, entry.at))


def explain(request_id: str, lines: Iterable[str]) -> str:
    """Returns the events of a request and the cause of its outcome."""
    events = find_request_lines(lines, request_id)
    if not events:
        return (
            f"No log line about {request_id}. The request may have reached"
            " another node, or its lines were dropped (see `lines_dropped`)."
        )
    start = events[0].at
    text = [f"Request {request_id} at {events[0].node}"]
    text += [
        f"  {line.at - start:+8.3f} s  {line.event}{_details(line)}"
        for line in events
    ]
    text.append(f"Cause: {_cause(events)}")
    return "\n".join(text)


def _details(line: LogLine) -> str:
    omitted = {"at", "time", "node", "level", "event", "request"}
    parts = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in omitted
    ]
    return "  " + " ".join(parts) if parts else ""


def _cause(events: list[LogLine]) -> str:
    end = events[-1]
    failures = [line for line in events if line.event == "dispatch_failed"]
    if end.event == "answered":
        return _cause_of_answer(events, end)
    if end.event in ("refused", "answer_cut"):
        verb = "refused" if end.event == "refused" else "cut off"
        text = (
            f"it was {verb} after {end.fields.get('after_s')} s,"
            f" {end.fields.get('reason')}: {end.fields.get('message')}."
        )
        if failures:
            text += f" Before that, {_describe_failure(failures[-1])}."
        return text
    if end.event == "client_gone":
        return _cause_of_disconnect(events, end)
    if failures:
        return f"{_describe_failure(failures[-1])}; there is no later log line."
    return "it was still in progress at the last log line."


def _cause_of_answer(events: list[LogLine], end: LogLine) -> str:
    fields = end.fields
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
        if waited_s > _CAUSAL_WAIT_FRACTION * target_s:
            return f"late: it waited {waited_s} s for a free slot."
        return f"late: upstream {upstream} took {first_s} s to its first byte."
    if pause_target_s is not None and pause_s > float(pause_target_s):
        return f"late: upstream {upstream} paused the stream for {pause_s} s."
    return "it was answered on time."


def _cause_of_disconnect(events: list[LogLine], end: LogLine) -> str:
    after_s = end.fields.get("after_s")
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
