"""HTTP interface for callers."""

import json
import socket
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)
from typing import Protocol

import structlog

from tanagerport.answers import Answer
from tanagerport.caller_requests import (
    CHAT_PATH,
    SERVICES_PREFIX,
    parse_chat_request,
    parse_service_request,
)
from tanagerport.clock import Clock
from tanagerport.exceptions import (
    AnswerInterruptedError,
    CallerGoneError,
    RefusedError,
    TanagerportError,
    UpstreamError,
)
from tanagerport.http_server import (
    CALLER_SOCKET,
    DIRECT_SOCKET,
    Environ,
    StartResponse,
    json_response,
    status_line,
)
from tanagerport.metrics import Metrics
from tanagerport.model import (
    Ran,
    Refusal,
    RefusalReason,
    Request,
    WorkClass,
)
from tanagerport.pipeline import RequestPipeline
from tanagerport.upstream_client import REQUEST_ID_HEADER

_log = structlog.get_logger(__name__)


class NodeStatus(Protocol):
    """What the caller interface needs to know of its node."""

    @property
    def not_ready_reason(self) -> str:
        """Why the node takes no traffic; empty when it does."""

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Classes in force, by name."""


class CallerApplication:
    """WSGI application for callers.

    Args:
        node: Readiness and classes.
        pipeline: Carries requests.
        metrics: Metrics of the node.
        clock: Source of time.
        customers: Accepted customers; empty accepts all.
    """

    def __init__(
        self,
        node: NodeStatus,
        pipeline: RequestPipeline,
        metrics: Metrics,
        clock: Clock,
        customers: Collection[str] = (),
    ) -> None:
        self._node = node
        self._pipeline = pipeline
        self._metrics = metrics
        self._clock = clock
        self._customers = frozenset(customers)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        path = environ["PATH_INFO"]
        if path == "/healthz":
            return json_response(start_response, 200, {"status": "ok"})
        if path == "/readyz":
            return self._answer_readiness(start_response)
        try:
            return self._serve(environ, start_response)
        except RefusedError as error:
            return self._refuse(start_response, error.refusal)
        except TanagerportError as error:
            _log.error("request_failed", path=path, error=str(error))
            return self._refuse(
                start_response,
                Refusal(RefusalReason.INTERNAL, str(error), Ran.UNKNOWN),
            )

    def _answer_readiness(
        self, start_response: StartResponse
    ) -> Iterable[bytes]:
        reason = self._node.not_ready_reason
        return json_response(
            start_response,
            503 if reason else 200,
            {"ready": not reason, "reason": reason},
        )

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        parse = self._choose_parser(environ)
        reason = self._node.not_ready_reason
        if reason:
            is_draining = reason == RefusalReason.DRAINING
            raise RefusedError(
                Refusal(
                    RefusalReason.DRAINING
                    if is_draining
                    else RefusalReason.NOT_READY,
                    f"the node takes no traffic: {reason}",
                    retry_after_s=1.0,
                )
            )
        request = parse(environ, self._node.classes, self._clock.monotonic())
        self._check_customer(request)
        try:
            answer = self._pipeline.run(request, environ.get(CALLER_SOCKET))
        except RefusedError as error:
            return self._refuse(
                start_response,
                error.refusal,
                request.request_id,
                error.headers,
            )
        start_response(status_line(answer.status), list(answer.headers))
        return _AnswerBody(
            answer, self._metrics, request, environ.get(DIRECT_SOCKET)
        )

    def _check_customer(self, request: Request) -> None:
        if self._customers and request.customer not in self._customers:
            raise RefusedError(
                Refusal(
                    RefusalReason.UNKNOWN_CUSTOMER,
                    f"X-Customer: there is no customer {request.customer!r}",
                )
            )

    def _choose_parser(
        self, environ: Environ
    ) -> Callable[[Environ, Mapping[str, WorkClass], float], Request]:
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == CHAT_PATH:
            if method != "POST":
                raise RefusedError(
                    Refusal(
                        RefusalReason.METHOD_NOT_ALLOWED,
                        f"{CHAT_PATH} takes POST, not {method}",
                    )
                )
            return parse_chat_request
        if path.startswith(SERVICES_PREFIX):
            return parse_service_request
        raise RefusedError(
            Refusal(RefusalReason.NOT_FOUND, f"there is no path {path!r}")
        )

    def _refuse(
        self,
        start_response: StartResponse,
        refusal: Refusal,
        request_id: str = "",
        more_headers: Sequence[tuple[str, str]] = (),
    ) -> Iterable[bytes]:
        self._metrics.refusals.labels(refusal.reason.value).inc()
        headers = list(more_headers)
        if refusal.retry_after_s is not None:
            seconds = max(1, round(refusal.retry_after_s))
            headers.append(("Retry-After", str(seconds)))
        if request_id:
            headers.append((REQUEST_ID_HEADER, request_id))
        return json_response(
            start_response,
            refusal.http_status,
            refusal_document(refusal, request_id),
            headers,
        )


class _AnswerBody:
    """Iterates an answer; a broken answer is never ended cleanly."""

    def __init__(
        self,
        answer: Answer,
        metrics: Metrics,
        request: Request,
        direct_socket: Callable[[], socket.socket | None] | None,
    ) -> None:
        self._direct_socket = direct_socket
        self._answer = answer
        self._metrics = metrics
        self._request = request

    def __iter__(self) -> Iterator[bytes]:
        try:
            yield from self._relay()
        except CallerGoneError:
            raise
        except UpstreamError as error:
            refusal = _refusal_of_broken(error)
            self._metrics.refusals.labels(refusal.reason.value).inc()
            if self._request.stream:
                document = json.dumps(
                    refusal_document(refusal, self._request.request_id)
                )
                yield f"event: error\ndata: {document}\n\n".encode()
            # Without an exception the server would end the chunked body
            # cleanly and the caller could take the part for the whole.
            raise

    def _relay(self) -> Iterator[bytes]:
        is_first = True
        for chunk in self._answer:
            yield chunk
            # The server sent the head with the first bytes.
            if is_first and self._direct_socket is not None:
                sock = self._direct_socket()
                if sock is not None:
                    self._answer.relay_rest(sock)
            is_first = False

    def close(self) -> None:
        self._answer.close()


def _refusal_of_broken(error: UpstreamError) -> Refusal:
    reason = RefusalReason.TRUNCATED
    if isinstance(error, AnswerInterruptedError):
        reason = RefusalReason(error.reason)
    return Refusal(reason, str(error), Ran.UNKNOWN)


def refusal_document(refusal: Refusal, request_id: str) -> dict[str, object]:
    """Returns the JSON document of a refusal."""
    return {
        "error": {
            "reason": refusal.reason.value,
            "message": refusal.message,
            "ran": refusal.ran.value,
            "request_id": request_id,
        }
    }
