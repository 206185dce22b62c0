"""Intake: whether the balancer should send new callers to this host.

The balancer keeps each caller at one host. A workspace that sends many times its usual
load may therefore fill the link of one host while those of the others are idle.
Refusing requests does not help, since they have already used the link. The host instead
asks for no new connections until its link has capacity again. Requests that arrived are
served, and their connections close after the answer: an open connection would keep its
caller here. Each caller returns to its host as soon as that host accepts callers again,
so a host that was full stays closed, twice as long each time it is full again soon.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

FULL_PART: Final = 0.85
"""Link utilisation above which no new callers are accepted. Packet headers and
acknowledgements are not counted and come on top."""
ROOM_PART: Final = 0.6
"""Link utilisation below which new callers are accepted again."""
READING_WEIGHT: Final = 0.15
"""Weight of the newest reading in the mean: one large prompt does not stop the intake.
The largest expected prompt, 70,000 bytes, fills a link of 10 Mbit/s for one reading of
0.05 s."""
CLOSED_SECONDS: Final = 2.0
"""Shortest time without new callers: the balancer needs two checks to notice."""
MAX_CLOSED_SECONDS: Final = 16.0
"""Longest time without new callers while there is room."""
CALM_SECONDS: Final = 8.0
"""Time with room after which the next closure is short again."""


@dataclass(slots=True)
class Intake:
    """The link utilisation, and whether new callers are accepted.

    Attributes
    ----------
    part : float
        Mean share of the link's capacity in use, 0 to 1.
    open : bool
        Whether new callers are accepted, and connections kept.
    changed_at : float
        Time at which ``open`` changed last, in seconds.
    closed_seconds : float
        Shortest length of the present or last closure.
    """

    part: float = 0.0
    open: bool = True
    changed_at: float = -math.inf
    closed_seconds: float = 0.0

    def read(self, part: float, now: float) -> bool:
        """Add a reading of the link utilisation; return whether ``open`` changed.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.part += READING_WEIGHT * (part - self.part)
        if self.open and self.part > FULL_PART:
            again = now - self.changed_at < CALM_SECONDS
            longer = min(MAX_CLOSED_SECONDS, 2 * self.closed_seconds)
            self.closed_seconds = max(CLOSED_SECONDS, longer if again else 0.0)
        elif (
            self.open
            or self.part >= ROOM_PART
            or now < self.changed_at + self.closed_seconds
        ):
            return False
        self.open = not self.open
        self.changed_at = now
        return True
