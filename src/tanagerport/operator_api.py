"""HTTP interface for operators."""

import collections
import dataclasses
import hmac
import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

import structlog

from tanagerport.clock import Clock
from tanagerport.config_records import Acceptance, ConfigChange
from tanagerport.exceptions import (
    ConfigConflictError,
    DocumentError,
    OutcomeUnknownError,
    PlatformError,
)
from tanagerport.explain import ExplanationLog
from tanagerport.findings import Finding
from tanagerport.http_server import (
    Environ,
    StartResponse,
    json_response,
    read_body,
    status_line,
)
from tanagerport.interfaces import MembershipView
from tanagerport.metrics import Metrics
from tanagerport.model import FINAL_MOVE_STATES, VersionMove, VMRole
from tanagerport.operator_documents import (
    ApplyDocument,
    DrainDocument,
    MoveDocument,
    TakeBackDocument,
    parse_document,
)
from tanagerport.platform_api import WeightStore
from tanagerport.rollout import used_versions
from tanagerport.status_report import (
    StatusConfiguration,
    StatusSources,
    make_status,
)

EXPLAIN_PREFIX = "/explain/"
_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_log = structlog.get_logger(__name__)


class OperatorConfiguration(StatusConfiguration, Protocol):
    """What the interface needs of the configuration."""

    def apply(
        self, change: ConfigChange, operator: str, operation_id: str
    ) -> Acceptance:
        """Makes a change durable."""

    def add_conviction(self, model: str, version: str, reason: str) -> None:
        """Records a bad version at once and spreads it."""


@dataclasses.dataclass(frozen=True)
class OperatorBackend:
    """Parts of the node that operators see or change.

    Attributes:
        configuration: Configuration in force.
        membership: Nodes and upstreams.
        weights: Weight store.
        explanations: Decisions taken for requests.
        metrics: Metrics of the node.
        status: Sources of the status.
        drain_node: Starts to drain this node and returns at once.
        clock: Source of time.
    """

    configuration: OperatorConfiguration
    membership: MembershipView
    weights: WeightStore
    explanations: ExplanationLog
    metrics: Metrics
    status: StatusSources
    drain_node: Callable[[], None]
    clock: Clock


@dataclasses.dataclass(frozen=True)
class _Reply:
    """Answer to an operator."""

    status: int
    document: Mapping[str, Any]


