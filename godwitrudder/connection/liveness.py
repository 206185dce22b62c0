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

FRESH_SECONDS: Final = 3.0
SAMPLE_SECONDS: Final = 30.0
UNLISTED_SILENT_SECONDS: Final = 10.0
UNLISTED_MOST_SECONDS: Final = 60.0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class Sign:
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
        self.states_by_host: dict[str, Sign] = {}

    def update_hosts(self, leaving_by_host: dict[str, bool], now: float) -> list[str]:
        """Take a host list; return the hosts that are dropped."""
        for host, leaving in leaving_by_host.items():
            sign = self.states_by_host.setdefault(host, Sign(now))
            sign.listed_at = now
            sign.leaving = leaving
        gone = [host for host, sign in self.states_by_host.items() if _gone(sign, now)]
        for host in gone:
            del self.states_by_host[host]
        return gone

    def heard(self, host: str, now: float) -> None:
        """Note traffic from a host."""
        sign = self.states_by_host.get(host)
        if sign is not None:
            sign.heard_at = now

    def failed(self, host: str, now: float) -> None:
        """Note that a question to a host failed."""
        sign = self.states_by_host.get(host)
        if sign is not None:
            sign.failed_at = now

    def reachable(self) -> list[str]:
        """Return the hosts that can be reached and stay, this one included."""
        hosts = {
            host
            for host, sign in self.states_by_host.items()
            if sign.reachable and not sign.leaving
        }
        return sorted(hosts | {self.host})

    def reachable_fraction(self, now: float) -> float:
        """Return the reachable share of the fleet, from the recent answers."""
        known = [
            sign.reachable
            for host, sign in self.states_by_host.items()
            if host != self.host
            and max(sign.heard_at, sign.failed_at) > now - SAMPLE_SECONDS
        ]
        return (1 + sum(known)) / (1 + len(known))

    def to_probe(self, now: float, most: int, random: Random) -> list[str]:
        """Return the hosts to ask next: the longest unasked, ties at random."""
        quiet = [
            (max(sign.heard_at, sign.failed_at), random.random(), host)
            for host, sign in self.states_by_host.items()
            if host != self.host and sign.heard_at < now - FRESH_SECONDS
        ]
        return [host for _, _, host in sorted(quiet)[:most]]


def _gone(sign: Sign, now: float) -> bool:
    unlisted = now - sign.listed_at
    silent = now - sign.heard_at > UNLISTED_SILENT_SECONDS
    return unlisted > UNLISTED_MOST_SECONDS or (
        unlisted > UNLISTED_SILENT_SECONDS and silent
    )
