"""Operators' commands against a running fleet, as their users type them."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from cleo.testers.application_tester import ApplicationTester

from bench.fleet import EXAMPLES, Fleet
from bench.loopback import IP
from godwitrudder.ctl.command import Exit
from godwitrudder.ctl.main import application
from godwitrudder.ctl.verify import broken
from godwitrudder.platform.hosts import HostEntry
from godwitrudder.version.accounts import Budget

Run = Callable[..., tuple[int, str]]


@pytest.fixture(scope="module")
def fleet() -> Iterator[Fleet]:
    """Run three daemons, one engine, no service."""
    with Fleet(3, 1, 0) as running:
        yield running


@pytest.fixture
def run(fleet: Fleet, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Run:
    """Return a runner of commands with the key of a team."""
    settings = tmp_path / "ctl.json5"
    text = (EXAMPLES / "penghu" / "ctl.json5").read_text()
    settings.write_text(text.replace("127.0.0.1", IP))
    monkeypatch.setenv("GODWITCTL_SETTINGS", str(settings))

    def run_one(line: str, team: str = "admin") -> tuple[int, str]:
        monkeypatch.setenv("GODWITCTL_KEY", f"penghu-{team}-team-key")
        tester = ApplicationTester(application())
        code = tester.execute(line)
        return code, tester.io.fetch_output() + tester.io.fetch_error()

    return run_one


def shown(run: Run, line: str) -> Any:
    """Return what a command prints for scripts."""
    code, text = run(f"{line} --json")
    assert code == Exit.DONE, text
    return json.loads(text)


def test_racing_edits(run: Run, tmp_path: Path) -> None:
    """One of two edits is in force, comments kept; the loser sees both."""
    first, second = tmp_path / "first", tmp_path / "second"
    for path in (first, second):
        assert run(f"config edit budgets {path}")[0] == Exit.DONE
        path.write_text(path.read_text().replace("20000", f"3000{len(path.name)}"))
    assert "+" in run(f"config diff {first}")[1]
    code, text = run(f"config apply {first}", "budgets")
    assert code == Exit.DONE, text
    code, text = run(f"config apply {second}", "budgets")
    assert code == Exit.REJECTED
    assert "was made on version 0" in text and "by budgets stands" in text
    assert "30006" in text
    text = run("config get budgets")[1]
    assert "// A small harbour" in text and "30005" in text
    assert "edit of budgets" in run("config history")[1]


def test_an_edit_whose_answer_was_lost_is_sent_again(
    fleet: Fleet, run: Run, tmp_path: Path
) -> None:
    """The log answers nothing; the same operation id gives one version."""
    path = tmp_path / "turns"
    run(f"config edit turns {path}")
    fleet.platform.faults.set({"lost_answers": 1.0})
    try:
        answers = [shown(run, f"config apply --op same {path}") for _ in range(2)]
    finally:
        fleet.platform.faults.set({"lost_answers": 0.0})
    assert answers[0] == answers[1] and answers[0]["outcome"] == "accepted"


@pytest.mark.parametrize(
    ("section", "old", "new", "expected"),
    [
        ("budgets", '"endurance": 0.8', '"endurance": 8', "registry.endurance"),
        ("budgets", '"registry"', '"other"', "registry.keys[0].budget"),
        ("turns", '"unit": "tokens"', '"unit": "hours"', "rudder-llm.unit"),
    ],
)
def test_a_bad_edit_is_not_published(
    run: Run, tmp_path: Path, section: str, old: str, new: str, expected: str
) -> None:
    """The error names section and key path; no record goes to the log."""
    path = tmp_path / "file"
    run(f"config edit {section} {path}")
    path.write_text(path.read_text().replace(old, new))
    history = shown(run, "config history")
    code, text = run(f"config apply {path}")
    assert code == Exit.REJECTED and expected in text
    assert shown(run, "config history") == history


def test_no_team_changes_the_section_of_another(run: Run, tmp_path: Path) -> None:
    """A key opens its own section; an unknown key opens nothing."""
    path = tmp_path / "file"
    run(f"config edit targets {path}")
    assert run(f"config apply {path}", "budgets")[0] == Exit.DENIED
    assert run("target drain rudder-llm", "budgets")[0] == Exit.DENIED
    assert run("config status", "nobody")[0] == Exit.DENIED


def test_a_top_up_counts_once(run: Run) -> None:
    """The same operation id pays in once."""
    before = shown(run, "budget show patrol")["topped_up"]
    for _ in range(2):
        code, text = run("budget topup patrol 500 paid --op top-1", "budgets")
        assert code == Exit.DONE, text
    assert shown(run, "budget show patrol")["topped_up"] == before + 500
    assert run("budget topup patrol -5 paid")[0] != Exit.DONE
    assert run("budget topup nobody 5 paid")[0] == Exit.REJECTED


def test_a_budget_is_not_cut_below_what_is_billed(
    fleet: Fleet, run: Run, tmp_path: Path
) -> None:
    """The error names the least amount that can stand."""
    ledger = fleet.daemons[0].ledger
    with fleet.daemons[0].budgets.spend("r", "harbour", 40, 1e12) as spend:
        spend.tokens = 40  # type: ignore[union-attr]
    while ledger.budget("harbour").billed < 40:  # type: ignore[union-attr]
        gevent.sleep(0.01)
    path = tmp_path / "file"
    run(f"config edit budgets {path}")
    path.write_text(path.read_text().replace('"paid_tokens": 300', '"paid_tokens": 3'))
    code, text = run(f"config apply {path}")
    assert code == Exit.REJECTED
    assert "harbour.paid_tokens: expected at least" in text


def test_everybody_answers(run: Run) -> None:
    """Status, targets and workspaces of the whole fleet."""
    hosts = [status["host"] for status in shown(run, "fleet status")["daemons"]]
    assert hosts == ["router-1", "router-2", "router-3"]
    while run("config status")[0] != Exit.DONE:
        gevent.sleep(0.05)
    assert "engine-0" in run("target list")[1]
    assert shown(run, "workspace show patrol")["targets"] == [
        "rudder-llm",
        "registry-app",
    ]
    assert run("workspace show nobody")[0] == Exit.REJECTED


def test_a_drained_failure_domain_gets_no_new_work(fleet: Fleet, run: Run) -> None:
    """All daemons stop choosing its runners, and take them back later."""

    def usable() -> list[bool]:
        runners = [d.members.runners_of("rudder-llm")[0] for d in fleet.daemons]
        return [not runner.leaving for runner in runners]

    for word, wanted in (("drain", False), ("undrain", True)):
        code, text = run(f"target {word} magong --failure-domain")
        assert code == Exit.DONE, text
        while usable() != [wanted] * 3:
            gevent.sleep(0.05)
    assert "undrain of failure_domain magong" in run("config history")[1]


def test_the_time_line_of_all_processes(run: Run, tmp_path: Path) -> None:
    """Both daemons are on it; a bill is found by its request."""
    path = tmp_path / "page.html"
    code, text = run(f"timeline --html {path}")
    assert code == Exit.DONE, text
    assert "router-1" in path.read_text() and "router-2" in path.read_text()
    code, text = run("request trace r")
    assert code == Exit.DONE and "bill r 40 tokens of harbour" in text


def test_the_ledger_is_verified_from_the_log_alone(run: Run) -> None:
    """No invariant is broken; history shows what was paid in."""
    view = shown(run, "ledger verify")
    assert view["violations"] == []
    assert sum(tally["billed"] for tally in view["partitions"]) >= 40
    payments = shown(run, "budget history patrol")
    assert [row["tokens"] for row in payments if row["what"] == "top-up"] == [500]


def test_a_bounded_load_completes(run: Run, monkeypatch: pytest.MonkeyPatch) -> None:
    """Every request is counted by its outcome."""
    monkeypatch.setenv("GODWITCTL_CALLER_KEY", "penghu-registry-key")
    report = shown(run, "load rudder-llm --requests 4")
    assert report["outcomes"] == {"completed": 4}


@pytest.mark.parametrize(
    ("budget", "invariant"),
    [
        (Budget(base=5, billed=6), "spent and granted within paid"),
        (Budget(base=9, open=4), "grants add up to what is open"),
        (Budget(base=9, billed=-1), "no amount below zero"),
    ],
)
def test_verify_names_a_broken_invariant(budget: Budget, invariant: str) -> None:
    """A state that no sound log gives is found."""
    assert invariant in list(broken(budget))


def test_a_silent_daemon_is_named(fleet: Fleet, run: Run) -> None:
    """It is listed and does not answer: exit code 1, and its name."""
    listed = fleet.platform.hosts
    gone = HostEntry(
        id="router-9", role="router", address=f"{IP}:1", failure_domain="budai"
    )
    fleet.platform.set_hosts([*listed, gone])
    while "router-9" not in fleet.daemons[0].members.routers_by_id:
        gevent.sleep(0.05)
    for line in ("timeline", "fleet status", "config status"):
        code, text = run(line)
        assert code == Exit.REJECTED and "router-9" in text
    fleet.platform.set_hosts(listed)
