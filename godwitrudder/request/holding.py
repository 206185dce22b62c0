"""A holding: what one host may spend of one workspace's prepaid tokens.

The host states a limit and a cap (see ``version.statements``) and spends within
both.  How much it holds ahead follows its own demand and an outage horizon,
bounded by its part of what is left, so that what is held shrinks towards the
end, where others need it more.  Time is a reading of the clock that the
statement carries.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.version.statements import Row, Totals

DEMAND_SECONDS: Final = 10.0
"""Time constant of the demand's mean: an outage horizon."""
OPEN_SECONDS: Final = 1.0
"""Demand that may be spent without a further statement: two of its intervals."""
OPEN_SHARE: Final = 0.5
"""Part of a holding that may be open for one large request."""
SHORT_SHARE: Final = 0.3
"""Part of its holding that a host keeps while another lacks tokens."""
SURPLUS: Final = 1.3
"""A holding above its aim by this factor is given back."""
LARGEST_SECONDS: Final = 20.0
"""How long the largest request seen is kept in mind: two outage horizons."""


@dataclass(frozen=True, slots=True)
class Policy:
    """How much a host holds ahead.

    Attributes
    ----------
    share : float
        Part of all that is left which all hosts together hold ahead.
    even_share : float
        Part of that which hosts get alike, whatever their demand.
    young_seconds : float
        Time after a statement in which only its cap is spent.
    """

    share: float = 0.6
    even_share: float = 0.5
    young_seconds: float = 1.5


@dataclass(slots=True)
class Demand:
    """Mean of what is asked for, tokens a second, and the largest request."""

    per_second: float = 0.0
    at: float = 0.0
    largest: int = 0
    largest_at: float = 0.0

    def asked(self, tokens: int, now: float) -> None:
        """Note a request."""
        self.decay(now)
        self.per_second += tokens / DEMAND_SECONDS
        if tokens >= self.largest or now - self.largest_at > LARGEST_SECONDS:
            self.largest = tokens
            self.largest_at = now

    def decay(self, now: float) -> float:
        """Return the mean as of now."""
        if now > self.at:
            self.per_second *= math.exp(-(now - self.at) / DEMAND_SECONDS)
            self.at = now
        return self.per_second


@dataclass(slots=True)
class Holding:
    """One workspace on one host; tokens are cumulative since the budgets began.

    Attributes
    ----------
    spent : int
        Upper bound of what was spent, requests in flight at their most.
    granted : int
        What may be spent up to, as far as the other hosts are concerned.
    stated, pending : Row or None
        The last row that stands in the store, and the one that may stand there.
    waiting : int
        Tokens of requests that wait for this holding.
    young_seconds : float
        As in the policy.
    """

    spent: int = 0
    granted: int = 0
    stated: Row | None = None
    stated_at: float = 0.0
    pending: Row | None = None
    pending_at: float = 0.0
    waiting: int = 0
    young_seconds: float = 1.5
    demand: Demand = field(default_factory=Demand)

    def spendable(self, now: float) -> int:
        """Return the tokens that may be reserved now."""
        if self.stated is None:
            return 0
        bound = min(
            self.granted, _bound(self.stated, self.stated_at, now, self.young_seconds)
        )
        if self.pending is not None:
            bound = min(
                bound, _bound(self.pending, self.pending_at, now, self.young_seconds)
            )
        return bound - self.spent

    def reserve(self, tokens: int, now: float) -> bool:
        """Take tokens for a request at its most; False where they can't be had."""
        if tokens > self.spendable(now):
            return False
        self.spent += tokens
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Give back what a request did not use."""
        self.spent -= reserved - min(used, reserved)

    def plan(
        self, now: float, prepaid: int, others: Totals, hosts: int, policy: Policy
    ) -> Row:
        """Return the row to state next."""
        demand = self.demand.decay(now)
        ahead = max(self.aim(now, prepaid, others, hosts, policy), self.waiting)
        limit = self.spent + ahead
        if self.stated is not None and not self.waiting:
            held = self.stated.limit - self.spent
            if ahead <= held <= ahead * SURPLUS:
                limit = self.stated.limit
        limit = max(self.spent, min(limit, max(prepaid - others.limit, self._kept())))
        if self.waiting:
            limit = max(limit, self.spent + self.waiting)
        large = min(float(self.demand.largest), OPEN_SHARE * (limit - self.spent))
        open_now = max(demand * OPEN_SECONDS, float(self.waiting), large)
        cap = min(limit, self.spent + math.ceil(open_now))
        return Row(limit, cap, round(demand, 1), self.waiting)

    def aim(
        self, now: float, prepaid: int, others: Totals, hosts: int, policy: Policy
    ) -> int:
        """Return the tokens to hold ahead."""
        left = max(0, prepaid - self.spent - others.cap)
        demand = self.demand.decay(now)
        total = demand + others.demand
        part = 1 / max(1, hosts)
        if total > 0:
            even = policy.even_share
            part = even * part + (1 - even) * demand / total
        most = left * policy.share * part
        if others.short and not self.waiting:
            most *= SHORT_SHARE
        return int(most)

    def send(self, row: Row, now: float) -> None:
        """Note that a statement is on its way: it binds where it is lower."""
        self.pending = row
        self.pending_at = now
        self.granted = min(self.granted, row.limit)

    def stands(self) -> None:
        """Note that the pending statement stands."""
        if self.pending is not None:
            self.stated = self.pending
            self.stated_at = self.pending_at
            self.pending = None

    def read(self, prepaid: int, others: Totals) -> None:
        """Note a reading that includes the own standing statement."""
        if self.stated is None:
            return
        limit = self.stated.limit
        if self.pending is not None:
            limit = min(limit, self.pending.limit)
        allowed = min(limit, prepaid - others.limit)
        self.granted = min(limit, max(self.granted, allowed))

    def _kept(self) -> int:
        return self.granted


def _bound(row: Row, at: float, now: float, young_seconds: float) -> int:
    """Return up to what a row allows to spend at a time since it was sent."""
    return min(row.cap, row.limit) if now - at < young_seconds else row.limit
