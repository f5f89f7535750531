"""Leases with fencing tokens in the table service.

A lease is valid by its holder's own monotonic clock, counted from before the
write that granted it. Others wait by their own monotonic clock, counted from
after they read that write. No two clocks are ever compared; only their rates
must agree within `MAX_DRIFT`.
"""

import dataclasses
import secrets
import threading

import msgspec
import structlog

from tanagerport.clock import Clock
from tanagerport.exceptions import (
    LeaseLostError,
    OutcomeUnknownError,
    PlatformError,
    StoreConflictError,
    StoreUnavailableError,
)
from tanagerport.platform_api import Condition, Record, TableStore, Write

# Largest difference in rate between two clocks. Virtual machines with a
# disciplined clock differ by less than 500 ppm; this leaves a factor of 20.
MAX_DRIFT = 0.01
# An order that was sent just before the holder's lease ended may run for this
# long; a new holder waits it out.
ORDER_TIMEOUT_S = 2.0
# Reads after a lost answer before the outcome is reported as unknown.
_SETTLE_ATTEMPTS = 3

_KEY_PREFIX = "lease/"

_log = structlog.get_logger(__name__)


class _LeaseBody(msgspec.Struct, frozen=True):
    """Content of a lease record.

    Attributes:
        holder: Name of the holder; empty if the lease is free.
        instance: Identity of the holder's process.
        token: Fencing token; grows with each new holder.
        lease_s: Lifetime from each write, in seconds.
        nonce: Identity of the write, to recognise it after a lost answer.
    """

    holder: str
    instance: str
    token: int
    lease_s: float
    nonce: str


@dataclasses.dataclass(frozen=True)
class Lease:
    """A held lease.

    Attributes:
        name: Name of the lease.
        holder: Name of the holder.
        token: Fencing token.
        lease_s: Lifetime of each grant, in seconds.
        expires_at: Monotonic seconds of the holder's clock.
        revision: Revision of the record.
        clock: The holder's clock.
    """

    name: str
    holder: str
    token: int
    lease_s: float
    expires_at: float
    revision: int
    clock: Clock = dataclasses.field(repr=False, compare=False)

    @property
    def remaining_s(self) -> float:
        """Seconds until the lease ends by the holder's own clock."""
        return self.expires_at - self.clock.monotonic()

    def is_safe(self, margin_s: float) -> bool:
        """Returns whether the lease holds for at least `margin_s` seconds.

        Check it just before each order: a holder that was paused finds out
        here, and an order sent within the margin ends before another holder
        may start.
        """
        return self.remaining_s > margin_s


