"""Tests of class status and explanations."""

from tanagerport.class_status import WINDOW_S, ClassStatusTracker
from tanagerport.clock import FakeClock
from tanagerport.explain import ExplanationLog
from tanagerport.model import Request, UpstreamKind, WorkClass

_CLASS = WorkClass("hint", 0, UpstreamKind.ENGINE, "tutor")


def state(tracker: ClassStatusTracker) -> str:
    return tracker.report({"hint": _CLASS})[0].state


class TestClassStatusTracker:
    """Targets over the sliding window."""

    def test_states(self) -> None:
        """Guards against a missed target that is reported as met."""
        clock = FakeClock()
        tracker = ClassStatusTracker(clock)
        assert state(tracker) == "no requests"
        for _ in range(95):
            tracker.record("hint", met=True)
        for _ in range(5):
            tracker.record("hint", met=False, refused=True)
        assert state(tracker) == "met"
        tracker.record("hint", met=False)
        assert state(tracker) == "missed"

    def test_old_outcomes_leave_the_window(self) -> None:
        """Guards against a class that stays missed after it recovered."""
        clock = FakeClock()
        tracker = ClassStatusTracker(clock)
        tracker.record("hint", met=False)
        clock.advance(WINDOW_S + 10)
        tracker.record("hint", met=True)
        assert state(tracker) == "met"


class TestExplanationLog:
    """Bounds of the explanations."""

    def test_bounds(self) -> None:
        """Guards against memory that grows with requests and events."""
        log = ExplanationLog(FakeClock(), requests=2)
        for number in range(3):
            request = Request(f"r{number}", _CLASS, "c", b"secret", 0.0, 9.0)
            for _ in range(40):
                log.note(request, "placed", upstream="e1")
        assert log.explain("r0") is None
        document = log.explain("r2")
        assert document is not None
        assert len(document["events"]) + document["events_dropped"] == 40
        assert "secret" not in str(document)
