"""Placement on runners that differ in speed and change it, without a network."""

from __future__ import annotations

import heapq
from dataclasses import replace
from random import Random

from godwitrudder.request.placing.candidate import Candidate, Part
from godwitrudder.request.placing.placement import place
from godwitrudder.request.placing.speed import Pace, Speed, WorkTime
from tests.entry_setup import run_entry, silent, status_of
from tests.test_placement import candidates, choose_id

HOSTS, RUNNERS = 86, 45


def test_a_slow_report_counts_at_once_and_a_usual_one_gradually() -> None:
    """Hosts that read the same usual report would all return to the runner together."""
    work = WorkTime()
    work.report(250.0, 10.0)
    assert work.factor(10.0) == 2.5
    work.report(100.0, 10.1)
    assert 2.0 < work.factor(10.1) < 2.5
    assert work.factor(13.0) < 1.1
    work.report(1e300, 14.0)
    assert work.factor(14.0) == 20.0


def test_targets_without_the_figure_are_placed_as_before() -> None:
    """Silence and speed must change nothing where no runner reports the figure."""
    group = candidates(2)
    group[0].silence.sent(0.0)
    group[0].silence.ended(True, 9.9)
    group[0].speed.add(1.0)
    group[1].in_flight = 1
    assert choose_id(group) == "i-0"
    group[1].reported(1, 0, 9.9, 8, 100.0)
    assert choose_id(group) == "i-1"


def test_a_shared_part_stays_unless_moving_it_is_cheaper() -> None:
    """Reading a part again costs its runner more than a short slow spell."""
    group = candidates(2)
    long = (Part("document", 5000), Part("own", 300))
    home = next(each for each in group if each.entry.id == choose_id(group, long))
    home.reported(0, 0, 10.0, 8, 250.0)
    assert choose_id(group, long) == home.entry.id
    assert choose_id(group, (Part("own", 300),)) != home.entry.id


def test_the_operator_names_the_cost_of_another_domain() -> None:
    group = candidates(2)
    group[0].in_flight = 2  # costs 600
    group[1].entry = replace(group[1].entry, failure_domain="b")
    assert choose_id(group) == "i-1"
    assert choose_id(group, domain_tokens=1000.0) == "i-0"


def test_lasting_speeds_are_learnt_from_first_events() -> None:
    """Hidden queues make a sample up to twice too long; 40 samples must order them."""
    random, pace = Random(3), Pace()
    speeds = [0.7, 1.0, 1.3, 1.7]
    learnt = [Speed() for _ in speeds]
    for _ in range(40):
        for speed, estimate in zip(speeds, learnt, strict=True):
            tokens = random.choice([300, 500, 6000])
            seconds = (tokens + 400) / 20_000 / speed * random.uniform(1.0, 2.0)
            estimate.add(pace.deviation(seconds, tokens, 1.0))
    slowness = [estimate.slowness for estimate in learnt]
    assert slowness == sorted(slowness, reverse=True)
    assert 1.8 < slowness[0] / slowness[-1] < 2.6


def test_a_runner_that_answers_nothing_gets_little_work() -> None:
    """A listed runner hung; each host has to find out by its own attempts."""
    group = candidates(RUNNERS)
    random, sent = Random(1), 0
    timeouts: list[float] = []
    for step in range(600):  # one host, 10 requests a second
        now = 10.0 + step / 10
        while timeouts and timeouts[0] <= now:
            group[0].in_flight -= 1
            group[0].silence.stopped()
            group[0].ended(False, timeouts.pop(0), True)
        chosen = place(group, (), "a", (), 50, random, now)
        assert chosen is not None
        if chosen is group[0]:
            sent += 1
            chosen.in_flight += 1
            chosen.silence.sent(now)
            timeouts.append(now + 0.7)
        else:
            chosen.reported(random.randrange(3), 0, now, 8, 100.0)
    assert 1 <= sent <= 6


def _late_share(seed: int, with_figure: bool) -> float:
    """Return the share of answers that begin after 300 ms, over 86 hosts."""
    random = Random(seed)
    speeds = [random.uniform(0.7, 1.7) for _ in range(RUNNERS)]
    slow = [1.0] * RUNNERS
    free_at = [0.0] * RUNNERS
    known = [candidates(RUNNERS) for _ in range(HOSTS)]
    paces = [Pace() for _ in range(HOSTS)]
    answers: list[tuple[float, int, Candidate, int, float, int]] = []
    late = total = 0
    for number in range(6000):  # 400 a second, each 0.05 s of work
        now = number / 400
        if number % 240 == 0:
            slow = [2.5 if random.random() < 0.15 else 1.0 for _ in slow]
        while answers and answers[0][0] <= now:
            at, _, known_as, host, sent_at, index = heapq.heappop(answers)
            queued = round(max(0.0, free_at[index] - at) / 0.05)
            known_as.in_flight -= 1
            known_as.silence.stopped()
            percent = 100 * slow[index] if with_figure else None
            known_as.reported(min(queued, 8), max(0, queued - 8), at, 8, percent)
            pace = paces[host].deviation(at - sent_at, 0, slow[index])
            known_as.speed.add(pace)
        host = random.randrange(HOSTS)
        chosen = place(known[host], (), "a", (), 50, random, now)
        assert chosen is not None
        index = known[host].index(chosen)
        chosen.in_flight += 1
        chosen.silence.sent(now)
        seconds = 0.05 * slow[index] / speeds[index]
        free_at[index] = max(free_at[index], now) + seconds
        late += free_at[index] - now > 0.3
        total += 1
        heapq.heappush(answers, (free_at[index], number, chosen, host, now, index))
    return late / total


def test_fewer_answers_are_late_on_uneven_runners() -> None:
    """15 in 100 runners are slow at a time, and most reports older than a second."""
    before = sum(_late_share(seed, False) for seed in range(2))
    after = sum(_late_share(seed, True) for seed in range(2))
    assert after < before / 2


def test_silent_attempts_are_told_from_failures() -> None:
    """The share of timeouts and its log lines come from attempts over sockets."""
    with run_entry(silent) as setup:
        assert status_of(setup.ask("/safe/1")) == 502
        kinds = [kind for kind, _, _ in setup.log.decisions]
        assert "runner_silent" in kinds
        text = setup.entry.render_metrics().decode()
        assert 'godwitrudder_attempt_timeouts_total{target="s"}' in text
