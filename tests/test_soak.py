"""The fault soak: what it checks, and a short seeded run of it."""

from __future__ import annotations

import pytest

from soak.run import Plan, soak
from soak.truth import Asked, Got, Truth

PLAIN = Asked("r-1", "w", "unsafe", 0, 0)
STREAM = Asked("r-2", "w", "stream", 10, 2)
WHOLE = b"id: 1\ndata: r-2\n\nid: 2\ndata: r-2\n\n"


def truth() -> Truth:
    return Truth({"w": 100}, {asked.id: asked for asked in (PLAIN, STREAM)})


def got(status: int, body: bytes = b"", whole: bool = True) -> Got:
    return Got(status, body, whole, "front-0", True)


def test_what_fits_is_no_finding() -> None:
    seen = truth()
    seen.ran("r-1")
    seen.got(PLAIN, got(200, b"r-1"))
    seen.ran("r-2")
    seen.got(STREAM, got(200, WHOLE))
    assert not seen.findings
    assert seen.delivered_by_workspace["w"] == 14


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
    runs: int, asked: Asked, answer: Got, finding: str
) -> None:
    seen = truth()
    for _ in range(runs):
        seen.ran(asked.id)
    seen.got(asked, answer)
    assert any(finding in line for line in seen.findings)


def test_a_run_after_a_refusal_and_a_token_too_many_are_findings() -> None:
    seen = truth()
    seen.got(PLAIN, got(503))
    seen.ran("r-1")
    seen.prepaid_by_workspace["w"] = 9
    seen.ran("r-2")
    seen.ran("r-3")
    assert [line.split(": ")[1] for line in seen.findings] == [
        "ran after it was refused",
        "10 tokens spent, more than paid",
        "ran though nobody asked",
    ]


def test_a_short_soak_finds_nothing() -> None:
    report = soak(Plan(seed=7, seconds=3.0, hosts=3, callers=12))
    assert report.statuses[200]
    assert not report.findings
