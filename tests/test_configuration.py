"""Tests of `tanagerport.configuration`."""

import dataclasses
import threading

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from faulty_table import FaultyTable
from tanagerport import configuration
from tanagerport.clock import FakeClock
from tanagerport.config_records import ConfigEntry, conviction_key
from tanagerport.config_state import ConfigurationState
from tanagerport.configuration import ConfigChange, ConfigurationStore
from tanagerport.exceptions import (
    ConfigConflictError,
    DocumentError,
    LeaseLostError,
    OutcomeUnknownError,
    PlatformError,
    StoreUnavailableError,
)
from tanagerport.model import UpstreamKind, VersionMove, WorkClass

_HINT = WorkClass("caption-hint", 0, UpstreamKind.ENGINE, "tutor")
_DRILL = WorkClass("drill-set", 2, UpstreamKind.ENGINE, "tutor")
_MOVE = VersionMove("tutor", "v1", "v2", deadline=2e6, started=1e6)


def _change(*classes: WorkClass) -> ConfigChange:
    return ConfigChange(classes=classes)


def _with_tier(work_class: WorkClass, tier: int) -> ConfigChange:
    return _change(dataclasses.replace(work_class, tier=tier))


class _Setup:
    def __init__(self) -> None:
        self.table = FaultyTable()
        self.first, self.second = self.make("node-1"), self.make("node-2")
        self.first.apply(_change(_HINT, _DRILL), "ann", "op-0")
        self.second.sync()

    def make(self, node_id: str) -> ConfigurationStore:
        return ConfigurationStore(self.table, FakeClock(), node_id, seed=1)


@pytest.fixture(name="setup")
def _setup() -> _Setup:
    return _Setup()


