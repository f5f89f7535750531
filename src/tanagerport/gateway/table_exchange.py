"""Tables of the store, handed from node to node.

A few nodes of each region follow the store; the others get the rows from
them. Read by every node, a configuration of 1,400 routes took 5 s of the link
between two regions, and no node beyond it learned of the configuration in
time.
"""

import asyncio
import time
import urllib.parse
from collections.abc import Callable, Mapping

import h11

from tanagerport.exceptions import StoreUnavailableError
from tanagerport.gateway.channel import open_channel
from tanagerport.gateway.http_call import CallError, HttpCall
from tanagerport.gateway.table_copy import (
    TableChanges,
    TableCopy,
    decode_changes,
)

PATH = "/tables"
# Other nodes are within tens of milliseconds; a node with a full link, or one
# that is gone, is left for another one.
_CONNECT_TIMEOUT_S = 0.3
_FETCH_TIMEOUT_S = 1.5
# 10,000 routes have some 4 MB.
_MAX_TABLE_BYTES = 32 * 1024 * 1024
# Part of the link of a node that it serves tables with, and the longest queue
# of answers, in seconds. Each node that was served serves others, so a table
# spreads faster when no narrow link is shared by many.
_LINK_SHARE = 0.5
_LONGEST_QUEUE_S = 0.3
_BITS = 8


class TableServer:
    """Serves this node's copies of tables to other nodes.

    Args:
        copies: Copies by table.
        link_mbps: Bandwidth of the link of this node, in Mbit/s.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        copies: Mapping[str, TableCopy],
        link_mbps: float,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._copies = copies
        self._bytes_per_s = _LINK_SHARE * link_mbps * 1e6 / _BITS
        self._now = now
        self._busy_until = float("-inf")

    def answer(self, target: str) -> tuple[int, bytes]:
        """Returns the status and the body for a request target.

        404 for an unknown table, 409 if this node knows nothing newer, 503 if
        its link is busy with other answers.
        """
        query = dict(
            urllib.parse.parse_qsl(urllib.parse.urlsplit(target).query)
        )
        copy = self._copies.get(query.get("table", ""))
        after = query.get("after", "")
        if copy is None or not after.removeprefix("-").isdecimal():
            return 404, b""
        if copy.version <= int(after):
            return 409, b""
        now = self._now()
        if self._busy_until - now > _LONGEST_QUEUE_S:
            return 503, b""
        body = copy.encode_changes(int(after))
        self._busy_until = (
            max(self._busy_until, now) + len(body) / self._bytes_per_s
        )
        return 200, body


class TableClient:
    """Gets rows of tables from other nodes.

    Args:
        port: TCP port on which all nodes serve their copies.
    """

    def __init__(self, port: int) -> None:
        self._port = port

    async def fetch(self, host: str, table: str, after: int) -> TableChanges:
        """Returns the rows that another node knows beyond a version.

        Args:
            host: IP address of the node.
            table: Name of the table.
            after: Store version that is known here; -1 for none.

        Raises:
            StoreUnavailableError: The node does not serve them.
        """
        query = urllib.parse.urlencode({"table": table, "after": after})
        try:
            channel = await open_channel(host, self._port, _CONNECT_TIMEOUT_S)
        except ConnectionError as error:
            raise StoreUnavailableError(str(error)) from error
        try:
            async with asyncio.timeout(_FETCH_TIMEOUT_S):
                call = HttpCall(
                    channel,
                    h11.Request(
                        method="GET",
                        target=f"{PATH}?{query}",
                        headers=[("Host", host)],
                    ),
                )
                call.send()
                head = await call.read_head()
                body = await call.read_whole_body(_MAX_TABLE_BYTES)
            if head.status != 200:
                raise StoreUnavailableError(f"{host} answered {head.status}")
            return decode_changes(body, _MAX_TABLE_BYTES)
        except (CallError, TimeoutError, ValueError) as error:
            raise StoreUnavailableError(
                f"{host}: {error or 'no answer in time'}"
            ) from error
        finally:
            channel.abort()
