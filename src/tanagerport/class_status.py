"""Whether each class meets its target, over a sliding window."""

import dataclasses
import threading
from collections.abc import Mapping, Sequence

from tanagerport.clock import Clock
from tanagerport.model import WorkClass

WINDOW_S = 60.0
_BUCKETS = 12
_BUCKET_S = WINDOW_S / _BUCKETS


@dataclasses.dataclass
class _Bucket:
    """Outcomes of one class in a part of the window."""

    number: int
    met: int = 0
    total: int = 0
    refused: int = 0


@dataclasses.dataclass(frozen=True)
class ClassStatus:
    """How a class did in the window.

    Attributes:
        name: Name of the class.
        tier: Tier of the class.
        state: `met`, `missed` or `no requests`.
        share: Share of requests that met the targets; None without requests.
        target: Share that must meet them.
        requests: Requests that ended, refused ones included.
        refused: Requests that were refused.
    """

    name: str
    tier: int
    state: str
    share: float | None
    target: float
    requests: int
    refused: int


class ClassStatusTracker:
    """Counts outcomes of requests by class.

    Keeps counts for parts of the window, so its size does not depend on the
    number of requests.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[str, list[_Bucket]] = {}

    def record(self, class_name: str, met: bool, refused: bool = False) -> None:
        """Counts a request that ended.

        Args:
            class_name: Class of the request.
            met: Whether it was answered whole within the class's targets.
            refused: Whether it was refused, which also misses the targets.
        """
        with self._lock:
            bucket = self._bucket(class_name)
            bucket.total += 1
            bucket.met += met
            bucket.refused += refused

    def report(self, classes: Mapping[str, WorkClass]) -> Sequence[ClassStatus]:
        """Returns the status of each class, by tier and name."""
        ordered = sorted(
            classes.values(), key=lambda item: (item.tier, item.name)
        )
        with self._lock:
            return [self._status(item) for item in ordered]

    def _bucket(self, class_name: str) -> _Bucket:
        number = int(self._clock.monotonic() / _BUCKET_S)
        buckets = self._buckets.setdefault(class_name, [])
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
            del buckets[: -_BUCKETS - 1]
        return buckets[-1]

    def _status(self, work_class: WorkClass) -> ClassStatus:
        oldest = int(self._clock.monotonic() / _BUCKET_S) - _BUCKETS
        recent = [
            bucket
            for bucket in self._buckets.get(work_class.name, ())
            if bucket.number > oldest
        ]
        total = sum(bucket.total for bucket in recent)
        share = sum(bucket.met for bucket in recent) / total if total else None
        if share is None:
            state = "no requests"
        else:
            state = "met" if share >= work_class.success_target else "missed"
        return ClassStatus(
            work_class.name,
            work_class.tier,
            state,
            share,
            work_class.success_target,
            total,
            sum(bucket.refused for bucket in recent),
        )
