"""Fleet ceilings: what all hosts together may be granted of a prepaid amount.

A ceiling bounds what an older copy of the store can hide, if every process that
remembered more is gone.  It therefore rises in steps that are in the store for some
time before anyone uses them.  Until the first step the floor holds, which follows from
the prepaid amount.  ``docs/design/restored-store.md`` has the proof.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.version.statements import (
    UNBOUNDED_TOKENS,
    CeilingRecord,
    Statement,
)

CEILING_SECONDS: Final = 20.0
"""Time that a raise is known before it is in force, and the greatest age of a copy from
which a fleet without memory recovers."""
FLOOR_TOKENS: Final = 20_000_000
"""Tokens that need no raise: more than the largest fleet, at 450,000 tokens a second,
spends before its first raise is in force."""
CONFIDENT_SECONDS: Final = 5.0
"""Time for which a host has seen demand before it raises a ceiling."""
RAISE_BELOW_SECONDS: Final = 15.0 * CEILING_SECONDS
RAISE_TO_SECONDS: Final = 20.0 * CEILING_SECONDS
"""Time for which a ceiling lasts at the fleet's demand: below the first it is raised,
to the second.  Demand that rises to fifteen times its mean meets a ceiling that was
raised in time."""


def floor(prepaid: int, lost: int = 0) -> int:
    """Return the tokens of a prepaid amount that need no raise.

    Parameters
    ----------
    lost : int
        Tokens of it that are lost; others need no raise instead of them.
    """
    return min(prepaid, lost + FLOOR_TOKENS)


@dataclass(frozen=True, slots=True)
class Raise:
    """A higher ceiling, and when it was read, in seconds."""

    tokens: int
    read_at: float


@dataclass(slots=True)
class Ceilings:
    """Ceilings of all workspaces as one host knows them.

    Attributes
    ----------
    own_raises : dict
        Ceilings by workspace that this host has raised and that are not in force yet.
    """

    own_raises: dict[str, int] = field(default_factory=dict)
    _in_force: dict[str, int] = field(default_factory=dict)
    _raises: dict[str, list[Raise]] = field(default_factory=dict)
    _read_began_at: float = -math.inf
    _since_era: int = 0

    def raised_ceiling(self, workspace: str) -> int | None:
        """Return the ceiling in force, None while the floor holds."""
        return self._in_force.get(workspace)

    def in_force(self, workspace: str, prepaid: int, lost: int = 0) -> int:
        """Return the tokens that all hosts together may be granted now."""
        if prepaid >= UNBOUNDED_TOKENS:
            return prepaid
        raised = self.raised_ceiling(workspace)
        return min(prepaid, floor(prepaid, lost) if raised is None else raised)

    def read(self, statement: Statement, now: float) -> None:
        """Note the ceilings of a statement that was read."""
        lost = statement.lost
        if self._since_era and (lost is None or lost.era < self._since_era):
            return
        known = self._in_force
        for workspace, row in statement.rows_by_workspace.items():
            if row.raised and row.ceiling > known.get(workspace, 0):
                known[workspace] = row.ceiling
        record = statement.ceilings or CeilingRecord()
        for workspace, tokens in record.raises_by_workspace.items():
            raises = self._raises.setdefault(workspace, [])
            highest = raises[-1].tokens if raises else 0
            if tokens > max(highest, known.get(workspace, 0)):
                raises.append(Raise(tokens, now))

    def begin_read(self, now: float) -> None:
        """Note that a read begins."""
        self._read_began_at = now

    def end_read(self) -> None:
        """Put raises in force that were known long enough when the last read began."""
        known_since = self._read_began_at - CEILING_SECONDS
        for workspace, raises in list(self._raises.items()):
            while raises and raises[0].read_at <= known_since:
                tokens = raises.pop(0).tokens
                self._in_force[workspace] = max(
                    tokens, self._in_force.get(workspace, 0)
                )
                if tokens >= self.own_raises.get(workspace, math.inf):
                    del self.own_raises[workspace]
            if not raises:
                del self._raises[workspace]

    def begin_era(self) -> None:
        """Forget the raises that are not in force, as the store may have lost them."""
        self._raises.clear()
        self.own_raises.clear()

    def begin_loss(self, era: int) -> None:
        """Let the floor hold anew, as tokens were found to be lost in this era."""
        if era > self._since_era:
            self._since_era = era
            self._in_force.clear()
            self.begin_era()

    def plan(self, workspace: str, used: int, per_second: float) -> None:
        """Raise the ceiling before the spending reaches it.

        Parameters
        ----------
        used : int
            Tokens that all hosts may spend at once.
        per_second : float
            Demand of all hosts, in tokens a second.
        """
        raises = self._raises.get(workspace)
        highest = max(
            self._in_force.get(workspace, 0),
            self.own_raises.get(workspace, 0),
            raises[-1].tokens if raises else 0,
        )
        if highest < used + per_second * RAISE_BELOW_SECONDS:
            self.own_raises[workspace] = math.ceil(used + per_second * RAISE_TO_SECONDS)
