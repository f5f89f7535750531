"""Tests of idempotency keys at their home nodes."""

import uuid
from typing import Any

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from simulated_zones import WINDOW_S, Sends, SimulatedZones
from tanagerport.claims import ClaimTable, key_time
from tanagerport.exceptions import RefusedError
from tanagerport.key_claims import Claim, ClaimOutcome, DuplicateKeyError
from tanagerport.model import Ran, RefusalReason
from tanagerport.peer_pb2 import ClaimReply, SettleReply

_MAX_EXAMPLES = 150
_STEPS = 40


def _refusal(zones: SimulatedZones, node_id: str, *request: Any) -> Any:
    with pytest.raises(RefusedError) as caught:
        zones.running[node_id].claims.claim(zones.request(*request))
    return caught.value.refusal


def _claim(zones: SimulatedZones, node_id: str, *request: Any) -> Claim:
    return zones.running[node_id].claims.claim(zones.request(*request))


def _uuid7(seconds: float) -> str:
    number = (int(seconds * 1000) << 80) | (7 << 76) | (2 << 62) | 5
    return str(uuid.UUID(int=number))


class TestResends:
    """Guards against a second dispatch of a key."""

    def test_other_node_learns_of_key_in_progress(self) -> None:
        zones = SimulatedZones({"p": 3, "q": 2})
        _claim(zones, "p-0", "key-1")
        refusal = _refusal(zones, "q-1", "key-1")
        assert refusal.reason is RefusalReason.DUPLICATE_IN_PROGRESS
        assert refusal.ran is Ran.UNKNOWN

    def test_finished_key_stays_claimed(self) -> None:
        zones = SimulatedZones({"p": 3})
        _claim(zones, "p-0", "key-1").settle(ClaimOutcome.FINISHED)
        with pytest.raises(DuplicateKeyError) as caught:
            _claim(zones, "p-2", "key-1")
        assert caught.value.owner_node_id == "p-0"
        assert caught.value.owner_request_id == "request-1"

    def test_key_of_a_request_that_did_not_run_can_be_claimed(self) -> None:
        zones = SimulatedZones({"p": 3})
        _claim(zones, "p-0", "key-1").settle(ClaimOutcome.NOT_RUN)
        _claim(zones, "p-1", "key-1")

    def test_other_body_under_the_key_is_refused(self) -> None:
        zones = SimulatedZones({"p": 3})
        _claim(zones, "p-0", "key-1", 0, b"one")
        refusal = _refusal(zones, "p-1", "key-1", 0, b"two")
        assert refusal.reason is RefusalReason.KEY_REUSED

    def test_concurrent_claims_grant_one(self) -> None:
        """Guards against both homes granting different callers."""
        zones = SimulatedZones({"p": 3, "q": 2})
        won: list[Claim] = []
        zones.before_call = lambda: won.append(_claim(zones, "q-0", "key-1"))
        refusal = _refusal(zones, "p-0", "key-1")
        assert refusal.reason is RefusalReason.DUPLICATE_IN_PROGRESS
        assert len(won) == 1


class TestLostMessages:
    """Guards against dispatch or a blocked key after a lost message."""

    def test_lost_grants_are_not_a_claim(self) -> None:
        zones = SimulatedZones({"p": 3})
        zones.lost_replies = {"p-0": 1, "p-1": 1, "p-2": 1}
        refusal = _refusal(zones, "p-0", "key-1", 1)
        assert refusal.reason is RefusalReason.CLAIM_UNAVAILABLE
        assert refusal.ran is Ran.NO
        _claim(zones, "p-1", "key-1", 2)

    def test_claim_that_arrives_after_its_settlement_holds_nothing(
        self,
    ) -> None:
        zones = SimulatedZones({"p": 3})
        first_home = zones.running["p-0"].homes.members("p", "customer", "k")
        zones.delay_next_to = first_home[0]
        _claim(zones, "p-0", "k").settle(ClaimOutcome.NOT_RUN)
        zones.deliver_delayed()
        _claim(zones, "p-1", "k")

    def test_undelivered_settlement_is_sent_again(self) -> None:
        zones = SimulatedZones({"p": 3})
        claim = _claim(zones, "p-0", "key-1")
        zones.cut = {frozenset(("p-0", "p-1")), frozenset(("p-0", "p-2"))}
        claim.settle(ClaimOutcome.NOT_RUN)
        zones.cut.clear()
        zones.running["p-0"].settlements.flush()
        _claim(zones, "p-1", "key-1")


