"""Callers of the bench: one asyncio client for both sides."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable, Sequence

from tanagerport.bench_trace import TracedRequest
from tanagerport.settings import split_address
from tanagerport.standin_engine import expected_text

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0
# Callers wait this much longer than their deadline before they give up, so
# that a refusal at the deadline is still read.
_GRACE_S = 0.5
_TIMEOUT = "timeout"


@dataclasses.dataclass
class CallRecord:
    """What a caller saw of one request; times are monotonic seconds.

    Attributes:
        request: Request of the trace.
        sent_at: Time of sending.
        node: `ip:port` of the node that took the connection; empty if none.
        node_id: Name of that node.
        request_id: Id that the node stated.
        status: HTTP status, 0 if no answer arrived.
        first_byte_at: Arrival of the first byte.
        token_times: Arrival of each token.
        ended_at: End of the answer or of the wait.
        text: Tokens received, or the body of a plain service.
        has_end_marker: Whether `[DONE]` was the last event.
        clean_end: Whether the HTTP body ended as HTTP defines.
        error_event: Whether an error event arrived.
        reason: Reason of a refusal.
        ran: What the refusal said of execution.
        failure: Why no answer arrived.
    """

    request: TracedRequest
    sent_at: float
    node: str = ""
    node_id: str = ""
    request_id: str = ""
    status: int = 0
    first_byte_at: float | None = None
    token_times: list[float] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0
    text: str = ""
    has_end_marker: bool = False
    clean_end: bool = False
    error_event: bool = False
    reason: str = ""
    ran: str = ""
    failure: str = ""

    @property
    def expected(self) -> str:
        """Text that a right answer has."""
        return expected_text(
            f"user: {self.request.prompt}", self.request.max_tokens
        )

    @property
    def is_whole(self) -> bool:
        """Whether the whole right answer arrived with a clean end."""
        if self.status != 200 or not self.clean_end or self.error_event:
            return False
        if not self.request.is_engine:
            return _service_marker(self.text) == self.request.marker
        return self.has_end_marker and self.text == self.expected

    @property
    def is_broken(self) -> bool:
        """Whether the connection broke before the answer's end."""
        return bool(self.failure) and self.failure != _TIMEOUT

    @property
    def first_token_s(self) -> float | None:
        """Seconds from sending to the first token, or to a service's end."""
        if not self.request.is_engine:
            return self.ended_at - self.sent_at
        if not self.token_times:
            return None
        return self.token_times[0] - self.sent_at

    @property
    def token_interval_s(self) -> float:
        """Mean seconds between tokens; 0 for fewer than two."""
        times = self.token_times
        if len(times) < 2:
            return 0.0
        return (times[-1] - times[0]) / (len(times) - 1)


class AnswerDecoder:
    """Decodes an HTTP/1.1 answer and notes when each token arrived.

    Args:
        record: Receives what the answer says.
    """

    def __init__(self, record: CallRecord) -> None:
        self._record = record
        self._raw = b""
        self._body = b""
        self._headers: dict[str, str] | None = None
        self._is_stream = False

    def feed(self, data: bytes, at: float) -> None:
        """Takes the next bytes."""
        if self._record.first_byte_at is None:
            self._record.first_byte_at = at
        self._raw += data
        if self._headers is None and not self._read_head():
            return
        self._read_body()
        if self._is_stream:
            self._read_events(at)

    def finish(self) -> None:
        """Notes the body of an answer that was no event stream."""
        record = self._record
        if self._is_stream:
            return
        record.text = self._body.decode("utf-8", "replace")
        if record.status == 200 or not record.status:
            return
        try:
            error = json.loads(record.text)["error"]
            record.reason, record.ran = error["reason"], error["ran"]
            record.request_id = record.request_id or error["request_id"]
        except (ValueError, KeyError, TypeError):
            record.reason = record.reason or "unreadable"

    def _read_head(self) -> bool:
        head, separator, rest = self._raw.partition(b"\r\n\r\n")
        if not separator:
            return False
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:])
        self._headers = {
            name.strip().lower(): value.strip() for name, _, value in pairs
        }
        self._raw = rest
        self._record.status = int(lines[0].split()[1])
        self._record.request_id = self._headers.get("x-request-id", "")
        self._is_stream = self._headers.get("content-type", "").startswith(
            "text/event-stream"
        )
        return True

    def _read_body(self) -> None:
        assert self._headers is not None
        if self._headers.get("transfer-encoding", "").lower() == "chunked":
            self._read_chunks()
            return
        self._body += self._raw
        self._raw = b""
        length = self._headers.get("content-length")
        if length is not None and len(self._body) >= int(length):
            self._record.clean_end = True

    def _read_chunks(self) -> None:
        while True:
            size_text, separator, rest = self._raw.partition(b"\r\n")
            if not separator:
                return
            size = int(size_text.split(b";")[0], 16)
            if len(rest) < size + 2:
                return
            self._body += rest[:size]
            self._raw = rest[size + 2 :]
            if size == 0:
                self._record.clean_end = True
                return

    def _read_events(self, at: float) -> None:
        *events, self._body = self._body.split(b"\n\n")
        for event in events:
            self._read_event(event.decode("utf-8", "replace"), at)

    def _read_event(self, event: str, at: float) -> None:
        record = self._record
        record.has_end_marker = event == "data: [DONE]"
        if event.startswith("event: error"):
            record.error_event = True
            _, _, document = event.partition("data: ")
            error = json.loads(document)["error"]
            record.reason, record.ran = error["reason"], error["ran"]
        elif event.startswith("data: {"):
            for choice in json.loads(event[6:]).get("choices", ()):
                record.token_times.append(at)
                record.text += choice["delta"]["content"]


