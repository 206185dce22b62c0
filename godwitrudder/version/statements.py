"""Statements: each host's record of its share of the prepaid tokens.

Every host keeps one record in the store, which replaces its previous one.  For each
workspace it states three cumulative figures, counted since the budgets began:

- the *limit*: the most that the host may spend,
- the *cap*: the most that it may spend immediately,
- the *rate*: tokens a second by which the spendable amount rises from the cap to
  the limit with the age of the statement.

Once its own statement is in the store, a host may spend up to what the newest
statements of all other hosts leave of the prepaid amount.  The sum over all hosts
never exceeds the prepaid amount.  Proof: let hosts i and j take their bounds from
reads at offsets a < b.  The read at b counts the newest limit of i.  What i may spend
is never above that limit, because i lowers its own bound before it states a lower
limit.  This holds under any loss, delay, reordering or repetition, for as long as the
store forgets nothing that it has confirmed: within one era.  Only the newest records
matter, so a history that the store has dropped changes nothing.

The store may come back from an older copy; then its era rises.  What each host may
spend stays valid, as the sum does not grow, but an older limit now stands for some
hosts.  So a statement names its era, and a host raises its own bound only by reads of
the new era that include its own statement of that era.  Hosts that have not stated
again count with a bound.  Grants rise freely up to limits that all active hosts are
known to remember; above them no faster than a token bucket allows: by at most
``allowance * (1 + t / ALLOWANCE_SECONDS)`` in t seconds.  Whoever remembers a limit of
a host, and an upper bound on its age, thereby bounds all that the host may spend, also
by statements that were lost before anyone read them.  A host that has stated nothing
lately, or is stopping, trusts no memory.  Without a bound no host may raise its own.
Hosts pass bounds on in their statements, to hosts that started since.
``docs/design/restored-store.md`` has the complete proof.

Cap and rate tell the next process on the same host what the previous one cannot have
spent: all that was not yet spendable when the next process started.  While the store
answers, a new statement follows soon.  A process that is killed and restarted at once
therefore gets back nearly all that it held.  A process that is killed while the store
is silent gets back what its callers could not have requested until then.

After a reboot the machine's clock says nothing about the age of a statement.  A peer
then bounds the age: a host sends a statement only once its previous one is in the
store, and that one was not yet there when the peer's preceding full read began.  If
all hosts lost power, no peer can bound the age, and the limits count.

A loan between hosts adds to the lender's spent tokens the amount that it subtracts
from the borrower's, so the sum over both stays the same.  The lender spends the loan
within its own bound.  A loan that does not arrive, or whose borrower dies, counts as
spent.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

import msgspec

from godwitrudder import codec


class Row(msgspec.Struct, frozen=True, array_like=True):
    """One workspace in a statement.

    Attributes
    ----------
    limit, cap : int
        Cumulative tokens.
    demand, expected : float
        Tokens a second that callers requested, and that the host expects.
    waiting_tokens : int
        Tokens of requests that wait for this statement to be stored.
    rate : float
        Tokens a second by which the spendable amount rises from the cap.
    allowance : int
        Tokens by which the host's grant may rise at once above a limit that others
        know, and again in ``ALLOWANCE_SECONDS``.
    allowance_in_force : int
        The part of it that all active hosts are known to have read.
    """

    limit: int
    cap: int
    demand: float = 0.0
    waiting_tokens: int = 0
    expected: float = 0.0
    rate: float = 0.0
    allowance: int = 0
    allowance_in_force: int = 0

    def spendable_at(self, age: float) -> int:
        """Return the cumulative tokens spendable at an age in seconds."""
        if age <= 0:
            return min(self.limit, self.cap)
        return min(self.limit, self.cap + math.ceil(self.rate * age))

    def age_when_spendable(self, tokens: int) -> float | None:
        """Return the age in seconds at which ``tokens`` are spendable, or None."""
        if tokens <= min(self.cap, self.limit):
            return 0.0
        if tokens > self.limit or self.rate <= 0:
            return None
        return (tokens - self.cap) / self.rate

    def max_later_grant(self, age: float) -> int:
        """Return the most that the host can have been granted by this age."""
        return self.limit + math.ceil(self.allowance * (1 + age / ALLOWANCE_SECONDS))


class RememberedRows(msgspec.Struct, frozen=True, array_like=True):
    """What a host remembers of another one's newest statement; see ``Statement``."""

    sent: float
    booted: float
    rows_by_workspace: dict[str, Row]


