"""Tests of resends and forwarding between running nodes."""

import functools
import http.client
import itertools
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from cluster import HINT, make_settings, wait_until
from scripted_upstream import (
    ReceivedRequest,
    ScriptedUpstream,
    completion,
    request_id_header,
    send_document,
    send_stream,
)
from tanagerport.answers import AnswerKeeper
from tanagerport.clock import FakeClock, SystemClock
from tanagerport.exceptions import AnswerTruncatedError, RefusedError
from tanagerport.forwarding import Forwarder
from tanagerport.key_claims import DuplicateKeyError
from tanagerport.metrics import Metrics
from tanagerport.model import VM, Ran, RefusalReason, Request, VMRole
from tanagerport.node import Node, create_node
from tanagerport.platform import Platform
from tanagerport.platform_memory import (
    MemoryObjectStore,
    MemoryTableStore,
    MemoryVMList,
    MemoryWeightStore,
)
from tanagerport.settings import split_address

_ZONES = {"node-1": "p", "node-2": "p", "node-3": "p", "node-4": "q"}
_KEYS = (f"key-{number}" for number in itertools.count())


class _Deployment:
    """Nodes of two zones in front of one scripted engine in each."""

    def __init__(self) -> None:
        self.engine = ScriptedUpstream(_answer)
        self.vm_list = MemoryVMList()
        self.platform = Platform(
            MemoryTableStore(),
            MemoryObjectStore(),
            self.vm_list,
            MemoryWeightStore(),
        )
        self.nodes: dict[str, Node] = {}
        for node_id, zone in _ZONES.items():
            node = create_node(
                make_settings(node_id, zone), platform=self.platform
            )
            self.nodes[node_id] = node
            node.start()
            self.vm_list.set_vms(self._vms())
        for node in self.nodes.values():
            wait_until(functools.partial(self._is_settled, node))

    def _vms(self) -> Iterator[VM]:
        for node_id, node in self.nodes.items():
            yield VM(
                node_id,
                VMRole.ENTRY,
                _ZONES[node_id],
                "lower-mainland",
                node.peer_address,
            )
        for zone in ("p", "q"):
            yield VM(
                f"engine-{zone}",
                VMRole.ENGINE,
                zone,
                "lower-mainland",
                self.engine.address,
                serves=("tutor",),
                slots=16,
            )

    def _is_settled(self, node: Node) -> bool:
        views = node.membership.nodes()
        return (
            not node.not_ready_reason
            and len(views) == len(_ZONES)
            and all(view.boot_id for view in views)
            and bool(node.membership.upstreams(node.settings.zone))
        )

    def post(
        self, node_id: str, key: str, is_stream: bool = False, attempt: int = 1
    ) -> tuple[int, dict[str, str], bytes]:
        host, port = split_address(self.nodes[node_id].caller_address)
        connection = http.client.HTTPConnection(host, port, timeout=20)
        body = {"model": "tutor", "messages": [], "stream": is_stream}
        connection.request(
            "POST",
            "/v1/chat/completions",
            json.dumps(body),
            {"Idempotency-Key": key, "Idempotency-Attempt": str(attempt)},
        )
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()

    def dispatches(self, action: Callable[[], None]) -> int:
        before = len(self.engine.received)
        action()
        return len(self.engine.received) - before


def _answer(request: ReceivedRequest, sock: socket.socket) -> None:
    if json.loads(request.body).get("stream"):
        send_stream(request, sock)
    else:
        send_document(
            sock,
            completion(request),
            headers=request_id_header(request),
        )


@pytest.fixture(scope="module")
def deployment() -> Iterator[_Deployment]:
    deployment = _Deployment()
    yield deployment
    for node in deployment.nodes.values():
        node.stop()
    deployment.engine.stop()


def _reason(body: bytes) -> str:
    return json.loads(body)["error"]["reason"]