Target = tuple[str, str]


async def call(
    request: TracedRequest, targets: Callable[[], Sequence[Target]]
) -> CallRecord:
    """Sends a request and reads its answer.

    A refused connection is tried at the next node, as a load balancer does;
    nothing was sent then.

    Args:
        request: Request to send.
        targets: Returns node ids and addresses in order of preference.
    """
    record = CallRecord(request, time.monotonic())
    limit_s = request.work_class.deadline_s + _GRACE_S
    try:
        async with asyncio.timeout(limit_s):
            await _exchange(record, targets())
    except TimeoutError:
        record.failure = record.failure or _TIMEOUT
    except OSError as error:
        record.failure = f"connection broke: {error}"
    record.ended_at = time.monotonic()
    return record


async def _exchange(record: CallRecord, targets: Sequence[Target]) -> None:
    streams = await _connect(record, targets)
    if streams is None:
        record.failure = "no node took the connection"
        return
    reader, writer = streams
    decoder = AnswerDecoder(record)
    try:
        writer.write(_encode(record.request))
        while not record.clean_end:
            data = await reader.read(_READ_BYTES)
            if not data:
                record.failure = "connection closed early"
                break
            decoder.feed(data, time.monotonic())
    finally:
        decoder.finish()
        writer.transport.abort()


async def _connect(
    record: CallRecord, targets: Sequence[Target]
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    for node_id, address in targets:
        host, port = split_address(address)
        try:
            streams = await asyncio.wait_for(
                asyncio.open_connection(host, port), _CONNECT_TIMEOUT_S
            )
        except (OSError, TimeoutError):
            continue
        record.node, record.node_id = address, node_id
        return streams
    return None


def _encode(request: TracedRequest) -> bytes:
    work_class = request.work_class
    headers = {
        "Host": "bench",
        "Connection": "close",
        "Content-Type": "application/json",
        "X-Class": work_class.name,
        "X-Customer": request.customer,
    }
    if request.key:
        headers["Idempotency-Key"] = request.key
        headers["Idempotency-Attempt"] = str(request.attempt)
    if request.is_engine:
        path = "/v1/chat/completions"
        document: dict[str, object] = {
            "model": work_class.model,
            "messages": [{"role": "user", "content": request.prompt}],
            "stream": True,
            "max_tokens": request.max_tokens,
        }
    else:
        path = f"/services/{work_class.model}/call"
        document = {"note": f"[[{request.marker}]]"}
    body = json.dumps(document).encode()
    headers["Content-Length"] = str(len(body))
    lines = [f"POST {path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers.items())
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def _service_marker(text: str) -> str:
    try:
        return str(json.loads(text)["marker"])
    except (ValueError, KeyError, TypeError):
        return ""
