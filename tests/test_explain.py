"""The cause of a failed request, from log lines alone."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.command_tester import CommandTester

from godwitrudder.ctl.command import Exit
from godwitrudder.ctl.explain import ExplainCommand


def line(wall: float, kind: str, **inputs: Any) -> str:
    return json.dumps(
        {"wall": wall, "host": "front-1", "kind": kind, "request": "r-1", **inputs}
    )


PLACED = line(1.0, "place", runner="i-1")
SHORT = {"workspace": "w", "tokens": 900, "free": 5000, "exhausted": False}
CASES = [
    (
        [line(1.0, "no_tokens", silent=4.0, **SHORT), line(1.1, "refused")],
        "the store was out of reach and this host held too little",
    ),
    (
        [line(1.0, "no_tokens", silent=0.2, **SHORT), line(1.1, "refused")],
        "other hosts held the rest of the budget",
    ),
    (
        [
            line(1.0, "no_tokens", **{**SHORT, "silent": 0.1, "exhausted": True}),
            line(1.1, "refused"),
        ],
        "the budget was exhausted",
    ),
    (
        [
            PLACED,
            line(1.2, "attempt", runner="i-1", reason="reset", seconds=0.2),
            line(1.3, "failed", reason="runner_failed"),
        ],
        "runner i-1 did not answer whole: reset",
    ),
    (
        [
            PLACED,
            line(5.0, "attempt", runner="i-1", seconds=4.0),
            line(5.1, "answered", status=200, seconds=4.1),
        ],
        "answered; runner i-1 took 4.0 s",
    ),
    ([PLACED], "it has no end: its process stopped, or lines are missing"),
]


@pytest.mark.parametrize(("lines", "cause"), CASES)
def test_the_cause_is_named(tmp_path: Path, lines: list[str], cause: str) -> None:
    log = tmp_path / "log"
    noise = ["not a line", '{"cut', " 12.1 front-1 " + line(0.5, "place", runner="i-0")]
    log.write_text("\n".join([*reversed(lines), *noise]))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"r-1 {log} --json") == Exit.DONE
    told = json.loads(tester.io.fetch_output())
    assert told["cause"] == cause
    assert (told["read"], told["foreign"]) == (len(lines) + 3, 2)
    walls = [each["wall"] for each in told["lines"]]
    assert walls == sorted(walls)


def test_a_request_or_file_that_is_not_there_is_said_so(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text(PLACED)
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"r-2 {log}") == Exit.UNKNOWN
    assert tester.execute(f"r-1 {tmp_path / 'none'}") == Exit.USAGE
    assert "none" in tester.io.fetch_error()
