"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it."""

import asyncio
import dataclasses
import time
import urllib.parse
from collections.abc import Mapping


@dataclasses.dataclass
class Request:
    """A request that a stand-in received.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields by lowercase name.
        body: Complete body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


@dataclasses.dataclass
class Answer:
    """What a client got for a request.

    Attributes:
        status: Status code; 0 if no answer came.
        is_complete: Whether the answer came to its end.
        body: Bytes of the body that arrived.
        sent_at: Monotonic seconds at which the request was sent.
        ended_at: Monotonic seconds of the end of the answer, or of the
            moment at which the client gave up.
        gave_up: Whether the client closed the connection at its deadline.
    """

    status: int
    is_complete: bool
    body: bytes
    sent_at: float
    ended_at: float
    gave_up: bool = False


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Reads a first line and header fields; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    return lines[0], {
        name.strip().lower(): value.strip() for name, _, value in fields
    }


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    length = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def response_bytes(
    status: int, body: bytes, fields: Mapping[str, str]
) -> bytes:
    """Returns a response with a length."""
    return head_bytes(
        f"HTTP/1.1 {status} X", {"Content-Length": str(len(body)), **fields}
    ) + (body)


def head_bytes(first_line: str, fields: Mapping[str, str]) -> bytes:
    """Returns a first line and header fields."""
    lines = [first_line, *(f"{name}: {text}" for name, text in fields.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Encodes data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def fetch(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: Mapping[str, str],
    body: bytes = b"",
    timeout_s: float = 3.0,
    max_gap_s: float | None = None,
) -> Answer:
    """Sends one request on a new connection and reads the answer.

    Args:
        address: Host and port.
        method: HTTP method.
        target: Path and query.
        fields: Header fields.
        body: Body of the request.
        timeout_s: Seconds after which the client closes the connection.
        max_gap_s: Longest pause between two events of a stream, and before the
            first; the client closes the connection then.
    """
    all_fields = dict(fields)
    if body:
        all_fields["Content-Length"] = str(len(body))
    sent_at = time.monotonic()
    answer = Answer(0, False, b"", sent_at, sent_at)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                head_bytes(f"{method} {target} HTTP/1.1", all_fields) + body
            )
            await _read_answer(reader, answer, max_gap_s)
    except TimeoutError:
        answer.gave_up = True
    except (OSError, asyncio.IncompleteReadError):
        # The connection was refused, reset or closed.
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.ended_at = time.monotonic()
    return answer


async def _read_answer(
    reader: asyncio.StreamReader, answer: Answer, max_gap_s: float | None
) -> None:
    async with asyncio.timeout(max_gap_s):
        head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head[0].split(" ")[1])
    if head[1].get("transfer-encoding", "").lower() == "chunked":
        await _read_chunks(reader, answer, max_gap_s)
        return
    length = int(head[1].get("content-length", "0"))
    answer.body = await reader.readexactly(length)
    answer.is_complete = True


async def _read_chunks(
    reader: asyncio.StreamReader, answer: Answer, max_gap_s: float | None
) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(max_gap_s) as gap:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                answer.is_complete = True
                return
            answer.body += data
            if max_gap_s is not None and b"\n\n" in data:
                gap.reschedule(loop.time() + max_gap_s)
