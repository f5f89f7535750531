"""Errors that tanagerport raises."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from tanagerport.findings import Finding, format_findings

if TYPE_CHECKING:
    from tanagerport.refusals import Refusal


class TanagerportError(Exception):
    """Base of all errors that tanagerport raises."""


class DocumentError(TanagerportError):
    """A document has one or more findings.

    Attributes:
        findings: All findings of the document.
    """

    def __init__(self, source: str, findings: Sequence[Finding]) -> None:
        super().__init__(f"{source} is invalid:\n{format_findings(findings)}")
        self.findings = tuple(findings)


class SettingsError(DocumentError):
    """The settings of a node are invalid."""


class PlatformError(TanagerportError):
    """A platform service could not do what was asked."""


class StoreUnavailableError(PlatformError):
    """The service was not reached, so the operation did not take effect."""


class OutcomeUnknownError(PlatformError):
    """The answer was lost, so the write may or may not have taken effect."""


class StoreConflictError(PlatformError):
    """A condition of a table transaction did not hold.

    Attributes:
        keys: Keys whose revision differs from the condition.
    """

    def __init__(self, keys: Sequence[str]) -> None:
        super().__init__(f"records changed: {', '.join(keys)}")
        self.keys = tuple(keys)


class ConfigConflictError(TanagerportError):
    """Another operator changed the record that a change is about.

    Attributes:
        key: Key of the record.
        operator: Operator whose change was not applied.
        other_operator: Operator whose change is in force.
        version: Configuration version of the change in force.
        changes: What the change in force altered, one text for each field.
    """

    def __init__(
        self,
        key: str,
        operator: str,
        other_operator: str,
        version: int,
        changes: Sequence[str],
    ) -> None:
        super().__init__(
            f"{key} was changed by {other_operator!r} in version {version}"
            f" ({'; '.join(changes) or 'same content'}), so the change by"
            f" {operator!r} was not applied"
        )
        self.key = key
        self.operator = operator
        self.other_operator = other_operator
        self.version = version
        self.changes = tuple(changes)


class LeaseLostError(TanagerportError):
    """The lease is no longer held by this node."""


class RefusedError(TanagerportError):
    """A request is refused.

    Attributes:
        refusal: Reason and whether the request ran.
        headers: Headers of the refusal's HTTP answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.headers: tuple[tuple[str, str], ...] = ()


class UpstreamError(TanagerportError):
    """A call to an upstream failed."""


class UpstreamNotStartedError(UpstreamError):
    """The call failed and provably did not start at the upstream.

    Attributes:
        reason: Value of `RetryReason` that explains the failure.
        is_leaving: Whether the upstream said that it is leaving.
    """

    def __init__(
        self, message: str, reason: str, is_leaving: bool = False
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.is_leaving = is_leaving


class UpstreamOutcomeUnknownError(UpstreamError):
    """The call failed after the upstream may have started it."""


class AnswerTruncatedError(UpstreamError):
    """The answer ended before its end marker."""


class AnswerInterruptedError(UpstreamError):
    """The node ended a call or an answer in progress.

    Attributes:
        reason: Value of `RefusalReason` that says why.
    """

    def __init__(self, message: str, reason: str) -> None:
        super().__init__(message)
        self.reason = reason


class CallerGoneError(UpstreamError):
    """The caller closed its connection before the answer ended."""


class PeerError(TanagerportError):
    """A call to another node failed."""


class OperatorError(TanagerportError):
    """A call to a node's operator interface failed."""


class OperatorUnreachableError(OperatorError):
    """No operator interface answered."""


class OperatorRequestError(OperatorError):
    """The node refused the operator's request."""


class OperatorConflictError(OperatorError):
    """Another operator changed the same record first."""
