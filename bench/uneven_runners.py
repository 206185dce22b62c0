"""Many hosts in front of uneven runners, in virtual time.

``python -m bench.uneven_runners RATE [SEEDS]`` prints, without and with what runners
report, the share of late answers and the time to the first event.  The runners differ
in speed from 0.7 to 1.7, and 15 in 100 of them take 2.5 times as long for some 600 ms.
"""

from __future__ import annotations

import heapq
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing import Pool
from random import Random
from typing import Any, Final

from godwitrudder.request.placing.candidate import Candidate, Part
from godwitrudder.request.placing.placement import place
from godwitrudder.request.placing.speed import USUAL_PERCENT, Pace
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import ListedRunner

HOSTS: Final = 86
RUNNERS: Final = 45
SLOTS: Final = 24
DOMAINS: Final = "abc"
WORKSPACES: Final = 24
TOKENS_PER_SECOND: Final = 20_000.0
STEP_SECONDS: Final = 0.02
SLOW_SHARE: Final = 0.15
SLOW_FACTOR: Final = 2.5
SLOW_SECONDS: Final = 0.6
NETWORK_SECONDS: Final = 0.002
GIVEN_UP_SECONDS: Final = 9.0
"""Added to the time of a request whose second attempt timed out as well."""


@dataclass(frozen=True)
class Kind:
    """A kind of requests: tokens, latency objective in seconds, and share of all."""

    name: str
    tokens: int
    shared_tokens: int
    objective: float
    share: float


KINDS: Final = (
    Kind("draft", 12_000, 6_000, 0.9, 0.1),
    Kind("chat", 800, 500, 0.3, 0.6),
    Kind("tag", 2_400, 1_800, 0.32, 0.3),
)


@dataclass
class Runner:
    """A runner that reads one prompt at a time and answers many."""

    speed: float
    factor: float = 1.0
    free_at: float = 0.0
    running: int = 0
    waiting: list[Attempt] = field(default_factory=list)
    cached: set[str] = field(default_factory=set)


@dataclass
class Attempt:
    """One request at one runner."""

    kind: Kind
    parts: tuple[Part, ...]
    arrived_at: float
    sent_at: float
    host: int
    candidate: Candidate
    runner: Runner
    tokens: int
    tokens_ahead: int
    tried: frozenset[str]
    settled: bool = False
    answered: bool = False


