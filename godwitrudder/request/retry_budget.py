"""Retry budget: limits the retries at a target to a share of its requests.

Each request adds ``RETRIES_PER_REQUEST`` to the budget, and each retry takes one. If
all runners of a target fail, the budget runs out and callers get the failure at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Retries that each request adds to the budget.
RETRIES_PER_REQUEST: Final = 0.2
# Upper bound of the budget, in retries.
MAX_RETRIES: Final = 10.0


@dataclass(slots=True)
class RetryBudget:
    """The retries available at one target.

    Attributes
    ----------
    retries_left : float
        Retries available now. Starts at ``MAX_RETRIES``, so that a daemon with little
        traffic can retry its first requests.
    """

    retries_left: float = MAX_RETRIES

    def record_request(self) -> None:
        """Count a request, which adds ``RETRIES_PER_REQUEST`` to the budget."""
        self.retries_left = min(MAX_RETRIES, self.retries_left + RETRIES_PER_REQUEST)

    def take(self) -> bool:
        """Take one retry; return False if less than one is available."""
        if self.retries_left < 1.0:
            return False
        self.retries_left -= 1.0
        return True
