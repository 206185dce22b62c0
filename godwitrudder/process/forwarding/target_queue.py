"""State of the queue of one target, and of the requests that wait in it."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.event import Event

from godwitrudder.process.forwarding.forwarded_request import ForwardedRequest
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.queueing.admission import (
    DrainRate,
    RecentRate,
)
from godwitrudder.request.queueing.headroom import MeanSize, Memory
from godwitrudder.request.queueing.share import HostShare
from godwitrudder.request.queueing.wait_queue import QueuedRequest, WaitQueue
from godwitrudder.request.service_times import ServiceTimes
from godwitrudder.version.catalogue import Target


@dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request.

    Attributes
    ----------
    runner : Candidate or None
        Runner that it is assigned to from its start until its greenlet runs.
    share_key : int
        Key in this host's share during that time.
    left : Event
        Set once it has started or must leave.
    draining : bool
        Whether it must leave because this host drains.
    """

    forwarded: ForwardedRequest
    queued: QueuedRequest
    runner: Candidate | None = None
    started: bool = False
    share_key: int = 0
    draining: bool = False
    left: Event = field(default_factory=Event)


@dataclass(slots=True)
class TargetQueue:
    """The queue of one target and what admission to it depends on.

    Attributes
    ----------
    reporting : Candidate or None
        A runner that has said how long work takes; None if none has.
    busy : bool
        Whether requests wait, or did so within ``CALM_SECONDS``.
    began_at, left_at : float
        Monotonic seconds at which it became busy, and at which a request last left.
    longest : int
        Most requests that waited since it became busy.
    """

    waiting: WaitQueue
    rate: DrainRate = field(default_factory=DrainRate)
    demand: RecentRate = field(default_factory=RecentRate)
    service: ServiceTimes = field(default_factory=ServiceTimes)
    mean_size: MeanSize = field(default_factory=MeanSize)
    share: HostShare = field(default_factory=HostShare)
    reporting: Candidate | None = None
    is_on: bool = False
    busy: bool = False
    began_at: float = 0.0
    left_at: float = 0.0
    longest: int = 0

    def memory(self, forwarded: ForwardedRequest) -> Memory:
        """Return the memory of each of the target's engines."""
        return engine_memory(forwarded.target, self.mean_size.tokens)


def engine_memory(target: Target, mean: float) -> Memory:
    """Return the memory of each engine of a target.

    Parameters
    ----------
    mean : float
        Mean size of other hosts' requests, in tokens.
    """
    engine = target.engine
    return Memory(engine.memory_tokens if engine else 0, mean)
