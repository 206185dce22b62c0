"""Admission: reserve the upper bound of a request from the tokens granted here.

A ``Wallet`` holds what this incarnation may spend of one budget.  A request is
admitted locally when its upper bound fits; otherwise the caller of this module
draws a grant.  Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

HORIZON_SECONDS: Final = 10.0
RATE_HALF_LIFE_SECONDS: Final = 5.0
LOW_WATER_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class Reserved:
    """The request may spend up to ``tokens``."""

    request: str
    budget: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Short:
    """The wallet lacks ``missing`` tokens for the request."""

    missing: int


@dataclass(slots=True)
class Wallet:
    """Tokens of one budget that this incarnation may spend.

    Attributes
    ----------
    held : int
        Granted, neither billed nor returned; reservations included.
    rate : float
        Tokens a second, an exponentially aged mean.
    """

    budget: str
    held: int = 0
    rate: float = 0.0
    rated_at: float = 0.0
    drawing: int = 0
    reserved_by_request: dict[str, int] = field(default_factory=dict)

    @property
    def reserved(self) -> int:
        """Tokens reserved for requests under way."""
        return sum(self.reserved_by_request.values())

    @property
    def idle(self) -> int:
        """Tokens held and not reserved."""
        return self.held - self.reserved

    def reserve(self, request: str, tokens: int, now: float) -> Reserved | Short:
        """Reserve the upper bound of a request."""
        if tokens > self.idle:
            return Short(tokens - self.idle)
        self.reserved_by_request[request] = tokens
        self._rate(tokens, now)
        return Reserved(request, self.budget, tokens)

    def settle(self, request: str, used: int) -> int:
        """End a reservation; return the tokens to bill, never above it."""
        reserved = self.reserved_by_request.pop(request, 0)
        billed = min(used, reserved)
        self.held -= billed
        return billed

    def credit(self, tokens: int) -> None:
        """Add a grant that was read back from the log."""
        self.held += tokens

    def draw_size(self, missing: int) -> int:
        """Return how many tokens to ask for."""
        return missing + int(self.rate * HORIZON_SECONDS)

    def below_low_water(self) -> bool:
        """Whether a new draw should start ahead of need."""
        return self.idle < self.rate * HORIZON_SECONDS * LOW_WATER_SHARE

    def _rate(self, tokens: int, now: float) -> None:
        elapsed = max(0.0, now - self.rated_at)
        kept = 0.5 ** (elapsed / RATE_HALF_LIFE_SECONDS)
        self.rate = self.rate * kept + tokens * 0.693 / RATE_HALF_LIFE_SECONDS
        self.rated_at = now
