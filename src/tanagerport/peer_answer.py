"""Answers that another node sends, and answers with added headers."""

import socket
from collections.abc import Callable, Iterator, Sequence

from tanagerport.answers import Answer, AnswerRecorder
from tanagerport.forwarding import ForwardedAnswer


class PeerAnswer:
    """Answer that another node sends."""

    def __init__(
        self,
        forwarded: ForwardedAnswer,
        headers: Sequence[tuple[str, str]],
        on_end: Callable[[bool], None],
        recorder: AnswerRecorder | None = None,
    ) -> None:
        self._forwarded = forwarded
        self._headers = [
            ("Content-Type", forwarded.content_type),
            *forwarded.headers,
            *headers,
        ]
        self._on_end = on_end
        self._recorder = recorder
        self._ended = False
        self._bytes_received = 0

    @property
    def bytes_received(self) -> int:
        """Bytes of the body so far."""
        return self._bytes_received

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._forwarded.status

    @property
    def headers(self) -> Sequence[tuple[str, str]]:
        """HTTP headers for the caller."""
        return self._headers

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body as it arrives."""
        for chunk in self._forwarded.chunks():
            self._bytes_received += len(chunk)
            if self._recorder is not None:
                self._recorder.add(chunk)
            yield chunk
        self._end(complete=True)

    def relay_rest(self, caller: socket.socket) -> None:
        """Leaves all to the iteration."""

    def close(self) -> None:
        """Ends an answer that was not read to its end."""
        if not self._ended:
            self._forwarded.close()
            self._end(complete=False)

    def _end(self, complete: bool) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(complete)


class AnswerWithHeader:
    """Answer with one more header."""

    def __init__(self, answer: Answer, name: str, value: str) -> None:
        self._answer = answer
        self._header = (name, value)

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._answer.status

    @property
    def headers(self) -> Sequence[tuple[str, str]]:
        """HTTP headers for the caller."""
        return [*self._answer.headers, self._header]

    def __iter__(self) -> Iterator[bytes]:
        """Yields the body as it arrives."""
        return iter(self._answer)

    def relay_rest(self, caller: socket.socket) -> None:
        """Writes the rest of the body to the caller's socket."""
        self._answer.relay_rest(caller)

    def close(self) -> None:
        """Ends an answer that was not read to its end."""
        self._answer.close()
