"""Which witnesses a holder names: the first hosts in rendezvous order that answer.

Holders ask a few candidates for a sign of life each second.  A witness that
missed ``MISSES`` of them, runs as a new incarnation or has fenced the holder is
replaced; a new set is proposed to the log and counts once read back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from godwitrudder.request.witness import WITNESSES

MISSES: Final = 3
CANDIDATES_MOST: Final = 4


def host_of(incarnation: str) -> str:
    """Return the host of an incarnation or a holder."""
    return incarnation.rsplit("/", 1)[0]


@dataclass(slots=True)
class Candidate:
    """What a host answered last."""

    incarnation: str = ""
    misses: int = MISSES

    @property
    def good(self) -> bool:
        """Whether the host would witness now."""
        return bool(self.incarnation) and self.misses < MISSES


class WitnessSet:
    """The witnesses in force and what is known of the hosts that may follow."""

    def __init__(self) -> None:
        self.witnesses: tuple[str, ...] = ()
        self.fenced = False
        self._order: list[str] = []
        self._candidates_by_host: dict[str, Candidate] = {}

    def listed(self, order: list[str]) -> None:
        """Take the hosts in order of preference, this one left out."""
        self._order = order
        gone = set(self._candidates_by_host) - set(order)
        for host in gone:
            del self._candidates_by_host[host]

    def to_beat(self) -> list[str]:
        """Return the hosts to ask for a sign of life now."""
        named = {host_of(name) for name in self.witnesses}
        hosts = [host for host in self._order if host in named]
        if self.fenced or len(self._current()) < WITNESSES:
            more = [host for host in self._order if host not in named]
            hosts += more[: max(0, CANDIDATES_MOST - len(hosts))]
        return hosts

    def stood(self, host: str, incarnation: str, fenced: bool) -> None:
        """Note a sign of life; ``fenced`` if the host has fenced this holder."""
        self._candidates_by_host[host] = Candidate(incarnation, 0)
        if fenced and incarnation in self.witnesses:
            self.fenced = True

    def missed(self, host: str) -> None:
        """Note that a host did not answer."""
        self._candidates_by_host.setdefault(host, Candidate()).misses += 1

    def proposal(self) -> tuple[str, ...] | None:
        """Return the set to propose; None to keep the one in force."""
        current = self._current()
        others = [host for host in self._good() if host not in current]
        chosen = (current + others)[:WITNESSES]
        names = tuple(self._candidates_by_host[host].incarnation for host in chosen)
        if not names or (set(names) == set(self.witnesses) and not self.fenced):
            return None
        return names

    def in_force(self, witnesses: tuple[str, ...]) -> None:
        """Note that a set was read back from the log."""
        self.witnesses = witnesses
        self.fenced = False

    def _good(self) -> list[str]:
        """Return the hosts that would witness now, in order."""
        known = self._candidates_by_host
        return [host for host in self._order if host in known and known[host].good]

    def _current(self) -> list[str]:
        """Return the hosts whose incarnation is in the set in force."""
        known = self._candidates_by_host
        return [h for h in self._good() if known[h].incarnation in self.witnesses]
