"""Runner choice: aging reports, outliers, probes, prefixes, retries."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

import pytest

from godwitrudder.request.choice import Runner, choose, outliers
from godwitrudder.request.prefix import HOME_MATCH, PrefixIndex, prefix_names
from godwitrudder.request.retry_budget import MAX_RETRIES, RetryBudget
from godwitrudder.validation import Address
from standins.cache import prefix_hashes


def three_runners() -> dict[str, Runner]:
    """Return three idle runners."""
    address = Address("127.0.0.1", 1)
    return {name: Runner(name, "t", address, "home") for name in "abc"}


def mark_leaving(runner: Runner) -> None:
    """Mark the runner as leaving in the host list."""
    runner.leaving = True


def announce_leaving(runner: Runner) -> None:
    """Let the runner announce that it leaves, before the host list says so."""
    runner.left_until = 60.0


def fail_twice(runner: Runner) -> None:
    """Fail two requests in a row."""
    for _ in range(2):
        runner.started(0.0)
        runner.ended(False, 0.0)


def report_load(runner: Runner) -> None:
    """Report a high load, just now."""
    runner.update_others(20, 1.0)


@pytest.mark.parametrize(
    "make_unhealthy", [mark_leaving, announce_leaving, fail_twice, report_load]
)
def test_an_unhealthy_runner_gets_no_new_work(
    make_unhealthy: Callable[[Runner], None],
) -> None:
    """A leaving, failing or loaded runner gets no new work, whatever the source."""
    runners = three_runners()
    make_unhealthy(runners["a"])
    random = Random(1)
    chosen: Counter[str] = Counter()
    for _ in range(60):
        runner = choose(runners.values(), "home", (), random, 1.0)
        assert runner is not None
        chosen[runner.id] += 1
    assert set(chosen) == {"b", "c"}


def test_an_ejected_runner_returns_by_one_probe_at_a_time() -> None:
    """After its ejection a runner gets one request; its success readmits the runner."""
    runner = three_runners()["a"]
    fail_twice(runner)
    assert not runner.usable(1.0)
    assert runner.usable(3.0)
    runner.started(3.0)
    assert not runner.usable(3.1)
    runner.first_token(0.1, 3.1)
    runner.ended(True, 3.2)
    runner.started(3.3)
    assert runner.usable(3.4)


def test_with_all_ejected_one_serves() -> None:
    """An ejection may be wrong and never leaves a target without a runner."""
    runners = three_runners()
    for runner in runners.values():
        fail_twice(runner)
    assert choose(runners.values(), "home", (), Random(1), 0.1) is not None


def test_a_runner_that_sends_nothing_is_an_outlier() -> None:
    """A runner that does not answer is found by its oldest unanswered request."""
    runners = three_runners()
    for runner in runners.values():
        for _ in range(3):
            runner.started(0.0)
            runner.first_token(0.1, 0.1)
            runner.ended(True, 0.2)
    runners["b"].started(1.0)
    assert outliers(runners.values(), 1.1) == []
    assert outliers(runners.values(), 2.0) == [runners["b"]]


def test_names_agree_with_the_engines() -> None:
    """A prefix has the same name in a router and in a cache event."""
    prompt = "pot " * 100
    assert prefix_names(prompt) == [int(name, 16) for name in prefix_hashes(prompt)]


def test_the_index_is_bounded_and_forgets() -> None:
    """The oldest entries are dropped first; an evicted prefix no longer matches."""
    index = PrefixIndex(entries_most=10)
    names = prefix_names("pot " * 64)
    index.record_stored("a", range(100, 110), 0.0)
    index.record_stored("a", names[:3], 0.0)
    assert len(index) == 10
    assert index.matches(names, ["a", "b"], 0.0) == {"a": 3 / len(names)}
    for name in names[:3]:
        index.record_evicted("a", name)
    assert list(index.matches(names, ["a", "b"], 0.0).values()) == [HOME_MATCH]


def test_retries_are_a_share_of_the_requests() -> None:
    """The retries run out if all requests fail."""
    budget = RetryBudget()
    granted = 0
    for _ in range(1000):
        budget.record_request()
        granted += budget.take()
    assert granted <= MAX_RETRIES + 200
