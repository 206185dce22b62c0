"""Turns: start-time fair queuing over the workspaces at one target.

A workspace's next request carries a start tag: the larger of the virtual time at
which the workspace became active and the finish tag of its last started request.
The lowest start tag goes first, so a workspace with much demand waits behind its
own work, and one that was idle banks nothing (Goyal, Vin and Cheng, 1996).  Tags
are kept per workspace, not per request: a request that leaves the queue early
was never charged, and its memory goes with it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

FORGET_EVERY_STARTS: Final = 256
FRACTION_LEAST: Final = 0.001
INTERVAL_GAIN: Final = 0.2


@dataclass(slots=True, eq=False)
class Ticket:
    """A queued or started request.

    Attributes
    ----------
    cost : float
        What its workspace is charged, in units of service.
    deadline : float
        Clock reading, in seconds, after which it must not start.
    """

    request: str
    workspace: str
    cost: float
    deadline: float
    started: bool = False
    started_at: float = 0.0


@dataclass(slots=True)
class Backlog:
    """What one workspace has queued and running here.

    Attributes
    ----------
    floor : float
        Virtual time when it last became active.
    finish : float
        Finish tag of its last started request, corrected by true counts.
    interval_seconds : float
        Mean time between its starts while it had more queued.
    """

    floor: float
    weight: float = 1.0
    finish: float = 0.0
    running: int = 0
    interval_seconds: float = 0.0
    waiting_since: float = 0.0
    tickets_by_request: OrderedDict[str, Ticket] = field(default_factory=OrderedDict)

    @property
    def start(self) -> float:
        """Start tag of its next request."""
        return max(self.floor, self.finish)

    @property
    def demand(self) -> int:
        """Requests queued and running."""
        return self.running + len(self.tickets_by_request)


class TurnQueue:
    """The queue of one target in one daemon.

    Attributes
    ----------
    fraction_by_workspace : mapping
        For a workspace that is held to its share over the fleet: how much of its
        demand entered here.  Its weight here is that part of its weight.
    """

    def __init__(self) -> None:
        self.backlogs_by_workspace: dict[str, Backlog] = {}
        self.fraction_by_workspace: Mapping[str, float] = {}
        self._queued = 0
        self._virtual = 0.0
        self._starts = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._queued

    def queued(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        backlog = self.backlogs_by_workspace.get(workspace)
        return 0 if backlog is None else len(backlog.tickets_by_request)

    def expected_wait(self, workspace: str) -> float:
        """Return the seconds that a new request would wait, by recent starts."""
        backlog = self.backlogs_by_workspace.get(workspace)
        if backlog is None:
            return 0.0
        return len(backlog.tickets_by_request) * backlog.interval_seconds

    def push(self, ticket: Ticket, weight: float, now: float) -> None:
        """Queue a request."""
        backlog = self.backlogs_by_workspace.get(ticket.workspace)
        if backlog is None:
            backlog = self.backlogs_by_workspace[ticket.workspace] = Backlog(0.0)
        if not backlog.tickets_by_request:
            backlog.floor = self._virtual
            backlog.waiting_since = now
        backlog.weight = weight
        backlog.tickets_by_request[ticket.request] = ticket
        self._queued += 1

    def pop(self, now: float, light_only: bool = False) -> Ticket | None:
        """Take the request whose turn it is.

        Parameters
        ----------
        light_only : bool
            Look only at workspaces that are not held to their share.
        """
        while True:
            backlog = self._next(light_only)
            if backlog is None:
                return None
            _, ticket = backlog.tickets_by_request.popitem(last=False)
            self._queued -= 1
            if ticket.deadline <= now:
                self._forget(ticket.workspace)
                continue
            self._start(backlog, ticket, now)
            return ticket

    def cancel(self, ticket: Ticket) -> bool:
        """Take a request out; False when it was not queued any more."""
        backlog = self.backlogs_by_workspace.get(ticket.workspace)
        if backlog is None or ticket.request not in backlog.tickets_by_request:
            return False
        del backlog.tickets_by_request[ticket.request]
        self._queued -= 1
        self._forget(ticket.workspace)
        return True

    def end(self, ticket: Ticket, cost: float) -> None:
        """End a started request and correct its charge to the true ``cost``."""
        backlog = self.backlogs_by_workspace[ticket.workspace]
        backlog.running -= 1
        backlog.finish += (cost - ticket.cost) / self._weight(ticket.workspace, backlog)
        self._forget(ticket.workspace)

    def _next(self, light_only: bool) -> Backlog | None:
        waiting = (
            backlog
            for workspace, backlog in self.backlogs_by_workspace.items()
            if backlog.tickets_by_request
            and not (light_only and workspace in self.fraction_by_workspace)
        )
        return min(waiting, key=lambda backlog: backlog.start, default=None)

    def _start(self, backlog: Backlog, ticket: Ticket, now: float) -> None:
        start = backlog.start
        self._virtual = max(self._virtual, start)
        backlog.finish = start + ticket.cost / self._weight(ticket.workspace, backlog)
        backlog.running += 1
        waited = now - backlog.waiting_since
        backlog.interval_seconds += INTERVAL_GAIN * (waited - backlog.interval_seconds)
        backlog.waiting_since = now
        ticket.started = True
        ticket.started_at = now
        self._starts += 1
        if self._starts % FORGET_EVERY_STARTS == 0:
            for workspace in list(self.backlogs_by_workspace):
                self._forget(workspace)

    def _weight(self, workspace: str, backlog: Backlog) -> float:
        fraction = self.fraction_by_workspace.get(workspace, 1.0)
        return backlog.weight * max(fraction, FRACTION_LEAST)

    def _forget(self, workspace: str) -> None:
        """Drop an idle workspace once its past no longer counts."""
        backlog = self.backlogs_by_workspace[workspace]
        if backlog.demand == 0 and backlog.finish <= self._virtual:
            del self.backlogs_by_workspace[workspace]
        if not self._queued and all(
            other.running == 0 for other in self.backlogs_by_workspace.values()
        ):
            self.backlogs_by_workspace.clear()
