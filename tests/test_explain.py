"""``explain`` names the cause of a request's outcome from log lines alone."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.command_tester import CommandTester

from godwitrudder.ctl.command import ExitCode
from godwitrudder.ctl.explain import ExplainCommand


def log_line(wall: float, kind: str, **inputs: Any) -> str:
    return json.dumps(
        {"wall": wall, "host": "front-1", "kind": kind, "request": "r-1", **inputs}
    )


PLACED = log_line(1.0, "place", runner="i-1")
SHORTAGE = {"workspace": "w", "tokens": 900, "free": 5000, "exhausted": False}
CASES = [
    (
        [log_line(1.0, "no_tokens", silent=4.0, **SHORTAGE), log_line(1.1, "refused")],
        "the store was unreachable and this host held too few tokens",
    ),
    (
        [log_line(1.0, "no_tokens", silent=0.2, **SHORTAGE), log_line(1.1, "refused")],
        "other hosts held the rest of the budget",
    ),
    (
        [
            log_line(
                1.0, "no_tokens", **{**SHORTAGE, "silent": 0.1, "exhausted": True}
            ),
            log_line(1.1, "refused"),
        ],
        "the budget was exhausted",
    ),
    (
        [
            log_line(
                1.0,
                "no_tokens",
                **{**SHORTAGE, "silent": 4.0},
                shortage="elsewhere",
                lenders="silent",
            ),
            log_line(1.1, "refused"),
        ],
        "the store was unreachable and other hosts held the rest of the budget; "
        "the hosts asked for a loan did not answer in time",
    ),
    (
        [
            PLACED,
            log_line(1.2, "attempt", runner="i-1", reason="reset", seconds=0.2),
            log_line(1.3, "failed", reason="runner_failed"),
        ],
        "runner i-1 did not complete its answer: reset",
    ),
    (
        [
            PLACED,
            log_line(5.0, "attempt", runner="i-1", seconds=4.0),
            log_line(5.1, "answered", status=200, seconds=4.1),
        ],
        "answered; runner i-1 took 4.0 s",
    ),
    (
        [log_line(1.0, "refused", reason="prompt_quarantined")],
        "runners ended under a part of its prompt",
    ),
    (
        [
            log_line(1.0, "place", candidates=2, permitted=0, runner=None),
            log_line(1.1, "refused", reason="no_runner"),
        ],
        "all its runners were at their rate limits",
    ),
    ([PLACED], "no final decision: its process stopped, or log lines are missing"),
]


@pytest.mark.parametrize(("lines", "cause"), CASES)
def test_the_cause_is_named(tmp_path: Path, lines: list[str], cause: str) -> None:
    log = tmp_path / "log"
    noise = [
        "not a line",
        '{"cut',
        " 12.1 front-1 " + log_line(0.5, "place", runner="i-0"),
    ]
    log.write_text("\n".join([*reversed(lines), *noise]))
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"r-1 {log} --json") == ExitCode.DONE
    output = json.loads(tester.io.fetch_output())
    assert output["cause"] == cause
    assert (output["read"], output["foreign"]) == (len(lines) + 3, 2)
    walls = [each["wall"] for each in output["lines"]]
    assert walls == sorted(walls)


def test_a_missing_request_or_file_is_reported(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text(PLACED)
    tester = CommandTester(ExplainCommand())
    assert tester.execute(f"r-2 {log}") == ExitCode.UNKNOWN
    assert tester.execute(f"r-1 {tmp_path / 'none'}") == ExitCode.USAGE
    assert "none" in tester.io.fetch_error()
