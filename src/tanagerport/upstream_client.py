"""Calls to upstreams, with proof of whether a failed call started."""

import dataclasses
import socket
import threading
from collections.abc import Iterator, Mapping

import urllib3

from tanagerport.exceptions import (
    AnswerTruncatedError,
    UpstreamNotStartedError,
    UpstreamOutcomeUnknownError,
)
from tanagerport.model import RetryReason
from tanagerport.settings import TimingSettings, split_address

_READ_BYTES = 65536
_POOL_CONNECTIONS = 64
NOT_STARTED_HEADER = "X-Not-Started"
LEAVING_HEADER = "X-Leaving"
REQUEST_ID_HEADER = "X-Request-Id"
VERSION_HEADER = "X-Model-Version"


@dataclasses.dataclass(frozen=True)
class UpstreamCall:
    """One call to an upstream.

    Attributes:
        address: `ip:port` of the upstream.
        method: HTTP method.
        path: Path and query.
        headers: Headers to send.
        body: Body to send.
        first_byte_timeout_s: Bound until the answer's headers, in seconds.
    """

    address: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    first_byte_timeout_s: float


class UpstreamAnswer:
    """An answer whose headers have arrived."""

    def __init__(
        self, response: urllib3.BaseHTTPResponse, progress_timeout_s: float
    ) -> None:
        self._response = response
        self._set_read_timeout(progress_timeout_s)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._response.status

    @property
    def headers(self) -> Mapping[str, str]:
        """HTTP headers; names compare without case."""
        return self._response.headers

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream said that it is leaving."""
        return self.headers.get(LEAVING_HEADER) == "true"

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            AnswerTruncatedError: The body ended early or made no progress.
        """
        try:
            yield from self._response.stream(_READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.close()
            raise AnswerTruncatedError(
                f"answer ended early: {error}"
            ) from error

    def close(self) -> None:
        """Closes the connection, which cancels an unfinished answer."""
        self._response.close()

    def release(self) -> None:
        """Returns the connection of a whole answer to the pool."""
        self._response.release_conn()

    def _set_read_timeout(self, seconds: float) -> None:
        connection = self._response.connection
        sock = getattr(connection, "sock", None)
        if sock is not None:
            sock.settimeout(seconds)


class UpstreamClient:
    """Connection pools to upstreams.

    Args:
        timing: Connection and progress bounds.
    """

    def __init__(self, timing: TimingSettings) -> None:
        self._timing = timing
        self._lock = threading.Lock()
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def open(self, call: UpstreamCall) -> UpstreamAnswer:
        """Sends a call and waits for the answer's headers.

        Args:
            call: What to send.

        Returns:
            The answer, whose body has not been read.

        Raises:
            UpstreamNotStartedError: The call provably did not start.
            UpstreamOutcomeUnknownError: The call failed after bytes of it
                may have been written.
        """
        pool = self._pool(call.address)
        timeout = urllib3.Timeout(
            connect=self._timing.connect_timeout_s,
            read=max(call.first_byte_timeout_s, 0.001),
        )
        try:
            response = pool.urlopen(
                call.method,
                call.path,
                body=call.body,
                headers=dict(call.headers),
                timeout=timeout,
                retries=False,
                redirect=False,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UpstreamNotStartedError(
                f"{call.address} did not accept a connection",
                RetryReason.CONNECT_FAILED,
            ) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UpstreamOutcomeUnknownError(
                f"{call.address} failed after the request was sent: {error}"
            ) from error
        answer = UpstreamAnswer(response, self._timing.progress_timeout_s)
        if (
            answer.status == 503
            and answer.headers.get(NOT_STARTED_HEADER) == "true"
        ):
            answer.close()
            raise UpstreamNotStartedError(
                f"{call.address} answered that the request did not start",
                RetryReason.NOT_STARTED,
            )
        return answer

    def forget(self, address: str) -> None:
        """Closes the pooled connections of an upstream that is gone."""
        with self._lock:
            pool = self._pools.pop(address, None)
        if pool is not None:
            pool.close()

    def _pool(self, address: str) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                host, port = split_address(address)
                pool = urllib3.HTTPConnectionPool(
                    host,
                    port,
                    maxsize=_POOL_CONNECTIONS,
                    block=False,
                    socket_options=[
                        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    ],
                )
                self._pools[address] = pool
            return pool
