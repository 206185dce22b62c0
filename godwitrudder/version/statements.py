"""Statements: what each host says that it holds of the prepaid tokens.

Every host keeps one record in the store, which replaces its former one.  It
states, for each workspace, three cumulative figures since the budgets began:

- the *limit* up to which the host wants to spend,
- the *cap* up to which it spends while the statement is young,
- and for how long that is: from then on it may spend up to the limit.

A host may spend up to what all newest statements leave of the prepaid amount
once its own stands in the store.  Let hosts i and j hold authority from readings
at offsets a < b.  The reading at b counted the newest limit of i, which is never
below what i may spend, since i lowers what it spends up to before it states a lower
limit.  So the authorities add up to no more than the prepaid amount, in every
order of loss, delay and repetition; only newest records matter, and a history
that was forgotten changes nothing.

The cap tells the successor on the same host what its predecessor cannot have
spent: all above the cap, if the statement was still young when the successor
began.  While the store answers a statement is followed by the next one long
before that, so the rest is only touched in a silence, and a process that is killed
and started again at once gets nearly all of it back.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from godwitrudder import codec


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One workspace in a statement.

    Attributes
    ----------
    limit, cap : int
        Tokens, cumulative.
    demand : float
        Tokens a second.
    short : int
        Tokens of requests that wait for this statement.
    """

    limit: int
    cap: int
    demand: float = 0.0
    short: int = 0


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """What one host says.

    Attributes
    ----------
    epoch : int
        Number of the host's incarnation; a later one fences earlier ones.
    sent : float
        Seconds on the machine's clock that counts suspension.
    booted : float
        Wall seconds at which that clock was zero; tells boots apart.
    young_seconds : float
        How long only the caps are spent.
    """

    epoch: int
    sent: float
    booted: float
    young_seconds: float
    rows_by_workspace: dict[str, Row]


ALL: Final = 2**53
"""More tokens than any budget has."""
BOOT_SLACK_SECONDS: Final = 1.0
"""Two boots of a machine lie further apart than its clock is corrected by."""


def spent_at_most(row: Row, statement: Statement, now: float, booted: float) -> int:
    """Return what a host can have spent by ``now``, if it is gone by then.

    Parameters
    ----------
    now, booted : float
        As ``sent`` and ``booted``, read on the same machine.  After a reboot
        nobody knows the time since, so the limit counts.
    """
    if abs(booted - statement.booted) > BOOT_SLACK_SECONDS or now < statement.sent:
        return row.limit
    young = now - statement.sent < statement.young_seconds
    return min(row.limit, row.cap) if young else row.limit


@dataclass(slots=True)
class Book:
    """The newest statement of every host.

    Attributes
    ----------
    unread : set of str
        Hosts whose newest statement can't be read: nobody knows what they hold.
    """

    statements_by_host: dict[str, Statement] = field(default_factory=dict)
    unread: set[str] = field(default_factory=set)

    def put(self, host: str, data: bytes | None) -> codec.Malformed | None:
        """Take a record; while one can't be read, no host may spend further."""
        statement: Statement | codec.Malformed = codec.Malformed("it was dropped")
        if data is not None:
            statement = codec.decode(data, Statement)
        if isinstance(statement, codec.Malformed):
            self.unread.add(host)
            return statement
        self.unread.discard(host)
        self.statements_by_host[host] = statement
        return None

    def others(self, host: str, workspace: str) -> Totals:
        """Return the sums over all hosts but one."""
        rows = (
            statement.rows_by_workspace.get(workspace)
            for name, statement in self.statements_by_host.items()
            if name != host
        )
        totals = _sum(row for row in rows if row is not None)
        if self.unread - {host}:
            return Totals(ALL, ALL, totals.demand, totals.short)
        return totals

    @property
    def hosts(self) -> int:
        """Hosts that ever made a statement."""
        return len(self.statements_by_host)

    def totals(self) -> Mapping[str, Totals]:
        """Return the sums over all hosts, by workspace."""
        rows: dict[str, list[Row]] = {}
        for statement in self.statements_by_host.values():
            for workspace, row in statement.rows_by_workspace.items():
                rows.setdefault(workspace, []).append(row)
        return {workspace: _sum(group) for workspace, group in rows.items()}


@dataclass(frozen=True, slots=True)
class Totals:
    """Sums of rows: tokens, and tokens a second."""

    limit: int = 0
    cap: int = 0
    demand: float = 0.0
    short: int = 0


def _sum(rows: Iterable[Row]) -> Totals:
    limit, cap, demand, short = 0, 0, 0.0, 0
    for row in rows:
        limit += row.limit
        cap += row.cap
        demand += row.demand
        short += row.short
    return Totals(limit, cap, demand, short)
