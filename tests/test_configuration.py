"""The configuration fold: checks, racing edits, gaps, catch-up and no reverts."""

from __future__ import annotations

from typing import Any

import pytest

from godwitrudder import codec
from godwitrudder.version import catchup
from godwitrudder.version.catchup import CatchUp
from godwitrudder.version.config_fold import (
    MAX_VERDICTS,
    Accepted,
    ConfigFold,
    Rejected,
    Result,
)
from godwitrudder.version.config_records import Change, Drain, Edit
from godwitrudder.version.document import DrainKey

HASH = "a" * 64
TEXTS = {
    "budgets": '{"b": {"paid_tokens": 10}}',
    "workspaces": '{"w": {"keys": [{"sha256": "%s", "budget": "b"}],'
    ' "targets": ["t"]}}' % HASH,
    "targets": '{"t": {"kind": "engine"}}  // kept',
    "turns": '{"t": {"weights_by_workspace": {"w": 2}}}',
}

# section, text, start of the problem that the fold must report
CASES = [
    ("budgets", "{", "budgets: (whole file): expected commented JSON"),
    ("budgets", "{}", "workspaces: w.keys[0].budget: expected a budget"),
    ("budgets", '{"b": {"paid_tokens": -1}}', "budgets: b.paid_tokens: expected"),
    (
        "budgets",
        '{"b": {"paid_tokens": 1, "endurance": 1.5}}',
        "budgets: b.endurance: expected a number from 0 to 1",
    ),
    ("budgets", '{"b": {"paid": 1}}', "budgets: b.paid: expected a known key"),
    ("budgets", '{"b": {}}', "budgets: b.paid_tokens: expected this key"),
    ("budgets", '{"b": {"paid_tokens": "1"}}', "budgets: b.paid_tokens: expected `int"),
    ("budgets", "[]", "budgets: (whole file): expected an object"),
    (
        "workspaces",
        TEXTS["workspaces"].replace(HASH, HASH.upper()),
        "workspaces: w.keys[0].sha",
    ),
    ("workspaces", TEXTS["workspaces"].replace('"t"', '"x"'), "workspaces: w.targets"),
    (
        "workspaces",
        TEXTS["workspaces"][:-1] + ", " + TEXTS["workspaces"][1:].replace("w", "v", 1),
        "workspaces: v.keys[0].sha256: expected a key of its own",
    ),
    ("targets", "{}", "workspaces: w.targets[0]: expected a target"),
    ("targets", '{"t": {"kind": "engine", "slots_per_runner": 0}}', "targets: t.slots"),
    (
        "targets",
        '{"t": {"kind": "service", "calls":'
        ' [{"method": "GET", "path": "/", "cost_tokens": -1}]}}',
        "targets: t.calls[0].cost_tokens: expected",
    ),
    ("turns", '{"x": {}}', "turns: x: expected a target"),
    ("turns", '{"t": {"weights_by_workspace": {"w": 0}}}', "turns: t.weights_by_"),
    ("turns", '{"t": {"weights_by_workspace": {"x": 1}}}', "turns: t.weights_by_"),
    ("turns", '{"t": {"deadline_seconds": 0}}', "turns: t.deadline_seconds: expected"),
    ("turns", '{"t": {"deadline_seconds": NaN}}', "turns: t.deadline_seconds: "),
]


def edit(op: str, made_on: int, **texts: str) -> bytes:
    """Return an edit of the named sections."""
    changes = tuple(Change(name, made_on, text) for name, text in texts.items())
    return codec.encode(Edit(op, "admin", changes))


def initial_fold() -> ConfigFold:
    """Return a fold with all sections at version 0."""
    fold = ConfigFold()
    fold.apply(0, 0.0, edit("first", -1, **TEXTS))
    assert fold.document.version == 0
    return fold


def problem(results: list[Result]) -> str:
    """Return the problem text of a single rejected record."""
    (result,) = results
    assert isinstance(result, Rejected)
    return str(result.problem)


@pytest.mark.parametrize(("section", "text", "expected"), CASES)
def test_a_bad_section_is_named(section: str, text: str, expected: str) -> None:
    """The problem names section, key path and expected value; the edit is rejected."""
    fold = initial_fold()
    results = fold.apply(1, 1.0, edit("bad", 0, **{section: text}))
    assert problem(results).startswith(expected)
    assert fold.document.version == 0


def test_racing_edits_have_one_winner_and_a_reported_conflict() -> None:
    """The first edit in the log wins; the problem of the other names both versions."""
    fold = initial_fold()
    (won,) = fold.apply(1, 1.0, edit("a", 0, budgets='{"b": {"paid_tokens": 11}}'))
    lost = fold.apply(2, 1.0, edit("b", 0, budgets='{"b": {"paid_tokens": 12}}'))
    assert isinstance(won, Accepted)
    assert "made on version 0, version 1 stands" in problem(lost)
    assert fold.document.budgets_by_id["b"].paid_tokens == 11


