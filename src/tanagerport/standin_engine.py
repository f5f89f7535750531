"""Simulated language model engine with continuous batching."""

import dataclasses
import json
import queue
import threading
import time
import zlib
from collections.abc import Iterable, Iterator

from tanagerport.http_server import (
    Environ,
    HttpServer,
    StartResponse,
    json_response,
    read_body,
)

_END_OF_STREAM = None


@dataclasses.dataclass(frozen=True)
class EngineProfile:
    """Speed of a simulated engine.

    Attributes:
        step_s: Seconds of one decoding step of a batch of one.
        step_per_request_s: Further seconds for each request of the batch.
        prefill_s_per_token: Seconds of prefill for each prompt token.
        max_batch: Requests that decode at once; others wait in the engine.
    """

    step_s: float = 0.004
    step_per_request_s: float = 0.0005
    prefill_s_per_token: float = 0.00005
    max_batch: int = 16


class _Generation:
    """A request in the engine."""

    def __init__(
        self, request_id: str, prompt: str, output_tokens: int
    ) -> None:
        self.request_id = request_id
        self.prompt_tokens = max(1, len(prompt) // 4)
        self.checksum = zlib.crc32(prompt.encode())
        self.output_tokens = output_tokens
        self.produced = 0
        self.cancelled = False
        self.tokens: queue.Queue[str | None] = queue.Queue()


class StandinEngine:
    """Engine with the chat-completions interface.

    Args:
        address: `ip:port` to listen on.
        profile: Speed of the engine.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        profile: EngineProfile | None = None,
    ) -> None:
        self._profile = profile or EngineProfile()
        self._server = HttpServer(address, self._application, threads=64)
        self._condition = threading.Condition()
        self._waiting: list[_Generation] = []
        self._batch: list[_Generation] = []
        self._stopping = False
        self._seen: list[str] = []
        self._thread = threading.Thread(
            target=self._run_batches, name="engine", daemon=True
        )

    @property
    def address(self) -> str:
        """Bound `ip:port`."""
        return self._server.address

    @property
    def seen_request_ids(self) -> list[str]:
        """Ids of all requests that were admitted, in order."""
        return list(self._seen)

    def start(self) -> None:
        """Serves in the background."""
        self._server.start()
        self._thread.start()

    def stop(self) -> None:
        """Stops the engine."""
        with self._condition:
            self._stopping = True
            self._condition.notify_all()
        self._server.stop()

    def _application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/load":
            return json_response(start_response, 200, self._load())
        if path == "/v1/chat/completions":
            return self._generate(environ, start_response)
        return json_response(start_response, 404, {"error": path})

    def _load(self) -> dict[str, object]:
        with self._condition:
            return {
                "running": len(self._batch),
                "waiting": len(self._waiting),
                "max_batch": self._profile.max_batch,
            }

    def _generate(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = json.loads(read_body(environ))
        prompt = "\n".join(
            f"{item['role']}: {item['content']}" for item in body["messages"]
        )
        generation = _Generation(
            environ.get("HTTP_X_REQUEST_ID", ""),
            prompt,
            int(body.get("max_tokens") or 16),
        )
        with self._condition:
            self._seen.append(generation.request_id)
            self._waiting.append(generation)
            self._condition.notify_all()
        if body.get("stream"):
            start_response(
                "200 OK",
                [
                    ("Content-Type", "text/event-stream"),
                    ("X-Request-Id", generation.request_id),
                ],
            )
            return _EventBody(generation)
        text = "".join(_tokens(generation))
        return json_response(
            start_response,
            200,
            {
                "id": generation.request_id,
                "object": "chat.completion",
                "choices": [
                    {
                        "index": 0,
                        "message": {"role": "assistant", "content": text},
                        "finish_reason": "stop",
                    }
                ],
                "usage": _usage(generation),
            },
        )

    def _run_batches(self) -> None:
        while True:
            with self._condition:
                while not self._stopping and not (self._waiting or self._batch):
                    self._condition.wait()
                if self._stopping:
                    return
                admitted = self._admit()
            profile = self._profile
            prefill_tokens = sum(item.prompt_tokens for item in admitted)
            time.sleep(
                profile.step_s
                + profile.step_per_request_s * len(self._batch)
                + profile.prefill_s_per_token * prefill_tokens
            )
            self._decode_step()

    def _admit(self) -> list[_Generation]:
        free = self._profile.max_batch - len(self._batch)
        admitted, self._waiting = self._waiting[:free], self._waiting[free:]
        self._batch.extend(admitted)
        return admitted

    def _decode_step(self) -> None:
        remaining = []
        for item in self._batch:
            if item.cancelled:
                continue
            item.tokens.put(expected_token(item.checksum, item.produced))
            item.produced += 1
            if item.produced < item.output_tokens:
                remaining.append(item)
            else:
                item.tokens.put(_END_OF_STREAM)
        with self._condition:
            self._batch = remaining


class _EventBody:
    """Server-sent events of a generation; closing cancels it."""

    def __init__(self, generation: _Generation) -> None:
        self._generation = generation

    def __iter__(self) -> Iterator[bytes]:
        generation = self._generation
        for index, token in enumerate(_tokens(generation)):
            yield _event(
                {
                    "id": generation.request_id,
                    "object": "chat.completion.chunk",
                    "choices": [
                        {"index": 0, "delta": {"content": token}, "n": index}
                    ],
                }
            )
        yield _event(
            {
                "id": generation.request_id,
                "choices": [],
                "usage": _usage(generation),
            }
        )
        yield b"data: [DONE]\n\n"

    def close(self) -> None:
        self._generation.cancelled = True


def expected_token(checksum: int, index: int) -> str:
    """Returns the token that an engine produces for a prompt.

    Args:
        checksum: CRC-32 of the prompt.
        index: Position in the answer.
    """
    return f"{checksum:08x}-{index} "


def expected_text(prompt: str, output_tokens: int) -> str:
    """Returns the whole answer that an engine produces for a prompt."""
    checksum = zlib.crc32(prompt.encode())
    return "".join(
        expected_token(checksum, index) for index in range(output_tokens)
    )


def _tokens(generation: _Generation) -> Iterator[str]:
    while (token := generation.tokens.get()) is not _END_OF_STREAM:
        yield token


def _usage(generation: _Generation) -> dict[str, int]:
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.produced,
    }


def _event(document: object) -> bytes:
    return f"data: {json.dumps(document)}\n\n".encode()
