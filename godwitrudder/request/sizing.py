"""How many tokens a draw asks for, from rate, horizon and what is left.

A workspace's ``endurance`` sets how long the tokens in hand should last when the
log is out of reach, and how much of them no closing returns.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HORIZON_LEAST_SECONDS: Final = 20.0
HORIZON_MOST_SECONDS: Final = 2400.0
LOW_WATER_LEAST_SHARE: Final = 0.5
LOW_WATER_MOST_SHARE: Final = 0.85
AHEAD_LEAST_SHARE: Final = 0.004
DRAW_LEAST_SHARE: Final = 0.08
ISOLATED_SECONDS: Final = 750.0
ISOLATED_HALF_SHARE: Final = 0.006
ISOLATED_MOST_SHARE: Final = 0.05
OPEN_LEAST_SHARE: Final = 0.5
WHOLE_PERMILLE: Final = 1000


@dataclass(frozen=True, slots=True)
class BudgetTotals:
    """What is known of a budget, in tokens.

    Attributes
    ----------
    remaining_by_holder : dict
        Open grants.
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
class Size:
    """A draw: what waits for it, all of it, and its isolated part."""

    needed: int
    tokens: int
    isolated: int


@dataclass(frozen=True, slots=True)
class DrawSizing:
    """The figures that one endurance stands for.

    Parameters
    ----------
    endurance : float
        0 to 1.
    live : int
        Live routers.
    """

    endurance: float
    live: int

    @property
    def horizon_seconds(self) -> float:
        """Seconds that the tokens in hand should last."""
        spread = HORIZON_MOST_SECONDS - HORIZON_LEAST_SECONDS
        return HORIZON_LEAST_SECONDS + spread * self.endurance

    @property
    def open_share(self) -> float:
        """Most of what is left that all routers draw ahead together."""
        return min(1.0, OPEN_LEAST_SHARE + self.endurance)

    @property
    def low_water_share(self) -> float:
        """Share of the tokens in hand below which a new draw starts."""
        spread = LOW_WATER_MOST_SHARE - LOW_WATER_LEAST_SHARE
        return LOW_WATER_LEAST_SHARE + spread * min(1.0, 2 * self.endurance)

    @property
    def isolated_share(self) -> float:
        """Most of what is paid that is isolated at one router.

        Small up to an endurance of a half, so that a lost router strands little;
        above it, lasting comes first.
        """
        if self.endurance <= 0.5:
            return ISOLATED_HALF_SHARE * 2 * self.endurance
        spread = ISOLATED_MOST_SHARE - ISOLATED_HALF_SHARE
        return ISOLATED_HALF_SHARE + spread * (2 * self.endurance - 1)

    def ahead(self, rate: float, left: int) -> int:
        """Return the tokens that should be in hand."""
        share = left * self.open_share / max(1, self.live)
        least = left * AHEAD_LEAST_SHARE * self.endurance
        return int(min(max(least, rate * self.horizon_seconds), share))

    def isolated(self, rate: float, view: BudgetTotals, ahead: int) -> int:
        """Return the part of the tokens in hand that should be isolated."""
        cap = view.paid * self.isolated_share
        least = view.left * AHEAD_LEAST_SHARE * self.endurance / 2
        lasting = rate * ISOLATED_SECONDS * min(1.0, 2 * self.endurance)
        return int(min(cap, max(least, lasting), ahead / 2))

    def size(
        self,
        missing: int,
        rate: float,
        idle: int,
        isolated: int,
        view: BudgetTotals | None,
    ) -> Size | None:
        """Return the draw to make now, or None.

        Parameters
        ----------
        missing : int
            Tokens that requests wait for, beyond what is idle.
        rate : float
            Tokens a second of this router.
        idle, isolated : int
            Tokens in hand, and the isolated part of what is held.
        """
        if view is None:
            return Size(missing, missing, 0) if missing > 0 else None
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
        if missing <= 0 and more <= max(ahead, 1) * DRAW_LEAST_SHARE:
            return None
        needed = max(0, missing)
        return Size(needed, needed + more, min(lacking, more))
