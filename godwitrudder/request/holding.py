"""Holding: the prepaid tokens of one workspace that one host may spend.

The host states a limit and a cap (see ``version.statements``). Tokens up to the cap may
be spent at once. The rest, up to the limit, becomes spendable as the statement ages.
The amount that it holds ahead of its spending follows its demand and the outage that it
must bridge. That amount is also bounded by the host's part of the remaining tokens, so
holdings shrink as the budget runs out and other hosts need more of it. All times are
readings of the clock that the statement carries.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

import msgspec

from godwitrudder.request.allowance import Allowance
from godwitrudder.version.statement_table import Totals
from godwitrudder.version.statements import UNBOUNDED_TOKENS, Row

DEMAND_SECONDS: Final = 12.0
"""Time constant of the mean demand; longer than an outage of 7 to 9 s."""
MIN_INTERVAL_SECONDS: Final = 0.5
"""Shortest time between statements while no request waits: two calls a second per
host."""
APPEND_SECONDS: Final = 0.004
"""Time that the store takes for one append; it appends one at a time."""
APPEND_SHARE: Final = 0.25
"""Largest share of the store's time for statements that no request waits for. The rest
is left for statements that waiting requests need."""
REFRESH_INTERVALS: Final = 0.9
"""Age, in statement intervals, after which a statement that holds tokens is repeated.
Below one, so that it is repeated in every interval even if nothing has changed."""
OPEN_SECONDS: Final = 0.5
"""Seconds of demand that a statement's cap covers: one shortest interval."""
OPEN_RATE_FACTOR: Final = 1.5
"""Rate at which tokens above the cap become spendable, as a multiple of the mean
demand. The load of a workspace varies by half within seconds."""
OPEN_ALL_SECONDS: Final = 10.0
"""Longest time in which a statement's tokens all become spendable: the outage that a
host must bridge."""
CONTENDED_SHARE: Final = 0.3
"""Share of its target that a host keeps while another host lacks tokens and too few are
free to cover it."""
SURPLUS_FACTOR: Final = 1.15
"""A holding that exceeds its target by this factor is reduced."""
LARGEST_KEPT_SECONDS: Final = 20.0
"""Time for which the largest request seen is remembered: two outages."""
NEW_CALLERS_SHARE: Final = 0.1
"""Demand that each host expects from new callers, as a share of the mean host's
demand."""
RESTORED_TIME_CONSTANTS: Final = 4.0
"""Age assumed for a mean restored from a former incarnation, in time constants."""
MIN_MEAN_SECONDS: Final = 2.0
"""Shortest time over which a mean is taken."""
CONFIDENCE_SECONDS: Final = 3.0
"""Time constant by which confidence in a new mean grows: a few requests of one
caller."""
MIN_CONFIDENCE: Final = 0.1
"""Lower bound of the confidence by which a holding's bound is divided."""
DEMAND_ALLOWED_SECONDS: Final = 3.0
"""Seconds of demand by which a grant may rise at once, besides the largest request,
while a host that counts as active does not answer."""
ALLOWANCE_SHARE: Final = 0.15
"""The least of it, relative to a host's equal part of the prepaid amount."""
ALLOWANCE_SLACK: Final = 1.2
"""Factor by which a new allowance exceeds the one wanted, so that few are needed."""
DEVIATIONS: Final = 1.5
"""Standard deviations of the demand that a holding covers: enough in 13 of 14
outages."""


@dataclass(frozen=True, slots=True)
class Policy:
    """How many tokens a host holds ahead of its spending.

    Attributes
    ----------
    first_share, last_share : float
        Largest share of the remaining tokens that all hosts together hold ahead: while
        nothing is spent, and as the budget runs out.
    horizon_seconds : float
        Outage of the store that a host bridges with what it holds.
    """

    first_share: float = 0.7
    last_share: float = 0.2
    horizon_seconds: float = 10.0


def interval_seconds(hosts: int) -> float:
    """Return the seconds between statements of a host.

    All hosts append to one partition.
    """
    return max(MIN_INTERVAL_SECONDS, hosts * APPEND_SECONDS / APPEND_SHARE)


def _rounded(per_second: float) -> float:
    """Return a figure that is short in a statement: whole, unless it is small."""
    return round(per_second) if per_second >= 100 else round(per_second, 1)


