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

A part in a single crash is never blamed, so only parts with several crashes are
compared.

Times are Unix seconds, as hosts exchange them and as they survive a restart.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.request.answered_parts import AnsweredParts
from godwitrudder.request.crash_evidence import Crash, CrashEvidence

NEW_PART_CRASHES: Final = 2
"""Crashes that blame a part that was never answered."""
ANSWERED_PART_CRASHES: Final = 4
"""Crashes that blame a part that was answered before, but not for a while."""
COMMON_CAUSE_SECONDS: Final = 0.1
"""Crashes of several runners within this time count as one: a failure domain that fails
ends all its runners at once."""
QUARANTINE_SECONDS: Final = 60.0
"""First quarantine of a part; each further crash doubles it."""
MAX_QUARANTINE_SECONDS: Final = 480.0
TRIAL_SECONDS: Final = 3.0
"""Time after which a trial without an outcome no longer holds others back."""
TRIAL_RETRY_SECONDS: Final = 0.3
"""Delay before a request is tried again that is held back by another one's trial."""


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
    _evidence: CrashEvidence = field(default_factory=CrashEvidence)
    _answered: AnsweredParts = field(default_factory=AnsweredParts)
    _trial_until_by_part: dict[str, float] = field(default_factory=dict)
    _blame_by_part: dict[str, Blame] = field(default_factory=dict)
    _parts_by_crashes: dict[frozenset[int], set[str]] = field(default_factory=dict)

    def suspects(self, parts: Collection[str], now: float) -> tuple[str, ...]:
        """Return the parts that may have ended a runner that did not answer them."""
        return self._answered.suspects(parts, now)

    def count_crash(self, runner: str, parts: Iterable[str], at: float) -> None:
        """Count a runner's crash against the trust in parts that were answered."""
        self._answered.count_crash(runner, parts, at)

    def answered_at(self, part: str) -> float | None:
        """Return the Unix seconds of the last sound answer on a part, if any."""
        return self._answered.answered_at(part)

    def blamed(self) -> set[str]:
        """Return the parts that are held back."""
        return set(self._blame_by_part)

    def own_crashes(self, max_bytes: float = math.inf) -> list[Crash]:
        """Return the crashes that this host has seen and that are not explained away.

        Other hosts need them if no report reached them.

        Parameters
        ----------
        max_bytes : float
            Limit of the size that they have in a statement.
        """
        return self._evidence.own(max_bytes)

    def record_crash(self, seen: Crash, now: float) -> set[str]:
        """Record that a runner ended; return the parts that are newly blamed."""
        at = min(seen.at, now)
        self.count_crash(seen.runner, seen.sent_at_by_part, at)
        unanswered = {
            part: min(sent_at, at)
            for part, sent_at in seen.sent_at_by_part.items()
            if not self._answered.is_answered_since(part, at)
        }
        if not unanswered:
            return set()
        self.end_trial(unanswered)
        before = self.blamed()
        self._evidence.add(seen, at, unanswered)
        self._forget(now)
        self._evidence.limit_parts()
        if not self._evidence.repeated_parts.keys().isdisjoint(unanswered):
            self._update_blame()
        return self.blamed() - before

    def record_answer(self, parts: Iterable[str], at: float) -> list[str]:
        """Record a sound answer; return the parts that it clears of a suspicion."""
        cleared: list[str] = []
        blame_changes = False
        for part in parts:
            at = self._answered.record(part, at)
            self._trial_until_by_part.pop(part, None)
            blame_changes = blame_changes or part in self._evidence.repeated_parts
            if self._evidence.clear(part, at):
                cleared.append(part)
        self._answered.forget_oldest()
        if cleared:
            self._evidence.drop_empty()
        if blame_changes:
            self._update_blame()
        return cleared

    def admit(self, parts: Collection[str], now: float) -> Verdict:
        """Decide whether a request with these parts may be sent to a runner."""
        if not self._evidence.crashes:
            return Free()
        self._forget(now)
        return self.verdict(parts, now)

    def verdict(self, parts: Collection[str], now: float) -> Verdict:
        """Return what ``admit`` decides, without forgetting old evidence."""
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
        return part not in self._answered and part in self._evidence.crashes_by_part

    def _forget(self, now: float) -> None:
        if self._evidence.forget_old(now):
            self._update_blame()

    def _update_blame(self) -> None:
        """Blame the parts that explain most crashes, until no crashes are left."""
        self._blame_by_part = {}
        self._parts_by_crashes = {}
        crashes_by_part = {
            part: self._evidence.crashes_by_part[part]
            for part in self._evidence.repeated_parts
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
        return ANSWERED_PART_CRASHES if part in self._answered else NEW_PART_CRASHES
