"""Whether the end of an attempt is due to a caller that did not read.

While a caller does not read, its runner's answer stays unread, and a runner cuts off an
answer that stays unread for some seconds.  The end is seen only once the caller reads
again and what had arrived before is passed on.
"""

from __future__ import annotations

from typing import Final

STALL_SECONDS: Final = 1.0
"""Blocked time in an attempt from which its caller counts as slow: less than any runner
leaves an answer unread, more than a full link of a host delays a write."""
AFTERMATH_SECONDS: Final = 1.0
"""Time since the last blocked write in which an end still is the caller's doing: what
the buffers hold is passed on in that time; after it the runner was heard anew."""


def is_slow(blocked_seconds: float) -> bool:
    """Return whether writes of an attempt were blocked for so long that it matters."""
    return blocked_seconds >= STALL_SECONDS


def is_ended_by_caller(blocked_seconds: float, seconds_since: float) -> bool:
    """Return whether a lost answer was lost because its caller did not read.

    Parameters
    ----------
    blocked_seconds : float
        Time for which writes to the caller were blocked during the attempt.
    seconds_since : float
        Time since the last blocked write ended.
    """
    return is_slow(blocked_seconds) and seconds_since <= AFTERMATH_SECONDS
