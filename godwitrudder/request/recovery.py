"""What the former incarnation of a host may have spent, as its successor knows it.

The store may have come back from an older copy, which lacks the last statements of the
former incarnation.  Then other hosts must bound what it may have spent.
"""

from __future__ import annotations

from collections.abc import Mapping

from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import RememberedRows, Statement, same_boot


def needs_bound(table: StatementTable, host: str, first_start: bool) -> bool:
    """Return whether another host must tell what the former one may have spent.

    While the store has statements of hosts that nobody has bounded, or none at all
    after a restore, one of those hosts may remember this one.

    Parameters
    ----------
    first_start : bool
        Whether the whole fleet starts for the first time.
    """
    if host in table.bounds_by_host:
        return table.bounds_by_host[host] is None
    empty = not (table.statements_by_host or table.bounds_by_host)
    if empty:
        return table.era > 0 and not first_start
    return None in table.bounds_by_host.values()


def former_statement_at_risk(
    table: StatementTable, host: str, now: float, booted: float
) -> Statement | None:
    """Return the statement of the machine's former boot if a limit exceeds its cap.

    Tokens between cap and limit become spendable as the statement ages. After a reboot
    the clock does not tell how many of them had become spendable. None if the machine
    has not rebooted or no limit exceeds its cap.
    """
    former = table.statements_by_host.get(host)
    if former is None or same_boot(former, now, booted):
        return None
    rows = former.rows_by_workspace.values()
    return former if any(row.limit > row.cap for row in rows) else None


def former_bounds(
    bounds: dict[str, int] | None,
    remembered: RememberedRows | None,
    prepaid_by_workspace: Mapping[str, int | None],
    ended: float,
    booted: float,
) -> dict[str, int]:
    """Return the most that the former incarnation can have spent, by workspace.

    Without a bound that is the whole prepaid amount.

    Parameters
    ----------
    bounds : dict or None
        Bounds that other hosts have passed on, by workspace.
    remembered : RememberedRows or None
        What another host remembers of the former incarnation.
    ended : float
        Time by which it had ended, in seconds.
    """
    if bounds is None:
        return {
            name: prepaid
            for name, prepaid in prepaid_by_workspace.items()
            if prepaid is not None
        }
    if remembered is None or not same_boot(remembered, ended, booted):
        return bounds
    rows = remembered.rows_by_workspace
    return {
        name: min(bound, rows[name].max_later_grant(ended - remembered.sent))
        for name, bound in bounds.items()
        if name in rows
    }
