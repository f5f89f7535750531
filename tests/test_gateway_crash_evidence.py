"""Tests of the evidence on prompt parts that crash upstreams."""

import random

import pytest

from tanagerport.clock import FakeClock
from tanagerport.gateway.crash_evidence import (
    SOUND,
    CrashLedger,
    request_key,
    request_keys,
)
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import PromptPart

_COMMON, _RARE, _CRASHING, _OTHER_CRASHING = 1, 2, 3, 4


class _Nodes:
    """Ledgers of nodes that exchange reports."""

    def __init__(self, count: int = 1) -> None:
        self.clock = FakeClock(1000.0)
        self.ledgers = [
            CrashLedger(DecisionLog("n"), self.clock.monotonic)
            for _ in range(count)
        ]
        self._runs = 0

    @property
    def first(self) -> CrashLedger:
        return self.ledgers[0]

    def crash(self, *prompts: tuple[int, ...], node: int = 0) -> None:
        """An upstream crashes while answers to these prompts had not begun."""
        self._runs += 1
        for parts in prompts:
            self.ledgers[node].record_crash(f"run-{self._runs}", parts)

    def exchange(self, is_whole: bool = False) -> None:
        """Sends a report of each node to all others."""
        for sender in self.ledgers:
            report = sender.report(is_whole)
            for receiver in self.ledgers:
                if receiver is not sender and report is not None:
                    receiver.apply_report(report)

    def quarantined(self, node: int = 0) -> set[int]:
        return {entry.part for entry in self.ledgers[node].quarantined}


class TestRequestKeys:
    """Keys of what several requests may share."""

    def test_each_part_has_a_key_of_its_service(self) -> None:
        """Guards against a quarantine of another service's prompts.

        The last part has a key too: a caller may send a prompt again.
        """
        parts = [PromptPart("a", 1), PromptPart("b", 1), PromptPart("own", 1)]
        keys = request_keys("models", parts, b"/x", b"one")
        assert len(set(keys)) == 3
        assert keys == request_keys("models", parts, b"/x", b"two")
        assert not set(keys) & set(request_keys("others", parts, b"/x", b""))
        assert request_keys("models", parts[2:], b"/x", b"") == keys[2:]

    def test_request_without_a_prompt_is_one_part(self) -> None:
        """Guards against a quarantine of all requests of a plain service."""
        keys = {
            request_keys("bookings", (), target, body)
            for target in (b"/x", b"/y")
            for body in (b"one", b"two")
        }
        assert len(keys) == 4


