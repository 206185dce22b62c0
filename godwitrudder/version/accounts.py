"""State and effects of the ledger fold, in tokens.

A holding keeps three amounts apart: what the holder spends under its witnesses,
the isolated share, and after a closing what each listed intent may still bill.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from godwitrudder.codec import Malformed
from godwitrudder.version import records
from godwitrudder.version.records import Entry


class Void(enum.StrEnum):
    """Why a record counts for nothing."""

    REPEATED = "repeated"
    NO_BUDGET = "no_budget"
    NOTHING_FREE = "nothing_free"
    NOT_HELD = "not_held"
    CLOSED = "closed"
    STALE = "stale"
    NOT_A_WITNESS = "not_a_witness"
    MALFORMED = "malformed"
    LATER_CLAIM = "later_claim"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class Applied:
    """What a record did.

    Attributes
    ----------
    entry : Entry
        The record.
    tokens : int
        Tokens granted, billed, returned, moved or paid by it.
    excess : int
        Tokens of a bill beyond its intent, which nobody is charged for.
    """

    entry: Entry
    tokens: int
    excess: int = 0

    @property
    def violation(self) -> bool:
        """Whether tokens were served that nobody is charged for."""
        return self.excess > 0


@dataclass(frozen=True, slots=True)
class Voided:
    """A record that counts for nothing, and why."""

    entry: Entry | Malformed
    reason: Void

    @property
    def violation(self) -> bool:
        """Whether tokens were served or moved that the writer did not hold."""
        if isinstance(self.entry, records.Bill | records.Handover):
            return self.reason in (Void.NOT_HELD, Void.NO_BUDGET)
        return False


Effect = Applied | Voided


@dataclass(slots=True)
class Holding:
    """Tokens of one budget in the hands of one incarnation.

    Attributes
    ----------
    witnessed : int
        Granted for dispatches that witnesses acknowledge; 0 after a closing.
    isolated : int
        Granted for dispatches without witnesses; no closing returns it.
    intents_by_request : dict
        After a closing: reserved tokens of dispatches not yet billed.
    """

    witnessed: int = 0
    isolated: int = 0
    intents_by_request: dict[str, int] = field(default_factory=dict)

    @property
    def remaining(self) -> int:
        """Tokens granted and neither billed nor returned."""
        return self.witnessed + self.isolated + sum(self.intents_by_request.values())


@dataclass(slots=True)
class Holder:
    """One incarnation, as one partition knows it.

    Attributes
    ----------
    budgets : set of str
        Budgets of which it holds tokens.
    """

    epoch: int = -1
    witnesses: tuple[str, ...] = ()
    closed: bool = False
    budgets: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Budget:
    """One prepaid budget.

    Attributes
    ----------
    base : int
        Paid by the configuration document, as far as it is in force.
    wanted : int
        What the document says; below ``base`` while grants hold the rest.
    """

    base: int = 0
    document_base: int = 0
    config_offset: int = -1
    topped_up: int = 0
    billed: int = 0
    open: int = 0
    holdings_by_incarnation: dict[str, Holding] = field(default_factory=dict)

    @property
    def paid(self) -> int:
        """Tokens paid in."""
        return self.base + self.topped_up

    @property
    def free(self) -> int:
        """Tokens neither billed nor granted."""
        return self.paid - self.billed - self.open

    def release(self, tokens: int) -> None:
        """Take tokens back from a holder; a lowered base goes first."""
        self.open -= tokens
        self.lower()

    def lower(self) -> None:
        """Bring the base as near to the document as holders allow."""
        committed = self.billed + self.open - self.topped_up
        self.base = max(self.document_base, committed)


@dataclass(slots=True)
class ClaimState:
    """Who may run a non-idempotent call, and its stored outcome.

    Attributes
    ----------
    incarnation, fingerprint : str
        Empty once only the fact of the claim is remembered.
    ops : tuple of str
        Claims that were first, the last one standing.
    released : bool
        Whether its holder said that the call did not run; a new claim may win.
    """

    incarnation: str
    fingerprint: str
    result: records.Result | None = None
    ops: tuple[str, ...] = ()
    released: bool = False
