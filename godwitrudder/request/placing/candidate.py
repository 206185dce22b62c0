"""Candidates: the runners of a target as one host knows them.

The load that a runner last reported decays with its age; so does its share of failures.
How long work takes there is in ``speed``.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.request.places.cold_evidence import ColdEvidence
from godwitrudder.request.placing.speed import Silence, Speed, WorkTime
from godwitrudder.version.catalogue import ListedRunner

REPORT_DECAY_SECONDS: Final = 1.0
"""Time constant with which the reported requests of other hosts decay."""
FAILURE_DECAY_SECONDS: Final = 4.0
"""Time constant with which the share of failures decays."""
FAILURE_GAIN: Final = 0.3
"""Weight of the newest request in the share of failures; three failures in a row raise
it to two thirds."""
EJECTED_SECONDS: Final = 1.0
"""First ejection of an unreachable runner: a crashed one stays listed for up to three
heartbeats of 1.2 s."""
MAX_EJECTION_SECONDS: Final = 8.0
"""Longest ejection: a network cut lasts 7 to 9 s."""
PARTS_KEPT: Final = 4000
"""Prompt parts remembered per runner."""


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, in tokens."""

    id: str
    tokens: int


@dataclass(slots=True)
class Directives:
    """What one instance of a runner has asked of this host in its answers.

    Attributes
    ----------
    leaving : bool
        Whether it has said that it leaves.
    backoff_until : float
        Time until which it wants no further request, in monotonic seconds.
    """

    leaving: bool = False
    backoff_until: float = -math.inf

    def back_off(self, seconds: float, now: float) -> None:
        """Send the runner nothing for a time that it has named."""
        self.backoff_until = max(self.backoff_until, now + seconds)


@dataclass(slots=True)
class Candidate:
    """A runner as one host knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this host at the runner.
    trials : int
        Those of them whose prompts may end the runner.
    assigned : int
        Requests of this host at the runner or about to be sent there.
    assigned_tokens : int
        Prompt tokens and largest outputs of the assigned requests.
    pending_tokens : int
        Prompt tokens of those requests whose answer has not begun.
    others : float
        Requests of other hosts, as of ``others_at``.
    waiting, reported_running : int
        Requests that waited at the runner, and that it worked on, as of ``others_at``.
    reported_slots : int
        Slots in its last load report; 0 if it reported none.
    work_percent : float or None
        How long work took on its machine as of ``others_at``, 100 as usual; None if it
        has not said so.
    work, speed, silence : WorkTime, Speed, Silence
        How long work takes there; they count for targets whose runners report it.
    failures : float
        Weighted share of failures, 0 to 1, as of ``failed_at``.
    refused_at : float
        Time at which its address last refused a connection after it had ended one.
    directives : Directives
        What the present instance has asked for.
    cold : ColdEvidence
        What says that it is cold.
    cold_noted : bool
        Whether it was noted as cold.
    unlisted : bool
        Whether its entry was removed at a time at which the store may have been away.
        The entry may only have expired, or the runner may have left.
    replaced : bool
        Whether another instance has answered at its address.
    gone : bool
        Whether it was dropped from the list.
    """

    entry: ListedRunner
    in_flight: int = 0
    trials: int = 0
    assigned: int = 0
    assigned_tokens: int = 0
    pending_tokens: int = 0
    others: float = 0.0
    waiting: int = 0
    reported_running: int = 0
    others_at: float = -math.inf
    reported_slots: int = 0
    work_percent: float | None = None
    work: WorkTime = field(default_factory=WorkTime)
    speed: Speed = field(default_factory=Speed)
    silence: Silence = field(default_factory=Silence)
    failures: float = 0.0
    failed_at: float = 0.0
    refused_at: float = -math.inf
    ejections: int = 0
    ejected_until: float = -math.inf
    directives: Directives = field(default_factory=Directives)
    cold: ColdEvidence = field(default_factory=ColdEvidence)
    cold_noted: bool = False
    unlisted: bool = False
    replaced: bool = False
    gone: bool = False
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def may_be_used(self) -> bool:
        """Whether the runner may get requests, by what its entry and answers say."""
        leaving = self.entry.leaving or self.directives.leaving
        return not (leaving or self.replaced or self.gone)

    def assign(self, tokens: int) -> None:
        """Count a request of ``tokens`` as about to be sent to the runner."""
        self.assigned += 1
        self.assigned_tokens += tokens

    def release(self, tokens: int) -> None:
        """Stop counting an assigned request of ``tokens``."""
        self.assigned -= 1
        self.assigned_tokens -= tokens

    def reported(
        self,
        running: int,
        waiting: int,
        now: float,
        slots: int = 0,
        work_percent: float | None = None,
    ) -> None:
        """Record a load report of the runner; it includes the requests of this host."""
        self.reported_running = running
        self.reported_slots = slots
        self.work_percent = work_percent
        if work_percent is not None:
            self.work.report(work_percent, now)
        self.others = max(0.0, running + waiting - self.in_flight)
        self.waiting = waiting
        self.others_at = now

    def ended(self, ok: bool, now: float, timed_out: bool = False) -> None:
        """Record the outcome of a request.

        Parameters
        ----------
        timed_out : bool
            Whether the runner was silent for too long.
        """
        self.silence.ended(timed_out, now)
        decayed = self.failure_share(now)
        self.failures = decayed + FAILURE_GAIN * ((0.0 if ok else 1.0) - decayed)
        self.failed_at = now
        if ok:
            self.ejections = 0

    def unreachable(self, now: float) -> None:
        """Eject the runner; the time doubles with each one in a row up to a maximum."""
        seconds = min(MAX_EJECTION_SECONDS, EJECTED_SECONDS * 2.0**self.ejections)
        self.ejected_until = now + seconds
        self.ejections += 1
        self.cold.note_restart(now)

    def carry_over(self, former: Candidate) -> None:
        """Keep what is known of the same runner under a former entry."""
        self.cold, self.cold_noted = former.cold, former.cold_noted
        if former.entry.started_ms == self.entry.started_ms:
            self.directives = former.directives

    def failure_share(self, now: float) -> float:
        """Return the share of failures, decayed to now."""
        return self.failures * math.exp(-(now - self.failed_at) / FAILURE_DECAY_SECONDS)

    def record_prompt(self, parts: Iterable[Part]) -> None:
        """Record the prompt parts that were sent to the runner."""
        for part in parts:
            self.parts[part.id] = part.tokens
            self.parts.move_to_end(part.id)
        while len(self.parts) > PARTS_KEPT:
            self.parts.popitem(last=False)

    def cached(self, parts: Collection[Part]) -> int:
        """Return the tokens of the leading parts sent to the runner before."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def slowness(self, now: float) -> float:
        """Return the time that work takes as a multiple of the target's usual one."""
        return self.work.factor(now) * self.speed.slowness

    def load(self, now: float) -> float:
        """Return the estimated number of requests that the runner works on."""
        weight = math.exp(-(now - self.others_at) / REPORT_DECAY_SECONDS)
        return self.in_flight + self.others * weight
