"""Simulated language model engine with continuous batching."""

import asyncio
import dataclasses
import json
import re
import time
from collections.abc import Mapping, Sequence

import xxhash

from tanagerport.standin_batch import (
    BatchEngine,
    EngineFaults,
    EngineProfile,
    Generation,
    LogEntry,
    VersionFault,
    expected_text,
    expected_token,
)
from tanagerport.standin_http import (
    HttpRequest,
    LoopThread,
    Responder,
    SimulatorServer,
    shared_loop_thread,
)

__all__ = [
    "EngineFaults",
    "EngineProfile",
    "StandinEngine",
    "VersionFault",
    "expected_text",
    "expected_token",
    "find_marker",
]

_DEFAULT_VERSION = "v1"
_DEFAULT_OUTPUT_TOKENS = 16
# Stands for the size of the KV cache of one token in exports.
_KV_BYTES_PER_TOKEN = 16
_ERROR_RATE_SCALE = 2**32
# Callers of the bench put `[[NAME]]` into each prompt, so that repeated
# executions are found even when a router makes up new request ids.
_MARKER = re.compile(r"\[\[([^\]]{1,64})\]\]")


class StandinEngine:
    """Engine with the chat-completions interface.

    Args:
        address: `ip:port` to listen on.
        profile: Speed of the engine.
        versions: Loaded versions by model, the first is the default; None
            accepts every model with version `v1`.
        seed: Seed of lost cache events.
        loop: Event loop to run in; shared by the process by default.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        profile: EngineProfile | None = None,
        versions: Mapping[str, Sequence[str]] | None = None,
        seed: int = 0,
        loop: LoopThread | None = None,
    ) -> None:
        self._profile = profile or EngineProfile()
        self._seed = seed
        self._loop = loop or shared_loop_thread()
        self._server = SimulatorServer(address, self._handle)
        self._open_models = versions is None
        self._versions = {
            model: list(names) for model, names in (versions or {}).items()
        }
        self._defaults = {
            model: names[0] for model, names in self._versions.items() if names
        }
        self._role = "any"
        self._fencing_token = 0
        self._orders: list[dict[str, object]] = []
        self._seen: list[str] = []
        self._recent: dict[str, Generation] = {}
        self._engine: BatchEngine | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Bound `ip:port`."""
        return self._server.address

    @property
    def seen_request_ids(self) -> list[str]:
        """Ids of all requests that were admitted, in order."""
        return list(self._seen)

    def start(self) -> None:
        """Serves in the background.

        Raises:
            OSError: The address can't be bound.
        """
        self._loop.run(self._start())

    def stop(self) -> None:
        """Stops the engine and breaks its streams."""
        self._loop.call(self._stop)

    async def _start(self) -> None:
        self._engine = BatchEngine(self._profile, self._seed)
        await self._server.start()
        self._task = asyncio.create_task(self._engine.run())

    def _stop(self) -> None:
        self._server.stop()
        if self._task is not None:
            self._task.cancel()

    @property
    def _core(self) -> BatchEngine:
        assert self._engine is not None, "the engine was not started"
        return self._engine

    def _handle(self, request: HttpRequest, responder: Responder) -> None:
        path = request.path
        if path.startswith("/admin/"):
            self._administer(request, responder)
        elif self._core.faults.hang:
            return
        elif path == "/v1/chat/completions":
            self._generate(request, responder)
        elif path == "/load":
            self._send(responder, 200, self._load())
        elif path == "/cache-events":
            since = int(request.query.get("since") or 0)
            events = self._core.cache.events_since(since)
            self._send(responder, 200, events)
        elif path == "/orders" and request.method == "POST":
            self._take_order(request, responder)
        elif path.startswith("/requests/"):
            _, _, request_id, action = path.split("/", 3)
            state = self._core.change(request_id, action)
            self._send(responder, 200, {"state": state})
        elif path.startswith("/kv/"):
            self._move_kv(request, responder, path.removeprefix("/kv/"))
        else:
            self._send(responder, 404, {"error": path})

    def _send(
        self,
        responder: Responder,
        status: int,
        document: object,
        headers: Sequence[tuple[str, str]] = (),
    ) -> None:
        leaving = [("X-Leaving", "true")] if self._core.faults.leaving else []
        responder.send_json(status, document, [*leaving, *headers])

    def _administer(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/admin/faults":
            document = request.json()
            versions = document.pop("version_faults", None)
            faults = dataclasses.replace(self._core.faults, **document)
            if versions is not None:
                faults = dataclasses.replace(
                    faults,
                    version_faults=tuple(
                        VersionFault(**item) for item in versions
                    ),
                )
            self._core.set_faults(faults)
            responder.send_json(200, {})
        elif request.path == "/admin/log":
            entries = [dataclasses.asdict(item) for item in self._core.log]
            responder.send_json(
                200, {"requests": entries, "orders": self._orders}
            )
        else:
            responder.send_json(404, {"error": request.path})

    def _load(self) -> dict[str, object]:
        return {
            **self._core.load(),
            "versions": self._versions,
            "default_versions": self._defaults,
            "role": self._role,
            "leaving": self._core.faults.leaving,
        }

    def _generate(self, request: HttpRequest, responder: Responder) -> None:
        body = request.json()
        model = body["model"]
        version = self._choose_version(
            model, request.headers.get("x-model-version", "")
        )
        if self._core.faults.not_started or version is None:
            self._send(
                responder,
                503,
                {"error": "not_started" if version else "version_not_loaded"},
                [("X-Not-Started", "true")],
            )
            return
        prompt = "\n".join(
            f"{item['role']}: {item['content']}" for item in body["messages"]
        )
        entry = _new_entry(request.headers, model, version, prompt)
        self._core.log.append(entry)
        self._seen.append(entry.request_id)
        if self._must_fail(entry, prompt):
            entry.ended, entry.outcome = time.monotonic(), "failed"
            self._send(responder, 500, {"error": "engine_fault"})
            return
        sink = _AnswerSink(
            entry, responder, self._core, bool(body.get("stream"))
        )
        generation = Generation(
            entry,
            prompt,
            int(
                body.get("max_completion_tokens")
                or body.get("max_tokens")
                or _DEFAULT_OUTPUT_TOKENS
            ),
            sink.on_token,
            sink.on_end,
        )
        sink.begin(generation)
        self._recent[entry.request_id] = generation
        self._core.submit(generation)

    def _choose_version(self, model: str, stated: str) -> str | None:
        if self._open_models and model not in self._versions:
            self._versions[model] = [stated or _DEFAULT_VERSION]
            self._defaults[model] = self._versions[model][0]
        version = stated or self._defaults.get(model, "")
        return version if version in self._versions.get(model, ()) else None

    def _must_fail(self, entry: LogEntry, prompt: str) -> bool:
        if self._core.faults.fail:
            return True
        fault = self._core.version_fault(entry)
        if fault is None:
            return False
        draw = hash_share(prompt)
        return draw < fault.error_rate

    def _take_order(self, request: HttpRequest, responder: Responder) -> None:
        order = request.json()
        token = int(order.get("fencing_token") or 0)
        record: dict[str, object] = {"at": time.monotonic(), **order}
        self._orders.append(record)
        if self._profile.checks_fencing and token < self._fencing_token:
            record["applied"] = False
            self._send(
                responder,
                409,
                {
                    "error": "stale_fencing_token",
                    "current": self._fencing_token,
                },
            )
            return
        self._fencing_token = max(token, self._fencing_token)
        error = self._apply_order(order)
        record["applied"] = not error
        if error:
            self._send(responder, 400, {"error": error})
        else:
            self._send(responder, 200, {"applied": True})

    def _apply_order(self, order: Mapping[str, str]) -> str:
        name, model = order.get("order"), order.get("model", "")
        version = order.get("version", "")
        loaded = self._versions.setdefault(model, []) if model else []
        if name == "load":
            asyncio.get_running_loop().call_later(
                self._profile.load_time_s, self._add_version, model, version
            )
        elif name == "unload":
            if version in loaded:
                loaded.remove(version)
        elif name == "set_default":
            if version not in loaded:
                return "version_not_loaded"
            self._defaults[model] = version
        elif name == "set_role":
            self._role = order.get("role") or "any"
        else:
            return f"unknown order {name!r}"
        return ""

    def _add_version(self, model: str, version: str) -> None:
        loaded = self._versions.setdefault(model, [])
        if version not in loaded:
            loaded.append(version)
        self._defaults.setdefault(model, version)

    def _move_kv(
        self, request: HttpRequest, responder: Responder, request_id: str
    ) -> None:
        if request.method == "PUT":
            document = request.json()
            self._core.cache.store(document["model"], document["prefix_hashes"])
            self._send(responder, 200, {"imported": True})
            return
        generation = self._recent.get(request_id)
        if generation is None:
            self._send(responder, 404, {"error": "unknown_request"})
            return
        entry = generation.entry
        self._send(
            responder,
            200,
            {
                "model": entry.model,
                "prefix_hashes": generation.hashes,
                "payload": "0" * (_KV_BYTES_PER_TOKEN * entry.prompt_tokens),
            },
        )


class _AnswerSink:
    """Writes the answer of one generation to its connection."""

    def __init__(
        self,
        entry: LogEntry,
        responder: Responder,
        engine: BatchEngine,
        stream: bool,
    ) -> None:
        self._entry = entry
        self._responder = responder
        self._engine = engine
        self._stream = stream
        self._started = False
        self._checksum = 0
        self._event_start = (
            f'data: {{"id": {json.dumps(entry.request_id)}, '
            '"object": "chat.completion.chunk", '
            '"choices": [{"index": 0, "delta": {"content": "'
        )

    def begin(self, generation: Generation) -> None:
        self._checksum = generation.checksum
        self._responder.on_disconnect = lambda: self._engine.end(
            generation, "disconnected"
        )

    def on_token(self, index: int) -> None:
        if not self._stream:
            return
        if not self._started:
            self._start()
        token = expected_token(self._checksum, index)
        event = f'{self._event_start}{token}"}}, "n": {index}}}]}}\n\n'
        self._responder.write(event.encode())

    def on_end(self, outcome: str) -> None:
        if not self._stream:
            self._send_document(outcome)
            return
        if not self._started:
            self._start()
        if outcome == "complete":
            usage = {
                "id": self._entry.request_id,
                "choices": [],
                "usage": self._usage(),
            }
            self._responder.write(
                f"data: {json.dumps(usage)}\n\ndata: [DONE]\n\n".encode()
            )
        self._responder.finish()

    def _start(self) -> None:
        self._started = True
        headers = [("Content-Type", "text/event-stream"), *self._headers()]
        self._responder.start(200, headers)

    def _headers(self) -> list[tuple[str, str]]:
        headers = [
            ("X-Request-Id", self._entry.request_id),
            ("X-Model-Version", self._entry.version),
        ]
        if self._engine.faults.leaving:
            headers.append(("X-Leaving", "true"))
        return headers

    def _send_document(self, outcome: str) -> None:
        if outcome != "complete":
            self._responder.send_json(500, {"error": outcome}, self._headers())
            return
        text = "".join(
            expected_token(self._checksum, index)
            for index in range(self._entry.output_tokens)
        )
        message = {"role": "assistant", "content": text}
        self._responder.send_json(
            200,
            {
                "id": self._entry.request_id,
                "object": "chat.completion",
                "choices": [
                    {"index": 0, "message": message, "finish_reason": "stop"}
                ],
                "usage": self._usage(),
            },
            self._headers(),
        )

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": self._entry.prompt_tokens,
            "cached_tokens": self._entry.cached_tokens,
            "completion_tokens": self._entry.output_tokens,
        }


def find_marker(text: str) -> str:
    """Returns the `[[NAME]]` marker of a prompt or body, empty if absent."""
    match = _MARKER.search(text)
    return match.group(1) if match else ""


def hash_share(text: str) -> float:
    """Returns a number from 0 to 1 that depends only on the text."""
    # CRC-32 is linear, so similar prompts would get similar numbers.
    return xxhash.xxh32_intdigest(text.encode()) / _ERROR_RATE_SCALE


def _new_entry(
    headers: Mapping[str, str], model: str, version: str, prompt: str
) -> LogEntry:
    return LogEntry(
        request_id=headers.get("x-request-id", ""),
        key=headers.get("idempotency-key", ""),
        customer=headers.get("x-customer", ""),
        class_name=headers.get("x-class", ""),
        model=model,
        version=version,
        marker=find_marker(prompt),
        started=time.monotonic(),
    )
