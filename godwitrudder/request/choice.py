"""Choice of a runner from one daemon's delayed view of the load.

A runner's score is its estimated work plus penalties, in requests. The daemon's own
requests in flight are known exactly. The number of other daemons' requests comes from
the aggregator's answers or from the runner's own load report, whichever is newer. As it
ages, the mean over the usable runners replaces it. Full slots and another failure
domain raise the score, a cached prompt prefix lowers it.

While all reports are fresh, the choice is random among the runners whose scores are
close to the best one. With older reports it is the better of two random runners from
the best half, so that daemons with the same old reports don't all choose the same
runner (Mitzenmacher, 2001). A runner that fails or is far slower than its peers is
ejected for some seconds. After that it gets one probe request at a time; each success
cancels one ejection.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from random import Random
from statistics import median
from typing import Final

from godwitrudder.validation import Address

# Time constant with which a report of other daemons' requests loses its weight.
REPORT_DECAY_SECONDS: Final = 3.0
REPORT_LAG_SECONDS: Final = 1.5
# Score penalty of another failure domain.
DISTANCE_REQUESTS: Final = 0.25
# Score reduction for a completely cached prompt.
PREFIX_REQUESTS: Final = 8.0
# Part of the runners, best scores first, from which two are drawn if reports are old.
BEST_SHARE: Final = 0.5
# Largest age at which a report counts as fresh.
FRESH_SECONDS: Final = 0.5
# Distance from the best score within which runners count as equal.
TIE_REQUESTS: Final = 1.0
SLOTS_DEFAULT: Final = 8
# Score penalty of each request beyond the slots.
FULL_REQUESTS: Final = 4.0
# Weight of the newest latency in the mean.
LATENCY_GAIN: Final = 0.2
# A runner is an outlier above this multiple of the median latency.
SLOW_FACTOR: Final = 3.0
MIN_SLOW_SAMPLES: Final = 3
MIN_SLOW_SECONDS: Final = 0.5
# Failures in a row that eject a runner.
MAX_FAILURES: Final = 2
EJECTED_SECONDS: Final = 2.0
MAX_EJECTION_SECONDS: Final = 30.0
# Largest share of a target's runners that outlier detection ejects at a time.
MAX_EJECTED_SHARE: Final = 0.5
LEAVING_SECONDS: Final = 60.0
NEVER: Final = float("-inf")


@dataclass(slots=True)
class Runner:
    """One instance of a target, as this daemon knows it.

    Attributes
    ----------
    in_flight : int
        Requests of this daemon at the runner.
    others : float
        Requests of other daemons at the runner, as of ``others_at``.
    reported_others : int
        The same number according to the aggregator, whose answers carry changes to it.
    leaving : bool
        Gets no new work, according to the host list.
    left_until : float
        Gets no new work until then, according to the runner or a peer.
    latency_seconds : float
        Exponentially decaying mean of the time to the first token.
    unanswered : deque of float
        Send times of the requests that wait for a first token.
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
        """Record that a request was sent."""
        self.in_flight += 1
        self.unanswered.append(now)
        self.probing = self.ejections > 0

    def first_token(self, seconds: float, now: float) -> None:
        """Record the time to a first token."""
        if self.unanswered:
            sent = min(self.unanswered, key=lambda at: abs(now - seconds - at))
            self.unanswered.remove(sent)
        gain = max(LATENCY_GAIN, 1.0 / (self.samples + 1))
        self.latency_seconds += gain * (seconds - self.latency_seconds)
        self.samples += 1

    def ended(self, ok: bool, now: float) -> bool:
        """Record the end of a request; return whether it ejects the runner."""
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
        """Record a failure; two in a row or a failed probe eject the runner."""
        self.failures += 1
        if self.failures < MAX_FAILURES and not self.ejections:
            return False
        if now >= self.ejected_until:
            self.eject(now)
        return True

    def eject(self, now: float) -> None:
        """Eject the runner; the time doubles with each ejection up to a maximum."""
        seconds = min(MAX_EJECTION_SECONDS, EJECTED_SECONDS * 2.0**self.ejections)
        self.ejected_until = now + seconds
        self.ejections += 1
        self.failures = 0
        self.samples = 0

    def update_others(self, others: float, at: float) -> None:
        """Record other daemons' requests as of ``at``, unless newer data is known."""
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
    """Return the runner for a new request, None if there is none.

    Parameters
    ----------
    runners : collection of Runner
        All runners of the target.
    home : str
        Failure domain of this daemon.
    excluded : collection of str
        Ids of the runners that failed this request.
    match_by_runner : dict, optional
        Share of the prompt that each runner has cached, 0 to 1.
    slots : int
        Requests that a runner works on at a time; more wait there.
    """
    eligible = [
        runner
        for runner in runners
        if not runner.leaving and now >= runner.left_until and runner.id not in excluded
    ]
    usable = [runner for runner in eligible if runner.usable(now)]
    if not usable:
        # An ejection may be wrong: if no other runner is left, an ejected one serves.
        usable = eligible
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
        tie_limit = scored[0][0] + TIE_REQUESTS
        return usable[
            random.choice([i for value, _, i in scored if value <= tie_limit])
        ]
    best = scored[: max(2, math.ceil(len(scored) * BEST_SHARE))]
    pair = random.sample(best, min(2, len(best)))
    return usable[min(pair)[2]]


def score(
    runner: Runner, home: str, mean: float, now: float, match: float, slots: int
) -> float:
    """Return the estimated work of a runner, in requests; lower is better."""
    weight = math.exp(-(now - runner.others_at) / REPORT_DECAY_SECONDS)
    others = mean + (runner.others - mean) * weight
    distance = 0.0 if runner.failure_domain == home else DISTANCE_REQUESTS
    work = runner.in_flight + others
    waiting = max(0.0, work - slots)
    return work + FULL_REQUESTS * waiting + distance - PREFIX_REQUESTS * match


def outliers(runners: Collection[Runner], now: float) -> list[Runner]:
    """Return the runners to eject: those far slower than the median."""
    sampled = [runner for runner in runners if runner.samples >= MIN_SLOW_SAMPLES]
    if len(sampled) < 2:
        return []
    median_seconds = median(runner.latency_seconds for runner in sampled)
    limit = max(MIN_SLOW_SECONDS, median_seconds * SLOW_FACTOR)
    ejected = sum(now < runner.ejected_until for runner in runners)
    ejections_left = int(len(runners) * MAX_EJECTED_SHARE) - ejected
    slow = [
        runner
        for runner in runners
        if runner.usable(now)
        and (
            (runner.samples >= MIN_SLOW_SAMPLES and runner.latency_seconds > limit)
            or runner.overdue_seconds(now) > limit
        )
    ]
    return slow[: max(0, ejections_left)]
