"""Control over dispatches in progress, for the scheduler."""

import structlog

from tanagerport.call_watch import CallWatch
from tanagerport.model import RefusalReason, UpstreamKind
from tanagerport.scheduler import DispatchProgress, Placement
from tanagerport.upstream_client import UpstreamClient

_log = structlog.get_logger(__name__)


class UpstreamDispatchControl:
    """Pauses, resumes and cancels one dispatch.

    Args:
        placement: Slot of the dispatch.
        client: Connections to upstreams.
        watch: Bounds of the dispatch.
    """

    def __init__(
        self, placement: Placement, client: UpstreamClient, watch: CallWatch
    ) -> None:
        self._placement = placement
        self._client = client
        self._watch = watch
        self._progress: DispatchProgress | None = None

    @property
    def first_token_s(self) -> float | None:
        """Seconds from dispatch to the first token; None before it."""
        return self._progress.first_token_s if self._progress else None

    @property
    def output_tokens(self) -> int:
        """Tokens received so far."""
        return self._progress.output_tokens if self._progress else 0

    @property
    def can_pause(self) -> bool:
        """Whether the upstream can pause this dispatch and resume it."""
        return self._is_engine and self._placement.vm.can_resume

    def follow(self, progress: DispatchProgress) -> None:
        """Reports the progress of the answer from now on."""
        self._progress = progress

    def pause(self) -> bool:
        """Pauses the dispatch; returns whether the upstream confirmed it."""
        if not self.can_pause:
            return False
        # The bound is suspended first: tokens stop before the answer comes.
        self._watch.pause()
        if self._command("pause") == "paused":
            return True
        self._watch.resume()
        return False

    def resume(self) -> bool:
        """Resumes a paused dispatch; returns whether it was confirmed."""
        if not self.can_pause:
            return False
        is_running = self._command("resume") == "running"
        if is_running:
            self._watch.resume()
        return is_running

    def cancel(self, reason: RefusalReason) -> None:
        """Cancels the dispatch; its caller gets an error with the reason.

        The thread of the dispatch tells the engine and gives the slot back.
        """
        self._watch.cancel(reason)

    def cancel_at_upstream(self) -> bool:
        """Tells an engine to end the generation.

        Returns:
            Whether the engine confirmed it.
        """
        if not self._is_engine:
            return False
        state = self._command("cancel")
        if state != "cancelled":
            _log.info(
                "cancel_not_confirmed",
                request_id=self._placement.request.request_id,
                upstream=self._placement.vm.vm_id,
                state=state,
            )
        return state == "cancelled"

    @property
    def _is_engine(self) -> bool:
        kind = self._placement.request.work_class.kind
        return kind is UpstreamKind.ENGINE

    def _command(self, command: str) -> str:
        request_id = self._placement.request.request_id
        return self._client.control(
            self._placement.vm.address, f"/requests/{request_id}/{command}"
        )