class TestResends:
    """Guards against a second dispatch of a key anywhere."""

    @pytest.mark.parametrize("is_stream", [False, True])
    def test_other_nodes_replay_the_answer(
        self, deployment: _Deployment, is_stream: bool
    ) -> None:
        key = next(_KEYS)
        first = deployment.post("node-1", key, is_stream)
        assert first[0] == 200
        assert first[2].endswith(b"[DONE]\n\n") or b"x x x" in first[2]
        before = len(deployment.engine.received)
        for attempt, node_id in enumerate(("node-2", "node-4", "node-1"), 2):
            again = deployment.post(node_id, key, is_stream, attempt)
            assert (again[0], again[2]) == (first[0], first[2])
            assert again[1]["Idempotent-Replay"] == "true"
        assert len(deployment.engine.received) == before

    def test_concurrent_resends_dispatch_once(
        self, deployment: _Deployment
    ) -> None:
        for _ in range(10):
            key = next(_KEYS)
            statuses: list[int] = []

            dispatches = deployment.dispatches(
                functools.partial(self._send_all, deployment, key, statuses)
            )
            assert dispatches == 1
            assert set(statuses) <= {200, 409}

    def _send_all(
        self, deployment: _Deployment, key: str, statuses: list[int]
    ) -> None:
        def send(node_id: str) -> None:
            statuses.append(deployment.post(node_id, key)[0])

        threads = [
            threading.Thread(target=send, args=(node_id,)) for node_id in _ZONES
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def test_key_in_progress_is_named_so(self, deployment: _Deployment) -> None:
        key = next(_KEYS)
        started, end = threading.Event(), threading.Event()

        def wait(request: ReceivedRequest, sock: socket.socket) -> None:
            started.set()
            end.wait(20)
            _answer(request, sock)

        deployment.engine.script = wait
        first = threading.Thread(target=deployment.post, args=("node-1", key))
        first.start()
        started.wait(20)
        status, _, body = deployment.post("node-4", key, attempt=2)
        end.set()
        first.join()
        deployment.engine.script = _answer
        assert (status, _reason(body)) == (409, "duplicate_in_progress")

    def test_finished_key_is_named_so_without_its_answer(
        self, deployment: _Deployment
    ) -> None:
        """Guards against an answer over the bound that is kept or rerun."""
        key = next(_KEYS)
        deployment.engine.script = lambda request, sock: send_document(
            sock,
            completion(request, 600_000),
            headers=request_id_header(request),
        )
        assert deployment.post("node-1", key)[0] == 200
        deployment.engine.script = _answer
        status, _, body = deployment.post("node-4", key, attempt=2)
        assert (status, _reason(body)) == (409, "duplicate_finished")

    def test_key_of_a_request_that_was_refused_can_run(
        self, deployment: _Deployment
    ) -> None:
        key = next(_KEYS)

        def refuse(request: ReceivedRequest, sock: socket.socket) -> None:
            del request
            send_document(
                sock,
                {},
                503,
                "X-Not-Started: true\r\n",
            )

        deployment.engine.script = refuse
        status, _, body = deployment.post("node-1", key)
        deployment.engine.script = _answer
        assert status == 503
        assert json.loads(body)["error"]["ran"] == "no"
        assert deployment.post("node-2", key, attempt=2)[0] == 200


class TestForwarding:
    """Guards against forwarded requests that run twice or break unseen."""

    def _forwarder(self, deployment: _Deployment) -> Forwarder:
        node = deployment.nodes["node-1"]
        return Forwarder(node.membership, node.peers, Metrics(), SystemClock())

    def _request(self, is_stream: bool) -> Request:
        now = time.monotonic()
        body = {"model": "tutor", "messages": [], "stream": is_stream}
        return Request(
            f"forwarded-{next(_KEYS)}",
            HINT,
            "customer",
            json.dumps(body).encode(),
            now,
            now + 10,
            stream=is_stream,
        )

    @pytest.mark.parametrize("is_stream", [False, True])
    def test_request_runs_once_at_the_other_node(
        self, deployment: _Deployment, is_stream: bool
    ) -> None:
        forwarder = self._forwarder(deployment)
        request = self._request(is_stream)
        answer = forwarder.forward(request, "node-4")
        assert answer.status == 200
        assert b"".join(answer.chunks())
        before = len(deployment.engine.received)
        with pytest.raises(RefusedError) as caught:
            forwarder.forward(request, "node-4")
        assert caught.value.refusal.ran is Ran.UNKNOWN
        assert len(deployment.engine.received) == before

    def test_broken_answer_breaks_here_too(
        self, deployment: _Deployment
    ) -> None:
        def truncate(request: ReceivedRequest, sock: socket.socket) -> None:
            send_document(
                sock,
                completion(request),
                headers=request_id_header(request),
                missing=3,
            )
            sock.shutdown(2)

        deployment.engine.script = truncate
        forwarder = self._forwarder(deployment)
        with pytest.raises((RefusedError, AnswerTruncatedError)) as caught:
            forwarder.forward(self._request(False), "node-4")
        deployment.engine.script = _answer
        assert isinstance(caught.value, RefusedError)
        assert caught.value.refusal.reason is RefusalReason.TRUNCATED
        assert caught.value.refusal.ran is Ran.UNKNOWN

    @pytest.mark.parametrize("node_id", ["node-4", "gone"])
    def test_key_whose_owner_does_not_know_it_is_unknown(
        self, deployment: _Deployment, node_id: str
    ) -> None:
        """Guards against a guess about a request of a restarted node."""
        duplicate = DuplicateKeyError(node_id, "lost", is_finished=False)
        with pytest.raises(RefusedError) as caught:
            self._forwarder(deployment).replay(duplicate)
        refusal = caught.value.refusal
        assert refusal.reason is RefusalReason.CLAIM_UNKNOWN
        assert refusal.ran is Ran.UNKNOWN

    def test_node_that_is_not_there_is_unknown(
        self, deployment: _Deployment
    ) -> None:
        with pytest.raises(RefusedError) as caught:
            self._forwarder(deployment).forward(self._request(False), "gone")
        assert caught.value.refusal.ran is Ran.UNKNOWN


class TestAnswerKeeper:
    """Guards against kept answers that take the memory of a node."""

    def test_bounds_in_time_and_bytes(self) -> None:
        clock = FakeClock()
        keeper = AnswerKeeper(clock, 60, max_bytes=25, max_answer_bytes=12)
        for number in range(4):
            recorder = keeper.start(f"r{number}")
            recorder.add(b"x" * (10 if number < 3 else 13))
            keeper.finish(f"r{number}", "customer", 200, "", recorder)
        assert [number for number in range(4) if keeper.get(f"r{number}")] == [
            1,
            2,
        ]
        assert keeper.kept_bytes == 20
        clock.advance(61)
        assert keeper.get("r2") is None
        assert keeper.kept_bytes == 0
