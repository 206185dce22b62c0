"""Holdings of one host for all workspaces, without I/O.

``process.reservations`` passes in the records that the store returns and sends the
statements that this module builds. Methods that need the time take it in seconds, as
read from the clock of ``Statement.sent``.
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
    NamedLimit,
    Row,
    RunnerCrash,
    Statement,
    StatementTable,
    max_spent,
    same_boot,
)

MIN_RELATIVE_CHANGE: Final = 0.02
"""Smallest change that is worth a new statement, relative to the tokens held."""


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
        Address of this host for messages from other hosts, as IP:PORT, and the key that
        authenticates them.

    Attributes
    ----------
    statements : StatementTable
        The newest statement of every host.
    holdings : dict
        The holding of each workspace.
    stopping : bool
        Whether the process is stopping; it then states no tokens beyond those that are
        spent or waited for.
    crashes : tuple of RunnerCrash
        Crashes to state beside the holdings.
    limits : tuple of NamedLimit
        Rate limits to state beside them.
    """

    def __init__(
        self, host: str, policy: Policy, peer: str = "", key: bytes = b""
    ) -> None:
        self.host = host
        self._peer = peer
        self._key = key
        self.policy = policy
        self.statements = StatementTable()
        self.holdings: dict[str, Holding] = {}
        self.stopping = False
        self.crashes: tuple[RunnerCrash, ...] = ()
        self.limits: tuple[NamedLimit, ...] = ()
        self._stated_crashes: tuple[RunnerCrash, ...] = ()
        self._stated_runners: frozenset[str] = frozenset()
        self._prepaid: dict[str, int | None] = {}
        self._stored_end_offset = 0
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
        return self.statements.put(host, data, now)

    def former_statement_at_risk(self, now: float, booted: float) -> Statement | None:
        """Return the statement of the machine's former boot if a limit exceeds its cap.

        Tokens between cap and limit become spendable as the statement ages. After a
        reboot the clock does not tell how many of them had become spendable. None if
        the machine has not rebooted or no limit exceeds its cap.
        """
        former = self.statements.statements_by_host.get(self.host)
        if former is None or same_boot(former, now, booted):
            return None
        rows = former.rows_by_workspace.values()
        return former if any(row.limit > row.cap for row in rows) else None

    def recover(
        self, now: float, booted: float, age: float | None = None
    ) -> RecoveryResult:
        """Take over the holdings of the former incarnation on this machine.

        Tokens that it may have spent count as spent.

        Parameters
        ----------
        age : float or None
            Upper bound on the statement's age in seconds; see ``max_spent``.

        Raises
        ------
        RuntimeError
            The former statement can't be decoded, so the tokens spent are unknown.
        """
        if self.host in self.statements.unreadable_hosts:
            raise RuntimeError(
                "cannot decode this host's former statement; its spending is unknown"
            )
        former = self.statements.statements_by_host.get(self.host)
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
        return RecoveryResult(held, stranded, former)

    def remainder(self, workspace: str) -> BudgetRemainder:
        """Return what is left of a workspace's prepaid tokens."""
        others = self.statements.totals_excluding(self.host, workspace)
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
        return interval_seconds(self.statements.hosts)

    def statement(self, now: float, booted: float, epoch: int) -> Statement | None:
        """Return the statement to send now, None if none is due."""
        rows: dict[str, Row] = {}
        due = any(crash not in self._stated_crashes for crash in self.crashes)
        due = due or any(
            limit.runner not in self._stated_runners for limit in self.limits
        )
        refresh_seconds = self.interval_seconds * REFRESH_INTERVALS
        for workspace in dict.fromkeys([*self._prepaid, *self.holdings]):
            if self._prepaid.get(workspace, 0) is None:
                continue
            holding = self.holding(workspace)
            row = self._row(workspace, holding, now)
            rows[workspace] = row
            due = due or _row_due(row, holding, now, refresh_seconds)
        if not due:
            return None
        return Statement(
            epoch,
            now,
            booted,
            rows,
            self._peer,
            self._key,
            self.crashes,
            self.limits,
        )

    def statement_sent(self, statement: Statement) -> None:
        """Record that a statement is about to be sent; call this before sending.

        Lower limits apply at once, higher ones after the statement is confirmed and
        read back.
        """
        self._stated_crashes = statement.crashes
        self._stated_runners = frozenset(each.runner for each in statement.limits)
        for workspace, row in statement.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.statement_sent(row, statement.sent)

    def statement_stored(self, statement: Statement, end: int) -> None:
        """Record that the store has confirmed a statement, with its end offset."""
        self._stored_end_offset = end
        for workspace in statement.rows_by_workspace:
            self.holding(workspace).statement_stored()

    def apply_read(self, offset: int) -> bool:
        """Update the grants after a read of all records before an offset.

        Returns False without an update if the read ends before this host's newest
        confirmed statement.
        """
        if offset < self._stored_end_offset:
            return False
        for workspace, holding in self.holdings.items():
            others = self.statements.totals_excluding(self.host, workspace)
            holding.update_grant(self.prepaid(workspace), others)
        return True

    def all_tokens_returned(self) -> bool:
        """Return whether all rows are confirmed and no limit exceeds the spending."""
        return all(
            holding.pending is None
            and holding.stated is not None
            and holding.stated.limit <= holding.spent
            for holding in self.holdings.values()
        )

    def _row(self, workspace: str, holding: Holding, now: float) -> Row:
        if self.stopping:
            spent = holding.spent + holding.waiting_tokens
            return Row(spent, spent, 0.0, holding.waiting_tokens)
        others = self.statements.totals_excluding(self.host, workspace)
        prepaid = self.prepaid(workspace)
        return holding.plan(now, prepaid, others, self.policy)


def _row_due(row: Row, holding: Holding, now: float, refresh_seconds: float) -> bool:
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
