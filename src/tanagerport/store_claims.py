"""Claims of calls that must not be repeated, kept in the table service."""

import contextlib
import dataclasses
import threading
import uuid

import msgspec
import structlog
import xxhash

from tanagerport.clock import Clock
from tanagerport.exceptions import (
    OutcomeUnknownError,
    PlatformError,
    RefusedError,
    StoreConflictError,
)
from tanagerport.key_claims import (
    ClaimOutcome,
    DuplicateKeyError,
    fingerprint,
)
from tanagerport.model import Ran, Refusal, RefusalReason, Request
from tanagerport.platform_api import Condition, Record, TableStore, Write
from tanagerport.settings import Settings

PREFIX = "claim/"
# Booking systems repeat calls after a day at the latest.
_RETENTION_S = 86_400.0
# Each node reads a page of at most 1,000 claims in this time.
_REMOVE_INTERVAL_S = 600.0
_SETTLE_ATTEMPTS = 3
_SETTLE_PAUSE_S = 0.05
_RETRY_AFTER_S = 2.0

_log = structlog.get_logger(__name__)


class _StoredClaim(msgspec.Struct, frozen=True):
    """Value of a claim record.

    Attributes:
        operation: Identifies the attempt that wrote the record.
        request_id: Request that holds the key.
        node_id: Node that got it.
        fingerprint: Hash of the request.
        claimed_at: Epoch seconds.
        outcome: Empty until known.
    """

    operation: str
    request_id: str
    node_id: str
    fingerprint: int
    claimed_at: float
    outcome: str = ""


_DECODER = msgspec.json.Decoder(_StoredClaim)


@dataclasses.dataclass
class StoreClaim:
    """A claim that the table service holds for a request."""

    store: "StoreClaims"
    record_key: str
    value: _StoredClaim
    settled: bool = False

    def settle(self, outcome: ClaimOutcome) -> None:
        """Records the outcome; later calls have no effect."""
        if self.settled:
            return
        self.settled = True
        self.store.settle(self.record_key, self.value, outcome)


