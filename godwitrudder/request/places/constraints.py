"""Placement constraints: separates the runners that may get a request from the others.

Times are monotonic seconds.
"""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from godwitrudder.request.places.cold_slots import ColdSlots, Slot, slots_per_second
from godwitrudder.request.places.evacuations import Evacuations
from godwitrudder.request.places.regions import Regions
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.version.catalogue import Homes, Target


class Exclusion(enum.StrEnum):
    """Why a runner may not get a request now."""

    EVACUATED = "evacuated"
    OUTSIDE_HOMES = "outside_homes"
    COLD = "cold"


@dataclass(frozen=True, slots=True)
class Bound:
    """Most requests per second of all hosts at a cold runner: rate * over + slack."""

    over: float
    slack: float


@dataclass(slots=True)
class Selection:
    """The runners of a target, separated for one request.

    Attributes
    ----------
    usable : list of Candidate
        Runners that may get the request now.
    slots_by_runner : dict
        Slots of the cold runners among them.
    cold : list of Candidate
        Cold runners without a free slot of this host now.
    exclusions : Counter
        Numbers of the other runners by reason.
    """

    usable: list[Candidate] = field(default_factory=list)
    slots_by_runner: dict[str, Slot] = field(default_factory=dict)
    cold: list[Candidate] = field(default_factory=list)
    exclusions: Counter[Exclusion] = field(default_factory=Counter)


class Constraints:
    """The constraints as one host knows them.

    Parameters
    ----------
    clock_offset : float
        Unix seconds at the monotonic time 0.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        regions: Regions,
        slots: ColdSlots,
        bound: Bound,
        clock_offset: float,
    ) -> None:
        self._evacuations = evacuations
        self._regions = regions
        self._slots = slots
        self._bound = bound
        self._clock_offset = clock_offset

    def select(
        self,
        candidates: Collection[Candidate],
        target: Target,
        homes: tuple[Homes, ...],
        hosts: tuple[str, ...] | None,
        now: float,
        reserved: Slot | None = None,
    ) -> Selection:
        """Separate the runners of a target for one request.

        Parameters
        ----------
        homes : tuple
            Homes of the route and of the workspace.
        hosts : tuple of str or None
            Names of all hosts; None if they are not known.
        reserved : Slot or None
            Slot that was reserved for the request.
        """
        selection = Selection()
        for candidate in candidates:
            exclusion = self.exclusion(candidate, homes)
            if exclusion is not None:
                selection.exclusions[exclusion] += 1
                continue
            if not self.is_cold(candidate, target, now):
                selection.usable.append(candidate)
                continue
            runner = candidate.entry.id
            slot = reserved
            if slot is None or slot.runner != runner or now >= self.end_of(slot):
                slot = self._find(runner, target, hosts, now, now)
            if slot is None:
                selection.exclusions[Exclusion.COLD] += 1
                selection.cold.append(candidate)
            else:
                selection.usable.append(candidate)
                selection.slots_by_runner[runner] = slot
        return selection

    def preview(
        self,
        candidate: Candidate,
        target: Target,
        homes: tuple[Homes, ...],
        hosts: tuple[str, ...] | None,
        now: float,
    ) -> Exclusion | None:
        """Return why ``select`` would separate a runner, without a change of state."""
        exclusion = self.exclusion(candidate, homes)
        if exclusion is not None or not self.is_cold(candidate, target, now):
            return exclusion
        runner, rate = candidate.entry.id, self._rate(target)
        is_free = self._slots.has_free(runner, rate, hosts, now + self._clock_offset)
        return None if is_free else Exclusion.COLD

    def exclusion(
        self, candidate: Candidate, homes: tuple[Homes, ...]
    ) -> Exclusion | None:
        """Return why a runner may not get a request however long it waits, if so."""
        domain = candidate.entry.failure_domain
        if domain in self._evacuations.in_force:
            return Exclusion.EVACUATED
        if not self._regions.permit(domain, *homes):
            return Exclusion.OUTSIDE_HOMES
        return None

    def cold_until(self, candidate: Candidate, target: Target) -> float:
        """Return the time until which a runner is cold, minus infinity if it is not."""
        if target.cold_per_second <= 0:
            return -math.inf
        ended_at = self._evacuations.ended_at(candidate.entry.failure_domain)
        return candidate.cold.cold_until(target.cold_start_seconds, ended_at)

    def is_cold(self, candidate: Candidate, target: Target, now: float) -> bool:
        """Whether a runner is cold now."""
        return now < self.cold_until(candidate, target)

    def reserve(
        self,
        candidates: Iterable[Candidate],
        target: Target,
        hosts: tuple[str, ...] | None,
        now: float,
        until: float,
    ) -> Slot | None:
        """Take the first free slot that begins by ``until`` at one of the runners."""
        found = (
            self._find(candidate.entry.id, target, hosts, now, until)
            for candidate in candidates
        )
        slots = [slot for slot in found if slot is not None]
        if not slots:
            return None
        first = min(slots, key=lambda slot: slot.begins_at)
        self._slots.take(first)
        return first

    def take(self, slot: Slot) -> None:
        """Use a slot for a request that is sent now."""
        self._slots.take(slot)

    def release(self, slot: Slot) -> None:
        """Give a slot back that was reserved and not used."""
        self._slots.release(slot)

    def begin_of(self, slot: Slot) -> float:
        """Return the monotonic time at which a slot begins."""
        return slot.begins_at - self._clock_offset

    def end_of(self, slot: Slot) -> float:
        """Return the monotonic time from which a slot may not be used."""
        return slot.ends_at - self._clock_offset

    def _find(
        self,
        runner: str,
        target: Target,
        hosts: tuple[str, ...] | None,
        now: float,
        until: float,
    ) -> Slot | None:
        rate, offset = self._rate(target), self._clock_offset
        return self._slots.find(runner, rate, hosts, now + offset, until + offset)

    def _rate(self, target: Target) -> float:
        bound = self._bound
        return slots_per_second(target.cold_per_second, bound.over, bound.slack)
