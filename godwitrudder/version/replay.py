"""Operation ids of the replay window, bounded by the log's own time.

Ids are kept as 120-bit hashes in one set per slice of time; a whole slice is
forgotten at once.  ``forgotten_until`` tells how far memory no longer reaches:
a record whose writer had seen less than that may be a late copy.
"""

from __future__ import annotations

import hashlib
import math
from collections import deque
from dataclasses import dataclass, field
from typing import Final

REPLAY_WINDOW_SECONDS: Final = 3600.0
SLICES_PER_WINDOW: Final = 4
KEY_BYTES: Final = 15


def key_of(kind: str, operation: str) -> int:
    """Return the hash under which an operation of a kind is remembered.

    A cryptographic hash, as callers choose request ids.
    """
    text = f"{kind}:{operation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=KEY_BYTES).digest())


@dataclass(slots=True)
class Slice:
    """Operations of one slice of time, which ends before ``end`` seconds."""

    end: float
    keys: set[int] = field(default_factory=set)


class ReplayIndex:
    """What was applied within the window.

    Parameters
    ----------
    window : float
        Seconds of log time for which an operation is surely remembered.
    """

    def __init__(self, window: float = REPLAY_WINDOW_SECONDS) -> None:
        self.window = window
        self.slices: deque[Slice] = deque()
        self.forgotten_until = -math.inf

    def __contains__(self, key: int) -> bool:
        """Whether the operation was applied within the window."""
        return any(key in part.keys for part in self.slices)

    def __len__(self) -> int:
        """Return the number of remembered operations."""
        return sum(len(part.keys) for part in self.slices)

    def add(self, key: int, time: float) -> None:
        """Remember an operation that was applied at ``time``, which never falls."""
        if not self.slices or time >= self.slices[-1].end:
            length = self.window / SLICES_PER_WINDOW
            self.slices.append(Slice((time // length + 1) * length))
        self.slices[-1].keys.add(key)

    def forget(self, now: float) -> None:
        """Drop the slices that ended before the window."""
        while self.slices and self.slices[0].end < now - self.window:
            self.forgotten_until = self.slices.popleft().end
