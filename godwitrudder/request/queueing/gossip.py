"""Load reports that hosts pass on to each other: which are sent, and which are used."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Final

from godwitrudder.request.placing.candidate import REPORT_DECAY_SECONDS, Candidate

PEERS_PER_ROUND: Final = 2
"""Hosts that are told in one round. With 2 rounds a second and datagrams of 1,200 bytes
a host sends 4.8 KB/s, however many hosts there are."""
MIN_NEWER_SECONDS: Final = 0.05
"""By how much a report must be newer than the known one. A report that was passed on
appears newer than it is by its time on the way, 1 to 6 ms for each host."""


def choose_peers(hosts: Iterable[str], own: str, random: Random) -> list[str]:
    """Return the hosts that are told in a round, at random."""
    others = [host for host in hosts if host != own]
    return random.sample(others, min(PEERS_PER_ROUND, len(others)))


def newest_reports(candidates: Iterable[Candidate], now: float) -> list[Candidate]:
    """Return the runners whose load report still counts, the newest report first."""
    known = [
        each
        for each in candidates
        if each.may_be_used and now - each.others_at < REPORT_DECAY_SECONDS
    ]
    return sorted(known, key=lambda each: -each.others_at)


def fitting_count(count: int, size: int, most_bytes: int) -> int:
    """Return how many entries to keep of ``count`` that took ``size`` bytes."""
    if size <= most_bytes:
        return count
    return min(count - 1, count * most_bytes // size)


def is_newer(candidate: Candidate, at: float) -> bool:
    """Whether a report as of ``at`` is newer than the known one of a runner."""
    return at > candidate.others_at + MIN_NEWER_SECONDS
