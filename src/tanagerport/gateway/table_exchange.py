"""HTTP server and client that distribute table rows between nodes.

A few nodes of each region read from the store, and the others fetch the rows
from them. When every node read a configuration of 1,400 routes, the link
between two regions was saturated for 5 s, and no node of the remote region
received the configuration in time.
"""

import dataclasses
import re
import time
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Protocol

import h11

from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.channel import open_channel
from tanagerport.gateway.http_call import CallError, HttpCall, ResponseHead
from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_readers import MAX_READER_AGE_S
from tanagerport.gateway.table_store import StoreVersion

TABLE_PATH = "/tables"
# Header with the milliseconds since the store confirmed what a watch returns.
AGE_HEADER = b"Table-Age-Ms"
# Age up to which a node relays what the store said: that of a reader.
MAX_RELAYED_AGE_S = MAX_READER_AGE_S
_VERSION_PATTERN = re.compile("-?[0-9]{1,18}")
_ERA_PATTERN = re.compile("[0-9]{1,18}")
_WAIT_PATTERN = re.compile("[0-9]{1,9}")
# Maximum wait for changes: longer than that of a reader's call to the store.
_MAX_RELAYED_WAIT_S = 3.0
# Latency between nodes is tens of milliseconds. A node that exceeds these
# timeouts has a saturated link or is down, and another one is tried.
_CONNECT_TIMEOUT_S = 0.3
_FETCH_TIMEOUT_S = 1.5
# Added to the wait that a watch requests, to get the time until its response
# begins.
_WAIT_MARGIN_S = 0.4
# Maximum size of a table, compressed or not. A configuration of 10,000 routes
# is about 4 MB.
_MAX_TABLE_BYTES = 32 * 1024 * 1024
# Share of a node's bandwidth for serving tables, and the time that queued
# responses may take at this bandwidth before further requests are refused. Each
# node that has the rows serves them as well, so a table spreads faster if few
# transfers share a slow link.
_LINK_SHARE_FOR_TABLES = 0.5
_MAX_QUEUE_S = 0.3
_BITS_PER_BYTE = 8


@dataclasses.dataclass(frozen=True, slots=True)
class TableResponse:
    """Response to a request for the rows of a table.

    Attributes:
        status: HTTP status code.
        body: Encoded rows; empty without newer ones.
        age_s: Seconds since the store confirmed the rows; None for a request
            that does not wait for changes.
    """

    status: int
    body: bytes
    age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedChanges:
    """What a node that is nearer to the store responded to a watch.

    Attributes:
        changes: Newer rows; None if there are none.
        age_s: Seconds since the store confirmed this to that node.
    """

    changes: TableChanges | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    copy: TableCopy
    after: StoreVersion
    wait_s: float | None


