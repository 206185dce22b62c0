"""A host's share of the free headroom of a target, counted in requests.

All hosts read the same load reports. Until the next ones show what they have started
since, each starts no more than its share. The share is at least 1: the runners' own
queues take what exceeds their slots if more hosts than free slots act at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.queueing.headroom import (
    Memory,
    effective_slots,
    headroom,
)

SILENT_SECONDS: Final = 2.0
"""Time without a report of any other host after which their demand is unknown: four
rounds, in which 8 reports are expected."""
DEMAND_VALID_SECONDS: Final = 10.0
"""Time for which the demand that another host has stated counts. With 78 hosts, half of
them are heard in this time."""
UNREPORTED_SECONDS: Final = 0.5
"""Time after which a started request shows in load reports: one round between hosts."""
MEASURE_SECONDS: Final = 0.1
"""Interval between measurements of a target's headroom, which read all its runners."""
AMPLE_SHARE: Final = 0.5
"""Share of the slots that must be free for the headroom not to be divided. What hosts
start before they hear of each other does not fill half of a target."""


@dataclass(frozen=True, slots=True)
class TargetRoom:
    """What a target's runners can work on.

    Attributes
    ----------
    slots : float
        Slots, in proportion to how long work takes on the runners' machines.
    free : float
        Further requests that they can work on.
    """

    slots: float
    free: float

    @staticmethod
    def of(candidates: Iterable[Candidate], memory: Memory, now: float) -> TargetRoom:
        """Return the room at the runners that may be used."""
        slots = free = 0.0
        for each in candidates:
            if each.may_be_used:
                slots += effective_slots(each, now)
                free += max(0.0, headroom(each, memory, now))
        return TargetRoom(slots, free)


@dataclass(frozen=True, slots=True)
class Fraction:
    """This host's part of the demand of all hosts, 0 to 1.

    Attributes
    ----------
    silent : bool
        Whether it is an equal part because no other host was heard.
    """

    value: float
    silent: bool


@dataclass(slots=True)
class PeerDemands:
    """Requests per second by target that other hosts have stated."""

    _stated_by_host: dict[str, tuple[float, Mapping[str, float]]] = field(
        default_factory=dict
    )
    _heard_at: float = -math.inf

    def record(
        self, host: str, demand_by_target: Mapping[str, float], now: float
    ) -> None:
        """Record what another host has stated."""
        self._stated_by_host[host] = (now, demand_by_target)
        self._heard_at = now

    def fraction(self, target: str, own: float, hosts: int, now: float) -> Fraction:
        """Return this host's part of the demand for a target.

        Parameters
        ----------
        own : float
            Requests per second that arrive at this host.
        hosts : int
            Number of hosts; those not heard count with the mean of those heard.
        """
        equal = 1 / max(1, hosts)
        if now - self._heard_at > SILENT_SECONDS:
            return Fraction(equal, True)
        stated = [
            demand.get(target, 0.0)
            for at, demand in self._stated_by_host.values()
            if now - at <= DEMAND_VALID_SECONDS
        ]
        fleet = own + sum(stated) / len(stated) * (hosts - 1)
        return Fraction(own / fleet if fleet > 0 else equal, False)


@dataclass(slots=True)
class HostShare:
    """How many requests this host may start at one target.

    Attributes
    ----------
    measured_at : float
        Clock reading of the last measurement, in seconds.
    running : int
        Requests of this host that have started and not ended.
    """

    measured_at: float = -math.inf
    room: TargetRoom = TargetRoom(0.0, 0.0)
    fraction: Fraction = Fraction(1.0, True)
    running: int = 0
    _started_at_by_key: dict[int, float] = field(default_factory=dict)
    _unreported_then: int = 0
    _freed: int = 0
    _last_key: int = 0

    def measure(self, room: TargetRoom, fraction: Fraction, now: float) -> None:
        """Record the target's headroom and this host's part of the demand."""
        self.room, self.fraction, self.measured_at = room, fraction, now
        self._unreported_then, self._freed = self._unreported(now), 0

    def allows(self, now: float) -> bool:
        """Whether this host may start one more request."""
        unreported = self._unreported(now)
        free, slots = self.room.free + self._freed, self.room.slots
        left = free - (unreported - self._unreported_then)
        if not self.fraction.silent and left >= slots * AMPLE_SHARE:
            return True
        share = self.fraction.value * (free + self._unreported_then)
        return unreported + 1 <= max(1.0, share)

    def start(self, now: float) -> int:
        """Record that a request starts, and return the key with which it ends."""
        self.running += 1
        self._last_key += 1
        self._started_at_by_key[self._last_key] = now
        return self._last_key

    def end(self, key: int) -> None:
        """Record that a request has ended; one that reports show frees headroom."""
        self.running -= 1
        if self._started_at_by_key.pop(key, None) is None:
            self._freed += 1

    def _unreported(self, now: float) -> int:
        """Return how many running requests the load reports may not show yet."""
        times = self._started_at_by_key
        while times:
            key = next(iter(times))
            if now - times[key] < UNREPORTED_SECONDS:
                break
            del times[key]
        return len(times)