class TestLostHomes:
    """Guards against homes that vouch for claims they forgot."""

    def test_one_restarted_home_does_not_lose_the_key(self) -> None:
        zones = SimulatedZones({"p": 3})
        _claim(zones, "p-0", "key-1")
        for node_id in ("p-0", "p-1", "p-2"):
            zones.restart(node_id)
            refusal = _refusal(zones, node_id, "key-1")
            zones.clock.advance(1)
            assert refusal.reason in (
                RefusalReason.DUPLICATE_IN_PROGRESS,
                RefusalReason.CLAIM_UNKNOWN,
            )
            assert refusal.ran is Ran.UNKNOWN

    def test_only_newer_keys_are_granted_after_two_restarts(self) -> None:
        zones = SimulatedZones({"p": 3})
        zones.restart("p-1")
        zones.restart("p-2")
        refusal = _refusal(zones, "p-0", "key-1")
        assert refusal.reason is RefusalReason.CLAIM_UNKNOWN
        old_key = _uuid7(zones.clock.time() - 1)
        assert _refusal(zones, "p-0", old_key).ran is Ran.UNKNOWN
        zones.clock.advance(90)
        _claim(zones, "p-0", _uuid7(zones.clock.time()))

    def test_key_from_the_future_is_refused(self) -> None:
        """Guards against a fast clock that makes old keys seem new."""
        zones = SimulatedZones({"p": 3})
        refusal = _refusal(zones, "p-0", _uuid7(zones.clock.time() + 60))
        assert refusal.reason is RefusalReason.BAD_REQUEST

    def test_replaced_node_does_not_make_way_for_an_ignorant_one(
        self,
    ) -> None:
        zones = SimulatedZones({"p": 5})
        members = zones.running["p-0"].homes.members("p", "customer", "key-1")
        claimant = next(n for n in zones.listed if n not in members)
        _claim(zones, claimant, "key-1")
        zones.replace(members[0])
        refusal = _refusal(zones, claimant, "key-1")
        assert refusal.ran is Ran.UNKNOWN

    def test_new_zone_does_not_vouch_for_keys_that_it_takes_over(
        self,
    ) -> None:
        """Guards against a second home zone for keys in progress."""
        zones = SimulatedZones({"p": 3}, age_s=120)
        for number in range(20):
            _claim(zones, "p-0", f"key-{number}")
        zones.add_zone("q", 3)
        for number in range(20):
            assert _refusal(zones, "p-1", f"key-{number}").ran is Ran.UNKNOWN

    def test_new_deployment_grants_at_once(self) -> None:
        zones = SimulatedZones({"p": 3}, age_s=1)
        _claim(zones, "p-0", "key-1")


class TestPartitions:
    """Guards against two zones that both dispatch a key."""

    def _cut_home(self, zones: SimulatedZones, key: str) -> str:
        home = zones.running["p-0"].homes.home_zone("customer", key)
        for one in zones.listed:
            for other in zones.listed:
                if one.startswith(home) != other.startswith(home):
                    zones.cut.add(frozenset((one, other)))
        return home

    def test_first_attempt_runs_without_its_home_and_others_do_not(
        self,
    ) -> None:
        zones = SimulatedZones({"p": 3, "q": 3, "r": 3})
        home = self._cut_home(zones, "key-1")
        cut_off, third = [z for z in zones.zone_names if z != home]
        refusal = _refusal(zones, f"{cut_off}-0", "key-1")
        assert refusal.reason is RefusalReason.CLAIM_UNAVAILABLE
        assert refusal.ran is Ran.UNKNOWN
        _claim(zones, f"{cut_off}-0", "key-1", 1)
        for node_id in (f"{cut_off}-1", f"{third}-0", f"{home}-0"):
            assert _refusal(zones, node_id, "key-1", 2).ran is Ran.UNKNOWN
        zones.cut.clear()
        refusal = _refusal(zones, f"{home}-0", "key-1", 3)
        assert refusal.reason is RefusalReason.DUPLICATE_IN_PROGRESS

    def test_delayed_first_attempt_finds_the_key_taken(self) -> None:
        zones = SimulatedZones({"p": 3, "q": 3})
        _claim(zones, "p-0", "key-1", 2)
        home = self._cut_home(zones, "key-1")
        other = "q" if home == "p" else "p"
        refusal = _refusal(zones, f"{other}-0", "key-1", 1)
        assert refusal.reason is RefusalReason.DUPLICATE_IN_PROGRESS

    def test_key_of_this_zone_needs_no_other_zone(self) -> None:
        zones = SimulatedZones({"p": 3, "q": 3})
        for one in range(3):
            for other in range(3):
                zones.cut.add(frozenset((f"p-{one}", f"q-{other}")))
        _claim(zones, "p-0", "p:key-1", 1)
        _claim(zones, "q-0", "q:key-1", 1)


class TestClaimTable:
    """Guards against unbounded memory and late forgetting."""

    def test_full_table_refuses_and_recovers(self) -> None:
        zones = SimulatedZones({"p": 1})
        table = zones.running["p-0"].table
        table._max_records = 1  # The bound is a constructor argument.
        _claim(zones, "p-0", "key-1")
        refusal = _refusal(zones, "p-0", "key-2")
        assert refusal.reason is RefusalReason.CLAIM_UNAVAILABLE
        zones.clock.advance(2 * WINDOW_S)
        _claim(zones, "p-0", "key-2")

    def test_key_time_reads_only_version_7(self) -> None:
        assert key_time(_uuid7(1_700_000_000.5)) == 1_700_000_000.5
        assert key_time("zone-a:" + _uuid7(5.0)) == 5.0
        assert key_time(str(uuid.UUID(int=1))) is None
        assert key_time("x" * 36) is None


