"""Intake: whether the balancer should send new callers to this host.

The balancer keeps each caller at one host. A workspace that sends many times its usual
load may therefore fill the link of one host while those of the others are idle.
Refusing requests does not help, since they have already used the link. The host instead
asks for no new connections until its link has capacity again; requests that have
arrived are served.
"""

from __future__ import annotations

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


@dataclass(slots=True)
class Intake:
    """The link utilisation, and whether new callers are accepted.

    Attributes
    ----------
    part : float
        Mean share of the link's capacity in use, 0 to 1.
    open : bool
        Whether new callers are accepted.
    """

    part: float = 0.0
    open: bool = True

    def read(self, part: float) -> bool:
        """Add a reading of the link utilisation; return whether ``open`` changed."""
        self.part += READING_WEIGHT * (part - self.part)
        before = self.open
        if self.part > FULL_PART:
            self.open = False
        elif self.part < ROOM_PART:
            self.open = True
        return self.open != before
