"""Values and conditions of ``request.host_holdings``, without state."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from godwitrudder.request.holding import Holding
from godwitrudder.version.statements import Row, Statement

MIN_RELATIVE_CHANGE: Final = 0.02
"""Smallest change that is worth a new statement, relative to the tokens held."""
NO_TOKENS: Final = Row(0, 0)


@dataclass(frozen=True, slots=True)
class BudgetRemainder:
    """What is left of a workspace's prepaid tokens, as far as this host knows.

    Attributes
    ----------
    tokens : int
        Prepaid tokens less the caps of the other hosts and the tokens spent here. Other
        hosts may spend up to their limits.
    held_elsewhere : int
        Sum of limit minus cap over the other hosts.
    """

    tokens: int
    held_elsewhere: int


@dataclass(frozen=True, slots=True)
class RecoveryResult:
    """What a host takes over from its former incarnation.

    Attributes
    ----------
    held : int
        Sum of limit minus cap in the former incarnation's last statement.
    stranded : int
        Tokens of these that it may have spent; they count as spent.
    former : Statement or None
        The former incarnation's last statement; None if there is none.
    lost : bool
        Whether its last statement is unknown, so that a bound counts as spent.
    """

    held: int
    stranded: int
    former: Statement | None
    lost: bool = False


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a stored statement names, until all active hosts have read it.

    Attributes
    ----------
    end : int
        Offset after the statement.
    limits : dict
        Lowest limit by workspace that was stated since.
    """

    end: int
    rows_by_workspace: dict[str, Row]
    limits: dict[str, int]

    def lower(self, workspace: str, limit: int) -> None:
        """Note that a later statement has a lower limit."""
        if limit < self.limits.get(workspace, 0):
            self.limits[workspace] = limit


def raises_allowance(former: Statement | None, newest: Statement) -> bool:
    """Return whether a statement names a larger allowance than the former one."""
    known = {} if former is None else former.rows_by_workspace
    for workspace, row in newest.rows_by_workspace.items():
        if row.allowance > known.get(workspace, NO_TOKENS).allowance:
            return True
    return False


def row_due(row: Row, holding: Holding, now: float, refresh_seconds: float) -> bool:
    """Return whether a row must be sent.

    That is so if no row is confirmed yet, if requests wait, if tokens are held and the
    confirmed row is older than ``refresh_seconds``, or if limit or cap change by more
    than ``MIN_RELATIVE_CHANGE`` of the tokens held.
    """
    stated = holding.stated
    if stated is None or holding.waiting_tokens:
        return True
    if now - holding.stated_at > refresh_seconds and row.limit > holding.spent:
        return True
    slack = MIN_RELATIVE_CHANGE * max(0, stated.limit - holding.spent)
    return abs(row.limit - stated.limit) > slack or abs(row.cap - stated.cap) > slack
