"""A workspace fills the link of one host while the links of the others are idle."""

from __future__ import annotations

from godwitrudder.request.intake import Intake

READINGS_PER_SECOND = 20


def test_a_full_link_asks_for_no_new_callers_within_a_second() -> None:
    intake = Intake(part=0.5)
    changes = [intake.read(0.98) for _ in range(READINGS_PER_SECOND)]
    assert changes.count(True) == 1
    assert not intake.open


def test_one_large_prompt_changes_nothing() -> None:
    intake = Intake(part=0.5)
    assert not intake.read(1.0)
    assert not intake.read(1.0)
    assert intake.open


def test_callers_come_again_once_there_is_room() -> None:
    intake = Intake(part=0.9, open=False)
    for _ in range(4 * READINGS_PER_SECOND):
        intake.read(0.7)
    assert not intake.open
    for _ in range(READINGS_PER_SECOND):
        intake.read(0.3)
    assert intake.open
