"""State and effects of the ledger fold; amounts are in tokens.

A holding consists of three separate amounts: tokens for dispatches that witnesses
acknowledge, the isolated share for dispatches without witnesses, and, after a
closing, the tokens that each listed intent may still bill.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from godwitrudder.codec import Malformed
from godwitrudder.version import records
from godwitrudder.version.records import Entry


class Void(enum.StrEnum):
    """Why a record has no effect.

    Attributes
    ----------
    REPEATED : str
        The operation, document, result or bill was already applied.
    NO_BUDGET : str
        The budget does not exist.
    NOTHING_FREE : str
        The budget has no tokens to grant.
    NOT_HELD : str
        The writer does not hold the tokens, or the claim that the result is for.
    CLOSED : str
        The incarnation is closed.
    STALE : str
        The batch, document or witness set is too old.
    NOT_A_WITNESS : str
        The closing is by an incarnation that is not in the witness set.
    MALFORMED : str
        The bytes or an amount are invalid.
    LATER_CLAIM : str
        The request is already claimed.
    TOO_LARGE : str
        The body of the result is too large to store.
    """

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
    """The effect of a record that was applied.

    Attributes
    ----------
    entry : Entry
        The record.
    tokens : int
        Tokens that it granted, billed, returned, moved or paid in.
    excess : int
        Tokens of a bill beyond its intent, which no budget is charged for.
    """

    entry: Entry
    tokens: int
    excess: int = 0

    @property
    def violation(self) -> bool:
        """Whether tokens were served that no budget is charged for."""
        return self.excess > 0


@dataclass(frozen=True, slots=True)
class Voided:
    """A record that has no effect, and the reason."""

    entry: Entry | Malformed
    reason: Void

    @property
    def violation(self) -> bool:
        """Whether the writer served or moved tokens that it did not hold."""
        if isinstance(self.entry, records.Bill | records.Handover):
            return self.reason in (Void.NOT_HELD, Void.NO_BUDGET)
        return False


Effect = Applied | Voided


@dataclass(slots=True)
class Holding:
    """Tokens of one budget that one incarnation holds.

    Attributes
    ----------
    witnessed : int
        Tokens for dispatches that witnesses acknowledge; 0 after a closing.
    isolated : int
        Tokens for dispatches without witnesses; a closing does not return them.
    intents_by_request : dict
        After a closing: the reserved tokens of each dispatch not yet billed.
    """

    witnessed: int = 0
    isolated: int = 0
    intents_by_request: dict[str, int] = field(default_factory=dict)

    @property
    def remaining(self) -> int:
        """Tokens granted and not yet billed or returned."""
        return self.witnessed + self.isolated + sum(self.intents_by_request.values())


@dataclass(slots=True)
class Holder:
    """State of one incarnation in one partition.

    Attributes
    ----------
    epoch : int
        Version of the witness set; -1 before the first one.
    budgets : set of str
        Identifiers of the budgets of which it holds tokens.
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
        Tokens paid in by the configuration document, as far as in force.
    document_base : int
        Tokens that the document states; less than ``base`` while a lowered amount
        is still billed or granted.
    config_offset : int
        Offset of the document that ``document_base`` is from; -1 before the first one.
    topped_up, billed : int
        Tokens paid in by operators, and tokens charged.
    open : int
        Tokens granted and not yet billed or returned.
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
        """Tokens paid in, by the document and by top-ups."""
        return self.base + self.topped_up

    @property
    def free(self) -> int:
        """Tokens neither billed nor granted."""
        return self.paid - self.billed - self.open

    def release(self, tokens: int) -> None:
        """Free granted tokens; a base above the document's amount is lowered first."""
        self.open -= tokens
        self.adjust_base()

    def adjust_base(self) -> None:
        """Bring the base as close to the document's amount as possible.

        It never falls below what the billed and granted tokens require.
        """
        committed = self.billed + self.open - self.topped_up
        self.base = max(self.document_base, committed)


@dataclass(slots=True)
class ClaimState:
    """State of a claim: who may run a non-idempotent call, and its stored result.

    Attributes
    ----------
    incarnation, fingerprint : str
        Empty once only the existence of the claim is kept.
    ops : tuple of str
        Operation ids of the claims that held the right; the last one is current.
    released : bool
        Whether the claimant reported that the call did not run, so that a new
        claim may take over.
    """

    incarnation: str
    fingerprint: str
    result: records.Result | None = None
    ops: tuple[str, ...] = ()
    released: bool = False
