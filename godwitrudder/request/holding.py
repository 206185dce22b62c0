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

DEMAND_SECONDS: Final = 12.0
"""Time constant of the demand's mean: more than an outage of 7 to 9 s."""
INTERVAL_LEAST_SECONDS: Final = 0.5
"""Between statements without a waiting request: two calls a second and host."""
APPEND_SECONDS: Final = 0.004
"""Time that the store takes for one append, one after the other (the users' sheets)."""
APPEND_SHARE: Final = 0.25
"""Part of the store's time that statements without a waiting request may take: the rest
is for those of requests that wait."""
REFRESH_INTERVALS: Final = 0.9
"""Age, in intervals, at which a statement that holds something is stated anew: at each
interval, whether anything has changed or not."""
OPEN_SECONDS: Final = 0.5
"""Demand that a statement opens at once: one least interval."""
OPEN_RATE: Final = 1.5
"""Demand, as a multiple of its mean, by which a statement opens with its age: callers
of one workspace come unevenly, by half in some seconds (the users' sheets)."""
OPEN_ALL_SECONDS: Final = 10.0
"""Time in which all that is held opens at the latest: an outage horizon."""
SHORT_SHARE: Final = 0.3
"""Part of its holding that a host keeps while another lacks tokens that nobody has
free."""
SURPLUS: Final = 1.15
"""A holding above its aim by this factor is given back."""
LARGEST_SECONDS: Final = 20.0
"""How long the largest request seen is kept in mind: two outage horizons."""
KEPT_SHARE_BY_RANK: Final = (0.0, 0.1, 0.45)
"""Part of a holding that is kept for more urgent requests in a silence of the store,
by rank: a most urgent request asks for a tenth of the tokens of the next, and both
are worth more a token than the rest (the users' sheets)."""
STRANGERS_SHARE: Final = 0.1
"""Part of a mean host's demand that each host expects besides its own callers'."""
WARM_MEANS: Final = 4.0
"""Age of a mean that was taken over, in time constants."""
WARM_SECONDS: Final = 2.0
"""Least time that a mean is taken over."""
KNOWN_SECONDS: Final = 3.0
"""Time constant by which a new mean is relied on: a few requests of a caller."""
KNOWN_LEAST: Final = 0.1
"""Least reliance on a mean when it bounds a holding."""
DEVIATIONS: Final = 1.5
"""Standard deviations of the demand that a holding covers: 13 in 14 horizons."""


@dataclass(frozen=True, slots=True)
class Policy:
    """How much a host holds ahead.

    Attributes
    ----------
    first_share, last_share : float
        Part of all that is left which all hosts together hold ahead at most, when
        nothing is spent and towards the end.
    horizon_seconds : float
        Time without the store that a host is to bridge.
    """

    first_share: float = 0.7
    last_share: float = 0.2
    horizon_seconds: float = 10.0


def interval_seconds(hosts: int) -> float:
    """Return the time between statements of a host; all append to one partition."""
    return max(INTERVAL_LEAST_SECONDS, hosts * APPEND_SECONDS / APPEND_SHARE)


