"""Reasons of refusals and retries, and what a refusal says."""

import dataclasses
import enum


class Ran(enum.StrEnum):
    """What is known about a refused request."""

    NO = "no"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Stable reasons of refusals. Each has a counter and a docs entry."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_CUSTOMER = "unknown_customer"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    PREEMPTED = "preempted"
    NO_UPSTREAM = "no_upstream"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    UPSTREAM_ERROR = "upstream_error"
    TRUNCATED = "truncated"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_UNKNOWN = "claim_unknown"
    DUPLICATE_IN_PROGRESS = "duplicate_in_progress"
    DUPLICATE_FINISHED = "duplicate_finished"
    KEY_REUSED = "key_reused"
    INTERNAL = "internal"
    INTERNAL_NOT_RUN = "internal_not_run"
    NO_CONFIGURATION = "no_configuration"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    QUOTA_EXCEEDED = "quota_exceeded"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UPSTREAM_REJECTED = "upstream_rejected"
    PROMPT_QUARANTINED = "prompt_quarantined"


class RetryReason(enum.StrEnum):
    """Stable reasons of retries. Each has a counter and a docs entry."""

    CONNECT_FAILED = "connect_failed"
    NOT_STARTED = "not_started"
    POOLED_CONNECTION_CLOSED = "pooled_connection_closed"
    REJECTED = "rejected"
    FAILED = "failed"
    BROKEN = "broken"
    STREAM_BROKEN = "stream_broken"
    SILENT = "silent"


HTTP_STATUS_BY_REASON: dict[RefusalReason, int] = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.UNKNOWN_CLASS: 400,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.UNKNOWN_CUSTOMER: 403,
    RefusalReason.NOT_FOUND: 404,
    RefusalReason.METHOD_NOT_ALLOWED: 405,
    RefusalReason.NOT_READY: 503,
    RefusalReason.DRAINING: 503,
    RefusalReason.QUEUE_FULL: 429,
    RefusalReason.DEADLINE_UNREACHABLE: 503,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.PREEMPTED: 503,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.RETRY_BUDGET_EXHAUSTED: 503,
    RefusalReason.UPSTREAM_ERROR: 502,
    RefusalReason.TRUNCATED: 502,
    RefusalReason.CLAIM_STORE_UNAVAILABLE: 503,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.CLAIM_UNKNOWN: 409,
    RefusalReason.DUPLICATE_IN_PROGRESS: 409,
    RefusalReason.DUPLICATE_FINISHED: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.INTERNAL: 500,
    RefusalReason.INTERNAL_NOT_RUN: 503,
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.QUOTA_EXCEEDED: 429,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.REQUEST_TIMEOUT: 408,
    RefusalReason.UPSTREAM_REJECTED: 503,
    RefusalReason.PROMPT_QUARANTINED: 503,
}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a request was refused.

    Attributes:
        reason: Stable reason.
        message: Explanation for a person.
        ran: Whether the request may have run.
        retry_after_s: Seconds after which a resend may succeed; None where
            waiting does not help.
    """

    reason: RefusalReason
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """HTTP status of the refusal."""
        return HTTP_STATUS_BY_REASON[self.reason]
