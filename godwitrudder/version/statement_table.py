"""What one host has read of the statements of all hosts.

See ``version.statements`` for what they mean, and for the proof that the sum of all
grants stays within the prepaid amount.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from godwitrudder import codec
from godwitrudder.version.statements import (
    ACTIVE_SECONDS,
    UNBOUNDED_TOKENS,
    LostTokens,
    RememberedRows,
    Row,
    Statement,
)


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
    lost : LostTokens or None
        Tokens that may be spent without a limit that stands for them.
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
    lost: LostTokens | None = None
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
        if statement.lost is not None:
            self.add_lost(statement.lost)
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

    def add_lost(self, lost: LostTokens) -> None:
        """Count tokens as lost; what was found out earlier is part of them or more."""
        if self.lost is None:
            self.lost = lost
            return
        tokens = dict(self.lost.tokens_by_workspace)
        for workspace, more in lost.tokens_by_workspace.items():
            tokens[workspace] = max(more, tokens.get(workspace, 0))
        self.lost = LostTokens(max(lost.era, self.lost.era), tokens)

    def lost_tokens(self, workspace: str) -> int:
        """Return the tokens that count as spent without a host's limit."""
        if self.lost is None:
            return 0
        return self.lost.tokens_by_workspace.get(workspace, 0)

    @property
    def loss_known(self) -> bool:
        """Whether a host has found out what was lost when this era began."""
        return self.lost is not None and self.lost.era == self.era

    def bound_by_copy(self) -> None:
        """Count each host that nobody has bounded with its limits in the older copy."""
        for host, bounds in self.bounds_by_host.items():
            if bounds is None:
                rows = self.statements_by_host[host].rows_by_workspace
                self.bounds_by_host[host] = {
                    workspace: row.limit for workspace, row in rows.items()
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
        limit += self.lost_tokens(workspace)
        cap += self.lost_tokens(workspace)
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
