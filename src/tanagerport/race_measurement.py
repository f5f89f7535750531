"""Measures aborts of racing operators under two ways to commit.

The record-level way finds its position at commit time: a change conflicts
only if its own record changed. The alternative keeps one document and
compares and sets it whole: any change in between aborts the change. An abort
is what the operator sees; a transaction that the service repeats by itself is
counted apart. Run it with `python -m tanagerport.race_measurement`.
"""

import dataclasses
import json
import random
import sys
import threading
from collections.abc import Callable, Mapping, Sequence

from tanagerport.clock import FakeClock
from tanagerport.config_records import ConfigChange
from tanagerport.configuration import ConfigurationStore
from tanagerport.exceptions import ConfigConflictError, StoreConflictError
from tanagerport.model import UpstreamKind, WorkClass
from tanagerport.platform_api import Condition, Record, Write
from tanagerport.platform_memory import MemoryTableStore

OPERATOR_COUNTS = tuple(range(2, 9))

_ROUNDS = 50
_TIERS = 4
_DOCUMENT_KEY = "document"


@dataclasses.dataclass(frozen=True)
class AbortRate:
    """Result for one number of operators.

    Attributes:
        operators: Operators that race in each round.
        changes: Changes tried in all rounds.
        aborts: Changes that were refused because of another one.
        transactions: Transactions sent to the store.
        most_transactions: Most transactions that one change needed.
    """

    operators: int
    changes: int
    aborts: int
    transactions: int
    most_transactions: int

    @property
    def abort_rate(self) -> float:
        """Share of changes that were refused."""
        return self.aborts / self.changes


class _Turns:
    """Lets threads run one at a time, in an order drawn from a seed."""

    def __init__(self, chooser: random.Random) -> None:
        self._random = chooser
        self._condition = threading.Condition()
        self._unfinished = 0
        self._waiting: list[int] = []
        self._turn: int | None = None

    def run(self, actions: Sequence[Callable[[], None]]) -> None:
        """Runs all actions; each gives up its turn before a table call."""
        self._unfinished = len(actions)
        threads = [
            threading.Thread(target=self._run_one, args=(index, action))
            for index, action in enumerate(actions)
        ]
        for thread in threads:
            thread.start()
        self._give_turns()
        for thread in threads:
            thread.join()

    def wait(self, index: int) -> None:
        """Waits until it is this thread's turn again."""
        with self._condition:
            if self._turn == index:
                self._turn = None
            self._waiting.append(index)
            self._condition.notify_all()
            self._condition.wait_for(lambda: self._turn == index)

    def _run_one(self, index: int, action: Callable[[], None]) -> None:
        try:
            action()
        finally:
            with self._condition:
                self._unfinished -= 1
                if self._turn == index:
                    self._turn = None
                self._condition.notify_all()

    def _give_turns(self) -> None:
        with self._condition:
            while True:
                # All threads wait, so the choice depends on the seed only.
                self._condition.wait_for(
                    lambda: (
                        self._turn is None
                        and len(self._waiting) == self._unfinished
                    )
                )
                if not self._waiting:
                    return
                self._turn = self._random.choice(sorted(self._waiting))
                self._waiting.remove(self._turn)
                self._condition.notify_all()


