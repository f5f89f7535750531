"""Tests of hostile callers, plain services and drain of a running node."""

import http.client
import json
import socket
import threading
from collections.abc import Iterator

import pytest

from cluster import wait_until
from scripted_upstream import (
    ReceivedRequest,
    ScriptedUpstream,
    chunk,
    final_events,
    send_document,
    send_stream_head,
    token_event,
)
from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.node import Node, create_node
from tanagerport.settings import PlatformSettings, Settings, split_address

_CLASSES = (
    WorkClass("caption-hint", 0, UpstreamKind.ENGINE, "tutor"),
    WorkClass("booking", 1, UpstreamKind.SERVICE, "booking", idempotent=False),
    WorkClass("menu", 1, UpstreamKind.SERVICE, "menu"),
)
_POST = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
_GET = b"GET /services/menu"
_CHAT = json.dumps({"model": "tutor", "messages": [], "stream": True}).encode()


_MALFORMED = [
    _POST + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
    _POST + b"Content-Length: 2\r\ncontent-length: 2\r\n\r\n{}",
    _POST + b"Content-Length: +2\r\n\r\n{}",
    _POST + b"Content-Length: -2\r\n\r\n",
    _POST + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    _POST + b"Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
    _POST + b"Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
    _POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
    _POST + b"Transfer-Encoding: chunked\r\n\r\n2000\r\n" + b"x" * 9000,
    b"POST /v1/chat/completions HTTP/1.0\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    _POST + b"X-Class : caption-hint\r\n\r\n",
    _POST + b"X-Class: a\r\n folded\r\n\r\n",
    _POST + b"X-Class: a\rX-Customer: b\r\n\r\n",
    _POST + b"X-Class: a\x00b\r\n\r\n",
    _POST + b"X-Customer: caf\xe9\r\n\r\n",
    _POST + b"Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
    _POST + b"X: y\r\n" * 200 + b"\r\n",
    b"GET /services/menu HTTP/1.1\r\n\r\n",
    b"GET http://other/services/menu HTTP/1.1\r\nHost: a\r\n\r\n",
    b"BREW /services/menu HTTP/1.1\r\nHost: a\r\n\r\n",
    _GET + b"/../admin HTTP/1.1\r\nHost: a\r\n\r\n",
    _GET + b"/%2e%2e/admin HTTP/1.1\r\nHost: a\r\n\r\n",
    _GET + b"/..%2fadmin HTTP/1.1\r\nHost: a\r\n\r\n",
    _GET + b"/a%0d%0aX-Admin:%201 HTTP/1.1\r\nHost: a\r\n\r\n",
    _GET + b"/a\\..\\b HTTP/1.1\r\nHost: a\r\n\r\n",
    _GET + b"/\xff HTTP/1.1\r\nHost: a\r\n\r\n",
    _POST + b"Content-Length: 9000\r\n\r\n" + b"[" * 9000,
    _POST + b"Content-Length: 100\r\n\r\n{",
    _POST + b"Content-Length: minus\r\n\r\n",
    b"\x00\x01\x02\r\n\r\n",
    b"GET / HTTP/1.1\r\nno colon here\r\n\r\n",
    b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
]


def _serve(request: ReceivedRequest, sock: socket.socket) -> None:
    send_document(
        sock,
        {
            "path": request.path,
            "method": request.method,
            "headers": request.headers,
            "body": request.body.decode(),
        },
        status=201,
        headers="X-Table: 7\r\nX-Leaving: false\r\nConnection: keep-alive\r\n",
    )


def _make_node(address: str, threads: int = 16) -> Node:
    vms = tuple(
        VM(name, role, "zone-a", "region-a", address, serves=serves)
        for name, role, serves in (
            ("service-1", VMRole.SERVICE, ("booking", "menu")),
            ("engine-1", VMRole.ENGINE, ("tutor",)),
        )
    )
    node = create_node(
        Settings(
            node_id="node-1",
            zone="zone-a",
            region="region-a",
            listen="127.0.0.1:0",
            operator_listen="127.0.0.1:0",
            peer_listen="127.0.0.1:0",
            operator_token="operator-token",
            peer_token="peer-token",
            platform=PlatformSettings(vms=vms),
            classes=_CLASSES,
            customers=("shop",),
            max_body_bytes=4096,
            caller_threads=threads,
        )
    )
    node.start()
    return node


@pytest.fixture(scope="module")
def service() -> Iterator[ScriptedUpstream]:
    service = ScriptedUpstream(_serve)
    yield service
    service.stop()


@pytest.fixture(scope="module")
def node(service: ScriptedUpstream) -> Iterator[Node]:
    node = _make_node(service.address)
    yield node
    node.stop()