@dataclass(slots=True)
class Demand:
    """Demand of one workspace: decaying sums of tokens and of their squares.

    Attributes
    ----------
    began : float or None
        Time of the host's first request of any workspace.
    largest : int
        Tokens of the largest recent request.
    """

    tokens: float = 0.0
    squares: float = 0.0
    at: float = 0.0
    began: float | None = None
    largest: int = 0
    largest_at: float = 0.0

    def record(self, tokens: int, now: float) -> None:
        """Record the tokens that a request asks for."""
        self._age(now)
        self.tokens += tokens
        self.squares += float(tokens) * tokens
        if tokens >= self.largest or now - self.largest_at > LARGEST_KEPT_SECONDS:
            self.largest = tokens
            self.largest_at = now

    def per_second(self, now: float) -> float:
        """Return the mean demand, in tokens a second."""
        self._age(now)
        if self.began is None:
            return 0.0
        age = max(MIN_MEAN_SECONDS, now - self.began)
        return self.tokens / (DEMAND_SECONDS * -math.expm1(-age / DEMAND_SECONDS))

    def expect(self, per_second: float, now: float) -> None:
        """Start from the mean of a former incarnation, in tokens a second."""
        self.tokens = per_second * DEMAND_SECONDS
        self.at = now
        self.began = now - DEMAND_SECONDS * RESTORED_TIME_CONSTANTS

    def largest_recent(self, now: float) -> int:
        """Return the tokens of the largest recent request, 0 if there was none."""
        return self.largest if now - self.largest_at < LARGEST_KEPT_SECONDS else 0

    def confidence(self, now: float) -> float:
        """Return the confidence in the mean, 0 to 1."""
        if self.began is None:
            return 0.0
        return -math.expm1(-(now - self.began) / CONFIDENCE_SECONDS)

    @property
    def variance_tokens(self) -> float:
        """Return the request size to use for the variance of the demand, in tokens."""
        return self.squares / self.tokens if self.tokens > 1 else float(self.largest)

    def _age(self, now: float) -> None:
        if now > self.at:
            factor = math.exp(-(now - self.at) / DEMAND_SECONDS)
            self.tokens *= factor
            self.squares *= factor
            self.at = now


