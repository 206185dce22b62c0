"""Turns: start-time fair queuing over the workspaces at one target.

Each request gets a start tag: the larger of the queue's virtual time and the
finish tag of the workspace's last request.  The lowest start tag goes first, so
a workspace with much demand waits behind its own work, and one that was idle
banks nothing (Goyal, Vin and Cheng, 1996).
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field


@dataclass(order=True, slots=True)
class Ticket:
    """A queued request.

    Attributes
    ----------
    start : float
        Start tag, in units of service divided by weight.
    deadline : float
        Clock reading, in seconds, after which it must not start.
    """

    start: float
    sequence: int
    request: str = field(compare=False)
    workspace: str = field(compare=False)
    deadline: float = field(compare=False)
    cancelled: bool = field(compare=False, default=False)


class TurnQueue:
    """The queue of one target in one daemon."""

    def __init__(self) -> None:
        self._heap: list[Ticket] = []
        self._tickets_by_request: dict[str, Ticket] = {}
        self._finish_by_workspace: dict[str, float] = {}
        self._virtual = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._tickets_by_request)

    def push(
        self, request: str, workspace: str, cost: float, weight: float, deadline: float
    ) -> Ticket:
        """Queue a request of ``cost`` units."""
        start = max(self._virtual, self._finish_by_workspace.get(workspace, 0.0))
        self._finish_by_workspace[workspace] = start + cost / weight
        self._sequence += 1
        ticket = Ticket(start, self._sequence, request, workspace, deadline)
        heapq.heappush(self._heap, ticket)
        self._tickets_by_request[request] = ticket
        return ticket

    def pop(self) -> Ticket | None:
        """Take the request whose turn it is."""
        while self._heap:
            ticket = heapq.heappop(self._heap)
            if ticket.cancelled:
                continue
            del self._tickets_by_request[ticket.request]
            self._virtual = ticket.start
            return ticket
        return None

    def cancel(self, request: str) -> bool:
        """Take a request out; False when it was not queued any more."""
        ticket = self._tickets_by_request.pop(request, None)
        if ticket is None:
            return False
        ticket.cancelled = True
        return True