class TableServer:
    """Serves this node's table copies to other nodes.

    Args:
        copies: Table copies by table name.
        link_mbps: Bandwidth of this node's link, in Mbit/s.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        copies: Mapping[str, TableCopy],
        link_mbps: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._copies = copies
        self._bytes_per_s = (
            _LINK_SHARE_FOR_TABLES * link_mbps * 1e6 / _BITS_PER_BYTE
        )
        self._now = now
        self._link_busy_until = float("-inf")

    async def respond(self, target: str) -> TableResponse:
        """Responds to a request, which may wait for changes.

        A wait ends with the next response of the store, whether or not it has
        changes, so that the requester learns as early as this node that the
        store can be reached.

        Args:
            target: Request target, as in `handle_request`.
        """
        request = self._parse(target)
        if request is None or request.wait_s is None:
            return TableResponse(*self.handle_request(target))
        copy, after = request.copy, request.after
        if copy.version <= after and copy.version.era == after.era:
            await copy.wait_for_update(request.wait_s)
        age_s = self._now() - copy.confirmed_at
        status, body = self.handle_request(target)
        # The requester may know more already, from another node. What the store
        # said to this one is true all the same, as of its age.
        if (
            status == 409
            and copy.version.era == after.era
            and age_s <= MAX_RELAYED_AGE_S
        ):
            status = 204
        return TableResponse(status, body, age_s)

    def handle_request(self, target: str) -> tuple[int, bytes]:
        """Returns the status and the body of the response.

        The status is 404 for an unknown table or a malformed version, 409 if
        this node has no newer rows, and 503 if its link is busy with too many
        responses.

        Args:
            target: Request target with the parameters `table`, `after` and
                `era`; the last one is missing in requests of earlier releases.
                A request that waits for changes has `wait_ms`.
        """
        request = self._parse(target)
        if request is None:
            return 404, b""
        copy, after = request.copy, request.after
        if copy.version <= after:
            return 409, b""
        now = self._now()
        if self._link_busy_until - now > _MAX_QUEUE_S:
            return 503, b""
        body = copy.encode_changes(after)
        self._link_busy_until = (
            max(self._link_busy_until, now) + len(body) / self._bytes_per_s
        )
        return 200, body

    def _parse(self, target: str) -> _Request | None:
        """Returns the request; None if it is malformed or for no table."""
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query)
        )
        copy = self._copies.get(query.get("table", ""))
        number = query.get("after", "")
        era = query.get("era", "0")
        wait_ms = query.get("wait_ms")
        if (
            copy is None
            or not _VERSION_PATTERN.fullmatch(number)
            or not _ERA_PATTERN.fullmatch(era)
            or (wait_ms is not None and not _WAIT_PATTERN.fullmatch(wait_ms))
        ):
            return None
        wait_s = (
            None
            if wait_ms is None
            else min(int(wait_ms) / 1000, _MAX_RELAYED_WAIT_S)
        )
        return _Request(copy, StoreVersion(int(era), int(number)), wait_s)


class TableFetcher(Protocol):
    """Gets rows from other nodes."""

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        """Fetches the rows that changed after a version from a node.

        Raises:
            StoreUnavailableError: The node did not return the rows.
        """

    async def await_changes(
        self, host: str, table: str, after: StoreVersion, wait_s: float
    ) -> RelayedChanges:
        """Waits for changes at a node that reads from the store.

        Raises:
            StoreUnavailableError: The node did not respond, or does not read
                the table from the store.
        """


class TableClient:
    """Fetches table rows from other nodes.

    Args:
        port: TCP port on which all nodes serve their table copies.
    """

    def __init__(self, port: int) -> None:
        self._port = port

    async def fetch(
        self, host: str, table: str, after: StoreVersion
    ) -> TableChanges:
        """Fetches the rows that changed after a version from another node.

        Args:
            host: IP address of the node.
            table: Name of the table.
            after: Store version of the local copy.

        Raises:
            StoreUnavailableError: The node did not return the rows.
        """
        head, body = await self._get(host, _query(table, after))
        if head.status != 200:
            raise StoreUnavailableError(
                f"{host} responded with status {head.status}"
            )
        return _decode(host, body)

    async def await_changes(
        self, host: str, table: str, after: StoreVersion, wait_s: float
    ) -> RelayedChanges:
        """Waits at another node for changes to a table.

        Args:
            host: IP address of a node that reads the table from the store.
            table: Name of the table.
            after: Store version of the local copy.
            wait_s: Maximum wait in seconds.

        Raises:
            StoreUnavailableError: The node did not respond, or does not read
                the table from the store.
        """
        head, body = await self._get(
            host, _query(table, after, wait_ms=int(wait_s * 1000)), wait_s
        )
        age_ms = head.header_values.get(AGE_HEADER.lower(), b"")
        if head.status not in (200, 204) or not _WAIT_PATTERN.fullmatch(
            age_ms.decode("latin-1")
        ):
            raise StoreUnavailableError(
                f"{host} responded to a watch with status {head.status}"
            )
        return RelayedChanges(
            _decode(host, body) if head.status == 200 else None,
            int(age_ms) / 1000,
        )

    async def _get(
        self, host: str, query: str, wait_s: float = 0.0
    ) -> tuple[ResponseHead, bytes]:
        """Sends a request and returns the response.

        Args:
            host: IP address of the node.
            query: Query of the request target.
            wait_s: Time for which the node may wait, in seconds.

        Raises:
            StoreUnavailableError: There is no response.
        """
        try:
            channel = await open_channel(host, self._port, _CONNECT_TIMEOUT_S)
        except ConnectionError as error:
            raise StoreUnavailableError(str(error)) from error
        try:
            first_s = wait_s + _WAIT_MARGIN_S if wait_s else _FETCH_TIMEOUT_S
            async with IoTimeout(first_s) as timeout:
                call = HttpCall(
                    channel,
                    h11.Request(
                        method="GET",
                        target=f"{TABLE_PATH}?{query}",
                        headers=[("Host", host)],
                    ),
                )
                call.send()
                head = await call.read_head()
                if wait_s:
                    timeout.restart(_FETCH_TIMEOUT_S)
                return head, await call.read_whole_body(_MAX_TABLE_BYTES)
        except (CallError, TimeoutError) as error:
            raise StoreUnavailableError(
                f"{host}: {error or 'request timed out'}"
            ) from error
        finally:
            channel.abort()


def _query(table: str, after: StoreVersion, **fields: int) -> str:
    return urllib.parse.urlencode(
        {"table": table, "after": after.number, "era": after.era, **fields}
    )


def _decode(host: str, body: bytes) -> TableChanges:
    try:
        return decode_changes(body, _MAX_TABLE_BYTES)
    except ValueError as error:
        raise StoreUnavailableError(f"{host}: {error}") from error
