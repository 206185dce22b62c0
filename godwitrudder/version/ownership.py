"""Owners of partitions, by rendezvous hashing over the live hosts.

An owner is an optimisation: it batches the records of all daemons into few appends.
Two owners at the same time, or a paused owner that resumes, are safe, because the
fold counts each record once.  When a host joins or leaves, rendezvous hashing (Thaler
and Ravishankar, 1998) moves only the partitions of that host.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import xxhash

# Owners that are tried before this daemon appends the records itself.
OWNERS_TRIED: Final = 2
AVOID_SECONDS: Final = 5.0


def owners_of(partition: int, hosts: Iterable[str]) -> list[str]:
    """Return the hosts in order of preference as owner of a partition."""
    return sorted(hosts, key=lambda host: _score(partition, host), reverse=True)


def _score(partition: int, host: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{partition}:{host}".encode()), host


class OwnerChoice:
    """Chooses the host through which to append.

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
        """Return the host to send records to; None if this daemon appends them itself.

        Parameters
        ----------
        hosts : iterable of str
            Hosts that this daemon believes to be live.
        now : float
            Time in seconds of the caller's clock.
        """
        for host in self._owners(partition, tuple(hosts)):
            if host == self._host:
                return None
            if self._avoid_until_by_host.get(host, 0.0) <= now:
                return host
        return None

    def owned_share(self, partitions: int, hosts: Iterable[str]) -> float:
        """Return the fraction of the partitions whose first owner is this host."""
        known = tuple(hosts)
        owners = [self._owners(number, known)[:1] for number in range(partitions)]
        return owners.count([self._host]) / partitions

    def _owners(self, partition: int, hosts: tuple[str, ...]) -> list[str]:
        if hosts != self._hosts:
            self._hosts = hosts
            self._owners_by_partition.clear()
        owners = self._owners_by_partition.get(partition)
        if owners is None:
            owners = owners_of(partition, hosts)[:OWNERS_TRIED]
            self._owners_by_partition[partition] = owners
        return owners

    def report_failure(self, host: str, now: float) -> None:
        """Skip an owner for ``AVOID_SECONDS`` after it failed to append."""
        self._avoid_until_by_host[host] = now + AVOID_SECONDS
        for name, until in list(self._avoid_until_by_host.items()):
            if until <= now:
                del self._avoid_until_by_host[name]
