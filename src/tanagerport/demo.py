"""Demonstration: an embedded node in front of simulated upstreams."""

import collections
import contextlib
import dataclasses
import json
import pathlib
import tempfile
import threading
import time
from collections.abc import Iterator, Sequence

import urllib3

from tanagerport.exceptions import TanagerportError
from tanagerport.model import VM, UpstreamKind, VMRole, WorkClass
from tanagerport.node import Node, create_node
from tanagerport.settings import PlatformSettings, Settings
from tanagerport.standin_engine import (
    EngineProfile,
    StandinEngine,
    expected_text,
)
from tanagerport.standin_service import StandinService

_ZONE, _REGION = "lm-burnaby", "lower-mainland"
_REQUEST_TIMEOUT_S = 30.0
_READY_TIMEOUT_S = 10.0
_SERVE_ADDRESSES = ("127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082")
_OPERATOR_TOKEN = "demo-operator-token"
_STEP_SECONDS = (0.003, 0.006, 0.010)

_CLASSES = (
    WorkClass(
        "caption-hint", 0, UpstreamKind.ENGINE, "tutor",
        typical_output_tokens=8, deadline_s=3,
    ),
    WorkClass(
        "coaching-turn", 0, UpstreamKind.ENGINE, "tutor",
        typical_output_tokens=40, deadline_s=10,
    ),
    WorkClass(
        "drill-set", 2, UpstreamKind.ENGINE, "tutor",
        first_token_target_s=5, typical_output_tokens=400,
    ),
    WorkClass(
        "counter-draft", 0, UpstreamKind.ENGINE, "dresser",
        typical_output_tokens=24, deadline_s=5,
    ),
    WorkClass(
        "fitting-summary", 2, UpstreamKind.ENGINE, "dresser",
        first_token_target_s=5, typical_output_tokens=300,
    ),
    WorkClass(
        "booking", 1, UpstreamKind.SERVICE, "booking", idempotent=False,
    ),
)  # fmt: skip


@dataclasses.dataclass(frozen=True)
class _Result:
    class_name: str
    tier: int
    correct: bool
    in_target: bool
    first_byte_s: float
    elapsed_s: float
    detail: str


def run_demo() -> int:
    """Runs the demonstration.

    Returns:
        Exit code: 0 if every answer was right, else 1.
    """
    with _running_node(("127.0.0.1:0",) * 3) as node:
        results = _send_all(node)
    return _report(results)


def serve_demo() -> int:
    """Serves on fixed addresses until SIGINT.

    Returns:
        Exit code 0.
    """
    with _running_node(_SERVE_ADDRESSES):
        token_path = pathlib.Path(tempfile.mkstemp(prefix="tanagerport-")[1])
        token_path.write_text(_OPERATOR_TOKEN)
        print(_SERVE_TEXT.format(token_path=token_path), flush=True)
        try:
            threading.Event().wait()
        except KeyboardInterrupt:
            print("draining")
        finally:
            token_path.unlink()
    return 0


_SERVE_TEXT = """\
Serving on 127.0.0.1:8080 until Ctrl-C. In another terminal:

  curl -N http://127.0.0.1:8080/v1/chat/completions \\
    -H 'X-Class: coaching-turn' -H 'X-Customer: quietword' \\
    -d '{{"model": "tutor", "stream": true, "max_tokens": 20,
         "messages": [{{"role": "user", "content": "say bah"}}]}}'

  tanagerport status --operator=127.0.0.1:8081 --token_file={token_path}
"""


@contextlib.contextmanager
def _running_node(addresses: Sequence[str]) -> Iterator[Node]:
    engines = [
        StandinEngine(profile=EngineProfile(step_s=step_s))
        for step_s in _STEP_SECONDS
    ]
    service = StandinService()
    upstreams: list[StandinEngine | StandinService] = [*engines, service]
    for upstream in upstreams:
        upstream.start()
    node = create_node(_build_settings(engines, service, addresses))
    node.start()
    _wait_until_ready(node)
    try:
        yield node
    finally:
        node.stop()
        for upstream in upstreams:
            upstream.stop()


def _wait_until_ready(node: Node) -> None:
    give_up_at = time.monotonic() + _READY_TIMEOUT_S
    while node.not_ready_reason:
        if time.monotonic() > give_up_at:
            raise TanagerportError(
                f"node is not ready after {_READY_TIMEOUT_S:g} s:"
                f" {node.not_ready_reason}"
            )
        time.sleep(0.05)


