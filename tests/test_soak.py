"""Tests of the fault soak: the checks of its oracle, and a short seeded run."""

from __future__ import annotations

from contextlib import ExitStack
from pathlib import Path

import pytest

from bench.loopback import IP
from godwitrudder.validation import Address
from soak import runner_rules
from soak.hosts import Host
from soak.oracle import Oracle, ReceivedResponse, SentRequest
from soak.run import Plan, run_soak
from tests.ports import free_port

PLAIN = SentRequest("r-1", "w", "unsafe", 0, 0)
STREAM = SentRequest("r-2", "w", "stream", 10, 2)
WHOLE = b"id: 1\ndata: r-2\n\nid: 2\ndata: r-2\n\n"


def new_oracle() -> Oracle:
    return Oracle({"w": 100}, {request.id: request for request in (PLAIN, STREAM)})


def response(status: int, body: bytes = b"", complete: bool = True) -> ReceivedResponse:
    return ReceivedResponse(status, body, complete, "front-0", True)


def test_no_port_is_given_to_two_hosts(tmp_path: Path) -> None:
    """A host without its port never becomes ready."""
    store = Address(IP, free_port())
    hosts = [Host(f"front-{number}", tmp_path, store) for number in range(150)]
    with ExitStack() as stack:
        ports = []
        for host in hosts:
            stack.enter_context(host)
            ports += [host.caller_address.port, host.ready_port]
            ports.append(int(host.proxy.address.rpartition(":")[2]))
        assert len(set(ports)) == len(ports)
        assert len({host.peer_port for host in hosts}) == len(hosts)


def test_consistent_runs_and_responses_are_no_violation() -> None:
    oracle = new_oracle()
    oracle.record_run("r-1")
    oracle.check_response(PLAIN, response(200, b"r-1"))
    oracle.record_run("r-2")
    oracle.check_response(STREAM, response(200, WHOLE))
    assert not oracle.violations
    assert oracle.spent_by_workspace["w"] == 14


@pytest.mark.parametrize(
    ("runs", "sent", "received", "violation"),
    [
        (2, PLAIN, response(200, b"r-1"), "ran more than once"),
        (1, PLAIN, response(503), "though it ran"),
        (1, PLAIN, response(200, b"r-9"), "got b'r-9'"),
        (1, STREAM, response(200, WHOLE[:17]), "1 of 2 events"),
        (1, STREAM, response(200, WHOLE[17:]), "out of order"),
        (1, PLAIN, response(0, complete=False), "cut by the graceful stop"),
    ],
)
def test_each_broken_invariant_is_a_violation(
    runs: int, sent: SentRequest, received: ReceivedResponse, violation: str
) -> None:
    oracle = new_oracle()
    for _ in range(runs):
        oracle.record_run(sent.id)
    oracle.check_response(sent, received)
    assert any(violation in line for line in oracle.violations)


def test_a_run_after_a_refusal_and_overspending_are_violations() -> None:
    oracle = new_oracle()
    oracle.check_response(PLAIN, response(503))
    oracle.record_run("r-1")
    oracle.prepaid_by_workspace["w"] = 13
    oracle.record_run("r-2")
    oracle.check_response(STREAM, response(200, WHOLE))
    oracle.record_run("r-3")
    assert [line.split(": ")[1] for line in oracle.violations] == [
        "ran after it was refused",
        "14 tokens spent, more than prepaid",
        "ran, but no caller sent it",
    ]


def test_a_prompt_without_a_delivered_event_is_not_counted() -> None:
    oracle = new_oracle()
    oracle.record_run("r-2")
    oracle.check_response(STREAM, response(502))
    assert not oracle.spent_by_workspace["w"]


class Clock:
    """Time in seconds, set by a test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(runner_rules, "time", self)

    def monotonic(self) -> float:
        return self.now


PROCESS = ("front-0", 1)


@pytest.fixture
def found() -> list[str]:
    return []


@pytest.fixture
def rules(found: list[str]) -> runner_rules.RunnerRules:
    return runner_rules.RunnerRules(found.append, lambda host: host == "cut")


def test_more_than_a_limit_allows_is_a_violation(
    rules: runner_rules.RunnerRules, found: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)
    rules.limit_named("i-0", PROCESS)
    clock.now += 3.1
    for _ in range(11):
        rules.arrived("i-0", PROCESS, 1.0)
        rules.arrived("i-0", ("front-0", 2), 1.0)
        rules.arrived("i-0", ("cut", 1), 1.0)
    assert not found
    rules.arrived("i-0", PROCESS, 1.0)
    assert found == ["i-0: 12 requests in 4 s, limit 1.0/s"]


def test_a_request_after_a_runner_said_that_it_leaves_is_a_violation(
    rules: runner_rules.RunnerRules, found: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)
    rules.leaving_said("i-0", PROCESS)
    rules.arrived("i-0", PROCESS, None)
    assert not found
    clock.now += 0.6
    rules.arrived("i-0", PROCESS, None)
    assert len(found) == 1
    rules.instance_replaced("i-0")
    rules.arrived("i-0", PROCESS, None)
    assert len(found) == 1


def test_too_many_requests_to_a_cold_runner_are_a_violation(
    rules: runner_rules.RunnerRules, found: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)
    rules.cold_said("i-0", PROCESS)
    clock.now += 0.6
    for _ in range(11):
        rules.arrived("i-0", PROCESS, None)
        rules.arrived("i-0", ("front-0", 2), None)
    assert not found
    rules.arrived("i-0", PROCESS, None)
    assert found == ["i-0: 12 requests in 1 s while cold"]
    rules.cold_ended("i-0")
    rules.arrived("i-0", PROCESS, None)
    assert len(found) == 1


def test_a_request_to_an_evacuated_runner_is_a_violation(
    rules: runner_rules.RunnerRules, found: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)
    rules.evacuation_begun("i-0")
    clock.now += 4.9
    rules.arrived("i-0", PROCESS, None)
    assert not found
    clock.now += 0.2
    rules.arrived("i-0", PROCESS, None)
    rules.arrived("i-0", ("cut", 1), None)
    assert len(found) == 1
    rules.evacuation_ended("i-0")
    rules.arrived("i-0", PROCESS, None)
    assert len(found) == 1


def test_a_third_request_during_a_backoff_is_a_violation(
    rules: runner_rules.RunnerRules, found: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)
    rules.backoff_asked("i-0", PROCESS, 2.0)
    clock.now += 0.6
    for _ in range(2):
        rules.arrived("i-0", PROCESS, None)
    assert not found
    rules.arrived("i-0", PROCESS, None)
    assert len(found) == 1
    rules.instance_replaced("i-0")
    rules.arrived("i-0", PROCESS, None)
    assert len(found) == 1


def test_a_fourth_poison_request_after_five_crashes_is_a_violation(
    rules: runner_rules.RunnerRules, found: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    clock = Clock(monkeypatch)
    for _ in range(5):
        rules.crashed("poison")
    rules.poison_arrived("poison", PROCESS)
    clock.now += 3.1
    for _ in range(3):
        rules.poison_arrived("poison", PROCESS)
    assert not found
    rules.poison_arrived("poison", PROCESS)
    assert len(found) == 1


@pytest.mark.parametrize("seed", [1, 2, 3, 5, 7])
def test_a_short_soak_finds_nothing(seed: int) -> None:
    report = run_soak(Plan(seed=seed, fault_seconds=8.0, hosts=4, callers=16))
    assert report.statuses[200]
    assert not report.violations
