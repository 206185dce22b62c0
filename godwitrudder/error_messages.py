"""Texts of the errors that callers receive, by reason."""

from __future__ import annotations

from typing import Final

TEXT_BY_REASON: Final[dict[str, str]] = {
    "bad_request": "The request is malformed: {problem}.",
    "invalid_api_key": "The API key is not known.",
    "model_not_found": "The model {model!r} does not exist or is not allowed.",
    "not_found": "There is no resource at {path!r}.",
    "request_too_large": "The {part} exceeds the limit of {limit} {unit}.",
    "insufficient_quota": (
        "The prepaid budget {budget!r} cannot cover {needed} tokens;"
        " {left} are left."
    ),
    "budget_unreachable": "No grant on budget {budget!r} could be drawn in time.",
    "log_unreachable": "The request needs the log, which is unreachable.",
    "overloaded": "The target {target!r} has too much queued work.",
    "deadline_exceeded": "The request was not started before its deadline.",
    "no_runner": "The target {target!r} has no usable runner.",
    "prompt_quarantined": (
        "Runners ended under a part of this prompt; it is not sent for now."
    ),
    "draining": "This process is shutting down.",
    "host_overloaded": "This host has too much work; another one may serve you.",
    "caller_gone": "The caller closed the connection.",
    "runner_failed": "The runner did not finish: {problem}.",
    "already_claimed": (
        "The request {request!r} was claimed by another process;"
        " its outcome is unknown here."
    ),
    "idempotency_key_reused": (
        "The idempotency key was used before with another request."
    ),
    "answer_not_kept": (
        "The request was answered before and its answer is no longer kept."
    ),
    "method_not_allowed": "{path!r} allows only {allowed}.",
    "headers_too_large": "The headers exceed the limit of {limit} bytes.",
    "request_timeout": "The request was not received within {seconds} seconds.",
    "too_many_connections": "This process has too many open connections.",
    "internal_error": "An internal error ended the request.",
}
