"""Headroom: how many further requests a runner can work on, as one host knows it.

The slots of a runner count in proportion to how long work takes on its machine. The
memory that requests hold at an engine limits the headroom too.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from godwitrudder.request.placing.candidate import REPORT_DECAY_SECONDS, Candidate

USUAL_PERCENT: Final = 100.0
"""How long work takes on a machine as usual."""
SIZE_GAIN: Final = 0.05
"""Weight of the newest request in the mean size: the mean covers some 20 requests."""


@dataclass(slots=True)
class MeanSize:
    """Mean size of the requests that this host has sent to a target lately, in tokens.

    The requests of other hosts are assumed to be of this size.
    """

    tokens: float = 0.0
    _known: bool = False

    def record(self, tokens: int) -> None:
        """Record a request that is sent."""
        gain = SIZE_GAIN if self._known else 1.0
        self.tokens += gain * (tokens - self.tokens)
        self._known = True


@dataclass(frozen=True, slots=True)
class Memory:
    """Memory of each engine of a target.

    Attributes
    ----------
    capacity : int
        Tokens that an engine may hold; 0 if there is no limit.
    mean : float
        Mean size of other hosts' requests, in tokens.
    """

    capacity: int = 0
    mean: float = 0.0


def effective_slots(candidate: Candidate, now: float) -> float:
    """Return the slots in proportion to how long work takes, which decays to usual."""
    slots = candidate.reported_slots or candidate.entry.slots
    age = now - candidate.others_at
    if candidate.work_percent is None or age >= REPORT_DECAY_SECONDS:
        return slots
    weight = math.exp(-age / REPORT_DECAY_SECONDS)
    percent = USUAL_PERCENT + weight * (candidate.work_percent - USUAL_PERCENT)
    return slots * USUAL_PERCENT / max(1.0, percent)


def headroom(candidate: Candidate, memory: Memory, now: float) -> float:
    """Return how many further requests of mean size a runner can work on.

    The result is negative if it has more requests than it can work on.
    """
    others = _others(candidate, now)
    free = effective_slots(candidate, now) - _own(candidate) - others
    if memory.capacity and memory.mean > 0:
        used = candidate.assigned_tokens + others * memory.mean
        free = min(free, (memory.capacity - used) / memory.mean)
    return free


def has_room(candidate: Candidate, tokens: int, memory: Memory, now: float) -> bool:
    """Whether a runner can work on a request of ``tokens`` at once.

    A runner that works on nothing has room for any request: the request would not find
    more room elsewhere.
    """
    others, own = _others(candidate, now), _own(candidate)
    if not own and others < 1:
        return True
    if own + others > effective_slots(candidate, now) - 1:
        return False
    return _fits(candidate, tokens, memory, others)


def fits_memory(candidate: Candidate, tokens: int, memory: Memory, now: float) -> bool:
    """Whether a request of ``tokens`` fits into the memory of a runner."""
    others = _others(candidate, now)
    idle = not _own(candidate) and others < 1
    return idle or _fits(candidate, tokens, memory, others)


def _fits(candidate: Candidate, tokens: int, memory: Memory, others: float) -> bool:
    if not memory.capacity:
        return True
    used = candidate.assigned_tokens + others * memory.mean
    return used + tokens <= memory.capacity


def _own(candidate: Candidate) -> int:
    return max(candidate.assigned, candidate.in_flight)


def _others(candidate: Candidate, now: float) -> float:
    """Return the other hosts' requests; an old report says nothing about them."""
    age = now - candidate.others_at
    if age >= REPORT_DECAY_SECONDS:
        return 0.0
    return candidate.others * math.exp(-age / REPORT_DECAY_SECONDS)
