"""Grant allocation: which tokens this process draws, returns, calls back and refuses.

One ``GrantAllocator`` per process decides for all its budgets. It takes typed events
with a clock reading, returns typed actions and does no I/O, so a daemon, a test and
a bench share it.

A request waits until its upper bound is reserved, or until the bills in the log show
that the budget cannot cover it. Meanwhile the process draws free tokens and calls idle
ones back from other holders. A holder's answer is no evidence that a budget is
exhausted, since tokens may be in transit. If two holders are both short, the rank of
their oldest request decides which one gets the tokens of both.

The process spends as a *holder*: its incarnation and a number. A change of witnesses or
a wrong closing starts a new holder; reservations of the old one end under the old name.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from typing import Final

import xxhash

from godwitrudder.connection.escrow import Transfer
from godwitrudder.request import events
from godwitrudder.request.admission import Balance, CallBackAnswer, Reservation, Waiter
from godwitrudder.request.events import Action, Event
from godwitrudder.request.sizing import BudgetTotals, DrawSizing

BALANCE_IDLE_SECONDS: Final = 1200.0
DRAW_WAIT_SECONDS: Final = 0.25
ASKS_AT_ONCE: Final = 8
ASK_TIMEOUT_SECONDS: Final = 1.5
ASK_BACKOFF_FIRST_SECONDS: Final = 0.02
MAX_ASK_BACKOFF_SECONDS: Final = 1.0
CREDITED_OP_KEPT_SECONDS: Final = 7200.0
MAX_UNLOGGED_TRANSFERS: Final = 64
MAX_ANSWERS_KEPT: Final = 400


def rank_of(request: str) -> int:
    """Return the order of a request among holders that are short of tokens."""
    return xxhash.xxh32_intdigest(request.encode())


class GrantAllocator:
    """Decides for the budgets of one process.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    view : callable
        Returns the known totals of a budget, or None.
    sizing : callable
        Returns the draw sizing of a budget.
    peers : callable
        Returns the other routers' hosts, which are asked if no holder is known.
    new_op : callable
        Returns a new operation id.
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
        self.balances_by_budget: OrderedDict[str, Balance] = OrderedDict()
        self.reservations_by_request: dict[str, Reservation] = {}
        self._former_reserved_by_budget: Counter[str] = Counter()
        self._budgets_with_waiters: dict[str, None] = {}
        self._credited_at_by_op: dict[str, float] = {}
        self._drawn_at_by_op: dict[str, float] = {}
        self._open_handovers_by_op: dict[str, Transfer] = {}

    @property
    def holder(self) -> str:
        """Id of the holder under which grants are drawn now."""
        return self.holder_id(self._number)

    def holder_id(self, number: int) -> str:
        """Return the holder id of a number; each number has one set of witnesses."""
        return f"{self._incarnation}+{number}"

    @property
    def empty(self) -> bool:
        """Whether no tokens are held, reserved, drawn or waited for."""
        balances = self.balances_by_budget.values()
        return not any(balance.idle or not balance.unused for balance in balances)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event at a clock reading; return the actions in order."""
        return list(self._handle(event, now))

    def isolate(self, request: str) -> bool:
        """Move a reservation to the isolated pool; return False if it does not fit."""
        reservation = self.reservations_by_request[request]
        balance = self.balances_by_budget.get(reservation.budget)
        if reservation.isolated:
            return True
        if balance is None or reservation.holder != self.holder:
            return False
        if not balance.isolated.reserve(reservation.tokens):
            return False
        balance.witnessed.settle(reservation.tokens, 0)
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
        """Return all idle tokens for a graceful stop; stop drawing ahead."""
        self._stopping = True
        balances = list(self.balances_by_budget.values())
        return [action for balance in balances for action in self._give_back(balance)]

    def _handle(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case events.Wanted():
                yield from self._wanted(event, now)
            case events.Abandoned():
                self._forget_waiter(self._balance(event.budget, now), event.request)
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
                if event.budget in self._budgets_with_waiters:
                    yield from self._advance(self.balances_by_budget[event.budget], now)
            case events.Closed():
                yield from self._start_holder(event.number, now, closed=True)
            case events.Renewed():
                yield from self._start_holder(event.number, now, closed=False)
            case events.Tick():
                yield from self._tick(now)

    def _balance(self, budget: str, now: float) -> Balance:
        """Return the balance of a budget and mark it as the most recently used."""
        balance = self.balances_by_budget.get(budget)
        if balance is None:
            balance = self.balances_by_budget[budget] = Balance(budget)
        balance.used_at = now
        self.balances_by_budget.move_to_end(budget)
        return balance

    def _wanted(self, event: events.Wanted, now: float) -> Iterator[Action]:
        balance = self._balance(event.budget, now)
        balance.waiters_by_request[event.request] = Waiter(
            event.request, event.budget, event.tokens, now, event.deadline
        )
        self._budgets_with_waiters[event.budget] = None
        yield from self._advance(balance, now)

    def _ended(self, event: events.Ended, now: float) -> Iterator[Action]:
        reservation = self.reservations_by_request.pop(event.request)
        balance = self._balance(reservation.budget, now)
        used = min(event.used, reservation.tokens)
        if used or event.announced:
            yield events.Charge(reservation, used)
        balance.record_billed(used, now)
        if reservation.holder == self.holder:
            balance.pool(reservation.isolated).settle(reservation.tokens, used)
        else:
            yield from self._former_ended(reservation, reservation.tokens - used)
        yield from self._advance(balance, now)

    def _former_ended(self, reservation: Reservation, rest: int) -> Iterator[Action]:
        self._former_reserved_by_budget[reservation.budget] -= reservation.tokens
        self._former_reserved_by_budget += Counter()
        isolated = rest if reservation.isolated else 0
        yield from self._return(reservation.budget, reservation.holder, rest, isolated)

    def _granted(self, event: events.Granted, now: float) -> Iterator[Action]:
        self._drawn_at_by_op.pop(event.op, None)
        if event.holder != self.holder:
            yield from self._return(
                event.budget, event.holder, event.tokens, event.isolated
            )
            return
        balance = self._balance(event.budget, now)
        if balance.draw_op == event.op:
            balance.draw_op = ""
        balance.witnessed.held += event.tokens - event.isolated
        balance.isolated.held += event.isolated
        yield from self._advance(balance, now)

    def _draw_void(self, event: events.DrawVoid, now: float) -> Iterator[Action]:
        self._drawn_at_by_op.pop(event.op, None)
        balance = self.balances_by_budget.get(event.budget)
        if balance is None or balance.draw_op != event.op:
            return
        balance.draw_op = ""
        if self._view(event.budget) is not None:
            yield from self._advance(balance, now)

    def _asked(self, event: events.Asked, now: float) -> Iterator[Action]:
        """Hand idle tokens over, unless a request that waits here has a lower rank."""
        former = self._former_reserved_by_budget[event.budget]
        balance = self.balances_by_budget.get(event.budget)
        if balance is None:
            yield events.Reply(event.budget, former, 0)
            return
        busy = balance.reserved + former + (1 if balance.draw_op else 0)
        ranks = [rank_of(request) for request in balance.waiters_by_request]
        if ranks and min(ranks) < event.rank:
            yield events.Reply(event.budget, busy + max(1, balance.idle), 0)
            return
        idle = balance.witnessed.idle
        handed_over = min(idle, max(event.tokens, idle // 2))
        unlogged = tuple(balance.unlogged_transfers_by_op.values())
        if handed_over > 0 and len(unlogged) < MAX_UNLOGGED_TRANSFERS:
            balance.witnessed.held -= handed_over
            last = Transfer(
                self._new_op(), event.budget, self.holder, event.asker, handed_over
            )
            self._open_handovers_by_op[last.op] = last
            yield events.HandOver((*unlogged, last))
        elif handed_over > 0:
            busy += handed_over
        isolated = balance.isolated.idle
        if handed_over < event.tokens and isolated > 0:
            balance.isolated.held -= isolated
            yield from self._return(event.budget, self.holder, isolated, isolated)
            busy += isolated
        yield events.Reply(event.budget, busy, balance.witnessed.idle)

    def _answered(self, event: events.Answered, now: float) -> Iterator[Action]:
        balance = self.balances_by_budget.get(event.budget)
        if balance is None:
            return
        if len(balance.answers_by_holder) >= MAX_ANSWERS_KEPT:
            balance.answers_by_holder.clear()
        asked_at = balance.asked_by_holder.pop(event.holder, None)
        if asked_at is not None:
            balance.answers_by_holder[event.holder] = CallBackAnswer(
                event.busy, event.idle, asked_at
            )
        yield from self._advance(balance, now)

    def _received(self, event: events.Received, now: float) -> Iterator[Action]:
        """Credit a hand-over, and append the records that prove the donor's tokens."""
        transfer = event.transfers[-1]
        if transfer.op in self._credited_at_by_op:
            return
        yield events.Append(event.transfers)
        if transfer.receiver == self.holder:
            balance = self._balance(transfer.budget, now)
            balance.unlogged_transfers_by_op.update({t.op: t for t in event.transfers})
        yield from self._credit(transfer, now)

    def _transferred(self, transfer: Transfer, now: float) -> Iterator[Action]:
        self._open_handovers_by_op.pop(transfer.op, None)
        balance = self.balances_by_budget.get(transfer.budget)
        if balance is not None:
            balance.unlogged_transfers_by_op.pop(transfer.op, None)
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
        balance = self._balance(transfer.budget, now)
        balance.witnessed.held += transfer.tokens
        yield from self._advance(balance, now)

    def _undone(self, event: events.Undone, now: float) -> Iterator[Action]:
        transfer = self._open_handovers_by_op.pop(event.op, None)
        if transfer is None:
            return
        if transfer.donor != self.holder:
            yield from self._return(transfer.budget, transfer.donor, transfer.tokens, 0)
            return
        balance = self._balance(transfer.budget, now)
        balance.witnessed.held += transfer.tokens
        yield from self._advance(balance, now)

    def _start_holder(self, number: int, now: float, closed: bool) -> Iterator[Action]:
        """Start a new holder; a closing has already returned the witnessed tokens."""
        for balance in self.balances_by_budget.values():
            self._former_reserved_by_budget[balance.budget] += balance.reserved
            if closed:
                balance.witnessed.held = balance.witnessed.reserved
            yield from self._give_back(balance)
            for part in (balance.witnessed, balance.isolated):
                part.held = part.reserved = 0
            balance.unlogged_transfers_by_op.clear()
            balance.draw_op = ""
        self._former_reserved_by_budget += Counter()
        self._number = number
        for budget in list(self._budgets_with_waiters):
            yield from self._advance(self.balances_by_budget[budget], now)

    def _tick(self, now: float) -> Iterator[Action]:
        for budget in list(self._budgets_with_waiters):
            yield from self._advance(self.balances_by_budget[budget], now)
        while self.balances_by_budget:
            balance = next(iter(self.balances_by_budget.values()))
            if now - balance.used_at < BALANCE_IDLE_SECONDS:
                break
            if not balance.unused:
                self._balance(balance.budget, now)
                continue
            yield from self._give_back(balance)
            del self.balances_by_budget[balance.budget]
        while self._credited_at_by_op:
            op, credited_at = next(iter(self._credited_at_by_op.items()))
            if now - credited_at < CREDITED_OP_KEPT_SECONDS:
                break
            del self._credited_at_by_op[op]

    def _give_back(self, balance: Balance) -> Iterator[Action]:
        idle = balance.idle
        isolated = balance.isolated.idle
        balance.witnessed.held -= idle - isolated
        balance.isolated.held -= isolated
        yield from self._return(balance.budget, self.holder, idle, isolated)

    def _return(
        self, budget: str, holder: str, tokens: int, isolated: int
    ) -> Iterator[Action]:
        if tokens > 0:
            yield events.GiveBack(self._new_op(), budget, holder, tokens, isolated)

    def _advance(self, balance: Balance, now: float) -> Iterator[Action]:
        """Serve requests that fit; draw, call back or refuse for the rest."""
        view = self._view(balance.budget)
        yield from self._serve(balance, view, now)
        missing = balance.waiting - balance.witnessed.idle
        yield from self._draw(balance, missing, view, now)
        if not balance.waiters_by_request:
            balance.ask_backoff = 0.0
            balance.ask_fanout = 1
            return
        yield from self._refuse(balance, view, now)
        if balance.waiters_by_request:
            yield from self._ask(balance, max(1, missing), view, now)

    def _serve(
        self, balance: Balance, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        """Reserve tokens for the requests that fit, oldest first."""
        for waiter in list(balance.waiters_by_request.values()):
            if now > waiter.deadline:
                continue
            isolated = not balance.witnessed.reserve(waiter.tokens)
            if isolated and self._draw_may_suffice(balance, waiter.tokens, view, now):
                continue
            if isolated and not balance.isolated.reserve(waiter.tokens):
                continue
            reservation = Reservation(
                waiter.request, waiter.budget, self.holder, waiter.tokens, isolated
            )
            self.reservations_by_request[waiter.request] = reservation
            self._forget_waiter(balance, waiter.request)
            yield events.Serve(reservation)

    def _forget_waiter(self, balance: Balance, request: str) -> None:
        balance.waiters_by_request.pop(request, None)
        if not balance.waiters_by_request:
            self._budgets_with_waiters.pop(balance.budget, None)

    def _draw(
        self, balance: Balance, missing: int, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        if balance.draw_op or (self._stopping and missing <= 0):
            return
        size = self._sizing(balance.budget).size(
            missing, balance.rate_at(now), balance.idle, balance.isolated.held, view
        )
        if size is None:
            return
        balance.draw_op = self._new_op()
        self._drawn_at_by_op[balance.draw_op] = now
        yield events.Draw(
            balance.draw_op,
            balance.budget,
            self.holder,
            size.needed,
            size.tokens,
            size.isolated,
        )

    def _refuse(
        self, balance: Balance, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        for waiter in list(balance.waiters_by_request.values()):
            exhausted = view is not None and waiter.tokens > view.left
            late = now >= waiter.deadline
            if exhausted or late:
                self._forget_waiter(balance, waiter.request)
                yield events.Refuse(
                    waiter.request,
                    waiter.budget,
                    waiter.tokens,
                    exhausted,
                    None if view is None else view.left,
                )

    def _other_holders(self, balance: Balance, view: BudgetTotals | None) -> list[str]:
        """Return the holders of other processes, most idle tokens first."""
        if view is None:
            return [f"{host}/" for host in self._peers()]
        mine = f"{self._incarnation}+"
        idle_by_holder = {
            holder: remaining
            for holder, remaining in view.remaining_by_holder.items()
            if not holder.startswith(mine)
        }
        for holder, answer in balance.answers_by_holder.items():
            if holder in idle_by_holder:
                idle_by_holder[holder] = answer.idle
        return sorted(idle_by_holder, key=lambda holder: -idle_by_holder[holder])

    def _ask(
        self, balance: Balance, missing: int, view: BudgetTotals | None, now: float
    ) -> Iterator[Action]:
        """Call idle tokens back: from one holder first, then from more at a time.

        After all have answered, they are asked again with exponential back-off.
        """
        if balance.draw_op and self._draw_may_suffice(balance, missing, view, now):
            return
        waiters = list(balance.waiters_by_request.values())
        since = max(waiter.since for waiter in waiters)
        others = self._other_holders(balance, view)
        if any(self._call_back_pending(balance, holder, now) for holder in others):
            return
        to_ask = [h for h in others if not self._answered_since(balance, h, since)]
        if not to_ask:
            if now < balance.ask_at:
                return
            to_ask = others
            backoff = balance.ask_backoff or ASK_BACKOFF_FIRST_SECONDS
            balance.ask_at = now + backoff
            balance.ask_backoff = min(MAX_ASK_BACKOFF_SECONDS, backoff * 2)
        rank = min(rank_of(waiter.request) for waiter in waiters)
        for holder in to_ask[: balance.ask_fanout]:
            balance.asked_by_holder[holder] = now
            yield events.Ask(balance.budget, holder, self.holder, missing, rank)
        balance.ask_fanout = min(ASKS_AT_ONCE, balance.ask_fanout * 2)

    def _draw_may_suffice(
        self, balance: Balance, missing: int, view: BudgetTotals | None, now: float
    ) -> bool:
        """Whether a draw that is due or in flight should cover the missing tokens."""
        if view is not None and view.free < missing:
            return False
        return now - self._drawn_at_by_op.get(balance.draw_op, now) < DRAW_WAIT_SECONDS

    @staticmethod
    def _call_back_pending(balance: Balance, holder: str, now: float) -> bool:
        asked_at = balance.asked_by_holder.get(holder, -ASK_TIMEOUT_SECONDS)
        return now - asked_at < ASK_TIMEOUT_SECONDS

    @staticmethod
    def _answered_since(balance: Balance, holder: str, since: float) -> bool:
        answer = balance.answers_by_holder.get(holder)
        return answer is not None and answer.at >= since
