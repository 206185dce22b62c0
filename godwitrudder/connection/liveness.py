"""Liveness of routers, from the host list and from traffic.

The host list states who belongs to the fleet, and lags.  Traffic and heartbeats show
who is reachable from this daemon.  A router counts as reachable until a request to it
fails, and again once it sends something.  In a large fleet each daemon probes a few
routers per second, those without news for the longest time first, so that the cost
does not grow with the fleet.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Final

# Time without a message after which a router is probed.
PROBE_AFTER_SECONDS: Final = 3.0
# Age up to which a message or a failure counts for the reachable fraction.
RECENT_SECONDS: Final = 30.0
# Time after which an unlisted router is removed if it was silent as long.
UNLISTED_SILENT_SECONDS: Final = 10.0
# Time after which an unlisted router is removed even if it still sends messages.
MAX_UNLISTED_SECONDS: Final = 60.0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class HostState:
    """State of one router; times are clock readings in seconds.

    Attributes
    ----------
    listed_at : float
        Time of the last host list with this router.
    leaving : bool
        Whether the host list says that it leaves.
    heard_at, failed_at : float
        Times of its last message, and of the last failed request to it.
    """

    listed_at: float
    leaving: bool = False
    heard_at: float = NEVER
    failed_at: float = NEVER

    @property
    def reachable(self) -> bool:
        """Whether no request has failed since its last message."""
        return self.heard_at >= self.failed_at


class Liveness:
    """The routers of the fleet as seen from one daemon.

    Parameters
    ----------
    host : str
        Host of this daemon, which always counts as reachable.
    """

    def __init__(self, host: str) -> None:
        self.host = host
        self.states_by_host: dict[str, HostState] = {}

    def update_hosts(self, leaving_by_host: dict[str, bool], now: float) -> list[str]:
        """Apply a host list; return the hosts that were removed."""
        for host, leaving in leaving_by_host.items():
            state = self.states_by_host.setdefault(host, HostState(now))
            state.listed_at = now
            state.leaving = leaving
        gone = [
            host for host, state in self.states_by_host.items() if _is_gone(state, now)
        ]
        for host in gone:
            del self.states_by_host[host]
        return gone

    def record_contact(self, host: str, now: float) -> None:
        """Record that a host sent something."""
        state = self.states_by_host.get(host)
        if state is not None:
            state.heard_at = now

    def record_failure(self, host: str, now: float) -> None:
        """Record that a request to a host failed."""
        state = self.states_by_host.get(host)
        if state is not None:
            state.failed_at = now

    def reachable(self) -> list[str]:
        """Return the reachable hosts that are not leaving, including this one."""
        hosts = {
            host
            for host, state in self.states_by_host.items()
            if state.reachable and not state.leaving
        }
        return sorted(hosts | {self.host})

    def reachable_fraction(self, now: float) -> float:
        """Return the reachable fraction of the hosts with recent results."""
        known = [
            state.reachable
            for host, state in self.states_by_host.items()
            if host != self.host
            and max(state.heard_at, state.failed_at) > now - RECENT_SECONDS
        ]
        return (1 + sum(known)) / (1 + len(known))

    def to_probe(self, now: float, limit: int, random: Random) -> list[str]:
        """Return the hosts to probe next: oldest result first, ties at random."""
        silent = [
            (max(state.heard_at, state.failed_at), random.random(), host)
            for host, state in self.states_by_host.items()
            if host != self.host and state.heard_at < now - PROBE_AFTER_SECONDS
        ]
        return [host for _, _, host in sorted(silent)[:limit]]


def _is_gone(state: HostState, now: float) -> bool:
    unlisted = now - state.listed_at
    silent = now - state.heard_at > UNLISTED_SILENT_SECONDS
    return unlisted > MAX_UNLISTED_SECONDS or (
        unlisted > UNLISTED_SILENT_SECONDS and silent
    )
