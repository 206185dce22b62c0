"""The turn desk: one queue per target, as many turns as the runners have slots."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from gevent.event import Event

from godwitrudder.clock import Clock
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.turn import TurnQueue
from godwitrudder.version.document import TurnModel


class TurnGate:
    """Hands out the turns of one target."""

    def __init__(self, target: str, clock: Clock) -> None:
        self.target = target
        self.slots = 0
        self.running = 0
        self._clock = clock
        self._queue = TurnQueue()
        self._started_by_request: dict[str, Event] = {}

    @contextmanager
    def turn(
        self, request: str, workspace: str, cost: float, rules: TurnModel
    ) -> Iterator[Refused | None]:
        """Wait for a turn; it ends with the block.

        Yields
        ------
        Refused or None
            None once the turn has come.
        """
        refused = self._wait(request, workspace, cost, rules)
        if refused is not None:
            yield refused
            return
        try:
            yield None
        finally:
            self.running -= 1
            self.start_next()

    def start_next(self) -> None:
        """Start queued requests while slots are free."""
        while self.running < self.slots:
            ticket = self._queue.pop()
            if ticket is None:
                return
            self.running += 1
            self._started_by_request.pop(ticket.request).set()

    def _wait(
        self, request: str, workspace: str, cost: float, rules: TurnModel
    ) -> Refused | None:
        if len(self._queue) >= rules.queue_limit:
            return refuse(Reason.OVERLOADED, 1.0, target=self.target)
        deadline = self._clock.now() + rules.deadline_seconds
        weight = rules.weights_by_workspace.get(workspace, 1.0)
        started = self._started_by_request[request] = Event()
        self._queue.push(request, workspace, cost, weight, deadline)
        self.start_next()
        try:
            started.wait(rules.deadline_seconds)
        except BaseException:
            self._withdraw(request)
            raise
        if started.is_set() or not self._queue.cancel(request):
            return None
        del self._started_by_request[request]
        return refuse(Reason.DEADLINE, 1.0)

    def _withdraw(self, request: str) -> None:
        """Free the place, or the turn, of a request that nobody waits for."""
        if self._queue.cancel(request):
            del self._started_by_request[request]
            return
        self.running -= 1
        self.start_next()
