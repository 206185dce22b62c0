"""Which witnesses a holder names: one host per other domain, in rendezvous order.

Holders ask their witnesses for a sign of life each second.  One that gave none for
``GOOD_SECONDS``, runs as a new incarnation or has fenced the holder is replaced:
a few further hosts are asked, a new set is proposed to the log and counts once it
was read back.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

from godwitrudder.request.witness import WITNESSES

GOOD_SECONDS: Final = 3.0
CANDIDATES_PER_DOMAIN: Final = 2
CANDIDATES_MOST: Final = 8


def host_of(incarnation: str) -> str:
    """Return the host of an incarnation or a holder."""
    return incarnation.rsplit("/", 1)[0]


@dataclass(frozen=True, slots=True)
class Candidate:
    """What a host answered last, and when, in seconds."""

    incarnation: str
    heard_at: float


class WitnessSet:
    """The witnesses in force and what is known of the hosts that may follow."""

    def __init__(self) -> None:
        self.witnesses: tuple[str, ...] = ()
        self.fenced = False
        self._order: list[str] = []
        self._domain = ""
        self._domain_by_host: dict[str, str] = {}
        self._candidates_by_host: dict[str, Candidate] = {}

    def set_candidate_hosts(
        self, order: list[str], domain_by_host: dict[str, str], domain: str
    ) -> None:
        """Take the hosts in order of preference and the own domain."""
        self._order = order
        self._domain = domain
        self._domain_by_host = domain_by_host
        gone = set(self._candidates_by_host) - set(order)
        for host in gone:
            del self._candidates_by_host[host]

    def hosts_to_probe(self, now: float) -> list[str]:
        """Return the hosts to ask for a sign of life now."""
        hosts = [host for host in self._order if self.names(host)]
        current = self._current(now)
        served = {self._domain_by_host[host] for host in current}
        if self.fenced:
            served.clear()
        if len(served) < WITNESSES:
            asked: Counter[str] = Counter()
            for host in self._order:
                domain = self._domain_by_host[host]
                if domain == self._domain and (served - {domain}):
                    continue
                if domain in served or asked[domain] >= CANDIDATES_PER_DOMAIN:
                    continue
                asked[domain] += 1
                if host not in hosts:
                    hosts.append(host)
        return hosts[:CANDIDATES_MOST]

    def names(self, host: str) -> bool:
        """Whether a witness in force ran on the host when it was named."""
        return any(host_of(name) == host for name in self.witnesses)

    def record_standing(
        self, host: str, incarnation: str, fenced: bool, now: float
    ) -> None:
        """Note a sign of life; ``fenced`` if the host has fenced this holder."""
        self._candidates_by_host[host] = Candidate(incarnation, now)
        if fenced and incarnation in self.witnesses:
            self.fenced = True

    def proposal(self, now: float) -> tuple[str, ...] | None:
        """Return the set to propose; None to keep the one in force."""
        host_by_domain: dict[str, str] = {}
        for host in self._current(now) + self._good(now):
            host_by_domain.setdefault(self._domain_by_host[host], host)
        if len(host_by_domain) > 1:
            host_by_domain.pop(self._domain, None)
        chosen = list(host_by_domain.values())[:WITNESSES]
        names = tuple(self._candidates_by_host[host].incarnation for host in chosen)
        if not names or (set(names) == set(self.witnesses) and not self.fenced):
            return None
        return names

    def in_force(self, witnesses: tuple[str, ...]) -> None:
        """Note that a set was read back from the log."""
        self.witnesses = witnesses
        self.fenced = False

    def _good(self, now: float) -> list[str]:
        """Return the hosts that would witness now, in order."""
        known = self._candidates_by_host
        return [
            host
            for host in self._order
            if host in known and now - known[host].heard_at <= GOOD_SECONDS
        ]

    def _current(self, now: float) -> list[str]:
        """Return the hosts whose incarnation is in the set in force."""
        known = self._candidates_by_host
        return [h for h in self._good(now) if known[h].incarnation in self.witnesses]
