"""The slots of one target at one router: who runs, who waits, who goes next.

Plain decisions over a turn queue; the gate of the process gives it waiting
greenlets.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.turn import Ticket, TurnQueue
from godwitrudder.version.document import TurnModel

QUEUED_MOST: Final = 10_000
LIGHT_SHARE: Final = 0.5
LIGHT_LEAST: Final = 4
HOPELESS_WAITS: Final = 1.5


@dataclass(slots=True)
class Service:
    """What a workspace was served since the last report.

    Attributes
    ----------
    units : float
        Tokens or requests, by the target's unit.
    busy_seconds : float
        Seconds that its requests held slots.
    """

    units: float = 0.0
    busy_seconds: float = 0.0


class Slots:
    """The turns of one target.

    Attributes
    ----------
    slots : int
        Requests that may run at once.
    level : float
        Slots per unit of weight for a held workspace; 0 where none is held.
    load_by_workspace : dict
        Demand of held workspaces over the fleet, in multiples of their share.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.slots = 0
        self.running = 0
        self.level = 0.0
        self.queue = TurnQueue()
        self.service_by_workspace: dict[str, Service] = {}
        self.load_by_workspace: dict[str, float] = {}

    def overloaded(self, workspace: str, rules: TurnModel) -> Refused | None:
        """Refuse early what would only be refused at its deadline."""
        wait = self.queue.expected_wait(workspace)
        full = self.queue.queued(workspace) >= rules.queue_limit
        hopeless = wait > HOPELESS_WAITS * rules.deadline_seconds
        if full or hopeless or len(self.queue) >= QUEUED_MOST:
            after = max(1.0, wait - rules.deadline_seconds)
            return refuse(Reason.OVERLOADED, round(after, 1), target=self.target)
        return None

    def start(self, now: float) -> Iterator[Ticket]:
        """Start queued requests while slots are free, and yield them.

        Workspaces that are not held to their share may exceed the slots a
        little: the aggregator keeps some free for them.
        """
        extra = max(LIGHT_LEAST, int(self.slots * LIGHT_SHARE)) if self.slots else 0
        while self.running < self.slots + extra:
            light_only = self.running >= self.slots
            ticket = self.queue.pop(now, light_only)
            if ticket is None:
                return
            self.running += 1
            yield ticket

    def end(self, ticket: Ticket, cost: float, now: float) -> None:
        """End a started request that cost ``cost`` units."""
        service = self.service_by_workspace.setdefault(ticket.workspace, Service())
        service.units += cost
        service.busy_seconds += now - ticket.started_at
        self.running -= 1
        self.queue.end(ticket, cost)

    def priority(self, workspace: str) -> float:
        """Return the demand of a workspace in multiples of its share.

        The same measure at every router, so that engines can order by it; the
        lower one goes first.
        """
        held = self.load_by_workspace.get(workspace)
        if held is not None:
            return held
        backlog = self.queue.backlogs_by_workspace.get(workspace)
        if backlog is None or not self.level:
            return 0.0
        return min(1.0, backlog.demand / (self.level * backlog.weight))

    def take_shares(self, answer: ShareAnswer) -> None:
        """Follow the aggregator's answer."""
        held = answer.held
        self.level = answer.level
        self.load_by_workspace = {one.workspace: one.load for one in held}
        self.queue.fraction_by_workspace = {one.workspace: one.fraction for one in held}
        self.set_slots(answer.slots)

    def set_slots(self, slots: float) -> None:
        """Set the slots; who has any keeps one, so that nobody starves."""
        self.slots = max(1, round(slots)) if slots > 0 else 0
