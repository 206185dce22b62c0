"""Translation of the headers of callers and runners.

A caller's headers are parsed into ``CallerHeaders``.  The headers of the request to a
runner are built from the caller's; the load and keep-alive headers of its response are
parsed.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Final

from godwitrudder.codec import MAX_SECONDS
from godwitrudder.connection.messages import (
    HOP_BY_HOP,
    CallerRequest,
    Headers,
    ResponseHead,
)
from godwitrudder.platform import names
from godwitrudder.request.outcome import Reason
from godwitrudder.request.placing.candidate import Part

# Statuses of an entry process; the daemon uses ``OPENAI_STATUS_BY_REASON``.
PLATFORM_STATUS_BY_REASON: Final = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_KEY: 401,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.UNKNOWN_PATH: 404,
    Reason.TOO_SLOW: 408,
    Reason.TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.INTERNAL: 500,
    Reason.RUNNER_FAILED: 502,
    Reason.BUDGET_UNREACHABLE: 503,
    Reason.LOG_UNREACHABLE: 503,
    Reason.NO_RUNNER: 503,
    Reason.QUARANTINED: 503,
    Reason.OVERLOADED: 503,
    Reason.DRAINING: 503,
    Reason.HOST_OVERLOADED: 503,
    Reason.DEADLINE: 504,
}
# A whole number below 2**53.
_WHOLE: Final = re.compile(rb"-?[0-9]{1,15}")
MIN_RATE_LIMIT: Final = 1e-6
"""Requests per second; a runner that names less accepts none."""
MAX_RATE_LIMIT: Final = 1e9
"""Requests per second, above what any runner accepts."""
BEARER_PREFIX: Final = b"bearer "
LEAST_URGENT_RANK: Final = 9
"""Least urgent rank that the platform's protocol allows in a request to a runner."""


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """Parsed headers of a caller's request.

    Attributes
    ----------
    deadline_seconds : float or None
        Time that the caller waits for the answer.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and limit of the answer's; 0 for a plain service.
    parts : tuple of Part
        Parts of the prompt, in order.
    after_event : int or None
        Id of the last event that the caller received.
    """

    request: bytes
    host: str
    path: str
    key: str
    deadline_seconds: float | None
    prompt_tokens: int
    output_tokens: int
    parts: tuple[Part, ...]
    after_event: int | None


@dataclass(frozen=True, slots=True)
class Load:
    """Load that a runner reports.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that it works on, that wait there, and that it can work on at a time.
        ``slots`` is 0 if it does not say.
    work_percent : float or None
        How long work takes on its machine now, 100 as usual; None if it does not say.
    """

    running: int
    waiting: int
    slots: int = 0
    work_percent: float | None = None


def request_id(request: CallerRequest) -> str:
    """Return a request's id for logs, empty if it has none."""
    return request.header(names.REQUEST_ID).decode("latin-1")


def parse_caller_headers(request: CallerRequest) -> CallerHeaders | str:
    """Parse a caller's headers; return a text that describes the problem if invalid."""
    values: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in values and name in (b"host", names.REQUEST_ID, names.TOKENS):
            return f"duplicate header {name.decode()}"
        values.setdefault(name, value)
    if not values.get(names.REQUEST_ID):
        return f"{names.REQUEST_ID.decode()} is missing"
    try:
        deadline = values.get(names.DEADLINE_MS)
        tokens = _parse_tokens(values.get(names.TOKENS, b""))
        after = values.get(names.LAST_EVENT_ID)
        return CallerHeaders(
            values[names.REQUEST_ID],
            values.get(b"host", b"").decode("latin-1").lower().partition(":")[0],
            request.path.decode("latin-1").partition("?")[0],
            _parse_key(values.get(b"authorization", b"")),
            None if deadline is None else _parse_milliseconds(deadline) / 1000,
            tokens[0],
            tokens[1],
            _parse_parts(values.get(names.PREFIX, b"")),
            None if not after else _parse_whole(after),
        )
    except ValueError as error:
        return str(error)


