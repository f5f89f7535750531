"""Simulated plain service that counts executions for each key."""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Mapping

from tanagerport.standin_engine import find_marker
from tanagerport.standin_http import (
    HttpRequest,
    LoopThread,
    Responder,
    SimulatorServer,
    shared_loop_thread,
)


@dataclasses.dataclass(frozen=True)
class ServiceFaults:
    """Faults of a service, set at run time.

    Attributes:
        slow_s: Further seconds of each call.
        fail: Every call gets `500` after its execution.
        lose_answers: Calls are executed and get no answer; the connection
            closes.
        hang: Calls are neither executed nor answered.
        leaving: The service says that it is leaving.
        not_started: Every call gets `503` with `X-Not-Started`.
    """

    slow_s: float = 0.0
    fail: bool = False
    lose_answers: bool = False
    hang: bool = False
    leaving: bool = False
    not_started: bool = False


@dataclasses.dataclass
class ServiceEntry:
    """What the service knows of one call; times are monotonic seconds."""

    request_id: str
    key: str
    customer: str
    class_name: str
    path: str
    marker: str
    started: float
    ended: float | None = None
    outcome: str = "running"
    complete: bool = False


class StandinService:
    """Plain service, such as a booking system.

    Args:
        address: `ip:port` to listen on.
        service_time_s: Seconds that a call takes.
        loop: Event loop to run in; shared by the process by default.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        service_time_s: float = 0.01,
        loop: LoopThread | None = None,
    ) -> None:
        self._service_time_s = service_time_s
        self._loop = loop or shared_loop_thread()
        self._server = SimulatorServer(address, self._handle)
        self._faults = ServiceFaults()
        self._log: list[ServiceEntry] = []

    @property
    def address(self) -> str:
        """Bound `ip:port`."""
        return self._server.address

    @property
    def executions(self) -> Mapping[str, int]:
        """Number of executions by idempotency key."""
        return collections.Counter(entry.key for entry in list(self._log))

    def start(self) -> None:
        """Serves in the background.

        Raises:
            OSError: The address can't be bound.
        """
        self._loop.run(self._server.start())

    def stop(self) -> None:
        """Stops the service."""
        self._loop.call(self._server.stop)

    def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/admin/faults":
            self._faults = dataclasses.replace(self._faults, **request.json())
            responder.send_json(200, {})
        elif request.path == "/admin/log":
            entries = [dataclasses.asdict(item) for item in self._log]
            responder.send_json(200, {"requests": entries})
        elif self._faults.not_started:
            responder.send_json(
                503, {"error": "not_started"}, [("X-Not-Started", "true")]
            )
        elif not self._faults.hang:
            self._execute(request, responder)

    def _execute(self, request: HttpRequest, responder: Responder) -> None:
        headers = request.headers
        entry = ServiceEntry(
            request_id=headers.get("x-request-id", ""),
            key=headers.get("idempotency-key", ""),
            customer=headers.get("x-customer", ""),
            class_name=headers.get("x-class", ""),
            path=request.path,
            marker=find_marker(request.body.decode("utf-8", "replace")),
            started=time.monotonic(),
        )
        self._log.append(entry)
        asyncio.get_running_loop().call_later(
            self._service_time_s + self._faults.slow_s,
            self._answer,
            entry,
            responder,
            len(request.body),
        )

    def _answer(
        self, entry: ServiceEntry, responder: Responder, received_bytes: int
    ) -> None:
        entry.ended = time.monotonic()
        leaving = [("X-Leaving", "true")] if self._faults.leaving else []
        if self._faults.lose_answers:
            entry.outcome = "answer_lost"
            responder.abort()
        elif self._faults.fail:
            entry.outcome = "failed"
            responder.send_json(500, {"error": "service_fault"}, leaving)
        else:
            entry.outcome, entry.complete = "complete", True
            responder.send_json(
                200,
                {
                    "path": entry.path,
                    "key": entry.key,
                    "marker": entry.marker,
                    "received_bytes": received_bytes,
                },
                leaving,
            )