def _connect(node: Node) -> socket.socket:
    return socket.create_connection(
        split_address(node.caller_address), timeout=15
    )


def _exchange(
    node: Node, request: bytes, is_all: bool = False
) -> tuple[int, dict[str, str], bytes]:
    with _connect(node) as sock:
        sock.sendall(request)
        if is_all:
            sock.shutdown(socket.SHUT_WR)
        response = http.client.HTTPResponse(sock)
        response.begin()
        body = response.read()
        headers = {name.lower(): text for name, text in response.getheaders()}
        return response.status, headers, body


def _call(
    node: Node, method: str, path: str, headers: str = "", body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: a\r\nX-Customer: shop\r\n"
        f"Content-Length: {len(body)}\r\n{headers}\r\n"
    )
    return _exchange(node, head.encode() + body)


class TestHostileRequests:
    """Guards against input that reaches an upstream or stops the node."""

    @pytest.mark.parametrize("request_bytes", _MALFORMED)
    def test_malformed_request_gets_a_4xx(
        self, node: Node, service: ScriptedUpstream, request_bytes: bytes
    ) -> None:
        self._check(node, service, request_bytes)

    @pytest.mark.parametrize(
        ("headers", "body", "status", "reason"),
        [
            ("", b"{not json", 400, "bad_request"),
            ("", b'{"model": "tutor"}', 400, "bad_request"),
            ("", b"\xff\xfe", 400, "bad_request"),
            ("", b"[" * 4000, 400, "bad_request"),
            ("", _CHAT.replace(b"tutor", b"other"), 404, "unknown_model"),
            ("", b"x" * 5000, 413, "body_too_large"),
            ("X-Class: none\r\n", _CHAT, 400, "unknown_class"),
            ("X-Deadline-Ms: -5\r\n", _CHAT, 400, "bad_request"),
            (f"X-Customer: {'c' * 300}\r\n", _CHAT, 400, "bad_request"),
            ("X-Customer: other\r\n", _CHAT, 403, "unknown_customer"),
            (f"X-Pad: {'p' * 40_000}\r\n", _CHAT, 413, "body_too_large"),
        ],
    )
    def test_refused_request_gets_its_reason(
        self,
        node: Node,
        service: ScriptedUpstream,
        headers: str,
        body: bytes,
        status: int,
        reason: str,
    ) -> None:
        customer = "" if "Customer" in headers else "X-Customer: shop\r\n"
        length = f"Content-Length: {len(body)}\r\n\r\n"
        head = _POST + (customer + headers + length).encode()
        found = self._check(node, service, head + body)
        assert found == (status, reason)

    def _check(
        self, node: Node, service: ScriptedUpstream, request_bytes: bytes
    ) -> tuple[int, str]:
        before = len(service.received)
        status, _, body = _exchange(node, request_bytes, is_all=True)
        error = json.loads(body)["error"]
        assert 400 <= status < 500
        assert error["ran"] == "no"
        assert len(service.received) == before
        assert _call(node, "GET", "/services/menu")[0] == 201
        return status, error["reason"]

    def test_early_refusal_survives_the_rest_of_the_body(
        self, node: Node
    ) -> None:
        """Guards against a reset that destroys the refusal unread."""
        with _connect(node) as sock:
            sock.sendall(_POST + b"Content-Length: 9000\r\n\r\n")
            assert sock.recv(1, socket.MSG_PEEK) == b"H"
            for _ in range(9):
                sock.sendall(b"[" * 1000)
            response = http.client.HTTPResponse(sock)
            response.begin()
            assert response.status == 413

    def test_half_sent_requests_do_not_hold_all_threads(self) -> None:
        """Guards against callers that stop in the middle of a request."""
        service = ScriptedUpstream(_serve)
        node = _make_node(service.address, threads=4)
        halves = [_connect(node) for _ in range(12)]
        try:
            for number, sock in enumerate(halves):
                sock.sendall(
                    _POST + b"Content-Length: 9\r\n\r\n{"[number % 2 :]
                )
            assert _call(node, "GET", "/services/menu")[0] == 201
        finally:
            for sock in halves:
                sock.close()
            node.stop()
            service.stop()