class OperatorApplication:
    """WSGI application for operators.

    Args:
        backend: Parts of the node.
        token: Bearer token.
    """

    def __init__(self, backend: OperatorBackend, token: str) -> None:
        self._backend = backend
        self._expected = f"Bearer {token}".encode()
        self._getters: dict[str, Callable[[], _Reply]] = {
            "/status": self._get_status,
        }
        self._posters: dict[str, Callable[[bytes], _Reply]] = {
            "/apply": self._post_apply,
            "/moves": self._post_move,
            "/take-back": self._post_take_back,
            "/drain": self._post_drain,
        }

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answers one request."""
        if not self._is_authorized(environ):
            return json_response(
                start_response,
                401,
                _error("unauthorized", "a valid bearer token is required"),
                [("WWW-Authenticate", "Bearer")],
            )
        path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
        if path == "/metrics" and method == "GET":
            return self._send_metrics(start_response)
        reply = self._answer(path, method, environ)
        return json_response(start_response, reply.status, reply.document)

    def _is_authorized(self, environ: Environ) -> bool:
        stated = environ.get("HTTP_AUTHORIZATION", "")
        return hmac.compare_digest(
            stated.encode("utf-8", "surrogateescape"), self._expected
        )

    def _send_metrics(self, start_response: StartResponse) -> Iterable[bytes]:
        body = self._backend.metrics.render()
        start_response(
            status_line(200),
            [
                ("Content-Type", _METRICS_TYPE),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _answer(self, path: str, method: str, environ: Environ) -> _Reply:
        if path.startswith(EXPLAIN_PREFIX) and method == "GET":
            return self._explain(path.removeprefix(EXPLAIN_PREFIX))
        if path in self._getters and method == "GET":
            return self._getters[path]()
        if path in self._posters and method == "POST":
            return self._post(self._posters[path], environ)
        if path in self._posters or path in (*self._getters, "/metrics"):
            message = f"{path} does not take {method}"
            return _Reply(405, _error("method_not_allowed", message))
        message = f"there is no path {path!r}"
        return _Reply(404, _error("not_found", message))

    def _post(
        self, handle: Callable[[bytes], _Reply], environ: Environ
    ) -> _Reply:
        try:
            return handle(read_body(environ))
        except ValueError as error:
            return _Reply(400, _error("bad_request", str(error)))
        except DocumentError as error:
            return _Reply(400, _findings_document(error))
        except ConfigConflictError as error:
            return _Reply(409, _conflict_document(error))
        except OutcomeUnknownError as error:
            return _Reply(503, _error("outcome_unknown", str(error)))
        except PlatformError as error:
            return _Reply(503, _error("store_unavailable", str(error)))

    def _get_status(self) -> _Reply:
        return _Reply(200, make_status(self._backend.status))

    def _explain(self, request_id: str) -> _Reply:
        explanation = self._backend.explanations.explain(request_id)
        if explanation is None:
            message = (
                f"request {request_id!r} is not known to this node; it was"
                " served by another one or is too old"
            )
            return _Reply(404, _error("not_found", message))
        return _Reply(200, explanation)

    def _post_apply(self, body: bytes) -> _Reply:
        document = parse_document(body, ApplyDocument)
        change = ConfigChange(
            classes=document.classes,
            remove_classes=document.remove_classes,
            base_revisions=document.base_revisions,
        )
        return self._apply(change, document.operator, document.operation_id)

    def _post_move(self, body: bytes) -> _Reply:
        document = parse_document(body, MoveDocument)
        now = self._backend.clock.time()
        old_version = self._current_version(document.model)
        findings = self._check_move(document, old_version)
        if findings:
            raise DocumentError("request", findings)
        move = VersionMove(
            model=document.model,
            old_version=old_version,
            new_version=document.version,
            deadline=now + document.deadline_s,
            started=now,
        )
        change = ConfigChange(moves=(move,))
        return self._apply(change, document.operator, document.operation_id)

    def _apply(
        self, change: ConfigChange, operator: str, operation_id: str
    ) -> _Reply:
        accepted = self._backend.configuration.apply(
            change, operator, operation_id or f"operator-{secrets.token_hex(8)}"
        )
        _log.info(
            "change_accepted", operator=operator, version=accepted.version
        )
        return _Reply(200, dataclasses.asdict(accepted))

    def _check_move(
        self, document: MoveDocument, old_version: str
    ) -> list[Finding]:
        findings = []
        if not old_version:
            findings.append(
                Finding(
                    "model",
                    f"no engine reports a version of {document.model!r}",
                )
            )
        if not self._backend.weights.has_version(
            document.model, document.version
        ):
            findings.append(
                Finding(
                    "version",
                    f"the weight store has no version {document.version!r} of"
                    f" {document.model!r}",
                )
            )
        return findings

    def _current_version(self, model: str) -> str:
        """Returns the version that serves a model; empty if unknown."""
        configuration = self._backend.configuration
        move = configuration.moves.get(model)
        if move is not None:
            if move.state not in FINAL_MOVE_STATES:
                return move.old_version
            return used_versions(move, configuration.convictions)[0]
        counts: collections.Counter[str] = collections.Counter()
        for vm in self._backend.membership.upstreams():
            load = self._backend.membership.load(vm.vm_id)
            default = load.default_versions.get(model) if load else None
            if default and model in vm.serves:
                counts[default] += 1
        return counts.most_common(1)[0][0] if counts else ""

    def _post_take_back(self, body: bytes) -> _Reply:
        document = parse_document(body, TakeBackDocument)
        configuration = self._backend.configuration
        move = configuration.moves.get(document.model)
        if move is None or move.new_version != document.version:
            raise DocumentError(
                "request",
                [
                    Finding(
                        "version",
                        f"the latest rollout of {document.model!r} is not to"
                        f" {document.version!r}, so there is no version to go"
                        " back to",
                    )
                ],
            )
        reason = f"taken back by {document.operator}: {document.reason}"
        configuration.add_conviction(document.model, document.version, reason)
        return _Reply(
            200,
            {
                "model": document.model,
                "version": document.version,
                "in_use": move.old_version,
            },
        )

    def _post_drain(self, body: bytes) -> _Reply:
        document = parse_document(body, DrainDocument)
        membership = self._backend.membership
        own = membership.self_view.node_id
        if document.target == own:
            self._backend.drain_node()
            return _Reply(200, {"target": own, "role": VMRole.ENTRY.value})
        for vm in membership.upstreams():
            if vm.vm_id == document.target:
                membership.mark_leaving(vm.vm_id)
                return _Reply(200, {"target": vm.vm_id, "role": vm.role.value})
        raise DocumentError(
            "request", [Finding("target", self._why_unknown(document.target))]
        )

    def _why_unknown(self, target: str) -> str:
        nodes = self._backend.membership.nodes()
        if any(view.node_id == target for view in nodes):
            return f"{target!r} is another entry node; ask that node itself"
        return f"there is no upstream or entry node {target!r}"


def create_operator_api(
    backend: OperatorBackend, token: str
) -> OperatorApplication:
    """Builds the WSGI application of the operators' listener.

    Args:
        backend: Parts of the node.
        token: Bearer token of operators.
    """
    return OperatorApplication(backend, token)


def _error(reason: str, message: str) -> dict[str, Any]:
    return {"error": {"reason": reason, "message": message}}


def _findings_document(error: DocumentError) -> dict[str, Any]:
    document = _error("bad_request", "the request has findings")
    document["error"]["findings"] = [
        {"place": item.place, "message": item.message}
        for item in error.findings
    ]
    return document


def _conflict_document(error: ConfigConflictError) -> dict[str, Any]:
    document = _error("conflict", str(error))
    document["error"] |= {
        "record": error.key,
        "other_operator": error.other_operator,
        "version": error.version,
        "changes": list(error.changes),
    }
    return document
