"""Selection of witnesses: one host per other failure domain, in rendezvous order.

Holders probe their witnesses every second. A witness is replaced if it did not answer
for ``RESPONSIVE_SECONDS``, runs as a new incarnation or has fenced the holder. The
holder then probes a few further hosts and proposes a new set to the log. The set is in
force once it was read back.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

from godwitrudder.request.witness import WITNESSES_MOST

RESPONSIVE_SECONDS: Final = 3.0
CANDIDATES_PER_DOMAIN: Final = 2
CANDIDATES_MOST: Final = 8


def host_of(incarnation: str) -> str:
    """Return the host of an incarnation or a holder."""
    return incarnation.rsplit("/", 1)[0]


@dataclass(frozen=True, slots=True)
class Candidate:
    """The last answer of a host, and its time in seconds."""

    incarnation: str
    heard_at: float


class WitnessSet:
    """The witnesses in force and the state of the hosts that may replace them."""

    def __init__(self) -> None:
        self.witnesses: tuple[str, ...] = ()
        self.fenced = False
        self._hosts_by_preference: list[str] = []
        self._domain = ""
        self._domain_by_host: dict[str, str] = {}
        self._candidates_by_host: dict[str, Candidate] = {}

    def set_candidate_hosts(
        self, order: list[str], domain_by_host: dict[str, str], domain: str
    ) -> None:
        """Set the hosts in order of preference, and the own failure domain."""
        self._hosts_by_preference = order
        self._domain = domain
        self._domain_by_host = domain_by_host
        gone = set(self._candidates_by_host) - set(order)
        for host in gone:
            del self._candidates_by_host[host]

    def hosts_to_probe(self, now: float) -> list[str]:
        """Return the hosts to probe now."""
        hosts = [host for host in self._hosts_by_preference if self.names_host(host)]
        current = self._current(now)
        covered = {self._domain_by_host[host] for host in current}
        if self.fenced:
            covered.clear()
        if len(covered) < WITNESSES_MOST:
            asked: Counter[str] = Counter()
            for host in self._hosts_by_preference:
                domain = self._domain_by_host[host]
                if domain == self._domain and (covered - {domain}):
                    continue
                if domain in covered or asked[domain] >= CANDIDATES_PER_DOMAIN:
                    continue
                asked[domain] += 1
                if host not in hosts:
                    hosts.append(host)
        return hosts[:CANDIDATES_MOST]

    def names_host(self, host: str) -> bool:
        """Whether a witness in force ran on the host when the set was proposed."""
        return any(host_of(name) == host for name in self.witnesses)

    def record_standing(
        self, host: str, incarnation: str, fenced: bool, now: float
    ) -> None:
        """Record an answer; ``fenced`` if the host has fenced this holder."""
        self._candidates_by_host[host] = Candidate(incarnation, now)
        if fenced and incarnation in self.witnesses:
            self.fenced = True

    def proposal(self, now: float) -> tuple[str, ...] | None:
        """Return the set to propose; None to keep the one in force."""
        host_by_domain: dict[str, str] = {}
        for host in self._current(now) + self._responsive(now):
            host_by_domain.setdefault(self._domain_by_host[host], host)
        if len(host_by_domain) > 1:
            host_by_domain.pop(self._domain, None)
        chosen = list(host_by_domain.values())[:WITNESSES_MOST]
        names = tuple(self._candidates_by_host[host].incarnation for host in chosen)
        if not names or (set(names) == set(self.witnesses) and not self.fenced):
            return None
        return names

    def confirm(self, witnesses: tuple[str, ...]) -> None:
        """Record that a set was read back from the log."""
        self.witnesses = witnesses
        self.fenced = False

    def _responsive(self, now: float) -> list[str]:
        """Return the hosts that answered recently, in order of preference."""
        known = self._candidates_by_host
        return [
            host
            for host in self._hosts_by_preference
            if host in known and now - known[host].heard_at <= RESPONSIVE_SECONDS
        ]

    def _current(self, now: float) -> list[str]:
        """Return the responsive hosts whose incarnation is in the set in force."""
        known = self._candidates_by_host
        return [
            h for h in self._responsive(now) if known[h].incarnation in self.witnesses
        ]
