"""The placement query: it tells what requests do, and changes nothing."""

from __future__ import annotations

import copy
import json
import pickle
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import pytest
from cleo.testers.command_tester import CommandTester
from gevent.server import StreamServer

from bench.loopback import IP
from godwitrudder.ctl.command import ExitCode
from godwitrudder.ctl.load import KEY_VARIABLE
from godwitrudder.ctl.where import WhereCommand
from godwitrudder.options import Queueing
from godwitrudder.process.reservations import JOIN_SECONDS
from tests.entry_setup import (
    ENGINE,
    EntrySetup,
    configuration,
    good,
    list_runner,
    run_entry,
    status_of,
)
from tests.test_placement_constraints import (
    REGIONS,
    configure,
    evacuate,
    with_cold_runners,
)
from tests.test_runner_queue import ask as queued_request
from tests.test_runner_queue import run_full, set_queueing, slow

KEY = "key-1"
QUERY = f"host=shop.example&path=/safe/1&key={KEY}&tokens=100,50&parts=p1:50,own:50"


def ask(setup: EntrySetup, query: str) -> tuple[int, dict[str, Any]]:
    status, body = setup.entry._placement_query.answer(query.encode())
    return status, json.loads(body)


@contextmanager
def metrics_port(setup: EntrySetup) -> Iterator[str]:
    """Serve the entry's metrics port and yield its address."""
    server = StreamServer((IP, 0), setup.entry._serve_metrics)
    server.start()
    try:
        yield f"{IP}:{server.server_port}"
    finally:
        server.stop(timeout=0)


def test_the_answer_names_route_budget_runners_and_choice() -> None:
    with run_entry(good, good, good) as setup:
        first, second, third = setup.entry.directory.candidates("s")
        second.directives.back_off(5.0, time.monotonic())
        third.in_flight, third.failures, third.failed_at = 2, 0.5, time.monotonic()
        first.reported(1, 0, time.monotonic(), 4)
        status, view = ask(setup, QUERY)
        assert status == 200
        assert (view["version"], view["route"]["name"]) == (1, "safe")
        budget = view["budget"]
        assert (budget["workspace"], budget["prepaid"]) == ("w", 100_000)
        assert (budget["needed"], budget["free"]) == (150, 100_000)
        assert budget["held"] >= budget["spendable"] >= 0
        (target,) = view["targets"]
        assert (target["slots"], target["queued"]) == (12, 0)
        assert target["choice"] == first.entry.id
        runners = {runner["id"]: runner for runner in target["runners"]}
        assert runners[second.entry.id]["exclusion"] == "backoff"
        assert runners[second.entry.id]["total"] is None
        assert runners[third.entry.id]["cost"]["running"] == 600
        assert runners[third.entry.id]["cost"]["failures"] > 29_000
        assert runners[first.entry.id]["report_age"] < 1
        for runner in (runners[first.entry.id], runners[third.entry.id]):
            assert runner["total"] == pytest.approx(sum(runner["cost"].values()), 0.01)


def test_a_query_chooses_as_the_next_request_does() -> None:
    with run_entry(good, good, good) as setup:
        for number, candidate in enumerate(setup.entry.directory.candidates("s")):
            candidate.in_flight = [3, 0, 2][number]
        choice = ask(setup, QUERY)[1]["targets"][0]["choice"]
        assert status_of(setup.ask()) == 200
        lines = setup.log.decisions
        placed = [inputs for kind, _, inputs in lines if kind == "place"]
        assert placed[-1]["runner"] == choice


def test_a_query_changes_no_state_and_sends_nothing() -> None:
    """No slot of a rate limit, no chance, no holding, no line with the key."""
    with run_entry(good, good) as setup:
        choice = setup.entry.second_attempts._choice
        limits, candidates = choice._limits, setup.entry.directory.candidates("s")
        limits.record_limit(candidates[0].entry.id, 0.01)
        holdings = setup.entry.reservations.host_holdings.holdings
        holdings.pop("w", None)

        def state() -> bytes:
            quarantine = setup.entry.second_attempts._quarantine._quarantine
            taken = copy.deepcopy((limits._limits, candidates, quarantine))
            return pickle.dumps((taken, choice._random.getstate(), "w" in holdings))

        before, lines = state(), len(setup.log.decisions)
        for _ in range(10):
            assert ask(setup, QUERY)[0] == 200
        assert state() == before
        assert KEY not in str(setup.log.decisions[lines:])
        assert not any(runner.received_requests for runner in setup.runners)


def test_a_runner_at_its_rate_limit_is_excluded() -> None:
    with run_entry(good) as setup:
        limits = setup.entry.second_attempts._choice._limits
        (candidate,) = setup.entry.directory.candidates("s")
        limits.record_limit(candidate.entry.id, 0.01)
        while limits.permitted([candidate]):
            limits.take(candidate.entry.id)
        (target,) = ask(setup, QUERY)[1]["targets"]
        assert target["choice"] is None
        assert target["runners"][0]["exclusion"] == "rate_limit"


def exclusions(view: dict[str, Any]) -> dict[str, str]:
    (target,) = view["targets"]
    return {each["id"]: each["exclusion"] for each in target["runners"]}


