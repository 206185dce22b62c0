"""Statements: what each host says that it holds of the prepaid tokens.

Every host keeps one record in the store, which replaces its former one.  It
states, for each workspace, three cumulative figures since the budgets began:

- the *limit* up to which the host wants to spend,
- the *cap* up to which it spends at once,
- and the *rate* at which more opens with the age of the statement, up to the limit.

A host may spend up to what all newest statements leave of the prepaid amount
once its own stands in the store.  Let hosts i and j hold authority from readings
at offsets a < b.  The reading at b counted the newest limit of i, which is never
below what i may spend, since i lowers what it spends up to before it states a lower
limit.  So the authorities add up to no more than the prepaid amount, in every
order of loss, delay and repetition; only newest records matter, and a history
that was forgotten changes nothing.

Cap and rate tell the successor on the same host what its predecessor cannot have
spent: all that had not opened when the successor began.  While the store answers a
statement is followed by the next one soon, so a process that is killed and started
again at once gets back nearly all that it held, and one that is killed in a silence
what its callers could not have asked for until then.

After a reboot the machine's clock tells nothing.  Then a peer bounds the age: a host
sends a statement once the one before stands, and that one was not in the store when
the peer's former reading of all began.  Where all have lost power, nobody has seen
the time pass, and the limits count.

A loan between hosts adds to what the lender has spent what it takes off the
borrower's, so the sum over both stays; the lender spends it within its own bound.
A loan that does not come, or whose borrower dies, counts as spent.
"""

from __future__ import annotations

import math
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
    rate : float
        Tokens a second by which the bound rises from the cap.
    """

    limit: int
    cap: int
    demand: float = 0.0
    waiting_tokens: int = 0
    expected: float = 0.0
    rate: float = 0.0

    def spendable_at(self, age: float) -> int:
        """Return up to what may be spent at an age of the statement, in seconds."""
        if age <= 0:
            return min(self.limit, self.cap)
        return min(self.limit, self.cap + math.ceil(self.rate * age))

    def age_when_spendable(self, reach: int) -> float | None:
        """Return the age in seconds at which a figure may be spent, None for never."""
        if reach <= min(self.cap, self.limit):
            return 0.0
        if reach > self.limit or self.rate <= 0:
            return None
        return (reach - self.cap) / self.rate


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
    peer : str
        Where the host takes messages of other hosts, as IP:PORT; empty for nowhere.
    key : bytes
        With what messages for this incarnation are sealed.
    """

    epoch: int
    sent: float
    booted: float
    rows_by_workspace: dict[str, Row]
    peer: str = ""
    key: bytes = b""


UNBOUNDED_TOKENS: Final = 2**53
"""More tokens than any budget has."""
ACTIVE_SECONDS: Final = 15.0
"""A host that made no statement for so long, though others did, has no demand; longer
than a cut of 7 to 9 s, after which hosts are heard again one after the other."""
BOOT_SLACK_SECONDS: Final = 1.0
"""Two boots of a machine lie further apart than its clock is corrected by."""


def same_boot(statement: Statement, now: float, booted: float) -> bool:
    """Whether the machine has run on since one of its statements was sent."""
    near = abs(booted - statement.booted) <= BOOT_SLACK_SECONDS
    return near and now >= statement.sent


def max_spent(
    row: Row,
    statement: Statement,
    now: float,
    booted: float,
    age: float | None = None,
) -> int:
    """Return what a host can have spent by ``now``, if it is gone by then.

    Parameters
    ----------
    now, booted : float
        As ``sent`` and ``booted``, read on the same machine.
    age : float or None
        The most that the statement's age can be after a reboot, as a peer has seen
        it, in seconds; where nobody has, the limit counts.
    """
    if not same_boot(statement, now, booted):
        return row.limit if age is None else row.spendable_at(age)
    return row.spendable_at(now - statement.sent)


@dataclass(slots=True)
class StatementTable:
    """The newest statement of every host.

    Attributes
    ----------
    unread : set of str
        Hosts whose newest statement can't be read: nobody knows what they hold.
    heard_by_host : dict
        When a statement of each host was last read, in seconds of the reader.
    stood_by_host : dict
        When the newest statement of each host did not stand yet, or an earlier time.
    sent_by_host : dict
        When it had not been sent yet, or an earlier time.
    """

    statements_by_host: dict[str, Statement] = field(default_factory=dict)
    unreadable_hosts: set[str] = field(default_factory=set)
    read_at_by_host: dict[str, float] = field(default_factory=dict)
    stood_by_host: dict[str, float] = field(default_factory=dict)
    sent_after_by_host: dict[str, float] = field(default_factory=dict)
    _read_all_at: float | None = None
    _reading_from: float = 0.0

    def begin_read(self, at: float, newest_only: bool = False) -> None:
        """Note that a reading begins: of all that is new, or of the newest records.

        A list tells nothing of when its records came.
        """
        self._reading_from = at
        if newest_only:
            self._read_all_at = None

    def end_read(self) -> None:
        """Note that the reading that began last has ended, with all that there was."""
        self._read_all_at = self._reading_from

    def max_age(self, host: str, epoch: int, sent: float, now: float) -> float | None:
        """Return a bound on the age of a host's newest statement, None for unknown.

        In seconds; the statement is named by its epoch and its time.
        """
        statement = self.statements_by_host.get(host)
        since = self.sent_after_by_host.get(host)
        if statement is None or since is None or host in self.unreadable_hosts:
            return None
        if (statement.epoch, statement.sent) != (epoch, sent):
            return None
        return now - since

    def _seen(self, host: str, statement: Statement) -> None:
        """Bound the times of a statement that is now read."""
        known = self.statements_by_host.get(host)
        again = known is not None and (
            (known.epoch, known.sent) == (statement.epoch, statement.sent)
        )
        if not again:
            if host in self.stood_by_host:
                self.sent_after_by_host[host] = self.stood_by_host[host]
            else:
                self.sent_after_by_host.pop(host, None)
        if self._read_all_at is not None:
            self.stood_by_host[host] = self._read_all_at

    def put(self, host: str, data: bytes | None, at: float) -> codec.Malformed | None:
        """Take a record; while one can't be read, no host may spend further."""
        statement: Statement | codec.Malformed = codec.Malformed("it was dropped")
        if data is not None:
            statement = codec.decode(data, Statement)
        if isinstance(statement, codec.Malformed):
            self.unreadable_hosts.add(host)
            return statement
        self.unreadable_hosts.discard(host)
        self._seen(host, statement)
        self.statements_by_host[host] = statement
        self.read_at_by_host[host] = at
        return None

    def totals_excluding(self, host: str, workspace: str) -> Totals:
        """Return the sums over all hosts but one; demand only of active ones."""
        since = max(self.read_at_by_host.values(), default=0.0) - ACTIVE_SECONDS
        limit, cap, demand, short, hosts, expected = 0, 0, 0.0, 0, 0, 0.0
        for name, statement in self.statements_by_host.items():
            row = statement.rows_by_workspace.get(workspace)
            if row is None or name == host:
                continue
            limit += row.limit
            cap += row.cap
            if self.read_at_by_host[name] >= since:
                demand += row.demand
                short += row.waiting_tokens
                hosts += 1
                expected += row.expected
        if self.unreadable_hosts - {host}:
            limit, cap = UNBOUNDED_TOKENS, UNBOUNDED_TOKENS
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
    waiting_tokens: int = 0
    hosts: int = 0
    expected: float = 0.0
