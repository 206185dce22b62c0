"""Admission of a request to a queue, by the wait that it has to expect there."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Final

from godwitrudder.request.retry_delay import RETRY_SHARE_OF_TIME_LEFT

RATE_WINDOW_SECONDS: Final = 3.0
"""Time over which events are counted: as long as a burst, so that the rate follows the
runners' speed and one slow answer does not change it much."""
MIN_RATE_SECONDS: Final = 0.5
"""Least time over which a rate is taken; a shorter one would be mostly chance."""
WAITED_SHARE: Final = 0.5
"""Upper end of the retry delays of requests that have waited, relative to the time in
which the queue drains. Delays of requests refused on arrival begin there."""
SPREAD: Final = 0.1
"""Relative spread of the delays of requests that have waited equally long."""


class Overload(enum.StrEnum):
    """Why a request may not wait, or wait any longer."""

    EXPECTED_WAIT = "expected_wait"
    FULL = "full"
    DEADLINE = "deadline"
    DRAINING = "draining"


@dataclass(slots=True)
class RecentRate:
    """The rate of events in the last seconds."""

    _times: deque[float] = field(default_factory=deque)
    _first_at: float | None = None

    def record(self, now: float) -> None:
        """Record an event."""
        if self._first_at is None:
            self._first_at = now
        self._times.append(now)
        self._forget(now)

    def per_second(self, now: float) -> float | None:
        """Return the rate, None if there never was an event."""
        if self._first_at is None:
            return None
        self._forget(now)
        seconds = min(RATE_WINDOW_SECONDS, now - self._first_at)
        return len(self._times) / max(MIN_RATE_SECONDS, seconds)

    def _forget(self, now: float) -> None:
        while self._times and self._times[0] <= now - RATE_WINDOW_SECONDS:
            self._times.popleft()


@dataclass(slots=True)
class DrainRate(RecentRate):
    """The rate at which requests of one target start."""

    def wait(self, ahead: int, now: float) -> float:
        """Return the expected wait behind ``ahead`` requests, in seconds.

        While the rate is unknown no wait is expected. If nothing started within the
        window, the wait is at least as long as the window for each request ahead.
        """
        rate = self.per_second(now)
        if not ahead or rate is None:
            return 0.0
        return ahead / max(rate, 1 / RATE_WINDOW_SECONDS)


def may_wait(wait: float, service: float, left: float) -> bool:
    """Whether a request ends before its deadline; all times in seconds."""
    return wait + service <= left


def retry_seconds(wait: float, waited: float, left: float, random: Random) -> float:
    """Return after how long a caller should try again, in seconds.

    Those who have waited longest get the shortest delays, so that they return first.

    Parameters
    ----------
    wait : float
        Expected wait of a new request, in seconds.
    waited : float
        Time that the request has waited, in seconds; 0 if refused on arrival.
    left : float
        Time left to its deadline, in seconds.
    """
    base = min(wait, max(0.0, left) * RETRY_SHARE_OF_TIME_LEFT)
    if waited <= 0:
        return base * random.uniform(WAITED_SHARE, 1.0)
    share = max(0.0, left) / (max(0.0, left) + waited)
    return base * WAITED_SHARE * share * random.uniform(1 - SPREAD, 1.0)