def test_the_placement_constraints_exclude_as_they_do_for_requests() -> None:
    """An operator would be told a runner that no request is sent to."""
    with run_entry(good, good, good, regions=REGIONS) as setup:
        values = with_cold_runners()
        values["tenants"][0]["allowed_regions"] = ["east"]
        configure(setup, values)
        list_runner(setup.store, 1, setup.runners[1], zone="xiyu")
        cold = {"zone": "magong", "seq": 5, "cold_remaining_ms": 9000}
        list_runner(setup.store, 0, setup.runners[0], zone="magong")
        list_runner(setup.store, 2, setup.runners[2], **cold)
        gevent.sleep(0.6)
        # The names of all hosts are not known yet, so no slot may be used.
        assert exclusions(ask(setup, QUERY)[1]) == {
            "i-0": "",
            "i-1": "outside_homes",
            "i-2": "cold",
        }
        evacuate(setup, "xiyu")
        assert exclusions(ask(setup, QUERY)[1])["i-1"] == "evacuated"
        assert status_of(setup.ask()) == 200
        placed = [inputs for kind, _, inputs in setup.log.decisions if kind == "place"]
        assert placed[-1]["constraints"] == {"evacuated": 1, "cold": 1}


def test_a_query_takes_and_remembers_no_slot_of_a_cold_runner() -> None:
    with run_entry(good) as setup:
        configure(setup, with_cold_runners())
        gevent.sleep(JOIN_SECONDS)
        list_runner(setup.store, 0, setup.runners[0], seq=5, cold_remaining_ms=9000)
        gevent.sleep(0.6)
        (candidate,) = setup.entry.directory.candidates("s")
        slots = setup.entry.eligibility._constraints._slots
        before, lines = repr(slots._slots_by_runner), len(setup.log.decisions)
        noted = candidate.cold_noted
        found = set()
        for _ in range(40):
            found.add(exclusions(ask(setup, QUERY)[1])["i-0"])
            gevent.sleep(0.05)
        assert "" in found
        assert repr(slots._slots_by_runner) == before
        assert candidate.cold_noted is noted
        assert not [
            kind for kind, *_ in setup.log.decisions[lines:] if kind == "runner_cold"
        ]


@pytest.mark.parametrize("queueing", [Queueing.ON, Queueing.OFF])
def test_a_query_tells_whether_requests_queue_and_switches_nothing(
    queueing: Queueing,
) -> None:
    with run_entry(good) as setup:
        set_queueing(setup, queueing)
        queues = setup.entry.forwarder.queues
        queues._queues_by_target.clear()
        lines = len(setup.log.decisions)
        (target,) = ask(setup, QUERY)[1]["targets"]
        assert target["queueing"] is (queueing is Queueing.ON)
        assert not queues._queues_by_target
        assert len(setup.log.decisions) == lines


def test_the_requests_in_the_queue_are_counted() -> None:
    with run_full(slow(0.4)) as (setup, _):
        waiting = queued_request(setup)
        gevent.sleep(0.1)
        (target,) = ask(setup, QUERY)[1]["targets"]
        assert (target["queueing"], target["queued"]) == (True, 1)
        waiting.join()


def test_a_runner_without_memory_is_not_the_choice_while_requests_queue() -> None:
    """A request would go to the other runner, although that one costs more."""
    with run_entry(good, good) as setup:
        values: dict[str, Any] = configuration(2)
        values["services"][0]["engine"] = {**ENGINE, "kv_capacity_tokens": 1000}
        configure(setup, values)
        set_queueing(setup, Queueing.ON)
        first, second = setup.entry.directory.candidates("s")
        first.assigned, first.assigned_tokens = 1, 900
        second.in_flight = second.assigned = 1
        (target,) = ask(setup, QUERY)[1]["targets"]
        fits = {each["id"]: each["fits"] for each in target["runners"]}
        assert fits == {first.entry.id: False, second.entry.id: True}
        assert target["choice"] == second.entry.id
        set_queueing(setup, Queueing.OFF)
        assert ask(setup, QUERY)[1]["targets"][0]["choice"] == first.entry.id


def test_a_prompt_on_trial_is_told() -> None:
    with run_entry(good, good) as setup:
        setup.entry.second_attempts._quarantine.record_crash("i-9", ["p1"], 0.1)
        assert ask(setup, QUERY)[1]["prompt"] == "on trial"


@pytest.mark.parametrize(
    ("query", "field"),
    [
        ("path=/safe/1", "host"),
        ("host=shop.example", "path"),
        ("host=shop.example&path=/nowhere", "path"),
        ("host=shop.example&path=/safe/1", "key"),
        ("host=shop.example&path=/safe/1&key=wrong", "key"),
        (QUERY.replace("100,50", "many"), "tokens"),
        (QUERY.replace("p1:50", "p1"), "parts"),
        (QUERY + "&host=other", "host"),
        (QUERY + "&colour=1", "colour"),
        ("host=%ff", ""),
    ],
)
def test_a_bad_query_gets_the_name_of_its_field(query: str, field: str) -> None:
    with run_entry(good) as setup:
        status, answer = ask(setup, query)
        assert (status, answer["field"]) == (400, field)
        assert "wrong" not in str(answer)


def test_the_command_prints_the_choice_but_not_the_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv(KEY_VARIABLE, KEY)
    with run_entry(good, good) as setup, metrics_port(setup) as address:
        tester = CommandTester(WhereCommand())
        arguments = f"{address} shop.example /safe/1 --tokens 100,50"
        assert tester.execute(arguments) == ExitCode.DONE
        text = tester.io.fetch_output()
        assert (
            "goes to i-" in text and "needed 150" in text and "connection 750" in text
        )
        assert KEY not in text
        assert tester.execute(f"{arguments} --json") == ExitCode.DONE
        assert json.loads(tester.io.fetch_output())["targets"][0]["choice"]
        assert tester.execute(f"{address} shop.example /none") == ExitCode.USAGE
        assert "path" in tester.io.fetch_error()
    assert tester.execute(arguments) == ExitCode.UNREACHABLE
