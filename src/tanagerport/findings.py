"""Findings about a document, each with its place, reported together."""

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem in a document.

    Attributes:
        place: Path to the value, such as `classes.drill-set.tier`.
        message: What is wrong, with the accepted range.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}"


def format_findings(findings: Iterable[Finding]) -> str:
    """Returns the findings as text, one a line."""
    return "\n".join(str(finding) for finding in findings)
