"""Placement: which runner a request goes to, from what one host knows.

A runner's cost is counted in prompt tokens that would be read before this
request: what of its own prompt is not cached there, what this host sent and has
not seen begin, and the runner's load as it last reported it, aged.  Parts of
prompts that no host may have sent yet have a home by rendezvous hashing, so that
hosts which know nothing of each other read a shared part at one runner.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Final

import xxhash

from godwitrudder.version.catalogue import ListedRunner

READ_WEIGHT: Final = 3.0
"""Weight of tokens to be read against tokens to be waited for: reading again is
priced, a wait within the aim is not."""
REQUEST_TOKENS: Final = 300.0
"""Cost of one running request, in prompt tokens: what a step's slowdown comes to."""
WAITING_TOKENS: Final = 3000.0
"""Cost of one request that waits at the runner."""
FULL_TOKENS: Final = 30_000.0
"""Cost of a runner without a free slot."""
FAILURE_TOKENS: Final = 60_000.0
"""Cost of a runner that fails every request."""
DISTANCE_TOKENS: Final = 150.0
"""Cost of another failure domain; bytes between domains are priced."""
CONNECT_TOKENS: Final = 750.0
"""Cost of a new connection: it is priced as 250 shared tokens that are read again, at
``READ_WEIGHT`` (the users' prices)."""
HOME_BELIEF: Final = 0.9
"""Part of a shared prompt that is taken for cached at its home."""
REPORT_SECONDS: Final = 1.0
"""Time constant by which a report of others' work loses its weight."""
FAILURE_SECONDS: Final = 4.0
"""Time constant by which a failure is forgotten."""
FAILURE_GAIN: Final = 0.3
"""Weight of the newest request in the share of failures: three in a row make two
thirds of it."""
EJECTED_SECONDS: Final = 1.0
"""How long an unreachable runner is left out at first: a crashed one is listed for up
to three heartbeats of 1.2 s."""
EJECTED_MOST_SECONDS: Final = 8.0
"""How long at most: a cut lasts 7 to 9 s."""
PARTS_KEPT: Final = 4000
"""Prompt parts remembered per runner."""


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, in tokens."""

    id: str
    tokens: int


@dataclass(slots=True)
class Candidate:
    """A runner as one host knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this host at the runner.
    pending_tokens : int
        Prompt tokens of those that have not begun to answer.
    others : float
        Requests of other hosts, as of ``others_at``.
    waiting : int
        Requests that waited at the runner, as of ``others_at``.
    failures : float
        Weighted share of failures, 0 to 1, as of ``failed_at``.
    """

    entry: ListedRunner
    in_flight: int = 0
    pending_tokens: int = 0
    others: float = 0.0
    waiting: int = 0
    others_at: float = -math.inf
    failures: float = 0.0
    failed_at: float = 0.0
    ejections: int = 0
    ejected_until: float = -math.inf
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def reported(self, running: int, waiting: int, now: float) -> None:
        """Take a report of the load; own requests are in it."""
        self.others = max(0.0, running + waiting - self.in_flight)
        self.waiting = waiting
        self.others_at = now

    def ended(self, ok: bool, now: float) -> None:
        """Note how a request ended."""
        decayed = self.failure_share(now)
        self.failures = decayed + FAILURE_GAIN * ((0.0 if ok else 1.0) - decayed)
        self.failed_at = now
        if ok:
            self.ejections = 0

    def unreachable(self, now: float) -> None:
        """Leave it out for a while, twice as long each time in a row."""
        seconds = min(EJECTED_MOST_SECONDS, EJECTED_SECONDS * 2.0**self.ejections)
        self.ejected_until = now + seconds
        self.ejections += 1

    def failure_share(self, now: float) -> float:
        """Return the share of failures, aged."""
        return self.failures * math.exp(-(now - self.failed_at) / FAILURE_SECONDS)

    def record_prompt(self, parts: Iterable[Part]) -> None:
        """Note the parts of a prompt that it was sent."""
        for part in parts:
            self.parts[part.id] = part.tokens
            self.parts.move_to_end(part.id)
        while len(self.parts) > PARTS_KEPT:
            self.parts.popitem(last=False)

    def cached(self, parts: Collection[Part]) -> int:
        """Return the tokens of the first parts that it was sent before."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def load(self, now: float) -> float:
        """Return the requests that it works on, as far as known."""
        age = math.exp(-(now - self.others_at) / REPORT_SECONDS)
        return self.in_flight + self.others * age


def place(
    candidates: Collection[Candidate],
    parts: tuple[Part, ...],
    home: str,
    excluded: Collection[str],
    connections_most: int,
    random: Random,
    now: float,
    connected: Collection[str] = (),
) -> Candidate | None:
    """Return the runner for a request, None where there is none.

    Parameters
    ----------
    parts : tuple of Part
        The prompt's parts in order, the last one the request's own; empty for a
        plain service.
    home : str
        Failure domain of this host.
    excluded : collection of str
        Ids of runners that this request was at.
    connections_most : int
        Requests of this host that one runner takes.
    connected : collection of str
        Ids of runners to which an idle connection is open.
    """
    stay = [
        candidate
        for candidate in candidates
        if not candidate.entry.leaving
        and candidate.entry.id not in excluded
        and candidate.in_flight < connections_most
    ]
    usable = [candidate for candidate in stay if now >= candidate.ejected_until]
    usable = usable or stay
    if not usable:
        return None
    first = _home_of(usable, parts)
    costs = [
        (
            _cost(candidate, parts, home, candidate is first, now)
            + (0.0 if candidate.entry.id in connected else CONNECT_TOKENS),
            random.random(),
            index,
        )
        for index, candidate in enumerate(usable)
    ]
    return usable[min(costs)[2]]


def _cost(
    candidate: Candidate, parts: tuple[Part, ...], home: str, first: bool, now: float
) -> float:
    """Return what a request waits for at a runner, in prompt tokens."""
    total = sum(part.tokens for part in parts)
    cached = float(candidate.cached(parts))
    if first and parts:
        cached = max(cached, HOME_BELIEF * (total - parts[-1].tokens))
    load = candidate.load(now)
    cost = READ_WEIGHT * (total - cached) + candidate.pending_tokens
    cost += REQUEST_TOKENS * load
    if now - candidate.others_at < REPORT_SECONDS:
        cost += WAITING_TOKENS * candidate.waiting
    if load >= candidate.entry.slots:
        cost += FULL_TOKENS
    if candidate.entry.failure_domain != home:
        cost += DISTANCE_TOKENS
    return cost + FAILURE_TOKENS * candidate.failure_share(now)


def _home_of(usable: list[Candidate], parts: tuple[Part, ...]) -> Candidate | None:
    """Return the runner that the last shared part belongs to."""
    if len(parts) < 2:
        return None
    part = parts[-2].id
    return max(
        usable,
        key=lambda candidate: xxhash.xxh64_intdigest(
            f"{candidate.entry.id}/{part}".encode()
        ),
    )
