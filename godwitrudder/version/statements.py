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
    demand, expected : float
        Tokens a second that were asked for, and that the host counts with.
    short : int
        Tokens of requests that wait for this statement.
    """

    limit: int
    cap: int
    demand: float = 0.0
    short: int = 0
    expected: float = 0.0


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
ACTIVE_SECONDS: Final = 15.0
"""A host that made no statement for so long, though others did, has no demand; longer
than a cut of 7 to 9 s, after which hosts are heard again one after the other."""
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
    heard_by_host : dict
        When a statement of each host was last read, in seconds of the reader.
    """

    statements_by_host: dict[str, Statement] = field(default_factory=dict)
    unread: set[str] = field(default_factory=set)
    heard_by_host: dict[str, float] = field(default_factory=dict)

    def put(self, host: str, data: bytes | None, at: float) -> codec.Malformed | None:
        """Take a record; while one can't be read, no host may spend further."""
        statement: Statement | codec.Malformed = codec.Malformed("it was dropped")
        if data is not None:
            statement = codec.decode(data, Statement)
        if isinstance(statement, codec.Malformed):
            self.unread.add(host)
            return statement
        self.unread.discard(host)
        self.statements_by_host[host] = statement
        self.heard_by_host[host] = at
        return None

    def others(self, host: str, workspace: str) -> Totals:
        """Return the sums over all hosts but one; demand only of active ones."""
        since = max(self.heard_by_host.values(), default=0.0) - ACTIVE_SECONDS
        limit, cap, demand, short, hosts, expected = 0, 0, 0.0, 0, 0, 0.0
        for name, statement in self.statements_by_host.items():
            row = statement.rows_by_workspace.get(workspace)
            if row is None or name == host:
                continue
            limit += row.limit
            cap += row.cap
            if self.heard_by_host[name] >= since:
                demand += row.demand
                short += row.short
                hosts += 1
                expected += row.expected
        if self.unread - {host}:
            limit, cap = ALL, ALL
        return Totals(limit, cap, demand, short, hosts, expected)

    @property
    def hosts(self) -> int:
        """Hosts that ever made a statement."""
        return len(self.statements_by_host)


@dataclass(frozen=True, slots=True)
class Totals:
    """Sums of rows.

    Attributes
    ----------
    limit, cap, short : int
        Tokens.
    demand, expected : float
        Tokens a second of the active hosts.
    hosts : int
        Active hosts.
    """

    limit: int = 0
    cap: int = 0
    demand: float = 0.0
    short: int = 0
    hosts: int = 0
    expected: float = 0.0
