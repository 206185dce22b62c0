"""Retry budget: retries are a share of the requests, so that they can't pile up.

Each request adds a part of a retry, each retry takes one.  When a whole target is
ill, the budget runs out and callers get their answer at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

SHARE: Final = 0.2
RETRIES_MOST: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """The retries left at one target.

    Attributes
    ----------
    left : float
        Starts full, so that a quiet daemon can retry its first requests.
    """

    left: float = RETRIES_MOST

    def request(self) -> None:
        """Add the part that a request brings."""
        self.left = min(RETRIES_MOST, self.left + SHARE)

    def take(self) -> bool:
        """Take one retry; False when there is none left."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
