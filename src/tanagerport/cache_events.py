"""Reads the prefix cache events that engines publish."""

from collections.abc import Callable, Iterable

import msgspec
import structlog
import urllib3

from tanagerport.model import VM
from tanagerport.prefix_cache import CacheEvent

CacheEventSink = Callable[[str, Iterable[CacheEvent], bool], None]

_TIMEOUT_S = 1.0
_STORED = "stored"

_log = structlog.get_logger(__name__)


class _Event(msgspec.Struct):
    type: str
    model: str
    prefix_hash: int


class _Events(msgspec.Struct):
    """Answer to `GET /cache-events`; unknown fields are ignored."""

    events: list[_Event]
    next: int
    gap: bool = False


_decoder = msgspec.json.Decoder(_Events)


class CacheEventReader:
    """Reads each engine's events from where the last read ended.

    Args:
        sink: Takes the events of an engine, and whether some are missing.
    """

    def __init__(self, sink: CacheEventSink) -> None:
        self._sink = sink
        self._pool = urllib3.PoolManager(num_pools=256, retries=False)
        self._positions: dict[str, int] = {}

    def read(self, vm: VM) -> None:
        """Reads the new events of one engine.

        Events only improve a guess, so an engine that can't be read is left
        until the next round.
        """
        since = self._positions.get(vm.vm_id, 0)
        try:
            response = self._pool.request(
                "GET",
                f"http://{vm.address}/cache-events?since={since}",
                timeout=urllib3.Timeout(total=_TIMEOUT_S),
            )
            if response.status != 200:
                return
            message = _decoder.decode(response.data)
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            _log.debug(
                "cache_events_unread", upstream=vm.vm_id, error=str(error)
            )
            return
        # An engine that restarted counts from the beginning again.
        is_restarted = message.next < since
        self._positions[vm.vm_id] = message.next
        events = [
            CacheEvent(item.type == _STORED, item.model, item.prefix_hash)
            for item in message.events
        ]
        if events or message.gap or is_restarted:
            self._sink(vm.vm_id, events, message.gap or is_restarted)
