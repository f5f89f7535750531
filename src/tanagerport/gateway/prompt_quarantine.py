"""Admission of requests whose prompts may crash upstreams."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable, Iterable

import xxhash

from tanagerport.exceptions import RefusedError
from tanagerport.gateway.crash_evidence import (
    CrashLedger,
    Judgement,
    format_key,
)
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import UpstreamRecord
from tanagerport.gateway.interruption import (
    InterruptedTaskError,
    Interruption,
)
from tanagerport.gateway.request_context import refusal_error
from tanagerport.gateway.upstream_losses import HeldRequest
from tanagerport.gateway.work_item import WorkItem
from tanagerport.refusals import RefusalReason

# Time after which a request that tries a suspected part no longer holds up
# others, in seconds. Most answers begin within it.
_MAX_TRIAL_S = 1.0
# Time in which evidence is collected for a report, in seconds.
_REPORT_DELAY_S = 0.01
# Minimum Retry-After of a request with a quarantined part, in seconds.
_MIN_RETRY_AFTER_S = 1.0


class PromptQuarantine:
    """Refuses requests with quarantined prompt parts.

    Requests with a suspected part are sent one at a time. The first one shows
    whether its upstream crashes.

    Args:
        ledger: Evidence on prompt parts.
        host: IP address of this node.
        get_live_hosts: Returns the IP addresses of the other live nodes.
        send_report: Sends the evidence to the other nodes.
        log: Decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        host: str,
        get_live_hosts: Callable[[], Iterable[str]],
        send_report: Callable[[], object],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ledger = ledger
        self._host = host
        self._get_live_hosts = get_live_hosts
        self._send_report = send_report
        self._log = log
        self._now = now
        # Start of the trial of each suspected part.
        self._trials: dict[int, float] = {}
        self._trial_ended = asyncio.Event()
        # Admitted requests with a prompt, and what withdraws them.
        self._admitted: dict[Interruption, WorkItem] = {}
        self._has_planned_report = False
        ledger.set_quarantine_callback(self._withdraw)

    def record_loss(self, upstream: UpstreamRecord, held: HeldRequest) -> None:
        """Records a request that a lost upstream held.

        All nodes have to know the parts of its prompt before they send them to
        further upstreams, so the next report is not awaited.
        """
        run = f"{upstream.upstream_id}/{upstream.started_ms}"
        item = held.item
        if held.is_established and item.request_key:
            self._ledger.record_late_crash(run, item.request_key)
            self._plan_report()
        elif not held.is_established and item.part_keys:
            self._ledger.record_crash(run, item.part_keys)
            self._plan_report()

    def list_quarantined(self) -> list[dict[str, object]]:
        """Returns the quarantined parts for operators."""
        now = self._now()
        return [
            {
                "part": format_key(entry.part),
                "crashes": entry.crashes,
                "last_crash_s_ago": round(now - entry.last_crash_at, 1),
                "trial_in_s": round(max(entry.trial_at - now, 0), 1),
            }
            for entry in self._ledger.quarantined
        ]

    def release(self, key: str) -> bool:
        """Ends the quarantine of a part at all nodes.

        Args:
            key: The key that `list_quarantined` names.

        Returns:
            Whether the part was quarantined.
        """
        for entry in self._ledger.quarantined:
            if format_key(entry.part) == key:
                self._ledger.release(entry.part)
                self._plan_report()
                return True
        return False

    def is_quarantined(self, item: WorkItem) -> bool:
        """Returns whether a part of a request's prompt is quarantined."""
        return bool(self._ledger.judge(item.crash_keys).quarantined)

    @contextlib.asynccontextmanager
    async def admit(self, item: WorkItem) -> AsyncIterator[None]:
        """Admits a request for one dispatch.

        It is withdrawn if a part of its prompt is quarantined before its answer
        has begun.

        Raises:
            RefusedError: A part of its prompt is quarantined.
        """
        if not item.part_keys:
            yield
            return
        # A request that is sent once more may crash its next upstream as well.
        item.has_begun = False
        tried: tuple[int, ...] = ()
        if not self._ledger.is_empty:
            tried = await self._wait_for_trials(item)
        for part in tried:
            self._trials[part] = self._now()
        try:
            async with Interruption() as withdrawal:
                self._admitted[withdrawal] = item
                yield
        except InterruptedTaskError:
            raise self._refusal(
                item, self._ledger.judge(item.crash_keys)
            ) from None
        finally:
            self._admitted.pop(withdrawal, None)
            for part in tried:
                self._trials.pop(part, None)
            if tried:
                self._notify()

    def _withdraw(self, part: int) -> None:
        """Withdraws the requests with a part whose answers have not begun."""
        for withdrawal, item in list(self._admitted.items()):
            if (
                part in item.crash_keys
                and item.work.parts
                and not (item.has_begun or item.is_trial)
            ):
                withdrawal.interrupt()

    def _plan_report(self) -> None:
        """Sends one report soon for all evidence that is found until then."""
        if not self._has_planned_report:
            self._has_planned_report = True
            asyncio.get_running_loop().call_later(
                _REPORT_DELAY_S, self._send_planned_report
            )

    def _send_planned_report(self) -> None:
        self._has_planned_report = False
        self._send_report()

    async def _wait_for_trials(self, item: WorkItem) -> tuple[int, ...]:
        """Returns the parts that the request tries, when it is its turn."""
        while True:
            judgement = self._ledger.judge(item.crash_keys)
            if judgement.quarantined:
                self._begin_trial(item, judgement)
                return judgement.quarantined
            oldest_at = self._now() - _MAX_TRIAL_S
            started = [
                self._trials[part]
                for part in judgement.suspected
                if self._trials.get(part, oldest_at) > oldest_at
            ]
            if not started:
                return judgement.suspected
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(started) - oldest_at):
                    await self._trial_ended.wait()

    def _begin_trial(self, item: WorkItem, judgement: Judgement) -> None:
        """Lets the request try the quarantined parts if a trial is due.

        Raises:
            RefusedError: No trial is due, or another node makes it.
        """
        for part in judgement.quarantined:
            quarantine = self._ledger.get_quarantine(part)
            if (
                quarantine is None
                or self._now() < quarantine.trial_at
                or not self._is_trial_owner(part)
            ):
                raise self._refusal(item, judgement)
        for part in judgement.quarantined:
            self._ledger.begin_trial(part)
        item.is_trial = True
        self._log.warning(
            "quarantine_trial",
            request=item.request_id,
            parts=[format_key(part) for part in judgement.quarantined],
        )

    def _is_trial_owner(self, part: int) -> bool:
        """Returns whether this node tries a quarantined part."""
        return self._host == max(
            [self._host, *self._get_live_hosts()],
            key=lambda host: xxhash.xxh3_64_intdigest(f"{part} {host}"),
        )

    def _refusal(self, item: WorkItem, judgement: Judgement) -> RefusedError:
        quarantines = [
            quarantine
            for part in judgement.quarantined
            if (quarantine := self._ledger.get_quarantine(part)) is not None
        ]
        trial_at = max(
            (quarantine.trial_at for quarantine in quarantines),
            default=self._now(),
        )
        crashes = max(
            (
                self._ledger.count_crashes(part)
                for part in judgement.quarantined
            ),
            default=0,
        )
        names = [
            f"{part.part_id} ({format_key(key)})"
            for part, key in zip(item.work.parts, item.part_keys, strict=False)
            if key in judgement.quarantined
        ] or [format_key(key) for key in judgement.quarantined]
        return refusal_error(
            RefusalReason.PROMPT_QUARANTINED,
            f"{crashes} upstreams crashed on {', '.join(names)}",
            retry_after_s=max(trial_at - self._now(), _MIN_RETRY_AFTER_S),
        )

    def _notify(self) -> None:
        """Wakes the requests that wait for the end of a trial."""
        self._trial_ended.set()
        self._trial_ended = asyncio.Event()
