"""Runners that name a rate limit for all hosts together: how much they get."""

from __future__ import annotations

import time
from contextlib import ExitStack

import gevent
import pytest

from standins.platform_runner import ReceivedRequest, Step, build_response
from tests.entry_setup import (
    FleetSetup,
    good,
    rejecting,
    run_fleet,
    start_host,
    status_of,
)

LIMIT_PER_SECOND = 1.0
WINDOW_SECONDS = 4.0
MOST_ARRIVALS = 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + 5
"""Requests that a runner with this limit may get in a window."""


def limited(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [
        build_response(seen, "200 OK", b"hello", f"Server-Limit: {LIMIT_PER_SECOND}")
    ]


def slow(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Answer late, so that the limited runner looks less busy than this one."""
    return [0.3, build_response(seen, "200 OK", b"hello")]


def name_limit(fleet: FleetSetup) -> None:
    """Let the first runner name its limit to a host; all others reject meanwhile."""
    scripts = [runner.script for runner in fleet.runners]
    for runner in fleet.runners[1:]:
        runner.script = rejecting
    for host in fleet.hosts:
        host.ask()
    for runner, script in zip(fleet.runners, scripts, strict=True):
        runner.script = script
    gevent.sleep(0.5)


def ask_for(fleet: FleetSetup, seconds: float) -> list[int]:
    """Ask all hosts in turn for a while; return the statuses."""
    asked = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        asked += [gevent.spawn(host.ask) for host in fleet.hosts]
        gevent.sleep(0.15)
    gevent.joinall(asked)
    return [status_of(each.value) for each in asked]


@pytest.mark.parametrize("lending", [True, False])
def test_hosts_together_keep_to_the_limit_of_a_runner(lending: bool) -> None:
    """No host may send as if it were alone."""
    with run_fleet(4, limited, slow, slow, lending=lending) as fleet:
        name_limit(fleet)
        before = len(fleet.runners[0].received_requests)
        statuses = ask_for(fleet, WINDOW_SECONDS)
        arrivals = len(fleet.runners[0].received_requests) - before
        assert statuses == [200] * len(statuses)
        assert 1 <= arrivals <= MOST_ARRIVALS


def test_a_host_that_starts_later_keeps_to_a_limit_that_others_were_told() -> None:
    """It reads the limit from the statements; no peer reaches it."""
    with ExitStack() as stack:
        fleet = stack.enter_context(run_fleet(2, limited, slow, slow))
        name_limit(fleet)
        sink = stack.enter_context(open("/dev/null", "wb"))
        fleet.hosts = [start_host(stack, fleet, 3, False, sink.fileno())]
        while not fleet.hosts[0].entry.ready:
            gevent.sleep(0.01)
        before = len(fleet.runners[0].received_requests)
        assert set(ask_for(fleet, 2.0)) == {200}
        assert len(fleet.runners[0].received_requests) - before <= 2


def test_requests_that_no_limit_leaves_room_for_are_refused_at_once() -> None:
    with run_fleet(1, limited) as fleet:
        asked_at = time.monotonic()
        answers = [fleet.hosts[0].ask() for _ in range(8)]
        assert time.monotonic() - asked_at < 1.0
        refused = [data for data in answers if status_of(data) == 503]
        assert len(refused) >= 4
        assert all(b"retry-after: 0." in data for data in refused)


@pytest.mark.parametrize("lending", [True, False])
def test_a_runner_that_names_no_limit_any_more_gets_its_share_again(
    lending: bool,
) -> None:
    with run_fleet(2, limited, slow, lending=lending) as fleet:
        name_limit(fleet)
        fleet.runners[0].script = good
        ask_for(fleet, 3.0)
        before = len(fleet.runners[0].received_requests)
        statuses = ask_for(fleet, 1.0)
        arrivals = len(fleet.runners[0].received_requests) - before
        assert arrivals >= len(statuses) / 4


def test_repeats_keep_to_the_limit_too() -> None:
    """A request that its first runner rejects is not sent to a limited one freely."""
    with run_fleet(3, limited, rejecting, slow) as fleet:
        name_limit(fleet)
        before = len(fleet.runners[0].received_requests)
        ask_for(fleet, WINDOW_SECONDS)
        arrivals = len(fleet.runners[0].received_requests) - before
        assert arrivals <= MOST_ARRIVALS
