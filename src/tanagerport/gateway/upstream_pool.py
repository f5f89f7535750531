"""Connections to upstreams, kept open between calls."""

import collections
import dataclasses
import time
from collections.abc import Callable

from tanagerport.gateway.channel import Channel, open_channel
from tanagerport.gateway.domain import UpstreamRecord

# A kept connection is closed this long before the upstream's own time limit,
# so that no request meets the upstream's close on the way.
_IDLE_MARGIN_S = 1.0
# Idle time without a stated limit; below the shortest limit that is usual.
_DEFAULT_IDLE_S = 4.0
_MAX_IDLE_S = 30.0


@dataclasses.dataclass(slots=True)
class _IdleChannel:
    channel: Channel
    expires_at: float


class UpstreamPool:
    """Idle connections by upstream.

    Args:
        idle_limit: Returns the idle connections that may be kept to an
            upstream of a service.
    """

    def __init__(self, idle_limit: Callable[[str], int]) -> None:
        self._idle_limit = idle_limit
        self._idle: dict[str, collections.deque[_IdleChannel]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Connections that were opened."""
        return self._opened

    def take_idle(self, upstream: UpstreamRecord) -> Channel | None:
        """Returns a kept connection that can still be used."""
        idle = self._idle.get(upstream.upstream_id)
        now = time.monotonic()
        while idle:
            entry = idle.pop()
            channel = entry.channel
            if (
                channel.is_open
                and not channel.has_unread
                and entry.expires_at > now
            ):
                return channel
            channel.abort()
        return None

    async def open(self, upstream: UpstreamRecord, timeout_s: float) -> Channel:
        """Opens a connection.

        Raises:
            ConnectionError: There was no connection in time.
        """
        channel = await open_channel(upstream.host, upstream.port, timeout_s)
        self._opened += 1
        return channel

    def put_back(
        self,
        upstream: UpstreamRecord,
        channel: Channel,
        idle_timeout_s: float | None,
    ) -> None:
        """Keeps a connection for the next call.

        Args:
            upstream: Upstream at the other end.
            channel: Connection after a complete answer.
            idle_timeout_s: Time limit that the upstream stated, in seconds.
        """
        if idle_timeout_s is None:
            keep_s = _DEFAULT_IDLE_S
        else:
            keep_s = min(idle_timeout_s - _IDLE_MARGIN_S, _MAX_IDLE_S)
        idle = self._idle.setdefault(upstream.upstream_id, collections.deque())
        if keep_s <= 0 or len(idle) >= self._idle_limit(upstream.service):
            channel.close()
            return
        idle.append(_IdleChannel(channel, time.monotonic() + keep_s))

    def close_idle(self, upstream_id: str) -> None:
        """Closes the kept connections of an upstream."""
        for entry in self._idle.pop(upstream_id, ()):
            entry.channel.close()

    def close_expired(self) -> None:
        """Closes kept connections whose time is over."""
        now = time.monotonic()
        for upstream_id, idle in list(self._idle.items()):
            kept = collections.deque(
                entry
                for entry in idle
                if entry.expires_at > now
                and entry.channel.is_open
                # Bytes without a request answer nothing and may never end.
                and not entry.channel.has_unread
            )
            for entry in idle:
                if entry not in kept:
                    entry.channel.close()
            if kept:
                self._idle[upstream_id] = kept
            else:
                del self._idle[upstream_id]

    def close_all(self) -> None:
        """Closes all kept connections."""
        for upstream_id in list(self._idle):
            self.close_idle(upstream_id)
