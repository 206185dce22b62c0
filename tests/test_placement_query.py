"""The placement query: it tells what requests do, and changes nothing."""

from __future__ import annotations

import copy
import json
import pickle
import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest
from cleo.testers.command_tester import CommandTester
from gevent.server import StreamServer

from bench.loopback import IP
from godwitrudder.ctl.command import ExitCode
from godwitrudder.ctl.load import KEY_VARIABLE
from godwitrudder.ctl.where import WhereCommand
from tests.entry_setup import EntrySetup, good, run_entry, status_of

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
