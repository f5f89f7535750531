"""Requests run at another node, and kept answers of other nodes."""

import threading
from collections.abc import Callable, Iterator, Mapping, Sequence

import cachetools

from tanagerport.answer_headers import end_to_end
from tanagerport.answers import Answer, AnswerKeeper, AnswerState
from tanagerport.caller_requests import prompt_of
from tanagerport.clock import Clock
from tanagerport.exceptions import (
    AnswerInterruptedError,
    AnswerTruncatedError,
    PeerError,
    RefusedError,
    TanagerportError,
)
from tanagerport.frames import FrameReader, FrameWriter, read_frames
from tanagerport.interfaces import MembershipView, PeerNetwork
from tanagerport.key_claims import DuplicateKeyError
from tanagerport.metrics import Metrics
from tanagerport.model import (
    Ran,
    Refusal,
    RefusalReason,
    Request,
    UpstreamKind,
    WorkClass,
)
from tanagerport.peer_pb2 import (
    FetchAnswerRequest,
    ForwardRequest,
    Frame,
    Header,
)

_FETCH_TIMEOUT_S = 2.0
_MAX_SEEN = 100_000
# A repeated Forward arrives within its request's deadline.
_SEEN_S = 600.0


_STATES_OF_OWNER = frozenset(
    {RefusalReason.DUPLICATE_IN_PROGRESS, RefusalReason.DUPLICATE_FINISHED}
)


class ForwardedAnswer:
    """Answer of another node, read from its frames."""

    def __init__(self, head: Frame, frames: Iterator[Frame]) -> None:
        self._head = head
        self._frames = frames

    @property
    def status(self) -> int:
        """HTTP status."""
        return self._head.status

    @property
    def content_type(self) -> str:
        """Content type of the body."""
        return self._head.content_type

    @property
    def headers(self) -> Sequence[tuple[str, str]]:
        """Further headers for the caller."""
        return [(item.name, item.value) for item in self._head.headers]

    def chunks(self) -> Iterator[bytes]:
        """Yields the body.

        Raises:
            AnswerTruncatedError: Frames are missing or damaged.
            AnswerInterruptedError: The other node ended the answer.
        """
        try:
            for frame in self._frames:
                if frame.data:
                    yield frame.data
        except PeerError as error:
            raise AnswerTruncatedError(str(error)) from error
        except RefusedError as error:
            raise AnswerInterruptedError(
                error.refusal.message, error.refusal.reason
            ) from error

    def close(self) -> None:
        """Ends the stream, which cancels the request at the other node."""
        close = getattr(self._frames, "close", None)
        if close is not None:
            close()


