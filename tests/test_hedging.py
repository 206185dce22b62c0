"""When slow requests get second attempts, and how many, under the load they answer."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

import pytest

from godwitrudder.request.hedging.attempt_bucket import MAX_SAVED, AttemptBucket
from godwitrudder.request.hedging.first_byte_times import FirstByteTimes, Trigger
from godwitrudder.request.hedging.headroom import has_headroom, would_wait
from godwitrudder.request.hedging.obstacle import Obstacle, Situation, find_obstacle
from godwitrudder.request.placing.candidate import Candidate
from godwitrudder.request.retry_window import RetryWindow
from godwitrudder.validation import Address
from godwitrudder.version.catalogue import ListedRunner

OBJECTIVE = 0.3
USUAL = 0.05
SHARE = 0.1
SLOTS = 4


def runner(number: int) -> Candidate:
    address = Address("127.0.0.1", 1)
    return Candidate(ListedRunner(f"i-{number}", "s", address, "z", False, SLOTS))


@dataclass
class Fleet:
    """One host and forty runners on a clock of their own, without a network.

    Attributes
    ----------
    factors : list of float
        How many times as long as usual each runner takes.
    firsts : list of float
        Seconds from each request to its first answer.
    seconds_at : list of float
        Times at which second attempts started.
    """

    hedging: bool = True
    factors: list[float] = field(default_factory=lambda: [1.0] * 40)
    firsts: list[float] = field(default_factory=list)
    seconds_at: list[float] = field(default_factory=list)
    requests: int = 0

    def __post_init__(self) -> None:
        self._random = Random(7)
        self._runners = [runner(number) for number in range(len(self.factors))]
        self._times = FirstByteTimes()
        self._bucket = AttemptBucket()
        self._window = RetryWindow(0.2, 10.0, 10.0)
        self._events: list[tuple[float, int, str, int, float]] = []
        self._answered: set[int] = set()
        self._began_by_request: dict[int, float] = {}
        self._chosen_by_request: dict[int, list[Candidate]] = {}

    def run(self, begin: float, end: float, per_second: float) -> None:
        """Send requests evenly and play all that falls into this time."""
        for step in range(int((end - begin) * per_second)):
            self._add(begin + step / per_second, "request", 0, 0.0)
        while self._events and self._events[0][0] < end:
            now, number, what, index, began = heapq.heappop(self._events)
            if what == "request":
                self._request(now, number)
            elif what == "silent":
                self._silent(now, index)
            else:
                self._answer(now, index, began)

    def _add(self, at: float, what: str, index: int, began: float) -> int:
        self.requests += what == "request"
        number = index or self.requests
        heapq.heappush(self._events, (at, number, what, index, began))
        return number

    def _request(self, now: float, number: int) -> None:
        self._bucket.request(SHARE)
        self._window.request(now)
        delay = self._times.delay(OBJECTIVE, now)
        self._began_by_request[number] = now
        self._send(now, number)
        if self.hedging:
            self._add(now + delay.seconds, "silent", number, now)

    def _send(self, now: float, number: int) -> None:
        chosen = self._random.randrange(len(self._runners))
        self._runners[chosen].in_flight += 1
        self._chosen_by_request.setdefault(number, []).append(self._runners[chosen])
        usual = USUAL * self._random.uniform(0.8, 1.2)
        self._add(now + usual * self.factors[chosen], "answer", number, now)

    def _silent(self, now: float, number: int) -> None:
        if number in self._answered:
            return
        situation = Situation(
            False,
            1,
            self._bucket.has_one,
            self._window.suffices_for_second(1, now),
            True,
            0,
            has_headroom(self._runners, now),
        )
        if find_obstacle(situation) is None:
            self._bucket.take()
            assert self._window.take(1, now)
            self.seconds_at.append(now)
            self._send(now, number)

    def _answer(self, now: float, number: int, began: float) -> None:
        """End all attempts of a request at its first answer."""
        if number in self._answered:
            return
        self._answered.add(number)
        self.firsts.append(now - self._began_by_request[number])
        self._times.record(now - began, now)
        for chosen in self._chosen_by_request[number]:
            chosen.in_flight -= 1


def percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * len(values))]


def test_second_attempts_cut_the_answers_of_a_few_slow_runners() -> None:
    """Two of forty runners are twenty times as slow; the limit on extra work holds."""
    p99_by_hedging = {}
    for hedging in (False, True):
        fleet = Fleet(hedging, [20.0] * 2 + [1.0] * 38)
        fleet.run(0.0, 20.0, 100.0)
        assert len(fleet.seconds_at) <= SHARE * fleet.requests
        p99_by_hedging[hedging] = percentile(fleet.firsts, 0.99)
    assert p99_by_hedging[False] > 0.8
    assert p99_by_hedging[True] < 0.5 * p99_by_hedging[False]


def test_second_attempts_stop_when_all_runners_become_slow() -> None:
    """They would double the load at the worst moment."""
    fleet = Fleet()
    fleet.run(0.0, 10.0, 200.0)
    fleet.factors = [20.0] * 40
    fleet.run(10.0, 20.0, 200.0)
    # What was saved, and the share of the requests until the slots are in use.
    assert sum(at > 10.0 for at in fleet.seconds_at) <= MAX_SAVED + SHARE * 200
    assert not any(at > 11.0 for at in fleet.seconds_at)


def test_a_busy_target_gets_no_second_attempts() -> None:
    """At nine tenths of the slots they would make the first attempts of others wait."""
    runners = [runner(number) for number in range(10)]
    for used, expected in [(32, True), (36, False)]:
        for number, candidate in enumerate(runners):
            candidate.in_flight = used // 10 + (number < used % 10)
        assert has_headroom(runners, 0.0) is expected


def test_slots_of_a_machine_on_which_work_takes_long_count_less() -> None:
    candidate = runner(0)
    candidate.reported(2, 0, 10.0, SLOTS, 250.0)
    assert not has_headroom([candidate], 10.0)
    assert would_wait(candidate, 10.0)
    assert has_headroom([candidate], 14.0)


def test_a_target_of_unknown_size_has_no_headroom() -> None:
    assert not has_headroom([], 0.0)


def test_a_runner_at_which_requests_wait_gets_no_second_attempt() -> None:
    candidate = runner(0)
    assert not would_wait(candidate, 10.0)
    candidate.reported(1, 1, 10.0, SLOTS)
    assert would_wait(candidate, 10.5)


@pytest.mark.parametrize(
    ("samples", "expected", "trigger"),
    [
        ([0.01] * 19, 0.3, Trigger.OBJECTIVE),
        ([0.01] * 20, 0.075, Trigger.QUARTER),
        ([0.1] * 190 + [0.5] * 10, 0.1, Trigger.PERCENTILE),
        ([0.1] * 189 + [0.5] * 11, 0.5, Trigger.PERCENTILE),
        ([0.1] * 200 + [0.5] * 200, 0.5, Trigger.PERCENTILE),
    ],
)
def test_delay(samples: list[float], expected: float, trigger: Trigger) -> None:
    times = FirstByteTimes()
    for sample in samples:
        times.record(sample, 5.0)
    delay = times.delay(OBJECTIVE, 35.0)
    assert delay.seconds == pytest.approx(expected)
    assert delay.trigger is trigger
    assert times.delay(OBJECTIVE, 35.1).trigger is Trigger.OBJECTIVE


def test_the_bucket_saves_only_a_few_attempts() -> None:
    bucket = AttemptBucket()
    for _ in range(10):
        assert not bucket.has_one
        bucket.request(0.1)
    assert bucket.has_one
    for _ in range(1000):
        bucket.request(0.1)
    taken = 0
    while bucket.has_one:
        bucket.take()
        taken += 1
    assert taken == MAX_SAVED


def test_second_attempts_leave_half_of_the_retries() -> None:
    window = RetryWindow(0.0, 20.0, 10.0)
    taken = 0
    while window.suffices_for_second(1, 0.0):
        assert window.take(1, 0.0)
        taken += 1
    assert taken == 8
    assert window.left(1, 0.0) == 8
    assert not RetryWindow(0.0, 1.25, 10.0).suffices_for_second(1, 0.0)


def test_each_rule_alone_forbids_a_second_attempt() -> None:
    allowed = Situation(False, 1, True, True, True, 0, True)
    assert find_obstacle(allowed) is None
    rules = [
        (Situation(True, 1, True, True, True, 0, True), Obstacle.DRAINING),
        (Situation(False, 0, True, True, True, 0, True), Obstacle.MAX_ATTEMPTS),
        (Situation(False, 1, False, True, True, 0, True), Obstacle.SHARE),
        (Situation(False, 1, True, False, True, 0, True), Obstacle.RETRY_BUDGET),
        (Situation(False, 1, True, True, False, 0, True), Obstacle.SUSPECT_PROMPT),
        (Situation(False, 1, True, True, True, 1, True), Obstacle.QUEUE),
        (Situation(False, 1, True, True, True, 0, False), Obstacle.HEADROOM),
    ]
    for situation, obstacle in rules:
        assert find_obstacle(situation) is obstacle