class TestQuarantine:
    """A part that independent crashes have in common is quarantined."""

    def test_part_of_two_crashes_is_quarantined_and_others_are_not(
        self,
    ) -> None:
        """Guards against a crashing part that is told from others too late."""
        nodes = _Nodes()
        nodes.first.record_answer([_COMMON])
        nodes.clock.advance(1)
        nodes.crash((_COMMON, _CRASHING), (_COMMON, _RARE))
        assert nodes.first.judge([_COMMON, _RARE]).suspected == (_RARE,)
        nodes.clock.advance(1)
        nodes.crash((_COMMON, _CRASHING))
        assert nodes.quarantined() == {_CRASHING}
        assert nodes.first.judge([_COMMON, _CRASHING]).quarantined == (
            _CRASHING,
        )
        assert nodes.first.judge([_COMMON, _RARE]) == SOUND

    def test_two_crashing_parts_are_found(self) -> None:
        """Guards against a second crashing part that hides behind the first."""
        nodes = _Nodes()
        for crashing in (
            _CRASHING,
            _OTHER_CRASHING,
            _CRASHING,
            _OTHER_CRASHING,
        ):
            nodes.crash((10 + crashing, crashing))
            nodes.first.record_answer([13, 14])
            nodes.clock.advance(1)
        assert nodes.quarantined() == {_CRASHING, _OTHER_CRASHING}

    def test_rare_crashes_are_added_up(self) -> None:
        """Guards against crashes that are forgotten before the next one."""
        nodes = _Nodes()
        for _ in range(2):
            nodes.crash((_COMMON, _CRASHING))
            nodes.clock.advance(1)
            nodes.first.record_answer([_COMMON])
            nodes.clock.advance(30)
            nodes.first.expire()
        assert nodes.quarantined() == {_CRASHING}

    def test_loss_of_a_rack_accuses_no_part(self) -> None:
        """Guards against parts that are refused as several upstreams end."""
        nodes = _Nodes()
        nodes.first.record_answer([_COMMON])
        for _ in range(5):
            nodes.crash((_COMMON, _RARE))
            nodes.clock.advance(0.002)
        assert nodes.quarantined() == set()
        assert not nodes.first.judge([_COMMON]).suspected

    def test_common_part_needs_more_crashes(self) -> None:
        """Guards against a common part refused after chance crashes.

        It is quarantined if no answer begins on it any more.
        """
        nodes = _Nodes()
        nodes.first.record_answer([_COMMON])
        for own in range(3):
            assert nodes.quarantined() == set()
            nodes.clock.advance(1)
            nodes.crash((_COMMON, 100 + own))
        assert nodes.quarantined() == {_COMMON}

    def test_parts_that_only_came_together_are_tried_apart(self) -> None:
        """Guards against a sound part refused along with a crashing one."""
        nodes = _Nodes()
        for _ in range(2):
            nodes.crash((_RARE, _CRASHING))
            nodes.clock.advance(1)
        assert nodes.first.judge([_RARE, _CRASHING]).quarantined
        assert nodes.first.judge([_RARE]).suspected == (_RARE,)
        nodes.first.record_answer([_RARE])
        assert nodes.quarantined() == {_CRASHING}
        assert not nodes.first.judge([_RARE]).suspected

    def test_prompt_that_is_sent_again_is_told_from_its_shared_part(
        self,
    ) -> None:
        """Guards against a shared part refused for one prompt that has it."""
        nodes = _Nodes()
        for _ in range(2):
            nodes.crash((_COMMON, _CRASHING))
            nodes.clock.advance(1)
        assert nodes.first.judge([_COMMON, _CRASHING]).quarantined
        assert not nodes.first.judge([_COMMON, _RARE]).quarantined
        nodes.first.record_answer([_COMMON, _RARE])
        assert nodes.quarantined() == {_CRASHING}
        assert nodes.first.judge([_COMMON, _OTHER_CRASHING]) == SOUND

    def test_sound_request_that_waited_at_both_crashes_is_tried(self) -> None:
        """Guards against a prompt refused for that of its neighbour."""
        nodes = _Nodes()
        for _ in range(2):
            nodes.crash((_COMMON, _RARE), (_COMMON, _CRASHING))
            nodes.clock.advance(1)
        assert not nodes.first.judge([_COMMON, _RARE]).quarantined
        nodes.first.record_answer([_COMMON, _RARE])
        assert nodes.quarantined() == {_CRASHING}


class TestLateCrashes:
    """Guards against requests that crash upstreams amid their answers.

    The answer has cleared their prompt by then, and every stream at the
    upstream looks the same at that moment.
    """

    def test_request_is_told_from_streams_that_were_lost_with_it(self) -> None:
        nodes = _Nodes()
        for run in range(3):
            nodes.first.record_late_crash(f"run-{run}", 7)
            # A stream that was resumed beside it twice, and others.
            nodes.first.record_late_crash(f"run-{run}", 8 if run else 9)
            nodes.first.record_late_crash(f"run-{run}", 20 + run)
            nodes.clock.advance(1.0)
        assert nodes.quarantined() == {7}
        assert nodes.first.judge([8]) == SOUND

    def test_loss_of_two_upstreams_accuses_no_stream(self) -> None:
        nodes = _Nodes()
        for run in range(2):
            nodes.first.record_late_crash(f"run-{run}", 7)
            nodes.clock.advance(1.0)
        assert nodes.first.judge([7]) == SOUND

    def test_whole_answer_clears_the_request(self) -> None:
        nodes = _Nodes()
        for run in range(5):
            nodes.first.record_late_crash(f"run-{run}", 7)
            nodes.clock.advance(1.0)
            nodes.first.record_whole_answer(7)
            nodes.clock.advance(1.0)
        assert nodes.first.judge([7]) == SOUND

    def test_long_answers_on_its_prompt_do_not_clear_the_request(self) -> None:
        nodes = _Nodes()
        for run in range(3):
            nodes.first.record_answer((_COMMON, _CRASHING))
            nodes.first.record_late_crash(f"run-{run}", 7)
            nodes.clock.advance(1.0)
        assert nodes.quarantined() == {7}

    def test_prompts_that_were_lost_with_it_are_not_refused(self) -> None:
        nodes = _Nodes()
        for run in range(3):
            nodes.first.record_late_crash(f"run-{run}", 7)
            nodes.clock.advance(1.0)
        for run in range(3, 6):
            nodes.first.record_late_crash(f"run-{run}", 7)
            nodes.first.record_crash(f"run-{run}", (_CRASHING,))
            nodes.clock.advance(1.0)
        assert nodes.first.judge([_CRASHING]) == SOUND

    def test_crashes_of_different_nodes_are_added_up(self) -> None:
        nodes = _Nodes(3)
        for node in range(3):
            nodes.ledgers[node].record_late_crash(f"run-{node}", 7)
            nodes.clock.advance(0.3)
        nodes.exchange()
        assert [nodes.quarantined(node) for node in range(3)] == [{7}] * 3

    def test_requests_differ_by_target_body_and_prompt(self) -> None:
        part = PromptPart("p1", 10)
        keys = {
            request_key("svc", [part], b"/x", b"b"),
            request_key("svc", [], b"/x", b"b"),
            request_key("svc", [part], b"/y", b"b"),
            request_key("svc", [part], b"/x", b"c"),
            *request_keys("svc", [], b"/x", b"b"),
        }
        assert len(keys) == 5


