"""Retries within a window: a host's part of a budget that all hosts share.

The fleet may send a share of the requests again, and some more.  Hosts don't
talk about it: each takes the share of its own requests and an equal part of the
rest.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

MARGIN: Final = 0.8
"""Part of the bound that is used: windows of hosts and judge don't line up."""


@dataclass(slots=True)
class RetryWindow:
    """What one host may send again to one target.

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
        """Note a request."""
        self._requests.append(now)
        self._forget(now)

    def left(self, hosts: int, now: float) -> float:
        """Return the retries left in the window."""
        self._forget(now)
        most = self.share * len(self._requests) + self.slack / max(1, hosts)
        return most * MARGIN - len(self._retries)

    def take(self, hosts: int, now: float) -> bool:
        """Take a retry; False where there is none left in the window."""
        if self.left(hosts, now) < 1:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self.seconds:
                times.popleft()