class TestPassThrough:
    """Guards against calls that change on their way to a service."""

    def test_call_passes_whole(self, node: Node) -> None:
        status, headers, body = _call(
            node,
            "PUT",
            "/services/menu/a%2Fb/c?q=%20x&y=1",
            "Content-Type: text/plain\r\nX-Seat: 4\r\nAccept: a/b\r\n"
            "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n",
            b"two teas",
        )
        seen = json.loads(body)
        assert status == 201
        assert (seen["method"], seen["body"]) == ("PUT", "two teas")
        assert seen["path"] == "/a%2Fb/c?q=%20x&y=1"
        assert seen["headers"]["content-type"] == "text/plain"
        assert seen["headers"]["x-seat"] == "4"
        assert seen["headers"]["accept"] == "a/b"
        assert "x-hop" not in seen["headers"]
        assert seen["headers"]["x-request-id"] == headers["x-request-id"]
        assert headers["x-table"] == "7"
        assert "x-leaving" not in headers

    def test_caller_can_not_set_headers_of_the_node(self, node: Node) -> None:
        _, headers, body = _call(
            node,
            "GET",
            "/services/menu",
            "X-Request-Id: mine\r\nX_Request_Id: mine\r\n"
            "X-Not-Started: true\r\n",
        )
        seen = json.loads(body)["headers"]
        assert seen["x-request-id"] == headers["x-request-id"] != "mine"
        assert "x-not-started" not in seen

    def test_call_without_key_is_told_its_key(self, node: Node) -> None:
        _, headers, body = _call(node, "POST", "/services/booking/book")
        key = json.loads(body)["headers"]["idempotency-key"]
        assert headers["idempotency-key"] == key

    def test_resend_gets_the_same_answer(
        self, node: Node, service: ScriptedUpstream
    ) -> None:
        """Guards against a second booking, and against a lost answer."""
        key = "Idempotency-Key: key-1\r\n"
        first = _call(node, "POST", "/services/booking/book", key, b"seat")
        before = len(service.received)
        again = _call(node, "POST", "/services/booking/book", key, b"seat")
        assert again[0] == first[0] == 201
        assert again[2] == first[2]
        assert again[1]["idempotent-replay"] == "true"
        other = _call(node, "POST", "/services/booking/book", key, b"other")
        assert other[0] == 422
        assert len(service.received) == before


class TestStreams:
    """Guards against broken streams that look whole, and against drain."""

    def _stream(self, node: Node) -> socket.socket:
        sock = _connect(node)
        head = b"X-Customer: shop\r\nContent-Length: %d\r\n\r\n" % len(_CHAT)
        sock.sendall(_POST + head + _CHAT)
        return sock

    def test_truncated_stream_ends_in_an_error_event(
        self, node: Node, service: ScriptedUpstream
    ) -> None:
        def truncate(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            event = token_event(request.request_id, 0)
            sock.sendall(chunk(event + b"data: {"))
            sock.shutdown(socket.SHUT_RDWR)

        service.script = truncate
        with self._stream(node) as sock:
            response = http.client.HTTPResponse(sock)
            response.begin()
            with pytest.raises(http.client.IncompleteRead) as caught:
                response.read()
        service.script = _serve
        events = caught.value.partial.split(b"\n\n")
        assert events[1].startswith(b"event: error\n")
        error = json.loads(events[1].partition(b"data: ")[2])["error"]
        assert (error["reason"], error["ran"]) == ("truncated", "unknown")
        assert error["request_id"] == service.received[-1].request_id

    def test_truncated_stream_is_reset_without_chunks(
        self, node: Node, service: ScriptedUpstream
    ) -> None:
        """Guards against HTTP/1.0 callers that take a part for the whole."""

        def truncate(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            sock.sendall(chunk(token_event(request.request_id, 0)))
            sock.shutdown(socket.SHUT_RDWR)

        service.script = truncate
        with _connect(node) as sock:
            head = b"X-Customer: shop\r\nContent-Length: %d\r\n\r\n"
            sock.sendall(
                _POST.replace(b"1.1", b"1.0") + head % len(_CHAT) + _CHAT
            )
            with pytest.raises(ConnectionResetError):
                while sock.recv(65536):
                    pass
        service.script = _serve

    def test_drain_finishes_streams_and_refuses_others(self) -> None:
        end = threading.Event()

        def wait(request: ReceivedRequest, sock: socket.socket) -> None:
            send_stream_head(sock, request)
            sock.sendall(chunk(token_event(request.request_id, 0)))
            end.wait(10)
            sock.sendall(
                chunk(final_events(request.request_id, 1)) + chunk(b"")
            )

        service = ScriptedUpstream(wait)
        node = _make_node(service.address)
        with self._stream(node) as sock:
            response = http.client.HTTPResponse(sock)
            response.begin()
            stopper = threading.Thread(target=node.stop)
            stopper.start()
            wait_until(lambda: node.not_ready_reason == "draining")
            status, _, body = _call(node, "GET", "/services/menu")
            assert status == 503
            error = json.loads(body)["error"]
            assert (error["reason"], error["ran"]) == ("draining", "no")
            end.set()
            assert response.read().endswith(b"data: [DONE]\n\n")
            stopper.join(15)
            assert not stopper.is_alive()
        service.stop()
