"""Waits for tokens and answers of lenders, counted over decision logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.ctl.decision_log import Decision

MIN_WAIT_SECONDS: Final = 0.005
"""Shorter times from arrival to tokens are not waits: a host takes some milliseconds to
read a request and reserve."""
LOAN_OUTCOMES: Final = ("lent", "had none", "silent")


@dataclass(slots=True)
class TokenWaits:
    """Waits for tokens and answers of lenders, over all logs.

    Attributes
    ----------
    seconds_by_end : dict
        Waits of requests that were answered by a runner, and of those without tokens.
    lenders : Counter of str
        Requests without tokens by what came of asking other hosts.
    loans : Counter of str
        Questions to lenders by answer.
    """

    seconds_by_end: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    lenders: Counter[str] = field(default_factory=Counter)
    loans: Counter[str] = field(default_factory=Counter)

    def as_json(self) -> dict[str, object]:
        """Return the figures that there are, by name."""
        figures: dict[str, object] = {
            "token_waits": {
                end: _quantiles(seconds) for end, seconds in self.seconds_by_end.items()
            },
            "lenders": self.lenders,
            "loans": self.loans,
        }
        return {name: figure for name, figure in figures.items() if figure}

    def lines(self) -> Iterable[str]:
        """Yield the figures that there are as text."""
        for end, seconds in self.seconds_by_end.items():
            cells = (
                f"{name} {value:.3f} s" if name != "requests" else f"{value:.0f}"
                for name, value in _quantiles(seconds).items()
            )
            yield f"waited for tokens, then {end}: {', '.join(cells)}"
        for title, counts in (
            ("without tokens, by lenders", self.lenders),
            ("questions to lenders", self.loans),
        ):
            if counts:
                cells = (f"{name} {number}" for name, number in counts.most_common())
                yield f"{title}: {', '.join(cells)}"


def summarize_waits(decisions: Iterable[Decision]) -> TokenWaits:
    """Return the waits for tokens and the answers of lenders."""
    waits = TokenWaits()
    for decision in decisions:
        inputs = decision.inputs
        if decision.kind == "answered":
            _record(waits, "answered", inputs.get("tokens_after"))
        elif decision.kind == "no_tokens":
            _record(waits, "refused", inputs.get("waited"))
            if "lenders" in inputs:
                waits.lenders[str(inputs["lenders"]).replace("_", " ")] += 1
        elif decision.kind == "loan":
            tokens = inputs.get("tokens")
            outcome = 2 if tokens is None else 0 if tokens else 1
            waits.loans[LOAN_OUTCOMES[outcome]] += 1
    return waits


def _record(waits: TokenWaits, end: str, seconds: float | None) -> None:
    if seconds is not None and seconds >= MIN_WAIT_SECONDS:
        waits.seconds_by_end[end].append(float(seconds))


def _quantiles(seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {
        "requests": len(ordered),
        "median": ordered[last // 2],
        "95%": ordered[int(0.95 * last)],
        "longest": ordered[last],
    }
