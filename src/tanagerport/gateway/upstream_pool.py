"""Pool of keep-alive connections to upstreams."""

import collections
import dataclasses
import time
from collections.abc import Callable

from tanagerport.gateway.channel import Channel, open_channel
from tanagerport.gateway.domain import UpstreamRecord

# An idle connection expires this long before the upstream's idle timeout, so
# that no request is sent while the upstream closes the connection.
_IDLE_TIMEOUT_MARGIN_S = 1.0
# Idle time for upstreams that state no timeout, in seconds; below the shortest
# idle timeout in common use.
_DEFAULT_MAX_IDLE_S = 4.0
_MAX_IDLE_S = 30.0


@dataclasses.dataclass(slots=True)
class _IdleChannel:
    channel: Channel
    expires_at: float


class UpstreamPool:
    """Idle connections by upstream.

    Args:
        idle_limit: Returns the maximum number of idle connections to an
            upstream of a service.
    """

    def __init__(self, idle_limit: Callable[[str], int]) -> None:
        self._idle_limit = idle_limit
        self._idle: dict[str, collections.deque[_IdleChannel]] = {}
        self._opened_connections = 0

    @property
    def opened_connections(self) -> int:
        """Number of connections opened since the start."""
        return self._opened_connections

    def take_idle(self, upstream: UpstreamRecord) -> Channel | None:
        """Returns an idle connection that is still usable, if there is one."""
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
            ConnectionError: The connection failed or timed out.
        """
        channel = await open_channel(upstream.host, upstream.port, timeout_s)
        self._opened_connections += 1
        return channel

    def release(
        self,
        upstream: UpstreamRecord,
        channel: Channel,
        idle_timeout_s: float | None,
    ) -> None:
        """Returns a connection to the pool, or closes it.

        Args:
            upstream: Upstream at the other end.
            channel: Connection whose last answer is complete.
            idle_timeout_s: Idle timeout of the upstream, in seconds; None if it
                stated none.
        """
        if idle_timeout_s is None:
            idle_s = _DEFAULT_MAX_IDLE_S
        else:
            idle_s = min(idle_timeout_s - _IDLE_TIMEOUT_MARGIN_S, _MAX_IDLE_S)
        idle = self._idle.setdefault(upstream.upstream_id, collections.deque())
        if idle_s <= 0 or len(idle) >= self._idle_limit(upstream.service):
            channel.close()
            return
        idle.append(_IdleChannel(channel, time.monotonic() + idle_s))

    def close_idle(self, upstream_id: str) -> None:
        """Closes the idle connections of an upstream."""
        for entry in self._idle.pop(upstream_id, ()):
            entry.channel.close()

    def close_expired(self) -> None:
        """Closes idle connections that expired or are no longer usable."""
        now = time.monotonic()
        for upstream_id, idle in list(self._idle.items()):
            still_idle = collections.deque(
                entry
                for entry in idle
                if entry.expires_at > now
                and entry.channel.is_open
                # Unsolicited bytes belong to no request and may never end.
                and not entry.channel.has_unread
            )
            for entry in idle:
                if entry not in still_idle:
                    entry.channel.close()
            if still_idle:
                self._idle[upstream_id] = still_idle
            else:
                del self._idle[upstream_id]

    def close_all(self) -> None:
        """Closes all idle connections."""
        for upstream_id in list(self._idle):
            self.close_idle(upstream_id)