class TestApply:
    """Guards against lost, doubled and silently overwritten changes."""

    def test_accepted_change_is_durable_and_in_force(
        self, setup: _Setup
    ) -> None:
        accepted = setup.first.apply(_with_tier(_HINT, 1), "ann", "op-1")
        assert accepted.version == setup.first.version == 2
        fresh = setup.make("node-3")
        fresh.sync()
        assert fresh.classes == setup.first.classes
        assert fresh.classes["caption-hint"].tier == 1

    def test_second_operator_on_one_record_is_told_who_changed_what(
        self, setup: _Setup
    ) -> None:
        """Guards against the last writer silently winning."""
        setup.first.apply(_with_tier(_HINT, 1), "ann", "op-1")
        with pytest.raises(ConfigConflictError) as caught:
            setup.second.apply(_with_tier(_HINT, 2), "bob", "op-2")
        assert caught.value.operator == "bob"
        assert caught.value.other_operator == "ann"
        assert caught.value.changes == ("tier: 0 -> 1",)
        assert setup.second.classes["caption-hint"].tier == 1

    def test_disjoint_records_both_succeed(self, setup: _Setup) -> None:
        setup.first.apply(_with_tier(_HINT, 1), "ann", "op-1")
        setup.second.apply(_with_tier(_DRILL, 3), "bob", "op-2")
        setup.first.sync()
        tiers = {item.tier for item in setup.first.classes.values()}
        assert tiers == {1, 3}

    @pytest.mark.parametrize("same", [True, False])
    def test_threads_that_race(self, setup: _Setup, same: bool) -> None:
        """Guards against both or neither of two racing operators."""
        barrier = threading.Barrier(2)
        outcomes: list[str] = []

        def run(store: ConfigurationStore, change: ConfigChange) -> None:
            barrier.wait()
            try:
                store.apply(change, "ann", f"op-{id(store)}")
                outcomes.append("accepted")
            except ConfigConflictError:
                outcomes.append("conflict")

        threads = [
            threading.Thread(
                target=run, args=(setup.first, _with_tier(_HINT, 1))
            ),
            threading.Thread(
                target=run,
                args=(setup.second, _with_tier(_HINT if same else _DRILL, 2)),
            ),
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(outcomes) == (
            ["accepted", "conflict"] if same else ["accepted"] * 2
        )

    @pytest.mark.parametrize("applied", [True, False])
    def test_lost_answer_is_settled_by_operation_id(
        self, setup: _Setup, applied: bool
    ) -> None:
        """Guards against a change that is made twice or reported lost."""
        setup.table.lose_next(applied)
        accepted = setup.first.apply(_with_tier(_HINT, 1), "ann", "op-1")
        setup.table.deliver_late()
        assert accepted.version == 2
        assert setup.second.sync() == 2

    def test_outage_after_a_lost_answer_is_unknown_and_can_be_repeated(
        self, setup: _Setup
    ) -> None:
        """Guards against "not made" for a change that was made."""
        setup.table.lose_next(applied=True)
        setup.table.on_write = lambda: setattr(setup.table, "down", True)
        with pytest.raises(OutcomeUnknownError):
            setup.first.apply(_with_tier(_HINT, 1), "ann", "op-1")
        setup.table.down = False
        setup.table.on_write = lambda: None
        again = setup.second.apply(_with_tier(_HINT, 1), "ann", "op-1")
        assert again.version == 2

    def test_outage_makes_no_change(self, setup: _Setup) -> None:
        setup.table.down = True
        with pytest.raises(StoreUnavailableError):
            setup.first.apply(_with_tier(_HINT, 1), "ann", "op-1")
        assert setup.first.classes["caption-hint"].tier == 0

    def test_all_findings_are_reported_and_nothing_is_written(
        self, setup: _Setup
    ) -> None:
        setup.first.add_conviction("tutor", "v2", "errors")
        change = ConfigChange(
            classes=(
                dataclasses.replace(_HINT, first_token_target_s=40.0),
                dataclasses.replace(_HINT, name="x", kind=UpstreamKind.SERVICE),
            ),
            remove_classes=("missing",),
            moves=(_MOVE, dataclasses.replace(_MOVE, model="unknown")),
        )
        with pytest.raises(DocumentError) as caught:
            setup.first.apply(change, "ann", "op-1")
        assert {item.place for item in caught.value.findings} == {
            "classes.0.first_token_target_s",
            "classes.0.kind",
            "classes.1.kind",
            "remove_classes.0",
            "moves.0.new_version",
            "moves.1.model",
        }
        assert setup.second.sync() == 1

    def test_malformed_fields_are_found(self, setup: _Setup) -> None:
        change = _with_tier(_HINT, 9)
        with pytest.raises(DocumentError) as caught:
            setup.first.apply(change, "ann", "op-1")
        assert caught.value.findings[0].place == "classes.0.tier"

    def test_removed_class_can_come_back(self, setup: _Setup) -> None:
        """Guards against a revision that restarts after a removal."""
        setup.first.apply(
            ConfigChange(remove_classes=("caption-hint",)), "ann", "op-1"
        )
        setup.first.apply(_change(_HINT), "ann", "op-2")
        setup.second.sync()
        assert "caption-hint" in setup.second.classes
        record = setup.second.state.snapshot.records["class/caption-hint"]
        assert record.revision == 3

    def test_old_fencing_token_changes_no_move(self, setup: _Setup) -> None:
        """Guards against a paused controller that resumes late."""
        newer = dataclasses.replace(_MOVE, fencing_token=2)
        setup.first.apply(ConfigChange(moves=(newer,)), "mover-2", "op-1")
        stale = dataclasses.replace(_MOVE, fencing_token=1, share=1.0)
        with pytest.raises(LeaseLostError):
            setup.first.apply(ConfigChange(moves=(stale,)), "mover-1", "op-2")

    def test_log_is_bounded_and_a_late_node_reads_all_records(
        self, setup: _Setup, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(configuration, "LOG_LENGTH", 5)
        for number in range(12):
            setup.first.apply(
                _with_tier(_HINT, number % 4), "ann", f"op-{number + 1}"
            )
        assert len(setup.table.scan("log/")) == 5
        assert setup.second.sync() == 13
        assert setup.second.classes == setup.first.classes


class TestBootstrap:
    """Guards against settings that overwrite the store."""

    def test_first_node_writes_its_classes(self) -> None:
        table = FaultyTable()
        stores = [
            ConfigurationStore(table, FakeClock(), f"node-{index}")
            for index in range(2)
        ]
        stores[0].bootstrap([_HINT])
        stores[1].bootstrap([dataclasses.replace(_HINT, tier=3)])
        assert stores[1].classes["caption-hint"].tier == 0
        assert stores[1].version == 1


class TestConvictions:
    """Guards against a verdict that is forgotten."""

    def test_is_in_force_during_an_outage_and_saved_afterwards(
        self, setup: _Setup
    ) -> None:
        setup.table.down = True
        setup.first.add_conviction("tutor", "v2", "errors")
        assert setup.first.convictions == {("tutor", "v2"): "errors"}
        with pytest.raises(StoreUnavailableError):
            setup.first.save_convictions()
        setup.table.down = False
        setup.first.save_convictions()
        setup.second.sync()
        assert setup.second.convictions == {("tutor", "v2"): "errors"}
        assert not setup.first.state.unsaved_convictions()

    def test_two_nodes_save_each_conviction_once(self, setup: _Setup) -> None:
        """Guards against a second write by a node that read in between."""
        versions = ("v/1", "v/2")
        for store in (setup.first, setup.second):
            for version in versions:
                store.add_conviction("tutor", version, "errors")
        setup.first.save_convictions()
        setup.second.save_convictions()
        for version in versions:
            key = conviction_key("tutor", version)
            assert setup.second.state.snapshot.revision(key) == 1


_TIERS = st.integers(0, 3)
_NODES = st.integers(0, 2)


class _SpreadMachine(RuleBasedStateMachine):
    """Three nodes that spread records between each other and the store.

    Messages between nodes may arrive late, repeated and out of order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.table = FaultyTable()
        self.stores = [self.make(index) for index in range(3)]
        self.messages: list[tuple[int, list[ConfigEntry], int]] = []
        self.seen: list[dict[str, int]] = [{} for _ in self.stores]
        self.convicted: list[set[tuple[str, str]]] = [set() for _ in range(3)]
        self.accepted: list[tuple[int, str, int]] = []
        self.operations = 0
        self.is_whole = True

    def make(self, index: int) -> ConfigurationStore:
        return ConfigurationStore(
            self.table, FakeClock(), f"node-{index}", seed=index
        )

    @rule(node=_NODES, name=st.sampled_from("ab"), tier=_TIERS)
    def apply(self, node: int, name: str, tier: int) -> None:
        self.operations += 1
        work_class = dataclasses.replace(_HINT, name=name, tier=tier)
        try:
            accepted = self.stores[node].apply(
                _change(work_class), f"operator-{node}", f"{self.operations}"
            )
        except (ConfigConflictError, PlatformError):
            return
        self.accepted.append((accepted.version, name, tier))

    @rule(node=_NODES, since=st.sampled_from([0, 1, 3]))
    def send(self, node: int, since: int) -> None:
        snapshot = self.stores[node].state.snapshot
        records = [
            entry
            for entry in snapshot.records.values()
            if entry.body.version > since
        ]
        self.messages.append((since, records, snapshot.version))

    @rule(node=_NODES, data=st.data())
    def receive(self, node: int, data: st.DataObject) -> None:
        """Takes a reply to a request that the node may have sent."""
        store = self.stores[node]
        fitting = [
            (records, version)
            for since, records, version in self.messages
            if since <= store.version
        ]
        if fitting:
            store.merge(*data.draw(st.sampled_from(fitting)))

    @rule(node=_NODES)
    def sync(self, node: int) -> None:
        try:
            self.stores[node].sync()
        except PlatformError:
            return

    @rule(node=_NODES, version=st.sampled_from(["v1", "v2"]))
    def convict(self, node: int, version: str) -> None:
        self.stores[node].add_conviction("tutor", version, f"by {node}")

    @rule(source=_NODES, sink=_NODES)
    def merge_convictions(self, source: int, sink: int) -> None:
        state = self.stores[source].state
        self.stores[sink].state.add_convictions(state.recent_convictions(60))

    @rule(node=_NODES)
    def save_convictions(self, node: int) -> None:
        try:
            self.stores[node].save_convictions()
        except PlatformError:
            return

    @rule(applied=st.booleans())
    def lose_next_answer(self, applied: bool) -> None:
        self.table.lose_next(applied)

    @rule()
    def deliver_late_write(self) -> None:
        self.table.deliver_late()

    @invariant()
    def nothing_reverts(self) -> None:
        self.is_whole = False
        for store, seen, convicted in zip(
            self.stores, self.seen, self.convicted, strict=True
        ):
            snapshot = store.state.snapshot
            for key, entry in snapshot.records.items():
                assert entry.revision >= seen.get(key, 0), f"{key} reverted"
                seen[key] = entry.revision
            assert snapshot.version >= seen.get("", 0), "version reverted"
            seen[""] = snapshot.version
            assert convicted <= snapshot.convictions.keys(), "forgotten"
            convicted.update(snapshot.convictions)
        self.is_whole = True

    def teardown(self) -> None:
        """All nodes end with the same configuration."""
        if not self.is_whole:
            return  # Hypothesis would report this method's error only.
        self.table.lose_next(applied=True)
        for store in self.stores * 2:
            store.save_convictions()
            store.sync()
        views = [
            (store.version, store.classes, set(store.convictions))
            for store in self.stores
        ]
        assert views[0] == views[1] == views[2]
        last = {name: tier for _, name, tier in sorted(self.accepted)}
        for name, tier in last.items():
            assert self.stores[0].classes[name].tier == tier


_MACHINE_SETTINGS = settings(max_examples=100, stateful_step_count=40)
_PLANTED_SETTINGS = settings(
    _MACHINE_SETTINGS, max_examples=400, phases=[Phase.generate]
)


def _newer_of_last_message(
    self: ConfigurationState, entries: list[ConfigEntry]
) -> dict[str, ConfigEntry]:
    """Planted bug: applies records without regard to their revision."""
    del self
    return {entry.key: entry for entry in entries}


def _forgetful(state: ConfigurationState, items: list[object]) -> bool:
    """Planted bug: a merge replaces convictions in place of adding."""
    snapshot = state.snapshot
    found = {(i.model, i.version): i.reason for i in items}  # type: ignore
    state._snapshot = dataclasses.replace(snapshot, convictions=found)  # noqa: SLF001
    return True


class TestSpreadStateMachine:
    """Guards against reverts in any order of events."""

    def test_configuration_never_reverts(self) -> None:
        run_state_machine_as_test(_SpreadMachine, settings=_MACHINE_SETTINGS)

    @pytest.mark.parametrize(
        ("name", "planted", "symptom"),
        [
            ("_newer", _newer_of_last_message, "reverted"),
            ("add_convictions", _forgetful, "forgotten"),
        ],
    )
    def test_machine_finds_a_planted_bug(
        self,
        monkeypatch: pytest.MonkeyPatch,
        name: str,
        planted: object,
        symptom: str,
    ) -> None:
        """Guards against a machine that can't fail."""
        monkeypatch.setattr(ConfigurationState, name, planted)
        with pytest.raises(AssertionError, match=symptom):
            run_state_machine_as_test(
                _SpreadMachine, settings=_PLANTED_SETTINGS
            )
