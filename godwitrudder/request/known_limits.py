"""Limits and allowances of one host that all active hosts are known to remember.

They learn them from its statements, or from messages that they confirm.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.request.holding import Holding
from godwitrudder.request.holding_records import Announcement
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import Statement

NO_OFFSET: Final = 2**62
"""Above all offsets: of a statement that the store has not confirmed."""


@dataclass(slots=True)
class KnownLimits:
    """What one host has told the others.

    Parameters
    ----------
    holding : callable
        Returns the host's holding of a workspace.
    """

    host: str
    holding: Callable[[str], Holding]
    _announcement: Announcement | None = None
    _newest: Statement | None = None
    _newest_end: int = NO_OFFSET
    _noticed_by: set[str] = field(default_factory=set)

    def begin_era(self) -> None:
        """Forget what the store may have lost."""
        self._announcement = None

    def statement_sent(self, statement: Statement) -> None:
        """Note the newest statement; lower limits apply at once."""
        self._noticed_by = set()
        self._newest = statement
        self._newest_end = NO_OFFSET
        if self._announcement is not None:
            for workspace, row in statement.rows_by_workspace.items():
                self._announcement.lower(workspace, row.limit)

    def statement_stored(self, statement: Statement, end: int) -> None:
        """Note that the store has the newest statement, with its end offset."""
        self._newest_end = end
        if self._announcement is None:
            rows = statement.rows_by_workspace
            limits = {workspace: row.limit for workspace, row in rows.items()}
            self._announcement = Announcement(end, rows, limits)

    def apply_read(self, table: StatementTable, now: float) -> None:
        """Put in force what all active hosts have read, or confirmed otherwise."""
        self._apply_announcement(table, now)
        self.apply_noticed(table)

    def _apply_announcement(self, table: StatementTable, now: float) -> None:
        announced = self._announcement
        if announced is None:
            return
        if not table.read_by_active_hosts(self.host, announced.end):
            return
        self._announcement = None
        for workspace, row in announced.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.use_allowance(row.allowance, now)
            limit = announced.limits[workspace]
            holding.known_limit = max(holding.known_limit, limit)

    def apply_noticed(self, table: StatementTable) -> None:
        """Note the newest limits as known if all active hosts have confirmed them."""
        newest = self._newest
        if newest is None or newest.era != table.era:
            return
        if not table.read_by_active_hosts(
            self.host, self._newest_end, self._noticed_by
        ):
            return
        for workspace, row in newest.rows_by_workspace.items():
            holding = self.holding(workspace)
            holding.known_limit = max(holding.known_limit, row.limit)

    def to_notice(self, statement: Statement) -> dict[str, int]:
        """Return the limits of a statement that other hosts are not known to know."""
        return {
            workspace: row.limit
            for workspace, row in statement.rows_by_workspace.items()
            if row.limit > self.holding(workspace).known_limit
        }

    def record_noticed(self, host: str, sent: float) -> bool:
        """Note that a host has confirmed limits; return whether they are the newest."""
        if self._newest is None or self._newest.sent != sent:
            return False
        self._noticed_by.add(host)
        return True
