"""Rate limits that runners name for all hosts together.

Hosts share a limit without a message for each request: time is divided into slots of
one request each, and the slots go to the hosts in turn.  A slot that its host did not
use at once stays valid for a while, so that unused slots are not all lost and never add
up to a burst.

Newer evidence about a runner replaces older evidence.  An answer that names a limit is
evidence as of its arrival; an answer without one only as of the time at which its
request was sent, since the runner may have written it before it named the limit.

Times are Unix seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

VALID_SLOTS: Final = 2.0
"""Slots of all hosts that stay valid beside those of the last ``VALID_SECONDS``."""
VALID_SECONDS: Final = 1.0
"""Time for which a slot that its host has not used stays valid."""
MIN_REQUESTS_PER_SECOND: Final = 0.1
"""Requests per second to a runner with a lower limit: without any, no answer would tell
that the limit is over."""
MAX_RUNNERS: Final = 1000
"""Runners remembered; the ones recorded least recently are forgotten first."""


@dataclass(frozen=True, slots=True)
class HostPosition:
    """Position of one host among all, which says which slots are its own.

    Attributes
    ----------
    index : int
        Number of the host among all hosts in one order, from 0.
    hosts : int
        Number of hosts.
    """

    index: int
    hosts: int

    @classmethod
    def among(cls, own: str, others: Iterable[str]) -> HostPosition:
        """Return the position of a host in the order of all hosts' names."""
        hosts = sorted({own, *others})
        return cls(hosts.index(own), len(hosts))


@dataclass(slots=True)
class RunnerLimit:
    """What is known about one runner.

    Attributes
    ----------
    per_second : float or None
        Requests per second from all hosts; None for no limit.
    at : float
        Time of the evidence.
    own : bool
        Whether the runner has named the limit to this host.
    next_slot_at : float
        Earliest begin of a slot that this host has not used.
    """

    per_second: float | None
    at: float
    own: bool
    next_slot_at: float = -math.inf

    def slot_at(self, position: HostPosition, now: float) -> float | None:
        """Return the begin of a valid slot that this host has not used, if any."""
        if self.per_second is None:
            return now
        rate = max(MIN_REQUESTS_PER_SECOND, self.per_second)
        since = now - VALID_SECONDS - VALID_SLOTS / rate
        offset = position.index / rate
        interval = position.hosts / rate
        earliest = max(self.next_slot_at, since)
        slot_at = math.ceil((earliest - offset) / interval) * interval + offset
        return slot_at if slot_at <= now else None

    def use_slot(self, slot_at: float, position: HostPosition) -> None:
        """Record that the host sends a request in a slot."""
        if self.per_second is not None:
            interval = position.hosts / max(MIN_REQUESTS_PER_SECOND, self.per_second)
            self.next_slot_at = slot_at + interval / 2


@dataclass(slots=True)
class RateLimits:
    """Rate limits of runners, as one host knows them."""

    _limits_by_runner: OrderedDict[str, RunnerLimit] = field(
        default_factory=OrderedDict
    )

    def record(
        self, runner: str, per_second: float | None, at: float, now: float, own: bool
    ) -> bool:
        """Record evidence about a runner; return whether it changes the limit.

        Parameters
        ----------
        per_second : float or None
            The limit; None if an answer named none.
        own : bool
            Whether the runner answered this host.
        """
        at = min(at, now)
        known = self._limits_by_runner.get(runner)
        if known is None:
            if per_second is None:
                return False
            self._limits_by_runner[runner] = RunnerLimit(per_second, at, own)
            while len(self._limits_by_runner) > MAX_RUNNERS:
                self._limits_by_runner.popitem(last=False)
            return True
        if at <= known.at:
            return False
        changed = per_second != known.per_second
        known.own = own or (known.own and not changed)
        known.per_second, known.at = per_second, at
        self._limits_by_runner.move_to_end(runner)
        return changed

    def permits(self, runner: str, position: HostPosition | None, now: float) -> bool:
        """Whether this host may send the runner a request now.

        Parameters
        ----------
        position : HostPosition or None
            None if the number of hosts is not known yet.
        """
        known = self._limits_by_runner.get(runner)
        if known is None or known.per_second is None:
            return True
        return position is not None and known.slot_at(position, now) is not None

    def take(self, runner: str, position: HostPosition | None, now: float) -> None:
        """Record that a request is sent to the runner."""
        known = self._limits_by_runner.get(runner)
        if known is None or position is None:
            return
        slot_at = known.slot_at(position, now)
        if slot_at is not None:
            known.use_slot(slot_at, position)

    def limited(self, runner: str) -> bool:
        """Whether a limit of the runner is in force."""
        known = self._limits_by_runner.get(runner)
        return known is not None and known.per_second is not None

    def own_limits(self) -> dict[str, RunnerLimit]:
        """Return the limits in force that runners have named to this host."""
        return {
            runner: limit
            for runner, limit in self._limits_by_runner.items()
            if limit.own and limit.per_second is not None
        }
