"""Admission of requests whose prompts may crash upstreams."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable

from tanagerport.gateway.crash_evidence import CrashLedger, Judgement
from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.request_context import refusal_error
from tanagerport.gateway.work_item import WorkItem
from tanagerport.refusals import RefusalReason

# Time after which a request that tries a suspected part no longer holds up
# others, in seconds. Most answers begin within it.
_MAX_TRIAL_S = 1.0
# Minimum Retry-After of a request with a quarantined part, in seconds.
_MIN_RETRY_AFTER_S = 1.0


class PromptQuarantine:
    """Refuses requests with quarantined prompt parts.

    Requests with a suspected part are sent one at a time. The first one shows
    whether its upstream crashes.

    Args:
        ledger: Evidence on prompt parts.
        is_trial_owner: Returns whether this node may try a quarantined part.
        log: Decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        is_trial_owner: Callable[[int], bool],
        log: DecisionLog,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ledger = ledger
        self._is_trial_owner = is_trial_owner
        self._log = log
        self._now = now
        # Start of the trial of each suspected part.
        self._trials: dict[int, float] = {}
        self._trial_ended = asyncio.Event()

    @contextlib.asynccontextmanager
    async def admit(self, item: WorkItem) -> AsyncIterator[None]:
        """Admits a request for one dispatch.

        Raises:
            RefusedError: A part of its prompt is quarantined.
        """
        if self._ledger.is_empty or not item.part_keys:
            yield
            return
        tried = await self._wait_for_trials(item)
        for part in tried:
            self._trials[part] = self._now()
        try:
            yield
        finally:
            for part in tried:
                self._trials.pop(part, None)
            if tried:
                self._notify()

    def check(self, item: WorkItem) -> None:
        """Checks a request again that has waited for an upstream.

        Raises:
            RefusedError: A part of its prompt is quarantined.
        """
        if item.is_trial or self._ledger.is_empty:
            return
        judgement = self._ledger.judge(item.part_keys)
        if judgement.quarantined:
            raise self._refusal(judgement)

    async def _wait_for_trials(self, item: WorkItem) -> tuple[int, ...]:
        """Returns the parts that the request tries, when it is its turn."""
        while True:
            judgement = self._ledger.judge(item.part_keys)
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
                raise self._refusal(judgement)
        for part in judgement.quarantined:
            self._ledger.begin_trial(part)
        item.is_trial = True
        self._log.warning(
            "quarantine_trial",
            request=item.request_id,
            parts=[f"{part:x}" for part in judgement.quarantined],
        )

    def _refusal(self, judgement: Judgement) -> Exception:
        trial_at = self._now()
        crashes = 0
        for part in judgement.quarantined:
            quarantine = self._ledger.get_quarantine(part)
            if quarantine is not None:
                trial_at = max(trial_at, quarantine.trial_at)
                crashes = max(crashes, quarantine.crashes)
        names = ", ".join(f"{part:x}" for part in judgement.quarantined)
        return refusal_error(
            RefusalReason.PROMPT_QUARANTINED,
            f"upstreams crashed on the prompt part {names} ({crashes} times)",
            retry_after_s=max(trial_at - self._now(), _MIN_RETRY_AFTER_S),
        )

    def _notify(self) -> None:
        """Wakes the requests that wait for the end of a trial."""
        self._trial_ended.set()
        self._trial_ended = asyncio.Event()