class _OperatorTable:
    """The shared table as one operator's node reaches it."""

    def __init__(
        self, table: MemoryTableStore, turn: Callable[[], None]
    ) -> None:
        self._table = table
        self._turn = turn
        self.is_racing = False
        self.transactions = 0

    def get(self, key: str) -> Record | None:
        """Returns the record, None if it does not exist."""
        self._wait()
        return self._table.get(key)

    def scan(self, prefix: str, start_after: str = "") -> Sequence[Record]:
        """Returns records in key order whose key starts with `prefix`."""
        self._wait()
        return self._table.scan(prefix, start_after)

    def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Writes all records if all conditions hold, else none."""
        self._wait()
        self.transactions += 1
        self._table.transact(conditions, writes)

    def _wait(self) -> None:
        if self.is_racing:
            self._turn()


class _RecordOperator:
    """Operator at a node that commits by record."""

    def __init__(self, table: _OperatorTable, name: str, seed: int) -> None:
        self._store = ConfigurationStore(table, FakeClock(), name, seed)
        self._name = name
        self._operations = 0

    def prepare(self) -> None:
        """Reads what is in force."""
        self._store.sync()

    def change(self, work_class: WorkClass) -> bool:
        """Makes a change; returns whether it was accepted."""
        self._operations += 1
        try:
            self._store.apply(
                ConfigChange(classes=(work_class,)),
                self._name,
                f"{self._name}-{self._operations}",
            )
        except ConfigConflictError:
            return False
        return True


class _DocumentOperator:
    """Operator at a node that compares and sets one document."""

    def __init__(self, table: _OperatorTable, name: str, seed: int) -> None:
        del name, seed
        self._table = table
        self._revision = 0
        self._document: dict[str, int] = {}

    def prepare(self) -> None:
        """Reads what is in force."""
        record = self._table.get(_DOCUMENT_KEY)
        if record is not None:
            self._revision = record.revision
            self._document = json.loads(record.value)

    def change(self, work_class: WorkClass) -> bool:
        """Makes a change; returns whether it was accepted."""
        document = self._document | {work_class.name: work_class.tier}
        try:
            self._table.transact(
                [Condition(_DOCUMENT_KEY, self._revision)],
                [Write(_DOCUMENT_KEY, json.dumps(document).encode())],
            )
        except StoreConflictError:
            return False
        return True


_Operator = _RecordOperator | _DocumentOperator
_WAYS: Mapping[str, type[_RecordOperator] | type[_DocumentOperator]] = {
    "record": _RecordOperator,
    "document": _DocumentOperator,
}


def measure_abort_rates(
    seed: int,
    operator_counts: Sequence[int] = OPERATOR_COUNTS,
    rounds: int = _ROUNDS,
) -> Mapping[str, Sequence[AbortRate]]:
    """Measures both ways on equal and on disjoint classes.

    Args:
        seed: Seed of the order in which operators' calls reach the store.
        operator_counts: Numbers of operators that race.
        rounds: Races for each number of operators.

    Returns:
        Results by `WAY/CLASSES`, such as `record/disjoint`.
    """
    return {
        f"{way}/{'disjoint' if is_disjoint else 'equal'}": [
            _measure(kind, is_disjoint, count, seed, rounds)
            for count in operator_counts
        ]
        for way, kind in _WAYS.items()
        for is_disjoint in (True, False)
    }


def _measure(
    kind: type[_RecordOperator] | type[_DocumentOperator],
    is_disjoint: bool,
    count: int,
    seed: int,
    rounds: int,
) -> AbortRate:
    turns = _Turns(random.Random(seed))
    shared = MemoryTableStore()
    tables = [
        _OperatorTable(shared, lambda index=index: turns.wait(index))  # type: ignore[misc]
        for index in range(count)
    ]
    operators: list[_Operator] = [
        kind(table, f"operator-{index}", seed)
        for index, table in enumerate(tables)
    ]
    aborts = 0
    transactions: list[int] = []
    for number in range(rounds):
        before = [table.transactions for table in tables]
        accepted = _race(turns, tables, operators, is_disjoint, number)
        aborts += count - sum(accepted)
        transactions.extend(
            table.transactions - earlier
            for table, earlier in zip(tables, before, strict=True)
        )
    return AbortRate(
        count,
        count * rounds,
        aborts,
        sum(transactions),
        max(transactions),
    )


def _race(
    turns: _Turns,
    tables: Sequence[_OperatorTable],
    operators: Sequence[_Operator],
    is_disjoint: bool,
    number: int,
) -> list[bool]:
    accepted = [False] * len(operators)

    def act(index: int) -> None:
        accepted[index] = operators[index].change(
            WorkClass(
                f"class-{index if is_disjoint else 0}",
                number % _TIERS,
                UpstreamKind.ENGINE,
                "tutor",
            )
        )

    for table, operator in zip(tables, operators, strict=True):
        table.is_racing = False
        operator.prepare()
        table.is_racing = True
    turns.run(
        [
            lambda index=index: act(index)  # type: ignore[misc]
            for index in range(len(operators))
        ]
    )
    return accepted


def main(argv: Sequence[str]) -> int:
    """Prints a table of the results."""
    seed = int(argv[1]) if len(argv) > 1 else 1
    print(
        f"{'way/classes':18} {'operators':>9} {'abort rate':>10}"
        f" {'transactions/change':>20} {'most':>5}"
    )
    for name, rates in measure_abort_rates(seed).items():
        for rate in rates:
            print(
                f"{name:18} {rate.operators:9} {rate.abort_rate:10.3f}"
                f" {rate.transactions / rate.changes:20.2f}"
                f" {rate.most_transactions:5}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
