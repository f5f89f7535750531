"""Structured logs as JSON lines on standard error."""

import logging
import sys
from typing import Any

import structlog

_SECRET_FIELDS = frozenset(
    {"operator_token", "peer_token", "authorization", "token"}
)


def configure_logs(level: str = "info") -> None:
    """Sets up JSON lines logs for the process.

    Args:
        level: Lowest level that is logged.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            _remove_secrets,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=_create_logger,
    )


def _create_logger(*_: Any) -> structlog.PrintLogger:
    """Returns a logger for the standard error of the moment."""
    return structlog.PrintLogger(sys.stderr)


def _remove_secrets(logger: Any, method_name: str, event: Any) -> Any:
    del logger, method_name
    for field in _SECRET_FIELDS & event.keys():
        event[field] = "[removed]"
    return event
