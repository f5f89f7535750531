"""Faults that the simulated platform injects into its services."""

import dataclasses
import errno
import threading
from collections.abc import Iterable, Mapping
from typing import Any

from tanagerport.clock import Clock
from tanagerport.findings import Finding

SERVICES = ("table", "objects", "vms", "weights")

_MAX_DELAY_S = 600.0


@dataclasses.dataclass(frozen=True)
class ServiceFaults:
    """Faults of one service.

    Attributes:
        down: Whether every call gets `503` without effect.
        delay_s: Seconds that each call takes longer.
        lose_answers: Whether the answers of writes are lost after the write
            took effect; a number loses those of the next writes only.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: bool | int = False


class AnswerLostError(ConnectionResetError):
    """Lets the server close the connection without an answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, "answer lost")


class FaultTable:
    """Faults by service. Safe for concurrent use.

    Args:
        clock: Source of time for delays.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._faults = {name: ServiceFaults() for name in SERVICES}

    def set(self, service: str, faults: ServiceFaults) -> None:
        """Sets the faults of a service."""
        with self._lock:
            self._faults[service] = faults

    def is_down(self, service: str) -> bool:
        """Returns whether a service refuses calls."""
        return self._faults[service].down

    def delay(self, service: str) -> None:
        """Waits as long as the service is slow."""
        delay_s = self._faults[service].delay_s
        if delay_s > 0:
            self._clock.sleep(delay_s)

    def after_write(self, service: str) -> None:
        """Loses the answer of a write that took effect.

        Raises:
            AnswerLostError: The answer is lost.
        """
        with self._lock:
            faults = self._faults[service]
            if not faults.lose_answers:
                return
            if faults.lose_answers is not True:
                self._faults[service] = dataclasses.replace(
                    faults, lose_answers=faults.lose_answers - 1
                )
        raise AnswerLostError


def parse_faults(
    document: Mapping[str, Any],
) -> tuple[str, ServiceFaults] | list[Finding]:
    """Returns the service and its faults, or all findings."""
    findings = list(_check(document))
    if findings:
        return findings
    return document["service"], ServiceFaults(
        document.get("down", False),
        float(document.get("delay_s", 0.0)),
        document.get("lose_answers", False),
    )


def _check(document: Mapping[str, Any]) -> Iterable[Finding]:
    if document.get("service") not in SERVICES:
        yield Finding("service", f"must be one of {', '.join(SERVICES)}")
    if not isinstance(document.get("down", False), bool):
        yield Finding("down", "must be true or false")
    delay_s = document.get("delay_s", 0.0)
    if not isinstance(delay_s, int | float) or not 0 <= delay_s <= _MAX_DELAY_S:
        yield Finding("delay_s", f"must be 0 to {_MAX_DELAY_S:g} seconds")
    lose = document.get("lose_answers", False)
    if not isinstance(lose, int) or lose < 0:
        yield Finding("lose_answers", "must be true, false or a count")
    for field in document.keys() - {
        "service",
        "down",
        "delay_s",
        "lose_answers",
    }:
        yield Finding(field, "is not a known field")
