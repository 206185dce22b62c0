"""Evacuations of failure domains: no request goes to a runner of an evacuated one.

Only records end an evacuation, never the time that passes, so that it stays in force
during an outage of the store.  Times are monotonic seconds.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Final

MAX_ENDED: Final = 1000
"""Failure domains whose last evacuation is remembered; the oldest are forgotten."""


@dataclass(slots=True)
class Evacuations:
    """The evacuations that one host has read.

    Attributes
    ----------
    in_force : set of str
        The failure domains that are evacuated.
    """

    in_force: set[str] = field(default_factory=set)
    _ended_at_by_domain: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def begin(self, failure_domain: str) -> bool:
        """Begin an evacuation; return whether it was not in force."""
        if failure_domain in self.in_force:
            return False
        self.in_force.add(failure_domain)
        return True

    def end(self, failure_domain: str, now: float) -> bool:
        """End an evacuation; return whether it was in force."""
        if failure_domain not in self.in_force:
            return False
        self.in_force.discard(failure_domain)
        self._ended_at_by_domain[failure_domain] = now
        self._ended_at_by_domain.move_to_end(failure_domain)
        while len(self._ended_at_by_domain) > MAX_ENDED:
            self._ended_at_by_domain.popitem(last=False)
        return True

    def missing_from(self, listed: Collection[str]) -> list[str]:
        """Return the evacuated failure domains that a complete list does not name."""
        return sorted(self.in_force.difference(listed))

    def ended_at(self, failure_domain: str) -> float:
        """Return when the last evacuation ended, minus infinity if none did."""
        return self._ended_at_by_domain.get(failure_domain, -math.inf)
