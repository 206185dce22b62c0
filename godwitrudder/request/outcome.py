"""Outcomes of a request, which state whether it ran.

Callers rely on three values. ``not_run`` is only returned if no byte went to a runner
and none will; ``ran`` if the runner accepted the request; ``unknown`` if this can't be
determined.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from godwitrudder import error_messages


class Ran(enum.StrEnum):
    """Whether a request ran, as told to the caller."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Stable codes of all outcomes except a completed request."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_KEY = "invalid_api_key"
    UNKNOWN_MODEL = "model_not_found"
    UNKNOWN_PATH = "not_found"
    TOO_LARGE = "request_too_large"
    BUDGET_EXHAUSTED = "insufficient_quota"
    BUDGET_UNREACHABLE = "budget_unreachable"
    LOG_UNREACHABLE = "log_unreachable"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline_exceeded"
    NO_RUNNER = "no_runner"
    QUARANTINED = "prompt_quarantined"
    DRAINING = "draining"
    HOST_OVERLOADED = "host_overloaded"
    CALLER_GONE = "caller_gone"
    RUNNER_FAILED = "runner_failed"
    ALREADY_CLAIMED = "already_claimed"
    KEY_REUSED = "idempotency_key_reused"
    ANSWER_NOT_KEPT = "answer_not_kept"
    BAD_METHOD = "method_not_allowed"
    HEADERS_TOO_LARGE = "headers_too_large"
    TOO_SLOW = "request_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    INTERNAL = "internal_error"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request did not run and never will.

    Attributes
    ----------
    reason : Reason
        Stable code.
    detail : str
        One sentence for the caller.
    retry_after : float or None
        Seconds after which a retry may succeed.
    param : str or None
        Field of the request that is invalid.
    """

    reason: Reason
    detail: str
    retry_after: float | None = None
    ran: Ran = Ran.NOT_RUN
    param: str | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, or may have run, and gave no complete answer."""

    reason: Reason
    detail: str
    ran: Ran
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Completed:
    """The whole answer was delivered.

    Attributes
    ----------
    tokens : int
        Tokens billed for prompt and answer.
    """

    tokens: int
    ran: Ran = Ran.RAN


Outcome = Refused | Failed | Completed


def refuse(
    reason: Reason, retry_after: float | None = None, **fields: object
) -> Refused:
    """Build a refusal with its text from ``error_messages``."""
    text = error_messages.TEXT_BY_REASON[reason].format(**fields)
    return Refused(reason, text, retry_after)


def refuse_field(param: str, problem: str) -> Refused:
    """Build the refusal of an invalid request field."""
    text = error_messages.TEXT_BY_REASON[Reason.BAD_REQUEST].format(problem=problem)
    return Refused(Reason.BAD_REQUEST, text, param=param)


def fail(
    reason: Reason, ran: Ran, retry_after: float | None = None, **fields: object
) -> Failed:
    """Build a failure with its text from ``error_messages``."""
    text = error_messages.TEXT_BY_REASON[reason].format(**fields)
    return Failed(reason, text, ran, retry_after)
