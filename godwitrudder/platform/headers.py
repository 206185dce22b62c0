"""Headers of consumers and runners, translated once.

What a consumer sends becomes an ``Ask``; what a runner gets is built from it;
what a runner answers becomes a ``Reply``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from godwitrudder.connection.http import (
    HOP_BY_HOP,
    CallerRequest,
    Headers,
    ResponseHead,
)
from godwitrudder.platform import names
from godwitrudder.request.outcome import Reason
from godwitrudder.request.placement import Part

STATUS_BY_REASON: Final = {
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
    Reason.OVERLOADED: 503,
    Reason.DRAINING: 503,
    Reason.DEADLINE: 504,
}
BEARER: Final = b"bearer "
URGENT_MOST: Final = 9
"""Least urgent rank that a runner takes (the users' protocol)."""


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """What a caller's headers say.

    Attributes
    ----------
    deadline_seconds : float or None
        How long the caller will wait.
    prompt_tokens, output_tokens : int
        Prompt, and answer at its most; 0 for a plain service.
    parts : tuple of Part
        The prompt's parts in order.
    after_event : int or None
        Last event that the caller has.
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
    """A runner's load as it says."""

    running: int
    waiting: int


def request_id(request: CallerRequest) -> str:
    """Return a request's id for logs, empty where there is none."""
    return request.header(names.REQUEST_ID).decode("latin-1")


def parse_caller_headers(request: CallerRequest) -> CallerHeaders | str:
    """Read a caller's headers; what is wrong with them is returned as text."""
    values: dict[bytes, bytes] = {}
    for name, value in request.headers:
        if name in values and name in (b"host", names.REQUEST_ID, names.TOKENS):
            return f"{name.decode()} is given twice"
        values.setdefault(name, value)
    if not values.get(names.REQUEST_ID):
        return f"{names.REQUEST_ID.decode()} is missing"
    try:
        deadline = values.get(names.DEADLINE_MS)
        tokens = _tokens(values.get(names.TOKENS, b""))
        after = values.get(names.LAST_EVENT_ID)
        return CallerHeaders(
            values[names.REQUEST_ID],
            values.get(b"host", b"").decode("latin-1").lower().partition(":")[0],
            request.path.decode("latin-1").partition("?")[0],
            _key(values.get(b"authorization", b"")),
            None if deadline is None else float(deadline) / 1000,
            tokens[0],
            tokens[1],
            _parts(values.get(names.PREFIX, b"")),
            None if not after else int(after),
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
    """Return the headers that a runner gets."""
    dropped = set(HOP_BY_HOP) | names.SET_BY_SYSTEM | {names.LAST_EVENT_ID}
    for token in request.header(b"connection").lower().split(b","):
        dropped.add(token.strip())
    dropped -= {b"host", names.REQUEST_ID}
    headers = [pair for pair in request.headers if pair[0] not in dropped]
    headers.append((names.DEADLINE_MS, str(max(1, int(left_seconds * 1000))).encode()))
    headers.append((names.EXPECT_INSTANCE, runner.encode()))
    headers.append((names.PRIORITY, str(min(URGENT_MOST, max(0, rank))).encode()))
    if workspace is not None:
        headers.append((names.TENANT, workspace.encode()))
    if after_event is not None:
        headers.append((names.LAST_EVENT_ID, str(after_event).encode()))
    if request.body or request.chunked or request.header(b"content-length"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    return headers


def not_executed(head: ResponseHead) -> bool:
    """Whether a runner says that it did not run the request."""
    return head.status == 421 or bool(head.header(names.NOT_EXECUTED))


def has_signature(head: ResponseHead) -> bool:
    """Whether an answer bears a runner's proof."""
    return bool(head.header(names.SIGNATURE))


def load(head: ResponseHead) -> Load | str | None:
    """Return the load that a runner tells, None where it tells none.

    What can't be read is returned as text.
    """
    value = head.header(names.SERVER_LOAD)
    if not value:
        return None
    try:
        running, waiting, *_ = value.split(b",")
        return Load(int(running), int(waiting))
    except ValueError:
        return value.decode("latin-1")


def idle_seconds(head: ResponseHead) -> float | None:
    """Return how long a runner keeps an idle connection, if it tells."""
    for field in head.header(b"keep-alive").split(b","):
        name, _, value = field.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return float(value)
    return None


def retry_after(seconds: float) -> Headers:
    """Return the header that tells a caller when to come back."""
    return [(b"retry-after", f"{seconds:.3f}".encode())]


def _key(value: bytes) -> str:
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip().decode("latin-1")


def _tokens(value: bytes) -> tuple[int, int]:
    if not value:
        return 0, 0
    prompt, _, output = value.partition(b",")
    counts = int(prompt), int(output or b"0")
    if min(counts) < 0:
        raise ValueError("a count of tokens is negative")
    return counts


def _parts(value: bytes) -> tuple[Part, ...]:
    if not value:
        return ()
    pairs = (entry.strip().partition(b":") for entry in value.split(b","))
    return tuple(Part(name.decode("latin-1"), int(size)) for name, _, size in pairs)
