"""Slots of cold runners: how hosts share the rate that a cold runner tolerates.

Hosts share the rate without a message for each request.  The time is divided into slots
of one request each, and each slot belongs to one host.  A slot that its host has not
used soon after it began is lost, so unused slots never add up to a burst.

The owner of a slot is chosen by rendezvous hashing of the slot and the hosts' names.
Hosts with different lists of hosts then agree on the owners of nearly all slots; turns
by the position in the list would move every slot if one host is added, and up to twice
the rate would reach the runner.

Times are Unix seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Final

import xxhash

WINDOW_SECONDS: Final = 1.0
"""Length of the window in which a cold runner's requests are bounded."""
CLOCK_ERROR_SECONDS: Final = 1.0
"""Largest error of a host's clock, to either side, for which the bound holds."""
VALID_SECONDS: Final = 0.5
"""Time after its begin in which a slot may be used.  At 3.4 requests per second, which
is 200 over 59 hosts, a host uses four fifths of its slots; a longer time would need a
lower rate of slots."""
TRANSIT_SECONDS: Final = 0.25
"""Time from the use of a slot until the runner has read the request: 12,000 prompt
tokens, about 60 KB, take 0.1 s on a link of 5 Mbit/s; the rest is for queues."""
EXPOSED_SECONDS: Final = (
    WINDOW_SECONDS + 2 * CLOCK_ERROR_SECONDS + VALID_SECONDS + TRANSIT_SECONDS
)
"""Span of the slots whose requests may reach a runner within one window."""
MAX_SLOTS_PER_SECOND: Final = 50.0
"""Most slots per second of one runner: each costs a hash for each host."""
MAX_RUNNERS: Final = 1000
"""Runners whose slots are remembered; those used least recently are forgotten."""


def slots_per_second(cold_per_second: float, over: float, slack: float) -> float:
    """Return the rate of slots that keeps a cold runner within its bound.

    In no window of one second may more than ``cold_per_second * over + slack`` requests
    reach the runner.  A span of s seconds has at most ``s * rate + 1`` slots.

    Parameters
    ----------
    cold_per_second : float
        Requests per second that the runner tolerates while it is cold.
    """
    most = cold_per_second * over + slack
    rate = min(cold_per_second, (most - 1) / EXPOSED_SECONDS, MAX_SLOTS_PER_SECOND)
    return max(0.0, rate)


@dataclass(frozen=True, slots=True)
class Slot:
    """A slot of this host at a cold runner."""

    runner: str
    number: int
    begins_at: float

    @property
    def ends_at(self) -> float:
        """Return the time from which the slot may not be used any more."""
        return self.begins_at + VALID_SECONDS


@dataclass(slots=True)
class RunnerSlots:
    """This host's slots at one runner.

    Attributes
    ----------
    next_number : int
        Number of the first slot whose owner is not determined yet.
    free : deque of int
        Slots of this host that are not taken, in order.
    taken : set of int
        Slots of this host that are taken.
    """

    rate: float
    hosts: tuple[str, ...]
    next_number: int = 0
    free: deque[int] = field(default_factory=deque)
    taken: set[int] = field(default_factory=set)

    def determine(self, runner: str, own: str, first: int, last: int) -> None:
        """Drop the slots before ``first`` and find the owners of those to ``last``."""
        while self.free and self.free[0] < first:
            self.free.popleft()
        if self.taken:
            self.taken = {number for number in self.taken if number >= first}
        for number in range(max(first, self.next_number), last + 1):
            owned = owner_of(runner, number, self.hosts) == own
            if owned and number not in self.taken:
                self.free.append(number)
        self.next_number = max(self.next_number, last + 1)


class ColdSlots:
    """Slots of one host at all cold runners."""

    def __init__(self, own: str) -> None:
        self._own = own
        self._slots_by_runner: OrderedDict[str, RunnerSlots] = OrderedDict()

    def find(
        self,
        runner: str,
        rate: float,
        hosts: tuple[str, ...] | None,
        now: float,
        until: float,
    ) -> Slot | None:
        """Return the first free slot of this host that begins by ``until``, if any.

        Parameters
        ----------
        rate : float
            Slots per second of all hosts.
        hosts : tuple of str or None
            Names of all hosts; None if they are not known, as no slot is used then.
        """
        if hosts is None or rate <= 0.0:
            return None
        slots = self._slots(runner, rate, hosts)
        first, last = _span(rate, now, until)
        slots.determine(runner, self._own, first, last)
        if not slots.free or slots.free[0] > last:
            return None
        return Slot(runner, slots.free[0], slots.free[0] / rate)

    def has_free(
        self, runner: str, rate: float, hosts: tuple[str, ...] | None, now: float
    ) -> bool:
        """Whether ``find`` would return a slot that may be used now.

        Nothing changes: a runner that was only asked about displaces no other one from
        those whose slots are remembered.
        """
        if hosts is None or rate <= 0.0:
            return False
        known = self._slots_by_runner.get(runner)
        taken = known.taken if known is not None and known.rate == rate else ()
        first, last = _span(rate, now, now)
        return any(
            number not in taken and owner_of(runner, number, hosts) == self._own
            for number in range(first, last + 1)
        )

    def take(self, slot: Slot) -> None:
        """Mark a slot that ``find`` has returned as taken."""
        slots = self._slots_by_runner.get(slot.runner)
        if slots is not None and slot.number in slots.free:
            slots.free.remove(slot.number)
            slots.taken.add(slot.number)

    def release(self, slot: Slot) -> None:
        """Make a taken slot free again, as no request was sent in it."""
        slots = self._slots_by_runner.get(slot.runner)
        if slots is not None and slot.number in slots.taken:
            slots.taken.discard(slot.number)
            slots.free = deque(sorted([*slots.free, slot.number]))

    def _slots(self, runner: str, rate: float, hosts: tuple[str, ...]) -> RunnerSlots:
        known = self._slots_by_runner.get(runner)
        if known is None or known.rate != rate:
            known = self._slots_by_runner[runner] = RunnerSlots(rate, hosts)
        elif known.hosts != hosts:
            # The owners of slots that are not taken are determined anew.
            known.hosts, known.next_number = hosts, 0
            known.free.clear()
        self._slots_by_runner.move_to_end(runner)
        while len(self._slots_by_runner) > MAX_RUNNERS:
            self._slots_by_runner.popitem(last=False)
        return known


def _span(rate: float, now: float, until: float) -> tuple[int, int]:
    """Return the first and the last slot that may be used from ``now`` to ``until``."""
    return math.floor((now - VALID_SECONDS) * rate) + 1, math.floor(until * rate)


def owner_of(runner: str, number: int, hosts: tuple[str, ...]) -> str:
    """Return the host to which a slot belongs."""
    seed = xxhash.xxh64_intdigest(f"{runner}/{number}".encode())
    return max(
        hosts, key=lambda host: (xxhash.xxh64_intdigest(host.encode(), seed), host)
    )
