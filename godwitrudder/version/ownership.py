"""Owners of partitions, by rendezvous hash over the live hosts.

An owner is a shortcut: it batches the records of everybody into few appends.
Two owners at once, or a paused one that wakes, do no harm, as the fold decides
and a record counts once.  Rendezvous hashing (Thaler and Ravishankar, 1998) moves
only the partitions of a host that comes or goes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

OWNERS_TRIED: Final = 2
AVOID_SECONDS: Final = 5.0


def owners_of(partition: int, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in the order in which they own a partition."""
    return sorted(hosts, key=lambda host: _score(partition, host), reverse=True)


def _score(partition: int, host: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{partition}:{host}".encode()), host


class OwnerChoice:
    """Chooses through whom to append.

    Parameters
    ----------
    host : str
        This daemon's host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._avoid_until_by_host: dict[str, float] = {}
        self._hosts: tuple[str, ...] = ()
        self._owners_by_partition: dict[int, list[str]] = {}

    def choose(self, partition: int, hosts: Iterable[str], now: float) -> str | None:
        """Return the owner to ask; None to append oneself.

        Parameters
        ----------
        hosts : iterable of str
            Hosts that are live, as far as this daemon knows.
        now : float
            Clock reading in seconds.
        """
        for host in self._owners(partition, tuple(hosts)):
            if host == self._host:
                return None
            if self._avoid_until_by_host.get(host, 0.0) <= now:
                return host
        return None

    def owned_share(self, partitions: int, hosts: Iterable[str]) -> float:
        """Return the share of the partitions that this host owns first."""
        known = tuple(hosts)
        owners = [self._owners(number, known)[:1] for number in range(partitions)]
        return owners.count([self._host]) / partitions

    def _owners(self, partition: int, hosts: tuple[str, ...]) -> list[str]:
        if hosts != self._hosts:
            self._hosts = hosts
            self._owners_by_partition.clear()
        found = self._owners_by_partition.get(partition)
        if found is None:
            found = owners_of(partition, hosts)[:OWNERS_TRIED]
            self._owners_by_partition[partition] = found
        return found

    def report_failure(self, host: str, now: float) -> None:
        """Leave out an owner that did not append, for a while."""
        self._avoid_until_by_host[host] = now + AVOID_SECONDS
        for name, until in list(self._avoid_until_by_host.items()):
            if until <= now:
                del self._avoid_until_by_host[name]
