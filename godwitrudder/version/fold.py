"""The ledger: a deterministic fold over one partition of the log.

Every daemon that reads the same records reaches the same state, so the log is
the only authority.  A record that breaks a rule is void for everyone and names
its reason.  At every offset ``billed + open <= paid`` holds for every budget.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.codec import Malformed
from godwitrudder.version import records
from godwitrudder.version.records import Entry

REPLAY_WINDOW_SECONDS: Final = 3600.0


class Void(enum.StrEnum):
    """Why a record counts for nothing."""

    REPEATED = "repeated"
    NO_BUDGET = "no_budget"
    NOTHING_FREE = "nothing_free"
    NOT_HELD = "not_held"
    CLOSED = "closed"
    STALE = "stale"
    BELOW_COMMITTED = "below_committed"
    NOT_A_WITNESS = "not_a_witness"
    MALFORMED = "malformed"
    LATER_CLAIM = "later_claim"


@dataclass(frozen=True, slots=True)
class Applied:
    """What a record did.

    Attributes
    ----------
    entry : Entry
        The record.
    tokens : int
        Tokens granted, billed, returned or paid by it.
    """

    entry: Entry
    tokens: int


@dataclass(frozen=True, slots=True)
class Voided:
    """A record that counts for nothing, and why."""

    entry: Entry | Malformed
    reason: Void


Effect = Applied | Voided


@dataclass(slots=True)
class Holding:
    """Tokens of one budget in the hands of one incarnation.

    Attributes
    ----------
    remaining : int
        Granted and neither billed nor returned.
    isolated : int
        Part of the grants that no closing returns.
    intents_by_request : dict
        After a closing: reserved tokens of dispatches not yet billed.
    """

    remaining: int = 0
    isolated: int = 0
    closed: bool = False
    witnesses: tuple[str, ...] = ()
    intents_by_request: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Budget:
    """One prepaid budget, in tokens."""

    base: int = 0
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


@dataclass(slots=True)
class ClaimState:
    """Who may run a non-idempotent call, and its stored outcome."""

    incarnation: str
    fingerprint: str
    result: records.Result | None = None


class LedgerFold:
    """State of one partition after the records up to ``next_offset``."""

    def __init__(self) -> None:
        self.next_offset = 0
        self.budgets_by_id: dict[str, Budget] = {}
        self.claims_by_request: dict[str, ClaimState] = {}
        self._seen_at_by_op: dict[str, float] = {}

    def apply(self, offset: int, time: float, data: bytes) -> list[Effect]:
        """Apply one log record.

        Parameters
        ----------
        offset : int
            Offset of the record; one that was applied before is skipped.
        time : float
            The log's own time of the append, in seconds since the epoch.
        data : bytes
            An encoded batch.

        Returns
        -------
        list of Effect
            One per entry, in order.
        """
        if offset < self.next_offset:
            return []
        self.next_offset = offset + 1
        self._forget(time - REPLAY_WINDOW_SECONDS)
        return list(self._effects(time, data))

    def _effects(self, time: float, data: bytes) -> Iterator[Effect]:
        for entry in records.decode_batch(data):
            if isinstance(entry, Malformed):
                yield Voided(entry, Void.MALFORMED)
                continue
            yield self._apply_entry(time, entry)

    def _apply_entry(self, time: float, entry: Entry) -> Effect:
        key = operation_key(entry)
        if key in self._seen_at_by_op:
            return Voided(entry, Void.REPEATED)
        effect = self._dispatch(entry)
        if isinstance(effect, Applied):
            self._seen_at_by_op[key] = time
        return effect

    def _forget(self, before: float) -> None:
        """Drop operation ids older than the replay window; oldest come first."""
        for key, seen in list(self._seen_at_by_op.items()):
            if seen >= before:
                return
            del self._seen_at_by_op[key]
            self.claims_by_request.pop(key.removeprefix("claim:"), None)

    def _dispatch(self, entry: Entry) -> Effect:
        match entry:
            case records.Base():
                return self._base(entry)
            case records.TopUp():
                return self._top_up(entry)
            case records.Grant():
                return self._grant(entry)
            case records.Bill():
                return self._bill(entry)
            case records.Return():
                return self._return(entry)
            case records.Closing():
                return self._closing(entry)
            case records.Claim():
                return self._claim(entry)
            case records.Result():
                return self._result(entry)

    def _base(self, entry: records.Base) -> Effect:
        budget = self.budgets_by_id.setdefault(entry.budget, Budget())
        if entry.config_offset <= budget.config_offset:
            return Voided(entry, Void.STALE)
        if entry.tokens + budget.topped_up < budget.billed + budget.open:
            return Voided(entry, Void.BELOW_COMMITTED)
        budget.config_offset = entry.config_offset
        budget.base = entry.tokens
        return Applied(entry, entry.tokens)

    def _top_up(self, entry: records.TopUp) -> Effect:
        if entry.tokens <= 0:
            return Voided(entry, Void.MALFORMED)
        budget = self.budgets_by_id.setdefault(entry.budget, Budget())
        budget.topped_up += entry.tokens
        return Applied(entry, entry.tokens)

    def _grant(self, entry: records.Grant) -> Effect:
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        tokens = min(entry.tokens, budget.free)
        if tokens <= 0:
            return Voided(entry, Void.NOTHING_FREE)
        holding = budget.holdings_by_incarnation.setdefault(
            entry.incarnation, Holding(witnesses=entry.witnesses)
        )
        if holding.closed:
            return Voided(entry, Void.CLOSED)
        holding.witnesses = entry.witnesses
        holding.remaining += tokens
        holding.isolated += min(entry.isolated, tokens)
        budget.open += tokens
        return Applied(entry, tokens)

    def _bill(self, entry: records.Bill) -> Effect:
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        holding = budget.holdings_by_incarnation.get(entry.incarnation)
        if holding is None or not 0 <= entry.tokens <= holding.remaining:
            return Voided(entry, Void.NOT_HELD)
        reserved = holding.intents_by_request.pop(entry.request, entry.tokens)
        charged = min(entry.tokens, reserved)
        budget.billed += charged
        budget.open -= reserved
        holding.remaining -= reserved
        self._tidy(budget, entry.incarnation, holding)
        return Applied(entry, charged)

    def _return(self, entry: records.Return) -> Effect:
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        holding = budget.holdings_by_incarnation.get(entry.incarnation)
        if holding is None or not 0 < entry.tokens <= holding.remaining:
            return Voided(entry, Void.NOT_HELD)
        if holding.closed:
            return Voided(entry, Void.CLOSED)
        holding.remaining -= entry.tokens
        holding.isolated = min(holding.isolated, holding.remaining)
        budget.open -= entry.tokens
        self._tidy(budget, entry.incarnation, holding)
        return Applied(entry, entry.tokens)

    def _closing(self, entry: records.Closing) -> Effect:
        returned = 0
        for budget in self.budgets_by_id.values():
            holding = budget.holdings_by_incarnation.get(entry.incarnation)
            if holding is None or holding.closed:
                continue
            if entry.witness not in holding.witnesses:
                continue
            returned += self._close_holding(budget, holding, entry)
        return Applied(entry, returned)

    def _close_holding(
        self, budget: Budget, holding: Holding, entry: records.Closing
    ) -> int:
        """Return what no open intent and no isolated share can still spend."""
        holding.closed = True
        for intent in entry.intents:
            if self.budgets_by_id.get(intent.budget) is not budget:
                continue
            if f"bill:{intent.request}" in self._seen_at_by_op:
                continue
            holding.intents_by_request[intent.request] = intent.tokens
        kept = sum(holding.intents_by_request.values()) + holding.isolated
        returned = max(0, holding.remaining - kept)
        holding.remaining -= returned
        budget.open -= returned
        return returned

    def _claim(self, entry: records.Claim) -> Effect:
        if entry.request in self.claims_by_request:
            return Voided(entry, Void.LATER_CLAIM)
        self.claims_by_request[entry.request] = ClaimState(
            entry.incarnation, entry.fingerprint
        )
        return Applied(entry, 0)

    def _result(self, entry: records.Result) -> Effect:
        claim = self.claims_by_request.get(entry.request)
        if claim is None:
            return Voided(entry, Void.NOT_HELD)
        claim.result = entry
        return Applied(entry, 0)

    @staticmethod
    def _tidy(budget: Budget, incarnation: str, holding: Holding) -> None:
        """Forget a holding that is spent and may not be refilled by a bill."""
        if holding.remaining == 0 and not holding.intents_by_request:
            if not holding.closed:
                del budget.holdings_by_incarnation[incarnation]


def operation_key(entry: Entry) -> str:
    """Return the id under which a repeated record is void."""
    match entry:
        case records.Base():
            return f"base:{entry.budget}:{entry.config_offset}"
        case records.Bill():
            return f"bill:{entry.request}"
        case records.Claim():
            return f"claim:{entry.request}"
        case records.Result():
            return f"result:{entry.request}"
        case _:
            return f"op:{entry.op}"
