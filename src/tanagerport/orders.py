"""Fenced, absolute and idempotent orders to engines."""

import dataclasses
import enum
import json
from typing import Protocol

import structlog
import urllib3
import urllib3.connection

from tanagerport.model import VM
from tanagerport.settings import split_address

# The lease must hold this long when an order is sent.
ORDER_MARGIN_S = 2.0
# Bound of each step of an order: connection, sending, answer.
_STEP_TIMEOUT_S = 0.5

_log = structlog.get_logger(__name__)


class HeldLease(Protocol):
    """A lease as its holder sees it."""

    @property
    def token(self) -> int:
        """Fencing token."""

    def is_safe(self, margin_s: float) -> bool:
        """Returns whether the lease holds for at least `margin_s` seconds."""


class OrderName(enum.StrEnum):
    """Orders that engines take. All are absolute, so they may be repeated."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_DEFAULT = "set_default"
    SET_ROLE = "set_role"


class OrderResult(enum.StrEnum):
    """What became of an order."""

    APPLIED = "applied"
    STALE_TOKEN = "stale token"
    LEASE_UNSAFE = "lease unsafe"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to one engine.

    Attributes:
        name: What to do.
        model: Model that it is about.
        version: Version that it is about.
        role: New role, for `set_role`.
    """

    name: OrderName
    model: str
    version: str = ""
    role: str = ""

    def document(self, token: int) -> dict[str, object]:
        """Returns the order as engines read it."""
        return {
            "order": self.name.value,
            "model": self.model,
            "version": self.version,
            "role": self.role,
            "fencing_token": token,
        }


class OrderConnection(Protocol):
    """A connection to an engine over which one order may be sent."""

    def send(self, document: bytes) -> tuple[int, bytes]:
        """Sends an order and returns status and body of the answer.

        Raises:
            OSError: The connection failed.
            urllib3.exceptions.HTTPError: The answer is not HTTP.
        """

    def close(self) -> None:
        """Closes the connection."""


class HttpOrderConnection:
    """Connection to the HTTP interface of an engine.

    Args:
        address: `ip:port`.

    Raises:
        OSError: The engine did not accept the connection.
    """

    def __init__(self, address: str) -> None:
        host, port = split_address(address)
        self._connection = urllib3.connection.HTTPConnection(
            host, port, timeout=_STEP_TIMEOUT_S
        )
        self._connection.connect()

    def send(self, document: bytes) -> tuple[int, bytes]:
        """Sends an order and returns status and body of the answer."""
        self._connection.request(
            "POST",
            "/orders",
            body=document,
            headers={"Content-Type": "application/json"},
        )
        response = self._connection.getresponse()
        return response.status, response.data

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()


class Connector(Protocol):
    """Opens connections to engines."""

    def __call__(self, address: str) -> OrderConnection:
        """Connects to `ip:port`."""


class OrderSender:
    """Sends orders under a lease.

    The lease is checked when the connection stands, just before the order is
    written, so that neither a slow connection nor a pause before it lets an
    order out late. An engine that checks tokens refuses an older holder's
    order anyway; for the others the margin and the new holder's wait keep two
    holders' orders apart.

    Args:
        connect: Opens connections; HTTP by default.
        margin_s: Time the lease must still hold, in seconds.
    """

    def __init__(
        self,
        connect: Connector = HttpOrderConnection,
        margin_s: float = ORDER_MARGIN_S,
    ) -> None:
        self._connect = connect
        self._margin_s = margin_s

    def send(self, vm: VM, order: Order, lease: HeldLease) -> OrderResult:
        """Sends one order.

        Args:
            vm: Engine.
            order: What to do.
            lease: Lease whose token the order carries.

        Returns:
            What became of it. `UNKNOWN` orders may be repeated.
        """
        if not lease.is_safe(self._margin_s):
            return self._report(vm, order, OrderResult.LEASE_UNSAFE)
        document = json.dumps(order.document(lease.token)).encode()
        try:
            connection = self._connect(vm.address)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            return self._report(vm, order, OrderResult.NOT_SENT, str(error))
        try:
            if not lease.is_safe(self._margin_s):
                return self._report(vm, order, OrderResult.LEASE_UNSAFE)
            status, body = connection.send(document)
        except (OSError, urllib3.exceptions.HTTPError) as error:
            return self._report(vm, order, OrderResult.UNKNOWN, str(error))
        finally:
            connection.close()
        return self._report(vm, order, _result(status, body))

    def _report(
        self, vm: VM, order: Order, result: OrderResult, error: str = ""
    ) -> OrderResult:
        log = _log.info if result is OrderResult.APPLIED else _log.warning
        log(
            "order_sent",
            upstream=vm.vm_id,
            order=order.name.value,
            model=order.model,
            version=order.version,
            result=result.value,
            error=error,
        )
        return result


def _result(status: int, body: bytes) -> OrderResult:
    if status == 200:
        return OrderResult.APPLIED
    if status == 409 and b"stale_fencing_token" in body:
        return OrderResult.STALE_TOKEN
    return OrderResult.REFUSED
