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

RATE_HALF_LIFE_SECONDS: Final = 30.0
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
    busy : int
        Tokens reserved there for requests under way or kept for waiting ones.
    at : float
        Clock reading in seconds.
    """

    busy: int
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
    unread : int
        Received by hand-overs that the log does not show yet.
    drawing : str
        Operation id of the draw under way; empty for none.
    rate : float
        Billed tokens a second, an exponentially aged mean.
    ask_at, asking_until : float
        Earliest next call-back, and when those under way count as lost.
    """

    budget: str
    witnessed: Part = field(default_factory=Part)
    isolated: Part = field(default_factory=Part)
    unread: int = 0
    drawing: str = ""
    rate: float = 0.0
    rated_at: float = 0.0
    used_at: float = 0.0
    ask_at: float = 0.0
    ask_backoff: float = 0.0
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
        """Return the aged rate in tokens a second."""
        elapsed = max(0.0, now - self.rated_at)
        return self.rate * float(0.5 ** (elapsed / RATE_HALF_LIFE_SECONDS))

    def measure(self, tokens: int, now: float) -> None:
        """Count billed tokens towards the rate."""
        self.rate = self.rate_at(now) + tokens * _RATE_GAIN_PER_SECOND
        self.rated_at = now
