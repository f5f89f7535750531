"""Text for a person from the operator interface's documents."""

from collections.abc import Iterable, Sequence
from typing import Any


def format_status(status: dict[str, Any]) -> str:
    """Returns the status document as tables.

    Args:
        status: Answer of `GET /status`.
    """
    sections = [
        _format_pairs(status.get("node", {})),
        "configuration  " + _format_pairs(status.get("configuration", {})),
    ]
    for title, key in (
        ("classes", "classes"),
        ("version moves", "moves"),
        ("convicted versions", "convictions"),
        ("zones", "zones"),
        ("upstreams", "upstreams"),
        ("slots", "slots"),
    ):
        rows = status.get(key) or []
        sections.append(f"{title}\n{format_rows(rows)}")
    return "\n\n".join(sections)


def format_explanation(explanation: dict[str, Any]) -> str:
    """Returns the decisions about one request, one a line.

    Args:
        explanation: Answer of `GET /explain/REQUEST_ID`.
    """
    lines = [f"request {explanation.get('request_id', '')}"]
    for event in explanation.get("events", ()):
        details = " ".join(
            f"{key}={_text(value)}"
            for key, value in event.items()
            if key not in ("at_s", "event")
        )
        lines.append(
            f"  {event.get('at_s', 0):8.3f} s  {event.get('event')}  {details}"
        )
    return "\n".join(lines)


def format_rows(rows: Sequence[dict[str, Any]]) -> str:
    """Returns documents of the same shape as an aligned table."""
    if not rows:
        return "  none"
    columns = list(rows[0])
    cells = [columns] + [
        [_text(row.get(column)) for column in columns] for row in rows
    ]
    widths = [
        max(len(line[index]) for line in cells) for index in range(len(columns))
    ]
    return "\n".join(_pad(line, widths) for line in cells)


def _pad(cells: Iterable[str], widths: Sequence[int]) -> str:
    padded = (
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    )
    return ("  " + "  ".join(padded)).rstrip()


def _format_pairs(pairs: dict[str, Any]) -> str:
    return "  ".join(f"{key}: {_text(value)}" for key, value in pairs.items())


def _text(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list):
        return ",".join(_text(item) for item in value) or "-"
    return str(value)
