"""Times to the first byte, and the delay after which a second attempt starts.

Only answers count, not attempts that were overtaken: with a twentieth of the runners
slow, the times that those had waited would raise the percentile again and again, and
second attempts would come too late.  ``MIN_OBJECTIVE_SHARE`` bounds how far the
percentile can fall without them.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.version.catalogue import RouteKind

MAX_SAMPLES: Final = 200
"""Answers that are remembered."""
SAMPLE_SECONDS: Final = 30.0
"""Time for which an answer is remembered."""
MIN_SAMPLES: Final = 20
"""Answers below which the latency objective is the delay: a 95th percentile of fewer is
their maximum."""
PERCENTILE: Final = 0.95
"""Share of the answers whose first byte is expected before a second attempt starts."""
MIN_OBJECTIVE_SHARE: Final = 0.25
"""Least delay, as a share of the latency objective: an earlier second attempt saves
nothing that callers notice."""


class Trigger(enum.StrEnum):
    """What sets the delay of a second attempt."""

    PERCENTILE = "percentile"
    QUARTER = "quarter_of_objective"
    OBJECTIVE = "objective"


@dataclass(frozen=True, slots=True)
class AnswerKind:
    """Requests whose times to the first byte are compared.

    Routes of one kind and objective have prompts of similar length; a target serves
    several such kinds, whose times differ by a multiple.

    Attributes
    ----------
    objective_seconds : float
        Latency objective of the routes.
    """

    target: str
    kind: RouteKind
    objective_seconds: float


@dataclass(frozen=True, slots=True)
class Delay:
    """When the second attempt starts, in seconds after the first one was sent."""

    seconds: float
    trigger: Trigger


@dataclass(slots=True)
class FirstByteTimes:
    """The times to the first byte of the last answers of one kind."""

    _samples: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )

    def record(self, seconds: float, now: float) -> None:
        """Record the time from the begin of an attempt to its answer's first byte."""
        self._samples.append((now, seconds))

    def delay(self, objective_seconds: float, now: float) -> Delay:
        """Return when a second attempt starts."""
        while self._samples and now - self._samples[0][0] > SAMPLE_SECONDS:
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return Delay(objective_seconds, Trigger.OBJECTIVE)
        ordered = sorted(seconds for _, seconds in self._samples)
        percentile = ordered[math.ceil(PERCENTILE * len(ordered)) - 1]
        least = objective_seconds * MIN_OBJECTIVE_SHARE
        if percentile < least:
            return Delay(least, Trigger.QUARTER)
        return Delay(percentile, Trigger.PERCENTILE)
