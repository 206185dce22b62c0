"""Intake: whether new callers should be sent to this host.

The balancer keeps each caller at one host, so a workspace that sends many times its
usual may fill one host's link while those of the others are idle.  Refusing does not
help there, since the requests have come over the link already.  So the host asks for
no new connections until its link has room again; what has come is served.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FULL_PART: Final = 0.85
"""Part of the link above which no new callers are asked for: packets' headers and
acknowledgements, which are not counted, come on top."""
ROOM_PART: Final = 0.6
"""Part of the link below which new callers are asked for again."""
WEIGHT: Final = 0.15
"""Weight of the newest reading in the mean: a prompt of 70,000 bytes, the largest of
the users' sheets, fills a link of 10 Mbit/s for one reading of 0.05 s."""


@dataclass(slots=True)
class Intake:
    """The use of the link, and what follows for new callers.

    Attributes
    ----------
    part : float
        Mean part of the link's capacity in use, 0 to 1.
    open : bool
        Whether new callers should come.
    """

    part: float = 0.0
    open: bool = True

    def read(self, part: float) -> bool:
        """Take a reading of the link's use; whether the answer has changed."""
        self.part += WEIGHT * (part - self.part)
        before = self.open
        if self.part > FULL_PART:
            self.open = False
        elif self.part < ROOM_PART:
            self.open = True
        return self.open != before
