"""Detection of peers whose host is gone while they owe an acknowledgement.

`TCP_USER_TIMEOUT` also ends connections whose peer is alive and does not read:
the kernel counts a closed receive window like bytes that nobody acknowledged.
Keep-alive probes are sent only while nothing is unacknowledged. In between, the
kernel tells whether the peer's host answers retransmissions and window probes.
Emulated kernels may leave these fields empty; there, a connection ends as with
`TCP_USER_TIMEOUT`.
"""

import asyncio
import time
import weakref
from collections.abc import Callable

from tanagerport.gateway.tcp_state import TcpState

# Time without an acknowledgement after which a host that left probes unanswered
# is gone, in seconds: that of the keep-alive probes of a quiet connection.
PEER_TIMEOUT_S = 4.0
# Probes that must be unanswered. The kernel sends them after 0.2 s, and then at
# twice the last interval, so that one may be on its way at any time.
_MIN_UNANSWERED_PROBES = 2
_CHECK_INTERVAL_S = 1.0


class PeerWatch:
    """Checks a connection while written bytes are unacknowledged.

    Args:
        read_state: Returns what the kernel knows of the connection.
        count_written: Returns the number of bytes written so far.
        on_gone: Called once the peer's host is gone.
    """

    def __init__(
        self,
        read_state: Callable[[], TcpState | None],
        count_written: Callable[[], int],
        on_gone: Callable[[], None],
    ) -> None:
        self._read_state = read_state
        self._count_written = count_written
        self._on_gone = on_gone
        self._round: _CheckRound | None = None
        self._acknowledged_bytes = 0
        self._stalled_since = 0.0
        # Whether the kernel has told when it last heard of the peer's host.
        self._has_told = False

    def record_write(self) -> None:
        """Records that bytes were written."""
        if self._round is None:
            self._stalled_since = time.monotonic()
            self._round = _find_round()
            self._round.watches.add(self)

    def stop(self) -> None:
        """Ends the checks."""
        if self._round is not None:
            self._round.watches.discard(self)
            self._round = None

    def check(self) -> None:
        """Checks the connection, and ends the checks if all is acknowledged."""
        state = self._read_state()
        if state is None or state.acknowledged_bytes >= self._count_written():
            self.stop()
        elif self._is_gone(state):
            self.stop()
            self._on_gone()

    def _is_gone(self, state: TcpState) -> bool:
        now = time.monotonic()
        if state.acknowledged_bytes != self._acknowledged_bytes:
            self._acknowledged_bytes = state.acknowledged_bytes
            self._stalled_since = now
        self._has_told |= state.silent_s > 0
        if not self._has_told:
            return now - self._stalled_since >= PEER_TIMEOUT_S
        return (
            state.unanswered_probes >= _MIN_UNANSWERED_PROBES
            and state.silent_s >= PEER_TIMEOUT_S
        )


class _CheckRound:
    """Checks the connections of an event loop together, in one wake-up."""

    def __init__(self) -> None:
        self.watches: set[PeerWatch] = set()
        self._schedule()

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_later(_CHECK_INTERVAL_S, self._run)

    def _run(self) -> None:
        for watch in tuple(self.watches):
            watch.check()
        self._schedule()


_rounds: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _CheckRound] = (
    weakref.WeakKeyDictionary()
)


def _find_round() -> _CheckRound:
    loop = asyncio.get_running_loop()
    found = _rounds.get(loop)
    if found is None:
        found = _rounds[loop] = _CheckRound()
    return found
