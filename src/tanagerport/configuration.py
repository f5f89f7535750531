"""Configuration records: acceptance in the store and the view in force."""

import random
import secrets
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import structlog

from tanagerport.clock import Clock
from tanagerport.config_checks import check_change, is_update
from tanagerport.config_log import ConfigLog
from tanagerport.config_records import (
    HEAD_KEY,
    Acceptance,
    ConfigChange,
    ConfigEntry,
    Conviction,
    Head,
    LogEntry,
    RecordBody,
    conviction_key,
    describe_difference,
    encode,
    log_key,
    move_key,
    values_of_change,
)
from tanagerport.config_state import (
    AppliedVersion,
    ConfigurationState,
    Snapshot,
)
from tanagerport.exceptions import (
    ConfigConflictError,
    DocumentError,
    LeaseLostError,
    OutcomeUnknownError,
    StoreConflictError,
    StoreUnavailableError,
)
from tanagerport.model import VersionMove, WorkClass
from tanagerport.platform_api import Condition, TableStore, Write

# Log entries that the store keeps. A node that missed more reads all records;
# an operator that lost an answer can settle it within these.
LOG_LENGTH = 1_000
# 8 operators that race on disjoint classes without pause needed at most 5
# (race_measurement, seed 1).
_MAX_ATTEMPTS = 64
_MAX_BACKOFF_S = 0.05
# An operator waits no longer; with a slow store each attempt may take the
# time limit of a platform call.
_ACCEPT_TIMEOUT_S = 15.0
_BOOTSTRAP_OPERATOR = "bootstrap"

_log = structlog.get_logger(__name__)

_Values = Mapping[str, dict[str, Any] | None]


