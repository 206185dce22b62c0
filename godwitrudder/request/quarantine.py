"""Quarantine of prompt parts that end the runners that answer them.

A *query of death* ends every runner that begins to answer it.  When a runner ends,
several requests are in flight there, and a prompt has several parts, most of them
shared with sound prompts.  So the parts that were not being answered are only suspects.
A part is blamed when enough separate crashes have it in common and no sound answer
came in between.  Crashes that the most suspicious part explains are not held against
others.

Requests with a blamed part are held back until the quarantine ends.  Then one request
is let through on trial: a sound answer clears the part, a crash doubles the quarantine.
While two parts are equally suspect, a request that has only one of them is a trial too,
since its outcome tells which is at fault.

Callers choose the parts of their prompts, so the evidence is bounded: parts that appear
in the fewest crashes are forgotten first.  A part in a single crash is never blamed, so
only parts with several crashes are compared.

Times are Unix seconds, as hosts exchange them and as they survive a restart.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace
from typing import Final

NEW_PART_CRASHES: Final = 2
"""Crashes that blame a part that was never answered."""
ANSWERED_PART_CRASHES: Final = 4
"""Crashes that blame a part that was answered before, but not for a while."""
ANSWER_TRUST_SECONDS: Final = 10.0
"""Time after a sound answer in which its parts are no suspects."""
MAX_TRUSTED_CRASHES: Final = 1
"""Runners that may crash under such a part since its answer before it is a suspect."""
SAME_CRASH_SECONDS: Final = 6.0
"""Time within which reports of one runner are of one crash, unless a prompt was sent
there in between."""
COMMON_CAUSE_SECONDS: Final = 0.1
"""Crashes of several runners within this time count as one: a failure domain that fails
ends all its runners at once."""
QUARANTINE_SECONDS: Final = 60.0
"""First quarantine of a part; each further crash doubles it."""
MAX_QUARANTINE_SECONDS: Final = 480.0
CRASH_MEMORY_SECONDS: Final = 2 * MAX_QUARANTINE_SECONDS
"""Time after the last crash under a part at which all of them are forgotten."""
MAX_CRASHES: Final = 64
"""Crashes kept; the oldest are forgotten first."""
MAX_SUSPECT_PARTS: Final = 16_384
"""Parts kept, counted once for each of their crashes."""
KEPT_PART_SHARE: Final = 0.875
"""Share of ``MAX_SUSPECT_PARTS`` that is left once there are more."""
MAX_ANSWERED_PARTS: Final = 20_000
PART_BYTES: Final = 12
"""Size of a part in a statement, beside its name: a time and two lengths."""
CRASH_BYTES: Final = 24
"""Size of a crash in a statement, beside its runner and its parts."""
TRIAL_SECONDS: Final = 3.0
"""Time after which a trial without an outcome no longer holds others back."""
TRIAL_RETRY_SECONDS: Final = 0.3
"""Delay before a request is tried again that is held back by another one's trial."""


@dataclass(slots=True)
class Crash:
    """The end of a runner.

    Attributes
    ----------
    at : float
        Unix seconds of the first report.
    sent_at_by_part : dict
        Parts of the prompts that the runner had not begun to answer, each with the
        Unix seconds at which the last such prompt was sent.
    own : bool
        Whether this host, or a former process on its machine, has seen it.
    by_own_clock : bool
        Whether the times were taken on this host.
    number : int
        Identifies the crash among those that are remembered.
    own_parts : set of str
        Parts of prompts that this host had sent there.
    """

    runner: str
    at: float
    sent_at_by_part: dict[str, float]
    own: bool = False
    by_own_clock: bool = True
    number: int = 0
    own_parts: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Blame:
    """A part that is held back.

    Attributes
    ----------
    crashes : frozenset of int
        Numbers of the crashes that the part explains.
    until : float
        Unix seconds at which the quarantine ends.
    """

    crashes: frozenset[int]
    until: float


@dataclass(frozen=True, slots=True)
class Free:
    """No part of the request is suspect."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The request may be sent; its outcome is evidence about ``parts``."""

    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TrialPending:
    """Another request's trial, which is still open, will tell."""


@dataclass(frozen=True, slots=True)
class Quarantined:
    """The request is held back.

    Attributes
    ----------
    seconds : float
        Time until a request with these parts may be let through.
    """

    seconds: float


Verdict = Free | Trial | TrialPending | Quarantined


