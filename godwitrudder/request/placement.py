"""Placement: chooses the runner of a request from what one host knows.

The cost of a runner is counted in prompt tokens to be read before this request. It
includes the tokens of its own prompt that are not cached there, the tokens that this
host sent and that are not being answered yet, and the load that the runner last
reported, which decays with age. Parts of prompts that no host may have sent yet have a
home runner by rendezvous hashing. Hosts that have not exchanged any state therefore
send a shared part to the same runner.
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
"""Weight of a prompt token that the runner must read, relative to one that it reads
before for other requests. Reading a prompt again has a price; a wait within the target
latency has none."""
REQUEST_TOKENS: Final = 300.0
"""Cost of one running request, in prompt tokens: by how much it slows down a step."""
WAITING_TOKENS: Final = 3000.0
"""Cost of one request that waits at the runner."""
FULL_TOKENS: Final = 30_000.0
"""Cost of a runner without a free slot."""
FAILURE_TOKENS: Final = 60_000.0
"""Cost of a runner that fails every request."""
DISTANCE_TOKENS: Final = 150.0
"""Cost of another failure domain; traffic between domains has a price."""
TRIAL_TOKENS: Final = 30_000.0
"""Cost of a runner with a request on trial, which may end all that it works on."""
CONNECT_TOKENS: Final = 750.0
"""Cost of a new connection: it is priced as 250 shared tokens that are read again, at
``READ_WEIGHT``."""
HOME_CACHED_SHARE: Final = 0.9
"""Share of a shared prompt part that is assumed to be cached at its home runner."""
REPORT_DECAY_SECONDS: Final = 1.0
"""Time constant with which the reported requests of other hosts decay."""
FAILURE_DECAY_SECONDS: Final = 4.0
"""Time constant with which the share of failures decays."""
FAILURE_GAIN: Final = 0.3
"""Weight of the newest request in the share of failures; three failures in a row raise
it to two thirds."""
EJECTED_SECONDS: Final = 1.0
"""First ejection of an unreachable runner: a crashed one stays listed for up to three
heartbeats of 1.2 s."""
MAX_EJECTION_SECONDS: Final = 8.0
"""Longest ejection: a network cut lasts 7 to 9 s."""
PARTS_KEPT: Final = 4000
"""Prompt parts remembered per runner."""


@dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt, in tokens."""

    id: str
    tokens: int


@dataclass(slots=True)
class Directives:
    """What one instance of a runner has asked of this host in its answers.

    Attributes
    ----------
    leaving : bool
        Whether it has said that it leaves.
    backoff_until : float
        Time until which it wants no further request, in monotonic seconds.
    """

    leaving: bool = False
    backoff_until: float = -math.inf

    def back_off(self, seconds: float, now: float) -> None:
        """Send the runner nothing for a time that it has named."""
        self.backoff_until = max(self.backoff_until, now + seconds)