class ConfigurationStore:
    """Implements `ConfigurationView` and accepts changes.

    Args:
        table: Table service.
        clock: Source of time.
        node_id: Name of this node, the operator of its own convictions.
        seed: Seed of the backoff's jitter.
    """

    def __init__(
        self,
        table: TableStore,
        clock: Clock,
        node_id: str,
        seed: int | None = None,
    ) -> None:
        self._table = table
        self._clock = clock
        self._node_id = node_id
        self._state = ConfigurationState(clock)
        self._config_log = ConfigLog(table, self._state, LOG_LENGTH)
        self._random = random.Random(seed)
        self._sync_lock = threading.Lock()
        self._has_synced = False
        self._acceptance_listeners: list[Callable[[], None]] = []

    @property
    def state(self) -> ConfigurationState:
        """State that spread reads and merges into."""
        return self._state

    @property
    def version(self) -> int:
        """Highest configuration version in force; 0 before the first."""
        return self._state.snapshot.version

    @property
    def classes(self) -> Mapping[str, WorkClass]:
        """Classes by name."""
        return self._state.snapshot.classes

    @property
    def moves(self) -> Mapping[str, VersionMove]:
        """Latest version move of each model."""
        return self._state.snapshot.moves

    @property
    def convictions(self) -> Mapping[tuple[str, str], str]:
        """Reason by model and version that is known to be bad."""
        return self._state.snapshot.convictions

    @property
    def history(self) -> Sequence[AppliedVersion]:
        """Latest applied versions with their lag, oldest first."""
        return self._state.history

    @property
    def has_synced(self) -> bool:
        """Whether the store was read at least once."""
        return self._has_synced

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change, in the changing thread."""
        self._state.add_listener(listener)

    def add_acceptance_listener(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change that this node accepted."""
        self._acceptance_listeners.append(listener)

    def add_conviction(self, model: str, version: str, reason: str) -> None:
        """Records a bad version at once and spreads it.

        The record is written to the store as soon as it can be reached.
        """
        if self._state.add_convictions([Conviction(model, version, reason)]):
            _log.warning(
                "version_convicted", model=model, version=version, reason=reason
            )

    def apply(
        self, change: ConfigChange, operator: str, operation_id: str
    ) -> Acceptance:
        """Makes a change durable and puts it in force on this node.

        A call with the id of an earlier operation returns that operation's
        acceptance, so an operator whose answer was lost may repeat the call.

        Args:
            change: Change to make.
            operator: Who makes it.
            operation_id: Unique id of the operation.

        Returns:
            Version and time of the acceptance.

        Raises:
            DocumentError: The change has findings.
            ConfigConflictError: A record changed since this node's view.
            LeaseLostError: A move has an older fencing token than its record.
            StoreUnavailableError: The change was not made.
            OutcomeUnknownError: The change may have been made; repeat the
                call with the same operation id.
        """
        if not self._has_synced:
            self.sync()
        base = self._state.snapshot
        # A repeated call is answered before the check: the operation's own
        # effect, such as a started move, may be a finding for a second one.
        accepted = self._config_log.find(operation_id, self.sync())
        if accepted is not None:
            return accepted
        self._check(change, base)
        return self._accept(change, base, operator, operation_id)

    def bootstrap(self, classes: Sequence[WorkClass]) -> None:
        """Writes the first classes if the store holds no configuration.

        Raises:
            PlatformError: The store can't be reached.
            DocumentError: The classes have findings.
        """
        if not classes or self.sync() > 0:
            return
        try:
            # All nodes use one operation id, so the first of them succeeds
            # and the others find its entry.
            self.apply(
                ConfigChange(classes=tuple(classes)),
                _BOOTSTRAP_OPERATOR,
                _BOOTSTRAP_OPERATOR,
            )
        except ConfigConflictError:
            _log.info("bootstrap_superseded")

    def sync(self) -> int:
        """Applies what the store holds and this node lacks.

        Returns:
            Configuration version of the store.

        Raises:
            StoreUnavailableError: The store can't be reached.
        """
        with self._sync_lock:
            version = self._config_log.pull()
            self._has_synced = True
        return version

    def merge(self, entries: Iterable[ConfigEntry], version: int) -> bool:
        """Applies durable records that a peer sent."""
        return self._state.merge(entries, version)

    def save_convictions(self) -> None:
        """Writes convictions that the store lacks.

        Raises:
            PlatformError: The store can't be reached.
        """
        for item in self._state.unsaved_convictions():
            key = conviction_key(item.model, item.version)
            try:
                # Based on absence: another node may have written the record
                # since the list was made.
                self._accept(
                    ConfigChange((), (), (), (item,), {key: 0}),
                    self._state.snapshot,
                    self._node_id,
                    f"conviction-{secrets.token_hex(8)}",
                )
            except ConfigConflictError:
                # Another node wrote the same conviction.
                continue

    def _check(self, change: ConfigChange, snapshot: Snapshot) -> None:
        findings = check_change(
            change, snapshot.classes, snapshot.moves, snapshot.convictions
        )
        if findings:
            raise DocumentError("change", findings)
        _check_tokens(change, snapshot)

    def _accept(
        self,
        change: ConfigChange,
        base: Snapshot,
        operator: str,
        operation_id: str,
    ) -> Acceptance:
        values = values_of_change(change)
        is_unknown = False
        give_up_at = self._clock.monotonic() + _ACCEPT_TIMEOUT_S
        for attempt in range(_MAX_ATTEMPTS):
            if self._clock.monotonic() >= give_up_at:
                break
            try:
                self.sync()
                # The commit requires that head is still at this version, so
                # no entry can hide between the search and the commit.
                current = self._state.snapshot
                accepted = self._config_log.find(operation_id, current.version)
                if accepted is not None:
                    return accepted
                _check_bases(change, values, base, current, operator)
                if current.version != base.version:
                    self._check(change, current)
                return self._commit(values, current, operator, operation_id)
            except StoreConflictError:
                self._back_off(attempt)
            except OutcomeUnknownError:
                # The next round reads the log up to head. If the entry is
                # not there, the same transaction is sent again: both depend
                # on the same head, so at most one of them takes effect.
                is_unknown = True
                self._back_off(attempt)
            except StoreUnavailableError as error:
                if is_unknown:
                    raise OutcomeUnknownError(
                        f"operation {operation_id!r} may have taken effect;"
                        " repeat it with the same id"
                    ) from error
                raise
        message = (
            f"operation {operation_id!r} was not accepted in"
            f" {_ACCEPT_TIMEOUT_S:g} s or {_MAX_ATTEMPTS} attempts"
        )
        if is_unknown:
            raise OutcomeUnknownError(message)
        raise StoreUnavailableError(message)

    def _commit(
        self,
        values: _Values,
        current: Snapshot,
        operator: str,
        operation_id: str,
    ) -> Acceptance:
        """Writes records, head and log entry in one transaction."""
        version = current.version + 1
        now = self._clock.time()
        entries = [
            ConfigEntry(
                key,
                current.revision(key) + 1,
                RecordBody(version, operator, operation_id, now, value),
            )
            for key, value in values.items()
        ]
        log_entry = LogEntry(version, operation_id, operator, now, entries)
        conditions = [Condition(key, current.revision(key)) for key in values]
        # The head's revision equals its version: each change writes it once.
        conditions.append(Condition(HEAD_KEY, current.version))
        writes = [Write(item.key, encode(item.body)) for item in entries]
        writes.append(Write(HEAD_KEY, encode(Head(version))))
        writes.append(Write(log_key(version), encode(log_entry)))
        if version > LOG_LENGTH:
            writes.append(Write(log_key(version - LOG_LENGTH), None))
        self._table.transact(conditions, writes)
        self._config_log.take([log_entry])
        for listener in self._acceptance_listeners:
            listener()
        return Acceptance(operation_id, version, now)

    def _back_off(self, attempt: int) -> None:
        bound_s = min(0.001 * 2**attempt, _MAX_BACKOFF_S)
        self._clock.sleep(self._random.uniform(0, bound_s))


def _check_bases(
    change: ConfigChange,
    values: _Values,
    base: Snapshot,
    current: Snapshot,
    operator: str,
) -> None:
    """Raises an error if a record is not at the revision of the base."""
    for key in values:
        expected = change.base_revisions.get(key, base.revision(key))
        if current.revision(key) == expected:
            continue
        entry = current.records.get(key)
        if entry is None:
            raise ConfigConflictError(key, operator, "nobody", 0, [])
        old = base.records.get(key)
        raise ConfigConflictError(
            key,
            operator,
            entry.body.operator,
            entry.body.version,
            describe_difference(
                old.body.value if old else None, entry.body.value
            ),
        )


def _check_tokens(change: ConfigChange, snapshot: Snapshot) -> None:
    for move in change.moves:
        current = snapshot.moves.get(move.model)
        if (
            current is not None
            and is_update(move, current)
            and move.fencing_token < current.fencing_token
        ):
            raise LeaseLostError(
                f"{move_key(move.model)} was written under fencing token"
                f" {current.fencing_token}, not {move.fencing_token}"
            )
