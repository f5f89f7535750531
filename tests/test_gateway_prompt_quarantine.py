"""Tests of the admission of requests that may crash upstreams."""

import asyncio
import contextlib

import pytest

import gateway_doubles
from tanagerport.clock import FakeClock
from tanagerport.exceptions import RefusedError
from tanagerport.gateway.crash_evidence import CrashLedger
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import PromptPart, WorkEstimate
from tanagerport.gateway.prompt_quarantine import PromptQuarantine
from tanagerport.gateway.upstream_losses import HeldRequest
from tanagerport.gateway.work_item import WorkItem
from tanagerport.refusals import Ran, RefusalReason

_CRASHING, _OTHER = 1, 2


class _Admissions:
    """A quarantine, and the order in which it admits requests."""

    def __init__(self, host: str = "h-1", *other_hosts: str) -> None:
        self.clock = FakeClock(1000.0)
        self.ledger = CrashLedger(DecisionLog("n"), self.clock.monotonic)
        self.reports = 0
        self.quarantine = PromptQuarantine(
            self.ledger,
            host,
            lambda: other_hosts,
            self._count_report,
            DecisionLog("n"),
            self.clock.monotonic,
        )
        self.admitted: list[str] = []
        self.may_end = asyncio.Event()

    def _count_report(self) -> None:
        self.reports += 1

    def crash(self, count: int) -> None:
        for number in range(count):
            self.clock.advance(1)
            at = f"run-{number}-{self.clock.monotonic()}"
            self.ledger.record_crash(at, (_CRASHING,))

    def make_item(self, request_id: str, *parts: int) -> WorkItem:
        item = gateway_doubles.make_item(
            self.clock.monotonic(), request_id=request_id
        )
        item.part_keys = parts
        prompt = tuple(PromptPart(f"{part}", 10) for part in (*parts, 0))
        item.work = WorkEstimate(500, 480, 120, prompt)
        return item

    async def hold(self, item: WorkItem) -> None:
        """Holds an admission until `may_end` is set."""
        async with self.quarantine.admit(item):
            self.admitted.append(item.request_id)
            await self.may_end.wait()


class TestSuspectedParts:
    """After one crash, requests with its parts are sent one at a time."""

    def test_one_request_tries_the_part_and_the_others_wait(self) -> None:
        """Guards against several upstreams that one part crashes at once."""

        async def run() -> None:
            admissions = _Admissions()
            admissions.crash(1)
            tasks = [
                asyncio.create_task(
                    admissions.hold(admissions.make_item(name, part))
                )
                for name, part in (
                    ("first", _CRASHING),
                    ("second", _CRASHING),
                    ("other", _OTHER),
                )
            ]
            await gateway_doubles.run_pending_tasks()
            assert admissions.admitted == ["first", "other"]
            admissions.ledger.record_answer([_CRASHING])
            admissions.may_end.set()
            await asyncio.gather(*tasks)
            assert admissions.admitted == ["first", "other", "second"]

        asyncio.run(run())

    def test_waiting_request_is_refused_after_the_second_crash(self) -> None:
        """Guards against requests that wait for a part to crash upstreams."""

        async def run() -> None:
            admissions = _Admissions()
            admissions.crash(1)
            first, second = (
                asyncio.create_task(
                    admissions.hold(admissions.make_item(name, _CRASHING))
                )
                for name in ("first", "second")
            )
            await gateway_doubles.run_pending_tasks()
            admissions.crash(1)
            for task in (first, second):
                with pytest.raises(RefusedError):
                    await task
            assert admissions.admitted == ["first"]

        asyncio.run(run())


class TestBegunAnswers:
    """Losses of upstreams while answers had begun."""

    @pytest.mark.parametrize(
        ("events", "is_accused"), [(0, True), (1, True), (3, True), (50, False)]
    )
    def test_answer_that_has_just_begun_accuses_its_parts(
        self, events: int, is_accused: bool
    ) -> None:
        """Guards against parts that crash upstreams after some events.

        An answer that went on for long before the crash accuses nothing.
        """

        async def run() -> None:
            admissions = _Admissions()
            for number in range(2):
                upstream = gateway_doubles.make_upstream(f"u-{number}")
                item = admissions.make_item(
                    f"r{number}", _CRASHING, 10 + number
                )
                admissions.quarantine.record_loss(
                    upstream, HeldRequest(item, events)
                )
                admissions.clock.advance(1)
            quarantined = {
                entry.part for entry in admissions.ledger.quarantined
            }
            assert quarantined == ({_CRASHING} if is_accused else set())

        asyncio.run(run())

    def test_begun_request_that_goes_elsewhere_is_withdrawn(self) -> None:
        """Guards against a part that crashes the next upstream as well.

        Its answer began at an upstream that crashed, and it waits for another.
        """

        async def run() -> None:
            admissions = _Admissions()
            item = admissions.make_item("r", _CRASHING)
            item.has_begun = True
            task = asyncio.create_task(admissions.hold(item))
            await gateway_doubles.run_pending_tasks()
            admissions.crash(2)
            await gateway_doubles.run_pending_tasks()
            assert task.done()
            with pytest.raises(RefusedError):
                await task

        asyncio.run(run())


