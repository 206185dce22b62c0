"""The requests that wait for headroom at one target, in the order in which they start.

The order is by rank, 0 first. Within a rank, workspaces take turns. A rank whose oldest
request has waited for half of its latency objective gets one start in eight, however
urgent the others are.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.request.turn import Ticket, TurnQueue

STARVING_SHARE: Final = 0.5
"""Share of the latency objective after which a rank counts as starving: a request that
waits longer leaves the runner too little time to meet the objective."""
STARTS_PER_STARVING_START: Final = 8
"""A starving rank gets one start in this many. A rank that is served a quarter as often
as all breaks a service level, and more would delay the most urgent."""
MAX_REQUESTS: Final = 2000
"""Most requests that wait at a host, for all targets together."""
MAX_BYTES: Final = 32_000_000
"""Most bytes of waiting requests at a host, for all targets together."""
MEMORY_SHARE: Final = 0.125
"""Share of the host's memory limit that waiting requests may take."""


@dataclass(frozen=True, slots=True, eq=False)
class QueuedRequest:
    """A waiting request.

    Attributes
    ----------
    key : str
        Unique among the waiting requests of the host.
    rank : int
        Priority; 0 is the most urgent.
    arrived : float
        Clock reading at which it began to wait, in seconds.
    objective : float
        Latency objective, in seconds.
    size : int
        Memory that it takes, in bytes.
    """

    key: str
    rank: int
    workspace: str
    arrived: float
    objective: float
    size: int


@dataclass(slots=True)
class QueueBounds:
    """Bounds of all queues of a host together, and what they hold.

    Attributes
    ----------
    max_bytes : int
        Most bytes of waiting requests.
    """

    max_bytes: int = MAX_BYTES
    requests: int = 0
    bytes: int = 0

    def admits(self, size: int) -> bool:
        """Whether a request of ``size`` bytes may wait."""
        return self.requests < MAX_REQUESTS and self.bytes + size <= self.max_bytes

    @staticmethod
    def for_memory(memory_bytes: float) -> QueueBounds:
        """Return the bounds of a host with this memory limit; 0 if it is unknown."""
        if memory_bytes <= 0:
            return QueueBounds()
        return QueueBounds(min(MAX_BYTES, int(memory_bytes * MEMORY_SHARE)))


@dataclass(slots=True)
class _Rank:
    """Waiting requests of one rank, oldest first, and the turns of its workspaces.

    Attributes
    ----------
    passed_over : int
        Starts of more urgent ranks since it began to starve or last started one.
    """

    turns: TurnQueue = field(default_factory=TurnQueue)
    ticket_by_key: OrderedDict[str, tuple[QueuedRequest, Ticket]] = field(
        default_factory=OrderedDict
    )
    passed_over: int = 0

    def is_starving(self, now: float) -> bool:
        """Whether its oldest request has waited for too much of its objective."""
        oldest, _ = next(iter(self.ticket_by_key.values()))
        return now - oldest.arrived > oldest.objective * STARVING_SHARE


class WaitQueue:
    """The waiting requests of one target."""

    def __init__(self, bounds: QueueBounds) -> None:
        self._bounds = bounds
        self._ranks_by_number: dict[int, _Rank] = {}
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self._length

    def push(self, request: QueuedRequest) -> None:
        """Let a request wait; the caller has checked the bounds."""
        rank = self._ranks_by_number.setdefault(request.rank, _Rank())
        ticket = Ticket(request.key, request.workspace, 1.0, math.inf)
        rank.ticket_by_key[request.key] = (request, ticket)
        rank.turns.push(ticket, 1.0, request.arrived)
        self._count(request, 1)

    def next(self, now: float) -> QueuedRequest | None:
        """Return the request that starts next, None if none waits."""
        rank = self._next_rank(now)
        if rank is None:
            return None
        ticket = rank.turns.peek()
        assert ticket is not None
        return rank.ticket_by_key[ticket.request][0]

    def start(self, now: float) -> QueuedRequest | None:
        """Take the request that starts next out of the queue."""
        chosen = self._next_rank(now)
        if chosen is None:
            return None
        ticket = chosen.turns.pop(now)
        assert ticket is not None
        chosen.turns.end(ticket, ticket.cost)
        request, _ = chosen.ticket_by_key.pop(ticket.request)
        self._count(request, -1)
        for rank in self._waiting():
            if rank is not chosen and rank.is_starving(now):
                rank.passed_over += 1
        chosen.passed_over = 0
        return request

    def remove(self, request: QueuedRequest) -> bool:
        """Take a request out that did not start; return False if it had left."""
        rank = self._ranks_by_number[request.rank]
        found = rank.ticket_by_key.pop(request.key, None)
        if found is None:
            return False
        rank.turns.cancel(found[1])
        self._count(request, -1)
        return True

    def ahead(self, rank: int, workspace: str) -> int:
        """Return how many waiting requests start before a new one.

        Within its rank, each other workspace starts as many requests as the new one's
        workspace until then.
        """
        total = 0
        for number, other in self._ranks_by_number.items():
            if number < rank:
                total += len(other.ticket_by_key)
            elif number == rank:
                turns = other.turns
                own = turns.queued(workspace)
                total += own + sum(
                    min(own + 1, turns.queued(name))
                    for name in turns.backlogs_by_workspace
                    if name != workspace
                )
        return total

    def _next_rank(self, now: float) -> _Rank | None:
        """Return the rank of the next start: a starving one that is due, or the first.

        Of several ranks that are due, the one passed over most often comes first.
        """
        first: _Rank | None = None
        due: _Rank | None = None
        for rank in self._waiting():
            first = first or rank
            passed_over = rank.passed_over >= STARTS_PER_STARVING_START - 1
            if passed_over and rank.is_starving(now):
                if due is None or rank.passed_over > due.passed_over:
                    due = rank
        return due or first

    def _waiting(self) -> Iterator[_Rank]:
        """Yield the ranks with waiting requests, the most urgent first."""
        for _, rank in sorted(self._ranks_by_number.items(), key=lambda item: item[0]):
            if rank.ticket_by_key:
                yield rank

    def _count(self, request: QueuedRequest, sign: int) -> None:
        self._length += sign
        self._bounds.requests += sign
        self._bounds.bytes += sign * request.size
