"""HTTP clients of the platform's services."""

import base64
import time
import urllib.parse
from collections.abc import Sequence
from typing import Any

import msgspec
import tenacity
import urllib3

from tanagerport.exceptions import (
    OutcomeUnknownError,
    StoreConflictError,
    StoreUnavailableError,
)
from tanagerport.model import VM
from tanagerport.platform_api import Condition, Record, Write

NOT_STARTED_HEADER = "X-Not-Started"

_READ_ATTEMPTS = 3
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 0.5
_POOL_CONNECTIONS = 16

_encode = msgspec.json.Encoder().encode


class _RecordMessage(msgspec.Struct):
    key: str
    revision: int
    value: str


class _ScanMessage(msgspec.Struct):
    records: list[_RecordMessage]


class _ConflictMessage(msgspec.Struct):
    changed: list[str]


class _VMListMessage(msgspec.Struct):
    vms: list[VM]


class _LoadMessage(msgspec.Struct):
    wait_s: float


class HttpService:
    """One service: sends calls and classifies their failures.

    Args:
        base_url: URL without a slash at the end.
        timeout_s: Bound of one call with all its attempts, in seconds.
    """

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(
            maxsize=_POOL_CONNECTIONS, retries=False
        )

    def read(
        self, path: str, headers: dict[str, str] | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Sends a GET, which may be repeated.

        Raises:
            StoreUnavailableError: There was no answer in time.
        """
        give_up_at = time.monotonic() + self._timeout_s
        retrying = tenacity.Retrying(
            stop=tenacity.stop_after_attempt(_READ_ATTEMPTS)
            | tenacity.stop_before_delay(self._timeout_s),
            wait=tenacity.wait_random_exponential(
                min=_MIN_BACKOFF_S, max=_MAX_BACKOFF_S
            ),
            retry=tenacity.retry_if_exception_type(StoreUnavailableError),
            reraise=True,
        )
        return retrying(self._read_once, path, headers or {}, give_up_at)

    def write(
        self, method: str, path: str, body: bytes, content_type: str
    ) -> urllib3.BaseHTTPResponse:
        """Sends a write once.

        It is not repeated here: a caller that knows its conditions can tell
        whether a lost write took effect, this client can't.

        Raises:
            StoreUnavailableError: The write did not take effect.
            OutcomeUnknownError: The write may have taken effect.
        """
        try:
            response = self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers={"Content-Type": content_type},
                timeout=self._timeout_s,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise StoreUnavailableError(self._text(path, error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise OutcomeUnknownError(self._text(path, error)) from error
        if response.status == 503 and (
            response.headers.get(NOT_STARTED_HEADER) == "true"
        ):
            raise StoreUnavailableError(self._text(path, "status 503"))
        if response.status >= 500:
            raise OutcomeUnknownError(
                self._text(path, f"status {response.status}")
            )
        return response

    def unexpected(
        self, path: str, response: urllib3.BaseHTTPResponse
    ) -> StoreUnavailableError:
        """Returns the error for a status that the format does not name."""
        return StoreUnavailableError(
            self._text(path, f"unexpected status {response.status}")
        )

    def _read_once(
        self, path: str, headers: dict[str, str], give_up_at: float
    ) -> urllib3.BaseHTTPResponse:
        remaining_s = max(give_up_at - time.monotonic(), 0.001)
        try:
            response = self._pool.request(
                "GET",
                self._base_url + path,
                headers=headers,
                timeout=urllib3.Timeout(total=remaining_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StoreUnavailableError(self._text(path, error)) from error
        if response.status >= 500:
            raise self.unexpected(path, response)
        return response

    def read_existing(self, path: str) -> urllib3.BaseHTTPResponse | None:
        """Returns the answer to a read, None if there is no such thing.

        Raises:
            PlatformError: The service gave another answer than 200 or 404.
        """
        response = self.read(path)
        if response.status == 404:
            return None
        if response.status != 200:
            raise self.unexpected(path, response)
        return response

    def _text(self, path: str, cause: object) -> str:
        return f"{self._base_url}{path}: {cause}"


class HttpTableStore:
    """Table service over HTTP.

    Args:
        base_url: Base URL of the service.
        timeout_s: Bound of one call, in seconds.
    """

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._service = HttpService(base_url, timeout_s)

    def get(self, key: str) -> Record | None:
        """Returns the record, None if it does not exist."""
        path = f"/records/{urllib.parse.quote(key)}"
        response = self._service.read_existing(path)
        if response is None:
            return None
        return _record(decode_reply(response, _RecordMessage))

    def scan(self, prefix: str, start_after: str = "") -> Sequence[Record]:
        """Returns records in key order whose key starts with `prefix`."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "start_after": start_after}
        )
        path = f"/scan?{query}"
        response = self._service.read(path)
        if response.status != 200:
            raise self._service.unexpected(path, response)
        return [
            _record(item)
            for item in decode_reply(response, _ScanMessage).records
        ]

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Writes all records if all conditions hold, else none.

        Raises:
            StoreConflictError: A condition did not hold.
            OutcomeUnknownError: The writes may have taken effect.
        """
        document = {
            "conditions": [
                {"key": item.key, "revision": item.revision}
                for item in conditions
            ],
            "writes": [
                {"key": item.key, "value": _to_base64(item.value)}
                for item in writes
            ],
        }
        response = self._service.write(
            "POST", "/transact", _encode(document), "application/json"
        )
        if response.status == 409:
            raise StoreConflictError(
                decode_reply(response, _ConflictMessage).changed
            )
        if response.status != 200:
            raise self._service.unexpected("/transact", response)


class HttpObjectStore:
    """Object store over HTTP.

    Args:
        base_url: Base URL of the service.
        timeout_s: Bound of one call, in seconds.
    """

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._service = HttpService(base_url, timeout_s)

    def get(self, name: str) -> bytes | None:
        """Returns the object, None if it does not exist."""
        path = f"/{urllib.parse.quote(name)}"
        response = self._service.read_existing(path)
        return response.data if response is not None else None

    def put(self, name: str, content: bytes) -> None:
        """Writes the object."""
        path = f"/{urllib.parse.quote(name)}"
        response = self._service.write(
            "PUT", path, content, "application/octet-stream"
        )
        if response.status not in (200, 201, 204):
            raise self._service.unexpected(path, response)


class HttpVMList:
    """VM list over HTTP; an unchanged list is not sent again.

    Args:
        url: URL of the list.
        timeout_s: Bound of one call, in seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._service = HttpService(url, timeout_s)
        self._tag = ""
        self._vms: Sequence[VM] = ()

    def list_vms(self) -> Sequence[VM]:
        """Returns the VMs that the platform knows."""
        headers = {"If-None-Match": self._tag} if self._tag else {}
        response = self._service.read("", headers)
        if response.status == 304:
            return self._vms
        if response.status != 200:
            raise self._service.unexpected("", response)
        self._vms = tuple(decode_reply(response, _VMListMessage).vms)
        self._tag = response.headers.get("ETag", "")
        return self._vms


