"""The turn gate of one target: greenlets wait for a slot and hold it as a turn.

A wait ends when a slot is assigned, when the deadline passes, or when the caller
disconnects and its greenlet is killed.  In each case the request leaves the queue or
returns its slot exactly once.
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
    """A started request, which holds a slot.

    Attributes
    ----------
    priority : float
        Priority at the engine; lower values go first.  It is the workspace's demand
        in multiples of its share, the same measure at every router.
    used_tokens : float or None
        Actual cost in tokens, set before the turn ends; None if it equals the cost
        stated at the start.
    """

    priority: float
    used_tokens: float | None = None


@dataclass(slots=True, eq=False)
class _Waiter:
    ticket: Ticket
    started: Event = field(default_factory=Event)


class TurnGate:
    """Admits the requests for one target as slots become free."""

    def __init__(self, target: str, clock: Clock) -> None:
        self.slots = Slots(target)
        self._clock = clock
        self._waiters_by_ticket: dict[Ticket, _Waiter] = {}

    @contextmanager
    def turn(
        self, request: str, workspace: str, cost: float, rules: TurnModel
    ) -> Iterator[Turn | Refused]:
        """Wait for a turn and hold it until the block ends.

        Parameters
        ----------
        cost : float
            Upper bound of the cost, in tokens; ignored if the target counts requests.

        Yields
        ------
        Turn or Refused
            The turn, or a refusal after the request has left the queue.
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
            self._enqueue(waiter, rules)
            waiter.started.wait(rules.deadline_seconds)
            if not waiter.ticket.started:
                self._release(waiter, units)
                yield refuse(Reason.DEADLINE, 1.0)
                return
            turn.priority = self.slots.priority(workspace)
            yield turn
        finally:
            used = turn.used_tokens if rules.unit == "tokens" else None
            self._release(waiter, units if used is None else used)

    def apply_shares(self, answer: ShareAnswer) -> None:
        """Set slots and shares from the aggregator's answer and start requests."""
        self.slots.take_shares(answer)
        self._start_queued()

    def _start_queued(self) -> None:
        for ticket in self.slots.start(self._clock.now()):
            self._waiters_by_ticket[ticket].started.set()

    def _enqueue(self, waiter: _Waiter, rules: TurnModel) -> None:
        self._waiters_by_ticket[waiter.ticket] = waiter
        weight = rules.weights_by_workspace.get(waiter.ticket.workspace, 1.0)
        self.slots.queue.push(waiter.ticket, weight, self._clock.now())
        self._start_queued()

    def _release(self, waiter: _Waiter, cost: float) -> None:
        """End the turn or leave the queue; a second call does nothing."""
        if self._waiters_by_ticket.pop(waiter.ticket, None) is None:
            return
        if not waiter.ticket.started:
            self.slots.queue.cancel(waiter.ticket)
            return
        self.slots.end(waiter.ticket, cost, self._clock.now())
        self._start_queued()
