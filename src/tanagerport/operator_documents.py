"""Documents that operators post, checked whole."""

import dataclasses
from collections.abc import Mapping
from typing import Annotated, TypeVar

import annotated_types
import pydantic

from tanagerport.exceptions import DocumentError
from tanagerport.model import FORBID_EXTRA, WorkClass
from tanagerport.settings import finding_of_error

_MAX_DEADLINE_S = 30 * 86400.0

_Text = Annotated[str, annotated_types.MinLen(1), annotated_types.MaxLen(64)]
_Reason = Annotated[str, annotated_types.MinLen(1), annotated_types.MaxLen(512)]
_OperationId = Annotated[str, annotated_types.MaxLen(128)]


@dataclasses.dataclass(frozen=True)
class ApplyDocument:
    """A change of classes.

    Attributes:
        operator: Who makes the change.
        classes: Classes to add or replace.
        remove_classes: Names of classes to remove.
        operation_id: Makes a repeat after a lost answer harmless.
        base_revisions: Revisions by record key that the operator saw, if the
            change must fail when another one came in between.
    """

    __pydantic_config__ = FORBID_EXTRA

    operator: _Text
    classes: tuple[WorkClass, ...] = ()
    remove_classes: tuple[str, ...] = ()
    operation_id: _OperationId = ""
    base_revisions: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class MoveDocument:
    """A rollout to start.

    Attributes:
        model: Model.
        version: Version to move to.
        deadline_s: Seconds from now.
        operator: Who asks for it.
        operation_id: Makes a repeat after a lost answer harmless.
    """

    __pydantic_config__ = FORBID_EXTRA

    model: _Text
    version: _Text
    deadline_s: Annotated[
        float, annotated_types.Ge(1), annotated_types.Le(_MAX_DEADLINE_S)
    ]
    operator: _Text
    operation_id: _OperationId = ""


@dataclasses.dataclass(frozen=True)
class TakeBackDocument:
    """A rollback that an operator orders.

    Attributes:
        model: Model.
        version: Version that must get no new work.
        reason: Why; kept with the version.
        operator: Who asks for it.
        operation_id: Accepted as in other documents; a repeat is harmless.
    """

    __pydantic_config__ = FORBID_EXTRA

    model: _Text
    version: _Text
    reason: _Reason
    operator: _Text = "operator"
    operation_id: _OperationId = ""


@dataclasses.dataclass(frozen=True)
class DrainDocument:
    """An upstream or entry node that must get no new work.

    Attributes:
        target: VM id of an upstream, or the id of the node asked.
        operator: Who asks for it.
        operation_id: Accepted as in other documents; a repeat is harmless.
    """

    __pydantic_config__ = FORBID_EXTRA

    target: _Text
    operator: _Text = "operator"
    operation_id: _OperationId = ""


_Document = TypeVar("_Document")


def parse_document(content: bytes, kind: type[_Document]) -> _Document:
    """Checks a document.

    Args:
        content: JSON text.
        kind: Class of the document.

    Raises:
        DocumentError: The document has findings; all are reported.
    """
    try:
        return pydantic.TypeAdapter(kind).validate_json(content)
    except pydantic.ValidationError as error:
        findings = [finding_of_error(item) for item in error.errors()]
        raise DocumentError("request", findings) from error