def _build_settings(
    engines: list[StandinEngine],
    service: StandinService,
    addresses: Sequence[str],
) -> Settings:
    vms = [
        VM(
            f"engine-{index}",
            VMRole.ENGINE,
            _ZONE,
            _REGION,
            engine.address,
            serves=("tutor", "dresser"),
        )
        for index, engine in enumerate(engines, 1)
    ]
    vms.append(
        VM(
            "booking-1",
            VMRole.SERVICE,
            _ZONE,
            _REGION,
            service.address,
            serves=("booking",),
        )
    )
    return Settings(
        node_id="node-1",
        zone=_ZONE,
        region=_REGION,
        listen=addresses[0],
        operator_listen=addresses[1],
        peer_listen=addresses[2],
        operator_token=_OPERATOR_TOKEN,
        peer_token="demo-peer-token",
        platform=PlatformSettings(vms=tuple(vms)),
        classes=_CLASSES,
    )


def _send_all(node: Node) -> list[_Result]:
    results: list[_Result] = []
    threads = []
    for number in range(6):
        for work_class in _CLASSES:
            thread = threading.Thread(
                target=lambda item=work_class, index=number: results.append(
                    _send(node.caller_address, item, index)
                )
            )
            thread.start()
            threads.append(thread)
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    return results


def _send(address: str, work_class: WorkClass, number: int) -> _Result:
    is_engine = work_class.kind is UpstreamKind.ENGINE
    prompt = f"{work_class.name} number {number}"
    tokens = work_class.typical_output_tokens
    body = {
        "model": work_class.model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": tokens,
    }
    path = "/v1/chat/completions" if is_engine else "/services/booking/book"
    key = f"{work_class.name}-{number}"
    started = time.monotonic()
    first_byte_s = 0.0
    content = b""
    with urllib3.PoolManager() as pool:
        response = pool.request(
            "POST",
            f"http://{address}{path}",
            body=json.dumps(body),
            headers={
                "X-Class": work_class.name,
                "X-Customer": "demo",
                "Content-Type": "application/json",
                "Idempotency-Key": key,
            },
            timeout=_REQUEST_TIMEOUT_S,
            preload_content=False,
            retries=False,
        )
        for chunk in response.stream():
            if not content:
                first_byte_s = time.monotonic() - started
            content += chunk
    elapsed_s = time.monotonic() - started
    if is_engine:
        text = _event_text(content)
        correct = text == expected_text(f"user: {prompt}", tokens)
        detail = f"{len(text.split())} tokens"
    else:
        text = content.decode()
        correct = response.status == 200 and json.loads(text)["key"] == key
        detail = "confirmed" if correct else text
    return _Result(
        work_class.name,
        work_class.tier,
        correct,
        correct
        and first_byte_s <= work_class.first_token_target_s
        and elapsed_s <= work_class.deadline_s,
        first_byte_s,
        elapsed_s,
        detail,
    )


def _event_text(content: bytes) -> str:
    text = ""
    for line in content.decode().splitlines():
        if not line.startswith("data: {"):
            continue
        for choice in json.loads(line[6:]).get("choices", ()):
            text += choice["delta"]["content"]
    return text


def _report(results: list[_Result]) -> int:
    print(f"{'class':16} {'answer':12} {'first byte':>10} {'total':>8}  ok")
    for result in sorted(results, key=lambda item: item.class_name):
        print(
            f"{result.class_name:16} {result.detail:12}"
            f" {result.first_byte_s * 1000:7.0f} ms"
            f" {result.elapsed_s * 1000:5.0f} ms"
            f"  {'yes' if result.correct else 'NO'}"
        )
    offered = collections.Counter(item.tier for item in results)
    good = collections.Counter(item.tier for item in results if item.in_target)
    print(f"\n{'tier':>4} {'offered':>8} {'in target':>10} {'goodput':>8}")
    for tier in sorted(offered):
        print(
            f"{tier:4} {offered[tier]:8} {good[tier]:10}"
            f" {good[tier] / offered[tier]:8.2f}"
        )
    wrong = sum(not item.correct for item in results)
    print(f"\n{len(results)} answers, {wrong} wrong")
    return 1 if wrong else 0
