"""Selection of witnesses: at most one host per failure domain.

Hosts of other failure domains are preferred. The holder's own domain counts only while
no host of another domain answers. Within a domain the caller's order of preference
decides.

A holder sends its witnesses a heartbeat every second. A new set is proposed to the log
if a witness did not answer for ``RESPONSIVE_SECONDS`` or runs as a new incarnation; the
holder then sends heartbeats to a few further hosts as well. A fence leads to a proposal
too, possibly of the same hosts, for a new holder id. A set is in force once it was read
back from the log.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Final

from godwitrudder.request.witness import MAX_WITNESSES

# Three heartbeat intervals.
RESPONSIVE_SECONDS: Final = 3.0
# Hosts that get heartbeats in each failure domain without a responsive witness.
CANDIDATES_PER_DOMAIN: Final = 2
# Hosts that get heartbeats at a time, the witnesses in force included.
MAX_HOSTS_PROBED: Final = 8


def host_of(incarnation: str) -> str:
    """Return the host part of an incarnation or holder id, ``host/suffix``."""
    return incarnation.rsplit("/", 1)[0]


@dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Incarnation in a host's last answer to a heartbeat, and its time in seconds."""

    incarnation: str
    heard_at: float


class WitnessSet:
    """The witnesses in force, and the last answers of all hosts that may be witnesses.

    Attributes
    ----------
    witnesses : tuple of str
        Incarnations of the set in force.
    fenced : bool
        Whether a witness in force has fenced the holder.
    """

    def __init__(self) -> None:
        self.witnesses: tuple[str, ...] = ()
        self.fenced = False
        self._hosts_by_preference: list[str] = []
        self._domain = ""
        self._domain_by_host: dict[str, str] = {}
        self._answer_by_host: dict[str, ProbeAnswer] = {}

    def set_candidate_hosts(
        self, order: list[str], domain_by_host: dict[str, str], domain: str
    ) -> None:
        """Set the hosts in order of preference, and the own failure domain."""
        self._hosts_by_preference = order
        self._domain = domain
        self._domain_by_host = domain_by_host
        gone = set(self._answer_by_host) - set(order)
        for host in gone:
            del self._answer_by_host[host]

    def hosts_to_probe(self, now: float) -> list[str]:
        """Return the hosts to send a heartbeat to now, the witnesses in force first."""
        hosts = [
            host for host in self._hosts_by_preference if self.is_witness_host(host)
        ]
        current = self._current(now)
        covered = {self._domain_by_host[host] for host in current}
        if self.fenced:
            covered.clear()
        if len(covered) < MAX_WITNESSES:
            asked: Counter[str] = Counter()
            for host in self._hosts_by_preference:
                domain = self._domain_by_host[host]
                # The own domain counts only while no other domain is covered.
                if domain == self._domain and (covered - {domain}):
                    continue
                if domain in covered or asked[domain] >= CANDIDATES_PER_DOMAIN:
                    continue
                asked[domain] += 1
                if host not in hosts:
                    hosts.append(host)
        return hosts[:MAX_HOSTS_PROBED]

    def is_witness_host(self, host: str) -> bool:
        """Whether the set in force names an incarnation of the host as a witness."""
        return any(host_of(name) == host for name in self.witnesses)

    def record_standing(
        self, host: str, incarnation: str, fenced: bool, now: float
    ) -> None:
        """Record a host's answer to a heartbeat.

        Parameters
        ----------
        incarnation : str
            Incarnation of the host that answered.
        fenced : bool
            Whether it has fenced this holder.
        now : float
            Time of the answer, a clock reading in seconds.
        """
        self._answer_by_host[host] = ProbeAnswer(incarnation, now)
        if fenced and incarnation in self.witnesses:
            self.fenced = True

    def proposal(self, now: float) -> tuple[str, ...] | None:
        """Return the set to propose; None to keep the one in force.

        The responsive witnesses in force come first, then other responsive hosts.
        """
        host_by_domain: dict[str, str] = {}
        for host in self._current(now) + self._responsive(now):
            host_by_domain.setdefault(self._domain_by_host[host], host)
        if len(host_by_domain) > 1:
            host_by_domain.pop(self._domain, None)
        chosen = list(host_by_domain.values())[:MAX_WITNESSES]
        names = tuple(self._answer_by_host[host].incarnation for host in chosen)
        if not names or (set(names) == set(self.witnesses) and not self.fenced):
            return None
        return names

    def confirm(self, witnesses: tuple[str, ...]) -> None:
        """Record that a set was read back from the log."""
        self.witnesses = witnesses
        self.fenced = False

    def _responsive(self, now: float) -> list[str]:
        """Return the hosts that answered recently, in order of preference."""
        known = self._answer_by_host
        return [
            host
            for host in self._hosts_by_preference
            if host in known and now - known[host].heard_at <= RESPONSIVE_SECONDS
        ]

    def _current(self, now: float) -> list[str]:
        """Return the responsive hosts whose incarnation is in the set in force."""
        known = self._answer_by_host
        return [
            h for h in self._responsive(now) if known[h].incarnation in self.witnesses
        ]