class LeaseManager:
    """Acquires and keeps leases for one process.

    Args:
        table: Table service.
        clock: Source of time.
        order_timeout_s: Longest time an order may still run, in seconds.
        instance: Identity of this process; random by default.
    """

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        order_timeout_s: float = ORDER_TIMEOUT_S,
        instance: str = "",
    ) -> None:
        self._table = table
        self._clock = clock
        self._order_timeout_s = order_timeout_s
        self._instance = instance or secrets.token_hex(8)
        self._lock = threading.Lock()
        # Revision of a record and when this process first saw it.
        self._seen: dict[str, tuple[int, float]] = {}

    def acquire(self, name: str, holder: str, lease_s: float) -> Lease | None:
        """Tries once to become the holder.

        Args:
            name: Name of the lease.
            holder: Name of the caller.
            lease_s: Lifetime in seconds.

        Returns:
            The lease, None while another holder may still act.

        Raises:
            StoreUnavailableError: The store can't be reached.
            OutcomeUnknownError: The lease may have been acquired; the next
                call finds out.
        """
        record = self._table.get(_KEY_PREFIX + name)
        if record is None:
            return self._take(name, holder, lease_s, 0, 0)
        body = _decode(record)
        if body.instance == self._instance and body.holder == holder:
            return self._resume(name, record, body, lease_s)
        if body.holder and not self._waited_out(name, record, body):
            return None
        return self._take(name, holder, lease_s, record.revision, body.token)

    def renew(self, lease: Lease) -> Lease:
        """Extends a lease.

        A lease that expired is extended too if no other holder took it: the
        token is unchanged, and another holder starts to wait anew.

        Raises:
            LeaseLostError: Another holder has the lease, or may have it.
            StoreUnavailableError: The lease keeps its old end.
            OutcomeUnknownError: The lease keeps its old end.
        """
        try:
            renewed = self._write(
                lease.name,
                lease.revision,
                lease.holder,
                lease.token,
                lease.lease_s,
            )
        except StoreConflictError:
            renewed = self._adopt(lease)
        if renewed is None:
            raise LeaseLostError(
                f"lease {lease.name!r} with token {lease.token} was taken over"
            )
        return renewed

    def release(self, lease: Lease) -> None:
        """Frees a lease, so that the next holder need not wait.

        The caller must have no order in progress. A failure is logged only,
        since the lease then ends by itself.
        """
        body = _LeaseBody("", self._instance, lease.token, lease.lease_s, "")
        key = _KEY_PREFIX + lease.name
        try:
            self._table.transact(
                [Condition(key, lease.revision)],
                [Write(key, msgspec.json.encode(body))],
            )
        except PlatformError as error:
            _log.info("lease_not_released", lease=lease.name, error=str(error))

    def _take(
        self,
        name: str,
        holder: str,
        lease_s: float,
        revision: int,
        old_token: int,
    ) -> Lease | None:
        try:
            lease = self._write(name, revision, holder, old_token + 1, lease_s)
        except StoreConflictError:
            return None
        if lease is not None:
            _log.info("lease_acquired", lease=name, token=lease.token)
        return lease

    def _resume(
        self, name: str, record: Record, body: _LeaseBody, lease_s: float
    ) -> Lease | None:
        """Returns a lease that an earlier write with a lost answer took.

        It is extended first: the lost write may have taken effect long ago.
        """
        try:
            return self._write(
                name, record.revision, body.holder, body.token, lease_s
            )
        except StoreConflictError:
            return None

    def _adopt(self, lease: Lease) -> Lease | None:
        """Finds out why a renewal met another revision.

        An earlier renewal whose answer was lost may have taken effect late.
        """
        record = self._table.get(_KEY_PREFIX + lease.name)
        if record is None:
            return None
        body = _decode(record)
        is_own = (
            body.instance == self._instance
            and body.holder == lease.holder
            and body.token == lease.token
        )
        if not is_own:
            return None
        try:
            return self._write(
                lease.name,
                record.revision,
                lease.holder,
                lease.token,
                lease.lease_s,
            )
        except StoreConflictError:
            return None

    def _write(
        self,
        name: str,
        revision: int,
        holder: str,
        token: int,
        lease_s: float,
    ) -> Lease | None:
        """Writes a grant if the record is at `revision`.

        Returns:
            The lease, None if the answer was lost and the write lost to
            another one.

        Raises:
            StoreConflictError: The record has another revision.
            PlatformError: The outcome can't be settled.
        """
        key = _KEY_PREFIX + name
        nonce = secrets.token_hex(8)
        body = _LeaseBody(holder, self._instance, token, lease_s, nonce)
        # Counting from before the write is sent is what makes the end safe.
        sent_at = self._clock.monotonic()
        lease = Lease(
            name,
            holder,
            token,
            lease_s,
            sent_at + lease_s,
            revision + 1,
            self._clock,
        )
        try:
            self._table.transact(
                [Condition(key, revision)],
                [Write(key, msgspec.json.encode(body))],
            )
        except OutcomeUnknownError:
            return lease if self._took_effect(key, revision, nonce) else None
        return lease

    def _took_effect(self, key: str, revision: int, nonce: str) -> bool:
        """Returns whether a write with a lost answer took effect.

        Raises:
            OutcomeUnknownError: The record is unchanged, so the write may
                still arrive, or it can't be read.
        """
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                record = self._table.get(key)
            except StoreUnavailableError:
                continue
            if record is not None and record.revision > revision:
                return _decode(record).nonce == nonce
            break
        raise OutcomeUnknownError(f"write of {key} may have taken effect")

    def _waited_out(self, name: str, record: Record, body: _LeaseBody) -> bool:
        """Returns whether the holder can no longer act.

        The wait starts when this process first sees a revision, which is
        after the holder sent it.
        """
        now = self._clock.monotonic()
        with self._lock:
            seen = self._seen.get(name)
            if seen is None or seen[0] != record.revision:
                self._seen[name] = (record.revision, now)
                return False
            waited_s = now - seen[1]
        return waited_s >= takeover_wait_s(body.lease_s, self._order_timeout_s)


def takeover_wait_s(lease_s: float, order_timeout_s: float) -> float:
    """Returns how long a new holder waits for an old one, in seconds."""
    return (lease_s + order_timeout_s) * (1 + MAX_DRIFT)


def _decode(record: Record) -> _LeaseBody:
    return msgspec.json.decode(record.value, type=_LeaseBody)
