"""Tests of the callers' HTTP interface against a running node."""

import http.client
import json
import socket
from collections.abc import Iterator

import pytest

from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.node import Node, create_node
from tanagerport.settings import PlatformSettings, Settings, split_address
from tanagerport.standin_engine import StandinEngine, expected_text

_BODY = {
    "model": "tutor",
    "messages": [{"role": "user", "content": "say bah"}],
    "max_tokens": 5,
}


@pytest.fixture(scope="module")
def engine() -> Iterator[StandinEngine]:
    engine = StandinEngine()
    engine.start()
    yield engine
    engine.stop()


@pytest.fixture(scope="module")
def node(engine: StandinEngine) -> Iterator[Node]:
    vm = VM(
        "engine-1",
        VMRole.ENGINE,
        "zone-a",
        "region-a",
        engine.address,
        serves=("tutor",),
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
            platform=PlatformSettings(vms=(vm,)),
            classes=(
                WorkClass("caption-hint", 0, UpstreamKind.ENGINE, "tutor"),
            ),
            max_body_bytes=4096,
            caller_threads=8,
        )
    )
    node.start()
    yield node
    node.stop()


def _post(
    node: Node, body: bytes, headers: dict[str, str] | None = None
) -> tuple[int, bytes]:
    host, port = split_address(node.caller_address)
    connection = http.client.HTTPConnection(host, port, timeout=10)
    connection.request(
        "POST", "/v1/chat/completions", body=body, headers=headers or {}
    )
    response = connection.getresponse()
    return response.status, response.read()


def _assert_serving(node: Node) -> None:
    status, answer = _post(node, json.dumps(_BODY).encode())
    assert status == 200
    text = json.loads(answer)["choices"][0]["message"]["content"]
    assert text == expected_text("user: say bah", 5)


class TestBadRequests:
    """Guards against bad input that is half applied or stops the node."""

    @pytest.mark.parametrize(
        ("body", "headers", "status", "reason"),
        [
            (b"{not json", {}, 400, "bad_request"),
            (b'{"model": "tutor"}', {}, 400, "bad_request"),
            (b"\xff\xfe", {}, 400, "bad_request"),
            (
                json.dumps(_BODY).encode(),
                {"X-Class": "no-such-class"},
                400,
                "unknown_class",
            ),
            (
                json.dumps(_BODY | {"model": "other"}).encode(),
                {},
                404,
                "unknown_model",
            ),
            (b"x" * 5000, {}, 413, "body_too_large"),
            (
                json.dumps(_BODY).encode(),
                {"X-Deadline-Ms": "-5"},
                400,
                "bad_request",
            ),
            (
                json.dumps(_BODY).encode(),
                {"X-Customer": "c" * 300},
                400,
                "bad_request",
            ),
            (
                json.dumps(_BODY).encode(),
                {"X-Padding": "p" * 40_000},
                413,
                "body_too_large",
            ),
        ],
    )
    def test_is_refused_as_not_run(
        self,
        node: Node,
        engine: StandinEngine,
        body: bytes,
        headers: dict[str, str],
        status: int,
        reason: str,
    ) -> None:
        before = len(engine.seen_request_ids)
        answer_status, answer = _post(node, body, headers)
        error = json.loads(answer)["error"]
        assert (answer_status, error["reason"]) == (status, reason)
        assert error["ran"] == "no"
        assert len(engine.seen_request_ids) == before
        _assert_serving(node)

    @pytest.mark.parametrize(
        "request_bytes",
        [
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 100\r\n\r\n{",
            b"\x00\x01\x02\r\n\r\n",
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: minus\r\n\r\n",
            b"GET / HTTP/1.1\r\nno colon here\r\n\r\n",
        ],
    )
    def test_broken_http_gets_a_4xx(
        self, node: Node, request_bytes: bytes
    ) -> None:
        """Guards against a half-sent request that takes the node down."""
        with socket.create_connection(
            split_address(node.caller_address), timeout=15
        ) as sock:
            sock.sendall(request_bytes)
            sock.shutdown(socket.SHUT_WR)
            answer = sock.recv(65536)
        assert answer.startswith(b"HTTP/1.1 4")
        _assert_serving(node)


class TestUnknownPaths:
    """Guards against paths that reach an upstream by accident."""

    def test_unknown_path_is_not_found(self, node: Node) -> None:
        host, port = split_address(node.caller_address)
        connection = http.client.HTTPConnection(host, port, timeout=10)
        connection.request("GET", "/metrics")
        response = connection.getresponse()
        assert response.status == 404
        assert json.loads(response.read())["error"]["reason"] == "not_found"
