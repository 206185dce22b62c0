"""How hosts share the rate limit of a runner, without messages."""

from __future__ import annotations

from random import Random

import pytest

from godwitrudder.request.rate_limit import HostPosition, RateLimits

RUNNER = "i-1"
WINDOW_SECONDS = 4.0


def sent_times(hosts: int, limit: float, seed: int, skewed: bool) -> list[float]:
    """Return when hosts send that each try the runner five times a second."""
    random = Random(seed)
    sent: list[float] = []
    for position in range(hosts):
        limits = RateLimits()
        own = HostPosition(position, hosts)
        skew = random.uniform(-2.0, 2.0) if skewed and random.random() < 0.3 else 0.0
        limits.record(RUNNER, limit, 1000.0 + skew, 1000.0 + skew, own=True)
        for _ in range(100):
            now = 1000.0 + random.uniform(0.0, 20.0)
            sent += [now] if limits.permits(RUNNER, own, now + skew) else []
            limits.take(RUNNER, own, now + skew)
    return sorted(sent)


@pytest.mark.parametrize("hosts", [4, 6, 67, 195])
@pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 1.1, 8.0, 40.0])
@pytest.mark.parametrize("skewed", [False, True])
def test_no_window_has_more_requests_than_the_limit_allows(
    hosts: int, limit: float, skewed: bool
) -> None:
    for seed in range(3):
        sent = sent_times(hosts, limit, seed, skewed)
        for begin in sent:
            within = [at for at in sent if begin <= at < begin + WINDOW_SECONDS]
            assert len(within) <= 1.5 * limit * WINDOW_SECONDS + 5


@pytest.mark.parametrize("hosts", [1, 6])
def test_ample_demand_uses_most_of_a_limit(hosts: int) -> None:
    """Slots stay valid for a while, so hosts with requests lose few of them."""
    random = Random(1)
    group = [RateLimits() for _ in range(hosts)]
    for limits in group:
        limits.record(RUNNER, 5.0, 1000.0, 1000.0, own=True)
    sent = 0
    for step in range(2000):
        now = 1000.0 + step / 100
        position = random.randrange(hosts)
        own = HostPosition(position, hosts)
        if group[position].permits(RUNNER, own, now):
            group[position].take(RUNNER, own, now)
            sent += 1
    assert sent >= 0.9 * 5.0 * 20


def test_a_host_that_does_not_know_the_others_sends_nothing_to_a_limited_runner() -> (
    None
):
    limits = RateLimits()
    assert limits.permits(RUNNER, None, 1000.0)
    limits.record(RUNNER, 5.0, 1000.0, 1000.0, own=False)
    assert not limits.permits(RUNNER, None, 1001.0)


def test_an_answer_without_a_limit_ends_it() -> None:
    limits = RateLimits()
    assert limits.record(RUNNER, 1.0, 1000.0, 1000.0, own=True)
    assert not limits.record(RUNNER, 1.0, 1001.0, 1001.0, own=True)
    assert limits.record(RUNNER, None, 1001.5, 1002.0, own=True)
    assert all(limits.permits(RUNNER, HostPosition(0, 195), 1002.0) for _ in range(9))
    assert not limits.own_limits()


def test_an_answer_to_a_request_from_before_the_limit_does_not_end_it() -> None:
    limits = RateLimits()
    limits.record(RUNNER, 1.0, 1000.0, 1000.0, own=True)
    assert not limits.record(RUNNER, None, 999.5, 1000.2, own=True)
    assert limits.limited(RUNNER)


def test_a_newer_limit_replaces_an_older_one_whoever_reports_it() -> None:
    limits = RateLimits()
    limits.record(RUNNER, 1.0, 1000.0, 1000.0, own=True)
    assert limits.record(RUNNER, 3.0, 1001.0, 1001.0, own=False)
    assert not limits.own_limits()
    assert not limits.record(RUNNER, 2.0, 1000.5, 1002.0, own=False)


def test_evidence_from_a_clock_ahead_does_not_outlast_an_answer() -> None:
    limits = RateLimits()
    limits.record(RUNNER, 1.0, 5000.0, 1000.0, own=False)
    assert limits.record(RUNNER, None, 1000.5, 1001.0, own=True)


def test_hosts_take_their_turns_by_their_names() -> None:
    hosts = ["front-2", "front-1", "front-3"]
    places = [HostPosition.among(own, hosts) for own in hosts]
    assert places == [HostPosition(index, 3) for index in (1, 0, 2)]
    assert HostPosition.among("front-1", []) == HostPosition(0, 1)