class RunnerCrash(msgspec.Struct, frozen=True, array_like=True):
    """The end of a runner, and the prompt parts that may have caused it.

    Attributes
    ----------
    at : float
        Unix seconds.
    sent_at_by_part : dict
        Unix seconds at which a prompt with that part was last sent there.
    """

    runner: str
    at: float
    sent_at_by_part: dict[str, float]


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """A rate limit that a runner has named to the host.

    Attributes
    ----------
    per_second : float
        Requests per second from all hosts together.
    at : float
        Unix seconds at which the runner last named it.
    """

    runner: str
    per_second: float
    at: float


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """The record of one host.

    Attributes
    ----------
    epoch : int
        Number of the host's incarnation; a higher one fences all lower ones.
    sent : float
        Send time in seconds, on the machine's clock that also runs in suspension.
    booted : float
        Wall clock time in seconds at which that clock was zero; identifies the boot.
    peer : str
        Address for messages from other hosts, as IP:PORT; empty for none.
    key : bytes
        Key with which messages to this incarnation are sealed.
    crashes : tuple of RunnerCrash
        What hosts that restarted or missed a report must know.
    limits : tuple of NamedLimit
        Likewise.
    era : int
        The store's era in which the host made it.
    read_to : int
        Offset before which the host has read all records of that era.
    fence : int
        Highest epoch that the host has used as a producer.
    bounds_by_host : dict
        For hosts that have stated nothing in that era as far as is known: upper bounds
        of what each may spend, by workspace; None if unknown.
    remembered_by_host : dict
        The statements from which these bounds follow.  The next process on the same
        machine knows how old such a statement was when the former process ended.
    stopping : bool
        Whether the process is stopping; others then don't wait for it to read anything.
    """

    epoch: int
    sent: float
    booted: float
    rows_by_workspace: dict[str, Row]
    peer: str = ""
    key: bytes = b""
    crashes: tuple[RunnerCrash, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    era: int = 0
    read_to: int = 0
    fence: int = 0
    bounds_by_host: dict[str, dict[str, int] | None] = {}
    remembered_by_host: dict[str, RememberedRows] = {}
    stopping: bool = False


ALLOWANCE_SECONDS: Final = 3.0
"""Time in which a grant may rise by the allowance once more."""
EPOCHS_PER_ERA: Final = 2**20
"""More incarnations than a host has in one era of the store."""
UNBOUNDED_TOKENS: Final = 2**53
"""More tokens than any budget has."""
ACTIVE_SECONDS: Final = 15.0
"""A host without a statement for this long, while others made some, has no demand.
Longer than a network cut of 7 to 9 s, after which hosts return one after the other."""
BOOT_SLACK_SECONDS: Final = 1.0
"""Two boots of a machine are further apart than any correction of its wall clock."""


def first_epoch(era: int, former: Statement | None) -> int:
    """Return an epoch above those of all former incarnations that are known.

    It is also above those of older eras, whose records the store may have lost.
    """
    highest = 0 if former is None else max(former.epoch, former.fence)
    return max(highest + 1, era * EPOCHS_PER_ERA)


def same_boot(statement: Statement | RememberedRows, now: float, booted: float) -> bool:
    """Whether the machine has not rebooted since it sent the statement."""
    near = abs(booted - statement.booted) <= BOOT_SLACK_SECONDS
    return near and now >= statement.sent


def max_spent(
    row: Row,
    statement: Statement,
    now: float,
    booted: float,
    age: float | None = None,
) -> int:
    """Return the most that a host that is gone by ``now`` can have spent, in tokens.

    Parameters
    ----------
    now, booted : float
        Seconds, as ``sent`` and ``booted``, read on the same machine.
    age : float or None
        Upper bound on the statement's age after a reboot, in seconds, from a peer.
        None if no peer knows one; then the limit counts.
    """
    if not same_boot(statement, now, booted):
        return row.limit if age is None else row.spendable_at(age)
    return row.spendable_at(now - statement.sent)


@dataclass(frozen=True, slots=True)
class NoticedLimits:
    """Limits by workspace that a host has told directly, and when it sent them."""

    sent: float
    limits: dict[str, int]


@dataclass(slots=True)
class StatementTable:
    """The newest statement of every host.

    Attributes
    ----------
    era : int
        The store's era in which the statements were read.
    bounds_by_host : dict
        Hosts without a statement of this era: upper bounds of what each may spend, by
        workspace; None if unknown.
    listed_hosts : set of str
        Hosts of which the store has a statement in this era, of whichever era it is.
    unreadable_hosts : set of str
        Hosts whose newest statement can't be decoded, so their limits are unknown.
    read_at_by_host : dict
        Time at which a statement of each host was last read, in seconds of the
        reader's clock.
    stored_after_by_host : dict
        Lower bound on the time at which each host's newest statement was stored.
    sent_after_by_host : dict
        Lower bound on the time at which it was sent.
    noticed_by_host : dict
        Limits that a host has told directly, of a newer statement than the one read.
    """

    statements_by_host: dict[str, Statement] = field(default_factory=dict)
    era: int = 0
    bounds_by_host: dict[str, dict[str, int] | None] = field(default_factory=dict)
    listed_hosts: set[str] = field(default_factory=set)
    unreadable_hosts: set[str] = field(default_factory=set)
    read_at_by_host: dict[str, float] = field(default_factory=dict)
    stored_after_by_host: dict[str, float] = field(default_factory=dict)
    sent_after_by_host: dict[str, float] = field(default_factory=dict)
    noticed_by_host: dict[str, NoticedLimits] = field(default_factory=dict)
    _full_read_began_at: float | None = None
    _read_began_at: float = 0.0

    def begin_era(self, era: int, at: float, trusted: bool) -> None:
        """Note that the store has come back from an older copy.

        Parameters
        ----------
        at : float
            Time of its first answer, in seconds of the reader's clock.
        trusted : bool
            Whether the reader was active until then, so that no host can have raised
            its allowance without it.
        """
        bounds: dict[str, dict[str, int] | None] = {}
        known = self.bounds_by_host.keys() | self.statements_by_host.keys()
        for host in known | self.unreadable_hosts:
            bounds[host] = self._bounds(host, at) if trusted else None
        self.era = era
        self.bounds_by_host = bounds
        self.listed_hosts = set()
        self.unreadable_hosts = set()
        self._full_read_began_at = None

    def _bounds(self, host: str, at: float) -> dict[str, int] | None:
        """Return bounds of what a host may spend, from what is remembered of it."""
        statement = self.statements_by_host.get(host)
        since = self.sent_after_by_host.get(host)
        if statement is None or since is None or host in self.unreadable_hosts:
            return None
        rows = self.remembered(host).rows_by_workspace
        return {
            workspace: row.max_later_grant(at - since)
            for workspace, row in rows.items()
        }

    def remembered(self, host: str) -> RememberedRows:
        """Return what is remembered of a host's newest statement."""
        statement = self.statements_by_host[host]
        rows = dict(statement.rows_by_workspace)
        noticed = self.noticed_by_host.get(host)
        for workspace, limit in ({} if noticed is None else noticed.limits).items():
            row = rows.get(workspace, Row(0, 0))
            rows[workspace] = msgspec.structs.replace(row, limit=max(row.limit, limit))
        return RememberedRows(statement.sent, statement.booted, rows)

    def notice(
        self, host: str, epoch: int, era: int, sent: float, limits: dict[str, int]
    ) -> bool:
        """Remember limits that a host is about to state.

        Returns False if they can't be: the host is unknown, or in another era.
        """
        statement = self.statements_by_host.get(host)
        if era != self.era or statement is None or statement.epoch != epoch:
            return False
        if not self.has_stated(host):
            return False
        if sent < statement.sent:
            return True
        known = self.noticed_by_host.get(host)
        merged = dict(limits)
        for workspace, limit in ({} if known is None else known.limits).items():
            merged[workspace] = max(limit, merged.get(workspace, 0))
        newest = sent if known is None else max(sent, known.sent)
        self.noticed_by_host[host] = NoticedLimits(newest, merged)
        return True

    def _forget_noticed(self, host: str, statement: Statement) -> None:
        """Drop what a host has told directly once its statement is newer."""
        known = self.noticed_by_host.get(host)
        former = self.statements_by_host.get(host)
        replaced = former is not None and former.epoch != statement.epoch
        if known is not None and (replaced or statement.sent > known.sent):
            del self.noticed_by_host[host]

    def has_stated(self, host: str) -> bool:
        """Whether the newest statement of a host is of this era."""
        return host in self.statements_by_host and host not in self.bounds_by_host

    def begin_read(self, at: float, newest_only: bool = False) -> None:
        """Note that a read begins: of all new records, or only of the newest ones.

        Parameters
        ----------
        at : float
            Time in seconds of the reader's clock.
        newest_only : bool
            Whether the read returns only the newest records.  Such a list does not
            tell when its records were stored.
        """
        self._read_began_at = at
        if newest_only:
            self._full_read_began_at = None

    def end_read(self) -> None:
        """Note that the last read has ended and returned all new records."""
        self._full_read_began_at = self._read_began_at

    def max_age(self, host: str, epoch: int, sent: float, now: float) -> float | None:
        """Return an upper bound on the age of a host's statement; None for unknown.

        Parameters
        ----------
        epoch : int
        sent : float
            Identify the statement, which must be the newest that was read.
        now : float
            Time in seconds of the reader's clock.

        Returns
        -------
        float or None
            Seconds.
        """
        statement = self.statements_by_host.get(host)
        since = self.sent_after_by_host.get(host)
        if statement is None or since is None or host in self.unreadable_hosts:
            return None
        if (statement.epoch, statement.sent) != (epoch, sent):
            return None
        return now - since

    def _bound_times(self, host: str, statement: Statement) -> None:
        """Update the bounds on the send and store times of a statement just read."""
        known = self.statements_by_host.get(host)
        again = known is not None and (
            (known.epoch, known.sent) == (statement.epoch, statement.sent)
        )
        if not again:
            if host in self.stored_after_by_host:
                self.sent_after_by_host[host] = self.stored_after_by_host[host]
            else:
                self.sent_after_by_host.pop(host, None)
        if self._full_read_began_at is not None:
            self.stored_after_by_host[host] = self._full_read_began_at

    def put(self, host: str, data: bytes | None, at: float) -> codec.Malformed | None:
        """Store a host's newest record.

        While it can't be decoded, no other host may raise its bound.

        Parameters
        ----------
        data : bytes or None
            The encoded statement; None if the store has deleted the record.
        at : float
            Time in seconds of the reader's clock.
        """
        statement: Statement | codec.Malformed = codec.Malformed(
            "the record was deleted"
        )
        if data is not None:
            statement = codec.decode(data, Statement)
        if isinstance(statement, codec.Malformed):
            self.unreadable_hosts.add(host)
            return statement
        self.unreadable_hosts.discard(host)
        self.listed_hosts.add(host)
        if statement.era < self.era:
            self._put_former(host, statement, at)
            return None
        self._bound_times(host, statement)
        self._forget_noticed(host, statement)
        self.bounds_by_host.pop(host, None)
        self.statements_by_host[host] = statement
        self.read_at_by_host[host] = at
        for other, bounds in statement.bounds_by_host.items():
            self._put_bounds(other, bounds)
        return None

    def _put_former(self, host: str, statement: Statement, at: float) -> None:
        """Store a statement of an older era, unless a newer one is remembered."""
        if host in self.statements_by_host:
            return
        self.statements_by_host[host] = statement
        self.read_at_by_host[host] = at
        self.bounds_by_host.setdefault(host, None)

    def _put_bounds(self, host: str, bounds: dict[str, int] | None) -> None:
        """Store bounds that another host has passed on."""
        if self.has_stated(host):
            return
        known = self.bounds_by_host.setdefault(host, None)
        if known is None or bounds is None:
            self.bounds_by_host[host] = bounds if known is None else known
            return
        # A workspace that is missing has no bound above zero.
        self.bounds_by_host[host] = {
            workspace: min(known[workspace], bounds[workspace])
            for workspace in known.keys() & bounds.keys()
        }

    def read_by_active_hosts(
        self, host: str, offset: int, noticed_by: Collection[str] = ()
    ) -> bool:
        """Whether all other active hosts have read the records before an offset.

        Those that are stopping don't count.

        Parameters
        ----------
        noticed_by : collection of str
            Hosts that know the same otherwise.
        """
        since = max(self.read_at_by_host.values(), default=0.0) - ACTIVE_SECONDS
        return all(
            self.has_stated(name)
            and (statement.read_to >= offset or name in noticed_by)
            for name, statement in self.statements_by_host.items()
            if name != host
            and not statement.stopping
            and self.read_at_by_host[name] >= since
        )

    def totals_excluding(self, host: str, workspace: str) -> Totals:
        """Return the sums over all hosts but one; demand only of active hosts."""
        since = max(self.read_at_by_host.values(), default=0.0) - ACTIVE_SECONDS
        limit, cap, demand, waiting, hosts, expected = 0, 0, 0.0, 0, 0, 0.0
        for name, bounds in self.bounds_by_host.items():
            if name != host:
                bound = UNBOUNDED_TOKENS if bounds is None else bounds.get(workspace, 0)
                limit += bound
        for name, statement in self.statements_by_host.items():
            row = statement.rows_by_workspace.get(workspace)
            if row is None or name == host:
                continue
            if name not in self.bounds_by_host:
                limit += row.limit
            cap += row.cap
            if self.read_at_by_host[name] >= since:
                demand += row.demand
                waiting += row.waiting_tokens
                hosts += 1
                expected += row.expected
        if self.unreadable_hosts - {host}:
            limit, cap = UNBOUNDED_TOKENS, UNBOUNDED_TOKENS
        return Totals(limit, cap, demand, waiting, hosts, expected)

    @property
    def hosts(self) -> int:
        """Number of hosts that ever made a statement."""
        return len(self.statements_by_host)


@dataclass(frozen=True, slots=True)
class Totals:
    """Sums of rows over several hosts.

    Attributes
    ----------
    limit, cap, waiting_tokens : int
        Tokens.
    demand, expected : float
        Tokens a second of the active hosts.
    hosts : int
        Number of active hosts.
    """

    limit: int = 0
    cap: int = 0
    demand: float = 0.0
    waiting_tokens: int = 0
    hosts: int = 0
    expected: float = 0.0
