"""How long work takes at a runner, as one host knows it.

Three observations are told apart by how fast they change.  What the runner reports of
its machine changes many times a second.  Its speed relative to the other runners of
its target lasts, and a host learns it slowly from the times to first events.  Silence
is a runner that takes requests and answers none of them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

USUAL_PERCENT: Final = 100.0
"""Reported figure of a runner on which work takes as long as usual."""
WORK_DECAY_SECONDS: Final = 0.6
"""Time constant with which a reported excess decays: runners stay slow for about 600 ms
at a time, so this is the chance that the report still holds."""
MAX_WORK_EXCESS: Final = 19.0
"""Largest reported excess that is used; a larger one changes no placement."""
STEP_TOKENS: Final = 300.0
"""Fixed part of the time to a first event, in prompt tokens."""
PRIOR_SAMPLES: Final = 4.0
"""Samples of the target's mean that count beside those of a runner, so that the first
few, which depend on other requests, change little."""
MAX_SAMPLES: Final = 30.0
"""Samples after which older ones lose weight; a host sees a few a minute per runner."""
PACE_GAIN: Final = 0.02
"""Weight of the newest sample in the target's mean: about one of each of 45 runners."""
MAX_DEVIATION: Final = math.log(3.0)
"""Largest deviation of one sample from the target's mean, as a logarithm."""
MIN_SLOWNESS: Final = 0.5
MAX_SLOWNESS: Final = 2.0
"""Bounds of a runner's lasting slowness; the speeds are 0.7 to 1.7 times the usual."""
LOGGED_RATIO: Final = 1.2
"""Change of a lasting slowness that is logged."""
SILENT_SHARE: Final = 0.4
"""Share of timeouts from which a runner counts as silent: one recent timeout."""
SILENCE_GRACE_SECONDS: Final = 0.5
"""Silence that has no cost: the largest prompts take that long at a sound runner."""
SILENCE_TOKENS_PER_SECOND: Final = 20_000.0
"""Cost of further silence: what a sound runner reads in that time."""
TIMEOUT_GAIN: Final = 0.5
"""Weight of the newest attempt in the share of timeouts, above that of failures: a host
sends a runner that answers nothing a few requests in the time that the share lasts."""
TIMEOUT_DECAY_SECONDS: Final = 10.0
"""Time constant with which the share of timeouts decays."""


@dataclass(slots=True)
class WorkTime:
    """How long work takes on a runner's machine by its own reports.

    A longer time is taken over at once.  A shorter one never is: the excess only
    decays, so that hosts that read the same report do not return together.

    Attributes
    ----------
    excess : float
        Time beyond the usual one as a multiple of it, as of ``reported_at``.
    reported_at : float
        Monotonic seconds.
    """

    excess: float = 0.0
    reported_at: float = -math.inf

    def report(self, percent: float, now: float) -> None:
        """Record a report; figures below the usual one count as usual."""
        newest = min(MAX_WORK_EXCESS, max(0.0, percent / USUAL_PERCENT - 1.0))
        self.excess = max(newest, self.factor(now) - 1.0)
        self.reported_at = now

    def factor(self, now: float) -> float:
        """Return the expected time of work as a multiple of the usual one."""
        if not self.excess:
            return 1.0
        age = now - self.reported_at
        return 1.0 + self.excess * math.exp(-age / WORK_DECAY_SECONDS)


@dataclass(slots=True)
class Speed:
    """Lasting speed of one runner relative to its target's mean.

    Attributes
    ----------
    deviations : float
        Weighted sum of the logarithms of its times relative to the mean.
    samples : float
        Weight of these samples.
    slowness : float
        Time that work takes as a multiple of the target's mean.
    announced : float
        Slowness that was last logged.
    """

    deviations: float = 0.0
    samples: float = 0.0
    slowness: float = 1.0
    announced: float = 1.0

    def add(self, deviation: float) -> None:
        """Add one sample."""
        keep = min(1.0, (MAX_SAMPLES - 1.0) / max(1.0, self.samples))
        self.samples = self.samples * keep + 1.0
        self.deviations = self.deviations * keep + deviation
        slowness = math.exp(self.deviations / (self.samples + PRIOR_SAMPLES))
        self.slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))

    @property
    def changed(self) -> bool:
        """Whether the slowness differs much from the one that was last logged."""
        ratio = self.slowness / self.announced
        return not 1.0 / LOGGED_RATIO < ratio < LOGGED_RATIO


@dataclass(slots=True)
class Pace:
    """Mean time to the first event per prompt token, over the runners of a target.

    Attributes
    ----------
    mean : float or None
        Logarithm of the seconds per token; None without a sample.
    """

    mean: float | None = None

    def deviation(self, seconds: float, tokens: float, factor: float) -> float:
        """Add a sample to the mean and return its deviation from it.

        Parameters
        ----------
        seconds : float
            Time from sending the request to its first event.
        tokens : float
            Prompt tokens that this host knew the runner had to read until then.
        factor : float
            Time of work at the runner as a multiple of the usual one.
        """
        value = math.log(max(1e-6, seconds) / (tokens + STEP_TOKENS) / factor)
        if self.mean is None:
            self.mean = value
        bounded = min(MAX_DEVIATION, max(-MAX_DEVIATION, value - self.mean))
        self.mean += PACE_GAIN * bounded
        return bounded


@dataclass(slots=True)
class Silence:
    """Whether a runner answers what this host sends it.

    Attributes
    ----------
    awaited : int
        Requests of this host that the runner has not begun to answer.
    since : float
        Monotonic seconds since which the runner has sent nothing while one was awaited.
    timeouts : float
        Weighted share of attempts that timed out, 0 to 1, as of ``ended_at``.
    announced : bool
        Whether the log says that the runner is silent.
    """

    awaited: int = 0
    since: float = math.inf
    timeouts: float = 0.0
    ended_at: float = 0.0
    announced: bool = False

    def sent(self, now: float) -> None:
        """Record that a request was sent."""
        if not self.awaited:
            self.since = now
        self.awaited += 1

    def stopped(self) -> None:
        """Record that the answer to a request has begun, or is not awaited any more."""
        self.awaited -= 1

    def heard(self, now: float) -> None:
        """Record that the runner has sent something."""
        self.since = now

    def ended(self, timed_out: bool, now: float) -> None:
        """Record the outcome of an attempt."""
        decayed = self.timeout_share(now)
        gain = TIMEOUT_GAIN * ((1.0 if timed_out else 0.0) - decayed)
        self.timeouts, self.ended_at = decayed + gain, now

    def timeout_share(self, now: float) -> float:
        """Return the share of timeouts, decayed to now."""
        if not self.timeouts:
            return 0.0
        age = now - self.ended_at
        return self.timeouts * math.exp(-age / TIMEOUT_DECAY_SECONDS)

    def tokens(self, now: float) -> float:
        """Return the cost of the present silence, in prompt tokens."""
        if not self.awaited:
            return 0.0
        seconds = now - self.since - SILENCE_GRACE_SECONDS
        return SILENCE_TOKENS_PER_SECOND * max(0.0, seconds)


@dataclass(slots=True)
class Paces:
    """The mean paces of all targets."""

    _by_target: dict[str, Pace] = field(default_factory=dict)

    def of(self, target: str) -> Pace:
        """Return the pace of a target."""
        return self._by_target.setdefault(target, Pace())