@dataclass(slots=True)
class Quarantine:
    """Suspect and blamed prompt parts, as one host knows them.

    Parameters
    ----------
    delay_share : float
        Share, 0 to 1, of the longest delay by which this host ends a quarantine later
        than others, so that the hosts don't try a part at the same moment.
    """

    delay_share: float = 0.0
    _crashes: list[Crash] = field(default_factory=list)
    _crashes_by_part: dict[str, list[Crash]] = field(default_factory=dict)
    _repeated_parts: dict[str, None] = field(default_factory=dict)
    _parts: int = 0
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _forget_at: float = math.inf
    _answered_at: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _crashed_runners_by_part: dict[str, dict[str, float]] = field(default_factory=dict)
    _trial_until_by_part: dict[str, float] = field(default_factory=dict)
    _blame_by_part: dict[str, Blame] = field(default_factory=dict)
    _parts_by_crashes: dict[frozenset[int], set[str]] = field(default_factory=dict)

    def suspects(self, parts: Collection[str], now: float) -> tuple[str, ...]:
        """Return the parts that may have ended a runner that did not answer them."""
        since = now - ANSWER_TRUST_SECONDS
        return tuple(
            part
            for part in parts
            if self._answered_at.get(part, -math.inf) < since
            or len(self._crashed_runners_by_part.get(part, ())) > MAX_TRUSTED_CRASHES
        )

    def count_crash(self, runner: str, parts: Iterable[str], at: float) -> None:
        """Count a runner's crash against the trust in parts that were answered."""
        for part in parts:
            if self._answered_at.get(part, math.inf) < at:
                self._crashed_runners_by_part.setdefault(part, {})[runner] = at

    def answered_at(self, part: str) -> float | None:
        """Return the Unix seconds of the last sound answer on a part, if any."""
        return self._answered_at.get(part)

    def blamed(self) -> set[str]:
        """Return the parts that are held back."""
        return set(self._blame_by_part)

    def own_crashes(self) -> list[Crash]:
        """Return the crashes that this host has seen and that are not explained away.

        Other hosts need them if no report reached them.
        """
        return [crash for crash in self._crashes if crash.own]

    def own_evidence(self, max_bytes: int) -> list[Crash]:
        """Return own crashes, with those own parts that appear in most crashes.

        Parameters
        ----------
        max_bytes : int
            Limit of the size that they have in a statement.
        """
        own = self.own_crashes()
        by_weight = sorted(
            (
                (self._weight(part), crash, part)
                for crash in own
                for part in crash.own_parts
            ),
            key=lambda entry: (entry[0], entry[2]),
            reverse=True,
        )
        chosen: dict[int, Crash] = {}
        left = max_bytes
        for _, crash, part in by_weight:
            left -= len(part.encode()) + PART_BYTES
            if crash.number not in chosen:
                left -= len(crash.runner.encode()) + CRASH_BYTES
            if left < 0:
                break
            kept = chosen.setdefault(crash.number, replace(crash, sent_at_by_part={}))
            kept.sent_at_by_part[part] = crash.sent_at_by_part[part]
        return [chosen[crash.number] for crash in own if crash.number in chosen]

    def _weight(self, part: str) -> tuple[int, float]:
        """Return how suspicious a part is: its crashes, then the time of the last."""
        crashes = self._crashes_by_part[part]
        return len(crashes), crashes[-1].at

    def record_crash(self, seen: Crash, now: float) -> set[str]:
        """Record that a runner ended; return the parts that are newly blamed."""
        at = min(seen.at, now)
        self.count_crash(seen.runner, seen.sent_at_by_part, at)
        unanswered = {
            part: min(sent_at, at)
            for part, sent_at in seen.sent_at_by_part.items()
            if self._answered_at.get(part, -math.inf) < at
        }
        if not unanswered:
            return set()
        crash = self._find_crash(seen, at, min(unanswered.values()))
        if crash is None:
            crash = Crash(
                seen.runner,
                at,
                {},
                by_own_clock=seen.by_own_clock,
                number=next(self._numbers),
            )
            self._crashes.append(crash)
            self._crashes.sort(key=lambda crash: crash.at)
            self._forget_at = min(self._forget_at, at + CRASH_MEMORY_SECONDS)
        crash.own = crash.own or seen.own
        for part, sent_at in unanswered.items():
            self._add_part(crash, part, sent_at)
            self._trial_until_by_part.pop(part, None)
        if seen.own:
            crash.own_parts.update(unanswered)
        before = self.blamed()
        self._forget(now)
        self._limit_parts()
        if any(part in self._repeated_parts for part in unanswered):
            self._update_blame()
        return self.blamed() - before

    def _add_part(self, crash: Crash, part: str, sent_at: float) -> None:
        known = crash.sent_at_by_part.get(part)
        if known is None:
            known = sent_at
            crashes = self._crashes_by_part.setdefault(part, [])
            bisect.insort(crashes, crash, key=lambda crash: crash.at)
            self._parts += 1
            if len(crashes) == NEW_PART_CRASHES:
                self._repeated_parts[part] = None
        crash.sent_at_by_part[part] = max(known, sent_at)

    def _remove_part(self, crash: Crash, part: str) -> None:
        del crash.sent_at_by_part[part]
        crash.own_parts.discard(part)
        crashes = [each for each in self._crashes_by_part[part] if each is not crash]
        self._parts -= 1
        if len(crashes) < NEW_PART_CRASHES:
            self._repeated_parts.pop(part, None)
        if crashes:
            self._crashes_by_part[part] = crashes
        else:
            del self._crashes_by_part[part]

    def _limit_parts(self) -> None:
        """Forget the parts that appear in the fewest crashes, the oldest ones first."""
        if self._parts <= MAX_SUSPECT_PARTS:
            return
        for part in sorted(self._crashes_by_part, key=self._weight):
            for crash in list(self._crashes_by_part[part]):
                self._remove_part(crash, part)
            if self._parts <= MAX_SUSPECT_PARTS * KEPT_PART_SHARE:
                break
        self._crashes = [each for each in self._crashes if each.sent_at_by_part]

    def _find_crash(self, seen: Crash, at: float, sent_at: float) -> Crash | None:
        """Return the crash that was seen, if it is known."""
        near = [
            crash
            for crash in self._crashes
            if crash.runner == seen.runner
            and abs(crash.at - at) <= SAME_CRASH_SECONDS
            and not (crash.by_own_clock and seen.by_own_clock and sent_at > crash.at)
        ]
        return min(near, key=lambda crash: abs(crash.at - at), default=None)

    def record_answer(self, parts: Iterable[str], at: float) -> list[str]:
        """Record a sound answer; return the parts that it clears of a suspicion."""
        cleared: list[str] = []
        blame_changes = False
        for part in parts:
            at = max(at, self._answered_at.get(part, at))
            self._answered_at[part] = at
            self._answered_at.move_to_end(part)
            self._trial_until_by_part.pop(part, None)
            self._forget_crashed_runners(part, at)
            blame_changes = blame_changes or part in self._repeated_parts
            if self._clear(part, at):
                cleared.append(part)
        while len(self._answered_at) > MAX_ANSWERED_PARTS:
            forgotten, _ = self._answered_at.popitem(last=False)
            self._crashed_runners_by_part.pop(forgotten, None)
        if cleared:
            self._crashes = [each for each in self._crashes if each.sent_at_by_part]
        if blame_changes:
            self._update_blame()
        return cleared

    def admit(self, parts: Collection[str], now: float) -> Verdict:
        """Decide whether a request with these parts may be sent to a runner."""
        if not self._crashes:
            return Free()
        self._forget(now)
        blamed = [part for part in parts if part in self._blame_by_part]
        if blamed:
            return self._admit_blamed(parts, blamed, now)
        suspect = tuple(part for part in parts if self._is_suspect(part))
        if not suspect:
            return Free()
        if self._is_trial_pending(suspect, now):
            return TrialPending()
        return Trial(suspect)

    def seconds_held(self, parts: Collection[str], now: float) -> float:
        """Return the seconds until a request with these parts may be tried."""
        until_by_crashes: dict[frozenset[int], float] = {}
        for part in parts:
            blame = self._blame_by_part.get(part)
            if blame is not None:
                until = max(self._until(part), until_by_crashes.get(blame.crashes, now))
                until_by_crashes[blame.crashes] = until
        if not until_by_crashes:
            return 0.0
        present = set(parts)
        held_until = max(
            (
                until
                for crashes, until in until_by_crashes.items()
                if not self._has_alternative(crashes, present)
            ),
            default=now,
        )
        return max(0.0, held_until - now)

    def begin_trial(self, parts: Iterable[str], now: float) -> None:
        """Hold other requests with these parts back until the outcome is known."""
        for part in parts:
            self._trial_until_by_part[part] = now + TRIAL_SECONDS

    def end_trial(self, parts: Iterable[str]) -> None:
        """End a trial, with or without an outcome."""
        for part in parts:
            self._trial_until_by_part.pop(part, None)

    def _admit_blamed(
        self, parts: Collection[str], blamed: list[str], now: float
    ) -> Verdict:
        seconds = self.seconds_held(parts, now)
        if seconds > 0:
            return Quarantined(seconds)
        if self._is_trial_pending(blamed, now):
            return Quarantined(TRIAL_RETRY_SECONDS)
        return Trial(tuple(blamed))

    def _until(self, part: str) -> float:
        """Return the Unix seconds at which this host lets a part through on trial."""
        delay = self.delay_share * QUARANTINE_SECONDS / 10
        return self._blame_by_part[part].until + delay

    def _has_alternative(self, crashes: frozenset[int], present: set[str]) -> bool:
        """Whether a blamed part that is not in this request explains the crashes."""
        return any(
            crashes <= explained and not parts <= present
            for explained, parts in self._parts_by_crashes.items()
        )

    def _is_trial_pending(self, parts: Iterable[str], now: float) -> bool:
        until = self._trial_until_by_part
        return any(until.get(part, -math.inf) > now for part in parts)

    def _is_suspect(self, part: str) -> bool:
        """Whether a part that was never answered was at a runner that ended."""
        return part not in self._answered_at and part in self._crashes_by_part

    def _forget_crashed_runners(self, part: str, until: float) -> None:
        """Forget the runners that crashed under a part until a sound answer on it."""
        crashed = self._crashed_runners_by_part.pop(part, {})
        later = {runner: at for runner, at in crashed.items() if at > until}
        if later:
            self._crashed_runners_by_part[part] = later

    def _clear(self, part: str, at: float) -> bool:
        """Take a part out of the crashes before ``at``; return if it was in one."""
        found = [
            crash for crash in self._crashes_by_part.get(part, ()) if crash.at <= at
        ]
        for crash in found:
            self._remove_part(crash, part)
        return bool(found)

    def _forget(self, now: float) -> None:
        """Forget the crashes none of whose parts was in a recent one."""
        if now < self._forget_at and len(self._crashes) <= MAX_CRASHES:
            return
        recent_crashes = [
            crash for crash in self._crashes if now - crash.at < CRASH_MEMORY_SECONDS
        ]
        self._forget_at = min(
            (crash.at + CRASH_MEMORY_SECONDS for crash in recent_crashes),
            default=math.inf,
        )
        recent = {part for crash in recent_crashes for part in crash.sent_at_by_part}
        kept = [
            crash
            for crash in self._crashes[-MAX_CRASHES:]
            if not recent.isdisjoint(crash.sent_at_by_part)
        ]
        if len(kept) < len(self._crashes):
            numbers = {crash.number for crash in kept}
            for crash in self._crashes:
                if crash.number not in numbers:
                    for part in list(crash.sent_at_by_part):
                        self._remove_part(crash, part)
            self._crashes = kept
            self._update_blame()

    def _update_blame(self) -> None:
        """Blame the parts that explain most crashes, until no crashes are left."""
        self._blame_by_part = {}
        self._parts_by_crashes = {}
        crashes_by_part = {
            part: self._crashes_by_part[part] for part in self._repeated_parts
        }
        explained: set[int] = set()
        while True:
            crashes_by_part = {
                part: left
                for part, crashes in crashes_by_part.items()
                if (left := [each for each in crashes if each.number not in explained])
            }
            surplus_by_part = {
                part: self._separate(part, crashes) - self._crashes_to_blame(part)
                for part, crashes in crashes_by_part.items()
            }
            most = max(surplus_by_part.values(), default=-1)
            if most < 0:
                return
            seconds = QUARANTINE_SECONDS * 2.0**most
            seconds = min(MAX_QUARANTINE_SECONDS, seconds)
            for part, surplus in surplus_by_part.items():
                if surplus == most:
                    crashes = crashes_by_part[part]
                    numbers = frozenset(crash.number for crash in crashes)
                    until = crashes[-1].at + seconds
                    self._blame_by_part[part] = Blame(numbers, until)
                    self._parts_by_crashes.setdefault(numbers, set()).add(part)
                    explained |= numbers

    def _separate(self, part: str, crashes: list[Crash]) -> int:
        """Return the number of crashes that can't have one other cause in common.

        A crash is separate if the prompt was sent after the one before it.
        """
        count, last = 0, -math.inf
        for crash in crashes:
            sent_after = crash.sent_at_by_part[part] > last
            if sent_after or crash.at - last > COMMON_CAUSE_SECONDS:
                count += 1
                last = crash.at
        return count

    def _crashes_to_blame(self, part: str) -> int:
        return ANSWERED_PART_CRASHES if part in self._answered_at else NEW_PART_CRASHES
