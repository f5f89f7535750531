"""Checks of a configuration change as a whole."""

import dataclasses
from collections.abc import Iterator, Mapping

import pydantic

from tanagerport.config_records import ConfigChange, Conviction
from tanagerport.findings import Finding
from tanagerport.model import FINAL_MOVE_STATES, VersionMove, WorkClass
from tanagerport.settings import finding_of_error

_CLASS = pydantic.TypeAdapter(WorkClass)
_MOVE = pydantic.TypeAdapter(VersionMove)

Convictions = Mapping[tuple[str, str], str]


def check_change(
    change: ConfigChange,
    classes: Mapping[str, WorkClass],
    moves: Mapping[str, VersionMove],
    convictions: Convictions,
) -> list[Finding]:
    """Returns all findings of a change against the configuration in force.

    Args:
        change: Change to check.
        classes: Classes in force.
        moves: Moves in force.
        convictions: Versions that are known to be bad.
    """
    findings = [*_check_fields(change), *_check_repeated(change)]
    if findings:
        # Cross checks of malformed parts would only repeat the findings.
        return findings
    result = {
        name: item
        for name, item in classes.items()
        if name not in change.remove_classes
    }
    result.update({item.name: item for item in change.classes})
    findings.extend(_check_removed(change, classes))
    findings.extend(_check_targets(change))
    findings.extend(_check_kinds(change, result))
    findings.extend(_check_moves(change, result, moves, convictions))
    return findings


def is_update(move: VersionMove, current: VersionMove | None) -> bool:
    """Returns whether a move continues the one that is in force."""
    return (
        current is not None
        and current.new_version == move.new_version
        and current.started == move.started
    )


def _check_fields(change: ConfigChange) -> Iterator[Finding]:
    for index, work_class in enumerate(change.classes):
        yield from _check_object(f"classes.{index}", work_class, _CLASS)
    for index, move in enumerate(change.moves):
        yield from _check_object(f"moves.{index}", move, _MOVE)
    for index, item in enumerate(change.convictions):
        yield from _check_conviction(f"convictions.{index}", item)
    if not (
        change.classes
        or change.remove_classes
        or change.moves
        or change.convictions
    ):
        yield Finding("change", "is empty")


def _check_object(
    place: str,
    item: WorkClass | VersionMove,
    adapter: pydantic.TypeAdapter[WorkClass]
    | pydantic.TypeAdapter[VersionMove],
) -> Iterator[Finding]:
    try:
        adapter.validate_python(dataclasses.asdict(item))
    except pydantic.ValidationError as error:
        for detail in error.errors():
            finding = finding_of_error(detail)
            yield Finding(f"{place}.{finding.place}", finding.message)


def _check_conviction(place: str, item: Conviction) -> Iterator[Finding]:
    for field in ("model", "version"):
        if not getattr(item, field):
            yield Finding(f"{place}.{field}", "must not be empty")


def _check_repeated(change: ConfigChange) -> Iterator[Finding]:
    names = [item.name for item in change.classes]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Finding(f"classes.{index}", f"{name!r} is stated twice")
    for index, name in enumerate(change.remove_classes):
        place = f"remove_classes.{index}"
        if name in names:
            yield Finding(place, f"{name!r} is also stated in classes")
        if name in change.remove_classes[:index]:
            yield Finding(place, f"{name!r} is stated twice")
    models = [item.model for item in change.moves]
    for index, model in enumerate(models):
        if model in models[:index]:
            yield Finding(f"moves.{index}", f"{model!r} is moved twice")


def _check_removed(
    change: ConfigChange, classes: Mapping[str, WorkClass]
) -> Iterator[Finding]:
    for index, name in enumerate(change.remove_classes):
        if name not in classes:
            yield Finding(
                f"remove_classes.{index}", f"class {name!r} does not exist"
            )


def _check_targets(change: ConfigChange) -> Iterator[Finding]:
    for index, item in enumerate(change.classes):
        if item.first_token_target_s > item.deadline_s:
            yield Finding(
                f"classes.{index}.first_token_target_s",
                f"{item.first_token_target_s:g} s is longer than deadline_s,"
                f" {item.deadline_s:g} s",
            )


def _check_kinds(
    change: ConfigChange, result: Mapping[str, WorkClass]
) -> Iterator[Finding]:
    for index, item in enumerate(change.classes):
        for other in result.values():
            if other.model == item.model and other.kind != item.kind:
                yield Finding(
                    f"classes.{index}.kind",
                    f"{item.model!r} is of kind {other.kind.value} in class"
                    f" {other.name!r}",
                )
                break


def _check_moves(
    change: ConfigChange,
    classes: Mapping[str, WorkClass],
    moves: Mapping[str, VersionMove],
    convictions: Convictions,
) -> Iterator[Finding]:
    models = {item.model for item in classes.values()}
    for index, move in enumerate(change.moves):
        place = f"moves.{index}"
        current = moves.get(move.model)
        if is_update(move, current):
            # The controller of a running move must be able to end it, even
            # if its class or version is no longer accepted for a new move.
            continue
        if move.model not in models:
            yield Finding(
                f"{place}.model", f"no class uses model {move.model!r}"
            )
        if move.old_version == move.new_version:
            yield Finding(
                f"{place}.new_version",
                f"{move.new_version!r} is already the old version",
            )
        if move.deadline <= move.started:
            yield Finding(f"{place}.deadline", "is before the start")
        reason = convictions.get((move.model, move.new_version))
        if reason is not None:
            yield Finding(
                f"{place}.new_version",
                f"{move.new_version!r} is known to be bad: {reason}",
            )
        if current is not None and current.state not in FINAL_MOVE_STATES:
            yield Finding(
                f"{place}.model",
                f"a move of {move.model!r} to {current.new_version!r} is in"
                f" state {current.state.value!r}",
            )
