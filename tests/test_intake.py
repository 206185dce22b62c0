"""A workspace fills the link of one host while the links of the others are idle."""

from __future__ import annotations

from godwitrudder.request.intake import Intake

READINGS_PER_SECOND = 20


def seconds(number: int, after: float = 0.0) -> list[float]:
    """Return the times of the readings of some seconds."""
    return [
        after + reading / READINGS_PER_SECOND
        for reading in range(number * READINGS_PER_SECOND)
    ]


def test_a_full_link_asks_for_no_new_callers_within_a_second() -> None:
    intake = Intake(part=0.5)
    changes = [intake.read(0.98, at) for at in seconds(1)]
    assert changes.count(True) == 1
    assert not intake.open


def test_one_large_prompt_changes_nothing() -> None:
    intake = Intake(part=0.5)
    assert not intake.read(1.0, 0.0)
    assert not intake.read(1.0, 0.05)
    assert intake.open


def test_callers_come_again_once_there_is_room() -> None:
    intake = Intake(part=0.9, open=False)
    for at in seconds(4):
        intake.read(0.7, at)
    assert not intake.open
    for at in seconds(1, after=4.0):
        intake.read(0.3, at)
    assert intake.open


def test_a_host_that_fills_again_at_once_stays_closed_for_longer() -> None:
    """Callers that fill a link of 5 Mbit/s came back every 2 to 3 s, all day."""
    intake = Intake()
    closed = 0
    for at in seconds(30):
        intake.read(1.0 if intake.open else 0.1, at)
        closed += not intake.open
    assert closed > 0.85 * 30 * READINGS_PER_SECOND
    for at in seconds(20, after=30.0):
        intake.read(0.1, at)
    assert intake.open
    for at in seconds(1, after=50.0):
        intake.read(1.0, at)
    for at in seconds(3, after=51.0):
        intake.read(0.1, at)
    assert intake.open
