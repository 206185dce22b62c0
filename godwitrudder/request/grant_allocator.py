"""Allotment: which tokens this process draws, returns, calls back and refuses.

One ``Allotment`` per process decides for all its budgets.  It takes typed events
with a clock reading and returns typed actions; it does no I/O, so a daemon, a
test and a bench run the same code.

A request waits until its upper bound is reserved, or until the bills in the log
show that the budget cannot cover it.  Meanwhile the process draws what is free
and calls idle tokens back from the other holders.  What a holder says of itself
is no evidence: tokens may be on their way from one to another.  Two holders that
are both short are ordered by the rank of their oldest request, so that one of
them gets what both hold.

The process spends as a *holder*: its incarnation and a number.  A change of
witnesses, or a closing by mistake, starts a new holder; reservations of the old
one end under the old name.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from typing import Final

import xxhash

from godwitrudder.connection.escrow import Transfer
from godwitrudder.request import events
from godwitrudder.request.admission import Heard, Reservation, Waiter, Wallet
from godwitrudder.request.events import Action, Event
from godwitrudder.request.sizing import BudgetTotals, DrawSizing

IDLE_SECONDS: Final = 1200.0
DRAW_PATIENCE_SECONDS: Final = 0.25
ASKS_AT_ONCE: Final = 8
ASK_TIMEOUT_SECONDS: Final = 1.5
ASK_FIRST_SECONDS: Final = 0.02
ASK_MOST_SECONDS: Final = 1.0
CREDIT_MEMORY_SECONDS: Final = 7200.0
TRANSFERS_MOST: Final = 64
HEARD_MOST: Final = 400


def rank_of(request: str) -> int:
    """Return the order of a request among holders that are short."""
    return xxhash.xxh32_intdigest(request.encode())


class GrantAllocator:
    """Decides for the budgets of one process.

    Parameters
    ----------
    incarnation : str
        This process.
    view : callable
        Returns what is known of a budget, or None.
    sizing : callable
        Returns the sizing of a budget.
    peers : callable
        Returns the hosts of the other routers, to ask where nobody is known to
        hold tokens of a budget.
    new_op : callable
        Returns a fresh operation id.
    """

    def __init__(
        self,
        incarnation: str,
        view: Callable[[str], BudgetTotals | None],
        sizing: Callable[[str], DrawSizing],
        peers: Callable[[], list[str]],
        new_op: Callable[[], str],
    ) -> None:
        self._incarnation = incarnation
        self._view = view
        self._sizing = sizing
        self._peers = peers
        self._new_op = new_op
        self._number = 0
        self._stopping = False
        self.balances_by_budget: OrderedDict[str, Wallet] = OrderedDict()
        self.reservations_by_request: dict[str, Reservation] = {}
        self._former_by_budget: Counter[str] = Counter()
        self._short: dict[str, None] = {}
        self._credited_at_by_op: dict[str, float] = {}
        self._drawn_at_by_op: dict[str, float] = {}
        self._handed_by_op: dict[str, Transfer] = {}

    @property
    def holder(self) -> str:
        """The id under which grants are drawn now."""
        return self.name(self._number)

    def name(self, number: int) -> str:
        """Return the holder id of a number; each number has one witness set."""
        return f"{self._incarnation}+{number}"

    @property
    def empty(self) -> bool:
        """Whether nothing is held, nor on its way."""
        wallets = self.balances_by_budget.values()
        return not any(wallet.idle or not wallet.unused for wallet in wallets)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event at a clock reading and return what to do, in order."""
        return list(self._handle(event, now))

    def isolate(self, request: str) -> bool:
        """Move a reservation to the isolated part; False where it is too small."""
        reservation = self.reservations_by_request[request]
        wallet = self.balances_by_budget.get(reservation.budget)
        if reservation.isolated:
            return True
        if wallet is None or reservation.holder != self.holder:
            return False
        if not wallet.isolated.reserve(reservation.tokens):
            return False
        wallet.witnessed.settle(reservation.tokens, 0)
        reservation.isolated = True
        return True

    def release(self, request: str, deadline: float, now: float) -> list[Action]:
        """End a reservation that was never dispatched, and wait for another."""
        reservation = self.reservations_by_request[request]
        ended = self.handle(events.Ended(request, 0, False), now)
        wanted = events.Wanted(
            request, reservation.budget, reservation.tokens, deadline
        )
        return ended + self.handle(wanted, now)

    def give_back_all(self) -> list[Action]:
        """Return every idle token, for a graceful stop; draw ahead no more."""
        self._stopping = True
        wallets = list(self.balances_by_budget.values())
        return [action for wallet in wallets for action in self._give_back(wallet)]

    def _handle(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case events.Wanted():
                yield from self._wanted(event, now)
            case events.Abandoned():
                self._forget_waiter(self._wallet(event.budget, now), event.request)
            case events.Ended():
                yield from self._ended(event, now)
            case events.Granted():
                yield from self._granted(event, now)
            case events.DrawVoid():
                yield from self._draw_void(event, now)
            case events.Asked():
                yield from self._asked(event, now)
            case events.Answered():
                yield from self._answered(event, now)
            case events.Received():
                yield from self._received(event, now)
            case events.Transferred():
                yield from self._transferred(event.transfer, now)
            case events.Undone():
                yield from self._undone(event, now)
            case events.Changed():
                if event.budget in self._short:
                    yield from self._pump(self.balances_by_budget[event.budget], now)
            case events.Closed():
                yield from self._renew(event.number, now, closed=True)
            case events.Renewed():
                yield from self._renew(event.number, now, closed=False)
            case events.Tick():
                yield from self._tick(now)

    def _wallet(self, budget: str, now: float) -> Wallet:
        """Return the wallet, as the one used last."""
        wallet = self.balances_by_budget.get(budget)
        if wallet is None:
            wallet = self.balances_by_budget[budget] = Wallet(budget)
        wallet.used_at = now
        self.balances_by_budget.move_to_end(budget)
        return wallet

    def _wanted(self, event: events.Wanted, now: float) -> Iterator[Action]:
        wallet = self._wallet(event.budget, now)
        wallet.waiters_by_request[event.request] = Waiter(
            event.request, event.budget, event.tokens, now, event.deadline
        )
        self._short[event.budget] = None
        yield from self._pump(wallet, now)

    def _ended(self, event: events.Ended, now: float) -> Iterator[Action]:
        reservation = self.reservations_by_request.pop(event.request)
        wallet = self._wallet(reservation.budget, now)
        used = min(event.used, reservation.tokens)
        if used or event.announced:
            yield events.Charge(reservation, used)
        wallet.measure(used, now)
        if reservation.holder == self.holder:
            wallet.part(reservation.isolated).settle(reservation.tokens, used)
        else:
            yield from self._former_ended(reservation, reservation.tokens - used)
        yield from self._pump(wallet, now)

    def _former_ended(self, reservation: Reservation, rest: int) -> Iterator[Action]:
        self._former_by_budget[reservation.budget] -= reservation.tokens
        self._former_by_budget += Counter()
        isolated = rest if reservation.isolated else 0
        yield from self._return(reservation.budget, reservation.holder, rest, isolated)

    def _granted(self, event: events.Granted, now: float) -> Iterator[Action]:
        self._drawn_at_by_op.pop(event.op, None)
        if event.holder != self.holder:
            yield from self._return(
                event.budget, event.holder, event.tokens, event.isolated
            )
            return
        wallet = self._wallet(event.budget, now)
        if wallet.drawing == event.op:
            wallet.drawing = ""
        wallet.witnessed.held += event.tokens - event.isolated
        wallet.isolated.held += event.isolated
        yield from self._pump(wallet, now)

    def _draw_void(self, event: events.DrawVoid, now: float) -> Iterator[Action]:
        self._drawn_at_by_op.pop(event.op, None)
        wallet = self.balances_by_budget.get(event.budget)
        if wallet is None or wallet.drawing != event.op:
            return
        wallet.drawing = ""
        if self._view(event.budget) is not None:
            yield from self._pump(wallet, now)

    def _asked(self, event: events.Asked, now: float) -> Iterator[Action]:
        """Hand idle tokens over, unless a request here comes first."""
        former = self._former_by_budget[event.budget]
        wallet = self.balances_by_budget.get(event.budget)
        if wallet is None:
            yield events.Reply(event.budget, former, 0)
            return
        busy = wallet.reserved + former + (1 if wallet.drawing else 0)
        ranks = [rank_of(request) for request in wallet.waiters_by_request]
        if ranks and min(ranks) < event.rank:
            yield events.Reply(event.budget, busy + max(1, wallet.idle), 0)
            return
        idle = wallet.witnessed.idle
        given = min(idle, max(event.tokens, idle // 2))
        before = tuple(wallet.unread_by_op.values())
        if given > 0 and len(before) < TRANSFERS_MOST:
            wallet.witnessed.held -= given
            last = Transfer(
                self._new_op(), event.budget, self.holder, event.asker, given
            )
            self._handed_by_op[last.op] = last
            yield events.HandOver((*before, last))
        elif given > 0:
            busy += given
        isolated = wallet.isolated.idle
        if given < event.tokens and isolated > 0:
            wallet.isolated.held -= isolated
            yield from self._return(event.budget, self.holder, isolated, isolated)
            busy += isolated
        yield events.Reply(event.budget, busy, wallet.witnessed.idle)

    def _answered(self, event: events.Answered, now: float) -> Iterator[Action]:
        wallet = self.balances_by_budget.get(event.budget)
        if wallet is None:
            return
        if len(wallet.heard_by_holder) >= HEARD_MOST:
            wallet.heard_by_holder.clear()
        asked_at = wallet.asked_by_holder.pop(event.holder, None)
        if asked_at is not None:
            wallet.heard_by_holder[event.holder] = Heard(
                event.busy, event.idle, asked_at
            )
        yield from self._pump(wallet, now)

    def _received(self, event: events.Received, now: float) -> Iterator[Action]:
        """Credit a donor's word, and append what shows that it held the tokens."""
        transfer = event.transfers[-1]
        if transfer.op in self._credited_at_by_op:
            return
        yield events.Append(event.transfers)
        if transfer.receiver == self.holder:
            wallet = self._wallet(transfer.budget, now)
            wallet.unread_by_op.update({t.op: t for t in event.transfers})
        yield from self._credit(transfer, now)

    def _transferred(self, transfer: Transfer, now: float) -> Iterator[Action]:
        self._handed_by_op.pop(transfer.op, None)
        wallet = self.balances_by_budget.get(transfer.budget)
        if wallet is not None:
            wallet.unread_by_op.pop(transfer.op, None)
        mine = transfer.receiver.startswith(f"{self._incarnation}+")
        if mine and transfer.op not in self._credited_at_by_op:
            yield from self._credit(transfer, now)

    def _credit(self, transfer: Transfer, now: float) -> Iterator[Action]:
        self._credited_at_by_op[transfer.op] = now
        if transfer.receiver != self.holder:
            yield from self._return(
                transfer.budget, transfer.receiver, transfer.tokens, 0
            )
            return
        wallet = self._wallet(transfer.budget, now)
        wallet.witnessed.held += transfer.tokens
        yield from self._pump(wallet, now)

    def _undone(self, event: events.Undone, now: float) -> Iterator[Action]:
        transfer = self._handed_by_op.pop(event.op, None)
        if transfer is None:
            return
        if transfer.donor != self.holder:
            yield from self._return(transfer.budget, transfer.donor, transfer.tokens, 0)
            return
        wallet = self._wallet(transfer.budget, now)
        wallet.witnessed.held += transfer.tokens
        yield from self._pump(wallet, now)

    def _renew(self, number: int, now: float, closed: bool) -> Iterator[Action]:
        """Go on as a new holder; a closing has returned the witnessed part."""
        for wallet in self.balances_by_budget.values():
            self._former_by_budget[wallet.budget] += wallet.reserved
            if closed:
                wallet.witnessed.held = wallet.witnessed.reserved
            yield from self._give_back(wallet)
            for part in (wallet.witnessed, wallet.isolated):
                part.held = part.reserved = 0
            wallet.unread_by_op.clear()
            wallet.drawing = ""
        self._former_by_budget += Counter()
        self._number = number
        for budget in list(self._short):
            yield from self._pump(self.balances_by_budget[budget], now)

    def _tick(self, now: float) -> Iterator[Action]:
        for budget in list(self._short):
            yield from self._pump(self.balances_by_budget[budget], now)
        while self.balances_by_budget:
            wallet = next(iter(self.balances_by_budget.values()))
            if now - wallet.used_at < IDLE_SECONDS:
                break
            if not wallet.unused:
                self._wallet(wallet.budget, now)
                continue
            yield from self._give_back(wallet)
            del self.balances_by_budget[wallet.budget]
        while self._credited_at_by_op:
            op, credited_at = next(iter(self._credited_at_by_op.items()))
            if now - credited_at < CREDIT_MEMORY_SECONDS:
                break
            del self._credited_at_by_op[op]

    def _give_back(self, wallet: Wallet) -> Iterator[Action]:
        idle = wallet.idle
        isolated = wallet.isolated.idle
        wallet.witnessed.held -= idle - isolated
        wallet.isolated.held -= isolated
        yield from self._return(wallet.budget, self.holder, idle, isolated)

    def _return(
        self, budget: str, holder: str, tokens: int, isolated: int
    ) -> Iterator[Action]:
        if tokens > 0:
            yield events.GiveBack(self._new_op(), budget, holder, tokens, isolated)

    def _pump(self, wallet: Wallet, now: float) -> Iterator[Action]:
        """Serve what fits, draw and call back for the rest, refuse on evidence."""
        view = self._view(wallet.budget)
        yield from self._serve(wallet, view, now)
        missing = wallet.waiting - wallet.witnessed.idle
        yield from self._draw(wallet, missing, view, now)
        if not wallet.waiters_by_request:
            wallet.ask_backoff = 0.0
            wallet.ask_width = 1
            return
        yield from self._refuse(wallet, view, now)
        if wallet.waiters_by_request:
            yield from self._ask(wallet, max(1, missing), view, now)

    def _serve(
        self, wallet: Wallet, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        """Reserve for whatever fits, oldest request first."""
        for waiter in list(wallet.waiters_by_request.values()):
            if now > waiter.deadline:
                continue
            isolated = not wallet.witnessed.reserve(waiter.tokens)
            if isolated and self._draw_may_do(wallet, waiter.tokens, view, now):
                continue
            if isolated and not wallet.isolated.reserve(waiter.tokens):
                continue
            reservation = Reservation(
                waiter.request, waiter.budget, self.holder, waiter.tokens, isolated
            )
            self.reservations_by_request[waiter.request] = reservation
            self._forget_waiter(wallet, waiter.request)
            yield events.Serve(reservation)

    def _forget_waiter(self, wallet: Wallet, request: str) -> None:
        wallet.waiters_by_request.pop(request, None)
        if not wallet.waiters_by_request:
            self._short.pop(wallet.budget, None)

    def _draw(
        self, wallet: Wallet, missing: int, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        if wallet.drawing or (self._stopping and missing <= 0):
            return
        size = self._sizing(wallet.budget).size(
            missing, wallet.rate_at(now), wallet.idle, wallet.isolated.held, view
        )
        if size is None:
            return
        wallet.drawing = self._new_op()
        self._drawn_at_by_op[wallet.drawing] = now
        yield events.Draw(
            wallet.drawing,
            wallet.budget,
            self.holder,
            size.needed,
            size.tokens,
            size.isolated,
        )

    def _refuse(
        self, wallet: Wallet, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        for waiter in list(wallet.waiters_by_request.values()):
            exhausted = view is not None and waiter.tokens > view.left
            late = now >= waiter.deadline
            if exhausted or late:
                self._forget_waiter(wallet, waiter.request)
                yield events.Refuse(
                    waiter.request,
                    waiter.budget,
                    waiter.tokens,
                    exhausted,
                    None if view is None else view.left,
                )

    def _others(self, wallet: Wallet, view: BudgetTotals | None) -> list[str]:
        """Return the holders of other processes, those with most idle first."""
        if view is None:
            return [f"{host}/" for host in self._peers()]
        mine = f"{self._incarnation}+"
        idle_by_holder = {
            holder: remaining
            for holder, remaining in view.remaining_by_holder.items()
            if not holder.startswith(mine)
        }
        for holder, heard in wallet.heard_by_holder.items():
            if holder in idle_by_holder:
                idle_by_holder[holder] = heard.idle
        return sorted(idle_by_holder, key=lambda holder: -idle_by_holder[holder])

    def _ask(
        self, wallet: Wallet, missing: int, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        """Call idle tokens back: from one holder first, then from more at once.

        Once every holder has answered, they are asked again with back-off.
        """
        if wallet.drawing and self._draw_may_do(wallet, missing, view, now):
            return
        waiters = list(wallet.waiters_by_request.values())
        since = max(waiter.since for waiter in waiters)
        others = self._others(wallet, view)
        if any(self._asking(wallet, holder, now) for holder in others):
            return
        chosen = [h for h in others if not self._heard_since(wallet, h, since)]
        if not chosen:
            if now < wallet.ask_at:
                return
            chosen = others
            backoff = wallet.ask_backoff or ASK_FIRST_SECONDS
            wallet.ask_at = now + backoff
            wallet.ask_backoff = min(ASK_MOST_SECONDS, backoff * 2)
        rank = min(rank_of(waiter.request) for waiter in waiters)
        for holder in chosen[: wallet.ask_width]:
            wallet.asked_by_holder[holder] = now
            yield events.Ask(wallet.budget, holder, self.holder, missing, rank)
        wallet.ask_width = min(ASKS_AT_ONCE, wallet.ask_width * 2)

    def _draw_may_do(
        self, wallet: Wallet, missing: int, view: BudgetTotals | None, now: float
    ) -> bool:
        """Whether a draw, which is to start or under way, should cover it soon."""
        if view is not None and view.free < missing:
            return False
        return now - self._drawn_at_by_op.get(wallet.drawing, now) < (
            DRAW_PATIENCE_SECONDS
        )

    @staticmethod
    def _asking(wallet: Wallet, holder: str, now: float) -> bool:
        asked_at = wallet.asked_by_holder.get(holder, -ASK_TIMEOUT_SECONDS)
        return now - asked_at < ASK_TIMEOUT_SECONDS

    @staticmethod
    def _heard_since(wallet: Wallet, holder: str, since: float) -> bool:
        heard = wallet.heard_by_holder.get(holder)
        return heard is not None and heard.at >= since
