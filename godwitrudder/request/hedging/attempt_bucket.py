"""Limit of the second attempts of one host at one target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_SAVED: Final = 5.0
"""Second attempts that a quiet time may save up for later: when all runners of a target
become slow at once, this many start beyond the share."""
ROUNDING: Final = 1e-9
"""Tolerance for sums of shares: ten times 0.1 is a whole attempt."""


@dataclass(slots=True)
class AttemptBucket:
    """A token bucket that each request fills by the operator's share.

    It starts empty, so that second attempts never exceed the share of the requests.
    """

    _saved: float = 0.0

    def request(self, share: float) -> None:
        """Record a request; ``share`` is the number of second attempts per request."""
        self._saved = min(MAX_SAVED, self._saved + share)

    @property
    def has_one(self) -> bool:
        """Whether a second attempt may start."""
        return self._saved >= 1.0 - ROUNDING

    def take(self) -> None:
        """Record that a second attempt starts."""
        self._saved = max(0.0, self._saved - 1.0)
