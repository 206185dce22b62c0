"""Retry delays: the time after which a refused caller should try again.

A caller honours a delay of up to a third of its remaining time, and its next try
reaches another host. Normally another host may serve what this one lacks, so the delay
is short. While the store does not answer, each host spends only the tokens that it
holds, and another host usually lacks them too. If the rest of the outage fits into the
delay that a caller honours, the caller is therefore told to retry when the outage
should be over. Its request is then late instead of refused twice.
"""

from __future__ import annotations

from random import Random
from typing import Final

RETRY_SHARE_OF_TIME_LEFT: Final = 0.3
"""Largest delay as a share of the time left; callers honour up to a third."""
NO_RUNNER_RETRY_SECONDS: Final = 0.25
"""Delay if only a runner is missing."""
OTHER_HOST_SECONDS: Final = 0.15
"""Delay if another host may hold the tokens."""
DRAINING_RETRY_SECONDS: Final = 0.03
"""Delay if this host shuts down and another one takes the request."""
OVERLOADED_HOST_RETRY_SECONDS: Final = 0.05
"""Delay if this host's processor is saturated and another one takes the request."""
OUTAGE_SECONDS: Final = 8.5
"""Length within which an outage of the store usually ends; network cuts last 7 to 9
s."""
JITTER_SHARE: Final = 0.3
"""Relative jitter of delays, so that callers do not retry at the same time."""


def jitter(seconds: float, random: Random) -> float:
    """Return the time with random jitter."""
    return seconds * random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)


def token_retry_seconds(silent: float, left: float, random: Random) -> float:
    """Return the delay in seconds before a retry for tokens.

    Parameters
    ----------
    silent : float
        Seconds since the store last answered.
    left : float
        Seconds left until the caller's deadline.
    """
    longest = left * RETRY_SHARE_OF_TIME_LEFT
    until_over = OUTAGE_SECONDS - silent
    if OTHER_HOST_SECONDS < until_over <= longest:
        return min(longest, until_over + jitter(OTHER_HOST_SECONDS, random))
    return jitter(OTHER_HOST_SECONDS, random)


def cap_retry_seconds(seconds: float, left: float) -> float:
    """Limit a delay to what a caller honours with ``left`` seconds to its deadline."""
    return min(seconds, max(0.0, left) * RETRY_SHARE_OF_TIME_LEFT)