class TestRelease:
    """A quarantine ends when the part proves sound."""

    def test_answer_ends_the_quarantine_at_all_nodes(self) -> None:
        """Guards against a part that stays refused after it was cleared."""
        nodes = _Nodes(3)
        for _ in range(2):
            nodes.crash((_RARE,))
            nodes.clock.advance(1)
        nodes.exchange()
        assert nodes.quarantined(1) == {_RARE}
        nodes.ledgers[1].record_answer([_RARE])
        nodes.exchange()
        nodes.exchange(is_whole=True)
        assert [nodes.quarantined(node) for node in range(3)] == [set()] * 3

    def test_trials_get_rarer_with_each_crash(self) -> None:
        """Guards against trials that crash one upstream after the other."""
        nodes = _Nodes()
        for _ in range(2):
            nodes.crash((_CRASHING,))
            nodes.clock.advance(1)
        intervals = []
        for _ in range(4):
            quarantine = nodes.first.get_quarantine(_CRASHING)
            assert quarantine is not None
            wait_s = quarantine.trial_at - nodes.clock.monotonic()
            intervals.append(round(wait_s))
            nodes.clock.advance(wait_s)
            nodes.first.begin_trial(_CRASHING)
            nodes.crash((_CRASHING,))
        assert intervals == [29, 60, 120, 240]

    def test_operator_releases_a_part_at_all_nodes(self) -> None:
        """Guards against a quarantine that operators can't end."""
        nodes = _Nodes(2)
        for _ in range(2):
            nodes.crash((_RARE,))
            nodes.clock.advance(1)
        nodes.exchange()
        assert nodes.ledgers[1].release(_RARE)
        nodes.exchange(is_whole=True)
        nodes.exchange(is_whole=True)
        assert [nodes.quarantined(node) for node in range(2)] == [set()] * 2
        assert not nodes.first.release(_RARE)


