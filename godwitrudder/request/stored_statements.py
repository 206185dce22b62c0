"""A process's own statements that the store has confirmed in the current era.

They show how old a copy of the store is from which the successor recovers; see
``request.older_copy``.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

LATE_APPENDS: Final = 1
"""Appends per host that reach the store after it was restored, though sent before."""


@dataclass(slots=True)
class StoredStatements:
    """Send times and end offsets of confirmed statements.

    Attributes
    ----------
    era_end : int
        End of the records at the process's first read in the era.
    """

    era_end: int = 0
    _era: int | None = None
    _sent_and_end: deque[tuple[float, int]] = field(default_factory=deque)

    def begin_era(self) -> None:
        """Forget the statements, as the store may have lost them."""
        self._sent_and_end.clear()

    def note_read(self, era: int, end: int) -> None:
        """Note the end of the records that were read; the first read counts."""
        if self._era != era:
            self._era, self.era_end = era, end

    def add(self, sent: float, end: int) -> None:
        """Add a statement that was confirmed."""
        self._sent_and_end.append((sent, end))

    def read_sent(self, read_to: int, hosts: int) -> float | None:
        """Return the send time of the newest one that surely lies below an offset.

        It lies below it in each copy that is as long as that offset, though some
        records of the copy's end may have come late.

        Parameters
        ----------
        read_to : int
            The offset before which the process has read all records.
        hosts : int
            Number of hosts whose appends may come late.
        """
        below = read_to - LATE_APPENDS * max(1, hosts)
        known = self._sent_and_end
        while len(known) > 1 and known[1][1] <= below:
            known.popleft()
        return known[0][0] if known and known[0][1] <= below else None
