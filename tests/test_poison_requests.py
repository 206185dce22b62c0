"""Requests whose prompt ends the runner that answers it: how many runners they end."""

from __future__ import annotations

import time
from contextlib import ExitStack
from typing import Any

import gevent
import pytest

from godwitrudder.connection.http import RunnerLink
from godwitrudder.validation import Address
from standins.platform_runner import Crash, ReceivedRequest, Step, build_event
from tests.entry_setup import (
    EntrySetup,
    FleetSetup,
    run_fleet,
    start_host,
    status_of,
    streaming,
)

POISON = "poison"
DOWN_SECONDS = 0.5
MOST_CRASHES = 5
"""Crashes after which no more than ``MORE_REQUESTS`` may reach a runner."""
MORE_REQUESTS = 3


def crashing(seen: ReceivedRequest, number: int) -> list[Step]:
    """End the runner at the first event of an answer on the poison part."""
    if POISON in seen.headers["x-godwitrudder-prefix-hash"]:
        return [0.02, Crash(DOWN_SECONDS)]
    return streaming(0, 1)(seen, number)


def prompt(number: int, *parts: str) -> str:
    """Return the header for a prompt with a shared first part and a last of its own."""
    chain = ",".join(f"{part}:50" for part in ("f0", *parts, f"e{number}"))
    return f"X-Godwitrudder-Prefix-Hash: {chain}\r\n"


def ask(fleet: FleetSetup, host: int, number: int, *parts: str) -> int:
    headers = prompt(number, *parts)
    data = fleet.hosts[host].ask("/stream/1", "POST", headers=headers, body=b"x")
    return status_of(data)


def crashes(fleet: FleetSetup) -> int:
    return sum(runner.crashes for runner in fleet.runners)


@pytest.mark.parametrize("lending", [True, False])
def test_a_part_that_ends_runners_is_quarantined_by_all_hosts(lending: bool) -> None:
    """Any host may get the next request with the part."""
    with run_fleet(3, *[crashing] * 6, lending=lending) as fleet:
        for number in range(12):
            ask(fleet, number % 3, number, "b1", POISON)
            assert ask(fleet, number % 3, 100 + number) == 200
            gevent.sleep(0.3)
        assert crashes(fleet) <= MOST_CRASHES
        assert ask(fleet, 0, 200, "b1", POISON) == 503


def decisions(setup: EntrySetup, kind: str) -> list[dict[str, Any]]:
    return [inputs for name, _, inputs in setup.log.decisions if name == kind]


def test_sound_requests_beside_a_quarantined_part_are_served() -> None:
    """They share the caller, the first part and the part before the poison."""
    with run_fleet(2, *[crashing] * 4, lending=True) as fleet:
        for number in range(4):
            ask(fleet, number % 2, number, "b1", POISON)
        gevent.sleep(DOWN_SECONDS)
        before = crashes(fleet)
        statuses = [ask(fleet, n % 2, 50 + n, "b1") for n in range(6)]
        assert statuses == [200] * 6
        assert crashes(fleet) == before
        assert ask(fleet, 1, 99, "b1", POISON) == 503


@pytest.mark.parametrize("lending", [True, False])
def test_a_part_that_was_sound_until_a_moment_ago_is_quarantined(lending: bool) -> None:
    """A recent sound answer must not protect a part that ends runners now."""
    harmful = False

    def turning(seen: ReceivedRequest, number: int) -> list[Step]:
        return (crashing if harmful else streaming(0, 1))(seen, number)

    with run_fleet(3, *[turning] * 6, lending=lending) as fleet:
        assert [ask(fleet, n % 3, n, "b1", POISON) for n in range(6)] == [200] * 6
        harmful = True
        crashes_by_round = []
        for number in range(12):
            ask(fleet, number % 3, 100 + number, "b1", POISON)
            assert ask(fleet, number % 3, 200 + number) == 200
            assert ask(fleet, number % 3, 300 + number, "b1") == 200
            crashes_by_round.append(crashes(fleet))
            gevent.sleep(0.3)
        if lending:
            assert crashes_by_round[-1] <= MOST_CRASHES + MORE_REQUESTS
        assert crashes_by_round[7] == crashes_by_round[-1]
        assert ask(fleet, 0, 400, "b1", POISON) == 503


