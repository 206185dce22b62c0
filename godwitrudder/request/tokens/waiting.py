"""How long a request waits for tokens, and whether waiting is worthwhile.

All times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Final

from godwitrudder.request import retry_delay

MAX_WAIT_SECONDS: Final = 2.5
"""Longest wait for tokens, by the requirements."""
MAX_WAIT_SHARE: Final = 0.25
"""Largest share of the time from arrival to deadline, by the requirements."""
ASK_AGAIN_SECONDS: Final = 0.25
"""Time between two rounds of questions to lenders. Nine of ten answers that came after
the first 20 ms came within 0.24 s on a hard day with 86 hosts."""
WAITED_RETRY_SHARE: Final = 0.5
"""Share of the usual ``Retry-After`` for a request that waited the longest time."""
SERVICE_GAIN: Final = 0.1
"""Weight of the newest sample in the mean time of service."""


@dataclass(slots=True)
class ServiceTimes:
    """Mean time of service by route, as this host has seen it."""

    _mean_by_route: dict[str, float] = field(default_factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Record the time from a request's tokens to the end of its answer."""
        mean = self._mean_by_route.get(route, seconds)
        self._mean_by_route[route] = mean + SERVICE_GAIN * (seconds - mean)

    def expected(self, route: str, objective_seconds: float) -> float:
        """Return the mean, or the latency objective while there is none."""
        return self._mean_by_route.get(route, objective_seconds)


def longest_wait_seconds(
    arrived_at: float, deadline: float, now: float, service_seconds: float
) -> float:
    """Return how long a request may wait from now; 0 if its deadline leaves no time."""
    by_share = arrived_at + (deadline - arrived_at) * MAX_WAIT_SHARE - now
    by_service = deadline - service_seconds - now
    return max(0.0, min(MAX_WAIT_SECONDS - (now - arrived_at), by_share, by_service))


@dataclass(frozen=True, slots=True)
class Prospects:
    """What the waiting requests of a workspace may get tokens from.

    Attributes
    ----------
    remainder : int or None
        Tokens left of the budget; None if that is not known freshly.
    draining : bool
        Whether the host drains.
    store_answers : bool
        Whether a statement may reach the store.
    lendable : int
        Tokens that other hosts which answer can lend until the waits end, as far as
        known.  Needed only while the store does not answer.
    """

    remainder: int | None
    draining: bool
    store_answers: bool
    lendable: int


@dataclass(frozen=True, slots=True)
class Outlook:
    """What one waiting request needs.

    Attributes
    ----------
    tokens, missing : int
        Tokens that it can use at most, and those of them that are missing.
    opens_in_time : bool
        Whether enough of what is held here opens before its wait ends.
    lenders_asked : bool
        Whether lenders were asked since the request came, or there are none to ask.
        What is known about them without that is too uncertain to refuse a request.
    """

    tokens: int
    missing: int
    opens_in_time: bool
    lenders_asked: bool


def worth_waiting(outlook: Outlook, prospects: Prospects) -> bool:
    """Whether tokens may come in time."""
    if prospects.draining:
        return False
    if prospects.remainder is not None and prospects.remainder < outlook.tokens:
        return False
    if prospects.store_answers or outlook.opens_in_time or not outlook.lenders_asked:
        return True
    return prospects.lendable >= outlook.missing


def retry_seconds(silent: float, left: float, waited: float, random: Random) -> float:
    """Return the ``Retry-After`` of a refusal for lack of tokens.

    A request that has waited comes back sooner than one refused on arrival, unless its
    caller is told to come back when an outage of the store should be over.

    Parameters
    ----------
    silent : float
        Seconds since the store last answered.
    left : float
        Seconds left until the caller's deadline.
    waited : float
        Seconds that the request has waited.
    """
    seconds = retry_delay.token_retry_seconds(silent, left, random)
    usual = retry_delay.OTHER_HOST_SECONDS * (1 + retry_delay.JITTER_SHARE)
    if seconds <= usual:
        part = min(1.0, waited / MAX_WAIT_SECONDS)
        seconds *= 1 - (1 - WAITED_RETRY_SHARE) * part
    return retry_delay.cap_retry_seconds(seconds, left)
