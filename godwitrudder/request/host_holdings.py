"""Holdings of one host for all workspaces, without I/O.

``process.reservations`` passes in the records that the store returns and sends the
statements that this module builds. Methods that need the time take it in seconds, as
read from the clock of ``Statement.sent``.
"""

from __future__ import annotations

import math
from collections import deque
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
    Announcement,
    BudgetRemainder,
    RecoveryResult,
    raises_allowance,
    row_due,
)
from godwitrudder.request.older_copy import is_young, lost_tokens
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import (
    ACTIVE_SECONDS,
    UNBOUNDED_TOKENS,
    LostTokens,
    NamedLimit,
    RememberedRows,
    Row,
    RunnerCrash,
    Statement,
    max_spent,
    same_boot,
)

IDLE_STATEMENT_SECONDS: Final = ACTIVE_SECONDS / 3
"""Longest time between statements; a host that states nothing counts as inactive."""
RECORD_BYTES: Final = 262_144
"""Size of a statement that every store accepts."""
PASSED_SHARE: Final = 0.5
"""Share of a statement's size for bounds of other hosts."""
LATE_APPENDS: Final = 1
"""Appends per host that reach the store after it was restored, though sent before."""
NO_OFFSET: Final = 2**62
"""Above all offsets: of a statement that the store has not confirmed."""
PASS_ON_SECONDS: Final = 1.0
"""Time in which hosts that are alive state again in a new era.  After it their peers
pass on the bounds of those that have not."""


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
    era_end : int
        See ``Statement.era_end``.
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
        self._era_began_at = -math.inf
        self._stated_in_era = False
        self._bounds_passed = False
        self._passed_hosts: set[str] = set()
        self._witness_due = False
        self._announcement: Announcement | None = None
        self._remembered: RememberedRows | None = None
        self._newest: Statement | None = None
        self._newest_end = NO_OFFSET
        self._noticed_by: set[str] = set()
        self.ceilings = Ceilings()
        self.era_end = 0
        self._end_era: int | None = None
        self._stated_raises: dict[str, int] = {}
        self._stored: deque[tuple[float, int]] = deque()

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

    def note_era_end(self, end: int) -> None:
        """Note the end of the records that were read; the first in an era counts."""
        if self._end_era != self.statements.era:
            self._end_era = self.statements.era
            self.era_end = end

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
        self._stored.clear()
        self._stored_end_offset = 0
        self._read_to = 0
        self._era_began_at = now
        self._stated_in_era = False
        self._bounds_passed = False
        self._passed_hosts = set()
        self._announcement = None
        self._remembered = None

    @property
    def former_is_lost(self) -> bool:
        """Whether the former incarnation may have stated more than the store has."""
        return self.host in self.statements.bounds_by_host or self.needs_bound

    @property
    def needs_bound(self) -> bool:
        """Whether another host must tell what the former incarnation may have spent.

        While the store has statements of hosts that nobody has bounded, or none at all
        after a restore, one of those hosts may remember this one.
        """
        table = self.statements
        if self.host in table.bounds_by_host:
            return table.bounds_by_host[self.host] is None
        empty = not (table.statements_by_host or table.bounds_by_host)
        if empty:
            return table.era > 0 and not self.first_start
        return None in table.bounds_by_host.values()

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
            bounds = self._former_bounds(min(now, started), booted)
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
        return is_young(table, self.host, self.era_end, answered_at, booted)

    def _lost_tokens(self) -> dict[str, int]:
        return lost_tokens(self.statements, self._prepaid)

    def _former_bounds(self, ended: float, booted: float) -> dict[str, int]:
        """Return the most that the former incarnation can have spent, by workspace.

        Without a bound from another host that is the whole prepaid amount.

        Parameters
        ----------
        ended : float
            Time by which it had ended, in seconds.
        """
        bounds = self.statements.bounds_by_host.get(self.host)
        if bounds is None:
            return {
                name: prepaid
                for name, prepaid in self._prepaid.items()
                if prepaid is not None
            }
        known = self._remembered
        if known is None or not same_boot(known, ended, booted):
            return bounds
        rows = known.rows_by_workspace
        return {
            name: min(bound, rows[name].max_later_grant(ended - known.sent))
            for name, bound in bounds.items()
            if name in rows
        }

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
        all_bounds = self._bounds_to_pass_on(now)
        due = self._statement_due(now, bool(all_bounds))
        bounds_by_host, remembered_by_host = self._fitting(all_bounds)
        refresh_seconds = self.interval_seconds * REFRESH_INTERVALS
        for workspace in dict.fromkeys([*self._prepaid, *self.holdings]):
            if self._prepaid.get(workspace, 0) is None:
                continue
            holding = self.holding(workspace)
            prepaid = self.prepaid(workspace)
            holding.announce_allowance(prepaid / max(1, table.hosts), now)
            raised = self.ceilings.raised(workspace)
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
            dict(self.ceilings.own_raises),
            self._read_sent(),
            table.lost,
            self.era_end,
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

    def _read_sent(self) -> float:
        """Return ``Statement.read_sent`` of the statement to send now."""
        below = self._read_to - LATE_APPENDS * max(1, self.statements.hosts)
        while len(self._stored) > 1 and self._stored[1][1] <= below:
            self._stored.popleft()
        if self._stored and self._stored[0][1] <= below:
            return self._stored[0][0]
        return -1.0

    def _statement_due(self, now: float, passes_bounds: bool) -> bool:
        """Return whether a statement is due, whatever its rows say."""
        return (
            not self._stated_in_era
            or self._witness_due
            or (passes_bounds and not self._bounds_passed)
            or now - self._sent_at > IDLE_STATEMENT_SECONDS
            or any(crash not in self._stated_crashes for crash in self.crashes)
            or any(limit.runner not in self._stated_runners for limit in self.limits)
        )

    def _bounds_to_pass_on(self, now: float) -> dict[str, dict[str, int] | None]:
        """Return the bounds of hosts that have not stated in this era.

        Hosts that the store still lists get some time to state again.
        """
        table = self.statements
        waited = now - self._era_began_at >= PASS_ON_SECONDS
        return {
            host: bounds
            for host, bounds in table.bounds_by_host.items()
            if host != self.host
            and (host not in table.listed_hosts or (waited and bounds is not None))
        }

    def _fitting(
        self, bounds_by_host: dict[str, dict[str, int] | None]
    ) -> tuple[dict[str, dict[str, int] | None], dict[str, RememberedRows]]:
        """Return the bounds that fit into a statement, and what they follow from.

        The others are passed on in the next statements.
        """
        table = self.statements
        if self._passed_hosts.issuperset(bounds_by_host):
            self._passed_hosts.clear()
        fitting: dict[str, dict[str, int] | None] = {}
        remembered_by_host: dict[str, RememberedRows] = {}
        left = self.record_bytes * PASSED_SHARE
        for host in sorted(bounds_by_host, key=self._passed_hosts.__contains__):
            bounds = bounds_by_host[host]
            rows = None
            if bounds is not None and host in table.statements_by_host:
                rows = table.remembered(host)
            left -= len(host) + len(codec.encode([bounds, rows]))
            if left < 0 and fitting:
                break
            fitting[host] = bounds
            if rows is not None:
                remembered_by_host[host] = rows
        return fitting, remembered_by_host

    def statement_sent(self, statement: Statement) -> None:
        """Record that a statement is about to be sent; call this before sending.

        Lower limits apply at once, higher ones after the statement is confirmed and
        read back.
        """
        self._sent_at = statement.sent
        self._stated_raises = statement.raises_by_workspace
        self._witness_due = False
        self._passed_hosts.update(statement.bounds_by_host)
        self._bounds_passed = bool(statement.bounds_by_host) and (
            self._bounds_passed
            or self._passed_hosts.issuperset(self._bounds_to_pass_on(statement.sent))
        )
        self._stated_crashes = statement.crashes
        self._stated_runners = frozenset(each.runner for each in statement.limits)
        announced = self._announcement
        self._noticed_by = set()
        self._newest = statement
        self._newest_end = NO_OFFSET
        for workspace, row in statement.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.statement_sent(row, statement.sent)
            if announced is not None:
                announced.lower(workspace, row.limit)

    def statement_stored(self, statement: Statement, end: int) -> None:
        """Record that the store has confirmed a statement, with its end offset."""
        self._stored_end_offset = self._newest_end = end
        self._stated_in_era = True
        self._confirmed_at = statement.sent
        self._stored.append((statement.sent, end))
        for workspace in statement.rows_by_workspace:
            self.holding(workspace).statement_stored()
        if self._announcement is None:
            rows = statement.rows_by_workspace
            limits = {workspace: row.limit for workspace, row in rows.items()}
            self._announcement = Announcement(end, rows, limits)

    def apply_read(self, offset: int, now: float) -> bool:
        """Update the grants after a read of all records before an offset.

        Returns False without an update if this host's newest statement is not
        confirmed in this era, or if the read ends before it.
        """
        self._read_to = offset
        self.ceilings.end_read()
        if not self._stated_in_era or offset < self._stored_end_offset:
            return False
        self._apply_announcement(now)
        self._apply_noticed()
        self._update_grants(now)
        return True

    def _update_grants(self, now: float) -> None:
        for workspace, holding in self.holdings.items():
            others = self.statements.totals_excluding(self.host, workspace)
            holding.update_grant(self.ceiling(workspace), others, now)

    def _apply_announcement(self, now: float) -> None:
        """Put in force what all active hosts have read: allowances and limits."""
        announced = self._announcement
        if announced is None:
            return
        if not self.statements.read_by_active_hosts(self.host, announced.end):
            return
        self._announcement = None
        for workspace, row in announced.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.use_allowance(row.allowance, now)
            limit = announced.limits[workspace]
            holding.known_limit = max(holding.known_limit, limit)

    def _apply_noticed(self) -> None:
        """Note the newest limits as known if all active hosts have confirmed them."""
        newest, table = self._newest, self.statements
        if newest is None or newest.era != table.era:
            return
        if not table.read_by_active_hosts(
            self.host, self._newest_end, self._noticed_by
        ):
            return
        for workspace, row in newest.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.known_limit = max(holding.known_limit, row.limit)

    def limits_to_notice(self, statement: Statement) -> dict[str, int]:
        """Return the limits of a statement that other hosts are not known to know."""
        return {
            workspace: row.limit
            for workspace, row in statement.rows_by_workspace.items()
            if row.limit > self.holding(workspace).known_limit
        }

    def record_noticed(self, host: str, sent: float, now: float) -> None:
        """Note that a host has confirmed the limits of the newest statement."""
        newest = self._newest
        if newest is None or newest.sent != sent:
            return
        self._noticed_by.add(host)
        if self._stated_in_era and self._read_to >= self._stored_end_offset:
            self._apply_noticed()
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
