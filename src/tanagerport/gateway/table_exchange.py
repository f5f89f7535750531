"""HTTP server and client that distribute table rows between nodes.

A few nodes of each region read from the store, and the others fetch the rows
from them. When every node read a configuration of 1,400 routes, the link
between two regions was saturated for 5 s, and no node of the remote region
received the configuration in time.
"""

import re
import time
import urllib.parse
from collections.abc import Callable, Mapping

import h11

from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.channel import open_channel
from tanagerport.gateway.http_call import CallError, HttpCall
from tanagerport.gateway.io_timeout import IoTimeout
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)
from tanagerport.gateway.table_store import StoreVersion

TABLE_PATH = "/tables"
_VERSION_PATTERN = re.compile("-?[0-9]{1,18}")
_ERA_PATTERN = re.compile("[0-9]{1,18}")
# Latency between nodes is tens of milliseconds. A node that exceeds these
# timeouts has a saturated link or is down, and another one is tried.
_CONNECT_TIMEOUT_S = 0.3
_FETCH_TIMEOUT_S = 1.5
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

    def handle_request(self, target: str) -> tuple[int, bytes]:
        """Returns the status and the body of the response.

        The status is 404 for an unknown table or a malformed version, 409 if
        this node has no newer rows, and 503 if its link is busy with too many
        responses.

        Args:
            target: Request target with the parameters `table`, `after` and
                `era`; the last one is missing in requests of earlier releases.
        """
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query)
        )
        copy = self._copies.get(query.get("table", ""))
        number = query.get("after", "")
        era = query.get("era", "0")
        if (
            copy is None
            or not _VERSION_PATTERN.fullmatch(number)
            or not _ERA_PATTERN.fullmatch(era)
        ):
            return 404, b""
        after = StoreVersion(int(era), int(number))
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
        query = urllib.parse.urlencode(
            {"table": table, "after": after.number, "era": after.era}
        )
        try:
            channel = await open_channel(host, self._port, _CONNECT_TIMEOUT_S)
        except ConnectionError as error:
            raise StoreUnavailableError(str(error)) from error
        try:
            async with IoTimeout(_FETCH_TIMEOUT_S):
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
                body = await call.read_whole_body(_MAX_TABLE_BYTES)
            if head.status != 200:
                raise StoreUnavailableError(
                    f"{host} responded with status {head.status}"
                )
            return decode_changes(body, _MAX_TABLE_BYTES)
        except (CallError, TimeoutError, ValueError) as error:
            raise StoreUnavailableError(
                f"{host}: {error or 'request timed out'}"
            ) from error
        finally:
            channel.abort()
