"""Tests of the fault soak: the checks of its oracle, and a short seeded run."""

from __future__ import annotations

import pytest

from soak.oracle import Oracle, ReceivedResponse, SentRequest
from soak.run import Plan, run_soak

PLAIN = SentRequest("r-1", "w", "unsafe", 0, 0)
STREAM = SentRequest("r-2", "w", "stream", 10, 2)
WHOLE = b"id: 1\ndata: r-2\n\nid: 2\ndata: r-2\n\n"


def new_oracle() -> Oracle:
    return Oracle({"w": 100}, {request.id: request for request in (PLAIN, STREAM)})


def response(status: int, body: bytes = b"", complete: bool = True) -> ReceivedResponse:
    return ReceivedResponse(status, body, complete, "front-0", True)


def test_consistent_runs_and_responses_are_no_violation() -> None:
    oracle = new_oracle()
    oracle.record_run("r-1")
    oracle.check_response(PLAIN, response(200, b"r-1"))
    oracle.record_run("r-2")
    oracle.check_response(STREAM, response(200, WHOLE))
    assert not oracle.violations
    assert oracle.spent_by_workspace["w"] == 14


@pytest.mark.parametrize(
    ("runs", "sent", "received", "violation"),
    [
        (2, PLAIN, response(200, b"r-1"), "ran more than once"),
        (1, PLAIN, response(503), "though it ran"),
        (1, PLAIN, response(200, b"r-9"), "got b'r-9'"),
        (1, STREAM, response(200, WHOLE[:17]), "1 of 2 events"),
        (1, STREAM, response(200, WHOLE[17:]), "out of order"),
        (1, PLAIN, response(0, complete=False), "cut by the graceful stop"),
    ],
)
def test_each_broken_invariant_is_a_violation(
    runs: int, sent: SentRequest, received: ReceivedResponse, violation: str
) -> None:
    oracle = new_oracle()
    for _ in range(runs):
        oracle.record_run(sent.id)
    oracle.check_response(sent, received)
    assert any(violation in line for line in oracle.violations)


def test_a_run_after_a_refusal_and_overspending_are_violations() -> None:
    oracle = new_oracle()
    oracle.check_response(PLAIN, response(503))
    oracle.record_run("r-1")
    oracle.prepaid_by_workspace["w"] = 9
    oracle.record_run("r-2")
    oracle.record_run("r-3")
    assert [line.split(": ")[1] for line in oracle.violations] == [
        "ran after it was refused",
        "10 tokens spent, more than prepaid",
        "ran, but no caller sent it",
    ]


def test_a_short_soak_finds_nothing() -> None:
    report = run_soak(Plan(seed=7, fault_seconds=3.0, hosts=3, callers=12))
    assert report.statuses[200]
    assert not report.violations
