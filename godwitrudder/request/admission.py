"""Admission: reserves the upper bound of a request from the tokens granted here.

A ``Balance`` holds what this incarnation may spend of one budget, in two pools.
Witnessed tokens are spent after an acknowledgement by a witness, isolated tokens
without one. A request is admitted locally if its upper bound fits into one pool;
otherwise the grant allocator draws a grant. Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from typing import Final

from godwitrudder.connection.escrow import Transfer

RATE_HALF_LIFE_SECONDS: Final = 300.0
# Shortest time over which a rate is taken.
MIN_RATE_AGE_SECONDS: Final = 30.0
_RATE_GAIN_PER_SECOND: Final = log(2) / RATE_HALF_LIFE_SECONDS


@dataclass(slots=True)
class Reservation:
    """Up to ``tokens`` that a request may spend.

    Attributes
    ----------
    holder : str
        Holder whose grants back the reservation.
    isolated : bool
        Whether it spends isolated tokens, without an acknowledgement.
    """

    request: str
    budget: str
    holder: str
    tokens: int
    isolated: bool = False


@dataclass(frozen=True, slots=True)
class Waiter:
    """A request that waits for tokens; times are clock readings in seconds."""

    request: str
    budget: str
    tokens: int
    since: float
    deadline: float


@dataclass(frozen=True, slots=True)
class CallBackAnswer:
    """The last answer of another holder to a call-back.

    Attributes
    ----------
    busy, idle : int
        Tokens reserved there or kept for waiting requests, and the remaining tokens.
    at : float
        Time of the call-back, a clock reading in seconds.
    """

    busy: int
    idle: int
    at: float


@dataclass(slots=True)
class TokenPool:
    """Tokens of one kind: ``held`` is granted, reservations included."""

    held: int = 0
    reserved: int = 0

    @property
    def idle(self) -> int:
        """Tokens held and not reserved."""
        return self.held - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Reserve tokens; return False if too few are idle."""
        if tokens > self.idle:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation of which ``used`` tokens are billed."""
        self.reserved -= reserved
        self.held -= used


@dataclass(slots=True)
class Balance:
    """Tokens of one budget that this incarnation may spend.

    Attributes
    ----------
    unlogged_transfers_by_op : dict
        Hand-overs to this holder that the log does not show yet.
    draw_op : str
        Operation id of the draw in flight; empty for none.
    rate : float
        Billed tokens a second, an exponentially decaying sum; see ``rate_at``.
    rated_since, rated_at : float
        First and last time at which tokens were billed, in seconds.
    used_at : float
        Time of the last use of the balance, in seconds.
    ask_at, ask_backoff : float
        Earliest time of the next round of call-backs, and the pause after it, in
        seconds.
    ask_fanout : int
        Number of holders to ask in the next round.
    asked_by_holder : dict
        Time in seconds of each call-back that is not answered yet.
    """

    budget: str
    witnessed: TokenPool = field(default_factory=TokenPool)
    isolated: TokenPool = field(default_factory=TokenPool)
    unlogged_transfers_by_op: dict[str, Transfer] = field(default_factory=dict)
    draw_op: str = ""
    rate: float = 0.0
    rated_since: float = 0.0
    rated_at: float = 0.0
    used_at: float = 0.0
    ask_at: float = 0.0
    ask_backoff: float = 0.0
    ask_fanout: int = 1
    waiters_by_request: dict[str, Waiter] = field(default_factory=dict)
    answers_by_holder: dict[str, CallBackAnswer] = field(default_factory=dict)
    asked_by_holder: dict[str, float] = field(default_factory=dict)

    @property
    def idle(self) -> int:
        """Tokens of both pools that are not reserved."""
        return self.witnessed.idle + self.isolated.idle

    @property
    def reserved(self) -> int:
        """Tokens reserved for running requests."""
        return self.witnessed.reserved + self.isolated.reserved

    @property
    def waiting(self) -> int:
        """Tokens that waiting requests need."""
        return sum(waiter.tokens for waiter in self.waiters_by_request.values())

    @property
    def unused(self) -> bool:
        """Whether no tokens are reserved, drawn or waited for."""
        return not (self.reserved or self.draw_op or self.waiters_by_request)

    def pool(self, isolated: bool) -> TokenPool:
        """Return the isolated or the witnessed pool."""
        return self.isolated if isolated else self.witnessed

    def rate_at(self, now: float) -> float:
        """Return the mean rate in tokens a second, corrected for a short history."""
        age = max(MIN_RATE_AGE_SECONDS, now - self.rated_since)
        return self._decayed_rate(now) / (1.0 - _decay(age))

    def _decayed_rate(self, now: float) -> float:
        return self.rate * _decay(max(0.0, now - self.rated_at))

    def record_billed(self, tokens: int, now: float) -> None:
        """Add billed tokens to the rate."""
        if not self.rate:
            self.rated_since = now
        self.rate = self._decayed_rate(now) + tokens * _RATE_GAIN_PER_SECOND
        self.rated_at = now


def _decay(seconds: float) -> float:
    """Return the decay factor of a mean after ``seconds``."""
    return float(0.5 ** (seconds / RATE_HALF_LIFE_SECONDS))
