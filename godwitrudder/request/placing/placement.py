"""Placement: chooses the runner of a request from what one host knows.

The cost of a runner is counted in prompt tokens to be read before this request. It
includes the tokens of its own prompt that are not cached there, the tokens that this
host sent and that are not being answered yet, and the load that the runner last
reported, which decays with age. Parts of prompts that no host may have sent yet have a
home runner by rendezvous hashing. Hosts that have not exchanged any state therefore
send a shared part to the same runner.

Where runners report how long work takes on them, the work that waits at a runner and
the work of the request itself are weighted by it, and silence and timeouts have a cost.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random
from typing import Final

import xxhash

from godwitrudder.options import DEFAULT_DOMAIN_TOKENS
from godwitrudder.request.placing.candidate import (
    REPORT_DECAY_SECONDS,
    Candidate,
    Part,
)

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
OWN_TOKENS: Final = 1000.0
"""Work of a request beside its prompt; at a runner that takes 2.5 times as long, it
must cost more than a new connection to another failure domain."""
TRIAL_TOKENS: Final = 30_000.0
"""Cost of a runner with a request on trial, which may end all that it works on."""
CONNECT_TOKENS: Final = 750.0
"""Cost of a new connection: it is priced as 250 shared tokens that are read again, at
``READ_WEIGHT``."""
HOME_CACHED_SHARE: Final = 0.9
"""Share of a shared prompt part that is assumed to be cached at its home runner."""


@dataclass(slots=True)
class Cost:
    """The terms of a request's cost at a runner, in prompt tokens.

    Attributes
    ----------
    prompt : float
        The tokens of its prompt that are not cached there, weighted.
    pending : float
        Tokens of other prompts that the runner reads first.
    running, waiting : float
        For the requests that run or wait at the runner.
    full : float
        For having no free slot.
    distance : float
        For another failure domain.
    failures : float
        For the share of failures.
    slowness : float
        For work that takes longer there than usual; negative if it takes less time.
    silence : float
        For requests that the runner has not answered for long.
    trials : float
        For requests on trial at the runner.
    on_trial : float
        For the requests that this one may end, if it is on trial.
    connection : float
        For a new connection.
    """

    prompt: float = 0.0
    pending: float = 0.0
    running: float = 0.0
    waiting: float = 0.0
    full: float = 0.0
    distance: float = 0.0
    failures: float = 0.0
    slowness: float = 0.0
    silence: float = 0.0
    trials: float = 0.0
    on_trial: float = 0.0
    connection: float = 0.0

    @property
    def total(self) -> float:
        """Return the sum of all terms."""
        known = self.prompt + self.pending + self.connection + self.distance
        load = self.running + self.waiting + self.full
        speed = self.slowness + self.silence
        return known + load + speed + self.failures + self.trials + self.on_trial


@dataclass(slots=True)
class Weighed:
    """A runner with its cost, or why it may not get the request.

    Attributes
    ----------
    exclusion : str
        Empty if it may get the request.
    """

    candidate: Candidate
    cost: Cost | None
    exclusion: str = ""


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
    domain_tokens: float = DEFAULT_DOMAIN_TOKENS,
) -> Candidate | None:
    """Return the runner for a request, None if there is none; see ``weigh``."""
    weighed = weigh(
        candidates,
        parts,
        home,
        excluded,
        connections_most,
        now,
        connected,
        on_trial,
        domain_tokens,
    )
    return cheapest(weighed, random)


def cheapest(weighed: Collection[Weighed], random: Random) -> Candidate | None:
    """Return the runner of the least cost; chance decides between equal ones."""
    found = [
        (each.cost.total, random.random(), index)
        for index, each in enumerate(weighed)
        if each.cost is not None
    ]
    return [*weighed][min(found)[2]].candidate if found else None


def weigh(
    candidates: Collection[Candidate],
    parts: tuple[Part, ...],
    home: str,
    excluded: Collection[str],
    connections_most: int,
    now: float,
    connected: Collection[str] = (),
    on_trial: bool = False,
    domain_tokens: float = DEFAULT_DOMAIN_TOKENS,
) -> list[Weighed]:
    """Return the cost of a request at each runner that may get it, and the others.

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
    domain_tokens : float
        Cost of another failure domain; traffic between domains has a price.
    """
    reasons = _exclusions(candidates, excluded, connections_most, now)
    usable = _without_reason(candidates, reasons)
    home_runner = _home_runner(usable, parts)
    uneven = any(candidate.work_percent is not None for candidate in candidates)
    weighed = []
    for candidate, reason in zip(candidates, reasons, strict=True):
        if reason:
            weighed.append(Weighed(candidate, None, reason))
            continue
        cost = _cost(
            candidate,
            parts,
            candidate is home_runner,
            0.0 if candidate.entry.failure_domain == home else domain_tokens,
            now,
            uneven,
        )
        cost.trials = TRIAL_TOKENS if candidate.trials else 0.0
        cost.on_trial = REQUEST_TOKENS * candidate.load(now) if on_trial else 0.0
        cost.connection = 0.0 if candidate.entry.id in connected else CONNECT_TOKENS
        weighed.append(Weighed(candidate, cost))
    return weighed


def usable_runners(
    candidates: Collection[Candidate],
    excluded: Collection[str],
    connections_most: int,
    now: float,
) -> list[Candidate]:
    """Return the runners that a request may be sent to; ejected ones if all are."""
    reasons = _exclusions(candidates, excluded, connections_most, now)
    return _without_reason(candidates, reasons)


def is_usable(
    candidate: Candidate, excluded: Collection[str], connections_most: int, now: float
) -> bool:
    """Whether ``usable_runners`` contains a runner whatever is known of the others."""
    if _distrust(candidate, trusts_unlisted=False) or now < candidate.ejected_until:
        return False
    return not _obstacle(candidate, excluded, connections_most, now)


def trusted(candidates: Collection[Candidate]) -> list[Candidate]:
    """Return the runners that may get requests, by their entries and answers."""
    return _without_reason(candidates, distrust(candidates))


def distrust(candidates: Collection[Candidate]) -> list[str]:
    """Return for each runner why ``trusted`` leaves it out, empty if it does not."""
    trusts_unlisted = _trusts_unlisted(candidates)
    return [_distrust(candidate, trusts_unlisted) for candidate in candidates]


def _exclusions(
    candidates: Collection[Candidate],
    excluded: Collection[str],
    connections_most: int,
    now: float,
) -> list[str]:
    """Return for each runner why it may not get a request, empty if it may."""
    reasons = [
        reason or _obstacle(candidate, excluded, connections_most, now)
        for candidate, reason in zip(candidates, distrust(candidates), strict=True)
    ]
    eligible = _without_reason(candidates, reasons)
    if all(now < candidate.ejected_until for candidate in eligible):
        return reasons
    return [
        reason or ("ejected" if now < candidate.ejected_until else "")
        for candidate, reason in zip(candidates, reasons, strict=True)
    ]


def _without_reason(
    candidates: Collection[Candidate], reasons: list[str]
) -> list[Candidate]:
    """Return the runners for which there is no reason against them."""
    pairs = zip(candidates, reasons, strict=True)
    return [candidate for candidate, reason in pairs if not reason]


def _distrust(candidate: Candidate, trusts_unlisted: bool) -> str:
    if not candidate.may_be_used:
        return "left"
    return "unlisted" if candidate.unlisted and not trusts_unlisted else ""


def _obstacle(
    candidate: Candidate, excluded: Collection[str], connections_most: int, now: float
) -> str:
    """Return why a listed runner may not get a request now, empty if it may."""
    if candidate.entry.id in excluded:
        return "tried"
    if candidate.in_flight >= connections_most:
        return "connections"
    return "backoff" if now < candidate.directives.backoff_until else ""


def _trusts_unlisted(candidates: Collection[Candidate]) -> bool:
    """Whether runners whose entries were removed may get requests.

    An outage of the store lets the entries of most runners expire; a runner that leaves
    is one of few. So while more than half of the runners are listed, the others count
    as gone.
    """
    usable = [candidate for candidate in candidates if candidate.may_be_used]
    listed = [candidate for candidate in usable if not candidate.unlisted]
    return 2 * len(listed) <= len(usable)


def _cost(
    candidate: Candidate,
    parts: tuple[Part, ...],
    is_home: bool,
    distance: float,
    now: float,
    uneven: bool,
) -> Cost:
    """Return the cost of a request at a runner, for what the runner knows and does.

    Parameters
    ----------
    distance : float
        Cost of the runner's failure domain.
    uneven : bool
        Whether runners of the target report how long work takes on them. Then the work
        that waits at the runner and that of the request itself are weighted by it, and
        silence and timeouts have a cost.
    """
    total = sum(part.tokens for part in parts)
    cached = float(candidate.cached(parts))
    if is_home and parts:
        cached = max(cached, HOME_CACHED_SHARE * (total - parts[-1].tokens))
    load = candidate.load(now)
    cost = Cost(READ_WEIGHT * (total - cached), candidate.pending_tokens)
    cost.running = REQUEST_TOKENS * load
    if now - candidate.others_at < REPORT_DECAY_SECONDS:
        cost.waiting = WAITING_TOKENS * candidate.waiting
    if load >= candidate.entry.slots:
        cost.full = FULL_TOKENS
    cost.distance = distance
    failures = candidate.failure_share(now)
    if uneven:
        work = cost.pending + cost.running + OWN_TOKENS + total - cached + cost.waiting
        cost.slowness = (candidate.slowness(now) - 1.0) * work
        cost.silence = candidate.silence.tokens(now)
        failures = max(failures, candidate.silence.timeout_share(now))
    cost.failures = FAILURE_TOKENS * failures
    return cost


def _home_runner(usable: list[Candidate], parts: tuple[Part, ...]) -> Candidate | None:
    """Return the home runner of the last shared part."""
    if len(parts) < 2 or not usable:
        return None
    part = parts[-2].id
    return max(
        usable,
        key=lambda candidate: xxhash.xxh64_intdigest(
            f"{candidate.entry.id}/{part}".encode()
        ),
    )
