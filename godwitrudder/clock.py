"""Clocks of tasks, and hybrid logical timestamps.

Decision code takes clock readings as arguments.  Only tasks hold a ``Clock``, which
tests replace by a ``VirtualClock``.  ``HybridClock`` stamps timeline events so that
causes sort before effects even though the hosts' wall clocks differ.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod

import msgspec


class Clock(ABC):
    """A source of monotonic and wall time, in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class VirtualClock(Clock):
    """A clock for tests that moves only by ``advance``.

    Parameters
    ----------
    start : float
        First reading, in seconds.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.seconds = start

    def now(self) -> float:
        """Return the virtual seconds."""
        return self.seconds

    def wall(self) -> float:
        """Return the virtual seconds."""
        return self.seconds

    def advance(self, seconds: float) -> None:
        """Move forward by ``seconds``."""
        self.seconds += seconds


class Stamp(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A reading of a hybrid logical clock; causes sort before their effects.

    Attributes
    ----------
    millis : int
        Wall clock milliseconds since the epoch or, if larger, those of the newest
        stamp seen.
    count : int
        Orders the stamps within one millisecond.
    """

    millis: int
    count: int


class HybridClock:
    """Hybrid logical clock (Kulkarni et al., 2014) over a wall clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp for a local event or a message about to be sent."""
        millis = int(self._clock.wall() * 1000)
        if millis > self._last.millis:
            self._last = Stamp(millis, 0)
        else:
            self._last = Stamp(self._last.millis, self._last.count + 1)
        return self._last

    def observe(self, seen: Stamp) -> Stamp:
        """Merge the stamp of a received message and tick."""
        self._last = max(self._last, seen)
        return self.tick()
