"""Turns: start-time fair queuing over the workspaces of one target.

A workspace's next request has a start tag: the larger of the virtual time at which the
workspace became active and the finish tag of its last started request. The request with
the lowest start tag runs next. A workspace with much demand therefore waits behind its
own work, and an idle one accumulates no credit (Goyal, Vin and Cheng, 1996). Tags are
kept per workspace, not per request, so a request that leaves the queue early was never
charged and leaves no state.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

# Started requests between two sweeps that drop idle workspaces.
SWEEP_EVERY_STARTS: Final = 256
# Lower bound of a fraction, so that no weight is zero.
MIN_FRACTION: Final = 0.001
# Weight of the newest interval in the mean.
INTERVAL_GAIN: Final = 0.2


@dataclass(slots=True, eq=False)
class Ticket:
    """A queued or started request.

    Attributes
    ----------
    cost : float
        Charge to its workspace, in units of service.
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
    """Queued and running requests of one workspace at this daemon.

    Attributes
    ----------
    activated_at : float
        Virtual time at which it last became active.
    finish_tag : float
        Finish tag of its last started request, corrected to the true cost.
    interval_seconds : float
        Mean time between its starts while more requests were queued.
    """

    activated_at: float
    weight: float = 1.0
    finish_tag: float = 0.0
    running: int = 0
    interval_seconds: float = 0.0
    waiting_since: float = 0.0
    tickets_by_request: OrderedDict[str, Ticket] = field(default_factory=OrderedDict)

    @property
    def start_tag(self) -> float:
        """Start tag of its next request."""
        return max(self.activated_at, self.finish_tag)

    @property
    def demand(self) -> int:
        """Number of queued and running requests."""
        return self.running + len(self.tickets_by_request)


class TurnQueue:
    """The queue of one target in one daemon.

    Attributes
    ----------
    fraction_by_workspace : mapping
        For each workspace that is limited to its share over the fleet: the part of its
        demand that entered at this daemon. Its weight here is that part of its weight.
    """

    def __init__(self) -> None:
        self.backlogs_by_workspace: dict[str, Backlog] = {}
        self.fraction_by_workspace: Mapping[str, float] = {}
        self._queued = 0
        self._virtual_time = 0.0
        self._starts = 0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._queued

    def queued(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        backlog = self.backlogs_by_workspace.get(workspace)
        return 0 if backlog is None else len(backlog.tickets_by_request)

    def expected_wait(self, workspace: str) -> float:
        """Return the expected wait of a new request in seconds, from recent starts."""
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
            backlog.activated_at = self._virtual_time
            backlog.waiting_since = now
        backlog.weight = weight
        backlog.tickets_by_request[ticket.request] = ticket
        self._queued += 1

    def pop(self, now: float, light_only: bool = False) -> Ticket | None:
        """Take the next request in turn, None if there is none; skip expired ones.

        Parameters
        ----------
        light_only : bool
            Consider only workspaces that are not limited to their share.
        """
        while True:
            backlog = self._next(light_only)
            if backlog is None:
                return None
            _, ticket = backlog.tickets_by_request.popitem(last=False)
            self._queued -= 1
            if ticket.deadline <= now:
                self._drop_if_idle(ticket.workspace)
                continue
            self._start(backlog, ticket, now)
            return ticket

    def peek(self) -> Ticket | None:
        """Return the request that ``pop`` takes if none has expired."""
        backlog = self._next(False)
        if backlog is None:
            return None
        return next(iter(backlog.tickets_by_request.values()))

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a request; return False if it was no longer queued."""
        backlog = self.backlogs_by_workspace.get(ticket.workspace)
        if backlog is None or ticket.request not in backlog.tickets_by_request:
            return False
        del backlog.tickets_by_request[ticket.request]
        self._queued -= 1
        self._drop_if_idle(ticket.workspace)
        return True

    def end(self, ticket: Ticket, cost: float) -> None:
        """End a started request and correct its charge to the true ``cost``."""
        backlog = self.backlogs_by_workspace[ticket.workspace]
        backlog.running -= 1
        backlog.finish_tag += (cost - ticket.cost) / self._weight(
            ticket.workspace, backlog
        )
        self._drop_if_idle(ticket.workspace)

    def _next(self, light_only: bool) -> Backlog | None:
        waiting = (
            backlog
            for workspace, backlog in self.backlogs_by_workspace.items()
            if backlog.tickets_by_request
            and not (light_only and workspace in self.fraction_by_workspace)
        )
        return min(waiting, key=lambda backlog: backlog.start_tag, default=None)

    def _start(self, backlog: Backlog, ticket: Ticket, now: float) -> None:
        start = backlog.start_tag
        self._virtual_time = max(self._virtual_time, start)
        backlog.finish_tag = start + ticket.cost / self._weight(
            ticket.workspace, backlog
        )
        backlog.running += 1
        waited = now - backlog.waiting_since
        backlog.interval_seconds += INTERVAL_GAIN * (waited - backlog.interval_seconds)
        backlog.waiting_since = now
        ticket.started = True
        ticket.started_at = now
        self._starts += 1
        if self._starts % SWEEP_EVERY_STARTS == 0:
            for workspace in list(self.backlogs_by_workspace):
                self._drop_if_idle(workspace)

    def _weight(self, workspace: str, backlog: Backlog) -> float:
        fraction = self.fraction_by_workspace.get(workspace, 1.0)
        return backlog.weight * max(fraction, MIN_FRACTION)

    def _drop_if_idle(self, workspace: str) -> None:
        """Drop an idle workspace once its finish tag is in the past.

        If no request is queued or running at all, drop every workspace.
        """
        backlog = self.backlogs_by_workspace[workspace]
        if backlog.demand == 0 and backlog.finish_tag <= self._virtual_time:
            del self.backlogs_by_workspace[workspace]
        if not self._queued and all(
            other.running == 0 for other in self.backlogs_by_workspace.values()
        ):
            self.backlogs_by_workspace.clear()
