"""The budget desk: carries messages to and from the holder of this process.

What to draw, hand over, announce or refuse is decided in ``request.holder``; the
desk appends its records, sends its messages, wakes requests and beats time.
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
from godwitrudder.process.guard import Guarded, Loop
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
QUIET_SECONDS: Final = 0.25
BEAT_SECONDS: Final = 1.0
FIRST_SECONDS: Final = 0.1
ANSWER_SECONDS: Final = 1.0
JUDGE_SECONDS: Final = 10.0
AGAIN_SECONDS: Final = 5.0
JUDGED_MOST: Final = 10_000

Woken = Serve | DispatchAllowed | Refuse


class ActiveReservation:
    """A reservation under way; ``tokens`` is what to bill at its end."""

    def __init__(self, desk: BudgetManager, request: str, deadline: float) -> None:
        self._desk = desk
        self._request = request
        self._deadline = deadline
        self._announced = False
        self.reserved: Reservation = desk.reservation(request)
        self.tokens = 0

    def announce(self, runner: str, attempt: str = "") -> Refused | None:
        """Have the witnesses acknowledge a dispatch before its first byte.

        Parameters
        ----------
        runner, attempt : str
            Where the request goes and under which id.

        Returns
        -------
        Refused or None
            None where the dispatch may go out now.
        """
        deadline = self._deadline
        if self._announced:
            # A request that went out in time is taken to its end, also late.
            deadline = max(deadline, self._desk.now() + AGAIN_SECONDS)
        refused = self._desk.announce(self._request, runner, attempt, deadline)
        self._announced = True
        if refused is None:
            self.reserved = self._desk.reservation(self._request)
        return refused


class BudgetManager(Guarded):
    """Reserves, announces, bills and returns tokens for one incarnation.

    Parameters
    ----------
    incarnation : str
        This process.
    endurance : callable
        Returns the endurance of a budget, 0 to 1.
    routers : callable
        Returns the hosts of all live routers.
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
        allotment = GrantAllocator(
            incarnation,
            self._view,
            lambda budget: DrawSizing(endurance(budget), len(routers())),
            lambda: [router for router in routers() if router != host],
            new_op,
        )
        self.holder = Holder(allotment, new_op)
        self._woken_by_request: dict[str, AsyncResult[Woken]] = {}
        self._judged: deque[tuple[float, Refuse]] = deque(maxlen=JUDGED_MOST)
        ledger.listen(self._hear)

    def loops(self) -> tuple[Loop, ...]:
        """Return the loops of this owner."""
        return (self._tick_all, self._beat_all)

    @property
    def has_witnesses(self) -> bool:
        """Whether witnesses acknowledge what this holder dispatches."""
        return bool(self.holder.witness_set.witnesses)

    def register(self, handlers: Handlers) -> None:
        """Take call-backs of other daemons and their answers."""
        handlers.register(CallBack, self._called_back)
        handlers.register(Given, self._given)

    @contextmanager
    def spend(
        self, request: str, budget: str, tokens: int, deadline: float
    ) -> Iterator[ActiveReservation | Refused]:
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
        woken = self._wait(
            request,
            lambda now: self.holder.handle(
                events.Wanted(request, budget, tokens, deadline), now
            ),
            events.Abandoned(request, budget),
        )
        if isinstance(woken, Refuse):
            yield self._refused(woken)
            return
        spend = ActiveReservation(self, request, deadline)
        try:
            yield spend
        finally:
            self._settle(request, spend)

    def announce(
        self, request: str, runner: str, attempt: str, deadline: float
    ) -> Refused | None:
        """Have a dispatch acknowledged by the witnesses; None where it may go."""
        woken = self._wait(
            request,
            lambda now: self.holder.announce(request, runner, attempt, deadline, now),
        )
        return self._refused(woken) if isinstance(woken, Refuse) else None

    def now(self) -> float:
        """Return the reading of the desk's clock, in seconds."""
        return self._clock.now()

    def reservation(self, request: str) -> Reservation:
        """Return the reservation of a request under way."""
        return self.holder.allotment.reservations_by_request[request]

    def return_idle(self) -> None:
        """Give all tokens back that no reservation needs, and leave."""
        self._run(list(self.holder.allotment.give_back_all()))

    def leave(self) -> None:
        """Let the witnesses forget this holder; nothing is held any more."""
        holder = self.holder.allotment.holder
        for witness in self.holder.announcements.witnesses:
            self._peers.tell(host_of(witness), Beat(holder, True))

    def _wait(
        self,
        request: str,
        start: Callable[[float], list[Step]],
        abandoned: events.Abandoned | None = None,
    ) -> Woken:
        result: AsyncResult[Woken] = AsyncResult()
        self._woken_by_request[request] = result
        try:
            self._run(start(self._clock.now()))
            woken: Woken = result.get()
            return woken
        finally:
            del self._woken_by_request[request]
            if abandoned is not None and not result.ready():
                self._run(self.holder.handle(abandoned, self._clock.now()))

    def _settle(self, request: str, spend: ActiveReservation) -> None:
        excess = max(0, spend.tokens - spend.reserved.tokens)
        self._metrics.overspend.inc(excess)
        self._metrics.tokens_billed.inc(spend.tokens - excess)
        self._run(self.holder.ended(request, spend.tokens, self._clock.now()))

    def _refused(self, refusal: Refuse) -> Refused:
        self._judged.append((self._clock.now() + JUDGE_SECONDS, refusal))
        if not refusal.exhausted:
            return refuse(Reason.BUDGET_UNREACHABLE, 1.0, budget=refusal.budget)
        return refuse(
            Reason.BUDGET_EXHAUSTED,
            budget=refusal.budget,
            needed=refusal.needed,
            left=refusal.left,
        )

    def _run(self, steps: list[Step]) -> None:
        """Carry actions out, in order."""
        for step in steps:
            match step:
                case Serve():
                    self._wake(step.reservation.request, step)
                case DispatchAllowed() | Refuse():
                    self._wake(step.request, step)
                case SendAnnouncement():
                    gevent.spawn(self._tell, step)
                case Send():
                    gevent.spawn(self._peers.tell, host_of(step.target), step.message)
                case _:
                    self._append(step)

    def _wake(self, request: str, woken: Woken) -> None:
        result = self._woken_by_request.get(request)
        if result is not None:
            result.set(woken)

    def _append(self, step: Step) -> None:
        share = WHOLE_PERMILLE // max(1, len(self._routers()))
        witnesses = self.holder.announcements.witnesses
        for entry in records_of(step, witnesses, share):
            key = getattr(entry, "budget", None) or self.holder.allotment.holder
            self._ledger.submit(key, entry)

    def _tell(self, step: SendAnnouncement) -> None:
        host = host_of(step.message.witness)
        answer = self._peers.ask(host, step.message, ANSWER_SECONDS)
        accepted = isinstance(answer, Acked) and answer.accepted
        note = self.holder.acked if accepted else self.holder.failed
        self._run(note(step, self._clock.now()))

    def _called_back(self, message: CallBack) -> None:
        self._run(self.holder.call_back(message, self._clock.now()))

    def _given(self, message: Given) -> None:
        self._run(self.holder.handle_given(message, self._clock.now()))

    def _hear(self, effect: Effect) -> None:
        """Take note of what the fold made of a record."""
        if isinstance(effect, Voided):
            self._count_void(effect)
        self._run(self.holder.apply_effect(effect, self._clock.now()))

    def _count_void(self, effect: Voided) -> None:
        holder = getattr(effect.entry, "incarnation", "")
        if holder == self.holder.allotment.holder:
            self._metrics.void_records.labels(effect.reason).inc()

    def _view(self, budget: str) -> BudgetTotals | None:
        state = self._ledger.budget(budget)
        if state is None:
            return None
        remaining = {
            holder: holding.remaining
            for holder, holding in state.holdings_by_incarnation.items()
        }
        return BudgetTotals(state.paid, state.billed, state.free, remaining)

    def _tick_all(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS if self._woken_by_request else QUIET_SECONDS)
            now = self._clock.now()
            self._run(self.holder.tick(now))
            while self._judged and self._judged[0][0] <= now:
                self._judge(self._judged.popleft()[1])

    def _judge(self, refusal: Refuse) -> None:
        """Count a refusal as false where its bound is still unbilled now.

        By now the bills that were on their way at the refusal have been read.
        """
        state = self._ledger.budget(refusal.budget)
        if state is not None and refusal.needed <= state.paid - state.billed:
            self._metrics.false_refusals.inc()

    def _beat_all(self) -> None:
        while True:
            holder = self.holder.allotment.holder
            hosts = self.holder.witness_set.hosts_to_probe(self._clock.now())
            gevent.joinall([gevent.spawn(self._beat, holder, host) for host in hosts])
            gevent.sleep(BEAT_SECONDS if self.has_witnesses else FIRST_SECONDS)

    def _beat(self, holder: str, host: str) -> None:
        beat = Beat(holder, witnesses=self.holder.announcements.witnesses)
        answer = self._peers.ask(host, beat, ANSWER_SECONDS)
        if not isinstance(answer, Standing):
            return
        steps = self.holder.record_standing(
            host, answer.incarnation, answer.fenced, self._clock.now()
        )
        self._run(steps)


def new_op() -> str:
    """Return a fresh operation id."""
    return uuid4().hex
