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
    domain_tokens : float
        Cost of another failure domain; traffic between domains has a price.
    """
    usable = usable_runners(candidates, excluded, connections_most, now)
    if not usable:
        return None
    home_runner = _home_runner(usable, parts)
    uneven = any(candidate.work_percent is not None for candidate in candidates)
    costs = [
        (
            _cost(
                candidate,
                parts,
                candidate is home_runner,
                0.0 if candidate.entry.failure_domain == home else domain_tokens,
                now,
                uneven,
            )
            + (TRIAL_TOKENS if candidate.trials else 0.0)
            + (REQUEST_TOKENS * candidate.load(now) if on_trial else 0.0)
            + (0.0 if candidate.entry.id in connected else CONNECT_TOKENS),
            random.random(),
            index,
        )
        for index, candidate in enumerate(usable)
    ]
    return usable[min(costs)[2]]


def usable_runners(
    candidates: Collection[Candidate],
    excluded: Collection[str],
    connections_most: int,
    now: float,
) -> list[Candidate]:
    """Return the runners that a request may be sent to; ejected ones if all are."""
    eligible = [
        candidate
        for candidate in trusted(candidates)
        if _accepts(candidate, excluded, connections_most, now)
    ]
    usable = [candidate for candidate in eligible if now >= candidate.ejected_until]
    return usable or eligible


def is_usable(
    candidate: Candidate, excluded: Collection[str], connections_most: int, now: float
) -> bool:
    """Whether ``usable_runners`` contains a runner whatever is known of the others."""
    return (
        candidate.may_be_used
        and not candidate.unlisted
        and now >= candidate.ejected_until
        and _accepts(candidate, excluded, connections_most, now)
    )


def _accepts(
    candidate: Candidate, excluded: Collection[str], connections_most: int, now: float
) -> bool:
    return (
        candidate.entry.id not in excluded
        and candidate.in_flight < connections_most
        and now >= candidate.directives.backoff_until
    )


def trusted(candidates: Collection[Candidate]) -> list[Candidate]:
    """Return the runners that may get requests.

    An outage of the store lets the entries of most runners expire; a runner that leaves
    is one of few. So while more than half of the runners are listed, the others count
    as gone.
    """
    usable = [candidate for candidate in candidates if candidate.may_be_used]
    listed = [candidate for candidate in usable if not candidate.unlisted]
    return listed if 2 * len(listed) > len(usable) else usable


def _cost(
    candidate: Candidate,
    parts: tuple[Part, ...],
    is_home: bool,
    distance: float,
    now: float,
    uneven: bool,
) -> float:
    """Return the cost of a request at a runner, in prompt tokens.

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
    is_recent = now - candidate.others_at < REPORT_DECAY_SECONDS
    cost = READ_WEIGHT * (total - cached) + candidate.pending_tokens
    cost += REQUEST_TOKENS * load
    if is_recent:
        cost += WAITING_TOKENS * candidate.waiting
    if load >= candidate.entry.slots:
        cost += FULL_TOKENS
    cost += distance
    failures = candidate.failure_share(now)
    if uneven:
        work = candidate.pending_tokens + REQUEST_TOKENS * load + OWN_TOKENS
        work += (
            total - cached + (WAITING_TOKENS * candidate.waiting if is_recent else 0)
        )
        cost += (candidate.slowness(now) - 1.0) * work + candidate.silence.tokens(now)
        failures = max(failures, candidate.silence.timeout_share(now))
    return cost + FAILURE_TOKENS * failures


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
