"""Which prompt parts are blamed for the end of runners, and for how long."""

from __future__ import annotations

from godwitrudder.request.answered_parts import ANSWER_TRUST_SECONDS
from godwitrudder.request.crash_evidence import MAX_CRASHES, Crash
from godwitrudder.request.quarantine import (
    MAX_QUARANTINE_SECONDS,
    QUARANTINE_SECONDS,
    TRIAL_SECONDS,
    Free,
    Quarantine,
    Quarantined,
    Trial,
    TrialPending,
)


def crash(
    quarantine: Quarantine, runner: str, at: float, *parts: str, sent: float = 0.2
) -> set[str]:
    """Record a crash with one request that was sent ``sent`` seconds before it."""
    suspects = quarantine.suspects(parts, at)
    seen = Crash(runner, at, dict.fromkeys(suspects, at - sent))
    return quarantine.record_crash(seen, at)


def blamed_twice(*parts: str) -> Quarantine:
    """Return a quarantine after two crashes with the same parts, at 10 and 11 s."""
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, *parts)
    crash(quarantine, "i-2", 11.0, *parts)
    return quarantine


def test_two_separate_crashes_blame_a_part_that_was_never_answered() -> None:
    quarantine = Quarantine()
    assert not crash(quarantine, "i-1", 10.0, "dead")
    assert crash(quarantine, "i-2", 10.3, "dead") == {"dead"}
    assert isinstance(quarantine.admit(["dead"], 10.4), Quarantined)
    assert quarantine.admit(["other"], 10.4) == Free()


def test_a_first_part_that_sound_requests_share_is_not_blamed() -> None:
    quarantine = Quarantine()
    for second in range(8):
        quarantine.record_answer(["first"], 10.0 + second)
        crash(quarantine, f"i-{second}", 10.5 + second, "first", "dead")
    assert quarantine.blamed() == {"dead"}
    assert quarantine.admit(["first"], 19.0) == Free()


def test_an_answer_clears_the_parts_of_interrupted_requests() -> None:
    """A plain crash interrupts a request; its retry is answered elsewhere."""
    quarantine = Quarantine()
    for second in range(0, 30, 3):
        crash(quarantine, f"i-{second}", 10.0 + second, "own")
        quarantine.record_answer(["own"], 10.4 + second)
        quarantine.record_answer(["other"], 10.4 + second)
        crash(quarantine, f"j-{second}", 11.0 + second, f"once-{second}")
    assert not quarantine.blamed()
    assert quarantine.admit(["own"], 41.0) == Free()


def test_runners_that_end_at_once_are_one_piece_of_evidence() -> None:
    """A failure domain that fails ends several runners that read the same part."""
    quarantine = Quarantine()
    for number in range(4):
        crash(quarantine, f"i-{number}", 10.0 + number / 100, "own")
    assert not quarantine.blamed()


def test_a_retry_that_ends_its_runner_at_once_counts() -> None:
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, "dead")
    assert crash(quarantine, "i-2", 10.05, "dead", sent=0.04) == {"dead"}


def test_reports_of_one_crash_count_once() -> None:
    quarantine = Quarantine()
    for delay in (0.0, 0.3, 2.0, 5.0):
        crash(quarantine, "i-1", 10.0 + delay, "own", sent=0.2 + delay)
    assert not quarantine.blamed()
    crash(quarantine, "i-1", 17.0, "own")
    assert quarantine.blamed() == {"own"}


def test_statements_of_one_crash_count_once_whatever_their_clocks_say() -> None:
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, "own")
    for ahead in (0.5, 1.0, 2.0):
        times = {"own": 9.8 + ahead}
        seen = Crash("i-1", 10.0 + ahead, times, by_own_clock=False)
        assert not quarantine.record_crash(seen, 14.0)


def test_a_runner_that_ends_again_soon_after_its_return_counts_again() -> None:
    """Where few runners serve a target, the same ones end again and again."""
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, "dead")
    crash(quarantine, "i-1", 10.1, "dead", sent=0.3)
    assert crash(quarantine, "i-1", 11.4, "dead", sent=0.5) == {"dead"}


def test_a_part_answered_long_ago_needs_more_evidence() -> None:
    quarantine = Quarantine()
    quarantine.record_answer(["was-sound"], 10.0)
    start = 10.0 + ANSWER_TRUST_SECONDS
    crash(quarantine, "i-0", start - 1.0, "was-sound")
    for number in range(1, 4):
        crash(quarantine, f"i-{number}", start + number, "was-sound")
        assert not quarantine.blamed()
    crash(quarantine, "i-4", start + 4, "was-sound")
    assert quarantine.blamed() == {"was-sound"}


def test_crashes_that_one_part_explains_do_not_blame_another() -> None:
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, "dead")
    crash(quarantine, "i-1", 10.0, "beside")
    crash(quarantine, "i-2", 11.0, "dead")
    crash(quarantine, "i-2", 11.0, "beside")
    assert quarantine.blamed() == {"dead", "beside"}
    crash(quarantine, "i-3", 12.0, "dead")
    assert quarantine.blamed() == {"dead"}