class StoreClaims:
    """Claims calls of plain services before their dispatch.

    Args:
        table: Table service.
        node_id: Name of this node.
        clock: Source of time.
    """

    def __init__(self, table: TableStore, node_id: str, clock: Clock) -> None:
        self._table = table
        self._node_id = node_id
        self._clock = clock
        self._lock = threading.Lock()
        self._cursor = ""
        self._removed_at = clock.monotonic()

    def claim(self, request: Request, is_new_key: bool = False) -> StoreClaim:
        """Claims the request's key.

        Args:
            request: Request with a key.
            is_new_key: Whether this node has just made the key.

        Returns:
            The claim; the call may be dispatched only under it.

        Raises:
            DuplicateKeyError: Another request holds the key.
            RefusedError: The key can't be claimed.
        """
        self._remove_expired_at_times()
        record_key = _record_key(request)
        value = _StoredClaim(
            operation=uuid.uuid4().hex,
            request_id=request.request_id,
            node_id=self._node_id,
            fingerprint=fingerprint(request),
            claimed_at=self._clock.time(),
        )
        try:
            holder = self._put_if_absent(record_key, value)
        except PlatformError as error:
            raise RefusedError(
                Refusal(
                    RefusalReason.CLAIM_STORE_UNAVAILABLE,
                    f"the call can't be claimed: {error}",
                    # Without the store it can't be told whether an earlier
                    # attempt with the key ran.
                    Ran.NO
                    if is_new_key or request.attempt == 1
                    else Ran.UNKNOWN,
                    _RETRY_AFTER_S,
                )
            ) from error
        if holder.operation != value.operation:
            raise _refuse_held(holder, value)
        return StoreClaim(self, record_key, value)

    def settle(
        self, record_key: str, value: _StoredClaim, outcome: ClaimOutcome
    ) -> None:
        """Records the outcome of a claimed call.

        A claim whose outcome can't be written stays without one, which
        later calls with the key are answered as unknown.
        """
        for _ in range(_SETTLE_ATTEMPTS):
            try:
                if self._write_outcome(record_key, value, outcome):
                    return
            except PlatformError as error:
                _log.warning(
                    "claim_outcome_not_written",
                    request_id=value.request_id,
                    error=str(error),
                )
            self._clock.sleep(_SETTLE_PAUSE_S)

    def remove_expired(self, retention_s: float = _RETENTION_S) -> int:
        """Deletes the old claims of the next page of the table.

        Args:
            retention_s: Age at which a claim is deleted, in seconds.

        Returns:
            Number of deleted claims.

        Raises:
            PlatformError: The table service could not do it.
        """
        oldest = self._clock.time() - retention_s
        records = self._table.scan(PREFIX, self._cursor)
        self._cursor = records[-1].key if records else ""
        removed = 0
        for record in records:
            if _DECODER.decode(record.value).claimed_at > oldest:
                continue
            with contextlib.suppress(StoreConflictError):
                self._table.transact(
                    [Condition(record.key, record.revision)],
                    [Write(record.key, None)],
                )
                removed += 1
        return removed

    def _remove_expired_at_times(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            if now - self._removed_at < _REMOVE_INTERVAL_S:
                return
            self._removed_at = now
        threading.Thread(
            target=self._remove_page, name="claim-removal", daemon=True
        ).start()

    def _remove_page(self) -> None:
        try:
            self.remove_expired()
        except PlatformError as error:
            _log.info("old_claims_not_removed", error=str(error))

    def _put_if_absent(
        self, record_key: str, value: _StoredClaim
    ) -> _StoredClaim:
        """Writes the claim and returns the claim that the table holds."""
        for _ in range(2):
            try:
                self._table.transact(
                    [Condition(record_key, 0)],
                    [Write(record_key, msgspec.json.encode(value))],
                )
                return value
            except (StoreConflictError, OutcomeUnknownError):
                record = self._table.get(record_key)
                if record is not None:
                    return _DECODER.decode(record.value)
            # Absent after a lost answer: the write may still arrive, so it
            # is repeated under the same operation id.
        raise OutcomeUnknownError("the claim's write has no known outcome")

    def _write_outcome(
        self, record_key: str, value: _StoredClaim, outcome: ClaimOutcome
    ) -> bool:
        record = self._table.get(record_key)
        if record is None or not _holds(record, value):
            return True
        content = None
        if outcome is not ClaimOutcome.NOT_RUN:
            settled = msgspec.structs.replace(
                value, outcome=outcome.name.lower()
            )
            content = msgspec.json.encode(settled)
        try:
            self._table.transact(
                [Condition(record_key, record.revision)],
                [Write(record_key, content)],
            )
        except StoreConflictError:
            return False
        return True


def create_store_claims(
    table: TableStore, settings: Settings, clock: Clock
) -> StoreClaims:
    """Builds the claims of calls that must not be repeated."""
    return StoreClaims(table, settings.node_id, clock)


def _record_key(request: Request) -> str:
    # Keys are callers' text of any length; a hash bounds the record's key.
    digest = xxhash.xxh3_128_hexdigest(
        f"{request.customer}\0{request.work_class.model}\0{request.key}"
    )
    return PREFIX + digest


def _holds(record: Record, value: _StoredClaim) -> bool:
    held = _DECODER.decode(record.value)
    return held.operation == value.operation and not held.outcome


def _refuse_held(holder: _StoredClaim, mine: _StoredClaim) -> RefusedError:
    if holder.fingerprint != mine.fingerprint:
        return RefusedError(
            Refusal(
                RefusalReason.KEY_REUSED,
                "the key was used for a call with another body or path",
            )
        )
    if holder.outcome == ClaimOutcome.UNKNOWN.name.lower():
        return RefusedError(
            Refusal(
                RefusalReason.CLAIM_UNKNOWN,
                "the call with this key ended without a known outcome",
                Ran.UNKNOWN,
            )
        )
    return DuplicateKeyError(
        holder.node_id, holder.request_id, bool(holder.outcome)
    )
