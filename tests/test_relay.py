"""Tests of the relay of event streams and of frames between nodes."""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, given, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from scripted_upstream import chunk, final_events, token_event
from tanagerport.body_decoders import (
    ChunkedDecoder,
    LengthDecoder,
    UnboundedDecoder,
)
from tanagerport.exceptions import AnswerTruncatedError, RefusedError
from tanagerport.frames import FrameReader, FrameWriter, read_frames
from tanagerport.model import Ran, Refusal, RefusalReason
from tanagerport.peer_pb2 import Frame
from tanagerport.relay import EventCheck, document_usage

_ID = "request-1"


def _events(tokens: int, request_id: str = _ID) -> list[bytes]:
    events = [token_event(request_id, index) for index in range(tokens)]
    return [*events, final_events(request_id, tokens)]


class RelayMachine(RuleBasedStateMachine):
    """An engine's bytes arrive in any pieces, with one fault at most.

    The faults: an event is lost, repeated or swapped with the next, the
    stream ends early, or events of an ended request come in between.
    """

    check_type: Callable[..., Any] = EventCheck

    def __init__(self) -> None:
        super().__init__()
        self.late = 0
        self.relayed = b""
        self.failed = False
        self.ended = False

    @initialize(
        tokens=strategies.integers(1, 6),
        fault=strategies.sampled_from(
            ["none", "lost", "repeated", "swapped", "cut", "foreign"]
        ),
        at=strategies.integers(0, 5),
    )
    def start(self, tokens: int, fault: str, at: int) -> None:
        self.check = self.check_type(_ID, self.count_late)
        events = _events(tokens)
        self.whole = b"".join(events)
        at %= tokens
        if fault == "lost":
            del events[at]
        elif fault == "repeated":
            events.insert(at, events[at])
        elif fault == "swapped":
            events[at], events[at + 1] = events[at + 1], events[at]
        elif fault == "foreign":
            events.insert(at, token_event("request-0", 7))
        sent = b"".join(events)
        if fault == "cut":
            sent = sent[: len(sent) - 1 - at]
        self.is_whole = fault in ("none", "foreign")
        self.foreign = int(fault == "foreign")
        self.unsent = b"".join(
            chunk(sent[start : start + 50]) for start in range(0, len(sent), 50)
        ) + chunk(b"")
        self.decoder = ChunkedDecoder()

    def count_late(self) -> None:
        self.late += 1

    @rule()
    def wait(self) -> None:
        """Leaves a step to take after the end."""

    @precondition(lambda self: not self.ended)
    @rule(size=strategies.integers(1, 400))
    def arrive(self, size: int) -> None:
        data, self.unsent = self.unsent[:size], self.unsent[size:]
        try:
            body = self.decoder.feed(data)
            if body:
                self.relayed += self.check.feed(body)
            if self.decoder.is_complete:
                self.check.end()
        except AnswerTruncatedError:
            self.failed = True
        self.ended = self.failed or self.decoder.is_complete

    @invariant()
    def relays_nothing_wrong(self) -> None:
        if not hasattr(self, "whole"):
            return
        assert self.whole.startswith(self.relayed)
        assert self.relayed.endswith(b"\n\n") or not self.relayed
        if self.ended:
            assert self.failed != self.is_whole
            if self.is_whole:
                assert self.relayed == self.whole
                assert self.late == self.foreign

    def teardown(self) -> None:
        while not self.ended and self.unsent:
            self.arrive(100)
        self.relays_nothing_wrong()


class _UncheckedEvents(EventCheck):
    """Relays events whatever their positions."""

    def _check_positions(self, events: bytes) -> None:
        self._tokens += events.count(b'"delta"')


class _UncheckedMachine(RelayMachine):
    check_type = _UncheckedEvents


class _EndlessEvents(EventCheck):
    """Takes the end of the connection for the end of the answer."""

    def end(self) -> None:
        """Accepts any end."""


class _EndlessMachine(RelayMachine):
    check_type = _EndlessEvents


class FrameMachine(RuleBasedStateMachine):
    """Frames arrive in any order, some never, some of other requests."""

    reader_type: Callable[..., Any] = FrameReader

    def __init__(self) -> None:
        super().__init__()
        writer = FrameWriter(_ID)
        self.frames = [writer.head(200, "text/plain")]
        for index in range(5):
            self.frames.extend(writer.data(b"data %d " % index))
        self.frames.append(writer.end())
        self.missing = list(range(len(self.frames)))
        self.dropped = 0
        self.late = 0
        self.read: list[Frame] = []
        self.failed = False
        self.reader = self.reader_type(_ID, self.count_late)

    def count_late(self) -> None:
        self.late += 1

    def _feed(self, frame: Frame) -> None:
        try:
            self.read.extend(self.reader.feed(frame))
        except AnswerTruncatedError:
            self.failed = True

    @rule()
    def wait(self) -> None:
        """Leaves a step to take after the end."""

    @precondition(lambda self: self.missing and not self.failed)
    @rule(index=strategies.integers(0, 10))
    def arrive(self, index: int) -> None:
        number = self.missing.pop(index % len(self.missing))
        self._feed(self.frames[number])

    @precondition(lambda self: not self.failed)
    @rule(index=strategies.integers(0, 10))
    def arrive_again(self, index: int) -> None:
        arrived = set(range(len(self.frames))) - set(self.missing)
        if arrived:
            self.dropped += 1
            self._feed(self.frames[sorted(arrived)[index % len(arrived)]])

    @precondition(lambda self: not self.failed)
    @rule(sequence=strategies.integers(0, 10))
    def arrive_late(self, sequence: int) -> None:
        self.dropped += 1
        self._feed(Frame(request_id="old", sequence=sequence, data=b"old"))

    @precondition(lambda self: self.missing and not self.failed)
    @rule(index=strategies.integers(0, 10))
    def damage(self, index: int) -> None:
        number = self.missing[index % len(self.missing)]
        if self.frames[number].data:
            self.frames[number].data = b"damaged"

    @invariant()
    def reads_in_order(self) -> None:
        assert [frame.sequence for frame in self.read] == list(
            range(len(self.read))
        )
        assert self.late == self.dropped
        body = b"".join(frame.data for frame in self.read)
        if self.reader.is_complete:
            assert not self.failed
            assert body == b"".join(b"data %d " % item for item in range(5))
        elif not self.missing:
            assert self.failed


