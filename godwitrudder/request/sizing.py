"""Size of a draw, from the spending rate, the horizon and the remaining tokens.

A workspace's ``endurance`` sets how long its tokens should last while the log is
unreachable, and which part of them is isolated, so that no closing returns it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MIN_HORIZON_SECONDS: Final = 20.0
MAX_HORIZON_SECONDS: Final = 2400.0
MIN_LOW_WATER_SHARE: Final = 0.5
MAX_LOW_WATER_SHARE: Final = 0.85
# Smallest part of the tokens left to hold ahead, at an endurance of 1.
MIN_AHEAD_SHARE: Final = 0.004
# Smallest draw that no request waits for, as a share of the target amount.
MIN_DRAW_SHARE: Final = 0.08
# Seconds of spending that the isolated tokens cover, at an endurance of 0.5 or more.
ISOLATED_SECONDS: Final = 750.0
# Shares of the paid tokens to isolate at one router, at an endurance of 0.5 and of 1.
ISOLATED_HALF_SHARE: Final = 0.006
MAX_ISOLATED_SHARE: Final = 0.05
MIN_FLEET_AHEAD_SHARE: Final = 0.5
WHOLE_PERMILLE: Final = 1000


@dataclass(frozen=True, slots=True)
class BudgetTotals:
    """The known totals of a budget, in tokens.

    Attributes
    ----------
    remaining_by_holder : dict
        Tokens left in the open grants.
    """

    paid: int
    billed: int
    free: int
    remaining_by_holder: dict[str, int]

    @property
    def left(self) -> int:
        """Tokens paid and not billed."""
        return self.paid - self.billed


@dataclass(frozen=True, slots=True)
class DrawSize:
    """A draw: the tokens that requests wait for, all tokens, and the isolated ones."""

    needed: int
    tokens: int
    isolated: int


@dataclass(frozen=True, slots=True)
class DrawSizing:
    """The draw parameters for one endurance.

    Parameters
    ----------
    endurance : float
        0 to 1.
    live : int
        Number of live routers.
    """

    endurance: float
    live: int

    @property
    def horizon_seconds(self) -> float:
        """Seconds that the idle tokens should last."""
        spread = MAX_HORIZON_SECONDS - MIN_HORIZON_SECONDS
        return MIN_HORIZON_SECONDS + spread * self.endurance

    @property
    def fleet_ahead_share(self) -> float:
        """Largest share of the tokens left that all routers together draw ahead."""
        return min(1.0, MIN_FLEET_AHEAD_SHARE + self.endurance)

    @property
    def low_water_share(self) -> float:
        """Share of the target amount below which a new draw starts."""
        spread = MAX_LOW_WATER_SHARE - MIN_LOW_WATER_SHARE
        return MIN_LOW_WATER_SHARE + spread * min(1.0, 2 * self.endurance)

    @property
    def isolated_share(self) -> float:
        """Largest share of the paid tokens that is isolated at one router.

        Small up to an endurance of 0.5, so that a lost router strands few tokens. Above
        that, lasting through an outage takes precedence.
        """
        if self.endurance <= 0.5:
            return ISOLATED_HALF_SHARE * 2 * self.endurance
        spread = MAX_ISOLATED_SHARE - ISOLATED_HALF_SHARE
        return ISOLATED_HALF_SHARE + spread * (2 * self.endurance - 1)

    def ahead(self, rate: float, left: int) -> int:
        """Return the tokens that should be idle at this router."""
        share = left * self.fleet_ahead_share / max(1, self.live)
        least = left * MIN_AHEAD_SHARE * self.endurance
        return int(min(max(least, rate * self.horizon_seconds), share))

    def isolated(self, rate: float, view: BudgetTotals, ahead: int) -> int:
        """Return how many of these tokens should be isolated."""
        cap = view.paid * self.isolated_share
        least = view.left * MIN_AHEAD_SHARE * self.endurance / 2
        lasting = rate * ISOLATED_SECONDS * min(1.0, 2 * self.endurance)
        return int(min(cap, max(least, lasting), ahead / 2))

    def size(
        self,
        missing: int,
        rate: float,
        idle: int,
        isolated: int,
        view: BudgetTotals | None,
    ) -> DrawSize | None:
        """Return the draw to make now, None if none is due.

        Parameters
        ----------
        missing : int
            Tokens that requests wait for, beyond the idle ones.
        rate : float
            Tokens a second that this router bills.
        idle, isolated : int
            Idle tokens, and isolated tokens held.
        """
        if view is None:
            return DrawSize(missing, missing, 0) if missing > 0 else None
        if view.free <= 0:
            return None
        ahead = self.ahead(rate, view.left)
        wanted = self.isolated(rate, view, ahead)
        lacking = max(0, wanted - isolated)
        low = self.low_water_share
        if missing <= 0 and idle >= ahead * low and isolated >= wanted * low:
            return None
        more = max(ahead - idle, lacking)
        more = max(0, min(more, view.free // max(1, self.live)))
        if missing <= 0 and more <= max(ahead, 1) * MIN_DRAW_SHARE:
            return None
        needed = max(0, missing)
        return DrawSize(needed, needed + more, min(lacking, more))
