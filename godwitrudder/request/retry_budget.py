"""Retry budget: limits retries to a share of the requests.

Each request adds a fraction of a retry, and each retry takes one. If all runners of a
target fail, the budget runs out and callers get the failure at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

RETRY_SHARE: Final = 0.2
RETRIES_MOST: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """The retries left at one target.

    Attributes
    ----------
    left : float
        Starts at its maximum, so that a daemon with little traffic can retry its first
        requests.
    """

    left: float = RETRIES_MOST

    def request(self) -> None:
        """Add the fraction of a retry for one request."""
        self.left = min(RETRIES_MOST, self.left + RETRY_SHARE)

    def take(self) -> bool:
        """Take one retry; return False if none is left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
