"""Index of the operation ids within the replay window of log time.

Ids are stored as 120-bit hashes, one set per time slice; a whole slice is dropped at
once.  ``dropped_until`` is the end of the newest dropped slice.  A record whose
writer had only seen an earlier log time may be a late copy.
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
    """Return the hash of an operation id of one kind.

    The hash is cryptographic because callers choose request ids.
    """
    text = f"{kind}:{operation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=KEY_BYTES).digest())


@dataclass(slots=True)
class Slice:
    """Operation hashes of one time slice.

    Attributes
    ----------
    end : float
        Exclusive end of the slice, in seconds of log time since the epoch.
    """

    end: float
    keys: set[int] = field(default_factory=set)


class ReplayIndex:
    """Hashes of the operations that were applied within the window.

    Parameters
    ----------
    window : float
        Seconds of log time for which an operation is guaranteed to be stored.
    """

    def __init__(self, window: float = REPLAY_WINDOW_SECONDS) -> None:
        self.window = window
        self.slices: deque[Slice] = deque()
        self.dropped_until = -math.inf

    def __contains__(self, key: int) -> bool:
        """Whether the operation was applied within the window."""
        return any(key in part.keys for part in self.slices)

    def __len__(self) -> int:
        """Return the number of stored operations."""
        return sum(len(part.keys) for part in self.slices)

    def add(self, key: int, time: float) -> None:
        """Store an operation applied at log time ``time``, which must not decrease."""
        if not self.slices or time >= self.slices[-1].end:
            length = self.window / SLICES_PER_WINDOW
            self.slices.append(Slice((time // length + 1) * length))
        self.slices[-1].keys.add(key)

    def drop_expired(self, now: float) -> None:
        """Drop the slices that ended before the window of log time ``now``."""
        while self.slices and self.slices[0].end < now - self.window:
            self.dropped_until = self.slices.popleft().end
