"""The budget desk: wallets of this incarnation and the draws that fill them.

A reservation is made from grants that were read back from the log, so it holds
whatever happens to the log afterwards.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from uuid import uuid4

from gevent.event import Event

from godwitrudder.clock import Clock
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.metrics import Metrics
from godwitrudder.request.admission import Reserved, Short, Wallet
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.version import records
from godwitrudder.version.fold import Applied, Effect, Voided

RECHECK_SECONDS = 0.25


class Spend:
    """A reservation under way; ``tokens`` is what to bill at its end."""

    def __init__(self, reserved: Reserved) -> None:
        self.reserved = reserved
        self.tokens = 0


class BudgetDesk:
    """Reserves, bills and returns tokens for one incarnation."""

    def __init__(
        self, ledger: Ledger, incarnation: str, clock: Clock, metrics: Metrics
    ) -> None:
        self._ledger = ledger
        self._incarnation = incarnation
        self._clock = clock
        self._metrics = metrics
        self.wallets_by_budget: dict[str, Wallet] = {}
        self._changed_by_budget: dict[str, Event] = {}
        ledger.listen(self._hear)

    @contextmanager
    def spend(
        self, request: str, budget: str, tokens: int, deadline: float
    ) -> Iterator[Spend | Refused]:
        """Reserve ``tokens`` and bill what was used when the block ends.

        Parameters
        ----------
        request, budget : str
            What is billed, and to whom.
        tokens : int
            Upper bound of the request.
        deadline : float
            Clock reading, in seconds, after which to refuse.
        """
        reserved = self._reserve(request, budget, tokens, deadline)
        if isinstance(reserved, Refused):
            yield reserved
            return
        spend = Spend(reserved)
        try:
            yield spend
        finally:
            self._settle(spend)

    def return_idle(self) -> None:
        """Give all tokens back that no reservation needs."""
        for wallet in self.wallets_by_budget.values():
            if wallet.idle > 0:
                self._return(wallet, wallet.idle)

    def _reserve(
        self, request: str, budget: str, tokens: int, deadline: float
    ) -> Reserved | Refused:
        wallet = self.wallets_by_budget.setdefault(budget, Wallet(budget))
        while True:
            result = wallet.reserve(request, tokens, self._clock.now())
            if isinstance(result, Reserved):
                self._draw_ahead(wallet)
                return result
            refused = self._short(wallet, result, tokens, deadline)
            if refused is not None:
                return refused

    def _short(
        self, wallet: Wallet, short: Short, tokens: int, deadline: float
    ) -> Refused | None:
        """Draw and wait for a change; refuse on evidence or at the deadline."""
        left = deadline - self._clock.now()
        if left <= 0:
            return refuse(Reason.BUDGET_UNREACHABLE, 1.0, budget=wallet.budget)
        state = self._ledger.budget(wallet.budget)
        if state is not None and tokens > state.paid - state.billed:
            remaining = state.paid - state.billed
            return refuse(
                Reason.BUDGET_EXHAUSTED,
                budget=wallet.budget,
                needed=tokens,
                left=remaining,
            )
        changed = self._changed(wallet.budget)
        if state is None or state.free > 0:
            self._draw(wallet, wallet.draw_size(short.missing))
        changed.wait(min(left, RECHECK_SECONDS))
        return None

    def _draw_ahead(self, wallet: Wallet) -> None:
        if wallet.below_low_water():
            self._draw(wallet, wallet.draw_size(0))

    def _draw(self, wallet: Wallet, tokens: int) -> None:
        if wallet.drawing or tokens <= 0:
            return
        wallet.drawing = tokens
        grant = records.Grant(uuid4().hex, wallet.budget, self._incarnation, tokens)
        self._ledger.submit(wallet.budget, grant)

    def _settle(self, spend: Spend) -> None:
        reserved = spend.reserved
        wallet = self.wallets_by_budget[reserved.budget]
        billed = wallet.settle(reserved.request, spend.tokens)
        if billed < spend.tokens:
            self._metrics.overspend.inc(spend.tokens - billed)
        bill = records.Bill(
            reserved.request, reserved.budget, self._incarnation, billed
        )
        self._ledger.submit(reserved.budget, bill)
        self._metrics.tokens_billed.inc(billed)
        self._changed(reserved.budget).set()

    def _return(self, wallet: Wallet, tokens: int) -> None:
        wallet.held -= tokens
        entry = records.Return(uuid4().hex, wallet.budget, self._incarnation, tokens)
        self._ledger.submit(wallet.budget, entry)

    def _hear(self, effect: Effect) -> None:
        """Take note of what the fold made of a record."""
        if isinstance(effect, Voided):
            self._hear_void(effect)
            return
        budget = getattr(effect.entry, "budget", None)
        if budget is None:
            return
        if isinstance(effect.entry, records.Grant):
            self._credit(effect)
        self._changed(budget).set()

    def _hear_void(self, effect: Voided) -> None:
        entry = effect.entry
        if not isinstance(entry, records.Grant | records.Bill | records.Return):
            return
        if entry.incarnation != self._incarnation:
            return
        self._metrics.void_records.labels(effect.reason).inc()
        if isinstance(entry, records.Grant):
            self.wallets_by_budget[entry.budget].drawing = 0
            self._changed(entry.budget).set()

    def _credit(self, effect: Applied) -> None:
        grant = effect.entry
        assert isinstance(grant, records.Grant)
        if grant.incarnation != self._incarnation:
            return
        wallet = self.wallets_by_budget[grant.budget]
        wallet.drawing = 0
        wallet.credit(effect.tokens)

    def _changed(self, budget: str) -> Event:
        """Return the event of the next change and retire a set one."""
        event = self._changed_by_budget.get(budget)
        if event is None or event.is_set():
            event = self._changed_by_budget[budget] = Event()
        return event