@dataclass(slots=True)
class Demand:
    """What is asked for: aged sums of tokens and of their squares.

    Attributes
    ----------
    began : float or None
        When the host got its first request of any workspace.
    largest : int
        Tokens of the largest request of late.
    """

    tokens: float = 0.0
    squares: float = 0.0
    at: float = 0.0
    began: float | None = None
    largest: int = 0
    largest_at: float = 0.0

    def record(self, tokens: int, now: float) -> None:
        """Note a request."""
        self._age(now)
        self.tokens += tokens
        self.squares += float(tokens) * tokens
        if tokens >= self.largest or now - self.largest_at > LARGEST_SECONDS:
            self.largest = tokens
            self.largest_at = now

    def per_second(self, now: float) -> float:
        """Return the mean, in tokens a second."""
        self._age(now)
        if self.began is None:
            return 0.0
        age = max(WARM_SECONDS, now - self.began)
        return self.tokens / (DEMAND_SECONDS * -math.expm1(-age / DEMAND_SECONDS))

    def expect(self, per_second: float, now: float) -> None:
        """Begin with a mean that is known from before."""
        self.tokens = per_second * DEMAND_SECONDS
        self.at = now
        self.began = now - DEMAND_SECONDS * WARM_MEANS

    def recent(self, now: float) -> int:
        """Return the tokens of the largest request of late, 0 where none came."""
        return self.largest if now - self.largest_at < LARGEST_SECONDS else 0

    def known(self, now: float) -> float:
        """Return how far the mean can be relied on, 0 to 1."""
        if self.began is None:
            return 0.0
        return -math.expm1(-(now - self.began) / KNOWN_SECONDS)

    @property
    def weight(self) -> float:
        """Return the size of a request as it counts for the variance, in tokens."""
        return self.squares / self.tokens if self.tokens > 1 else float(self.largest)

    def _age(self, now: float) -> None:
        if now > self.at:
            factor = math.exp(-(now - self.at) / DEMAND_SECONDS)
            self.tokens *= factor
            self.squares *= factor
            self.at = now


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
    """

    spent: int = 0
    granted: int = 0
    stated: Row | None = None
    stated_at: float = 0.0
    pending: Row | None = None
    pending_at: float = 0.0
    waiting: int = 0
    demand: Demand = field(default_factory=Demand)

    def spendable(self, now: float) -> int:
        """Return the tokens that may be reserved now."""
        if self.stated is None:
            return 0
        bound = min(self.granted, self.stated.spendable_at(now - self.stated_at))
        if self.pending is not None:
            bound = min(bound, self.pending.spendable_at(now - self.pending_at))
        return bound - self.spent

    def opens_at(self, tokens: int) -> float | None:
        """Return when tokens can be reserved without a further statement, if ever."""
        if self.stated is None or tokens > self.granted - self.spent:
            return None
        reach = self.spent + tokens
        after = self.stated.age_when_spendable(reach)
        if after is None or self.pending is None:
            return None if after is None else self.stated_at + after
        pending_after = self.pending.age_when_spendable(reach)
        if pending_after is None:
            return None
        return max(self.stated_at + after, self.pending_at + pending_after)

    def reserve(self, tokens: int, now: float, kept_share: float = 0.0) -> bool:
        """Take tokens for a request at its most; False where they can't be had.

        Parameters
        ----------
        kept_share : float
            Part of what is held that is left for more urgent requests.
        """
        if self.lacks(tokens, now, kept_share) > 0:
            return False
        self.spent += tokens
        return True

    def lacks(self, tokens: int, now: float, kept_share: float = 0.0) -> int:
        """Return the tokens beyond which a request fits, none or fewer where it does.

        Parameters
        ----------
        kept_share : float
            As for ``reserve``.
        """
        held = self.granted - self.spent
        kept_lack = math.ceil(tokens / (1 - kept_share)) - held
        return max(tokens - self.spendable(now), kept_lack)

    def settle(self, reserved: int, used: int) -> None:
        """Give back what a request did not use."""
        self.spent -= reserved - min(used, reserved)

    def lend(self, tokens: int) -> None:
        """Count tokens that go to another host as spent here."""
        self.spent += tokens

    def borrow(self, tokens: int) -> None:
        """Take tokens that another host has counted as spent."""
        self.spent -= tokens

    def plan(
        self,
        now: float,
        prepaid: int,
        others: Totals,
        policy: Policy,
    ) -> Row:
        """Return the row to state next."""
        demand = self.demand.per_second(now)
        ahead = max(self.aim(now, prepaid, others, policy), self.waiting)
        limit = self.spent + ahead
        if self.stated is not None and not self.waiting:
            held = self.stated.limit - self.spent
            if ahead <= held <= ahead * SURPLUS:
                limit = self.stated.limit
        limit = max(self.spent, min(limit, max(prepaid - others.limit, self._kept())))
        if self.waiting:
            limit = max(limit, self.spent + self.waiting)
        large = float(self.demand.largest)
        open_now = max(demand * OPEN_SECONDS, float(self.waiting), large)
        cap = min(limit, self.spent + math.ceil(open_now))
        expected = round(self.expected(now, others), 1)
        rate = max(demand * OPEN_RATE, (limit - cap) / OPEN_ALL_SECONDS)
        return Row(limit, cap, round(demand, 1), self.waiting, expected, round(rate, 1))

    def aim(
        self,
        now: float,
        prepaid: int,
        others: Totals,
        policy: Policy,
    ) -> int:
        """Return the tokens to hold ahead."""
        left = max(0, prepaid - self.spent - others.cap)
        if not left:
            return 0
        expected = self.expected(now, others)
        total = expected + others.expected
        part = expected / total if total > 0 else 1 / (others.hosts + 1)
        least, most = policy.last_share, policy.first_share
        together = least + (most - least) * left / prepaid
        bound = left * together * part
        gives_way = (
            others.waiting_tokens > self._free(prepaid, others) and not self.waiting
        )
        if gives_way:
            bound *= SHORT_SHARE
        if total > 0:
            wanted = self._wanted(expected, policy.horizon_seconds)
            bound = min(bound, wanted / max(KNOWN_LEAST, self.demand.known(now)))
        if gives_way:
            return int(bound)
        equal = left * together / (others.hosts + 1)
        return int(max(bound, min(equal, self.demand.recent(now))))

    def _free(self, prepaid: int, others: Totals) -> int:
        """Return the tokens that no host holds."""
        own = self.spent if self.stated is None else self.stated.limit
        return prepaid - others.limit - own

    def expected(self, now: float, others: Totals) -> float:
        """Return the demand to expect here, in tokens a second.

        What this host has seen counts as far as it is known; the rest is the mean of
        the other hosts.  Hosts state both figures, so that their parts add up to one.
        """
        mean = others.demand / others.hosts if others.hosts else 0.0
        known = self.demand.known(now)
        own = self.demand.per_second(now)
        return known * own + (1 - known + STRANGERS_SHARE) * mean

    def _wanted(self, per_second: float, seconds: float) -> float:
        """Return what a horizon takes: the mean and some deviations above it."""
        mean = per_second * seconds
        return mean + DEVIATIONS * math.sqrt(mean * self.demand.weight)

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


def kept_share(rank: int, silent: bool) -> float:
    """Return the part that a request leaves while nothing more can be drawn."""
    if not silent:
        return 0.0
    return KEPT_SHARE_BY_RANK[max(0, min(rank, len(KEPT_SHARE_BY_RANK) - 1))]
