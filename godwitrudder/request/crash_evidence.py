"""Evidence of runner crashes: which prompt parts were at which runners that ended.

Callers choose the parts of their prompts, so the evidence is bounded: parts that appear
in the fewest crashes are forgotten first.  Parts are looked up in an index, so that no
event walks through all evidence.  Times are Unix seconds.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Final

from godwitrudder.version.statements import RunnerCrash

SAME_CRASH_SECONDS: Final = 6.0
"""Time within which reports of one runner are of one crash, unless a prompt was sent
there in between."""
CRASH_MEMORY_SECONDS: Final = 960.0
"""Time after the last crash under a part at which all of them are forgotten: twice the
longest quarantine."""
MAX_CRASHES: Final = 64
"""Crashes kept; the oldest are forgotten first."""
MAX_SUSPECT_PARTS: Final = 16_384
"""Parts kept, counted once for each of their crashes."""
KEPT_PART_SHARE: Final = 0.875
"""Share of ``MAX_SUSPECT_PARTS`` that is left once there are more."""
MAX_STATED_BYTES: Final = 131_072
"""Evidence in the statements of all hosts together; each host reads all of them."""
MIN_STATED_BYTES: Final = 1_024
"""Evidence that any host may state."""
PART_BYTES: Final = 12
"""Size of a part in a statement, beside its name: a time and two lengths."""
CRASH_BYTES: Final = 24
"""Size of a crash in a statement, beside its runner and its parts."""


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


def stated_bytes(hosts: int) -> int:
    """Return the size of the evidence that each of some hosts may state."""
    return max(MIN_STATED_BYTES, MAX_STATED_BYTES // hosts)


def new_parts(crash: RunnerCrash, known: RunnerCrash | None) -> dict[str, float]:
    """Return the parts of a stated crash that its host had not stated before."""
    if known is None:
        return crash.sent_at_by_part
    before = known.sent_at_by_part
    return {
        part: sent_at
        for part, sent_at in crash.sent_at_by_part.items()
        if before.get(part) != sent_at
    }


@dataclass(slots=True)
class CrashEvidence:
    """The crashes that one host knows, and their parts.

    Attributes
    ----------
    crashes : list of Crash
        By time.
    crashes_by_part : dict
        The crashes of each part, by time.
    repeated_parts : dict
        Its keys are the parts with several crashes.
    """

    crashes: list[Crash] = field(default_factory=list)
    crashes_by_part: dict[str, list[Crash]] = field(default_factory=dict)
    repeated_parts: dict[str, None] = field(default_factory=dict)
    _parts: int = 0
    _numbers: Iterator[int] = field(default_factory=itertools.count)
    _forget_at: float = math.inf

    def add(self, seen: Crash, at: float, sent_at_by_part: dict[str, float]) -> None:
        """Add the parts of a crash to those that are known of it.

        Parameters
        ----------
        at : float
            Unix seconds of the crash.
        """
        crash = self._find(seen, at, min(sent_at_by_part.values()))
        if crash is None:
            crash = Crash(
                seen.runner,
                at,
                {},
                by_own_clock=seen.by_own_clock,
                number=next(self._numbers),
            )
            self.crashes.append(crash)
            self.crashes.sort(key=lambda crash: crash.at)
            self._forget_at = min(self._forget_at, at + CRASH_MEMORY_SECONDS)
        for part, sent_at in sent_at_by_part.items():
            self._add_part(crash, part, sent_at)
        if seen.own:
            crash.own = True
            crash.own_parts.update(sent_at_by_part)

    def clear(self, part: str, at: float) -> bool:
        """Take a part out of the crashes before ``at``; return if it was in one."""
        found = [
            crash for crash in self.crashes_by_part.get(part, ()) if crash.at <= at
        ]
        for crash in found:
            self._remove_part(crash, part)
        return bool(found)

    def drop_empty(self) -> None:
        """Forget the crashes that have no parts any more."""
        self.crashes = [each for each in self.crashes if each.sent_at_by_part]

    def limit_parts(self) -> None:
        """Forget the parts that appear in the fewest crashes, the oldest ones first."""
        if self._parts <= MAX_SUSPECT_PARTS:
            return
        for part in sorted(self.crashes_by_part, key=self._weight):
            self.clear(part, math.inf)
            if self._parts <= MAX_SUSPECT_PARTS * KEPT_PART_SHARE:
                break
        self.drop_empty()

    def forget_old(self, now: float) -> bool:
        """Forget the crashes none of whose parts was in a recent one.

        Returns whether there were any.
        """
        if now < self._forget_at and len(self.crashes) <= MAX_CRASHES:
            return False
        recent = [
            crash for crash in self.crashes if now - crash.at < CRASH_MEMORY_SECONDS
        ]
        self._forget_at = min(
            (crash.at + CRASH_MEMORY_SECONDS for crash in recent), default=math.inf
        )
        recent_parts = {part for crash in recent for part in crash.sent_at_by_part}
        kept = [
            crash
            for crash in self.crashes[-MAX_CRASHES:]
            if not recent_parts.isdisjoint(crash.sent_at_by_part)
        ]
        if len(kept) == len(self.crashes):
            return False
        numbers = {crash.number for crash in kept}
        for crash in self.crashes:
            if crash.number not in numbers:
                for part in list(crash.sent_at_by_part):
                    self._remove_part(crash, part)
        self.crashes = kept
        return True

    def own(self, max_bytes: float) -> list[Crash]:
        """Return own crashes, with those own parts that appear in most crashes.

        Parameters
        ----------
        max_bytes : float
            Limit of the size that they have in a statement.
        """
        own = [crash for crash in self.crashes if crash.own]
        by_weight = sorted(
            (
                (self._weight(part), part, crash.number, crash)
                for crash in own
                for part in crash.own_parts
            ),
            key=lambda entry: entry[:3],
            reverse=True,
        )
        chosen: dict[int, Crash] = {}
        left = max_bytes
        for _, part, number, crash in by_weight:
            left -= len(part.encode()) + PART_BYTES
            if number not in chosen:
                left -= len(crash.runner.encode()) + CRASH_BYTES
            if left < 0:
                break
            kept = chosen.setdefault(number, replace(crash, sent_at_by_part={}))
            kept.sent_at_by_part[part] = crash.sent_at_by_part[part]
        return [chosen[crash.number] for crash in own if crash.number in chosen]

    def _find(self, seen: Crash, at: float, sent_at: float) -> Crash | None:
        """Return the crash that was seen, if it is known."""
        near = [
            crash
            for crash in self.crashes
            if crash.runner == seen.runner
            and abs(crash.at - at) <= SAME_CRASH_SECONDS
            and not (crash.by_own_clock and seen.by_own_clock and sent_at > crash.at)
        ]
        return min(near, key=lambda crash: abs(crash.at - at), default=None)

    def _weight(self, part: str) -> tuple[int, float]:
        """Return how suspicious a part is: its crashes, then the time of the last."""
        crashes = self.crashes_by_part[part]
        return len(crashes), crashes[-1].at

    def _add_part(self, crash: Crash, part: str, sent_at: float) -> None:
        known = crash.sent_at_by_part.get(part)
        if known is None:
            known = sent_at
            crashes = self.crashes_by_part.setdefault(part, [])
            bisect.insort(crashes, crash, key=lambda crash: crash.at)
            self._parts += 1
            if len(crashes) == 2:
                self.repeated_parts[part] = None
        crash.sent_at_by_part[part] = max(known, sent_at)

    def _remove_part(self, crash: Crash, part: str) -> None:
        del crash.sent_at_by_part[part]
        crash.own_parts.discard(part)
        crashes = [each for each in self.crashes_by_part[part] if each is not crash]
        self._parts -= 1
        if len(crashes) < 2:
            self.repeated_parts.pop(part, None)
        if crashes:
            self.crashes_by_part[part] = crashes
        else:
            del self.crashes_by_part[part]
