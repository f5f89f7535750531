"""Evidence on which prompt parts crash upstreams.

An upstream that crashes takes all its requests along, so a crash accuses every
part of every prompt whose answer had not begun, or had just begun. A part that
crashes upstreams shows in two ways: crashes that are independent of each other
have it in common, and no answer on it goes on for long. The other parts of
these prompts are soon cleared by an answer to another request.

A request may also crash its upstream amid its answer, which has cleared its
prompt by then. Only the request itself is accused then, by crashes of their own
kind: it is known again by its target and body.

All nodes merge what they observed, so that a part is quarantined everywhere
after crashes that different nodes saw.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Collection, Iterable, Sequence

import msgspec
import xxhash

from tanagerport.gateway.decision_log import DecisionLog
from tanagerport.gateway.domain import PromptPart
from tanagerport.gateway.untrusted_data import Integer

# Independent crashes after which a part is quarantined; more for a part on
# which answers were sound shortly before the first of them.
_REQUIRED_CRASHES = 2
_REQUIRED_CRASHES_AFTER_ANSWERS = 3
# The same for a request that was accused amid its answer: all streams at an
# upstream are accused by its loss, whatever caused that.
_REQUIRED_LATE_CRASHES = 3
# Marks the run of an upstream whose loss accuses answers that had gone on.
_LATE_SUFFIX = "+"
# Upstreams lost within this time of each other may have a common cause, such as
# the loss of a rack, and count as one crash.
_COMMON_CAUSE_S = 0.05
# Time for which an answer counts as recent, in seconds.
_ANSWER_LIFETIME_S = 60.0
# Time for which a crash is kept, in seconds.
_CRASH_LIFETIME_S = 120.0
# Time to the first trial of a quarantined part, in seconds. It doubles with
# each crash beyond those that led to the quarantine.
_MIN_QUARANTINE_S = 30.0
_MAX_QUARANTINE_S = 600.0
_MAX_DOUBLINGS = 5
# Time after the last crash at which a quarantine ends, in seconds.
_QUARANTINE_LIFETIME_S = 1800.0
# A crash this long after the last one of a quarantined part counts as a new
# one; the times that nodes report differ by less.
_NEW_CRASH_S = 1.0
# Time for which new evidence is part of each report, in seconds. Afterwards
# only full reports contain it.
_REPORT_S = 3.0
# Bounds of the memory and the reports.
_MAX_ANSWERED_PARTS = 8192
_MAX_STORED_CRASHES = 64
_MAX_PARTS_PER_CRASH = 32
_MAX_QUARANTINED = 64
_MAX_REPORTED_CRASHES = 8
_MAX_REPORTED_PARTS = 16


class CrashEvidence(msgspec.Struct, array_like=True, frozen=True):
    """Evidence of a node that is sent to the other nodes.

    Attributes:
        crashes: Run of an upstream, milliseconds since it was lost, and the
            parts of its requests whose answers were not sound yet.
        quarantined: Part, number of crashes and milliseconds since the last.
        answered: Part and milliseconds since an answer on it was sound, for
            parts that crashes accuse.
        released: Parts that an operator released.
    """

    crashes: list[tuple[str, Integer, list[int]]] = []
    quarantined: list[tuple[int, Integer, Integer]] = []
    answered: list[tuple[int, Integer]] = []
    released: list[int] = []


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A part that crashes upstreams.

    Attributes:
        part: Key of the part.
        crashes: Number of crashes.
        last_crash_at: Monotonic time of the last crash, in seconds.
        trial_at: Monotonic time from which one request may try the part.
    """

    part: int
    crashes: int
    last_crash_at: float
    trial_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """What the evidence says of a request.

    Attributes:
        quarantined: Parts for which the request is to be refused.
        suspected: Parts that one request at a time may try.
    """

    quarantined: tuple[int, ...] = ()
    suspected: tuple[int, ...] = ()


SOUND = Judgement()


@dataclasses.dataclass(slots=True, eq=False)
class _Crash:
    at: float
    parts: set[int]
    is_own: bool
    is_late: bool


def request_keys(
    service: str, parts: Sequence[PromptPart], target: bytes, body: bytes
) -> tuple[int, ...]:
    """Returns the keys of what other requests may share with a request.

    These are the parts of its prompt. The last one belongs to the request or
    its session, but a caller may send it again. A request without a prompt has
    one key for all of it.
    """
    if not parts:
        return (
            xxhash.xxh3_64_intdigest(
                b"%s\0%s\0%s" % (service.encode(), target, body)
            ),
        )
    return tuple(
        xxhash.xxh3_64_intdigest(f"{service}\0{part.part_id}") for part in parts
    )


