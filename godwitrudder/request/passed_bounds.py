"""Bounds of other hosts that a host passes on in its statements.

After the store came back from an older copy, hosts that start need to know what those
may have spent that have not stated since.  Bounds that don't fit into one statement are
passed on in the next ones.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from godwitrudder import codec
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import RememberedRows, Statement

PASS_ON_SECONDS: Final = 1.0
"""Time in which hosts that are alive state again in a new era.  After it their peers
pass on the bounds of those that have not."""
PASSED_SHARE: Final = 0.5
"""Share of a statement's size for bounds of other hosts."""

Bounds = dict[str, int] | None


@dataclass(slots=True)
class PassedBounds:
    """What one host has passed on in this era."""

    host: str
    _era_began_at: float = -math.inf
    _hosts: set[str] = field(default_factory=set)
    _complete: bool = False

    def begin_era(self, now: float) -> None:
        """Note that nothing was passed on in the new era."""
        self._era_began_at = now
        self._hosts = set()
        self._complete = False

    def pending(self, table: StatementTable, now: float) -> dict[str, Bounds]:
        """Return the bounds of hosts that have not stated in this era.

        Hosts that the store still lists get some time to state again.
        """
        waited = now - self._era_began_at >= PASS_ON_SECONDS
        return {
            host: bounds
            for host, bounds in table.bounds_by_host.items()
            if host != self.host
            and (host not in table.listed_hosts or (waited and bounds is not None))
        }

    def is_due(self, pending: Mapping[str, Bounds]) -> bool:
        """Return whether a statement must be sent to pass bounds on."""
        return bool(pending) and not self._complete

    def fitting(
        self, pending: Mapping[str, Bounds], table: StatementTable, record_bytes: int
    ) -> tuple[dict[str, Bounds], dict[str, RememberedRows]]:
        """Return the bounds that fit into a statement, and what they follow from.

        Parameters
        ----------
        record_bytes : int
            Limit of the size of a statement.
        """
        if self._hosts.issuperset(pending):
            self._hosts.clear()
        fitting: dict[str, Bounds] = {}
        remembered_by_host: dict[str, RememberedRows] = {}
        left = record_bytes * PASSED_SHARE
        for host in sorted(pending, key=self._hosts.__contains__):
            bounds = pending[host]
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

    def statement_sent(self, statement: Statement, table: StatementTable) -> None:
        """Record what a statement passes on."""
        self._hosts.update(statement.bounds_by_host)
        pending = self.pending(table, statement.sent)
        self._complete = bool(statement.bounds_by_host) and (
            self._complete or self._hosts.issuperset(pending)
        )
