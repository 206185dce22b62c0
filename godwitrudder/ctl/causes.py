"""``causes``: how all requests in a set of log files ended, by cause and time."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import StrEnum
from itertools import chain
from pathlib import Path
from typing import Any, ClassVar, Final

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from godwitrudder.ctl.client import OperatorClient
from godwitrudder.ctl.command import BaseCommand, ExitCode
from godwitrudder.ctl.decision_log import (
    FINAL_KINDS,
    SLOW_SECONDS,
    Decision,
    LineCounts,
    at_rate_limits,
    read_decisions,
)
from godwitrudder.ctl.settings import CtlSettings
from godwitrudder.ctl.token_waits import TokenWaits, summarize_waits

DEFAULT_SPAN_SECONDS: Final = 10.0


class Cause(StrEnum):
    """How a request ended, and why."""

    SERVED = "served"
    LATE = "served late"
    NOT_ALLOWED = "not allowed"
    SPENT = "budget spent"
    ELSEWHERE = "tokens elsewhere"
    UNHELD = "tokens held by no host"
    HELD_NOT_OPEN = "held, not open"
    NOT_GRANTED = "stated, not granted"
    NOT_OPEN = "cut: held, not open"
    CUT_NOT_GRANTED = "cut: stated, not granted"
    CUT_UNHELD = "cut: tokens held by no host"
    CUT_ELSEWHERE = "cut: tokens elsewhere"
    CUT_SPENT = "cut: budget spent"
    NO_RUNNER = "no runner"
    NO_HEADROOM = "no headroom"
    RATE_LIMITED = "runners at their rate limits"
    QUARANTINED = "prompt quarantined"
    OTHER_REFUSAL = "refused otherwise"
    RUNNER_FAILED = "runner failed"
    CALLER_LEFT = "caller left"


CAUSE_BY_REASON: Final = {
    "no_runner": Cause.NO_RUNNER,
    "overloaded": Cause.NO_HEADROOM,
    "prompt_quarantined": Cause.QUARANTINED,
}

CAUSES_BY_SHORTAGE: Final = {
    "spent": (Cause.ELSEWHERE, Cause.CUT_SPENT),
    "not_open": (Cause.HELD_NOT_OPEN, Cause.NOT_OPEN),
    "not_granted": (Cause.NOT_GRANTED, Cause.CUT_NOT_GRANTED),
    "elsewhere": (Cause.ELSEWHERE, Cause.CUT_ELSEWHERE),
    "unheld": (Cause.UNHELD, Cause.CUT_UNHELD),
}
"""Causes by the shortage that a host logs, while the store answers and in a cut.  A
budget that is too small by stale knowledge counts as held elsewhere."""


def request_causes(
    decisions: Iterable[Decision], late_seconds: float
) -> Iterator[tuple[float, Cause]]:
    """Yield the time and the cause of each request that ended.

    Parameters
    ----------
    decisions : iterable of Decision
        In the order of each host's log.
    late_seconds : float
        Time to the first event above which an answer counts as late.
    """
    shortages: dict[str, Decision] = {}
    limited: set[str] = set()
    for decision in decisions:
        if decision.kind == "no_tokens":
            shortages[decision.request] = decision
        elif at_rate_limits(decision):
            limited.add(decision.request)
        elif decision.kind == "caller_gone":
            yield decision.wall, Cause.CALLER_LEFT
        elif decision.kind in FINAL_KINDS:
            shortage = shortages.pop(decision.request, None)
            cause = _cause(decision, shortage, late_seconds)
            if cause is Cause.NO_RUNNER and decision.request in limited:
                cause = Cause.RATE_LIMITED
            limited.discard(decision.request)
            yield decision.wall, cause


def _cause(end: Decision, shortage: Decision | None, late_seconds: float) -> Cause:
    if end.kind == "failed":
        return Cause.RUNNER_FAILED
    if end.kind == "answered":
        first = end.inputs.get("first_after") or end.inputs.get("seconds") or 0.0
        return Cause.LATE if float(first) > late_seconds else Cause.SERVED
    if shortage is not None:
        return _shortage_cause(shortage)
    if int(end.inputs.get("status", 503)) in (400, 401, 403, 404):
        return Cause.NOT_ALLOWED
    return CAUSE_BY_REASON.get(str(end.inputs.get("reason")), Cause.OTHER_REFUSAL)


def _shortage_cause(shortage: Decision) -> Cause:
    inputs = shortage.inputs
    if inputs.get("exhausted"):
        return Cause.SPENT
    cut = float(inputs.get("silent", 0.0)) > SLOW_SECONDS
    known = CAUSES_BY_SHORTAGE.get(str(inputs.get("shortage")))
    if known is not None:
        return known[cut]
    return _cause_without_shortage(inputs, cut)


def _cause_without_shortage(inputs: dict[str, Any], cut: bool) -> Cause:
    """Return the cause by the figures of a log that does not name the shortage."""
    asked = int(inputs.get("tokens", 0))
    if int(inputs.get("granted", 0)) - int(inputs.get("spent", 0)) >= asked:
        return Cause.NOT_OPEN if cut else Cause.HELD_NOT_OPEN
    if not cut:
        return Cause.ELSEWHERE
    if int(inputs.get("free", 0)) >= asked:
        return Cause.CUT_ELSEWHERE
    return Cause.CUT_SPENT


def count_by_span(
    causes: Iterable[tuple[float, Cause]], span_seconds: float
) -> dict[float, Counter[Cause]]:
    """Count the causes in spans of time; a key is the first second of its span."""
    counts_by_start: defaultdict[float, Counter[Cause]] = defaultdict(Counter)
    for wall, cause in causes:
        counts_by_start[wall // span_seconds * span_seconds][cause] += 1
    return dict(sorted(counts_by_start.items()))


class CausesCommand(BaseCommand):
    """Count how the requests in log files ended, by cause and span of time."""

    name = "causes"
    description = "Count how requests ended, by cause and span of time."
    arguments: ClassVar[list[Argument]] = [
        argument("logs", "Log files of entry processes.", multiple=True)
    ]
    own_options: ClassVar[list[Option]] = [
        option(
            "span", None, "Seconds in a row.", flag=False, default=DEFAULT_SPAN_SECONDS
        ),
        option(
            "late", None, "Seconds to a late answer.", flag=False, default=SLOW_SECONDS
        ),
    ]

    def handle(self) -> int:
        """Read the files; the command needs no settings and no fleet."""
        try:
            span, late = float(self.option("span")), float(self.option("late"))
        except ValueError:
            self.print_error("--span and --late take seconds")
            return ExitCode.USAGE
        if span <= 0:
            self.print_error("--span takes seconds above 0")
            return ExitCode.USAGE
        counts = LineCounts()
        try:
            lines = list(chain.from_iterable(map(_read_lines, self.argument("logs"))))
        except OSError as error:
            self.print_error(f"{error.filename}: {error.strerror}")
            return ExitCode.USAGE
        decisions = list(read_decisions(lines, counts))
        by_start = count_by_span(request_causes(decisions, late), span)
        self._print(by_start, summarize_waits(decisions))
        return ExitCode.DONE if by_start else ExitCode.UNKNOWN

    def run_command(self, settings: CtlSettings, client: OperatorClient) -> ExitCode:
        """Not used: the command reads files only."""
        raise AssertionError("causes reads log files only")

    def _print(self, by_start: dict[float, Counter[Cause]], waits: TokenWaits) -> None:
        if self.json_output:
            rows: dict[str, object] = {
                str(start): row for start, row in by_start.items()
            }
            self.print_json(rows | waits.as_json())
            return
        total = sum(by_start.values(), Counter[Cause]())
        for start, row in [*by_start.items(), (None, total)]:
            label = "all" if start is None else f"{start:.0f}"
            cells = (f"{cause} {number}" for cause, number in row.most_common())
            self.print_text(f"{label}: {', '.join(cells)}")
        for line in waits.lines():
            self.print_text(line)


def _read_lines(name: str) -> Iterator[bytes]:
    with Path(name).open("rb") as file:
        yield from file


COMMANDS: Final = (CausesCommand,)
