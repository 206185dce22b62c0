"""Which routers are there: the host list, corrected by what was heard from them.

The host list says who belongs to the fleet, and lags.  Traffic and heartbeats say
who can be reached from here.  A router counts as reachable until a question to it
fails, and again once it is heard.  In a large fleet each daemon asks a few routers
a second, those longest unheard first, so that the cost doesn't grow with the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

PROBE_AFTER_SECONDS: Final = 3.0
RECENT_SECONDS: Final = 30.0
UNLISTED_SILENT_SECONDS: Final = 10.0
MAX_UNLISTED_SECONDS: Final = 60.0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class HostState:
    """What is known of one router, as clock readings in seconds."""

    listed_at: float
    leaving: bool = False
    heard_at: float = NEVER
    failed_at: float = NEVER

    @property
    def reachable(self) -> bool:
        """Whether nothing failed since it was last heard."""
        return self.heard_at >= self.failed_at


class Liveness:
    """The routers of the fleet as seen from one daemon.

    Parameters
    ----------
    host : str
        This daemon's host, always reachable.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.signs_by_host: dict[str, HostState] = {}

    def listed(self, leaving_by_host: dict[str, bool], now: float) -> list[str]:
        """Take a host list; return the hosts that are dropped."""
        for host, leaving in leaving_by_host.items():
            state = self.signs_by_host.setdefault(host, HostState(now))
            state.listed_at = now
            state.leaving = leaving
        gone = [
            host for host, state in self.signs_by_host.items() if _is_gone(state, now)
        ]
        for host in gone:
            del self.signs_by_host[host]
        return gone

    def heard(self, host: str, now: float) -> None:
        """Note traffic from a host."""
        state = self.signs_by_host.get(host)
        if state is not None:
            state.heard_at = now

    def failed(self, host: str, now: float) -> None:
        """Note that a question to a host failed."""
        state = self.signs_by_host.get(host)
        if state is not None:
            state.failed_at = now

    def reachable(self) -> list[str]:
        """Return the hosts that can be reached and stay, this one included."""
        hosts = {
            host
            for host, state in self.signs_by_host.items()
            if state.reachable and not state.leaving
        }
        return sorted(hosts | {self.host})

    def share(self, now: float) -> float:
        """Return the reachable share of the fleet, from the recent answers."""
        known = [
            state.reachable
            for host, state in self.signs_by_host.items()
            if host != self.host
            and max(state.heard_at, state.failed_at) > now - RECENT_SECONDS
        ]
        return (1 + sum(known)) / (1 + len(known))

    def to_probe(self, now: float, most: int, random: Random) -> list[str]:
        """Return the hosts to ask next: the longest unasked, ties at random."""
        silent = [
            (max(state.heard_at, state.failed_at), random.random(), host)
            for host, state in self.signs_by_host.items()
            if host != self.host and state.heard_at < now - PROBE_AFTER_SECONDS
        ]
        return [host for _, _, host in sorted(silent)[:most]]


def _is_gone(state: HostState, now: float) -> bool:
    unlisted = now - state.listed_at
    silent = now - state.heard_at > UNLISTED_SILENT_SECONDS
    return unlisted > MAX_UNLISTED_SECONDS or (
        unlisted > UNLISTED_SILENT_SECONDS and silent
    )