class TestExchange:
    """Nodes add up the crashes that each of them saw."""

    def test_crashes_of_different_nodes_are_added_up(self) -> None:
        """Guards against a limit that each node applies on its own."""
        nodes = _Nodes(3)
        nodes.crash((_CRASHING,), node=0)
        nodes.exchange()
        nodes.clock.advance(1)
        nodes.crash((_CRASHING,), node=1)
        nodes.exchange()
        assert nodes.quarantined(2) == {_CRASHING}

    def test_crash_that_two_nodes_saw_counts_once(self) -> None:
        """Guards against one crash that is taken for two."""
        nodes = _Nodes(2)
        for ledger in nodes.ledgers:
            ledger.record_crash("run", (_RARE,))
            nodes.clock.advance(0.3)
        nodes.exchange()
        nodes.exchange()
        assert [nodes.quarantined(node) for node in range(2)] == [set()] * 2

    def test_answers_known_to_another_node_protect_a_common_part(self) -> None:
        """Guards against a part that is unknown only to the node of a crash."""
        nodes = _Nodes(2)
        nodes.ledgers[1].record_answer([_COMMON])
        nodes.clock.advance(1)
        nodes.crash((_COMMON, _CRASHING))
        nodes.exchange()
        assert nodes.first.judge([_COMMON, _CRASHING]).suspected == (_CRASHING,)

    def test_restarted_node_learns_the_quarantine(self) -> None:
        """Guards against a node that sends a quarantined part after a start."""
        nodes = _Nodes(2)
        for _ in range(2):
            nodes.crash((_CRASHING,))
            nodes.clock.advance(1)
        nodes.exchange()
        nodes.clock.advance(60)
        nodes.ledgers[0] = CrashLedger(DecisionLog("n"), nodes.clock.monotonic)
        nodes.ledgers[1].expire()
        nodes.exchange(is_whole=True)
        assert nodes.quarantined() == {_CRASHING}

    def test_repeated_reports_do_not_postpone_the_trial(self) -> None:
        """Guards against a delay that adds up while reports go round."""
        nodes = _Nodes(2)
        for _ in range(2):
            nodes.crash((_CRASHING,))
            nodes.clock.advance(1)
        for _ in range(20):
            report = nodes.first.report(is_whole=True)
            nodes.clock.advance(0.5)
            assert report is not None
            nodes.ledgers[1].apply_report(report)
            nodes.ledgers.reverse()
        quarantine = nodes.first.get_quarantine(_CRASHING)
        assert quarantine is not None
        assert quarantine.trial_at <= 1001 + 30 + 1

    def test_size_is_bounded(self) -> None:
        """Guards against callers who invent prompt parts."""
        nodes = _Nodes()
        for number in range(500):
            nodes.crash(tuple(range(number * 100, number * 100 + 100)))
            nodes.first.record_answer(range(number * 100, number * 100 + 90))
            nodes.clock.advance(0.2)
        report = nodes.first.report(is_whole=True)
        assert report is not None
        assert len(report.crashes) <= 8
        assert len(report.quarantined) <= 16
        assert all(len(parts) <= 32 for _, _, parts in report.crashes)


class TestManyNodes:
    """The limits hold over all nodes while requests with a part keep coming."""

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize(
        ("crashing_per_s", "duration_s"),
        [(60.0, 12.0), (6.0, 12.0), (0.2, 60.0)],
    )
    def test_crashes_end_soon_and_sound_requests_are_served(
        self, crashing_per_s: float, duration_s: float, seed: int
    ) -> None:
        """Guards against limits that hold at one node and not at forty.

        Reports arrive up to 0.7 s late, one in ten is lost, and racks fail.
        """
        random_source = random.Random(seed)
        nodes = _Nodes(40)
        crashes: list[float] = []
        served, refused = 0, 0
        step_s = 0.05
        for step in range(round(duration_s / step_s)):
            if step % 14 == 0:
                _exchange_with_losses(nodes, random_source)
            for _ in range(_count(random_source, crashing_per_s * step_s)):
                node = random_source.randrange(40)
                judgement = nodes.ledgers[node].judge([_COMMON, _CRASHING])
                if not judgement.quarantined:
                    crashes.append(nodes.clock.monotonic())
                    nodes.crash(
                        (_COMMON, _CRASHING), (_COMMON, _RARE), node=node
                    )
            for _ in range(_count(random_source, 40 * step_s)):
                ledger = random_source.choice(nodes.ledgers)
                parts = [_COMMON, 100 + random_source.randrange(50)]
                if ledger.judge(parts).quarantined:
                    refused += 1
                else:
                    served += 1
                    ledger.record_answer(parts)
            if random_source.random() < 0.02:
                part = 100 + random_source.randrange(50)
                for _ in range(3):
                    nodes.crash((_COMMON, part))
            nodes.clock.advance(step_s)
        if len(crashes) >= 5:
            late = [at for at in crashes if at > crashes[4] + 4]
            assert len(late) <= 3
        assert refused <= served / 50


def _count(random_source: random.Random, mean: float) -> int:
    """Returns a number of arrivals with the given mean."""
    return int(mean) + (random_source.random() < mean % 1)


def _exchange_with_losses(nodes: _Nodes, random_source: random.Random) -> None:
    for sender in nodes.ledgers:
        sender.expire()
        report = sender.report(is_whole=random_source.random() < 0.2)
        for receiver in nodes.ledgers:
            is_lost = random_source.random() < 0.1
            if report is not None and receiver is not sender and not is_lost:
                receiver.apply_report(report)