def request_key(
    service: str, parts: Sequence[PromptPart], target: bytes, body: bytes
) -> int:
    """Returns the key of a whole request, which no part of it has."""
    part_ids = ",".join(part.part_id for part in parts)
    return xxhash.xxh3_64_intdigest(
        b"whole\0%s\0%s\0%s\0%s"
        % (service.encode(), part_ids.encode(), target, body)
    )


def format_key(part: int) -> str:
    """Returns the key of a part as operators see it."""
    return f"{part:016x}"


class CrashLedger:
    """Collects crashes and answers, and derives which parts crash upstreams.

    Args:
        log: Decision log.
        now: Monotonic clock, in seconds.
    """

    def __init__(
        self, log: DecisionLog, now: Callable[[], float] = time.monotonic
    ) -> None:
        self._log = log
        self._now = now
        self._on_quarantine: Callable[[int], object] = lambda part: None
        self._crashes: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        # Time at which an answer on a part was last sound, oldest first.
        self._answered: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        self._quarantined: dict[int, Quarantine] = {}
        # Parts of crashes that fewer than the required crashes accuse.
        self._suspected: set[int] = set()
        # Sets of parts that explain the same crashes.
        self._alternatives: list[frozenset[int]] = []
        # Number of crashes at which a quarantine ended, and when.
        self._released: dict[int, tuple[int, float]] = {}
        # Times at which evidence was found that the next reports contain.
        self._answers_to_report: dict[int, float] = {}
        self._releases_to_report: dict[int, float] = {}
        self._quarantined_at: dict[int, float] = {}

    def set_quarantine_callback(
        self, callback: Callable[[int], object]
    ) -> None:
        """Sets the callback for each part that is quarantined."""
        self._on_quarantine = callback

    @property
    def is_empty(self) -> bool:
        """Whether no crash is known and no part is quarantined."""
        return not self._crashes and not self._quarantined

    @property
    def quarantined(self) -> list[Quarantine]:
        """All quarantined parts."""
        return list(self._quarantined.values())

    def judge(self, parts: Collection[int]) -> Judgement:
        """Returns what is known of a request with these parts."""
        if self.is_empty:
            return SOUND
        quarantined = {part for part in parts if part in self._quarantined}
        suspected = {part for part in parts if part in self._suspected}
        for alternatives in self._alternatives:
            # A request with only some of these parts shows which one it is.
            common = alternatives.intersection(parts)
            if common == alternatives:
                quarantined |= common
            else:
                suspected |= common
        return Judgement(tuple(quarantined), tuple(suspected - quarantined))

    def get_quarantine(self, part: int) -> Quarantine | None:
        """Returns the quarantine of a part, if it has one."""
        return self._quarantined.get(part)

    def count_crashes(self, part: int) -> int:
        """Returns the number of crashes that accuse a part."""
        quarantine = self._quarantined.get(part)
        if quarantine is not None:
            return quarantine.crashes
        return sum(1 for crash in self._crashes.values() if part in crash.parts)

    def begin_trial(self, part: int) -> None:
        """Records that one request tries a quarantined part."""
        quarantine = self._quarantined.get(part)
        if quarantine is not None:
            self._quarantined[part] = dataclasses.replace(
                quarantine,
                trial_at=self._now() + _quarantine_s(quarantine.crashes),
            )

    def record_crash(self, run: str, parts: Iterable[int]) -> None:
        """Records the parts of a request that crashed with its upstream.

        Args:
            run: Identifies the run of the upstream.
            parts: Parts of a prompt whose answer was not sound yet.
        """
        self._add_crash(run, parts, self._now(), is_own=True)
        self._analyze()

    def record_late_crash(self, run: str, key: int) -> None:
        """Records a request that crashed with its upstream amid its answer.

        Args:
            run: Identifies the run of the upstream.
            key: Key of the whole request.
        """
        self._add_crash(run + _LATE_SUFFIX, (key,), self._now(), is_own=True)
        self._analyze()

    def record_whole_answer(self, key: int) -> None:
        """Records the whole answer to a request."""
        if not self.is_empty:
            self.record_answer((key,))

    def record_answer(self, parts: Iterable[int]) -> None:
        """Records a sound answer on these parts."""
        now = self._now()
        was_accused = False
        for part in parts:
            self._answered[part] = now
            self._answered.move_to_end(part)
            if not self.is_empty and self._apply_answer(part, now):
                self._answers_to_report[part] = now
                was_accused = True
        if was_accused:
            self._analyze()
        while len(self._answered) > _MAX_ANSWERED_PARTS:
            self._answered.popitem(last=False)

    def release(self, part: int) -> bool:
        """Ends the quarantine of a part; returns whether it had one."""
        if part not in self._quarantined:
            return False
        self._releases_to_report[part] = self._now()
        self._apply_release(part)
        return True

    def expire(self) -> None:
        """Forgets evidence that is too old."""
        now = self._now()
        expired = [
            run
            for run, crash in self._crashes.items()
            if now - crash.at > _CRASH_LIFETIME_S or not crash.parts
        ]
        for run in expired:
            del self._crashes[run]
        for part, quarantine in list(self._quarantined.items()):
            if now - quarantine.last_crash_at > _QUARANTINE_LIFETIME_S:
                del self._quarantined[part]
        for times in (
            self._answers_to_report,
            self._releases_to_report,
            self._quarantined_at,
        ):
            _remove_before(times, now - _REPORT_S)
        for part, (_, at) in list(self._released.items()):
            if now - at > _CRASH_LIFETIME_S:
                del self._released[part]
        if expired:
            self._analyze()

    def report(self, is_whole: bool) -> CrashEvidence | None:
        """Returns the evidence for the next report; None if there is none.

        Args:
            is_whole: Whether to include all evidence, not only what is new.
        """
        now = self._now()
        crashes = [
            (run, _age_ms(now, crash.at), list(crash.parts))
            for run, crash in reversed(self._crashes.items())
            if crash.parts
            and (is_whole or (crash.is_own and now - crash.at < _REPORT_S))
        ][:_MAX_REPORTED_CRASHES]
        quarantined = [
            (part, entry.crashes, _age_ms(now, entry.last_crash_at))
            for part, entry in self._quarantined.items()
            if is_whole or part in self._quarantined_at
        ][-_MAX_REPORTED_PARTS:]
        answered = [
            (part, _age_ms(now, self._answered.get(part, now)))
            for part in self._answers_to_report
        ][-_MAX_REPORTED_PARTS:]
        released = list(self._releases_to_report)[-_MAX_REPORTED_PARTS:]
        if not (crashes or quarantined or answered or released):
            return None
        return CrashEvidence(crashes, quarantined, answered, released)

    def apply_report(self, evidence: CrashEvidence) -> None:
        """Merges the evidence of another node."""
        now = self._now()
        for run, age_ms, parts in evidence.crashes:
            self._add_crash(run, parts, now - age_ms / 1000, is_own=False)
        for part, crashes, age_ms in evidence.quarantined:
            self._merge_quarantine(part, crashes, now - age_ms / 1000)
        for part, age_ms in evidence.answered:
            at = now - age_ms / 1000
            self._answered[part] = max(self._answered.get(part, at), at)
            self._answered.move_to_end(part)
            self._apply_answer(part, at)
        for part in evidence.released:
            self._apply_release(part)
        self._analyze()

    def _add_crash(
        self, run: str, parts: Iterable[int], at: float, is_own: bool
    ) -> None:
        crash = self._crashes.get(run)
        if crash is None:
            if self._now() - at > _CRASH_LIFETIME_S:
                return
            crash = self._crashes[run] = _Crash(
                at, set(), is_own, run.endswith(_LATE_SUFFIX)
            )
            while len(self._crashes) > _MAX_STORED_CRASHES:
                self._crashes.popitem(last=False)
        # A report is delayed, so the earliest time is the most exact.
        crash.at = min(crash.at, at)
        crash.is_own |= is_own
        for part in parts:
            if self._answered.get(part, float("-inf")) > crash.at:
                self._answers_to_report[part] = self._now()
            elif self._released.get(part, (0, float("-inf")))[1] > crash.at:
                continue
            elif len(crash.parts) < _MAX_PARTS_PER_CRASH:
                if self._has_answered_before(part, crash.at):
                    self._answers_to_report[part] = self._now()
                crash.parts.add(part)

    def _has_answered_before(self, part: int, at: float) -> bool:
        answered_at = self._answered.get(part, float("-inf"))
        return answered_at > at - _ANSWER_LIFETIME_S

    def _apply_answer(self, part: int, at: float) -> bool:
        """Clears a part of earlier crashes; returns whether any accused it."""
        was_accused = False
        for crash in self._crashes.values():
            if part in crash.parts and crash.at < at:
                crash.parts.discard(part)
                was_accused = True
        quarantine = self._quarantined.get(part)
        if quarantine is not None and (
            quarantine.last_crash_at < at
            # The answer of another node became known after the quarantine.
            or (
                quarantine.crashes < _REQUIRED_CRASHES_AFTER_ANSWERS
                and quarantine.last_crash_at - _ANSWER_LIFETIME_S < at
            )
        ):
            self._apply_release(part)
            was_accused = True
        return was_accused

    def _apply_release(self, part: int) -> None:
        quarantine = self._quarantined.pop(part, None)
        self._quarantined_at.pop(part, None)
        if quarantine is None:
            return
        self._released[part] = (quarantine.crashes, self._now())
        self._log.warning(
            "prompt_part_released",
            part=format_key(part),
            crashes=quarantine.crashes,
        )
        for crash in self._crashes.values():
            crash.parts.discard(part)
        self._analyze()

    def _merge_quarantine(
        self, part: int, crashes: int, last_at: float
    ) -> None:
        released_crashes, _ = self._released.get(part, (0, 0.0))
        current = self._quarantined.get(part)
        if (
            crashes <= released_crashes
            or self._answered.get(part, float("-inf")) > last_at
            or (current is not None and current.crashes >= crashes)
            or self._now() - last_at > _QUARANTINE_LIFETIME_S
        ):
            return
        self._quarantine(part, crashes, last_at)

    def _quarantine(self, part: int, crashes: int, last_at: float) -> None:
        self._log.warning(
            "prompt_part_quarantined",
            part=format_key(part),
            crashes=crashes,
            upstreams=[
                run.rpartition("/")[0]
                for run, crash in self._crashes.items()
                if part in crash.parts
            ],
        )
        self._quarantined[part] = Quarantine(
            part, crashes, last_at, last_at + _quarantine_s(crashes)
        )
        self._quarantined_at[part] = self._now()
        self._on_quarantine(part)
        while len(self._quarantined) > _MAX_QUARANTINED:
            del self._quarantined[
                min(
                    self._quarantined.values(),
                    key=lambda entry: entry.last_crash_at,
                ).part
            ]

    def _analyze(self) -> None:
        """Finds the fewest parts that explain the crashes."""
        self._suspected = set()
        self._alternatives = []
        unexplained = []
        # Runs of upstreams that a request is known to have crashed late; what
        # had not begun there is not to blame.
        crashed_late = {
            run.removesuffix(_LATE_SUFFIX)
            for run, crash in self._crashes.items()
            if crash.is_late
            and any(key in self._quarantined for key in crash.parts)
        }
        for run, crash in self._crashes.items():
            explained = [
                part for part in crash.parts if part in self._quarantined
            ]
            for part in explained:
                self._count_crash(part, crash.at)
            if not explained and crash.parts and run not in crashed_late:
                unexplained.append(crash)
        while unexplained:
            best = self._find_best_parts(unexplained)
            if not best:
                break
            at = max(crash.at for crash in unexplained if best <= crash.parts)
            if len(best) == 1:
                (part,) = best
                accusing = [
                    crash for crash in unexplained if part in crash.parts
                ]
                count = len(_independent_times(accusing))
                self._quarantine(part, count, at)
            else:
                self._alternatives.append(frozenset(best))
            unexplained = [
                crash for crash in unexplained if not best & crash.parts
            ]
        self._suspected = {
            part
            for crash in unexplained
            for part in crash.parts
            if not (crash.is_late or self._has_answered_before(part, crash.at))
        }

    def _count_crash(self, part: int, at: float) -> None:
        quarantine = self._quarantined[part]
        if at > quarantine.last_crash_at + _NEW_CRASH_S:
            self._quarantine(part, quarantine.crashes + 1, at)

    def _find_best_parts(self, crashes: list[_Crash]) -> set[int]:
        """Returns the parts that explain most crashes, if they are enough."""
        accusing: dict[int, list[_Crash]] = {}
        for crash in crashes:
            for part in crash.parts:
                accusing.setdefault(part, []).append(crash)
        ranks: dict[int, tuple[int, bool]] = {}
        for part, accusing_crashes in accusing.items():
            if len(accusing_crashes) < _REQUIRED_CRASHES:
                continue
            times = _independent_times(accusing_crashes)
            has_answered = self._has_answered_before(part, times[0])
            if any(crash.is_late for crash in accusing_crashes):
                required = _REQUIRED_LATE_CRASHES
            elif has_answered:
                required = _REQUIRED_CRASHES_AFTER_ANSWERS
            else:
                required = _REQUIRED_CRASHES
            if len(times) >= required:
                ranks[part] = (len(times), not has_answered)
        if not ranks:
            return set()
        best_rank = max(ranks.values())
        best = sorted(part for part, rank in ranks.items() if rank == best_rank)
        # Only parts of the same crashes are alternatives.
        return {part for part in best if accusing[part] == accusing[best[0]]}


def _independent_times(crashes: list[_Crash]) -> list[float]:
    """Returns the times of those crashes that have no common cause."""
    times: list[float] = []
    for at in sorted(crash.at for crash in crashes):
        if not times or at - times[-1] > _COMMON_CAUSE_S:
            times.append(at)
    return times


def _quarantine_s(crashes: int) -> float:
    doublings = min(max(crashes - _REQUIRED_CRASHES, 0), _MAX_DOUBLINGS)
    return min(_MIN_QUARANTINE_S * 2**doublings, _MAX_QUARANTINE_S)


def _age_ms(now: float, at: float) -> int:
    return max(round((now - at) * 1000), 0)


def _remove_before(times: dict[int, float], at: float) -> None:
    for key in [key for key, value in times.items() if value < at]:
        del times[key]