class _LateReader(FrameReader):
    """Accepts frames of other requests."""

    def feed(self, frame: Frame) -> Any:
        own = Frame()
        own.CopyFrom(frame)
        own.request_id = _ID
        return super().feed(own)


class _LateMachine(FrameMachine):
    reader_type = _LateReader


class TestMachines:
    """Guards against orders of arrival that damage an answer unseen."""

    @pytest.mark.parametrize("machine", [RelayMachine, FrameMachine])
    def test_no_order_damages_an_answer(self, machine: Any) -> None:
        run_state_machine_as_test(
            machine,
            settings=settings(max_examples=200, stateful_step_count=30),
        )

    @pytest.mark.parametrize(
        "machine", [_UncheckedMachine, _EndlessMachine, _LateMachine]
    )
    def test_machines_find_planted_faults(self, machine: Any) -> None:
        with pytest.raises(AssertionError):
            run_state_machine_as_test(
                machine,
                settings=settings(
                    max_examples=500,
                    stateful_step_count=30,
                    phases=[Phase.generate],
                ),
            )


class TestDecoders:
    """Guards against bodies that end early or in the wrong place."""

    @given(body=strategies.binary(max_size=300), size=strategies.integers(1, 9))
    def test_pieces_add_up(self, body: bytes, size: int) -> None:
        sent = b"".join(
            chunk(body[start : start + 7]) for start in range(0, len(body), 7)
        )
        sent += b"0\r\nTrailer: x\r\n\r\n"
        decoder = ChunkedDecoder()
        pieces = [sent[at : at + size] for at in range(0, len(sent), size)]
        assert b"".join(map(decoder.feed, pieces)) == body
        assert decoder.is_complete
        assert decoder.is_reusable

    @pytest.mark.parametrize(
        "sent",
        [b"-1\r\nx", b"0x2\r\nab", b"1_0\r\nx", b"2\r\nabc\r\n", b"\r\n"],
    )
    def test_malformed_chunks_are_refused(self, sent: bytes) -> None:
        with pytest.raises(AnswerTruncatedError):
            ChunkedDecoder().feed(sent)

    def test_early_ends_are_noticed(self) -> None:
        for decoder in (LengthDecoder(3), ChunkedDecoder()):
            decoder.feed(b"1\r")
            with pytest.raises(AnswerTruncatedError):
                decoder.end()
        unbounded = UnboundedDecoder()
        assert unbounded.feed(b"x") == b"x"
        unbounded.end()
        assert unbounded.is_complete

    def test_excess_bytes_spoil_the_connection(self) -> None:
        """Guards against an answer that begins with another's rest."""
        decoder = LengthDecoder(2)
        assert decoder.feed(b"abc") == b"ab"
        assert decoder.is_complete
        assert not decoder.is_reusable


class TestEvents:
    """Guards against text that is taken for a field of an event."""

    def test_text_of_an_answer_is_not_scanned(self) -> None:
        check = EventCheck(_ID)
        text = r"\"n\": 9, \"delta\" data: [DONE]\n\n"
        event = token_event(_ID, 0).replace(b"t0 ", text.encode())
        assert check.feed(event) == event
        assert check.tokens == 1
        assert not check.is_complete

    def test_event_without_position_is_refused(self) -> None:
        event = token_event(_ID, 0).replace(b', "n": 0', b"")
        with pytest.raises(AnswerTruncatedError):
            EventCheck(_ID).feed(event)

    def test_endless_event_is_refused(self) -> None:
        check = EventCheck(_ID)
        with pytest.raises(AnswerTruncatedError):
            check.feed(b"x" * (1024 * 1024 + 1))

    def test_document_that_is_not_json_is_refused(self) -> None:
        with pytest.raises(AnswerTruncatedError):
            document_usage(b'{"usage": {')


class TestFrames:
    """Guards against a lost end of a stream between nodes."""

    def test_missing_last_frame_is_noticed(self) -> None:
        writer = FrameWriter(_ID)
        frames = [writer.head(200, ""), *writer.data(b"x")]
        with pytest.raises(AnswerTruncatedError):
            list(read_frames(frames, FrameReader(_ID)))

    def test_too_many_held_frames_end_in_an_error(self) -> None:
        reader = FrameReader(_ID)
        with pytest.raises(AnswerTruncatedError):
            for sequence in range(1, 100):
                list(reader.feed(Frame(request_id=_ID, sequence=sequence)))

    def test_refusal_passes_with_what_is_known(self) -> None:
        writer = FrameWriter(_ID)
        refusal = Refusal(RefusalReason.QUEUE_FULL, "full", Ran.NO)
        with pytest.raises(RefusedError) as caught:
            list(read_frames([writer.refusal(refusal)], FrameReader(_ID)))
        assert caught.value.refusal == refusal
