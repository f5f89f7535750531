"""Checks of callers' HTTP requests."""

import time
import urllib.parse
import uuid
from collections.abc import Mapping
from typing import Any

import msgspec

from tanagerport.answer_headers import end_to_end
from tanagerport.exceptions import RefusedError
from tanagerport.http_server import BodyTooLargeError, Environ, read_body
from tanagerport.model import (
    Refusal,
    RefusalReason,
    Request,
    UpstreamKind,
    WorkClass,
)

SERVICES_PREFIX = "/services/"
CHAT_PATH = "/v1/chat/completions"
_MAX_HEADER_TEXT = 256
_MAX_ATTEMPT = 1000
_SERVICE_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)


class _Message(msgspec.Struct):
    role: str
    content: Any = ""


class _ChatRequest(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


_CHAT_DECODER = msgspec.json.Decoder(_ChatRequest)


def parse_chat_request(
    environ: Environ, classes: Mapping[str, WorkClass], now: float
) -> Request:
    """Returns the checked chat-completions request.

    Args:
        environ: WSGI environment.
        classes: Classes by name.
        now: Monotonic seconds of arrival.

    Raises:
        RefusedError: The request is invalid.
    """
    body = _read_checked_body(environ)
    chat = _decode_chat(body)
    work_class = _find_chat_class(environ, classes, chat.model)
    max_tokens = chat.max_completion_tokens or chat.max_tokens
    if max_tokens is not None and max_tokens < 1:
        raise bad_request("body: max_tokens must be at least 1")
    return _build_request(
        environ,
        work_class,
        body,
        now,
        stream=chat.stream,
        max_output_tokens=max_tokens,
        prompt=_prompt(chat),
    )


def parse_service_request(
    environ: Environ, classes: Mapping[str, WorkClass], now: float
) -> Request:
    """Returns the checked request to a plain service.

    Args:
        environ: WSGI environment, whose path is `/services/NAME/...`.
        classes: Classes by name.
        now: Monotonic seconds of arrival.

    Raises:
        RefusedError: The request is invalid.
    """
    method = environ["REQUEST_METHOD"]
    if method not in _SERVICE_METHODS:
        raise RefusedError(
            Refusal(
                RefusalReason.METHOD_NOT_ALLOWED,
                f"services take no {method} requests",
            )
        )
    service, path = _split_service_path(environ["REQUEST_URI"])
    work_class = _find_service_class(environ, classes, service)
    body = _read_checked_body(environ)
    return _build_request(
        environ,
        work_class,
        body,
        now,
        service_path=path,
        method=method,
        content_type=environ.get("CONTENT_TYPE") or "application/json",
        headers=_passed_headers(environ),
    )


def _split_service_path(uri: str) -> tuple[str, str]:
    """Returns the service and the path and query for it.

    The path is passed on as it was sent, so that escaped characters keep
    their meaning. A path that could leave the service's tree is refused.
    """
    raw_path, mark, query = uri.partition("?")
    if not (uri.isascii() and uri.isprintable()) or " " in uri:
        raise bad_request("path: must be printable ASCII without spaces")
    decoded = urllib.parse.unquote(raw_path, errors="replace")
    if not decoded.isprintable() or "\\" in decoded or "#" in uri:
        raise bad_request("path: holds characters that are not accepted")
    if any(part in (".", "..") for part in decoded.split("/")):
        raise bad_request("path: must not hold . or .. segments")
    if not raw_path.startswith(SERVICES_PREFIX):
        raise bad_request(f"path: must begin with {SERVICES_PREFIX}")
    rest = raw_path.removeprefix(SERVICES_PREFIX)
    service, _, path = rest.partition("/")
    return urllib.parse.unquote(service), f"/{path}{mark}{query}"


def _passed_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = [
        (name.removeprefix("HTTP_").replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    return tuple(end_to_end(headers, environ.get("HTTP_CONNECTION", "")))


def prompt_of(body: bytes) -> str:
    """Returns the prompt text of a checked chat-completions body."""
    return _prompt(_decode_chat(body))


def bad_request(message: str) -> RefusedError:
    """Returns a `bad_request` refusal to raise."""
    return RefusedError(Refusal(RefusalReason.BAD_REQUEST, message))


def _decode_chat(body: bytes) -> _ChatRequest:
    try:
        return _CHAT_DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise bad_request(f"body: {error}") from error
    except RecursionError as error:
        raise bad_request("body: nested too deeply") from error


def _prompt(chat: _ChatRequest) -> str:
    return "\n".join(
        f"{message.role}: {message.content}" for message in chat.messages
    )


def _build_request(
    environ: Environ,
    work_class: WorkClass,
    body: bytes,
    now: float,
    **details: Any,
) -> Request:
    deadline_s = work_class.deadline_s
    stated_ms = _header(environ, "X-Deadline-Ms")
    if stated_ms:
        deadline_s = _parse_number(stated_ms, "X-Deadline-Ms", 86_400_000)
        deadline_s /= 1000
    attempt = _header(environ, "Idempotency-Attempt")
    return Request(
        request_id=make_request_id(),
        work_class=work_class,
        customer=_header(environ, "X-Customer") or "anonymous",
        body=body,
        received_at=now,
        deadline_at=now + deadline_s,
        key=_header(environ, "Idempotency-Key") or None,
        attempt=_parse_number(attempt, "Idempotency-Attempt", _MAX_ATTEMPT)
        if attempt
        else 0,
        **details,
    )


def make_request_id() -> str:
    """Returns a unique request id that sorts by time."""
    return f"{time.time_ns() // 1_000_000:012x}-{uuid.uuid4().hex[:16]}"


def _read_checked_body(environ: Environ) -> bytes:
    try:
        return read_body(environ)
    except BodyTooLargeError as error:
        raise RefusedError(
            Refusal(RefusalReason.BODY_TOO_LARGE, f"body: {error}")
        ) from error
    except ValueError as error:
        raise bad_request(str(error)) from error


def _find_chat_class(
    environ: Environ, classes: Mapping[str, WorkClass], model: str
) -> WorkClass:
    name = _header(environ, "X-Class")
    if name:
        work_class = _class_named(classes, name, UpstreamKind.ENGINE)
        if model not in (work_class.model, work_class.name):
            raise bad_request(
                f"model: class {name!r} uses model {work_class.model!r}, "
                f"not {model!r}"
            )
        return work_class
    if model in classes and classes[model].kind is UpstreamKind.ENGINE:
        return classes[model]
    return _only_class(classes, model, UpstreamKind.ENGINE)


def _find_service_class(
    environ: Environ, classes: Mapping[str, WorkClass], service: str
) -> WorkClass:
    name = _header(environ, "X-Class")
    if name:
        work_class = _class_named(classes, name, UpstreamKind.SERVICE)
        if work_class.model != service:
            raise bad_request(
                f"X-Class: class {name!r} is for service "
                f"{work_class.model!r}, not {service!r}"
            )
        return work_class
    return _only_class(classes, service, UpstreamKind.SERVICE)


def _class_named(
    classes: Mapping[str, WorkClass], name: str, kind: UpstreamKind
) -> WorkClass:
    work_class = classes.get(name)
    if work_class is None or work_class.kind is not kind:
        raise RefusedError(
            Refusal(
                RefusalReason.UNKNOWN_CLASS,
                f"X-Class: there is no {kind} class {name!r}",
            )
        )
    return work_class


def _only_class(
    classes: Mapping[str, WorkClass], model: str, kind: UpstreamKind
) -> WorkClass:
    matching = [
        item
        for item in classes.values()
        if item.model == model and item.kind is kind
    ]
    if len(matching) == 1:
        return matching[0]
    if matching:
        names = ", ".join(sorted(item.name for item in matching))
        raise RefusedError(
            Refusal(
                RefusalReason.UNKNOWN_CLASS,
                f"X-Class: {model!r} has several classes, state one of {names}",
            )
        )
    reason = (
        RefusalReason.UNKNOWN_MODEL
        if kind is UpstreamKind.ENGINE
        else RefusalReason.UNKNOWN_SERVICE
    )
    raise RefusedError(Refusal(reason, f"there is no {kind} class {model!r}"))


def _header(environ: Environ, name: str) -> str:
    text = environ.get("HTTP_" + name.upper().replace("-", "_"), "")
    if (
        len(text) > _MAX_HEADER_TEXT
        or not text.isprintable()
        or not text.isascii()
    ):
        raise bad_request(
            f"{name}: must be at most {_MAX_HEADER_TEXT} printable ASCII "
            "characters"
        )
    return text.strip()


def _parse_number(text: str, name: str, maximum: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise bad_request(f"{name}: must be a whole number")
    number = int(text)
    if not 1 <= number <= maximum:
        raise bad_request(f"{name}: must be from 1 to {maximum}")
    return number
