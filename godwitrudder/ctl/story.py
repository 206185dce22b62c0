"""A request's story, from the decision logs of several processes.

Lines are sorted by the hosts' wall clocks, which differ by what the platform lets
them; within a host they keep their order.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgspec

LATE_SECONDS: Final = 1.0
"""An answer that took longer has its slowest step named."""
ENDS: Final = ("answered", "refused", "failed")


@dataclass(frozen=True, slots=True)
class Line:
    """One decision: when, where, what, with its inputs."""

    wall: float
    host: str
    kind: str
    request: str
    inputs: dict[str, Any]


@dataclass(slots=True)
class Count:
    """What was read: lines, and those that are no decisions."""

    lines: int = 0
    foreign: int = 0


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision that a request's end goes back to."""

    cause: str
    line: Line | None


def read(lines: Iterable[bytes], count: Count) -> Iterator[Line]:
    """Yield the decisions among lines; text before the JSON object is passed over."""
    for raw in lines:
        count.lines += 1
        start = raw.find(b"{")
        line = _line(raw[start:]) if start >= 0 else None
        if line is None:
            count.foreign += 1
        else:
            yield line


def story(lines: Iterable[Line], request: str) -> list[Line]:
    """Return a request's decisions in order."""
    return sorted(
        (line for line in lines if line.request == request),
        key=lambda line: line.wall,
    )


def judge(lines: list[Line]) -> Verdict:
    """Return the decision that decided a request's end."""
    if not lines:
        return Verdict("no line names this request", None)
    end = next((line for line in reversed(lines) if line.kind in ENDS), None)
    if end is None:
        return Verdict("it has no end: its process stopped, or lines are missing", None)
    if end.kind == "refused":
        return _refused(lines, end)
    if end.kind == "failed":
        return _failed(lines, end)
    return _answered(lines, end)


def _refused(lines: list[Line], end: Line) -> Verdict:
    short = _last(lines, "no_tokens")
    if short is None:
        attempt = _last(lines, "attempt")
        reason = str(end.inputs.get("reason"))
        return Verdict(f"refused: {reason}", attempt or end)
    inputs = short.inputs
    if inputs.get("exhausted"):
        cause = "the budget was exhausted"
    elif float(inputs.get("silent", 0.0)) > LATE_SECONDS:
        cause = "the store was out of reach and this host held too little"
    else:
        cause = "other hosts held the rest of the budget"
    return Verdict(cause, short)


def _failed(lines: list[Line], end: Line) -> Verdict:
    attempt = _last(lines, "attempt")
    if attempt is None:
        return Verdict(f"failed: {end.inputs.get('reason')}", end)
    runner, reason = attempt.inputs.get("runner"), attempt.inputs.get("reason")
    return Verdict(f"runner {runner} did not answer whole: {reason}", attempt)


def _answered(lines: list[Line], end: Line) -> Verdict:
    status = int(end.inputs.get("status", 0))
    slow = max(
        (line for line in lines if line.kind == "attempt"),
        key=lambda line: float(line.inputs.get("seconds", 0.0)),
        default=None,
    )
    if status >= 400:
        return Verdict(f"the runner answered {status}", slow or end)
    if slow is not None and float(end.inputs.get("seconds", 0.0)) > LATE_SECONDS:
        runner, seconds = slow.inputs.get("runner"), slow.inputs.get("seconds")
        return Verdict(f"answered; runner {runner} took {seconds} s", slow)
    return Verdict("answered", end)


def _last(lines: list[Line], kind: str) -> Line | None:
    return next((line for line in reversed(lines) if line.kind == kind), None)


def _line(data: bytes) -> Line | None:
    try:
        plain = msgspec.json.decode(data, type=dict[str, Any])
        wall, host, kind = plain.pop("wall"), plain.pop("host"), plain.pop("kind")
        request = str(plain.pop("request", ""))
        return Line(float(wall), str(host), str(kind), request, plain)
    except (msgspec.MsgspecError, KeyError, ValueError, TypeError):
        return None
