"""Holdings of one host for all workspaces, without I/O.

``process.reservations`` passes in the records that the store returns and sends the
statements that this module builds. Methods that need the time take it in seconds, as
read from the clock of ``Statement.sent``.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

from godwitrudder import codec
from godwitrudder.request.ceiling import CONFIDENT_SECONDS, Ceilings, floor
from godwitrudder.request.holding import (
    REFRESH_INTERVALS,
    Holding,
    Policy,
    interval_seconds,
)
from godwitrudder.request.holding_records import (
    BudgetRemainder,
    RecoveryResult,
    raises_allowance,
    row_due,
)
from godwitrudder.request.known_limits import KnownLimits
from godwitrudder.request.older_copy import is_young, lost_tokens
from godwitrudder.request.passed_bounds import PassedBounds
from godwitrudder.request.recovery import (
    former_bounds,
    former_statement_at_risk,
    needs_bound,
)
from godwitrudder.request.stored_statements import StoredStatements
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import (
    ACTIVE_SECONDS,
    UNBOUNDED_TOKENS,
    CeilingRecord,
    LostTokens,
    NamedLimit,
    RememberedRows,
    Row,
    RunnerCrash,
    Statement,
    max_spent,
)

IDLE_STATEMENT_SECONDS: Final = ACTIVE_SECONDS / 3
"""Longest time between statements; a host that states nothing counts as inactive."""
RECORD_BYTES: Final = 262_144
"""Size of a statement that every store accepts."""


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
    ceilings : Ceilings
        What all hosts together may be granted.
    stored_statements : StoredStatements
        What the store has confirmed in this era.
    known_limits : KnownLimits
        What the other hosts know.
    fence : int
        Highest epoch that this process has used as a producer.
    first_start : bool
        Whether the whole fleet starts for the first time.
    record_bytes : int
        Limit of the size of a statement.
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
        self.fence = 0
        self.first_start = False
        self.record_bytes = RECORD_BYTES
        self._read_to = 0
        self._sent_at = -math.inf
        self._confirmed_at = -math.inf
        self._stated_in_era = False
        self._witness_due = False
        self._remembered: RememberedRows | None = None
        self._stated_raises: dict[str, int] = {}
        self._passed_bounds = PassedBounds(host)
        self.known_limits = KnownLimits(host, self.holding)
        self.ceilings = Ceilings()
        self.stored_statements = StoredStatements()

    def configure(self, prepaid_by_workspace: Mapping[str, int | None]) -> None:
        """Set the prepaid amounts in force; None means no limit."""
        self._prepaid = dict(prepaid_by_workspace)

    def holding(self, workspace: str) -> Holding:
        """Return the holding of a workspace, creating an empty one if needed."""
        holding = self.holdings.get(workspace)
        if holding is None:
            holding = Holding(known_limit=0)
            holding.demand.began = self._first_request_at
            self.holdings[workspace] = holding
        return holding

    def begin_read(self, now: float, newest_only: bool = False) -> None:
        """Note that a read begins; see ``StatementTable.begin_read``."""
        self.statements.begin_read(now, newest_only)
        self.ceilings.begin_read(now)

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
        former = self.statements.statements_by_host.get(host)
        problem = self.statements.put(host, data, now)
        newest = self.statements.statements_by_host.get(host)
        if newest is not None:
            if newest.lost is not None:
                self.ceilings.begin_loss(newest.lost.era)
            self.ceilings.read(newest, now)
        if host != self.host and newest is not None:
            self._witness_due = self._witness_due or raises_allowance(former, newest)
            if self.statements.has_stated(host):
                self._remember(newest.remembered_by_host.get(self.host))
        return problem

    def _remember(self, rows: RememberedRows | None) -> None:
        """Keep what another host remembers of the former incarnation."""
        known = self._remembered
        if rows is not None and (known is None or rows.sent > known.sent):
            self._remembered = rows

    def begin_era(self, era: int, now: float) -> None:
        """Note that the store has come back from an older copy.

        The holdings stay as they are; none grows before this host has stated again.
        """
        active = now - self._confirmed_at < ACTIVE_SECONDS
        trusted = active and not self.stopping
        self.statements.begin_era(era, now, trusted)
        self.ceilings.begin_era()
        self._stated_raises = {}
        self.stored_statements.begin_era()
        self._passed_bounds.begin_era(now)
        self.known_limits.begin_era()
        self._stored_end_offset = 0
        self._read_to = 0
        self._stated_in_era = False
        self._remembered = None

    @property
    def former_is_lost(self) -> bool:
        """Whether the former incarnation may have stated more than the store has."""
        return self.host in self.statements.bounds_by_host or self.needs_bound

    @property
    def needs_bound(self) -> bool:
        """Whether another host must tell what the former incarnation may have spent."""
        return needs_bound(self.statements, self.host, self.first_start)

    def former_statement_at_risk(self, now: float, booted: float) -> Statement | None:
        """Return the former boot's statement if a limit exceeds its cap; see there."""
        return former_statement_at_risk(self.statements, self.host, now, booted)

    def recover(
        self,
        now: float,
        booted: float,
        age: float | None = None,
        started: float = math.inf,
    ) -> RecoveryResult:
        """Take over the holdings of the former incarnation on this machine.

        Tokens that it may have spent count as spent.

        Parameters
        ----------
        age : float or None
            Upper bound on the statement's age in seconds; see ``max_spent``.
        started : float
            Time at which the former incarnation was gone.

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
        held = sum(row.limit - row.cap for row in rows.values())
        for workspace, row in rows.items():
            if row.demand:
                self.holding(workspace).demand.expect(row.demand, now)
        if self.former_is_lost:
            bounds = former_bounds(
                self.statements.bounds_by_host.get(self.host),
                self._remembered,
                self._prepaid,
                min(now, started),
                booted,
            )
            for workspace, tokens in bounds.items():
                self.holding(workspace).take_over(tokens, 0, now)
            return RecoveryResult(held, sum(bounds.values()), former, lost=True)
        stranded = 0
        for workspace, row in rows.items():
            assert former is not None
            spent = max_spent(row, former, now, booted, age)
            self.holding(workspace).take_over(spent, row.allowance_in_force, now)
            stranded += spent - row.cap
        return RecoveryResult(held, stranded, former)

    def bound_by_ceilings(self, answered_at: float, booted: float) -> bool:
        """Bound what the fleet had spent by the ceilings in an older copy.

        Returns False if the copy can't be shown to be young enough.

        Parameters
        ----------
        answered_at : float
            Time at which the store first answered this process in this era, in seconds.
        booted : float
            See ``Statement.booted``.
        """
        table = self.statements
        if table.unreadable_hosts:
            return False
        if not table.bounds_by_host.keys() <= table.statements_by_host.keys():
            return False
        if not table.loss_known:
            if not self._copy_is_young(answered_at, booted):
                return False
            table.add_lost(LostTokens(table.era, self._lost_tokens()))
            self.ceilings.begin_loss(table.era)
        table.bound_by_copy()
        return True

    def _copy_is_young(self, answered_at: float, booted: float) -> bool:
        table = self.statements
        era_end = self.stored_statements.era_end
        return is_young(table, self.host, era_end, answered_at, booted)

    def _lost_tokens(self) -> dict[str, int]:
        return lost_tokens(self.statements, self._prepaid)

    def remainder(self, workspace: str) -> BudgetRemainder:
        """Return what is left of a workspace's prepaid tokens."""
        others = self.statements.totals_excluding(self.host, workspace)
        holding = self.holdings.get(workspace)
        spent = 0 if holding is None else holding.spent
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

    def ceiling(self, workspace: str) -> int:
        """Return the tokens that all hosts together may be granted now."""
        lost = self.statements.lost_tokens(workspace)
        return self.ceilings.in_force(workspace, self.prepaid(workspace), lost)

    @property
    def interval_seconds(self) -> float:
        """Return the seconds between statements while no request waits."""
        return interval_seconds(self.statements.hosts)

    def statement(self, now: float, booted: float, epoch: int) -> Statement | None:
        """Return the statement to send now, None if none is due."""
        rows: dict[str, Row] = {}
        table = self.statements
        pending = self._passed_bounds.pending(table, now)
        due = self._statement_due(now) or self._passed_bounds.is_due(pending)
        bounds_by_host, remembered_by_host = self._passed_bounds.fitting(
            pending, table, self.record_bytes
        )
        refresh_seconds = self.interval_seconds * REFRESH_INTERVALS
        for workspace in dict.fromkeys([*self._prepaid, *self.holdings]):
            if self._prepaid.get(workspace, 0) is None:
                continue
            holding = self.holding(workspace)
            prepaid = self.prepaid(workspace)
            holding.announce_allowance(prepaid / max(1, table.hosts), now)
            raised = self.ceilings.raised_ceiling(workspace)
            ceiling = floor(prepaid, table.lost_tokens(workspace))
            row = holding.with_bounds(
                self._row(workspace, holding, now),
                ceiling if raised is None else raised,
                raised is not None,
            )
            rows[workspace] = row
            began = holding.demand.began
            if began is not None and now - began >= CONFIDENT_SECONDS:
                self._plan_ceiling(workspace, row)
            due = due or row_due(row, holding, now, refresh_seconds)
        due = due or self.ceilings.own_raises != self._stated_raises
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
            table.era,
            self._read_to,
            self.fence,
            bounds_by_host,
            remembered_by_host,
            self.stopping,
            table.lost,
            CeilingRecord(
                dict(self.ceilings.own_raises),
                self.stored_statements.read_sent(self._read_to, table.hosts),
                self.stored_statements.era_end,
            ),
        )

    def _plan_ceiling(self, workspace: str, row: Row) -> None:
        """Raise the ceiling of a workspace before the spending reaches it.

        Limits don't tell when: hosts without demand hold much, and hosts that start at
        the same time state more than there is.
        """
        others = self.statements.totals_excluding(self.host, workspace)
        self.ceilings.plan(
            workspace,
            others.cap + row.cap,
            others.demand + row.demand,
        )

    def _statement_due(self, now: float) -> bool:
        """Return whether a statement is due, whatever its rows say."""
        return (
            not self._stated_in_era
            or self._witness_due
            or now - self._sent_at > IDLE_STATEMENT_SECONDS
            or any(crash not in self._stated_crashes for crash in self.crashes)
            or any(limit.runner not in self._stated_runners for limit in self.limits)
        )

    def statement_sent(self, statement: Statement) -> None:
        """Record that a statement is about to be sent; call this before sending.

        Lower limits apply at once, higher ones after the statement is confirmed and
        read back.
        """
        self._sent_at = statement.sent
        self._witness_due = False
        if statement.ceilings is not None:
            self._stated_raises = statement.ceilings.raises_by_workspace
        self._passed_bounds.statement_sent(statement, self.statements)
        self.known_limits.statement_sent(statement)
        self._stated_crashes = statement.crashes
        self._stated_runners = frozenset(each.runner for each in statement.limits)
        for workspace, row in statement.rows_by_workspace.items():
            self.holding(workspace).statement_sent(row, statement.sent)

    def statement_stored(self, statement: Statement, end: int) -> None:
        """Record that the store has confirmed a statement, with its end offset."""
        self._stored_end_offset = end
        self._stated_in_era = True
        self._confirmed_at = statement.sent
        self.stored_statements.add(statement.sent, end)
        self.known_limits.statement_stored(statement, end)
        for workspace in statement.rows_by_workspace:
            self.holding(workspace).statement_stored()

    def apply_read(self, offset: int, now: float) -> bool:
        """Update the grants after a read of all records before an offset.

        Returns False without an update if this host's newest statement is not
        confirmed in this era, or if the read ends before it.
        """
        self._read_to = offset
        self.ceilings.end_read()
        if not self._stated_in_era or offset < self._stored_end_offset:
            return False
        self.known_limits.apply_read(self.statements, now)
        self._update_grants(now)
        return True

    def _update_grants(self, now: float) -> None:
        for workspace, holding in self.holdings.items():
            others = self.statements.totals_excluding(self.host, workspace)
            holding.update_grant(self.ceiling(workspace), others, now)

    def record_noticed(self, host: str, sent: float, now: float) -> None:
        """Note that a host has confirmed the limits of the newest statement."""
        if not self.known_limits.record_noticed(host, sent):
            return
        if self._stated_in_era and self._read_to >= self._stored_end_offset:
            self.known_limits.apply_noticed(self.statements)
            self._update_grants(now)

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
        ceiling = self.ceiling(workspace)
        return holding.plan(now, prepaid, others, self.policy, ceiling)
