"""``causes`` puts each request of the logs into one cause."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.command_tester import CommandTester

from godwitrudder.ctl.causes import Cause, CausesCommand
from godwitrudder.ctl.command import ExitCode

HELD = {"tokens": 900, "granted": 2000, "spent": 1000, "free": 5000, "exhausted": False}
SHORT = {**HELD, "spent": 1900}


def log_line(wall: float, kind: str, **inputs: Any) -> str:
    return json.dumps(
        {"wall": wall, "host": "front-1", "kind": kind, "request": "r-1", **inputs}
    )


def refusal(**shortage: Any) -> list[str]:
    return [log_line(1.0, "no_tokens", **shortage), log_line(1.1, "refused")]


CASES = [
    (refusal(silent=4.0, **HELD), Cause.NOT_OPEN),
    (refusal(silent=4.0, **SHORT), Cause.CUT_ELSEWHERE),
    (refusal(silent=4.0, **{**SHORT, "free": 100}), Cause.CUT_SPENT),
    (refusal(silent=0.1, **SHORT), Cause.ELSEWHERE),
    (refusal(silent=0.1, **{**SHORT, "exhausted": True}), Cause.SPENT),
    (refusal(silent=0.1, **HELD), Cause.HELD_NOT_OPEN),
    (refusal(silent=0.1, shortage="unheld", **SHORT), Cause.UNHELD),
    (refusal(silent=4.0, shortage="unheld", **SHORT), Cause.CUT_UNHELD),
    (refusal(silent=0.1, shortage="not_granted", **SHORT), Cause.NOT_GRANTED),
    (refusal(silent=4.0, shortage="spent", **SHORT), Cause.CUT_SPENT),
    (refusal(silent=4.0, shortage="of a later version", **HELD), Cause.NOT_OPEN),
    ([log_line(1.0, "refused", reason="no_runner", status=503)], Cause.NO_RUNNER),
    ([log_line(1.0, "refused", reason="overloaded", status=503)], Cause.NO_HEADROOM),
    (
        [log_line(1.0, "refused", reason="prompt_quarantined", status=503)],
        Cause.QUARANTINED,
    ),
    (
        [
            log_line(1.0, "place", candidates=3, permitted=0, runner=None),
            log_line(1.0, "refused", reason="no_runner", status=503),
        ],
        Cause.RATE_LIMITED,
    ),
    ([log_line(1.0, "refused", reason="unknown", status=404)], Cause.NOT_ALLOWED),
    ([log_line(1.0, "failed")], Cause.RUNNER_FAILED),
    ([log_line(1.0, "caller_gone")], Cause.CALLER_LEFT),
    ([log_line(1.0, "answered", first_after=0.2, seconds=4.0)], Cause.SERVED),
    ([log_line(1.0, "answered", first_after=1.2, seconds=4.0)], Cause.LATE),
]


@pytest.mark.parametrize(("lines", "cause"), CASES)
def test_a_request_has_one_cause(
    tmp_path: Path, lines: list[str], cause: Cause
) -> None:
    path = tmp_path / "log"
    path.write_text("\n".join(["not a decision", *lines]))
    tester = CommandTester(CausesCommand())
    assert tester.execute(f"{path} --span 10") == ExitCode.DONE
    assert tester.io.fetch_output().splitlines() == [f"0: {cause} 1", f"all: {cause} 1"]


def test_waits_and_lenders_are_counted(tmp_path: Path) -> None:
    """The logs of a hard day did not tell why lenders had lent nothing."""
    lines = refusal(silent=4.0, waited=2.5, lenders="had_none", **SHORT)
    lines += [log_line(2.0, "loan", tokens=tokens) for tokens in (0, 0, None, 5)]
    for seconds in (0.001, 0.2, 0.1):
        lines.append(log_line(2.0, "answered", tokens_after=seconds, seconds=0.3))
    path = tmp_path / "log"
    path.write_text("\n".join(lines))
    tester = CommandTester(CausesCommand())
    assert tester.execute(f"{path}") == ExitCode.DONE
    assert tester.io.fetch_output().splitlines()[2:] == [
        "waited for tokens, then refused: 1, median 2.500 s, 95% 2.500 s, "
        "longest 2.500 s",
        "waited for tokens, then answered: 2, median 0.100 s, 95% 0.100 s, "
        "longest 0.200 s",
        "without tokens, by lenders: had none 1",
        "questions to lenders: had none 2, silent 1, lent 1",
    ]
    assert tester.execute(f"{path} --json") == ExitCode.DONE
    output = json.loads(tester.io.fetch_output())
    assert output["loans"] == {"had none": 2, "silent": 1, "lent": 1}
    assert output["token_waits"]["refused"]["requests"] == 1


@pytest.mark.parametrize(
    "arguments", ["/nowhere", "{path} --span 0", "{path} --late x"]
)
def test_bad_arguments_get_a_clear_error(tmp_path: Path, arguments: str) -> None:
    path = tmp_path / "log"
    path.write_text("")
    tester = CommandTester(CausesCommand())
    assert tester.execute(arguments.format(path=path)) == ExitCode.USAGE