class TestQuarantinedParts:
    """Requests with a quarantined part are refused until a trial is due."""

    def test_refusal_says_when_to_come_back(self) -> None:
        """Guards against clients that return before anything can change."""

        async def run() -> None:
            admissions = _Admissions()
            admissions.crash(2)
            item = admissions.make_item("r", _OTHER, _CRASHING)
            with pytest.raises(RefusedError) as raised:
                await admissions.hold(item)
            refusal = raised.value.refusal
            assert refusal.reason is RefusalReason.PROMPT_QUARANTINED
            assert refusal.ran is Ran.NO
            assert refusal.retry_after_s == pytest.approx(30)

        asyncio.run(run())

    def test_parts_that_only_came_together_are_refused_with_their_crashes(
        self,
    ) -> None:
        """Guards against a refusal that names no crash."""

        async def run() -> None:
            admissions = _Admissions()
            for number in range(2):
                admissions.clock.advance(1)
                admissions.ledger.record_crash(f"{number}", (_CRASHING, _OTHER))
            with pytest.raises(RefusedError) as raised:
                await admissions.hold(
                    admissions.make_item("r", _CRASHING, _OTHER)
                )
            assert "2 upstreams crashed" in raised.value.refusal.message

        asyncio.run(run())

    def test_one_request_of_one_node_makes_the_trial(self) -> None:
        """Guards against trials at all nodes at the same time."""

        async def run() -> None:
            hosts = [f"h-{number}" for number in range(8)]
            admitted: list[str] = []
            for host in hosts:
                others = [other for other in hosts if other != host]
                admissions = _Admissions(host, *others)
                admissions.crash(2)
                admissions.clock.advance(31)
                admissions.may_end.set()
                for number in range(5):
                    item = admissions.make_item(f"r{number}", _CRASHING)
                    with contextlib.suppress(RefusedError):
                        await admissions.hold(item)
                admitted += admissions.admitted
            assert admitted == ["r0"]

        asyncio.run(run())


class TestRequestsInProgress:
    """A quarantine also ends the wait and the prefill of earlier requests."""

    @pytest.mark.parametrize("has_begun", [False, True])
    def test_request_is_withdrawn_unless_its_answer_has_begun(
        self, has_begun: bool
    ) -> None:
        """Guards against upstreams that crash after the quarantine began.

        An answer that has begun is no danger, and is not cut.
        """

        async def run() -> None:
            admissions = _Admissions()
            item = admissions.make_item("r", _CRASHING)
            other = admissions.make_item("other", _OTHER)
            task, other_task = (
                asyncio.create_task(admissions.hold(held))
                for held in (item, other)
            )
            await gateway_doubles.run_pending_tasks()
            item.has_begun = has_begun
            admissions.crash(2)
            await gateway_doubles.run_pending_tasks()
            assert task.done() != has_begun
            admissions.may_end.set()
            await other_task
            if has_begun:
                await task
            else:
                with pytest.raises(RefusedError):
                    await task

        asyncio.run(run())


class TestReports:
    """New evidence is sent at once, but not once for each request."""

    def test_loss_of_many_requests_is_one_report(self) -> None:
        """Guards against reports that fill the links as upstreams end."""

        async def run() -> None:
            admissions = _Admissions()
            upstream = gateway_doubles.make_upstream("u")
            for number in range(20):
                item = admissions.make_item(f"r{number}", number)
                admissions.quarantine.record_loss(
                    upstream, HeldRequest(item, 0)
                )
            await asyncio.sleep(0.05)
            assert admissions.reports == 1

        asyncio.run(run())


class TestOperators:
    """Operators see quarantined parts and may release them."""

    def test_released_part_is_sent_again(self) -> None:
        """Guards against a quarantine that operators can't see or end."""

        async def run() -> None:
            admissions = _Admissions()
            admissions.crash(2)
            (entry,) = admissions.quarantine.list_quarantined()
            assert entry["crashes"] == 2
            assert entry["trial_in_s"] == pytest.approx(30)
            assert not admissions.quarantine.release("unknown")
            assert admissions.quarantine.release(str(entry["part"]))
            await asyncio.sleep(0.05)
            assert admissions.reports == 1
            admissions.may_end.set()
            await admissions.hold(admissions.make_item("r", _CRASHING))
            assert admissions.admitted == ["r"]

        asyncio.run(run())
