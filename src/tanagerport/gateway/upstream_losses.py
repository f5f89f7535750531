"""Detection of upstreams that were lost with requests in progress.

A request that breaks off may have met a faulty connection, a faulty upstream or
the end of the upstream's process. Only the last one ends all its requests, so
an upstream is lost if it also accepts no new connection.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.counters import Counters
from tanagerport.gateway.crash_evidence import format_key
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.upstream_pool import UpstreamPool
from tanagerport.gateway.work_item import ESTABLISHED_EVENTS, WorkItem

# Timeout of the connection attempt, in seconds.
_CONNECT_TIMEOUT_S = 0.4
# Time in which the other requests at a lost upstream break off, in seconds.
_COLLECTION_S = 0.1
# Requests that one log line names.
_MAX_LOGGED_REQUESTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A request that an upstream held when its connection broke off.

    Attributes:
        item: The request.
        event_count: Number of events of its answer that had arrived.
    """

    item: WorkItem
    event_count: int

    @property
    def has_begun(self) -> bool:
        """Whether the upstream had begun to answer."""
        return self.event_count > 0

    @property
    def is_established(self) -> bool:
        """Whether the answer was well beyond its first event."""
        return self.event_count >= ESTABLISHED_EVENTS


@dataclasses.dataclass(slots=True)
class _Suspicion:
    held: list[HeldRequest]
    is_lost: asyncio.Future[bool]


class LossDetector:
    """Confirms losses of upstreams and tells which requests they held.

    Args:
        pool: Opens connections to upstreams.
        counters: Metrics of the process.
        log: Decision log.
        on_loss: Called for each request that a lost upstream held.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        counters: Counters,
        log: DecisionLog,
        on_loss: Callable[[UpstreamRecord, HeldRequest], None] | None = None,
    ) -> None:
        self._pool = pool
        self._counters = counters
        self._log = log
        self._on_loss = on_loss
        self._suspicions: dict[str, _Suspicion] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record_break(
        self, upstream: UpstreamRecord, held: HeldRequest
    ) -> asyncio.Future[bool]:
        """Records that an upstream ended the connection of a request.

        Returns:
            Whether the upstream is lost, once that is known.
        """
        suspicion = self._suspicions.get(upstream.upstream_id)
        if suspicion is None:
            loop = asyncio.get_running_loop()
            suspicion = _Suspicion([held], loop.create_future())
            self._suspicions[upstream.upstream_id] = suspicion
            task = loop.create_task(self._confirm(upstream, suspicion))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return suspicion.is_lost
        suspicion.held.append(held)
        if suspicion.is_lost.done() and suspicion.is_lost.result():
            self._report(upstream, held)
        return suspicion.is_lost

    async def _confirm(
        self, upstream: UpstreamRecord, suspicion: _Suspicion
    ) -> None:
        try:
            channel = await self._open_connection(upstream)
            is_lost = channel is None
            if channel is not None:
                self._pool.release(upstream, channel, None)
            if is_lost:
                for held in suspicion.held:
                    self._report(upstream, held)
            suspicion.is_lost.set_result(is_lost)
            await asyncio.sleep(_COLLECTION_S)
            if is_lost:
                self._log_loss(upstream, suspicion.held)
        finally:
            if not suspicion.is_lost.done():
                suspicion.is_lost.set_result(False)
            del self._suspicions[upstream.upstream_id]

    async def _open_connection(
        self, upstream: UpstreamRecord
    ) -> Channel | None:
        try:
            return await self._pool.open(upstream, _CONNECT_TIMEOUT_S)
        except ConnectionError:
            return None

    def _report(self, upstream: UpstreamRecord, held: HeldRequest) -> None:
        if self._on_loss is not None:
            self._on_loss(upstream, held)

    def _log_loss(
        self, upstream: UpstreamRecord, all_held: list[HeldRequest]
    ) -> None:
        waiting = [held for held in all_held if not held.has_begun]
        accused = [held for held in all_held if not held.is_established]
        self._counters.upstream_losses[
            "before_answer" if waiting else "during_answers"
        ] += 1
        self._log.warning(
            "upstream_lost",
            upstream=upstream.upstream_id,
            service=upstream.service,
            held=len(all_held),
            begun=len(all_held) - len(waiting),
            accused_late=[
                {
                    "request": held.item.request_id,
                    "key": format_key(held.item.request_key),
                }
                for held in all_held
                if held.is_established
            ][:_MAX_LOGGED_REQUESTS],
            accused=[
                {
                    "request": held.item.request_id,
                    "parts": format_parts(held.item),
                    "keys": [format_key(key) for key in held.item.part_keys],
                }
                for held in accused[:_MAX_LOGGED_REQUESTS]
            ],
        )


def format_parts(item: WorkItem) -> str:
    """Returns the ids of a request's prompt parts for the log."""
    return ",".join(part.part_id for part in item.work.parts)