def test_a_host_that_starts_later_knows_the_quarantine() -> None:
    """It reads the crashes from the statements; no peer reaches it."""
    with ExitStack() as stack:
        fleet = stack.enter_context(run_fleet(1, *[crashing] * 4))
        ask(fleet, 0, 1, POISON)
        gevent.sleep(1.0)
        before = crashes(fleet)
        sink = stack.enter_context(open("/dev/null", "wb"))
        fleet.hosts.append(start_host(stack, fleet, 2, False, sink.fileno()))
        while not fleet.hosts[1].entry.ready:
            gevent.sleep(0.01)
        assert ask(fleet, 1, 2, POISON) == 503
        assert ask(fleet, 1, 3) == 200
        assert crashes(fleet) == before == 2


def test_a_plain_crash_quarantines_nothing() -> None:
    """Interrupted requests are answered elsewhere, also those with new parts."""

    def slow(seen: ReceivedRequest, number: int) -> list[Step]:
        return [0.1, *streaming(0, 1, 2, 3)(seen, number)]

    with run_fleet(2, *[slow] * 4, lending=True) as fleet:
        for turn in range(5):
            asked = [
                gevent.spawn(ask, fleet, n % 2, 10 * turn + n, f"b{turn}", f"c{n}")
                for n in range(8)
            ]
            gevent.sleep(0.05)
            fleet.runners[turn % 4].crash(0.2)
            gevent.joinall(asked)
            assert [each.value for each in asked] == [200] * 8
            gevent.sleep(0.3)
        assert crashes(fleet) == 5
        for host in fleet.hosts:
            assert not decisions(host, "part_blamed")


def test_a_reset_connection_is_no_crash() -> None:
    """The runner still accepts connections, so its end explains nothing."""

    def resetting_once(seen: ReceivedRequest, number: int) -> list[Step]:
        return [None] if number % 2 == 0 else streaming(0, 1)(seen, number)

    with run_fleet(1, *[resetting_once] * 3) as fleet:
        for number in range(12):
            ask(fleet, 0, number, "b1")
        assert not decisions(fleet.hosts[0], "runner_crashed")
        assert ask(fleet, 0, 50, "b1") in (200, 502)


def test_an_attempt_in_flight_ends_when_its_part_is_blamed() -> None:
    """Two requests end two runners while a third one waits at another runner."""

    def scripted(seen: ReceivedRequest, number: int) -> list[Step]:
        last = seen.headers["x-godwitrudder-prefix-hash"].rpartition(",")[2]
        return [30.0] if last.startswith("e9") else crashing(seen, number)

    with run_fleet(1, *[scripted] * 4) as fleet:
        waiting = gevent.spawn(ask, fleet, 0, 9, POISON)
        gevent.sleep(0.05)
        ask(fleet, 0, 1, POISON)
        assert waiting.get(timeout=0.5) == 502
        assert crashes(fleet) == 2


def test_a_part_blamed_during_a_connect_reaches_no_runner() -> None:
    """Two runners end while a third request with the part opens its connection."""
    with run_fleet(1, *[crashing] * 4) as fleet:
        entry = fleet.hosts[0].entry
        pool, take = entry.pool, entry.pool.take

        def take_late(runner: str, address: Address) -> RunnerLink | str:
            pool.take = take  # type: ignore[method-assign]
            for candidate in entry.directory.candidates("s"):
                if candidate.entry.id == runner:
                    candidate.ejected_until = time.monotonic() + 60.0
            gevent.sleep(0.4)
            return take(runner, address)

        pool.take = take_late  # type: ignore[method-assign]
        connecting = gevent.spawn(ask, fleet, 0, 9, POISON)
        gevent.sleep(0.05)
        ask(fleet, 0, 1, POISON)
        assert crashes(fleet) == 2
        assert connecting.get(timeout=1.0) == 503
        assert crashes(fleet) == 2


@pytest.mark.parametrize("events", [0, 1])
def test_an_answer_without_length_that_a_crash_ends_is_evidence(events: int) -> None:
    """The end of the connection ends such an answer, perhaps between two events."""

    def unframed(seen: ReceivedRequest, number: int) -> list[Step]:
        if POISON not in seen.headers["x-godwitrudder-prefix-hash"]:
            return streaming(0, 1)(seen, number)
        request_id = seen.headers["x-godwitrudder-request-id"]
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Godwitrudder-Request-Id: {request_id}\r\n"
            "X-Godwitrudder-Response-Signature: proof\r\n\r\n"
        )
        body = b"".join(build_event(event) for event in range(events))
        return [head.encode() + body, 0.01, Crash(DOWN_SECONDS)]

    with run_fleet(1, *[unframed] * 4) as fleet:
        for number in range(4):
            ask(fleet, 0, number, POISON)
        assert crashes(fleet) == 2
        assert ask(fleet, 0, 9, POISON) == 503
