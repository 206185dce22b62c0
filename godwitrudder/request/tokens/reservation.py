"""The outcomes of reserving tokens for a request."""

from __future__ import annotations

from dataclasses import dataclass

from godwitrudder.request.tokens.shortage import LenderOutcome, Shortage


@dataclass(frozen=True, slots=True)
class ReservationRefused:
    """The reason why tokens could not be reserved.

    Attributes
    ----------
    exhausted : bool
        Whether the prepaid amount does not cover the request; True only if the
        store answered recently.
    remaining : int
        Tokens left of the budget, as far as this host knows.
    silent_seconds : float
        Time since the store last answered, the age of this host's knowledge.
    waited_seconds : float
        Time that the request waited.
    shortage : Shortage
        Why tokens were missing.
    lenders : LenderOutcome
        What came of asking other hosts.
    draining : bool
        Whether its wait ended because this host drains.
    """

    exhausted: bool
    remaining: int
    silent_seconds: float
    waited_seconds: float
    shortage: Shortage
    lenders: LenderOutcome
    draining: bool


@dataclass(slots=True)
class Reservation:
    """Tokens reserved for one request: the most that it can use.

    Attributes
    ----------
    waited_seconds : float
        Time that the request waited for them.
    """

    workspace: str
    tokens: int
    waited_seconds: float = 0.0
