"""Waiting requests in the order in which they are to be placed."""

import bisect
import heapq
import itertools
import math
from collections.abc import Iterator
from typing import Generic, TypeVar

from tanagerport.gateway.work_item import WorkItem

_Entry = TypeVar("_Entry")
_Key = tuple[int, int, float, int]


class WaitingList(Generic[_Entry]):
    """Entries ordered by rank, without sorting them again as time passes.

    Requests that can still meet their target precede those that can't, and
    become late one by one. If they were ordered by target alone, all would be
    late under overload. The customer's tier takes precedence over the route's
    tier.
    """

    def __init__(self) -> None:
        self._on_time: list[tuple[_Key, _Entry]] = []
        self._late: list[tuple[_Key, _Entry]] = []
        # Time at which each entry becomes late; removed entries are skipped.
        self._late_times: list[tuple[float, int]] = []
        self._items: dict[int, tuple[WorkItem, _Entry, bool]] = {}
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: WorkItem, entry: _Entry, now: float) -> int:
        """Adds an entry and returns a number that identifies it."""
        number = next(self._sequence)
        is_late = _is_late(item, now)
        self._items[number] = (item, entry, is_late)
        if is_late:
            bisect.insort(
                self._late, (_late_key(item, number), entry), key=_key
            )
        else:
            bisect.insort(
                self._on_time, (_on_time_key(item, number), entry), key=_key
            )
            heapq.heappush(self._late_times, (_late_at(item), number))
        return number

    def remove(self, number: int) -> None:
        """Removes an entry; does nothing if it was removed before."""
        found = self._items.pop(number, None)
        if found is None:
            return
        item, _, is_late = found
        entries = self._late if is_late else self._on_time
        key = _late_key(item, number) if is_late else _on_time_key(item, number)
        index = bisect.bisect_left(entries, key, key=_key)
        del entries[index]

    def ordered(self, now: float, limit: int) -> Iterator[tuple[int, _Entry]]:
        """Returns the first entries in order, with their numbers.

        Args:
            now: Monotonic time, in seconds.
            limit: Maximum number of entries that can still meet their target,
                and of those that can't.
        """
        self._move_late(now)
        chosen = self._on_time[:limit] + self._late[:limit]
        return ((key[-1], entry) for key, entry in chosen)

    def count_ahead(self, item: WorkItem, now: float) -> int:
        """Returns the number of entries that precede a new request."""
        self._move_late(now)
        last = len(self._items) + next(self._sequence)
        if _is_late(item, now):
            return len(self._on_time) + bisect.bisect_right(
                self._late, _late_key(item, last), key=_key
            )
        return bisect.bisect_right(
            self._on_time, _on_time_key(item, last), key=_key
        )

    def clear(self) -> list[_Entry]:
        """Removes all entries and returns them."""
        entries = [entry for _, entry, _ in self._items.values()]
        self._items.clear()
        self._on_time.clear()
        self._late.clear()
        self._late_times.clear()
        return entries

    def _move_late(self, now: float) -> None:
        while self._late_times and self._late_times[0][0] < now:
            _, number = heapq.heappop(self._late_times)
            found = self._items.get(number)
            if found is None:
                continue
            item, entry, _ = found
            index = bisect.bisect_left(
                self._on_time, _on_time_key(item, number), key=_key
            )
            del self._on_time[index]
            bisect.insort(
                self._late, (_late_key(item, number), entry), key=_key
            )
            self._items[number] = (item, entry, True)


def _late_at(item: WorkItem) -> float:
    """Returns the time after which a request can't meet its target."""
    if math.isinf(item.best_first_byte_s):
        # No upstream is usable now, which may change.
        return item.target_at
    return item.target_at - item.best_first_byte_s


def _is_late(item: WorkItem, now: float) -> bool:
    return now > _late_at(item)


def _on_time_key(item: WorkItem, number: int) -> _Key:
    return (item.tier, item.route.tier, item.target_at, number)


def _late_key(item: WorkItem, number: int) -> _Key:
    return (item.tier, item.route.tier, item.deadline_at, number)


def _key(pair: tuple[_Key, object]) -> _Key:
    return pair[0]