@dataclass(slots=True)
class Candidate:
    """A runner as one host knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this host at the runner.
    trials : int
        Those of them whose prompts may end the runner.
    pending_tokens : int
        Prompt tokens of those requests whose answer has not begun.
    others : float
        Requests of other hosts, as of ``others_at``.
    waiting : int
        Requests that waited at the runner, as of ``others_at``.
    failures : float
        Weighted share of failures, 0 to 1, as of ``failed_at``.
    refused_at : float
        Time at which its address last refused a connection after it had ended one.
    directives : Directives
        What the present instance has asked for.
    unlisted : bool
        Whether its entry was removed at a time at which the store may have been away.
        The entry may only have expired, or the runner may have left.
    replaced : bool
        Whether another instance has answered at its address.
    gone : bool
        Whether it was dropped from the list.
    """

    entry: ListedRunner
    in_flight: int = 0
    trials: int = 0
    pending_tokens: int = 0
    others: float = 0.0
    waiting: int = 0
    others_at: float = -math.inf
    failures: float = 0.0
    failed_at: float = 0.0
    refused_at: float = -math.inf
    ejections: int = 0
    ejected_until: float = -math.inf
    directives: Directives = field(default_factory=Directives)
    unlisted: bool = False
    replaced: bool = False
    gone: bool = False
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)

    @property
    def may_be_used(self) -> bool:
        """Whether the runner may get requests, by what its entry and answers say."""
        leaving = self.entry.leaving or self.directives.leaving
        return not (leaving or self.replaced or self.gone)

    def reported(self, running: int, waiting: int, now: float) -> None:
        """Record a load report of the runner; it includes the requests of this host."""
        self.others = max(0.0, running + waiting - self.in_flight)
        self.waiting = waiting
        self.others_at = now

    def ended(self, ok: bool, now: float) -> None:
        """Record the outcome of a request."""
        decayed = self.failure_share(now)
        self.failures = decayed + FAILURE_GAIN * ((0.0 if ok else 1.0) - decayed)
        self.failed_at = now
        if ok:
            self.ejections = 0

    def unreachable(self, now: float) -> None:
        """Eject the runner; the time doubles with each one in a row up to a maximum."""
        seconds = min(MAX_EJECTION_SECONDS, EJECTED_SECONDS * 2.0**self.ejections)
        self.ejected_until = now + seconds
        self.ejections += 1

    def carry_over(self, former: Candidate) -> None:
        """Respect what the same instance asks for under a former entry."""
        if former.entry.started_ms == self.entry.started_ms:
            self.directives = former.directives

    def failure_share(self, now: float) -> float:
        """Return the share of failures, decayed to now."""
        return self.failures * math.exp(-(now - self.failed_at) / FAILURE_DECAY_SECONDS)

    def record_prompt(self, parts: Iterable[Part]) -> None:
        """Record the prompt parts that were sent to the runner."""
        for part in parts:
            self.parts[part.id] = part.tokens
            self.parts.move_to_end(part.id)
        while len(self.parts) > PARTS_KEPT:
            self.parts.popitem(last=False)

    def cached(self, parts: Collection[Part]) -> int:
        """Return the tokens of the leading parts sent to the runner before."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def load(self, now: float) -> float:
        """Return the estimated number of requests that the runner works on."""
        weight = math.exp(-(now - self.others_at) / REPORT_DECAY_SECONDS)
        return self.in_flight + self.others * weight


def place(
    candidates: Collection[Candidate],
    parts: tuple[Part, ...],
    home: str,
    excluded: Collection[str],
    connections_most: int,
    random: Random,
    now: float,
    connected: Collection[str] = (),
    on_trial: bool = False,
) -> Candidate | None:
    """Return the runner for a request, None if there is none.

    Parameters
    ----------
    parts : tuple of Part
        Parts of the prompt in order; the last one is the request's own. Empty for a
        plain service.
    home : str
        Failure domain of this host.
    excluded : collection of str
        Ids of the runners that this request was sent to before.
    connections_most : int
        Largest number of requests of this host at one runner.
    connected : collection of str
        Ids of the runners with an idle connection.
    on_trial : bool
        Whether the prompt may end the runner.
    """
    eligible = [
        candidate
        for candidate in _trusted(candidates)
        if candidate.entry.id not in excluded
        and candidate.in_flight < connections_most
        and now >= candidate.directives.backoff_until
    ]
    usable = [candidate for candidate in eligible if now >= candidate.ejected_until]
    usable = usable or eligible
    if not usable:
        return None
    home_runner = _home_runner(usable, parts)
    costs = [
        (
            _cost(candidate, parts, home, candidate is home_runner, now)
            + (TRIAL_TOKENS if candidate.trials else 0.0)
            + (REQUEST_TOKENS * candidate.load(now) if on_trial else 0.0)
            + (0.0 if candidate.entry.id in connected else CONNECT_TOKENS),
            random.random(),
            index,
        )
        for index, candidate in enumerate(usable)
    ]
    return usable[min(costs)[2]]


def _trusted(candidates: Collection[Candidate]) -> list[Candidate]:
    """Return the runners that may get requests.

    An outage of the store lets the entries of most runners expire; a runner that leaves
    is one of few. So while more than half of the runners are listed, the others count
    as gone.
    """
    usable = [candidate for candidate in candidates if candidate.may_be_used]
    listed = [candidate for candidate in usable if not candidate.unlisted]
    return listed if 2 * len(listed) > len(usable) else usable


def _cost(
    candidate: Candidate, parts: tuple[Part, ...], home: str, is_home: bool, now: float
) -> float:
    """Return the cost of a request at a runner, in prompt tokens."""
    total = sum(part.tokens for part in parts)
    cached = float(candidate.cached(parts))
    if is_home and parts:
        cached = max(cached, HOME_CACHED_SHARE * (total - parts[-1].tokens))
    load = candidate.load(now)
    cost = READ_WEIGHT * (total - cached) + candidate.pending_tokens
    cost += REQUEST_TOKENS * load
    if now - candidate.others_at < REPORT_DECAY_SECONDS:
        cost += WAITING_TOKENS * candidate.waiting
    if load >= candidate.entry.slots:
        cost += FULL_TOKENS
    if candidate.entry.failure_domain != home:
        cost += DISTANCE_TOKENS
    return cost + FAILURE_TOKENS * candidate.failure_share(now)


def _home_runner(usable: list[Candidate], parts: tuple[Part, ...]) -> Candidate | None:
    """Return the home runner of the last shared part."""
    if len(parts) < 2:
        return None
    part = parts[-2].id
    return max(
        usable,
        key=lambda candidate: xxhash.xxh64_intdigest(
            f"{candidate.entry.id}/{part}".encode()
        ),
    )