class ClaimMachine(RuleBasedStateMachine):
    """Callers resend keys to any node while nodes and links fail."""

    table_type: Any = ClaimTable

    def __init__(self) -> None:
        super().__init__()
        self.zones = SimulatedZones({"p": 4, "q": 2}, self.table_type)
        self.sends: dict[str, Sends] = {}
        self.open: list[Claim] = []

    keys = strategies.sampled_from(["a", "b", "p:c"])
    index = strategies.integers(0, 7)
    endings = strategies.sampled_from(
        [None, ClaimOutcome.NOT_RUN, ClaimOutcome.FINISHED]
    )

    def _node(self, index: int) -> str:
        return self.zones.listed[index % len(self.zones.listed)]

    def _send(
        self, key: str, node_id: str, ending: ClaimOutcome | None
    ) -> None:
        now = self.zones.clock.monotonic()
        sends = self.sends.setdefault(key, Sends(now))
        node = self.zones.running.get(node_id)
        # A key is remembered for the window after its claim.
        if node is None or now - sends.first_at > WINDOW_S - 1:
            return
        sends.count += 1
        try:
            claim = node.claims.claim(self.zones.request(key, sends.count))
        except RefusedError:
            return
        if ending is not ClaimOutcome.NOT_RUN:
            sends.dispatches += 1
        if ending is not None:
            claim.settle(ending)

    @rule(key=keys, node=index, ending=endings)
    def send(self, key: str, node: int, ending: ClaimOutcome | None) -> None:
        self._send(key, self._node(node), ending)

    @rule(key=keys, node=index)
    def refuse_and_lose_replies(self, key: str, node: int) -> None:
        """Refuses a claimed request; its settlement is sent twice."""
        self.zones.lose_settle_replies = True
        self._send(key, self._node(node), ClaimOutcome.NOT_RUN)
        self.zones.lose_settle_replies = False

    @rule(key=keys, node=index, other=index, ending=endings)
    def send_twice_at_once(
        self, key: str, node: int, other: int, ending: ClaimOutcome | None
    ) -> None:
        self.zones.before_call = lambda: self._send(
            key, self._node(other), None
        )
        self._send(key, self._node(node), ending)
        self.zones.before_call = None

    @rule(node=index)
    def restart(self, node: int) -> None:
        self.zones.restart(self._node(node))

    @rule(node=index)
    def kill(self, node: int) -> None:
        self.zones.kill(self._node(node))

    @rule(node=index)
    def replace(self, node: int) -> None:
        self.zones.replace(self._node(node))

    @rule(one=index, other=index)
    def cut(self, one: int, other: int) -> None:
        if one != other:
            self.zones.cut.add(frozenset((self._node(one), self._node(other))))

    @rule()
    def heal(self) -> None:
        self.zones.cut.clear()

    @rule(node=index)
    def lose_reply(self, node: int) -> None:
        self.zones.lost_replies[self._node(node)] = 1

    @rule(node=index)
    def delay_claim(self, node: int) -> None:
        self.zones.delay_next_to = self._node(node)

    @rule()
    def deliver_delayed(self) -> None:
        self.zones.deliver_delayed()
        for node in self.zones.running.values():
            node.settlements.flush()

    @rule(seconds=strategies.sampled_from([1.0, 30.0, WINDOW_S]))
    def wait(self, seconds: float) -> None:
        self.zones.clock.advance(seconds)

    @invariant()
    def dispatches_once(self) -> None:
        for key, sends in self.sends.items():
            assert sends.dispatches <= 1, key


class _ForgetfulTable(ClaimTable):
    """Vouches for keys whose claims a restart may have lost."""

    def claim(self, message: Any) -> ClaimReply:
        reply = super().claim(message)
        reply.young = False
        return reply


class _LastSettlementTable(ClaimTable):
    """Lets a late settlement free a key that another request holds."""

    def settle(self, message: Any) -> SettleReply:
        self._records.pop((message.customer, message.key), None)
        return super().settle(message)


class _ForgetfulMachine(ClaimMachine):
    table_type = _ForgetfulTable


class _LastSettlementMachine(ClaimMachine):
    table_type = _LastSettlementTable


class TestClaimMachine:
    """Guards against orders of faults that dispatch a key twice."""

    def test_no_order_of_faults_dispatches_twice(self) -> None:
        run_state_machine_as_test(
            ClaimMachine,
            settings=settings(
                max_examples=_MAX_EXAMPLES, stateful_step_count=_STEPS
            ),
        )

    @pytest.mark.parametrize(
        "machine", [_ForgetfulMachine, _LastSettlementMachine]
    )
    def test_machine_finds_planted_faults(self, machine: Any) -> None:
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                machine,
                settings=settings(
                    max_examples=2000,
                    stateful_step_count=_STEPS,
                    phases=[Phase.generate],
                ),
            )
