"""Holdings of one host for all workspaces, without I/O.

A task passes in the records that the store returns and sends the statements that this
module builds. Every method takes a reading of the clock that statements carry.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from godwitrudder import codec
from godwitrudder.request.holding import (
    REFRESH_INTERVALS,
    Holding,
    Policy,
    interval_seconds,
)
from godwitrudder.version.statements import (
    UNBOUNDED_TOKENS,
    Row,
    Statement,
    StatementTable,
    max_spent,
    same_boot,
)

CHANGE_LEAST: Final = 0.02
"""Smallest change that is worth a new statement, relative to the tokens held."""


@dataclass(frozen=True, slots=True)
class BudgetRemainder:
    """What the fleet has left of a budget, as far as this host knows.

    Attributes
    ----------
    tokens : int
        Prepaid tokens less the most that every host may have spent.
    held_elsewhere : int
        Tokens that other hosts hold and have not spent.
    """

    tokens: int
    held_elsewhere: int


@dataclass(frozen=True, slots=True)
class RecoveredTokens:
    """Tokens that a host recovers from its former incarnation.

    Attributes
    ----------
    held : int
        Tokens that the former incarnation held beyond its cap.
    stranded : int
        Tokens of these that may have been spent and so count as spent.
    """

    held: int
    stranded: int
    former: Statement | None


class HostHoldings:
    """The holdings of one host by workspace.

    Parameters
    ----------
    host : str
        Key of the host's statements; the same for all incarnations on one machine.
    peer, key : str, bytes
        Address for messages of other hosts, and the key that seals them.
    """

    def __init__(
        self, host: str, policy: Policy, peer: str = "", key: bytes = b""
    ) -> None:
        self.host = host
        self._peer = peer
        self._key = key
        self.policy = policy
        self.book = StatementTable()
        self.holdings: dict[str, Holding] = {}
        self.leaving = False
        self._prepaid: dict[str, int | None] = {}
        self._stored_end = 0
        self._first_request_at: float | None = None

    def configure(self, prepaid_by_workspace: Mapping[str, int | None]) -> None:
        """Set the prepaid amounts in force; None means no limit."""
        self._prepaid = dict(prepaid_by_workspace)

    def holding(self, workspace: str) -> Holding:
        """Return the holding of a workspace, creating an empty one if needed."""
        holding = self.holdings.get(workspace)
        if holding is None:
            holding = Holding()
            holding.demand.began = self._first_request_at
            self.holdings[workspace] = holding
        return holding

    def record_demand(self, workspace: str, tokens: int, now: float) -> None:
        """Record the tokens that a request asks for."""
        if self._first_request_at is None:
            self._first_request_at = now
            for holding in self.holdings.values():
                holding.demand.began = holding.demand.began or now
        self.holding(workspace).demand.record(tokens, now)

    def apply_statement(
        self, host: str, data: bytes | None, now: float
    ) -> codec.Malformed | None:
        """Store a host's newest statement; return the error if it can't be decoded."""
        return self.book.put(host, data, now)

    def former_statement_at_risk(self, now: float, booted: float) -> Statement | None:
        """Return the statement of the machine's former boot if it held unopened tokens.

        After a reboot the clock does not tell how far such a statement had opened.
        """
        former = self.book.statements_by_host.get(self.host)
        if former is None or same_boot(former, now, booted):
            return None
        rows = former.rows_by_workspace.values()
        return former if any(row.limit > row.cap for row in rows) else None

    def recover(
        self, now: float, booted: float, age: float | None = None
    ) -> RecoveredTokens:
        """Take over the holdings of the former incarnation on this machine.

        Tokens that it may have spent count as spent.

        Parameters
        ----------
        age : float or None
            As for ``max_spent``.

        Raises
        ------
        RuntimeError
            The former statement can't be decoded, so the tokens spent are unknown.
        """
        if self.host in self.book.unreadable_hosts:
            raise RuntimeError(
                "cannot decode this host's former statement; its spending is unknown"
            )
        former = self.book.statements_by_host.get(self.host)
        rows = {} if former is None else former.rows_by_workspace
        stranded = 0
        for workspace, row in rows.items():
            assert former is not None
            spent = max_spent(row, former, now, booted, age)
            holding = self.holding(workspace)
            holding.spent = spent
            holding.granted = spent
            if row.demand:
                holding.demand.expect(row.demand, now)
            stranded += spent - row.cap
        held = sum(row.limit - row.cap for row in rows.values())
        return RecoveredTokens(held, stranded, former)

    def free(self, workspace: str) -> BudgetRemainder:
        """Return what is left of a budget."""
        others = self.book.totals_excluding(self.host, workspace)
        spent = self.holding(workspace).spent
        tokens = self.prepaid(workspace) - others.cap - spent
        return BudgetRemainder(tokens, others.limit - others.cap)

    @property
    def held(self) -> int:
        """Return the tokens that may be spent without a further statement."""
        return sum(
            max(0, holding.granted - holding.spent)
            for holding in self.holdings.values()
        )

    def prepaid(self, workspace: str) -> int:
        """Return the prepaid amount; 0 for an unknown workspace."""
        prepaid = self._prepaid.get(workspace, 0)
        return UNBOUNDED_TOKENS if prepaid is None else prepaid

    @property
    def interval_seconds(self) -> float:
        """Return the seconds between statements while no request waits."""
        return interval_seconds(self.book.hosts)

    def statement(self, now: float, booted: float, epoch: int) -> Statement | None:
        """Return the statement to send now, None if none is due."""
        rows: dict[str, Row] = {}
        due = False
        refresh = self.interval_seconds * REFRESH_INTERVALS
        for workspace in dict.fromkeys([*self._prepaid, *self.holdings]):
            if self._prepaid.get(workspace, 0) is None:
                continue
            holding = self.holding(workspace)
            row = self._row(workspace, holding, now)
            rows[workspace] = row
            due = due or _row_due(row, holding, now, refresh)
        if not due:
            return None
        return Statement(epoch, now, booted, rows, self._peer, self._key)

    def statement_sent(self, statement: Statement) -> None:
        """Record that a statement is about to be sent; lower limits apply at once."""
        for workspace, row in statement.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.statement_sent(row, statement.sent)

    def statement_stored(self, statement: Statement, end: int) -> None:
        """Record that the store has confirmed a statement that ends at an offset."""
        self._stored_end = end
        for workspace in statement.rows_by_workspace:
            self.holding(workspace).statement_stored()

    def apply_read(self, offset: int) -> bool:
        """Update the grants after a read of all records before an offset.

        Returns False without an update if the read ends before this host's newest
        confirmed statement.
        """
        if offset < self._stored_end:
            return False
        for workspace, holding in self.holdings.items():
            others = self.book.totals_excluding(self.host, workspace)
            holding.update_grant(self.prepaid(workspace), others)
        return True

    def settled(self) -> bool:
        """Return whether the store knows that nothing is held beyond what was spent."""
        return all(
            holding.pending is None
            and holding.stated is not None
            and holding.stated.limit <= holding.spent
            for holding in self.holdings.values()
        )

    def _row(self, workspace: str, holding: Holding, now: float) -> Row:
        if self.leaving:
            spent = holding.spent + holding.waiting
            return Row(spent, spent, 0.0, holding.waiting)
        others = self.book.totals_excluding(self.host, workspace)
        prepaid = self.prepaid(workspace)
        return holding.plan(now, prepaid, others, self.policy)


def _row_due(row: Row, holding: Holding, now: float, refresh: float) -> bool:
    """Return whether a row differs from the confirmed one, or the latter is too old."""
    stated = holding.stated
    if stated is None or holding.waiting:
        return True
    if now - holding.stated_at > refresh and row.limit > holding.spent:
        return True
    slack = CHANGE_LEAST * max(0, stated.limit - holding.spent)
    return abs(row.limit - stated.limit) > slack or abs(row.cap - stated.cap) > slack
