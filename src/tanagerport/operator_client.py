"""Client of a node's operator interface."""

import json
from collections.abc import Sequence
from typing import Any

import urllib3

from tanagerport.exceptions import (
    OperatorConflictError,
    OperatorRequestError,
    OperatorUnreachableError,
)

_TIMEOUT_S = 10.0


class OperatorClient:
    """Calls operator interfaces, the first that answers.

    A change carries an operation id, so that a repeat after a lost answer
    is recognized by the node and not applied twice.

    Args:
        addresses: `ip:port` of operator listeners, tried in order.
        token: Bearer token of operators.
    """

    def __init__(self, addresses: Sequence[str], token: str) -> None:
        self._addresses = tuple(addresses)
        self._headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        self._pool = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=1.0, read=_TIMEOUT_S),
            retries=False,
        )

    def get(self, path: str) -> Any:
        """Returns the JSON document at `path`.

        Raises:
            OperatorUnreachableError: No node answered.
            OperatorRequestError: The node refused the request.
        """
        return self._call("GET", path, None)

    def post(self, path: str, document: object) -> Any:
        """Sends a change and returns the node's answer.

        Raises:
            OperatorUnreachableError: No node answered.
            OperatorRequestError: The node refused the change.
            OperatorConflictError: Another operator was faster.
        """
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Any:
        problems = []
        for address in self._addresses:
            try:
                response = self._pool.request(
                    method,
                    f"http://{address}{path}",
                    body=body,
                    headers=self._headers,
                )
            except urllib3.exceptions.HTTPError as error:
                problems.append(f"{address}: {type(error).__name__}")
                continue
            return _read_response(address, response)
        raise OperatorUnreachableError(
            "no operator interface answered: " + "; ".join(problems)
        )


def _read_response(address: str, response: urllib3.BaseHTTPResponse) -> Any:
    try:
        document = json.loads(response.data)
    except ValueError:
        document = {"error": {"message": response.data.decode()[:200]}}
    if response.status < 300:
        return document
    message = f"{address}: {_error_text(document)}"
    if response.status == 409:
        raise OperatorConflictError(message)
    raise OperatorRequestError(message)


def _error_text(document: Any) -> str:
    error = document.get("error", document)
    if not isinstance(error, dict):
        return str(error)
    lines = [str(error.get("message", error))]
    lines += [
        f"  {item['place']}: {item['message']}"
        for item in error.get("findings", ())
    ]
    return "\n".join(lines)
