"""Delivery of claim outcomes to the home nodes of a key."""

import collections
import threading
from collections.abc import Iterable

import structlog

from tanagerport.exceptions import PeerError
from tanagerport.interfaces import PeerNetwork
from tanagerport.peer_pb2 import SettleRequest

_CALL_TIMEOUT_S = 0.5
_MAX_PENDING = 10_000
_MAX_ATTEMPTS = 20
_RETRY_INTERVAL_S = 0.5

_log = structlog.get_logger(__name__)


class Settlements:
    """Sends outcomes; what is not delivered is sent again for a while.

    Args:
        peers: Calls between nodes.
        max_pending: Undelivered outcomes kept; the oldest are dropped.
    """

    def __init__(
        self, peers: PeerNetwork, max_pending: int = _MAX_PENDING
    ) -> None:
        self._peers = peers
        self._condition = threading.Condition()
        self._pending: collections.deque[tuple[str, SettleRequest, int]] = (
            collections.deque(maxlen=max_pending)
        )
        self._thread: threading.Thread | None = None
        self._stopping = threading.Event()

    @property
    def pending(self) -> int:
        """Number of outcomes not yet delivered."""
        return len(self._pending)

    def send_now(self, node_ids: Iterable[str], message: SettleRequest) -> None:
        """Sends an outcome in the calling thread.

        The next resend of the caller depends on it. What is not delivered
        is sent again in the background.
        """
        for node_id in node_ids:
            if not self._deliver(node_id, message):
                self._enqueue(node_id, message)

    def flush(self) -> None:
        """Tries to deliver each pending outcome once."""
        for _ in range(len(self._pending)):
            try:
                node_id, message, attempts = self._pending.popleft()
            except IndexError:
                return
            if self._deliver(node_id, message):
                continue
            if attempts + 1 < _MAX_ATTEMPTS:
                self._pending.append((node_id, message, attempts + 1))
            else:
                _log.warning(
                    "claim_outcome_not_delivered",
                    node=node_id,
                    request_id=message.request_id,
                )

    def stop(self) -> None:
        """Ends the background thread."""
        with self._condition:
            self._stopping.set()
            self._condition.notify_all()

    def _deliver(self, node_id: str, message: SettleRequest) -> bool:
        try:
            self._peers.call(node_id, "Settle", message, _CALL_TIMEOUT_S)
        except (PeerError, RuntimeError):
            # RuntimeError: the event loop of the peers has ended.
            return False
        return True

    def _enqueue(self, node_id: str, message: SettleRequest) -> None:
        with self._condition:
            self._pending.append((node_id, message, 1))
            if self._thread is None and not self._stopping.is_set():
                self._thread = threading.Thread(
                    target=self._run, name="settlements", daemon=True
                )
                self._thread.start()
            self._condition.notify_all()

    def _run(self) -> None:
        while True:
            with self._condition:
                while not self._pending and not self._stopping.is_set():
                    self._condition.wait()
                if self._stopping.is_set():
                    return
            # New outcomes don't cut this short: each wakeup would use up
            # an attempt of all others.
            if self._stopping.wait(_RETRY_INTERVAL_S):
                return
            self.flush()
