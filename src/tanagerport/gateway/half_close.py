"""Clients that have ended their sending: some still read, others are gone.

TCP shows a close and a half-close alike, until something is sent: the host of a
client that is gone answers with a reset. Interim responses (RFC 9110, 15.2)
may be sent at any time before the final one, so they serve to ask.
"""

import asyncio
from collections.abc import Callable

import h11

from tanagerport.gateway.channel import Channel
from tanagerport.gateway.client_messages import ClientResponse

_PROCESSING = 102
# Clients of HTTP/1.0 must not be sent interim responses.
_MIN_HTTP_VERSION = b"1.1"
# Interval at which a client is asked, in seconds: work for a client that leaves
# after its half-close goes on for no longer.
_ASK_INTERVAL_S = 0.5
# Interval at which a reset is looked for, in seconds. The event loop does not
# watch a connection whose peer has ended its sending.
_CHECK_INTERVAL_S = 0.02


class HalfCloseWatch:
    """Finds out whether a client that has ended its sending is gone.

    Args:
        channel: Its connection.
        codec: HTTP protocol state of the connection.
        response: Response that the client waits for.
        on_gone: Called once if it is gone.
    """

    def __init__(
        self,
        channel: Channel,
        codec: h11.Connection,
        response: ClientResponse,
        on_gone: Callable[[], object],
    ) -> None:
        self._channel = channel
        self._codec = codec
        self._response = response
        self._on_gone = on_gone
        self._timer: asyncio.TimerHandle | None = None
        self._asked_at = float("-inf")

    def start(self) -> None:
        """Begins to ask; a client that can't be asked counts as gone."""
        if (
            not self._response.is_started
            and (self._codec.their_http_version or b"") < _MIN_HTTP_VERSION
        ):
            self._on_gone()
            return
        self._check()

    def stop(self) -> None:
        """Ends the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        if self._channel.is_reset():
            self._on_gone()
            return
        if (
            not self._response.is_started
            and loop.time() >= self._asked_at + _ASK_INTERVAL_S
        ):
            self._asked_at = loop.time()
            self._channel.write(
                self._codec.send(
                    h11.InformationalResponse(
                        status_code=_PROCESSING,
                        headers=[],
                        reason=b"Processing",
                    )
                )
                or b""
            )
        self._timer = loop.call_later(_CHECK_INTERVAL_S, self._check)
