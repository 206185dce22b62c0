"""Budgets of one partition: each token is free, held by one holder, or billed.

At every offset ``billed + open <= paid`` holds for every budget.
"""

from __future__ import annotations

from typing import Final

from godwitrudder.version import records
from godwitrudder.version.accounts import (
    Applied,
    Budget,
    Effect,
    Holder,
    Holding,
    Void,
    Voided,
)
from godwitrudder.version.replay import ReplayIndex, key_of

MAX_HOLDERS: Final = 10_000


class Escrow:
    """Budgets and holders of one partition.

    Parameters
    ----------
    applied : ReplayIndex
        Hashes of the operations applied within the replay window.
    """

    def __init__(self, applied: ReplayIndex) -> None:
        self._applied = applied
        self.budgets_by_id: dict[str, Budget] = {}
        self.holders_by_incarnation: dict[str, Holder] = {}

    def base(self, entry: records.Base) -> Effect:
        """Set the amount that the document pays in; the newest document counts."""
        if entry.tokens < 0:
            return Voided(entry, Void.MALFORMED)
        budget = self.budgets_by_id.setdefault(entry.budget, Budget())
        if entry.config_offset == budget.config_offset:
            return Voided(entry, Void.REPEATED)
        if entry.config_offset < budget.config_offset:
            return Voided(entry, Void.STALE)
        budget.config_offset = entry.config_offset
        budget.document_base = entry.tokens
        budget.adjust_base()
        return Applied(entry, budget.base)

    def top_up(self, entry: records.TopUp) -> Effect:
        """Add tokens paid in by an operator."""
        if entry.tokens <= 0:
            return Voided(entry, Void.MALFORMED)
        budget = self.budgets_by_id.setdefault(entry.budget, Budget())
        budget.topped_up += entry.tokens
        budget.adjust_base()
        return Applied(entry, entry.tokens)

    def grant(self, entry: records.Grant) -> Effect:
        """Grant tokens to a holder."""
        if entry.tokens < 0 or entry.needed < 0 or entry.isolated < 0:
            return Voided(entry, Void.MALFORMED)
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        holder = self._holder_or_new(entry.incarnation)
        if holder.closed:
            return Voided(entry, Void.CLOSED)
        tokens = granted_tokens(budget, entry)
        if tokens <= 0:
            return Voided(entry, Void.NOTHING_FREE)
        _update_witnesses(holder, entry.epoch, entry.witnesses)
        isolated = min(entry.isolated, max(0, tokens - entry.needed))
        holding = self._holding_or_new(budget, entry.budget, entry.incarnation)
        holding.witnessed += tokens - isolated
        holding.isolated += isolated
        budget.open += tokens
        return Applied(entry, tokens)

    def bill(self, entry: records.Bill) -> Effect:
        """Charge a request to the part of the holding that it was served from.

        An isolated bill is charged to the isolated share, a bill of a listed intent
        to the intent, any other to the witnessed tokens.
        """
        if entry.tokens < 0:
            return Voided(entry, Void.MALFORMED)
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        holding = budget.holdings_by_incarnation.get(entry.incarnation, Holding())
        effect = self._charge(entry, budget, holding)
        self._drop_if_empty(budget, entry.budget, entry.incarnation)
        return effect

    def _charge(self, entry: records.Bill, budget: Budget, holding: Holding) -> Effect:
        if entry.isolated and entry.tokens > holding.isolated:
            return Voided(entry, Void.NOT_HELD)
        reserved = holding.intents_by_request.pop(entry.request, None)
        if entry.isolated:
            holding.isolated -= entry.tokens
            _charge_reservation(budget, entry.tokens, entry.tokens + (reserved or 0))
            return Applied(entry, entry.tokens)
        if reserved is not None:
            charged = min(entry.tokens, reserved)
            _charge_reservation(budget, charged, reserved)
            return Applied(entry, charged, entry.tokens - charged)
        if entry.tokens > holding.witnessed:
            return Voided(entry, Void.NOT_HELD)
        holding.witnessed -= entry.tokens
        _charge_reservation(budget, entry.tokens, entry.tokens)
        return Applied(entry, entry.tokens)

    def return_tokens(self, entry: records.Return) -> Effect:
        """Return tokens at their holder's own request."""
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        witnessed = entry.tokens - entry.isolated
        if entry.tokens <= 0 or witnessed < 0 or entry.isolated < 0:
            return Voided(entry, Void.MALFORMED)
        if witnessed and self._is_closed(entry.incarnation):
            return Voided(entry, Void.CLOSED)
        holding = budget.holdings_by_incarnation.get(entry.incarnation, Holding())
        if witnessed > holding.witnessed or entry.isolated > holding.isolated:
            return Voided(entry, Void.NOT_HELD)
        holding.witnessed -= witnessed
        holding.isolated -= entry.isolated
        budget.release(entry.tokens)
        self._drop_if_empty(budget, entry.budget, entry.incarnation)
        return Applied(entry, entry.tokens)

    def witnesses(self, entry: records.Witnesses) -> Effect:
        """Change a holder's witness set."""
        holder = self._holder_or_new(entry.incarnation)
        if holder.closed:
            return Voided(entry, Void.CLOSED)
        if entry.epoch <= holder.epoch:
            return Voided(entry, Void.STALE)
        _update_witnesses(holder, entry.epoch, entry.witnesses)
        return Applied(entry, 0)

    def handover(self, entry: records.Handover) -> Effect:
        """Move tokens from one holder to another."""
        budget = self.budgets_by_id.get(entry.budget)
        if budget is None:
            return Voided(entry, Void.NO_BUDGET)
        if entry.tokens <= 0 or entry.donor == entry.receiver:
            return Voided(entry, Void.MALFORMED)
        donor = budget.holdings_by_incarnation.get(entry.donor, Holding())
        reserved = donor.intents_by_request.get(entry.op)
        if reserved is None and self._is_closed(entry.receiver):
            return Voided(entry, Void.CLOSED)
        available = donor.witnessed if reserved is None else reserved
        if entry.tokens > available:
            return Voided(entry, Void.NOT_HELD)
        if reserved is None:
            donor.witnessed -= entry.tokens
        else:
            del donor.intents_by_request[entry.op]
            budget.release(reserved - entry.tokens)
        self._credit_receiver(budget, entry)
        self._drop_if_empty(budget, entry.budget, entry.donor)
        return Applied(entry, entry.tokens)

    def _credit_receiver(self, budget: Budget, entry: records.Handover) -> None:
        if self._is_closed(entry.receiver):
            budget.release(entry.tokens)
            return
        self._holder_or_new(entry.receiver)
        holding = self._holding_or_new(budget, entry.budget, entry.receiver)
        holding.witnessed += entry.tokens

    def closing(self, entry: records.Closing) -> Effect:
        """Close a holder; return witnessed tokens that no listed intent reserves."""
        holder = self._holder_or_new(entry.incarnation)
        if holder.closed:
            return Voided(entry, Void.CLOSED)
        if holder.epoch >= 0 and entry.witness not in holder.witnesses:
            return Voided(entry, Void.NOT_A_WITNESS)
        holder.closed = True
        returned = 0
        for name in sorted(holder.budgets):
            returned += self._close_holding(name, entry)
        return Applied(entry, returned)

    def _close_holding(self, name: str, entry: records.Closing) -> int:
        budget = self.budgets_by_id[name]
        holding = budget.holdings_by_incarnation[entry.incarnation]
        for intent in entry.intents:
            if intent.budget == name and not self._is_settled(intent):
                reserved = max(0, min(intent.tokens, holding.witnessed))
                holding.witnessed -= reserved
                previous = holding.intents_by_request.get(intent.request, 0)
                holding.intents_by_request[intent.request] = previous + reserved
        returned = holding.witnessed
        holding.witnessed = 0
        budget.release(returned)
        self._drop_if_empty(budget, name, entry.incarnation)
        return returned

    def _is_settled(self, intent: records.Intent) -> bool:
        bill = key_of("bill", intent.request)
        handover = key_of("handover", intent.request)
        return bill in self._applied or handover in self._applied

    def _is_closed(self, incarnation: str) -> bool:
        holder = self.holders_by_incarnation.get(incarnation)
        return holder is not None and holder.closed

    def _holder_or_new(self, incarnation: str) -> Holder:
        """Return the holder, adding it if new.

        Beyond ``MAX_HOLDERS`` the oldest holder without tokens is evicted.
        """
        holder = self.holders_by_incarnation.get(incarnation)
        if holder is None:
            holder = self.holders_by_incarnation[incarnation] = Holder()
            if len(self.holders_by_incarnation) > MAX_HOLDERS:
                self._evict(incarnation)
        return holder

    def _evict(self, kept: str) -> None:
        for incarnation, holder in self.holders_by_incarnation.items():
            if not holder.budgets and incarnation != kept:
                del self.holders_by_incarnation[incarnation]
                return

    def _holding_or_new(self, budget: Budget, name: str, incarnation: str) -> Holding:
        self.holders_by_incarnation[incarnation].budgets.add(name)
        return budget.holdings_by_incarnation.setdefault(incarnation, Holding())

    def _drop_if_empty(self, budget: Budget, name: str, incarnation: str) -> None:
        """Remove a holding that has no tokens left."""
        holding = budget.holdings_by_incarnation.get(incarnation)
        if holding is not None and holding.remaining == 0:
            del budget.holdings_by_incarnation[incarnation]
            self.holders_by_incarnation[incarnation].budgets.discard(name)


def granted_tokens(budget: Budget, entry: records.Grant) -> int:
    """Return the tokens to grant: those needed, or more as far as both shares allow."""
    needed = min(entry.needed, budget.free)
    unbilled = budget.paid - budget.billed
    by_share = budget.free * entry.share_permille // records.WHOLE_PERMILLE
    by_open = unbilled * entry.open_permille // records.WHOLE_PERMILLE - budget.open
    return max(needed, min(entry.tokens, by_share, by_open, budget.free))


def _update_witnesses(holder: Holder, epoch: int, witnesses: tuple[str, ...]) -> None:
    """Store a newer witness set; one of the same epoch replaces only an empty set."""
    if epoch > holder.epoch or (epoch == holder.epoch and not holder.witnesses):
        holder.epoch = epoch
        holder.witnesses = witnesses


def _charge_reservation(budget: Budget, charged: int, reserved: int) -> None:
    """Charge part of a reservation; the rest becomes free."""
    budget.billed += charged
    budget.release(reserved)
