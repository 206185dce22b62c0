"""Slots of one target at one router: which requests run, wait and start next.

Decides without I/O on top of a ``TurnQueue``. The waiting greenlets are in
``process.gate``.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from godwitrudder.connection.shares import ShareAnswer
from godwitrudder.request.outcome import Reason, Refused, refuse
from godwitrudder.request.turn import Ticket, TurnQueue
from godwitrudder.version.document import TurnModel

# Requests queued for a target at one router.
MAX_QUEUED_REQUESTS: Final = 10_000
LIGHT_EXTRA_SHARE: Final = 0.5
MIN_LIGHT_EXTRA: Final = 4
# Longest expected wait of an accepted request, in multiples of its deadline.
MAX_EXPECTED_WAIT_DEADLINES: Final = 1.5


@dataclass(slots=True)
class ServedWork:
    """Work done for a workspace since the last report.

    Attributes
    ----------
    units : float
        Tokens or requests, depending on the target's unit.
    busy_seconds : float
        Seconds for which its requests held slots.
    """

    units: float = 0.0
    busy_seconds: float = 0.0


class Slots:
    """The slots and the queue of one target.

    Attributes
    ----------
    slots : int
        Requests that may run at a time.
    level : float
        Slots per unit of weight for a limited workspace; 0 if none is limited.
    load_by_workspace : dict
        Demand of the limited workspaces over the fleet, in multiples of their share.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.slots = 0
        self.running = 0
        self.level = 0.0
        self.queue = TurnQueue()
        self.served_by_workspace: dict[str, ServedWork] = {}
        self.load_by_workspace: dict[str, float] = {}

    def overloaded(self, workspace: str, rules: TurnModel) -> Refused | None:
        """Refuse a request early if a queue is full or it would expire there."""
        wait = self.queue.expected_wait(workspace)
        full = self.queue.queued(workspace) >= rules.queue_limit
        past_deadline = wait > MAX_EXPECTED_WAIT_DEADLINES * rules.deadline_seconds
        if full or past_deadline or len(self.queue) >= MAX_QUEUED_REQUESTS:
            after = max(1.0, wait - rules.deadline_seconds)
            return refuse(Reason.OVERLOADED, round(after, 1), target=self.target)
        return None

    def start(self, now: float) -> Iterator[Ticket]:
        """Start queued requests while slots are free, and yield them.

        Requests of workspaces that are not limited to their share may exceed the slots
        by ``LIGHT_EXTRA_SHARE``, at least by ``MIN_LIGHT_EXTRA`` requests. The
        aggregator keeps some slots free for them.
        """
        extra = (
            max(MIN_LIGHT_EXTRA, int(self.slots * LIGHT_EXTRA_SHARE))
            if self.slots
            else 0
        )
        while self.running < self.slots + extra:
            light_only = self.running >= self.slots
            ticket = self.queue.pop(now, light_only)
            if ticket is None:
                return
            self.running += 1
            yield ticket

    def end(self, ticket: Ticket, cost: float, now: float) -> None:
        """End a started request that cost ``cost`` units."""
        service = self.served_by_workspace.setdefault(ticket.workspace, ServedWork())
        service.units += cost
        service.busy_seconds += now - ticket.started_at
        self.running -= 1
        self.queue.end(ticket, cost)

    def priority(self, workspace: str) -> float:
        """Return the demand of a workspace in multiples of its share.

        Every router uses the same measure, so engines can order requests by it; the
        lower one runs first.
        """
        held = self.load_by_workspace.get(workspace)
        if held is not None:
            return held
        backlog = self.queue.backlogs_by_workspace.get(workspace)
        if backlog is None or not self.level:
            return 0.0
        return min(1.0, backlog.demand / (self.level * backlog.weight))

    def take_shares(self, answer: ShareAnswer) -> None:
        """Apply the shares of an aggregator's answer."""
        held = answer.held
        self.level = answer.level
        self.load_by_workspace = {one.workspace: one.load for one in held}
        self.queue.fraction_by_workspace = {one.workspace: one.fraction for one in held}
        self.set_slots(answer.slots)

    def set_slots(self, slots: float) -> None:
        """Set the slots; any share gives at least one slot, to avoid starvation."""
        self.slots = max(1, round(slots)) if slots > 0 else 0
