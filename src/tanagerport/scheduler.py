"""Interface of schedulers, and a scheduler with fixed slots."""

import dataclasses
import itertools
import threading
from collections.abc import Callable, Sequence
from typing import Protocol, runtime_checkable

from tanagerport.clock import Clock
from tanagerport.exceptions import RefusedError
from tanagerport.model import VM, Refusal, RefusalReason, Request, VMState


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a dispatch.

    Attributes:
        complete: Whether the complete answer arrived.
        started: Whether the upstream may have started the request.
        first_token_s: Seconds from dispatch to the first byte.
        duration_s: Seconds from dispatch to the end.
        output_tokens: Number of tokens in the answer.
        cached_tokens: Number of prompt tokens that the upstream had cached.
    """

    complete: bool
    started: bool = True
    first_token_s: float | None = None
    duration_s: float = 0.0
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Placement:
    """A slot of an upstream, held for one dispatch.

    Attributes:
        placement_id: Identifier, unique within the node.
        request: Request that holds the slot.
        vm: Upstream to dispatch to.
        version: Version of the model; empty for the default of the upstream.
    """

    placement_id: int
    request: Request
    vm: VM
    version: str = ""


class DispatchControl(Protocol):
    """Control over a dispatch in progress, implemented by the pipeline."""

    @property
    def can_pause(self) -> bool:
        """Whether the upstream can pause this dispatch and resume it."""

    def pause(self) -> bool:
        """Pauses the dispatch; returns whether the upstream confirmed."""

    def resume(self) -> bool:
        """Resumes the dispatch; returns whether the upstream confirmed."""

    def cancel(self, reason: RefusalReason) -> None:
        """Cancels the dispatch; the client gets an error with the reason."""


@runtime_checkable
class DispatchProgress(Protocol):
    """Progress of a dispatch.

    A `DispatchControl` that also implements this protocol lets the scheduler
    detect a slow upstream before its answers are complete.
    """

    @property
    def first_token_s(self) -> float | None:
        """Seconds from dispatch to the first token; None before it arrives."""

    @property
    def output_tokens(self) -> int:
        """Number of tokens received so far."""


class Scheduler(Protocol):
    """Assigns slots to requests, most important tier first."""

    def acquire(
        self, request: Request, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Waits for a slot.

        Args:
            request: Request to dispatch.
            excluded: Upstreams on which this request already failed.

        Raises:
            RefusedError: The request can't be served in time.
        """

    def attach(self, placement: Placement, control: DispatchControl) -> None:
        """Registers the control over a dispatch that has started."""

    def release(self, placement: Placement, outcome: Outcome) -> None:
        """Releases a slot and records the outcome of its dispatch."""

    def stop_admitting(self) -> None:
        """Refuses waiting and new requests with `draining`."""


class StaticScheduler:
    """Scheduler with a fixed number of slots for each upstream.

    Args:
        upstreams: Returns the upstreams that may be used.
        clock: Source of time.
        queue_limit: Maximum number of waiting requests.
    """

    def __init__(
        self,
        upstreams: Callable[[], Sequence[VM]],
        clock: Clock,
        queue_limit: int,
    ) -> None:
        self._upstreams = upstreams
        self._clock = clock
        self._queue_limit = queue_limit
        self._condition = threading.Condition()
        self._in_use: dict[str, int] = {}
        self._waiting: list[tuple[int, float, int]] = []
        self._ids = itertools.count(1)
        self._draining = False

    def acquire(
        self, request: Request, excluded: frozenset[str] = frozenset()
    ) -> Placement:
        """Waits for a slot, in order of tier number and then of deadline."""
        entry = (
            request.work_class.tier,
            request.deadline_at,
            next(self._ids),
        )
        with self._condition:
            if len(self._waiting) >= self._queue_limit:
                raise _refused_error(
                    RefusalReason.QUEUE_FULL, "the queue is full"
                )
            self._waiting.append(entry)
            self._waiting.sort()
            try:
                return self._wait(request, entry, excluded)
            finally:
                self._waiting.remove(entry)
                self._condition.notify_all()

    def attach(self, placement: Placement, control: DispatchControl) -> None:
        """Does nothing, because this scheduler never preempts."""

    def release(self, placement: Placement, outcome: Outcome) -> None:
        """Releases a slot."""
        del outcome
        with self._condition:
            self._in_use[placement.vm.vm_id] -= 1
            self._condition.notify_all()

    def stop_admitting(self) -> None:
        """Refuses waiting and new requests with `draining`."""
        with self._condition:
            self._draining = True
            self._condition.notify_all()

    def _wait(
        self,
        request: Request,
        entry: tuple[int, float, int],
        excluded: frozenset[str],
    ) -> Placement:
        while True:
            if self._draining:
                raise _refused_error(
                    RefusalReason.DRAINING, "the node is draining"
                )
            remaining_s = request.deadline_at - self._clock.monotonic()
            if remaining_s <= 0:
                raise _refused_error(
                    RefusalReason.DEADLINE_PASSED,
                    "the deadline passed before a slot was free",
                )
            vm = self._choose_free_upstream(request, excluded)
            if vm is not None:
                used = self._in_use.get(vm.vm_id, 0)
                self._in_use[vm.vm_id] = used + 1
                return Placement(entry[2], request, vm)
            self._condition.wait(min(remaining_s, 0.05))

    def _choose_free_upstream(
        self, request: Request, excluded: frozenset[str]
    ) -> VM | None:
        model = request.work_class.model
        candidates = [
            vm
            for vm in self._upstreams()
            if model in vm.serves
            and vm.state is VMState.LIVE
            and vm.vm_id not in excluded
        ]
        if not candidates:
            raise _refused_error(
                RefusalReason.NO_UPSTREAM, f"no upstream serves {model}"
            )
        free = [
            vm for vm in candidates if self._in_use.get(vm.vm_id, 0) < vm.slots
        ]
        if not free:
            return None
        return min(
            free, key=lambda vm: self._in_use.get(vm.vm_id, 0) / vm.slots
        )


def _refused_error(reason: RefusalReason, message: str) -> RefusedError:
    return RefusedError(Refusal(reason, message, retry_after_s=1.0))
