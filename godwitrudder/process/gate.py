"""The turn gate of one target: waiting greenlets, and the turns that they hold.

Whatever ends a wait or a turn (the turn comes, the deadline passes, the caller
hangs up and its greenlet is killed), the request leaves the queue or gives its slot
back exactly once.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

from gevent.event import Event

from godwitrudder.clock import Clock
from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.turn import Ticket, TurnQueue
from godwitrudder.version.document import TurnModel

QUEUED_MOST: Final = 10_000
LIGHT_SHARE: Final = 0.125
HOPELESS_WAITS: Final = 1.5


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


@dataclass(slots=True)
class Service:
    """What a workspace was served since the last report."""

    units: float = 0.0
    busy_seconds: float = 0.0


@dataclass(slots=True, eq=False)
class _Waiter:
    ticket: Ticket
    started: Event = field(default_factory=Event)
    started_at: float = 0.0


class TurnGate:
    """Hands out the turns of one target.

    Attributes
    ----------
    slots : int
        Requests that this daemon may have running.
    """

    def __init__(self, target: str, clock: Clock) -> None:
        self.target = target
        self.slots = 0
        self.running = 0
        self.level = 0.0
        self.queue = TurnQueue()
        self.service_by_workspace: dict[str, Service] = {}
        self.load_by_workspace: dict[str, float] = {}
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
        refused = self._overloaded(workspace, rules)
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
            turn.priority = self.priority(workspace)
            yield turn
        finally:
            used = turn.used if rules.unit == "tokens" else None
            self._leave(waiter, units if used is None else used)

    def priority(self, workspace: str) -> float:
        """Return the demand of a workspace in multiples of its share."""
        held = self.load_by_workspace.get(workspace)
        if held is not None:
            return held
        backlog = self.queue.backlogs_by_workspace.get(workspace)
        if backlog is None or not self.level:
            return 0.0
        return min(1.0, backlog.demand / (self.level * backlog.weight))

    def start_next(self) -> None:
        """Start queued requests while slots are free.

        Workspaces with nothing running may exceed the slots a little: engines
        batch, and the priority lets their short work pass.
        """
        while self.running < self.slots:
            if not self._start(light_only=False):
                return
        extra = max(1, int(self.slots * LIGHT_SHARE)) if self.slots else 0
        while self.running < self.slots + extra:
            if not self._start(light_only=True):
                return

    def take_shares(self, answer: ShareAnswer) -> None:
        """Follow the aggregator's answer."""
        self.level = answer.level
        held = answer.held
        self.queue.fraction_by_workspace = {one.workspace: one.fraction for one in held}
        self.load_by_workspace = {one.workspace: one.load for one in held}
        self.set_slots(answer.slots)

    def set_slots(self, slots: float) -> None:
        """Set the slots; a gate with any keeps one, so that nobody starves."""
        self.slots = max(1, round(slots)) if slots > 0 else 0
        self.start_next()

    def _start(self, light_only: bool) -> bool:
        now = self._clock.now()
        ticket = self.queue.pop(now, light_only)
        if ticket is None:
            return False
        waiter = self._waiters_by_ticket[ticket]
        waiter.started_at = now
        self.running += 1
        waiter.started.set()
        return True

    def _overloaded(self, workspace: str, rules: TurnModel) -> Refused | None:
        """Refuse early what would only be refused at its deadline."""
        wait = self.queue.expected_wait(workspace)
        full = self.queue.queued(workspace) >= rules.queue_limit
        hopeless = wait > HOPELESS_WAITS * rules.deadline_seconds
        if full or hopeless or len(self.queue) >= QUEUED_MOST:
            after = max(1.0, wait - rules.deadline_seconds)
            return refuse(Reason.OVERLOADED, round(after, 1), target=self.target)
        return None

    def _queue(self, waiter: _Waiter, rules: TurnModel) -> None:
        self._waiters_by_ticket[waiter.ticket] = waiter
        weight = rules.weights_by_workspace.get(waiter.ticket.workspace, 1.0)
        self.queue.push(waiter.ticket, weight, self._clock.now())
        self.start_next()

    def _leave(self, waiter: _Waiter, cost: float) -> None:
        """End the turn or leave the queue, whichever applies, once."""
        if self._waiters_by_ticket.pop(waiter.ticket, None) is None:
            return
        if not waiter.ticket.started:
            self.queue.cancel(waiter.ticket)
            return
        workspace = waiter.ticket.workspace
        service = self.service_by_workspace.setdefault(workspace, Service())
        service.units += cost
        service.busy_seconds += self._clock.now() - waiter.started_at
        self.running -= 1
        self.queue.end(waiter.ticket, cost)
        self.start_next()
