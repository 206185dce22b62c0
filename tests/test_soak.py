"""The fault soak: what it checks, and a short seeded run of it."""

from __future__ import annotations

import pytest

from soak.run import Plan, run_soak
from soak.truth import Oracle, ReceivedResponse, SentRequest

PLAIN = SentRequest("r-1", "w", "unsafe", 0, 0)
STREAM = SentRequest("r-2", "w", "stream", 10, 2)
WHOLE = b"id: 1\ndata: r-2\n\nid: 2\ndata: r-2\n\n"


def truth() -> Oracle:
    return Oracle({"w": 100}, {asked.id: asked for asked in (PLAIN, STREAM)})


def got(status: int, body: bytes = b"", whole: bool = True) -> ReceivedResponse:
    return ReceivedResponse(status, body, whole, "front-0", True)


def test_what_fits_is_no_finding() -> None:
    seen = truth()
    seen.record_run("r-1")
    seen.check_response(PLAIN, got(200, b"r-1"))
    seen.record_run("r-2")
    seen.check_response(STREAM, got(200, WHOLE))
    assert not seen.violations
    assert seen.spent_by_workspace["w"] == 14


@pytest.mark.parametrize(
    ("runs", "asked", "answer", "finding"),
    [
        (2, PLAIN, got(200, b"r-1"), "ran twice"),
        (1, PLAIN, got(503), "though it ran"),
        (1, PLAIN, got(200, b"r-9"), "got b'r-9'"),
        (1, STREAM, got(200, WHOLE[:17]), "1 of 2 events"),
        (1, STREAM, got(200, WHOLE[17:]), "out of order"),
        (1, PLAIN, got(0, whole=False), "cut by the graceful stop"),
    ],
)
def test_each_broken_promise_is_a_finding(
    runs: int, asked: SentRequest, answer: ReceivedResponse, finding: str
) -> None:
    seen = truth()
    for _ in range(runs):
        seen.record_run(asked.id)
    seen.check_response(asked, answer)
    assert any(finding in line for line in seen.violations)


def test_a_run_after_a_refusal_and_a_token_too_many_are_findings() -> None:
    seen = truth()
    seen.check_response(PLAIN, got(503))
    seen.record_run("r-1")
    seen.prepaid_by_workspace["w"] = 9
    seen.record_run("r-2")
    seen.record_run("r-3")
    assert [line.split(": ")[1] for line in seen.violations] == [
        "ran after it was refused",
        "10 tokens spent, more than paid",
        "ran though nobody asked",
    ]


def test_a_short_soak_finds_nothing() -> None:
    report = run_soak(Plan(seed=7, seconds=3.0, hosts=3, callers=12))
    assert report.statuses[200]
    assert not report.violations
