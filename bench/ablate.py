"""Ablation: copies of the tree in which one mechanism is switched off.

``python -m bench.ablate list`` names the mechanisms, and ``python -m bench.ablate NAME
DIR`` rewrites the sources under DIR, a copy of this tree. No daemon runs this.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final


@dataclass(frozen=True, slots=True)
class Edit:
    """A text that stands once in a source file, and what replaces it."""

    path: str
    old: str
    new: str


HOLDING: Final = "godwitrudder/request/holding.py"
LENDING: Final = "godwitrudder/request/lending.py"
CANDIDATE: Final = "godwitrudder/request/placing/candidate.py"
PLACEMENT: Final = "godwitrudder/request/placing/placement.py"
SENDER: Final = "godwitrudder/process/forwarding/sender.py"

EDITS_BY_MECHANISM: Final[dict[str, tuple[Edit, ...]]] = {
    "loans-on-demand": (
        Edit(
            "godwitrudder/process/lending.py",
            "MAX_LENDERS_ASKED: Final = 6",
            "MAX_LENDERS_ASKED: Final = 0",
        ),
    ),
    "loans-ahead": (
        Edit(
            LENDING,
            "BORROW_AHEAD_SECONDS: Final = 1.5",
            "BORROW_AHEAD_SECONDS: Final = 0.0",
        ),
    ),
    "opening-at-a-rate": (
        Edit(
            HOLDING,
            "cap = min(limit, self.spent + math.ceil(open_now))",
            "cap = limit",
        ),
    ),
    "waiting-for-what-opens": (
        Edit(
            HOLDING,
            "        if self.stated is None or tokens > self.granted - self.spent:\n",
            "        if tokens >= 0:\n",
        ),
    ),
    "contended-share": (
        Edit(HOLDING, "CONTENDED_SHARE: Final = 0.3", "CONTENDED_SHARE: Final = 1.0"),
    ),
    "largest-kept": (
        Edit(
            HOLDING,
            "return int(max(bound, min(equal, self.demand.largest_recent(now))))",
            "return int(bound) if equal >= 0 else 0",
        ),
    ),
    "largest-open": (
        Edit(HOLDING, "large = float(self.demand.largest)", "large = 0.0"),
    ),
    "new-callers-share": (
        Edit(
            HOLDING, "NEW_CALLERS_SHARE: Final = 0.1", "NEW_CALLERS_SHARE: Final = 0.0"
        ),
    ),
    "surplus-factor": (
        Edit(HOLDING, "SURPLUS_FACTOR: Final = 1.15", "SURPLUS_FACTOR: Final = 1.0"),
    ),
    "restored-means": (
        Edit(
            "godwitrudder/request/host_holdings.py", "if row.demand:", "if row is None:"
        ),
    ),
    "prefix": (
        Edit(
            PLACEMENT,
            "cached = float(candidate.cached(parts))",
            "cached = 0.0 * candidate.cached(parts)",
        ),
    ),
    "home": (Edit(PLACEMENT, "if is_home and parts:", "if is_home and not parts:"),),
    "distance": (Edit(PLACEMENT, "== home else domain_tokens,", "== home else 0.0,"),),
    "uneven-runners": (Edit(PLACEMENT, "uneven = any(", "uneven = False and any("),),
    "unread-losses": (
        Edit(
            "godwitrudder/request/backpressure.py",
            "return is_slow(blocked_seconds) and",
            "return False and",
        ),
    ),
    "connections": (
        Edit(PLACEMENT, "CONNECT_TOKENS: Final = 750.0", "CONNECT_TOKENS: Final = 0.0"),
    ),
    "failures": (
        Edit(
            PLACEMENT, "FAILURE_TOKENS: Final = 60_000.0", "FAILURE_TOKENS: Final = 0.0"
        ),
    ),
    "others-reports": (
        Edit(
            CANDIDATE,
            "self.others = max(0.0, running + waiting - self.in_flight)",
            "self.others = 0.0 * running",
        ),
    ),
    "ejection": (
        Edit(
            CANDIDATE,
            "self.ejected_until = now + seconds",
            "self.ejections += seconds < 0",
        ),
    ),
    "replaced": (
        Edit(
            SENDER,
            "                candidate.replaced = True\n",
            "                candidate.replaced = False\n",
        ),
    ),
    "unlisted": (
        Edit(
            PLACEMENT,
            "return 2 * len(listed) <= len(usable)",
            "return len(listed) <= len(usable)",
        ),
    ),
    "retry-delay": (
        Edit(
            "godwitrudder/request/retry_delay.py",
            "if OTHER_HOST_SECONDS < until_over <= longest:",
            "if until_over > longest > OUTAGE_SECONDS:",
        ),
    ),
    "resume": (
        Edit(
            "godwitrudder/version/catalogue.py",
            "return self.kind is RouteKind.SAFE or self.resumable",
            "return self.kind is RouteKind.SAFE",
        ),
    ),
    "deadline-by-pause": (
        Edit(
            SENDER,
            "NEXT_EVENT_TIMEOUT_FACTOR: Final = 3.0",
            "NEXT_EVENT_TIMEOUT_FACTOR: Final = 1000.0",
        ),
    ),
    "first-byte-timeout": (
        Edit(
            SENDER,
            "FIRST_BYTE_TIMEOUT_FACTOR: Final = 2.0",
            "FIRST_BYTE_TIMEOUT_FACTOR: Final = 1000.0",
        ),
    ),
    "intake": (
        Edit(
            "godwitrudder/process/entry.py",
            "self.intake.open and not self._processor_full",
            "not self._processor_full",
        ),
    ),
}
"""What each mechanism's ablation replaces. The retry window is not among them: without
it the bound on retries that all hosts share would be broken."""


def switch_off(mechanism: str, tree: Path) -> None:
    """Rewrite the sources under ``tree`` so that the mechanism does nothing.

    Raises
    ------
    KeyError
        The mechanism is not known.
    ValueError
        A text to replace does not stand exactly once in its file.
    """
    for edit in EDITS_BY_MECHANISM[mechanism]:
        path = tree / edit.path
        source = path.read_text()
        if source.count(edit.old) != 1:
            raise ValueError(f"{edit.path}: {edit.old!r} does not stand there once")
        path.write_text(source.replace(edit.old, edit.new))


def main() -> int:
    """Run the command."""
    if sys.argv[1:] == ["list"]:
        print("\n".join(EDITS_BY_MECHANISM))
        return 0
    if len(sys.argv) != 3 or sys.argv[1] not in EDITS_BY_MECHANISM:
        print(__doc__, file=sys.stderr)
        return 2
    switch_off(sys.argv[1], Path(sys.argv[2]))
    return 0


if __name__ == "__main__":
    sys.exit(main())
