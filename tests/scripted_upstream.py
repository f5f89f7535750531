"""Test upstream whose responses are written byte by byte by a test script."""

import contextlib
import dataclasses
import json
import socket
import threading
from collections.abc import Callable

Script = Callable[["ReceivedRequest", socket.socket], None]


@dataclasses.dataclass
class ReceivedRequest:
    """A request that the upstream received.

    Attributes:
        method: HTTP method.
        path: Request target.
        headers: Header fields by lowercase name.
        body: Complete body.
        connection: Number of the connection, counted from 1.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


class ScriptedUpstream:
    """Runs a script for each request; answers control requests by itself.

    Control requests pause, resume or cancel a request, or poll the load or the
    cache events.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.control_paths: list[str] = []
        self.connections = 0
        self.knows_requests = True
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Closes the listening socket."""
        with contextlib.suppress(OSError):
            # A thread blocked in accept() keeps a closed listening socket open.
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(sock, self.connections), daemon=True
            ).start()

    def _serve(self, sock: socket.socket, connection: int) -> None:
        lines = sock.makefile("rb")
        with sock, lines:
            while line := lines.readline():
                method, path, _ = line.decode().split(" ")
                headers = {}
                while (header := lines.readline().strip()) != b"":
                    name, _, value = header.decode().partition(":")
                    headers[name.lower()] = value.strip()
                body = lines.read(int(headers.get("content-length", "0")))
                request = ReceivedRequest(
                    method, path, headers, body, connection
                )
                if path.startswith("/requests/"):
                    self.control_paths.append(path)
                    state = _state(path) if self.knows_requests else "unknown"
                    send_document(sock, {"state": state})
                    continue
                if path.startswith(("/load", "/cache-events")):
                    send_document(sock, {"events": [], "next": 0})
                    continue
                self.received.append(request)
                try:
                    self.script(request, sock)
                except OSError:
                    return


def _state(path: str) -> str:
    return {"pause": "paused", "resume": "running", "cancel": "cancelled"}[
        path.rpartition("/")[2]
    ]


def send_document(
    sock: socket.socket,
    document: object,
    status: int = 200,
    headers: str = "",
    missing: int = 0,
) -> None:
    """Sends a JSON response, truncated by `missing` bytes."""
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        f"Content-Type: application/json\r\n{headers}\r\n"
    )
    sock.sendall(head.encode() + body[: len(body) - missing])


def completion(request: ReceivedRequest, tokens: int = 3) -> dict[str, object]:
    """Returns the JSON document of a completion by an engine."""
    return {
        "id": request.request_id,
        "choices": [{"index": 0, "message": {"content": "x " * tokens}}],
        "usage": {
            "prompt_tokens": 2,
            "cached_tokens": 1,
            "completion_tokens": tokens,
        },
    }


def request_id_header(request: ReceivedRequest) -> str:
    """Returns the header line that echoes the request id."""
    return f"X-Request-Id: {request.request_id}\r\n"


def send_stream_head(sock: socket.socket, request: ReceivedRequest) -> None:
    """Sends the status line and header fields of an event stream."""
    sock.sendall(
        (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Transfer-Encoding: chunked\r\n{request_id_header(request)}\r\n"
        ).encode()
    )


def chunk(data: bytes) -> bytes:
    """Encodes data as one chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def token_event(request_id: str, position: int) -> bytes:
    """Returns a stream event with one token."""
    delta = f'"delta": {{"content": "t{position} "}}, "n": {position}'
    text = f'{{"id": "{request_id}", "choices": [{{"index": 0, {delta}}}]}}'
    return f"data: {text}\n\n".encode()


def final_events(request_id: str, tokens: int) -> bytes:
    """Returns the usage event and the end marker."""
    usage = {"completion_tokens": tokens, "cached_tokens": 1}
    document = json.dumps({"id": request_id, "choices": [], "usage": usage})
    return f"data: {document}\n\ndata: [DONE]\n\n".encode()


def send_stream(
    request: ReceivedRequest, sock: socket.socket, tokens: int = 3
) -> None:
    """Sends a complete event stream."""
    send_stream_head(sock, request)
    for position in range(tokens):
        sock.sendall(chunk(token_event(request.request_id, position)))
    sock.sendall(chunk(final_events(request.request_id, tokens)) + chunk(b""))
