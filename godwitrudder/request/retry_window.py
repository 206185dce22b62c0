"""Retries within a window: one host's part of a bound that all hosts share.

The fleet may retry a share of its requests, plus a fixed number. Hosts do not
coordinate: each one takes the share of its own requests and an equal part of the fixed
number.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

USED_SHARE: Final = 0.8
"""Part of the bound that is used, since the windows of the hosts and of the target are
not aligned."""
KEPT_FOR_FAILURES: Final = 0.5
"""Part of a host's retries that second attempts of slow requests leave for retries
after failures: those decide whether a request is served at all."""


@dataclass(slots=True)
class RetryWindow:
    """The retries of one host to one target.

    Attributes
    ----------
    share : float
        Retries per request.
    slack : float
        Retries of all hosts beyond the share.
    seconds : float
        Length of the window.
    """

    share: float
    slack: float
    seconds: float
    _requests: deque[float] = field(default_factory=deque)
    _retries: deque[float] = field(default_factory=deque)

    def request(self, now: float) -> None:
        """Record a request."""
        self._requests.append(now)
        self._drop_expired(now)

    def left(self, hosts: int, now: float) -> float:
        """Return the retries left in the window."""
        self._drop_expired(now)
        return self._most(hosts) - len(self._retries)

    def suffices_for_second(self, hosts: int, now: float) -> bool:
        """Whether a second attempt leaves enough for retries after failures."""
        kept = max(1.0, KEPT_FOR_FAILURES * self._most(hosts))
        return self.left(hosts, now) - 1 >= kept

    def take(self, hosts: int, now: float) -> bool:
        """Take a retry; return False if none is left in the window."""
        if self.left(hosts, now) < 1:
            return False
        self._retries.append(now)
        return True

    def _most(self, hosts: int) -> float:
        """Return this host's part of the retries in the window."""
        most = self.share * len(self._requests) + self.slack / max(1, hosts)
        return most * USED_SHARE

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self.seconds:
                times.popleft()
