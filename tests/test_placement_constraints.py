"""Cold runners, evacuations and homes over loopback, with runners and store failing."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

import gevent

from godwitrudder.platform import names
from godwitrudder.process.reservations import JOIN_SECONDS
from standins.platform_runner import ReceivedRequest, Step, build_response
from tests.entry_setup import (
    EntrySetup,
    configuration,
    good,
    list_runner,
    rejecting,
    run_entry,
    run_fleet,
    status_of,
)

COLD_PER_SECOND = 2.0
COLD_SECONDS = 4.0
MOST_COLD = COLD_PER_SECOND * 1.5 + 5
"""Requests that a cold runner may get in a second."""
REGIONS = {"magong": "east", "xiyu": "west"}
FOLLOW_SECONDS = 1.5
"""Time in which a host reads what the store has, after a store that was down."""


def with_cold_runners(version: int = 2) -> dict[str, Any]:
    found: dict[str, Any] = configuration(version)
    found["services"][0] |= {
        "cold_start_s": COLD_SECONDS,
        "cold_per_s": COLD_PER_SECOND,
    }
    return found


def configure(setup: EntrySetup, values: dict[str, Any]) -> None:
    setup.store.put(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, values)
    gevent.sleep(0.5)


def evacuate(setup: EntrySetup, failure_domain: str, value: object = True) -> None:
    key = names.EVACUATION_PREFIX + failure_domain
    setup.store.put(names.OPERATOR_TOPIC, key, value)
    gevent.sleep(0.3)


def ask_many(hosts: list[EntrySetup], seconds: float) -> list[int]:
    """Ask each host 20 times a second; return the statuses."""
    asked, ends_at = [], time.monotonic() + seconds
    while time.monotonic() < ends_at:
        asked += [gevent.spawn(host.ask) for host in hosts]
        gevent.sleep(0.05)
    gevent.joinall(asked)
    return [status_of(each.value) for each in asked]


def noted(setup: EntrySetup, kind: str) -> list[dict[str, Any]]:
    return [inputs for found, _, inputs in setup.log.decisions if found == kind]


def slow(seen: ReceivedRequest, _number: int) -> list[Step]:
    """Answer late, so that the other runner looks less busy than this one."""
    return [0.3, build_response(seen, "200 OK", b"hello")]


def test_a_runner_that_crashes_comes_back_cold() -> None:
    """All hosts would send their load to the empty runner, which crashes again."""
    with run_fleet(3, slow, good) as fleet:
        configure(fleet.hosts[0], with_cold_runners())
        crashing = fleet.runners[1]
        crashing.crash(0.6)
        ask_many(fleet.hosts, 0.5)
        assert all(noted(host, "runner_cold") for host in fleet.hosts)
        before = len(crashing.received_requests)
        gevent.sleep(0.8)
        statuses = ask_many(fleet.hosts, 1.0)
        assert set(statuses) == {200}
        cold = len(crashing.received_requests) - before
        assert cold <= MOST_COLD
        gevent.sleep(COLD_SECONDS)
        before = len(crashing.received_requests)
        ask_many(fleet.hosts, 1.0)
        assert len(crashing.received_requests) - before > MOST_COLD


def test_a_new_runner_whose_record_says_so_is_cold_until_its_time_has_passed() -> None:
    """A host restarted the cold time at each complete list after a silent store."""
    with run_fleet(3, slow, good) as fleet:
        setup, runner = fleet.hosts[0], fleet.runners[1]
        configure(setup, with_cold_runners())
        list_runner(fleet.store, 1, runner, seq=5, cold_remaining_ms=2500)
        gevent.sleep(0.6)
        before = len(runner.received_requests)
        ask_many(fleet.hosts, 0.9)
        assert len(runner.received_requests) - before <= MOST_COLD
        fleet.store.restore(fleet.store.copy_topics())  # the list is read anew
        gevent.sleep(1.5)
        before = len(runner.received_requests)
        ask_many(fleet.hosts, 1.0)
        assert len(runner.received_requests) - before > MOST_COLD


def test_a_request_waits_for_a_slot_or_is_refused_when_all_runners_are_cold() -> None:
    with run_entry(good) as setup:
        configure(setup, with_cold_runners())
        gevent.sleep(JOIN_SECONDS)
        list_runner(setup.store, 0, setup.runners[0], seq=5, cold_remaining_ms=9000)
        gevent.sleep(0.6)
        began = time.monotonic()
        statuses = [status_of(setup.ask()) for _ in range(12)]
        seconds = time.monotonic() - began
        assert statuses.count(200) <= COLD_PER_SECOND * seconds + 3
        assert 200 in statuses
        assert 503 in statuses
        # Nobody waits longer than half of the latency objective of 0.3 s.
        assert seconds <= 12 * 0.3
        places = noted(setup, "place")
        assert any(place.get("constraints") == {"cold": 1} for place in places)
        metrics = setup.entry.render_metrics().decode()
        assert 'godwitrudder_constrained_total{constraint="cold"}' in metrics
        assert "godwitrudder_cold_runners 1.0" in metrics


def test_a_choice_for_a_second_attempt_does_not_wait_for_a_slot() -> None:
    """The first attempt could be answered, and the headroom be gone, meanwhile."""
    with run_entry(good) as setup:
        configure(setup, with_cold_runners())
        gevent.sleep(JOIN_SECONDS)
        list_runner(setup.store, 0, setup.runners[0], seq=5, cold_remaining_ms=9000)
        gevent.sleep(0.6)
        choice, seen = setup.entry.forwarder._choice, []
        choose = choice.choose

        def observed(forwarded: Any, *more: Any, **named: Any) -> Any:
            seen.append(forwarded)
            return choose(forwarded, *more, **named)

        choice.choose = observed  # type: ignore[method-assign]
        setup.ask()
        began = time.monotonic()
        fresh = [replace(seen[0], started_at=began, excluded=set()) for _ in range(9)]
        chosen = [choose(each, may_wait=False) for each in fresh]
        assert chosen.count(None) >= 8
        assert time.monotonic() - began < 0.1


def test_an_evacuation_holds_while_the_store_is_away_and_until_the_list_is_read() -> (
    None
):
    """A host sent requests to evacuated runners once the store did not answer."""
    with run_entry(good, good) as setup:
        list_runner(setup.store, 1, setup.runners[1], zone="xiyu")
        gevent.sleep(0.6)
        copied = setup.store.copy_topics()
        evacuate(setup, "xiyu")
        setup.store.faults.set({"down": True})
        gevent.sleep(1.5)
        evacuated = setup.runners[1].received_requests
        before = len(evacuated)
        for _ in range(10):
            assert status_of(setup.ask()) == 200
        assert len(evacuated) == before
        setup.store.restore(copied)  # the copy is older than the evacuation
        assert setup.entry.directory.evacuations.in_force == {"xiyu"}
        setup.store.faults.set({"down": False})
        gevent.sleep(FOLLOW_SECONDS)
        assert not setup.entry.directory.evacuations.in_force
        lines = [line["in_force"] for line in noted(setup, "evacuation")]
        assert lines == [True, False]


def test_an_evacuation_without_other_runners_refuses_and_its_end_serves_again() -> None:
    with run_entry(good) as setup:
        list_runner(setup.store, 0, setup.runners[0], zone="xiyu")
        evacuate(setup, "nowhere")
        gevent.sleep(0.3)
        assert status_of(setup.ask()) == 200
        assert noted(setup, "evacuation_unknown") == [{"failure_domain": "nowhere"}]
        evacuate(setup, "xiyu")
        answer = setup.ask()
        assert status_of(answer) == 503
        assert b"no_runner" in answer
        evacuate(setup, "xiyu", None)
        assert status_of(setup.ask()) == 200


def test_a_route_and_a_workspace_with_disjoint_homes_have_no_runner() -> None:
    """Either condition alone would let a request leave its home."""
    with run_entry(good, good, regions=REGIONS) as setup:
        for number, zone in enumerate(REGIONS):
            list_runner(setup.store, number, setup.runners[number], zone=zone)
        values: dict[str, Any] = configuration(2)
        values["routes"][0]["allowed_regions"] = ["west"]
        configure(setup, values)
        for _ in range(6):
            assert status_of(setup.ask()) == 200
        assert not setup.runners[0].received_requests
        values = {**values, "version": 3}
        values["tenants"][0]["allowed_regions"] = ["east"]
        configure(setup, values)
        before = len(setup.runners[1].received_requests)
        answer = setup.ask()
        assert status_of(answer) == 503
        assert b"no_runner" in answer
        assert status_of(setup.ask("/unsafe/1", "POST")) == 200
        assert len(setup.runners[0].received_requests) == 1
        assert len(setup.runners[1].received_requests) == before


def test_a_runner_that_is_evacuated_during_a_connect_gets_no_request() -> None:
    with run_entry(good) as setup:
        take = setup.entry.pool.take

        def take_late(runner: str, address: Any) -> Any:
            setup.entry.directory.evacuations.begin("")
            return take(runner, address)

        setup.entry.pool.take = take_late  # type: ignore[method-assign]
        assert status_of(setup.ask()) == 503
        assert not setup.runners[0].received_requests


def test_hosts_that_start_together_wait_until_they_know_each_other() -> None:
    """Each of them took itself for the only host, and all slots for its own."""
    with run_fleet(3, good) as fleet:
        tasks = [host.entry.reservations for host in fleet.hosts]
        assert tasks[0].known_hosts() is None
        gevent.sleep(JOIN_SECONDS)
        names_by_task = [task.known_hosts() for task in tasks]
        assert names_by_task == [("front-1", "front-2", "front-3")] * 3


def test_an_unlisted_runner_is_not_used_because_it_is_alone_in_its_home() -> None:
    """DRAIN: of the runners in the home, none was listed, so all were used."""
    with run_entry(good, good, good, regions=REGIONS) as setup:
        for number, zone in enumerate(["magong", "xiyu", "magong"]):
            list_runner(setup.store, number, setup.runners[number], zone=zone)
        values: dict[str, Any] = configuration(2)
        values["routes"][0]["allowed_regions"] = ["west"]
        configure(setup, values)
        # The list of a restored store counts as incomplete for a while.
        setup.store.restore(setup.store.copy_topics())
        setup.store.put(names.RUNNERS_TOPIC, "i-1", None)
        gevent.sleep(0.6)
        candidates = setup.entry.directory.candidates("s")
        assert [each.entry.id for each in candidates if each.unlisted] == ["i-1"]
        assert status_of(setup.ask()) == 503


def test_without_these_fields_nothing_is_excluded() -> None:
    with run_entry(good, rejecting) as setup:
        list_runner(setup.store, 0, setup.runners[0], cold_remaining_ms=60_000)
        gevent.sleep(0.6)
        assert [status_of(setup.ask()) for _ in range(8)] == [200] * 8
        assert not any("constraints" in place for place in noted(setup, "place"))
