"""A runner that turns a request away for some seconds gets nothing in that time."""

from __future__ import annotations

import time

import gevent

from godwitrudder.connection.http import RunnerLink
from godwitrudder.validation import Address
from standins.platform_runner import ReceivedRequest, Script, Step, build_response
from tests.entry_setup import good, rejecting, run_entry, status_of


def in_backoff(seconds: str, proof: bool = True) -> Script:
    """Return the script of a runner that names a time with status 503."""

    def script(seen: ReceivedRequest, _number: int) -> list[Step]:
        headers = [f"Retry-After: {seconds}"]
        if proof:
            headers.append("X-Godwitrudder-Not-Executed: 1")
        return [build_response(seen, "503 Full", b"", *headers, signed=False)]

    return script


def test_a_runner_in_backoff_gets_nothing_until_its_time_is_over() -> None:
    """Also if all other runners reject."""
    with run_entry(in_backoff("1.5"), rejecting) as setup:
        setup.ask()
        rejected_at = time.monotonic()
        statuses = [status_of(setup.ask()) for _ in range(10)]
        assert statuses == [503] * 10
        assert time.monotonic() - rejected_at < 1.0
        assert len(setup.runners[0].received_requests) == 1
        setup.runners[0].script = good
        gevent.sleep(rejected_at + 1.6 - time.monotonic())
        assert status_of(setup.ask()) == 200


def test_a_runner_whose_backoff_begins_during_a_connect_gets_no_request() -> None:
    with run_entry(good) as setup:
        candidate = setup.entry.directory.candidates("s")[0]
        take = setup.entry.pool.take

        def take_late(runner: str, address: Address) -> RunnerLink | str:
            candidate.directives.back_off(1.0, time.monotonic())
            return take(runner, address)

        setup.entry.pool.take = take_late  # type: ignore[method-assign]
        assert status_of(setup.ask()) == 503
        assert not setup.runners[0].received_requests


def test_callers_are_served_by_the_other_runners() -> None:
    with run_entry(in_backoff("30"), good) as setup:
        assert [status_of(setup.ask()) for _ in range(10)] == [200] * 10
        assert len(setup.runners[0].received_requests) <= 1


def test_a_backoff_without_proof_counts_too() -> None:
    with run_entry(in_backoff("30", proof=False), good) as setup:
        for _ in range(10):
            setup.ask()
        assert len(setup.runners[0].received_requests) <= 1


def test_callers_are_told_to_come_back_when_the_first_backoff_ends() -> None:
    with run_entry(in_backoff("0.5")) as setup:
        setup.ask()
        refused = setup.ask()
        assert status_of(refused) == 503
        fields = refused.lower().split(b"retry-after: ")[1]
        assert 0.3 < float(fields.split(b"\r\n")[0]) <= 0.6


def test_a_time_that_is_no_number_is_ignored() -> None:
    with run_entry(in_backoff("soon")) as setup:
        for _ in range(3):
            assert status_of(setup.ask()) == 503
        assert len(setup.runners[0].received_requests) == 3
