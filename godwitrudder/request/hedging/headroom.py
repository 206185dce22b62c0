"""Whether a target has room for second attempts.

A second attempt adds work, so at a busy target it would slow down the first attempts of
others.  What a runner's slots are worth follows how long work takes on its machine.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import Final

from godwitrudder.request.placing.candidate import REPORT_DECAY_SECONDS, Candidate

MAX_USED_SHARE: Final = 0.8
"""Share of a target's slots in use above which no second attempt starts."""
USUAL_PERCENT: Final = 100.0
"""How long work usually takes on a runner's machine, as runners report it."""


def has_headroom(candidates: Collection[Candidate], now: float) -> bool:
    """Whether at most ``MAX_USED_SHARE`` of the slots of a target are in use.

    A target whose slots are not known has no headroom.
    """
    used, slots = slots_in_use(candidates, now)
    return slots > 0 and used <= MAX_USED_SHARE * slots


def slots_in_use(candidates: Collection[Candidate], now: float) -> tuple[float, float]:
    """Return how many slots of a target are in use, and how many there are."""
    usable = [
        candidate
        for candidate in candidates
        if candidate.may_be_used and now >= candidate.ejected_until
    ]
    slots = sum(_slots(candidate, now) for candidate in usable)
    used = sum(candidate.load(now) for candidate in usable)
    return used, slots


def would_wait(candidate: Candidate, now: float) -> bool:
    """Whether a request would wait at the runner: others do, or no slot is free."""
    reported_lately = now - candidate.others_at < REPORT_DECAY_SECONDS
    if reported_lately and candidate.waiting:
        return True
    return candidate.load(now) >= _slots(candidate, now)


def _slots(candidate: Candidate, now: float) -> float:
    """Return the slots of a runner, fewer if work takes long there.

    The reported figure changes many times a second, so it decays to the usual one.
    """
    slots = candidate.reported_slots or candidate.entry.slots
    if candidate.work_percent is None:
        return float(slots)
    weight = math.exp(-(now - candidate.others_at) / REPORT_DECAY_SECONDS)
    percent = USUAL_PERCENT + (candidate.work_percent - USUAL_PERCENT) * weight
    return slots * min(1.0, USUAL_PERCENT / percent)