def test_a_repeated_operation_is_not_judged_again() -> None:
    """An edit rejected for a missing target stays rejected once the target exists."""
    fold = initial_fold()
    late = edit("late", 0, turns='{"u": {}}')
    assert "expected a target" in problem(fold.apply(1, 1.0, late))
    both = '{"t": {"kind": "engine"}, "u": {"kind": "engine"}}'
    fold.apply(2, 2.0, edit("targets", 0, targets=both))
    assert fold.apply(3, 3.0, late) == []
    assert "u" not in fold.document.turns_by_target


def test_memory_of_operations_is_bounded() -> None:
    """The oldest verdicts are dropped, and long problem texts are truncated."""
    fold = initial_fold()
    long_name = '{"%s": {}}' % ("x" * 100_000)
    for offset in range(1, 2 * MAX_VERDICTS):
        fold.apply(offset, 1.0, edit(f"op-{offset}", -7, turns="{}"))
    fold.apply(fold.next_offset, 1.0, edit("long", 0, turns=long_name))
    assert len(fold.verdicts_by_op) == MAX_VERDICTS
    assert len(fold.verdicts_by_op["long"].problem) <= 500


def test_a_text_too_long_for_a_record_is_void() -> None:
    """The bound counts bytes, not characters, like the bound of a frame."""
    text = "{} // " + "é" * 500_000
    assert "bytes" in problem(initial_fold().apply(1, 1.0, edit("a", 0, turns=text)))


def test_a_reader_after_retention_reaches_the_same_state() -> None:
    """A new reader that misses the oldest records continues from a snapshot.

    The snapshot has records between and after its parts.
    """
    fold = initial_fold()
    drain = Drain("d", "admin", DrainKey("target", "t"), True)
    log = [edit("a", 0, turns="{}"), codec.encode(drain)]
    for data in log:
        fold.apply(fold.next_offset, 1.0, data)
    log += [codec.encode(part) for part in fold.snapshot()]
    log.insert(3, edit("between", 1, turns='{"t": {}}'))
    log.append(edit("after", 0, budgets='{"b": {"paid_tokens": 9}}'))
    late = ConfigFold()
    for offset, data in enumerate(log[1:], start=2):
        late.apply(offset, 1.0, data)
    for offset, data in enumerate(log[2:], start=3):
        fold.apply(offset, 1.0, data)
    assert not late.awaits_snapshot and late.next_offset == fold.next_offset
    assert late.digest() == fold.digest() and fold.diverged_snapshots == 0
    assert late.document.drained("target", "t")
    assert list(late.verdicts_by_op) == list(fold.verdicts_by_op)


def test_nothing_goes_back() -> None:
    """Old records and an old snapshot have no effect."""
    fold = initial_fold()
    old = fold.snapshot()
    fold.apply(1, 1.0, edit("a", 0, targets='{"t": {"kind": "service"}}'))
    assert fold.restore(old) == []
    assert fold.apply(0, 9.0, edit("x", -1, **TEXTS)) == []
    assert fold.document.targets_by_id["t"].kind == "service"


@pytest.mark.parametrize("kept", [True, False])
def test_a_daemon_cut_off_from_the_log_catches_up_from_a_peer(kept: bool) -> None:
    """It gets records if the peer still has them, a snapshot otherwise."""
    peer = initial_fold()
    peer.apply(1, 1.0, edit("a", 0, turns="{}"))
    if not kept:
        other = ConfigFold()
        other.restore(peer.snapshot())
        peer = other
    fold = ConfigFold()
    catch_up = CatchUp(fold)
    results = catch_up.apply_answer(catchup.answer(peer, catch_up.ask()))
    assert results and fold.digest() == peer.digest()
    assert catch_up.apply_answer(catchup.answer(peer, catch_up.ask())) == []


def test_a_snapshot_of_many_frames_arrives() -> None:
    """Parts that don't fit in one frame are sent in several answers."""
    source = initial_fold()
    for offset, (name, text) in enumerate(TEXTS.items(), start=1):
        padded = text + "\n//" + "x" * 700_000
        source.apply(offset, 1.0, edit(name, 0, **{name: padded}))
    peer, fold = ConfigFold(), ConfigFold()
    peer.restore(source.snapshot())
    catch_up = CatchUp(fold)
    answers: list[Any] = []
    while not answers or catch_up.is_behind(answers[-1]):
        answers.append(catchup.answer(peer, catch_up.ask()))
        catch_up.apply_answer(answers[-1])
        assert len(codec.encode(answers[-1])) < 1_000_000
    assert len(answers) > 1 and fold.digest() == peer.digest()


def test_a_failed_edit_of_two_sections_changes_neither() -> None:
    """An edit with one bad section changes no section."""
    fold = initial_fold()
    texts = {"budgets": '{"b": {"paid_tokens": 5}}', "turns": '{"x": {}}'}
    fold.apply(1, 1.0, edit("a", 0, **texts))
    assert fold.document.budgets_by_id["b"].paid_tokens == 10
    assert fold.document.version_by_section == dict.fromkeys(TEXTS, 0)
