"""Admission: reserve the upper bound of a request from the tokens granted here.

A ``Wallet`` holds what this incarnation may spend of one budget, in two parts:
witnessed tokens are spent under acknowledgements of the witnesses, isolated ones
without.  A request is admitted locally when its upper bound fits one part;
otherwise the allotment draws a grant.  Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from typing import Final

from godwitrudder.connection.escrow import Transfer

RATE_HALF_LIFE_SECONDS: Final = 300.0
RATE_AGE_LEAST_SECONDS: Final = 30.0
_RATE_GAIN_PER_SECOND: Final = log(2) / RATE_HALF_LIFE_SECONDS


@dataclass(slots=True)
class Reservation:
    """A request may spend up to ``tokens``.

    Attributes
    ----------
    holder : str
        Holder whose grants back the reservation.
    isolated : bool
        Whether it spends from the isolated part, with no acknowledgement.
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
class Heard:
    """What another holder last answered to a call-back.

    Attributes
    ----------
    busy, idle : int
        Tokens reserved there or kept for waiting requests, and tokens left over.
    at : float
        Clock reading in seconds.
    """

    busy: int
    idle: int
    at: float


@dataclass(slots=True)
class Part:
    """Tokens of one kind: ``held`` is granted, reservations included."""

    held: int = 0
    reserved: int = 0

    @property
    def idle(self) -> int:
        """Tokens held and not reserved."""
        return self.held - self.reserved

    def reserve(self, tokens: int) -> bool:
        """Reserve tokens; False where too few are idle."""
        if tokens > self.idle:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        """End a reservation of which ``used`` tokens are billed."""
        self.reserved -= reserved
        self.held -= used


@dataclass(slots=True)
class Wallet:
    """Tokens of one budget that this incarnation may spend.

    Attributes
    ----------
    unread_by_op : dict
        Hand-overs that brought tokens here and that the log does not show yet.
    drawing : str
        Operation id of the draw under way; empty for none.
    rate : float
        Billed tokens a second, an exponentially aged sum; see ``rate_at``.
    rated_since, rated_at : float
        First and last time it was measured, in seconds.
    ask_at, ask_backoff : float
        Earliest next round of call-backs, and the pause after it, in seconds.
    ask_width : int
        Holders to ask in the next round.
    """

    budget: str
    witnessed: Part = field(default_factory=Part)
    isolated: Part = field(default_factory=Part)
    unread_by_op: dict[str, Transfer] = field(default_factory=dict)
    drawing: str = ""
    rate: float = 0.0
    rated_since: float = 0.0
    rated_at: float = 0.0
    used_at: float = 0.0
    ask_at: float = 0.0
    ask_backoff: float = 0.0
    ask_width: int = 1
    waiters_by_request: dict[str, Waiter] = field(default_factory=dict)
    heard_by_holder: dict[str, Heard] = field(default_factory=dict)
    asked_by_holder: dict[str, float] = field(default_factory=dict)

    @property
    def idle(self) -> int:
        """Tokens of both parts that no reservation needs."""
        return self.witnessed.idle + self.isolated.idle

    @property
    def reserved(self) -> int:
        """Tokens reserved for requests under way."""
        return self.witnessed.reserved + self.isolated.reserved

    @property
    def waiting(self) -> int:
        """Tokens that waiting requests want."""
        return sum(waiter.tokens for waiter in self.waiters_by_request.values())

    @property
    def unused(self) -> bool:
        """Whether nothing is reserved, waited for or on its way."""
        return not (self.reserved or self.drawing or self.waiters_by_request)

    def part(self, isolated: bool) -> Part:
        """Return one of the two parts."""
        return self.isolated if isolated else self.witnessed

    def rate_at(self, now: float) -> float:
        """Return the aged mean in tokens a second, right from the first on."""
        age = max(RATE_AGE_LEAST_SECONDS, now - self.rated_since)
        return self._aged(now) / (1.0 - _kept(age))

    def _aged(self, now: float) -> float:
        return self.rate * _kept(max(0.0, now - self.rated_at))

    def measure(self, tokens: int, now: float) -> None:
        """Count billed tokens towards the rate."""
        if not self.rate:
            self.rated_since = now
        self.rate = self._aged(now) + tokens * _RATE_GAIN_PER_SECOND
        self.rated_at = now


def _kept(seconds: float) -> float:
    """Return what is left of a mean after ``seconds``."""
    return float(0.5 ** (seconds / RATE_HALF_LIFE_SECONDS))