class HttpWeightStore:
    """Weight store over HTTP.

    Args:
        base_url: Base URL of the service.
        timeout_s: Bound of one call, in seconds.
    """

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._service = HttpService(base_url, timeout_s)

    def has_version(self, model: str, version: str) -> bool:
        """Returns whether weights of the version exist."""
        path = _weights_path(model, version)
        response = self._service.read(path)
        if response.status not in (200, 404):
            raise self._service.unexpected(path, response)
        return response.status == 200

    def request_load(self, model: str, version: str) -> float:
        """Asks for permission to load one copy of the weights.

        Not repeated on failure: each call may use up a part of the rate.
        """
        path = f"{_weights_path(model, version)}/load"
        response = self._service.write("POST", path, b"", "application/json")
        if response.status != 200:
            raise self._service.unexpected(path, response)
        return decode_reply(response, _LoadMessage).wait_s


def decode_reply(response: urllib3.BaseHTTPResponse, kind: Any) -> Any:
    """Decodes a JSON answer.

    Raises:
        StoreUnavailableError: The answer does not have the stated format.
    """
    try:
        return msgspec.json.decode(response.data, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreUnavailableError(
            f"answer is not a {kind.__name__}: {error}"
        ) from error


def _record(message: _RecordMessage) -> Record:
    return Record(
        message.key, message.revision, base64.b64decode(message.value)
    )


def _to_base64(value: bytes | None) -> str | None:
    return None if value is None else base64.b64encode(value).decode()


def _weights_path(model: str, version: str) -> str:
    parts = (urllib.parse.quote(part, safe="") for part in (model, version))
    return "/" + "/".join(parts)