def runner_headers(
    request: CallerRequest,
    runner: str,
    workspace: str | None,
    rank: int,
    left_seconds: float,
    after_event: int | None,
) -> Headers:
    """Return the headers of the request to a runner.

    Parameters
    ----------
    runner : str
        Id that the runner must have to accept the request.
    workspace : str or None
        Workspace of the caller, None if it has none.
    rank : int
        Rank of the request, limited to 0 to ``LEAST_URGENT_RANK``.
    left_seconds : float
        Time until the deadline.
    after_event : int or None
        Id of the event after which the stream resumes.
    """
    dropped = set(HOP_BY_HOP) | names.RESERVED_HEADERS | {names.LAST_EVENT_ID}
    for token in request.header(b"connection").lower().split(b","):
        dropped.add(token.strip())
    dropped -= {b"host", names.REQUEST_ID}
    headers = [pair for pair in request.headers if pair[0] not in dropped]
    headers.append((names.DEADLINE_MS, str(max(1, int(left_seconds * 1000))).encode()))
    headers.append((names.EXPECT_INSTANCE, runner.encode()))
    headers.append((names.PRIORITY, str(min(LEAST_URGENT_RANK, max(0, rank))).encode()))
    if workspace is not None:
        headers.append((names.TENANT, workspace.encode()))
    if after_event is not None:
        headers.append((names.LAST_EVENT_ID, str(after_event).encode()))
    if request.body or request.chunked or request.header(b"content-length"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def not_executed(head: ResponseHead) -> bool:
    """Return whether a runner states that it did not run the request."""
    return is_other_instance(head) or bool(head.header(names.NOT_EXECUTED))


def names_request(head: ResponseHead) -> bool:
    """Return whether a runner names the request that it answers."""
    return bool(head.header(names.REQUEST_ID))


def is_other_instance(head: ResponseHead) -> bool:
    """Return whether another instance answered than the one the request names."""
    return head.status == 421


def instance(head: ResponseHead) -> str:
    """Return the id that a runner gives in its response, empty if it gives none."""
    return head.header(names.INSTANCE).decode("latin-1")


def has_signature(head: ResponseHead) -> bool:
    """Return whether a response has a runner's signature header."""
    return bool(head.header(names.SIGNATURE))


def load(head: ResponseHead) -> Load | str | None:
    """Return the load that a runner reports, None if it reports none.

    An invalid value is returned as text, for the log.
    """
    value = head.header(names.SERVER_LOAD)
    if not value:
        return None
    try:
        running, waiting, *more = value.split(b",")
        slots = max(0, _parse_whole(more[0])) if more else 0
        percent = _parse_percent(more[1]) if len(more) > 1 else None
        return Load(_parse_whole(running), _parse_whole(waiting), slots, percent)
    except ValueError:
        return value.decode("latin-1")


def is_leaving(head: ResponseHead) -> bool:
    """Return whether a runner says that it leaves."""
    return head.header(names.SERVER_LEAVING).strip() == b"1"


def backoff_seconds(head: ResponseHead) -> float | None:
    """Return how long a runner that turns a request away wants no other one.

    None if it names no time, or a value that is no number of seconds.
    """
    try:
        seconds = float(head.header(names.RETRY_AFTER))
    except ValueError:
        return None
    if head.status != 503 or not 0 < seconds < math.inf:
        return None
    return min(seconds, MAX_SECONDS)


def rate_limit(head: ResponseHead) -> float | str | None:
    """Return the requests per second that a runner accepts from all hosts together.

    None if it names no limit.  An invalid value is returned as text, for the log.
    """
    value = head.header(names.SERVER_LIMIT)
    if not value:
        return None
    try:
        limit = float(value)
    except ValueError:
        return value.decode("latin-1")
    if not 0 <= limit < math.inf:
        return value.decode("latin-1")
    return min(limit, MAX_RATE_LIMIT) if limit >= MIN_RATE_LIMIT else 0.0


def cold_seconds(head: ResponseHead) -> float | str | None:
    """Return for how long a runner says that it stays cold.

    Returns
    -------
    float, str or None
        The seconds, the value itself if it is no time, None without the header.
    """
    value = head.header(names.COLD_MS)
    if not value:
        return None
    try:
        return max(0.0, _parse_milliseconds(value) / 1000)
    except ValueError:
        return value.decode("latin-1")


def idle_seconds(head: ResponseHead) -> float | None:
    """Return how long a runner keeps idle connections, None if it does not say."""
    for field in head.header(b"keep-alive").split(b","):
        name, _, value = field.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return min(float(value), MAX_SECONDS)
    return None


def retry_after(seconds: float) -> Headers:
    """Return the header that tells a caller when to retry."""
    return [(names.RETRY_AFTER, f"{seconds:.3f}".encode())]


def _parse_key(value: bytes) -> str:
    if value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return ""
    return value[len(BEARER_PREFIX) :].strip().decode("latin-1")


def _parse_tokens(value: bytes) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.partition(b",")
    counts = _parse_whole(prompt), _parse_whole(output or b"0")
    if min(counts) < 0:
        raise ValueError("a token count is negative")
    return counts


def _parse_parts(value: bytes) -> tuple[Part, ...]:
    if not value:
        return ()
    pairs = (entry.strip().partition(b":") for entry in value.split(b","))
    return tuple(
        Part(name.decode("latin-1"), _parse_whole(size)) for name, _, size in pairs
    )


def _parse_whole(value: bytes) -> int:
    """Parse a whole number; raise ValueError if it is none or too large to use."""
    digits = value.strip()
    if not _WHOLE.fullmatch(digits):
        raise ValueError(f"expected a whole number, not {digits[:40]!r}")
    return int(digits)


def _parse_percent(value: bytes) -> float:
    """Parse how long work takes; raise ValueError if it is no positive number."""
    percent = float(value)
    if not 0 < percent < math.inf:
        raise ValueError(f"expected a percentage, not {value[:40]!r}")
    return percent


def _parse_milliseconds(value: bytes) -> float:
    """Parse a time; raise ValueError if it is none or longer than timers accept."""
    milliseconds = float(value)
    if not abs(milliseconds) <= MAX_SECONDS * 1000:
        raise ValueError(f"expected milliseconds, not {value[:40]!r}")
    return milliseconds
