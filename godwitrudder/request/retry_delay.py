"""Comeback: when a refused caller may ask again, so that it is served.

A caller honours up to a third of the time that it has left, and its next try
reaches another host.  So what one host lacks is asked for elsewhere at once.  While
the store is silent all hosts spend only what they hold, and another one mostly lacks
it too: once a silence has lasted, a caller whose time allows it comes back when the
silence should be over, and is late instead of refused twice.
"""

from __future__ import annotations

from random import Random
from typing import Final

HONOURED_SHARE: Final = 0.3
"""Part of the time left after which a caller may come back; callers honour up to a
third."""
NO_RUNNER_RETRY_SECONDS: Final = 0.25
"""Where only a runner is missing."""
TOKENS_SECONDS: Final = 0.15
"""Where another host may hold tokens."""
DRAINING_RETRY_SECONDS: Final = 0.03
"""Where this host ends and another one takes the request."""
SILENCE_SECONDS: Final = 8.5
"""By when a silence of the store is mostly over: cuts last 7 to 9 s."""
SPREAD: Final = 0.3
"""Part by which times differ, so that callers do not come back together."""


def jitter(seconds: float, random: Random) -> float:
    """Return a time near to another."""
    return seconds * random.uniform(1 - SPREAD, 1 + SPREAD)


def token_retry_seconds(silent: float, left: float, random: Random) -> float:
    """Return when to come back for tokens, in seconds.

    Parameters
    ----------
    silent : float
        Seconds since the store answered.
    left : float
        Seconds that the caller has left.
    """
    longest = left * HONOURED_SHARE
    until_over = SILENCE_SECONDS - silent
    if TOKENS_SECONDS < until_over <= longest:
        return min(longest, until_over + jitter(TOKENS_SECONDS, random))
    return jitter(TOKENS_SECONDS, random)


def cap_retry_seconds(seconds: float, left: float) -> float:
    """Return a time that the caller keeps to, given the seconds that it has left."""
    return min(seconds, max(0.0, left) * HONOURED_SHARE)
