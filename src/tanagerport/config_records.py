"""Formats of configuration records in the table service."""

import dataclasses
import urllib.parse
from collections.abc import Mapping, Sequence
from typing import Any, TypeVar

import msgspec

from tanagerport.model import VersionMove, WorkClass

HEAD_KEY = "head"
LOG_PREFIX = "log/"
CLASS_PREFIX = "class/"
MOVE_PREFIX = "move/"
CONVICTION_PREFIX = "conviction/"
RECORD_PREFIXES = (CLASS_PREFIX, MOVE_PREFIX, CONVICTION_PREFIX)

# Zero-padded, so that keys sort by version.
_VERSION_DIGITS = 12

_Item = TypeVar("_Item")


@dataclasses.dataclass(frozen=True)
class Conviction:
    """A version that is known to be bad."""

    model: str
    version: str
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class ConfigChange:
    """A change that is accepted whole or not at all.

    Attributes:
        classes: Classes to add or replace.
        remove_classes: Names of classes to remove.
        moves: Version moves to start or update.
        convictions: Versions that are known to be bad.
        base_revisions: Revision by record key that the change is based on;
            records that are not named use the node's view.
    """

    classes: tuple[WorkClass, ...] = ()
    remove_classes: tuple[str, ...] = ()
    moves: tuple[VersionMove, ...] = ()
    convictions: tuple[Conviction, ...] = ()
    base_revisions: Mapping[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Acceptance:
    """Proof that a change is durable.

    Attributes:
        operation_id: Id of the operation.
        version: Configuration version that holds the change.
        accepted_at: Epoch seconds.
    """

    operation_id: str
    version: int
    accepted_at: float


class RecordBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Content of a record.

    Attributes:
        version: Configuration version that wrote it.
        operator: Who wrote it.
        operation_id: Operation that wrote it.
        at: Epoch seconds of the write.
        value: Fields of the class, move or conviction; None if removed.
    """

    version: int
    operator: str
    operation_id: str
    at: float
    value: dict[str, Any] | None = None


class ConfigEntry(msgspec.Struct, frozen=True):
    """A record with its key and revision."""

    key: str
    revision: int
    body: RecordBody


class LogEntry(msgspec.Struct, frozen=True):
    """A change as written to the log."""

    version: int
    operation_id: str
    operator: str
    at: float
    records: list[ConfigEntry]


class Head(msgspec.Struct, frozen=True):
    """Content of the head record."""

    version: int


_body_decoder = msgspec.json.Decoder(RecordBody)
_log_decoder = msgspec.json.Decoder(LogEntry)
_head_decoder = msgspec.json.Decoder(Head)
encode = msgspec.json.Encoder().encode


def decode_body(content: bytes) -> RecordBody:
    """Decodes the content of a record."""
    return _body_decoder.decode(content)


def decode_log(content: bytes) -> LogEntry:
    """Decodes a log entry."""
    return _log_decoder.decode(content)


def decode_head(content: bytes) -> Head:
    """Decodes the head record."""
    return _head_decoder.decode(content)


def decode_value(value: dict[str, Any], kind: type[_Item]) -> _Item:
    """Returns a record's value as an object.

    Fields that this release does not know are ignored, so that nodes of two
    releases can run side by side.

    Raises:
        msgspec.ValidationError: A field is missing or has another type.
    """
    return msgspec.convert(value, kind)


def log_key(version: int) -> str:
    """Returns the key of a log entry."""
    return f"{LOG_PREFIX}{version:0{_VERSION_DIGITS}}"


def class_key(name: str) -> str:
    """Returns the key of a class record."""
    return f"{CLASS_PREFIX}{name}"


def move_key(model: str) -> str:
    """Returns the key of a version move record."""
    return f"{MOVE_PREFIX}{model}"


def conviction_key(model: str, version: str) -> str:
    """Returns the key of a conviction; names may contain a slash."""
    parts = (urllib.parse.quote(part, safe="") for part in (model, version))
    return CONVICTION_PREFIX + "/".join(parts)


def values_of_change(change: ConfigChange) -> dict[str, dict[str, Any] | None]:
    """Returns the new value of each record that a change writes."""
    values: dict[str, dict[str, Any] | None] = {}
    for work_class in change.classes:
        values[class_key(work_class.name)] = msgspec.to_builtins(work_class)
    for name in change.remove_classes:
        values[class_key(name)] = None
    for move in change.moves:
        values[move_key(move.model)] = msgspec.to_builtins(move)
    for item in change.convictions:
        key = conviction_key(item.model, item.version)
        values[key] = msgspec.to_builtins(item)
    return values


def describe_difference(
    old: Mapping[str, Any] | None, new: Mapping[str, Any] | None
) -> Sequence[str]:
    """Returns what differs between two values, one text for each field."""
    if new is None:
        return ["removed"]
    if old is None:
        return ["created"]
    return [
        f"{field}: {old.get(field)!r} -> {new.get(field)!r}"
        for field in sorted(old.keys() | new.keys())
        if old.get(field) != new.get(field)
    ]
