"""Whether a node started together with its zone, as the store knows it."""

import contextlib
import threading

import msgspec
import structlog

from tanagerport.clock import Clock
from tanagerport.exceptions import PlatformError, StoreConflictError
from tanagerport.platform_api import Condition, Record, TableStore, Write

_ZONE_PREFIX = "zonestart/zone/"
_NODE_PREFIX = "zonestart/node/"
# Nodes of a new deployment start within this time.
_FIRST_START_S = 60.0
_RETRY_S = 1.0

_log = structlog.get_logger(__name__)


class _Start(msgspec.Struct, frozen=True):
    at: float
    boot_id: str = ""


_DECODER = msgspec.json.Decoder(_Start)


class ZoneStart:
    """Records in the table service when zones and nodes started.

    A node that starts with the deployment remembers all claims of its zone.
    Nodes alone can't know that: where all were replaced, none remembers that
    there were claims. Two small transactions at the first start of a node
    settle it.

    Args:
        table: Table service.
        zone: Zone of the node.
        node_id: Name of the node.
        boot_id: Identity of the process.
        clock: Source of time.
    """

    def __init__(
        self,
        table: TableStore,
        zone: str,
        node_id: str,
        boot_id: str,
        clock: Clock,
    ) -> None:
        self._table = table
        self._zone_key = f"{_ZONE_PREFIX}{zone}"
        self._node_key = f"{_NODE_PREFIX}{zone}/{node_id}"
        self._start = _Start(clock.time(), boot_id)
        self._is_first = False
        self._stopping = threading.Event()

    @property
    def is_first(self) -> bool:
        """Whether no key was claimed before; False until known."""
        return self._is_first

    def start(self) -> None:
        """Asks the table service in the background until it answers."""
        threading.Thread(
            target=self._run, name="zone-start", daemon=True
        ).start()

    def stop(self) -> None:
        """Ends the background thread."""
        self._stopping.set()

    def check(self) -> bool:
        """Asks the table service.

        Returns:
            Whether it answered.
        """
        try:
            self._record(self._zone_key)
            node = self._record(self._node_key)
            # A zone that is added later takes over keys of older zones.
            earliest = min(
                _DECODER.decode(record.value).at
                for record in self._table.scan(_ZONE_PREFIX)
            )
        except PlatformError as error:
            _log.info("zone_start_unknown", error=str(error))
            return False
        self._is_first = (
            node.boot_id == self._start.boot_id
            and self._start.at - earliest < _FIRST_START_S
        )
        return True

    def _run(self) -> None:
        while not self.check():
            if self._stopping.wait(_RETRY_S):
                return

    def _record(self, key: str) -> _Start:
        """Writes this start if there is no earlier one; returns the first."""
        record = self._table.get(key)
        if record is None:
            record = self._put(key)
        return _DECODER.decode(record.value)

    def _put(self, key: str) -> Record:
        value = msgspec.json.encode(self._start)
        # On a conflict, another node of the zone was first.
        with contextlib.suppress(StoreConflictError):
            self._table.transact([Condition(key, 0)], [Write(key, value)])
        record = self._table.get(key)
        if record is None:
            raise PlatformError(f"record {key} can't be read back")
        return record
