"""The story of one request, from log lines of many processes."""

import dataclasses
import json
from collections.abc import Iterable
from typing import Any

# A wait or a first event above this part of the target made an answer late.
_MOST_OF_TARGET = 0.5


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A line of a gateway's log.

    Attributes:
        node: Node that wrote it.
        at: Seconds on that node's steady clock.
        event: What happened.
        fields: All fields of the line.
    """

    node: str
    at: float
    event: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[str], request_id: str) -> list[LogLine]:
    """Returns the lines about a request in the order of their nodes' clocks.

    Args:
        lines: Lines of any number of logs; text before the JSON object, such
            as a collector's prefix, and lines of another form are ignored.
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
    """Returns the story and the cause of a request's end in plain words."""
    story = read_lines(lines, request_id)
    if not story:
        return (
            f"No line about {request_id}. It may have reached another node,"
            " or its lines were dropped (see `lines_dropped`)."
        )
    start = story[0].at
    text = [f"Request {request_id} at {story[0].node}"]
    text += [
        f"  {line.at - start:+8.3f} s  {line.event}{_details(line)}"
        for line in story
    ]
    text.append(f"Cause: {_cause(story)}")
    return "\n".join(text)


def _details(line: LogLine) -> str:
    hidden = {"at", "time", "node", "level", "event", "request"}
    parts = [
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden
    ]
    return "  " + " ".join(parts) if parts else ""


def _cause(story: list[LogLine]) -> str:
    end = story[-1]
    failures = [line for line in story if line.event == "dispatch_failed"]
    if end.event == "answered":
        return _cause_of_answer(story, end)
    if end.event in ("refused", "answer_cut"):
        verb = "refused" if end.event == "refused" else "cut off"
        text = (
            f"it was {verb} after {end.fields.get('after_s')} s,"
            f" {end.fields.get('reason')}: {end.fields.get('message')}."
        )
        if failures:
            text += f" Before, {_failed(failures[-1])}."
        return text
    if end.event == "client_gone":
        return _cause_of_leave(story, end)
    if failures:
        return f"{_failed(failures[-1])}; no later line was kept."
    return "it was still in progress at the last line."


def _cause_of_answer(story: list[LogLine], end: LogLine) -> str:
    fields = end.fields
    sent = [line for line in story if line.event == "dispatched"]
    target_s = float(fields.get("target_s", 0))
    first_s = float(fields.get("first_s", fields.get("after_s", 0)))
    waited_s = float(sent[-1].fields.get("waited_s", 0)) if sent else 0.0
    pause_s = float(fields.get("longest_pause_s", 0))
    pause_target_s = fields.get("pause_target_s")
    where = fields.get("upstream")
    if int(fields.get("status", 0)) >= 500:
        return f"upstream {where} answered {fields['status']}."
    if target_s and waited_s + first_s > target_s:
        if waited_s > _MOST_OF_TARGET * target_s:
            return f"late: it waited {waited_s} s for a place."
        return f"late: upstream {where} took {first_s} s to its first byte."
    if pause_target_s is not None and pause_s > float(pause_target_s):
        return f"late: upstream {where} paused for {pause_s} s in the stream."
    return "it was answered on time."


def _cause_of_leave(story: list[LogLine], end: LogLine) -> str:
    after_s = end.fields.get("after_s")
    sent = [line for line in story if line.event == "dispatched"]
    if not sent:
        return f"the client left after {after_s} s while it waited."
    where = sent[-1].fields.get("upstream")
    if any(line.event == "dispatch_abandoned" for line in story):
        return f"upstream {where} sent nothing; the client left at {after_s} s."
    return f"the client left after {after_s} s while {where} worked on it."


def _failed(line: LogLine) -> str:
    return (
        f"upstream {line.fields.get('upstream')} failed it"
        f" ({line.fields.get('reason')}: {line.fields.get('message')})"
    )
