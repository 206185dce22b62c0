"""Position of a follower in a topic of the store.

Offsets are given out again when the store comes back from an older copy.  A follower
that went on at its offset would never read what stands below it now.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Cursor:
    """Offset to read from, and the store's era in which it was given out.

    Attributes
    ----------
    offset : int or None
        None if the newest record of each key must be read first.
    """

    offset: int | None = None
    era: int = 0

    def enter_era(self, era: int) -> bool:
        """Note the era of an answer; return whether the offset became void."""
        if era <= self.era:
            return False
        rose = self.offset is not None
        self.era = era
        self.offset = None
        return rose