def test_a_request_with_one_of_two_equally_suspect_parts_is_a_trial() -> None:
    quarantine = blamed_twice("second", "dead")
    assert isinstance(quarantine.admit(["second", "dead"], 12.0), Quarantined)
    verdict = quarantine.admit(["second"], 12.0)
    assert verdict == Trial(("second",))
    quarantine.begin_trial(["second"], 12.0)
    assert isinstance(quarantine.admit(["second"], 12.1), Quarantined)
    assert quarantine.record_answer(["second"], 12.4) == ["second"]
    assert quarantine.admit(["second"], 12.5) == Free()
    assert isinstance(quarantine.admit(["second", "dead"], 12.5), Quarantined)


def test_a_trial_that_ends_its_runner_tells_which_part_is_at_fault() -> None:
    quarantine = blamed_twice("second", "dead")
    crash(quarantine, "i-3", 12.0, "dead")
    assert quarantine.blamed() == {"dead"}
    assert isinstance(quarantine.admit(["dead"], 12.1), Quarantined)


def test_a_quarantine_ends_with_one_trial_at_a_time() -> None:
    quarantine = blamed_twice("dead")
    over = 11.0 + QUARANTINE_SECONDS + 0.1
    assert isinstance(quarantine.admit(["dead"], over - 0.2), Quarantined)
    assert quarantine.admit(["dead"], over) == Trial(("dead",))
    quarantine.begin_trial(["dead"], over)
    assert isinstance(quarantine.admit(["dead"], over + 0.1), Quarantined)
    assert quarantine.admit(["dead"], over + TRIAL_SECONDS + 0.1) == Trial(("dead",))
    quarantine.record_answer(["dead"], over + 1.0)
    assert quarantine.admit(["dead"], over + 1.1) == Free()


def test_each_crash_on_trial_doubles_the_quarantine_up_to_a_limit() -> None:
    quarantine = blamed_twice("dead")
    at, seconds = 11.0, QUARANTINE_SECONDS
    for number in range(3, 9):
        at += seconds + 0.1
        crash(quarantine, f"i-{number}", at, "dead")
        seconds = min(MAX_QUARANTINE_SECONDS, 2 * seconds)
        assert isinstance(quarantine.admit(["dead"], at + seconds - 0.1), Quarantined)
        assert quarantine.admit(["dead"], at + seconds + 0.1) == Trial(("dead",))


def test_a_host_with_a_delay_ends_a_quarantine_later() -> None:
    quarantine = blamed_twice("dead")
    quarantine.delay_share = 1.0
    over = 11.0 + QUARANTINE_SECONDS + 0.1
    assert isinstance(quarantine.admit(["dead"], over), Quarantined)


def test_a_suspect_part_waits_for_the_open_trial() -> None:
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, "dead")
    assert quarantine.admit(["dead"], 10.1) == Trial(("dead",))
    quarantine.begin_trial(["dead"], 10.1)
    assert quarantine.admit(["dead"], 10.2) == TrialPending()
    quarantine.end_trial(["dead"])
    assert quarantine.admit(["dead"], 10.2) == Trial(("dead",))


def test_a_late_report_of_a_crash_before_an_answer_is_no_evidence() -> None:
    quarantine = Quarantine()
    crash(quarantine, "i-1", 10.0, "own")
    quarantine.record_answer(["own"], 11.0)
    seen = Crash("i-2", 10.5, {"own": 10.3})
    assert not quarantine.record_crash(seen, 12.0)
    assert quarantine.admit(["own"], 12.0) == Free()


def test_only_own_crashes_are_stated_and_memory_is_bounded() -> None:
    quarantine = Quarantine()
    for number in range(3 * MAX_CRASHES):
        own = number % 2 == 0
        seen = Crash(f"i-{number}", 10.0 + number, {f"p-{number}": 10.0}, own)
        quarantine.record_crash(seen, 10.0 + number)
    assert 0 < len(quarantine.own_crashes()) <= MAX_CRASHES
    assert all(each.own for each in quarantine.own_crashes())


def test_a_part_is_suspect_once_two_runners_ended_since_its_answer() -> None:
    quarantine = Quarantine()
    quarantine.record_answer(["was-sound"], 10.0)
    quarantine.count_crash("i-1", ["was-sound"], 11.0)
    quarantine.count_crash("i-1", ["was-sound"], 11.1)
    assert not quarantine.suspects(["was-sound"], 11.2)
    quarantine.count_crash("i-2", ["was-sound"], 12.0)
    assert quarantine.suspects(["was-sound"], 12.1) == ("was-sound",)
    quarantine.record_answer(["was-sound"], 12.2)
    assert not quarantine.suspects(["was-sound"], 12.3)
