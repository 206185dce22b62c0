"""Explains a request's outcome from the decision logs of several processes.

Decisions are sorted by the hosts' wall clocks.  The clocks may differ by as much as
the platform allows; the decisions of one host keep their order.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from godwitrudder import codec

SLOW_SECONDS: Final = 1.0
"""Above it, an answer counts as slow and a silent store as unreachable."""
# Kinds of the decisions that end a request.
FINAL_KINDS: Final = ("answered", "refused", "failed")

SHORTAGES_IN_WORDS: Final = {
    "spent": "the rest of the budget was too small",
    "not_open": "this host held enough tokens that were not spendable yet",
    "not_granted": "this host had stated enough tokens but might not use them yet",
    "elsewhere": "other hosts held the rest of the budget",
    "unheld": "no host held enough tokens",
}
"""Values of ``shortage`` in lines ``no_tokens``."""
LENDERS_IN_WORDS: Final = {
    "not_asked": "no other host was asked for a loan",
    "none_known": "no other host was known to have enough to lend",
    "silent": "the hosts asked for a loan did not answer in time",
    "had_none": "the hosts asked for a loan had too few tokens",
    "asked_too_many": "as many hosts as allowed were asked for a loan in vain",
    "lent": "a loan came but was too late or not enough",
}
"""Values of ``lenders`` in lines ``no_tokens``."""


@dataclass(frozen=True, slots=True)
class Decision:
    """One line of a decision log.

    Attributes
    ----------
    wall : float
        Wall clock of the host, in seconds since the epoch.
    host : str
        Host that decided.
    kind : str
        What was decided.
    request : str
        Id of the request; empty if the decision concerns none.
    inputs : dict
        All other keys of the line.
    """

    wall: float
    host: str
    kind: str
    request: str
    inputs: dict[str, Any]


@dataclass(slots=True)
class LineCounts:
    """Numbers of lines read, and of lines skipped because they are not decisions."""

    lines: int = 0
    skipped: int = 0


@dataclass(frozen=True, slots=True)
class Explanation:
    """The cause of a request's outcome.

    Attributes
    ----------
    cause : str
        The cause in words.
    decision : Decision or None
        The decision that shows it; None if the logs have none.
    """

    cause: str
    decision: Decision | None


def read_decisions(lines: Iterable[bytes], counts: LineCounts) -> Iterator[Decision]:
    """Yield the decisions among lines; ignore text before the JSON object."""
    for line in lines:
        counts.lines += 1
        start = line.find(b"{")
        decision = _parse_decision(line[start:]) if start >= 0 else None
        if decision is None:
            counts.skipped += 1
        else:
            yield decision


def request_decisions(decisions: Iterable[Decision], request: str) -> list[Decision]:
    """Return a request's decisions in the order of the wall clocks."""
    return sorted(
        (decision for decision in decisions if decision.request == request),
        key=lambda decision: decision.wall,
    )


def find_cause(decisions: list[Decision]) -> Explanation:
    """Return why a request ended as it did, from its sorted decisions."""
    if not decisions:
        return Explanation("no log line names this request", None)
    end = next(
        (decision for decision in reversed(decisions) if decision.kind in FINAL_KINDS),
        None,
    )
    if end is None:
        return Explanation(
            "no final decision: its process stopped, or log lines are missing", None
        )
    if end.kind == "refused":
        return _explain_refused(decisions, end)
    if end.kind == "failed":
        return _explain_failed(decisions, end)
    return _explain_answered(decisions, end)


def at_rate_limits(decision: Decision) -> bool:
    """Whether a request found no runner with room under its rate limit."""
    inputs = decision.inputs
    return (
        decision.kind == "place"
        and inputs.get("permitted") == 0
        and inputs.get("candidates", 0) > 0
    )


def _explain_refused(decisions: list[Decision], end: Decision) -> Explanation:
    shortage = _last(decisions, "no_tokens")
    if shortage is None:
        attempt = _last(decisions, "attempt")
        reason = str(end.inputs.get("reason"))
        if reason == "prompt_quarantined":
            return Explanation("runners ended under a part of its prompt", end)
        place = _last(decisions, "place")
        if place is not None and at_rate_limits(place):
            return Explanation("all its runners were at their rate limits", place)
        return Explanation(f"refused: {reason}", attempt or end)
    return Explanation(_explain_shortage(shortage.inputs), shortage)


def _explain_shortage(inputs: dict[str, Any]) -> str:
    """Return why a request got no tokens, and why other hosts lent none."""
    if inputs.get("exhausted"):
        return "the budget was exhausted"
    cut = float(inputs.get("silent", 0.0)) > SLOW_SECONDS
    reason = SHORTAGES_IN_WORDS.get(str(inputs.get("shortage")))
    if reason is None and cut:
        return "the store was unreachable and this host held too few tokens"
    cause = reason or "other hosts held the rest of the budget"
    if cut:
        cause = f"the store was unreachable and {cause}"
    lenders = LENDERS_IN_WORDS.get(str(inputs.get("lenders")))
    return cause if lenders is None else f"{cause}; {lenders}"


def _explain_failed(decisions: list[Decision], end: Decision) -> Explanation:
    attempt = _last(decisions, "attempt")
    if attempt is None:
        return Explanation(f"failed: {end.inputs.get('reason')}", end)
    runner, reason = attempt.inputs.get("runner"), attempt.inputs.get("reason")
    return Explanation(
        f"runner {runner} did not complete its answer: {reason}", attempt
    )


def _explain_answered(decisions: list[Decision], end: Decision) -> Explanation:
    status = int(end.inputs.get("status", 0))
    slowest = max(
        (decision for decision in decisions if decision.kind == "attempt"),
        key=lambda decision: float(decision.inputs.get("seconds", 0.0)),
        default=None,
    )
    if status >= 400:
        return Explanation(f"the runner answered {status}", slowest or end)
    if slowest is not None and float(end.inputs.get("seconds", 0.0)) > SLOW_SECONDS:
        runner, seconds = slowest.inputs.get("runner"), slowest.inputs.get("seconds")
        return Explanation(f"answered; runner {runner} took {seconds} s", slowest)
    return Explanation("answered", end)


def _last(decisions: list[Decision], kind: str) -> Decision | None:
    return next(
        (decision for decision in reversed(decisions) if decision.kind == kind), None
    )


def _parse_decision(data: bytes) -> Decision | None:
    fields = codec.decode_json(data, dict[str, Any])
    if isinstance(fields, codec.Malformed):
        return None
    try:
        wall, host, kind = fields.pop("wall"), fields.pop("host"), fields.pop("kind")
        request = str(fields.pop("request", ""))
        return Decision(float(wall), str(host), str(kind), request, fields)
    except (KeyError, ValueError, TypeError, OverflowError):
        return None
