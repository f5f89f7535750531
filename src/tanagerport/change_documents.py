"""Documents by which operators change classes."""

import dataclasses
import json

import pydantic

from tanagerport.exceptions import DocumentError
from tanagerport.findings import Finding
from tanagerport.model import FORBID_EXTRA, WorkClass
from tanagerport.settings import finding_of_error


@dataclasses.dataclass(frozen=True)
class ChangeDocument:
    """A change of classes.

    Attributes:
        classes: Classes to add or replace.
        remove_classes: Names of classes to remove.
    """

    __pydantic_config__ = FORBID_EXTRA

    classes: tuple[WorkClass, ...] = ()
    remove_classes: tuple[str, ...] = ()


_ADAPTER = pydantic.TypeAdapter(ChangeDocument)


def parse_change_document(
    content: bytes, source: str = "change"
) -> ChangeDocument:
    """Checks a change document.

    Args:
        content: JSON text.
        source: Name of the document in error messages.

    Returns:
        The checked change.

    Raises:
        DocumentError: The document has findings; all are reported.
    """
    try:
        change = _ADAPTER.validate_json(content)
    except pydantic.ValidationError as error:
        findings = [finding_of_error(item) for item in error.errors()]
        raise DocumentError(source, findings) from error
    findings = _cross_check(change)
    if findings:
        raise DocumentError(source, findings)
    return change


def change_document(change: ChangeDocument) -> bytes:
    """Returns a change as JSON text."""
    return json.dumps(dataclasses.asdict(change)).encode()


def _cross_check(change: ChangeDocument) -> list[Finding]:
    findings = []
    names = [item.name for item in change.classes]
    for index, name in enumerate(names):
        if name in names[:index]:
            findings.append(
                Finding(f"classes.{index}.name", f"{name!r} is stated twice")
            )
        if name in change.remove_classes:
            findings.append(
                Finding(
                    f"classes.{index}.name",
                    f"{name!r} is also in remove_classes",
                )
            )
    if not names and not change.remove_classes:
        findings.append(
            Finding(
                "document", "changes nothing: state classes or remove_classes"
            )
        )
    return findings
