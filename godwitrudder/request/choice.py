"""Choice of a runner from what one daemon knows, all of it late.

A runner's score is its estimated work plus penalties, in requests: own work in
flight, exactly known; the work of others, from the aggregator's answers or the
runner's own load report, whichever is newer, drawn towards the mean as it ages;
more where its slots are full; less what a cached prompt prefix saves; plus a little
for another failure domain.  While all news are fresh, one of those that are about
as good as the best is drawn; with older news the better of two random ones among
the best half, so that daemons with the same late news don't all run to one place
(Mitzenmacher, 2001).  A runner that fails or falls far behind its peers is ejected
for a while, and comes back through single probes.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import Final

from godwitrudder.sections import Address

NEWS_AGE_SECONDS: Final = 3.0
REPORT_LAG_SECONDS: Final = 1.5
DISTANCE_REQUESTS: Final = 0.25
PREFIX_REQUESTS: Final = 8.0
BEST_SHARE: Final = 0.5
FRESH_SECONDS: Final = 0.5
TIE_REQUESTS: Final = 1.0
SLOTS_DEFAULT: Final = 8
FULL_REQUESTS: Final = 4.0
LATENCY_GAIN: Final = 0.2
SLOW_FACTOR: Final = 3.0
SLOW_SAMPLES_LEAST: Final = 3
SLOW_SECONDS_LEAST: Final = 0.5
FAILURES_MOST: Final = 2
EJECTED_SECONDS: Final = 2.0
EJECTED_MOST_SECONDS: Final = 30.0
EJECTED_MOST_SHARE: Final = 0.5
LEAVING_SECONDS: Final = 60.0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class Runner:
    """One instance of a target, as this daemon knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this daemon that it works on.
    others : float
        Requests of others that it works on, as of ``others_at``.
    told : int
        The same as the aggregator's answers last said, to which they add changes.
    leaving : bool
        Gets no new work, says the host list.
    left_until : float
        Gets no new work until then, says the runner or a peer.
    latency_seconds : float
        Aged mean of the time to the first token.
    unanswered : deque of float
        When the requests that wait for a first token were sent.
    """

    id: str
    target: str
    address: Address
    failure_domain: str
    in_flight: int = 0
    others: float = 0.0
    others_at: float = NEVER
    reported_others: int = 0
    leaving: bool = False
    left_until: float = NEVER
    latency_seconds: float = 0.0
    samples: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = NEVER
    probing: bool = False
    unanswered: deque[float] = field(default_factory=deque)

    def started(self, now: float) -> None:
        """Note that a request was sent."""
        self.in_flight += 1
        self.unanswered.append(now)
        self.probing = self.ejections > 0

    def first_token(self, seconds: float, now: float) -> None:
        """Note the time to a first token."""
        if self.unanswered:
            sent = min(self.unanswered, key=lambda at: abs(now - seconds - at))
            self.unanswered.remove(sent)
        gain = max(LATENCY_GAIN, 1.0 / (self.samples + 1))
        self.latency_seconds += gain * (seconds - self.latency_seconds)
        self.samples += 1

    def ended(self, ok: bool, now: float) -> bool:
        """Note the end of a request; return whether it ejects the runner."""
        self.in_flight -= 1
        self.probing = False
        while len(self.unanswered) > self.in_flight:
            self.unanswered.popleft()
        if ok:
            self.failures = 0
            self.ejections = max(0, self.ejections - 1)
            return False
        return self.record_failure(now)

    def record_failure(self, now: float) -> bool:
        """Note a failure; several in a row, or one of a probe, eject the runner."""
        self.failures += 1
        if self.failures < FAILURES_MOST and not self.ejections:
            return False
        if now >= self.ejected_until:
            self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Take it out, twice as long each time."""
        seconds = min(EJECTED_MOST_SECONDS, EJECTED_SECONDS * 2.0**self.ejections)
        self.ejected_until = now + seconds
        self.ejections += 1
        self.failures = 0
        self.samples = 0

    def update_others(self, others: float, at: float) -> None:
        """Take news, as of ``at``, of the work that others gave it."""
        if at >= self.others_at:
            self.others = max(0.0, others)
            self.others_at = at

    def usable(self, now: float) -> bool:
        """Whether it may get new work; after an ejection, one probe at a time."""
        if self.leaving or now < self.left_until or now < self.ejected_until:
            return False
        return not (self.ejections and self.probing)

    def overdue_seconds(self, now: float) -> float:
        """Return how long the oldest request has waited for its first token."""
        return now - self.unanswered[0] if self.unanswered else 0.0


def choose(
    runners: Collection[Runner],
    home: str,
    excluded: Collection[str],
    random: Random,
    now: float,
    match_by_runner: dict[str, float] | None = None,
    slots: int = SLOTS_DEFAULT,
) -> Runner | None:
    """Return the runner for a new request, None where there is none.

    Parameters
    ----------
    runners : collection of Runner
        All runners of the target.
    home : str
        Failure domain of this daemon.
    excluded : collection of str
        Runners that failed this request.
    match_by_runner : dict, optional
        Share of the prompt that a runner has cached, 0 to 1.
    slots : int
        Requests that a runner works on at once; more wait there.
    """
    stay = [
        runner
        for runner in runners
        if not runner.leaving and now >= runner.left_until and runner.id not in excluded
    ]
    usable = [runner for runner in stay if runner.usable(now)]
    if not usable:
        # An ejection is a guess: with nothing better, an ejected runner serves.
        usable = stay
    if not usable:
        return None
    matches = match_by_runner or {}
    mean = sum(runner.others for runner in usable) / len(usable)
    scored = sorted(
        (
            score(runner, home, mean, now, matches.get(runner.id, 0.0), slots),
            random.random(),
            index,
        )
        for index, runner in enumerate(usable)
    )
    oldest = min(runner.others_at for runner in usable)
    if now - oldest <= FRESH_SECONDS:
        most = scored[0][0] + TIE_REQUESTS
        return usable[random.choice([i for value, _, i in scored if value <= most])]
    best = scored[: max(2, math.ceil(len(scored) * BEST_SHARE))]
    pair = random.sample(best, min(2, len(best)))
    return usable[min(pair)[2]]


def score(
    runner: Runner, home: str, mean: float, now: float, match: float, slots: int
) -> float:
    """Return the estimated work of a runner, in requests; less is better."""
    trust = math.exp(-(now - runner.others_at) / NEWS_AGE_SECONDS)
    others = mean + (runner.others - mean) * trust
    distance = 0.0 if runner.failure_domain == home else DISTANCE_REQUESTS
    work = runner.in_flight + others
    waiting = max(0.0, work - slots)
    return work + FULL_REQUESTS * waiting + distance - PREFIX_REQUESTS * match


def outliers(runners: Collection[Runner], now: float) -> list[Runner]:
    """Return the runners to eject: far slower than the middle one."""
    judged = [runner for runner in runners if runner.samples >= SLOW_SAMPLES_LEAST]
    if len(judged) < 2:
        return []
    middle = median(runner.latency_seconds for runner in judged)
    limit = max(SLOW_SECONDS_LEAST, middle * SLOW_FACTOR)
    out = sum(now < runner.ejected_until for runner in runners)
    room = int(len(runners) * EJECTED_MOST_SHARE) - out
    slow = [
        runner
        for runner in runners
        if runner.usable(now)
        and (
            (runner.samples >= SLOW_SAMPLES_LEAST and runner.latency_seconds > limit)
            or runner.overdue_seconds(now) > limit
        )
    ]
    return slow[: max(0, room)]