class Fleet:
    """The simulation.

    Parameters
    ----------
    rate : float
        Requests per second.
    reports : bool
        Whether runners report how long work takes on them.
    """

    def __init__(self, seed: int, rate: float, reports: bool) -> None:
        self._random = Random(seed)
        self._rate = rate
        self._reports = reports
        self._runners = [Runner(self._random.uniform(0.7, 1.7)) for _ in range(RUNNERS)]
        self._known = [
            [_candidate(index) for index in range(RUNNERS)] for _ in range(HOSTS)
        ]
        self._paces = [Pace() for _ in range(HOSTS)]
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = 0
        self.answers: list[tuple[float, Kind, float]] = []

    def run(self, seconds: float) -> tuple[float, float, float]:
        """Return late share, mean and 95th percentile, without the first quarter."""
        for runner in self._runners:
            self._at(self._random.random() * SLOW_SECONDS, self._change, runner)
        self._at(0.0, self._arrive)
        while self._events[0][0] < seconds:
            now, _, act, inputs = heapq.heappop(self._events)
            act(now, *inputs)
        counted = [each for each in self.answers if each[2] > seconds / 4]
        late = sum(took > kind.objective for took, kind, _ in counted) / len(counted)
        times = sorted(took for took, _, _ in counted)
        return late, statistics.mean(times), times[int(0.95 * len(times))]

    def _at(self, when: float, act: Callable[..., None], *inputs: Any) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (when, self._numbers, act, inputs))

    def _change(self, now: float, runner: Runner) -> None:
        is_slow = self._random.random() < SLOW_SHARE
        runner.factor = SLOW_FACTOR if is_slow else 1.0
        wait = self._random.expovariate(1 / SLOW_SECONDS)
        self._at(now + wait, self._change, runner)

    def _arrive(self, now: float) -> None:
        random = self._random
        self._at(now + random.expovariate(self._rate), self._arrive)
        (kind,) = random.choices(KINDS, [each.share for each in KINDS])
        workspace = min(random.randrange(WORKSPACES), random.randrange(WORKSPACES))
        shared = Part(f"{kind.name}-{workspace}", kind.shared_tokens)
        own = Part(f"own-{self._numbers}", kind.tokens - kind.shared_tokens)
        self._send(now, kind, (shared, own), now, frozenset())

    def _send(
        self,
        now: float,
        kind: Kind,
        parts: tuple[Part, ...],
        arrived_at: float,
        tried: frozenset[str],
    ) -> None:
        host = self._random.randrange(HOSTS)
        home = DOMAINS[host % len(DOMAINS)]
        known = self._known[host]
        chosen = place(known, parts, home, tried, 8, self._random, now)
        if chosen is None:
            return
        runner = self._runners[known.index(chosen)]
        tokens = sum(part.tokens for part in parts) - chosen.cached(parts)
        chosen.pending_tokens += tokens
        attempt = Attempt(
            kind,
            parts,
            arrived_at,
            now,
            host,
            chosen,
            runner,
            tokens,
            chosen.pending_tokens,
            tried,
        )
        chosen.in_flight += 1
        chosen.record_prompt(parts)
        chosen.silence.sent(now)
        self._at(now + NETWORK_SECONDS, self._reach, attempt)
        timeout = 2 * kind.objective + kind.tokens / TOKENS_PER_SECOND
        self._at(now + timeout, self._time_out, attempt)

    def _time_out(self, now: float, attempt: Attempt) -> None:
        if attempt.settled:
            return
        self._settle(attempt)
        attempt.candidate.in_flight -= 1
        attempt.candidate.ended(False, now, True)
        if attempt.tried:
            took = now - attempt.arrived_at + GIVEN_UP_SECONDS
            self.answers.append((took, attempt.kind, attempt.arrived_at))
            return
        tried = frozenset({attempt.candidate.entry.id})
        self._send(now, attempt.kind, attempt.parts, attempt.arrived_at, tried)

    def _settle(self, attempt: Attempt) -> None:
        attempt.settled = True
        attempt.candidate.pending_tokens -= attempt.tokens
        attempt.candidate.silence.stopped()

    def _reach(self, now: float, attempt: Attempt) -> None:
        if attempt.runner.running >= SLOTS:
            attempt.runner.waiting.append(attempt)
        else:
            self._start(now, attempt)

    def _start(self, now: float, attempt: Attempt) -> None:
        runner = attempt.runner
        runner.running += 1
        tokens = sum(
            part.tokens for part in attempt.parts if part.id not in runner.cached
        )
        runner.cached.add(attempt.parts[0].id)
        seconds = tokens / TOKENS_PER_SECOND + STEP_SECONDS
        seconds *= runner.factor / runner.speed
        runner.free_at = max(runner.free_at, now) + seconds
        self._at(runner.free_at, self._begin_answer, attempt)

    def _begin_answer(self, now: float, attempt: Attempt) -> None:
        runner, candidate = attempt.runner, attempt.candidate
        if not attempt.settled:
            self._settle(attempt)
            attempt.answered = True
            candidate.silence.heard(now)
            percent = USUAL_PERCENT * runner.factor if self._reports else None
            waiting = len(runner.waiting)
            candidate.reported(runner.running, waiting, now, SLOTS, percent)
            pace = self._paces[attempt.host]
            seconds = now - attempt.sent_at
            deviation = pace.deviation(seconds, attempt.tokens_ahead, runner.factor)
            candidate.speed.add(deviation)
            candidate.ended(True, now)
            took = now - attempt.arrived_at
            self.answers.append((took, attempt.kind, attempt.arrived_at))
        wait = self._random.expovariate(1.0) * runner.factor / runner.speed
        self._at(now + wait, self._end, attempt)

    def _end(self, now: float, attempt: Attempt) -> None:
        runner = attempt.runner
        runner.running -= 1
        attempt.candidate.in_flight -= attempt.answered
        if runner.waiting:
            self._start(now, runner.waiting.pop(0))


def _candidate(index: int) -> Candidate:
    domain = DOMAINS[index % len(DOMAINS)]
    address = Address("10.0.0.1", 80 + index)
    return Candidate(ListedRunner(f"i-{index}", "s", address, domain, False, SLOTS))


def measure(inputs: tuple[int, float, bool]) -> tuple[float, float, float]:
    """Run one simulation of 20 s; inputs are seed, rate and whether runners report."""
    return Fleet(*inputs).run(20.0)


def main() -> None:
    """Print the means over the seeds."""
    rate = float(sys.argv[1])
    seeds = range(int(sys.argv[2]) if len(sys.argv) > 2 else 16)
    for reports in (False, True):
        with Pool(4) as pool:
            runs = pool.map(measure, [(seed, rate, reports) for seed in seeds], 1)
        late, mean, p95 = (
            statistics.mean(values) for values in zip(*runs, strict=True)
        )
        error = statistics.stdev(run[0] for run in runs) / len(runs) ** 0.5
        print(
            f"rate {rate:.0f} reports {reports}: late {late:.3f} (+- {error:.3f}),"
            f" mean {mean:.3f} s, p95 {p95:.3f} s"
        )


if __name__ == "__main__":
    main()