class Forwarder:
    """Sends requests to other nodes and fetches kept answers from them.

    Args:
        membership: This node.
        peers: Calls between nodes.
        metrics: Counts dropped frames.
        clock: Source of time.
    """

    def __init__(
        self,
        membership: MembershipView,
        peers: PeerNetwork,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._metrics = metrics
        self._clock = clock

    def forward(self, request: Request, node_id: str) -> ForwardedAnswer:
        """Runs a request at another node.

        Raises:
            RefusedError: The other node refused it, or was lost.
        """
        remaining_s = request.deadline_at - self._clock.monotonic()
        message = ForwardRequest(
            request_id=request.request_id,
            class_name=request.work_class.name,
            customer=request.customer,
            model=request.work_class.model,
            body=request.body,
            remaining_ms=max(1, int(remaining_s * 1000)),
            key=request.key or "",
            stream=request.stream,
            origin_node_id=self._membership.self_view.node_id,
            service_path=request.service_path,
            method=request.method,
            max_output_tokens=request.max_output_tokens or 0,
            content_type=request.content_type,
            headers=[
                Header(name=name, value=value)
                for name, value in request.headers
            ],
        )
        return self._open(
            node_id, "Forward", message, request.request_id, remaining_s
        )

    def replay(self, duplicate: DuplicateKeyError) -> ForwardedAnswer:
        """Returns the kept answer of the request that holds a key.

        Raises:
            RefusedError: There is none; the refusal says what is known.
        """
        if not duplicate.owner_node_id:
            raise duplicate
        message = FetchAnswerRequest(request_id=duplicate.owner_request_id)
        try:
            return self._open(
                duplicate.owner_node_id,
                "FetchAnswer",
                message,
                duplicate.owner_request_id,
                _FETCH_TIMEOUT_S,
            )
        except RefusedError as error:
            if duplicate.is_finished:
                raise duplicate from error
            if error.refusal.reason in _STATES_OF_OWNER:
                raise
            raise RefusedError(
                Refusal(
                    RefusalReason.CLAIM_UNKNOWN,
                    "the request with this key is not in progress at its "
                    "node and has no known outcome",
                    Ran.UNKNOWN,
                )
            ) from error

    def _open(
        self,
        node_id: str,
        method: str,
        message: object,
        request_id: str,
        timeout_s: float,
    ) -> ForwardedAnswer:
        reader = FrameReader(request_id, self._metrics.late_frames.inc)
        try:
            stream = self._peers.stream(node_id, method, message, timeout_s)
            frames = read_frames(stream, reader)
            return ForwardedAnswer(next(frames), frames)
        except (PeerError, AnswerTruncatedError, StopIteration) as error:
            raise RefusedError(
                Refusal(
                    RefusalReason.UPSTREAM_ERROR,
                    f"node {node_id} did not answer: {error}",
                    Ran.UNKNOWN,
                )
            ) from error


class ForwardServer:
    """Serves the calls of other nodes' forwarders.

    Args:
        run: Runs a request whose key the origin claimed.
        classes: Returns classes by name.
        answers: Kept answers of this node.
        clock: Source of time.
    """

    def __init__(
        self,
        run: Callable[[Request], Answer],
        classes: Callable[[], Mapping[str, WorkClass]],
        answers: AnswerKeeper,
        clock: Clock,
    ) -> None:
        self._run = run
        self._classes = classes
        self._answers = answers
        self._clock = clock
        self._lock = threading.Lock()
        self._seen: cachetools.TTLCache[str, bool] = cachetools.TTLCache(
            _MAX_SEEN, _SEEN_S, timer=clock.monotonic
        )

    def serve_forward(self, message: ForwardRequest) -> Iterator[Frame]:
        """Runs a request and yields its answer as frames."""
        writer = FrameWriter(message.request_id)
        answer = None
        try:
            request = self._build_request(message)
            answer = self._run(request)
            headers = dict(answer.headers)
            yield writer.head(
                answer.status,
                headers.get("Content-Type", "application/octet-stream"),
                end_to_end(
                    (name, value)
                    for name, value in headers.items()
                    if name != "Content-Type"
                ),
            )
            for chunk in answer:
                yield from writer.data(chunk)
            yield writer.end()
        except RefusedError as error:
            yield writer.refusal(error.refusal)
        except AnswerInterruptedError as error:
            reason = RefusalReason(error.reason)
            yield writer.refusal(Refusal(reason, str(error), Ran.UNKNOWN))
        except TanagerportError as error:
            yield writer.refusal(
                Refusal(RefusalReason.TRUNCATED, str(error), Ran.UNKNOWN)
            )
        finally:
            if answer is not None:
                answer.close()

    def serve_fetch(self, message: FetchAnswerRequest) -> Iterator[Frame]:
        """Yields a kept answer as frames."""
        writer = FrameWriter(message.request_id)
        answer = self._answers.get(message.request_id)
        if answer is None:
            yield writer.refusal(self._explain(message.request_id))
            return
        yield writer.head(answer.status, answer.content_type)
        for chunk in answer.chunks:
            yield from writer.data(chunk)
        yield writer.end()

    def _explain(self, request_id: str) -> Refusal:
        state = self._answers.state(request_id)
        if state is AnswerState.IN_PROGRESS:
            return Refusal(
                RefusalReason.DUPLICATE_IN_PROGRESS,
                "a request with this key is in progress",
                Ran.UNKNOWN,
            )
        if state is AnswerState.FINISHED:
            return Refusal(
                RefusalReason.DUPLICATE_FINISHED,
                "the request with this key has finished; its answer is not "
                "kept",
                Ran.UNKNOWN,
            )
        return Refusal(
            RefusalReason.NOT_FOUND, "the request is not known", Ran.UNKNOWN
        )

    def _build_request(self, message: ForwardRequest) -> Request:
        with self._lock:
            if message.request_id in self._seen:
                raise RefusedError(
                    Refusal(
                        RefusalReason.DUPLICATE_IN_PROGRESS,
                        "the request was forwarded before",
                        Ran.UNKNOWN,
                    )
                )
            self._seen[message.request_id] = True
        work_class = self._classes().get(message.class_name)
        if work_class is None:
            raise RefusedError(
                Refusal(
                    RefusalReason.UNKNOWN_CLASS,
                    f"there is no class {message.class_name!r}",
                )
            )
        now = self._clock.monotonic()
        is_engine = work_class.kind is UpstreamKind.ENGINE
        return Request(
            message.request_id,
            work_class,
            message.customer,
            message.body,
            now,
            now + message.remaining_ms / 1000,
            stream=message.stream,
            key=message.key or None,
            max_output_tokens=message.max_output_tokens or None,
            prompt=prompt_of(message.body) if is_engine else "",
            service_path=message.service_path,
            method=message.method,
            content_type=message.content_type,
            headers=tuple(
                (header.name, header.value) for header in message.headers
            ),
        )
