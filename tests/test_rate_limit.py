"""Runners that name a rate limit for all hosts together: how much they get."""

from __future__ import annotations

import time

import gevent
import pytest

from standins.platform_runner import ReceivedRequest, Step, build_response
from tests.entry_setup import FleetSetup, good, run_fleet, status_of

LIMIT = 1.0
WINDOW_SECONDS = 4.0
MOST_ARRIVALS = 1.5 * LIMIT * WINDOW_SECONDS + 5
"""Requests that a runner with this limit may get in a window."""


def limited(seen: ReceivedRequest, _number: int) -> list[Step]:
    return [build_response(seen, "200 OK", b"hello", f"Server-Limit: {LIMIT}")]


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
    """Each host sent as if it were alone: 16 requests in 4 s, 11 allowed."""
    with run_fleet(4, limited, good, good, lending=lending) as fleet:
        ask_for(fleet, 1.0)
        before = len(fleet.runners[0].received_requests)
        statuses = ask_for(fleet, WINDOW_SECONDS)
        arrivals = len(fleet.runners[0].received_requests) - before
        assert statuses == [200] * len(statuses)
        assert 1 <= arrivals <= MOST_ARRIVALS
