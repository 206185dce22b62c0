"""Mean times of service, from which waits that leave enough time are derived."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

GAIN: Final = 0.1
"""Weight of the newest answer in the mean time of service."""


@dataclass(slots=True)
class ServiceTimes:
    """Mean time of service by route, as this host has seen it."""

    _mean_by_route: dict[str, float] = field(default_factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Record the time of service of a complete answer."""
        mean = self._mean_by_route.get(route, seconds)
        self._mean_by_route[route] = mean + GAIN * (seconds - mean)

    def expected(self, route: str, objective_seconds: float) -> float:
        """Return the mean; the latency objective while there is none."""
        return self._mean_by_route.get(route, objective_seconds)