@dataclass(slots=True)
class Holding:
    """Tokens of one workspace on one host, cumulative since the budgets began.

    Attributes
    ----------
    spent : int
        Upper bound of the tokens spent; a request in flight counts with its upper
        bound.
    granted : int
        Cumulative tokens that this host may spend, given the other hosts' limits.
    stated, pending : Row or None
        The last row that the store has confirmed, and the one sent since, if any.
    stated_at, pending_at : float
        Time at which each was sent.
    waiting_tokens : int
        Tokens of the requests that wait for this holding.
    known_limit : int
        Limit that all active hosts are known to remember.
    allowance : Allowance
        Bounds how fast the grant rises above that limit.
    announced_allowance : int
        Size that rows state for it; it is in force once other hosts have read that.
    """

    spent: int = 0
    granted: int = 0
    stated: Row | None = None
    stated_at: float = 0.0
    pending: Row | None = None
    pending_at: float = 0.0
    waiting_tokens: int = 0
    demand: Demand = field(default_factory=Demand)
    known_limit: int = UNBOUNDED_TOKENS
    allowance: Allowance = field(default_factory=Allowance)
    announced_allowance: int = 0

    def spendable(self, now: float) -> int:
        """Return the tokens that may be reserved now."""
        if self.stated is None:
            return 0
        bound = min(self.granted, self.stated.spendable_at(now - self.stated_at))
        if self.pending is not None:
            bound = min(bound, self.pending.spendable_at(now - self.pending_at))
        return bound - self.spent

    def opens_at(self, tokens: int) -> float | None:
        """Return the time from which the tokens can be reserved, in seconds.

        None if a further statement is needed.
        """
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

    def reserve(self, tokens: int, now: float) -> bool:
        """Reserve the upper bound of a request; return False if it does not fit."""
        if self.lacks(tokens, now) > 0:
            return False
        self.spent += tokens
        return True

    def lacks(self, tokens: int, now: float) -> int:
        """Return the tokens missing for a request; zero or negative if it fits."""
        return tokens - self.spendable(now)

    def settle(self, reserved: int, used: int) -> None:
        """Return the reserved tokens that a request did not use."""
        self.spent -= reserved - min(used, reserved)

    def lend(self, tokens: int) -> None:
        """Count tokens lent to another host as spent here."""
        self.spent += tokens

    def borrow(self, tokens: int) -> None:
        """Add tokens that the lender has counted as spent."""
        self.spent -= tokens

    def plan(
        self,
        now: float,
        prepaid: int,
        others: Totals,
        policy: Policy,
        ceiling: int = UNBOUNDED_TOKENS,
    ) -> Row:
        """Return the row to state next.

        Parameters
        ----------
        ceiling : int
            Tokens that all hosts together may be granted now.
        """
        demand = self.demand.per_second(now)
        ahead = max(
            self.tokens_ahead(now, prepaid, others, policy), self.waiting_tokens
        )
        limit = self.spent + ahead
        if self.stated is not None and not self.waiting_tokens:
            held = self.stated.limit - self.spent
            if ahead <= held <= ahead * SURPLUS_FACTOR:
                limit = self.stated.limit
        limit = max(
            self.spent,
            min(
                limit, max(min(prepaid, ceiling) - others.limit, self._granted_limit())
            ),
        )
        if self.waiting_tokens:
            limit = max(limit, self.spent + self.waiting_tokens)
        large = float(self.demand.largest)
        open_now = max(demand * OPEN_SECONDS, float(self.waiting_tokens), large)
        cap = min(limit, self.spent + math.ceil(open_now))
        expected = _rounded(self.expected(now, others))
        rate = max(demand * OPEN_RATE_FACTOR, (limit - cap) / OPEN_ALL_SECONDS)
        return Row(
            limit, cap, _rounded(demand), self.waiting_tokens, expected, round(rate, 1)
        )

    def with_bounds(self, row: Row, ceiling: int, raised: bool) -> Row:
        """Return a row that names the allowance and the ceiling in force."""
        return msgspec.structs.replace(
            row,
            allowance=self.announced_allowance,
            allowance_in_force=self.allowance.tokens,
            ceiling=ceiling,
            raised=raised,
        )

    def announce_allowance(self, part: float, now: float) -> None:
        """Choose the allowance to state.

        A lower one is in force at once, a higher one when others have read it.

        Parameters
        ----------
        part : float
            The host's equal part of the prepaid amount, in tokens.
        """
        demand = self.demand.per_second(now)
        wanted = max(
            part * ALLOWANCE_SHARE,
            demand * DEMAND_ALLOWED_SECONDS + self.demand.largest_recent(now),
        )
        if not wanted <= self.announced_allowance <= wanted * ALLOWANCE_SLACK**2:
            self.announced_allowance = math.ceil(wanted * ALLOWANCE_SLACK)
        self.use_allowance(self.allowance.tokens, now)

    def use_allowance(self, tokens: int, now: float) -> None:
        """Put an allowance in force, as far as the announced one permits."""
        self.allowance.resize(min(tokens, self.announced_allowance), now)

    def tokens_ahead(
        self,
        now: float,
        prepaid: int,
        others: Totals,
        policy: Policy,
    ) -> int:
        """Return the tokens to hold ahead of spending."""
        left = max(0, prepaid - self.spent - others.cap)
        if not left:
            return 0
        expected = self.expected(now, others)
        total = expected + others.expected
        part = expected / total if total > 0 else 1 / (others.hosts + 1)
        least, most = policy.last_share, policy.first_share
        together = least + (most - least) * left / prepaid
        bound = left * together * part
        yields = (
            others.waiting_tokens > self._free(prepaid, others)
            and not self.waiting_tokens
        )
        if yields:
            bound *= CONTENDED_SHARE
        if total > 0:
            wanted = self._wanted(expected, policy.horizon_seconds)
            bound = min(
                bound, wanted / max(MIN_CONFIDENCE, self.demand.confidence(now))
            )
        if yields:
            return int(bound)
        equal = left * together / (others.hosts + 1)
        return int(max(bound, min(equal, self.demand.largest_recent(now))))

    def _free(self, prepaid: int, others: Totals) -> int:
        """Return the tokens that no host holds."""
        own = self.spent if self.stated is None else self.stated.limit
        return prepaid - others.limit - own

    def expected(self, now: float, others: Totals) -> float:
        """Return the expected demand of this host, in tokens a second.

        The host's own mean counts in proportion to the confidence in it; the mean of
        the other hosts fills the rest. Hosts state both figures, so their parts sum to
        one.
        """
        mean = others.demand / others.hosts if others.hosts else 0.0
        confidence = self.demand.confidence(now)
        own = self.demand.per_second(now)
        return confidence * own + (1 - confidence + NEW_CALLERS_SHARE) * mean

    def _wanted(self, per_second: float, seconds: float) -> float:
        """Return the tokens for a time: mean demand plus ``DEVIATIONS``."""
        mean = per_second * seconds
        return mean + DEVIATIONS * math.sqrt(mean * self.demand.variance_tokens)

    def statement_sent(self, row: Row, now: float) -> None:
        """Record that a row is about to be sent; a lower limit applies at once.

        Call this before sending, so that this host never spends more than it states.
        """
        self.pending = row
        self.pending_at = now
        self.granted = min(self.granted, row.limit)
        self.known_limit = min(self.known_limit, row.limit)

    def take_over(self, spent: int, allowance: int, now: float) -> None:
        """Continue a former incarnation, which can't have spent more."""
        self.spent = self.granted = self.known_limit = spent
        self.announced_allowance = allowance
        self.allowance.take_over(allowance, now)

    def statement_stored(self) -> None:
        """Record that the store has confirmed the pending row."""
        if self.pending is not None:
            self.stated = self.pending
            self.stated_at = self.pending_at
            self.pending = None

    def update_grant(self, ceiling: int, others: Totals, now: float = 0.0) -> None:
        """Update the grant after a read that includes the confirmed row.

        Parameters
        ----------
        ceiling : int
            Tokens that all hosts together may be granted now.
        """
        if self.stated is None:
            return
        limit = self.stated.limit
        if self.pending is not None:
            limit = min(limit, self.pending.limit)
        allowed = min(limit, ceiling - others.limit)
        known = max(self.granted, min(allowed, self.known_limit))
        unknown = min(max(0, allowed - known), self.allowance.available(now))
        self.allowance.take(unknown, now)
        self.granted = min(limit, known + unknown)

    def _granted_limit(self) -> int:
        return self.granted
