"""Runs the I/O for the grant holder of this process.

``request.holder`` decides what to draw, hand over, announce or refuse.  This module
appends the resulting records, sends messages, wakes waiting requests and calls the
holder periodically.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final
from uuid import uuid4

import gevent
from gevent.event import AsyncResult

from godwitrudder.clock import Clock
from godwitrudder.connection.escrow import (
    Acked,
    Beat,
    CallBack,
    Given,
    Standing,
)
from godwitrudder.connection.peer import Handlers, PeerLinks
from godwitrudder.process.guard import Loop, TaskOwner
from godwitrudder.process.ledger import Ledger
from godwitrudder.process.metrics import Metrics
from godwitrudder.request import events
from godwitrudder.request.admission import Reservation
from godwitrudder.request.announcement import SendAnnouncement
from godwitrudder.request.events import Refuse, Serve
from godwitrudder.request.grant_allocator import GrantAllocator
from godwitrudder.request.holder import DispatchAllowed, Holder, Send, Step, records_of
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.sizing import WHOLE_PERMILLE, BudgetTotals, DrawSizing
from godwitrudder.request.witnesses import host_of
from godwitrudder.version.fold import Effect, Voided

TICK_SECONDS: Final = 0.1
IDLE_TICK_SECONDS: Final = 0.25
HEARTBEAT_SECONDS: Final = 1.0
FIRST_HEARTBEAT_SECONDS: Final = 0.1
ANSWER_TIMEOUT_SECONDS: Final = 1.0
REFUSAL_CHECK_SECONDS: Final = 10.0
REANNOUNCE_SECONDS: Final = 5.0
MAX_UNCHECKED_REFUSALS: Final = 10_000

Decision = Serve | DispatchAllowed | Refuse


class ActiveReservation:
    """The reservation of a running request.

    Attributes
    ----------
    reserved : Reservation
        The reservation as last known.
    tokens : int
        Tokens to bill when the request ends.
    """

    def __init__(self, budgets: BudgetManager, request: str, deadline: float) -> None:
        self._budgets = budgets
        self._request = request
        self._deadline = deadline
        self._announced = False
        self.reserved: Reservation = budgets.reservation(request)
        self.tokens = 0

    def announce(self, runner: str, attempt: str = "") -> Refused | None:
        """Wait until the witnesses acknowledge a dispatch, before its first byte.

        Parameters
        ----------
        runner, attempt : str
            Runner that receives the request, and the attempt id.

        Returns
        -------
        Refused or None
            None if the dispatch may be sent now.
        """
        deadline = self._deadline
        if self._announced:
            # A request dispatched before its deadline may complete after it.
            deadline = max(deadline, self._budgets.now() + REANNOUNCE_SECONDS)
        refused = self._budgets.announce(self._request, runner, attempt, deadline)
        self._announced = True
        if refused is None:
            self.reserved = self._budgets.reservation(self._request)
        return refused


class BudgetManager(TaskOwner):
    """Reserves, announces, bills and returns tokens for one incarnation.

    Parameters
    ----------
    incarnation : str
        Incarnation of this process.
    endurance : callable
        Returns the endurance setting of a budget, 0 to 1.
    routers : callable
        Returns the hosts of all known routers, reachable or not.
    """

    def __init__(
        self,
        ledger: Ledger,
        incarnation: str,
        clock: Clock,
        metrics: Metrics,
        peers: PeerLinks,
        endurance: Callable[[str], float],
        routers: Callable[[], list[str]],
    ) -> None:
        self._ledger = ledger
        self._clock = clock
        super().__init__(metrics)
        self._peers = peers
        self._routers = routers
        host = host_of(incarnation)
        allocator = GrantAllocator(
            incarnation,
            self._budget_totals,
            lambda budget: DrawSizing(endurance(budget), len(routers())),
            lambda: [router for router in routers() if router != host],
            new_op,
        )
        self.holder = Holder(allocator, new_op)
        self._decision_by_request: dict[str, AsyncResult[Decision]] = {}
        self._unchecked_refusals: deque[tuple[float, Refuse]] = deque(
            maxlen=MAX_UNCHECKED_REFUSALS
        )
        ledger.listen(self._on_effect)

    def loops(self) -> tuple[Loop, ...]:
        """Return the periodic tasks: ticks and heartbeats to witnesses."""
        return (self._tick_loop, self._heartbeat_loop)

    @property
    def has_witnesses(self) -> bool:
        """Whether the current holder has witnesses for its dispatches."""
        return bool(self.holder.witness_set.witnesses)

    def register(self, handlers: Handlers) -> None:
        """Register the handlers for call-backs and for answers to them."""
        handlers.register(CallBack, self._handle_call_back)
        handlers.register(Given, self._handle_given)

    @contextmanager
    def spend(
        self, request: str, budget: str, tokens: int, deadline: float
    ) -> Iterator[ActiveReservation | Refused]:
        """Reserve ``tokens`` and bill the used tokens when the block ends.

        Parameters
        ----------
        request, budget : str
            Request id, and the budget that it is billed to.
        tokens : int
            Upper bound of the tokens that the request can use.
        deadline : float
            Clock reading in seconds after which the request is refused.

        Yields
        ------
        ActiveReservation or Refused
            The reservation, or the refusal if the tokens can't be reserved.
        """
        decision = self._start_and_wait(
            request,
            lambda now: self.holder.handle(
                events.Wanted(request, budget, tokens, deadline), now
            ),
            events.Abandoned(request, budget),
        )
        if isinstance(decision, Refuse):
            yield self._refusal_of(decision)
            return
        active = ActiveReservation(self, request, deadline)
        try:
            yield active
        finally:
            self._settle(request, active)

    def announce(
        self, request: str, runner: str, attempt: str, deadline: float
    ) -> Refused | None:
        """Wait until the witnesses acknowledge a dispatch; None if it may be sent."""
        decision = self._start_and_wait(
            request,
            lambda now: self.holder.announce(request, runner, attempt, deadline, now),
        )
        return self._refusal_of(decision) if isinstance(decision, Refuse) else None

    def now(self) -> float:
        """Return the clock reading in seconds."""
        return self._clock.now()

    def reservation(self, request: str) -> Reservation:
        """Return the reservation of a running request."""
        return self.holder.allocator.reservations_by_request[request]

    def return_idle(self) -> None:
        """Return all tokens that no reservation needs and stop drawing ahead."""
        self._execute(list(self.holder.allocator.give_back_all()))

    def leave(self) -> None:
        """Tell the witnesses to drop this holder, which holds no more tokens."""
        holder = self.holder.allocator.holder
        for witness in self.holder.announcements.witnesses:
            self._peers.tell(host_of(witness), Beat(holder, True))

    def _start_and_wait(
        self,
        request: str,
        start: Callable[[float], list[Step]],
        abandoned: events.Abandoned | None = None,
    ) -> Decision:
        result: AsyncResult[Decision] = AsyncResult()
        self._decision_by_request[request] = result
        try:
            self._execute(start(self._clock.now()))
            decision: Decision = result.get()
            return decision
        finally:
            del self._decision_by_request[request]
            if abandoned is not None and not result.ready():
                self._execute(self.holder.handle(abandoned, self._clock.now()))

    def _settle(self, request: str, active: ActiveReservation) -> None:
        excess = max(0, active.tokens - active.reserved.tokens)
        self._metrics.overspend.inc(excess)
        self._metrics.tokens_billed.inc(active.tokens - excess)
        self._execute(self.holder.ended(request, active.tokens, self._clock.now()))

    def _refusal_of(self, refusal: Refuse) -> Refused:
        self._unchecked_refusals.append(
            (self._clock.now() + REFUSAL_CHECK_SECONDS, refusal)
        )
        if not refusal.exhausted:
            return refuse(Reason.BUDGET_UNREACHABLE, 1.0, budget=refusal.budget)
        return refuse(
            Reason.BUDGET_EXHAUSTED,
            budget=refusal.budget,
            needed=refusal.needed,
            left=refusal.left,
        )

    def _execute(self, steps: list[Step]) -> None:
        """Execute steps of the holder in order."""
        for step in steps:
            match step:
                case Serve():
                    self._deliver(step.reservation.request, step)
                case DispatchAllowed() | Refuse():
                    self._deliver(step.request, step)
                case SendAnnouncement():
                    gevent.spawn(self._announce_to_witness, step)
                case Send():
                    gevent.spawn(self._peers.tell, host_of(step.target), step.message)
                case _:
                    self._append(step)

    def _deliver(self, request: str, decision: Decision) -> None:
        result = self._decision_by_request.get(request)
        if result is not None:
            result.set(decision)

    def _append(self, step: Step) -> None:
        share = WHOLE_PERMILLE // max(1, len(self._routers()))
        witnesses = self.holder.announcements.witnesses
        for entry in records_of(step, witnesses, share):
            key = getattr(entry, "budget", None) or self.holder.allocator.holder
            self._ledger.submit(key, entry)

    def _announce_to_witness(self, step: SendAnnouncement) -> None:
        host = host_of(step.message.witness)
        answer = self._peers.ask(host, step.message, ANSWER_TIMEOUT_SECONDS)
        accepted = isinstance(answer, Acked) and answer.accepted
        handle_result = self.holder.acked if accepted else self.holder.failed
        self._execute(handle_result(step, self._clock.now()))

    def _handle_call_back(self, message: CallBack) -> None:
        self._execute(self.holder.call_back(message, self._clock.now()))

    def _handle_given(self, message: Given) -> None:
        self._execute(self.holder.handle_given(message, self._clock.now()))

    def _on_effect(self, effect: Effect) -> None:
        """Pass the effect of a ledger record to the holder."""
        if isinstance(effect, Voided):
            self._count_void(effect)
        self._execute(self.holder.apply_effect(effect, self._clock.now()))

    def _count_void(self, effect: Voided) -> None:
        holder = getattr(effect.entry, "incarnation", "")
        if holder == self.holder.allocator.holder:
            self._metrics.void_records.labels(effect.reason).inc()

    def _budget_totals(self, budget: str) -> BudgetTotals | None:
        state = self._ledger.budget(budget)
        if state is None:
            return None
        remaining = {
            holder: holding.remaining
            for holder, holding in state.holdings_by_incarnation.items()
        }
        return BudgetTotals(state.paid, state.billed, state.free, remaining)

    def _tick_loop(self) -> None:
        while True:
            gevent.sleep(
                TICK_SECONDS if self._decision_by_request else IDLE_TICK_SECONDS
            )
            now = self._clock.now()
            self._execute(self.holder.tick(now))
            while self._unchecked_refusals and self._unchecked_refusals[0][0] <= now:
                self._check_refusal(self._unchecked_refusals.popleft()[1])

    def _check_refusal(self, refusal: Refuse) -> None:
        """Count a refusal as false if the tokens it needed are still unbilled.

        Runs ``REFUSAL_CHECK_SECONDS`` after the refusal.  By then the bills that were
        in flight at the refusal are read.
        """
        state = self._ledger.budget(refusal.budget)
        if state is not None and refusal.needed <= state.paid - state.billed:
            self._metrics.false_refusals.inc()

    def _heartbeat_loop(self) -> None:
        while True:
            holder = self.holder.allocator.holder
            hosts = self.holder.witness_set.hosts_to_probe(self._clock.now())
            gevent.joinall(
                [gevent.spawn(self._send_heartbeat, holder, host) for host in hosts]
            )
            gevent.sleep(
                HEARTBEAT_SECONDS if self.has_witnesses else FIRST_HEARTBEAT_SECONDS
            )

    def _send_heartbeat(self, holder: str, host: str) -> None:
        beat = Beat(holder, witnesses=self.holder.announcements.witnesses)
        answer = self._peers.ask(host, beat, ANSWER_TIMEOUT_SECONDS)
        if not isinstance(answer, Standing):
            return
        steps = self.holder.record_standing(
            host, answer.incarnation, answer.fenced, self._clock.now()
        )
        self._execute(steps)


def new_op() -> str:
    """Return a new random operation id."""
    return uuid4().hex
