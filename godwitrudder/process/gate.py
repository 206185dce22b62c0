"""The turn gate of one target: waiting greenlets, and the turns that they hold.

Whatever ends a wait or a turn (the turn comes, the deadline passes, the caller
hangs up and its greenlet is killed), the request leaves the queue or gives its slot
back exactly once.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from gevent.event import Event

from godwitrudder.clock import Clock
from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.slots import Slots
from godwitrudder.request.turn import Ticket
from godwitrudder.version.document import TurnModel


@dataclass(slots=True)
class Turn:
    """A started request.

    Attributes
    ----------
    priority : float
        For the engine; the lower one goes first.  It is the workspace's demand
        in multiples of its share, the same measure at every router.
    used : float or None
        True cost in tokens, set before the turn ends; None for the stated one.
    """

    priority: float
    used: float | None = None


@dataclass(slots=True, eq=False)
class _Waiter:
    ticket: Ticket
    started: Event = field(default_factory=Event)


class TurnGate:
    """Hands out the turns of one target."""

    def __init__(self, target: str, clock: Clock) -> None:
        self.slots = Slots(target)
        self._clock = clock
        self._waiters_by_ticket: dict[Ticket, _Waiter] = {}

    @contextmanager
    def turn(
        self, request: str, workspace: str, cost: float, rules: TurnModel
    ) -> Iterator[Turn | Refused]:
        """Wait for a turn; it ends with the block.

        Yields
        ------
        Turn or Refused
            A refused request has left the queue.
        """
        refused = self.slots.overloaded(workspace, rules)
        if refused is not None:
            yield refused
            return
        units = cost if rules.unit == "tokens" else 1.0
        deadline = self._clock.now() + rules.deadline_seconds
        waiter = _Waiter(Ticket(request, workspace, units, deadline))
        turn = Turn(0.0)
        try:
            self._queue(waiter, rules)
            waiter.started.wait(rules.deadline_seconds)
            if not waiter.ticket.started:
                self._leave(waiter, units)
                yield refuse(Reason.DEADLINE, 1.0)
                return
            turn.priority = self.slots.priority(workspace)
            yield turn
        finally:
            used = turn.used if rules.unit == "tokens" else None
            self._leave(waiter, units if used is None else used)

    def take_shares(self, answer: ShareAnswer) -> None:
        """Follow the aggregator's answer."""
        self.slots.take_shares(answer)
        self._start()

    def _start(self) -> None:
        for ticket in self.slots.start(self._clock.now()):
            self._waiters_by_ticket[ticket].started.set()

    def _queue(self, waiter: _Waiter, rules: TurnModel) -> None:
        self._waiters_by_ticket[waiter.ticket] = waiter
        weight = rules.weights_by_workspace.get(waiter.ticket.workspace, 1.0)
        self.slots.queue.push(waiter.ticket, weight, self._clock.now())
        self._start()

    def _leave(self, waiter: _Waiter, cost: float) -> None:
        """End the turn or leave the queue, whichever applies, once."""
        if self._waiters_by_ticket.pop(waiter.ticket, None) is None:
            return
        if not waiter.ticket.started:
            self.slots.queue.cancel(waiter.ticket)
            return
        self.slots.end(waiter.ticket, cost, self._clock.now())
        self._start()
