"""What an older copy of the store tells a fleet that nobody remembers.

All hosts died beside the restore, so no memory bounds what they had spent since the
copy.  If the copy is young enough, the ceilings in it do.  The proof is in
``docs/design/restored-store.md``.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from godwitrudder.request.ceiling import CEILING_SECONDS, floor
from godwitrudder.version.statement_table import StatementTable
from godwitrudder.version.statements import (
    UNBOUNDED_TOKENS,
    CeilingRecord,
    Statement,
    same_boot,
)


def is_young(
    table: StatementTable, host: str, era_end: int, answered_at: float, booted: float
) -> bool:
    """Whether the copy has all raises of ceilings that were ever in force.

    Parameters
    ----------
    host : str
        This host, which has stated something in the former era.
    era_end : int
        See ``CeilingRecord.era_end``.
    answered_at : float
        Time at which the store first answered this process in this era, in seconds.
    booted : float
        See ``Statement.booted``.
    """
    former = table.statements_by_host.get(host)
    if former is None or former.era != table.era - 1:
        return False
    if former.ceilings is None or former.ceilings.read_sent is None:
        return False
    ends = [era_end]
    for statement in table.statements_by_host.values():
        if statement.ceilings is None or statement.era < table.era - 1:
            return False
        if statement.era == table.era:
            # Its host has died since, but has lengthened the log.
            ends.append(statement.ceilings.era_end)
    return (
        same_boot(former, answered_at, booted)
        and former.read_to <= min(ends)
        and answered_at - former.ceilings.read_sent <= CEILING_SECONDS
    )


def lost_tokens(
    table: StatementTable, prepaid_by_workspace: Mapping[str, int | None]
) -> dict[str, int]:
    """Return by how much the ceilings in the copy exceed the limits in it.

    Parameters
    ----------
    prepaid_by_workspace : mapping
        Prepaid amounts; None for no limit.
    """
    statements = table.statements_by_host.values()
    stated = {name for each in statements for name in each.rows_by_workspace}
    lost: dict[str, int] = {}
    for workspace in prepaid_by_workspace.keys() | stated:
        prepaid = prepaid_by_workspace.get(workspace, 0)
        if prepaid is not None:
            ceiling = _highest_ceiling(table, statements, workspace, prepaid)
            limits = sum(
                each.rows_by_workspace[workspace].limit
                for each in statements
                if workspace in each.rows_by_workspace
            )
            lost[workspace] = min(UNBOUNDED_TOKENS, max(0, ceiling - limits))
    return lost


def _highest_ceiling(
    table: StatementTable,
    statements: Iterable[Statement],
    workspace: str,
    prepaid: int,
) -> int:
    """Return the highest ceiling that a host can have used since the copy."""
    raises, others = [0], [floor(prepaid, table.lost_tokens(workspace))]
    raised: list[int] = []
    for statement in statements:
        record = statement.ceilings or CeilingRecord()
        raises.append(record.raises_by_workspace.get(workspace, 0))
        row = statement.rows_by_workspace.get(workspace)
        if row is not None:
            counts = row.raised and _knows_loss(table, statement)
            (raised if counts else others).append(row.ceiling)
    # Whoever reads a raised ceiling no longer uses the floor.
    return max(raises + (raised or others))


def _knows_loss(table: StatementTable, statement: Statement) -> bool:
    """Whether a host had counted all that is known to be lost."""
    if table.lost is None:
        return True
    return statement.lost is not None and statement.lost.era >= table.lost.era
